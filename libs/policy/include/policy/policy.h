#pragma once

#include <base/base.h>
#include <config/config.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

/**
 * Scheduling decisions of the serving system: job admission, stage placement, retries, hedging and capacity changes
 * between pools. Deterministic: performs no I/O and uses no threads or clocks; the time is passed as an argument and
 * randomness comes from a seed.
 */
namespace lacewing::policy
{

// ---------------------------------------------------------------------------------------------------------------------
// Inputs

/** Hash of a prompt prefix, equal on all VMs and engines. */
using PrefixHash = Number<struct PrefixHashTag>;

/** Whether an endpoint accepts new calls (Live) or only finishes those in flight (Draining). */
enum class EndpointState : std::uint8_t { Live, Draining };

/** An endpoint as the membership list describes it. */
struct EndpointInfo {
    EndpointId id;
    PoolId pool;
    AvailabilityZoneId zone;
    Incarnation incarnation;
    EndpointState state = EndpointState::Live;
    std::uint32_t slots = 1; ///< maximum number of concurrent calls, at least 1
    std::vector<ModelId> models; ///< loaded models; if empty, every model of the pool is served
};

/** A load report of an endpoint. It is usually out of date when it arrives. */
struct EndpointLoad {
    EndpointId endpoint;
    Incarnation incarnation;
    Time measuredAt; ///< time of the measurement, on this VM's clock
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double kvCacheUtilization = 0; ///< used fraction of the KV cache, 0 to 1
    std::vector<ModelId> models; ///< loaded models; empty if unchanged
    std::optional<PoolId> role; ///< pool that the endpoint serves now; empty if unchanged
};

/** A change of an engine's prefix cache. Events may be delayed or lost. */
struct CacheEvent {
    enum class Kind : std::uint8_t { Stored, Evicted };

