#pragma once

#include <config/config.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

/**
 * What the entry VMs know of each other and tell each other: membership, spread facts, the load of endpoints, and
 * the quarantine of requests that crash endpoints. No input or output, threads or clocks.
 *
 * Structs that cross VMs have members(), which ties their fields in a fixed order for the codec.
 */
namespace lacewing::fleet
{

// ---------------------------------------------------------------------------------------------------------------------
// Facts

/** What a VM is believed to be. */
enum class MemberState : std::uint8_t {
    Alive, ///< answers, or is believed to
    Suspect, ///< did not answer a probe; still treated as alive until the suspicion ends
    Dead, ///< did not refute a suspicion in time
    Left, ///< said itself that it stops; final for its incarnation
};

/** "alive", "suspect", "dead" or "left". */
std::string_view toText(MemberState state) noexcept;

/** One entry VM of the system. A later incarnation of the same VM replaces an earlier one. */
struct Member {
    VmId vm;
    RegionId region;
    AvailabilityZoneId zone;
    std::string address; ///< "ip:port" of its peer listener
    Incarnation incarnation;
    WallTime startedAt; ///< orders the incarnations of one VM; raised above that of an earlier one
    std::uint32_t epoch = 0; ///< raised by the VM itself to refute a suspicion
    MemberState state = MemberState::Alive;
    WallTime changedAt; ///< when the state was set

    bool operator==(const Member &) const = default;
    LACEWING_MEMBERS(vm, region, zone, address, incarnation, startedAt, epoch, state, changedAt)
};

/** An endpoint's incarnation takes no new work any more. Never withdrawn. */
struct EndpointLeaving {
    EndpointId endpoint;
    Incarnation incarnation; ///< 0 when unknown: stands for the incarnation that runs now
    WallTime at;

    bool operator==(const EndpointLeaving &) const = default;
    LACEWING_MEMBERS(endpoint, incarnation, at)
};

/** A marked endpoint runs again under a new incarnation; tells VMs that don't poll it. The latest wins. */
struct EndpointStarted {
    EndpointId endpoint;
    Incarnation incarnation;
    WallTime at;

    bool operator==(const EndpointStarted &) const = default;
    LACEWING_MEMBERS(endpoint, incarnation, at)
};

/** An entry VM's incarnation takes no new work any more. Never withdrawn. */
struct VmLeaving {
    VmId vm;
    Incarnation incarnation;
    WallTime at;

    bool operator==(const VmLeaving &) const = default;
    LACEWING_MEMBERS(vm, incarnation, at)
};

/** A request was running on an endpoint's incarnation when that crashed. One fact for each request and crash. */
struct CrashMark {
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;
    Incarnation incarnation; ///< of the endpoint
    WallTime at;
    bool cleared = false; ///< a later run of the request alone finished, or an operator lifted the quarantine

    bool operator==(const CrashMark &) const = default;
    LACEWING_MEMBERS(fingerprint, pool, endpoint, incarnation, at, cleared)
};

/** An accepted change of one configuration item. The highest version wins. */
struct ConfigFact {
    config::VersionedItem item;
    config::ChangeId change; ///< the change that set it
    OperatorId by;
    WallTime at; ///< when the change was appended to the log

    bool operator==(const ConfigFact &) const = default;
    LACEWING_MEMBERS(item, change, by, at)
};

/** A change that every VM rejects by the same rule; kept for a while so that its operator can be told anywhere. */
struct ConfigRejection {
    config::ChangeId change;
    ConfigVersion version; ///< log offset of the rejected record
    ErrorKind reason = ErrorKind::Conflict;
    WallTime at;

    bool operator==(const ConfigRejection &) const = default;
    LACEWING_MEMBERS(change, version, reason, at)
};

/** How far one of a zone's configuration readers has read the log. Refreshed while it can read; zone-local. */
struct ConfigFrontier {
    AvailabilityZoneId zone;
    LogOffset next; ///< all records before it are known
    WallTime readAt;
    VmId reader;

    bool operator==(const ConfigFrontier &) const = default;
    LACEWING_MEMBERS(zone, next, readAt, reader)
};

/** Most workspaces that one VM or zone names as heavy. */
constexpr std::size_t maxHeavyWorkspaces = 8;

/** A workspace's use of capacity. */
struct WorkspaceUsage {
    WorkspaceId workspace;
    std::uint32_t slotMilliseconds = 0; ///< endpoint slots in use times time, per second

