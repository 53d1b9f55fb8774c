#pragma once

#include <base/base.h>
#include <config/config.h>
#include <log/log.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/**
 * What the fleet agrees on through the platform's log: claims for requests that may not be repeated, tickets, leases
 * with fencing numbers, charges and the audit trail. No input, output, threads or clocks.
 *
 * Each part takes an event, or an answer of the log, with the time, and returns effects for its driver to carry out:
 * requests to the log, messages to peers, and results. The driver calls tick() at nextWake(). Parts ignore answers to
 * requests that aren't theirs, so a driver may offer every answer to each.
 */
namespace lacewing::ledger
{

/** This VM, as named in records and messages. */
struct Self {
    VmId vm;
    Incarnation incarnation;
    AvailabilityZoneId zone;
};

/** The parts that send requests to the log; each has a range of request tags of its own. */
enum class Part : std::uint8_t { Claims = 1, Leases = 2, Charges = 3, Audit = 4, ChargeTotals = 5 };

/** The highest 8 bits of a request tag name the part. */
constexpr unsigned tagPartShift = 56;

// ---------------------------------------------------------------------------------------------------------------------
// Claims

/** A hash of workspace and idempotency key; names a key in claims. */
struct KeyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const KeyDigest &) const = default;
    LACEWING_MEMBERS(high, low)
};

/** The digest of a caller's key within its workspace. */
KeyDigest digestOf(const WorkspaceId &workspace, const IdempotencyKey &key);

/** Number of streams over which claims are spread by key; the same on every VM, now and later. */
constexpr std::uint32_t claimPartitions = 16;

/** The partition of a key, in [0, claimPartitions). */
std::uint32_t partitionOf(const KeyDigest &digest) noexcept;
/** The log stream of a partition: "claims-<partition>". */
log::StreamId claimStream(std::uint32_t partition);

/** What a claim record asks for. */
enum class ClaimKind : std::uint8_t {
    Run, ///< to be the one job that runs the key's request
    Void, ///< that no job ever runs it
};

/** Asks the zone's writer to settle a key for a job; also the record in the log. */
struct ClaimRequest {
    ClaimKind kind = ClaimKind::Run;
    KeyDigest key;
    WallTime keyTime; ///< when the caller made the key; the same in every copy of the request
    Fingerprint fingerprint;
    VmId vm; ///< the VM that asks
    JobId job; ///< its job; the owner is the VM's incarnation

    bool operator==(const ClaimRequest &) const = default;
    LACEWING_MEMBERS(kind, key, keyTime, fingerprint, vm, job)
};

/** Says what a writer read in the log: the first valid record of a key. */
struct ClaimReply {
    JobId job; ///< of the request
    ClaimRequest first; ///< the record that decides

    bool operator==(const ClaimReply &) const = default;
    LACEWING_MEMBERS(job, first)
};

/** Says that a request can't be settled by this writer. */
struct ClaimRefusal {
    JobId job; ///< of the request
    ErrorKind kind = ErrorKind::Unavailable; ///< Unavailable: no log here; Expired: the key's time is too old or ahead

    bool operator==(const ClaimRefusal &) const = default;
    LACEWING_MEMBERS(job, kind)
};

/** Messages about claims between VMs. */
using ClaimMessage = std::variant<ClaimRequest, ClaimReply, ClaimRefusal>;

/** This job's claim is the first: run it, after asking mayDispatch(). */
struct RunHere {
    bool operator==(const RunHere &) const = default;
};
/** Another job has the key: send the copy to that VM to wait for the same answer; if it is gone, say unknown. */
struct OwnedBy {
    VmId vm;
    JobId job; ///< the owner is the VM's incarnation
    bool operator==(const OwnedBy &) const = default;
};
/** Proved: no copy of the request ever ran or will run. */
struct Voided {
    bool operator==(const Voided &) const = default;
};
/** The key's time is outside the claim window; an earlier copy may have run, so say unknown. */
struct KeyExpired {
    bool operator==(const KeyExpired &) const = default;
};
/** The key was used for a request with other content or another time: refuse it; this copy never runs. */
struct KeyReused {
    bool operator==(const KeyReused &) const = default;
};
/** Not settled by the deadline, or the log can't be reached by any zone: this copy never runs, others may; unknown. */
struct Unsettled {
    bool operator==(const Unsettled &) const = default;
};
using Verdict = std::variant<RunHere, OwnedBy, Voided, KeyExpired, KeyReused, Unsettled>;

