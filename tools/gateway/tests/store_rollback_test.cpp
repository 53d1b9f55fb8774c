#include "peer_messages.h"
#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

constexpr const char *vmTopic = "keyed.lacewingfall-vms";

/** Routes of a desired state; a later version has more of them. */
std::vector<RouteSpec> routesOf(int version)
{
    std::vector<RouteSpec> routes;
    for (int route = 1; route <= version; ++route) {
        routes.push_back({ .name = "route-" + std::to_string(route), .service = "plain" });
    }
    return routes;
}

struct Fixture {
    explicit Fixture(std::size_t vms)
        : harness(vms)
        , vmCount(vms)
        , endpoint(harness.addEndpoint("p1", "plain", Behaviour::Respond))
    {
        publish(1);
    }

    void publish(int version)
    {
        harness.store().publishDesiredState(makeState(version, routesOf(version)));
    }

    int statusOf(std::size_t vm, int version)
    {
        const std::string target = "/route-" + std::to_string(version) + "/x";
        return harness.sendAndWait(vm, "GET", target, headers("id-" + std::to_string(++requests))).status;
    }

    /** Waits until a version is in force on all running VMs. */
    void waitForVersion(int version, std::size_t vms)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            harness.waitFor([&] { return statusOf(vm, version) == net::status::ok; }, "a version in force");
        }
    }

    Harness harness;
    std::size_t vmCount;
    Endpoint &endpoint;
    int requests = 0;
};

struct StateCase {
    char name[32];
    std::size_t vms;
    int rollbacks;
    bool isStoreAwayFirst;
};

StateCase stateCases[] = {
    { "one vm", 1, 1, false },
    { "two in a row", 1, 2, false },
    { "readers and others", 5, 1, false },
    { "after an outage", 5, 1, true },
};

} // namespace

ParameterizedTestParameters(storeRollback, desiredStateNeverRevertsAndLaterOnesComeIntoForce)
{
    return cr_make_param_array(StateCase, stateCases, std::size(stateCases));
}

ParameterizedTest(StateCase *test, storeRollback, desiredStateNeverRevertsAndLaterOnesComeIntoForce)
{
    constexpr int lastVersion = 5;
    Fixture f(test->vms);
    f.harness.start();
    f.harness.store().saveCopy();
    for (int version = 2; version <= lastVersion; ++version) {
        f.publish(version);
    }
    f.waitForVersion(lastVersion, test->vms);
    if (test->isStoreAwayFirst) {
        f.harness.store().setFault(Store::Fault::Unavailable);
        f.harness.waitForLogLines({ 0 }, "\"store unavailable\"", 1);
    }
    for (int count = 0; count < test->rollbacks; ++count) {
        f.harness.store().rollBack();
    }
    f.harness.store().setFault(Store::Fault::None);
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"store rolled back\"", 1);
        cr_assert_eq(f.statusOf(vm, lastVersion), net::status::ok, "%s: vm %zu went back", test->name, vm);
    }
    f.publish(lastVersion + 1); // at an offset that an earlier version had before
    f.waitForVersion(lastVersion + 1, test->vms);
}

Test(storeRollback, revokedKeyStaysRevoked)
{
    Fixture f(2);
    f.harness.start();
    f.harness.store().saveCopy();
    auto state = makeState(2, routesOf(1));
    state.apiKey = "another";
    f.harness.store().publishDesiredState(state);
    for (const std::size_t vm : { 0, 1 }) {
        f.harness.waitFor([&] { return f.statusOf(vm, 1) == net::status::unauthorized; }, "a revoked key");
    }
    f.harness.store().rollBack();
    for (const std::size_t vm : { 0, 1 }) {
        f.harness.waitForLogLines({ vm }, "\"store rolled back\"", 1);
        cr_assert_eq(f.statusOf(vm, 1), net::status::unauthorized);
    }
}

Test(storeRollback, vmThatStartsAfterwardsTakesTheStateOfTheOthers)
{
    Fixture f(3);
    f.harness.start(0, 2);
    f.harness.waitForLinks();
    f.harness.store().saveCopy();
    f.publish(2);
    f.publish(3);
    f.waitForVersion(3, 2);
    f.harness.store().rollBack();
    f.harness.start(2, 1);
    f.waitForVersion(3, 3);
}

Test(storeRollback, vmThatStartsAfterwardsServesAlone)
{
    Fixture f(1);
    f.harness.start();
    f.harness.store().saveCopy();
    f.publish(2);
    f.waitForVersion(2, 1);
    f.harness.signal(0, SIGKILL);
    f.harness.waitFor([&] { return f.harness.hasEnded(0); }, "the end of the vm");
    f.harness.store().rollBack();
    f.harness.start();
    cr_assert_eq(f.statusOf(0, 1), net::status::ok);
    f.publish(3);
    f.waitForVersion(3, 1);
}

struct EndpointCase {
    char name[24];
    bool isDraining; ///< else it has ended
};

EndpointCase endpointCases[] = { { "draining", true }, { "ended", false } };

ParameterizedTestParameters(storeRollback, endpointThatHasLeftIsNotUsed)
{
    return cr_make_param_array(EndpointCase, endpointCases, std::size(endpointCases));
}

