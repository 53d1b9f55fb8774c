#include "requests.h"

#include <algorithm>
#include <csignal>
#include <numeric>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

std::string eventsFrom(int first)
{
    std::string text;
    for (int event = first; event <= Endpoint::streamEventCount; ++event) {
        text += net::sseEvent(std::to_string(event), "event " + std::to_string(event));
    }
    return text;
}

/** One or more VMs with one plain endpoint and one engine. */
struct Fixture {
    explicit Fixture(Behaviour plainBehaviour = Behaviour::Respond,
                     Behaviour engineBehaviour = Behaviour::Stream,
                     std::size_t vms = 1)
        : harness(vms)
        , plain(harness.addEndpoint("p1", "plain", plainBehaviour))
        , engine(harness.addEndpoint("g1", "engine", engineBehaviour))
    {
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
    }

    Harness harness;
    Endpoint &plain;
    Endpoint &engine;
};

struct OutcomeCase {
    char name[32];
    char target[16];
    char method[8];
    Behaviour behaviour; ///< of both endpoints
    int status;
    bool isComplete;
    std::size_t runs;
    bool hasRetryAfter; ///< whether the response has a retry-after time
};

OutcomeCase outcomeCases[] = {
    { "safe answered", "/safe/x", "GET", Behaviour::Respond, 200, true, 1, false },
    { "unsafe answered", "/unsafe/x", "POST", Behaviour::Respond, 200, true, 1, false },
    { "unsafe failed", "/unsafe/x", "POST", Behaviour::Fail, 500, true, 1, false },
    { "unsafe rejected", "/unsafe/x", "POST", Behaviour::Reject, 503, true, 0, true },
    { "unsafe lost", "/unsafe/x", "POST", Behaviour::CloseConnection, 502, true, 1, false },
    { "unsafe without receipt", "/unsafe/x", "POST", Behaviour::RespondWithoutReceipt, 502, true, 1, false },
    { "safe rejected", "/safe/x", "GET", Behaviour::Reject, 503, true, 0, true },
    { "safe lost", "/safe/x", "GET", Behaviour::CloseConnection, 502, true, 1, false },
    { "stream", "/stream/x", "POST", Behaviour::Stream, 200, true, 1, false },
    { "stream rejected", "/stream/x", "POST", Behaviour::Reject, 503, true, 0, true },
    { "stream lost", "/stream/x", "POST", Behaviour::CloseConnection, 502, true, 1, false },
    { "stream cut", "/stream/x", "POST", Behaviour::TruncateStream, 200, false, 1, false },
};

} // namespace

ParameterizedTestParameters(gateway, reportsActualOutcomeOfEachRequest)
{
    return cr_make_param_array(OutcomeCase, outcomeCases, std::size(outcomeCases));
}

ParameterizedTest(OutcomeCase *test, gateway, reportsActualOutcomeOfEachRequest)
{
    Fixture f(test->behaviour, test->behaviour);
    const auto response = f.harness.sendAndWait(0, test->method, test->target, headers("id-1"), "body");
    cr_assert_eq(response.status, test->status, "%s: %d", test->name, response.status);
    cr_assert_eq(response.isComplete, test->isComplete, "%s", test->name);
    cr_assert_eq(f.plain.executionCount() + f.engine.executionCount(), test->runs, "%s", test->name);
    cr_assert_eq(findRetryAfter(response.headers).has_value(), test->hasRetryAfter, "%s", test->name);
}

