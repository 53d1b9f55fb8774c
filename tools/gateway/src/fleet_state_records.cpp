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

} // namespace

void FleetState::pushRecords(Topic topic, LogPosition start, const std::vector<StoreRecord> &records)
{
    if (topic != Topic::Endpoints || !readsStore_ || !isStoreReader()) {
        return;
    }
    RecordsPush push { topic, start.packed(), {} };
    for (const auto &record : records) {
        push.records.records.push_back(
            { record.key, record.position.packed(), !record.value, record.value.value_or("") });
        push.records.endOffset = std::max(push.records.endOffset, record.position.next().packed());
    }
    links_.broadcast(encodeMessage(MessageKind::RecordsPush, push));
}

void FleetState::handlePushedRecords(const VmId &vm, const RecordsPush &push)
{
    const Topic topic = push.topic;
    if (topic != Topic::Endpoints) {
        return;
    }
    const TopicReplica &replica = replicas_[topic];
    if (push.records.endOffset <= replica.end.packed()) {
        return;
    }
    if (push.startOffset > replica.end.packed()) {
        requestRecords(topic, vm, replica.end); // records between the two positions are missing
        return;
    }
    applyPeerRecords(topic, push.records);
}

void FleetState::applyPeerRecords(Topic topic, const RecordsResponse &response)
{
    std::vector<StoreRecord> records;
    for (const auto &record : response.records) {
        auto value = record.isRemoval ? std::nullopt : std::optional(record.value);
        records.push_back({ record.key, LogPosition::fromPacked(record.offset), std::move(value) });
    }
    std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.position < b.position; });
    applyRecords(topic, records, LogPosition::fromPacked(response.endOffset), false);
}

void FleetState::handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat)
{
    stateExchange_.handleVersion(
        vm, { StateVersion(heartbeat.stateVersion), heartbeat.stateDigest, heartbeat.operatorEndOffset }, std::nullopt);
    const TopicReplica &endpointReplica = replicas_[Topic::Endpoints];
    if (heartbeat.endpointsEndOffset > endpointReplica.end.packed()
        && (endpointReplica.isStoreLost || !endpointsLoaded_ || !readsStore_)) {
        requestRecords(Topic::Endpoints, vm, endpointReplica.end);
    }
}

void FleetState::requestRecords(Topic topic, const VmId &vm, LogPosition start)
{
    TopicReplica &replica = replicas_[topic];
    const Time now = context_.now();
    const bool isTooSoon = replica.lastPeerRequestAt && now - *replica.lastPeerRequestAt < minPeerRequestInterval;
    if (replica.isRequestedFromPeer || isTooSoon) {
        return;
    }
    replica.lastPeerRequestAt = now;
    replica.isRequestedFromPeer = true;
    BulkHandlers handlers;
    handlers.onReceived = [this, topic, vm, now](const std::string &bytes) {
        replicas_[topic].isRequestedFromPeer = false;
        const auto response = wire::decode<RecordsResponse>(bytes);
        if (!response) {
            context_.logger.warn("malformed records", { { "vm", vm }, { "error", response.error().detail } });
            return;
        }
        context_.logger.state("records received from vm",
                              { { "topic", topicName(topic) },
                                { "vm", vm },
                                { "records", response.value().records.size() },
                                { "bytes", bytes.size() },
                                { "ms", toMilliseconds(context_.now() - now) } });
        if (topic == Topic::Endpoints) {
            endpointsLoaded_ = true;
        }
        applyPeerRecords(topic, response.value());
    };
    handlers.onFailed = [this, topic, vm, now](const Error &error, std::size_t receivedBytes) {
        replicas_[topic].isRequestedFromPeer = false;
        context_.logger.warn("records not received from vm",
                             { { "topic", topicName(topic) },
                               { "vm", vm },
                               { "error", toText(error.kind) },
                               { "bytes", receivedBytes },
                               { "ms", toMilliseconds(context_.now() - now) } });
    };
    const RecordsRequest request { topic, start.packed() };
    requestBulk(
        links_, vm, encodeMessage(MessageKind::Records, request), maxRecordsBytes, bulkCallLimits, std::move(handlers));
}

void FleetState::serveRecords(const RecordsRequest &request, peer::PeerCallWriter writer)
{
    if (request.isCurrentRequired) {
        const RecordsRequest unconditional { request.topic, request.startOffset };
        storeCheck_.request([this, unconditional, writer = std::move(writer)](bool isCurrent) mutable {
            if (isCurrent) {
                serveRecords(unconditional, std::move(writer));
            } else {
                writer.fail({ ErrorKind::Unavailable, "the store does not respond to this vm" });
            }
        });
        return;
    }
    RecordsResponse response;
    const auto replica = replicas_.find(request.topic);
    if (replica != replicas_.end()) {
        response.endOffset = replica->second.end.packed();
        for (const auto &[key, record] : replica->second.records) {
            if (record.position.packed() >= request.startOffset) {
                response.records.push_back({ key, record.position.packed(), !record.value, record.value.value_or("") });
            }
        }
    }
    recordResponses_.send(std::make_shared<const std::string>(wire::encode(response)), std::move(writer));
}

} // namespace lacewing::gateway
