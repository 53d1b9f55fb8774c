#pragma once

#include <base/base.h>
#include <wire/wire.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/**
 * Routing of forwarded requests: matching a request to a route, looking up API keys, and tracking endpoints.
 *
 * This library performs no I/O; the current time is passed in by the caller.
 */
namespace lacewing::routing
{

using RouteId = Name<struct RouteTag>;
using ServiceId = Name<struct ServiceTag>;
/** Version of an operator's desired state; increases monotonically, not necessarily by one. */
using StateVersion = Number<struct StateVersionTag>;

// ---------------------------------------------------------------------------------------------------------------------
// Desired state

/** Determines whether a request may be executed more than once. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< may be executed more than once
    NonIdempotent, ///< executed at most once
    Stream, ///< answered by an event stream; executed at most once unless the route is resumable
};

/** A service with its share of a route's traffic. */
struct WeightedService {
    ServiceId service;
    double weight = 1; ///< relative to the weights of the route's other services; greater than 0

    LACEWING_MEMBERS(service, weight)
};

/** A stage that must complete before a request can be forwarded. */
struct RouteStage {
    ServiceId service;
    std::vector<std::uint32_t> dependencies; ///< indices of stages whose results it reads; each below its own
    Bytes resultBytes; ///< approximate size of one result

    LACEWING_MEMBERS(service, dependencies, resultBytes)
};

/** Configuration of the requests for one host and path prefix. */
struct Route {
    RouteId id;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< starts and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(30); ///< maximum time until the response to the caller
    Duration latencyTarget = std::chrono::seconds(1); ///< maximum for full credit; of streams, to the first event
    std::optional<Duration> eventGapTarget; ///< maximum time between events of a stream for full credit
    int maxAttempts = 1; ///< maximum number of endpoints that one request may reach
    int priority = 0; ///< 0 is the highest priority
    bool isPublic = false; ///< accepts requests without an API key
    bool isResumable = false; ///< another endpoint can resume a stream after the last event received
    std::vector<WeightedService> services; ///< not empty
    std::vector<RouteStage> stages;

    /** Returns whether a request that may already have been executed can be sent again. */
    bool isRetryable() const noexcept
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }

    LACEWING_MEMBERS(id,
                     host,
                     pathPrefix,
                     kind,
                     timeout,
                     latencyTarget,
                     eventGapTarget,
                     maxAttempts,
                     priority,
                     isPublic,
                     isResumable,
                     services,
                     stages)
};

/** How an endpoint of a stage service processes batches of pieces. */
struct BatchConfig {
    std::size_t maxConcurrentCalls = 1; ///< calls that run at the same time
    std::size_t maxQueuedCalls = 0; ///< additional calls that the endpoint queues
    std::size_t maxPiecesPerCall = 1;
    Duration callOverhead {}; ///< duration of a call regardless of its number of pieces
    Duration timePerPiece {}; ///< additional duration of a call for each piece; approximate
    Bytes resultCapacity; ///< memory for retained results
    Duration resultTtl {}; ///< time after which the endpoint discards a result

    LACEWING_MEMBERS(
        maxConcurrentCalls, maxQueuedCalls, maxPiecesPerCall, callOverhead, timePerPiece, resultCapacity, resultTtl)
};

/** Capacity of a model engine. */
struct EngineCapacity {
    std::size_t slots = 1; ///< concurrent requests
    Tokens kvCacheTokens; ///< KV cache capacity, shared by running requests and cached prompts

    LACEWING_MEMBERS(slots, kvCacheTokens)
};

/** A group of interchangeable endpoints. */
struct Service {
    ServiceId id;
    std::string healthPath;
    std::size_t maxConnections = 0; ///< accepted by one endpoint from all VMs together; 0: unknown
    std::optional<BatchConfig> batch; ///< set for services that run stages
    std::optional<EngineCapacity> engine; ///< set for model engines

