#include "fleet_links.h"

#include <algorithm>

/** The part of FleetLinks that connects the overlay of a large fleet to the network. */
namespace lacewing::gateway
{
namespace
{

/** Fleets with fewer known VMs don't use the overlay. */
constexpr std::size_t minOverlayVms = 16;
/** In fleets with fewer known VMs each VM sends heartbeats to all, too: VMs may differ in how many they know. */
constexpr std::size_t maxDirectVms = 32;
/** VMs of which only the address is known and that get a heartbeat in one round. Few answers suffice to learn of all.
 */
constexpr std::size_t maxContactsPerRound = 8;
/** Time between two heartbeats to a VM that does not answer; it doubles each time. */
constexpr Duration minContactInterval = 2s;
constexpr int maxContactDoublings = 5;
/** Gathers what a VM hears at about the same time, and is passed on at once. */
constexpr Duration flushDelay = 10ms;

} // namespace

bool FleetLinks::isOverlayUsed() const noexcept
{
    return vms_.size() >= minOverlayVms;
}

/** Returns whether a VM gets heartbeats from this VM itself. */
bool FleetLinks::needsDirectHeartbeats(const PeerVm &vm) const noexcept
{
    return !isOverlayUsed() || (vm.usesOverlay() ? vms_.size() < maxDirectVms : vm.isIntroduced);
}

/** Sends heartbeats to some VMs of which only the address is known. Those that are live answer. */
void FleetLinks::introduceVms()
{
    if (!isOverlayUsed()) {
        return;
    }
    std::vector<PeerVm *> candidates;
    for (auto &[id, vm] : vms_) {
        const Duration interval = minContactInterval * (1 << std::min(vm.contactCount, maxContactDoublings));
        if (!vm.isIntroduced && (!vm.lastContactAt || context_.now() - *vm.lastContactAt >= interval)) {
            candidates.push_back(&vm);
        }
    }
    for (std::size_t count = 0; count < maxContactsPerRound && !candidates.empty(); ++count) {
        const auto index = static_cast<std::size_t>(random_.unit() * double(candidates.size()));
        PeerVm &vm = *candidates[index];
        candidates[index] = candidates.back();
        candidates.pop_back();
        vm.lastContactAt = context_.now();
        ++vm.contactCount;
        sendHeartbeat(vm);
    }
}

/** Sets what this VM tells by way of the overlay. */
void FleetLinks::updateOverlayContent()
{
    if (!isOverlayUsed()) {
        return;
    }
    Heartbeat content = localHeartbeat_;
    content.periodMs = 0;
    content.rejectedRequests.clear();
    overlay_.setStatus(wire::encode(content));
    content.rateLimits.clear();
    content.suspectsDigest = 0;
    if (!hasFleetWideRole()) {
        content.stateVersion = 0;
        content.stateDigest = 0;
        content.operatorEndOffset = 0;
        content.endpointsEndOffset = 0;
        content.evacuationsEndOffset = 0;
        content.evacuationsDigest = 0;
    }
    overlay_.setContent(wire::encode(content), hasFleetWideRole() || content.isLeaving);
    flushOverlayIfUrgent();
}

void FleetLinks::tickOverlay()
{
    updateOverlayContent();
    if (!isOverlayUsed()) {
        return;
    }
    if (!localHeartbeat_.rejectedRequests.empty()) {
        overlay_.flood(encodeMessage(MessageKind::Rejections, RejectionsMessage { localHeartbeat_.rejectedRequests }));
    }
    sendOverlayMessages(overlay_.tick(context_.now()));
    updateOverlayLiveness();
    logPlace();
}

void FleetLinks::updateOverlayLiveness()
{
    if (std::exchange(overlayRevision_, overlay_.liveRevision()) == overlay_.liveRevision()) {
        return;
    }
    for (auto &[id, vm] : vms_) {
        vm.isLiveInOverlay = overlay_.live().contains(id);
    }
}

void FleetLinks::sendOverlayMessages(const std::vector<membership::OutgoingMessage> &messages)
{
    for (const auto &[to, message] : messages) {
        send(to, encodeMessage(MessageKind::Overlay, message));
    }
}

void FleetLinks::flushOverlayIfUrgent()
{
    if (!isOverlayUsed() || !overlay_.isUrgent() || std::exchange(isFlushScheduled_, true)) {
        return;
    }
    context_.loop.timers().once(context_.now() + flushDelay, [this](Time now) {
        isFlushScheduled_ = false;
        sendOverlayMessages(overlay_.flush(now));
    });
}

void FleetLinks::handleOverlayMessage(const VmId &from, const membership::OverlayMessage &message)
{
    const auto events = overlay_.handle(from, message, context_.now());
    for (const auto &record : events.records) {
        handleRecord(record);
    }
    if (events.status) {
        if (const auto status = wire::decode<Heartbeat>(*events.status)) {
            PeerVm &vm = vms_[from];
            vm.heartbeat = status.value();
            handlers_.onHeartbeat(from, status.value());
        } else {
            context_.logger.warn("malformed status", { { "vm", from }, { "error", status.error().detail } });
        }
    }
    for (const auto &flood : events.messages) {
        handleMessage(flood.origin, flood.message);
    }
    flushOverlayIfUrgent();
    if (events.haveMembersChanged) {
        updateOverlayLiveness();
        updateMembers();
    }
}

/** Takes over what a VM tells all others. */
void FleetLinks::handleRecord(const membership::MemberRecord &record)
{
    const auto decoded = wire::decode<Heartbeat>(record.content);
    if (!decoded) {
        context_.logger.warn("malformed record of a vm", { { "vm", record.vm }, { "error", decoded.error().detail } });
        return;
    }
    const Heartbeat &told = decoded.value();
    updateAddress(record.vm, AvailabilityZoneId(told.zone), told.address);
    PeerVm &vm = vms_[record.vm];
    const Heartbeat previous = std::exchange(vm.heartbeat, told);
    const bool isNew = !std::exchange(vm.isIntroduced, true);
    const bool hasRole = told.isReadingStore || !told.loads.empty();
    if (!hasRole && previous.incarnation == told.incarnation) {
        // Only neighbours get these; they may have been received from the VM itself.
        vm.heartbeat.stateVersion = previous.stateVersion;
        vm.heartbeat.stateDigest = previous.stateDigest;
        vm.heartbeat.operatorEndOffset = previous.operatorEndOffset;
        vm.heartbeat.endpointsEndOffset = previous.endpointsEndOffset;
    }
    if (hasRole || previous.isReadingStore || !previous.loads.empty()) {
        handlers_.onRoleChanged(record.vm, vm.heartbeat);
    }
    if (isNew || previous.isLeaving != told.isLeaving) {
        vm.isLiveInOverlay = overlay_.live().contains(record.vm);
        updateMembers();
    }
    if (previous.unreachableServices != told.unreachableServices) {
        handlers_.onMembersChanged();
    }
}

/** Logs this VM's place in the overlay when it has changed. */
void FleetLinks::logPlace()
{
    std::string place;
    for (const auto &parent : overlay_.parents()) {
        place += (place.empty() ? "" : ",") + (parent ? parent->text() : "root");
    }
    if (place != lastPlace_) {
        lastPlace_ = place;
        context_.logger.state("overlay place changed",
                              { { "parents", place },
                                { "neighbours", overlay_.neighbours().size() },
                                { "live", overlay_.live().size() } });
    }
}

} // namespace lacewing::gateway
