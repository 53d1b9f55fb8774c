#include <membership/membership.h>

namespace lacewing::membership
{
namespace
{

/** Messages of one VM by which two paths may differ. */
constexpr std::uint64_t windowSize = 64;

} // namespace

bool FloodFilter::accept(const VmId &origin, std::uint64_t epoch, std::uint64_t sequence)
{
    Window &window = windows_[origin];
    if (epoch < window.epoch) {
        return false;
    }
    if (epoch > window.epoch) {
        window = { epoch, 0, 0 };
    }
    if (sequence > window.highest) {
        const std::uint64_t step = sequence - window.highest;
        window.seen = (step < windowSize ? window.seen << step : 0) | 1U;
        window.highest = sequence;
        return true;
    }
    const std::uint64_t age = window.highest - sequence;
    const std::uint64_t bit = age < windowSize ? std::uint64_t(1) << age : 0;
    const bool isNew = bit != 0 && (window.seen & bit) == 0;
    window.seen |= bit;
    return isNew;
}

} // namespace lacewing::membership
