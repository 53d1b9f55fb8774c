#pragma once

#include "fake_endpoint.h"
#include "suspects.h"

#include <replay/replay.h>

#include <unordered_map>

namespace lacewing::replay
{

/** An entry VM with its own policy and its own late view. */
struct ReplayVm {
    VmId id;
    AvailabilityZoneId zone;
    std::unique_ptr<policy::Policy> policy;
    Incarnation incarnation;
    bool alive = true;
    std::uint64_t jobs = 0; ///< jobs taken so far
    policy::DemandHint hint; ///< what it told last
};

/** An endpoint process and what the membership list says of it. */
struct ReplayNode {
    policy::EndpointInfo info;
    const PoolModel *model = nullptr;
    std::unique_ptr<FakeEndpoint> process;
    bool alive = true;
};

/** A job under way. */
struct ReplayJob {
    std::size_t record = 0; ///< index into the trace
    std::size_t vm = 0;
    policy::Policy *policy = nullptr; ///< of the VM when the job came; outlives a restart of the VM
    JobId id;
    Time deadline;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    bool alone = false; ///< it was running when an endpoint crashed
    std::vector<EndpointId> excluded;
    std::vector<CallNumber> calls; ///< in flight
    std::map<config::StageKind, double> seconds; ///< slot time used
    double cost = 0;
};

/** A call under way. */
struct ReplayCall {
    CallId id;
    std::size_t job = 0;
    std::size_t node = 0;
    Incarnation incarnation; ///< of the endpoint when it was placed
    bool delivered = false;
};

/** Runs one replay. */
class Engine
{
public:
    Engine(const Scenario &scenario, const std::vector<TraceRecord> &trace, const ReplayOptions &options);
    Report run();

private:
    // Set-up and periodic work.
    void makeNodes();
    void makeVms();
    std::unique_ptr<policy::Policy> makePolicy(const ReplayVm &vm);
    void every(Duration period, const std::function<void(Time)> &work);
    void schedule(Time at, std::function<void(Time)> work);
    void publishMembership(Duration lag);
    void reportLoads(Time now);
    void exchangeHints(Time now);
    void hedgeLate(Time now);
    bool canTalk(const AvailabilityZoneId &from, const AvailabilityZoneId &to) const;

    // Faults.
    void startFault(const SlowPool &fault);
    void startFault(const LoseZone &fault);
    void startFault(const CutZone &fault);
    void startFault(const RestartVms &fault);
    void restartVm(std::size_t index);
    void crash(std::size_t node, const EndpointResult &cause, Time now);

    // Jobs.
    void arrive(std::size_t record, Time now);
    void placeStage(std::size_t job, Time now);
    void dispatch(std::size_t job, const policy::Placed &placed, Time now);
    void deliver(CallNumber number, int priority, Time now);
    void pump(std::size_t node, Time now);
    void onResult(const EndpointResult &result, Time now);
    void answer(CallNumber number, const policy::CallOutcome &outcome, Time now);
    void onStageDone(std::size_t job, Time now);
    void onStageFailed(std::size_t job, const ReplayCall &call, const policy::CallOutcome &outcome, Time now);
    void charge(ReplayJob &job, std::size_t node, Duration busy);
    void cancelCalls(ReplayJob &job, Time now);
    void endJob(std::size_t job, policy::JobOutcome end, std::uint64_t Counts::*count, Time now);
    void resend(const TraceRecord &record, Time now);
    void count(const TraceRecord &record, std::uint64_t Counts::*field);
    double bottleneckSeconds(const TraceRecord &record) const;
    void countReason(const TraceRecord &record, policy::RefusalReason reason);
    bool isCounted(const TraceRecord &record) const;
    Duration delay(const ReplayJob &job, const ReplayNode &node) const;

    void summarise(Report &report) const;
    void summariseWorkspaces(Report &report) const;

    const Scenario &scenario_;
    const std::vector<TraceRecord> &trace_;
    const ReplayOptions &options_;
    Random random_;
    TimerService timers_;
    Time now_;
    bool isOver_ = false;
    std::vector<ReplayNode> nodes_;
    std::unordered_map<EndpointId, std::size_t> nodeById_;
    std::vector<ReplayVm> vms_;
    std::vector<std::unique_ptr<policy::Policy>> retired_; ///< of replaced VMs; they finish their jobs
    std::unordered_map<std::size_t, ReplayJob> jobs_;
    std::unordered_map<CallNumber, ReplayCall> calls_;
    std::size_t nextJob_ = 0;
    CallNumber lastCall_;
    std::optional<AvailabilityZoneId> cut_;
    Suspects suspects_;
    std::map<std::uint64_t, std::uint32_t> resends_; ///< by fingerprint of poison requests
    Report report_;
    std::map<std::string, double> stageCost_;
    double usedSeconds_ = 0;
    double wastedSeconds_ = 0;
    double offeredBottleneck_ = 0;
    double metBottleneck_ = 0; ///< of met jobs that arrived after the warm-up
    double doneBottleneck_ = 0; ///< of met jobs that ended between warm-up and end
    double capacityLost_ = 0; ///< slot-seconds of lost endpoints of the slowest pool
    PoolId bottleneck_;
    double avoided_ = 0; ///< sum over samples
    double avoidedSamples_ = 0;
    std::uint64_t generating_ = 0;
    std::uint64_t cached_ = 0;
};

} // namespace lacewing::replay
