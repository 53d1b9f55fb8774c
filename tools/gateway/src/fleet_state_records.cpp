#include "fleet_state.h"

#include <algorithm>

/** The part of FleetState that passes records of the store on between VMs. */
namespace lacewing::gateway
{
namespace
{

using routing::StateVersion;
using userplatform::LogPosition;
using userplatform::StoreRecord;
using userplatform::Topic;

/** Minimum interval between requests for records to other VMs. */
constexpr Duration minPeerRequestInterval = 300ms;
/** Records of a whole topic that another VM may send. */
constexpr std::size_t maxRecordsBytes = std::size_t(16) << 20U;
/** Responses up to this size do not count against the limit on transfers. */
constexpr std::size_t smallResponseBytes = std::size_t(64) << 10U;
/** Large responses that a VM sends at the same time; other VMs that lack much ask again, also elsewhere. */
constexpr std::size_t maxTransfers = 8;
/** Minimum interval between reads of all registrations because of responses that leave removals out. */
constexpr Duration minReloadInterval = 1s;

std::size_t countRemovals(const RecordsResponse &response)
{
    return static_cast<std::size_t>(std::count_if(
        response.records.begin(), response.records.end(), [](const auto &record) { return record.isRemoval; }));
}

std::vector<StoreRecord> toStoreRecords(const RecordsResponse &response)
{
    std::vector<StoreRecord> records;
    for (const auto &record : response.records) {
        auto value = record.isRemoval ? std::nullopt : std::optional(record.value);
        records.push_back({ record.key, LogPosition::fromPacked(record.offset), std::move(value) });
    }
    std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.position < b.position; });
    return records;
}

RecordMessage toMessage(const StoreRecord &record)
{
    return { record.key, record.position.packed(), !record.value, record.value.value_or("") };
}

std::vector<RecordMessage> toMessages(const std::vector<StoreRecord> &records)
{
    std::vector<RecordMessage> messages;
    messages.reserve(records.size());
    std::transform(records.begin(), records.end(), std::back_inserter(messages), toMessage);
    return messages;
}

std::string_view toText(RecordsScope scope)
{
    switch (scope) {
    case RecordsScope::Unknown:
        break;
    case RecordsScope::Changes:
        return "changes";
    case RecordsScope::Snapshot:
        return "snapshot";
    }
    return "unknown";
}

RecordsResponse makeResponse(const RecordsRequest &request, const TopicUpdate &update)
{
    struct Visitor {
        RecordsResponse operator()(const TopicChanges &changes) const
        {
            return { changes.end.packed(), toMessages(changes.records), RecordsScope::Changes, changes.start.packed() };
        }
        RecordsResponse operator()(const TopicSnapshot &snapshot) const
        {
            return { snapshot.end.packed(),
                     toMessages(snapshot.records),
                     RecordsScope::Snapshot,
                     snapshot.removalsStart.packed() };
        }
        RecordsResponse operator()(const TopicExcerpt &excerpt) const
        {
            return { 0, toMessages(excerpt.records) };
        }
    };
    RecordsResponse response = std::visit(Visitor(), update);
    if (response.scope == RecordsScope::Snapshot && !request.acceptsSnapshot && request.startOffset != 0) {
        // A VM of an earlier version would take the end as a sign that nothing has been removed before.
        response.endOffset = std::min(response.endOffset, request.startOffset);
    }
    return response;
}

} // namespace

void FleetState::pushRecords(Topic topic, LogPosition start, LogPosition end, const std::vector<StoreRecord> &records)
{
    if (topic == Topic::Vms || !readsStore_ || !isStoreReader()) {
        return;
    }
    RecordsPush push { topic, start.packed(), {} };
    for (const auto &record : records) {
        if (topic == Topic::Operator && !userplatform::evacuatedZone(record.key)) {
            continue; // desired states are announced
        }
        push.records.records.push_back(toMessage(record));
    }
    push.records.endOffset = end.packed();
    if (!push.records.records.empty()) {
        links_.broadcast(encodeMessage(MessageKind::RecordsPush, push));
    }
}

void FleetState::handlePushedRecords(const VmId &vm, const RecordsPush &push)
{
    const Topic topic = push.topic;
    if (topic != Topic::Endpoints && topic != Topic::Operator) {
        return;
    }
    const auto start = LogPosition::fromPacked(push.startOffset);
    const auto end = LogPosition::fromPacked(push.records.endOffset);
    const LogPosition ownEnd = replica(topic).end();
    if (end <= ownEnd) {
        return;
    }
    if (end.era() == ownEnd.era()) {
        applyUpdate(topic, TopicChanges { start, end, toStoreRecords(push.records) }, "vm");
    }
    if (replica(topic).end() < end) {
        requestRecords(topic, vm, ownEnd); // records between the two positions are missing
    }
}

/** Returns what a response tells. Earlier versions of the gateway do not say what it leaves out. */
TopicUpdate FleetState::toUpdate(const RecordsRequest &request, const RecordsResponse &response) const
{
    const auto start = LogPosition::fromPacked(response.startOffset);
    const auto end = LogPosition::fromPacked(response.endOffset);
    auto records = toStoreRecords(response);
    switch (response.scope) {
    case RecordsScope::Changes:
        return TopicChanges { start, end, std::move(records) };
    case RecordsScope::Snapshot:
        return TopicSnapshot { start, end, std::move(records) };
    case RecordsScope::Unknown:
        break;
    }
    const TopicReplica &own = replica(request.topic);
    if (!own.isLoaded() && request.startOffset == 0) {
        return TopicSnapshot { end, end, std::move(records) };
    }
    const bool isOfOwnEra = end.era() == own.end().era();
    return TopicExcerpt { isOfOwnEra ? std::move(records) : std::vector<StoreRecord>() };
}