Test(gateway, forwardsRequestAndResponseUnchanged)
{
    Fixture f;
    auto more = forgedHeaders();
    more.push_back({ "X-Other", "kept" });
    const auto sent = requestHeaders({ .id = "id-7", .apiKey = key, .callerTimeout = 15s, .extraHeaders = more });
    const auto response = f.harness.sendAndWait(0, "POST", "/unsafe/a%2fb?q=1", sent, "the body");
    cr_assert_eq(response.status, 200);
    cr_assert_str_eq(response.body.c_str(), "answer to POST /unsafe/a%2fb?q=1 the body");
    cr_assert_eq(*findReceipt(response.headers), "seal-p1");
    const auto &arrived = f.plain.receivedRequests().at(0);
    cr_assert_eq(arrived.requestId(), "id-7");
    cr_assert_eq(arrived.request.header("X-Other").value_or(""), "kept");
    cr_assert_eq(arrived.workspace(), workspace);
    cr_assert_eq(arrived.host(), routeHost);
    cr_assert_eq(arrived.expectedEndpoint(), "p1");
    cr_assert_not(arrived.hasApiKey());
    cr_assert(arrived.remainingMs() > 0 && arrived.remainingMs() <= 15000);
}

Test(gateway, rejectsUnknownKeysAndRoutes)
{
    Fixture f;
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", requestHeaders({ .id = "1", .apiKey = "wrong" })).status,
                 401);
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/nothing/x", headers("2")).status, 404);
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/open/x", requestHeaders({ .id = "3" })).status, 200);
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", requestHeaders({ .id = "4" })).status, 401);
    cr_assert_eq(f.plain.executionCount(), 1U);
}

Test(gateway, retriesOnlyRetryableRoutes)
{
    Fixture f(Behaviour::CloseConnection);
    auto &fallback = f.harness.addEndpoint("p2", "plain", Behaviour::CloseConnection);
    const auto arrivalsOf = [&](const std::string &id) {
        const auto isOf = [&](const ReceivedRequest &arrival) { return arrival.requestId() == id; };
        return std::count_if(f.plain.receivedRequests().begin(), f.plain.receivedRequests().end(), isOf)
            + std::count_if(fallback.receivedRequests().begin(), fallback.receivedRequests().end(), isOf);
    };
    int attempts = 0;
    f.harness.waitFor(
        [&] {
            // The request can be retried only once the second endpoint is known.
            const auto id = "s" + std::to_string(++attempts);
            cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", headers(id)).status, 502);
            return arrivalsOf(id) == 2;
        },
        "a retried request");
    cr_assert_eq(f.harness.sendAndWait(0, "POST", "/unsafe/x", headers("u"), "b").status, 502);
    cr_assert_eq(arrivalsOf("u"), 1);
}

Test(gateway, responseToAnotherRequestIsNotDelivered)
{
    Fixture f(Behaviour::RespondWithOtherId);
    const auto sent = requestHeaders({ .id = "id-1", .apiKey = key, .callerTimeout = 4s });
    const auto response = f.harness.sendAndWait(0, "POST", "/unsafe/x", sent, "b");
    cr_assert_eq(response.status, 504);
}

Test(gateway, truncatedStreamResumesAfterLastCompleteEvent)
{
    Fixture f(Behaviour::Respond, Behaviour::TruncateStream);
    f.harness.addEndpoint("g2", "engine", Behaviour::Stream);
    std::optional<Response> resumed;
    f.harness.waitFor(
        [&] {
            // The stream can be resumed only once the second engine is known.
            auto response = f.harness.sendAndWait(0, "POST", "/resumable/x", headers("id"), "b");
            if (response.isComplete && !f.engine.receivedRequests().empty()) {
                resumed = response;
            }
            return f.harness.endpoints()[2]->executionCount() > 0 && resumed.has_value();
        },
        "a resumed stream");
    cr_assert(resumed->body == eventsFrom(1), "%s", resumed->body.c_str());
}

