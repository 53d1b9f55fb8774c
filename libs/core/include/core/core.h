#pragma once

#include <base/base.h>
#include <config/config.h>
#include <fleet/fleet.h>
#include <ledger/ledger.h>
#include <log/log.h>
#include <pipeline/pipeline.h>
#include <policy/policy.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * One VM's whole behaviour without input or output.
 *
 * JobCore runs jobs; there is one for each traffic thread. ControlCore takes part in the fleet, keeps the
 * configuration, claims and charges; there is one for each VM. VmCore joins one of each into a single object for tests
 * and replay.
 */
namespace lacewing::core
{

// ---------------------------------------------------------------------------------------------------------------------
// Jobs: what callers ask

/** A driver's name for one caller's request, to send answers back; unique within a JobCore, 0 is none. */
using RequestId = Number<struct RequestIdTag>;

/** A job as it comes in. */
struct CallerRequest {
    WorkspaceId workspace;
    ClassId jobClass;
    std::string input;
    Tokens maxTokens;
    std::optional<Duration> timeout; ///< until the answer is worthless; empty: the class's target
    bool repeatable = true; ///< the caller's word; a pipeline with a stage that isn't repeatable overrules it
    IdempotencyKey key; ///< empty: none
    std::optional<WallTime> keyTime; ///< when the caller made the key; empty: now
    std::string ticket; ///< empty: none
    std::vector<std::uint64_t> prefixes; ///< hashes of growing prefixes of the prompt, shortest first
};

/** A caller submits a job. */
struct Submit {
    RequestId request;
    CallerRequest job;
};
/** A caller wants the answer of a job from an offset on, now and as it comes. */
struct Attach {
    RequestId request;
    JobId job;
    ByteOffset from;
};
/** A caller gives up a job. */
struct CancelJob {
    RequestId request;
    JobId job;
};
/** Asks for the state and the decisions of a job. */
struct Query {
    RequestId request;
    JobId job;
};
/** The caller's connection is gone; its job goes on until its deadline, so that the caller can come back. */
struct CallerGone {
    RequestId request;
};

// Jobs: what endpoints answer

/** Part of a streamed result. */
struct StageChunk {
    CallId call;
    ByteOffset offset;
    std::string text;
};
/** A call gave its whole result. */
struct StageEnded {
    CallId call;
    ByteOffset length;
    std::string result;
    Duration busy {};
    Tokens generated;
    Tokens cached;
};
/** A call failed. */
struct StageFailed {
    CallId call;
    ErrorKind error = ErrorKind::ConnectionLost;
    Ran ran = Ran::Unknown;
    bool crashed = false;
};

// Jobs: what the control core answers

/** The job may run here: its claim is the first of its key, or its ticket was unused. */
struct RunHere {
};
/** Another job has the key; the caller is to have that job's answer. */
struct OwnedBy {
    VmId vm;
    JobId job;
};
/** The job may not run. `ran` speaks of every copy of the request. */
struct MayNotRun {
    pipeline::FailureReason reason = pipeline::FailureReason::LogUnavailable;
    Ran ran = Ran::Unknown;
};
using ClaimVerdict = std::variant<RunHere, OwnedBy, MayNotRun>;

/** Answers WantClaim and WantVoid. */
struct ClaimSettled {
    JobId job;
    ClaimVerdict verdict;
};
/** Answers WantPermit. */
struct PermitSettled {
    CallId call;
    fleet::PermitRefusal refusal = fleet::PermitRefusal::None;
};
/** New configuration and view of the fleet. Either may be unchanged. */
struct Published {
    std::shared_ptr<const config::FleetConfig> configuration;
    std::shared_ptr<const fleet::View> view;
};
/** A request was found to crash endpoints, or cleared of it. */
struct SuspicionNews {
    Fingerprint fingerprint;
    fleet::SuspicionState state = fleet::SuspicionState::Clear;
};
/** What the other policies of the fleet told, in sum. */
struct HintNews {
    policy::DemandHint hint;
};
/** A change of an engine's prefix cache. */
struct CacheNews {
    policy::CacheEvent event;
};
/** Take no new jobs from now on. */
struct StopAdmitting {
};
/** Time has passed; due at nextWake(). */
struct Tick {
};

using JobEvent = std::variant<Submit,
                              Attach,
                              CancelJob,
                              Query,
                              CallerGone,
                              StageChunk,
                              StageEnded,
                              StageFailed,
                              ClaimSettled,
                              PermitSettled,
                              Published,
                              SuspicionNews,
                              HintNews,
                              CacheNews,
                              StopAdmitting,
                              Tick>;

// ---------------------------------------------------------------------------------------------------------------------
// Jobs: explanations

/** Kinds of decisions that are kept for explanations. */
enum class DecisionKind : std::uint8_t {
    Received,
    Admitted,
    Refused,
    ClaimAsked,
    ClaimSettled,
    Placed,
    NotPlaced,
    Waiting,
    PermitAsked,
    PermitSettled,
    CallStarted,
    CallResumed,
    CallHedged,
    CallEnded,
    CallFailed,
    CallCancelled,
    Charged,
    Finished,
};

/** Short fixed text, such as "call-started". */
std::string_view toText(DecisionKind kind) noexcept;

/** One decision about a job, and what led to it. */
struct Decision {
    Duration sinceArrival {};
    DecisionKind kind = DecisionKind::Received;
    StageIndex stage;
    Attempt attempt;
    EndpointId endpoint;
    Duration predicted {}; ///< what was expected, for Admitted and Placed
    Duration took {}; ///< for CallEnded, CallFailed and Finished
    std::string_view reason; ///< fixed text of the typed reason; empty when there is none
    Cost cost; ///< for Charged
    std::vector<policy::CandidateEstimate> considered; ///< for Placed
};

/** Most decisions kept for one job. */
constexpr std::size_t maxDecisions = 100;

/** State of a job as told to its caller or an operator. */
struct JobStatus {
    JobId id;
    WorkspaceId workspace;
    ClassId jobClass;
    Duration age {}; ///< since arrival
    Duration completionTarget {}; ///< of its class
    std::optional<pipeline::Outcome> outcome; ///< empty while it runs
    Duration elapsed {}; ///< from arrival to the outcome, or to now
    ByteOffset answered; ///< bytes of the answer so far
    StageIndex stage;
    std::vector<pipeline::StageRecord> stages;
    std::vector<Decision> decisions;
};

// ---------------------------------------------------------------------------------------------------------------------
// Jobs: effects

/** Call an endpoint, or resume its cut stream. */
struct StartCall {
    CallId call;
    EndpointId endpoint;
    Incarnation incarnation; ///< of the endpoint as last reported; 0: unknown
    std::string address; ///< ip:port
    config::StageKind kind = config::StageKind::Service;
    ModelId model;
    WorkspaceId workspace;
    std::string input;
    Tokens maxTokens;
    bool resume = false; ///< true: only the rest of a cut stream is wanted
    ByteOffset resumeAt;
    std::string forcedPrefix;
    int priority = 0;
    Duration timeout {};
    bool repeatable = true;
    Fingerprint fingerprint;
};
/** Give up a call. */
struct CancelCall {
    CallId call;
};
/** The request is accepted as, or attached to, this job. Comes before any other answer to it but Refuse. */
struct Accepted {
    RequestId request;
    JobId job;
};
/** New bytes of the answer. */
struct Piece {
    RequestId request;
    ByteOffset offset;
    std::string text;
};
/** The job ended; last answer to the request. */
struct Finished {
    RequestId request;
    JobStatus status;
};
/** The request is not accepted; last answer to it. */
struct Refuse {
    RequestId request;
    pipeline::FailureReason reason = pipeline::FailureReason::StageFailed;
    Ran ran = Ran::Unknown;
    Duration retryAfter {};
};
/** Another VM runs the request's job: attach the caller there; if that VM is gone, Ran is Unknown. */
struct Forward {
    RequestId request;
    JobId job;
    ByteOffset from;
};
/** Answers Query; empty when the job isn't known here. */
struct QueryAnswer {
    RequestId request;
    std::optional<JobStatus> status;
};
/** To control: may this job run? */
struct WantClaim {
    JobId job;
    WorkspaceId workspace;
    IdempotencyKey key;
    WallTime keyTime;
    std::string ticket;
    Fingerprint fingerprint;
    Time deadline;
};
/** To control: prove that no copy of this request ran or will run. */
struct WantVoid {
    JobId job;
    WorkspaceId workspace;
    IdempotencyKey key;
    WallTime keyTime;
    std::string ticket;
    Fingerprint fingerprint;
    Time deadline;
};
/** To control: a suspected request wants to run on an endpoint. */
struct WantPermit {
    CallId call;
    fleet::PermitWanted permit;
};
/** To control: a run under a permit ended. */
struct EndPermit {
    fleet::PermitEnded permit;
};
/** To control: an endpoint crashed while these requests ran there. */
struct CrashSeen {
    fleet::EndpointCrashed crash;
};
/** To control: a stage finished and is charged. */
struct ChargeStage {
    JobId job;
    StageIndex stage;
    WorkspaceId workspace;
    ClassId jobClass;
    EndpointId endpoint;
    std::string stageName;
    Cost cost;
    Duration busy {};
};
/** To control: the job ended. */
struct JobEnded {
    JobId job;
    WorkspaceId workspace;
    ClassId jobClass;
    IdempotencyKey key;
    policy::JobOutcome end = policy::JobOutcome::Met;
    Ran ran = Ran::Yes;
    Duration elapsed {};
    Cost cost; ///< of all its calls, those that didn't count included
};

using JobEffect = std::variant<StartCall,
                               CancelCall,
                               Accepted,
                               Piece,
                               Finished,
                               Refuse,
                               Forward,
                               QueryAnswer,
                               WantClaim,
                               WantVoid,
                               WantPermit,
                               EndPermit,
                               CrashSeen,
                               ChargeStage,
                               JobEnded>;

/** Fixed settings of a JobCore. */
struct JobCoreSettings {
    VmId vm;
    AvailabilityZoneId zone;
    Incarnation incarnation;
    std::uint32_t index = 0; ///< of this traffic thread
    std::uint32_t count = 1; ///< number of traffic threads; job sequences are congruent to the index modulo this
    std::uint64_t seed = 1; ///< from a source that can't be guessed: job ids are made of it
    policy::Strategy strategy = policy::Predictive {};
    Duration commonTimeOffset {}; ///< wall clock minus Time on this VM; makes priorities of all VMs comparable
    std::size_t maxJobs = 10'000; ///< jobs that run or wait at a time
    std::size_t maxFinished = 2'000; ///< ended jobs remembered for callers that come back
    Duration finishedRetention = 60s; ///< how long ended jobs are remembered
    Bytes answerBound { std::uint64_t(8) << 20U }; ///< largest answer
    Duration maxTimeout = 10min; ///< longest deadline a caller may ask for
};

/** Counts since the start. */
struct JobCounters {
    std::uint64_t submitted = 0;
    std::uint64_t admitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t met = 0; ///< completed within the class's target
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t resumes = 0;
    std::uint64_t crashes = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t staleResults = 0; ///< results dropped because their attempt isn't current
    std::uint64_t repeatedChunks = 0;
    std::uint64_t unknownJobResults = 0; ///< results for jobs that aren't known
    std::size_t running = 0; ///< at present
    std::size_t remembered = 0; ///< ended jobs, at present

