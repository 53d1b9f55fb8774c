#include "claim_routes.h"

#include <algorithm>

namespace lacewing::ledger
{
namespace
{

constexpr std::size_t candidatesPerZone = 2;

} // namespace

ClaimRoutes::ClaimRoutes(const Self &self)
    : self_(self)
    , writers_(claimPartitions)
    , isCandidate_(claimPartitions, false)
{
    setMembers({});
}

void ClaimRoutes::setMembers(const std::vector<Member> &members)
{
    std::map<AvailabilityZoneId, std::vector<std::string>> vmsByZone;
    vmsByZone[self_.zone].push_back(self_.vm.text());
    for (const Member &member : members) {
        if (member.vm != self_.vm) {
            vmsByZone[member.zone].push_back(member.vm.text());
        }
    }
    zones_ = vmsByZone.size();
    for (std::uint32_t partition = 0; partition < claimPartitions; ++partition) {
        setRoute(partition, vmsByZone);
    }
}

void ClaimRoutes::setRoute(std::uint32_t partition,
                           const std::map<AvailabilityZoneId, std::vector<std::string>> &vmsByZone)
{
    const std::string key = claimStream(partition).text();
    std::vector<std::string> others;
    for (const auto &[zone, vms] : vmsByZone) {
        if (zone != self_.zone) {
            others.push_back(vms[rendezvous(key, vms, 1).front()]);
        }
    }
    const std::vector<std::string> &own = vmsByZone.at(self_.zone);
    const auto candidates = rendezvous(key, own, candidatesPerZone);
    const auto isSelf = [&](std::size_t index) { return own[index] == self_.vm.text(); };
    isCandidate_[partition] = std::ranges::any_of(candidates, isSelf);

    std::vector<VmId> &writers = writers_[partition];
    writers.assign(1, VmId(own[candidates.front()]));
    for (const std::size_t index : rendezvous(key + self_.zone.text(), others, others.size())) {
        writers.emplace_back(others[index]);
    }
}

} // namespace lacewing::ledger
