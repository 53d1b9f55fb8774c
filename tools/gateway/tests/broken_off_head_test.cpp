#include "requests.h"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Answer = RawEndpoint::Answer;
using Ending = RawEndpoint::Ending;

namespace
{

const std::string body = net::sseEvent("1", "one");

/** Heads of whole answers, which differ in what marks the end of their body. */
std::vector<std::string> headTexts(const std::string &receipt)
{
    const std::string begin = "HTTP/1.1 200 OK\r\n" + receipt + "Content-Type: text/event-stream\r\n";
    return {
        begin + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n",
        begin + "Transfer-Encoding: chunked\r\n\r\n",
        begin + "Connection: close\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + begin + "Connection: close\r\n\r\n",
    };
}

/** Returns the part of a head that an endpoint sends; the heads take turns, so that each is cut at many places. */
std::string headPart(const std::string &receipt, std::size_t length)
{
    const auto texts = headTexts(receipt);
    const auto &text = texts[length % texts.size()];
    return text.substr(0, std::min(length, text.size() - 1));
}

std::size_t maxLength()
{
    return headTexts(receiptHeaders("plain-1", "id-100")).back().size();
}

struct HeadCase {
    char name[40];
    char target[16];
    Ending ending;
    bool isCutOff; ///< another VM sends the request
};

HeadCase headCases[] = {
    { "safe, closed", "/safe/x", Ending::Close, false },
    { "safe, half closed", "/safe/x", Ending::HalfClose, false },
    { "safe, reset", "/safe/x", Ending::Reset, false },
    { "unsafe, closed", "/unsafe/x", Ending::Close, false },
    { "unsafe, half closed", "/unsafe/x", Ending::HalfClose, false },
    { "unsafe, reset", "/unsafe/x", Ending::Reset, false },
    { "stream, closed", "/stream/x", Ending::Close, false },
    { "stream, half closed", "/stream/x", Ending::HalfClose, false },
    { "stream, reset", "/stream/x", Ending::Reset, false },
    { "resumable, closed", "/resumable/x", Ending::Close, false },
    { "resumable, reset", "/resumable/x", Ending::Reset, false },
    { "safe by another vm, closed", "/safe/x", Ending::Close, true },
    { "unsafe by another vm, reset", "/unsafe/x", Ending::Reset, true },
    { "stream by another vm, closed", "/stream/x", Ending::Close, true },
    { "resumable by another vm, half closed", "/resumable/x", Ending::HalfClose, true },
};

} // namespace

/** Guards against an answer that is made of the part of a head (issue 48). */
ParameterizedTestParameters(brokenOffHead, isNoAnswerForTheCaller)
{
    return cr_make_param_array(HeadCase, headCases, std::size(headCases));
}

