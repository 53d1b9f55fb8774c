#pragma once

#include "context.h"
#include "decision_log.h"
#include "fleet_links.h"
#include "fleet_state.h"

#include <dispatch/dispatch.h>

#include <optional>

namespace lacewing::gateway
{

/**
 * What endpoints say about themselves in their answers: that they leave, or that they want no requests for a time.
 *
 * An endpoint that leaves gets nothing new from this VM for the rest of its lifetime; the other VMs of the zone are
 * told. A quiet period holds for this VM only.
 */
class EndpointNotices
{
public:
    EndpointNotices(Context &context, FleetLinks &links, FleetState &state);

    /** Takes the head of any answer of an endpoint. */
    void handleResponse(const routing::EndpointEntry &endpoint, const userplatform::ResponseMetadata &response);
    /** Takes what an endpoint has told another VM. */
    void handleLeaving(const EndpointLifetimeMessage &message);
    /** Returns until when nothing may be sent to an endpoint; empty if it wants requests. */
    std::optional<Time> quietUntil(const routing::EndpointLifetime &endpoint) const;
    /** Returns when the first endpoint of a service wants requests again; empty if one wants them now. */
    std::optional<Time> earliestReturn(const routing::ServiceId &service) const;
    void expire(Time now);

private:
    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    dispatch::QuietPeriods quietPeriods_;
    DecisionLog decisionLog_;
    telemetry::Counter leavingCounter_;
    telemetry::Counter quietCounter_;
};

} // namespace lacewing::gateway
