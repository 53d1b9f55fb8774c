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

void RefusedCallers::refused(const Refusal &refusal, Time now)
{
    keep(refusal, now);
    if (untold_.size() < mostTold) {
        untold_.push_back(refusal);
    }
}

void RefusedCallers::merge(std::span<const Refusal> refusals, Time now)
{
    for (const auto &refusal : refusals) {
        keep(refusal, now);
    }
}

std::optional<Time> RefusedCallers::firstTry(Fingerprint request, Time now) const
{
    const auto found = known_.find(request);
    const bool isKnown = found != known_.end() && now - found->second.refusedAt <= memory;
    return isKnown ? std::optional(found->second.firstTry) : std::nullopt;
}

std::vector<Refusal> RefusedCallers::takeUntold()
{
    return std::exchange(untold_, {});
}

void RefusedCallers::expire(Time now)
{
    std::erase_if(known_, [&](const auto &item) { return now - item.second.refusedAt > memory; });
}

void RefusedCallers::keep(const Refusal &refusal, Time now)
{
    const auto [found, isNew] = known_.try_emplace(refusal.request, Known { refusal.firstTry, now });
    if (!isNew) {
        found->second.firstTry = std::min(found->second.firstTry, refusal.firstTry);
        found->second.refusedAt = now;
    }
}

} // namespace lacewing::dispatch
