#pragma once

#include "endpoint_table.h"
#include "fair_share.h"
#include "prefix_index.h"
#include "stage_times.h"

#include <policy/policy.h>

#include <unordered_map>

namespace lacewing::policy
{

/** Feedback loop of one class between attainment and cost. */
struct ClassFeedbackLoop {
    ClassId id;
    double attainment = 1;
    double costPerMetJob = 0;
    double hedgingLevel = 0; ///< see ClassStatus::hedgingLevel
    double slack = 600; ///< smoothed time left after the slot times of a job, in seconds
    std::vector<std::uint32_t> pools; ///< that its pipeline uses
    double retryBudget = 5; ///< retries and hedges that may be made now
};

/** A job from its admission to its end. */
struct Job {
    JobInfo info;
    std::uint32_t classIndex = 0;
    config::ClassSpec spec;
    std::shared_ptr<const config::FleetConfig> configuration; ///< keeps the pipeline alive
    const config::PipelineSpec *pipeline = nullptr;
    std::vector<std::uint32_t> pools; ///< by stage
    std::uint32_t firstPendingStage = 0; ///< first stage without a call so far
    std::uint32_t callsInFlight = 0;
    std::uint32_t retries = 0;
    bool isolated = false; ///< its latest call runs isolated
    bool deferred = false; ///< its next call was told to wait
};

/** A call in flight. */
struct Call {
    std::uint32_t endpoint = 0;
    StageKey key;
    ExpectedTime expected;
    Time started;
    bool isolated = false;
    bool hedged = false;
};

/** What a call could get from one endpoint. */
struct Candidate {
    std::uint32_t endpoint = 0;
    double wait = 0; ///< seconds
    double serviceTime = 0; ///< seconds
    double score = 0; ///< seconds and penalties; less is better
    double load = 0; ///< estimated calls on the endpoint
    bool cached = false;
    bool isLocal = false;
};

/** One stage of a job as the placement sees it. */
struct StageView {
    Job *job = nullptr;
    std::uint32_t stage = 0;
    StageKey key; ///< without cache hit
    ExpectedTime expected; ///< without cache hit
    ExpectedTime expectedCached;
    const PlacementRequest *request = nullptr;
};

/** All that a Policy knows. */
class Policy::State
{
public:
    explicit State(Options options);

    Admission admit(const JobInfo &job, Time now);
    Placement place(const PlacementRequest &request, Time now);
    std::optional<Placed> tryHedge(const CallId &call, Time now);
    void onCallStarted(const CallId &call, const EndpointId &endpoint, Time now);
    void onCallEnded(const CallId &call, const CallOutcome &outcome, Time now);
    RetryDecision decideRetry(const CallId &call, const EndpointId &endpoint, const CallOutcome &outcome, Time now);
    void onJobEnded(const JobId &job, JobOutcome end, Cost cost, Time now);
    void onCacheEvent(const CacheEvent &event, Time now);
    void onDemandHint(const DemandHint &hint, Time now);
    DemandHint localHint(Time now) const;
    void tick(Time now);

    Options options;
    Random random;
    std::shared_ptr<const config::FleetConfig> configuration;
    EndpointTable table;
    StageTimes times;
    PrefixIndex prefixes;
    FairShare fairShare;
    std::vector<ClassFeedbackLoop> feedbackLoops;
    Time nextTick;

private:
    bool isPredictive() const
    {
        return std::holds_alternative<Predictive>(options.strategy);
    }
    std::uint32_t classIndex(const ClassId &id);
    std::optional<Job> makeJob(const JobInfo &info);

    // Times.
    StageKey stageKey(const Job &job, std::uint32_t stage) const;
    double priorSeconds(const Job &job) const;
    ExpectedTime expected(const Job &job, std::uint32_t stage) const;
    bool hasHolder(const Job &job, std::uint32_t stage, Time now) const;
    double groupWait(const Job &job, std::uint32_t stage);
    double remainingMedian(const Job &job, std::uint32_t stage) const;

    double poolWait(std::uint32_t index) const;
    double poolSlack(std::uint32_t index) const;
    void updateSlack();

    // Admission.
    std::optional<Refused> checkCapacity(const Job &job);
    std::optional<Refused> checkDeadline(const Job &job, Duration &predicted, Time now);
    std::optional<Refused> checkFairShare(const Job &job, Time now);
    void countArrival(const Job &job, Time now);
    void addJob(Job job);

    // Placement.
    StageView makeStageView(Job &job, const PlacementRequest &request) const;
    bool isAllowed(const StageView &stage, const Endpoint &endpoint, Time now) const;
    Candidate evaluate(const StageView &stage, std::uint32_t endpoint, Time now) const;
    std::vector<Candidate> findCandidates(const StageView &stage, Time now);
    void sampleCandidates(const StageView &stage,
                          const std::vector<std::uint32_t> &from,
                          std::size_t count,
                          Time now,
                          std::vector<Candidate> &into);
    void rankCandidates(const StageView &stage, std::vector<Candidate> &weighed, Time now) const;
    Placement placePredictive(const StageView &stage, Time now);
    Placement placeIsolated(const StageView &stage, Time now);
    Placement placeBaseline(const StageView &stage, Time now);
    std::optional<std::uint32_t> pickBaseline(const StageView &stage);
    Placed makePlaced(const StageView &stage, const std::vector<Candidate> &weighed) const;
    Placement waitForSlot(const StageView &stage, Time now);
    int priority(const StageView &stage) const;
    void setDeferred(Job &job, bool deferred);

    // Feedback.
    void recordOutcome(const Call &call, const CallOutcome &outcome, const Job &job, Time now);
    void updateFeedback(ClassFeedbackLoop &loop, const Job &job, JobOutcome end, Cost cost);
    void updateFairShares(Time now);

    std::unordered_map<ClassId, std::uint32_t> classIndexById_;
    std::unordered_map<JobId, Job> jobs_;
    std::unordered_map<CallId, Call> calls_;
    std::vector<DecayingRate> localOfferedLoad_; ///< by pool, offered slot-seconds
    std::vector<double> poolSlack_; ///< by pool, shortest of the classes that use it, in seconds
    std::vector<std::uint64_t> roundRobin_; ///< by pool
    double reserveFactor_ = 1; ///< part of the spread of times that admission keeps in reserve
    std::uint32_t policyCount_ = 1;
    std::uint32_t deferredCalls_ = 0;
    Time hintReceivedAt_;
};

/** Seconds as a span of time, bounded to a day. */
Duration boundedSeconds(double seconds) noexcept;

} // namespace lacewing::policy
