#include "requests.h"

#include <algorithm>
#include <csignal>
#include <set>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

constexpr const char *resumableTarget = "/resumable/x";

/** Some VMs, and engines of several software versions. */
struct Fleet {
    Fleet(std::size_t vms, const std::vector<std::string> &versions)
        : harness(vms)
        , vmCount(vms)
    {
        for (const auto &version : versions) {
            engines.push_back(
                &harness.addEndpoint("g" + std::to_string(engines.size() + 1), "engine", Behaviour::Stream, version));
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", versions.size());
        }
        harness.waitForLinks();
    }

    /** Begins a stream that breaks off after its second event. @return its request id */
    std::string beginStream(std::size_t vm, Endpoint &engine)
    {
        for (auto *other : engines) {
            other->setBehaviour(other == &engine ? Behaviour::TruncateStream : Behaviour::Reject);
        }
        std::string id;
        harness.waitFor(
            [&] {
                id = "begin-" + std::to_string(++requests);
                const auto before = engine.executionCount();
                const auto sent = requestHeaders({ .id = id, .apiKey = key, .callerTimeout = callerTimeout });
                const auto response = harness.sendAndWait(vm, "POST", resumableTarget, sent, "b");
                return engine.executionCount() > before && !response.isComplete;
            },
            "a stream that breaks off");
        for (auto *other : engines) {
            other->setBehaviour(Behaviour::Stream);
        }
        return id;
    }

    /** Resumes a stream after its second event, as its caller does, or after a later one. */
    Response resume(std::size_t vm,
                    const std::string &resumed,
                    const std::string &apiKey = key,
                    const std::string &lastEventId = "2")
    {
        const auto id = "again-" + std::to_string(++requests);
        return harness.sendAndWait(
            vm,
            "POST",
            resumableTarget,
            requestHeaders({ .id = id, .apiKey = apiKey, .resumedRequest = resumed, .lastEventId = lastEventId }),
            "b");
    }

    /** Returns whether a resumed stream has gone on to its end; a refusal is a complete response as well. */
    static bool hasGoneOn(const Response &response)
    {
        return response.isComplete && response.status == net::status::ok;
    }

    /** Returns the number of streams that an engine has resumed. */
    static std::size_t resumptions(const Endpoint &engine)
    {
        const auto &received = engine.receivedRequests();
        return static_cast<std::size_t>(std::count_if(received.begin(), received.end(), [](const auto &request) {
            return request.wasExecuted && !request.lastEventId().empty();
        }));
    }

    Harness harness;
    std::size_t vmCount;
    std::vector<Endpoint *> engines;
    std::chrono::milliseconds callerTimeout { 15'000 }; ///< of the streams that begin
    int requests = 0;
};

struct AnswerCase {
    char name[40];
    char first[8]; ///< version of the engine that breaks off the stream
    char second[8]; ///< of the only other engine
    bool isResumed;
};

AnswerCase answerCases[] = {
    { "same version", "v1", "v1", true },
    { "another version", "v1", "v1.2", false },
    { "version that begins with the other", "v1", "v10", false },
    { "the other is unknown", "v1", "", false },
    { "the first is unknown", "", "v1", false },
    { "both are unknown", "", "", false },
    { "the other is no text", "v1", "7", false },
};

} // namespace

ParameterizedTestParameters(softwareVersion, streamIsResumedWithinAnAnswerAtItsVersionOnly)
{
    return cr_make_param_array(AnswerCase, answerCases, std::size(answerCases));
}

ParameterizedTest(AnswerCase *test, softwareVersion, streamIsResumedWithinAnAnswerAtItsVersionOnly)
{
    Fleet f(1, { test->first, test->second });
    f.engines[0]->setBehaviour(Behaviour::TruncateStream);
    std::optional<Response> response;
    f.harness.waitFor(
        [&] {
            const auto before = f.engines[0]->executionCount();
            const auto id = "id-" + std::to_string(++f.requests);
            response = f.harness.sendAndWait(0, "POST", resumableTarget, headers(id), "b");
            return f.engines[0]->executionCount() > before;
        },
        "a stream that breaks off");
    cr_assert_eq(response->isComplete, test->isResumed, "%s", test->name);
    cr_assert_eq(
        Fleet::resumptions(*f.engines[1]) > 0, test->isResumed, "%s: wrong engine asked to resume", test->name);
}

