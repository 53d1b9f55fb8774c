#include "requests.h"

#include <map>
#include <set>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

namespace
{

constexpr int requestCount = 12;
/** How often a caller sends a request that was rejected, with the id that it had. */
constexpr int maxTries = 4;

/** When the second copy of a rejection arrives. */
enum class Arrival : std::uint8_t {
    Never,
    AtOnce,
    WhileIdle,
    WithNextRequest, ///< just before the answer to the next request of the connection
    DuringNextRequest, ///< while the next request is still being run
};

struct RepeatedRejectionCase {
    char name[50];
    char service[10];
    char target[16];
    int status;
    Arrival arrival;
    int copies;
    bool isByAnotherVm;
};

RepeatedRejectionCase repeatedRejectionCases[] = {
    { "no copy", "plain", "/unsafe/x", 503, Arrival::Never, 0, false },
    { "at once", "plain", "/unsafe/x", 503, Arrival::AtOnce, 1, false },
    { "while idle", "plain", "/unsafe/x", 503, Arrival::WhileIdle, 1, false },
    { "with the next request", "plain", "/unsafe/x", 503, Arrival::WithNextRequest, 1, false },
    { "two copies", "plain", "/unsafe/x", 503, Arrival::WithNextRequest, 2, false },
    { "during the next request", "plain", "/unsafe/x", 503, Arrival::DuringNextRequest, 1, false },
    { "too many requests", "plain", "/unsafe/x", 429, Arrival::DuringNextRequest, 1, false },
    { "timeout in the queue", "plain", "/unsafe/x", 408, Arrival::DuringNextRequest, 1, false },
    { "bad request", "plain", "/unsafe/x", 400, Arrival::DuringNextRequest, 1, false },
    { "missing input", "plain", "/unsafe/x", 409, Arrival::DuringNextRequest, 1, false },
    { "stream", "engine", "/stream/x", 503, Arrival::DuringNextRequest, 1, false },
    { "stream, many", "engine", "/stream/x", 429, Arrival::WithNextRequest, 1, false },
    { "by another vm", "plain", "/unsafe/x", 503, Arrival::DuringNextRequest, 1, true },
    { "by another vm, stream", "engine", "/stream/x", 503, Arrival::WithNextRequest, 1, true },
};

/** Rejects each request when it first arrives, and sends that rejection more than once. */
RawEndpoint::Answer reject(const std::string &request, const RepeatedRejectionCase &test)
{
    constexpr Duration whileIdle = 1ms;
    const std::string rejection = rejectionText(test.status, requestIdHeaderText(request));
    std::string copies;
    for (int copy = 0; copy < test.copies; ++copy) {
        copies += rejection;
    }
    RawEndpoint::Answer answer { { rejection } };
    if (test.arrival == Arrival::WithNextRequest || test.arrival == Arrival::DuringNextRequest) {
        answer.extraBeforeNext = copies;
    } else {
        answer.extra = copies;
        answer.extraDelay = test.arrival == Arrival::WhileIdle ? whileIdle : Duration::zero();
    }
    return answer;
}

} // namespace

/** A copy of a rejection was taken for the answer to the same request, which then ran twice (issue 48). */
ParameterizedTestParameters(repeatedRejection, isNotTakenForTheAnswerToTheSameRequest)
{
    return cr_make_param_array(RepeatedRejectionCase, repeatedRejectionCases, std::size(repeatedRejectionCases));
}

ParameterizedTest(RepeatedRejectionCase *test, repeatedRejection, isNotTakenForTheAnswerToTheSameRequest)
{
    constexpr Duration workTime = 25ms;
    Harness harness(test->isByAnotherVm ? 2 : 1);
    if (test->isByAnotherVm) {
        harness.enableCuts();
    }
    std::map<std::string, int> executions;
    std::set<std::pair<std::string, std::string>> rejected;
    for (const char *name : { "e1", "e2" }) {
        const std::string id = name;
        harness.addRawEndpoint(id, test->service, [&, id](const std::string &request) {
            // Requests of other tests' kind, such as those that find out whether a path is cut, are served.
            if (request.starts_with("r") && rejected.insert({ id, request }).second) {
                return reject(request, *test);
            }
            ++executions[request];
            RawEndpoint::Answer answer { { answerText(receiptHeaders(id, request), "id: 1\ndata: x\n\n") } };
            if (test->arrival == Arrival::DuringNextRequest) {
                answer.partDelay = workTime;
            }
            return answer;
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 2);
    if (test->isByAnotherVm) {
        harness.waitForLinks();
        harness.cutOffAndWait(0, { test->target });
    }
    int served = 0;
    for (int number = 1; number <= requestCount; ++number) {
        const std::string id = "r" + std::to_string(number);
        for (int tries = 0; tries < maxTries; ++tries) {
            const int status = harness.sendAndWait(0, "POST", test->target, headers(id), "b" + id).status;
            if (!promisesNotRun(status)) {
                served += status == 200 ? 1 : 0;
                break;
            }
            cr_assert_eq(executions[id], 0, "%s: %s got %d and had run", test->name, id.c_str(), status);
        }
        cr_assert_leq(executions[id], 1, "%s: request %s ran %d times", test->name, id.c_str(), executions[id]);
    }
    cr_assert_eq(served, requestCount, "%s: %d", test->name, served);
}