void FleetState::applyPeerRecords(const RecordsRequest &request, const RecordsResponse &response)
{
    const Topic topic = request.topic;
    const auto update = toUpdate(request, response);
    if (topic == Topic::Operator) {
        evacuationsDifferSince_.reset();
    }
    applyUpdate(topic, update, "vm");
    const bool isExcerpt = std::holds_alternative<TopicExcerpt>(update);
    const bool isBehind = replica(topic).end().packed() < response.endOffset;
    if (topic == Topic::Endpoints && isExcerpt && isBehind && context_.now() >= nextEndpointsReloadAt_) {
        nextEndpointsReloadAt_ = context_.now() + minReloadInterval;
        store_.reload(topic);
    }
}

void FleetState::handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat)
{
    stateExchange_.handleVersion(
        vm, { StateVersion(heartbeat.stateVersion), heartbeat.stateDigest, heartbeat.operatorEndOffset }, std::nullopt);
    compareEvacuations(vm, heartbeat);
    const bool isStoreLost = topics_[Topic::Endpoints].isStoreLost;
    if (heartbeat.endpointsEndOffset > endpointRecords_.end().packed()
        && (isStoreLost || !endpointRecords_.isLoaded() || !readsStore_)) {
        requestRecords(Topic::Endpoints, vm, endpointRecords_.end());
    }
}

void FleetState::requestRecords(Topic topic, const VmId &vm, LogPosition start)
{
    TopicState &state = topics_[topic];
    const Time now = context_.now();
    const bool isTooSoon = state.lastPeerRequestAt && now - *state.lastPeerRequestAt < minPeerRequestInterval;
    if (state.isRequestedFromPeer || isTooSoon) {
        return;
    }
    state.lastPeerRequestAt = now;
    state.isRequestedFromPeer = true;
    const RecordsRequest request { topic, start.packed(), false, true };
    BulkHandlers handlers;
    handlers.onReceived = [this, topic, vm, request, now](const std::string &bytes) {
        topics_[topic].isRequestedFromPeer = false;
        const auto response = wire::decode<RecordsResponse>(bytes);
        if (!response) {
            context_.logger.warn("malformed records", { { "vm", vm }, { "error", response.error().detail } });
            return;
        }
        context_.logger.state("records received from vm",
                              { { "topic", topicName(topic) },
                                { "vm", vm },
                                { "scope", toText(response.value().scope) },
                                { "start", LogPosition::fromPacked(request.startOffset).offset() },
                                { "end", LogPosition::fromPacked(response.value().endOffset).offset() },
                                { "records", response.value().records.size() },
                                { "removals", countRemovals(response.value()) },
                                { "bytes", bytes.size() },
                                { "ms", toMilliseconds(context_.now() - now) } });
        applyPeerRecords(request, response.value());
    };
    handlers.onFailed = [this, topic, vm, now](const Error &error, std::size_t receivedBytes) {
        topics_[topic].isRequestedFromPeer = false;
        context_.logger.warn("records not received from vm",
                             { { "topic", topicName(topic) },
                               { "vm", vm },
                               { "error", toText(error.kind) },
                               { "bytes", receivedBytes },
                               { "ms", toMilliseconds(context_.now() - now) } });
    };
    requestBulk(
        links_, vm, encodeMessage(MessageKind::Records, request), maxRecordsBytes, bulkCallLimits, std::move(handlers));
}

void FleetState::serveRecords(const RecordsRequest &request, peer::PeerCallWriter writer)
{
    if (request.isCurrentRequired) {
        const RecordsRequest unconditional { request.topic, request.startOffset, false, request.acceptsSnapshot };
        CoalescedCheck &check = request.topic == Topic::Operator ? stateCheck_ : storeCheck_;
        check.request([this, unconditional, writer = std::move(writer)](bool isCurrent) mutable {
            if (isCurrent) {
                serveRecords(unconditional, std::move(writer));
            } else {
                writer.fail({ ErrorKind::Unavailable, "the store does not respond to this vm" });
            }
        });
        return;
    }
    if (!replica(request.topic).isLoaded()) {
        writer.fail({ ErrorKind::Unavailable, "has not read the topic itself" });
        return;
    }
    auto bytes = encodedResponse(request);
    const bool isLarge = bytes->size() > smallResponseBytes;
    if (isLarge && recordResponses_.countLarger(smallResponseBytes) >= maxTransfers) {
        writer.fail({ ErrorKind::TooMany, "sends records to enough VMs" });
        return;
    }
    recordResponses_.send(std::move(bytes), std::move(writer));
}

std::shared_ptr<const std::string> FleetState::encodedResponse(const RecordsRequest &request)
{
    const auto update = replica(request.topic).updateSince(LogPosition::fromPacked(request.startOffset));
    const auto *snapshot = std::get_if<TopicSnapshot>(&update);
    if (snapshot == nullptr || !request.acceptsSnapshot || request.topic != Topic::Endpoints) {
        return std::make_shared<const std::string>(wire::encode(makeResponse(request, update)));
    }
    // Many VMs ask for the same snapshot at a time if they have missed the same records.
    if (!encodedSnapshot_ || encodedSnapshotEnd_ != snapshot->end) {
        encodedSnapshotEnd_ = snapshot->end;
        encodedSnapshot_ = std::make_shared<const std::string>(wire::encode(makeResponse(request, update)));
    }
    return encodedSnapshot_;
}

} // namespace lacewing::gateway