/** Until its first event, a stream may run anywhere. */
Test(softwareVersion, streamWithoutEventsMayBeginAtAnotherVersion)
{
    Fleet f(1, { "v1", "v2" });
    f.engines[0]->setBehaviour(Behaviour::CloseConnection);
    std::size_t complete = 0;
    f.harness.waitFor(
        [&] {
            const auto id = "id-" + std::to_string(++f.requests);
            complete += f.harness.sendAndWait(0, "POST", resumableTarget, headers(id), "b").isComplete ? 1 : 0;
            return f.engines[0]->executionCount() > 0;
        },
        "a request at the engine that closes");
    cr_assert_eq(complete, std::size_t(f.requests), "a stream without events was not retried");
}

namespace
{

enum class Interruption : std::uint8_t { None, VmKilled, VmFrozen, VmRestarted };

struct TryCase {
    char name[40];
    std::size_t vms;
    std::size_t next; ///< VM at which the caller's next try arrives
    Interruption interruption; ///< of the VM at which the stream began, before that
};

TryCase tryCases[] = {
    { "at the same vm", 3, 0, Interruption::None },
    { "at another vm", 3, 1, Interruption::None },
    { "after the vm was killed", 4, 2, Interruption::VmKilled },
    { "while the vm is frozen", 4, 3, Interruption::VmFrozen },
    { "at the vm after its restart", 4, 0, Interruption::VmRestarted },
};

} // namespace

ParameterizedTestParameters(softwareVersion, streamIsResumedByItsCallerAtItsVersionOnly)
{
    return cr_make_param_array(TryCase, tryCases, std::size(tryCases));
}

ParameterizedTest(TryCase *test, softwareVersion, streamIsResumedByItsCallerAtItsVersionOnly)
{
    constexpr std::size_t streams = 8;
    Fleet f(test->vms, { "v1", "v2", "v2" });
    std::vector<std::string> begun;
    for (std::size_t stream = 0; stream < streams; ++stream) {
        begun.push_back(f.beginStream(0, *f.engines[0]));
    }
    switch (test->interruption) {
    case Interruption::None:
        break;
    case Interruption::VmKilled:
        f.harness.signal(0, SIGKILL);
        break;
    case Interruption::VmFrozen:
        f.harness.signal(0, SIGSTOP);
        break;
    case Interruption::VmRestarted:
        f.harness.signal(0, SIGKILL);
        f.harness.waitFor([&] { return f.harness.hasEnded(0); }, "the end of the vm");
        f.harness.start(0, 1);
        f.harness.waitForLogLines({ 0 }, "\"endpoint joined\"", f.engines.size());
        f.harness.waitForLogLines({ 0 }, "\"vm live\"", test->vms - 1);
        break;
    }
    std::size_t resumed = 0;
    for (const auto &id : begun) {
        // A try may come again, and names the request that brought the first event each time.
        for (int count = 0; count < 2; ++count) {
            resumed += Fleet::hasGoneOn(f.resume(test->next, id)) ? 1 : 0;
        }
    }
    cr_expect_eq(Fleet::resumptions(*f.engines[1]) + Fleet::resumptions(*f.engines[2]),
                 0U,
                 "%s: streams were resumed at another version",
                 test->name);
    cr_expect_eq(resumed, 2 * streams, "%s: %zu of %zu tries were resumed", test->name, resumed, 2 * streams);
}

namespace
{

struct RefusalCase {
    char name[40];
    char resumed[16]; ///< request named by the try; empty: the stream that began
    char apiKey[8];
    bool firstVersionLeaves;
};

RefusalCase refusalCases[] = {
    { "unknown request", "never-seen", "k", false },
    { "no request named", "-", "k", false },
    { "stream of another workspace", "", "k2", false },
    { "no endpoint of the version left", "", "k", true },
};

} // namespace

ParameterizedTestParameters(softwareVersion, streamThatCannotBeResumedIsRefusedAtOnce)
{
    return cr_make_param_array(RefusalCase, refusalCases, std::size(refusalCases));
}

ParameterizedTest(RefusalCase *test, softwareVersion, streamThatCannotBeResumedIsRefusedAtOnce)
{
    Fleet f(3, { "v1", "v2" });
    auto state = makeState(2, allRoutes());
    state.otherWorkspaces = { { "w2", "k2" } };
    f.harness.store().publishDesiredState(state);
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"desired state in force\"", 2);
    }
    const auto begun = f.beginStream(0, *f.engines[0]);
    if (test->firstVersionLeaves) {
        f.harness.store().registerEndpoint(*f.engines[0], true);
        for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
            f.harness.waitForLogLines({ vm }, "\"endpoint leaving\"", 1);
        }
    }
    const std::string named = test->resumed;
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        const auto response = f.resume(vm, named.empty() ? begun : named == "-" ? "" : named, test->apiKey);
        cr_expect_eq(response.status, net::status::unavailable, "%s: status %d", test->name, response.status);
        cr_expect(findRetryAfter(response.headers).has_value(), "%s: no Retry-After", test->name);
    }
    cr_expect_eq(Fleet::resumptions(*f.engines[0]) + Fleet::resumptions(*f.engines[1]), 0U, "%s", test->name);
}

