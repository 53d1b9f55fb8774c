#pragma once

#include <base/base.h>

#include <cstddef>
#include <cstdint>

namespace lacewing::gateway
{

/** Properties of a pair of VMs that determine how often one sends heartbeats to the other. */
struct HeartbeatLink {
    bool isSameZone = false;
    bool isReceiverLive = false; ///< whether the receiver's heartbeats arrive at the sender
    bool hasFleetWideRole = false; ///< whether the sender does work for all zones, such as reading the store
    std::size_t knownVms = 0; ///< VMs known to the sender, without itself
};

/**
 * Determines when heartbeats are sent to which VM.
 *
 * Heartbeats from each VM to all others would grow with the square of the fleet. A VM without a fleet-wide role
 * therefore sends them to other zones less often, with the receivers spread over the rounds.
 */
class HeartbeatSchedule
{
public:
    /** Interval between two rounds. */
    static constexpr Duration roundInterval = std::chrono::milliseconds(250);

    /** Returns whether a receiver gets a heartbeat in a round. @param spread a hash of the receiver */
    static bool isDue(const HeartbeatLink &link, std::uint64_t round, std::uint64_t spread) noexcept;
    /** Returns the time until the receiver's next heartbeat. */
    static Duration interval(const HeartbeatLink &link) noexcept;
    /** Returns the time without heartbeats after which a VM is not live. @param interval from its latest heartbeat */
    static Duration failureTimeout(Duration interval) noexcept;
    /** Returns the time without heartbeats after which a VM no longer counts as evidence that its zone is reachable. */
    static Duration zoneFailureTimeout(Duration interval) noexcept;
};

} // namespace lacewing::gateway
