#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/**
 * Maximum time between a lost connection and a failed connection attempt that indicates a crash. A restart takes some
 * seconds, so a crashed endpoint is still down after this time.
 */
constexpr Duration crashWindow = 1500ms;

} // namespace

void CrashDetector::onConnectionLost(const EndpointId &endpoint, Fingerprint request, Time now)
{
    lostRequests_[endpoint].push_back({ request, now });
}

std::vector<Fingerprint> CrashDetector::onUnreachable(const EndpointId &endpoint, Time now)
{
    std::vector<Fingerprint> requests;
    const auto found = lostRequests_.find(endpoint);
    if (found == lostRequests_.end()) {
        return requests;
    }
    for (const auto &lost : found->second) {
        const bool isListed = std::find(requests.begin(), requests.end(), lost.request) != requests.end();
        if (now - lost.lostAt <= crashWindow && !isListed) {
            requests.push_back(lost.request);
        }
    }
    lostRequests_.erase(found);
    return requests;
}

std::size_t CrashDetector::expire(Time now)
{
    std::size_t expired = 0;
    for (auto &[endpoint, requests] : lostRequests_) {
        expired += std::erase_if(requests, [&](const LostRequest &lost) { return now - lost.lostAt > crashWindow; });
    }
    std::erase_if(lostRequests_, [](const auto &item) { return item.second.empty(); });
    return expired;
}

} // namespace lacewing::dispatch