/** Where one version serves, every stream is resumed, also one that nobody knows any more. */
Test(softwareVersion, singleVersionResumesStreamsThatNobodyKnows)
{
    Fleet f(3, { "v1", "v1" });
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        cr_expect(Fleet::hasGoneOn(f.resume(vm, "never-seen")), "refused at vm %zu", vm);
    }
}

/** A stream that began before a second version came stays at its own. */
Test(softwareVersion, streamOfBeforeAReleaseStaysAtItsVersion)
{
    Fleet f(3, { "v1" });
    const auto begun = f.beginStream(0, *f.engines[0]);
    f.engines.push_back(&f.harness.addEndpoint("g2", "engine", Behaviour::Stream, "v2"));
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"endpoint joined\"", 2);
    }
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        cr_expect(Fleet::hasGoneOn(f.resume(vm, begun)), "refused at vm %zu", vm);
    }
    cr_expect_eq(Fleet::resumptions(*f.engines[1]), 0U);
}

/** An endpoint that crashed may come back under its id with another version before the directory says so. */
Test(softwareVersion, endpointThatRestartedIsNotTakenForItsFormerLifetime)
{
    Fleet f(2, { "v1", "v2" });
    f.engines[0]->setBehaviour(Behaviour::CrashInStream);
    std::string begun;
    f.harness.waitFor(
        [&] {
            begun = "begin-" + std::to_string(++f.requests);
            const auto before = f.engines[0]->executionCount();
            f.harness.sendAndWait(0, "POST", resumableTarget, headers(begun), "b");
            return f.engines[0]->executionCount() > before;
        },
        "a stream at the engine that crashes");
    // The endpoint is back some seconds later; its registration may still be the former one.
    f.harness.waitForLogLines({ 0 }, "\"suspect request\"", 1);
    cr_assert(f.engines[0]->restart(18, "v2").has_value());
    f.engines[0]->setBehaviour(Behaviour::Stream);
    const auto before = Fleet::resumptions(*f.engines[0]);
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        cr_expect_eq(f.resume(vm, begun).status, net::status::unavailable, "vm %zu", vm);
    }
    cr_expect_eq(Fleet::resumptions(*f.engines[0]), before, "resumed at the next lifetime");
}

namespace
{

/** What happens to the engine of version v1, at which the stream began, and to an engine of version v2. */
enum class Release : std::uint8_t {
    None, ///< v1 is the only one all the time
    Before, ///< both serve, and v1 ends before all VMs are killed
    JustBefore, ///< v2 comes and v1 ends a moment before all VMs are killed
    WhileDown, ///< v2 comes and v1 ends while all VMs are down
    WhileDownTwice, ///< the same, and all VMs are killed once more after that
    UnderItsId, ///< the engine crashes while all VMs are down, and is back as v2 under its id
    FromUnknown, ///< the engine had no version, and has ended
};

struct RestartCase {
    char name[60];
    Release release;
    bool isResumed;
};

RestartCase restartCases[] = {
    { "one version before and after", Release::None, true },
    { "another version has ended before", Release::Before, false },
    { "another version has ended just before", Release::JustBefore, false },
    { "another version has ended meanwhile", Release::WhileDown, false },
    { "another version has ended meanwhile, two restarts", Release::WhileDownTwice, false },
    { "another version under the same id", Release::UnderItsId, false },
    { "an unknown version has ended meanwhile", Release::FromUnknown, false },
};

} // namespace

ParameterizedTestParameters(softwareVersion, versionsOutliveARestartOfAllVms)
{
    return cr_make_param_array(RestartCase, restartCases, std::size(restartCases));
}

