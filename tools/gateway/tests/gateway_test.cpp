#include "harness.h"

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

const std::string workspace = "w";
const std::string key = "k";

DesiredStateSpec stateOf(int version, std::vector<RouteSpec> routes)
{
    return { version,
             std::move(routes),
             { { "plain" },
               { "other" },
               { "engine", ServiceKind::Engine },
               { "first", ServiceKind::Pieces },
               { "second", ServiceKind::Pieces } },
             workspace,
             key };
}

std::vector<RouteSpec> allRoutes()
{
    return { { .name = "safe", .service = "plain" },
             { .name = "unsafe", .kind = RouteKind::Unsafe, .service = "plain" },
             { .name = "stream", .kind = RouteKind::Stream, .service = "engine" },
             { .name = "resumable", .kind = RouteKind::Stream, .service = "engine", .isResumable = true },
             { .name = "staged",
               .kind = RouteKind::Stream,
               .service = "engine",
               .stages = { { "first", {} }, { "second", { 0 } } } },
             { .name = "again",
               .kind = RouteKind::Stream,
               .service = "engine",
               .isResumable = true,
               .stages = { { "first", {} }, { "second", { 0 } } } },
             { .name = "open", .service = "plain", .isPublic = true } };
}

net::Headers headers(const std::string &id)
{
    return requestHeaders({ .id = id, .apiKey = key });
}

net::Headers stagedHeaders(const std::string &id, std::vector<std::uint32_t> pieces)
{
    return requestHeaders({ .id = id, .apiKey = key, .pieceCounts = std::move(pieces) });
}

std::string eventText(int first)
{
    std::string text;
    for (int event = first; event <= Endpoint::streamEventCount; ++event) {
        text += net::sseEvent(std::to_string(event), "event " + std::to_string(event));
    }
    return text;
}

/** One VM before one plain endpoint and one engine. */
struct Simple {
    explicit Simple(Behaviour plainBehaviour = Behaviour::Respond,
                    Behaviour engineBehaviour = Behaviour::Stream,
                    std::size_t vms = 1)
        : harness(vms)
        , plain(harness.addEndpoint("p1", "plain", plainBehaviour))
        , engine(harness.addEndpoint("g1", "engine", engineBehaviour))
    {
        harness.store().publishDesiredState(stateOf(1, allRoutes()));
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
    Behaviour behaviour; ///< of the only endpoint that fits
    int status;
    bool whole;
    std::size_t runs;
    bool comesBack; ///< the caller is told when
};

OutcomeCase outcomeCases[] = {
    { "safe answered", "/safe/x", "GET", Behaviour::Respond, 200, true, 1, false },
    { "unsafe answered", "/unsafe/x", "POST", Behaviour::Respond, 200, true, 1, false },
    { "unsafe failed", "/unsafe/x", "POST", Behaviour::Fail, 500, true, 1, false },
    { "unsafe refused", "/unsafe/x", "POST", Behaviour::Reject, 503, true, 0, true },
    { "unsafe lost", "/unsafe/x", "POST", Behaviour::CloseConnection, 502, true, 1, false },
    { "unsafe without receipt", "/unsafe/x", "POST", Behaviour::RespondWithoutReceipt, 502, true, 1, false },
    { "safe refused", "/safe/x", "GET", Behaviour::Reject, 503, true, 0, true },
    { "safe lost", "/safe/x", "GET", Behaviour::CloseConnection, 502, true, 1, false },
    { "stream", "/stream/x", "POST", Behaviour::Stream, 200, true, 1, false },
    { "stream refused", "/stream/x", "POST", Behaviour::Reject, 503, true, 0, true },
    { "stream lost", "/stream/x", "POST", Behaviour::CloseConnection, 502, true, 1, false },
    { "stream cut", "/stream/x", "POST", Behaviour::TruncateStream, 200, false, 1, false },
};

} // namespace

ParameterizedTestParameters(gateway, endsEachRequestTruly)
{
    return cr_make_param_array(OutcomeCase, outcomeCases, std::size(outcomeCases));
}