    LACEWING_MEMBERS(id, healthPath, maxConnections, batch, engine)
};

/** How much the endpoints of a service bear while they are cold, as they are for a time after their start. */
struct ColdStart {
    ServiceId service;
    Duration time {}; ///< for which an endpoint is cold after its start
    double requestsPerSecond = 0; ///< that a cold endpoint bears from all VMs together; greater than 0

    LACEWING_MEMBERS(service, time, requestsPerSecond)
};

/** A workspace and the API keys of its callers. */
struct KeyHolder {
    WorkspaceId workspace;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the priority of the route

    LACEWING_MEMBERS(workspace, keys, priority)
};

/** An immutable part of a desired state. Versions that have the same part share it. */
template <typename T>
class StatePart
{
public:
    StatePart(T value) // NOLINT(google-explicit-constructor): a part is its value
        : value_(std::make_shared<const T>(std::move(value)))
        , digest_(hashBytes(wire::encode(*value_)))
    {
    }

    const T &operator*() const noexcept
    {
        return *value_;
    }
    const T *operator->() const noexcept
    {
        return value_.get();
    }
    /** Returns a hash of the contents, equal on all VMs. */
    std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    std::shared_ptr<const T> value_;
    std::uint64_t digest_;
};

/** What a desired state holds beside its lists. */
struct GeneralState {
    bool requiresKeys = false; ///< routes that are not public require an API key
    std::optional<Duration> idleTimeout; ///< maximum idle time of a caller's connection
    std::optional<std::size_t> maxHeaderBytes;
    std::optional<std::size_t> maxBodyBytes;

    LACEWING_MEMBERS(requiresKeys, idleTimeout, maxHeaderBytes, maxBodyBytes)
};

/** The configuration that an operator has requested. */
struct DesiredState {
    StateVersion version;
    GeneralState general;
    std::vector<StatePart<Route>> routes;
    std::vector<StatePart<Service>> services;
    std::vector<StatePart<KeyHolder>> keyHolders;
    /** Of the services whose endpoints may be cold. Empty if the state came by way of a VM that can't read them. */
    std::optional<std::vector<ColdStart>> coldStarts = std::vector<ColdStart>();
};

/**
 * Returns a hash of a desired state's contents, equal on all VMs; does not include the version. It does not cover
 * `coldStarts` either, of which VMs of earlier versions know nothing.
 */
std::uint64_t digestOf(const DesiredState &state);

/** Difference between two lists: ranges of the earlier list that are kept, each followed by new items. */
template <typename T>
struct ListDelta {
    struct Run {
        std::uint32_t first = 0; ///< position in the earlier list
        std::uint32_t count = 0;
        std::vector<T> added;

        LACEWING_MEMBERS(first, count, added)
    };
    std::vector<Run> runs;

    LACEWING_MEMBERS(runs)
};

/** Difference between two desired states. */
struct StateDelta {
    std::uint64_t baseDigest = 0; ///< of the earlier state; 0: the later state is complete in itself
    StateVersion version; ///< of the later state
    std::uint64_t digest = 0; ///< of the later state
    GeneralState general;
    ListDelta<Route> routes;
    ListDelta<Service> services;
    ListDelta<KeyHolder> keyHolders;
    std::optional<std::vector<ColdStart>> coldStarts; ///< all of the later state

    LACEWING_MEMBERS(baseDigest, version, digest, general, routes, services, keyHolders, coldStarts)
};

/**
 * What a desired state changes of an earlier one, in a few bytes: a VM that has the earlier one only tells from it
 * which requests that one still answers rightly.
 */
struct StateImpact {
    std::uint64_t baseDigest = 0; ///< of the earlier state
    bool isComplete = false; ///< whether all that has changed is listed below
    std::vector<std::uint64_t> hosts; ///< hashes of the earlier state's hosts of which a route was changed
    std::vector<std::uint64_t> keys; ///< hashes of API keys that were taken from their holder

