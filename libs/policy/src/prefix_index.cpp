#include "prefix_index.h"

#include <algorithm>

namespace lacewing::policy
{

namespace
{

/** Approximate time for which engines keep a prefix under load. */
constexpr Duration entryLifetime = 60s;
constexpr std::size_t maxHolders = 8;
constexpr std::size_t maxPrefixes = 50'000;

} // namespace

void PrefixIndex::onStored(PrefixHash prefix, std::uint32_t endpoint, Time now)
{
    auto [place, isNew] = entries_.try_emplace(prefix);
    auto &list = place->second;
    std::erase_if(list, [&](const Entry &entry) { return entry.endpoint == endpoint; });
    if (list.size() == maxHolders) {
        list.erase(list.begin());
    }
    list.push_back({ endpoint, now });
    if (isNew) {
        order_.push_back(prefix);
        evictOldest();
    }
}

void PrefixIndex::onEvicted(PrefixHash prefix, std::uint32_t endpoint)
{
    const auto found = entries_.find(prefix);
    if (found != entries_.end()) {
        std::erase_if(found->second, [&](const Entry &entry) { return entry.endpoint == endpoint; });
    }
}

void PrefixIndex::clear()
{
    entries_.clear();
    order_.clear();
}

bool PrefixIndex::holds(PrefixHash prefix, std::uint32_t endpoint, Time now) const
{
    const auto found = entries_.find(prefix);
    return found != entries_.end() && std::any_of(found->second.begin(), found->second.end(), [&](const Entry &entry) {
               return entry.endpoint == endpoint && now - entry.updatedAt < entryLifetime;
           });
}

std::vector<std::uint32_t> PrefixIndex::holders(PrefixHash prefix, Time now) const
{
    std::vector<std::uint32_t> result;
    const auto found = entries_.find(prefix);
    if (found == entries_.end()) {
        return result;
    }
    for (const auto &entry : found->second) {
        if (now - entry.updatedAt < entryLifetime) {
            result.push_back(entry.endpoint);
        }
    }
    return result;
}

void PrefixIndex::evictOldest()
{
    while (order_.size() > maxPrefixes) {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace lacewing::policy