/** VMs that have just started know of no stream, and can't see versions that have ended. */
ParameterizedTest(RestartCase *test, softwareVersion, versionsOutliveARestartOfAllVms)
{
    constexpr std::size_t vms = 3;
    Fleet f(vms, { test->release == Release::FromUnknown ? "" : "v1" });
    auto &store = f.harness.store();
    const auto addSecond = [&] {
        f.engines.push_back(&f.harness.addEndpoint("g2", "engine", Behaviour::Stream, "v2"));
    };
    const auto restartAll = [&](const std::function<void()> &meanwhile) {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.signal(vm, SIGKILL);
            f.harness.waitFor([&] { return f.harness.hasEnded(vm); }, "the end of a vm");
        }
        meanwhile();
        f.harness.start(0, vms);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.waitForLogLines({ vm }, "\"endpoint joined\"", 1);
        }
    };
    const auto begun = f.beginStream(0, *f.engines.front());
    switch (test->release) {
    case Release::None:
        restartAll([] {});
        break;
    case Release::Before:
        addSecond();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.waitForLogLines({ vm }, "\"endpoint joined\"", 2);
        }
        f.harness.waitForLogLines({ 0, 1, 2 }, "\"versions\":2", 1);
        store.removeEndpoint("g1");
        restartAll([] {});
        break;
    case Release::JustBefore:
        addSecond();
        store.removeEndpoint("g1");
        restartAll([] {});
        break;
    case Release::WhileDown:
    case Release::FromUnknown:
        restartAll([&] {
            addSecond();
            store.removeEndpoint("g1");
        });
        break;
    case Release::WhileDownTwice:
        restartAll([&] {
            addSecond();
            store.removeEndpoint("g1");
        });
        restartAll([] {});
        break;
    case Release::UnderItsId:
        restartAll([&] {
            f.engines.front()->crash();
            cr_assert(f.engines.front()->restart(18, "v2").has_value());
            store.registerEndpoint(*f.engines.front());
        });
        break;
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const auto response = f.resume(vm, begun);
        cr_expect_eq(response.isComplete && response.status == net::status::ok,
                     test->isResumed,
                     "%s: vm %zu, status %d",
                     test->name,
                     vm,
                     response.status);
    }
    cr_expect_eq(Fleet::resumptions(*f.engines.back()) > 0, test->isResumed, "%s", test->name);
}

namespace
{

enum class Step : std::uint8_t {
    Stop, ///< a VM is stopped with SIGTERM
    Kill,
    Start, ///< a VM that has ended is started again, and the others hear it
    Release, ///< an engine of a second version comes
    BreakOff, ///< the streams go on at a VM, and break off once more
};
struct FleetStep {
    Step step = Step::Stop;
    std::size_t vm = 0;
};

struct FleetEventsCase {
    char name[60];
    std::size_t vms;
    bool hasTwoVersions; ///< when the streams begin, at VM 0
    std::size_t next; ///< VM at which the callers' next tries arrive, after the steps
    FleetStep steps[8];
    std::size_t stepCount;
};

constexpr Step stop = Step::Stop;
constexpr Step killNow = Step::Kill;
constexpr Step startAgain = Step::Start;

FleetEventsCase fleetEventsCases[] = {
    { "all stopped in turn, its own last",
      3,
      true,
      1,
      { { stop, 1 }, { startAgain, 1 }, { stop, 2 }, { startAgain, 2 }, { stop, 0 } },
      5 },
    { "all stopped in turn, its own first",
      3,
      true,
      1,
      { { stop, 0 }, { startAgain, 0 }, { stop, 1 }, { startAgain, 1 }, { stop, 2 }, { startAgain, 2 } },
      6 },
    { "all killed in turn, its own last",
      3,
      true,
      2,
      { { killNow, 1 }, { startAgain, 1 }, { killNow, 2 }, { startAgain, 2 }, { killNow, 0 } },
      5 },
    { "all others killed at once, then its own",
      3,
      true,
      1,
      { { killNow, 1 }, { killNow, 2 }, { startAgain, 1 }, { startAgain, 2 }, { killNow, 0 } },
      5 },
    { "all others stopped at once, then its own killed",
      4,
      true,
      3,
      { { stop, 1 },
        { stop, 2 },
        { stop, 3 },
        { startAgain, 1 },
        { startAgain, 2 },
        { startAgain, 3 },
        { killNow, 0 } },
      7 },
    { "its own killed, the others stopped in turn",
      3,
      true,
      1,
      { { killNow, 0 }, { stop, 1 }, { startAgain, 1 }, { stop, 2 }, { startAgain, 2 } },
      5 },
    { "broken off twice, all others killed in between",
      3,
      true,
      0,
      { { killNow, 0 }, { Step::BreakOff, 1 }, { startAgain, 0 }, { killNow, 2 }, { startAgain, 2 }, { killNow, 1 } },
      6 },
    { "a second version after its own was stopped", 3, false, 1, { { stop, 0 }, { Step::Release, 0 } }, 2 },
};

} // namespace

