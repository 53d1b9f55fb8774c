#pragma once

#include <base/base.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/**
 * Requests that pass through unchanged: which route a request takes, whose key it carries, and which endpoints serve.
 *
 * Nothing here does input or output; time is an argument.
 */
namespace lacewing::routing
{

using RouteId = Name<struct RouteTag>;
using ServiceId = Name<struct ServiceTag>;
/** Number of an operator's desired state; grows in uneven steps. */
using StateVersion = Number<struct StateVersionTag>;

// ---------------------------------------------------------------------------------------------------------------------
// Desired state

/** What may be repeated of a request. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs once at most
    Stream, ///< answered by events; runs once at most unless the route is resumable
};

/** One service among which a route divides its requests. */
struct WeightedService {
    ServiceId service;
    double weight = 1; ///< relative to the other shares; over 0
};

/** One stage of work that must be done before a request can run. */
struct RouteStage {
    ServiceId service;
    std::vector<std::uint32_t> dependencies; ///< indices of the stages whose results it needs, each below its own index
    Bytes resultBytes; ///< approximate size of one result
};

/** How requests of one host and path prefix are served. */
struct Route {
    RouteId id;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(30); ///< longest time that a caller is kept waiting
    Duration latencyTarget =
        std::chrono::seconds(1); ///< completion time for full credit; of a stream, to its first event
    std::optional<Duration> eventGapTarget; ///< longest pause between events of a stream for full credit
    int maxAttempts = 1; ///< endpoints to which one request may be sent
    int priority = 0; ///< 0 is the most urgent
    bool isPublic = false; ///< needs no key
    bool isResumable = false; ///< a stream that may go on elsewhere after its last event
    std::vector<WeightedService> services; ///< never empty
    std::vector<RouteStage> stages;

    /** True when another run of a request does no harm. */
    bool isRetryable() const noexcept
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

/** How an endpoint of a stage service works off pieces in calls. */
struct BatchConfig {
    std::size_t maxConcurrentCalls = 1; ///< calls in progress at a time
    std::size_t maxQueuedCalls = 0; ///< further calls that may wait
    std::size_t maxPiecesPerCall = 1; ///< most pieces of one call
    Duration callOverhead {}; ///< fixed part of a call's time
    Duration timePerPiece {}; ///< added by each piece; approximate
    Bytes resultCapacity; ///< memory for results
    Duration resultTtl {}; ///< after which a result is dropped by itself
};

/** What a model engine can hold. */
struct EngineCapacity {
    std::size_t slots = 1; ///< requests at a time
    Tokens kvCacheTokens; ///< tokens of running requests and cached prompts
};

/** A group of interchangeable endpoints. */
struct Service {
    ServiceId id;
    std::string healthPath;
    std::size_t maxConnections = 0; ///< that one endpoint accepts from all VMs together; 0: unknown
    std::optional<BatchConfig> batch; ///< services that run stages
    std::optional<EngineCapacity> engine; ///< model engines
};

/** A workspace and the keys that its callers may present. */
struct KeyHolder {
    WorkspaceId workspace;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the rank of the route
};

/** What the operator wants to be in force. */
struct DesiredState {
    StateVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    bool requiresKeys = false; ///< requests of routes that are not public carry a key
    std::vector<KeyHolder> keyHolders;
    std::optional<Duration> idleTimeout; ///< how long a caller's connection may stay unused
    std::optional<std::size_t> maxHeaderBytes;
    std::optional<std::size_t> maxBodyBytes;
};

/** A desired state indexed for look-ups. Immutable. */
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
     * The route with the longest prefix that begins the path; null when none does.
     *
     * @param host as the caller sent it: case doesn't matter and a port is passed over
     * @param target path, with or without a query
     */
    const Route *findRoute(std::string_view host, std::string_view target) const;
    /** Who holds a key; null when nobody does. */
    const KeyHolder *findKeyHolder(std::string_view key) const;
    /** Null when the state has no such service. */
    const Service *findService(const ServiceId &id) const;

private:
    DesiredState state_;
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_; ///< longest prefix first
    std::unordered_map<std::string_view, const KeyHolder *> holdersByKey_;
    std::unordered_map<std::string, const Service *> servicesById_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Endpoints

/** What an endpoint says of itself. */
enum class Readiness : std::uint8_t {
    Ready,
    Draining, ///< gets no new work
};

/** One lifetime of an endpoint as it registered itself. */
struct EndpointEntry {
    EndpointId id;
    Incarnation incarnation; ///< differs between lifetimes under the same id
    ServiceId service;
    AvailabilityZoneId zone;
    std::string address; ///< ip:port
    std::size_t slots = 1;
    Readiness readiness = Readiness::Ready;

    bool operator==(const EndpointEntry &) const = default;
};

/** How the directory changed. */
enum class DirectoryChange : std::uint8_t {
    None,
    Joined, ///< a new lifetime may be given work
    Draining, ///< gets no new work from now on
    Removed,
    Updated,
};

/**
 * The endpoints that may be given work.
 *
 * Leaving is sticky within a lifetime. An entry that is removed while the registry was out of reach shortly before may
 * have lapsed for that reason alone: it is kept for `settleTime` after the registry's return.
 */
class EndpointDirectory
{
public:
    /** @param settleTime within which live endpoints register again after an outage of the registry */
    explicit EndpointDirectory(Duration settleTime);

    /** Takes what an endpoint says of itself. */
    DirectoryChange update(const EndpointEntry &entry, Time now);
    /** Takes the removal of an entry. */
    DirectoryChange remove(const EndpointId &id, Time now);
    /** Removes every endpoint that is not among `present`, as remove() does. @return how many it concerned */
    std::size_t retain(const std::vector<EndpointId> &present, Time now);
    /** Marks an endpoint as not to be used until it registers anew: its address now belongs to another. */
    void exclude(const EndpointId &id);

    /** The registry did not answer. */
    void onRegistryLost(Time now);
    /** The registry answers again. */
    void onRegistryRestored(Time now);
    /** Drops entries whose time to register again has passed. @return how many */
    std::size_t expire(Time now);
    /** When expire() next has something to do. */
    std::optional<Time> nextExpiry() const noexcept;

    /** Endpoints of a service that may be given work, by id. Valid until the directory changes. */
    const std::vector<const EndpointEntry *> &availableEndpoints(const ServiceId &service) const;
    /** Null unless the endpoint may be given work. */
    const EndpointEntry *find(const EndpointId &id) const;
    std::size_t size() const noexcept;
    /** Changes with each change of the set or of an entry. */
    std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    struct Record {
        EndpointEntry entry;
        std::optional<Time> missingUntil; ///< removed; dropped at this time unless it registers again
        bool rejected = false;

        bool isServing() const noexcept
        {
            return entry.readiness == Readiness::Ready && !rejected;
        }
    };

    bool lapsedByOutage(Time now) const noexcept;
    void index() const;

    Duration settleTime_;
    bool lost_ = false;
    std::optional<Time> backAt_;
    std::uint64_t revision_ = 1;
    std::unordered_map<EndpointId, Record> records_;
    /** What serving() gives, as of indexedRevision_; asked for with every request, while entries change seldom. */
    mutable std::unordered_map<ServiceId, std::vector<const EndpointEntry *>> servingByService_;
    mutable std::uint64_t indexedRevision_ = 0;
};

} // namespace lacewing::routing
