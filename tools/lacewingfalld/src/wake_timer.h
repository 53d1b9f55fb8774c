#pragma once

#include <net/net.h>

#include <functional>

namespace lacewing::daemon
{

/** Wakes a core when its next tick is due; each new due time replaces the one before. */
class WakeTimer
{
public:
    /** @param wake called on the loop's thread */
    WakeTimer(net::EventLoop &loop, std::function<void()> wake)
        : loop_(loop)
        , wake_(std::move(wake))
    {
    }

    /** Wakes at this time at the latest. */
    void arm(Time due)
    {
        const bool armed = handle_ != TimerHandle();
        if (armed && due_ <= due && due_ > loop_.clock().now()) {
            return;
        }
        loop_.timers().cancel(handle_);
        due_ = due;
        handle_ = loop_.timers().once(due, [this](Time) {
            handle_ = TimerHandle();
            wake_();
        });
    }

private:
    net::EventLoop &loop_;
    std::function<void()> wake_;
    TimerHandle handle_;
    Time due_;
};

} // namespace lacewing::daemon
