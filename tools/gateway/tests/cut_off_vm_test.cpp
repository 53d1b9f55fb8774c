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

/** The users' bound: a VM that is cut off has to serve its callers from then on (stable-window-ms). */
constexpr Duration settlingTime = 3s;

/** VMs that can be cut off from endpoints, and a few endpoints of each service. */
struct Fleet {
    explicit Fleet(std::size_t vms)
        : harness(vms)
        , vmCount(vms)
    {
        harness.enableCuts();
        for (const char *service : { "plain", "engine", "first", "second" }) {
            for (const char *number : { "1", "2", "3" }) {
                harness.addEndpoint(std::string(service) + number,
                                    service,
                                    std::string_view(service) == "engine" ? Behaviour::Stream : Behaviour::Respond);
            }
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", harness.endpoints().size());
        }
        harness.waitForLinks();
    }

    std::string nextId()
    {
        return "id-" + std::to_string(++requests);
    }

    Endpoint &endpoint(const std::string &id)
    {
        const auto found = std::find_if(harness.endpoints().begin(), harness.endpoints().end(), [&](const auto &item) {
            return item->identity().id == id;
        });
        cr_assert_neq(found, harness.endpoints().end(), "no endpoint %s", id.c_str());
        return **found;
    }

    void setBehaviours(const std::string &service, Behaviour behaviour)
    {
        for (auto &item : harness.endpoints()) {
            if (item->identity().service == service) {
                item->setBehaviour(behaviour);
            }
        }
    }

    /** Cuts VMs off, and waits until they have others send requests for them. */
    void cutOffAndWait(const std::vector<std::size_t> &vms, const std::string &target = "/safe/x")
    {
        for (const auto vm : vms) {
            harness.cutOffAndWait(vm, { target });
        }
    }

    /** Returns the requests that endpoints of a service have received. */
    std::vector<const ReceivedRequest *> received(const std::string &service)
    {
        std::vector<const ReceivedRequest *> requests;
        for (const auto &item : harness.endpoints()) {
            if (item->identity().service == service) {
                for (const auto &request : item->receivedRequests()) {
                    requests.push_back(&request);
                }
            }
        }
        return requests;
    }

    std::size_t arrivals(const std::string &id)
    {
        return endpoint(id).receivedRequests().size();
    }

    /** Returns the VM that has sent the latest request to an endpoint of a service. */
    std::size_t senderOfLatest(const std::string &service)
    {
        for (const auto *request : received(service)) {
            if (request->requestId() == "id-" + std::to_string(requests)) {
                return harness.sender(*request);
            }
        }
        cr_assert_fail("the latest request reached no endpoint of %s", service.c_str());
        return 0;
    }

    std::size_t executionsOf(const std::string &id)
    {
        std::size_t count = 0;
        for (const auto &item : harness.endpoints()) {
            for (const auto &request : item->receivedRequests()) {
                count += request.wasExecuted && request.requestId() == id ? 1 : 0;
            }
        }
        return count;
    }

    std::shared_ptr<std::optional<Response>> sendAsync(std::size_t vm, const std::string &target, const std::string &id)
    {
        const bool isStaged = target == "/staged/x" || target == "/again/x";
        return harness.sendAsync(vm, "POST", target, isStaged ? stagedHeaders(id, { 2, 1 }) : headers(id), "b" + id);
    }

    Response send(std::size_t vm, const std::string &target)
    {
        const auto response = sendAsync(vm, target, nextId());
        harness.waitFor([&] { return response->has_value(); }, "a response");
        return **response;
    }

    /** Sends some requests at a time, at a steady pace. @return the share that was served */
    double share(const std::vector<std::size_t> &vms, const std::string &target, Duration time, int atOnce = 1)
    {
        std::vector<std::shared_ptr<std::optional<Response>>> responses;
        const Time end = harness.loop().clock().now() + time;
        while (harness.loop().clock().now() < end) {
            for (const auto vm : vms) {
                for (int count = 0; count < atOnce; ++count) {
                    responses.push_back(sendAsync(vm, target, nextId()));
                }
            }
            pause(50ms);
        }
        harness.waitFor(
            [&] {
                return std::all_of(
                    responses.begin(), responses.end(), [](const auto &response) { return response->has_value(); });
            },
            "all responses");
        const auto served = std::count_if(responses.begin(), responses.end(), [](const auto &response) {
            return (*response)->isComplete && (*response)->status == net::status::ok;
        });
        return double(served) / double(responses.size());
    }

    void pause(Duration time)
    {
        const Time end = harness.loop().clock().now() + time;
        harness.waitFor([&] { return harness.loop().clock().now() >= end; }, "time");
    }

