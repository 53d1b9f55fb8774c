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

void RejectionHistory::record(const Rejection &refusal, Time now)
{
    keep(refusal, now);
    if (untold_.size() < mostTold) {
        untold_.push_back(refusal);
    }
}

void RejectionHistory::merge(std::span<const Rejection> refusals, Time now)
{
    for (const auto &refusal : refusals) {
        keep(refusal, now);
    }
}

std::optional<Time> RejectionHistory::firstAttemptAt(Fingerprint request, Time now) const
{
    const auto found = known_.find(request);
    const bool isKnown = found != known_.end() && now - found->second.refusedAt <= memory;
    return isKnown ? std::optional(found->second.firstAttemptAt) : std::nullopt;
}

std::vector<Rejection> RejectionHistory::takeUnpublished()
{
    return std::exchange(untold_, {});
}

void RejectionHistory::expire(Time now)
{
    std::erase_if(known_, [&](const auto &item) { return now - item.second.refusedAt > memory; });
}

void RejectionHistory::keep(const Rejection &refusal, Time now)
{
    const auto [found, isNew] = known_.try_emplace(refusal.request, Known { refusal.firstAttemptAt, now });
    if (!isNew) {
        found->second.firstAttemptAt = std::min(found->second.firstAttemptAt, refusal.firstAttemptAt);
        found->second.refusedAt = now;
    }
}

} // namespace lacewing::dispatch
