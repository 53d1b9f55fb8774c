#pragma once

#include <policy/policy.h>

#include <deque>
#include <unordered_map>

namespace lacewing::policy
{

/** Which endpoints probably hold which prompt prefixes. Entries expire, since evictions may go unheard. */
class PrefixIndex
{
public:
    /** The endpoint holds the prefix as of now. */
    void onStored(PrefixHash prefix, std::uint32_t endpoint, Time now);
    void onEvicted(PrefixHash prefix, std::uint32_t endpoint);
    /** Forgets all entries, after the numbers of the endpoints have changed. */
    void clear();
    /** Whether the endpoint probably holds the prefix. */
    bool holds(PrefixHash prefix, std::uint32_t endpoint, Time now) const;
    /** Endpoints that probably hold the prefix, the latest last. */
    std::vector<std::uint32_t> holders(PrefixHash prefix, Time now) const;

private:
    struct Entry {
        std::uint32_t endpoint = 0;
        Time updatedAt;
    };

    void evictOldest();

    std::unordered_map<PrefixHash, std::vector<Entry>> entries_;
    std::deque<PrefixHash> order_; ///< prefixes in the order of their first entry
};

} // namespace lacewing::policy
