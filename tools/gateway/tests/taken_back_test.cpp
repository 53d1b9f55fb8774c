#include "requests.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <numeric>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

constexpr std::size_t vms = 6; // more than the readers of the store
constexpr std::size_t readerCount = 3;
constexpr int requestsPerVm = 10;
/** Times within which VMs must go by what the store has accepted, as the settings of the VMs say. */
constexpr Duration drainTimeout = 2s;
constexpr Duration evacuationTimeout = 5s;
/** For which VMs are down: less than it takes the others to notice. */
constexpr Duration downTime = 200ms;

enum class Fact : std::uint8_t { Registration, Evacuation };

/** What happens to the VMs while the fact is taken back. */
enum class Trouble : std::uint8_t {
    ReadersKilled, ///< and started again
    AllButOneKilled, ///< the others are started again
    OneFrozen, ///< and cut off from the store, while the others are restarted in turn
};

struct TakenBackCase {
    char name[40];
    Fact fact;
    Trouble trouble;
};

TakenBackCase takenBackCases[] = {
    { "registration, readers killed", Fact::Registration, Trouble::ReadersKilled },
    { "registration, all but one killed", Fact::Registration, Trouble::AllButOneKilled },
    { "registration, one frozen", Fact::Registration, Trouble::OneFrozen },
    { "evacuation, readers killed", Fact::Evacuation, Trouble::ReadersKilled },
    { "evacuation, all but one killed", Fact::Evacuation, Trouble::AllButOneKilled },
    { "evacuation, one frozen", Fact::Evacuation, Trouble::OneFrozen },
};

struct Fixture {
    /** @param previous program of all VMs but the last; empty: the same */
    explicit Fixture(Fact fact, const std::string &previous = {})
        : harness(vms)
        , fact(fact)
        , endpoint(harness.addEndpoint("p1", "plain", Behaviour::Respond, "v1", "a"))
    {
        if (fact == Fact::Registration) {
            harness.addEndpoint("p2", "plain", Behaviour::Respond, "v1", "a");
        } else {
            harness.store().evacuateZone("a");
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.setProgram(previous);
        harness.start(0, vms - 1);
        harness.setProgram("");
        harness.start(vms - 1, 1);
        harness.waitForLinks();
        harness.waitFor([this] { return readers().size() == readerCount; }, "the readers of the store");
    }

    std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> result;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            const auto line = harness.lastLogLine(vm, "\"store reading changed\"");
            if (line.find("\"active\":true") != std::string::npos) {
                result.push_back(vm);
            }
        }
        return result;
    }

    /** Returns a VM that does not read the store. */
    std::size_t survivor() const
    {
        const auto reading = readers();
        std::size_t vm = 0;
        while (std::find(reading.begin(), reading.end(), vm) != reading.end()) {
            ++vm;
        }
        return vm;
    }

    void killAll(const std::vector<std::size_t> &victims)
    {
        for (const auto vm : victims) {
            harness.signal(vm, SIGKILL);
        }
        for (const auto vm : victims) {
            harness.waitFor([&] { return harness.hasEnded(vm); }, "the end of a vm");
        }
    }

    void startAll(const std::vector<std::size_t> &stopped)
    {
        for (const auto vm : stopped) {
            harness.start(vm, 1);
        }
    }

    void takeBack()
    {
        if (fact == Fact::Registration) {
            harness.store().removeEndpoint("p1");
        } else {
            harness.store().returnZone("a");
        }
    }

    void interrupt(Trouble trouble)
    {
        const std::size_t kept = survivor();
        std::vector<std::size_t> victims;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (vm != kept) {
                victims.push_back(vm);
            }
        }
        switch (trouble) {
        case Trouble::ReadersKilled:
            victims = readers();
            [[fallthrough]];
        case Trouble::AllButOneKilled:
            killAll(victims);
            harness.runFor(downTime);
            takeBack();
            harness.runFor(downTime);
            startAll(victims);
            break;
        case Trouble::OneFrozen:
            harness.signal(kept, SIGSTOP);
            takeBack();
            harness.store().setUnavailableAddresses({ harness.storeAddress(kept) });
            for (const auto vm : victims) {
                killAll({ vm });
                startAll({ vm });
            }
            harness.signal(kept, SIGCONT);
            break;
        }
    }

    int statusAt(std::size_t vm)
    {
        return harness.sendAndWait(vm, "GET", "/safe/x", headers("id-" + std::to_string(++requests))).status;
    }

    /** Sends requests to a VM, all of which have to be served. @return whether any has reached the endpoint */
    bool usesEndpoint(std::size_t vm, const char *name)
    {
        const std::size_t before = endpoint.arrivalCount();
        for (int count = 0; count < requestsPerVm; ++count) {
            cr_assert_eq(statusAt(vm), net::status::ok, "%s: vm %zu", name, vm);
        }
        return endpoint.arrivalCount() > before;
    }

    Harness harness;
    Fact fact;
    Endpoint &endpoint;
    int requests = 0;
};

} // namespace

/** VMs kept an endpoint whose removal they had missed once VMs that had started since were asked (review/12). */
ParameterizedTestParameters(takenBack, isKnownToAllVmsAfterRestarts)
{
    return cr_make_param_array(TakenBackCase, takenBackCases, std::size(takenBackCases));
}

ParameterizedTest(TakenBackCase *test, takenBack, isKnownToAllVmsAfterRestarts)
{
    Fixture f(test->fact);
    f.interrupt(test->trouble);
    f.harness.runFor(test->fact == Fact::Registration ? drainTimeout : evacuationTimeout);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const bool isUsed = f.usesEndpoint(vm, test->name);
        cr_assert_eq(isUsed, test->fact == Fact::Evacuation, "%s: vm %zu", test->name, vm);
    }
}

/** LACEWING_PREVIOUS_GATEWAY names the program of the earlier version, whose answers don't say what they leave out. */
Test(takenBack, isKnownToAVmAmongEarlierVersionsAfterTheirRestart)
{
    const char *previous = std::getenv("LACEWING_PREVIOUS_GATEWAY");
    if (previous == nullptr) {
        cr_skip_test("LACEWING_PREVIOUS_GATEWAY names no earlier version of the gateway");
    }
    constexpr std::size_t last = vms - 1;
    Fixture f(Fact::Registration, previous);
    std::vector<std::size_t> earlier(last);
    std::iota(earlier.begin(), earlier.end(), 0);
    f.killAll(earlier);
    f.takeBack();
    f.harness.setProgram(previous);
    f.startAll(earlier);
    f.harness.runFor(drainTimeout);
    cr_assert_not(f.usesEndpoint(last, "among earlier versions"));
}

/** VMs of the earlier version that stay take no end from answers that leave removals out. */
Test(takenBack, isKnownToEarlierVersionsAfterTheRestartOfTheOthersAsThisOne)
{
    const char *previous = std::getenv("LACEWING_PREVIOUS_GATEWAY");
    if (previous == nullptr) {
        cr_skip_test("LACEWING_PREVIOUS_GATEWAY names no earlier version of the gateway");
    }
    Fixture f(Fact::Registration, previous);
    const std::size_t kept = f.survivor();
    std::vector<std::size_t> others;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        if (vm != kept) {
            others.push_back(vm);
        }
    }
    f.killAll(others);
    f.takeBack();
    f.startAll(others);
    f.harness.runFor(drainTimeout);
    cr_assert_not(f.usesEndpoint(kept, "of an earlier version"));
}
