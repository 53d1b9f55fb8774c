#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** Time after its last rejection for which a request is recorded; later retries count as new requests. */
constexpr Duration retention = 6s;
/** Maximum number of rejections published with one beacon; further ones are known only to this VM. */
constexpr std::size_t maxUnpublished = 64;

} // namespace

void RejectionHistory::record(const Rejection &rejection, Time now)
{
    store(rejection, now);
    if (unpublished_.size() < maxUnpublished) {
        unpublished_.push_back(rejection);
    }
}

void RejectionHistory::merge(std::span<const Rejection> rejections, Time now)
{
    for (const auto &rejection : rejections) {
        store(rejection, now);
    }
}

std::optional<Time> RejectionHistory::firstAttemptAt(Fingerprint request, Time now) const
{
    const auto found = entries_.find(request);
    const bool isKnown = found != entries_.end() && now - found->second.rejectedAt <= retention;
    return isKnown ? std::optional(found->second.firstAttemptAt) : std::nullopt;
}

std::vector<Rejection> RejectionHistory::takeUnpublished()
{
    return std::exchange(unpublished_, {});
}

void RejectionHistory::expire(Time now)
{
    std::erase_if(entries_, [&](const auto &item) { return now - item.second.rejectedAt > retention; });
}

void RejectionHistory::store(const Rejection &rejection, Time now)
{
    const auto [found, isNew] = entries_.try_emplace(rejection.request, Entry { rejection.firstAttemptAt, now });
    if (!isNew) {
        found->second.firstAttemptAt = std::min(found->second.firstAttemptAt, rejection.firstAttemptAt);
        found->second.rejectedAt = now;
    }
}

} // namespace lacewing::dispatch
