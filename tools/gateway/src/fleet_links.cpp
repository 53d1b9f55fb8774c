#include "fleet_links.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Silence of a link with calls after which it is probed, and the wait for the answer. */
constexpr Duration pingAfter = 400ms;
constexpr Duration pingDeadline = 400ms;
constexpr Duration connectTime = 500ms;
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
        .pingAfter(pingAfter)
        .pingDeadline(pingDeadline)
        .connectTime(connectTime);
    return options;
}

} // namespace

FleetLinks::FleetLinks(Context &context, FleetHandlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , network_(context.loop,
               makeOptions(context),
               { [this](const peer::PeerIdentity &from, const std::string &message) { takeMessage(from, message); },
                 [this](const peer::PeerIdentity &, peer::PeerCallWriter answer, const std::string &request) {
                     takeCall(std::move(answer), request);
                 } })
{
    own_.vm = context.settings.vm.text();
    own_.zone = context.settings.zone.text();
    own_.address = address();
    own_.incarnation = context.incarnation.value();
    own_.processorShare = context.settings.cpuShare;
}

Result<void> FleetLinks::listen()
{
    auto listening = network_.listen({ context_.settings.ip, context_.settings.firstInternalPort });
    if (listening) {
        context_.loop.timers().every(
            context_.now() + BeaconPlan::roundTime, BeaconPlan::roundTime, [this](Time) { sendBeacons(); });
    }
    return listening;
}

std::string FleetLinks::address() const
{
    return net::toText({ context_.settings.ip, context_.settings.firstInternalPort });
}

void FleetLinks::know(const VmId &vm, const AvailabilityZoneId &zone, const std::string &address)
{
    if (vm == context_.settings.vm) {
        return;
    }
    const bool isNew = !vms_.contains(vm);
    KnownVm &known = vms_[vm];
    const bool hasMoved = known.address != address;
    known.zone = zone;
    known.address = address;
    if (hasMoved) {
        known.heardAt.reset();
        sendBeacon(known);
    }
    if (isNew) {
        context_.logger.state("vm known", { { "vm", vm }, { "zone", zone }, { "address", address } });
    }
}

void FleetLinks::forget(const VmId &vm)
{
    vms_.erase(vm);
    checkMembers();
}

void FleetLinks::setView(std::uint64_t stateVersion,
                         std::uint64_t operatorEnd,
                         std::uint64_t endpointsEnd,
                         bool followsStore)
{
    own_.stateVersion = stateVersion;
    own_.operatorEnd = operatorEnd;
    own_.followsStore = followsStore;
    own_.endpointsEnd = endpointsEnd;
}

void FleetLinks::leave()
{
    own_.leaving = true;
    handlers_.fill(own_);
    for (const auto &[id, vm] : vms_) {
        sendBeacon(vm);
    }
    checkMembers();
}

std::vector<VmId> FleetLinks::members(const std::optional<AvailabilityZoneId> &zone) const
{
    std::vector<VmId> result;
    if (!own_.leaving && (!zone || *zone == context_.settings.zone)) {
        result.push_back(context_.settings.vm);
    }
    for (const auto &[id, vm] : vms_) {
        if (isLive(vm) && !vm.beacon.leaving && (!zone || vm.zone == *zone)) {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::size_t FleetLinks::liveCount() const
{
    return 1 + static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [&](const auto &item) {
               return isLive(item.second);
           }));
}

bool FleetLinks::isZoneHeard(const AvailabilityZoneId &zone) const
{
    if (zone == context_.settings.zone) {
        return true;
    }
    bool anyKnown = false;
    for (const auto &[id, vm] : vms_) {
        if (vm.zone != zone) {
            continue;
        }
        anyKnown = true;
        const Duration silence = BeaconPlan::zoneSilenceLimit(std::chrono::milliseconds(vm.beacon.periodMs));
        if (vm.heardAt && context_.now() - *vm.heardAt < silence) {
            return true;
        }
    }
    return !anyKnown;
}

const KnownVm *FleetLinks::find(const VmId &vm) const
{
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

bool FleetLinks::isHeard(const VmId &vm) const
{
    const auto *known = find(vm);
    return known != nullptr && isLive(*known);
}

double FleetLinks::processorShare(const VmId &vm) const
{
    if (vm == context_.settings.vm) {
        return context_.settings.cpuShare;
    }
    const auto *known = find(vm);
    return known != nullptr && known->heardAt ? known->beacon.processorShare : 0;
}

void FleetLinks::send(const VmId &vm, std::string message)
{
    if (const auto *known = find(vm)) {
        network_.send(known->address, std::move(message));
    }
}

void FleetLinks::sendToAll(const std::string &message)
{
    for (const auto &[id, vm] : vms_) {
        if (isLive(vm)) {
            network_.send(vm.address, message);
        }
    }
}

peer::PeerCallHandle FleetLinks::call(const VmId &vm,
                                      std::string request,
                                      peer::CallLimits limits,
                                      peer::CallHandlers handlers)
{
    const auto *known = find(vm);
    return network_.call(
        known != nullptr ? known->address : std::string(), std::move(request), limits, std::move(handlers));
}

void FleetLinks::cancel(peer::PeerCallHandle handle)
{
    network_.cancel(handle);
}

bool FleetLinks::isLive(const KnownVm &vm) const
{
    const Duration silence = BeaconPlan::silenceLimit(std::chrono::milliseconds(vm.beacon.periodMs));
    return vm.heardAt && context_.now() - *vm.heardAt < silence;
}

BeaconLink FleetLinks::linkTo(const KnownVm &vm) const
{
    return { vm.zone == context_.settings.zone, isLive(vm), hasDuties(), vms_.size() };
}

/** Whether VMs of other zones have to notice at once when this VM is gone. */
bool FleetLinks::hasDuties() const noexcept
{
    return own_.followsStore || !own_.loads.empty();
}

void FleetLinks::sendBeacons()
{
    handlers_.fill(own_);
    ++round_;
    // Whoever waits for the next beacon as it was told must hear when that changes.
    const bool isNews = std::exchange(hadDuties_, hasDuties()) != hasDuties();
    for (const auto &[id, vm] : vms_) {
        if (isNews || BeaconPlan::isTurn(linkTo(vm), round_, hashBytes(id.text()))) {
            sendBeacon(vm);
        }
    }
    checkMembers();
}

void FleetLinks::sendBeacon(const KnownVm &vm)
{
    own_.periodMs = static_cast<std::uint32_t>(toMilliseconds(BeaconPlan::period(linkTo(vm))));
    network_.send(vm.address, envelope(MessageKind::Beacon, own_));
}

void FleetLinks::takeMessage(const peer::PeerIdentity &from, const std::string &message)
{
    const auto body = std::string_view(message).substr(message.empty() ? 0 : 1);
    const auto kind = message.empty() ? MessageKind() : MessageKind(message.front());
    const auto deliver = [&]<typename Message>(const std::function<void(const Message &)> &handler) {
        if (const auto decoded = wire::decode<Message>(body)) {
            handler(decoded.value());
        } else {
            context_.logger.warn("message not understood", { { "vm", from.vm }, { "why", decoded.error().detail } });
        }
    };
    switch (kind) {
    case MessageKind::Beacon:
        deliver(std::function<void(const Beacon &)>([this](const Beacon &beacon) { takeBeacon(beacon); }));
        break;
    case MessageKind::Release:
        deliver(handlers_.onRelease);
        break;
    case MessageKind::Suspect:
        deliver(handlers_.onSuspect);
        break;
    case MessageKind::RecordsPush:
        deliver(std::function<void(const RecordsPush &)>(
            [&](const RecordsPush &push) { handlers_.onRecordsPushed(from.vm, push); }));
        break;
    case MessageKind::Pieces:
    case MessageKind::Records:
        break;
    }
}

void FleetLinks::takeCall(peer::PeerCallWriter answer, const std::string &request)
{
    const auto body = std::string_view(request).substr(request.empty() ? 0 : 1);
    const auto kind = request.empty() ? MessageKind() : MessageKind(request.front());
    if (kind == MessageKind::Pieces) {
        if (auto decoded = wire::decode<PiecesRequest>(body)) {
            handlers_.onPieces(std::move(decoded.value()), std::move(answer));
            return;
        }
    } else if (kind == MessageKind::Records) {
        if (const auto decoded = wire::decode<RecordsRequest>(body)) {
            handlers_.onRecords(decoded.value(), std::move(answer));
            return;
        }
    }
    answer.fail({ ErrorKind::Malformed, "not a request" });
}

void FleetLinks::takeBeacon(const Beacon &beacon)
{
    const VmId id(beacon.vm);
    if (id == context_.settings.vm || id.isEmpty()) {
        return;
    }
    know(id, AvailabilityZoneId(beacon.zone), beacon.address);
    KnownVm &vm = vms_[id];
    const bool wasLive = isLive(vm);
    const bool changed = !wasLive || vm.beacon.leaving != beacon.leaving;
    vm.heardAt = context_.now();
    vm.beacon = beacon;
    if (!wasLive) {
        context_.logger.state("vm heard", { { "vm", id }, { "zone", vm.zone } });
        sendBeacon(vm);
    }
    if (changed) {
        checkMembers();
    }
    handlers_.onBeacon(id, beacon);
}

void FleetLinks::checkMembers()
{
    auto now = members(std::nullopt);
    if (now == lastMembers_) {
        return;
    }
    for (const auto &id : lastMembers_) {
        if (std::find(now.begin(), now.end(), id) == now.end()) {
            const auto *vm = find(id);
            const bool leaving = vm != nullptr && vm->beacon.leaving;
            context_.logger.state(leaving ? "vm leaving" : "vm silent", { { "vm", id } });
        }
    }
    lastMembers_ = std::move(now);
    handlers_.onMembersChanged();
}

} // namespace lacewing::gateway
