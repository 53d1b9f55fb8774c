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

/** Longer than a test. */
constexpr const char *quietSeconds = "60";

/** Why nobody waits for the answer when it arrives. */
enum class End : std::uint8_t { CallerLeft, DeadlinePassed, CallerLeftJustBefore };

struct LateAnswerCase {
    char name[50];
    char service[10];
    char target[16];
    End end;
};

LateAnswerCase lateAnswerCases[] = {
    { "caller left, safe", "plain", "/safe/x", End::CallerLeft },
    { "caller left, unsafe", "plain", "/unsafe/x", End::CallerLeft },
    { "caller left, stream", "engine", "/stream/x", End::CallerLeft },
    { "caller left just before, safe", "plain", "/safe/x", End::CallerLeftJustBefore },
    { "caller left just before, stream", "engine", "/stream/x", End::CallerLeftJustBefore },
    { "deadline passed, unsafe", "plain", "/unsafe/x", End::DeadlinePassed },
    { "deadline passed, stream", "engine", "/stream/x", End::DeadlinePassed },
};

} // namespace

/** An endpoint said that it wants nothing on a call that nobody waited for any more, and got requests (issue 34). */
ParameterizedTestParameters(lateAnswer, quietTimeHoldsAlthoughNobodyWaits)
{
    return cr_make_param_array(LateAnswerCase, lateAnswerCases, std::size(lateAnswerCases));
}

ParameterizedTest(LateAnswerCase *test, lateAnswer, quietTimeHoldsAlthoughNobodyWaits)
{
    constexpr std::chrono::milliseconds shortTimeout { 400 };
    Harness harness(1);
    auto &endpoint = harness.addEndpoint("e1", test->service, Behaviour::HoldAndReject);
    endpoint.rejectHeldWithRetryAfter(quietSeconds);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 1);

    const bool hasDeadline = test->end == End::DeadlinePassed;
    RequestSpec spec { .id = "1", .apiKey = key };
    if (hasDeadline) {
        spec.callerTimeout = shortTimeout;
    }
    auto caller = std::make_unique<net::HttpClient>(harness.loop(), net::HttpClientOptions());
    net::HttpCall call;
    call.address = harness.callersAddress(0);
    call.method = "POST";
    call.target = test->target;
    call.headers = requestHeaders(spec);
    caller->start(std::move(call), { 0s, 0s, 0s, 0s }, {});
    harness.waitFor([&] { return endpoint.receivedRequests().size() == 1; }, "the request at the endpoint");
    if (test->end == End::CallerLeftJustBefore) {
        caller.reset();
        endpoint.releaseHeldResponses(); // before it can have read that the VM gives up
    } else {
        // The VM gets the answer together with the reason not to wait for it, as one without processor time does.
        harness.signal(0, SIGSTOP);
        if (hasDeadline) {
            harness.runFor(shortTimeout + 100ms);
        } else {
            caller.reset();
            harness.runFor(20ms);
        }
        endpoint.releaseHeldResponses();
        harness.runFor(20ms);
        harness.signal(0, SIGCONT);
    }
    harness.runFor(500ms);
    // The VM may have asked once more by itself, or not at all.
    endpoint.setBehaviour(Behaviour::Respond);
    for (int count = 2; count < 6; ++count) {
        const auto response =
            harness.sendAndWait(0, "POST", test->target, headers(std::to_string(count)), "b" + std::to_string(count));
        cr_assert_eq(response.status, net::status::unavailable, "%s: %d", test->name, response.status);
    }
    cr_assert_eq(endpoint.receivedRequests().size(), 1U, "%s: %zu", test->name, endpoint.receivedRequests().size());
}
