#pragma once

#include "context.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::fleet
{

/** The members by id, and the lists that the other parts choose from. Alive and suspect members are "live". */
class Members
{
public:
    explicit Members(const Context &context);

    /** Takes over a member that the fact store has accepted. */
    void set(const Member &member, Time now);
    void remove(const VmId &vm);

    /** A member by id; null when unknown. */
    const Member *find(const VmId &vm) const;
    /** All members, this VM included, in order of their ids. */
    const std::map<VmId, Member> &all() const noexcept
    {
        return members_;
    }
    /** Live members of the own zone without this VM. */
    const std::vector<const Member *> &zonePeers() const;
    /** Live members of each other zone. */
    const std::map<AvailabilityZoneId, std::vector<const Member *>> &otherZones() const;
    /** The `count` live VMs of the own zone that a duty falls to, best first. */
    std::vector<VmId> choose(std::string_view duty, std::size_t count) const;
    /** Whether this VM is among those of choose(). */
    bool isChosen(std::string_view duty, std::size_t count) const;
    /** The one live VM of the whole fleet that a duty falls to; `diedSince` counts members as live that died later. */
    VmId chooseInFleet(std::string_view duty, std::optional<Time> diedSince) const;
    /** Whether a member died later than this. */
    bool diedSince(const VmId &vm, Time since) const;

private:
    void refresh() const;

    const Context &context_;
    std::map<VmId, Member> members_;
    std::map<VmId, Time> deaths_;
    mutable bool stale_ = true;
    mutable std::vector<const Member *> zonePeers_;
    mutable std::map<AvailabilityZoneId, std::vector<const Member *>> otherZones_;
    mutable std::vector<std::string> zoneNames_;
};

/** Whether a member takes part: alive or suspect. */
bool isLive(const Member &member) noexcept;

} // namespace lacewing::fleet
