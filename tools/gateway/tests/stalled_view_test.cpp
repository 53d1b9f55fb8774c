#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

/**
 * Requests that wait at a VM while it stands still, and what has changed meanwhile. The rows of "How old knowledge may
 * be" in docs/design/ON_THE_PLATFORM.md.
 */
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
