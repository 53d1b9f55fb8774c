#pragma once

#include <net/net.h>

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>

namespace lacewing::daemon
{

/**
 * Hands items from any thread to one event loop, in order for each sender.
 *
 * The loop is woken once for any number of items that wait. The mailbox must outlive the loop's run.
 */
template <typename Item>
class Mailbox
{
public:
    /** @param take called on the loop's thread for each item */
    Mailbox(net::EventLoop &loop, std::function<void(Item)> take)
        : loop_(loop)
        , take_(std::move(take))
    {
    }

    /** Adds an item. Thread-safe. */
    void put(Item item)
    {
        queue_.push(std::move(item));
        if (!wakePending_.exchange(true)) {
            loop_.post([this] { drain(); });
        }
    }

private:
    void drain()
    {
        wakePending_.store(false);
        Item item;
        while (queue_.try_pop(item)) {
            take_(std::move(item));
        }
    }

    net::EventLoop &loop_;
    std::function<void(Item)> take_;
    tbb::concurrent_queue<Item> queue_;
    std::atomic<bool> wakePending_ { false };
};

} // namespace lacewing::daemon
