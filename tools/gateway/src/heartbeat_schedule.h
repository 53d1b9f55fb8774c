#pragma once

#include <base/base.h>

#include <cstddef>
#include <cstdint>

namespace lacewing::gateway
{

/** What decides how often one VM is told that another is alive. */
struct BeaconLink {
    bool isSameZone = false;
    bool isHeard = false; ///< the receiver's own beacons arrive
    bool hasDuties = false; ///< the sender does something for all zones, such as reading the store
    std::size_t knownVms = 0; ///< besides the sender
};

/**
 * When beacons go to which VM.
 *
 * Load pattern: beacons from all to all, which grow with the square of the fleet. VMs of other zones hear seldom of a
 * VM that does nothing for them, spread over the rounds.
 */
class BeaconPlan
{
public:
    /** Time between two rounds. */
    static constexpr Duration roundTime = std::chrono::milliseconds(250);

    /** Whether a receiver is told in a round. @param spread differs from receiver to receiver */
    static bool isTurn(const BeaconLink &link, std::uint64_t round, std::uint64_t spread) noexcept;
    /** Time until the receiver's next beacon. */
    static Duration period(const BeaconLink &link) noexcept;
    /** Silence after which a VM counts as gone. @param period that its last beacon told */
    static Duration silenceLimit(Duration period) noexcept;
    /** Silence of a VM after which it doesn't show any more that its zone can be reached. */
    static Duration zoneSilenceLimit(Duration period) noexcept;
};

} // namespace lacewing::gateway
