#include <routing/routing.h>

#include <algorithm>
#include <unordered_set>

namespace lacewing::routing
{
namespace
{

template <typename T>
std::unordered_set<std::uint64_t> digestsOf(const std::vector<StatePart<T>> &parts)
{
    std::unordered_set<std::uint64_t> digests;
    for (const auto &part : parts) {
        digests.insert(part.digest());
    }
    return digests;
}

/** Calls a function with each part of a list that another list lacks. */
template <typename T, typename Function>
void forEachMissing(const std::vector<StatePart<T>> &parts, const std::vector<StatePart<T>> &others, Function function)
{
    const auto present = digestsOf(others);
    for (const auto &part : parts) {
        if (!present.contains(part.digest())) {
            function(*part);
        }
    }
}

std::uint64_t hashOfHost(std::string_view host)
{
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
    });
    return hashBytes(lower);
}

std::vector<std::uint64_t> sorted(const std::unordered_set<std::uint64_t> &hashes)
{
    std::vector<std::uint64_t> result(hashes.begin(), hashes.end());
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

StateImpact computeImpact(const DesiredState &base, const DesiredState &state)
{
    std::unordered_set<std::uint64_t> baseHosts;
    for (const auto &route : base.routes) {
        baseHosts.insert(hashOfHost(route->host));
    }
    std::unordered_set<std::uint64_t> hosts;
    const auto addHost = [&](const Route &route) {
        if (const auto hash = hashOfHost(route.host); baseHosts.contains(hash)) {
            hosts.insert(hash);
        }
    };
    forEachMissing(base.routes, state.routes, addHost);
    forEachMissing(state.routes, base.routes, addHost);

    std::unordered_map<std::string_view, WorkspaceId> holders;
    for (const auto &holder : state.keyHolders) {
        for (const auto &key : holder->keys) {
            holders.emplace(key, holder->workspace);
        }
    }
    std::unordered_set<std::uint64_t> keys;
    forEachMissing(base.keyHolders, state.keyHolders, [&](const KeyHolder &holder) {
        for (const auto &key : holder.keys) {
            const auto found = holders.find(key);
            if (found == holders.end() || found->second != holder.workspace) {
                keys.insert(hashBytes(key));
            }
        }
    });
    StateImpact impact;
    impact.baseDigest = digestOf(base);
    impact.isComplete =
        base.general.requiresKeys == state.general.requiresKeys && hosts.size() + keys.size() <= maxImpactEntries;
    if (impact.isComplete) {
        impact.hosts = sorted(hosts);
        impact.keys = sorted(keys);
    }
    return impact;
}

bool StateImpact::affectsHost(std::string_view host) const
{
    return !isComplete || std::binary_search(hosts.begin(), hosts.end(), hashOfHost(host));
}

bool StateImpact::affectsKey(std::string_view key) const
{
    return !isComplete || std::binary_search(keys.begin(), keys.end(), hashBytes(key));
}

} // namespace lacewing::routing
