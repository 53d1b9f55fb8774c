#pragma once

#include <endpoint/endpoint.h>

#include <deque>
#include <list>
#include <unordered_map>

namespace lacewing::standin
{

/** A bounded cache of prompt prefixes that records its changes as events. */
class PrefixCache
{
public:
    /** @param maxBlocks 0: no cache */
    explicit PrefixCache(std::size_t maxBlocks);

    /** Looks blocks up and stores them, least recently used ones making room. @return how many leading ones it had */
    std::size_t use(const std::vector<std::uint64_t> &blocks, WallTime now);

    /** Events from a sequence number on that are older than `before`. */
    std::vector<endpoint::CacheEvent> events(std::uint64_t from, WallTime before) const;
    std::uint64_t firstEvent() const noexcept;
    std::uint64_t nextEvent() const noexcept
    {
        return nextEvent_;
    }
    /** Used part of the cache, 0 to 1. */
    double usedShare() const noexcept;

private:
    void record(endpoint::CacheChange change, std::uint64_t block, WallTime now);

    std::size_t maxBlocks_;
    std::list<std::uint64_t> order_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::deque<endpoint::CacheEvent> events_;
    std::uint64_t nextEvent_ = 1;
};

} // namespace lacewing::standin