ParameterizedTest(OutcomeCase *test, gateway, endsEachRequestTruly)
{
    Simple f(test->behaviour, test->behaviour);
    const auto answer = f.harness.ask(0, test->method, test->target, headers("id-1"), "body");
    cr_assert_eq(answer.status, test->status, "%s: %d", test->name, answer.status);
    cr_assert_eq(answer.whole, test->whole, "%s", test->name);
    cr_assert_eq(f.plain.executionCount() + f.engine.executionCount(), test->runs, "%s", test->name);
    cr_assert_eq(findRetryAfter(answer.headers).has_value(), test->comesBack, "%s", test->name);
}

Test(gateway, requestAndAnswerPassUnchanged)
{
    Simple f;
    auto more = forgedHeaders();
    more.push_back({ "X-Other", "kept" });
    const auto sent = requestHeaders({ .id = "id-7", .apiKey = key, .callerTimeout = 15s, .extraHeaders = more });
    const auto answer = f.harness.ask(0, "POST", "/unsafe/a%2fb?q=1", sent, "the body");
    cr_assert_eq(answer.status, 200);
    cr_assert_str_eq(answer.body.c_str(), "answer to POST /unsafe/a%2fb?q=1 the body");
    cr_assert_eq(*findReceipt(answer.headers), "seal-p1");
    const auto &arrived = f.plain.receivedRequests().at(0);
    cr_assert_eq(arrived.requestId(), "id-7");
    cr_assert_eq(arrived.request.header("X-Other").value_or(""), "kept");
    cr_assert_eq(arrived.workspace(), workspace);
    cr_assert_eq(arrived.host(), routeHost);
    cr_assert_eq(arrived.expectedEndpoint(), "p1");
    cr_assert_not(arrived.hasApiKey());
    cr_assert(arrived.remainingMs() > 0 && arrived.remainingMs() <= 15000);
}

Test(gateway, unknownKeysAndRoutesAreRefused)
{
    Simple f;
    cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", requestHeaders({ .id = "1", .apiKey = "wrong" })).status, 401);
    cr_assert_eq(f.harness.ask(0, "GET", "/nothing/x", headers("2")).status, 404);
    cr_assert_eq(f.harness.ask(0, "GET", "/open/x", requestHeaders({ .id = "3" })).status, 200);
    cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", requestHeaders({ .id = "4" })).status, 401);
    cr_assert_eq(f.plain.executionCount(), 1U);
}

Test(gateway, onlyWhatMayRepeatIsSentAgain)
{
    Simple f(Behaviour::CloseConnection);
    auto &next = f.harness.addEndpoint("p2", "plain", Behaviour::CloseConnection);
    const auto arrivalsOf = [&](const std::string &id) {
        const auto isOf = [&](const ReceivedRequest &arrival) { return arrival.requestId() == id; };
        return std::count_if(f.plain.receivedRequests().begin(), f.plain.receivedRequests().end(), isOf)
            + std::count_if(next.receivedRequests().begin(), next.receivedRequests().end(), isOf);
    };
    int asked = 0;
    f.harness.waitFor(
        [&] {
            // Until the second endpoint is known, there is nowhere to send a request again.
            const auto id = "s" + std::to_string(++asked);
            cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", headers(id)).status, 502);
            return arrivalsOf(id) == 2;
        },
        "a request that is sent again");
    cr_assert_eq(f.harness.ask(0, "POST", "/unsafe/x", headers("u"), "b").status, 502);
    cr_assert_eq(arrivalsOf("u"), 1);
}

Test(gateway, foreignAnswerIsNotDelivered)
{
    Simple f(Behaviour::RespondWithOtherId);
    const auto sent = requestHeaders({ .id = "id-1", .apiKey = key, .callerTimeout = 4s });
    const auto answer = f.harness.ask(0, "POST", "/unsafe/x", sent, "b");
    cr_assert_eq(answer.status, 504);
}

Test(gateway, cutStreamIsResumedAfterTheLastWholeEvent)
{
    Simple f(Behaviour::Respond, Behaviour::TruncateStream);
    f.harness.addEndpoint("g2", "engine", Behaviour::Stream);
    std::optional<Answer> resumed;
    f.harness.waitFor(
        [&] {
            // Until the second engine is known, a cut stream has nowhere to go on.
            auto answer = f.harness.ask(0, "POST", "/resumable/x", headers("id"), "b");
            if (answer.whole && !f.engine.receivedRequests().empty()) {
                resumed = answer;
            }
            return f.harness.endpoints()[2]->executionCount() > 0 && resumed.has_value();
        },
        "a resumed stream");
    cr_assert(resumed->body == eventText(1), "%s", resumed->body.c_str());
}

