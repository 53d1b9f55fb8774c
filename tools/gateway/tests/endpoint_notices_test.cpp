#include "fixture.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

struct LeavingCase {
    char endpoint[16];
    char target[16];
    Behaviour behaviour;
    bool isStoreAway; ///< else the directory goes on to list the endpoint as ready
};

LeavingCase leavingCases[] = {
    { "plain1", "/safe/x", Behaviour::Respond, false },
    { "plain1", "/safe/x", Behaviour::Respond, true },
    { "plain1", "/unsafe/x", Behaviour::Respond, false },
    { "plain1", "/safe/x", Behaviour::Fail, false },
    { "plain1", "/safe/x", Behaviour::Reject, false },
    { "engine1", "/stream/x", Behaviour::Stream, false },
    { "engine1", "/resumable/x", Behaviour::TruncateStream, false },
    { "engine1", "/staged/x", Behaviour::Stream, false },
    { "first1", "/staged/x", Behaviour::Respond, false },
    { "first1", "/staged/x", Behaviour::Respond, true },
    { "second1", "/staged/x", Behaviour::Respond, false },
};

constexpr int requestsPerVm = 12;

} // namespace

ParameterizedTestParameters(endpointNotices, endpointThatLeavesGetsNothingNew)
{
    return cr_make_param_array(LeavingCase, leavingCases, std::size(leavingCases));
}

ParameterizedTest(LeavingCase *test, endpointNotices, endpointThatLeavesGetsNothingNew)
{
    Fixture f;
    const std::string id = test->endpoint;
    f.endpoint(id).setBehaviour(test->behaviour);
    if (test->isStoreAway) {
        f.harness.store().setFault(Store::Fault::Unavailable);
    }
    f.endpoint(id).announceLeaving();
    f.sendUntilReached(id, test->target);
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"endpoint leaving\",\"fields\":{\"endpoint\":\"" + id, 1);
    }
    const std::size_t before = f.arrivals(id);
    f.harness.store().registerEndpoint(f.endpoint(id)); // still ready, as far as the directory says
    for (int count = 0; count < requestsPerVm; ++count) {
        for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
            cr_assert_eq(f.send(vm, test->target).status, net::status::ok, "%s", test->endpoint);
        }
    }
    cr_assert_eq(f.arrivals(id), before, "%s %s: %zu more", test->endpoint, test->target, f.arrivals(id) - before);
}

Test(endpointNotices, serviceWhoseEndpointsAllLeaveRefusesAtOnce)
{
    for (const char *service : { "plain", "first" }) {
        Fixture f(1);
        const char *target = std::string_view(service) == "plain" ? "/safe/x" : "/staged/x";
        for (const char *number : { "1", "2" }) {
            f.endpoint(std::string(service) + number).announceLeaving();
            f.sendUntilReached(std::string(service) + number, target);
        }
        f.harness.waitForLogLines({ 0 }, "\"endpoint leaving\"", 2);
        const auto response = f.send(0, target);
        cr_assert_eq(response.status, net::status::unavailable, "%s: %d", service, response.status);
        cr_assert(findRetryAfter(response.headers).has_value(), "%s", service);
    }
}

struct QuietCase {
    char endpoint[16];
    char target[16];
};

QuietCase quietCases[] = { { "plain1", "/safe/x" },    { "plain1", "/unsafe/x" }, { "engine1", "/stream/x" },
                           { "engine1", "/staged/x" }, { "first1", "/staged/x" }, { "second1", "/staged/x" } };

ParameterizedTestParameters(endpointNotices, endpointThatAsksForQuietGetsNothing)
{
    return cr_make_param_array(QuietCase, quietCases, std::size(quietCases));
}

ParameterizedTest(QuietCase *test, endpointNotices, endpointThatAsksForQuietGetsNothing)
{
    Fixture f(1);
    const std::string id = test->endpoint;
    f.endpoint(id).rejectWithRetryAfter("60");
    f.sendUntilReached(id, test->target);
    const std::size_t before = f.arrivals(id);
    for (int count = 0; count < requestsPerVm; ++count) {
        cr_assert_eq(f.send(0, test->target).status, net::status::ok, "%s", test->endpoint);
    }
    cr_assert_eq(f.arrivals(id), before, "%s: %zu more", test->endpoint, f.arrivals(id) - before);
}

