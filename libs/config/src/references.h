#pragma once

#include <config/config.h>

namespace lacewing::config
{

/** Checks that what a class names exists. */
Result<void> checkReferences(const FleetConfig &configuration, const ClassSpec &spec);
/** Checks that what the stages of a pipeline name exists and is of their kind. */
Result<void> checkReferences(const FleetConfig &configuration, const PipelineSpec &spec);
/** Checks that the references of all items would hold if `item` stood under its key. */
Result<void> checkPut(const FleetConfig &configuration, const Item &item);
/** Checks that no item names the one under `key`. */
Result<void> checkRemoval(const FleetConfig &configuration, const ItemKey &key);

} // namespace lacewing::config
