#include "log_store.h"

#include <algorithm>

namespace lacewing::standin
{

LogStore::LogStore(LogSettings settings)
    : settings_(settings)
    , allowance_(settings.appendsPerSecond)
{
}

/** Token bucket that holds the appends of one second. */
bool LogStore::takeAllowance(Time now)
{
    const double earned = toSeconds(now - allowanceAt_) * settings_.appendsPerSecond;
    allowance_ = std::min(allowance_ + earned, std::max(settings_.appendsPerSecond, 1.0));
    allowanceAt_ = now;
    if (allowance_ < 1) {
        return false;
    }
    allowance_ -= 1;
    return true;
}

std::optional<std::vector<std::uint64_t>> LogStore::append(const std::string &stream,
                                                           std::vector<std::string> records,
                                                           Time now,
                                                           WallTime wallNow)
{
    if (!takeAllowance(now)) {
        ++refusedAppends_;
        return std::nullopt;
    }
    ++appends_;
    Stream &kept = streams_[stream];
    std::vector<std::uint64_t> offsets;
    for (auto &record : records) {
        offsets.push_back(kept.next);
        kept.records.push_back({ LogOffset(kept.next++), std::move(record), wallNow });
    }
    dropOld(kept, wallNow);
    return offsets;
}

LogStore::Page LogStore::read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, WallTime wallNow)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return {};
    }
    Stream &kept = found->second;
    dropOld(kept, wallNow);
    Page page;
    page.next = kept.next;
    page.first = kept.records.empty() ? kept.next : kept.records.front().offset.value();
    const std::uint64_t start = std::max(from, page.first);
    for (std::uint64_t offset = start; offset < kept.next && page.records.size() < maxRecords; ++offset) {
        page.records.push_back(kept.records[offset - page.first]);
    }
    return page;
}

void LogStore::dropOld(Stream &stream, WallTime wallNow) const
{
    while (!stream.records.empty()
           && (stream.records.size() > settings_.maxRecords
               || wallNow - stream.records.front().appendedAt > settings_.keep)) {
        stream.records.pop_front();
    }
}

} // namespace lacewing::standin
