#pragma once

#include <policy/policy.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace lacewing::policy
{

/** An endpoint with its reported load and the observations of this policy. */
struct Endpoint {
    EndpointInfo info;
    std::uint32_t pool = 0;
    bool listed = true; ///< contained in the latest list of endpoints

    // Reported.
    bool reported = false;
    Time measuredAt;
    double reportedOtherCalls = 0; ///< calls of other policies at measuredAt
    double reportedCalls = 0; ///< running and queued calls at measuredAt

    // Observed by this policy.
    std::uint32_t localCalls = 0; ///< calls of this policy in flight
    std::uint32_t localIsolatedCalls = 0; ///< isolated calls among localCalls
    JobId reservedFor; ///< job with an isolated call for which the endpoint is reserved
    Time reservedUntil;
    std::deque<std::pair<Time, int>> localChanges; ///< recent changes of localCalls, to align it with delayed reports
    double slowness = 0; ///< smoothed logarithm of actual over expected service time
    double failureRate = 0; ///< smoothed fraction of failed calls, 0 to 1
    double sampleCount = 0; ///< number of calls in slowness and failureRate, bounded
    Time ejectedUntil; ///< end of the ejection for being slow or failing
    Time unreachableUntil; ///< end of the exclusion after a failed connection
    Duration ejectBackoff {}; ///< length of the last ejection; 0 once the endpoint has recovered
    Duration unreachableBackoff {}; ///< length of the last exclusion for being unreachable
};

/** Endpoints of one pool that serve one model. */
struct Group {
    std::vector<std::uint32_t> local; ///< in the zone of this VM
    std::vector<std::uint32_t> remote;
    double slots = 0; ///< of usable endpoints
    double busy = 0; ///< estimated calls on usable endpoints
    double free = 0; ///< sum of the estimated free slots of each endpoint
};

/** Totals of one pool. */
struct Pool {
    PoolId id;
    double slots = 0; ///< of usable endpoints
    std::uint32_t usable = 0; ///< number of usable endpoints
    std::uint32_t localCalls = 0; ///< calls of this policy in flight
    std::uint32_t pending = 0; ///< calls of jobs admitted by this policy that are not yet placed
    double othersInFlight = 0; ///< from the latest hint
    double othersPending = 0;
    double othersOfferedLoad = 0; ///< in slot-seconds per second
    bool hasHint = false;
    double meanServiceSeconds = 1; ///< smoothed service time of a call; initial value until a call ends
    double sampleCount = 0; ///< number of calls in meanServiceSeconds, bounded
};

/** All endpoints, with estimates of their current load. */
class EndpointTable
{
public:
    explicit EndpointTable(AvailabilityZoneId zone);

    void setEndpoints(std::span<const EndpointInfo> endpoints);
    void onLoadReport(const EndpointLoad &load);
    void setHint(const DemandHint &hint);
    void clearHint();

    std::uint32_t poolIndex(const PoolId &pool);
    Pool &pool(std::uint32_t index)
    {
        return pools_[index];
    }
    const std::vector<Pool> &pools() const
    {
        return pools_;
    }
    std::optional<std::uint32_t> find(const EndpointId &id) const;
    Endpoint &endpoint(std::uint32_t index)
    {
        return endpoints_[index];
    }
    const std::vector<Endpoint> &endpoints() const
    {
        return endpoints_;
    }
    /** Returns the endpoints of a pool that serve a model. */
    Group &group(std::uint32_t pool, const ModelId &model);

    void callStarted(std::uint32_t endpoint, bool isolated, Time now);
    void callEnded(std::uint32_t endpoint, bool isolated, Time now);
    /** Records a completed or failed call. @param ratio actual over expected service time; 0 if unknown */
    void observe(std::uint32_t endpoint, bool failed, double ratio);
    /** Excludes an endpoint after a failed connection, with exponential backoff. */
    void markUnreachable(std::uint32_t endpoint, Time now);
    void markReachable(std::uint32_t endpoint);

    /** Estimates the running and queued calls on an endpoint, including those of other policies. */
    double estimateCalls(const Endpoint &endpoint, Time now) const;
    /** Returns whether the endpoint may receive new calls. */
    bool isUsable(const Endpoint &endpoint, Time now) const;
    /** Ejects endpoints that are much slower or fail more often than their peers, and recomputes the totals. */
    void updateHealth(Time now);

private:
    struct GroupKey {
        std::uint32_t pool = 0;
        ModelId model;
        auto operator<=>(const GroupKey &) const = default;
    };

    void fill(Group &group, const GroupKey &key) const;
    void updateTotals(Group &group, Time now) const;
    void ejectOutliers(const std::vector<std::uint32_t> &peers, Time now);

    AvailabilityZoneId zone_;
    std::vector<Endpoint> endpoints_;
    std::unordered_map<EndpointId, std::uint32_t> byId_;
    std::vector<Pool> pools_;
    std::unordered_map<PoolId, std::uint32_t> poolById_;
    std::map<GroupKey, Group> groups_;
};

} // namespace lacewing::policy
