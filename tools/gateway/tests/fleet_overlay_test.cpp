#include "requests.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

/** More than a small fleet, whose VMs send heartbeats to all others. */
constexpr std::size_t vmCount = 36;
constexpr std::size_t zoneCount = 3;

struct LargeFleet {
    explicit LargeFleet(std::size_t vms = vmCount)
        : harness(vms)
        , count(vms)
    {
        harness.setZones(zoneCount);
        for (const char *service : { "plain", "engine", "first", "second" }) {
            for (const char *number : { "1", "2", "3" }) {
                harness.addEndpoint(std::string(service) + number,
                                    service,
                                    std::string_view(service) == "engine" ? Behaviour::Stream : Behaviour::Respond);
            }
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
    }

    void waitForEndpoints(const std::vector<std::size_t> &vms)
    {
        for (const auto vm : vms) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", harness.endpoints().size());
        }
    }

    std::vector<std::size_t> allBut(std::size_t left) const
    {
        std::vector<std::size_t> vms;
        for (std::size_t vm = 0; vm < count; ++vm) {
            if (vm != left) {
                vms.push_back(vm);
            }
        }
        return vms;
    }

    /** Sends requests of all kinds to a VM. @return the number that failed */
    std::size_t countFailures(std::size_t vm)
    {
        std::size_t failures = 0;
        for (const char *target : { "/safe/x", "/unsafe/x", "/stream/x", "/staged/x" }) {
            const std::string id = "id-" + std::to_string(++requests);
            const bool isStaged = std::string_view(target) == "/staged/x";
            const auto response =
                harness.sendAndWait(vm, "POST", target, isStaged ? stagedHeaders(id, { 1, 1 }) : headers(id), "body");
            const bool isServed = response.isComplete && response.status == net::status::ok;
            failures += isServed ? 0 : 1;
            if (!isServed) {
                lastFailure =
                    id + " " + target + " at vm " + std::to_string(vm) + ": status " + std::to_string(response.status);
            }
        }
        return failures;
    }

    Harness harness;
    std::size_t count;
    int requests = 0;
    std::string lastFailure;
};

} // namespace

/** What a VM hears of the others by way of a few neighbours is the same as if all spoke to all. */
Test(fleetOverlay, membersAndNewsReachAllVms)
{
    LargeFleet f;
    f.harness.start();
    f.harness.waitForLinks();
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"overlay place changed\"", 1);
    }
    // News of the registry reaches the VMs that don't read it.
    f.harness.addEndpoint("plain4", "plain", Behaviour::Respond);
    f.waitForEndpoints(f.allBut(f.count));
    f.harness.store().publishDesiredState(makeState(2, allRoutes()));
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"desired state in force\"", 2);
        cr_expect_eq(f.countFailures(vm), 0U, "vm %zu", vm);
    }
    f.harness.signal(0, SIGKILL);
    for (const auto vm : f.allBut(0)) {
        f.harness.waitForLogLines({ vm }, "\"vm not live\",\"fields\":{\"vm\":\"vm-0\"}", 1);
    }
    f.harness.start(0, 1);
    for (const auto vm : f.allBut(0)) {
        f.harness.waitForLogLines({ vm }, "\"vm live\",\"fields\":{\"vm\":\"vm-0\"", 2);
    }
}

/** All VMs end at once and start again: each serves, and they find each other. */
Test(fleetOverlay, fleetFindsItselfAfterARestartOfAll)
{
    LargeFleet f;
    f.harness.start();
    f.harness.waitForLinks();
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        f.harness.signal(vm, SIGKILL);
    }
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        f.harness.waitFor([&] { return f.harness.hasEnded(vm); }, "the end of a vm");
    }
    f.harness.start();
    f.harness.waitForLinks();
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        cr_expect_eq(f.countFailures(vm), 0U, "vm %zu", vm);
    }
}

namespace
{

enum class Replacement : std::uint8_t {
    Restart, ///< by the same version
    Upgrade, ///< of the earlier version by this one
    Downgrade,
};

struct UpgradeCase {
    char name[32];
    Replacement replacement;
    std::size_t vms;
};

UpgradeCase upgradeCases[] = {
    { "restarts in a small fleet", Replacement::Restart, 6 },
    { "upgrade of a large fleet", Replacement::Upgrade, vmCount },
    { "downgrade of a large fleet", Replacement::Downgrade, vmCount },
    { "upgrade of a small fleet", Replacement::Upgrade, 6 },
    { "downgrade of a small fleet", Replacement::Downgrade, 6 },
};

} // namespace

