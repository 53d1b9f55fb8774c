#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{

void QuietPeriods::record(const routing::EndpointLifetime &endpoint, Time until)
{
    Time &end = periods_.try_emplace(endpoint, until).first->second;
    end = std::max(end, until);
}

std::optional<Time> QuietPeriods::until(const routing::EndpointLifetime &endpoint, Time now) const
{
    if (periods_.empty()) {
        return std::nullopt;
    }
    const auto found = periods_.find(endpoint);
    return found == periods_.end() || found->second <= now ? std::nullopt : std::optional(found->second);
}

std::optional<Time> QuietPeriods::earliestEnd(std::span<const routing::EndpointEntry *const> endpoints, Time now) const
{
    std::optional<Time> earliest;
    for (const auto *endpoint : endpoints) {
        const auto end = until(endpoint->lifetime(), now);
        if (!end) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*end), *end);
    }
    return earliest;
}

void QuietPeriods::expire(Time now)
{
    std::erase_if(periods_, [&](const auto &item) { return item.second <= now; });
}

} // namespace lacewing::dispatch
