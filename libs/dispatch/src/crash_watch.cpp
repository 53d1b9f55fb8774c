#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** A crashed endpoint is back after some seconds; one that refuses connections sooner than this has crashed. */
constexpr Duration crashTime = 1500ms;

} // namespace

void CrashDetector::onConnectionLost(const EndpointId &endpoint, Fingerprint request, Time now)
{
    lost_[endpoint].push_back({ request, now });
}

std::vector<Fingerprint> CrashDetector::onUnreachable(const EndpointId &endpoint, Time now)
{
    std::vector<Fingerprint> requests;
    const auto found = lost_.find(endpoint);
    if (found == lost_.end()) {
        return requests;
    }
    for (const auto &lost : found->second) {
        const bool isKnown = std::find(requests.begin(), requests.end(), lost.request) != requests.end();
        if (now - lost.at <= crashTime && !isKnown) {
            requests.push_back(lost.request);
        }
    }
    lost_.erase(found);
    return requests;
}

void CrashDetector::expire(Time now)
{
    for (auto &[endpoint, requests] : lost_) {
        std::erase_if(requests, [&](const Lost &lost) { return now - lost.at > crashTime; });
    }
    std::erase_if(lost_, [](const auto &item) { return item.second.empty(); });
}

} // namespace lacewing::dispatch
