#include <dispatch/dispatch.h>

namespace lacewing::dispatch
{

PrefixCacheIndex::PrefixCacheIndex(Duration ttl)
    : ttl_(ttl)
{
}

void PrefixCacheIndex::recordUse(const EndpointId &endpoint, std::span<const PromptSegment> segments, Time now)
{
    auto &lastUsed = lastUsedAt_[endpoint];
    for (const auto &segment : segments) {
        lastUsed[segment.id] = now;
    }
}

std::uint32_t PrefixCacheIndex::cachedTokens(const EndpointId &endpoint,
                                             std::span<const PromptSegment> segments,
                                             Time now) const
{
    const auto found = lastUsedAt_.find(endpoint);
    if (found == lastUsedAt_.end()) {
        return 0;
    }
    std::uint32_t tokens = 0;
    for (const auto &segment : segments) {
        // A segment is cached only together with all segments before it.
        const auto used = found->second.find(segment.id);
        if (used == found->second.end() || now - used->second > ttl_) {
            break;
        }
        tokens += segment.tokens;
    }
    return tokens;
}

void PrefixCacheIndex::expire(Time now)
{
    for (auto &[endpoint, lastUsed] : lastUsedAt_) {
        std::erase_if(lastUsed, [&](const auto &item) { return now - item.second > ttl_; });
    }
    std::erase_if(lastUsedAt_, [](const auto &item) { return item.second.empty(); });
}

} // namespace lacewing::dispatch