/** Asks whether a job may run its request. Its answer is one ClaimSettled. */
struct ClaimWanted {
    JobId job; ///< owned by this incarnation; each job may ask once
    WorkspaceId workspace;
    IdempotencyKey key;
    WallTime keyTime; ///< when the caller made the key, as sent with it
    Fingerprint fingerprint;
    Time deadline; ///< until when a verdict is of use and the job may be dispatched
};
/** Asks to prove that no copy of a request ever runs, to refuse it as not run. Its answer is one ClaimSettled. */
struct VoidWanted {
    JobId job; ///< of the refused copy; each job may ask once, and not after ClaimWanted
    WorkspaceId workspace;
    IdempotencyKey key;
    WallTime keyTime;
    Fingerprint fingerprint;
    Time deadline; ///< until when the proof is of use
};
/** A job that was told RunHere has ended; forgets it. */
struct JobEnded {
    JobId job;
};
/** A message from a peer. */
struct ClaimMessageReceived {
    VmId from;
    ClaimMessage message;
};
/** One VM of the system. */
struct Member {
    VmId vm;
    AvailabilityZoneId zone;
};
/** The VMs believed to be live. A wrong list costs time and batching only. */
struct MembersChanged {
    std::vector<Member> members;
};
using ClaimsEvent = std::variant<ClaimWanted, VoidWanted, JobEnded, ClaimMessageReceived, MembersChanged, log::Answer>;

/** The outcome of a ClaimWanted or VoidWanted; said once for each. */
struct ClaimSettled {
    JobId job;
    Verdict verdict;
};
/** Asks the driver to send a message to a peer; it may be lost. */
struct SendClaimMessage {
    VmId to;
    ClaimMessage message;
};
using ClaimsEffect = std::variant<log::Request, SendClaimMessage, ClaimSettled>;

/** Limits and times of Claims. */
struct ClaimsOptions {
    /** How old a key may be. The log must keep records for longer than this by twice `skew` at least. */
    Duration window = 15min;
    Duration skew = 1min; ///< most by which clocks of callers, VMs and the platform differ
    Duration replyTimeout = 400ms; ///< without a reply the request is sent to the next writer; over 0
    Duration readWait = 2s; ///< how long the platform may hold a read when there is nothing new
    Duration logTimeout = 3s; ///< a request to the log without an answer for this long after its wait counts as lost
    Duration retryDelay = 100ms; ///< pause after a log request that failed
    double appendsPerSecond = 250; ///< share of the platform's appends that all claim writers together may use
    std::size_t maxWaiting = 10'000; ///< requests being settled at a time; more are Unsettled at once
    Duration idleAfter = 2min; ///< a partition that nobody asked about for this long is no longer read
};

/**
 * Settles which copy of a keyed request that may not be repeated is run, at most once in the fleet.
 *
 * The first valid record of a key in its partition's stream decides, so no view of the membership has to be right and a
 * record that is appended twice does no harm. A record is valid if the platform's time of its append is within the
 * window of the key's time. A VM asks its zone's writer of the partition, or itself if it is the writer; the writer
 * answers only from what it has read, from the start of the window on. If the zone's writer is silent or has no log,
 * writers in other zones are asked in turn. Not thread-safe.
 */
class Claims
{
public:
    using Effects = std::vector<ClaimsEffect>;

    Claims(Self self, ClaimsOptions options = {});
    ~Claims();
    Claims(Claims &&) noexcept;
    Claims &operator=(Claims &&) noexcept;

    Effects handle(const ClaimsEvent &event, Time now, WallTime wallNow);
    /** Carries out what is due. */
    Effects tick(Time now, WallTime wallNow);
    /** When tick() next has something to do. */
    std::optional<Time> nextWake() const;