ParameterizedTest(HeadCase *test, brokenOffHead, isNoAnswerForTheCaller)
{
    Harness harness(test->isCutOff ? 2 : 1);
    if (test->isCutOff) {
        harness.enableCuts();
    }
    std::size_t length = 0;
    constexpr int endpointsPerService = 4;
    for (const char *service : { "plain", "engine" }) {
        for (int number = 1; number <= endpointsPerService; ++number) {
            const auto id = std::string(service) + "-" + std::to_string(number);
            harness.addRawEndpoint(id, service, [&, id](const std::string &request) -> Answer {
                return { { headPart(receiptHeaders(id, request), length) }, test->ending };
            });
        }
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    if (test->isCutOff) {
        harness.waitForLinks();
        harness.cutOffAndWait(0, { "/safe/x", "/stream/x" });
    }
    for (length = 1; length < maxLength(); ++length) {
        const auto id = "id-" + std::to_string(length);
        const auto response = harness.sendAndWait(0, "POST", test->target, headers(id), id);
        cr_expect_eq(response.status, net::status::badGateway, "%s, %zu: %d", test->name, length, response.status);
        cr_expect(response.body.empty() && !findReceipt(response.headers), "%s, %zu", test->name, length);
    }
}

/** The next endpoint of a broken-off stream stops in its head. */
Test(brokenOffHead, endsAResumedStreamAsBrokenOff)
{
    const std::string firstEvents = net::sseEvent("1", "one") + net::sseEvent("2", "two");
    for (const auto ending : { Ending::Close, Ending::HalfClose, Ending::Reset }) {
        Harness harness(1);
        std::size_t length = 0;
        std::map<std::string, int> arrivals;
        constexpr int endpoints = 6;
        for (int number = 1; number <= endpoints; ++number) {
            const auto id = "g" + std::to_string(number);
            harness.addRawEndpoint(id, "engine", [&, id](const std::string &request) -> Answer {
                const auto receipt = receiptHeaders(id, request);
                if (++arrivals[request] > 1) {
                    return { { headPart(receipt, length) }, ending };
                }
                std::string text = "HTTP/1.1 200 OK\r\n" + receipt;
                text += "Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\n";
                text += firstEvents;
                return { { text }, Ending::Close };
            });
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        harness.waitForLogLines({ 0 }, "\"endpoint joined\"", endpoints);
        std::size_t resumed = 0;
        for (length = 1; length < maxLength(); ++length) {
            const auto id = "id-" + std::to_string(length);
            const auto response = harness.sendAndWait(0, "POST", "/resumable/x", headers(id), id);
            cr_expect(!response.isComplete, "%zu bytes of a head", length);
            cr_expect_eq(response.body, firstEvents, "%zu bytes of a head: %s", length, response.body.c_str());
            resumed += arrivals[id] > 1 ? 1 : 0;
        }
        cr_expect_gt(resumed, 0U);
    }
}

/** Calls for pieces whose answer stops in its head have no results; the pieces are made again. */
Test(brokenOffHead, ofACallForPiecesIsNoResult)
{
    for (const auto ending : { Ending::Close, Ending::HalfClose, Ending::Reset }) {
        Harness harness(1);
        std::size_t length = 0;
        std::size_t calls = 0;
        bool isCut = false;
        constexpr int endpoints = 4;
        std::string handle;
        for (int number = 1; number <= endpoints; ++number) {
            const auto id = "first-" + std::to_string(number);
            harness.addRawEndpoint(id, "first", [&, id](const net::HttpRequest &request) -> Answer {
                if (!isPiecesCall(request)) {
                    return { { answerText({}, "{}") } };
                }
                const auto text = piecesAnswerText(request, [&](const std::string &) {
                    handle = "127.0.0.9:1/" + std::to_string(++calls);
                    return handle;
                });
                return std::exchange(isCut, false) ? Answer { { text.substr(0, length) }, ending }
                                                   : Answer { { text } };
            });
        }
        std::string inputs;
        harness.addRawEndpoint("g1", "engine", [&](const net::HttpRequest &request) -> Answer {
            const ReceivedRequest received { request };
            inputs = received.inputs();
            const auto receipt = receiptHeaders("g1", received.requestId());
            return { { answerText(receipt + "Content-Type: text/event-stream\r\n", body) } };
        });
        auto state = makeState(1,
                               { { .name = "staged",
                                   .kind = platform_standin::RouteKind::Stream,
                                   .service = "engine",
                                   .stages = { { "first", {} } } } });
        harness.store().publishDesiredState(state);
        harness.start();
        harness.waitForLogLines({ 0 }, "\"endpoint joined\"", endpoints + 1);
        for (const std::size_t stop : { 1U, 9U, 15U, 16U, 17U, 20U, 31U, 40U, 50U, 64U, 67U }) {
            length = stop;
            isCut = true;
            const auto id = "id-" + std::to_string(stop);
            const auto response = harness.sendAndWait(0, "POST", "/staged/x", stagedHeaders(id, { 1 }), id);
            cr_expect(!isCut, "%zu: no call for pieces", stop);
            cr_expect_eq(response.status, net::status::ok, "%zu: status %d", stop, response.status);
            cr_expect_eq(inputs, handle, "%zu: inputs %s", stop, inputs.c_str());
        }
    }
}
