#include "fleet_state.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using routing::StateVersion;
using userplatform::LogPosition;
using userplatform::StoreRecord;
using userplatform::Topic;

/** For the desired state: changes are rare and must take effect within 2 s, also if the store goes silent to all
 * readers: a read that is not answered within its long poll and the response time makes other VMs read. */
constexpr userplatform::WatchOptions operatorWatchTimes { 500ms, 0ms, 150ms };
/** For endpoint registrations: they are frequent, so several records are read at a time. */
constexpr userplatform::WatchOptions endpointWatchTimes { 500ms, 350ms, 150ms };
/** For the addresses of VMs, which heartbeats carry too. */
constexpr userplatform::WatchOptions vmWatchTimes { 20s, 5s, 500ms };
/** Time after the start until a VM decides whether it reads the store, by when it has heard of the others. It reads all
 * topics once before. */
constexpr Duration firstReaderCheckDelay = 500ms;
/** The same in a fleet of many VMs, which hear of each other by way of neighbours. */
constexpr Duration firstReaderCheckDelayInLargeFleet = 1s;
/** A version counts as overdue this long before the operator expects it in force: the store has confirmed it some time
 * before this VM heard of it. */
constexpr Duration overdueMargin = 300ms;
/** Interval of the checks whether this VM has to read the store; similar to the heartbeat interval. */
constexpr Duration readerCheckInterval = 200ms;
/** Time after the first check for which the readers may not have said yet that they are. */
constexpr Duration readerAnnouncementTime = 750ms;
/** Interval of the checks for registrations that expired after an outage of the store, and whether this process stood
 * still. */
constexpr Duration viewCheckPeriod = 200ms;
/** By how much such a check may be late: less than it takes an endpoint to end and start again. */
constexpr Duration stallTolerance = 300ms;
/** Spreads the writes of all VMs after the store has lost them; a fleet of 370 VMs writes some 190 a second. */
constexpr Duration maxRewriteDelay = 2s;
/** Interval at which the store is asked for a desired state that is incomplete here. */
constexpr Duration stateReloadInterval = 10s;
/** Keys of quarantines in the topic of the VMs' addresses; names of VMs contain no slash. */
constexpr std::string_view quarantineKeyPrefix = "quarantine/";

std::string quarantineKey(std::string_view name)
{
    return std::string(quarantineKeyPrefix) + std::string(name);
}

const std::vector<StoreRecord> &recordsOf(const TopicUpdate &update)
{
    return std::visit([](const auto &alternative) -> const std::vector<StoreRecord> & { return alternative.records; },
                      update);
}

/** Returns the era of the store that an update is of; empty if it is none of all that the store has. */
std::optional<std::uint64_t> eraOf(const TopicUpdate &update)
{
    struct Visitor {
        std::optional<std::uint64_t> operator()(const TopicChanges &changes) const
        {
            return changes.end.era();
        }
        std::optional<std::uint64_t> operator()(const TopicSnapshot &snapshot) const
        {
            return snapshot.end.era();
        }
        std::optional<std::uint64_t> operator()(const TopicExcerpt &) const
        {
            return std::nullopt;
        }
    };
    return std::visit(Visitor(), update);
}

} // namespace

std::string_view FleetState::topicName(Topic topic)
{
    switch (topic) {
    case Topic::Operator:
        return "operator";
    case Topic::Endpoints:
        return "endpoints";
    case Topic::Vms:
        break;
    }
    return "vms";
}

FleetState::FleetState(Context &context,
                       FleetLinks &links,
                       std::uint64_t seed,
                       std::function<void()> onChanged,
                       QuarantineHandlers quarantineHandlers)
    : context_(context)
    , links_(links)
    , random_(seed)
    , onChanged_(std::move(onChanged))
    , quarantineHandlers_(std::move(quarantineHandlers))
    , store_(context.loop, context.settings.storeAddress)
    , stateExchange_(
          context,
          links,
          [this](routing::DesiredState state, LogPosition position) {
              putInForce(std::move(state), position, "vm");
              notifyChanged();
          },
          [this] { return readsStore_ && !topics_[Topic::Operator].isStoreLost; })
    , stateCheck_([this](CoalescedCheck::Outcome onDone) {
        store_.refresh(Topic::Operator, replica(Topic::Operator).end(), std::move(onDone));
    })
    , storeCheck_([this](CoalescedCheck::Outcome onDone) {
        store_.refresh(Topic::Endpoints, replica(Topic::Endpoints).end(), std::move(onDone));
    })
    , viewCheck_([this](const CoalescedCheck::Outcome &onDone) { startViewCheck(onDone); })
    , endpoints_(context.settings.reregistrationPeriod)
    , stallDetector_(viewCheckPeriod, stallTolerance)
{
}

