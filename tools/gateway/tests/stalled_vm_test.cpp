#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

/** A VM that stood still while an endpoint started again under its id with another software version. */
namespace
{

/** From the first event of the stream until it breaks off. */
constexpr Duration untilBreak = 500ms;
/** The VM stands still until long after that. */
constexpr Duration stallTime = 2s;

struct StallCase {
    char name[30];
    bool isStoreSilent; ///< from the stall on
};

StallCase stallCases[] = {
    { "store responds", false },
    { "store is silent", true },
};

} // namespace

/** A stream went on at an endpoint that had become another version during a freeze (issue 45, review/5). */
ParameterizedTestParameters(stalledVm, resumesNoStreamAtAnotherVersion)
{
    return cr_make_param_array(StallCase, stallCases, std::size(stallCases));
}

ParameterizedTest(StallCase *test, stalledVm, resumesNoStreamAtAnotherVersion)
{
    Harness harness(1);
    harness.addRawEndpoint("e1", "engine", [](const std::string &request) {
        RawEndpoint::Answer answer;
        answer.parts = { streamHeadText("e1", request), "15\r\nid: 1\ndata: event 1\n\n\r\n", "" };
        answer.partDelay = untilBreak;
        answer.ending = RawEndpoint::Ending::Reset;
        return answer;
    });
    auto &other = harness.addEndpoint("e2", "engine", Endpoint::Behaviour::Reject, "v1");
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 2);
    const auto answer = harness.sendAsync(0, "POST", "/resumable/x", headers("1"), "b");
    harness.waitFor([&] { return harness.receivedBytes() > 0; }, "the first event");

    harness.signal(0, SIGSTOP);
    if (test->isStoreSilent) {
        harness.store().silenceReaders();
    }
    other.crash();
    cr_assert(other.restart(other.identity().incarnation + 1, "v2").has_value());
    other.setBehaviour(Endpoint::Behaviour::Stream);
    harness.store().registerEndpoint(other);
    harness.runFor(stallTime);
    harness.signal(0, SIGCONT);
    harness.waitFor([&] { return answer->has_value(); }, "the end of the stream");
    cr_assert_not((*answer)->isComplete, "%s: %s", test->name, (*answer)->body.c_str());
    cr_assert_eq(other.executionCount(), 0U, "%s: resumed at another version", test->name);
}
