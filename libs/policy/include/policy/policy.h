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
 * The decisions of the serving system: which jobs to admit, where to place each stage, when to retry or hedge, and how
 * to move capacity between pools. Pure: no input, output, threads or clocks; time is an argument and randomness comes
 * from a seed.
 */
namespace lacewing::policy
{

// ---------------------------------------------------------------------------------------------------------------------
// What a policy learns from outside

/** Hash of a prompt prefix, equal on all VMs and engines. */
using PrefixHash = Number<struct PrefixHashTag>;

/** Whether an endpoint takes new work. */
enum class EndpointState : std::uint8_t { Live, Draining };

/** An endpoint as the membership list describes it. */
struct EndpointInfo {
    EndpointId id;
    PoolId pool;
    AvailabilityZoneId zone;
    Incarnation incarnation;
    EndpointState state = EndpointState::Live;
    std::uint32_t slots = 1; ///< calls that it runs at the same time, 1 or more
    std::vector<ModelId> models; ///< loaded models; empty: serves every model of its pool
};

/** A load report of an endpoint, usually old when it arrives. */
struct EndpointLoad {
    EndpointId endpoint;
    Incarnation incarnation;
    Time measuredAt; ///< when the endpoint measured it, on this VM's clock
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double kvCacheUtilization = 0; ///< part of the key-value memory in use, 0 to 1
    std::vector<ModelId> models; ///< loaded models; empty: unchanged
    std::optional<PoolId> role; ///< pool that it serves now; empty: unchanged
};

/** A change of an engine's prefix cache. May arrive late, and some never arrive. */
struct CacheEvent {
    enum class Kind : std::uint8_t { Stored, Evicted };

