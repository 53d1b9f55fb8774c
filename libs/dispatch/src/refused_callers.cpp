#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** A caller that comes back later than this counts as new. */
constexpr Duration memory = 6s;
/** Refusals that are told to the other VMs with one beacon; more are known here alone. */
constexpr std::size_t mostTold = 64;

} // namespace

void RefusedCallers::refused(Fingerprint request, Time now)
{
    refusedAt_[request] = now;
    if (untold_.size() < mostTold) {
        untold_.push_back(request);
    }
}

void RefusedCallers::merge(std::span<const Fingerprint> requests, Time now)
{
    for (const auto request : requests) {
        refusedAt_[request] = now;
    }
}

bool RefusedCallers::isReturning(Fingerprint request, Time now) const
{
    const auto found = refusedAt_.find(request);
    return found != refusedAt_.end() && now - found->second <= memory;
}

std::vector<Fingerprint> RefusedCallers::takeUntold()
{
    return std::exchange(untold_, {});
}

void RefusedCallers::expire(Time now)
{
    std::erase_if(refusedAt_, [&](const auto &item) { return now - item.second > memory; });
}

} // namespace lacewing::dispatch
