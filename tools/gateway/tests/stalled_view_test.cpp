#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

/** What a VM still knows after it stood still; the table in docs/design/STALE_KNOWLEDGE.md. */
namespace
{

constexpr std::size_t waitingRequests = 8;

enum class Change : std::uint8_t { KeyRemoved, RouteRemoved, RouteMoved, EndpointDrains, EndpointRemoved };

struct StallCase {
    char name[40];
    Change change;
    int pauseMs;
};

StallCase stallCases[] = {
    { "key removed, 1 s", Change::KeyRemoved, 1'000 },
    { "key removed, 6 s", Change::KeyRemoved, 6'000 },
    { "route removed, 1 s", Change::RouteRemoved, 1'000 },
    { "route removed, 10 s", Change::RouteRemoved, 10'000 },
    { "route moved, 3 s", Change::RouteMoved, 3'000 },
    { "endpoint drains, 1 s", Change::EndpointDrains, 1'000 },
    { "endpoint drains, 6 s", Change::EndpointDrains, 6'000 },
    { "endpoint removed, 3 s", Change::EndpointRemoved, 3'000 },
};

DesiredStateSpec changedState(Change change)
{
    auto state = makeState(2, allRoutes());
    auto &route = state.routes.front();
    switch (change) {
    case Change::KeyRemoved:
        state.apiKey = "another";
        break;
    case Change::RouteRemoved:
        state.routes.erase(state.routes.begin());
        break;
    case Change::RouteMoved:
        route.service = "other";
        break;
    case Change::EndpointDrains:
    case Change::EndpointRemoved:
        break;
    }
    return state;
}

} // namespace

/** What changed during a stall was not known to the requests that were read first after it (issue 45, 2). */
ParameterizedTestParameters(stalledView, isNotUsedForRequestsThatHaveWaited)
{
    return cr_make_param_array(StallCase, stallCases, std::size(stallCases));
}

ParameterizedTest(StallCase *test, stalledView, isNotUsedForRequestsThatHaveWaited)
{
    Harness harness(1);
    auto &old = harness.addEndpoint("old", "plain", Endpoint::Behaviour::Respond);
    auto &next = harness.addEndpoint("next", "other", Endpoint::Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 2);
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    const auto sendAll = [&](const std::string &name) {
        responses.clear();
        for (std::size_t number = 0; number < waitingRequests; ++number) {
            responses.push_back(harness.sendAsync(0, "POST", "/safe/x", headers(name + std::to_string(number)), "b"));
        }
    };
    const auto waitForAll = [&] {
        harness.waitFor(
            [&] {
                return std::all_of(
                    responses.begin(), responses.end(), [](const auto &response) { return response->has_value(); });
            },
            "all responses");
    };
    sendAll("before"); // opens connections, on which the requests below are read at once
    waitForAll();
    const auto arrivals = old.arrivalCount();

    harness.signal(0, SIGSTOP);
    sendAll("during");
    harness.runFor(std::chrono::milliseconds(test->pauseMs));
    if (test->change == Change::EndpointDrains) {
        harness.store().registerEndpoint(old, true);
    } else if (test->change == Change::EndpointRemoved) {
        harness.store().removeEndpoint("old");
    } else {
        harness.store().publishDesiredState(changedState(test->change));
    }
    harness.signal(0, SIGCONT);
    waitForAll();
    cr_expect_eq(old.arrivalCount(), arrivals, "%s: requests sent by the old view", test->name);
    for (const auto &response : responses) {
        const int status = (*response)->status;
        const bool isServed = status == net::status::ok;
        cr_expect_eq(isServed, test->change == Change::RouteMoved, "%s: status %d", test->name, status);
    }
    cr_expect_eq(next.executionCount(),
                 test->change == Change::RouteMoved ? waitingRequests : 0,
                 "%s: requests served by the new view",
                 test->name);
}

/** A VM that nobody tells whether its view is current serves by that view after a while, as one that is cut off does.
 */
Test(stalledView, isUsedIfNobodyConfirmsIt)
{
    constexpr Duration pause = 2s;
    Harness harness(1);
    auto &endpoint = harness.addEndpoint("old", "plain", Endpoint::Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 1);
    harness.sendAndWait(0, "POST", "/safe/x", headers("before"), "b");
    harness.signal(0, SIGSTOP);
    harness.store().silenceReaders();
    const auto response = harness.sendAsync(0, "POST", "/safe/x", headers("during"), "b");
    harness.runFor(pause);
    harness.signal(0, SIGCONT);
    harness.waitFor([&] { return response->has_value(); }, "a response");
    cr_assert_eq((*response)->status, net::status::ok, "status %d", (*response)->status);
    cr_assert_eq(endpoint.executionCount(), 2U);
}

/** A VM that sends for another one does not send on after a stall what nobody awaits any more. */
Test(stalledView, isNotUsedForRequestsOfOtherVms)
{
    constexpr Duration pause = 3s;
    constexpr Duration settleTime = 500ms;
    Harness harness(2);
    harness.enableCuts();
    auto &endpoint = harness.addEndpoint("plain1", "plain", Endpoint::Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0, 1 }, "\"endpoint joined\"", 2);
    harness.waitForLinks();
    harness.cutOffAndWait(0, { "/unsafe/x" });
    cr_assert_eq(harness.sendAndWait(0, "POST", "/unsafe/x", headers("before"), "b").status, net::status::ok);
    const auto executions = endpoint.executionCount();

    harness.signal(1, SIGSTOP);
    const auto response = harness.sendAsync(0, "POST", "/unsafe/x", headers("during"), "b");
    harness.runFor(pause);
    harness.signal(1, SIGCONT);
    harness.waitFor([&] { return response->has_value(); }, "a response");
    harness.runFor(settleTime);
    cr_assert_neq((*response)->status, net::status::ok);
    cr_assert_eq(endpoint.executionCount(), executions, "executed after status %d", (*response)->status);
}

namespace
{

struct PauseCase {
    char name[20];
    int pauseMs;
};

PauseCase pauseCases[] = { { "1 s", 1'000 }, { "3 s", 3'000 }, { "6 s", 6'000 } };

} // namespace

/** A rate limit allows no more after a stall than half a second of it and one request. */
ParameterizedTestParameters(stalledView, keepsRateLimits)
{
    return cr_make_param_array(PauseCase, pauseCases, std::size(pauseCases));
}

ParameterizedTest(PauseCase *test, stalledView, keepsRateLimits)
{
    constexpr double perSecond = 4;
    constexpr double burstSeconds = 0.5;
    constexpr Duration observedTime = 250ms;
    constexpr std::size_t most = 1 + std::size_t(perSecond * (burstSeconds + toSeconds(observedTime)));
    Harness harness(1);
    auto &endpoint = harness.addEndpoint("plain1", "plain", Endpoint::Behaviour::Respond);
    endpoint.nameRateLimit(std::to_string(perSecond));
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 1);
    harness.sendAndWait(0, "POST", "/safe/x", headers("before"), "b");
    const auto arrivals = endpoint.arrivalCount();

    harness.signal(0, SIGSTOP);
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    constexpr int waiting = 30;
    for (int number = 0; number < waiting; ++number) {
        responses.push_back(harness.sendAsync(0, "POST", "/safe/x", headers("during-" + std::to_string(number)), "b"));
    }
    harness.runFor(std::chrono::milliseconds(test->pauseMs));
    harness.signal(0, SIGCONT);
    harness.runFor(observedTime);
    cr_assert_leq(endpoint.arrivalCount() - arrivals, most, "%s", test->name);
}

/** An endpoint that wants no requests for a time gets none within it because its VM stood still. */
ParameterizedTestParameters(stalledView, keepsQuietTimes)
{
    return cr_make_param_array(PauseCase, pauseCases, std::size(pauseCases));
}

ParameterizedTest(PauseCase *test, stalledView, keepsQuietTimes)
{
    constexpr int margin = 2;
    const int quietSeconds = test->pauseMs / 1'000 + margin;
    Harness harness(1);
    auto &endpoint = harness.addEndpoint("plain1", "plain", Endpoint::Behaviour::Respond);
    endpoint.rejectWithRetryAfter(std::to_string(quietSeconds));
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 1);
    cr_assert_eq(harness.sendAndWait(0, "POST", "/safe/x", headers("before"), "b").status, net::status::unavailable);
    endpoint.rejectWithRetryAfter({});
    const auto arrivals = endpoint.arrivalCount();

    harness.signal(0, SIGSTOP);
    const auto during = harness.sendAsync(0, "POST", "/safe/x", headers("during"), "b");
    harness.runFor(std::chrono::milliseconds(test->pauseMs));
    harness.signal(0, SIGCONT);
    harness.waitFor([&] { return during->has_value(); }, "a response");
    cr_assert_eq((*during)->status, net::status::unavailable, "%s: %d", test->name, (*during)->status);
    cr_assert_eq(endpoint.arrivalCount(), arrivals, "%s", test->name);
    harness.waitFor(
        [&, number = 0]() mutable {
            const auto id = "after-" + std::to_string(++number);
            return harness.sendAndWait(0, "POST", "/safe/x", headers(id), "b").status == net::status::ok;
        },
        "the end of the quiet time");
}

/** Requests with stages are served while a VM that batches their pieces stands still, and after it. */
ParameterizedTestParameters(stalledView, endsNoRoleForGood)
{
    return cr_make_param_array(PauseCase, pauseCases, std::size(pauseCases));
}

ParameterizedTest(PauseCase *test, stalledView, endsNoRoleForGood)
{
    constexpr std::size_t vms = 3;
    Harness harness(vms);
    for (const char *service : { "engine", "first", "second" }) {
        harness.addEndpoint(std::string(service) + "1",
                            service,
                            std::string_view(service) == "engine" ? Endpoint::Behaviour::Stream
                                                                  : Endpoint::Behaviour::Respond);
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0, 1, 2 }, "\"endpoint joined\"", 3 * vms);
    harness.waitForLinks();
    int requests = 0;
    const auto isServed = [&](std::size_t vm) {
        const auto id = "staged-" + std::to_string(++requests);
        return harness.sendAndWait(vm, "POST", "/staged/x", stagedHeaders(id, { 1, 1 }), "b").status == net::status::ok;
    };
    for (std::size_t stalled = 0; stalled < vms; ++stalled) {
        harness.signal(stalled, SIGSTOP);
        harness.runFor(std::chrono::milliseconds(test->pauseMs));
        const auto other = (stalled + 1) % vms;
        harness.waitFor([&] { return isServed(other); }, "a request served during the stall");
        harness.signal(stalled, SIGCONT);
        harness.waitFor([&] { return isServed(stalled); }, "a request served by the VM that stood still");
        harness.waitFor([&] { return isServed(other); }, "a request served after the stall");
    }
}
