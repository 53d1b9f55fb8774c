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

} // namespace

void FleetState::pushRecords(Topic topic, LogPosition start, const std::vector<StoreRecord> &records)
{
    if (topic == Topic::Vms || !readsStore_ || !isStoreReader()) {
        return;
    }
    RecordsPush push { topic, start.packed(), {} };
    for (const auto &record : records) {
        if (topic == Topic::Operator && !userplatform::evacuatedZone(record.key)) {
            continue; // desired states are announced
        }
        push.records.records.push_back(
            { record.key, record.position.packed(), !record.value, record.value.value_or("") });
        push.records.endOffset = std::max(push.records.endOffset, record.position.next().packed());
    }
    if (!push.records.records.empty()) {
        links_.broadcast(encodeMessage(MessageKind::RecordsPush, push));
    }
}

void FleetState::handlePushedRecords(const VmId &vm, const RecordsPush &push)
{
    const Topic topic = push.topic;
    if (topic == Topic::Operator) {
        // The position of this VM stays: there may be evacuations before these that it has missed.
        applyEvacuations(toStoreRecords(push.records), {}, false, "vm");
        notifyChanged();
    }
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

/** Merges all evacuations that another VM knows. */
void FleetState::applyPeerEvacuations(const RecordsResponse &response)
{
    evacuationsLoaded_ = true;
    applyEvacuations(toStoreRecords(response), {}, false, "vm");
    evacuationsDifferSince_.reset();
    LogPosition &end = replicas_[Topic::Operator].end;
    const auto responseEnd = LogPosition::fromPacked(response.endOffset);
    if (end == LogPosition() || end.era() == responseEnd.era()) {
        end = std::max(end, responseEnd);
    } // else the snapshot of the other era says more
    notifyChanged();
}

void FleetState::applyPeerRecords(Topic topic, const RecordsResponse &response)
{
    if (topic == Topic::Operator) {
        applyPeerEvacuations(response);
        return;
    }
    applyRecords(topic, toStoreRecords(response), LogPosition::fromPacked(response.endOffset), false);
}

void FleetState::handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat)
{
    stateExchange_.handleVersion(
        vm, { StateVersion(heartbeat.stateVersion), heartbeat.stateDigest, heartbeat.operatorEndOffset }, std::nullopt);
    compareEvacuations(vm, heartbeat);
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
    handlers.onReceived = [this, topic, vm, start, now](const std::string &bytes) {
        replicas_[topic].isRequestedFromPeer = false;
        const auto response = wire::decode<RecordsResponse>(bytes);
        if (!response) {
            context_.logger.warn("malformed records", { { "vm", vm }, { "error", response.error().detail } });
            return;
        }
        context_.logger.state("records received from vm",
                              { { "topic", topicName(topic) },
                                { "vm", vm },
                                { "start", start.offset() },
                                { "end", LogPosition::fromPacked(response.value().endOffset).offset() },
                                { "records", response.value().records.size() },
                                { "removals", countRemovals(response.value()) },
                                { "bytes", bytes.size() },
                                { "ms", toMilliseconds(context_.now() - now) } });
        endpointsLoaded_ = endpointsLoaded_ || topic == Topic::Endpoints;
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
    RecordsResponse response;
    if (request.topic == Topic::Operator) {
        for (const auto &record : evacuations_.records()) {
            response.records.push_back(
                { userplatform::evacuationKey(record.zone), record.position.packed(), !record.isEvacuated, {} });
        }
    }
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