Test(gateway, stagesRunAndTheirResultsAreReleased)
{
    Fixture f;
    auto &first = f.harness.addEndpoint("f1", "first", Behaviour::Respond);
    auto &second = f.harness.addEndpoint("s1", "second", Behaviour::Respond);
    const auto sent = stagedHeaders("id-1", { 2, 3 });
    std::optional<Response> response;
    f.harness.waitFor(
        [&] {
            response = f.harness.sendAndWait(0, "POST", "/staged/x", sent, "b");
            return response->status == 200;
        },
        "the endpoints of the stages");
    cr_assert(response->body == eventsFrom(1), "%s", response->body.c_str());
    const auto inputs = f.engine.receivedRequests().back().inputs();
    cr_assert_eq(std::count(inputs.begin(), inputs.end(), ','), 2, "%s", inputs.c_str());
    cr_assert_neq(inputs.find("id-1.1.0"), std::string::npos);
    cr_assert_neq(inputs.find("id-1.1.2"), std::string::npos);
    cr_assert_eq(inputs.find("id-1.0."), std::string::npos, "the engine got a result of the first stage");
    f.harness.waitFor([&] { return first.results().empty() && second.results().empty(); }, "results to be released");
    cr_assert(first.protocolErrors().empty() && second.protocolErrors().empty());
}

/** A request that an engine may have run must not be rejected as not run, even if its stages fail afterwards. */
Test(gateway, stageFailureAfterEngineRunIsNotReportedAsNotRun)
{
    Fixture f;
    auto &first = f.harness.addEndpoint("f1", "first", Behaviour::Respond);
    f.harness.addEndpoint("s1", "second", Behaviour::Respond);
    auto &other = f.harness.addEndpoint("g2", "engine", Behaviour::Stream);
    const auto sent = stagedHeaders("id-1", { 1, 1 });
    f.harness.waitFor(
        [&] {
            return f.harness.sendAndWait(0, "POST", "/again/x", sent, "b").status == 200 && other.executionCount() > 0;
        },
        "all endpoints");
    // The first engine runs the request and its response is lost. The next one lacks the results, which can't be
    // remade.
    int sends = 0;
    const auto behaviour = [&] {
        if (++sends == 1) {
            return Behaviour::CloseConnection;
        }
        first.expirePieces();
        return Behaviour::RejectMissingInputs;
    };
    f.engine.setBehaviour(behaviour);
    other.setBehaviour(behaviour);
    const auto response = f.harness.sendAndWait(0, "POST", "/again/x", sent, "b");
    cr_assert_eq(sends, 2);
    cr_assert_eq(response.status, 502, "%d", response.status);
}

Test(gateway, piecesOfSeveralVmsShareCalls)
{
    Fixture f(Behaviour::Respond, Behaviour::Stream, 2);
    auto &first = f.harness.addEndpoint("f1", "first", Behaviour::Respond);
    f.harness.addEndpoint("s1", "second", Behaviour::Respond);
    const auto sent = stagedHeaders("id", { 1, 1 });
    f.harness.waitFor(
        [&] {
            return f.harness.sendAndWait(0, "POST", "/staged/x", sent, "b").status == 200
                && f.harness.sendAndWait(1, "POST", "/staged/x", sent, "b").status == 200;
        },
        "both VMs");
    f.harness.waitForLinks();
    first.holdPieceCalls();
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    for (int request = 0; request < 24; ++request) {
        const auto uniqueHeaders = stagedHeaders("id-" + std::to_string(request), { 1, 1 });
        responses.push_back(f.harness.sendAsync(std::size_t(request % 2), "POST", "/staged/x", uniqueHeaders, "b"));
    }
    const Time piecesQueuedAt =
        f.harness.loop().clock().now() + 1s; // the first call is held, so the other pieces queue up
    f.harness.waitFor([&] { return f.harness.loop().clock().now() > piecesQueuedAt; }, "the pieces to queue up");
    first.releaseHeldResponses();
    for (const auto &response : responses) {
        f.harness.waitFor([&] { return response->has_value(); }, "a response");
        cr_assert_eq((*response)->status, 200);
    }
    const auto belongsTo = [](std::size_t vm) {
        return [vm](const std::string &id) { return id.starts_with("id-") && std::stoul(id.substr(3)) % 2 == vm; };
    };
    bool shared = false;
    for (const auto &call : first.pieceCalls()) {
        cr_assert_leq(call.size(), piecesPerCall);
        shared = shared
            || (std::any_of(call.begin(), call.end(), belongsTo(0))
                && std::any_of(call.begin(), call.end(), belongsTo(1)));
    }
    cr_assert(shared, "no call has pieces of both VMs");
}

