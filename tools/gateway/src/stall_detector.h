#pragma once

#include <base/base.h>

#include <optional>

namespace lacewing::gateway
{

/**
 * Notices that the process stood still: it was frozen, or got no processor time.
 *
 * update() has to be called periodically. What the process knows may be out of date by the length of a stall, and
 * nothing else shows that when it continues.
 */
class StallDetector
{
public:
    /** @param interval between calls of update() @param tolerance by which a call may be late */
    StallDetector(Duration interval, Duration tolerance);

    /**
     * @param now of a clock that runs while the process stands still
     * @return how late the call is, if the process stood still since the previous call
     */
    std::optional<Duration> update(Duration now);

private:
    Duration interval_;
    Duration tolerance_;
    std::optional<Duration> lastUpdateAt_;
};

/** Returns the time since the machine started, including time for which it was suspended. */
Duration timeSinceBoot();

} // namespace lacewing::gateway
