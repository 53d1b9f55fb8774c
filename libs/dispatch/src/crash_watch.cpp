#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** A crashed endpoint is back after some seconds; one that refuses connections sooner than this has crashed. */
constexpr Duration crashTime = 1500ms;

} // namespace

void CrashWatch::connectionLost(const EndpointId &endpoint, Fingerprint request, Time now)
{
    lost_[endpoint].push_back({ request, now });
}

std::vector<Fingerprint> CrashWatch::unreachable(const EndpointId &endpoint, Time now)
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

void CrashWatch::expire(Time now)
{
    std::erase_if(lost_, [&](auto &item) {
        std::erase_if(item.second, [&](const Lost &lost) { return now - lost.at > crashTime; });
        return item.second.empty();
    });
}

} // namespace lacewing::dispatch
