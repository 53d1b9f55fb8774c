#include <dispatch/dispatch.h>

namespace lacewing::dispatch
{

PrefixCacheIndex::PrefixCacheIndex(Duration life)
    : life_(life)
{
}

void PrefixCacheIndex::recordUse(const EndpointId &endpoint, std::span<const PromptSegment> parts, Time now)
{
    auto &used = usedAt_[endpoint];
    for (const auto &part : parts) {
        used[part.id] = now;
    }
}

std::uint32_t PrefixCacheIndex::cachedTokens(const EndpointId &endpoint,
                                             std::span<const PromptSegment> parts,
                                             Time now) const
{
    const auto found = usedAt_.find(endpoint);
    if (found == usedAt_.end()) {
        return 0;
    }
    std::uint32_t tokens = 0;
    for (const auto &part : parts) {
        // A part is kept only together with all parts before it.
        const auto used = found->second.find(part.id);
        if (used == found->second.end() || now - used->second > life_) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void PrefixCacheIndex::expire(Time now)
{
    for (auto &[endpoint, used] : usedAt_) {
        std::erase_if(used, [&](const auto &item) { return now - item.second > life_; });
    }
    std::erase_if(usedAt_, [](const auto &item) { return item.second.empty(); });
}

} // namespace lacewing::dispatch
