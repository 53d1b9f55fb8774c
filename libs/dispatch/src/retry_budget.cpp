#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** Granularity of the sliding window. */
constexpr Duration slotDuration = 500ms;
/** Share of the limits that is used: the remainder covers requests that other VMs count at a different time. */
constexpr double usableShare = 0.75;

} // namespace

RetryBudget::RetryBudget(const RetryLimits &limits)
    : limits_(limits)
{
}

void RetryBudget::setVmCount(std::size_t count) noexcept
{
    vmCount_ = std::max<std::size_t>(count, 1);
}

void RetryBudget::recordRequest(Time now)
{
    currentSlot(now).requests += 1;
}

bool RetryBudget::tryAcquireRetry(Time now)
{
    Slot &slot = currentSlot(now);
    double requests = 0;
    double retries = 0;
    for (const auto &each : slots_) {
        requests += each.requests;
        retries += each.retries;
    }
    if (retries + 1 > usableShare * (limits_.ratio * requests + limits_.baseRetries / double(vmCount_))) {
        return false;
    }
    slot.retries += 1;
    return true;
}

RetryBudget::Slot &RetryBudget::currentSlot(Time now)
{
    while (!slots_.empty() && slots_.front().start + limits_.window <= now) {
        slots_.pop_front();
    }
    if (slots_.empty() || now >= slots_.back().start + slotDuration) {
        slots_.push_back({ now, 0, 0 });
    }
    return slots_.back();
}

} // namespace lacewing::dispatch
