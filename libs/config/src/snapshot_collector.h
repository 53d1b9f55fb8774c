#pragma once

#include <config/config.h>

#include <map>

namespace lacewing::config
{

/** Puts snapshots together from their parts, which several writers may have appended in a mixed order. */
class SnapshotCollector
{
public:
    /** A whole state. */
    struct Snapshot {
        ConfigVersion asOf;
        ConfigVersion tombstoneFloor;
        std::vector<VersionedItem> items;
        std::vector<ChangeResult> results;
    };

    /** Takes one part. @return the snapshot when it is complete with this part */
    std::optional<Snapshot> add(const SnapshotPart &part)
    {
        if (part.part >= part.parts || part.parts > maxParts) {
            return std::nullopt;
        }
        auto &parts = pending_[{ part.asOf, part.parts }];
        parts.emplace(part.part, part);
        if (parts.size() < part.parts) {
            forgetOldest();
            return std::nullopt;
        }
        Snapshot whole { part.asOf, part.tombstoneFloor, {}, {} };
        for (const auto &[index, piece] : parts) {
            whole.items.insert(whole.items.end(), piece.items.begin(), piece.items.end());
            whole.results.insert(whole.results.end(), piece.results.begin(), piece.results.end());
        }
        pending_.erase({ part.asOf, part.parts });
        return whole;
    }

private:
    static constexpr std::size_t maxParts = 2 * maxItems / maxItemsPerPart;
    static constexpr std::size_t maxPending = 2; ///< incomplete snapshots held at a time

    void forgetOldest()
    {
        if (pending_.size() > maxPending) {
            pending_.erase(pending_.begin());
        }
    }

    std::map<std::pair<ConfigVersion, std::uint32_t>, std::map<std::uint32_t, SnapshotPart>> pending_;
};

} // namespace lacewing::config
