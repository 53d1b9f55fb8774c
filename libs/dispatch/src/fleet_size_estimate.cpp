#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

/** The estimate falls after one to two periods; cuts between availability zones take minutes. */
constexpr Duration period = 600s;

} // namespace

void FleetSizeEstimate::update(std::size_t vms, Time now) noexcept
{
    if (now - periodStart_ >= period) {
        previousMax_ = currentMax_;
        currentMax_ = 1;
        periodStart_ = now;
    }
    currentMax_ = std::max(currentMax_, vms);
}

std::size_t FleetSizeEstimate::value() const noexcept
{
    return std::max(currentMax_, previousMax_);
}

} // namespace lacewing::dispatch
