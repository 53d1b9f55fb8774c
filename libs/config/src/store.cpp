#include "change_history.h"
#include "item_table.h"
#include "snapshot_collector.h"

#include <algorithm>
#include <deque>

namespace lacewing::config
{
namespace
{

/** A snapshot record raises the floor below which tombstones are dropped. */
struct FloorRaise {
    ConfigVersion floor;
};

/** A record after a gap, held back until the state before it is known. */
struct HeldRecord {
    LogOffset offset;
    std::variant<Change, FloorRaise> entry;
};

LogOffset after(ConfigVersion version)
{
    return LogOffset(version.value() + 1);
}

ConfigVersion versionAt(LogOffset offset)
{
    return ConfigVersion(offset.value());
}

} // namespace

class Store::State
{
public:
    explicit State(std::size_t maxResults)
        : history_(maxResults)
    {
    }

    std::vector<ChangeResult> read(const log::ReadAnswer &answer);
    Merge merge(const Update &update);
    Update updateSince(ConfigVersion after) const;
    std::vector<SnapshotPart> snapshot(LogOffset retainedFrom) const;

    ItemTable table_;
    ChangeHistory history_;
    SnapshotCollector collector_;
    ConfigVersion asOf_;
    ConfigVersion tombstoneFloor_;
    LogOffset nextRead_;
    bool hasGap_ = false; ///< records between asOf_ and heldFrom_ are gone from the log
    LogOffset heldFrom_; ///< held_ has all records from here to nextRead_
    std::deque<HeldRecord> held_;
    std::optional<std::pair<ConfigVersion, WallTime>> lastSnapshot_;
    std::shared_ptr<const FleetConfig> published_ = std::make_shared<FleetConfig>();

private:
    void readRecord(const log::Record &record, std::vector<ChangeResult> &results);
    void readPart(const log::Record &record, const SnapshotPart &part, std::vector<ChangeResult> &results);
    void take(HeldRecord record, std::vector<ChangeResult> &results);
    void apply(const HeldRecord &record, std::vector<ChangeResult> &results);
    ChangeResult judge(LogOffset offset, const Change &change);
    std::optional<ErrorKind> refusal(LogOffset offset, const Change &change) const;
    void replace(const std::vector<VersionedItem> &items);
    void moveTo(ConfigVersion version, std::vector<ChangeResult> &results);
    void raiseFloor(ConfigVersion floor);
    void publish();
};

std::vector<ChangeResult> Store::State::read(const log::ReadAnswer &answer)
{
    std::vector<ChangeResult> results;
    if (!answer.ok) {
        return results;
    }
    const LogOffset needed = std::max(nextRead_, LogOffset(1));
    if (answer.firstRetained > needed) {
        hasGap_ = true;
        held_.clear();
        heldFrom_ = answer.firstRetained;
        nextRead_ = answer.firstRetained;
    }
    const ConfigVersion before = asOf_;
    for (const log::Record &record : answer.records) {
        if (record.offset >= nextRead_) {
            nextRead_ = record.offset.next();
            readRecord(record, results);
        }
    }
    if (asOf_ != before) {
        publish();
    }
    return results;
}

void Store::State::readRecord(const log::Record &record, std::vector<ChangeResult> &results)
{
    auto entry = decodeEntry(record.data);
    if (!entry) {
        take({ record.offset, FloorRaise {} }, results); // foreign bytes count as a record without effect
    } else if (auto *change = std::get_if<Change>(&entry.value())) {
        take({ record.offset, std::move(*change) }, results);
    } else {
        readPart(record, std::get<SnapshotPart>(entry.value()), results);
    }
}

void Store::State::readPart(const log::Record &record, const SnapshotPart &part, std::vector<ChangeResult> &results)
{
    const ConfigVersion floor = part.part == 0 ? versionAt(part.retainedFrom) : ConfigVersion();
    take({ record.offset, FloorRaise { floor } }, results);
    const auto whole = collector_.add(part);
    if (!whole) {
        return;
    }
    if (!lastSnapshot_ || lastSnapshot_->first <= whole->asOf) {
        lastSnapshot_ = { whole->asOf, record.appendedAt };
    }
    if (hasGap_ && whole->asOf > asOf_ && after(whole->asOf) >= heldFrom_) {
        replace(whole->items);
        tombstoneFloor_ = std::max(tombstoneFloor_, whole->tombstoneFloor);
        history_.add(whole->results);
        moveTo(whole->asOf, results);
    }
}

/** Applies a record, or holds it back when there is a gap before it. */
void Store::State::take(HeldRecord record, std::vector<ChangeResult> &results)
{
    if (hasGap_) {
        held_.push_back(std::move(record));
    } else {
        apply(record, results);
    }
}

void Store::State::apply(const HeldRecord &record, std::vector<ChangeResult> &results)
{
    std::visit(Overloaded {
                   [&](const Change &change) { results.push_back(judge(record.offset, change)); },
                   [&](const FloorRaise &raise) { raiseFloor(raise.floor); },
               },
               record.entry);
    asOf_ = versionAt(record.offset);
}

std::optional<ErrorKind> Store::State::refusal(LogOffset offset, const Change &change) const
{
    if (offset == LogOffset(0)) {
        return ErrorKind::Unavailable;
    }
    return table_.refusal(change);
}

ChangeResult Store::State::judge(LogOffset offset, const Change &change)
{
    const auto rejected = refusal(offset, change);
    const auto earlier = history_.find(change.id);
    // Only the report depends on the history, never the state: a copy of an accepted change fails the rule by itself.
    if (rejected && earlier && !earlier->rejected && earlier->key == change.key) {
        return *earlier;
    }
    if (!rejected) {
        table_.put({ change.key, versionAt(offset), change.item });
    }
    ChangeResult result { change.id, change.key, change.by, versionAt(offset), table_.versionOf(change.key), rejected };
    history_.add(result);
    return result;
}

void Store::State::raiseFloor(ConfigVersion floor)
{
    if (floor > tombstoneFloor_) {
        tombstoneFloor_ = floor;
        table_.dropTombstones(floor);
    }
}

void Store::State::replace(const std::vector<VersionedItem> &items)
{
    table_ = ItemTable();
    for (const VersionedItem &item : items) {
        table_.put(item);
    }
}

/** Sets the version of the state, and goes on with records held back if they follow on it. */
void Store::State::moveTo(ConfigVersion version, std::vector<ChangeResult> &results)
{
    asOf_ = version;
    nextRead_ = std::max(nextRead_, after(version));
    if (!hasGap_ || after(version) < heldFrom_) {
        return;
    }
    hasGap_ = false;
    const auto records = std::exchange(held_, {});
    for (const HeldRecord &record : records) {
        if (versionAt(record.offset) > asOf_) {
            apply(record, results);
        }
    }
}

Merge Store::State::merge(const Update &update)
{
    if (update.upTo <= asOf_) {
        return Merge::Known;
    }
    if (update.after > asOf_) {
        return Merge::Gap;
    }
    if (update.after == ConfigVersion()) {
        replace(update.items);
    } else {
        for (const VersionedItem &item : update.items) {
            if (item.version > asOf_) {
                table_.put(item);
            }
        }
    }
    raiseFloor(update.tombstoneFloor);
    history_.add(update.results);
    std::vector<ChangeResult> results;
    moveTo(update.upTo, results);
    publish();
    return Merge::Applied;
}

Update Store::State::updateSince(ConfigVersion after) const
{
    const bool isTold = after.value() + 1 >= tombstoneFloor_.value(); // no tombstone after it has been dropped
    Update update { isTold ? after : ConfigVersion(), asOf_, tombstoneFloor_, {}, {} };
    for (const auto &[key, item] : table_.entries()) {
        if (item.version > update.after) {
            update.items.push_back(item);
        }
    }
    update.results = history_.since(update.after);
    return update;
}

std::vector<SnapshotPart> Store::State::snapshot(LogOffset retainedFrom) const
{
    const std::size_t count = table_.entries().size();
    const std::size_t parts = std::max<std::size_t>(1, (count + maxItemsPerPart - 1) / maxItemsPerPart);
    std::vector<SnapshotPart> snapshot;
    auto next = table_.entries().begin();
    for (std::size_t part = 0; part < parts; ++part) {
        SnapshotPart piece { asOf_, tombstoneFloor_, retainedFrom, std::uint32_t(part), std::uint32_t(parts), {}, {} };
        for (; next != table_.entries().end() && piece.items.size() < maxItemsPerPart; ++next) {
            piece.items.push_back(next->second);
        }
        snapshot.push_back(std::move(piece));
    }
    snapshot.front().results = history_.latest(maxResultsInSnapshot);
    return snapshot;
}

void Store::State::publish()
{
    auto configuration = std::make_shared<FleetConfig>(table_.configuration());
    configuration->version = asOf_;
    published_ = std::move(configuration);
}

Store::Store(std::size_t maxResults)
    : state_(std::make_unique<State>(maxResults))
{
}

Store::~Store() = default;
Store::Store(Store &&) noexcept = default;
Store &Store::operator=(Store &&) noexcept = default;

std::vector<ChangeResult> Store::read(const log::ReadAnswer &answer)
{
    return state_->read(answer);
}

LogOffset Store::nextRead() const noexcept
{
    return state_->nextRead_;
}

Merge Store::merge(const Update &update)
{
    return state_->merge(update);
}

Update Store::updateSince(ConfigVersion after) const
{
    return state_->updateSince(after);
}

std::vector<SnapshotPart> Store::snapshot(LogOffset retainedFrom) const
{
    return state_->snapshot(retainedFrom);
}

std::optional<std::pair<ConfigVersion, WallTime>> Store::lastSnapshot() const noexcept
{
    return state_->lastSnapshot_;
}

std::shared_ptr<const FleetConfig> Store::current() const noexcept
{
    return state_->published_;
}

std::optional<ConfigVersion> Store::readyAsOf() const noexcept
{
    return state_->asOf_ == ConfigVersion() ? std::nullopt : std::optional(state_->asOf_);
}

ConfigVersion Store::asOf() const noexcept
{
    return state_->asOf_;
}

bool Store::needsSnapshot() const noexcept
{
    return state_->hasGap_;
}

ConfigVersion Store::versionOf(const ItemKey &key) const
{
    return state_->table_.versionOf(key);
}

std::vector<VersionedItem> Store::items() const
{
    std::vector<VersionedItem> items;
    for (const auto &[key, item] : state_->table_.entries()) {
        items.push_back(item);
    }
    return items;
}

std::optional<ChangeResult> Store::resultOf(const ChangeId &id) const
{
    return state_->history_.find(id);
}

} // namespace lacewing::config
