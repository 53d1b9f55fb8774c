#include "control_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

/** Pause after a read of the configuration stream that failed. */
constexpr Duration readRetryDelay = 1s;
/** How long the platform may hold a read when there is nothing new. */
constexpr Duration readWait = 2s;
/** Without an answer for this long after its wait, a read counts as lost. */
constexpr Duration readTimeout = 5s;
/** Distance of this part's request tags from those of the ledger's parts. */
constexpr std::uint64_t tagBase = std::uint64_t(100) << ledger::tagPartShift;

} // namespace

bool ControlCore::State::wantsToRead() const
{
    return reader_ || !pendingChanges_.empty() || !ready_;
}

void ControlCore::State::readConfig()
{
    if (configRead_ && now_ >= configReadAsked_ + readWait + readTimeout) {
        configRead_.reset();
    }
    if (configRead_ || now_ < nextConfigRead_ || !wantsToRead()) {
        return;
    }
    const log::RequestTag tag(tagBase + ++lastTag_);
    configRead_ = tag;
    configReadAsked_ = now_;
    const Duration wait = ready_ ? readWait : Duration::zero();
    const log::StreamId stream { std::string(config::streamName) };
    effects_.emplace_back(AskLog { log::Read { tag, stream, store.nextRead(), wait } });
}

void ControlCore::State::onConfigRead(const log::ReadAnswer &answer)
{
    configRead_.reset();
    if (!answer.ok) {
        nextConfigRead_ = now_ + readRetryDelay;
        return;
    }
    nextConfigRead_ = now_;
    retainedFrom_ = answer.firstRetained;
    const ConfigVersion before = store.asOf();
    const std::vector<config::ChangeResult> results = store.read(answer);
    if (store.asOf() != before || !ready_) {
        announceItems(results);
        publishDue_ = true;
    }
    for (const config::ChangeResult &result : results) {
        settleChange(result);
        const auto what = result.rejected ? "configuration-rejected" : "configuration-accepted";
        if (reader_ && leases.holderOf(snapshotLease) && leases.mayOrder(snapshotLease, true, now_)) {
            record(result.by, what, result.key.text(), {}, result.version);
        }
    }
    if (reader_ && answer.records.empty() && !store.needsSnapshot()) {
        tellFleet(fleet::ConfigRead { answer.next });
    }
    if (answer.records.empty() && answer.next.value() == 0) {
        nextConfigRead_ = now_ + readRetryDelay;
    }
}

void ControlCore::State::announceItems(const std::vector<config::ChangeResult> &results)
{
    std::map<std::pair<config::ItemKey, ConfigVersion>, const config::ChangeResult *> byVersion;
    for (const config::ChangeResult &result : results) {
        if (result.rejected) {
            tellFleet(fleet::ConfigRejected { { result.id, result.version, *result.rejected, wall_ } });
        } else {
            byVersion[{ result.key, result.version }] = &result;
        }
    }
    for (config::VersionedItem &item : store.items()) {
        ConfigVersion &announced = announced_[item.key];
        if (item.version <= announced) {
            continue;
        }
        announced = item.version;
        fleet::ConfigFact fact;
        const auto found = byVersion.find({ item.key, item.version });
        if (found != byVersion.end()) {
            fact.change = found->second->id;
            fact.by = found->second->by;
        }
        fact.at = wall_;
        fact.item = std::move(item);
        tellFleet(fleet::ConfigAccepted { std::move(fact) });
    }
    std::erase_if(learned_, [&](const auto &each) { return each.second.item.version <= store.versionOf(each.first); });
}

void ControlCore::State::on(const ApplyChange &event)
{
    const log::RequestTag tag(tagBase + ++lastTag_);
    changeAppends_[tag] = event.change.id;
    pendingChanges_[event.change.id] = { event.request, now_ + settings.changeTimeout };
    log::Append append;
    append.tag = tag;
    append.stream = log::StreamId(std::string(config::streamName));
    append.records.push_back(config::encode(config::LogEntry(event.change)));
    effects_.emplace_back(AskLog { std::move(append) });
}

