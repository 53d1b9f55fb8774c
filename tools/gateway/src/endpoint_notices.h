#pragma once

#include "cold_endpoint_guard.h"
#include "context.h"
#include "decision_log.h"
#include "fleet_links.h"
#include "fleet_state.h"

#include <dispatch/dispatch.h>
#include <overload/overload.h>

#include <map>
#include <optional>
#include <set>

namespace lacewing::gateway
{

/**
 * What endpoints say about themselves in their answers: that they leave, that they want no requests for a time, or how
 * many requests they take a second; and what may be sent to them for that, or because they are cold.
 *
 * An endpoint that leaves gets nothing new from this VM for the rest of its lifetime; the other VMs of the zone are
 * told. A quiet period holds for this VM only. A rate limit holds for all VMs together; they tell each other of it and
 * of their sends.
 */
class EndpointNotices
{
public:
    EndpointNotices(Context &context, FleetLinks &links, FleetState &state);

    /** Must be called when the desired state has changed. */
    void onStateChanged()
    {
        coldEndpoints_.onStateChanged();
    }
    /** Takes the head of any answer of an endpoint. @param sentAt when the request was sent */
    void handleResponse(const routing::EndpointEntry &endpoint,
                        const userplatform::ResponseMetadata &response,
                        Time sentAt);
    /** Called when a request of any kind is sent to an endpoint. */
    void onSend(const routing::EndpointLifetime &endpoint);
    /** Called when a request is sent for which reserve() has taken a place. */
    void onReservedSend(const routing::EndpointLifetime &endpoint);
    /** Takes what an endpoint has told another VM. */
    void handleLeaving(const EndpointLifetimeMessage &message);
    /** Takes what another VM knows about a brittle endpoint. */
    void handleBrittle(const BrittleEndpointMessage &message);
    /** Returns the number of requests that this VM may have in flight at an endpoint; empty: any. */
    std::optional<std::size_t> maxInFlight(const routing::EndpointEntry &endpoint) const;
    /**
     * Returns whether only other VMs may send requests to a service now, as its endpoints are brittle or cold and have
     * fewer slots than there are VMs.
     *
     * @param vm this VM, or another one
     */
    bool sharesNoSlots(const VmId &vm, const routing::ServiceId &service) const;
    /** Returns whether another VM has to send a request to a service, as this one has no slot that is free. */
    bool requiresRelay(const routing::ServiceId &service) const;
    /** Returns whether an endpoint is cold, as far as is known for certain. */
    bool isCold(const routing::EndpointEntry &endpoint) const;
    /** Takes the limits and sends that another VM reports. */
    void handleRateLimits(const RateLimitsMessage &message);
    /** Returns this VM's report, for its heartbeats. Updates for how many VMs the limits are. */
    std::vector<RateLimitMessage> updateRateLimits();
    /** Returns until when an endpoint wants nothing, connections included; empty if it wants requests. */
    std::optional<Time> quietUntil(const routing::EndpointLifetime &endpoint) const;
    /** Returns until when no request may be sent to an endpoint; empty if one may be sent now. */
    std::optional<Time> blockedUntil(const routing::EndpointLifetime &endpoint) const;
    /** The same for a request for which reserve() has taken a place. */
    std::optional<Time> reservedBlockedUntil(const routing::EndpointLifetime &endpoint) const;
    /** Returns when the first endpoint of a service may get requests again; empty if one may get them now. */
    std::optional<Time> earliestReturn(const routing::ServiceId &service) const;
    /**
     * Takes the place of a request that will be sent later, if all endpoints of a service have rate limits.
     *
     * @return the endpoint that expects the request; empty if no place has to be taken, or if there is none
     */
    std::optional<routing::EndpointLifetime> reserve(const routing::ServiceId &service);
    void expire(Time now);

private:
    /** How the slots of brittle endpoints are divided among the live VMs. */
    struct SlotShares {
        Time computedAt;
        std::map<EndpointId, std::size_t> own; ///< by brittle endpoint: requests that this VM may have in flight
        /** By service whose endpoints are all brittle: the VMs that have a share at one of them. */
        std::map<routing::ServiceId, std::set<VmId>> holders;
    };

    const SlotShares &slotShares() const;
    void recordBrittleness(const routing::EndpointLifetime &endpoint,
                           const userplatform::ResponseMetadata &response,
                           Time sentAt);
    void reportBrittle(const routing::EndpointLifetime &endpoint, bool isRejection);
    void takeRateToken(const routing::EndpointLifetime &endpoint);
    void reportRateLimit(const routing::EndpointLifetime &endpoint);
    void sendReports();
    RateLimitMessage toMessage(const dispatch::RateLimitUse &use) const;

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    dispatch::QuietPeriods quietPeriods_;
    dispatch::SharedRateLimits rateLimits_;
    overload::BrittleEndpoints brittleEndpoints_;
    ColdEndpointGuard coldEndpoints_;
    mutable std::optional<SlotShares> slotShares_; ///< cached, as it takes a hash for each VM and endpoint
    dispatch::FleetSizeEstimate fleetSize_;
    std::optional<Time> reportedAt_; ///< when the rate limits were last reported to all VMs
    std::set<routing::EndpointLifetime> dueReports_; ///< endpoints on which a report is scheduled
    std::size_t heartbeatReports_ = 0; ///< reports on endpoints in heartbeats so far
    DecisionLog decisionLog_;
    telemetry::Counter leavingCounter_;
    telemetry::Counter quietCounter_;
    telemetry::Counter rateLimitCounter_;
    telemetry::Counter brittleRejectionCounter_;
};

} // namespace lacewing::gateway
