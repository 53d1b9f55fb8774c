#pragma once

#include <fleet/fleet.h>

#include <optional>

namespace lacewing::fleet
{

/** Whether VMs compare the fact and fetch it when they lack it; others are refreshed by their source instead. */
bool isLasting(const Fact &fact);
/** Whether the fact is told to other zones. */
bool crossesZones(const Fact &fact);
/** When the fact is forgotten; empty: never. */
std::optional<WallTime> expiryOf(const Fact &fact, const Timing &timing);

/** Key of the mark that a VM's incarnation is leaving. */
FactKey vmLeavingKey(const VmId &vm, Incarnation incarnation);
/** Key of a configuration item. */
FactKey configKey(const config::ItemKey &item);
/** Key of the rejection of a change. */
FactKey rejectionKey(const config::ChangeId &change);

} // namespace lacewing::fleet
