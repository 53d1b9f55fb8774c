#include "fleet_task.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway;

namespace
{

struct SelectionCase {
    char name[32];
    std::size_t largeLinks; ///< VMs with 200 Mbit/s
    std::size_t smallLinks; ///< VMs with 10 Mbit/s
    std::size_t unknownLinks;
    std::size_t expectedLarge; ///< of the three selected
    std::size_t expectedCount;
};

SelectionCase selectionCases[] = {
    { "large links", 8, 62, 0, 3, 3 },       { "equal links", 0, 7, 0, 0, 3 },
    { "few large links", 2, 62, 0, 2, 3 },   { "unknown links", 0, 0, 7, 0, 3 },
    { "some unknown links", 3, 0, 5, 3, 3 }, { "fewer VMs than needed", 1, 1, 0, 1, 2 },
};

} // namespace

ParameterizedTestParameters(fleetTask, goesToVmsWithLargeLinks)
{
    return cr_make_param_array(SelectionCase, selectionCases, std::size(selectionCases));
}

ParameterizedTest(SelectionCase *test, fleetTask, goesToVmsWithLargeLinks)
{
    std::vector<TaskCandidate> candidates;
    const auto add = [&](const char *prefix, std::size_t count, double linkMbps) {
        for (std::size_t vm = 0; vm < count; ++vm) {
            candidates.push_back({ VmId(prefix + std::to_string(vm)), linkMbps });
        }
    };
    add("small-", test->smallLinks, 10);
    add("large-", test->largeLinks, 200);
    add("unknown-", test->unknownLinks, 0);
    auto selected = selectForTask("store", candidates, 3);
    cr_assert_eq(selected.size(), test->expectedCount, "%s", test->name);
    const auto large =
        std::count_if(selected.begin(), selected.end(), [](const VmId &vm) { return vm.text().starts_with("large-"); });
    cr_assert_eq(std::size_t(large), test->expectedLarge, "%s", test->name);
    std::reverse(candidates.begin(), candidates.end());
    auto again = selectForTask("store", candidates, 3);
    std::sort(selected.begin(), selected.end());
    std::sort(again.begin(), again.end());
    cr_assert(selected == again, "%s: depends on the order of the candidates", test->name);
}