    bool operator==(const WorkspaceUsage &) const = default;
    LACEWING_MEMBERS(workspace, slotMilliseconds)
};

/** Load of one pool's endpoints within one zone. */
struct PoolLoad {
    PoolId pool;
    std::uint32_t endpoints = 0; ///< live and not leaving
    std::uint32_t slots = 0; ///< requests that they can run at once
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    bool operator==(const PoolLoad &) const = default;
    LACEWING_MEMBERS(pool, endpoints, slots, running, queued)
};

/** Summary of one zone for the other zones: its pools and its heaviest workspaces. */
struct ZoneLoad {
    AvailabilityZoneId zone;
    WallTime at;
    std::vector<PoolLoad> pools;
    std::vector<WorkspaceUsage> heavy; ///< at most maxHeavyWorkspaces, heaviest first

    bool operator==(const ZoneLoad &) const = default;
    LACEWING_MEMBERS(zone, at, pools, heavy)
};

/** What VMs tell each other. Merging two facts with the same key is idempotent and needs no order. */
using Fact = std::variant<Member,
                          EndpointLeaving,
                          VmLeaving,
                          CrashMark,
                          ConfigFact,
                          ConfigRejection,
                          ConfigFrontier,
                          ZoneLoad,
                          EndpointStarted>;

/** Hash that names what a fact is about. */
using FactKey = Number<struct FactKeyTag>;
/** Hash of a fact's version; two facts with equal key and stamp are the same. */
using FactStamp = Number<struct FactStampTag>;

/** The key of a fact. */
FactKey keyOf(const Fact &fact);
/** The stamp of a fact's version. */
FactStamp stampOf(const Fact &fact);
/** Whether `candidate` replaces `held`; both have the same key. */
bool supersedes(const Fact &candidate, const Fact &held);

/** An endpoint's load as its watcher saw it; zone-local. */
struct EndpointLoad {
    EndpointId endpoint;
    Incarnation incarnation; ///< 0 when the endpoint tells none
    bool reachable = true; ///< false: the watcher could not get a report
    bool leaving = false; ///< the endpoint's own word
    std::uint32_t slots = 0; ///< requests that it can run at once
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t queuedTokens = 0;
    std::uint32_t cachePerMille = 0; ///< part of the KV cache in use, 0 to 1000
    Duration age {}; ///< time since the endpoint measured it

    bool operator==(const EndpointLoad &) const = default;
    LACEWING_MEMBERS(
        endpoint, incarnation, reachable, leaving, slots, running, queued, queuedTokens, cachePerMille, age)
};

// ---------------------------------------------------------------------------------------------------------------------
// Messages between VMs

/** Who sent a message; a higher epoch than the one suspected refutes the suspicion. */
struct Sender {
    VmId vm;
    Incarnation incarnation;
    std::uint32_t epoch = 0;

    bool operator==(const Sender &) const = default;
    LACEWING_MEMBERS(vm, incarnation, epoch)
};

/** Asks a VM whether it is alive. */
struct Probe {
    Sender from;
    std::uint64_t sequence = 0;
    std::uint64_t digest = 0; ///< hash over all lasting facts of the sender
    std::vector<Member> updates; ///< recent changes of membership

    bool operator==(const Probe &) const = default;
    LACEWING_MEMBERS(from, sequence, digest, updates)
};

/** Asks a VM to probe another one that didn't answer the sender. */
struct ProbeRequest {
    Sender from;
    std::uint64_t sequence = 0;
    VmId target;
    std::vector<Member> updates;

    bool operator==(const ProbeRequest &) const = default;
    LACEWING_MEMBERS(from, sequence, target, updates)
};

/** Answers a Probe, or passes on the answer to a probe that was made for another VM. */
struct ProbeAck {
    Sender from;
    std::uint64_t sequence = 0; ///< of the Probe or ProbeRequest
    Sender about; ///< the VM that was probed
    std::uint64_t digest = 0;
    std::vector<Member> updates;

    bool operator==(const ProbeAck &) const = default;
    LACEWING_MEMBERS(from, sequence, about, digest, updates)
};

/** Makes the sender known to a VM, and asks that VM to make itself known. */
struct Join {
    Sender from;
    Member self;
    bool answer = false; ///< true: answers a Join, and isn't answered