    /** Adds those of another traffic thread. */
    JobCounters &operator+=(const JobCounters &other) noexcept;
};

/** Runs the jobs of one traffic thread. Not thread-safe. */
class JobCore
{
public:
    explicit JobCore(JobCoreSettings settings);
    ~JobCore();
    JobCore(JobCore &&) noexcept;
    JobCore &operator=(JobCore &&) noexcept;

    /** Takes one event. @return what the driver must do, in order */
    std::vector<JobEffect> handle(const JobEvent &event, Time now, WallTime wall);
    /** When a Tick is due next. */
    Time nextWake() const;
    /** What this core's policy tells the rest of the fleet. */
    policy::DemandHint ownHint(Time now) const;
    JobCounters counters() const;
    std::vector<policy::ClassStatus> classes() const;
    std::vector<EndpointId> ejected(Time now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

/** The traffic thread that a job of this VM belongs to. @param count number of traffic threads, over 0 */
constexpr std::uint32_t threadOf(const JobId &job, std::uint32_t count) noexcept
{
    return static_cast<std::uint32_t>(job.sequence % count);
}

// ---------------------------------------------------------------------------------------------------------------------
// Control: messages between VMs

/** Offered load of one pool within a HintShare. */
struct PoolHint {
    PoolId pool;
    double work = 0; ///< slot-seconds a second
    std::uint32_t inFlight = 0;
    std::uint32_t coming = 0;

    bool operator==(const PoolHint &) const = default;
    LACEWING_MEMBERS(pool, work, inFlight, coming)
};

/** Offered load of some VMs, on its way to or from the VM that sums it up for a zone. */
struct HintShare {
    bool total = false; ///< true: sum of all zones, for use; false: a part, to be summed
    AvailabilityZoneId zone; ///< of a part
    VmId vm; ///< of a VM's own part; empty: the part is the sum of a whole zone
    std::uint32_t policies = 0;
    std::vector<PoolHint> arrivals;
    std::vector<std::pair<WorkspaceId, double>> heavy; ///< heaviest first, with their shares

    bool operator==(const HintShare &) const = default;
    LACEWING_MEMBERS(total, zone, vm, policies, arrivals, heavy)
};

/** Every message between the control parts of two VMs. */
using PeerMessage = std::variant<fleet::PeerMessage, ledger::ClaimMessage, HintShare>;

// ---------------------------------------------------------------------------------------------------------------------
// Control: events

/** The platform's list of VMs and endpoints was read. */
struct ListRead {
    fleet::PlatformList list;
};
/** The log answered a request. */
struct LogAnswered {
    log::Answer answer;
};
/** A peer sent a message. */
struct PeerReceived {
    VmId from;
    PeerMessage message;
};
/** An endpoint's load was polled, or could not be. */
struct EndpointPolled {
    fleet::EndpointLoad load;
};
/** A JobCore of this VM wants something of control. */
using JobRequestToControl = std::variant<WantClaim, WantVoid, WantPermit, EndPermit, CrashSeen, ChargeStage, JobEnded>;
struct FromJobs {
    JobRequestToControl request;
};
/** What a JobCore's policy tells the fleet. */
struct HintMeasured {
    std::uint32_t index = 0; ///< of the traffic thread
    policy::DemandHint hint;
};
/** A driver's name for one operator's request, to send its answer back. */
using OperatorRequestId = Number<struct OperatorRequestTag>;
/** An operator changes the configuration. Answered by ChangeSettled. */
struct ApplyChange {
    OperatorRequestId request;
    config::Change change;
};
/** An operator, or an endpoint's own word, takes an endpoint out of service. */
struct LeaveEndpoint {
    EndpointId endpoint;
    OperatorId by;
};
/** An operator asks a VM to stop gracefully; also this one. */
struct LeaveVm {
    VmId vm;
    OperatorId by;
};
/** An operator lifts a quarantine. */
struct LiftQuarantine {
    Fingerprint fingerprint;
    OperatorId by;
};
/** A caller wants a ticket. Answered by TicketMinted. */
struct MintTicket {
    RequestId request;
    std::uint32_t index = 0; ///< of the traffic thread that asks
    WorkspaceId workspace;
};
/** Write out all charges and audit entries now; part of a graceful stop. */
struct Flush {
};
/** All jobs ended and everything is written: tell the others that this VM is gone. */
struct StopNow {
};

using ControlEvent = std::variant<Tick,
                                  ListRead,
                                  LogAnswered,
                                  PeerReceived,
                                  EndpointPolled,
                                  FromJobs,
                                  HintMeasured,
                                  ApplyChange,
                                  LeaveEndpoint,
                                  LeaveVm,
                                  LiftQuarantine,
                                  MintTicket,
                                  Flush,
                                  StopNow>;

// ---------------------------------------------------------------------------------------------------------------------
// Control: effects

/** Send a message to another VM; may be lost. */
struct SendPeer {
    VmId to;
    std::string address;
    PeerMessage message;
};
/** Submit a request to the log, and give LogAnswered. */
struct AskLog {
    log::Request request;
};
/** Poll an endpoint's load regularly, and give EndpointPolled. */
struct WatchEndpoint {
    EndpointId endpoint;
    std::string address;
};
/** Poll an endpoint no more. */
struct UnwatchEndpoint {
    EndpointId endpoint;
};
/** Give an event to one traffic thread, or to all. */
struct TellJobs {
    std::optional<std::uint32_t> index; ///< empty: all
    JobEvent event;
};
/** Order an endpoint into a wanted state. */
struct GiveOrder {
    EndpointId endpoint;
    std::string address;
    FencingNumber fencing;
    std::vector<ModelId> models; ///< empty: unchanged
    std::optional<config::StageKind> role; ///< empty: unchanged
};
/** Answers ApplyChange. */
struct ChangeSettled {
    OperatorRequestId request;
    Result<config::ChangeResult> result = failure(ErrorKind::Unavailable); ///< Timeout: it may be applied later
};
/** Answers MintTicket. */
struct TicketMinted {
    RequestId request;
    std::uint32_t index = 0;
    Result<ledger::Ticket> ticket = failure(ErrorKind::Unavailable);
};
/** This VM has been asked to leave: start the graceful stop. */
struct LeaveAsked {
};
/** Another process runs under this VM's id: stop. */
struct Superseded {
};
/** The VM is ready for jobs: it has a configuration. Given once. */
struct BecameReady {
};
/** The state that should be logged changed; one line for each. */
struct StateChange {
    enum class Kind : std::uint8_t {
        ConfigurationInForce,
        LeaseGained,
        LeaseLost,
        LogLost,
        LogBack,
        Quarantined,
        MemberChanged,
        SnapshotWritten,
    };
    Kind kind = Kind::ConfigurationInForce;
    std::string subject; ///< what changed: a version, a lease, a VM
};

/** Short fixed text, such as "lease-gained". */
std::string_view toText(StateChange::Kind kind) noexcept;

using ControlEffect = std::variant<SendPeer,
                                   AskLog,
                                   WatchEndpoint,
                                   UnwatchEndpoint,
                                   TellJobs,
                                   GiveOrder,
                                   ChangeSettled,
                                   TicketMinted,
                                   LeaveAsked,
                                   Superseded,
                                   BecameReady,
                                   StateChange>;

/** Fixed settings of a ControlCore. */
struct ControlCoreSettings {
    VmId vm;
    RegionId region;
    AvailabilityZoneId zone;
    std::string peerAddress; ///< ip:port as other VMs reach it
    Incarnation incarnation;
    std::uint64_t seed = 1; ///< from a source that can't be guessed: tickets are made of it
    WallTime wall; ///< civil time at the start
    std::uint32_t jobThreads = 1;
    ledger::ClaimsOptions claims;
    ledger::LeasesOptions leases;
    ledger::BatchOptions batches;
    fleet::Timing timing;
    Duration snapshotEvery = 10min; ///< between snapshots of the configuration in the log
    Duration capacityEvery = 5s; ///< between plans by the holder of the zone's placement lease
    Duration changeTimeout = 10s; ///< for an operator's change to be settled
};

/** What an operator sees of this VM. */
struct ControlStatus {
    ConfigVersion configVersion; ///< highest version in force
    bool ready = false;
    bool configReader = false;
    bool logReachable = false;
    Duration sinceLogAnswer {}; ///< since the last good answer of the log
    std::vector<std::pair<ledger::LeaseName, ledger::LeaseHolder>> leases;
    ledger::Claims::Stats claims;
    ledger::BatchStats charges;
    ledger::BatchStats audit;
    fleet::Counters fleet;
    std::size_t learnedItems = 0; ///< items known from peers beyond what was read in the log
    std::size_t tickets = 0;
};

/** One VM's part in the fleet: membership, configuration, claims, charges, leases and orders. Not thread-safe. */
class ControlCore
{
public:
    ControlCore(ControlCoreSettings settings, Time now);
    ~ControlCore();
    ControlCore(ControlCore &&) noexcept;
    ControlCore &operator=(ControlCore &&) noexcept;

    /** Takes one event. @return what the driver must do, in order */
    std::vector<ControlEffect> handle(const ControlEvent &event, Time now, WallTime wall);
    /** When a Tick is due next. */
    Time nextWake() const;

    std::shared_ptr<const fleet::View> view() const;
    std::shared_ptr<const config::FleetConfig> configuration() const;
    /** All configuration items in force with their versions, tombstones included. */
    std::vector<config::VersionedItem> items() const;
    /** What became of a change, while remembered. */
    std::optional<config::ChangeResult> resultOf(const config::ChangeId &change) const;
    ControlStatus status(Time now) const;
    /** Charges and audit entries that aren't known to be in the log. */
    std::size_t pendingWrites() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// One VM as a single object

using VmEvent = std::variant<JobEvent, ControlEvent>;
using VmEffect = std::variant<JobEffect, ControlEffect>;

/**
 * A whole VM: one ControlCore and one JobCore. What the two tell each other is passed on inside; only what concerns
 * the outside comes out. For tests, replay and other harnesses; the daemon runs the two on threads of their own.
 */
class VmCore
{
public:
    VmCore(ControlCoreSettings control, JobCoreSettings jobs, Time now);

    std::vector<VmEffect> handle(const VmEvent &event, Time now, WallTime wall);
    /** Gives both cores a Tick when one is due. */
    std::vector<VmEffect> tick(Time now, WallTime wall);
    Time nextWake() const;

    const ControlCore &control() const noexcept
    {
        return control_;
    }
    const JobCore &jobs() const noexcept
    {
        return jobs_;
    }

private:
    void toJobs(const JobEvent &event, Time now, WallTime wall, std::vector<VmEffect> &effects);
    void toControl(const ControlEvent &event, Time now, WallTime wall, std::vector<VmEffect> &effects);

    ControlCore control_;
    JobCore jobs_;
    Time nextHint_;
};

} // namespace lacewing::core
