#include <shutdown/shutdown.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lacewing::shutdown
{
namespace
{

/** Times are kept for one to two windows. */
constexpr Duration windowDuration = 30s;

/** Returns a class for sizes that differ by less than a fifth. */
int sizeClassOf(std::uint32_t size) noexcept
{
    constexpr double classesPerDoubling = 4;
    return int(std::log2(double(size) + 1) * classesPerDoubling);
}

} // namespace

void CompletionTimes::record(const routing::RouteId &route, std::uint32_t size, Duration time, Time now)
{
    const auto [found, isNew] = routes_.try_emplace(route);
    Route &times = found->second;
    if (isNew) {
        times.current.startedAt = now;
        times.previous.startedAt = now - windowDuration;
    } else if (now - times.current.startedAt >= windowDuration) {
        times.previous = times.current;
        times.current = { now, {} };
    }
    Duration &maximum = times.current.maxTimes[sizeClassOf(size)];
    maximum = std::max(maximum, time);
}

std::optional<Duration> CompletionTimes::estimate(const routing::RouteId &route, std::uint32_t size, Time now) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return std::nullopt;
    }
    const int sizeClass = sizeClassOf(size);
    std::optional<Duration> ofSizeOrLarger; // of the smallest such class that is known
    int knownClass = std::numeric_limits<int>::max();
    Duration ofSmaller = Duration::zero();
    for (const auto *window : { &found->second.current, &found->second.previous }) {
        if (now - window->startedAt >= 2 * windowDuration) {
            continue;
        }
        for (const auto &[eachClass, time] : window->maxTimes) {
            if (eachClass < sizeClass) {
                ofSmaller = std::max(ofSmaller, time);
            } else if (eachClass <= knownClass) {
                ofSizeOrLarger = eachClass == knownClass ? std::max(*ofSizeOrLarger, time) : time;
                knownClass = eachClass;
            }
        }
    }
    // A smaller request that took longer shows what the endpoints are like.
    return ofSizeOrLarger ? std::optional(std::max(*ofSizeOrLarger, ofSmaller)) : std::nullopt;
}

void CompletionTimes::expire(Time now)
{
    std::erase_if(routes_, [&](const auto &item) { return now - item.second.current.startedAt > 2 * windowDuration; });
}

} // namespace lacewing::shutdown
