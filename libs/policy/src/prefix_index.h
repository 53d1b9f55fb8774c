#pragma once

#include <policy/policy.h>

#include <deque>
#include <unordered_map>

namespace lacewing::policy
{

/** Tracks which endpoints probably hold which prompt prefixes. Entries expire because eviction events may be lost. */
class PrefixIndex
{
public:
    /** Records that the endpoint holds the prefix at the given time. */
    void onStored(PrefixHash prefix, std::uint32_t endpoint, Time now);
    void onEvicted(PrefixHash prefix, std::uint32_t endpoint);
    /** Removes all entries. Required when the indices of the endpoints change. */
    void clear();
    /** Returns whether the endpoint probably holds the prefix. */
    bool holds(PrefixHash prefix, std::uint32_t endpoint, Time now) const;
    /** Returns the endpoints that probably hold the prefix, most recently updated last. */
    std::vector<std::uint32_t> holders(PrefixHash prefix, Time now) const;

private:
    struct Entry {
        std::uint32_t endpoint = 0;
        Time updatedAt;
    };

    void evictOldest();

    std::unordered_map<PrefixHash, std::vector<Entry>> entries_;
    std::deque<PrefixHash> order_; ///< prefixes in insertion order
};

} // namespace lacewing::policy
