#include "state_relay.h"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway;

namespace
{

struct FleetCase {
    char name[32];
    std::size_t zones;
    std::size_t vmsPerZone;
    std::size_t maxHops; ///< from a reader to any VM
};

/** With eight VMs below each, a zone of 53 VMs has three levels, and its top is one hop from a reader. */
FleetCase fleetCases[] = {
    { "one vm", 1, 1, 0 },      { "standard site", 3, 3, 2 },
    { "grown site", 4, 18, 3 }, { "size to design for", 7, 53, 3 },
    { "one zone", 1, 370, 4 },  { "many zones", 40, 2, 2 },
};

struct Fleet {
    explicit Fleet(const FleetCase &test)
    {
        constexpr double links[] = { 10, 200, 50, 10 };
        for (std::size_t zone = 0; zone < test.zones; ++zone) {
            for (std::size_t vm = 0; vm < test.vmsPerZone; ++vm) {
                const auto name = "vm-" + std::to_string(zone) + "-" + std::to_string(vm);
                candidates.push_back(
                    { VmId(name), AvailabilityZoneId("z" + std::to_string(zone)), links[vm % std::size(links)] });
            }
        }
        for (std::size_t reader = 0; reader < std::min<std::size_t>(3, candidates.size()); ++reader) {
            readers.push_back(candidates[reader * (candidates.size() / 3 + (candidates.size() < 3 ? 1 : 0))].vm);
        }
    }

    bool isReader(const VmId &vm) const
    {
        return std::find(readers.begin(), readers.end(), vm) != readers.end();
    }

    std::vector<RelayCandidate> candidates;
    std::vector<VmId> readers;
};

} // namespace

ParameterizedTestParameters(stateRelay, treesAreShallowAndTheirFanOutIsBounded)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

ParameterizedTest(FleetCase *test, stateRelay, treesAreShallowAndTheirFanOutIsBounded)
{
    const Fleet fleet(*test);
    std::map<VmId, VmId> parents;
    std::map<VmId, std::size_t> children;
    for (const auto &candidate : fleet.candidates) {
        const auto path = relayPath(candidate.vm, fleet.candidates, fleet.readers);
        cr_assert_eq(path.empty(), fleet.isReader(candidate.vm), "%s: %s", test->name, candidate.vm.text().c_str());
        if (!path.empty()) {
            parents[candidate.vm] = path.front();
            ++children[path.front()];
            for (const auto &reader : fleet.readers) {
                cr_assert_eq(std::count(path.begin(), path.end(), reader), 1, "%s: a reader is missing", test->name);
            }
        }
    }
    const std::size_t zoneTops = (test->zones + fleet.readers.size() - 1) / fleet.readers.size();
    for (const auto &[vm, count] : children) {
        // The tops of zones without a reader are spread over the readers by hashing, so not evenly.
        const std::size_t limit = relayFanOut + (fleet.isReader(vm) ? 2 * zoneTops + 2 : 0);
        cr_expect_leq(count, limit, "%s: %zu VMs below %s", test->name, count, vm.text().c_str());
    }
    for (const auto &candidate : fleet.candidates) {
        std::size_t hops = 0;
        for (auto at = candidate.vm; !fleet.isReader(at); at = parents.at(at)) {
            cr_assert_leq(++hops, test->maxHops, "%s: %s", test->name, candidate.vm.text().c_str());
        }
    }
}

/** VMs with large links are above those with small ones, and the state crosses to a zone once. */
Test(stateRelay, smallLinksPassNothingOnWhereLargeOnesSuffice)
{
    const Fleet fleet(fleetCases[2]);
    std::size_t crossings = 0;
    for (const auto &candidate : fleet.candidates) {
        const auto path = relayPath(candidate.vm, fleet.candidates, fleet.readers);
        if (path.empty()) {
            continue;
        }
        const auto source = std::find_if(fleet.candidates.begin(), fleet.candidates.end(), [&](const auto &other) {
            return other.vm == path.front();
        });
        crossings += source->zone == candidate.zone ? 0 : 1;
        cr_assert(source->linkMbps > 10 || fleet.isReader(source->vm), "a small link passes the state on");
    }
    cr_assert_leq(crossings, 4U);
}

Test(stateRelay, doesNotDependOnTheOrderOfCandidates)
{
    Fleet fleet(fleetCases[3]);
    const auto self = fleet.candidates[200].vm;
    const auto path = relayPath(self, fleet.candidates, fleet.readers);
    std::reverse(fleet.candidates.begin(), fleet.candidates.end());
    cr_assert(path == relayPath(self, fleet.candidates, fleet.readers));
    cr_assert(relayPath(VmId("unknown"), fleet.candidates, fleet.readers).empty());
}
