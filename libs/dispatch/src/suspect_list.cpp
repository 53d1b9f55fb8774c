#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** Crashes after which a request is sent to no endpoint any more: a neighbour of the culprit may be there twice. */
constexpr int maxCrashes = 3;
/** A suspect that isn't seen for this time is forgotten. */
constexpr Duration suspectLife = 120s;

} // namespace

int PoisonRequestTracker::recordCrash(Fingerprint request, Time now)
{
    Suspect &suspect = suspects_[request];
    suspect.seenAt = now;
    return ++suspect.crashes;
}

void PoisonRequestTracker::merge(Fingerprint request, int crashes, Time now)
{
    Suspect &suspect = suspects_[request];
    suspect.crashes = std::max(suspect.crashes, crashes);
    suspect.seenAt = now;
}

bool PoisonRequestTracker::isQuarantined(Fingerprint request) const
{
    const auto found = suspects_.find(request);
    return found != suspects_.end() && found->second.crashes >= maxCrashes;
}

void PoisonRequestTracker::expire(Time now)
{
    std::erase_if(suspects_, [&](const auto &item) { return item.second.seenAt + suspectLife < now; });
}

} // namespace lacewing::dispatch
