#include "requests.h"

#include <algorithm>
#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

/** Holds one record for each VM too. */
const std::string quarantineTopic = "keyed.lacewingfall-vms";

/** Adds engines that crash when they execute a request, and publishes the routes. */
void addCrashingEngines(Harness &harness, std::size_t count)
{
    for (std::size_t engine = 0; engine < count; ++engine) {
        harness.addEndpoint("g" + std::to_string(engine), "engine", Behaviour::Crash);
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
}

/** Returns how often the endpoints have executed requests, in all. */
std::size_t countExecutions(Harness &harness)
{
    std::size_t count = 0;
    for (const auto &endpoint : harness.endpoints()) {
        count += endpoint->executionCount();
    }
    return count;
}

} // namespace

Test(gateway, requestThatCrashedThreeEndpointsIsNotSentByAnyVm)
{
    constexpr std::size_t vms = 4;
    constexpr std::size_t lateVm = vms - 1;
    constexpr std::size_t engines = 8;
    Harness harness(vms);
    addCrashingEngines(harness, engines);
    harness.start(0, lateVm);
    harness.waitForLinks();
    // The caller sends it to another VM each time, so no VM has a reason of its own to connect to an endpoint again.
    for (std::size_t vm = 0; vm < lateVm; ++vm) {
        const auto response =
            harness.sendAndWait(vm, "POST", "/stream/x", headers("1-" + std::to_string(vm)), "poison");
        cr_assert_eq(response.status, 502, "%d", response.status);
        harness.waitForLogLines({ 0, 1, 2 }, "\"suspect request\"", vm + 1);
    }
    harness.waitForLogLines({ 0, 1 }, "\"quarantine received\"", 2);
    for (std::size_t vm = 0; vm < lateVm; ++vm) {
        const auto response =
            harness.sendAndWait(vm, "POST", "/stream/x", headers("2-" + std::to_string(vm)), "poison");
        cr_assert_eq(response.status, 503, "vm %zu: %d", vm, response.status);
        cr_assert(findRetryAfter(response.headers).has_value());
    }
    harness.start(lateVm, 1);
    harness.waitForLogLines({ lateVm }, "\"quarantine received\"", 1);
    const auto response = harness.sendAndWait(lateVm, "POST", "/stream/x", headers("3"), "poison");
    cr_assert_eq(response.status, 503, "late vm: %d", response.status);
    cr_assert_eq(countExecutions(harness), 3U, "%zu", countExecutions(harness));
}

Test(gateway, requestWhosePiecesCrashedThreeEndpointsIsNotSentByAnyVm)
{
    constexpr std::size_t endpoints = 8;
    Harness harness(2);
    harness.addEndpoint("g1", "engine", Behaviour::Stream);
    harness.addEndpoint("t1", "second", Behaviour::Respond);
    std::vector<Endpoint *> first;
    for (std::size_t index = 0; index < endpoints; ++index) {
        first.push_back(&harness.addEndpoint("s" + std::to_string(index), "first", Behaviour::Respond));
        first.back()->crashOnPiecesOf("poison");
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLinks();
    const auto crashes = [&] {
        return std::count_if(first.begin(), first.end(), [](const Endpoint *endpoint) {
            const auto &calls = endpoint->pieceCalls();
            return std::any_of(calls.begin(), calls.end(), [](const auto &requests) {
                return std::any_of(
                    requests.begin(), requests.end(), [](const auto &id) { return id.starts_with("poison"); });
            });
        });
    };
    const auto sendOther = [&](int number) {
        const auto id = "other-" + std::to_string(number);
        return harness.sendAsync(0, "POST", "/staged/x", stagedHeaders(id, { 1, 1 }), std::to_string(number));
    };
    constexpr int attempts = 6;
    std::vector<std::shared_ptr<std::optional<Response>>> others;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        others.push_back(sendOther(attempt));
        const auto id = "poison-" + std::to_string(attempt);
        const auto response =
            harness.sendAndWait(std::size_t(attempt) % 2, "POST", "/staged/x", stagedHeaders(id, { 1, 1 }), "poison");
        cr_assert_eq(response.status, 503, "%d", response.status);
    }
    cr_assert_leq(crashes(), 3, "%td", crashes());
    // Those in the same calls may have been rejected for lack of retries, but are not taken for the cause.
    for (int attempt = 0; attempt < attempts; ++attempt) {
        harness.waitFor([&] { return others[attempt]->has_value(); }, "a response");
        others[attempt] = sendOther(attempt);
        harness.waitFor([&] { return others[attempt]->has_value(); }, "a response");
        cr_assert_eq((*others[attempt])->status, 200, "%d", (*others[attempt])->status);
    }
}

