#include "fleet_state.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using userplatform::StoreRecord;
using userplatform::Topic;

/** For the desired state: changes are rare and must take effect within 2 s. */
constexpr userplatform::WatchOptions operatorWatchTimes { 1500ms, 0ms, 150ms };
/** For endpoint registrations: they are frequent, so several records are read at a time. */
constexpr userplatform::WatchOptions endpointWatchTimes { 1500ms, 350ms, 150ms };
/** For the addresses of VMs, which heartbeats carry too. */
constexpr userplatform::WatchOptions vmWatchTimes { 20s, 5s, 500ms };
/** Number of VMs that read the store for all: tolerates the loss of some at little load on the store. */
constexpr std::size_t storeReaderCount = 3;
/** Time after the start during which each VM reads the store itself, until it has received heartbeats of the others. */
constexpr Duration initialReadingTime = 500ms;
/** Interval of the checks whether this VM has to read the store; similar to the heartbeat interval. */
constexpr Duration readerCheckInterval = 200ms;
/** Minimum interval between requests for records to other VMs. */
constexpr Duration minPeerRequestInterval = 300ms;
/** Interval of the checks for registrations that expired after an outage of the store. */
constexpr Duration expiryCheckInterval = 200ms;
constexpr peer::CallLimits recordCallLimits { 300ms, 500ms, 500ms, 1s };
/** Keys of quarantines in the topic of the VMs' addresses; names of VMs contain no slash. */
constexpr std::string_view quarantineKeyPrefix = "quarantine/";

std::string quarantineKey(std::uint64_t fingerprint)
{
    return std::string(quarantineKeyPrefix) + std::to_string(fingerprint);
}

std::string_view topicName(Topic topic)
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

} // namespace

FleetState::FleetState(Context &context,
                       FleetLinks &links,
                       std::function<void()> onChanged,
                       std::function<void(const SuspectMessage &)> onQuarantineRead)
    : context_(context)
    , links_(links)
    , onChanged_(std::move(onChanged))
    , onQuarantineRead_(std::move(onQuarantineRead))
    , store_(context.loop, context.settings.storeAddress)
    , endpoints_(context.settings.reregistrationPeriod)
{
}

void FleetState::start()
{
    watch(Topic::Operator, operatorWatchTimes);
    watch(Topic::Endpoints, endpointWatchTimes);
    const auto &settings = context_.settings;
    store_.put(settings.vm.text(), settings.zone.text() + " " + links_.address());
    watch(Topic::Vms, vmWatchTimes);
    context_.loop.timers().every(
        context_.now() + initialReadingTime, readerCheckInterval, [this](Time) { updateStoreReading(); });
    context_.loop.timers().every(
        context_.now() + expiryCheckInterval, expiryCheckInterval, [this](Time now) { expireEndpoints(now); });
}

void FleetState::deregister(std::function<void()> onDone)
{
    store_.remove(context_.settings.vm.text(), std::move(onDone));
}

void FleetState::watch(Topic topic, const userplatform::WatchOptions &times)
{
    userplatform::TopicHandlers handlers;
    handlers.onSnapshot = [this, topic](const std::vector<StoreRecord> &records, LogOffset endOffset) {
        applyRecords(topic, records, endOffset.value(), true);
    };
    handlers.onRecords = [this, topic](const std::vector<StoreRecord> &records, LogOffset endOffset) {
        const std::uint64_t previousEndOffset = replicas_[topic].endOffset;
        if (endOffset.value() > previousEndOffset) {
            pushRecords(topic, previousEndOffset, records);
        }
        applyRecords(topic, records, endOffset.value(), false);
    };
    handlers.onUnavailable = [this, topic](const std::string &error) {
        replicas_[topic].isStoreLost = true;
        publishView();
        if (topic == Topic::Endpoints) {
            endpoints_.onRegistryLost(context_.now());
        }
        context_.logger.warn("store unavailable", { { "topic", topicName(topic) }, { "error", error } });
    };
    handlers.onRecovered = [this, topic] {
        replicas_[topic].isStoreLost = false;
        publishView();
        if (topic == Topic::Endpoints) {
            endpoints_.onRegistryRestored(context_.now());
        }
        context_.logger.state("store available", { { "topic", topicName(topic) } });
    };
    store_.watch(topic, times, std::move(handlers));
}

void FleetState::applyRecords(Topic topic,
                              const std::vector<StoreRecord> &records,
                              std::uint64_t endOffset,
                              bool isSnapshot)
{
    TopicReplica &replica = replicas_[topic];
    if (isSnapshot && topic == Topic::Endpoints) {
        std::vector<EndpointId> remaining;
        for (const auto &record : records) {
            remaining.emplace_back(record.key);
        }
        endpoints_.retain(remaining, context_.now());
        endpointsLoaded_ = true;
    }
    if (isSnapshot) {
        markRemoved(replica, records, endOffset);
    }
    for (const auto &record : records) {
        auto &latest = replica.records[record.key];
        if (latest.key.empty() || latest.offset <= record.offset) {
            latest = record;
            applyRecord(topic, record);
        }
    }
    replica.endOffset = std::max(replica.endOffset, endOffset);
    notifyChanged();
}