    /** Checks what holds whatever happens: no request ran at two endpoints that may run once, nor was malformed. */
    void checkExecutions()
    {
        std::set<std::string> executed;
        for (const auto &endpoint : harness.endpoints()) {
            for (const auto &error : endpoint->protocolErrors()) {
                cr_assert(error.starts_with("release of an unknown result"), "%s", error.c_str());
            }
            for (const auto &request : endpoint->receivedRequests()) {
                if (request.wasExecuted && request.request.target == "/unsafe/x") {
                    cr_assert(executed.insert(request.requestId()).second, "%s ran twice", request.requestId().c_str());
                }
            }
        }
    }

    Harness harness;
    std::size_t vmCount;
    int requests = 0;
};

struct CutCase {
    char name[60];
    PathCut cut;
    std::size_t vms;
    std::size_t cutVms; ///< the first ones
    char target[16];
};

CutCase cutCases[] = {
    { "refused, one of three, safe", PathCut::Refuse, 3, 1, "/safe/x" },
    { "refused, one of three, unsafe", PathCut::Refuse, 3, 1, "/unsafe/x" },
    { "refused, two of three, stream", PathCut::Refuse, 3, 2, "/stream/x" },
    { "refused, two of three, resumable", PathCut::Refuse, 3, 2, "/resumable/x" },
    { "refused, two of three, stages", PathCut::Refuse, 3, 2, "/staged/x" },
    { "refused, all but one of five, unsafe", PathCut::Refuse, 5, 4, "/unsafe/x" },
    { "hanging, one of three, safe", PathCut::Hang, 3, 1, "/safe/x" },
    { "hanging, two of three, unsafe", PathCut::Hang, 3, 2, "/unsafe/x" },
    { "hanging, two of three, stream", PathCut::Hang, 3, 2, "/stream/x" },
    { "hanging, two of three, stages", PathCut::Hang, 3, 2, "/staged/x" },
    { "hanging, two of three, stages, resumable", PathCut::Hang, 3, 2, "/again/x" },
    { "new ones refused, two of three, unsafe", PathCut::RefuseNew, 3, 2, "/unsafe/x" },
    { "new ones hang, two of three, stream", PathCut::HangNew, 3, 2, "/stream/x" },
};

} // namespace

/** A VM that reaches no endpoint refused or failed its callers while other VMs served theirs (issue 34, RECOVER). */
ParameterizedTestParameters(cutOffVm, callersAreServed)
{
    return cr_make_param_array(CutCase, cutCases, std::size(cutCases));
}

ParameterizedTest(CutCase *test, cutOffVm, callersAreServed)
{
    constexpr double minShare = 0.9;
    Fleet f(test->vms);
    std::vector<std::size_t> all;
    std::vector<std::size_t> cut;
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        all.push_back(vm);
        if (vm < test->cutVms) {
            cut.push_back(vm);
        }
    }
    f.share(all, test->target, 1s);
    for (const auto vm : cut) {
        f.harness.cutOff(vm, test->cut);
    }
    // More at a time than there are open connections.
    f.share(all, test->target, settlingTime, 4);
    const double share = f.share(cut, test->target, 2s, 4);
    cr_assert_geq(share, minShare, "%s: %.2f served", test->name, share);
    f.checkExecutions();
}

/** A VM took the loss of its own path for crashes of endpoints, and had all VMs refuse sound requests. */
Test(cutOffVm, soundRequestsAreNotQuarantined)
{
    Fleet f(3);
    f.share({ 0, 1, 2 }, "/resumable/x", 500ms);
    for (auto &endpoint : f.harness.endpoints()) {
        endpoint->setBehaviour(Behaviour::Hold);
    }
    // The same request comes again and again, as its caller retries; it is under way when the path is lost.
    const auto sendSame = [&](std::size_t vm) {
        return f.harness.sendAsync(vm, "POST", "/resumable/x", headers(f.nextId()), "same");
    };
    std::vector<std::shared_ptr<std::optional<Response>>> underWay;
    for (int count = 0; count < 12; ++count) {
        underWay.push_back(sendSame(0));
    }
    f.pause(200ms);
    f.harness.cutOff(0, PathCut::Refuse);
    f.pause(1s);
    for (auto &endpoint : f.harness.endpoints()) {
        endpoint->releaseHeldResponses();
        endpoint->setBehaviour(endpoint->identity().service == "engine" ? Behaviour::Stream : Behaviour::Respond);
    }
    const auto response = sendSame(1);
    f.harness.waitFor([&] { return response->has_value(); }, "a response");
    cr_assert_eq((*response)->status, net::status::ok, "status %d", (*response)->status);
}

