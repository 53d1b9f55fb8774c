#include "stall_detector.h"

#include <ctime>

namespace lacewing::gateway
{

StallDetector::StallDetector(Duration interval, Duration tolerance)
    : interval_(interval)
    , tolerance_(tolerance)
{
}

std::optional<Duration> StallDetector::update(Duration now)
{
    const auto previous = std::exchange(lastUpdateAt_, now);
    if (!previous) {
        return std::nullopt;
    }
    const Duration lateness = now - *previous - interval_;
    return lateness > tolerance_ ? std::optional(lateness) : std::nullopt;
}

Duration timeSinceBoot()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace lacewing::gateway
