#include <reachability/reachability.h>

#include <algorithm>
#include <map>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::reachability;

namespace
{

struct SpreadCase {
    char name[40];
    std::size_t cutOff; ///< VMs whose requests others send
    std::size_t ownZone; ///< VMs of their zone that reach the endpoints
    std::size_t otherZones;
    double maxRelativeLoad; ///< of the busiest VM, relative to the mean of those that may be chosen
};

SpreadCase spreadCases[] = {
    { "8 vms, five cut off", 5, 1, 2, 1 },
    { "a zone of 53 cut off", 53, 0, 317, 3 },
    { "half of a zone cut off", 27, 26, 317, 2 },
    { "all but one of a zone cut off", 52, 1, 317, 1 },
};

} // namespace

/** VMs that are cut off together choose by themselves, and must not all choose the same ones. */
ParameterizedTestParameters(relaySelection, loadIsSpread)
{
    return cr_make_param_array(SpreadCase, spreadCases, std::size(spreadCases));
}

ParameterizedTest(SpreadCase *test, relaySelection, loadIsSpread)
{
    constexpr std::size_t requestsPerVm = 60;
    std::map<VmId, std::size_t> total;
    std::vector<Random> randoms;
    std::vector<std::vector<RelayCandidate>> candidates(test->cutOff);
    for (std::size_t vm = 0; vm < test->cutOff; ++vm) {
        randoms.emplace_back(vm + 1);
        for (std::size_t index = 0; index < test->ownZone + test->otherZones; ++index) {
            candidates[vm].push_back({ VmId("vm-" + std::to_string(index)), index < test->ownZone, 0.25, 0 });
        }
    }
    for (std::size_t request = 0; request < requestsPerVm; ++request) {
        for (std::size_t vm = 0; vm < test->cutOff; ++vm) {
            const auto *chosen = selectRelay(candidates[vm], randoms[vm]);
            cr_assert_not_null(chosen);
            cr_assert_eq(chosen->isOwnZone, test->ownZone > 0, "%s", test->name);
            ++total[chosen->vm];
            ++candidates[vm][std::size_t(chosen - candidates[vm].data())].inFlight;
        }
    }
    std::size_t most = 0;
    for (const auto &[vm, count] : total) {
        most = std::max(most, count);
    }
    const double mean =
        double(test->cutOff * requestsPerVm) / double(test->ownZone > 0 ? test->ownZone : test->otherZones);
    cr_assert_leq(double(most), test->maxRelativeLoad * mean, "%s: %zu, mean %g", test->name, most, mean);
}

Test(relaySelection, smallVmsAreChosenLessOften)
{
    Random random(5);
    std::vector<RelayCandidate> candidates { { VmId("small"), true, 0.12, 0 }, { VmId("large"), true, 0.5, 0 } };
    for (int request = 0; request < 1'000; ++request) {
        const auto *chosen = selectRelay(candidates, random);
        ++candidates[std::size_t(chosen - candidates.data())].inFlight;
    }
    cr_assert_lt(2 * candidates[0].inFlight, candidates[1].inFlight);
    cr_assert_null(selectRelay({}, random));
}

struct LimitCase {
    double cpuShare;
    double linkMbps;
    std::size_t limit;
};
LimitCase limitCases[] = {
    { 0.12, 10, 38 }, { 0.25, 1000, 80 }, { 0.5, 10, 40 }, { 0.5, 0, 160 }, { 0.001, 10, 8 }, { 64, 10'000, 512 },
};

ParameterizedTestParameters(relaySelection, limitFollowsTheSizeOfTheVm)
{
    return cr_make_param_array(LimitCase, limitCases, std::size(limitCases));
}

ParameterizedTest(LimitCase *test, relaySelection, limitFollowsTheSizeOfTheVm)
{
    RelayLimit limit(test->cpuShare, test->linkMbps);
    cr_assert_eq(limit.limit(), test->limit, "%zu", limit.limit());
    for (std::size_t count = 0; count < test->limit; ++count) {
        cr_assert(limit.tryAcquire());
    }
    cr_assert_not(limit.tryAcquire());
    limit.release();
    cr_assert(limit.tryAcquire());
}
