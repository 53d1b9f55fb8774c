#pragma once

#include "facts.h"

#include <array>
#include <map>
#include <vector>

namespace lacewing::fleet
{

/** What became of a fact that was offered to a FactStore. */
enum class Added : std::uint8_t {
    New, ///< stored
    Known, ///< the same or a newer one was there
    Refused, ///< expired, or no room for its kind
};

/**
 * All facts that this VM knows, and hashes over the lasting ones by which VMs find out where they differ.
 *
 * Bounded: each kind of fact has a largest number.
 */
class FactStore
{
public:
    explicit FactStore(const Timing &timing);

    /** Stores a fact unless the same or a newer one is there. */
    Added add(const Fact &fact, WallTime wall);
    /** The fact with a key; null when there is none. */
    const Fact *find(FactKey key) const;
    /** Forgets what has expired. @return the facts that were removed */
    std::vector<Fact> expire(WallTime wall);

    /** Hash over all lasting facts. */
    std::uint64_t digest() const;
    /** Hash of each group of lasting facts. */
    const std::array<std::uint64_t, digestBuckets> &buckets() const noexcept
    {
        return buckets_;
    }
    /** Names of the lasting facts of one group, in order of their keys. */
    std::vector<FactName> namesIn(std::size_t bucket) const;
    /** Up to `count` lasting facts with keys over `after`, in order. */
    std::vector<Fact> after(FactKey after, std::size_t count) const;
    /** Whether a lasting fact has a key over this one. */
    bool hasAfter(FactKey key) const;
    /** All configuration facts. */
    std::vector<ConfigFact> configFacts() const;

    /** The group of a key. */
    static std::size_t bucketOf(FactKey key) noexcept;

private:
    bool hasRoom(const Fact &fact) const;
    void toggle(FactKey key, const Fact &fact);

    Timing timing_;
    std::map<FactKey, Fact> lasting_;
    std::map<FactKey, Fact> passing_; ///< refreshed by their source; not compared
    std::array<std::uint64_t, digestBuckets> buckets_ {};
    std::array<std::size_t, std::variant_size_v<Fact>> counts_ {};
};

} // namespace lacewing::fleet
