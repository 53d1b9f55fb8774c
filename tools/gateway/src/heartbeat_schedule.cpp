#include "heartbeat_schedule.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Rounds between two heartbeats to a VM of another zone or to one that is not live. */
constexpr std::uint64_t infrequentRounds = 4;
/** Fleets with fewer known VMs get heartbeats in every round: the cost is small, and the loss of a VM matters more. */
constexpr std::size_t smallFleetSize = 16;
/** Consecutive missing heartbeats after which a VM is not live. */
constexpr int maxMissedHeartbeats = 4;
/** Missing heartbeats of all VMs of a zone after which the zone is unreachable, in halves. Fewer than for one VM
 * suffice, because with many VMs some heartbeat is always due. */
constexpr int zoneMissedHalfHeartbeats = 3;

bool isFrequent(const HeartbeatLink &link) noexcept
{
    return link.isSameZone || link.hasFleetWideRole || link.knownVms < smallFleetSize;
}

} // namespace

bool HeartbeatSchedule::isDue(const HeartbeatLink &link, std::uint64_t round, std::uint64_t spread) noexcept
{
    return (isFrequent(link) && link.isReceiverLive) || (round + spread) % infrequentRounds == 0;
}

Duration HeartbeatSchedule::interval(const HeartbeatLink &link) noexcept
{
    return isFrequent(link) ? roundInterval : roundInterval * std::int64_t(infrequentRounds);
}

Duration HeartbeatSchedule::failureTimeout(Duration interval) noexcept
{
    return interval * maxMissedHeartbeats;
}

Duration HeartbeatSchedule::zoneFailureTimeout(Duration interval) noexcept
{
    return std::max(interval * zoneMissedHalfHeartbeats / 2, failureTimeout(roundInterval));
}

} // namespace lacewing::gateway