    LACEWING_MEMBERS(baseDigest, isComplete, hosts, keys)

    bool affectsHost(std::string_view host) const;
    bool affectsKey(std::string_view key) const;
};
/** Hosts and keys that an impact lists at most: some 8 KB. */
constexpr std::size_t maxImpactEntries = 1'000;
StateImpact computeImpact(const DesiredState &base, const DesiredState &state);

/** Returns what leads from one state to another. @param base null: the delta is complete in itself */
StateDelta makeDelta(const DesiredState *base, const DesiredState &state);
/**
 * Applies a delta. Fails with Malformed if it does not fit the base or does not lead to the state that it names.
 *
 * @param base null if there is none
 */
Result<DesiredState> applyDelta(const DesiredState *base, const StateDelta &delta);

/** An immutable index of a desired state. */
class RouteTable
{
public:
    explicit RouteTable(DesiredState state);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const DesiredState &state() const noexcept
    {
        return state_;
    }
    /**
     * Returns the route with the longest prefix that matches the path, or null if none matches.
     *
     * @param host as received from the caller; case and a port are ignored
     * @param target path with or without a query
     */
    const Route *findRoute(std::string_view host, std::string_view target) const;
    /** Returns the host under which a route is looked up: lower case, without a port unless a route names one. */
    std::string routedHost(std::string_view host) const;
    /** Returns the holder of an API key, or null if the key is unknown. */
    const KeyHolder *findKeyHolder(std::string_view key) const;
    /** Returns null if the state has no such service. */
    const Service *findService(const ServiceId &id) const;
    /** Returns null if the endpoints of the service are never cold. */
    const ColdStart *findColdStart(const ServiceId &id) const;

private:
    DesiredState state_;
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_; ///< sorted by descending prefix length
    std::unordered_map<std::string_view, const KeyHolder *> holdersByKey_;
    std::unordered_map<std::string, const Service *> servicesById_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Endpoints

/** Version of the software that an endpoint runs. Versions have no order. */
using SoftwareVersion = Name<struct SoftwareVersionTag>;
/** Returns the version, or "unknown". */
std::string toText(const std::optional<SoftwareVersion> &version);

/** State that an endpoint reports for itself. */
enum class Readiness : std::uint8_t {
    Ready,
    Draining, ///< accepts no new requests
};

/** One run of an endpoint, from its start to its end. */
struct EndpointLifetime {
    EndpointId endpoint;
    Incarnation incarnation;

    auto operator<=>(const EndpointLifetime &) const = default;
};

/** An endpoint's registration, valid for one incarnation. */
struct EndpointEntry {
    EndpointId id;
    Incarnation incarnation; ///< differs for each restart under the same id
    ServiceId service;
    AvailabilityZoneId zone;
    std::string address; ///< ip:port
    std::size_t slots = 1;
    Readiness readiness = Readiness::Ready;
    std::optional<SoftwareVersion> softwareVersion; ///< empty if it is unknown
    /** For how long the endpoint is cold from when this is told; zero: it is not, empty: it doesn't say. */
    std::optional<Duration> coldTimeLeft;
    Time coldTimeToldAt; ///< set by the directory

    bool operator==(const EndpointEntry &) const = default;
    EndpointLifetime lifetime() const
    {
        return { id, incarnation };
    }
};

/** Effect of an update on the directory. */
enum class DirectoryChange : std::uint8_t {
    None,
    Joined, ///< a new incarnation is available
    Draining, ///< accepts no new requests from now on
    Removed,
    Updated,
    Held, ///< registered, but known to have ended; see EndpointDirectory::onRegistryRolledBack()
};

/**
 * Directory of registered endpoints.
 *
 * An endpoint that is draining stays so for the rest of its incarnation. An entry that is removed during a registry
 * outage or shortly after it may have expired only because of the outage, so the endpoint stays available until
 * `gracePeriod` after the registry has been restored.
 *
 * A registry that comes back from an older copy lists lifetimes that have ended since. Those that this directory knows
 * to have ended are held back until the registry has had time to remove them.
 *
 * The operator may evacuate availability zones. The endpoints of such a zone are unavailable, also those that register
 * later, until the zone is returned.
 */
class EndpointDirectory
{
public:
    /** @param gracePeriod time within which live endpoints register again after a registry outage */
    explicit EndpointDirectory(Duration gracePeriod);