    bool operator==(const Join &) const = default;
    LACEWING_MEMBERS(from, self, answer)
};

/** Passes on facts. */
struct FactPush {
    Sender from;
    std::uint32_t hop = 0; ///< transmissions within the zone before this one
    bool abroad = false; ///< came from another zone: not passed on to other zones
    std::vector<Fact> facts;

    bool operator==(const FactPush &) const = default;
    LACEWING_MEMBERS(from, hop, abroad, facts)
};

/** Number of groups into which the keys of lasting facts are hashed for comparison. */
constexpr std::size_t digestBuckets = 128;

/** Compares all lasting facts: one hash for each group of keys. */
struct BucketDigest {
    Sender from;
    std::vector<std::uint64_t> buckets; ///< digestBuckets of them

    bool operator==(const BucketDigest &) const = default;
    LACEWING_MEMBERS(from, buckets)
};

/** Key and version of one fact that the sender holds. */
struct FactName {
    FactKey key;
    FactStamp stamp;

    auto operator<=>(const FactName &) const = default;
    LACEWING_MEMBERS(key, stamp)
};

/** Names facts that the sender holds; the receiver asks for those that it lacks. */
struct FactNames {
    Sender from;
    std::uint32_t hop = 0;
    bool abroad = false;
    std::vector<std::uint32_t> buckets; ///< groups that are listed in full, so that the receiver sends what is missing
    std::vector<FactName> names;

    bool operator==(const FactNames &) const = default;
    LACEWING_MEMBERS(from, hop, abroad, buckets, names)
};

/** Asks for facts by key. */
struct FactRequest {
    Sender from;
    std::uint32_t hop = 0; ///< to be sent back with the facts
    bool abroad = false;
    std::vector<FactKey> keys;

    bool operator==(const FactRequest &) const = default;
    LACEWING_MEMBERS(from, hop, abroad, keys)
};

/** Asks for all lasting facts, part by part. */
struct StateRequest {
    Sender from;
    FactKey after; ///< facts with higher keys are wanted

    bool operator==(const StateRequest &) const = default;
    LACEWING_MEMBERS(from, after)
};

/** Answers a StateRequest with the facts that follow, in order of their keys. */
struct StatePart {
    Sender from;
    FactKey after; ///< as in the request
    bool last = false; ///< no facts follow
    bool complete = false; ///< the sender itself has caught up
    std::vector<Fact> facts;

    bool operator==(const StatePart &) const = default;
    LACEWING_MEMBERS(from, after, last, complete, facts)
};

/** A watcher's reports and the sender's heaviest workspaces, to all VMs of its zone. */
struct LoadShare {
    Sender from;
    std::vector<EndpointLoad> endpoints;
    std::vector<WorkspaceUsage> heavy; ///< at most maxHeavyWorkspaces

    bool operator==(const LoadShare &) const = default;
    LACEWING_MEMBERS(from, endpoints, heavy)
};

/** Why a suspect may not run now. */
enum class PermitRefusal : std::uint8_t {
    None, ///< granted
    Running, ///< another copy of the request runs somewhere
    EndpointTaken, ///< another suspect runs on the endpoint
    Quarantined, ///< the request crashed a second endpoint
    NotArbiter, ///< the VM asked doesn't decide, or has done so for too short a time
    NoAnswer, ///< the VM that decides can't be reached
};

/** Short fixed text of a refusal, such as "endpoint-taken". */
std::string_view toText(PermitRefusal refusal) noexcept;

/** Asks the VM that decides for a pool whether a suspect may run on an endpoint. */
struct PermitRequest {
    Sender from;
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;

    bool operator==(const PermitRequest &) const = default;
    LACEWING_MEMBERS(from, fingerprint, pool, endpoint)
};

/** Answers a PermitRequest. */
struct PermitAnswer {
    Sender from;
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;
    PermitRefusal refusal = PermitRefusal::None;

    bool operator==(const PermitAnswer &) const = default;
    LACEWING_MEMBERS(from, fingerprint, pool, endpoint, refusal)
};

/** Gives a permit back. */
struct PermitRelease {
    Sender from;
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;

