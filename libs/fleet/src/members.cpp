#include "members.h"

#include <algorithm>

namespace lacewing::fleet
{

bool isLive(const Member &member) noexcept
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

Members::Members(const Context &context)
    : context_(context)
{
}

void Members::set(const Member &member, Time now)
{
    const auto found = members_.find(member.vm);
    const bool wasLive = found != members_.end() && isLive(found->second);
    if (wasLive && !isLive(member)) {
        deaths_[member.vm] = now;
    } else if (isLive(member)) {
        deaths_.erase(member.vm);
    }
    members_.insert_or_assign(member.vm, member);
    stale_ = true;
}

void Members::remove(const VmId &vm)
{
    members_.erase(vm);
    deaths_.erase(vm);
    stale_ = true;
}

const Member *Members::find(const VmId &vm) const
{
    const auto found = members_.find(vm);
    return found != members_.end() ? &found->second : nullptr;
}

void Members::refresh() const
{
    if (!stale_) {
        return;
    }
    stale_ = false;
    zonePeers_.clear();
    otherZones_.clear();
    zoneNames_.clear();
    for (const auto &[vm, member] : members_) {
        if (!isLive(member)) {
            continue;
        }
        if (member.zone != context_.settings.zone) {
            otherZones_[member.zone].push_back(&member);
            continue;
        }
        zoneNames_.push_back(vm.text());
        if (vm != context_.settings.vm) {
            zonePeers_.push_back(&member);
        }
    }
}

const std::vector<const Member *> &Members::zonePeers() const
{
    refresh();
    return zonePeers_;
}

const std::map<AvailabilityZoneId, std::vector<const Member *>> &Members::otherZones() const
{
    refresh();
    return otherZones_;
}

std::vector<VmId> Members::choose(std::string_view duty, std::size_t count) const
{
    refresh();
    std::vector<VmId> chosen;
    for (const std::size_t index : rendezvous(duty, zoneNames_, count)) {
        chosen.emplace_back(zoneNames_[index]);
    }
    return chosen;
}

bool Members::isChosen(std::string_view duty, std::size_t count) const
{
    const auto chosen = choose(duty, count);
    return std::find(chosen.begin(), chosen.end(), context_.settings.vm) != chosen.end();
}

bool Members::diedSince(const VmId &vm, Time since) const
{
    const auto death = deaths_.find(vm);
    return death != deaths_.end() && death->second > since;
}

VmId Members::chooseInFleet(std::string_view duty, std::optional<Time> since) const
{
    std::vector<std::string> names;
    for (const auto &[vm, member] : members_) {
        if (isLive(member) || (since && diedSince(vm, *since))) {
            names.push_back(vm.text());
        }
    }
    const auto best = rendezvous(duty, names, 1);
    return best.empty() ? VmId() : VmId(names[best.front()]);
}

} // namespace lacewing::fleet
