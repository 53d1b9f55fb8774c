#include "stream_origins.h"

#include <algorithm>
#include <map>
#include <set>

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
    std::size_t minHolders;
    std::size_t maxHolders;
};

FleetCase fleetCases[] = {
    { "one vm", 1, 1, 1, 1 },        { "one zone", 1, 8, 3, 3 },    { "two zones", 2, 4, 3, 3 },
    { "standard site", 3, 3, 3, 3 }, { "grown site", 4, 18, 3, 4 }, { "size to design for", 7, 53, 3, 4 },
};

std::vector<OriginHolder> makeFleet(const FleetCase &test)
{
    std::vector<OriginHolder> vms;
    for (std::size_t zone = 0; zone < test.zones; ++zone) {
        for (std::size_t vm = 0; vm < test.vmsPerZone; ++vm) {
            vms.push_back({ VmId("vm-" + std::to_string(zone) + "-" + std::to_string(vm)),
                            AvailabilityZoneId("z" + std::to_string(zone)) });
        }
    }
    return vms;
}

std::vector<VmId> originHolders(routing::StreamKey stream,
                                std::span<const OriginHolder> candidates,
                                const AvailabilityZoneId &ownZone,
                                std::size_t perZone)
{
    return OriginHolders(candidates).choose(stream, ownZone, perZone);
}

} // namespace

ParameterizedTestParameters(originHolders, areInSeveralZonesAndFew)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

ParameterizedTest(FleetCase *test, originHolders, areInSeveralZonesAndFew)
{
    const auto fleet = makeFleet(*test);
    const AvailabilityZoneId ownZone("z0");
    for (std::uint64_t stream = 1; stream <= 100; ++stream) {
        const auto holders = originHolders(routing::StreamKey(stream), fleet, ownZone, 1);
        cr_assert(holders.size() >= test->minHolders && holders.size() <= test->maxHolders,
                  "%s: %zu",
                  test->name,
                  holders.size());
        std::set<AvailabilityZoneId> zones;
        for (const auto &holder : holders) {
            const auto found =
                std::find_if(fleet.begin(), fleet.end(), [&](const auto &vm) { return vm.vm == holder; });
            zones.insert(found->zone);
        }
        cr_assert(zones.contains(ownZone), "%s: the own zone has no holder", test->name);
        cr_assert_geq(zones.size(), std::min<std::size_t>(test->zones, 3), "%s: %zu zones", test->name, zones.size());
    }
}

/** Each VM of the fleet, and those of a zone that is cut off from the others, ask one that was told. */
Test(originHolders, areAskedFromEveryZone)
{
    const auto fleet = makeFleet(fleetCases[5]);
    for (std::uint64_t stream = 1; stream <= 200; ++stream) {
        const AvailabilityZoneId origin("z" + std::to_string(stream % 7));
        const auto told = originHolders(routing::StreamKey(stream), fleet, origin, 1);
        const auto isTold = [&](const VmId &vm) { return std::find(told.begin(), told.end(), vm) != told.end(); };
        for (int zone = 0; zone < 7; ++zone) {
            const auto asked =
                originHolders(routing::StreamKey(stream), fleet, AvailabilityZoneId("z" + std::to_string(zone)), 2);
            cr_assert(std::any_of(asked.begin(), asked.end(), isTold), "stream %lu from zone %d", stream, zone);
        }
        std::vector<OriginHolder> cutOff;
        std::copy_if(
            fleet.begin(), fleet.end(), std::back_inserter(cutOff), [&](const auto &vm) { return vm.zone == origin; });
        const auto asked = originHolders(routing::StreamKey(stream), cutOff, origin, 2);
        cr_assert(std::any_of(asked.begin(), asked.end(), isTold), "stream %lu in its zone", stream);
    }
}

