#include "heartbeat_schedule.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway;

namespace
{

struct LinkCase {
    bool sameZone;
    bool heard;
    bool duties;
    std::size_t vms;
    int turnsInEightRounds;
    int periodMs;
    int silenceMs;
    int zoneSilenceMs;
};

LinkCase linkCases[] = {
    { true, true, false, 72, 8, 250, 1000, 1000 },  { false, true, false, 72, 2, 1000, 4000, 1500 },
    { false, true, true, 72, 8, 250, 1000, 1000 },  { true, false, false, 72, 2, 250, 1000, 1000 },
    { false, false, true, 72, 2, 250, 1000, 1000 }, { false, true, false, 6, 8, 250, 1000, 1000 },
};

BeaconLink linkOf(const LinkCase &test)
{
    return { test.sameZone, test.heard, test.duties, test.vms };
}

} // namespace

ParameterizedTestParameters(beaconPlan, tellsWhoMustKnowSoonOften)
{
    return cr_make_param_array(LinkCase, linkCases, std::size(linkCases));
}

ParameterizedTest(LinkCase *test, beaconPlan, tellsWhoMustKnowSoonOften)
{
    for (std::uint64_t spread = 0; spread < 4; ++spread) {
        int turns = 0;
        for (std::uint64_t round = 1; round <= 8; ++round) {
            turns += BeaconPlan::isTurn(linkOf(*test), round, spread) ? 1 : 0;
        }
        cr_assert_eq(turns, test->turnsInEightRounds);
    }
    const Duration period = BeaconPlan::period(linkOf(*test));
    cr_assert_eq(toMilliseconds(period), test->periodMs);
    cr_assert_eq(toMilliseconds(BeaconPlan::silenceLimit(period)), test->silenceMs);
    cr_assert_eq(toMilliseconds(BeaconPlan::zoneSilenceLimit(period)), test->zoneSilenceMs);
}

/** 370 VMs in 7 zones: a VM without duties sends a third of what beacons to all in each round would be. */
Test(beaconPlan, messagesGrowWithTheZoneNotWithTheFleet)
{
    constexpr std::size_t vms = 370;
    constexpr std::size_t zones = 7;
    std::size_t sent = 0;
    for (std::size_t vm = 1; vm < vms; ++vm) {
        const BeaconLink link { vm % zones == 0, true, false, vms - 1 };
        for (std::uint64_t round = 0; round < 4; ++round) {
            sent += BeaconPlan::isTurn(link, round, hashBytes(std::to_string(vm))) ? 1 : 0;
        }
    }
    const std::size_t own = (vms - 1) / zones;
    cr_assert_eq(sent, own * 4 + (vms - 1 - own));
    cr_assert_leq(sent * 5 / 2, (vms - 1) * 4);
}