void ControlCore::State::onChangeAppended(const log::AppendAnswer &answer)
{
    const auto found = changeAppends_.find(answer.tag);
    const config::ChangeId change = found->second;
    changeAppends_.erase(found);
    const auto pending = pendingChanges_.find(change);
    if (pending == pendingChanges_.end()) {
        return;
    }
    // An append whose answer was lost is settled by reading the stream.
    if (answer.outcome == log::AppendOutcome::NotDone) {
        effects_.emplace_back(ChangeSettled { pending->second.request, failure(ErrorKind::Unavailable) });
        pendingChanges_.erase(pending);
    }
    if (!configRead_) {
        nextConfigRead_ = now_;
    }
}

void ControlCore::State::settleChange(const config::ChangeResult &result)
{
    const auto pending = pendingChanges_.find(result.id);
    if (pending == pendingChanges_.end()) {
        return;
    }
    effects_.emplace_back(ChangeSettled { pending->second.request, result });
    pendingChanges_.erase(pending);
}

void ControlCore::State::giveUpChanges()
{
    for (auto pending = pendingChanges_.begin(); pending != pendingChanges_.end();) {
        if (now_ < pending->second.giveUpAt) {
            ++pending;
            continue;
        }
        effects_.emplace_back(ChangeSettled { pending->second.request, failure(ErrorKind::Timeout) });
        pending = pendingChanges_.erase(pending);
    }
}

std::shared_ptr<const config::FleetConfig> ControlCore::State::merged() const
{
    auto result = std::make_shared<config::FleetConfig>(*store.current());
    for (const auto &[key, fact] : learned_) {
        config::overlay(*result, fact.item);
    }
    return result;
}

void ControlCore::State::publish()
{
    if (!publishDue_) {
        return;
    }
    publishDue_ = false;
    const ConfigVersion before = configuration_->version;
    configuration_ = merged();
    if (configuration_->version != before) {
        effects_.emplace_back(
            StateChange { StateChange::Kind::ConfigurationInForce, std::to_string(configuration_->version.value()) });
    }
    const bool known = store.readyAsOf().has_value() || !learned_.empty();
    if (!ready_ && known) {
        ready_ = true;
        effects_.emplace_back(BecameReady {});
    }
    effects_.emplace_back(TellJobs { std::nullopt, Published { configuration_, fleet.view() } });
}

void ControlCore::State::writeSnapshot()
{
    nextSnapshot_ = now_ + settings.snapshotEvery;
    if (!leases.mayOrder(snapshotLease, true, now_) || !store.readyAsOf()) {
        return;
    }
    const auto last = store.lastSnapshot();
    if (last && configuration_->version <= last->first) {
        return;
    }
    log::Append append;
    append.tag = log::RequestTag(tagBase + ++lastTag_);
    append.stream = log::StreamId(std::string(config::streamName));
    for (const config::SnapshotPart &part : store.snapshot(retainedFrom_)) {
        append.records.push_back(config::encode(config::LogEntry(part)));
    }
    snapshotAppends_.insert(append.tag);
    effects_.emplace_back(AskLog { std::move(append) });
    effects_.emplace_back(StateChange { StateChange::Kind::SnapshotWritten, std::to_string(store.asOf().value()) });
}

std::vector<config::VersionedItem> ControlCore::items() const
{
    std::map<config::ItemKey, config::VersionedItem> byKey;
    for (config::VersionedItem &item : state_->store.items()) {
        byKey[item.key] = std::move(item);
    }
    for (const auto &[key, fact] : state_->learned_) {
        byKey[key] = fact.item;
    }
    std::vector<config::VersionedItem> items;
    items.reserve(byKey.size());
    for (auto &[key, item] : byKey) {
        items.push_back(std::move(item));
    }
    return items;
}

std::optional<config::ChangeResult> ControlCore::resultOf(const config::ChangeId &change) const
{
    if (auto known = state_->store.resultOf(change)) {
        return known;
    }
    if (const auto rejection = state_->fleet.rejection(change)) {
        config::ChangeResult result;
        result.id = change;
        result.version = rejection->version;
        result.rejected = rejection->reason;
        return result;
    }
    for (const auto &[key, fact] : state_->learned_) {
        if (fact.change == change) {
            return config::ChangeResult { change, key, fact.by, fact.item.version, fact.item.version, std::nullopt };
        }
    }
    return std::nullopt;
}

} // namespace lacewing::core
