#include "prefix_cache.h"

namespace lacewing::standin
{
namespace
{

constexpr std::size_t maxEvents = 10'000;

} // namespace

PrefixCache::PrefixCache(std::size_t maxBlocks)
    : maxBlocks_(maxBlocks)
{
}

std::size_t PrefixCache::use(const std::vector<std::uint64_t> &blocks, WallTime now)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && blocks_.count(blocks[hits]) > 0) {
        ++hits;
    }
    if (maxBlocks_ == 0) {
        return 0;
    }
    for (const auto block : blocks) {
        const auto found = blocks_.find(block);
        if (found != blocks_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        if (blocks_.size() >= maxBlocks_) {
            record(endpoint::CacheChange::Evicted, order_.back(), now);
            blocks_.erase(order_.back());
            order_.pop_back();
        }
        order_.push_front(block);
        blocks_.emplace(block, order_.begin());
        record(endpoint::CacheChange::Stored, block, now);
    }
    return hits;
}

void PrefixCache::record(endpoint::CacheChange change, std::uint64_t block, WallTime now)
{
    events_.push_back({ nextEvent_++, change, block, now });
    if (events_.size() > maxEvents) {
        events_.pop_front();
    }
}

std::vector<endpoint::CacheEvent> PrefixCache::events(std::uint64_t from, WallTime before) const
{
    std::vector<endpoint::CacheEvent> found;
    for (const auto &event : events_) {
        if (event.at > before) {
            break;
        }
        if (event.sequence >= from) {
            found.push_back(event);
        }
    }
    return found;
}

std::uint64_t PrefixCache::firstEvent() const noexcept
{
    return events_.empty() ? nextEvent_ : events_.front().sequence;
}

double PrefixCache::usedShare() const noexcept
{
    return maxBlocks_ == 0 ? 0 : static_cast<double>(blocks_.size()) / static_cast<double>(maxBlocks_);
}

} // namespace lacewing::standin