    /** Applies an endpoint's registration. */
    DirectoryChange update(const EndpointEntry &entry, Time now);
    /** Applies the removal of a registration. */
    DirectoryChange remove(const EndpointId &id, Time now);
    /** Calls remove() for each endpoint that is not in `present`. @return the number of such endpoints */
    std::size_t retain(const std::vector<EndpointId> &present, Time now);
    /**
     * Makes a lifetime draining that has said so itself, until its end and whatever the registry says.
     *
     * @return whether it was not known to be draining
     */
    bool markDraining(const EndpointLifetime &lifetime, Time now);
    /** Makes an endpoint unavailable until its next incarnation: its address now belongs to another endpoint. */
    void exclude(const EndpointId &id);

    /** Called when the registry does not respond. */
    void onRegistryLost(Time now);
    /** Called when the registry responds again. */
    void onRegistryRestored(Time now);
    /** Called when the registry has come back from an older copy, before the entries of that copy are applied. */
    void onRegistryRolledBack(Time now);

    /** Makes the endpoints of a zone unavailable until returnZone(). @return whether it was not evacuated */
    bool evacuateZone(const AvailabilityZoneId &zone);
    /** Ends the evacuation of a zone. @return whether it was evacuated */
    bool returnZone(const AvailabilityZoneId &zone, Time now);
    bool isEvacuated(const AvailabilityZoneId &zone) const;
    /** Returns whether a service has endpoints that would be available, but all of them in evacuated zones. */
    bool isEvacuated(const ServiceId &service) const;
    /**
     * Returns when the last evacuation of a zone ended, as far as this directory has seen it. Empty if there was none
     * within `returnRetention`, or if the zone is evacuated.
     */
    std::optional<Time> returnedAt(const AvailabilityZoneId &zone) const;
    /** Returns the number of registered endpoints in a zone, available or not. */
    std::size_t endpointsIn(const AvailabilityZoneId &zone) const;

    /** Time for which the return of a zone is remembered: endpoints that stood idle warm up within it. */
    static constexpr Duration returnRetention = std::chrono::minutes(5);

    /** Numbers of entries that expire() has changed. */
    struct Expiry {
        std::size_t removed = 0;
        std::size_t released = 0; ///< were held, and are available now
    };
    /** Removes entries whose grace period has ended, and releases those that were held back. */
    Expiry expire(Time now);
    /** Returns the next time at which expire() will remove or release an entry; empty if none is scheduled. */
    std::optional<Time> nextExpiry() const noexcept;

    /** Returns the available endpoints of a service, sorted by id. Valid until the directory changes. */
    const std::vector<const EndpointEntry *> &availableEndpoints(const ServiceId &service) const;
    /**
     * Returns the software version of a service's endpoints if only one has served for `versionRetention`; empty if
     * there were several, none or unknown ones.
     */
    std::optional<SoftwareVersion> soleVersion(const ServiceId &service) const;
    /** Returns the versions that serve or have served for that long; an empty one is unknown. Valid until a change. */
    const std::set<std::optional<SoftwareVersion>> &versions(const ServiceId &service) const;
    /** Records a version that served before this directory was created. */
    void addEndedVersion(const ServiceId &service, const std::optional<SoftwareVersion> &version, Time now);
    /** Records that a lifetime may have ended, as a connection to it was lost or refused. */
    void markDoubtful(const EndpointLifetime &lifetime, Time now);
    /** Records that a lifetime has not ended although a connection to it was lost. */
    void clearDoubt(const EndpointLifetime &lifetime);
    /**
     * Returns whether an endpoint certainly is of the lifetime that is registered, and so of its software version. One
     * that has crashed may come back under its id with another version before its registration says so.
     */
    bool isCertain(const EndpointEntry &entry, Time now) const;
    /** Returns since when it is not certain; empty if it is. */
    std::optional<Time> doubtfulSince(const EndpointEntry &entry, Time now) const;

