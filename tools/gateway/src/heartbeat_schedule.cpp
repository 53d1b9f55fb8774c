#include "heartbeat_schedule.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** One in so many rounds goes to a VM of another zone, and to one that isn't heard. */
constexpr std::uint64_t farRounds = 4;
/** Fleets of up to this size are told in every round: it costs little, and each VM weighs more. */
constexpr std::size_t smallFleet = 16;
/** A VM of which this many beacons are missing counts as gone. */
constexpr int beaconsMissed = 4;
/** Beacons that must be missing of all VMs of a zone, in halves: with many VMs some beacon is always under way. */
constexpr int zoneHalvesMissed = 3;

bool isNear(const BeaconLink &link) noexcept
{
    return link.isSameZone || link.hasDuties || link.knownVms < smallFleet;
}

} // namespace

bool BeaconPlan::isTurn(const BeaconLink &link, std::uint64_t round, std::uint64_t spread) noexcept
{
    return (isNear(link) && link.isHeard) || (round + spread) % farRounds == 0;
}

Duration BeaconPlan::period(const BeaconLink &link) noexcept
{
    return isNear(link) ? roundTime : roundTime * std::int64_t(farRounds);
}

Duration BeaconPlan::silenceLimit(Duration period) noexcept
{
    return period * beaconsMissed;
}

Duration BeaconPlan::zoneSilenceLimit(Duration period) noexcept
{
    return std::max(period * zoneHalvesMissed / 2, silenceLimit(roundTime));
}

} // namespace lacewing::gateway