    EndpointId endpoint;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< increments within an incarnation; a gap indicates lost events
    PrefixHash prefix;
    Kind kind = Kind::Stored;
};

/** Demand for one pool. */
struct PoolDemand {
    PoolId pool;
    double offeredLoad = 0; ///< in slot-seconds per second
    std::uint32_t inFlight = 0; ///< calls placed and not yet ended
    std::uint32_t pending = 0; ///< calls of admitted jobs that are not yet placed
};

/**
 * Offered load of one workspace, admitted or not, as a share of the capacity of the pool that it uses most (its
 * dominant resource; Ghodsi et al., 2011).
 */
struct WorkspaceDemand {
    WorkspaceId workspace;
    double dominantShare = 0; ///< 1 is the whole capacity of the pool
};

/**
 * Demand that one or more policies report to the others. Its size is bounded by the number of pools and
 * maxHeavyWorkspaces.
 */
struct DemandHint {
    std::uint32_t policyCount = 0; ///< number of policies included in the sums
    std::vector<PoolDemand> pools;
    std::vector<WorkspaceDemand> heavyWorkspaces; ///< workspaces with the highest offered load
};

/** Maximum number of workspaces in a DemandHint. */
constexpr std::size_t maxHeavyWorkspaces = 8;
/** A DemandHint is discarded after this time. */
constexpr Duration hintLifetime = 5s;

/** A job as requested by the caller. */
struct JobInfo {
    JobId id;
    WorkspaceId workspace;
    ClassId classId;
    Tokens input; ///< size of the prompt or payload, in tokens or 4-byte units
    Tokens maxOutput; ///< maximum number of generated tokens; 0 for jobs without generation
    std::vector<PrefixHash> prefixes; ///< hashes of prefixes of the prompt, in order of increasing length
    bool repeatable = true; ///< if false, a stage that may have started is not called again
    Time arrival;
    Time deadline;
};

/** Requests an endpoint for one call of a stage. The job must have been admitted. */
struct PlacementRequest {
    CallId call;
    bool isolated = false; ///< for a suspect request: use an endpoint without other calls of this policy
    std::vector<EndpointId> excluded; ///< endpoints that must not be used
};

/** Result of a call. */
struct CallOutcome {
    bool ok = false;
    std::optional<ErrorKind> failure; ///< set if ok is false
    Ran ran = Ran::Yes; ///< whether the endpoint started the call
    bool crashed = false; ///< the endpoint crashed during the call
    bool cancelled = false; ///< cancelled by this VM; does not count as a failure of the endpoint
    Duration serviceTime {}; ///< time in a slot, excluding queueing; 0 if unknown
    Tokens output; ///< generated tokens
    Tokens cachedInput; ///< input tokens served from the endpoint's prefix cache
};

/** Result of a job. Met: completed before its deadline; Late: completed after it. */
enum class JobOutcome : std::uint8_t { Met, Late, Refused, Failed };

// ---------------------------------------------------------------------------------------------------------------------
// Decisions

/** Why a job or call is refused. */
enum class RefusalReason : std::uint8_t {
    ClassUnknown, ///< the configuration has no such class or pipeline
    CannotFinishInTime, ///< the deadline cannot be met at the current load
    OverFairShare, ///< the workspace exceeds its fair share while the fleet is loaded
    QueueFull, ///< too many calls are queued on this VM
    NoEndpoint, ///< no usable endpoint for a stage
    RetryBudgetSpent, ///< the retry budget of the class is exhausted
    NotRepeatable, ///< the call may have started and must not be repeated
};

/** Returns the stable identifier of a reason, such as "over-fair-share". */
std::string_view toText(RefusalReason reason) noexcept;

/** The job is admitted. */
struct Admitted {
    Duration predictedLatency; ///< expected time until the complete answer
};
/** The job is refused. Final. */
struct Refused {
    RefusalReason reason = RefusalReason::CannotFinishInTime;
    Duration retryAfter {}; ///< delay after which the caller may submit the job again
};
using Admission = std::variant<Admitted, Refused>;

/** Estimates for an endpoint that was evaluated for a call. */
struct CandidateEstimate {
    EndpointId endpoint;
    Duration wait {}; ///< expected time until a slot is free
    Duration serviceTime {}; ///< expected time in the slot
    bool prefixCached = false;
    bool sameZone = false;
};

/** The call is assigned to an endpoint. */
struct Placed {
    EndpointId endpoint;
    Incarnation incarnation;
    int priority = 0; ///< queue priority for the engine, 0 to maxPriority; higher runs first
    Time stageDeadline; ///< a later result leaves too little time for the remaining stages
    Duration predictedLatency {}; ///< expected time until the result
    std::vector<CandidateEstimate> candidates; ///< best first; reported with the decision
};
/** No slot is available. Request the placement again at this time, or once a call to the pool has ended. */
struct Deferred {
    Time until;
};
/** The call cannot be placed and the job fails. Final. */
struct Unplaceable {
    RefusalReason reason = RefusalReason::NoEndpoint;
    Duration retryAfter {};
};
using Placement = std::variant<Placed, Deferred, Unplaceable>;

/**
 * Maximum of Placed::priority. A priority is maxPriority minus the latest start time of the call, in units of 10 ms and
 * modulo (maxPriority + 1).
 */
constexpr int maxPriority = (1 << 30) - 1;

/** The call should be repeated as a new attempt. */
struct Retry {
    Time notBefore;
    std::vector<EndpointId> excluded;
};
/** The call must not be repeated. */
struct NoRetry {
    RefusalReason reason = RefusalReason::RetryBudgetSpent;
    Duration retryAfter {};
};
using RetryDecision = std::variant<Retry, NoRetry>;

// ---------------------------------------------------------------------------------------------------------------------
// Placement strategies

/**
 * Compares the predicted latencies of a few sampled endpoints. Includes admission control, fair shares, hedging and
 * outlier ejection.
 */
struct Predictive {
    std::uint32_t localSamples = 4; ///< endpoints sampled in the zone of this VM, at least 1
    std::uint32_t remoteSamples = 2; ///< endpoints sampled in other zones
};
/** Baseline: selects a random endpoint and admits every job. */
struct RandomChoice {
};
/** Baseline: selects the endpoints in rotation and admits every job. */
struct RoundRobin {
};
/** Baseline: selects the endpoint with the lowest reported load per slot and admits every job. */
struct LeastReportedLoad {
};
using Strategy = std::variant<Predictive, RandomChoice, RoundRobin, LeastReportedLoad>;

/** Fixed settings of a policy. */
struct Options {
    AvailabilityZoneId zone; ///< zone of this VM
    std::uint64_t seed = 1;
    Strategy strategy = Predictive {};
    Duration wallClockOffset {}; ///< wall clock minus Time on this VM; makes priorities comparable across VMs
};

// ---------------------------------------------------------------------------------------------------------------------
// The policy

/** State of the feedback loop of one class, for metrics. */
struct ClassStatus {
    ClassId id;
    double attainment = 1; ///< smoothed fraction of ended jobs that met their deadline, excluding refused jobs
    double costPerMetJob = 0; ///< smoothed cost of a met job, in millionths of the currency unit
    double hedgingLevel = 0; ///< 0 (no hedging, lowest cost) to 1 (hedges earliest)
};

/**
 * Makes the decisions for the jobs of one traffic thread. Every event of a call or job must be reported to it. Not
 * thread-safe.
 *
 * Functions are called in this order for a job: admit(); for each stage place(), onCallStarted(), onCallEnded(), and
 * decideRetry() after a failure; finally onJobEnded(), also if the job is refused after admission.
 */
class Policy
{
public:
    explicit Policy(Options options);
    ~Policy();
    Policy(Policy &&) noexcept;
    Policy &operator=(Policy &&) noexcept;

