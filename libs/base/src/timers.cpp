#include <base/base.h>

#include <map>
#include <unordered_map>

namespace lacewing
{

Time SystemClock::now() const noexcept
{
    return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime SystemClock::wallNow() const noexcept
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

/** Subscriptions ordered by due time, then by age. */
class TimerService::State
{
public:
    struct Subscription {
        Duration period {}; ///< 0 for a single call
        Callback callback;
    };
    using Key = std::pair<Time, std::uint64_t>;

    std::map<Key, TimerHandle> queue;
    std::unordered_map<TimerHandle, std::pair<Key, Subscription>> subscriptions;
    std::uint64_t lastHandle = 0;
    std::uint64_t lastOrder = 0;

    void enqueue(TimerHandle handle, Time due, Subscription subscription)
    {
        const Key key { due, ++lastOrder };
        queue.emplace(key, handle);
        subscriptions.insert_or_assign(handle, std::make_pair(key, std::move(subscription)));
    }

    TimerHandle add(Time due, Subscription subscription)
    {
        const TimerHandle handle(++lastHandle);
        enqueue(handle, due, std::move(subscription));
        return handle;
    }

    /** Takes the first subscription due by `now` off the queue and puts a periodic one back. */
    Callback takeDue(Time now)
    {
        const auto first = queue.begin();
        const Time due = first->first.first;
        const TimerHandle handle = first->second;
        queue.erase(first);
        auto node = subscriptions.extract(handle);
        Subscription subscription = std::move(node.mapped().second);
        Callback callback = subscription.callback;
        if (subscription.period > Duration::zero()) {
            const auto missed = (now - due) / subscription.period;
            const Time next = due + (missed + 1) * subscription.period;
            enqueue(handle, next, std::move(subscription));
        }
        return callback;
    }
};

TimerService::TimerService()
    : state_(std::make_unique<State>())
{
}

TimerService::~TimerService() = default;

TimerHandle TimerService::once(Time due, Callback callback)
{
    return state_->add(due, { Duration::zero(), std::move(callback) });
}

TimerHandle TimerService::every(Time first, Duration period, Callback callback)
{
    return state_->add(first, { period, std::move(callback) });
}

void TimerService::cancel(TimerHandle handle) noexcept
{
    const auto found = state_->subscriptions.find(handle);
    if (found == state_->subscriptions.end()) {
        return;
    }
    state_->queue.erase(found->second.first);
    state_->subscriptions.erase(found);
}

std::optional<Time> TimerService::nextDue() const noexcept
{
    if (state_->queue.empty()) {
        return std::nullopt;
    }
    return state_->queue.begin()->first.first;
}

std::size_t TimerService::advance(Time now)
{
    std::size_t called = 0;
    while (!state_->queue.empty() && state_->queue.begin()->first.first <= now) {
        const Callback callback = state_->takeDue(now);
        callback(now);
        ++called;
    }
    return called;
}

} // namespace lacewing
