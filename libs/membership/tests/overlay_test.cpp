#include "virtual_fleet.h"

#include <algorithm>
#include <cstdlib>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::membership_test;

namespace
{

constexpr Duration second = std::chrono::seconds(1);
/** Targets of the issue that asks for this design. */
constexpr double maxMessagesPerSecond = 30;
constexpr double maxBytesPerSecond = 8'000;
constexpr Duration maxRoleDetection = std::chrono::seconds(1);
constexpr Duration maxFactDelay = std::chrono::seconds(1);
constexpr Duration maxRepairDelay = std::chrono::seconds(3);
constexpr std::size_t maxNeighbours = 40;
/** All must know each other again this long after a restart of all: the first requests are served within it. */
constexpr Duration maxRestartDelay = std::chrono::seconds(2);

struct SizeCase {
    char name[24];
    std::size_t zones;
    std::size_t vmsPerZone;
};

SizeCase sizeCases[] = {
    { "one zone of 3", 1, 3 },  { "one zone of 20", 1, 20 },     { "4 zones of 18", 4, 18 },
    { "6 zones of 49", 6, 49 }, { "size to design for", 7, 53 },
};

std::uint64_t seedCount()
{
    const char *text = std::getenv("LACEWING_MEMBERSHIP_SEEDS");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
}

double perSecond(std::size_t count, Duration duration)
{
    return double(count) / std::chrono::duration<double>(duration).count();
}

} // namespace

ParameterizedTestParameters(overlay, keepsItsCostSmallAtAnySize)
{
    return cr_make_param_array(SizeCase, sizeCases, std::size(sizeCases));
}

/** Idle, every VM knows all others, at a cost that does not grow with the fleet. */
ParameterizedTest(SizeCase *test, overlay, keepsItsCostSmallAtAnySize)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        VirtualFleet fleet({ test->zones, test->vmsPerZone }, seed);
        fleet.startAll();
        const auto joined = fleet.runUntil([&] { return fleet.agrees(); }, 10 * second);
        cr_expect_leq(joined, maxRestartDelay, "%s: not all know each other", test->name);
        fleet.runFor(5 * second);
        fleet.resetTraffic();
        constexpr Duration span = 10 * second;
        for (int step = 0; step < 100; ++step) {
            fleet.runFor(span / 100);
            cr_assert(fleet.agrees(), "%s: seed %lu: a live vm is taken for dead", test->name, seed);
        }
        double most = 0;
        double mostBytes = 0;
        double total = 0;
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            for (const auto &traffic : { fleet.sent()[vm], fleet.received()[vm] }) {
                most = std::max(most, perSecond(traffic.messages, span));
                mostBytes = std::max(mostBytes, perSecond(traffic.bytes, span));
            }
            total += perSecond(fleet.sent()[vm].messages, span);
            cr_expect_leq(fleet.overlay(vm).neighbours().size(), maxNeighbours, "%s", test->name);
        }
        if (std::getenv("LACEWING_PRINT_MEASURES") != nullptr) {
            fprintf(stderr,
                    "%s: joined after %ld ms; messages a second: mean %.1f, most %.1f; most bytes %.0f\n",
                    test->name,
                    long(toMilliseconds(joined)),
                    total / double(fleet.size()),
                    most,
                    mostBytes);
        }
        cr_expect_leq(most, maxMessagesPerSecond, "%s: %.1f messages a second", test->name, most);
        cr_expect_leq(mostBytes, maxBytesPerSecond, "%s: %.0f bytes a second", test->name, mostBytes);
    }
}

namespace
{

struct FailureCase {
    char name[40];
    bool isPrompt; ///< others depend on the VM
    bool isRoot; ///< the VM is a root of its zone
};

FailureCase failureCases[] = {
    { "vm with a role", true, false },
    { "root with a role", true, true },
    { "root", false, true },
    { "ordinary vm", false, false },
};

/** Returns a VM that is the root of a tree of its zone, or one that is in no tree a root. */
std::size_t findVm(VirtualFleet &fleet, bool isRoot)
{
    std::set<VmId> roots;
    for (const auto &[key, view] : fleet.overlay(0).directory().views()) {
        roots.insert(key.second);
    }
    for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
        if (roots.contains(fleet.id(vm)) == isRoot) {
            return vm;
        }
    }
    cr_assert_fail("no such vm");
    return 0;
}

} // namespace

ParameterizedTestParameters(overlay, noticesTheEndOfAVm)
{
    return cr_make_param_array(FailureCase, failureCases, std::size(failureCases));
}

ParameterizedTest(FailureCase *test, overlay, noticesTheEndOfAVm)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        VirtualFleet fleet({ 6, 49 }, seed);
        fleet.startAll();
        fleet.runFor(5 * second);
        const auto vm = findVm(fleet, test->isRoot);
        fleet.setContent(vm, "role", test->isPrompt);
        fleet.runFor(3 * second);
        cr_assert(fleet.agrees(), "%s", test->name);
        fleet.kill(vm);
        const auto inZone = [&] {
            std::size_t believers = 0;
            for (std::size_t other = 0; other < fleet.size(); ++other) {
                believers += other != vm && fleet.zoneOf(other) == fleet.zoneOf(vm)
                    && fleet.overlay(other).live().contains(fleet.id(vm));
            }
            return believers == 0;
        };
        const Duration limit = test->isPrompt ? maxRoleDetection : 3 * second;
        const auto noticed = fleet.runUntil(inZone, 10 * second);
        cr_expect_leq(noticed, limit, "%s: seed %lu: %ld ms", test->name, seed, long(toMilliseconds(noticed)));
        const auto everywhere = fleet.runUntil([&] { return fleet.believersIn(vm) == 0; }, 10 * second);
        cr_expect_leq(noticed + everywhere, limit + second, "%s: seed %lu", test->name, seed);
        cr_expect(fleet.agrees(), "%s: seed %lu: others are taken for dead", test->name, seed);
    }
}