/** A request passes one other VM at most, and its answer is what the endpoint sent. */
Test(cutOffVm, answersArePassedOnUnchanged)
{
    Fleet f(3);
    f.cutOffAndWait({ 0, 1 });
    std::set<std::string> ids;
    for (const std::size_t vm : { 0, 1 }) {
        const auto id = f.nextId();
        ids.insert(id);
        const auto response = f.harness.sendAndWait(vm, "POST", "/unsafe/a?b=c", headers(id), "body");
        cr_assert_eq(response.status, net::status::ok);
        cr_assert_str_eq(response.body.c_str(), "answer to POST /unsafe/a?b=c body");
        cr_assert(findReceipt(response.headers).has_value());
        cr_assert_eq(f.executionsOf(id), 1U);
    }
    for (const auto *received : f.received("plain")) {
        const auto &request = *received;
        if (!ids.contains(request.requestId())) {
            continue;
        }
        cr_assert_eq(f.harness.sender(request), 2U);
        cr_assert(request.workspace() == workspace);
        cr_assert_not(request.hasApiKey());
        cr_assert(request.remainingMs() > 0 && request.remainingMs() <= 15'000, "%d ms", request.remainingMs());
    }
}

/** Only some services are out of reach. */
Test(cutOffVm, servicesInReachAreUsedDirectly)
{
    Fleet f(2);
    f.harness.cutOff(0, PathCut::Refuse, { "engine1", "engine2", "engine3" });
    f.harness.waitFor(
        [&] {
            f.send(0, "/stream/x");
            return f.harness.metric(0, "lacewing_unreachable_services") > 0;
        },
        "a VM that knows that it is cut off");
    cr_assert_eq(f.harness.metric(0, "lacewing_unreachable_services"), 1);
    cr_assert_eq(f.send(0, "/stream/x").status, net::status::ok);
    cr_assert_eq(f.senderOfLatest("engine"), 1U);
    cr_assert_eq(f.send(0, "/safe/x").status, net::status::ok);
    cr_assert_eq(f.senderOfLatest("plain"), 0U);
}

/** The end of the cut is noticed without requests that try the path. */
Test(cutOffVm, requestsAreSentDirectlyAfterTheCut)
{
    Fleet f(2);
    f.cutOffAndWait({ 0 });
    f.harness.cutOff(0, PathCut::None);
    const Time healedAt = f.harness.loop().clock().now();
    f.harness.waitFor([&] { return f.harness.metric(0, "lacewing_unreachable_services") == 0; }, "the end of the cut");
    const auto ms = toMilliseconds(f.harness.loop().clock().now() - healedAt);
    cr_log_info("noticed after %lld ms", static_cast<long long>(ms));
    cr_assert_eq(f.send(0, "/safe/x").status, net::status::ok);
    cr_assert_eq(f.senderOfLatest("plain"), 0U);
}

/** No VM reaches the service: callers are told at once when to come back. */
Test(cutOffVm, requestsThatNoVmCanSendAreRefusedAtOnce)
{
    Fleet f(3);
    f.cutOffAndWait({ 0, 1, 2 });
    for (const char *target : { "/safe/x", "/unsafe/x" }) {
        const auto id = f.nextId();
        const auto response = f.harness.sendAndWait(0, "POST", target, headers(id), "body");
        cr_assert_eq(response.status, net::status::unavailable, "%s: %d", target, response.status);
        cr_assert(findRetryAfter(response.headers).has_value(), "%s", target);
        cr_assert_eq(f.executionsOf(id), 0U, "%s", target);
    }
    // The first refusal of the VM that is asked tells that it doesn't reach the service either.
    cr_assert_eq(f.harness.metric(0, "lacewing_unreachable_services") > 0, true);
}

/** A caller that leaves ends the work at the endpoint, also by way of another VM. */
Test(cutOffVm, workEndsWhenTheCallerLeaves)
{
    Fleet f(2);
    f.cutOffAndWait({ 0 });
    f.setBehaviours("plain", Behaviour::Hold);
    const auto arrivals = f.received("plain").size();
    {
        net::HttpClient caller(f.harness.loop(), {});
        net::HttpCall call;
        call.address = f.harness.callersAddress(0);
        call.method = "POST";
        call.target = "/safe/x";
        call.headers = headers(f.nextId());
        caller.start(std::move(call), {}, {});
        f.harness.waitFor([&] { return f.received("plain").size() > arrivals; }, "the request at an endpoint");
    }
    f.harness.waitFor(
        [&] {
            return std::any_of(f.harness.endpoints().begin(), f.harness.endpoints().end(), [](const auto &item) {
                return item->abandonedCount() > 0;
            });
        },
        "the end of the work");
}

namespace
{

struct RelayEndCase {
    char name[50];
    int signal; ///< to the VM that sends the request, while the endpoint works on it
    char target[16];
    int status; ///< that the caller gets
    std::size_t executions;
};

RelayEndCase relayEndCases[] = {
    { "killed, safe", SIGKILL, "/safe/x", net::status::ok, 2 },
    { "killed, unsafe", SIGKILL, "/unsafe/x", net::status::badGateway, 1 },
    { "stopped, safe", SIGTERM, "/safe/x", net::status::ok, 1 },
    { "stopped, unsafe", SIGTERM, "/unsafe/x", net::status::ok, 1 },
    { "frozen, safe", SIGSTOP, "/safe/x", net::status::ok, 2 },
    { "frozen, unsafe", SIGSTOP, "/unsafe/x", net::status::badGateway, 1 },
};

} // namespace

/** The VM that sends a request ends, freezes or stops as planned while an endpoint works on it. */
ParameterizedTestParameters(cutOffVm, requestWhoseRelayEnds)
{
    return cr_make_param_array(RelayEndCase, relayEndCases, std::size(relayEndCases));
}

ParameterizedTest(RelayEndCase *test, cutOffVm, requestWhoseRelayEnds)
{
    Fleet f(3);
    f.cutOffAndWait({ 0 });
    f.setBehaviours("plain", Behaviour::Hold);
    const auto arrivals = f.received("plain").size();
    const auto id = f.nextId();
    const auto response = f.sendAsync(0, test->target, id);
    f.harness.waitFor([&] { return f.executionsOf(id) > 0; }, "the request at an endpoint");
    cr_assert_eq(f.received("plain").size(), arrivals + 1);
    std::size_t relay = 0;
    for (const auto *request : f.received("plain")) {
        if (request->requestId() == id) {
            relay = f.harness.sender(*request);
        }
    }
    cr_assert_neq(relay, 0U);
    f.harness.signal(relay, test->signal);
    if (test->signal == SIGTERM) {
        f.pause(300ms);
    }
    const bool isRetried = test->executions > 1;
    if (isRetried) {
        f.harness.waitFor([&] { return f.executionsOf(id) > 1; }, "a retry");
    }
    if (test->status == net::status::ok) {
        for (auto &endpoint : f.harness.endpoints()) {
            endpoint->releaseHeldResponses();
        }
    }
    f.harness.waitFor([&] { return response->has_value(); }, "a response");
    cr_assert_eq((*response)->status, test->status, "%s: %d", test->name, (*response)->status);
    cr_assert_eq(f.executionsOf(id), test->executions, "%s: %zu executions", test->name, f.executionsOf(id));
    f.harness.signal(relay, SIGCONT);
}

/** What an endpoint says to the VM that sends counts there, and what it says to all VMs counts everywhere. */
Test(cutOffVm, noticesOfEndpointsHold)
{
    Fleet f(2);
    f.cutOffAndWait({ 0 });
    f.endpoint("plain1").rejectWithRetryAfter("20");
    f.harness.waitFor(
        [&] {
            f.share({ 0 }, "/safe/x", 10ms, 8); // so many at a time that each endpoint gets some
            return f.harness.metric(1, "lacewing_quiet_periods_total") > 0;
        },
        "a quiet period");
    const auto quiet = f.endpoint("plain1").receivedRequests().size();
    f.endpoint("plain2").announceLeaving();
    const auto beforeLeaving = f.arrivals("plain2");
    f.harness.waitFor(
        [&] {
            f.share({ 0 }, "/safe/x", 10ms, 8);
            return f.arrivals("plain2") > beforeLeaving;
        },
        "a request at the endpoint that leaves");
    f.harness.waitForLogLines({ 0 }, "\"endpoint leaving\"", 1);
    const auto leaving = f.endpoint("plain2").receivedRequests().size();
    for (int count = 0; count < 20; ++count) {
        cr_assert_eq(f.send(0, "/safe/x").status, net::status::ok);
    }
    cr_assert_eq(f.endpoint("plain1").receivedRequests().size(), quiet);
    cr_assert_eq(f.endpoint("plain2").receivedRequests().size(), leaving);
}

/** A broken-off stream is cut for its caller, or goes on, as if this VM had sent it. */
Test(cutOffVm, brokenOffStreamsAreResumedOrCut)
{
    Fleet f(2);
    f.cutOffAndWait({ 0 }, "/stream/x");
    f.setBehaviours("engine", Behaviour::TruncateStream);
    cr_assert_not(f.send(0, "/stream/x").isComplete);
    f.endpoint("engine2").setBehaviour(Behaviour::Stream);
    f.endpoint("engine3").setBehaviour(Behaviour::Stream);
    for (int count = 0; count < 12; ++count) {
        const auto response = f.send(0, "/resumable/x");
        cr_assert(response.isComplete);
        for (int event = 1; event <= Endpoint::streamEventCount; ++event) {
            const auto text = net::sseEvent(std::to_string(event), "event " + std::to_string(event));
            const auto at = response.body.find(text);
            cr_assert_neq(at, std::string::npos, "event %d is missing", event);
            cr_assert_eq(response.body.find(text, at + 1), std::string::npos, "event %d comes twice", event);
        }
    }
}
