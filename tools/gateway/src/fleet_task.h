#pragma once

#include <base/base.h>

#include <span>
#include <string_view>
#include <vector>

namespace lacewing::gateway
{

/** A VM that may take on a task for the whole fleet. */
struct TaskCandidate {
    VmId vm;
    double linkMbps = 0; ///< bandwidth of its link; 0: unknown
};

/**
 * Selects the VMs that take on a task for the whole fleet, such as reading the store and passing on what it holds.
 *
 * Such a task sends to all VMs, so VMs with small links are selected only if there are not enough others. Every VM with
 * the same candidates selects the same ones.
 */
std::vector<VmId> selectForTask(std::string_view task, std::span<const TaskCandidate> candidates, std::size_t count);

} // namespace lacewing::gateway
