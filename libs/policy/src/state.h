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
struct ClassLoop {
    ClassId id;
    double attainment = 1;
    double costPerMet = 0;
    double spend = 0; ///< see ClassStatus::spend
    double slack = 600; ///< smoothed time left after the slot times of a job, in seconds
    std::vector<std::uint32_t> pools; ///< that its pipeline uses
    double budget = 5; ///< retries and hedges that may be made now
};

/** A job from its admission to its end. */
struct Job {
    JobInfo info;
    std::uint32_t classIndex = 0;
    config::ClassSpec spec;
    std::shared_ptr<const config::FleetConfig> configuration; ///< keeps the pipeline alive
    const config::PipelineSpec *pipeline = nullptr;
    std::vector<std::uint32_t> pools; ///< by stage
    std::uint32_t comingFrom = 0; ///< first stage without a call so far
    std::uint32_t calls = 0; ///< calls in flight
    std::uint32_t retries = 0;
    bool alone = false; ///< its latest call runs alone
    bool waiting = false; ///< its next call was told to wait
};

/** A call in flight. */
struct Call {
    std::uint32_t endpoint = 0;
    StageKey key;
    ExpectedTime expected;
    Time started;
    bool alone = false;
    bool hedged = false;
};

/** What a call could get from one endpoint. */
struct Candidate {
    std::uint32_t endpoint = 0;
    double wait = 0; ///< seconds
    double service = 0; ///< seconds
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
    std::optional<Placed> maybeHedge(const CallId &call, Time now);
    void onCallStarted(const CallId &call, const EndpointId &endpoint, Time now);
    void onCallEnded(const CallId &call, const CallOutcome &outcome, Time now);
    RetryDecision onFailed(const CallId &call, const EndpointId &endpoint, const CallOutcome &outcome, Time now);
    void onJobEnded(const JobId &job, JobOutcome end, Cost cost, Time now);
    void onCacheEvent(const CacheEvent &event, Time now);
    void onFleetHint(const DemandHint &hint, Time now);
    DemandHint ownHint(Time now) const;
    void tick(Time now);

    Options options;
    Random random;
    std::shared_ptr<const config::FleetConfig> configuration;
    EndpointTable table;
    StageTimes times;
    PrefixIndex prefixes;
    FairShare fair;
    std::vector<ClassLoop> loops;
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
    double prior(const Job &job) const;
    ExpectedTime expected(const Job &job, std::uint32_t stage) const;
    bool hasHolder(const Job &job, std::uint32_t stage, Time now) const;
    double groupWait(const Job &job, std::uint32_t stage);
    double laterMedian(const Job &job, std::uint32_t stage) const;

    double poolWait(std::uint32_t index) const;
    double poolSlack(std::uint32_t index) const;
    void updateSlack();

    // Admission.
    std::optional<Refused> checkCapacity(const Job &job);
    std::optional<Refused> checkTime(const Job &job, Duration &predicted, Time now);
    std::optional<Refused> checkShare(const Job &job, Time now);
    void countArrival(const Job &job, Time now);
    void remember(Job job);

    // Placement.
    StageView view(Job &job, const PlacementRequest &request) const;
    bool isAllowed(const StageView &stage, const Endpoint &endpoint, Time now) const;
    Candidate weigh(const StageView &stage, std::uint32_t endpoint, Time now) const;
    std::vector<Candidate> candidates(const StageView &stage, Time now);
    void sample(const StageView &stage,
                const std::vector<std::uint32_t> &from,
                std::size_t count,
                Time now,
                std::vector<Candidate> &into);
    void rank(const StageView &stage, std::vector<Candidate> &weighed, Time now) const;
    Placement placePredictive(const StageView &stage, Time now);
    Placement placeAlone(const StageView &stage, Time now);
    Placement placeBaseline(const StageView &stage, Time now);
    std::optional<std::uint32_t> pickBaseline(const StageView &stage);
    Placed placed(const StageView &stage, const std::vector<Candidate> &weighed) const;
    Placement waitForSlot(const StageView &stage, Time now);
    int priority(const StageView &stage) const;
    void setWaiting(Job &job, bool waiting);

    // Feedback.
    void learn(const Call &call, const CallOutcome &outcome, const Job &job, Time now);
    void updateLoop(ClassLoop &loop, const Job &job, JobOutcome end, Cost cost);
    void updateShares(Time now);

    std::unordered_map<ClassId, std::uint32_t> classByName_;
    std::unordered_map<JobId, Job> jobs_;
    std::unordered_map<CallId, Call> calls_;
    std::vector<DecayingRate> ownWork_; ///< by pool, offered slot-seconds
    std::vector<double> poolSlack_; ///< by pool, shortest of the classes that use it, in seconds
    std::vector<std::uint64_t> roundRobin_; ///< by pool
    double caution_ = 1; ///< part of the spread of times that admission keeps in reserve
    std::uint32_t policies_ = 1;
    std::uint32_t waitingCalls_ = 0;
    Time hintAt_;
};

/** Seconds as a span of time, bounded to a day. */
Duration boundedSeconds(double seconds) noexcept;

} // namespace lacewing::policy
