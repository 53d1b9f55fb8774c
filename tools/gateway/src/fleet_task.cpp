#include "fleet_task.h"

#include <algorithm>
#include <string>

namespace lacewing::gateway
{
namespace
{

/** A link with less than this fraction of the largest bandwidth is small. */
constexpr double minRelativeBandwidth = 0.5;

} // namespace

std::vector<VmId> selectForTask(std::string_view task, std::span<const TaskCandidate> candidates, std::size_t count)
{
    double largest = 0;
    for (const auto &candidate : candidates) {
        largest = std::max(largest, candidate.linkMbps);
    }
    std::vector<VmId> selected;
    for (const bool takesSmall : { false, true }) {
        std::vector<std::string> names;
        for (const auto &candidate : candidates) {
            const bool isSmall = candidate.linkMbps < minRelativeBandwidth * largest;
            if (isSmall == takesSmall) {
                names.push_back(candidate.vm.text());
            }
        }
        for (const auto index : rendezvous(task, names, count - selected.size())) {
            selected.emplace_back(names[index]);
        }
    }
    return selected;
}

} // namespace lacewing::gateway