Test(gateway, quarantineOutlivesTheRestartOfAllVms)
{
    Harness harness(2);
    addCrashingEngines(harness, 5);
    harness.start();
    harness.waitForLinks();
    for (std::size_t crash = 1; crash <= 3; ++crash) {
        harness.sendAndWait(0, "POST", "/stream/x", headers("1-" + std::to_string(crash)), "poison");
        harness.waitForLogLines({ 0 }, "\"suspect request\"", crash);
    }
    harness.waitFor([&] { return harness.store().newestRecordCount(quarantineTopic) > 2; }, "a stored quarantine");
    for (const std::size_t vm : { 0, 1 }) {
        harness.signal(vm, SIGKILL);
        harness.waitFor([&] { return harness.hasEnded(vm); }, "the end of a vm");
    }
    harness.start();
    for (const std::size_t vm : { 0, 1 }) {
        harness.waitForLogLines({ vm }, "\"quarantine received\"", 1);
        const auto response =
            harness.sendAndWait(vm, "POST", "/stream/x", headers("2-" + std::to_string(vm)), "poison");
        cr_assert_eq(response.status, 503, "vm %zu: %d", vm, response.status);
    }
    cr_assert_eq(countExecutions(harness), 3U, "%zu", countExecutions(harness));
}

Test(gateway, requestQuarantinedDuringItsStagesIsNotSent)
{
    Harness harness(1);
    addCrashingEngines(harness, 4);
    auto &first = harness.addEndpoint("s1", "first", Behaviour::Respond);
    harness.addEndpoint("s2", "second", Behaviour::Respond);
    first.holdPieceCalls();
    harness.start();
    const auto waiting = harness.sendAsync(0, "POST", "/staged/x", stagedHeaders("1", { 1, 1 }), "poison");
    harness.waitFor([&] { return !first.pieceCalls().empty(); }, "a call for pieces");
    for (std::size_t crash = 1; crash <= 3; ++crash) {
        harness.sendAndWait(0, "POST", "/staged/x", headers("2-" + std::to_string(crash)), "poison");
        harness.waitForLogLines({ 0 }, "\"suspect request\"", crash);
    }
    first.releaseHeldResponses();
    harness.waitFor([&] { return waiting->has_value(); }, "a response");
    cr_assert_eq((*waiting)->status, 503, "%d", (*waiting)->status);
    cr_assert_eq(countExecutions(harness), 3U, "%zu", countExecutions(harness));
}

namespace
{

struct CrashCase {
    char service[16]; ///< of the endpoint that crashes
    char answer[64]; ///< what it has sent of its answer
    char logLine[24];
};

CrashCase crashCases[] = {
    { "engine", "data: 1\n\ndata: ", "\"suspect request\"" },
    { "first", "{\"items\":[{\"handle\":", "\"suspect pieces\"" },
};

} // namespace

ParameterizedTestParameters(gateway, crashInAnAnswerWithoutFramingIsNoticed)
{
    return cr_make_param_array(CrashCase, crashCases, std::size(crashCases));
}

ParameterizedTest(CrashCase *test, gateway, crashInAnAnswerWithoutFramingIsNoticed)
{
    Harness harness(1);
    for (const char *service : { "engine", "first", "second" }) {
        const std::string id = std::string(service) + "-1";
        if (std::string_view(service) != test->service) {
            harness.addEndpoint(
                id, service, std::string_view(service) == "engine" ? Behaviour::Stream : Behaviour::Respond);
            continue;
        }
        harness.addRawEndpoint(id, service, [test, id](const std::string &request) -> RawEndpoint::Answer {
            const std::string head = "HTTP/1.1 200 OK\r\n" + receiptHeaders(id, request) + "Connection: close\r\n\r\n";
            return { { head + test->answer }, RawEndpoint::Ending::Crash };
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    const auto response = harness.sendAsync(0, "POST", "/staged/x", stagedHeaders("1", { 1, 1 }), "body");
    harness.waitForLogLines({ 0 }, test->logLine, 1);
}
