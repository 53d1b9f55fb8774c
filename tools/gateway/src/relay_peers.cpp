#include "relay_peers.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Time for which a refusal counts. The VM's own message, which says how things stand, arrives earlier. */
constexpr Duration refusalTtl = 1s;

} // namespace

RelayPeers::RelayPeers(Context &context, FleetLinks &links, const EndpointNotices &notices, std::uint64_t seed)
    : context_(context)
    , links_(links)
    , notices_(notices)
    , random_(seed)
    , relayedCounter_(context.metrics.counter({ "relayed_requests", "Requests that other VMs were asked to send" }))
{
}

std::optional<VmId> RelayPeers::select(const routing::ServiceId &service, const std::vector<VmId> &tried)
{
    std::vector<reachability::RelayCandidate> candidates;
    for (const auto &vm : links_.members(std::nullopt)) {
        const bool wasTried = std::find(tried.begin(), tried.end(), vm) != tried.end();
        if (vm == context_.settings.vm || wasTried || !mayReach(vm, service)) {
            continue;
        }
        const auto count = inFlight_.find(vm);
        candidates.push_back({ vm,
                               links_.zoneOf(vm) == context_.settings.zone,
                               links_.cpuShare(vm),
                               count == inFlight_.end() ? 0 : count->second });
    }
    const auto *selected = reachability::selectRelay(candidates, random_);
    return selected != nullptr ? std::optional(selected->vm) : std::nullopt;
}

void RelayPeers::onStarted(const VmId &vm)
{
    ++inFlight_[vm];
    relayedCounter_.add();
}

void RelayPeers::onEnded(const VmId &vm)
{
    const auto found = inFlight_.find(vm);
    if (found != inFlight_.end() && --found->second == 0) {
        inFlight_.erase(found);
    }
}

void RelayPeers::onServiceUnreachable(const VmId &vm, const routing::ServiceId &service)
{
    refusedAt_[{ vm, service }] = context_.now();
}

void RelayPeers::expire(Time now)
{
    std::erase_if(refusedAt_, [&](const auto &refusal) { return now - refusal.second > refusalTtl; });
}

bool RelayPeers::mayReach(const VmId &vm, const routing::ServiceId &service) const
{
    const auto refusal = refusedAt_.find({ vm, service });
    const bool hasRefused = refusal != refusedAt_.end() && context_.now() - refusal->second <= refusalTtl;
    return !hasRefused && links_.reaches(vm, service) && !notices_.sharesNoSlots(vm, service);
}

} // namespace lacewing::gateway