Test(gateway, newerDesiredStateIsNeverReverted)
{
    Fixture f;
    auto &other = f.harness.addEndpoint("o1", "other", Behaviour::Respond);
    auto routes = allRoutes();
    routes[0].service = "other";
    f.harness.store().publishDesiredState(makeState(5, routes));
    f.harness.waitFor(
        [&] {
            return f.harness.sendAndWait(0, "GET", "/safe/x", headers("1")).status == 200 && other.executionCount() > 0;
        },
        "the new service");
    const auto before = f.plain.executionCount();
    f.harness.store().publishDesiredState(makeState(3, allRoutes()));
    f.harness.waitFor([&] { return f.harness.store().hasCaughtUpReaders(); }, "the older state to be read");
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", headers("2")).status, 200);
    cr_assert_eq(f.plain.executionCount(), before, "the older state came back");
    routes.push_back({ .name = "added", .service = "plain" });
    f.harness.store().publishDesiredState(makeState(9, routes));
    f.harness.waitFor([&] { return f.harness.sendAndWait(0, "GET", "/added/x", headers("3")).status == 200; },
                      "the added route");
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", headers("4")).status, 200);
    cr_assert_eq(f.plain.executionCount(), before + 1, "the older state came back");
}

Test(gateway, leavingEndpointGetsNoNewRequests)
{
    Fixture f;
    auto &fallback = f.harness.addEndpoint("p2", "plain", Behaviour::Respond);
    f.harness.store().registerEndpoint(f.plain, true);
    f.harness.waitFor(
        [&] {
            f.harness.sendAndWait(0, "GET", "/safe/x", headers("1"));
            return fallback.executionCount() >= 1;
        },
        "the next endpoint");
    f.harness.store().registerEndpoint(f.plain); // a lagging entry of the same lifetime
    const auto before = f.plain.executionCount();
    f.harness.waitFor([&] { return f.harness.store().hasCaughtUpReaders(); }, "the entry to be read");
    for (int request = 0; request < 20; ++request) {
        cr_assert_eq(f.harness.sendAndWait(0, "POST", "/unsafe/x", headers("2"), "b").status, 200);
    }
    cr_assert_eq(f.plain.executionCount(), before);
}

Test(gateway, stopCompletesRequestsInFlight)
{
    Fixture f(Behaviour::Hold);
    const auto held = f.harness.sendAsync(0, "POST", "/unsafe/x", headers("1"), "b");
    f.harness.waitFor([&] { return f.plain.executionCount() == 1; }, "the request to run");
    f.harness.signal(0, SIGTERM);
    f.harness.waitFor([&] { return f.harness.readiness(0) == 503; }, "readiness to be withdrawn");
    f.plain.setBehaviour(Behaviour::Respond);
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", headers("2")).status,
                 200,
                 "new requests are served until the platform redirects callers");
    f.plain.releaseHeldResponses();
    f.harness.waitFor([&] { return held->has_value(); }, "the held response");
    cr_assert_eq((*held)->status, 200);
    f.harness.waitFor([&] { return f.harness.hasEnded(0); }, "the process to end");
}

Test(gateway, callerDisconnectCancelsRequest)
{
    // Both time limits exceed the harness's timeout, so that only the caller's disconnect can end the work.
    constexpr auto tooLong = 120s;
    Fixture f(Behaviour::Hold);
    const RouteSpec slow { .name = "slow", .kind = RouteKind::Unsafe, .service = "plain", .timeout = tooLong };
    f.harness.store().publishDesiredState(makeState(2, { slow }));
    net::HttpClient caller(f.harness.loop(), {});
    net::HttpCall call;
    call.address = f.harness.callersAddress(0);
    call.method = "POST";
    call.target = "/slow/x";
    call.headers = requestHeaders({ .id = "1", .apiKey = key, .callerTimeout = tooLong });
    f.harness.waitFor([&] { return f.harness.store().hasCaughtUpReaders(); }, "the slow route to be known");
    const auto handle = caller.start(call, {}, {});
    f.harness.waitFor([&] { return f.plain.executionCount() == 1; }, "the request to run");
    cr_assert_eq(f.plain.abandonedCount(), 0U);
    caller.cancel(handle);
    f.harness.waitFor([&] { return f.plain.abandonedCount() == 1; }, "the endpoint to see the cancellation");
}