/** Who looks an origin up may see VMs that the one that told it did not see, or the reverse. */
Test(originHolders, areFoundAlthoughSomeVmsCameOrWent)
{
    const auto fleet = makeFleet(fleetCases[4]);
    std::size_t missed = 0;
    constexpr std::uint64_t streams = 2'000;
    for (std::uint64_t stream = 1; stream <= streams; ++stream) {
        Random random(stream);
        auto later = fleet;
        for (int count = 0; count < 7; ++count) {
            later.erase(later.begin() + static_cast<std::ptrdiff_t>(random.below(later.size())));
            const auto name = "new-" + std::to_string(count);
            later.push_back({ VmId(name), AvailabilityZoneId("z" + std::to_string(random.below(4))) });
        }
        const auto told = originHolders(routing::StreamKey(stream), fleet, AvailabilityZoneId("z1"), 1);
        const auto asked = originHolders(routing::StreamKey(stream), later, AvailabilityZoneId("z2"), 2);
        missed += std::none_of(told.begin(), told.end(), [&](const auto &vm) {
            return std::find(asked.begin(), asked.end(), vm) != asked.end();
        });
    }
    cr_assert_eq(missed, 0U, "%zu of %lu streams not found", missed, streams);
}

/** At the size to design for, what VMs tell each other of streams fits the budget for control of 8 KB a second. */
Test(originHolders, whatIsToldFitsTheBudgetAtFullSize)
{
    constexpr std::size_t streamsPerSecond = 4'600;
    constexpr std::size_t flushesPerSecond = 50;
    constexpr double headerBytes = 9 + 5; // of an HTTP/2 frame and a message
    constexpr double budget = 8'000;
    const auto fleet = makeFleet(fleetCases[5]);
    const routing::ServiceId service("drafting-llm");
    const routing::SoftwareVersion version("v1.2.3");
    Random random(1);
    std::map<VmId, double> sent;
    std::map<VmId, double> received;
    std::map<VmId, std::size_t> held;
    std::map<std::pair<VmId, VmId>, std::map<std::size_t, StreamOriginsMessage>> messages;
    for (std::size_t stream = 0; stream < streamsPerSecond; ++stream) {
        const auto &[origin, zone] = fleet[random.below(fleet.size())];
        const routing::StreamKey key(random.next());
        for (const auto &holder : originHolders(key, fleet, zone, 1)) {
            ++held[holder];
            if (holder == origin) {
                continue;
            }
            auto &message = messages[{ origin, holder }][random.below(flushesPerSecond)];
            if (message.groups.empty()) {
                message.groups.push_back({ service, version, {}, {} });
            }
            message.groups.front().streams.push_back(key);
            message.groups.front().timesToLiveMs.push_back(20'000);
        }
    }
    for (const auto &[link, flushes] : messages) {
        for (const auto &[flush, message] : flushes) {
            const double bytes = double(encodeMessage(MessageKind::StreamOrigins, message).size()) + headerBytes;
            sent[link.first] += bytes;
            received[link.second] += bytes;
        }
    }
    double worst = 0;
    double total = 0;
    std::size_t mostHeld = 0;
    for (const auto &candidate : fleet) {
        worst = std::max(worst, sent[candidate.vm] + received[candidate.vm]);
        total += sent[candidate.vm];
        mostHeld = std::max(mostHeld, held[candidate.vm]);
    }
    cr_log_info("sent %.0f bytes a second on average, worst VM sends and receives %.0f, holds %zu new a second",
                total / double(fleet.size()),
                worst,
                mostHeld);
    cr_assert_leq(total / double(fleet.size()) * 2, budget, "%.0f bytes a second", total / double(fleet.size()) * 2);
}

Test(streamKey, belongsToItsWorkspace)
{
    const stages::RequestId request("3f");
    const auto key = [&](const std::optional<WorkspaceId> &workspace) {
        return StreamOrigins::keyOf(request, workspace);
    };
    cr_assert(key(WorkspaceId("a")) == key(WorkspaceId("a")));
    cr_assert(key(WorkspaceId("a")) != key(WorkspaceId("b")));
    cr_assert(key(std::nullopt) != key(WorkspaceId("a")));
}
