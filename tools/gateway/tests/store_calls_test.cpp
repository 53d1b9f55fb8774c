#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

namespace
{

/** Target of the issue on hundreds of VMs: calls of a VM at its start, and later if it is no reader. */
constexpr double maxCalls = 4;
constexpr std::size_t readerCount = 3;
constexpr double topicCount = 3; ///< each is read once at a start

struct FleetCase {
    char name[32];
    std::size_t vms;
    std::size_t zones;
};

FleetCase fleetCases[] = {
    { "small fleet", 6, 1 },
    { "fleet with an overlay", 36, 3 },
};

} // namespace

ParameterizedTestParameters(storeCalls, aVmThatIsNoReaderCallsTheStoreAtItsStartOnly)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

/** Calls to the store are limited and priced, and most VMs can hear what it says from others. */
ParameterizedTest(FleetCase *test, storeCalls, aVmThatIsNoReaderCallsTheStoreAtItsStartOnly)
{
    Harness harness(test->vms);
    harness.setZones(test->zones);
    harness.addEndpoint("plain1", "plain", Endpoint::Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLinks();
    const auto begin = harness.loop().clock().now();
    harness.waitFor([&] { return harness.loop().clock().now() - begin > std::chrono::seconds(4); },
                    "calls to the store");
    // News reaches VMs that don't follow the store.
    harness.addEndpoint("plain2", "plain", Endpoint::Behaviour::Respond);
    std::size_t callers = 0;
    std::string seen;
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        harness.waitForLogLines({ vm }, "\"endpoint joined\"", 2);
        // The stand-in's pages are small, so that topics take several; the platform's hold 500 records.
        const double calls = topicCount + harness.metric(vm, "lacewing_store_reads")
            - harness.metric(vm, "lacewing_store_snapshot_pages") + harness.metric(vm, "lacewing_store_appends");
        if (calls > maxCalls) {
            ++callers;
            seen += " vm-" + std::to_string(vm) + ": " + std::to_string(int(calls));
        }
    }
    cr_expect_leq(callers, readerCount, "%s: vms with more calls than at a start:%s", test->name, seen.c_str());
}
