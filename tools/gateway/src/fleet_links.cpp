#include "fleet_links.h"

#include "fleet_task.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Idle time after which a link with pending calls is probed, and the timeout of the probe. */
constexpr Duration pingIdleTime = 400ms;
constexpr Duration pingTimeout = 400ms;
constexpr Duration connectTimeout = 500ms;
/** Time after it became known for which a VM is expected to be live without a heartbeat. */
constexpr Duration firstHeartbeatTimeout = 5s;
/** Number of VMs that read the store for all: tolerates the loss of some at little load on the store. */
constexpr std::size_t storeReaderCount = 3;
constexpr std::size_t maxQueuedMessages = 256;
constexpr std::size_t maxQueuedCalls = 4'000;
constexpr std::size_t maxStreams = 4'000;

peer::PeerOptions makeOptions(const Context &context)
{
    peer::PeerOptions options;
    options.identity({ context.settings.vm, context.settings.zone, context.incarnation })
        .plain()
        .maxQueuedMessages(maxQueuedMessages)
        .maxQueuedCalls(maxQueuedCalls)
        .maxStreams(maxStreams)
        .pingAfter(pingIdleTime)
        .pingDeadline(pingTimeout)
        .connectTime(connectTimeout);
    return options;
}

} // namespace

FleetLinks::FleetLinks(Context &context, FleetHandlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , network_(context.loop,
               makeOptions(context),
               { [this](const peer::PeerIdentity &from, const std::string &message) { handleMessage(from, message); },
                 [this](const peer::PeerIdentity &, peer::PeerCallWriter writer, const std::string &request) {
                     handleCall(std::move(writer), request);
                 } })
{
    localHeartbeat_.vm = context.settings.vm.text();
    localHeartbeat_.zone = context.settings.zone.text();
    localHeartbeat_.address = address();
    localHeartbeat_.incarnation = context.incarnation.value();
    localHeartbeat_.cpuShare = context.settings.cpuShare;
    localHeartbeat_.linkMbps = context.settings.linkMbps;
}

Result<void> FleetLinks::listen()
{
    auto listening = network_.listen({ context_.settings.ip, context_.settings.firstInternalPort });
    if (listening) {
        context_.loop.timers().every(context_.now() + HeartbeatSchedule::roundInterval,
                                     HeartbeatSchedule::roundInterval,
                                     [this](Time) { sendHeartbeats(); });
    }
    return listening;
}

std::string FleetLinks::address() const
{
    return net::toText({ context_.settings.ip, context_.settings.firstInternalPort });
}

void FleetLinks::updateAddress(const VmId &vm, const AvailabilityZoneId &zone, const std::string &address)
{
    if (vm == context_.settings.vm) {
        return;
    }
    const bool isNew = !vms_.contains(vm);
    PeerVm &peerVm = vms_[vm];
    const bool hasMoved = peerVm.address != address;
    peerVm.zone = zone;
    peerVm.address = address;
    if (hasMoved) {
        peerVm.lastHeartbeatAt.reset();
        sendHeartbeat(peerVm);
    }
    if (isNew) {
        peerVm.addedAt = context_.now();
        context_.logger.state("vm added", { { "vm", vm }, { "zone", zone }, { "address", address } });
    }
}

void FleetLinks::removeVm(const VmId &vm)
{
    vms_.erase(vm);
    updateMembers();
}

void FleetLinks::setView(const StateVersionMessage &state, std::uint64_t endpointsEndOffset, bool isReadingStore)
{
    localHeartbeat_.stateVersion = state.version.value();
    localHeartbeat_.stateDigest = state.digest;
    localHeartbeat_.operatorEndOffset = state.position;
    localHeartbeat_.isReadingStore = isReadingStore;
    localHeartbeat_.endpointsEndOffset = endpointsEndOffset;
}

void FleetLinks::setUnreachableServices(const std::vector<routing::ServiceId> &services)
{
    UnreachableServicesMessage message;
    for (const auto &service : services) {
        message.services.push_back(service.text());
    }
    localHeartbeat_.unreachableServices = message.services;
    broadcast(encodeMessage(MessageKind::UnreachableServices, message));
}

bool FleetLinks::reaches(const VmId &vm, const routing::ServiceId &service) const
{
    const auto *peerVm = find(vm);
    const auto &unreachable = (peerVm != nullptr ? peerVm->heartbeat : localHeartbeat_).unreachableServices;
    return std::find(unreachable.begin(), unreachable.end(), service.text()) == unreachable.end();
}

void FleetLinks::leave()
{
    localHeartbeat_.isLeaving = true;
    handlers_.fillHeartbeat(localHeartbeat_);
    for (const auto &[id, vm] : vms_) {
        sendHeartbeat(vm);
    }
    updateMembers();
}

std::vector<VmId> FleetLinks::members(const std::optional<AvailabilityZoneId> &zone) const
{
    std::vector<VmId> result;
    if (!localHeartbeat_.isLeaving && (!zone || *zone == context_.settings.zone)) {
        result.push_back(context_.settings.vm);
    }
    for (const auto &[id, vm] : vms_) {
        if (hasRecentHeartbeat(vm) && !vm.heartbeat.isLeaving && (!zone || vm.zone == *zone)) {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<VmId> FleetLinks::responsibleVms(std::string_view task, std::size_t count) const
{
    std::vector<TaskCandidate> candidates;
    for (const auto &vm : members(std::nullopt)) {
        candidates.push_back({ vm, linkMbps(vm) });
    }
    return selectForTask(task, candidates, count);
}

bool FleetLinks::isResponsible(std::string_view task, std::size_t count) const
{
    const auto chosen = responsibleVms(task, count);
    return std::find(chosen.begin(), chosen.end(), context_.settings.vm) != chosen.end();
}

std::vector<VmId> FleetLinks::storeReaders() const
{
    return responsibleVms("store", storeReaderCount);
}

std::size_t FleetLinks::expectedCount() const
{
    return 1 + static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [&](const auto &item) {
               return hasRecentHeartbeat(item.second) || context_.now() - item.second.addedAt < firstHeartbeatTimeout;
           }));
}

bool FleetLinks::isZoneReachable(const AvailabilityZoneId &zone) const
{
    if (zone == context_.settings.zone) {
        return true;
    }
    bool isZoneKnown = false;
    for (const auto &[id, vm] : vms_) {
        if (vm.zone != zone) {
            continue;
        }
        isZoneKnown = true;
        const Duration timeout =
            HeartbeatSchedule::zoneFailureTimeout(std::chrono::milliseconds(vm.heartbeat.periodMs));
        if (vm.lastHeartbeatAt && context_.now() - *vm.lastHeartbeatAt < timeout) {
            return true;
        }
    }
    return !isZoneKnown;
}

const PeerVm *FleetLinks::find(const VmId &vm) const
{
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

bool FleetLinks::isLive(const VmId &vm) const
{
    const auto *peerVm = find(vm);
    return peerVm != nullptr && hasRecentHeartbeat(*peerVm);
}

double FleetLinks::cpuShare(const VmId &vm) const
{
    if (vm == context_.settings.vm) {
        return context_.settings.cpuShare;
    }
    const auto *peerVm = find(vm);
    return peerVm != nullptr && peerVm->lastHeartbeatAt ? peerVm->heartbeat.cpuShare : 0;
}

double FleetLinks::linkMbps(const VmId &vm) const
{
    const auto *peerVm = find(vm);
    return peerVm != nullptr ? peerVm->heartbeat.linkMbps : localHeartbeat_.linkMbps;
}

AvailabilityZoneId FleetLinks::zoneOf(const VmId &vm) const
{
    const auto *peerVm = find(vm);
    return peerVm != nullptr ? peerVm->zone : context_.settings.zone;
}

void FleetLinks::send(const VmId &vm, std::string message)
{
    if (const auto *peerVm = find(vm)) {
        network_.send(peerVm->address, std::move(message));
    }
}

void FleetLinks::broadcast(const std::string &message)
{
    for (const auto &[id, vm] : vms_) {
        if (hasRecentHeartbeat(vm)) {
            network_.send(vm.address, message);
        }
    }
}

peer::PeerCallHandle FleetLinks::call(const VmId &vm,
                                      std::string request,
                                      peer::CallLimits limits,
                                      peer::CallHandlers handlers)
{
    const auto *peerVm = find(vm);
    return network_.call(
        peerVm != nullptr ? peerVm->address : std::string(), std::move(request), limits, std::move(handlers));
}

void FleetLinks::cancel(peer::PeerCallHandle handle)
{
    network_.cancel(handle);
}

peer::PeerCounters FleetLinks::counters() const
{
    return network_.counters();
}

bool FleetLinks::hasRecentHeartbeat(const PeerVm &vm) const
{
    const Duration timeout = HeartbeatSchedule::failureTimeout(std::chrono::milliseconds(vm.heartbeat.periodMs));
    return vm.lastHeartbeatAt && context_.now() - *vm.lastHeartbeatAt < timeout;
}

HeartbeatLink FleetLinks::heartbeatLink(const PeerVm &vm) const
{
    return { vm.zone == context_.settings.zone, hasRecentHeartbeat(vm), hasFleetWideRole(), vms_.size() };
}

/** Returns whether VMs of other zones have to detect the failure of this VM quickly. */
bool FleetLinks::hasFleetWideRole() const noexcept
{
    return localHeartbeat_.isReadingStore || !localHeartbeat_.loads.empty();
}

void FleetLinks::sendHeartbeats()
{
    handlers_.fillHeartbeat(localHeartbeat_);
    ++round_;
    // Announces a change of the interval at once, because the receivers still expect the previous interval.
    const bool hasRoleChanged = std::exchange(hadFleetWideRole_, hasFleetWideRole()) != hasFleetWideRole();
    for (const auto &[id, vm] : vms_) {
        if (hasRoleChanged || HeartbeatSchedule::isDue(heartbeatLink(vm), round_, hashBytes(id.text()))) {
            sendHeartbeat(vm);
        }
    }
    updateMembers();
}

void FleetLinks::sendHeartbeat(const PeerVm &vm)
{
    localHeartbeat_.periodMs =
        static_cast<std::uint32_t>(toMilliseconds(HeartbeatSchedule::interval(heartbeatLink(vm))));
    network_.send(vm.address, encodeMessage(MessageKind::Heartbeat, localHeartbeat_));
}

void FleetLinks::handleMessage(const peer::PeerIdentity &from, const std::string &message)
{
    const auto body = std::string_view(message).substr(message.empty() ? 0 : 1);
    const auto kind = message.empty() ? MessageKind() : MessageKind(message.front());
    const auto deliver = [&]<typename Message>(const std::function<void(const Message &)> &handler) {
        if (const auto decoded = wire::decode<Message>(body)) {
            handler(decoded.value());
        } else {
            context_.logger.warn("malformed message", { { "vm", from.vm }, { "error", decoded.error().detail } });
        }
    };
    switch (kind) {
    case MessageKind::Heartbeat:
        deliver(
            std::function<void(const Heartbeat &)>([this](const Heartbeat &heartbeat) { handleHeartbeat(heartbeat); }));
        break;
    case MessageKind::Release:
        deliver(handlers_.onRelease);
        break;
    case MessageKind::Suspect:
        deliver(handlers_.onSuspect);
        break;
    case MessageKind::RateLimits:
        deliver(handlers_.onRateLimits);
        break;
    case MessageKind::SuspectParts:
        deliver(handlers_.onSuspectParts);
        break;
    case MessageKind::StreamOrigins:
        deliver(handlers_.onStreamOrigins);
        break;
    case MessageKind::EndpointLeaving:
        deliver(handlers_.onEndpointLeaving);
        break;
    case MessageKind::BrittleEndpoint:
        deliver(handlers_.onBrittleEndpoint);
        break;
    case MessageKind::StateAnnouncement:
        deliver(std::function<void(const StateAnnouncement &)>(
            [&](const StateAnnouncement &announcement) { handlers_.onStateAnnounced(from.vm, announcement); }));
        break;
    case MessageKind::RecordsPush:
        deliver(std::function<void(const RecordsPush &)>(
            [&](const RecordsPush &push) { handlers_.onRecordsPushed(from.vm, push); }));
        break;
    case MessageKind::UnreachableServices:
        deliver(std::function<void(const UnreachableServicesMessage &)>([&](const auto &unreachable) {
            const auto found = vms_.find(from.vm);
            if (found != vms_.end() && found->second.heartbeat.unreachableServices != unreachable.services) {
                found->second.heartbeat.unreachableServices = unreachable.services;
                handlers_.onMembersChanged();
            }
        }));
        break;
    case MessageKind::Pieces:
    case MessageKind::Relay:
    case MessageKind::Records:
    case MessageKind::State:
    case MessageKind::StreamOrigin:
    case MessageKind::Suspects:
        break;
    }
}

void FleetLinks::handleCall(peer::PeerCallWriter writer, const std::string &request)
{
    const auto body = std::string_view(request).substr(request.empty() ? 0 : 1);
    const auto kind = request.empty() ? MessageKind() : MessageKind(request.front());
    if (kind == MessageKind::Pieces) {
        if (auto decoded = wire::decode<PiecesRequest>(body)) {
            handlers_.onPieces(std::move(decoded.value()), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::Relay) {
        if (auto decoded = wire::decode<RelayRequest>(body)) {
            handlers_.onRelay(std::move(decoded.value()), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::Records) {
        if (const auto decoded = wire::decode<RecordsRequest>(body)) {
            handlers_.onRecords(decoded.value(), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::State) {
        if (const auto decoded = wire::decode<StateRequest>(body)) {
            handlers_.onStateRequested(decoded.value(), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::StreamOrigin) {
        if (const auto decoded = wire::decode<StreamOriginRequest>(body)) {
            handlers_.onStreamOriginRequested(decoded.value(), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::Suspects) {
        handlers_.onSuspectsRequested(std::move(writer));
        return;
    }
    writer.fail({ ErrorKind::Malformed, "malformed request" });
}

void FleetLinks::handleHeartbeat(const Heartbeat &heartbeat)
{
    const VmId id(heartbeat.vm);
    if (id == context_.settings.vm || id.isEmpty()) {
        return;
    }
    updateAddress(id, AvailabilityZoneId(heartbeat.zone), heartbeat.address);
    PeerVm &vm = vms_[id];
    const bool wasLive = hasRecentHeartbeat(vm);
    const bool hasChanged = !wasLive || vm.heartbeat.isLeaving != heartbeat.isLeaving;
    const bool reachesOthers = vm.heartbeat.unreachableServices != heartbeat.unreachableServices;
    vm.lastHeartbeatAt = context_.now();
    vm.heartbeat = heartbeat;
    if (!wasLive) {
        context_.logger.state("vm live", { { "vm", id }, { "zone", vm.zone } });
        sendHeartbeat(vm);
    }
    if (hasChanged) {
        updateMembers();
    }
    if (reachesOthers) {
        handlers_.onMembersChanged();
    }
    handlers_.onHeartbeat(id, heartbeat);
}

void FleetLinks::updateMembers()
{
    auto now = members(std::nullopt);
    if (now == lastMembers_) {
        return;
    }
    for (const auto &id : lastMembers_) {
        if (std::find(now.begin(), now.end(), id) == now.end()) {
            const auto *vm = find(id);
            const bool isLeaving = vm != nullptr && vm->heartbeat.isLeaving;
            context_.logger.state(isLeaving ? "vm leaving" : "vm not live", { { "vm", id } });
        }
    }
    lastMembers_ = std::move(now);
    handlers_.onMembersChanged();
}

} // namespace lacewing::gateway
