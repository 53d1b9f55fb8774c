#pragma once

#include <core/core.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace lacewing::core
{

/** A caller that follows a job's answer. */
struct Follower {
    RequestId request;
    ByteOffset next; ///< offset of the first byte that it hasn't got
};

/** A call that an endpoint runs. */
struct RunningCall {
    CallId call;
    EndpointId endpoint;
    PoolId pool;
    Incarnation incarnation;
    Fingerprint fingerprint;
    Time started;
    bool underPermit = false;
};

/** An endpoint that the policy chose, while a permit is awaited. */
struct PendingPlacement {
    CallId call;
    policy::Placed placed;
};

/** One job with all that surrounds its state machine. */
struct JobState {
    pipeline::Job job;
    policy::JobInfo info;
    CallerRequest request;
    Duration completionTarget {};
    std::vector<Follower> followers;
    std::vector<Decision> decisions;
    std::optional<PendingPlacement> pending;
    std::optional<pipeline::PlaceStage> waiting; ///< an attempt that found no free endpoint
    Time waitUntil; ///< when to place `waiting` again at the latest
    Time notBefore; ///< retries wait until then
    bool suspect = false; ///< may crash endpoints: runs alone and under a permit
    bool claiming = false; ///< not started: its claim or void isn't settled
    std::optional<pipeline::Failed> refusal; ///< refused; told once its void is settled
    Cost spent; ///< of all calls, those that didn't count included
    Time endedAt;
};

/** Implementation of JobCore. */
class JobCore::State
{
public:
    explicit State(JobCoreSettings settings);

    std::vector<JobEffect> handle(const JobEvent &event, Time now, WallTime wall);
    Time nextWake() const;

    JobCoreSettings settings;
    policy::Policy policy;
    JobCounters counters;

private:
    friend class JobCore;

    void on(const Submit &event);
    void on(const Attach &event);
    void on(const CancelJob &event);
    void on(const Query &event);
    void on(const CallerGone &event);
    void on(const StageChunk &event);
    void on(const StageEnded &event);
    void on(const StageFailed &event);
    void on(const ClaimSettled &event);
    void on(const PermitSettled &event);
    void on(const Published &event);
    void on(const SuspicionNews &event);
    void on(const HintNews &event);
    void on(const CacheNews &event);
    void on(const StopAdmitting &event);
    void on(const Tick &event);

    // Admission, in job_admission.cpp
    const config::PipelineSpec *pipelineOf(const ClassId &jobClass) const;
    bool mayNotRepeat(const CallerRequest &request, const config::PipelineSpec &pipeline) const;
    JobState &createJob(const Submit &event, const config::ClassSpec &spec, const config::PipelineSpec &pipeline);
    JobId nextJobId();
    std::optional<pipeline::Failed> findRefusal(JobState &state, const config::PipelineSpec &pipeline);
    void refuse(RequestId request, pipeline::FailureReason reason, Ran ran, Duration retryAfter);
    static Ran toldRan(const JobState &state, Ran ran);
    void refuseJob(JobState &state, const pipeline::Failed &refusal);
    void askClaim(JobState &state);
    void startJob(JobState &state);
    void rejectJob(JobState &state, const MayNotRun &verdict);
    void handOver(JobState &state, const OwnedBy &owner);

    // Calls, in job_calls.cpp
    void run(JobState &state, const std::vector<pipeline::Effect> &jobEffects);
    void apply(JobState &state, const pipeline::PlaceStage &effect);
    void apply(JobState &state, const pipeline::CallStage &effect);
    void apply(JobState &state, const pipeline::ResumeCall &effect);
    void apply(JobState &state, const pipeline::CancelCall &effect);
    void apply(JobState &state, const pipeline::Deliver &effect);
    void apply(JobState &state, const pipeline::StageFinished &effect);
    void apply(JobState &state, const pipeline::JobFinished &effect);
    void usePlacement(JobState &state, const pipeline::PlaceStage &wanted, const policy::Placed &placed);
    void startPlaced(JobState &state, const CallId &call, const policy::Placed &placed);
    void wait(JobState &state, const pipeline::PlaceStage &wanted, Time until);
    StartCall describeCall(const JobState &state, const CallId &call, const EndpointId &endpoint) const;
    void endCall(const RunningCall &call, const policy::CallOutcome &outcome);
    void reportCrash(const RunningCall &call);
    std::optional<RunningCall> takeResult(const CallId &call);
    void failCall(JobState &state, const RunningCall &call, const StageFailed &event);
    void hedgeLateCalls();
    void retryWaiting(const PoolId &pool);

    // Ends and answers, in job_answers.cpp
    void deliver(JobState &state);
    void finishFollowers(JobState &state);
    void endJob(JobState &state);
    void forgetFinished();
    JobStatus statusOf(const JobState &state) const;
    void note(JobState &state, Decision decision);

    JobState *find(const JobId &job);
    Cost costPerSecond(const PoolId &pool) const;
    const config::StageSpec &stageOf(const JobState &state, const CallId &call) const;

    std::shared_ptr<const config::FleetConfig> configuration_;
    std::shared_ptr<const fleet::View> view_;
    std::map<JobId, JobState> jobs_;
    std::unordered_map<RequestId, JobId> requests_;
    std::unordered_map<CallId, RunningCall> calls_;
    std::unordered_map<CallId, policy::Placed> placements_; ///< chosen, until the job makes the call
    std::set<std::pair<Time, JobId>> deadlines_;
    std::set<JobId> waitingJobs_;
    std::deque<JobId> finished_;
    std::uint64_t lastSequence_ = 0;
    bool admitting_ = true;

    // Valid while an event is handled.
    std::vector<JobEffect> effects_;
    Time now_;
    WallTime wall_;
};

} // namespace lacewing::core
