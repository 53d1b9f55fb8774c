#pragma once

#include <config/config.h>

#include <map>

namespace lacewing::config
{

/**
 * All items with their versions, in the form for the merge and in the form for traffic. Knows nothing of the log.
 */
class ItemTable
{
public:
    /** Version of what stands under a key, tombstones included; 0 when nothing does. */
    ConfigVersion versionOf(const ItemKey &key) const;
    /** Puts an item or a tombstone in place of what stands under its key. */
    void put(VersionedItem entry);
    /** Forgets tombstones older than `floor`. */
    void dropTombstones(ConfigVersion floor);
    /** Decides on a change. @return empty when it may be applied */
    std::optional<ErrorKind> refusal(const Change &change) const;

    const std::map<ItemKey, VersionedItem> &entries() const noexcept
    {
        return entries_;
    }
    const FleetConfig &configuration() const noexcept
    {
        return configuration_;
    }

private:
    std::map<ItemKey, VersionedItem> entries_;
    FleetConfig configuration_;
};

} // namespace lacewing::config