ParameterizedTestParameters(softwareVersion, streamsOutliveTheVmsThatKnowThem)
{
    return cr_make_param_array(FleetEventsCase, fleetEventsCases, std::size(fleetEventsCases));
}

/** After restarts in turn, no VM knew where a stream had begun, and its caller was refused (review/8, LOST). */
ParameterizedTest(FleetEventsCase *test, softwareVersion, streamsOutliveTheVmsThatKnowThem)
{
    constexpr std::size_t streams = 8;
    constexpr auto routeTimeout = 60s;
    constexpr Duration settleTime = 1s;
    Fleet f(test->vms,
            test->hasTwoVersions ? std::vector<std::string> { "v1", "v2" } : std::vector<std::string> { "v1" });
    auto routes = allRoutes();
    for (auto &route : routes) {
        route.timeout = routeTimeout;
    }
    f.harness.store().publishDesiredState(makeState(2, routes));
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"desired state in force\"", 2);
    }
    f.callerTimeout = routeTimeout;
    std::vector<std::string> begun;
    for (std::size_t stream = 0; stream < streams; ++stream) {
        begun.push_back(f.beginStream(0, *f.engines[0]));
    }
    std::string lastEventId = "2";
    std::set<std::size_t> ended;
    for (std::size_t index = 0; index < test->stepCount; ++index) {
        const auto [step, vm] = test->steps[index];
        switch (step) {
        case Step::Stop:
        case Step::Kill:
            f.harness.signal(vm, step == Step::Stop ? SIGTERM : SIGKILL);
            ended.insert(vm);
            if (const bool isNextToo = index + 1 < test->stepCount && test->steps[index + 1].step == step; !isNextToo) {
                for (const auto each : ended) {
                    f.harness.waitFor([&] { return f.harness.hasEnded(each); }, "the end of a vm");
                }
            }
            break;
        case Step::Start:
            f.harness.start(vm, 1);
            ended.erase(vm);
            f.harness.waitForLogLines({ vm }, "\"vm live\"", test->vms - 1 - ended.size());
            f.harness.runFor(settleTime);
            break;
        case Step::Release:
            f.engines.push_back(&f.harness.addEndpoint("g2", "engine", Behaviour::Stream, "v2"));
            f.harness.waitForLogLines({ test->next }, "\"endpoint joined\"", f.engines.size());
            break;
        case Step::BreakOff:
            f.engines[0]->setBehaviour(Behaviour::TruncateStream);
            for (const auto &id : begun) {
                const auto response = f.resume(vm, id, key, lastEventId);
                cr_assert_not(response.isComplete, "%s: status %d", test->name, response.status);
            }
            f.engines[0]->setBehaviour(Behaviour::Stream);
            cr_assert_eq(Fleet::resumptions(*f.engines[0]), streams, "%s", test->name);
            lastEventId = "4";
            break;
        }
    }
    std::size_t resumed = 0;
    for (const auto &id : begun) {
        resumed += Fleet::hasGoneOn(f.resume(test->next, id, key, lastEventId)) ? 1 : 0;
    }
    cr_expect_eq(resumed, streams, "%s: %zu of %zu streams went on", test->name, resumed, streams);
    cr_expect_eq(Fleet::resumptions(*f.engines[1]), 0U, "%s: streams went on at another version", test->name);
}

/** The table of origins drops what expires first, so callers that name days displaced the streams of all others. */
Test(softwareVersion, originIsNotHeldForAnyTimeThatACallerNames)
{
    constexpr auto routeTimeout = 500ms;
    constexpr Duration longestTime = 2 * routeTimeout + 2s;
    Fleet f(3, { "v1", "v2" });
    auto routes = allRoutes();
    for (auto &route : routes) {
        route.timeout = routeTimeout;
    }
    f.harness.store().publishDesiredState(makeState(2, routes));
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        f.harness.waitForLogLines({ vm }, "\"desired state in force\"", 2);
    }
    f.callerTimeout = std::chrono::hours(24);
    const auto begun = f.beginStream(0, *f.engines[0]);
    cr_expect(Fleet::hasGoneOn(f.resume(1, begun)));
    f.harness.runFor(longestTime + 500ms);
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        cr_expect_eq(f.resume(vm, begun).status, net::status::unavailable, "vm %zu", vm);
    }
}
