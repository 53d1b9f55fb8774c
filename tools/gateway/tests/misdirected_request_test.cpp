#include "requests.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

/** Requests that endpoints turn away because they expect another version of the weights. */
namespace
{

constexpr int otherVersion = 8;

struct MisdirectionCase {
    char name[40];
    char target[12];
    bool isRelayed; ///< another VM sends the requests
};

MisdirectionCase misdirectionCases[] = {
    { "sent by the VM that takes it", "/safe/x", false },
    { "may run once", "/unsafe/x", false },
    { "sent by another VM", "/safe/x", true },
};

} // namespace

/** One such request excluded all endpoints of its service, for the requests of all callers (issue 45, 6). */
ParameterizedTestParameters(misdirectedRequest, excludesNoEndpointForOthers)
{
    return cr_make_param_array(MisdirectionCase, misdirectionCases, std::size(misdirectionCases));
}

ParameterizedTest(MisdirectionCase *test, misdirectedRequest, excludesNoEndpointForOthers)
{
    constexpr std::size_t vms = 2;
    constexpr int laterRequests = 10;
    Harness harness(vms);
    harness.enableCuts();
    std::size_t refusals = 0;
    for (const std::string id : { "plain1", "plain2" }) {
        harness.addRawEndpoint(id, "plain", [&refusals, id](const net::HttpRequest &request) {
            const ReceivedRequest received { request };
            RawEndpoint::Answer answer;
            const auto receipt = receiptHeaders(id, received.requestId());
            refusals += received.expectsWeightsVersion() ? 1 : 0;
            answer.parts = { received.expectsWeightsVersion() ? misdirectionText(id) : answerText(receipt, "result") };
            return answer;
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0, 1 }, "\"endpoint joined\"", 2 * vms);
    harness.waitForLinks();
    if (test->isRelayed) {
        harness.cutOffAndWait(0, { "/safe/x" });
    }

    const auto conditional =
        requestHeaders({ .id = "conditional", .apiKey = key, .extraHeaders = weightsVersionHeaders(otherVersion) });
    const auto refused = harness.sendAndWait(0, "POST", test->target, conditional, "b");
    cr_assert(promisesNotRun(refused.status), "%s: status %d", test->name, refused.status);
    cr_assert_gt(refusals, 0U, "%s: no endpoint saw what the caller expects", test->name);
    for (int number = 0; number < laterRequests; ++number) {
        const auto response =
            harness.sendAndWait(0, "POST", test->target, headers("later-" + std::to_string(number)), "b");
        cr_assert_eq(response.status, net::status::ok, "%s: status %d", test->name, response.status);
    }
}
