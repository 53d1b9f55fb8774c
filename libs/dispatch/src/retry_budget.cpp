#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** Width of the slots by which the window slides. */
constexpr Duration slotWidth = 500ms;
/** Part of the bound that is used; the rest covers requests that other VMs count at another time. */
constexpr double usedShare = 0.75;

} // namespace

RetryBudget::RetryBudget(const RetryLimits &bounds)
    : bounds_(bounds)
{
}

void RetryBudget::setVmCount(std::size_t count) noexcept
{
    vms_ = std::max<std::size_t>(count, 1);
}

void RetryBudget::recordRequest(Time now)
{
    current(now).requests += 1;
}

bool RetryBudget::tryAcquireRetry(Time now)
{
    Slot &slot = current(now);
    double requests = 0;
    double repeats = 0;
    for (const auto &each : slots_) {
        requests += each.requests;
        repeats += each.repeats;
    }
    if (repeats + 1 > usedShare * (bounds_.ratio * requests + bounds_.baseRetries / double(vms_))) {
        return false;
    }
    slot.repeats += 1;
    return true;
}

RetryBudget::Slot &RetryBudget::current(Time now)
{
    while (!slots_.empty() && slots_.front().start + bounds_.window <= now) {
        slots_.pop_front();
    }
    if (slots_.empty() || now >= slots_.back().start + slotWidth) {
        slots_.push_back({ now, 0, 0 });
    }
    return slots_.back();
}

} // namespace lacewing::dispatch
