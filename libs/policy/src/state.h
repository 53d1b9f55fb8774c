#pragma once

#include "endpoint_table.h"
#include "fair_share.h"
#include "prefix_index.h"
#include "stage_times.h"

#include <policy/policy.h>

#include <unordered_map>

namespace lacewing::policy
{

/** Feedback loop of one class that trades attainment against cost. */
struct ClassFeedbackLoop {
    ClassId id;
    double attainment = 1;
    double costPerMetJob = 0;
    double hedgingLevel = 0; ///< see ClassStatus::hedgingLevel
    double slack = 600; ///< smoothed time to the deadline beyond a job's service times, in seconds
    std::vector<std::uint32_t> pools; ///< pools used by the pipeline of the class
    double retryBudget = 5; ///< retries and hedges currently permitted
};

/** An admitted job that has not ended. */
struct Job {
    JobInfo info;
    std::uint32_t classIndex = 0;
    config::ClassSpec spec;
    std::shared_ptr<const config::FleetConfig> configuration; ///< owns the pipeline
    const config::PipelineSpec *pipeline = nullptr;
    std::vector<std::uint32_t> pools; ///< by stage
    std::uint32_t firstPendingStage = 0; ///< first stage that has not been called
    std::uint32_t callsInFlight = 0;
    std::uint32_t retries = 0;
    bool isolated = false; ///< the latest placement request was for an isolated call
    bool deferred = false; ///< the placement of the next call was deferred
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

/** Estimates for a call on one endpoint. */
struct Candidate {
    std::uint32_t endpoint = 0;
    double wait = 0; ///< seconds
    double serviceTime = 0; ///< seconds
    double score = 0; ///< seconds, including penalties; lower is better
    double load = 0; ///< estimated calls on the endpoint, running and queued
    bool cached = false;
    bool isLocal = false;
};

/** One stage of a job with the data needed for its placement. */
struct StageView {
    Job *job = nullptr;
    std::uint32_t stage = 0;
    StageKey key; ///< assuming no cache hit
    ExpectedTime expected; ///< assuming no cache hit
    ExpectedTime expectedCached;
    const PlacementRequest *request = nullptr;
};

/** Implementation of Policy. */
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

    // Time estimates.
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
    void rankCandidates(const StageView &stage, std::vector<Candidate> &evaluated, Time now) const;
    Placement placePredictive(const StageView &stage, Time now);
    Placement placeIsolated(const StageView &stage, Time now);
    Placement placeBaseline(const StageView &stage, Time now);
    std::optional<std::uint32_t> pickBaseline(const StageView &stage);
    Placed makePlaced(const StageView &stage, const std::vector<Candidate> &evaluated) const;
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
    std::vector<DecayingRate> localOfferedLoad_; ///< by pool, in slot-seconds per second
    std::vector<double> poolSlack_; ///< by pool, minimum over the classes that use it, in seconds
    std::vector<std::uint64_t> roundRobin_; ///< by pool
    double reserveFactor_ = 1; ///< multiple of the spread of service times that admission reserves
    std::uint32_t policyCount_ = 1;
    std::uint32_t deferredCalls_ = 0;
    Time hintReceivedAt_;
};

/** Converts seconds to a Duration, clamped to the range from 0 to one day. */
Duration boundedSeconds(double seconds) noexcept;

} // namespace lacewing::policy