    /** To be asked right before a call that may not be repeated: false unless told RunHere and before the deadline. */
    bool mayDispatch(const JobId &job, Time now) const;

    /** The shortest time between two appends of this VM to one partition, in the fleet as now known. */
    Duration batchInterval() const;
    /** Counters and sizes for metrics. */
    struct Stats {
        std::uint64_t appends = 0; ///< batches sent to the log
        std::uint64_t recordsAppended = 0;
        std::uint64_t recordsRead = 0;
        std::uint64_t retries = 0; ///< requests sent again to another writer
        std::uint64_t malformed = 0; ///< records that could not be decoded
        std::size_t waiting = 0; ///< requests of this VM being settled
        std::size_t remembered = 0; ///< keys known from the log
        std::size_t partitionsRead = 0;
    };
    Stats stats() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Tickets

/** Names a request that only one incarnation of one VM may run, once. */
struct Ticket {
    VmId vm;
    Incarnation incarnation;
    std::uint64_t high = 0; ///< random; can't be guessed
    std::uint64_t low = 0;

    auto operator<=>(const Ticket &) const = default;
};

/** Writes a ticket as "t-<incarnation>-<high>-<low>-<vm>", numbers in hexadecimal. */
std::string toText(const Ticket &ticket);
/** Reads what toText() wrote; empty when the text is no ticket. */
std::optional<Ticket> ticketFromText(std::string_view text);

/** The ticket was minted elsewhere: send the request there; if that VM is gone, say unknown. */
struct ForwardTo {
    VmId vm;
    Incarnation incarnation;
    bool operator==(const ForwardTo &) const = default;
};
/** The ticket's run is over. */
struct TicketEnded {
    JobId job;
    Ran ran = Ran::Unknown;
    bool operator==(const TicketEnded &) const = default;
};
/** Minted by a former incarnation, expired or never minted: say unknown. */
struct TicketUnknown {
    bool operator==(const TicketUnknown &) const = default;
};
/** What to do with a request that carries a ticket; OwnedBy: wait for that job of this VM. */
using TicketVerdict = std::variant<RunHere, OwnedBy, TicketEnded, ForwardTo, Voided, KeyReused, TicketUnknown>;

/** Limits and times of Tickets. */
struct TicketsOptions {
    Duration lifetime = 15min; ///< from minting to expiry
    std::size_t maxTickets = 20'000; ///< held at a time; minting more fails with TooMany
};

/**
 * Mints tickets and decides on requests that carry one. Needs no log. A ticket belongs to its workspace: for another
 * one it is unknown. All is forgotten at expiry. Not thread-safe.
 */
class Tickets
{
public:
    /** @param seed from a source that can't be guessed */
    Tickets(Self self, std::uint64_t seed, TicketsOptions options = {});
    ~Tickets();
    Tickets(Tickets &&) noexcept;
    Tickets &operator=(Tickets &&) noexcept;

    /** Makes a new ticket. @return TooMany when too many are held */
    Result<Ticket> mint(const WorkspaceId &workspace, Time now);
    /** Uses a ticket for a job: RunHere for the first, and never again. */
    TicketVerdict use(const Ticket &ticket, const WorkspaceId &workspace, Fingerprint fingerprint, JobId job, Time now);
    /** Voids a ticket that was not used: Voided proves that its request never runs. */
    TicketVerdict refuse(const Ticket &ticket, const WorkspaceId &workspace, Time now);
    /** Says how the run of a ticket's job ended, for later copies. */
    void ended(const Ticket &ticket, Ran ran);

