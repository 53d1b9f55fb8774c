#include "overlay_timing.h"

#include <membership/membership.h>

#include <algorithm>

/** The part of Overlay that chooses this VM's place and decides who is live. */
namespace lacewing::membership
{

Overlay::Overlay(VmId self, AvailabilityZoneId zone, std::uint64_t epoch)
    : self_(std::move(self))
    , zone_(std::move(zone))
    , epoch_(epoch)
{
    publishRecord();
}

// ---------------------------------------------------------------------------------------------------------------------
// What this VM tells

void Overlay::setContent(std::string content, bool isPrompt)
{
    if (content != content_ || isPrompt != isPrompt_) {
        content_ = std::move(content);
        isPrompt_ = isPrompt;
        ++revision_;
        publishRecord();
        isUrgent_ = true;
    }
}

void Overlay::setStatus(std::string status)
{
    status_ = std::move(status);
}

void Overlay::publishRecord()
{
    directory_.update({ self_, zone_, epoch_, revision_, isPrompt_, content_ }, {});
}

/** Another VM knows something of this VM that looks newer: this VM has started with a clock that was set back. */
void Overlay::raiseEpoch(std::uint64_t known)
{
    epoch_ = std::max(epoch_, known) + 1;
    publishRecord();
}

void Overlay::flood(std::string message)
{
    FloodItem item { self_, epoch_, nextSequence_++, std::move(message) };
    floodFilter_.accept(self_, item.epoch, item.sequence);
    enqueueFlood(std::move(item), {}, lastTickAt_.value_or(Time()));
}

void Overlay::enqueueFlood(FloodItem item, const VmId &source, Time now)
{
    floods_.push_back({ std::move(item), ++lastFlood_, source, now + floodLifetime });
    isUrgent_ = true;
}

// ---------------------------------------------------------------------------------------------------------------------
// Places in the trees

Overlay::Member &Overlay::memberOf(const VmId &vm, const AvailabilityZoneId &zone, Time now)
{
    const auto [found, isNew] = members_.try_emplace(vm);
    Member &member = found->second;
    if (isNew) {
        member.addedAt = now;
        idsByHash_[hashBytes(vm.text())] = vm;
    }
    if (!zone.isEmpty()) {
        member.zone = zone;
    }
    return member;
}

void Overlay::addMember(const VmId &vm, const AvailabilityZoneId &zone, Time now)
{
    if (vm != self_) {
        memberOf(vm, zone, now);
    }
}

void Overlay::removeMember(const VmId &vm)
{
    members_.erase(vm);
    idsByHash_.erase(hashBytes(vm.text()));
    directory_.remove(vm);
    edges_.erase(vm);
    for (auto &below : below_) {
        below.erase(vm);
    }
    ++liveRevision_;
    live_.erase(vm);
    liveSignature_ = 0;
}

bool Overlay::isUsable(const VmId &vm, const Member &member, bool hasView, Time now) const
{
    if (member.avoidedUntil && now < *member.avoidedUntil) {
        return false;
    }
    const bool isHeard = member.lastMessageAt && now - *member.lastMessageAt < neighbourTimeout;
    return !hasView || isHeard || live_.contains(vm) || now - member.addedAt < introductionTime;
}

/** Returns the VMs of a zone that may take places in its trees. */
std::vector<VmId> Overlay::candidates(const AvailabilityZoneId &zone, Time now) const
{
    const bool hasView = directory_.hasFreshView(zone, now);
    std::vector<VmId> result;
    for (const auto &[vm, member] : members_) {
        if (member.zone == zone && isUsable(vm, member, hasView, now)) {
            result.push_back(vm);
        }
    }
    if (zone == zone_) {
        result.push_back(self_);
    }
    return result;
}

std::set<AvailabilityZoneId> Overlay::otherZones() const
{
    std::set<AvailabilityZoneId> zones;
    for (const auto &[vm, member] : members_) {
        if (member.zone != zone_ && !member.zone.isEmpty()) {
            zones.insert(member.zone);
        }
    }
    return zones;
}

void Overlay::updatePlaces(Time now)
{
    std::set<VmId> targets;
    const bool wasRoot = isRoot();
    if (auto own = candidates(zone_, now); own != treeCandidates_) {
        treeCandidates_ = std::move(own);
        const auto trees = makeTrees(treeCandidates_);
        for (std::size_t index = 0; index < treeCount; ++index) {
            parents_[index] = parentIn(trees[index], self_);
            isRootOf_[index] = !parents_[index];
        }
    }
    for (const auto &parent : parents_) {
        if (parent) {
            targets.insert(*parent);
        }
    }
    if (isRoot()) {
        for (const auto &zone : otherZones()) {
            const auto others = candidates(zone, now);
            if (others.empty()) {
                continue;
            }
            const auto otherTrees = makeTrees(others);
            for (std::size_t index = 0; index < treeCount; ++index) {
                if (isRootOf_[index]) {
                    targets.insert(otherTrees[index].root);
                }
            }
        }
    }
    updateTargets(targets, now);
    if (isRoot() && !wasRoot) {
        // Those who were live a moment ago have not had the time to send their heartbeats here.
        for (const auto &vm : directory_.live(now)) {
            const auto found = members_.find(vm);
            const bool isInZone = found != members_.end() && found->second.zone == zone_;
            if (isInZone && !(found->second.avoidedUntil && now < *found->second.avoidedUntil)) {
                found->second.heardAt = now;
            }
        }
    } else if (!isRoot() && wasRoot) {
        directory_.removeView(zone_, self_);
        ownList_.clear();
    }
}

void Overlay::updateTargets(const std::set<VmId> &targets, Time now)
{
    for (const auto &vm : targets) {
        Member &member = members_.at(vm);
        if (!targets_.contains(vm)) {
            member.chosenAt = now;
        }
        const Time since = std::max(member.chosenAt.value_or(now), member.lastMessageAt.value_or(Time::min()));
        if (now - since >= targetTimeout) {
            member.avoidedUntil = now + avoidanceTime;
            member.chosenAt = now;
        }
    }
    targets_ = targets;
}

// ---------------------------------------------------------------------------------------------------------------------
// Which VMs are live

void Overlay::updateOwnView(Time now)
{
    if (!isRoot()) {
        return;
    }
    std::vector<VmId> live { self_ };
    for (const auto &[vm, member] : members_) {
        if (member.zone != zone_ || !member.heardAt) {
            continue;
        }
        if (now - *member.heardAt < (isPromptVm(vm) ? promptTimeout : memberTimeout)) {
            live.push_back(vm);
        }
    }
    std::sort(live.begin(), live.end());
    if (live != ownList_ || ownListRevision_ == 0) {
        ownList_ = live;
        ++ownListRevision_;
        isUrgent_ = true;
    }
    const ZoneList list { zone_, self_, epoch_, ownListRevision_, ownList_ };
    directory_.update(list, {}, now);
    ownBeat_ += isHalfRound() || isUrgent_ ? 1 : 0;
    directory_.update({ zone_, self_, epoch_, ownBeat_, ownListRevision_, directory_.digestOf(list) }, {}, now);
}

/** @return whether another VM is live than before */
bool Overlay::updateLive(Time now)
{
    std::set<VmId> neighbours; // those that have sent something themselves just now
    for (const auto &[vm, edge] : edges_) {
        if (edge.lastReceivedAt && now - *edge.lastReceivedAt < promptTimeout) {
            neighbours.insert(vm);
        }
    }
    // Most rounds change nothing, and the set is large.
    const std::uint64_t signature = directory_.liveSignature(now);
    if (signature == liveSignature_ && neighbours == liveNeighbours_) {
        return false;
    }
    liveSignature_ = signature;
    auto live = directory_.live(now);
    live.insert(neighbours.begin(), neighbours.end());
    liveNeighbours_ = std::move(neighbours);
    live.erase(self_);
    if (live == live_) {
        return false;
    }
    live_ = std::move(live);
    ++liveRevision_;
    return true;
}

/** Moves all times forward if this VM could hear nothing for a while. */
void Overlay::skipPause(Time now)
{
    const Duration gap = lastTickAt_ ? now - *lastTickAt_ : Duration::zero();
    lastTickAt_ = now;
    if (gap <= maxRoundGap) {
        return;
    }
    const Duration pause = gap - tickInterval;
    directory_.shift(pause);
    const auto shift = [&](std::optional<Time> &time) {
        if (time) {
            *time += pause;
        }
    };
    for (auto &[vm, member] : members_) {
        shift(member.heardAt);
        shift(member.lastMessageAt);
        shift(member.chosenAt);
    }
    for (auto &[vm, edge] : edges_) {
        shift(edge.lastReceivedAt);
    }
}

} // namespace lacewing::membership