Test(gateway, stagesAreMadeAndTheirResultsGivenUp)
{
    Simple f;
    auto &first = f.harness.addEndpoint("f1", "first", Behaviour::Respond);
    auto &second = f.harness.addEndpoint("s1", "second", Behaviour::Respond);
    const auto sent = stagedHeaders("id-1", { 2, 3 });
    std::optional<Answer> answer;
    f.harness.waitFor(
        [&] {
            answer = f.harness.ask(0, "POST", "/staged/x", sent, "b");
            return answer->status == 200;
        },
        "the endpoints of the stages");
    cr_assert(answer->body == eventText(1), "%s", answer->body.c_str());
    const auto inputs = f.engine.receivedRequests().back().inputs();
    cr_assert_eq(std::count(inputs.begin(), inputs.end(), ','), 2, "%s", inputs.c_str());
    cr_assert_neq(inputs.find("id-1.1.0"), std::string::npos);
    cr_assert_neq(inputs.find("id-1.1.2"), std::string::npos);
    cr_assert_eq(inputs.find("id-1.0."), std::string::npos, "a result that a later stage has used");
    f.harness.waitFor([&] { return first.results().empty() && second.results().empty(); }, "results given up");
    cr_assert(first.protocolErrors().empty() && second.protocolErrors().empty());
}

/** An engine may have run it, so it must not be refused as not run, whatever fails later. */
Test(gateway, stagesThatFailAfterARunAreNoRefusal)
{
    Simple f;
    auto &first = f.harness.addEndpoint("f1", "first", Behaviour::Respond);
    f.harness.addEndpoint("s1", "second", Behaviour::Respond);
    auto &other = f.harness.addEndpoint("g2", "engine", Behaviour::Stream);
    const auto sent = stagedHeaders("id-1", { 1, 1 });
    f.harness.waitFor(
        [&] { return f.harness.ask(0, "POST", "/again/x", sent, "b").status == 200 && other.executionCount() > 0; },
        "all endpoints");
    // The first engine runs it and its answer is lost; the next one misses the results, which nobody makes again.
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
    const auto answer = f.harness.ask(0, "POST", "/again/x", sent, "b");
    cr_assert_eq(sends, 2);
    cr_assert_eq(answer.status, 502, "%d", answer.status);
}

