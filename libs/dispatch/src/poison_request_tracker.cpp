#include <dispatch/dispatch.h>

#include <algorithm>
#include <tuple>

namespace lacewing::dispatch
{
namespace
{

using routing::EndpointLifetime;

/** Number of crashes from which a request is quarantined: an unrelated request may be in flight at two of them. */
constexpr std::size_t quarantineThreshold = 3;
/** Number of crashes from which VMs reconcile what they know about a request. */
constexpr std::size_t repeatThreshold = 2;
/** Time after its last update for which a suspect is kept. */
constexpr Duration suspectTtl = 120s;
/** Bounds the memory; all requests in flight at the crash of a large part of the fleet fit in. */
constexpr std::size_t maxSuspects = 8192;

bool isExpired(const Suspect &suspect, Time now) noexcept
{
    return now - suspect.updatedAt >= suspectTtl;
}

bool hasEnoughCrashes(const Suspect &suspect) noexcept
{
    return suspect.crashes.size() >= quarantineThreshold;
}

bool isRepeated(const Suspect &suspect, Time now) noexcept
{
    return suspect.crashes.size() >= repeatThreshold && !isExpired(suspect, now);
}

/** Hashes what decides whether the request may be sent. The crashes matter only until they suffice or are refuted. */
std::uint64_t hashSuspect(const Suspect &suspect)
{
    const bool isDecided = suspect.isCleared || hasEnoughCrashes(suspect);
    std::uint64_t hash = hashBytes(suspect.isCleared ? "cleared" : "suspect", suspect.request.value());
    if (!isDecided) {
        for (const auto &crash : suspect.crashes) {
            hash = hashBytes(crash.endpoint.text(), hash + crash.incarnation.value());
        }
    }
    return hash;
}

} // namespace

bool PoisonRequestTracker::recordCrash(Fingerprint request, const EndpointLifetime &endpoint, Time now)
{
    Suspect &suspect = findOrAdd(request);
    if (suspect.isCleared || !addCrash(suspect, endpoint)) {
        return false;
    }
    suspect.updatedAt = now;
    return true;
}

bool PoisonRequestTracker::recordSuccess(Fingerprint request, Time now)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || found->second.isCleared) {
        return false;
    }
    found->second.isCleared = true;
    found->second.updatedAt = now;
    return true;
}

void PoisonRequestTracker::recordRejection(Fingerprint request, Time now)
{
    const auto found = suspects_.find(request);
    if (found != suspects_.end() && !found->second.isCleared) {
        found->second.updatedAt = now;
    }
}

bool PoisonRequestTracker::merge(const Suspect &suspect, Time now)
{
    if (isExpired(suspect, now)) {
        return false;
    }
    Suspect &own = findOrAdd(suspect.request);
    bool hasChanged = suspect.isCleared && !own.isCleared;
    if (hasChanged) {
        own.isCleared = true;
        own.updatedAt = suspect.updatedAt;
    } else if (suspect.isCleared == own.isCleared) {
        own.updatedAt = std::max(own.updatedAt, suspect.updatedAt);
    }
    for (const auto &endpoint : suspect.crashes) {
        hasChanged = addCrash(own, endpoint) || hasChanged;
    }
    return hasChanged;
}

void PoisonRequestTracker::removeCrashes(const std::function<bool(const EndpointLifetime &)> &isExplained)
{
    for (auto it = suspects_.begin(); it != suspects_.end();) {
        auto &crashes = it->second.crashes;
        const bool isRemoved = std::erase_if(crashes, isExplained) > 0 && crashes.empty();
        it = isRemoved ? suspects_.erase(it) : std::next(it);
    }
}

bool PoisonRequestTracker::isQuarantined(Fingerprint request, Time now) const
{
    const auto *suspect = find(request);
    return suspect != nullptr && hasEnoughCrashes(*suspect) && !suspect->isCleared && !isExpired(*suspect, now);
}

bool PoisonRequestTracker::isRepeatedSuspect(Fingerprint request, Time now) const
{
    const auto *suspect = find(request);
    return suspect != nullptr && isRepeated(*suspect, now) && !suspect->isCleared;
}

const Suspect *PoisonRequestTracker::find(Fingerprint request) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? nullptr : &found->second;
}

std::vector<Suspect> PoisonRequestTracker::repeatedSuspects(Time now) const
{
    std::vector<Suspect> result;
    for (const auto &[request, suspect] : suspects_) {
        if (isRepeated(suspect, now)) {
            result.push_back(suspect);
        }
    }
    return result;
}

std::uint64_t PoisonRequestTracker::digest(Time now) const
{
    std::uint64_t digest = 0;
    for (const auto &[request, suspect] : suspects_) {
        if (isRepeated(suspect, now)) {
            digest ^= hashSuspect(suspect);
        }
    }
    return digest;
}

void PoisonRequestTracker::expire(Time now)
{
    std::erase_if(suspects_, [&](const auto &item) { return isExpired(item.second, now); });
}

/** Returns the entry of a request. A new one replaces the least recently updated one that is not quarantined if there
 * is no room. */
Suspect &PoisonRequestTracker::findOrAdd(Fingerprint request)
{
    if (!suspects_.contains(request) && suspects_.size() >= maxSuspects) {
        suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), [](const auto &a, const auto &b) {
            const auto key = [](const Suspect &suspect) {
                return std::tuple(hasEnoughCrashes(suspect) && !suspect.isCleared, suspect.updatedAt);
            };
            return key(a.second) < key(b.second);
        }));
    }
    Suspect &suspect = suspects_[request];
    suspect.request = request;
    return suspect;
}

bool PoisonRequestTracker::addCrash(Suspect &suspect, const EndpointLifetime &endpoint)
{
    auto &crashes = suspect.crashes;
    const auto place = std::lower_bound(crashes.begin(), crashes.end(), endpoint);
    const bool isKnown = place != crashes.end() && *place == endpoint;
    if (isKnown || hasEnoughCrashes(suspect)) {
        return false;
    }
    crashes.insert(place, endpoint);
    return true;
}

} // namespace lacewing::dispatch
