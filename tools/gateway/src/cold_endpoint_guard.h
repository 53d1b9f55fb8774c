#pragma once

#include "context.h"
#include "fleet_links.h"
#include "fleet_state.h"

#include <overload/overload.h>

#include <memory>
#include <optional>
#include <set>

namespace lacewing::gateway
{

/** Knows which endpoints are cold, and keeps what is sent to them within what they bear from all VMs together. */
class ColdEndpointGuard
{
public:
    ColdEndpointGuard(Context &context, FleetLinks &links, FleetState &state);

    /** Must be called when the desired state has changed. */
    void onStateChanged();
    /** Takes how long an endpoint stays cold, as it has said in an answer. */
    void handleAnswer(const routing::EndpointLifetime &endpoint, Duration timeLeft);
    /** Called when a request of any kind is sent to an endpoint. */
    void onSend(const EndpointId &endpoint);
    /** Returns for how long an endpoint counts as cold, for whatever reason; empty if it is warm. */
    std::optional<overload::ColdPeriod> coldPeriod(const routing::EndpointEntry &endpoint) const;
    /** Returns whether an endpoint is cold by what it says or by its connections, and so slower than warm ones. */
    bool isCold(const routing::EndpointEntry &endpoint) const;
    /** Returns until when this VM may send nothing to an endpoint because it is cold; empty if it may. */
    std::optional<Time> blockedUntil(const EndpointId &endpoint) const;
    /** Returns whether all endpoints of a service are cold, and none of their slots belongs to a VM. */
    bool sharesNoSlots(const VmId &vm, const routing::ServiceId &service) const;
    /** Returns whether all endpoints of a service are cold, and only other VMs may have free slots there. */
    bool requiresRelay(const routing::ServiceId &service) const;
    void expire();

private:
    const routing::ColdStart *coldStart(const routing::ServiceId &service) const;
    void update(Time now);
    void updateView(Time now);
    void logChanges();
    bool areAllCold(const routing::ServiceId &service) const;

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    overload::ColdEndpoints endpoints_;
    std::shared_ptr<const routing::RouteTable> routes_; ///< the last ones that tell of cold starts
    std::optional<Time> viewOutdatedSince_;
    bool isViewOutdated_ = false; ///< this VM may have missed that endpoints have become cold
    std::set<routing::EndpointLifetime> cold_; ///< as last logged
    bool isTimerRunning_ = false;
    unsigned updates_ = 0;
    telemetry::Gauge coldGauge_;
    telemetry::Counter sendCounter_;
    mutable telemetry::Counter relayCounter_;
};

} // namespace lacewing::gateway