    /** Tickets held, used ones included. */
    std::size_t size() const noexcept;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Leases

/** Names what a lease is for, such as "placement/<zone>". */
using LeaseName = Name<struct LeaseNameTag>;

/** Name of the log stream of leases. */
constexpr std::string_view leaseStreamName = "leases";

/** Wants a lease and keeps it renewed; taken over when its holder's time is over. */
struct LeaseWanted {
    LeaseName name;
};
/** Gives a lease back, or stops trying for it. */
struct LeaseUnwanted {
    LeaseName name;
};
using LeasesEvent = std::variant<LeaseWanted, LeaseUnwanted, log::Answer>;

/** This VM holds the lease from now on; ask mayOrder() before each order. */
struct LeaseGained {
    LeaseName name;
    FencingNumber fencing;
    bool operator==(const LeaseGained &) const = default;
};
/** This VM no longer holds the lease. */
struct LeaseLost {
    LeaseName name;
    bool operator==(const LeaseLost &) const = default;
};
using LeasesEffect = std::variant<log::Request, LeaseGained, LeaseLost>;

/** Limits and times of Leases. */
struct LeasesOptions {
    Duration duration = 10s; ///< validity after each renewal
    Duration renewEvery = 3s; ///< under half of `duration`
    Duration pauseMargin = 1s; ///< longest pause between the check of a lease and the sending of its order
    Duration longestOrder = 3s; ///< longest time from sending an order to its effect
    Duration readWait = 2s;
    Duration logTimeout = 3s;
    Duration retryDelay = 500ms;
    Duration forgetAfter = 1h; ///< a record is no obstacle to one appended this much later; the log must keep longer
};

/** Who holds a lease, from what was read. */
struct LeaseHolder {
    VmId vm;
    Incarnation incarnation;
    FencingNumber fencing;
};

/**
 * Takes, renews and gives back leases through the log. A record is accepted iff it names the last accepted record of
 * its lease as the one before it, so that every reader of the log decides alike. Offset 0 can't be a fencing number: a
 * record there is not accepted.
 *
 * The holder counts its time from before it sent the record; another VM counts from when it read it and waits until the
 * full duration is over, both on their monotonic clocks. Not thread-safe.
 */
class Leases
{
public:
    using Effects = std::vector<LeasesEffect>;

    Leases(Self self, std::uint64_t seed, LeasesOptions options = {});
    ~Leases();
    Leases(Leases &&) noexcept;
    Leases &operator=(Leases &&) noexcept;

    Effects handle(const LeasesEvent &event, Time now, WallTime wallNow);
    Effects tick(Time now, WallTime wallNow);
    std::optional<Time> nextWake() const;

    /**
     * To be asked right before each order. Empty: the order may not be sent.
     *
     * @param honoursFencing the endpoint refuses old fencing numbers; for others, a new holder waits until orders of
     * the one before can no longer arrive
     */
    std::optional<FencingNumber> mayOrder(const LeaseName &name, bool honoursFencing, Time now) const;
    /** The holder, this VM or another, as far as read; it may have lapsed. */
    std::optional<LeaseHolder> holderOf(const LeaseName &name) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Charges and audit

/** The price of one finished stage. */
struct Charge {
    JobId job;
    StageIndex stage;
    WorkspaceId workspace;
    ClassId workClass;
    Cost cost; ///< 0 or more

    bool operator==(const Charge &) const = default;
    LACEWING_MEMBERS(job, stage, workspace, workClass, cost)
};

/** Name of the log stream of charges. */
constexpr std::string_view chargeStreamName = "charges";
/** Name of the log stream of the audit trail. */
constexpr std::string_view auditStreamName = "audit";

/** Limits and times of Charges and Audit. */
struct BatchOptions {
    Duration interval = 10s; ///< between two batches
    std::size_t maxPending = 50'000; ///< entries held while the log can't be reached; the oldest go first
    std::size_t maxBatch = 1'000; ///< entries in one record
    Duration logTimeout = 5s;
    Duration retryDelay = 1s;
    Duration keyMemory = 20min; ///< how long a (job, stage) is remembered so that it is charged once
};

/** Counters of a part that writes batches. */
struct BatchStats {
    std::uint64_t written = 0; ///< entries known to be in the log
    std::uint64_t dropped = 0; ///< entries that went for lack of room
    std::uint64_t repeated = 0; ///< entries not taken, because their key was taken before
    std::size_t pending = 0; ///< entries not yet known to be in the log
};

/**
 * Writes charges to the log in batches, each counted once: a batch keeps its number and content until it is known to be
 * in the log. A charge may be lost with its VM, and is never doubled. Not thread-safe.
 */
class Charges
{
public:
    using Effects = std::vector<log::Request>;