void FleetState::start()
{
    watch(Topic::Operator, operatorWatchTimes);
    watch(Topic::Endpoints, endpointWatchTimes);
    store_.put(context_.settings.vm.text(), ownAddressValue());
    watch(Topic::Vms, vmWatchTimes);
    for (const Topic topic : { Topic::Operator, Topic::Endpoints, Topic::Vms }) {
        store_.setActive(topic, false, {}); // each is read once, and followed if this VM turns out to be a reader
    }
    const Time startedAt = context_.now();
    context_.loop.timers().every(startedAt + firstReaderCheckDelay, readerCheckInterval, [this, startedAt](Time now) {
        const bool isEarly = links_.isLargeFleet() && now - startedAt < firstReaderCheckDelayInLargeFleet;
        if (!isEarly) {
            updateStoreReading();
        }
    });
    context_.loop.timers().every(context_.now() + viewCheckPeriod, viewCheckPeriod, [this](Time now) {
        detectStall();
        expireEndpoints(now);
    });
}

std::string FleetState::ownAddressValue() const
{
    return context_.settings.zone.text() + " " + links_.address();
}

void FleetState::deregister(std::function<void()> onDone)
{
    isDeregistered_ = true;
    store_.remove(context_.settings.vm.text(), std::move(onDone));
}

void FleetState::watch(Topic topic, const userplatform::WatchOptions &times)
{
    userplatform::TopicHandlers handlers;
    handlers.onSnapshot = [this, topic](std::vector<StoreRecord> records, LogPosition end) {
        applyUpdate(topic, TopicSnapshot { end, end, std::move(records) }, "store");
    };
    handlers.onRecords = [this, topic](std::vector<StoreRecord> records, LogPosition end) {
        // The store client leaves nothing out between what it delivers.
        const LogPosition start = replica(topic).end();
        if (end > start) {
            pushRecords(topic, start, end, records);
        }
        applyUpdate(topic, TopicChanges { start, end, std::move(records) }, "store");
    };
    handlers.onUnavailable = [this, topic](const std::string &error) {
        topics_[topic].isStoreLost = true;
        publishView();
        if (topic == Topic::Endpoints) {
            endpoints_.onRegistryLost(context_.now());
        }
        context_.logger.warn("store unavailable", { { "topic", topicName(topic) }, { "error", error } });
    };
    handlers.onRecovered = [this, topic] {
        topics_[topic].isStoreLost = false;
        publishView();
        if (topic == Topic::Endpoints) {
            endpoints_.onRegistryRestored(context_.now());
        }
        context_.logger.state("store available", { { "topic", topicName(topic) } });
    };
    store_.watch(topic, times, std::move(handlers));
}

const TopicReplica &FleetState::replica(Topic topic) const
{
    switch (topic) {
    case Topic::Operator:
        return evacuations_.replica();
    case Topic::Endpoints:
        return endpointRecords_;
    case Topic::Vms:
        break;
    }
    return vmRecords_;
}

/** @param source of the update, for the log */
void FleetState::applyUpdate(Topic topic, const TopicUpdate &update, std::string_view source)
{
    const auto era = eraOf(update);
    const LogPosition end = replica(topic).end();
    const bool isRollback = era && *era > end.era() && end != LogPosition();
    if (isRollback) {
        handleRollback(topic, *era);
    }
    switch (topic) {
    case Topic::Operator:
        applyEvacuations(update, source);
        applyDesiredStates(recordsOf(update));
        break;
    case Topic::Endpoints:
        applyEndpoints(update);
        break;
    case Topic::Vms:
        applyVms(update, isRollback);
        break;
    }
    notifyChanged();
}

void FleetState::applyEndpoints(const TopicUpdate &update)
{
    for (const auto &record : endpointRecords_.apply(update)) {
        applyEndpoint(record);
    }
    if (std::holds_alternative<TopicSnapshot>(update)) {
        std::vector<EndpointId> registered;
        for (const auto &[key, record] : endpointRecords_.records()) {
            if (record.value) {
                registered.emplace_back(key);
            }
        }
        endpoints_.retain(registered, context_.now());
    }
}

