#pragma once

#include <ledger/ledger.h>

namespace lacewing::ledger
{

/** Which VM writes the claims of each partition in each zone, by rendezvous hashing over the zone's live VMs. */
class ClaimRoutes
{
public:
    explicit ClaimRoutes(const Self &self);

    void setMembers(const std::vector<Member> &members);
    /** The writers to ask for a partition: the own zone's first, then one of each other zone; never empty. */
    const std::vector<VmId> &writers(std::uint32_t partition) const
    {
        return writers_[partition];
    }
    /** Whether this VM is the own zone's writer of a partition, or the next to become it. */
    bool isCandidate(std::uint32_t partition) const
    {
        return isCandidate_[partition];
    }
    std::size_t zones() const noexcept
    {
        return zones_;
    }

private:
    void setRoute(std::uint32_t partition, const std::map<AvailabilityZoneId, std::vector<std::string>> &vmsByZone);

    Self self_;
    std::size_t zones_ = 1;
    std::vector<std::vector<VmId>> writers_;
    std::vector<bool> isCandidate_;
};

} // namespace lacewing::ledger
