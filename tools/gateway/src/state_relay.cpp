#include "state_relay.h"

#include <algorithm>
#include <tuple>

namespace lacewing::gateway
{
namespace
{

bool contains(std::span<const VmId> vms, const VmId &vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

std::vector<VmId> relayPath(const VmId &self, std::span<const RelayCandidate> candidates, std::span<const VmId> readers)
{
    const auto own =
        std::find_if(candidates.begin(), candidates.end(), [&](const auto &candidate) { return candidate.vm == self; });
    if (own == candidates.end() || contains(readers, self)) {
        return {};
    }
    std::vector<RelayCandidate> zone;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(zone), [&](const auto &candidate) {
        return candidate.zone == own->zone;
    });
    std::sort(zone.begin(), zone.end(), [&](const auto &a, const auto &b) {
        const auto key = [&](const RelayCandidate &candidate) {
            return std::tuple(!contains(readers, candidate.vm), -candidate.linkMbps, hashBytes(candidate.vm.text()));
        };
        return key(a) < key(b);
    });
    const auto found =
        std::find_if(zone.begin(), zone.end(), [&](const auto &candidate) { return candidate.vm == self; });
    std::vector<VmId> path;
    for (auto position = static_cast<std::size_t>(found - zone.begin()); position > 0;) {
        position = (position - 1) / relayFanOut;
        path.push_back(zone[position].vm);
    }
    std::vector<std::string> names;
    for (const auto &reader : readers) {
        names.push_back(reader.text());
    }
    // Spreads the zones, and within a zone the VMs that got nothing from those above them, over the readers.
    const std::string &key = path.empty() ? own->zone.text() : self.text();
    for (const auto index : rendezvous(key, names, names.size())) {
        if (!contains(path, readers[index])) {
            path.push_back(readers[index]);
        }
    }
    return path;
}

} // namespace lacewing::gateway
