#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

using routing::EndpointLifetime;

/**
 * Maximum time between a lost connection and a failed connection attempt that indicates a crash. A restart takes some
 * seconds, so a crashed endpoint is still down after this time.
 */
constexpr Duration unreachableWindow = 1500ms;
/**
 * Maximum time between a lost connection and the end of the lifetime in the directory that indicates a crash. A
 * registration expires after three missing heartbeats.
 */
constexpr Duration directoryWindow = 6s;

} // namespace

void CrashDetector::onConnectionLost(const EndpointLifetime &endpoint, Fingerprint request, Time now)
{
    lostRequests_[endpoint].push_back({ request, now });
}

std::vector<Fingerprint> CrashDetector::onUnreachable(const EndpointLifetime &endpoint, Time now)
{
    return take(endpoint, unreachableWindow, now);
}

std::vector<Crash> CrashDetector::takeEnded(const routing::EndpointDirectory &directory, Time now)
{
    std::vector<EndpointLifetime> ended;
    for (const auto &[endpoint, requests] : lostRequests_) {
        if (directory.hasEnded(endpoint)) {
            ended.push_back(endpoint);
        }
    }
    std::vector<Crash> crashes;
    for (const auto &endpoint : ended) {
        auto requests = take(endpoint, directoryWindow, now);
        if (!requests.empty()) {
            crashes.push_back({ endpoint, std::move(requests) });
        }
    }
    return crashes;
}

std::size_t CrashDetector::expire(Time now)
{
    std::size_t expired = 0;
    for (auto &[endpoint, requests] : lostRequests_) {
        expired +=
            std::erase_if(requests, [&](const LostRequest &lost) { return now - lost.lostAt > directoryWindow; });
    }
    std::erase_if(lostRequests_, [](const auto &item) { return item.second.empty(); });
    return expired;
}

/** Removes the requests lost at an endpoint within a time before now, and returns each once. */
std::vector<Fingerprint> CrashDetector::take(const EndpointLifetime &endpoint, Duration window, Time now)
{
    std::vector<Fingerprint> requests;
    const auto found = lostRequests_.find(endpoint);
    if (found == lostRequests_.end()) {
        return requests;
    }
    const auto isRecent = [&](const LostRequest &lost) { return now - lost.lostAt <= window; };
    for (const auto &lost : found->second) {
        const bool isListed = std::find(requests.begin(), requests.end(), lost.request) != requests.end();
        if (isRecent(lost) && !isListed) {
            requests.push_back(lost.request);
        }
    }
    std::erase_if(found->second, isRecent);
    if (found->second.empty()) {
        lostRequests_.erase(found);
    }
    return requests;
}

} // namespace lacewing::dispatch