void FleetState::applyVms(const TopicUpdate &update, bool isRollback)
{
    if (std::holds_alternative<TopicSnapshot>(update)) {
        storedVersions_.clear();
        for (const auto &record : recordsOf(update)) {
            if (record.key.starts_with(softwareVersionsKeyPrefix) && record.value) {
                applySoftwareVersions(std::string_view(record.key).substr(softwareVersionsKeyPrefix.size()),
                                      *record.value);
            }
        }
        areVmsLoaded_ = true;
        isVmsReadDue_ = false;
    }
    for (const auto &record : vmRecords_.apply(update)) {
        // What the copy tells of quarantines is older than what is known here.
        if (!isRollback || !record.key.starts_with(quarantineKeyPrefix)) {
            applyVm(record);
        }
    }
    if (isRollback) {
        restoreRecords(recordsOf(update));
    }
}

/** Called when the store has come back from an older copy, before the records of its new era are applied. */
void FleetState::handleRollback(Topic topic, std::uint64_t era)
{
    context_.logger.warn(
        "store rolled back",
        { { "topic", topicName(topic) }, { "from_era", replica(topic).end().era() }, { "to_era", era } });
    context_.metrics
        .counter({ "store_rollbacks", "Times that the store came back from an older copy" },
                 { { "topic", std::string(topicName(topic)) } })
        .add();
    if (topic == Topic::Endpoints) {
        endpoints_.onRegistryRolledBack(context_.now());
    }
    if (topic != Topic::Vms && vmRecords_.end().era() < era) {
        // What this VM has written may be lost.
        isVmsReadDue_ = true;
        store_.setActive(Topic::Vms, true, {});
    }
}

/**
 * Writes this VM's address again if the store has lost it, and has those restore the quarantines that know which are in
 * force. Software versions are written again as they differ from those stored.
 */
void FleetState::restoreRecords(const std::vector<StoreRecord> &stored)
{
    std::set<std::string> quarantines;
    bool hasOwnAddress = false;
    for (const auto &record : stored) {
        hasOwnAddress = hasOwnAddress || record.key == context_.settings.vm.text();
        if (record.key.starts_with(quarantineKeyPrefix) && record.value) {
            quarantines.insert(record.key.substr(quarantineKeyPrefix.size()));
        }
    }
    quarantineHandlers_.onRolledBack(quarantines);
    if (hasOwnAddress || isDeregistered_) {
        return;
    }
    const auto delay = std::chrono::duration_cast<Duration>(maxRewriteDelay * random_.unit());
    context_.logger.state("own address written again", { { "delay_ms", toMilliseconds(delay) } });
    context_.loop.timers().once(context_.now() + delay, [this](Time) {
        if (!isDeregistered_) {
            store_.put(context_.settings.vm.text(), ownAddressValue());
        }
    });
}

/** Puts the valid state of the highest version in force that the store has given, if it is newer than the current one.
 * States that are overtaken already are not parsed. */
