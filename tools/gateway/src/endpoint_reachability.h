#pragma once

#include "context.h"
#include "endpoint_notices.h"
#include "fleet_state.h"

#include <reachability/reachability.h>

#include <functional>
#include <memory>
#include <vector>

namespace lacewing::gateway
{

/** Follows which services this VM reaches, and attempts the connections that this takes. */
class EndpointReachability
{
public:
    /** @param onChanged called when a service has become unreachable, or reachable again */
    EndpointReachability(Context &context,
                         FleetState &state,
                         const EndpointNotices &notices,
                         net::HttpClient &client,
                         std::uint64_t seed,
                         std::function<void()> onChanged);

    /** Called when a new connection to an endpoint has been set up. */
    void onConnected(const routing::EndpointEntry &endpoint);
    /** Called when no connection to an endpoint could be set up. */
    void onConnectFailed(const routing::EndpointEntry &endpoint);
    /** Called when a request is sent to an endpoint; onEnded() has to follow. */
    void onSent(const routing::EndpointEntry &endpoint);
    /** Called when bytes arrive from an endpoint. */
    void onReceived();
    /** Called when the answer to a request has ended, or is not awaited any more. */
    void onEnded();

    /** Returns whether this VM reaches no endpoint of a service although some are registered. */
    bool isUnreachable(const routing::ServiceId &service) const
    {
        return monitor_.isUnreachable(service);
    }
    /**
     * Finds out whether an endpoint that accepts no connection is at fault, rather than this VM's path: whether another
     * endpoint accepts one. Without another endpoint there is nothing to tell them apart by, and it is at fault.
     *
     * @param onDone called once
     */
    void checkOthers(const routing::EndpointEntry &endpoint, std::function<void(bool isEndpointAtFault)> onDone);
    std::vector<routing::ServiceId> unreachableServices() const
    {
        return monitor_.unreachableServices();
    }

private:
    struct OthersCheck;

    void scheduleEvaluation();
    void scheduleProbes();
    void evaluate();
    void probe(const reachability::Target &target);
    void attemptConnection(const routing::EndpointEntry &endpoint, std::function<void(bool isConnected)> onDone);
    void continueCheck(const std::shared_ptr<OthersCheck> &check);
    std::vector<routing::EndpointEntry> otherEndpoints(const routing::EndpointEntry &endpoint);

    Context &context_;
    FleetState &state_;
    const EndpointNotices &notices_;
    net::HttpClient &client_;
    std::function<void()> onChanged_;
    Random random_;
    reachability::ReachabilityMonitor monitor_;
    bool isEvaluationScheduled_ = false;
    TimerHandle timer_;
    Time timerDueAt_;
    telemetry::Counter probeCounter_;
    telemetry::Gauge unreachableGauge_;
};

} // namespace lacewing::gateway
