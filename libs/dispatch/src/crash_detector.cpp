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

std::vector<PromptPartId> sharedParts(std::span<const PromptSegment> prompt)
{
    std::vector<PromptPartId> parts;
    for (std::size_t part = 0; part + 1 < prompt.size(); ++part) {
        parts.emplace_back(prompt[part].id);
    }
    return parts;
}

void CrashDetector::onConnectionLost(const EndpointLifetime &endpoint, LostRequest lost)
{
    lostRequests_[endpoint].push_back(std::move(lost));
}

std::vector<LostRequest> CrashDetector::onUnreachable(const EndpointLifetime &endpoint, Time now)
{
    return take(endpoint, unreachableWindow, now);
}

void CrashDetector::onReachable(const EndpointLifetime &endpoint, Time attemptedAt)
{
    const auto found = lostRequests_.find(endpoint);
    if (found == lostRequests_.end()) {
        return;
    }
    std::erase_if(found->second,
                  [&](const LostRequest &lost) { return lost.mayBeComplete && lost.lostAt < attemptedAt; });
    if (found->second.empty()) {
        lostRequests_.erase(found);
    }
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
        const auto isOld = [&](const LostRequest &lost) { return now - lost.lostAt > directoryWindow; };
        expired += static_cast<std::size_t>(std::count_if(
            requests.begin(), requests.end(), [&](const auto &lost) { return isOld(lost) && !lost.mayBeComplete; }));
        std::erase_if(requests, isOld);
    }
    std::erase_if(lostRequests_, [](const auto &item) { return item.second.empty(); });
    return expired;
}

/** Removes the requests lost at an endpoint within a time before now, and returns each once. */
std::vector<LostRequest> CrashDetector::take(const EndpointLifetime &endpoint, Duration window, Time now)
{
    std::vector<LostRequest> requests;
    const auto found = lostRequests_.find(endpoint);
    if (found == lostRequests_.end()) {
        return requests;
    }
    const auto isRecent = [&](const LostRequest &lost) { return now - lost.lostAt <= window; };
    for (const auto &lost : found->second) {
        const bool isListed = std::any_of(
            requests.begin(), requests.end(), [&](const auto &listed) { return listed.request == lost.request; });
        if (isRecent(lost) && !isListed) {
            requests.push_back(lost);
        }
    }
    std::erase_if(found->second, isRecent);
    if (found->second.empty()) {
        lostRequests_.erase(found);
    }
    return requests;
}

} // namespace lacewing::dispatch
