#pragma once

#include <base/base.h>

/** Intervals and timeouts of the overlay. */
namespace lacewing::membership
{

/** A VM that sends heartbeats in each round is not live after this time without one, which covers two lost ones. Its
 * end is to be noticed within a second, and the root checks this once in a round. */
constexpr Duration promptTimeout = std::chrono::milliseconds(740);
/** The same for other VMs, which send one in two rounds. */
constexpr Duration memberTimeout = std::chrono::milliseconds(2000);
/** Rounds between two heartbeats of a VM on which no others depend, and between two views of a zone. */
constexpr std::uint64_t slowRounds = 2;
/** Time after which a neighbour gets a message although there is nothing to tell. */
constexpr Duration keepAliveInterval = std::chrono::milliseconds(750);
/** Time without a message after which a parent or peer is replaced, and for which it is not chosen again. */
constexpr Duration targetTimeout = std::chrono::milliseconds(1000);
constexpr Duration avoidanceTime = std::chrono::seconds(5);
/** Time without a message after which another VM is no neighbour any more. */
constexpr Duration neighbourTimeout = std::chrono::milliseconds(2000);
/** Time for which a VM may be chosen before the roots of its zone list it. */
constexpr Duration introductionTime = std::chrono::seconds(3);
/** A longer time between two rounds is a pause of this VM, not silence of the others. */
constexpr Duration maxRoundGap = std::chrono::milliseconds(750);
/** Time for which a message to all is kept for neighbours that come later. */
constexpr Duration floodLifetime = std::chrono::seconds(2);

} // namespace lacewing::membership