    /** Applies a new configuration. Running jobs keep the pipeline that they were admitted with. */
    void setConfig(std::shared_ptr<const config::FleetConfig> configuration);
    /** Replaces the list of endpoints. Statistics of an endpoint are kept while its incarnation is unchanged. */
    void setEndpoints(std::span<const EndpointInfo> endpoints);
    /** Records a load report. Reports older than the last one or of another incarnation are ignored. */
    void onLoadReport(const EndpointLoad &load);
    /** Records a change of a prefix cache. */
    void onCacheEvent(const CacheEvent &event, Time now);
    /** Records the summed hints of all other policies of the fleet. The sum expires after hintLifetime. */
    void onDemandHint(const DemandHint &hint, Time now);
    /** Returns the demand of this policy, to be sent to the other policies. */
    DemandHint localHint(Time now) const;

    /** Decides whether to admit a job. */
    Admission admit(const JobInfo &job, Time now);
    /** Selects the endpoint for one call of an admitted job. */
    Placement place(const PlacementRequest &request, Time now);
    /**
     * Returns a second endpoint for a call that takes longer than expected, if the retry budget permits. The hedge is
     * made as a new attempt of the stage.
     */
    std::optional<Placed> tryHedge(const CallId &call, Time now);
    /** Records that a call was sent to the endpoint returned by place() or tryHedge(). */
    void onCallStarted(const CallId &call, const EndpointId &endpoint, Time now);
    /** Records the end of a call. Unknown calls are ignored. */
    void onCallEnded(const CallId &call, const CallOutcome &outcome, Time now);
    /** Decides whether to repeat a failed call. Call it after onCallEnded(), with the same outcome. */
    RetryDecision decideRetry(const CallId &call, const EndpointId &endpoint, const CallOutcome &outcome, Time now);
    /** Records the end of a job and discards its state. @param cost total cost of its calls, including hedges */
    void onJobEnded(const JobId &job, JobOutcome end, Cost cost, Time now);

    /** Updates outlier ejection, pool totals and fair shares. Call it at nextWake(). */
    void tick(Time now);
    /** Returns the time of the next tick(). */
    Time nextWake() const noexcept;

    /** Returns the state of the feedback loop of each class. */
    std::vector<ClassStatus> classStatus() const;
    /** Returns the endpoints that are excluded because they are slow, failing or unreachable. */
    std::vector<EndpointId> ejectedEndpoints(Time now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Capacity

/** Load and queueing of one pool, or of one model of a pool, in a zone. */
struct PoolBacklog {
    PoolId pool;
    ModelId model; ///< empty for the pool as a whole
    double utilization = 0; ///< occupied fraction of the slots; above 1 with a queue
    Duration wait {}; ///< mean wait for a slot
    Duration targetWait {}; ///< longest wait that the targets of the classes permit
};

/** State of a zone as seen by the holder of its lease. */
struct ZoneCapacityView {
    AvailabilityZoneId zone;
    std::vector<EndpointInfo> endpoints;
    std::vector<PoolBacklog> backlog;
    std::vector<std::pair<PoolId, PoolId>>
        convertiblePools; ///< pairs of pools; endpoints can change from the first to the second
    std::uint32_t lostEndpoints = 0; ///< endpoints of the zone that recently failed
};

/** Loads a model on an endpoint. */
struct LoadModel {
    EndpointId endpoint;
    Incarnation incarnation;
    ModelId model;
};
/** Moves an endpoint to another pool. */
struct ChangeRole {
    EndpointId endpoint;
    Incarnation incarnation;
    PoolId role;
};
using CapacityAction = std::variant<LoadModel, ChangeRole>;

/** Bounds on capacity changes. */
struct CapacityLimits {
    Bytes storeBytesPerSecond { 1'000'000'000 }; ///< weight store bandwidth for this zone; above 0
    Duration failureCooldown = 60s; ///< no role changes for this time after a failure of a zone or rack
    Duration settlingTime = 20s; ///< minimum time between two actions for one pool or endpoint
    double donorMaxUtilization = 0.6; ///< a pool below this utilization may give up an endpoint
    double zoneFailureFraction = 0.2; ///< lost fraction of a zone's endpoints that counts as a zone failure
};

/** Plans role changes and model loads of one zone. Used by the holder of the zone's lease. */
class CapacityPlanner
{
public:
    explicit CapacityPlanner(CapacityLimits limits = {});
    ~CapacityPlanner();
    CapacityPlanner(CapacityPlanner &&) noexcept;
    CapacityPlanner &operator=(CapacityPlanner &&) noexcept;

    void setConfig(std::shared_ptr<const config::FleetConfig> configuration);
    /** Returns the actions to perform now. Each states the desired state and is idempotent; their number is limited. */
    std::vector<CapacityAction> plan(const ZoneCapacityView &view, Time now);

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace lacewing::policy