Test(gateway, timeoutEndsOnlyItsOwnRequest)
{
    Fixture f(Behaviour::Hold);
    const auto held = f.harness.sendAsync(0, "POST", "/unsafe/x", headers("1"), "b");
    f.harness.waitFor([&] { return f.plain.executionCount() == 1; }, "the request to run");
    const auto second = requestHeaders({ .id = "2", .apiKey = key, .callerTimeout = 4s });
    const auto response = f.harness.sendAndWait(0, "POST", "/unsafe/x", second, "b");
    cr_assert_eq(response.status, 504);
    f.plain.releaseHeldResponses();
    f.harness.waitFor([&] { return held->has_value(); }, "the held response");
    cr_assert_eq((*held)->status, 200);
}

Test(gateway, servesDuringStoreOutage)
{
    Fixture f;
    f.harness.store().setFault(Store::Fault::Unavailable);
    const auto reads = f.harness.store().readCount();
    for (int request = 0; request < 20; ++request) {
        cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", headers("1")).status, 200);
    }
    f.harness.store().setFault(Store::Fault::None);
    f.harness.store().publishDesiredState(makeState(2, { { .name = "new", .service = "plain" } }));
    f.harness.waitFor([&] { return f.harness.sendAndWait(0, "GET", "/new/x", headers("2")).status == 200; },
                      "the new state");
    cr_assert_gt(f.harness.store().readCount(), reads);
}

Test(gateway, readsSnapshotAfterHistoryIsCompacted)
{
    Fixture f;
    auto &other = f.harness.addEndpoint("o1", "other", Behaviour::Respond);
    f.harness.store().publishDesiredState(makeState(2, { { .name = "new", .service = "other" } }));
    f.harness.store().compactHistory();
    f.harness.waitFor([&] { return f.harness.sendAndWait(0, "GET", "/new/x", headers("2")).status == 200; },
                      "the new state");
    cr_assert_eq(other.executionCount(), 1U);
}

Test(gateway, malformedEntryDoesNotAffectOthers)
{
    Fixture f;
    f.harness.store().registerRawEndpoint("x1", "\x01\x02 not an entry");
    f.harness.store().registerRawEndpoint("x2", malformedRegistration("plain"));
    f.harness.store().publishRawDesiredState("{broken");
    auto &other = f.harness.addEndpoint("o1", "other", Behaviour::Respond);
    f.harness.store().publishDesiredState(
        makeState(2, { { .name = "new", .service = "other" }, { .name = "safe", .service = "plain" } }));
    f.harness.waitFor([&] { return f.harness.sendAndWait(0, "GET", "/new/x", headers("1")).status == 200; },
                      "the new state");
    cr_assert_eq(other.executionCount(), 1U);
    cr_assert_eq(f.harness.sendAndWait(0, "GET", "/safe/x", headers("2")).status, 200);
}

Test(gateway, checkReportsInvalidSetting)
{
    Harness harness(0);
    const std::string path = "/tmp/lacewing-gateway-bad-" + std::to_string(getpid()) + ".toml";
    const std::string command = "printf '" + invalidSettingsText() + "' > " + path + "; " + LACEWING_GATEWAY_PROGRAM
        + " --check --settings=" + path + " 2> " + path + ".err";
    cr_assert_neq(std::system(command.c_str()), 0);
    cr_assert_eq(std::system(("grep -q '" + invalidSettingsKey() + "' " + path + ".err").c_str()), 0);
    std::system(("rm -f " + path + " " + path + ".err").c_str());
}

