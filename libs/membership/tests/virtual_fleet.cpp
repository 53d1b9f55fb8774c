#include "virtual_fleet.h"

#include <algorithm>

namespace lacewing::membership_test
{
namespace
{

using membership::OutgoingMessage;
using membership::Overlay;
using membership::OverlayMessage;

constexpr Duration zoneDelay = std::chrono::milliseconds(1);
constexpr Duration crossZoneDelay = std::chrono::milliseconds(4);
constexpr Duration flushDelay = std::chrono::milliseconds(10);
/** HTTP/2 and TCP headers of a message. */
constexpr std::size_t framingBytes = 60;

} // namespace

VirtualFleet::VirtualFleet(FleetSize size, std::uint64_t seed)
    : size_(size)
    , random_(seed)
    , now_(std::chrono::hours(1))
    , nodes_(size.zones * size.vmsPerZone)
    , sent_(nodes_.size())
    , received_(nodes_.size())
{
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
        nodes_[vm].vm = VmId("front-zone" + std::to_string(zoneOf(vm)) + "-" + std::to_string(vm));
        nodes_[vm].zone = AvailabilityZoneId("zone" + std::to_string(zoneOf(vm)));
        indices_[nodes_[vm].vm] = vm;
    }
}

void VirtualFleet::start(std::size_t vm, const std::vector<std::size_t> &known)
{
    Node &node = nodes_[vm];
    node.overlay = std::make_unique<Overlay>(node.vm, node.zone, ++epoch_);
    node.isFrozen = false;
    node.isFlushScheduled = false;
    node.waiting.clear();
    node.floods.clear();
    ++node.lifetime;
    for (const auto other : known) {
        node.overlay->addMember(nodes_[other].vm, nodes_[other].zone, now_);
    }
    node.overlay->setContent("content of " + node.vm.text() + std::string(100, '.'), false);
    const auto offset = std::chrono::duration_cast<Duration>(Overlay::tickInterval * random_.unit());
    schedule(offset, { vm, vm, node.lifetime, std::nullopt, false });
}

void VirtualFleet::startAll()
{
    std::vector<std::size_t> all;
    for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
        all.push_back(vm);
    }
    for (const auto vm : all) {
        start(vm, all);
    }
}

void VirtualFleet::kill(std::size_t vm)
{
    nodes_[vm].overlay.reset();
    ++nodes_[vm].lifetime;
}

void VirtualFleet::freeze(std::size_t vm)
{
    nodes_[vm].isFrozen = true;
}

void VirtualFleet::wake(std::size_t vm)
{
    Node &node = nodes_[vm];
    node.isFrozen = false;
    if (std::exchange(node.isTickMissed, false)) {
        schedule(Duration::zero(), { vm, vm, node.lifetime, std::nullopt, false });
    }
    for (auto &[from, message] : std::exchange(node.waiting, {})) {
        schedule(Duration::zero(), { from, vm, node.lifetime, std::move(message), false });
    }
}

void VirtualFleet::cutZone(std::size_t zone, bool isCut)
{
    if (isCut) {
        cutZones_.insert(zone);
    } else {
        cutZones_.erase(zone);
    }
}

void VirtualFleet::setContent(std::size_t vm, const std::string &content, bool isPrompt)
{
    nodes_[vm].overlay->setContent(content, isPrompt);
}

void VirtualFleet::flood(std::size_t vm, const std::string &message)
{
    nodes_[vm].floods.insert(message);
    nodes_[vm].overlay->flood(message);
    flushIfUrgent(vm);
}

void VirtualFleet::schedule(Duration delay, Event event)
{
    events_.emplace(now_ + delay, std::move(event));
}

void VirtualFleet::runFor(Duration duration)
{
    runUntil([] { return false; }, duration);
}

Duration VirtualFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Time begin = now_;
    const Time end = now_ + limit;
    constexpr Duration checkInterval = std::chrono::milliseconds(20);
    while (now_ < end) {
        if (condition()) {
            return now_ - begin;
        }
        const Time until = std::min(now_ + checkInterval, end);
        while (!events_.empty() && events_.begin()->first <= until) {
            auto item = events_.extract(events_.begin());
            now_ = item.key();
            dispatch(item.mapped());
        }
        now_ = until;
    }
    return limit;
}