namespace
{

struct TroubleCase {
    char name[40];
    double frozenShare;
    bool isZoneCut;
    double loss;
};

TroubleCase troubleCases[] = {
    { "calm", 0, false, 0 },
    { "a tenth frozen", 0.1, false, 0 },
    { "a zone cut off", 0, true, 0 },
    { "a tenth frozen and a zone cut off", 0.1, true, 0 },
};

} // namespace

ParameterizedTestParameters(overlay, messageReachesAllVmsThatCanBeReached)
{
    return cr_make_param_array(TroubleCase, troubleCases, std::size(troubleCases));
}

ParameterizedTest(TroubleCase *test, overlay, messageReachesAllVmsThatCanBeReached)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        VirtualFleet fleet({ 6, 49 }, seed);
        Random random(seed);
        fleet.startAll();
        fleet.runFor(5 * second);
        for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
            if (random.unit() < test->frozenShare) {
                fleet.freeze(vm);
            }
        }
        fleet.cutZone(5, test->isZoneCut);
        // A VM that has stopped is noticed, and its children have another parent, before the message is sent.
        fleet.runFor(3 * second);
        std::size_t copies = 0;
        std::size_t receivers = 0;
        for (int number = 0; number < 10; ++number) {
            std::size_t origin = 0;
            while (!fleet.isRunning(origin) || !fleet.reaches(origin, 0)) {
                origin = static_cast<std::size_t>(random.unit() * double(fleet.size()));
            }
            const std::string message = "message " + std::to_string(number);
            fleet.flood(origin, message);
            std::size_t reachable = 0;
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                reachable += fleet.isRunning(vm) && fleet.reaches(origin, vm) ? 1 : 0;
            }
            const auto took = fleet.runUntil([&] { return fleet.receiversOf(message) >= reachable; }, 3 * maxFactDelay);
            cr_expect_leq(took,
                          maxFactDelay,
                          "%s: seed %lu: message %d reached %zu of %zu",
                          test->name,
                          seed,
                          number,
                          fleet.receiversOf(message),
                          reachable);
            fleet.runFor(second / 2);
            copies += fleet.copiesOf(message);
            receivers += fleet.receiversOf(message) - 1;
        }
        cr_expect_leq(copies, 2 * receivers, "%s: %zu copies for %zu", test->name, copies, receivers);
    }
}

/** Records that were lost are found by comparison. */
Test(overlay, lostRecordsAreRepaired)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        VirtualFleet fleet({ 6, 49 }, seed);
        fleet.startAll();
        fleet.runFor(5 * second);
        fleet.setLoss(0.1);
        fleet.runFor(second);
        fleet.setContent(100, "changed", false);
        const auto knowAll = [&] {
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                if (fleet.contentAt(vm, 100) != "changed") {
                    return false;
                }
            }
            return true;
        };
        const auto took = fleet.runUntil(knowAll, 30 * second);
        cr_expect_leq(took, maxRepairDelay, "seed %lu: %ld ms", seed, long(toMilliseconds(took)));
    }
}

/** A zone that was cut off, and VMs that were frozen, are back soon, and nobody else is taken for dead. */
Test(overlay, recoversFromCutsAndFreezes)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        VirtualFleet fleet({ 6, 49 }, seed);
        fleet.startAll();
        fleet.runFor(5 * second);
        fleet.cutZone(2, true);
        cr_expect_leq(fleet.runUntil([&] { return fleet.agrees(); }, 10 * second), 3 * second, "cut, seed %lu", seed);
        fleet.cutZone(2, false);
        cr_expect_leq(fleet.runUntil([&] { return fleet.agrees(); }, 20 * second), 8 * second, "end, seed %lu", seed);
        const auto root = findVm(fleet, true);
        fleet.freeze(root);
        fleet.runFor(4 * second);
        cr_expect(fleet.agrees(), "frozen root, seed %lu", seed);
        fleet.wake(root);
        fleet.runFor(second);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            cr_expect_geq(fleet.believersIn(vm) + 1, fleet.size(), "seed %lu: vm %zu after a root woke up", seed, vm);
        }
    }
}

/** All VMs end at once; each knows the addresses of all from the store. */
Test(overlay, knowsAllAgainAfterARestartOfAll)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        VirtualFleet fleet({ 6, 49 }, seed);
        fleet.startAll();
        fleet.runFor(5 * second);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.kill(vm);
        }
        fleet.runFor(second);
        fleet.startAll();
        const auto took = fleet.runUntil([&] { return fleet.agrees(); }, 20 * second);
        cr_expect_leq(took, maxRestartDelay, "seed %lu: %ld ms", seed, long(toMilliseconds(took)));
    }
}

/** A VM that starts with a clock that was set back is not taken for its former lifetime. */
Test(overlay, startWithAnEarlierEpochIsNoticed)
{
    VirtualFleet fleet({ 2, 20 }, 1);
    fleet.startAll();
    fleet.runFor(5 * second);
    const auto root = findVm(fleet, true);
    membership::Overlay late(fleet.id(root), AvailabilityZoneId("zone" + std::to_string(fleet.zoneOf(root))), 0);
    membership::OverlayMessage message;
    message.records.push_back({ fleet.id(root), AvailabilityZoneId("zone0"), 7, 3, false, "former" });
    late.handle(fleet.id(0), message, fleet.now());
    const auto &own = late.directory().records().at(fleet.id(root)).record;
    cr_expect_gt(own.epoch, 7U);
}