/** Marks the keys that are missing from a snapshot as removed. They are kept as removals, to be sent to other VMs. */
void FleetState::markRemoved(TopicReplica &replica, const std::vector<StoreRecord> &remaining, std::uint64_t endOffset)
{
    for (auto &[key, latest] : replica.records) {
        const bool isPresent = std::any_of(
            remaining.begin(), remaining.end(), [&, name = key](const auto &record) { return record.key == name; });
        if (!isPresent && latest.value && latest.offset.value() < endOffset) {
            latest.value.reset();
            latest.offset = LogOffset(endOffset - 1);
        }
    }
}

void FleetState::applyRecord(Topic topic, const StoreRecord &record)
{
    switch (topic) {
    case Topic::Operator:
        applyDesiredState(record);
        break;
    case Topic::Endpoints:
        applyEndpoint(record);
        break;
    case Topic::Vms:
        applyVm(record);
        break;
    }
}

void FleetState::applyDesiredState(const StoreRecord &record)
{
    if (record.key != userplatform::desiredStateKey || !record.value) {
        return;
    }
    auto state = userplatform::parseDesiredState(*record.value);
    if (!state) {
        context_.logger.error("malformed desired state",
                              { { "offset", record.offset }, { "error", state.error().detail } });
        return;
    }
    const auto version = state.value().version;
    if (routes_ && version <= routes_->state().version) {
        return;
    }
    routes_ = std::make_shared<const routing::RouteTable>(std::move(state.value()));
    context_.logger.state("desired state in force",
                          { { "version", version },
                            { "routes", routes_->state().routes.size() },
                            { "services", routes_->state().services.size() } });
}

void FleetState::applyEndpoint(const StoreRecord &record)
{
    const EndpointId id(record.key);
    auto change = routing::DirectoryChange::None;
    if (record.value) {
        const auto entry = userplatform::parseEndpointEntry(record.key, *record.value);
        if (!entry) {
            // The endpoint can't be used without a valid entry.
            context_.logger.warn("malformed endpoint entry", { { "endpoint", id }, { "error", entry.error().detail } });
            change = endpoints_.remove(id, context_.now());
        } else {
            change = endpoints_.update(entry.value(), context_.now());
        }
    } else {
        change = endpoints_.remove(id, context_.now());
    }
    switch (change) {
    case routing::DirectoryChange::Joined:
        context_.logger.state("endpoint joined", { { "endpoint", id }, { "offset", record.offset } });
        break;
    case routing::DirectoryChange::Draining:
        context_.logger.state("endpoint leaving", { { "endpoint", id }, { "offset", record.offset } });
        break;
    case routing::DirectoryChange::Removed:
        context_.logger.state("endpoint removed", { { "endpoint", id }, { "offset", record.offset } });
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
            applyQuarantine(*record.value);
        }
        return;
    }
    const VmId vm(record.key);
    const auto space = record.value ? record.value->find(' ') : std::string::npos;
    if (space == std::string::npos) {
        links_.removeVm(vm);
        return;
    }
    links_.updateAddress(vm, AvailabilityZoneId(record.value->substr(0, space)), record.value->substr(space + 1));
}

void FleetState::applyQuarantine(const std::string &value)
{
    const auto message = net::fromBase64(value);
    if (!message) {
        context_.logger.warn("malformed quarantine", { { "error", message.error().detail } });
        return;
    }
    const auto suspect = wire::decode<SuspectMessage>(message.value());
    if (!suspect) {
        context_.logger.warn("malformed quarantine", { { "error", suspect.error().detail } });
        return;
    }
    onQuarantineRead_(suspect.value());
}

void FleetState::storeQuarantine(const SuspectMessage &suspect)
{
    store_.put(quarantineKey(suspect.fingerprint), net::toBase64(wire::encode(suspect)));
}

void FleetState::removeQuarantine(Fingerprint request)
{
    store_.remove(quarantineKey(request.value()), [] {});
}

void FleetState::expireEndpoints(Time now)
{
    if (endpoints_.expire(now) > 0) {
        context_.logger.state("endpoints removed",
                              { { "reason", "not registered again after an outage of the store" } });
        notifyChanged();
    }
}

void FleetState::notifyChanged()
{
    publishView();
    onChanged_();
}

void FleetState::publishView()
{
    const bool isStoreAvailable = !replicas_[Topic::Operator].isStoreLost && !replicas_[Topic::Endpoints].isStoreLost;
    links_.setView(routes_ ? routes_->state().version.value() : 0,
                   replicas_[Topic::Operator].endOffset,
                   replicas_[Topic::Endpoints].endOffset,
                   readsStore_ && isStoreAvailable && isLoaded());
}

