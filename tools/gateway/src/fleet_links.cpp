#include "fleet_links.h"

#include "fleet_task.h"

#include <algorithm>
#include <iterator>

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
/** Time after which a link without work is closed: a VM has few neighbours in the overlay, and many others now and
 * then. */
constexpr Duration linkIdleTime = 10s;
/** Time without a heartbeat after which a VM that has said that it leaves is forgotten. */
constexpr Duration leftVmRetention = 10s;
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
        .idleTime(linkIdleTime)
        .connectTime(connectTimeout);
    return options;
}

/** Returns a number that rises from one start of this VM to the next, unless the clock is set back. */
std::uint64_t startEpoch()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

FleetLinks::FleetLinks(Context &context, FleetHandlers handlers, std::uint64_t seed)
    : context_(context)
    , handlers_(std::move(handlers))
    , network_(
          context.loop,
          makeOptions(context),
          { [this](const peer::PeerIdentity &from, const std::string &message) { handleMessage(from.vm, message); },
            [this](const peer::PeerIdentity &, peer::PeerCallWriter writer, const std::string &request) {
                handleCall(std::move(writer), request);
            } })
    , overlay_(context.settings.vm, context.settings.zone, startEpoch())
    , random_(seed)
{
    lastMembers_ = { context.settings.vm };
    localHeartbeat_.protocolVersion = overlayProtocolVersion;
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
        peerVm.contactCount = 0;
    }
    if (hasMoved && !isOverlayUsed()) {
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
    overlay_.removeMember(vm);
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

void FleetLinks::setEvacuations(std::uint64_t endOffset, std::uint64_t digest)
{
    localHeartbeat_.evacuationsEndOffset = endOffset;
    localHeartbeat_.evacuationsDigest = digest;
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
        if (needsDirectHeartbeats(vm)) {
            sendHeartbeat(vm);
        }
    }
    updateOverlayContent();
    updateMembers();
}

std::vector<VmId> FleetLinks::members(const std::optional<AvailabilityZoneId> &zone) const
{
    if (!zone) {
        return lastMembers_;
    }
    std::vector<VmId> result;
    std::copy_if(lastMembers_.begin(), lastMembers_.end(), std::back_inserter(result), [&](const VmId &vm) {
        return zoneOf(vm) == *zone;
    });
    return result;
}

std::vector<VmId> FleetLinks::findMembers() const
{
    std::vector<VmId> result;
    if (!localHeartbeat_.isLeaving) {
        result.push_back(context_.settings.vm);
    }
    for (const auto &[id, vm] : vms_) {
        if (!vm.heartbeat.isLeaving && isLive(vm)) {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<VmId> FleetLinks::registeredVms() const
{
    std::vector<VmId> result { context_.settings.vm };
    for (const auto &[id, vm] : vms_) {
        result.push_back(id);
    }
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
               const PeerVm &vm = item.second;
               return isLive(vm) || context_.now() - vm.addedAt < firstHeartbeatTimeout;
           }));
}

bool FleetLinks::isZoneReachable(const AvailabilityZoneId &zone) const
{
    if (zone == context_.settings.zone || (isOverlayUsed() && overlay_.hasFreshView(zone, context_.now()))) {
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
        // A VM that has just become known, as all have at this VM's start, has not had the time to answer.
        if (context_.now() - vm.lastHeartbeatAt.value_or(vm.addedAt) < timeout) {
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
    return peerVm != nullptr && isLive(*peerVm);
}

double FleetLinks::cpuShare(const VmId &vm) const
{
    if (vm == context_.settings.vm) {
        return context_.settings.cpuShare;
    }
    const auto *peerVm = find(vm);
    return peerVm != nullptr && peerVm->isIntroduced ? peerVm->heartbeat.cpuShare : 0;
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
    const bool isFlooded = isOverlayUsed();
    if (isFlooded) {
        overlay_.flood(message);
        flushOverlayIfUrgent();
    }
    for (const auto &[id, vm] : vms_) {
        if (!(isFlooded && vm.usesOverlay()) && isLive(vm)) {
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

bool FleetLinks::isLive(const PeerVm &vm) const
{
    return hasRecentHeartbeat(vm) || (isOverlayUsed() && vm.isLiveInOverlay);
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
        const bool isDue = hasRoleChanged || HeartbeatSchedule::isDue(heartbeatLink(vm), round_, hashBytes(id.text()));
        if (isDue && needsDirectHeartbeats(vm)) {
            sendHeartbeat(vm);
        }
    }
    removeVmsThatHaveLeft();
    introduceVms();
    tickOverlay();
    updateMembers();
}

/** VMs that don't read the store are not told of their removal from it. */
void FleetLinks::removeVmsThatHaveLeft()
{
    std::vector<VmId> left;
    for (auto &[id, vm] : vms_) {
        if (!vm.heartbeat.isLeaving || isLive(vm)) {
            vm.leftAt.reset();
        } else if (!vm.leftAt) {
            vm.leftAt = context_.now();
        } else if (context_.now() - *vm.leftAt >= leftVmRetention) {
            left.push_back(id);
        }
    }
    for (const auto &id : left) {
        removeVm(id);
    }
}

void FleetLinks::sendHeartbeat(const PeerVm &vm)
{
    localHeartbeat_.periodMs =
        static_cast<std::uint32_t>(toMilliseconds(HeartbeatSchedule::interval(heartbeatLink(vm))));
    network_.send(vm.address, encodeMessage(MessageKind::Heartbeat, localHeartbeat_));
}

void FleetLinks::handleHeartbeat(const Heartbeat &heartbeat)
{
    const VmId id(heartbeat.vm);
    if (id == context_.settings.vm || id.isEmpty()) {
        return;
    }
    updateAddress(id, AvailabilityZoneId(heartbeat.zone), heartbeat.address);
    PeerVm &vm = vms_[id];
    const bool wasLive = isLive(vm);
    const bool hasChanged = !wasLive || vm.heartbeat.isLeaving != heartbeat.isLeaving;
    const bool reachesOthers = vm.heartbeat.unreachableServices != heartbeat.unreachableServices;
    vm.lastHeartbeatAt = context_.now();
    vm.heartbeat = heartbeat;
    vm.isIntroduced = true;
    if (vm.usesOverlay()) {
        overlay_.addMember(id, vm.zone, context_.now());
    }
    if (!wasLive) {
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
    auto now = findMembers();
    if (now == lastMembers_) {
        return;
    }
    std::vector<VmId> gone;
    std::vector<VmId> joined;
    std::set_difference(lastMembers_.begin(), lastMembers_.end(), now.begin(), now.end(), std::back_inserter(gone));
    std::set_difference(now.begin(), now.end(), lastMembers_.begin(), lastMembers_.end(), std::back_inserter(joined));
    for (const auto &id : gone) {
        const auto *vm = find(id);
        const bool isLeaving = vm != nullptr && vm->heartbeat.isLeaving;
        context_.logger.state(isLeaving ? "vm leaving" : "vm not live", { { "vm", id } });
    }
    for (const auto &id : joined) {
        if (id != context_.settings.vm) {
            context_.logger.state("vm live", { { "vm", id }, { "zone", zoneOf(id) } });
        }
    }
    lastMembers_ = std::move(now);
    handlers_.onMembersChanged();
}

} // namespace lacewing::gateway
