#include "topic_replica.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace lacewing::gateway
{

using userplatform::LogPosition;
using userplatform::StoreRecord;

TopicReplica::TopicReplica(RollbackPolicy policy, std::size_t maxRemovals)
    : policy_(policy)
    , maxRemovals_(maxRemovals)
{
}

std::vector<StoreRecord> TopicReplica::apply(const TopicUpdate &update)
{
    struct Visitor {
        TopicReplica &replica;

        Records operator()(const TopicChanges &changes) const
        {
            return replica.applyChanges(changes);
        }
        Records operator()(const TopicSnapshot &snapshot) const
        {
            return replica.applySnapshot(snapshot);
        }
        Records operator()(const TopicExcerpt &excerpt) const
        {
            return replica.applyExcerpt(excerpt.records);
        }
    };
    Records news = std::visit(Visitor { *this }, update);
    dropOldRemovals();
    std::sort(news.begin(), news.end(), [](const auto &a, const auto &b) { return a.position < b.position; });
    return news;
}

TopicReplica::Records TopicReplica::applyChanges(const TopicChanges &changes)
{
    Records news = applyExcerpt(changes.records);
    if (isContinuedFrom(changes.start)) {
        end_ = std::max(end_, changes.end);
    }
    return news;
}

TopicReplica::Records TopicReplica::applyExcerpt(const Records &records)
{
    Records news;
    for (const auto &record : records) {
        if (!isCovered(record)) {
            merge(record, news);
        }
    }
    return news;
}

TopicReplica::Records TopicReplica::applySnapshot(const TopicSnapshot &snapshot)
{
    if (isLoaded_ && snapshot.end < end_) {
        return applyExcerpt(snapshot.records);
    }
    Records news;
    for (const auto &record : snapshot.records) {
        merge(record, news);
    }
    removeUnlisted(snapshot, news);
    if (!isLoaded_ || snapshot.removalsStart > end_) {
        removalsStart_ = snapshot.removalsStart;
    }
    end_ = snapshot.end;
    isLoaded_ = true;
    return news;
}

/** Returns whether the replica is complete beyond a record: what it does not know of it has been overtaken. */
bool TopicReplica::isCovered(const StoreRecord &record) const noexcept
{
    const bool isLostByStore =
        policy_ == RollbackPolicy::Keep && record.position.era() < removalsStart_.era(); // known to VMs only
    return record.position < end_ && !isLostByStore;
}

void TopicReplica::merge(const StoreRecord &record, Records &news)
{
    const auto [item, isNew] = records_.try_emplace(record.key, record);
    StoreRecord &latest = item->second;
    if (!isNew && latest.position >= record.position) {
        return;
    }
    removalCount_ += record.value ? 0 : 1;
    removalCount_ -= !isNew && !latest.value ? 1 : 0;
    latest = record;
    news.push_back(record);
}

void TopicReplica::removeUnlisted(const TopicSnapshot &snapshot, Records &news)
{
    std::set<std::string_view> listed;
    for (const auto &record : snapshot.records) {
        if (record.value) { // a removal may be an old one, with another record and its removal after it
            listed.insert(record.key);
        }
    }
    const LogPosition end = snapshot.end;
    for (auto &[key, latest] : records_) {
        const bool isKept = policy_ == RollbackPolicy::Keep && latest.position.era() < end.era();
        if (latest.value && latest.position < end && !isKept && !listed.contains(key)) {
            latest = { key, LogPosition::fromPacked(end.packed() - 1), std::nullopt };
            ++removalCount_;
            news.push_back(latest);
        }
    }
}

void TopicReplica::advance(LogPosition end)
{
    if (isLoaded_ && end.era() == end_.era() && end > end_) {
        // What was written and removed in between is not known.
        removalsStart_ = end;
        end_ = end;
    }
}

bool TopicReplica::isContinuedFrom(LogPosition start) const noexcept
{
    return isLoaded_ && start.era() == end_.era() && start <= end_;
}

TopicUpdate TopicReplica::updateSince(LogPosition start) const
{
    const bool isSnapshotNeeded = start == LogPosition() || start.era() != end_.era() || start < removalsStart_;
    Records records;
    for (const auto &[key, record] : records_) {
        if (isSnapshotNeeded || record.position >= start) {
            records.push_back(record);
        }
    }
    if (isSnapshotNeeded) {
        return TopicSnapshot { removalsStart_, end_, std::move(records) };
    }
    return TopicChanges { start, end_, std::move(records) };
}

/** Bounds the memory that removals take: endpoints come back under other ids. */
void TopicReplica::dropOldRemovals()
{
    if (removalCount_ <= maxRemovals_) {
        return;
    }
    std::vector<LogPosition> positions;
    for (const auto &[key, record] : records_) {
        if (!record.value && record.position < end_) {
            positions.push_back(record.position);
        }
    }
    if (positions.empty()) {
        return;
    }
    const auto middle = positions.begin() + std::ptrdiff_t(positions.size() / 2);
    std::nth_element(positions.begin(), middle, positions.end());
    removalsStart_ = std::max(removalsStart_, middle->next());
    removalCount_ -= std::erase_if(records_, [&](const auto &item) {
        return !item.second.value && item.second.position < removalsStart_ && item.second.position < end_;
    });
}

} // namespace lacewing::gateway
