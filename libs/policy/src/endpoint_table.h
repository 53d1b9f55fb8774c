#pragma once

#include <policy/policy.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace lacewing::policy
{

/** One endpoint, what was reported of it and what was observed. */
struct Endpoint {
    EndpointInfo info;
    std::uint32_t pool = 0;
    bool listed = true; ///< in the latest list

    // Reported.
    bool reported = false;
    Time asOf;
    double reportedOtherCalls = 0; ///< calls of other policies at asOf
    double reportedCalls = 0; ///< running and waiting calls at asOf

    // Observed by this policy.
    std::uint32_t localCalls = 0; ///< localCalls calls in flight
    std::uint32_t localIsolatedCalls = 0; ///< of these, calls that run isolated
    JobId reservedFor; ///< suspect for which the endpoint is kept free
    Time reservedUntil;
    std::deque<std::pair<Time, int>> localChanges; ///< recent changes of localCalls, for comparing with late reports
    double slowness = 0; ///< smoothed logarithm of slot time over expected slot time
    double failureRate = 0; ///< smoothed share of failed calls, 0 to 1
    double sampleCount = 0; ///< calls behind the two values above, bounded
    Time ejectedUntil; ///< avoided until then, for being slow or failing
    Time unreachableUntil; ///< avoided until then, since no connection could be made
    Duration ejectBackoff {}; ///< last time of avoidance for being slow or failing; 0 once it proved well
    Duration unreachableBackoff {}; ///< last time of avoidance for being unreachable
};

/** Endpoints of one pool that serve one model. */
struct Group {
    std::vector<std::uint32_t> local; ///< in the policy's zone
    std::vector<std::uint32_t> remote;
    double slots = 0; ///< of usable endpoints
    double busy = 0; ///< estimated calls on usable endpoints
    double free = 0; ///< estimated free slots, endpoint by endpoint
};

/** One pool's totals. */
struct Pool {
    PoolId id;
    double slots = 0; ///< of usable endpoints
    std::uint32_t usable = 0; ///< endpoints
    std::uint32_t localCalls = 0; ///< localCalls calls in flight
    std::uint32_t pending = 0; ///< calls that localCalls admitted jobs have still to place
    double othersInFlight = 0; ///< by the latest hint
    double othersPending = 0;
    double othersOfferedLoad = 0; ///< slot-seconds a second
    bool hasHint = false;
    double meanServiceSeconds = 1; ///< smoothed slot time of a call; assumed before the first one ended
    double sampleCount = 0; ///< calls behind meanServiceSeconds, bounded
};

/** All endpoints, with estimates of their present load. */
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
    /** The endpoints of a pool that serve a model. */
    Group &group(std::uint32_t pool, const ModelId &model);

    void callStarted(std::uint32_t endpoint, bool isolated, Time now);
    void callEnded(std::uint32_t endpoint, bool isolated, Time now);
    /** Learns from a call that ran to its end or failed. @param ratio slot time over expected time; 0: unknown */
    void observe(std::uint32_t endpoint, bool failed, double ratio);
    /** No connection could be made: avoids the endpoint for a time that doubles with each failure. */
    void markUnreachable(std::uint32_t endpoint, Time now);
    void markReachable(std::uint32_t endpoint);

    /** Estimated calls in progress and waiting on an endpoint now, those of other policies included. */
    double estimateCalls(const Endpoint &endpoint, Time now) const;
    /** Whether new calls may go to the endpoint. */
    bool isUsable(const Endpoint &endpoint, Time now) const;
    /** Avoids endpoints that are much slower or fail more than their peers; recomputes totals. */
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