    EndpointId endpoint;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< count within the incarnation; a gap means lost events
    PrefixHash prefix;
    Kind kind = Kind::Stored;
};

/** Calls to one pool. */
struct PoolDemand {
    PoolId pool;
    double offeredLoad = 0; ///< offered work, in slot-seconds a second
    std::uint32_t inFlight = 0; ///< calls placed and not ended
    std::uint32_t pending = 0; ///< calls that admitted jobs have still to place
};

/**
 * What one workspace offers, admitted or not, as a share of the capacity of the pool that it needs most (dominant
 * resource; Ghodsi et al., 2011).
 */
struct WorkspaceDemand {
    WorkspaceId workspace;
    double dominantShare = 0; ///< 1: the pool's whole capacity
};

/** What one or more policies tell others. The size is bounded by the pools and maxHeavyWorkspaces. */
struct DemandHint {
    std::uint32_t policyCount = 0; ///< how many policies the figures cover
    std::vector<PoolDemand> pools;
    std::vector<WorkspaceDemand> heavyWorkspaces; ///< only the workspaces that offer most, see maxHeavyWorkspaces
};

/** Most workspaces named in a FleetHint. */
constexpr std::size_t maxHeavyWorkspaces = 8;
/** How long a FleetHint is used. */
constexpr Duration hintLifetime = 5s;

/** A job as its caller asks for it. */
struct JobInfo {
    JobId id;
    WorkspaceId workspace;
    ClassId classId;
    Tokens input; ///< size of the prompt or payload, in tokens or 4-byte units
    Tokens maxOutput; ///< most tokens to generate; 0 for jobs without generation
    std::vector<PrefixHash> prefixes; ///< hashes of growing prefixes of the prompt, shortest first
    bool repeatable = true; ///< false: no stage that may have started is called again
    Time arrival;
    Time deadline;
};

/** One call of a stage that needs an endpoint. The job must have been admitted. */
struct PlacementRequest {
    CallId call;
    bool isolated = false; ///< a suspected request: runs only where no other call of ours runs
    std::vector<EndpointId> excluded; ///< endpoints not to be used
};

/** How a call ended. */
struct CallOutcome {
    bool ok = false;
    std::optional<ErrorKind> failure; ///< set unless ok
    Ran ran = Ran::Yes; ///< whether the endpoint started the call
    bool crashed = false; ///< the endpoint crashed during the call
    bool cancelled = false; ///< given up by this VM; says nothing against the endpoint
    Duration serviceTime {}; ///< time in a slot, without waiting; 0 when unknown
    Tokens output; ///< tokens generated
    Tokens cachedInput; ///< input tokens found in the endpoint's prefix cache
};

/** How a job ended. */
enum class JobOutcome : std::uint8_t { Met, Late, Refused, Failed };

// ---------------------------------------------------------------------------------------------------------------------
// Decisions

/** Why a job or call is refused. */
enum class RefusalReason : std::uint8_t {
    ClassUnknown, ///< the configuration has no such class or pipeline
    CannotFinishInTime, ///< the deadline can't be kept at the present load
    OverFairShare, ///< the workspace uses more than its share of a loaded fleet
    QueueFull, ///< too many calls wait on this VM
    NoEndpoint, ///< no usable endpoint for a stage
    RetryBudgetSpent, ///< retries would add too much load
    NotRepeatable, ///< the call may have started and may not be made twice
};

/** Short fixed text of a reason, such as "over-fair-share". */
std::string_view toText(RefusalReason reason) noexcept;

/** The job may start. */
struct Admitted {
    Duration predictedLatency; ///< expected time to the whole answer
};
/** The job isn't started. Final. */
struct Refused {
    RefusalReason reason = RefusalReason::CannotFinishInTime;
    Duration retryAfter {}; ///< when it may come back
};
using Admission = std::variant<Admitted, Refused>;

/** An endpoint that was weighed for a call. */
struct CandidateEstimate {
    EndpointId endpoint;
    Duration wait {}; ///< expected time until a slot is free
    Duration serviceTime {}; ///< expected time in the slot
    bool prefixCached = false;
    bool sameZone = false;
};

/** Call this endpoint. */
struct Placed {
    EndpointId endpoint;
    Incarnation incarnation;
    int priority = 0; ///< for the engine; higher runs first, 0 to maxPriority
    Time stageDeadline; ///< later results leave too little time for the stages after it
    Duration predictedLatency {}; ///< expected time to the result
    std::vector<CandidateEstimate> candidates; ///< for explanations, best first
};
/** Ask again at this time, or once a call to the pool has ended. */
struct Deferred {
    Time until;
};
/** The job can't go on. Final. */
struct Unplaceable {
    RefusalReason reason = RefusalReason::NoEndpoint;
    Duration retryAfter {};
};
using Placement = std::variant<Placed, Deferred, Unplaceable>;

/** Largest value of Placed::priority; the latest useful start in units of 10 ms, counted down, modulo this plus one. */
constexpr int maxPriority = (1 << 30) - 1;

/** Make the call again, as a new attempt. */
struct Retry {
    Time notBefore;
    std::vector<EndpointId> excluded;
};
/** Don't make the call again. */
struct NoRetry {
    RefusalReason reason = RefusalReason::RetryBudgetSpent;
    Duration retryAfter {};
};
using RetryDecision = std::variant<Retry, NoRetry>;

// ---------------------------------------------------------------------------------------------------------------------
// Placement strategies

/** Weighs predicted times of a few sampled endpoints; with admission, fair shares, hedges and ejection. */
struct Predictive {
    std::uint32_t localSamples = 4; ///< endpoints sampled in the own zone, 1 or more
    std::uint32_t remoteSamples = 2; ///< endpoints sampled in other zones
};
/** Baseline: a random endpoint; admits every job. */
struct RandomChoice {
};
/** Baseline: each endpoint in turn; admits every job. */
struct RoundRobin {
};
/** Baseline: the endpoint with the least reported load per slot; admits every job. */
struct LeastReportedLoad {
};
using Strategy = std::variant<Predictive, RandomChoice, RoundRobin, LeastReportedLoad>;

/** Fixed settings of a policy. */
struct Options {
    AvailabilityZoneId zone; ///< zone of this VM
    std::uint64_t seed = 1;
    Strategy strategy = Predictive {};
    Duration wallClockOffset {}; ///< wall clock minus Time on this VM; makes priorities of all VMs comparable
};

// ---------------------------------------------------------------------------------------------------------------------
// The policy

/** State of the feedback loop of one class, for metrics. */
struct ClassStatus {
    ClassId id;
    double attainment = 1; ///< recent share of ended jobs that were met, without refused ones
    double costPerMetJob = 0; ///< recent mean cost of a met job, in millionths of the currency unit
    double hedgingLevel = 0; ///< effort beyond the minimum, 0 (save) to 1 (hedge freely)
};

/**
 * Decides for the jobs of one traffic thread. Every event of a call or job must be told. Not thread-safe.
 *
 * The order of calls for a job: admit(); per stage place(), onCallStarted(), onCallEnded(), and onFailed() after a
 * failure; at the end onJobEnded(), also when the job was refused after admission.
 */
class Policy
{
public:
    explicit Policy(Options options);
    ~Policy();
    Policy(Policy &&) noexcept;
    Policy &operator=(Policy &&) noexcept;

