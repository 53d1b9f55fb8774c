#include "requests.h"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Answer = RawEndpoint::Answer;

namespace
{

constexpr std::size_t documentBytes = std::size_t(4) << 20U;
constexpr std::size_t documentCount = 60;
/** Documents that a VM of the smallest size takes at a time, whichever way they go. */
constexpr std::size_t minServed = 6;
/** Time for which an endpoint works on a document. */
constexpr auto documentTime = 2500ms;
/** Endpoints that take documents, so that none has to turn one away for its number of connections. */
constexpr int documentEndpoints = 4;
/** The memory of a VM, and the share of it that a process may take at most. */
const std::size_t memoryBytes = std::size_t(VmSpec().memoryMb) << 20U;
constexpr double maxShare = 0.9;
/** Time within which a small request is answered while documents arrive. */
constexpr auto smallRequestTime = 1500ms;

struct BodyCase {
    char name[32];
    std::size_t vms;
    bool isCutOff; ///< the first VM reaches no endpoint of the documents, and has the other one send them
};

BodyCase bodyCases[] = {
    { "straight", 1, false },
    { "by way of another vm", 2, true },
};

/** Endpoints that work on documents for a while, and one that answers small requests at once. */
struct Fixture {
    explicit Fixture(const BodyCase &test)
        : harness(test.vms)
    {
        harness.enableCuts();
        for (int number = 0; number < documentEndpoints; ++number) {
            const std::string id = "documents" + std::to_string(number);
            documentIds.push_back(id);
            harness.addRawEndpoint(id, "plain", [this, id](const std::string &request) {
                started.insert(request);
                return Answer { .parts = { answerText(receiptHeaders(id, request), "done") }, .delay = documentTime };
            });
        }
        harness.addEndpoint("small", "other", Endpoint::Behaviour::Respond);
        auto routes = allRoutes();
        routes.push_back({ .name = "small", .kind = RouteKind::Unsafe, .service = "other" });
        harness.store().publishDesiredState(makeState(1, std::move(routes)));
        harness.start();
        for (std::size_t vm = 0; vm < test.vms; ++vm) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", documentIds.size() + 1);
        }
        harness.waitForLinks();
        if (test.isCutOff) {
            harness.cutOff(0, PathCut::Refuse, documentIds);
            harness.waitFor(
                [&] {
                    const std::string id = "cut-off-" + std::to_string(++probes);
                    harness.sendAndWait(0, "POST", "/unsafe/x", headers(id), "b");
                    return harness.metric(0, "lacewing_unreachable_services") >= 1;
                },
                "a VM that knows that it is cut off");
        }
    }

    Harness harness;
    std::vector<std::string> documentIds;
    std::set<std::string> started; ///< requests that endpoints for documents have begun
    int probes = 0;
};

} // namespace

ParameterizedTestParameters(requestBodies, stayWithinTheMemoryOfAVm)
{
    return cr_make_param_array(BodyCase, bodyCases, std::size(bodyCases));
}

// Guards against bodies of requests that exceed the memory of a VM, which the platform then kills (issue 45).
ParameterizedTest(BodyCase *test, requestBodies, stayWithinTheMemoryOfAVm)
{
    Fixture f(*test);
    std::vector<std::shared_ptr<std::optional<Response>>> documents;
    const std::string document(documentBytes, 'd');
    std::size_t smallRequests = 0;
    const auto sendSmallRequest = [&] {
        const Time sentAt = f.harness.loop().clock().now();
        const auto response =
            f.harness.sendAndWait(0, "POST", "/small/x", headers("small-" + std::to_string(++smallRequests)), "body");
        cr_assert_eq(response.status, net::status::ok, "%s: small request: %d", test->name, response.status);
        const auto took = f.harness.loop().clock().now() - sentAt;
        cr_assert_lt(took, smallRequestTime, "%s: small request: %lld ms", test->name, (long long)toMilliseconds(took));
    };
    for (std::size_t number = 0; number < documentCount; ++number) {
        documents.push_back(
            f.harness.sendAsync(0, "POST", "/unsafe/x", headers("document-" + std::to_string(number)), document));
        if (number % 10 == 0) {
            sendSmallRequest();
        }
    }
    const auto isAnswered = [](const auto &response) { return response->has_value(); };
    while (!std::all_of(documents.begin(), documents.end(), isAnswered)) {
        sendSmallRequest();
    }
    std::size_t served = 0;
    for (std::size_t number = 0; number < documentCount; ++number) {
        const auto &response = **documents[number];
        const bool hasRun = f.started.contains("document-" + std::to_string(number));
        served += response.status == net::status::ok ? 1 : 0;
        if (response.status != net::status::ok) {
            cr_assert_eq(
                response.status, net::status::unavailable, "%s: document %zu: %d", test->name, number, response.status);
            cr_assert(net::findHeader(response.headers, "Retry-After"), "%s: no Retry-After", test->name);
            cr_assert(!hasRun, "%s: document %zu was refused and has run", test->name, number);
        }
    }
    cr_assert_geq(served, minServed, "%s: %zu served", test->name, served);
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        const std::size_t used = f.harness.peakMemory(vm);
        cr_assert_lt(double(used),
                     maxShare * double(memoryBytes),
                     "%s: vm %zu: %zu MB of %d",
                     test->name,
                     vm,
                     used >> 20U,
                     VmSpec().memoryMb);
    }
    // What was held is given back: as many documents are taken again.
    const auto again = f.harness.sendAndWait(0, "POST", "/unsafe/x", headers("again"), document);
    cr_assert_eq(again.status, net::status::ok, "%s: %d afterwards", test->name, again.status);
}
