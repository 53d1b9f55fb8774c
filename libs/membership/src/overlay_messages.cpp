#include "overlay_timing.h"

#include <membership/membership.h>

#include <algorithm>

/** The part of Overlay that composes and handles messages. */
namespace lacewing::membership
{

std::vector<OutgoingMessage> Overlay::tick(Time now)
{
    skipPause(now);
    ++round_;
    updateLive(now);
    updatePlaces(now);
    updateOwnView(now);
    std::erase_if(floods_, [&](const auto &flood) { return flood.expiresAt <= now; });
    for (auto &below : below_) {
        std::erase_if(below, [&](const auto &item) { return now - item.second >= promptTimeout; });
    }
    std::erase_if(edges_, [&](const auto &item) {
        const auto &[vm, edge] = item;
        const bool isHeard = edge.lastReceivedAt && now - *edge.lastReceivedAt < neighbourTimeout;
        return !targets_.contains(vm) && !(isHeard && edge.isChosenByOther);
    });
    for (const auto &vm : targets_) {
        edges_.try_emplace(vm);
    }
    for (auto &[vm, zones] : directory_.findLacking(now)) {
        const auto edge = edges_.find(vm);
        if (edge != edges_.end()) {
            edge->second.lackedZones = std::move(zones);
        }
    }
    return sendAll(now, true);
}

std::vector<OutgoingMessage> Overlay::flush(Time now)
{
    return sendAll(now, false);
}

std::vector<OutgoingMessage> Overlay::sendAll(Time now, bool isRound)
{
    std::vector<OutgoingMessage> messages;
    isUrgent_ = false;
    for (auto &[vm, edge] : edges_) {
        OverlayMessage message = compose(vm, edge, now);
        if (isRound ? !isDue(vm, edge, message, now) : !isUrgentFor(vm, message)) {
            continue;
        }
        edge.sentChange = directory_.lastChange();
        edge.sentFlood = lastFlood_;
        edge.sentStatus = status_;
        edge.lastSentAt = now;
        edge.wantedZones.clear();
        edge.lackedZones.clear();
        messages.push_back({ vm, std::move(message) });
    }
    return messages;
}

bool Overlay::hasNews(const OverlayMessage &message)
{
    return !message.records.empty() || !message.lists.empty() || !message.floods.empty();
}

/** Returns whether what all send in every second round is due now. */
bool Overlay::isHalfRound() const noexcept
{
    return (round_ + hashBytes(self_.text())) % slowRounds == 0;
}

/** Returns whether a message is due in a round. */
bool Overlay::isDue(const VmId &to, const Edge &edge, const OverlayMessage &message, Time now) const
{
    const bool isSilent = !edge.lastSentAt || now - *edge.lastSentAt >= keepAliveInterval;
    if (hasNews(message) || message.status || !message.wantedZones.empty() || isSilent) {
        return true;
    }
    if (directionOf(to) != Direction::Up) {
        return isRoot() && isHalfRound();
    }
    return isPrompt_ || isHalfRound() || hasPromptVm(message);
}

/** Returns whether a message passes on the heartbeat of a VM on which others depend. */
bool Overlay::hasPromptVm(const OverlayMessage &message) const
{
    return std::any_of(message.heard.begin(), message.heard.end(), [&](const auto &heard) {
        return std::any_of(heard.begin(), heard.end(), [&](std::uint64_t vm) {
            const auto found = idsByHash_.find(vm);
            return found != idsByHash_.end() && isPromptVm(found->second);
        });
    });
}

bool Overlay::isPromptVm(const VmId &vm) const
{
    const auto found = directory_.records().find(vm);
    return found != directory_.records().end() && found->second.record.isPrompt;
}

/** Returns whether a message should not wait for the next round. */
bool Overlay::isUrgentFor(const VmId &to, const OverlayMessage &message) const
{
    // A view goes down the tree at once; what it says is soon out of date.
    return hasNews(message) || hasPromptVm(message)
        || (!message.views.empty() && !isRoot() && directionOf(to) == Direction::Down);
}

OverlayMessage Overlay::compose(const VmId &to, Edge &edge, Time now)
{
    OverlayMessage message;
    for (std::size_t tree = 0; tree < treeCount; ++tree) {
        message.isParent[tree] = parents_[tree] == to;
        if (!message.isParent[tree]) {
            continue;
        }
        for (const auto &[vm, heardAt] : below_[tree]) {
            if (!edge.lastSentAt || heardAt >= *edge.lastSentAt) {
                message.heard[tree].push_back(hashBytes(vm.text()));
            }
        }
    }
    message.isChosen = targets_.contains(to);
    const Direction direction = directionOf(to);
    const auto isMissing = [&](std::uint64_t change, const VmId &source, const AvailabilityZoneId &zone) {
        return (change > edge.sentChange && isPassedOn(source, to, edge, direction)) || edge.wantedZones.contains(zone);
    };
    // Mostly there is little to send, so the records are looked up by their changes.
    const bool sendsAll = edge.sentChange == 0 || !edge.wantedZones.empty();
    const auto &changes = directory_.recordsByChange();
    for (auto change = changes.upper_bound(sendsAll ? 0 : edge.sentChange); change != changes.end(); ++change) {
        const auto &known = directory_.records().at(change->second);
        const VmId &vm = known.record.vm;
        const bool isRelevant = !sendsAll || vm == self_ || live_.contains(vm);
        if (vm != to && isRelevant && isMissing(known.change, known.source, known.record.zone)) {
            message.records.push_back(known.record);
        }
    }
    // What the roots say goes across and down; a VM that another zone wrongly takes for a root passes it up.
    const auto isViewMissing = [&](std::uint64_t change, const VmId &source, const AvailabilityZoneId &zone) {
        const bool isForUp = !isRoot() && !source.isEmpty() && zoneOf(source) != zone_;
        return isMissing(change, source, zone)
            && (direction != Direction::Up || isForUp || edge.wantedZones.contains(zone));
    };
    for (const auto &[key, known] : directory_.views()) {
        if (key.second == to || !directory_.isFresh(known, now)) {
            continue;
        }
        if (isViewMissing(known.listChange, known.listSource, key.first)) {
            message.lists.push_back(known.list);
        }
        if (known.viewChange != 0 && isViewMissing(known.viewChange, known.viewSource, key.first)) {
            message.views.push_back(known.view);
        }
    }
    for (const auto &flood : floods_) {
        if (flood.number > edge.sentFlood && flood.item.origin != to && isPassedOn(flood.source, to, edge, direction)) {
            message.floods.push_back(flood.item);
        }
    }
    if (edge.sentStatus != status_) {
        message.status = status_;
    }
    message.wantedZones = edge.lackedZones;
    return message;
}

Overlay::Direction Overlay::directionOf(const VmId &to) const
{
    const bool isParent =
        std::any_of(parents_.begin(), parents_.end(), [&](const auto &parent) { return parent == to; });
    return isParent ? Direction::Up : zoneOf(to) != zone_ ? Direction::Across : Direction::Down;
}

AvailabilityZoneId Overlay::zoneOf(const VmId &vm) const
{
    const auto found = members_.find(vm);
    return found != members_.end() ? found->second.zone : AvailabilityZoneId();
}

bool Overlay::isFromParent(const VmId &source) const
{
    return !source.isEmpty() && directionOf(source) == Direction::Up;
}

/** Returns whether something comes from below this VM in a tree in which another VM is its parent. */
bool Overlay::isBelow(const VmId &source, const VmId &parent) const
{
    if (source.isEmpty() || zoneOf(source) != zone_) {
        return true; // what a VM of another zone sends to a VM that is no root has to go up to the roots
    }
    const auto edge = edges_.find(source);
    for (std::size_t tree = 0; tree < treeCount; ++tree) {
        if (parents_[tree] == parent && edge != edges_.end() && edge->second.isChild[tree]) {
            return true;
        }
    }
    return false;
}

/** Returns whether what one VM has sent is sent to another. Each tree brings everything to each VM once. */
bool Overlay::isPassedOn(const VmId &source, const VmId &to, const Edge &edge, Direction direction) const
{
    if (source == to) {
        return false;
    }
    switch (direction) {
    case Direction::Down:
        if (isFromParent(source)) {
            return (parents_[0] == source && edge.isChild[0]) || (parents_[1] == source && edge.isChild[1]);
        }
        return true;
    case Direction::Up:
        return !isFromParent(source) && isBelow(source, to);
    case Direction::Across:
        break;
    }
    return source.isEmpty() || (zoneOf(source) == zone_ && !isFromParent(source));
}

void Overlay::handleRecord(const VmId &from, const MemberRecord &record, Time now, OverlayEvents &events)
{
    if (record.vm == self_) {
        const bool isNewer = std::tie(record.epoch, record.revision) > std::tie(epoch_, revision_);
        if (isNewer) {
            raiseEpoch(record.epoch);
        }
        return;
    }
    memberOf(record.vm, record.zone, now);
    if (directory_.update(record, from)) {
        events.records.push_back(record);
        isUrgent_ = true; // the views that follow have a digest of it
    }
}

OverlayEvents Overlay::handle(const VmId &from, const OverlayMessage &message, Time now)
{
    OverlayEvents events;
    for (const auto &record : message.records) {
        handleRecord(from, record, now, events);
    }
    Member &sender = memberOf(from, {}, now);
    bool mayLiveChange = !live_.contains(from);
    sender.lastMessageAt = now;
    sender.avoidedUntil.reset();
    const auto [found, isNewNeighbour] = edges_.try_emplace(from);
    Edge &edge = found->second;
    isUrgent_ = isUrgent_ || isNewNeighbour;
    edge.lastReceivedAt = now;
    edge.isChosenByOther = message.isChosen;
    edge.isChild = message.isParent;
    for (std::size_t tree = 0; tree < treeCount; ++tree) {
        if (!message.isParent[tree]) {
            continue;
        }
        sender.heardAt = now;
        below_[tree][from] = now;
        for (const auto hash : message.heard[tree]) {
            const auto below = idsByHash_.find(hash);
            if (below != idsByHash_.end()) {
                members_.at(below->second).heardAt = now;
                below_[tree][below->second] = now;
            }
        }
        isUrgent_ = isUrgent_ || (parents_[tree] && (isPromptVm(from) || hasPromptVm(message)));
    }
    for (const auto &view : message.views) {
        if (view.root != self_) {
            mayLiveChange = mayLiveChange || !directory_.hasFreshView(view.zone, now);
            const bool isNewer = directory_.update(view, from, now);
            isUrgent_ = isUrgent_ || (isNewer && isFromParent(from));
        } else if (view.epoch > epoch_) {
            raiseEpoch(view.epoch);
        }
    }
    for (const auto &list : message.lists) {
        if (list.root != self_ && directory_.update(list, from, now)) {
            isUrgent_ = true;
            mayLiveChange = true;
        }
    }
    for (const auto &flood : message.floods) {
        if (flood.origin != self_ && floodFilter_.accept(flood.origin, flood.epoch, flood.sequence)) {
            events.messages.push_back(flood);
            enqueueFlood(flood, from, now);
        }
    }
    edge.wantedZones.insert(message.wantedZones.begin(), message.wantedZones.end());
    isUrgent_ = isUrgent_ || !message.wantedZones.empty();
    events.status = message.status;
    events.haveMembersChanged = mayLiveChange && updateLive(now);
    return events;
}

bool Overlay::isRoot() const
{
    return std::any_of(isRootOf_.begin(), isRootOf_.end(), [](bool isRootOfTree) { return isRootOfTree; });
}

std::vector<VmId> Overlay::neighbours() const
{
    std::vector<VmId> result;
    for (const auto &[vm, edge] : edges_) {
        result.push_back(vm);
    }
    return result;
}

} // namespace lacewing::membership
