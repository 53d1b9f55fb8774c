#include <routing/routing.h>

#include <algorithm>

namespace lacewing::routing
{

StreamOriginTable::StreamOriginTable(std::size_t capacity)
    : capacity_(capacity)
{
}

void StreamOriginTable::insert(StreamKey stream, const StreamOrigin &origin, Time expiresAt)
{
    if (const auto known = entries_.find(stream); known != entries_.end()) {
        if (expiresAt > known->second.expiresAt && origins_[known->second.origin] == origin) {
            byExpiry_.erase({ known->second.expiresAt, stream });
            byExpiry_.emplace(expiresAt, stream);
            known->second.expiresAt = expiresAt;
        }
        return;
    }
    if (entries_.size() >= capacity_) {
        entries_.erase(byExpiry_.begin()->second);
        byExpiry_.erase(byExpiry_.begin());
    }
    const auto found = std::find(origins_.begin(), origins_.end(), origin);
    const auto position = static_cast<std::uint32_t>(found - origins_.begin());
    if (found == origins_.end()) {
        origins_.push_back(origin);
    }
    entries_.emplace(stream, Entry { position, expiresAt });
    byExpiry_.emplace(expiresAt, stream);
}

const StreamOrigin *StreamOriginTable::find(StreamKey stream, Time now) const
{
    const auto found = entries_.find(stream);
    return found == entries_.end() || found->second.expiresAt <= now ? nullptr : &origins_[found->second.origin];
}

void StreamOriginTable::forEach(
    Time now, const std::function<void(StreamKey, const StreamOrigin &, Time expiresAt)> &function) const
{
    for (auto entry = byExpiry_.rbegin(); entry != byExpiry_.rend() && entry->first > now; ++entry) {
        function(entry->second, origins_[entries_.at(entry->second).origin], entry->first);
    }
}

void StreamOriginTable::expire(Time now)
{
    while (!byExpiry_.empty() && byExpiry_.begin()->first <= now) {
        entries_.erase(byExpiry_.begin()->second);
        byExpiry_.erase(byExpiry_.begin());
    }
    if (entries_.empty()) {
        origins_.clear();
    }
}

} // namespace lacewing::routing