ParameterizedTestParameters(fleetOverlay, versionsServeSideBySide)
{
    return cr_make_param_array(UpgradeCase, upgradeCases, std::size(upgradeCases));
}

/**
 * VMs of an earlier version and of this one serve side by side while they are replaced one after the other.
 * LACEWING_PREVIOUS_GATEWAY names the program of the earlier version, which is built outside the repository.
 */
ParameterizedTest(UpgradeCase *test, fleetOverlay, versionsServeSideBySide)
{
    const char *variable = std::getenv("LACEWING_PREVIOUS_GATEWAY");
    if (variable == nullptr && test->replacement != Replacement::Restart) {
        cr_skip_test("LACEWING_PREVIOUS_GATEWAY names no earlier version of the gateway");
    }
    const std::string previous = variable != nullptr ? variable : "";
    LargeFleet f(test->vms);
    f.harness.setProgram(test->replacement == Replacement::Upgrade ? previous : "");
    f.harness.start();
    f.harness.waitForLinks();
    f.waitForEndpoints(f.allBut(f.count));
    f.harness.setProgram(test->replacement == Replacement::Downgrade ? previous : "");
    std::size_t failures = 0;
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        f.harness.signal(vm, SIGTERM);
        f.harness.waitFor([&] { return f.harness.hasEnded(vm); }, "the planned end of a vm");
        f.harness.start(vm, 1);
        // News of the registry reaches VMs of both versions.
        if (vm % 6 == 0) {
            f.harness.addEndpoint("joined" + std::to_string(vm), "plain", Behaviour::Respond);
            for (std::size_t other = 0; other < f.count; ++other) {
                f.harness.waitForLogLines({ other }, "\"endpoint\":\"joined" + std::to_string(vm) + "\"", 1);
            }
        }
        for (const auto other : { vm, (vm + 1) % f.count, (vm + f.count / 2) % f.count }) {
            // The earlier version takes other zones for unreachable right after its start (restarts in a small fleet).
            const bool hasJustStartedEarlier = other == vm && test->replacement == Replacement::Downgrade;
            failures += hasJustStartedEarlier ? 0 : f.countFailures(other);
        }
    }
    cr_expect_eq(failures, 0U, "%s: %zu requests failed, such as %s", test->name, failures, f.lastFailure.c_str());
    for (std::size_t vm = 0; vm < f.count; ++vm) {
        // Each VM has been live at least twice for all that were replaced after it.
        f.harness.waitForLogLines({ vm }, "\"vm live\"", f.count - 1);
    }
}

/**
 * Measures what an idle VM costs in a fleet of LACEWING_IDLE_VMS VMs in six zones, as processes on this machine, and
 * prints it. Processor time depends on the machine, so it has no bound here.
 */
Test(fleetOverlay, measureIdleFleet, .timeout = 120)
{
    const char *variable = std::getenv("LACEWING_IDLE_VMS");
    if (variable == nullptr) {
        cr_skip_test("LACEWING_IDLE_VMS is not set");
    }
    const auto vms = static_cast<std::size_t>(std::strtoul(variable, nullptr, 10));
    LargeFleet f(vms);
    f.harness.setZones(6);
    f.harness.start();
    f.harness.waitForLinks();
    const auto waitFor = [&](Duration duration) {
        const auto begin = f.harness.loop().clock().now();
        f.harness.waitFor([&] { return f.harness.loop().clock().now() - begin > duration; }, "time to pass");
    };
    constexpr Duration span = std::chrono::seconds(15);
    waitFor(std::chrono::seconds(5));
    std::vector<double> processorTimes;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        processorTimes.push_back(f.harness.processorSeconds(vm));
    }
    const double sentBefore = f.harness.metric(vms - 1, "lacewing_peer_sent_bytes");
    waitFor(span);
    double total = 0;
    double most = 0;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const double used =
            (f.harness.processorSeconds(vm) - processorTimes[vm]) / std::chrono::duration<double>(span).count();
        total += used;
        most = std::max(most, used);
    }
    fprintf(stderr,
            "%zu vms, idle: mean %.4f of a core, most %.4f; the last one sent %.0f bytes a second\n",
            vms,
            total / double(vms),
            most,
            (f.harness.metric(vms - 1, "lacewing_peer_sent_bytes") - sentBefore)
                / std::chrono::duration<double>(span).count());
}