ParameterizedTest(EndpointCase *test, storeRollback, endpointThatHasLeftIsNotUsed)
{
    constexpr std::size_t vms = 5;
    constexpr int requestsPerVm = 10;
    Fixture f(vms);
    auto &leaving = f.harness.addEndpoint("p2", "plain", Behaviour::Respond);
    f.harness.start();
    for (std::size_t vm = 0; vm < vms; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"endpoint joined\"", 2);
    }
    f.harness.store().saveCopy();
    if (test->isDraining) {
        f.harness.store().registerEndpoint(leaving, true);
    } else {
        f.harness.store().removeEndpoint("p2");
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
        f.harness.waitForLogLines({ vm }, test->isDraining ? "\"endpoint leaving\"" : "\"endpoint removed\"", 1);
    }
    const std::size_t before = leaving.receivedRequests().size();
    f.harness.store().rollBack();
    for (std::size_t vm = 0; vm < vms; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"topic\":\"endpoints\",\"from_era\"", 1);
        for (int count = 0; count < requestsPerVm; ++count) {
            cr_assert_eq(f.statusOf(vm, 1), net::status::ok);
        }
    }
    cr_assert_eq(leaving.receivedRequests().size(), before, "%s: used again", test->name);
}

Test(storeRollback, endpointThatTheCopyDoesNotListStaysInUse)
{
    Fixture f(2);
    f.harness.store().removeEndpoint("p1");
    f.harness.start();
    f.harness.store().saveCopy();
    f.harness.store().registerEndpoint(f.endpoint);
    f.waitForVersion(1, 2);
    f.harness.store().rollBack();
    for (const std::size_t vm : { 0, 1 }) {
        f.harness.waitForLogLines({ vm }, "\"topic\":\"endpoints\",\"from_era\"", 1);
        cr_assert_eq(f.statusOf(vm, 1), net::status::ok);
    }
    f.harness.store().registerEndpoint(f.endpoint);
    f.waitForVersion(1, 2);
}

/** Returns the name and the value of the store's record of a quarantine. */
std::pair<std::string, std::string> quarantineRecord()
{
    gateway::SuspectMessage message;
    message.fingerprint = 1;
    message.crashCount = 3;
    for (std::uint64_t crash = 1; crash <= message.crashCount; ++crash) {
        message.crashes.push_back({ "e" + std::to_string(crash), crash });
    }
    return { "quarantine/1", net::toBase64(wire::encode(message)) };
}

/** A copy brought back quarantines that had ended: VMs took them up again, and they stayed in the store (issue 66). */
Test(storeRollback, quarantineThatHasEndedIsRemovedAgain)
{
    constexpr std::size_t vms = 5;
    const auto [name, value] = quarantineRecord();
    Fixture f(vms);
    f.harness.store().writeVmRecord(name, value);
    f.harness.store().saveCopy();
    f.harness.store().writeVmRecord(name, "");
    f.harness.start();
    f.harness.waitForLinks();
    f.harness.store().rollBack();
    cr_assert(f.harness.store().hasKey(vmTopic, name));
    f.harness.waitFor([&, &key = name] { return !f.harness.store().hasKey(vmTopic, key); }, "the removal");
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cr_assert(f.harness.lastLogLine(vm, "\"quarantine received\"").empty(), "vm %zu", vm);
    }
}

struct LostQuarantineCase {
    std::size_t vms;
};

LostQuarantineCase lostQuarantineCases[] = { { 1 }, { 4 }, { 5 }, { 6 }, { 7 }, { 8 } };

/** Quarantines were written again by a VM that did not follow the topic and so did not know of them (issue 66). */
ParameterizedTestParameters(storeRollback, quarantineThatTheCopyLacksIsWrittenAgain)
{
    return cr_make_param_array(LostQuarantineCase, lostQuarantineCases, std::size(lostQuarantineCases));
}

ParameterizedTest(LostQuarantineCase *test, storeRollback, quarantineThatTheCopyLacksIsWrittenAgain)
{
    const auto [name, value] = quarantineRecord();
    Fixture f(test->vms);
    f.harness.start();
    f.harness.waitForLinks();
    f.harness.runFor(2s); // the VMs' addresses are in the store, and known to its readers
    f.harness.store().saveCopy();
    f.harness.store().writeVmRecord(name, value);
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"quarantine received\"", 1);
    }
    f.harness.store().rollBack();
    cr_assert_not(f.harness.store().hasKey(vmTopic, name));
    f.harness.waitFor([&, &key = name] { return f.harness.store().hasKey(vmTopic, key); }, "the quarantine");
}

Test(storeRollback, eachVmWritesItsOwnAddressAgain)
{
    Fixture f(3);
    f.harness.store().saveCopy();
    f.harness.start();
    const auto hasAll = [&] {
        return f.harness.store().hasKey(vmTopic, "vm-0") && f.harness.store().hasKey(vmTopic, "vm-1")
            && f.harness.store().hasKey(vmTopic, "vm-2");
    };
    f.harness.waitFor(hasAll, "the addresses of all vms");
    f.harness.waitForLinks();
    f.harness.store().rollBack();
    cr_assert_not(hasAll());
    f.harness.waitFor(hasAll, "the addresses of all vms, written again");
}

struct EraTextCase {
    char text[24]; ///< "-": no era is named
    bool isRead; ///< whether records are still read
};

EraTextCase eraTextCases[] = { { "-", true }, { "seven", true }, { "999999", true }, { "0", false } };

ParameterizedTestParameters(storeRollback, unusualErasAreSurvived)
{
    return cr_make_param_array(EraTextCase, eraTextCases, std::size(eraTextCases));
}

ParameterizedTest(EraTextCase *test, storeRollback, unusualErasAreSurvived)
{
    Fixture f(1);
    f.harness.start();
    f.harness.store().setEraText(std::string_view(test->text) == "-" ? std::nullopt
                                                                     : std::optional(std::string(test->text)));
    f.publish(2);
    if (test->isRead) {
        f.waitForVersion(2, 1);
    } else {
        f.harness.waitForLogLines({ 0 }, "response of an earlier era", 1);
        cr_assert_eq(f.statusOf(0, 1), net::status::ok);
    }
    f.harness.store().setEraText("1");
    f.publish(3);
    f.waitForVersion(3, 1);
}
