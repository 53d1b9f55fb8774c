#pragma once

#include <base/base.h>

#include <cstddef>
#include <span>
#include <vector>

namespace lacewing::gateway
{

/** A VM that may pass the desired state on to others. */
struct RelayCandidate {
    VmId vm;
    AvailabilityZoneId zone;
    double linkMbps = 0; ///< bandwidth of its link; 0: unknown
};

/** Number of VMs of its zone that a VM passes the desired state on to, while all views agree. */
constexpr std::size_t relayFanOut = 8;

/**
 * Returns the VMs from which a VM requests the desired state, in the order in which they are asked.
 *
 * Each zone is a tree, with the readers of the store and then the VMs with the largest links at the top. The top of a
 * zone without a reader asks the readers. Every VM with the same candidates gets the same trees. After the VMs above it
 * come the readers, as each VM above may be slow.
 *
 * @param readers the VMs that read the store
 * @return empty if `self` is a reader or not among the candidates
 */
std::vector<VmId> relayPath(const VmId &self,
                            std::span<const RelayCandidate> candidates,
                            std::span<const VmId> readers);

} // namespace lacewing::gateway
