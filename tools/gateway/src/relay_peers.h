#pragma once

#include "context.h"
#include "endpoint_notices.h"
#include "fleet_links.h"

#include <reachability/reachability.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lacewing::gateway
{

/** Selects the VMs that send requests for this one while it reaches no endpoint of a service. */
class RelayPeers
{
public:
    RelayPeers(Context &context, FleetLinks &links, const EndpointNotices &notices, std::uint64_t seed);

    /** Returns the VM that has to send a request; empty if there is none left that may reach the service. */
    std::optional<VmId> select(const routing::ServiceId &service, const std::vector<VmId> &tried);
    /** Called when a VM is asked to send a request. */
    void onStarted(const VmId &vm);
    void onEnded(const VmId &vm);
    /** Called when a VM has said that it reaches no endpoint of a service. */
    void onServiceUnreachable(const VmId &vm, const routing::ServiceId &service);
    void expire(Time now);

private:
    bool mayReach(const VmId &vm, const routing::ServiceId &service) const;

    Context &context_;
    FleetLinks &links_;
    const EndpointNotices &notices_;
    Random random_;
    std::map<VmId, std::size_t> inFlight_;
    std::map<std::pair<VmId, routing::ServiceId>, Time> refusedAt_; ///< when a VM said that it does not reach a service
    telemetry::Counter relayedCounter_;
};

} // namespace lacewing::gateway