/** What waits for the check of a lost connection was called after it had been freed if the endpoint asked for quiet. */
Test(endpointNotices, piecesLostInAQuietTimeAreMadeElsewhere)
{
    constexpr std::size_t requests = 16;
    Harness harness(1);
    int calls = 0;
    const std::string brokenOff =
        "HTTP/1.1 503 Busy\r\n" + retryAfterHeaderText("60") + "Content-Length: 10\r\n\r\nbroken";
    harness.addRawEndpoint("first1", "first", [&](const std::string &) -> RawEndpoint::Answer {
        ++calls;
        return { { brokenOff }, RawEndpoint::Ending::Close };
    });
    harness.addEndpoint("first2", "first", Behaviour::Respond);
    harness.addEndpoint("second1", "second", Behaviour::Respond);
    harness.addEndpoint("engine1", "engine", Behaviour::Stream);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 4);
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    for (std::size_t request = 0; request < requests; ++request) {
        const auto id = "staged" + std::to_string(request);
        responses.push_back(harness.sendAsync(0, "POST", "/staged/x", stagedHeaders(id, { 4, 1 }), id));
    }
    harness.waitFor(
        [&] {
            return harness.hasEnded(0)
                || std::all_of(responses.begin(), responses.end(), [](const auto &r) { return r->has_value(); });
        },
        "responses");
    cr_assert_not(harness.hasEnded(0));
    cr_assert_eq(calls, 1, "%d calls", calls);
    for (const auto &response : responses) {
        cr_assert_eq((*response)->status, net::status::ok, "%d", (*response)->status);
    }
}

ParameterizedTestParameters(endpointNotices, callersReturnWhenTheFirstEndpointDoes)
{
    return cr_make_param_array(QuietCase, quietCases, std::size(quietCases));
}

ParameterizedTest(QuietCase *test, endpointNotices, callersReturnWhenTheFirstEndpointDoes)
{
    constexpr double firstReturn = 40; // seconds, less the time that the test takes
    constexpr double slack = 20;
    Fixture f(1);
    const std::string id = test->endpoint;
    const std::string other = id.substr(0, id.size() - 1) + "2";
    f.endpoint(id).rejectWithRetryAfter("40");
    f.endpoint(other).rejectWithRetryAfter("3000");
    f.sendUntilReached(id, test->target);
    f.harness.waitFor(
        [&] {
            f.send(0, test->target);
            return f.arrivals(other) > 0;
        },
        "a request at the other endpoint");
    std::set<std::string> times;
    for (int count = 0; count < requestsPerVm; ++count) {
        const auto response = f.send(0, test->target);
        cr_assert_eq(response.status, net::status::unavailable, "%s: %d", test->endpoint, response.status);
        const auto time = findRetryAfter(response.headers);
        cr_assert(time.has_value());
        cr_assert_gt(std::stod(*time), firstReturn - slack, "%s: %s", test->endpoint, time->c_str());
        cr_assert_lt(std::stod(*time), 4 * firstReturn, "%s: %s", test->endpoint, time->c_str());
        times.insert(*time);
    }
    cr_assert_gt(times.size(), 1U, "all callers return at once");
    cr_assert_eq(f.arrivals(other), 1U);
}

Test(endpointNotices, endpointIsUsedAgainAfterItsQuietPeriod)
{
    Fixture f(1);
    f.endpoint("plain1").rejectWithRetryAfter("0.3");
    f.sendUntilReached("plain1", "/safe/x");
    f.endpoint("plain1").rejectWithRetryAfter("");
    f.sendUntilReached("plain1", "/safe/x");
}

Test(endpointNotices, resultsOfOtherEndpointsAreReleasedMeanwhile)
{
    Fixture f(1);
    f.harness.store().removeEndpoint("second2");
    f.harness.waitForLogLines({ 0 }, "\"endpoint removed\"", 1);
    for (const char *id : { "engine1", "engine2" }) {
        f.endpoint(id).setBehaviour(Behaviour::Hold);
    }
    const auto sendHeld = [&](const std::string &id, std::chrono::milliseconds timeout) {
        return f.harness.sendAsync(
            0,
            "POST",
            "/staged/x",
            requestHeaders({ .id = id, .apiKey = key, .callerTimeout = timeout, .pieceCounts = { 1, 1 } }),
            id);
    };
    const auto first = sendHeld("held-1", 1s);
    const auto second = sendHeld("held-2", 2s);
    f.harness.waitFor([&] { return f.arrivals("engine1") + f.arrivals("engine2") == 2; }, "held requests");
    f.endpoint("second1").rejectWithRetryAfter("3000");
    f.harness.waitForLogLines({ 0 }, "\"endpoint wants no requests\"", 1); // the release for the first request
    f.harness.waitFor([&] { return second->has_value(); }, "the end of the second request"); // its release has to wait
    f.harness.store().registerEndpoint(f.endpoint("second2"));
    for (const char *id : { "engine1", "engine2" }) {
        f.endpoint(id).setBehaviour(Behaviour::Stream);
    }
    f.sendUntilReached("second2", "/staged/x");
    f.harness.waitFor([&] { return f.endpoint("second2").results().empty(); }, "released results");
    cr_assert_eq(f.endpoint("second1").results().size(), 2U);
}
