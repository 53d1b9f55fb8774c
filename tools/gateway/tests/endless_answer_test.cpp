#include "requests.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Answer = RawEndpoint::Answer;
using Ending = RawEndpoint::Ending;

namespace
{

/** How much memory one endless answer may cost a VM. The smallest VMs have 160 MB. */
constexpr std::size_t maxMemoryForOneAnswer = std::size_t(24) << 20U;
/** How much memory endless answers may cost a VM together. */
constexpr std::size_t maxMemoryForAllAnswers = std::size_t(80) << 20U;
constexpr std::size_t repeatedBytes = std::size_t(64) << 10U;
/** Time that callers wait. An answer that is bounded by nothing else ends then. */
constexpr auto callerTimeout = 1500ms;

std::string repeat(std::string_view text)
{
    std::string repeated;
    while (repeated.size() < repeatedBytes) {
        repeated += text;
    }
    return repeated;
}

enum class Head : std::uint8_t { None, Plain, UntilClose, Chunked, OtherRequest };

struct EndlessCase {
    char name[32];
    char target[16];
    Head head;
    char start[48]; ///< first bytes after the head
    char repeated[48]; ///< all further bytes
};

EndlessCase endlessCases[] = {
    { "no answer", "/unsafe/x", Head::None, "", "\x01\x02\xff" },
    { "zeros in place of a head", "/unsafe/x", Head::None, "", "0" },
    { "line ends in place of a head", "/unsafe/x", Head::None, "", "\r\n" },
    { "status line", "/unsafe/x", Head::None, "HTTP/1.1 200 ", "OK" },
    { "header line", "/unsafe/x", Head::None, "HTTP/1.1 200 OK\r\nX: ", "a" },
    { "headers", "/safe/x", Head::None, "HTTP/1.1 200 OK\r\n", "X: a\r\n" },
    { "interim answers", "/unsafe/x", Head::None, "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "body", "/unsafe/x", Head::UntilClose, "", "a" },
    { "body, retried", "/safe/x", Head::UntilClose, "", "a" },
    { "chunks", "/unsafe/x", Head::Chunked, "", "4\r\naaaa\r\n" },
    { "size of a chunk", "/unsafe/x", Head::Chunked, "", "0" },
    { "extension of a chunk", "/unsafe/x", Head::Chunked, "4;", "a" },
    { "trailer", "/unsafe/x", Head::Chunked, "0\r\n", "X: a\r\n" },
    { "trailer line", "/unsafe/x", Head::Chunked, "0\r\nX: ", "a" },
    { "body of another answer", "/unsafe/x", Head::OtherRequest, "", "a" },
    { "event", "/stream/x", Head::UntilClose, "data: ", "a" },
    { "event, resumable", "/resumable/x", Head::UntilClose, "data: ", "a" },
    { "lines of an event", "/resumable/x", Head::Chunked, "", "9\r\ndata: aa\n\r\n" },
    { "comments", "/resumable/x", Head::UntilClose, ": ", "a" },
    { "call for pieces: head", "/staged/x", Head::None, "HTTP/1.1 200 OK\r\nX: ", "a" },
    { "call for pieces: body", "/staged/x", Head::Plain, "Connection: close\r\n\r\n", " " },
};

std::string headText(Head head, const std::string &endpoint, const std::string &request)
{
    std::string start = "HTTP/1.1 200 OK\r\n";
    switch (head) {
    case Head::None:
        return {};
    case Head::Plain:
        return start;
    case Head::UntilClose:
        return start + receiptHeaders(endpoint, request) + "Connection: close\r\n\r\n";
    case Head::Chunked:
        return start + receiptHeaders(endpoint, request) + "Transfer-Encoding: chunked\r\n\r\n";
    case Head::OtherRequest:
        break;
    }
    return start + receiptHeaders(endpoint, "another") + "Connection: close\r\n\r\n";
}

/** Endpoints that all send the same answer without end. */
struct Fixture {
    /** @param isCutOff whether the first VM reaches no endpoint, and a second one sends its requests */
    explicit Fixture(const EndlessCase &test, bool isCutOff = false)
        : harness(isCutOff ? 2 : 1)
    {
        if (isCutOff) {
            harness.enableCuts();
        }
        for (const char *service : { "plain", "engine", "first", "second" }) {
            const std::string id = std::string(service) + "-1";
            endpoints.push_back(&harness.addRawEndpoint(id, service, [&test, id](const std::string &request) {
                return Answer { { headText(test.head, id, request) + test.start, repeat(test.repeated) },
                                Ending::Repeat };
            }));
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        if (isCutOff) {
            harness.waitForLinks();
            harness.cutOff(0, PathCut::Refuse);
            const Time inForceAt = harness.loop().clock().now() + 50ms; // the VM reads it every few ms
            harness.waitFor([&] { return harness.loop().clock().now() >= inForceAt; }, "the cut");
        }
    }

    std::shared_ptr<std::optional<Response>> send(const char *target, const std::string &id)
    {
        std::vector<std::uint32_t> pieces;
        if (std::string_view(target) == "/staged/x") {
            pieces = { 1, 1 };
        }
        return harness.sendAsync(
            0,
            "POST",
            target,
            requestHeaders(
                { .id = id, .apiKey = key, .callerTimeout = callerTimeout, .pieceCounts = std::move(pieces) }),
            "body");
    }

    Harness harness;
    std::vector<RawEndpoint *> endpoints;
};

} // namespace

ParameterizedTestParameters(endlessAnswers, areClosedInBoundedMemory)
{
    return cr_make_param_array(EndlessCase, endlessCases, std::size(endlessCases));
}

ParameterizedTest(EndlessCase *test, endlessAnswers, areClosedInBoundedMemory)
{
    Fixture f(*test);
    const std::size_t before = f.harness.peakMemory(0);
    const auto response = f.send(test->target, "id-1");
    f.harness.waitFor([&] { return response->has_value(); }, test->name);
    const auto isClosed = [&] {
        std::size_t requests = 0;
        std::size_t closed = 0;
        for (const auto *endpoint : f.endpoints) {
            requests += endpoint->requestCount();
            closed += endpoint->closedConnections();
        }
        return requests > 0 && closed >= requests;
    };
    f.harness.waitFor(isClosed, test->name);
    cr_assert_lt(f.harness.peakMemory(0) - before,
                 maxMemoryForOneAnswer,
                 "%s: %zu",
                 test->name,
                 f.harness.peakMemory(0) - before);
    cr_assert((*response)->status != net::status::ok || !(*response)->isComplete, "%s", test->name);
}

/** The same by way of another VM: neither may buffer without bound. */
ParameterizedTestParameters(endlessAnswers, areClosedInBoundedMemoryByAnotherVm)
{
    return cr_make_param_array(EndlessCase, endlessCases, std::size(endlessCases));
}

ParameterizedTest(EndlessCase *test, endlessAnswers, areClosedInBoundedMemoryByAnotherVm)
{
    Fixture f(*test, true);
    const std::size_t before[] = { f.harness.peakMemory(0), f.harness.peakMemory(1) };
    // The first request finds that the only endpoint is out of reach, and goes by the other VM like the second.
    for (const char *id : { "id-1", "id-2" }) {
        const auto response = f.send(test->target, id);
        f.harness.waitFor([&] { return response->has_value(); }, test->name);
        cr_assert((*response)->status != net::status::ok || !(*response)->isComplete, "%s", test->name);
    }
    const auto isClosed = [&] {
        return std::all_of(f.endpoints.begin(), f.endpoints.end(), [](const auto *endpoint) {
            return endpoint->closedConnections() >= endpoint->requestCount();
        });
    };
    f.harness.waitFor(isClosed, test->name);
    for (const std::size_t vm : { 0, 1 }) {
        const std::size_t used = f.harness.peakMemory(vm) - before[vm];
        cr_assert_lt(used, 2 * maxMemoryForOneAnswer, "%s: vm %zu, %zu", test->name, vm, used);
    }
}

Test(endlessAnswers, shareOneBoundOnMemory)
{
    constexpr int requestCount = 40;
    EndlessCase test { "body", "/unsafe/x", Head::UntilClose, "", "a" };
    Fixture f(test);
    const std::size_t before = f.harness.peakMemory(0);
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    for (int number = 0; number < requestCount; ++number) {
        responses.push_back(f.send(test.target, "id-" + std::to_string(number)));
    }
    for (const auto &response : responses) {
        f.harness.waitFor([&] { return response->has_value(); }, "a response");
        cr_assert_neq((*response)->status, net::status::ok);
    }
    cr_assert_lt(f.harness.peakMemory(0) - before, maxMemoryForAllAnswers, "%zu", f.harness.peakMemory(0) - before);
}
