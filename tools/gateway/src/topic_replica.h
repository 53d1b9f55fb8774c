#pragma once

#include <userplatform/userplatform.h>

#include <cstddef>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::gateway
{

/** All records of a topic from one position to another. */
struct TopicChanges {
    userplatform::LogPosition start; ///< of the first record
    userplatform::LogPosition end; ///< after the last record
    std::vector<userplatform::StoreRecord> records;
};
/** The newest record of each key that a topic has at a position. */
struct TopicSnapshot {
    userplatform::LogPosition removalsStart; ///< the records hold all removals from there on
    userplatform::LogPosition end; ///< position of the snapshot
    std::vector<userplatform::StoreRecord> records;
};
/** Some records of a topic, which tell nothing of those in between. */
struct TopicExcerpt {
    std::vector<userplatform::StoreRecord> records;
};
using TopicUpdate = std::variant<TopicChanges, TopicSnapshot, TopicExcerpt>;

/** What becomes of keys that the store does not list any more after it has come back from an older copy. */
enum class RollbackPolicy : std::uint8_t {
    Remove, ///< their writers write them again, or they are gone
    Keep, ///< they hold until the store tells of them again
};

/**
 * A VM's replica of a keyed topic, merged from what the store and other VMs tell.
 *
 * The replica is complete up to end(): each key that the topic had there is known, and no other. end() moves on only by
 * an update that leaves nothing out, so that a removal can't be passed over, whichever VMs have started since. A
 * replica that was read as a snapshot knows no earlier removals; it says from where on it knows them, and sends a
 * snapshot to VMs that have read less.
 */
class TopicReplica
{
public:
    /** @param maxRemovals number of removals that are kept for other VMs; those that have read less get a snapshot */
    explicit TopicReplica(RollbackPolicy policy = RollbackPolicy::Remove, std::size_t maxRemovals = 4096);

    /** Applies an update. @return the records that were not known, by position; those of removed keys have no value */
    std::vector<userplatform::StoreRecord> apply(const TopicUpdate &update);
    /** Moves end() to that of another replica with the same keys. No effect if that is not further on. */
    void advance(userplatform::LogPosition end);
    /** Returns whether changes from a position on leave nothing out. */
    bool isContinuedFrom(userplatform::LogPosition start) const noexcept;

    /** Returns all that a replica lacks that is complete up to `start`; a snapshot if that is the initial position. */
    TopicUpdate updateSince(userplatform::LogPosition start) const;

    /** Returns whether a snapshot has been applied. */
    bool isLoaded() const noexcept
    {
        return isLoaded_;
    }
    userplatform::LogPosition end() const noexcept
    {
        return end_;
    }
    /** Returns the position from which on all removals are known. */
    userplatform::LogPosition removalsStart() const noexcept
    {
        return removalsStart_;
    }
    /** Returns the latest record of each key, removals included. */
    const std::map<std::string, userplatform::StoreRecord> &records() const noexcept
    {
        return records_;
    }

private:
    using Records = std::vector<userplatform::StoreRecord>;

    Records applyChanges(const TopicChanges &changes);
    Records applySnapshot(const TopicSnapshot &snapshot);
    Records applyExcerpt(const Records &records);
    bool isCovered(const userplatform::StoreRecord &record) const noexcept;
    void merge(const userplatform::StoreRecord &record, Records &news);
    void removeUnlisted(const TopicSnapshot &snapshot, Records &news);
    void dropOldRemovals();

    RollbackPolicy policy_;
    std::size_t maxRemovals_;
    std::map<std::string, userplatform::StoreRecord> records_;
    std::size_t removalCount_ = 0; ///< among the records
    userplatform::LogPosition removalsStart_;
    userplatform::LogPosition end_;
    bool isLoaded_ = false;
};

} // namespace lacewing::gateway