    Charges(Self self, BatchOptions options = {});
    ~Charges();
    Charges(Charges &&) noexcept;
    Charges &operator=(Charges &&) noexcept;

    /** Takes the charge of one finished stage; a second one for the same stage of the same job is not taken. */
    Effects add(const Charge &charge, Time now);
    Effects handle(const log::Answer &answer, Time now);
    Effects tick(Time now);
    /** Writes what is pending without waiting for the interval; for a graceful stop. */
    Effects flush(Time now);
    std::optional<Time> nextWake() const;
    BatchStats stats() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

/** Sum of charges. */
struct ChargeTotal {
    std::uint64_t charges = 0;
    Cost cost;
    bool operator==(const ChargeTotal &) const = default;
};

/** Adds up the charges read from the log, each batch once, and each stage of a job once by its writer's promise. */
class ChargeTotals
{
public:
    using Key = std::pair<WorkspaceId, ClassId>;

    /** Takes the next records of the charge stream; records read before are skipped. */
    void read(const log::ReadAnswer &answer);
    /** Offset from which to read on. */
    LogOffset nextRead() const noexcept
    {
        return nextRead_;
    }
    const std::map<Key, ChargeTotal> &byClass() const noexcept
    {
        return byClass_;
    }
    const std::map<StageIndex, ChargeTotal> &byStage() const noexcept
    {
        return byStage_;
    }
    /** Batches that were read a second time and not counted again. */
    std::uint64_t repeatedBatches() const noexcept
    {
        return repeatedBatches_;
    }

private:
    LogOffset nextRead_;
    std::map<Key, ChargeTotal> byClass_;
    std::map<StageIndex, ChargeTotal> byStage_;
    std::map<Incarnation, std::uint64_t> lastBatch_; ///< number of the last batch counted of each writer
    std::uint64_t repeatedBatches_ = 0;
};

/** One change of state that an operator, or the system, made. */
struct AuditEntry {
    WallTime at;
    OperatorId who; ///< "system" for what no operator asked for
    std::string what; ///< short and fixed, such as "configuration-accepted"
    std::string subject; ///< what was changed, such as an item's key or an endpoint
    ConfigVersion from; ///< version before, 0 when it has none
    ConfigVersion to; ///< version after, 0 when it has none
    VmId vm; ///< the VM that saw or did it

    bool operator==(const AuditEntry &) const = default;
    LACEWING_MEMBERS(at, who, what, subject, from, to, vm)
};

/** Writes the audit trail to the log in batches; bounded in memory, oldest first to go. Not thread-safe. */
class Audit
{
public:
    using Effects = std::vector<log::Request>;

    Audit(Self self, BatchOptions options = {});
    ~Audit();
    Audit(Audit &&) noexcept;
    Audit &operator=(Audit &&) noexcept;

    Effects add(const AuditEntry &entry, Time now);
    Effects handle(const log::Answer &answer, Time now);
    Effects tick(Time now);
    /** Writes what is pending without waiting for the interval; for a graceful stop. */
    Effects flush(Time now);
    std::optional<Time> nextWake() const;
    BatchStats stats() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

/** Reads the audit trail: the entries of each batch once. */
class AuditReader
{
public:
    /** The new entries of an answer, in the order of the log. */
    std::vector<AuditEntry> read(const log::ReadAnswer &answer);
    LogOffset nextRead() const noexcept
    {
        return nextRead_;
    }
    /** Entries that their writers dropped for lack of room. */
    std::uint64_t dropped() const noexcept;

private:
    struct Writer {
        std::uint64_t lastBatch = 0;
        std::uint64_t dropped = 0;
    };
    LogOffset nextRead_;
    std::map<Incarnation, Writer> writers_;
};

} // namespace lacewing::ledger