    bool operator==(const PermitRelease &) const = default;
    LACEWING_MEMBERS(from, fingerprint, pool, endpoint)
};

using PeerMessage = std::variant<Probe,
                                 ProbeRequest,
                                 ProbeAck,
                                 Join,
                                 FactPush,
                                 BucketDigest,
                                 FactNames,
                                 FactRequest,
                                 StateRequest,
                                 StatePart,
                                 LoadShare,
                                 PermitRequest,
                                 PermitAnswer,
                                 PermitRelease>;

// ---------------------------------------------------------------------------------------------------------------------
// Events and effects

/** Time has passed; due at nextWake(), and at least once a second. */
struct Tick {
    WallTime wall; ///< civil time now
};

/** A message from another VM. */
struct MessageReceived {
    PeerMessage message;
};

/** An entry VM as the platform lists it. */
struct ListedVm {
    VmId vm;
    RegionId region;
    AvailabilityZoneId zone;
    std::string address; ///< "ip:port" of its peer listener
    bool leaving = false;
    Incarnation incarnation; ///< 0 when the platform doesn't know it
};

/** An endpoint as the platform lists it. */
struct ListedEndpoint {
    EndpointId endpoint;
    PoolId pool;
    AvailabilityZoneId zone;
    std::string address; ///< "ip:port"
    bool leaving = false;
    Incarnation incarnation; ///< 0 when the platform doesn't know it
};

/**
 * The platform's list of VMs and endpoints; may lag. A list that is older than the last one is ignored. A driver
 * that has only addresses from its settings gives them as a list with asOf 0.
 */
struct PlatformList {
    WallTime asOf;
    std::vector<ListedVm> vms;
    std::vector<ListedEndpoint> endpoints;
};

/** A report that this VM polled from an endpoint after WatchEndpoint; `reachable` false when it failed. */
struct EndpointReport {
    EndpointLoad load;
};

/** The platform, the endpoint or an operator says that an endpoint is leaving. */
struct MarkEndpointLeaving {
    EndpointId endpoint;
    Incarnation incarnation; ///< 0: the one that runs now
};

/** An operator or the platform says that a VM is leaving; also for this VM itself. */
struct MarkVmLeaving {
    VmId vm;
};

/** This VM has finished its work and stops now. */
struct Stopped {
};

/** An endpoint crashed while this VM had requests running there. */
struct EndpointCrashed {
    EndpointId endpoint;
    PoolId pool;
    Incarnation incarnation; ///< of the endpoint; 0 when unknown
    std::vector<Fingerprint> running; ///< this VM's requests there
};

/** This VM wants to run a suspect on an endpoint. Answered by PermitAnswered. */
struct PermitWanted {
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;
};

/** A run under a permit has ended without a crash. */
struct PermitEnded {
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;
    bool finished = false; ///< the stage gave its whole result: clears the suspicion in this pool
};

/** An operator lifts the quarantine and all suspicions of a request. */
struct LiftQuarantine {
    Fingerprint fingerprint;
};

/** This VM read an accepted change from the log. */
struct ConfigAccepted {
    ConfigFact fact;
};

/** This VM read a change from the log that is rejected. */
struct ConfigRejected {
    ConfigRejection rejection;
};

/** This VM read the configuration stream up to `next` and found no more. */
struct ConfigRead {
    LogOffset next;
};

/** This VM's heaviest workspaces of the last second. */
struct UsageMeasured {
    std::vector<WorkspaceUsage> heaviest; ///< heaviest first; more than maxHeavyWorkspaces are cut
};

using Event = std::variant<Tick,
                           MessageReceived,
                           PlatformList,
                           EndpointReport,
                           MarkEndpointLeaving,
                           MarkVmLeaving,
                           Stopped,
                           EndpointCrashed,
                           PermitWanted,
                           PermitEnded,
                           LiftQuarantine,
                           ConfigAccepted,
                           ConfigRejected,
                           ConfigRead,
                           UsageMeasured>;

/** Send a message to another VM; may be lost. */
struct Send {
    VmId to;
    std::string address;
    PeerMessage message;
};

/** Poll an endpoint's load every Settings::pollInterval, and give EndpointReport. */
struct WatchEndpoint {
    EndpointId endpoint;
    std::string address;
};

/** Poll an endpoint no more. */
struct UnwatchEndpoint {
    EndpointId endpoint;
};

/** A configuration item was learned from a peer. Given once for each version, also at catch-up. */
struct ConfigLearned {
    ConfigFact fact;
};

/** Start or stop reading the configuration stream of the log. */
struct ReadConfig {
    bool enabled = false;
};

/** What is known of a request that may crash endpoints. */
enum class SuspicionState : std::uint8_t {
    Clear, ///< may run as any other
    Suspect, ///< ran on one endpoint that crashed: may run only under a permit
    Quarantined, ///< ran on two that crashed: refused until the marks expire or are lifted
};

/** "clear", "suspect" or "quarantined". */
std::string_view toText(SuspicionState state) noexcept;

/** The state of a request changed; running copies of a quarantined one should be cancelled. */
struct SuspicionChanged {
    Fingerprint fingerprint;
    SuspicionState state = SuspicionState::Clear;
};

/** Answers PermitWanted. A granted permit ends at `until`: the run must be cancelled then. */
struct PermitAnswered {
    Fingerprint fingerprint;
    PoolId pool;
    EndpointId endpoint;
    PermitRefusal refusal = PermitRefusal::None; ///< None: granted
    Time until;
};

/** This VM is marked as leaving: start the graceful stop. Given once. */
struct LeaveRequested {
};

/** Another process runs under this VM's id: stop. Given once. */
struct Superseded {
};

/** All lasting facts were fetched from a peer, or there is no peer to fetch from. Given once. */
struct CaughtUp {
    bool fromPeer = false; ///< false: no peer answered
};

/** view() has changed. At most one in each list of effects. */
struct ViewChanged {
};

using Effect = std::variant<Send,
                            WatchEndpoint,
                            UnwatchEndpoint,
                            ConfigLearned,
                            ReadConfig,
                            SuspicionChanged,
                            PermitAnswered,
                            LeaveRequested,
                            Superseded,
                            CaughtUp,
                            ViewChanged>;

// ---------------------------------------------------------------------------------------------------------------------
// What traffic sees

/** A member and its leaving mark. */
struct MemberView {
    Member member;
    bool leaving = false;
};

/** Whether an endpoint can be given work. */
enum class EndpointState : std::uint8_t {
    Live, ///< listed or reporting
    Leaving, ///< takes no new work
    Dead, ///< its watchers can't reach it
};

/** "live", "leaving" or "dead". */
std::string_view toText(EndpointState state) noexcept;

/** An endpoint and its last report. */
struct EndpointView {
    EndpointId endpoint;
    PoolId pool;
    AvailabilityZoneId zone;
    std::string address;
    Incarnation incarnation; ///< 0 when unknown
    EndpointState state = EndpointState::Live;
    std::optional<EndpointLoad> load; ///< only for endpoints of the own zone; `age` as of measuredAt is 0
    Time measuredAt; ///< when the load was measured, on this VM's clock
};

/** A zone's summary and when it arrived. */
struct ZoneView {
    ZoneLoad load;
    Time receivedAt;
};

/** What traffic needs to know of the fleet. Immutable; shared with the traffic threads. */
struct View {
    std::vector<MemberView> members; ///< in order of VmId; alive, suspect and dead ones, this VM included
    std::vector<EndpointView> endpoints; ///< in order of EndpointId
    std::unordered_map<Fingerprint, SuspicionState> suspicions; ///< only those that aren't Clear
    std::vector<ZoneView> zones; ///< other zones and the own one
    std::vector<WorkspaceUsage> heavy; ///< the own zone's heaviest workspaces, heaviest first