    /** Time for which a version counts after its last endpoint has ended: callers come back to streams that long. */
    static constexpr Duration versionRetention = std::chrono::minutes(2);

    /** Returns whether an endpoint's registration is gone or belongs to another incarnation. */
    bool hasEnded(const EndpointLifetime &lifetime) const;
    /** Returns null if the endpoint is unknown or unavailable. */
    const EndpointEntry *find(const EndpointId &id) const;
    std::size_t size() const noexcept;
    /** Returns a number that changes whenever an entry is added, changed or removed, or becomes available or not. */
    std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    struct Record {
        EndpointEntry entry;
        std::optional<Time> removalDueAt; ///< removal time of an entry that is missing after an outage
        bool isExcluded = false;
        std::optional<Time> heldUntil; ///< until then, the entry counts as a copy of a lifetime that has ended
        /** An older lifetime that has registered since the entry's last report, and the first time that it did. */
        std::optional<std::pair<Incarnation, Time>> olderLifetime;

        /** Returns whether the endpoint is available if its zone is. */
        bool isUsable() const noexcept
        {
            return entry.readiness == Readiness::Ready && !isExcluded && !heldUntil;
        }
    };
    /** The last lifetime of an endpoint that is known to have ended. */
    struct EndedLifetime {
        Incarnation incarnation;
        Time endedAt;
        bool wasDraining = false; ///< stays so even if it registers again
    };

    struct Doubt {
        Incarnation incarnation;
        Time since; ///< the last loss of a connection
        Time firstAt; ///< the first loss of the connections that were lost without a certain time in between
    };

    bool isAvailable(const Record &record) const;
    bool isAffectedByOutage(Time now) const noexcept;
    static bool isLateReport(Record &record, const EndpointEntry &entry, Time now);
    void setColdTime(EndpointEntry &entry, const EndpointEntry &known, Time now) const;
    void recordEndedVersion(const EndpointEntry &entry, Time now);
    bool expireVersions(Time now);
    void recordEnd(const EndpointLifetime &lifetime, bool wasDraining, Time now);
    void recordEnd(const EndpointEntry &entry, Time now);
    std::optional<Time> holdTime(const EndpointEntry &entry, Time now) const;
    DirectoryChange add(const EndpointEntry &entry, Time now);
    void rebuildIndex() const;

    Duration gracePeriod_;
    bool isRegistryLost_ = false;
    std::optional<Time> registryRestoredAt_;
    std::optional<Time> registryRolledBackAt_;
    std::unordered_map<EndpointId, EndedLifetime> endedLifetimes_;
    std::unordered_map<EndpointId, Doubt> doubts_;
    /** When the last endpoint of a version ended; an empty version is an unknown one. */
    std::map<std::pair<ServiceId, std::optional<SoftwareVersion>>, Time> endedVersions_;
    std::uint64_t revision_ = 1;
    std::unordered_map<EndpointId, Record> records_;
    std::set<AvailabilityZoneId> evacuatedZones_;
    std::map<AvailabilityZoneId, Time> zoneReturns_; ///< ends of evacuations
    /** Cached results of availableEndpoints() as of indexedRevision_: they are read for each request, while entries
     * rarely change. */
    mutable std::unordered_map<ServiceId, std::vector<const EndpointEntry *>> availableByService_;
    mutable std::unordered_map<ServiceId, std::set<std::optional<SoftwareVersion>>> versionsByService_;
    mutable std::uint64_t indexedRevision_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// Streams

/** Service and software version of the endpoint that began a stream; only endpoints of both can resume it. */
struct StreamOrigin {
    ServiceId service;
    std::optional<SoftwareVersion> version; ///< empty if it is unknown: no endpoint can resume the stream

