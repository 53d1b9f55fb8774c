#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** Number of crashes from which a request is quarantined: an unrelated request may be in flight at two of them. */
constexpr int quarantineThreshold = 3;
/** Time after its last update for which an entry is kept. */
constexpr Duration entryTtl = 120s;

} // namespace

int PoisonRequestTracker::recordCrash(Fingerprint request, Time now)
{
    Entry &entry = entries_[request];
    entry.updatedAt = now;
    return ++entry.crashes;
}

void PoisonRequestTracker::merge(Fingerprint request, int crashes, Time now)
{
    Entry &entry = entries_[request];
    entry.crashes = std::max(entry.crashes, crashes);
    entry.updatedAt = now;
}

bool PoisonRequestTracker::isQuarantined(Fingerprint request) const
{
    const auto found = entries_.find(request);
    return found != entries_.end() && found->second.crashes >= quarantineThreshold;
}

void PoisonRequestTracker::expire(Time now)
{
    std::erase_if(entries_, [&](const auto &item) { return item.second.updatedAt + entryTtl < now; });
}

} // namespace lacewing::dispatch