    /** Takes a new configuration into use; jobs that run keep the pipeline they started with. */
    void setConfig(std::shared_ptr<const config::FleetConfig> configuration);
    /** Replaces the list of endpoints. What was learned of an endpoint is kept while its incarnation stays. */
    void setEndpoints(std::span<const EndpointInfo> endpoints);
    /** Takes a load report; ignored when older than the last one or of another incarnation. */
    void onLoadReport(const EndpointLoad &load);
    /** Takes a change of a prefix cache. */
    void onCacheEvent(const CacheEvent &event, Time now);
    /** Takes the sum of what all other policies of the fleet told; forgotten after hintLifetime. */
    void onDemandHint(const DemandHint &hint, Time now);
    /** What this policy tells others. */
    DemandHint localHint(Time now) const;

    /** Decides whether a job may start. */
    Admission admit(const JobInfo &job, Time now);
    /** Chooses the endpoint for one call of an admitted job. */
    Placement place(const PlacementRequest &request, Time now);
    /** A second endpoint for a call that runs late, when the budget allows; made as a new attempt of the stage. */
    std::optional<Placed> tryHedge(const CallId &call, Time now);
    /** The call was sent to the endpoint that place() or maybeHedge() named. */
    void onCallStarted(const CallId &call, const EndpointId &endpoint, Time now);
    /** The call ended; unknown calls are ignored. */
    void onCallEnded(const CallId &call, const CallOutcome &outcome, Time now);
    /** Whether a failed call is made again. Told after onCallEnded() with the same outcome. */
    RetryDecision decideRetry(const CallId &call, const EndpointId &endpoint, const CallOutcome &outcome, Time now);
    /** The job ended; what is known of it is forgotten. @param cost of all its calls, hedges included */
    void onJobEnded(const JobId &job, JobOutcome end, Cost cost, Time now);

    /** Updates comparisons between peers and feedback. Call it at nextWake(). */
    void tick(Time now);
    /** When tick() is due. */
    Time nextWake() const noexcept;

    /** State of the feedback loops, by class. */
    std::vector<ClassStatus> classStatus() const;
    /** Endpoints that are avoided for being slow, failing or unreachable. */
    std::vector<EndpointId> ejectedEndpoints(Time now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Capacity

/** Backlog of one pool or model in a zone. */
struct PoolBacklog {
    PoolId pool;
    ModelId model; ///< empty: the pool as a whole
    double utilization = 0; ///< busy share of the slots, 0 to 1 and more with a queue
    Duration wait {}; ///< mean wait for a slot
    Duration targetWait {}; ///< wait that the classes' targets allow
};

/** A zone as its lease holder sees it. */
struct ZoneCapacityView {
    AvailabilityZoneId zone;
    std::vector<EndpointInfo> endpoints;
    std::vector<PoolBacklog> backlog;
    std::vector<std::pair<PoolId, PoolId>> convertiblePools; ///< pools whose endpoints can change from first to second
    std::uint32_t lostEndpoints = 0; ///< endpoints lost within the last failureWindow
};

/** Load a model on an endpoint. */
struct LoadModel {
    EndpointId endpoint;
    Incarnation incarnation;
    ModelId model;
};
/** Make an endpoint serve another pool. */
struct ChangeRole {
    EndpointId endpoint;
    Incarnation incarnation;
    PoolId role;
};
using CapacityAction = std::variant<LoadModel, ChangeRole>;

/** Bounds on capacity changes. */
struct CapacityLimits {
    Bytes storeBytesPerSecond { 1'000'000'000 }; ///< rate of the weight store for this zone; over 0
    Duration failureCooldown = 60s; ///< no role changes for this long after a failure of a zone or rack
    Duration settlingTime = 20s; ///< between two orders for one pool
    double donorMaxUtilization = 0.6; ///< a pool under this may give an endpoint away
    double zoneFailureFraction = 0.2; ///< lost part of a zone's endpoints that counts as its failure
};

/** Plans role changes and model loads of one zone; for the holder of the zone's lease. */
class CapacityPlanner
{
public:
    explicit CapacityPlanner(CapacityLimits limits = {});
    ~CapacityPlanner();
    CapacityPlanner(CapacityPlanner &&) noexcept;
    CapacityPlanner &operator=(CapacityPlanner &&) noexcept;

    void setConfig(std::shared_ptr<const config::FleetConfig> configuration);
    /** Orders to give now: idempotent statements of the wanted state; few at a time. */
    std::vector<CapacityAction> plan(const ZoneCapacityView &view, Time now);

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace lacewing::policy