/**
 * After an outage of the store, VMs that rely on the readers must not treat the store as unavailable any longer;
 * otherwise they keep endpoints that were removed since.
 */
Test(gateway, removedEndpointIsDroppedByAllVmsAfterOutage)
{
    constexpr std::size_t vms = 6; // more than the number of store readers
    Fixture f(Behaviour::Respond, Behaviour::Stream, vms);
    const Time addressesKnownAt = f.harness.loop().clock().now() + 2s; // time to read each other's addresses
    f.harness.waitFor([&] { return f.harness.loop().clock().now() > addressesKnownAt; }, "the VMs to know each other");
    // All VMs lose the store. Then it responds to one half of them, so that the others get heartbeats from readers
    // before it responds to them again.
    for (const std::size_t first : { std::size_t(0), vms / 2 }) {
        f.harness.store().setFault(Store::Fault::Unavailable);
        const auto refused = f.harness.store().rejectedCount();
        f.harness.waitFor([&] { return f.harness.store().rejectedCount() > refused + 60; },
                          "all VMs to detect the outage");
        f.harness.store().setUnavailableAddresses(
            { f.harness.storeAddress(first), f.harness.storeAddress(first + 1), f.harness.storeAddress(first + 2) });
        f.harness.store().setFault(Store::Fault::None);
        const Time heartbeatsReceivedAt = f.harness.loop().clock().now() + 1500ms; // several heartbeat intervals
        f.harness.waitFor([&] { return f.harness.loop().clock().now() > heartbeatsReceivedAt; },
                          "heartbeats of the other VMs");
        f.harness.store().setUnavailableAddresses({});
        f.harness.store().removeEndpoint("p1");
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.waitFor([&] { return f.harness.sendAndWait(vm, "GET", "/safe/x", headers("2")).status == 503; },
                              "the removed endpoint to get no requests");
        }
        f.harness.store().registerEndpoint(f.plain);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.waitFor([&] { return f.harness.sendAndWait(vm, "GET", "/safe/x", headers("3")).status == 200; },
                              "the endpoint to be back");
        }
    }
}

/** The store may stop responding to all VMs that read it for the others, and go on responding to the others. */
Test(gateway, stateChangesReachAllVmsWhileTheStoreIsSilentToItsReaders)
{
    constexpr std::size_t vms = 6; // more than the number of store readers
    constexpr std::size_t readers = 3;
    constexpr Duration round = 100ms;
    constexpr std::size_t maxRounds = 20; // of the time within which a state has to be in force, 2 s
    Harness harness(vms);
    harness.addEndpoint("p1", "plain", Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLinks();
    std::vector<std::size_t> all(vms);
    std::iota(all.begin(), all.end(), 0);
    harness.waitForLogLines(all, "\"store reading changed\",\"fields\":{\"active\":true", readers);
    const Time lastReadsEndAt = harness.loop().clock().now() + 2s; // reads in progress of VMs that have stopped reading
    harness.waitFor([&] { return harness.loop().clock().now() > lastReadsEndAt; }, "the end of reads in progress");
    harness.waitFor([&] { return harness.store().hasCaughtUpReaders(); }, "reads that wait");
    harness.store().silenceReaders();
    auto routes = allRoutes();
    routes.push_back({ .name = "new", .service = "plain" });
    harness.store().publishDesiredState(makeState(2, routes));
    std::size_t rounds = 0;
    for (bool isInForce = false; !isInForce && rounds <= maxRounds; ++rounds) {
        const Time next = harness.loop().clock().now() + round;
        isInForce = true;
        for (const auto vm : all) {
            const auto id = std::to_string(rounds) + "-" + std::to_string(vm);
            isInForce = harness.sendAndWait(vm, "GET", "/new/x", headers(id)).status == net::status::ok && isInForce;
        }
        harness.waitFor([&] { return harness.loop().clock().now() >= next; }, "the next round");
    }
    cr_assert_leq(rounds, maxRounds, "not in force on all VMs after %zu rounds", rounds);
}