    auto operator<=>(const StreamOrigin &) const = default;

    /** Returns whether an endpoint can resume the stream. */
    bool matches(const EndpointEntry &entry) const
    {
        return version && entry.softwareVersion == version && entry.service == service;
    }
};

/** Identifies a stream: a hash of the request that began it and of its workspace. */
using StreamKey = Number<struct StreamKeyTag>;

/** Origins of streams that callers may resume. Bounded; the ones that expire first make room. */
class StreamOriginTable
{
public:
    explicit StreamOriginTable(std::size_t capacity);

    /** Records an origin until a time. If another one is known already, that stays; if the same, the later time counts.
     */
    void insert(StreamKey stream, const StreamOrigin &origin, Time expiresAt);
    /** Returns null if the stream is not known, or no longer. */
    const StreamOrigin *find(StreamKey stream, Time now) const;
    /** Calls a function for all that are known. */
    void forEach(Time now, const std::function<void(StreamKey, const StreamOrigin &, Time expiresAt)> &function) const;
    void expire(Time now);
    std::size_t size() const noexcept
    {
        return entries_.size();
    }

private:
    struct Entry {
        std::uint32_t origin; ///< position in origins_
        Time expiresAt;
    };

    std::size_t capacity_;
    std::unordered_map<StreamKey, Entry> entries_;
    std::set<std::pair<Time, StreamKey>> byExpiry_;
    std::vector<StreamOrigin> origins_; ///< few, as services have few versions
};

/** How an event stands to those that the caller of its stream has got, as far as its id tells. */
enum class EventOrder : std::uint8_t {
    Next,
    Repeated, ///< the caller has got it, or one after it
    Gap, ///< events are missing before it
    Unidentified, ///< its id doesn't tell where it belongs
};
std::string_view toText(EventOrder order) noexcept;

/**
 * The events of one stream that its caller has got, possibly from several runs.
 *
 * Ids increase. Those that are no numbers are only compared for equality.
 */
class EventSequence
{
public:
    /** Ids that are no numbers of which a stream may have so many; it isn't continued after that. */
    static constexpr std::size_t maxTextIds = 4096;

    EventSequence() = default;
    /** @param id of the event after which the caller has asked for the rest of the stream */
    explicit EventSequence(std::string_view id);

    /** Expects the next event from another run, which has been asked to go on after lastId(). */
    void beginRun() noexcept
    {
        isRunStart_ = isContinuation_ = !lastId_.empty();
    }
    /** Takes the next event, if the caller may get it. @param id empty: it has none */
    EventOrder take(std::string_view id);
    /** Returns the id of the last event that has one; empty: there is none. */
    const std::string &lastId() const noexcept
    {
        return lastId_;
    }
    /** Returns whether the ids can tell that another run goes on after the last event. */
    bool canContinue() const noexcept
    {
        return !isLastUnidentified_ && textIds_.size() <= maxTextIds;
    }

private:
    enum class Steps : std::uint8_t { Unknown, One, Other };

    EventOrder orderOf(std::string_view id) const;
    EventOrder orderOfNumber(std::uint64_t number) const;
    void record(std::string_view id);

    std::string lastId_;
    std::optional<std::uint64_t> lastNumber_; ///< set if lastId_ is a number
    std::unordered_set<std::uint64_t> textIds_; ///< hashes of the ids that are no numbers
    Steps steps_ = Steps::One; ///< between the ids, as far as they are numbers
    bool isRunStart_ = false; ///< the next event is the first of a run that continues the stream
    bool isContinuation_ = false; ///< the run continues the stream
    bool isLastUnidentified_ = false;
};

} // namespace lacewing::routing
