#include "item_table.h"

#include "references.h"

namespace lacewing::config
{

ConfigVersion ItemTable::versionOf(const ItemKey &key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? ConfigVersion() : found->second.version;
}

void ItemTable::put(VersionedItem entry)
{
    overlay(configuration_, entry);
    ItemKey key = entry.key;
    entries_.insert_or_assign(std::move(key), std::move(entry));
}

void ItemTable::dropTombstones(ConfigVersion floor)
{
    std::erase_if(entries_, [floor](const auto &entry) { return !entry.second.item && entry.second.version < floor; });
}

std::optional<ErrorKind> ItemTable::refusal(const Change &change) const
{
    const auto found = entries_.find(change.key);
    if (change.base != versionOf(change.key)) {
        return ErrorKind::Conflict;
    }
    if (!change.item) {
        if (found == entries_.end() || !found->second.item) {
            return ErrorKind::NotFound;
        }
        const auto checked = checkRemoval(configuration_, change.key);
        return checked ? std::nullopt : std::optional(checked.error().kind);
    }
    if (keyOf(*change.item) != change.key) {
        return ErrorKind::InvalidArgument;
    }
    if (found == entries_.end() && entries_.size() >= maxItems) {
        return ErrorKind::TooMany;
    }
    if (const auto checked = validate(*change.item); !checked) {
        return checked.error().kind;
    }
    const auto checked = checkPut(configuration_, *change.item);
    return checked ? std::nullopt : std::optional(checked.error().kind);
}

} // namespace lacewing::config
