#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

/** Requests around the planned stop of a VM. */
namespace
{

/** More output than an engine makes in a grace period. */
constexpr std::uint32_t manyTokens = 1'000;
constexpr std::uint32_t fewTokens = 8;

struct StopCase {
    char name[50];
    char service[10];
    char target[16];
    std::uint32_t maxOutputTokens;
    bool completesBefore; ///< whether a request of that kind completed quickly before the stop
    bool isServed;
};

StopCase stopCases[] = {
    { "short stream", "engine", "/stream/x", fewTokens, false, true },
    { "long stream", "engine", "/stream/x", manyTokens, false, false },
    { "long stream that may be resumed", "engine", "/resumable/x", manyTokens, false, false },
    { "stream of a size that was quick before", "engine", "/stream/x", manyTokens, true, true },
    { "unsafe", "plain", "/unsafe/x", 0, false, true },
    { "long unsafe", "plain", "/unsafe/x", manyTokens, false, false },
    { "safe", "plain", "/safe/x", 0, false, true },
    { "long safe", "plain", "/safe/x", manyTokens, false, false },
};

net::Headers headersOf(const std::string &id, std::uint32_t maxOutputTokens)
{
    return requestHeaders({ .id = id, .apiKey = key, .maxOutputTokens = maxOutputTokens });
}

bool closesConnection(const Response &response)
{
    return std::any_of(response.headers.begin(), response.headers.end(), [](const net::Header &header) {
        return header.name == "Connection" && header.value == "close";
    });
}

} // namespace

/** A request that came after the stop signal was passed on, and cut at the end of the grace period (issue 44). */
ParameterizedTestParameters(plannedStop, servesWhatCompletesAndRejectsTheRestAtOnce)
{
    return cr_make_param_array(StopCase, stopCases, std::size(stopCases));
}

ParameterizedTest(StopCase *test, plannedStop, servesWhatCompletesAndRejectsTheRestAtOnce)
{
    Harness harness(1);
    const bool isStream = std::string_view(test->service) == "engine";
    auto &endpoint = harness.addEndpoint("e1", test->service, isStream ? Behaviour::Stream : Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 1);
    // The answer keeps the connection, on which the next request is sent.
    const auto tokensBefore = test->completesBefore ? test->maxOutputTokens : 0;
    cr_assert_eq(harness.sendAndWait(0, "POST", test->target, headersOf("1", tokensBefore), "b").status, 200);

    harness.signal(0, SIGTERM);
    harness.waitFor([&] { return harness.readiness(0) == net::status::unavailable; }, "readiness to be withdrawn");
    if (!test->isServed) {
        endpoint.setBehaviour(Behaviour::Hold); // for longer than the VM runs
    }
    const auto response = harness.sendAndWait(0, "POST", test->target, headersOf("2", test->maxOutputTokens), "b");
    cr_assert(response.isComplete, "%s", test->name);
    cr_assert(closesConnection(response), "%s", test->name);
    cr_assert_eq(response.status, test->isServed ? 200 : 503, "%s: %d", test->name, response.status);
    cr_assert_eq(findRetryAfter(response.headers).has_value(), !test->isServed, "%s", test->name);
    cr_assert_eq(endpoint.executionCount(), test->isServed ? 2U : 1U, "%s", test->name);
    harness.waitFor([&] { return harness.hasEnded(0); }, "the process to end");
}

struct OutlastCase {
    char name[50];
    char service[10];
    char target[16];
    int status; ///< of the answer
};

OutlastCase outlastCases[] = {
    { "unsafe", "plain", "/unsafe/x", 504 },
    { "safe", "plain", "/safe/x", 504 },
    { "stream", "engine", "/resumable/x", 504 },
    { "staged", "first", "/staged/x", 503 },
};

/** A request that outlasted the grace period ended with its connection, without an answer (issue 44). */
ParameterizedTestParameters(plannedStop, requestThatOutlastsTheGracePeriodIsAnswered)
{
    return cr_make_param_array(OutlastCase, outlastCases, std::size(outlastCases));
}

ParameterizedTest(OutlastCase *test, plannedStop, requestThatOutlastsTheGracePeriodIsAnswered)
{
    Harness harness(1);
    harness.setStopGrace(1);
    auto &endpoint = harness.addEndpoint("e1", test->service, Behaviour::Hold);
    endpoint.holdPieceCalls();
    const bool isStaged = std::string_view(test->target) == "/staged/x";
    for (const char *service : { "second", "engine" }) {
        if (!isStaged) {
            break;
        }
        harness.addEndpoint(std::string("other-") + service, service, Behaviour::Stream);
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", harness.endpoints().size());
    const auto answer =
        harness.sendAsync(0, "POST", test->target, isStaged ? stagedHeaders("1", { 1, 1 }) : headersOf("1", 0), "b");
    harness.waitFor([&] { return endpoint.arrivalCount() == 1; }, "the request at the endpoint");
    harness.signal(0, SIGTERM);
    harness.waitFor([&] { return answer->has_value(); }, "an answer");
    cr_assert((*answer)->isComplete, "%s", test->name);
    cr_assert_eq((*answer)->status, test->status, "%s: %d", test->name, (*answer)->status);
    harness.waitFor([&] { return harness.hasEnded(0); }, "the process to end");
}