    /** The state of a request. */
    SuspicionState state(Fingerprint fingerprint) const noexcept;
    /** The member that runs under an incarnation; null when unknown or dead. */
    const MemberView *memberByIncarnation(Incarnation incarnation) const noexcept;
    /** An endpoint by its id; null when unknown. */
    const EndpointView *endpoint(const EndpointId &id) const noexcept;
};

// ---------------------------------------------------------------------------------------------------------------------
// The fleet

/** To how many VMs of the zone a new fact is sent at once. */
struct Fanout {
    std::uint32_t push = 0; ///< get the fact itself
    std::uint32_t announce = 0; ///< get its key and stamp only
};

/** Intervals and limits. The same on all VMs. */
struct Timing {
    Duration probeInterval = 1s; ///< between two probes by one VM
    Duration probeTimeout = 300ms; ///< a direct probe without answer is then made through others
    std::uint32_t indirectProbes = 3;
    Duration suspicionTimeout = 3s; ///< a suspect that didn't refute is dead
    Duration contactInterval = 2s; ///< between attempts to reach VMs that are listed or believed dead
    Duration bridgeInterval = 2s; ///< between comparisons with a VM of another zone
    Duration pollInterval = 1s; ///< between polls of a watched endpoint
    Duration shareInterval = 2s; ///< between shares of watched endpoints' reports
    Duration summaryInterval = 5s; ///< between summaries of the zone
    Duration frontierInterval = 3s; ///< between two frontiers by one configuration reader
    Duration frontierSilence = 7s; ///< a VM that heard no frontier for this long reads the log for itself
    Duration viewInterval = 100ms; ///< shortest time between two views for changes of load only
    Duration joinTimeout = 3s; ///< without an answer a starting VM goes on alone
    Duration requestTimeout = 500ms; ///< for state and permit requests
    Duration permitLifetime = 30s; ///< longest run under a permit
    Duration crashMarkLifetime = 24h;
    Duration leavingLifetime = 24h * 7;
    Duration deadLifetime = 24h; ///< for which dead members are remembered
    Duration rejectionLifetime = 10min;
    Duration tombstoneLifetime = 24h * 30; ///< longer than the log keeps records
    Duration absenceGrace = 60s; ///< a VM of another zone that is unlisted for this long is dead
};

/** What a Fleet is told at its start. */
struct Settings {
    VmId vm;
    RegionId region;
    AvailabilityZoneId zone;
    std::string address; ///< "ip:port" of the own peer listener, as others reach it
    Incarnation incarnation; ///< random, not 0
    std::uint64_t seed = 0; ///< of all random choices
    WallTime wall; ///< civil time at the start
    std::uint32_t configReaders = 2; ///< per zone
    std::uint32_t watchers = 2; ///< per endpoint
    std::uint32_t bridges = 2; ///< per pair of zones
    Timing timing;
    /** How new facts spread within a zone, by the hops made so far; empty: the product's choice. For measurements. */
    std::function<Fanout(std::uint32_t hop)> fanout;
};

/** Counters since the start. */
struct Counters {
    std::uint64_t factsNew = 0; ///< facts that changed this VM's knowledge
    std::uint64_t factsKnown = 0; ///< facts received that were known or outdated
    std::uint64_t factsRefused = 0; ///< facts over a bound or expired
    std::uint64_t repairs = 0; ///< comparisons started after a difference
    std::uint64_t refutations = 0; ///< suspicions of this VM that it refuted
    std::uint64_t suspicionsRaised = 0;
    std::uint64_t deathsDeclared = 0;
    std::uint64_t unknownSenders = 0; ///< messages of VMs that aren't known yet
};

/**
 * One VM's part in the fleet. Give it events, carry out the effects, call again with Tick at nextWake().
 *
 * Not thread-safe: it belongs to the control thread; traffic threads use view().
 */
class Fleet
{
public:
    Fleet(const Settings &settings, Time now);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Takes one event. @return what the driver must do, in order */
    std::vector<Effect> handle(const Event &event, Time now);
    /** When a Tick is due next. */
    std::optional<Time> nextWake() const;

    /** The latest view; never null. */
    std::shared_ptr<const View> view() const;

    /** Whether this VM should read the configuration stream of the log: as a reader of its zone, or for itself. */
    bool isConfigReader() const;
    /** Whether a request may run only under a permit, or not at all. */
    SuspicionState suspicion(Fingerprint fingerprint) const;
    /** Whether all lasting facts were fetched from a peer, or none answered. */
    bool isCaughtUp() const;
    /** All configuration facts held, tombstones included. */
    std::vector<ConfigFact> configFacts() const;
    /** The version held of a configuration item, also when that removed it; 0 when none is held. */
    ConfigVersion configVersion(const config::ItemKey &key) const;
    /** A rejected change, while it is remembered. */
    std::optional<ConfigRejection> rejection(const config::ChangeId &change) const;
    /** Hash over all lasting facts; equal on VMs that know the same. */
    std::uint64_t digest() const;
    /** The entry VM that decides on the suspects of a pool. */
    VmId arbiter(const PoolId &pool) const;
    const Counters &counters() const noexcept;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace lacewing::fleet
