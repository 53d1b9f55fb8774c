#include "heartbeat_schedule.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway;

namespace
{

struct LinkCase {
    bool sameZone;
    bool isReceiverLive;
    bool hasFleetWideRole;
    std::size_t vms;
    int heartbeatsInEightRounds;
    int intervalMs;
    int failureTimeoutMs;
    int zoneFailureTimeoutMs;
};

LinkCase linkCases[] = {
    { true, true, false, 72, 8, 250, 1000, 1000 },  { false, true, false, 72, 2, 1000, 4000, 1500 },
    { false, true, true, 72, 8, 250, 1000, 1000 },  { true, false, false, 72, 2, 250, 1000, 1000 },
    { false, false, true, 72, 2, 250, 1000, 1000 }, { false, true, false, 6, 8, 250, 1000, 1000 },
};

HeartbeatLink linkOf(const LinkCase &test)
{
    return { test.sameZone, test.isReceiverLive, test.hasFleetWideRole, test.vms };
}

} // namespace

ParameterizedTestParameters(heartbeatSchedule, intervalsAndTimeoutsFollowZoneAndRole)
{
    return cr_make_param_array(LinkCase, linkCases, std::size(linkCases));
}

ParameterizedTest(LinkCase *test, heartbeatSchedule, intervalsAndTimeoutsFollowZoneAndRole)
{
    for (std::uint64_t spread = 0; spread < 4; ++spread) {
        int heartbeats = 0;
        for (std::uint64_t round = 1; round <= 8; ++round) {
            heartbeats += HeartbeatSchedule::isDue(linkOf(*test), round, spread) ? 1 : 0;
        }
        cr_assert_eq(heartbeats, test->heartbeatsInEightRounds);
    }
    const Duration interval = HeartbeatSchedule::interval(linkOf(*test));
    cr_assert_eq(toMilliseconds(interval), test->intervalMs);
    cr_assert_eq(toMilliseconds(HeartbeatSchedule::failureTimeout(interval)), test->failureTimeoutMs);
    cr_assert_eq(toMilliseconds(HeartbeatSchedule::zoneFailureTimeout(interval)), test->zoneFailureTimeoutMs);
}

/** 370 VMs in 7 zones: a VM without a fleet-wide role sends about a third of one heartbeat per VM and round. */
Test(heartbeatSchedule, heartbeatCountScalesWithZoneSize)
{
    constexpr std::size_t vms = 370;
    constexpr std::size_t zones = 7;
    std::size_t sent = 0;
    for (std::size_t vm = 1; vm < vms; ++vm) {
        const HeartbeatLink link { vm % zones == 0, true, false, vms - 1 };
        for (std::uint64_t round = 0; round < 4; ++round) {
            sent += HeartbeatSchedule::isDue(link, round, hashBytes(std::to_string(vm))) ? 1 : 0;
        }
    }
    const std::size_t ownZoneVms = (vms - 1) / zones;
    cr_assert_eq(sent, ownZoneVms * 4 + (vms - 1 - ownZoneVms));
    cr_assert_leq(sent * 5 / 2, (vms - 1) * 4);
}