void FleetState::applyDesiredStates(const std::vector<StoreRecord> &records)
{
    std::vector<std::pair<StateVersion, const StoreRecord *>> candidates;
    for (const auto &record : records) {
        if (record.key != userplatform::desiredStateKey || !record.value) {
            continue;
        }
        const auto version = userplatform::parseStateVersion(*record.value);
        if (!version) {
            logMalformedState(record, version.error());
        } else if (!routes_ || version.value() >= routes_->state().version) {
            candidates.emplace_back(version.value(), &record);
        }
    }
    std::stable_sort(
        candidates.begin(), candidates.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    for (const auto &[version, record] : candidates) {
        auto state = userplatform::parseDesiredState(*record->value);
        if (!state) {
            logMalformedState(*record, state.error());
            continue;
        }
        const auto position = record->position.next();
        const auto digest = routing::digestOf(state.value());
        const bool completesCurrent = routes_ && !routes_->state().coldStarts && version == routes_->state().version
            && digest == stateExchange_.currentVersion().digest;
        if (completesCurrent || stateExchange_.isNewer(version, digest, position)) {
            const auto previous = routes_;
            putInForce(std::move(state.value()), position, "store");
            if (isStoreReader()) {
                stateExchange_.announce(previous.get());
            }
        }
        return;
    }
}

void FleetState::logMalformedState(const StoreRecord &record, const Error &error)
{
    context_.logger.error("malformed desired state",
                          { { "offset", record.position.offset() }, { "error", error.detail } });
}

void FleetState::putInForce(routing::DesiredState state, LogPosition position, std::string_view source)
{
    const auto behindSince = stateExchange_.behindSince();
    routes_ = std::make_shared<const routing::RouteTable>(std::move(state));
    context_.logger.state("desired state in force",
                          { { "version", routes_->state().version },
                            { "source", source },
                            { "behind_ms", behindSince ? toMilliseconds(context_.now() - *behindSince) : 0 },
                            { "routes", routes_->state().routes.size() },
                            { "services", routes_->state().services.size() } });
    stateExchange_.setCurrent({ routes_, position });
    nextStateReloadAt_ = context_.now() + std::chrono::duration_cast<Duration>(maxRewriteDelay * random_.unit());
}

/** Reads the desired state from the store if it came by way of a VM of an earlier version, which left parts out. */
void FleetState::completeDesiredState(Time now)
{
    if (routes_ && !routes_->state().coldStarts && now >= nextStateReloadAt_) {
        nextStateReloadAt_ = now + stateReloadInterval;
        context_.logger.state("desired state incomplete", { { "version", routes_->state().version } });
        store_.reload(Topic::Operator);
    }
}

void FleetState::applyEndpoint(const StoreRecord &record)
{
    const EndpointId id(record.key);
    std::optional<routing::SoftwareVersion> softwareVersion;
    auto change = routing::DirectoryChange::None;
    if (record.value) {
        const auto entry = userplatform::parseEndpointEntry(record.key, *record.value);
        if (!entry) {
            // The endpoint can't be used without a valid entry.
            context_.logger.warn("malformed endpoint entry", { { "endpoint", id }, { "error", entry.error().detail } });
            change = endpoints_.remove(id, context_.now());
        } else {
            softwareVersion = entry.value().softwareVersion;
            change = endpoints_.update(entry.value(), context_.now());
        }
    } else {
        change = endpoints_.remove(id, context_.now());
    }
    switch (change) {
    case routing::DirectoryChange::Joined:
        context_.logger.state("endpoint joined",
                              { { "endpoint", id },
                                { "offset", record.position.offset() },
                                { "software_version", toText(softwareVersion) } });
        break;
    case routing::DirectoryChange::Draining:
        context_.logger.state("endpoint leaving", { { "endpoint", id }, { "offset", record.position.offset() } });
        break;
    case routing::DirectoryChange::Removed:
        context_.logger.state("endpoint removed", { { "endpoint", id }, { "offset", record.position.offset() } });
        break;
    case routing::DirectoryChange::Held:
        context_.logger.state("endpoint held",
                              { { "endpoint", id },
                                { "offset", record.position.offset() },
                                { "reason", "known to have ended before the store came back from an older copy" } });
        break;
    case routing::DirectoryChange::None:
    case routing::DirectoryChange::Updated:
        break;
    }
}

void FleetState::applyVm(const StoreRecord &record)
{
    if (record.key.starts_with(quarantineKeyPrefix)) {
        if (record.value) {
            applyQuarantine(std::string_view(record.key).substr(quarantineKeyPrefix.size()), *record.value);
        }
        return;
    }
    if (record.key.starts_with(softwareVersionsKeyPrefix)) {
        return; // matters only to a VM that starts, and is read from the snapshot then
    }
    const VmId vm(record.key);
    const auto space = record.value ? record.value->find(' ') : std::string::npos;
    if (space == std::string::npos) {
        links_.removeVm(vm);
        return;
    }
    links_.updateAddress(vm, AvailabilityZoneId(record.value->substr(0, space)), record.value->substr(space + 1));
}

void FleetState::expire(Time now)
{
    stateExchange_.expire(now);
    completeDesiredState(now);
    storeSoftwareVersions();
}

void FleetState::applyQuarantine(std::string_view name, const std::string &value)
{
    const auto bytes = net::fromBase64(value);
    if (!bytes) {
        context_.logger.warn("malformed quarantine", { { "name", name }, { "error", bytes.error().detail } });
        return;
    }
    quarantineHandlers_.onRead(name, bytes.value());
}

void FleetState::storeQuarantine(std::string_view name, const std::string &bytes)
{
    store_.put(quarantineKey(name), net::toBase64(bytes));
}

void FleetState::removeQuarantine(std::string_view name)
{
    store_.remove(quarantineKey(name), [] {});
}

bool FleetState::isOverdue() const
{
    const auto behindSince = stateExchange_.behindSince();
    const bool isStateOverdue = behindSince
        && context_.now() - *behindSince >= context_.settings.stateApplyTimeout - overdueMargin
        && stateExchange_.isNewerVersionLive();
    return isStateOverdue || areEvacuationsOverdue();
}

bool FleetState::mayBeOutdated(std::string_view host, std::string_view key) const
{
    return areEvacuationsOverdue() || (isOverdue() && stateExchange_.mayAffect(routes_->routedHost(host), key));
}

bool FleetState::markLeaving(const routing::EndpointLifetime &lifetime, std::string_view source)
{
    if (!endpoints_.markDraining(lifetime, context_.now())) {
        return false;
    }
    context_.logger.state("endpoint leaving", { { "endpoint", lifetime.endpoint }, { "source", source } });
    // The caller may be in the middle of a call of what has to be notified.
    context_.loop.post([this] { notifyChanged(); });
    return true;
}

void FleetState::expireEndpoints(Time now)
{
    const auto expiry = endpoints_.expire(now);
    if (storedVersionsRevision_ != endpoints_.revision()) {
        storeSoftwareVersions();
    }
    if (expiry.removed > 0) {
        context_.logger.state(
            "endpoints removed",
            { { "endpoints", expiry.removed }, { "reason", "not registered again after an outage of the store" } });
    }
    if (expiry.released > 0) {
        context_.logger.state("endpoints joined",
                              { { "endpoints", expiry.released },
                                { "reason", "still registered long after the store came back from an older copy" } });
    }
    if (expiry.removed + expiry.released > 0) {
        notifyChanged();
    }
}

void FleetState::notifyChanged()
{
    if (storedVersionsRevision_ != endpoints_.revision()) {
        storeSoftwareVersions();
    }
    publishView();
    onChanged_();
}

void FleetState::publishView()
{
    const bool isStoreAvailable = !topics_[Topic::Operator].isStoreLost && !topics_[Topic::Endpoints].isStoreLost;
    links_.setView(stateExchange_.currentVersion(),
                   endpointRecords_.end().packed(),
                   readsStore_ && isStoreAvailable && isLoaded());
    const bool areEvacuationsLoaded = evacuations_.replica().isLoaded();
    links_.setEvacuations(areEvacuationsLoaded ? evacuations_.replica().end().packed() : 0, evacuations_.digest());
}

/** Returns whether this VM is one of the VMs that read the store for all. */
bool FleetState::isStoreReader() const
{
    const auto readers = links_.storeReaders();
    return std::find(readers.begin(), readers.end(), context_.settings.vm) != readers.end();
}

/** Returns whether a live VM reports that it reads the store successfully. */
bool FleetState::hasActiveReader() const
{
    const auto members = links_.members(std::nullopt);
    return std::any_of(members.begin(), members.end(), [&](const VmId &id) {
        const auto *vm = links_.find(id);
        return vm != nullptr && vm->heartbeat.isReadingStore;
    });
}

void FleetState::updateStoreReading()
{
    if (!std::exchange(isReaderRoleKnown_, true)) {
        readersExpectedUntil_ = context_.now() + readerAnnouncementTime;
    }
    const bool areReadersMissing = context_.now() >= readersExpectedUntil_ && !hasActiveReader();
    const bool shouldRead = !isLoaded() || isStoreReader() || areReadersMissing;
    if (shouldRead != readsStore_) {
        readsStore_ = shouldRead;
        context_.logger.state("store reading changed", { { "active", shouldRead } });
        publishView();
    }
    if (!shouldRead && topics_[Topic::Endpoints].isStoreLost) {
        // The store responds to the readers, and the records that they push are as current as records read here.
        endpoints_.onRegistryRestored(context_.now());
    }
    const bool areEvacuationsMissing = context_.now() >= readersExpectedUntil_ && !hasEvacuationReader();
    for (const Topic topic : { Topic::Operator, Topic::Endpoints }) {
        const bool isFollowed = shouldRead || (topic == Topic::Operator && areEvacuationsMissing);
        topics_[topic].isStoreLost = topics_[topic].isStoreLost && isFollowed;
        store_.setActive(topic, isFollowed, replica(topic).end());
    }
    store_.setActive(Topic::Vms, shouldRead || isVmsReadDue_, {});
}

} // namespace lacewing::gateway