Test(gateway, vmsFillCallsTogether)
{
    Simple f(Behaviour::Respond, Behaviour::Stream, 2);
    auto &first = f.harness.addEndpoint("f1", "first", Behaviour::Respond);
    f.harness.addEndpoint("s1", "second", Behaviour::Respond);
    const auto sent = stagedHeaders("id", { 1, 1 });
    f.harness.waitFor(
        [&] {
            return f.harness.ask(0, "POST", "/staged/x", sent, "b").status == 200
                && f.harness.ask(1, "POST", "/staged/x", sent, "b").status == 200;
        },
        "both VMs");
    f.harness.waitForLinks();
    first.holdPieceCalls();
    std::vector<std::shared_ptr<std::optional<Answer>>> answers;
    for (int request = 0; request < 24; ++request) {
        const auto own = stagedHeaders("id-" + std::to_string(request), { 1, 1 });
        answers.push_back(f.harness.begin(std::size_t(request % 2), "POST", "/staged/x", own, "b"));
    }
    const Time gathered = f.harness.loop().clock().now() + 1s; // all but the first call wait for its end
    f.harness.waitFor([&] { return f.harness.loop().clock().now() > gathered; }, "the requests to come");
    first.releaseHeldResponses();
    for (const auto &answer : answers) {
        f.harness.waitFor([&] { return answer->has_value(); }, "an answer");
        cr_assert_eq((*answer)->status, 200);
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

Test(gateway, newDesiredStateTakesOverAndNeverReverts)
{
    Simple f;
    auto &other = f.harness.addEndpoint("o1", "other", Behaviour::Respond);
    auto routes = allRoutes();
    routes[0].service = "other";
    f.harness.store().publishDesiredState(stateOf(5, routes));
    f.harness.waitFor(
        [&] { return f.harness.ask(0, "GET", "/safe/x", headers("1")).status == 200 && other.executionCount() > 0; },
        "the new service");
    const auto before = f.plain.executionCount();
    f.harness.store().publishDesiredState(stateOf(3, allRoutes()));
    f.harness.waitFor([&] { return f.harness.store().hasCaughtUpReaders(); }, "the older state to be read");
    cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", headers("2")).status, 200);
    cr_assert_eq(f.plain.executionCount(), before, "the older state came back");
    routes.push_back({ .name = "added", .service = "plain" });
    f.harness.store().publishDesiredState(stateOf(9, routes));
    f.harness.waitFor([&] { return f.harness.ask(0, "GET", "/added/x", headers("3")).status == 200; },
                      "the added route");
    cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", headers("4")).status, 200);
    cr_assert_eq(f.plain.executionCount(), before + 1, "the older state came back");
}

Test(gateway, leavingEndpointGetsNoNewWork)
{
    Simple f;
    auto &next = f.harness.addEndpoint("p2", "plain", Behaviour::Respond);
    f.harness.store().registerEndpoint(f.plain, true);
    f.harness.waitFor(
        [&] {
            f.harness.ask(0, "GET", "/safe/x", headers("1"));
            return next.executionCount() >= 1;
        },
        "the next endpoint");
    f.harness.store().registerEndpoint(f.plain); // a lagging entry of the same lifetime
    const auto before = f.plain.executionCount();
    f.harness.waitFor([&] { return f.harness.store().hasCaughtUpReaders(); }, "the entry to be read");
    for (int request = 0; request < 20; ++request) {
        cr_assert_eq(f.harness.ask(0, "POST", "/unsafe/x", headers("2"), "b").status, 200);
    }
    cr_assert_eq(f.plain.executionCount(), before);
}

Test(gateway, stopCutsNothing)
{
    Simple f(Behaviour::Hold);
    const auto held = f.harness.begin(0, "POST", "/unsafe/x", headers("1"), "b");
    f.harness.waitFor([&] { return f.plain.executionCount() == 1; }, "the request to run");
    f.harness.signal(0, SIGTERM);
    f.harness.waitFor([&] { return f.harness.readiness(0) == 503; }, "not ready");
    f.plain.setBehaviour(Behaviour::Respond);
    cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", headers("2")).status,
                 200,
                 "callers still come until they are led elsewhere");
    f.plain.releaseHeldResponses();
    f.harness.waitFor([&] { return held->has_value(); }, "the held answer");
    cr_assert_eq((*held)->status, 200);
    f.harness.waitFor([&] { return f.harness.hasEnded(0); }, "the end");
}

Test(gateway, callerThatLeavesEndsTheWork)
{
    // Both time limits are beyond the harness's patience, so that only the caller's leaving can end the work.
    constexpr auto tooLong = 120s;
    Simple f(Behaviour::Hold);
    const RouteSpec slow { .name = "slow", .kind = RouteKind::Unsafe, .service = "plain", .timeout = tooLong };
    f.harness.store().publishDesiredState(stateOf(2, { slow }));
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
    f.harness.waitFor([&] { return f.plain.abandonedCount() == 1; }, "the endpoint to hear of it");
}

Test(gateway, timeLimitEndsOneRequestAndNoOther)
{
    Simple f(Behaviour::Hold);
    const auto held = f.harness.begin(0, "POST", "/unsafe/x", headers("1"), "b");
    f.harness.waitFor([&] { return f.plain.executionCount() == 1; }, "the request to run");
    const auto second = requestHeaders({ .id = "2", .apiKey = key, .callerTimeout = 4s });
    const auto answer = f.harness.ask(0, "POST", "/unsafe/x", second, "b");
    cr_assert_eq(answer.status, 504);
    f.plain.releaseHeldResponses();
    f.harness.waitFor([&] { return held->has_value(); }, "the held answer");
    cr_assert_eq((*held)->status, 200);
}

Test(gateway, servesOnWithoutTheStore)
{
    Simple f;
    f.harness.store().setFault(Store::Fault::Unavailable);
    const auto reads = f.harness.store().readCount();
    for (int request = 0; request < 20; ++request) {
        cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", headers("1")).status, 200);
    }
    f.harness.store().setFault(Store::Fault::None);
    f.harness.store().publishDesiredState(stateOf(2, { { .name = "new", .service = "plain" } }));
    f.harness.waitFor([&] { return f.harness.ask(0, "GET", "/new/x", headers("2")).status == 200; }, "the new state");
    cr_assert_gt(f.harness.store().readCount(), reads);
}

Test(gateway, forgottenHistoryIsReadAnew)
{
    Simple f;
    auto &other = f.harness.addEndpoint("o1", "other", Behaviour::Respond);
    f.harness.store().publishDesiredState(stateOf(2, { { .name = "new", .service = "other" } }));
    f.harness.store().compactHistory();
    f.harness.waitFor([&] { return f.harness.ask(0, "GET", "/new/x", headers("2")).status == 200; }, "the new state");
    cr_assert_eq(other.executionCount(), 1U);
}

Test(gateway, badEntryNamesNoEndpointAndTheOthersHold)
{
    Simple f;
    f.harness.store().registerRawEndpoint("x1", "\x01\x02 not an entry");
    f.harness.store().registerRawEndpoint("x2", malformedRegistration("plain"));
    f.harness.store().publishRawDesiredState("{broken");
    auto &other = f.harness.addEndpoint("o1", "other", Behaviour::Respond);
    f.harness.store().publishDesiredState(
        stateOf(2, { { .name = "new", .service = "other" }, { .name = "safe", .service = "plain" } }));
    f.harness.waitFor([&] { return f.harness.ask(0, "GET", "/new/x", headers("1")).status == 200; }, "the new state");
    cr_assert_eq(other.executionCount(), 1U);
    cr_assert_eq(f.harness.ask(0, "GET", "/safe/x", headers("2")).status, 200);
}

Test(gateway, badSettingsAreNamed)
{
    Harness harness(0);
    const std::string path = "/tmp/lacewing-gateway-bad-" + std::to_string(getpid()) + ".toml";
    const std::string command = "printf '" + invalidSettingsText() + "' > " + path + "; " + LACEWING_GATEWAY_PROGRAM
        + " --check --settings=" + path + " 2> " + path + ".err";
    cr_assert_neq(std::system(command.c_str()), 0);
    cr_assert_eq(std::system(("grep -q '" + invalidSettingsKey() + "' " + path + ".err").c_str()), 0);
    std::system(("rm -f " + path + " " + path + ".err").c_str());
}

/** After an outage of the store, VMs that leave the reading to others must not take the store for lost any longer. */
Test(gateway, removedEndpointIsLeftByAllVmsAfterAnOutage)
{
    constexpr std::size_t vms = 6; // more than read the store for all
    Simple f(Behaviour::Respond, Behaviour::Stream, vms);
    const Time known = f.harness.loop().clock().now() + 2s; // the VMs read each other's addresses
    f.harness.waitFor([&] { return f.harness.loop().clock().now() > known; }, "the VMs to know each other");
    // First all lose the store; then half of the VMs hear from the others, before it answers them again.
    for (const std::size_t first : { std::size_t(0), vms / 2 }) {
        f.harness.store().setFault(Store::Fault::Unavailable);
        const auto refused = f.harness.store().rejectedCount();
        f.harness.waitFor([&] { return f.harness.store().rejectedCount() > refused + 60; },
                          "all VMs to find the store lost");
        f.harness.store().setUnavailableAddresses(
            { f.harness.storeOf(first), f.harness.storeOf(first + 1), f.harness.storeOf(first + 2) });
        f.harness.store().setFault(Store::Fault::None);
        const Time heard = f.harness.loop().clock().now() + 1500ms; // several beacons
        f.harness.waitFor([&] { return f.harness.loop().clock().now() > heard; }, "the others to be heard");
        f.harness.store().setUnavailableAddresses({});
        f.harness.store().removeEndpoint("p1");
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.waitFor([&] { return f.harness.ask(vm, "GET", "/safe/x", headers("2")).status == 503; },
                              "the removed endpoint to get no more");
        }
        f.harness.store().registerEndpoint(f.plain);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            f.harness.waitFor([&] { return f.harness.ask(vm, "GET", "/safe/x", headers("3")).status == 200; },
                              "the endpoint to be back");
        }
    }
}
