#include <overload/overload.h>

#include <algorithm>

namespace lacewing::overload
{
namespace
{

/** Endpoints count the requests that they turn away over this time. */
constexpr Duration rejectionWindow = std::chrono::seconds(1);
/** Share of an endpoint's limit after which all VMs stop. The rest is for requests that are under way by then. */
constexpr std::uint32_t stopShareDivisor = 2;

} // namespace

bool BrittleEndpoints::recordAnswer(const routing::EndpointLifetime &endpoint,
                                    std::optional<std::uint32_t> maxRejections,
                                    Time sentAt,
                                    Time now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        if (!maxRejections) {
            return false;
        }
        endpoints_[endpoint] = { maxRejections, now, {}, std::nullopt };
        return true;
    }
    Brittle &brittle = found->second;
    if (!maxRejections && sentAt < brittle.statedAt) {
        return false; // the answer may have been written earlier
    }
    const bool isNew = maxRejections && !brittle.maxRejections;
    brittle.maxRejections = maxRejections;
    brittle.statedAt = now;
    return isNew;
}

void BrittleEndpoints::recordBrittle(const routing::EndpointLifetime &endpoint, std::uint32_t maxRejections, Time now)
{
    Brittle &brittle = endpoints_[endpoint];
    brittle.maxRejections = maxRejections;
    brittle.statedAt = now;
}

bool BrittleEndpoints::recordRejection(const routing::EndpointLifetime &endpoint, bool isOwn, Time now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !found->second.maxRejections) {
        return false;
    }
    auto &rejectedAt = found->second.rejectedAt;
    while (!rejectedAt.empty() && now - rejectedAt.front() > rejectionWindow) {
        rejectedAt.pop_front();
    }
    rejectedAt.push_back(now);
    if (isOwn) {
        found->second.ownRejectionAt = now;
    }
    return true;
}

bool BrittleEndpoints::isBrittle(const routing::EndpointLifetime &endpoint) const
{
    return maxRejections(endpoint).has_value();
}

std::optional<std::uint32_t> BrittleEndpoints::maxRejections(const routing::EndpointLifetime &endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? std::nullopt : found->second.maxRejections;
}

std::optional<Time> BrittleEndpoints::blockedUntil(const routing::EndpointLifetime &endpoint, Time now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !found->second.maxRejections) {
        return std::nullopt;
    }
    const auto &rejectedAt = found->second.rejectedAt;
    std::optional<Time> until;
    if (found->second.ownRejectionAt) {
        until = *found->second.ownRejectionAt + rejectionWindow;
    }
    const std::size_t limit = std::max<std::uint32_t>(*found->second.maxRejections / stopShareDivisor, 1);
    if (rejectedAt.size() >= limit) {
        // Fewer than the limit are left in the window from then on.
        until = std::max(until.value_or(Time()), rejectedAt[rejectedAt.size() - limit] + rejectionWindow);
    }
    return until && *until > now ? until : std::nullopt;
}

void BrittleEndpoints::expire(const routing::EndpointDirectory &directory)
{
    std::erase_if(endpoints_, [&](const auto &item) { return directory.hasEnded(item.first); });
}

std::vector<std::size_t> divideSlots(const routing::EndpointEntry &endpoint, std::span<const VmId> vms)
{
    const std::size_t slots = std::max<std::size_t>(endpoint.slots, 1);
    if (vms.size() <= slots) {
        return std::vector<std::size_t>(vms.size(), slots / std::max<std::size_t>(vms.size(), 1));
    }
    std::vector<std::string> names;
    for (const auto &vm : vms) {
        names.push_back(vm.text());
    }
    std::vector<std::size_t> shares(vms.size(), 0);
    for (const auto index : rendezvous("slots/" + endpoint.id.text(), names, slots)) {
        shares[index] = 1;
    }
    return shares;
}

} // namespace lacewing::overload