void VirtualFleet::dispatch(const Event &event)
{
    Node &node = nodes_[event.to];
    if (!node.overlay || node.lifetime != event.lifetime) {
        return;
    }
    if (node.isFrozen) {
        if (event.message) {
            node.waiting.emplace_back(event.from, *event.message);
        } else {
            node.isTickMissed = node.isTickMissed || !event.isFlush;
            node.isFlushScheduled = node.isFlushScheduled && !event.isFlush;
        }
        return;
    }
    if (event.message) {
        deliver(event.from, node, *event.message);
    } else if (event.isFlush) {
        node.isFlushScheduled = false;
        send(event.to, node.overlay->flush(now_));
    } else {
        send(event.to, node.overlay->tick(now_));
        schedule(Overlay::tickInterval, { event.to, event.to, node.lifetime, std::nullopt, false });
    }
    flushIfUrgent(event.to);
}

void VirtualFleet::flushIfUrgent(std::size_t vm)
{
    if (nodes_[vm].overlay->isUrgent() && !std::exchange(nodes_[vm].isFlushScheduled, true)) {
        schedule(flushDelay, { vm, vm, nodes_[vm].lifetime, std::nullopt, true });
    }
}

void VirtualFleet::deliver(std::size_t from, Node &node, const OverlayMessage &message)
{
    for (const auto &flood : message.floods) {
        ++copies_[flood.message];
    }
    for (const auto &flood : node.overlay->handle(nodes_[from].vm, message, now_).messages) {
        node.floods.insert(flood.message);
    }
}

void VirtualFleet::send(std::size_t from, const std::vector<OutgoingMessage> &messages)
{
    for (const auto &[to, message] : messages) {
        const auto receiver = indexOf(to);
        const auto bytes = wire::encode(message).size() + framingBytes;
        ++sent_[from].messages;
        sent_[from].bytes += bytes;
        const bool isLost = !nodes_[receiver].overlay || !reaches(from, receiver) || random_.unit() < loss_;
        if (isLost) {
            continue;
        }
        ++received_[receiver].messages;
        received_[receiver].bytes += bytes;
        const Duration delay = zoneOf(from) == zoneOf(receiver) ? zoneDelay : crossZoneDelay;
        Time &last = lastArrivals_[{ from, receiver }];
        last = std::max(last, now_ + delay);
        schedule(last - now_, { from, receiver, nodes_[receiver].lifetime, message, false });
    }
}

bool VirtualFleet::isRunning(std::size_t vm) const
{
    return nodes_[vm].overlay && !nodes_[vm].isFrozen;
}

bool VirtualFleet::reaches(std::size_t a, std::size_t b) const
{
    return zoneOf(a) == zoneOf(b) || (!cutZones_.contains(zoneOf(a)) && !cutZones_.contains(zoneOf(b)));
}

bool VirtualFleet::agrees() const
{
    for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
        if (!isRunning(observer)) {
            continue;
        }
        const auto &live = nodes_[observer].overlay->live();
        std::size_t expected = 0;
        for (std::size_t vm = 0; vm < nodes_.size(); ++vm) {
            const bool isExpected = vm != observer && isRunning(vm) && reaches(observer, vm);
            expected += isExpected ? 1 : 0;
            if (isExpected && !live.contains(nodes_[vm].vm)) {
                return false;
            }
        }
        if (live.size() != expected) {
            return false;
        }
    }
    return true;
}

std::size_t VirtualFleet::believersIn(std::size_t vm) const
{
    std::size_t count = 0;
    for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
        count += observer != vm && isRunning(observer) && nodes_[observer].overlay->live().contains(nodes_[vm].vm);
    }
    return count;
}

std::size_t VirtualFleet::receiversOf(const std::string &message) const
{
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(), [&](const auto &node) { return node.overlay && node.floods.contains(message); }));
}

std::size_t VirtualFleet::copiesOf(const std::string &message) const
{
    const auto found = copies_.find(message);
    return found != copies_.end() ? found->second : 0;
}

std::string VirtualFleet::contentAt(std::size_t observer, std::size_t vm) const
{
    const auto &records = nodes_[observer].overlay->directory().records();
    const auto found = records.find(nodes_[vm].vm);
    return found != records.end() ? found->second.record.content : std::string();
}

void VirtualFleet::resetTraffic()
{
    sent_.assign(nodes_.size(), {});
    received_.assign(nodes_.size(), {});
}

} // namespace lacewing::membership_test
