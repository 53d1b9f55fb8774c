#include "requests.h"

#include <algorithm>
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