/** Returns whether this VM is one of the VMs that read the store for all. */
bool FleetState::isStoreReader() const
{
    return links_.isResponsible("store", storeReaderCount);
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
    const bool shouldRead = !isLoaded() || isStoreReader() || !hasActiveReader();
    if (shouldRead != readsStore_) {
        readsStore_ = shouldRead;
        context_.logger.state("store reading changed", { { "active", shouldRead } });
        publishView();
    }
    if (!shouldRead && replicas_[Topic::Endpoints].isStoreLost) {
        // The store responds to the readers, and the records that they push are as current as records read here.
        endpoints_.onRegistryRestored(context_.now());
    }
    for (const Topic topic : { Topic::Operator, Topic::Endpoints }) {
        replicas_[topic].isStoreLost = replicas_[topic].isStoreLost && shouldRead;
        store_.setActive(topic, shouldRead, LogOffset(replicas_[topic].endOffset));
    }
}

void FleetState::pushRecords(Topic topic, std::uint64_t startOffset, const std::vector<StoreRecord> &records)
{
    if (topic == Topic::Vms || !readsStore_ || !isStoreReader()) {
        return;
    }
    RecordsPush push { topic, startOffset, {} };
    for (const auto &record : records) {
        push.records.records.push_back({ record.key, record.offset.value(), !record.value, record.value.value_or("") });
        push.records.endOffset = std::max(push.records.endOffset, record.offset.value() + 1);
    }
    links_.broadcast(encodeMessage(MessageKind::RecordsPush, push));
}

void FleetState::handlePushedRecords(const VmId &vm, const RecordsPush &push)
{
    const Topic topic = push.topic;
    if (topic != Topic::Operator && topic != Topic::Endpoints) {
        return;
    }
    const TopicReplica &replica = replicas_[topic];
    if (push.records.endOffset <= replica.endOffset) {
        return;
    }
    if (push.startOffset > replica.endOffset) {
        requestRecords(topic, vm); // records between the two offsets are missing
        return;
    }
    applyPeerRecords(topic, push.records);
}

void FleetState::applyPeerRecords(Topic topic, const RecordsResponse &response)
{
    std::vector<StoreRecord> records;
    for (const auto &record : response.records) {
        auto value = record.isRemoval ? std::nullopt : std::optional(record.value);
        records.push_back({ record.key, LogOffset(record.offset), std::move(value) });
    }
    std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.offset < b.offset; });
    applyRecords(topic, records, response.endOffset, false);
}

void FleetState::handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat)
{
    const std::uint64_t version = routes_ ? routes_->state().version.value() : 0;
    const TopicReplica &operatorReplica = replicas_[Topic::Operator];
    if ((heartbeat.stateVersion > version || heartbeat.operatorEndOffset > operatorReplica.endOffset)
        && (operatorReplica.isStoreLost || !routes_ || !readsStore_)) {
        requestRecords(Topic::Operator, vm);
    }
    const TopicReplica &endpointReplica = replicas_[Topic::Endpoints];
    if (heartbeat.endpointsEndOffset > endpointReplica.endOffset
        && (endpointReplica.isStoreLost || !endpointsLoaded_ || !readsStore_)) {
        requestRecords(Topic::Endpoints, vm);
    }
}

void FleetState::requestRecords(Topic topic, const VmId &vm)
{
    TopicReplica &replica = replicas_[topic];
    const Time now = context_.now();
    if (replica.lastPeerRequestAt && now - *replica.lastPeerRequestAt < minPeerRequestInterval) {
        return;
    }
    replica.lastPeerRequestAt = now;
    const RecordsRequest request { topic, replica.endOffset };
    peer::CallHandlers handlers;
    handlers.onData = [this, topic, vm](const std::string &message) {
        const auto response = wire::decode<RecordsResponse>(message);
        if (!response) {
            context_.logger.warn("malformed records", { { "vm", vm }, { "error", response.error().detail } });
            return;
        }
        context_.logger.state(
            "records received from vm",
            { { "topic", topicName(topic) }, { "vm", vm }, { "records", response.value().records.size() } });
        if (topic == Topic::Endpoints) {
            endpointsLoaded_ = true;
        }
        applyPeerRecords(topic, response.value());
    };
    links_.call(vm, encodeMessage(MessageKind::Records, request), recordCallLimits, std::move(handlers));
}

void FleetState::serveRecords(const RecordsRequest &request, peer::PeerCallWriter writer) const
{
    RecordsResponse response;
    const auto replica = replicas_.find(request.topic);
    if (replica != replicas_.end()) {
        response.endOffset = replica->second.endOffset;
        for (const auto &[key, record] : replica->second.records) {
            if (record.offset.value() >= request.startOffset) {
                response.records.push_back({ key, record.offset.value(), !record.value, record.value.value_or("") });
            }
        }
    }
    writer.write(wire::encode(response));
    writer.end();
}

} // namespace lacewing::gateway
