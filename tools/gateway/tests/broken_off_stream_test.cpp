#include "requests.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <map>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Answer = RawEndpoint::Answer;
using Ending = RawEndpoint::Ending;

namespace
{

constexpr const char *resumableTarget = "/resumable/x";

std::string events(const std::vector<std::string> &ids)
{
    std::string text;
    for (const auto &id : ids) {
        text += net::sseEvent(id, "event " + id);
    }
    return text;
}

const std::string firstEvents = events({ "1", "2" });
const std::string lastEvent = events({ "3" });

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

const std::string lastChunk = "0\r\n\r\n";

std::string headText(const std::string &status, const std::string &headers, const std::string &framing)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + framing + "\r\n\r\n";
}

std::string lengthOf(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes);
}

const std::string chunked = "Transfer-Encoding: chunked";
const std::string untilClose = "Connection: close";
const std::string eventType = "Content-Type: text/event-stream\r\n";

/** Where and how an endpoint breaks its answer off, after two events. */
enum class Break : std::uint8_t {
    ChunksBetweenEvents,
    ChunksInsideEvent,
    ChunksInsideSizeLine,
    ChunksInsideChunk,
    ChunksWholeInsideEvent,
    LengthBetweenEvents,
    LengthInsideEvent,
    UntilCloseInsideEvent,
    UntilCloseReset,
};
constexpr std::size_t breakCount = std::size_t(Break::UntilCloseReset) + 1;

Answer brokenAnswer(Break place, const std::string &receipt)
{
    const std::string headers = receipt + eventType;
    const std::string partOfEvent = lastEvent.substr(0, lastEvent.size() / 2);
    const std::string chunkedHead = headText("200 OK", headers, chunked);
    const std::string lengthHead = headText("200 OK", headers, lengthOf(firstEvents.size() + lastEvent.size()));
    const std::string untilCloseHead = headText("200 OK", headers, untilClose);
    switch (place) {
    case Break::ChunksBetweenEvents:
        return { { chunkedHead + chunk(firstEvents) }, Ending::Close };
    case Break::ChunksInsideEvent:
        return { { chunkedHead + chunk(firstEvents + partOfEvent) }, Ending::Close };
    case Break::ChunksInsideSizeLine:
        return { { chunkedHead + chunk(firstEvents) + "1" }, Ending::Close };
    case Break::ChunksInsideChunk:
        return { { chunkedHead + chunk(firstEvents) + "ff\r\n" + partOfEvent }, Ending::HalfClose };
    case Break::ChunksWholeInsideEvent:
        return { { chunkedHead + chunk(firstEvents + partOfEvent) + lastChunk } };
    case Break::LengthBetweenEvents:
        return { { lengthHead + firstEvents }, Ending::Close };
    case Break::LengthInsideEvent:
        return { { lengthHead + firstEvents + partOfEvent }, Ending::Reset };
    case Break::UntilCloseInsideEvent:
        return { { untilCloseHead + firstEvents + partOfEvent }, Ending::Close };
    case Break::UntilCloseReset:
        break;
    }
    return { { untilCloseHead + firstEvents, "" }, Ending::Reset, 0s, 20ms };
}

/** The answer of the next endpoint, which is asked to go on after the second event. */
struct NextCase {
    char name[48];
    char status[32];
    bool hasReceipt;
    char headers[64];
    char framing[24]; ///< empty: a length
    char body[160];
    bool isRest; ///< whether the caller's stream may go on with it
};

#define EVENT_STREAM "Content-Type: text/event-stream\r\n"
#define PLAIN_TEXT "Content-Type: text/plain\r\n"
#define CHUNKED "chunked"
#define UNTIL_CLOSE "close"

NextCase nextCases[] = {
    { "400", "400 Bad Request", true, PLAIN_TEXT, "", "bad request\n\n", false },
    { "404", "404 Not Found", false, PLAIN_TEXT, CHUNKED, "no such thing\n\n", false },
    { "500", "500 Internal Server Error", true, PLAIN_TEXT, "", "internal error\n\n", false },
    { "500 until close", "500 Internal Server Error", true, PLAIN_TEXT, UNTIL_CLOSE, "internal error\n\n", false },
    { "500 with an event", "500 Internal Server Error", true, EVENT_STREAM, CHUNKED, "id: 3\ndata: e\n\n", false },
    { "502 without a receipt", "502 Bad Gateway", false, "", "", "", false },
    { "409", "409 Conflict", false, "Not-Run: 1\r\n", "", "", false },
    { "429", "429 Too Many Requests", false, "Not-Run: 1\r\n", "", "slow down\n\n", false },
    { "503", "503 Service Unavailable", false, "Not-Run: 1\r\n", "", "full\n\n", false },
    { "503 with a promise missing", "503 Service Unavailable", true, "", "", "full\n\n", false },
    { "301", "301 Moved", true, "Location: /y\r\n", "", "moved\n\n", false },
    { "200 of another type", "200 OK", true, PLAIN_TEXT, "", "internal error\n\n", false },
    { "200 of another type, with an event", "200 OK", true, PLAIN_TEXT, CHUNKED, "id: 3\ndata: event 3\n\n", false },
    { "200 with an encoding", "200 OK", true, EVENT_STREAM "Content-Encoding: gzip\r\n", "", "id: 3\n\n", false },
    { "200 without a receipt", "200 OK", false, EVENT_STREAM, CHUNKED, "id: 3\ndata: event 3\n\n", false },
    { "204", "204 No Content", true, "", "", "", false },
    { "200 without an event", "200 OK", true, EVENT_STREAM, "", "", false },
    { "200 without an event, in chunks", "200 OK", true, EVENT_STREAM, CHUNKED, "", false },
    { "200 without an event, until close", "200 OK", true, EVENT_STREAM, UNTIL_CLOSE, "", false },
    { "200 with a comment only", "200 OK", true, EVENT_STREAM, CHUNKED, ": ping\n\n", false },
    { "200 from the first event on", "200 OK", true, EVENT_STREAM, CHUNKED, "id: 1\ndata: event 1\n\n", false },
    { "200 from the last event on", "200 OK", true, EVENT_STREAM, "", "id: 2\ndata: event 2\n\n", false },
    { "200 that skips an event", "200 OK", true, EVENT_STREAM, CHUNKED, "id: 4\ndata: event 4\n\n", false },
    { "200 with an event without an id", "200 OK", true, EVENT_STREAM, CHUNKED, "data: internal error\n\n", false },
    { "200 with an id of another kind", "200 OK", true, EVENT_STREAM, CHUNKED, "id: x3\ndata: event 3\n\n", false },
    { "200 with the text of an answer", "200 OK", true, EVENT_STREAM, CHUNKED, "HTTP/1.1 500 X\r\n\r\n", false },
    { "no answer", "", false, "", "", "this is no answer\r\n\r\n", false },
    { "nothing", "", false, "", "", "", false },
    { "the rest", "200 OK", true, EVENT_STREAM, CHUNKED, "id: 3\ndata: event 3\n\n", true },
    { "the rest, with a length", "200 OK", true, EVENT_STREAM, "", "id: 3\ndata: event 3\n\n", true },
    { "the rest after a comment", "200 OK", true, EVENT_STREAM, CHUNKED, ": ping\n\nid: 3\ndata: event 3\n\n", true },
    { "the rest of other weights",
      "200 OK",
      true,
      EVENT_STREAM,
      CHUNKED,
      "weight-versions: 2\nid: 3\ndata: event 3\n\n",
      true },
};

Answer nextAnswer(const NextCase &test, const std::string &receipt)
{
    const std::string body = test.body;
    if (*test.status == 0) {
        return { { body }, Ending::Close };
    }
    const std::string headers = std::string(test.hasReceipt ? receipt : "") + test.headers;
    const std::string_view framing = test.framing;
    if (framing == UNTIL_CLOSE) {
        return { { headText(test.status, headers, untilClose) + body }, Ending::Close };
    }
    if (framing == CHUNKED) {
        return { { headText(test.status, headers, chunked) + (body.empty() ? "" : chunk(body)) + lastChunk } };
    }
    const bool hasNoBody = std::string_view(test.status).starts_with("204");
    return { { headText(test.status, headers, hasNoBody ? "X-Empty: 1" : lengthOf(body.size())) + body } };
}

Answer rest(const std::string &receipt)
{
    return { { headText("200 OK", receipt + eventType, chunked) + chunk(lastEvent) + lastChunk } };
}

/** Endpoints that answer a request by how many of them it has reached before. */
struct Fleet {
    using Script = std::function<Answer(std::size_t earlier, const std::string &receipt)>;

    explicit Fleet(std::size_t vms, bool isCutOff, const Script &script, int attempts = 2)
        : harness(vms)
    {
        // More endpoints than cases, as one that has failed is avoided for a while.
        constexpr std::size_t endpoints = 12;
        if (isCutOff) {
            harness.enableCuts();
        }
        for (std::size_t index = 0; index < endpoints; ++index) {
            const auto id = "g" + std::to_string(index);
            harness.addRawEndpoint(id, "engine", [this, script, id](const net::HttpRequest &request) -> Answer {
                const auto requestId = ReceivedRequest { request }.requestId();
                auto &received = requests[requestId];
                received.push_back(ReceivedRequest { request }.lastEventId());
                const auto receipt = receiptHeaders(id, requestId);
                if (requestId.starts_with("cut-off-")) {
                    return { { headText("200 OK", receipt + eventType, chunked), lastChunk } };
                }
                return script(received.size() - 1, receipt);
            });
        }
        auto routes = allRoutes();
        for (auto &route : routes) {
            route.attempts = attempts;
        }
        harness.store().publishDesiredState(makeState(1, std::move(routes)));
        harness.start();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", endpoints);
        }
        if (isCutOff) {
            harness.waitForLinks();
            harness.cutOffAndWait(0, { resumableTarget });
        }
    }

    Response send(const std::string &id, const char *target = resumableTarget, const std::string &lastEventId = {})
    {
        return harness.sendAndWait(
            0, "POST", target, requestHeaders({ .id = id, .apiKey = key, .lastEventId = lastEventId }), id);
    }

    Harness harness;
    std::map<std::string, std::vector<std::string>> requests; ///< Last-Event-Id of each arrival, by request id
};

/** Returns the events of a next answer, without what precedes the first of them. */
std::string restOf(const NextCase &test)
{
    const std::string body = test.body;
    constexpr std::string_view comment = ": ping\n\n";
    return body.starts_with(comment) ? body.substr(comment.size()) : body;
}

std::string describe(const char *name, std::size_t place, const Response &response)
{
    return std::string(name) + ", break " + std::to_string(place) + ": status " + std::to_string(response.status)
        + (response.isComplete ? ", complete" : ", broken off") + ", body '" + response.body + "'";
}

void checkNextAnswer(const NextCase &test, bool isCutOff)
{
    Break place {};
    Fleet f(isCutOff ? 2 : 1, isCutOff, [&](std::size_t earlier, const std::string &receipt) {
        return earlier == 0 ? brokenAnswer(place, receipt) : nextAnswer(test, receipt);
    });
    const std::string expected = firstEvents + (test.isRest ? restOf(test) : "");
    for (std::size_t index = 0; index < breakCount; ++index) {
        place = Break(index);
        const auto id = "id-" + std::to_string(index);
        const auto response = f.send(id);
        const auto text = describe(test.name, index, response);
        cr_expect_eq(f.requests[id].size(), 2U, "%s: %zu endpoints asked", text.c_str(), f.requests[id].size());
        cr_expect_eq(f.requests[id].back(), "2", "%s: not asked for the rest", text.c_str());
        cr_expect_eq(response.isComplete, test.isRest, "%s", text.c_str());
        cr_expect_eq(response.body, expected, "%s", text.c_str());
    }
}

} // namespace

/** Guards against bytes of another answer in a stream, and ends that look complete (issue 48). */
ParameterizedTestParameters(brokenOffStream, goesOnWithItsRestOrEndsAsBrokenOff)
{
    return cr_make_param_array(NextCase, nextCases, std::size(nextCases));
}

ParameterizedTest(NextCase *test, brokenOffStream, goesOnWithItsRestOrEndsAsBrokenOff)
{
    checkNextAnswer(*test, false);
}

/** The same by way of another VM, as the caller's VM reaches no endpoint. */
ParameterizedTestParameters(brokenOffStream, goesOnWithItsRestOrEndsAsBrokenOffByAnotherVm)
{
    return cr_make_param_array(NextCase, nextCases, std::size(nextCases));
}

ParameterizedTest(NextCase *test, brokenOffStream, goesOnWithItsRestOrEndsAsBrokenOffByAnotherVm)
{
    checkNextAnswer(*test, true);
}

/** An answer that is not the rest of the stream leaves the rest to a further endpoint. */
ParameterizedTestParameters(brokenOffStream, goesOnAtAFurtherEndpoint)
{
    return cr_make_param_array(NextCase, nextCases, std::size(nextCases));
}

ParameterizedTest(NextCase *test, brokenOffStream, goesOnAtAFurtherEndpoint)
{
    const auto script = [&](std::size_t earlier, const std::string &receipt) {
        return earlier == 0 ? brokenAnswer(Break::ChunksInsideEvent, receipt)
            : earlier == 1  ? nextAnswer(*test, receipt)
                            : rest(receipt);
    };
    constexpr int attempts = 3;
    Fleet f(1, false, script, attempts);
    const auto response = f.send("id-1");
    const auto text = describe(test->name, 0, response);
    cr_expect(response.isComplete, "%s", text.c_str());
    cr_expect_eq(response.body, firstEvents + (test->isRest ? restOf(*test) : lastEvent), "%s", text.c_str());
}

namespace
{

/** A param of Criterion, which are structs. */
struct BreakCase {
    Break place;
};

BreakCase breakCases[] = {
    { Break::ChunksBetweenEvents }, { Break::ChunksInsideEvent },      { Break::ChunksInsideSizeLine },
    { Break::ChunksInsideChunk },   { Break::ChunksWholeInsideEvent }, { Break::LengthBetweenEvents },
    { Break::LengthInsideEvent },   { Break::UntilCloseInsideEvent },  { Break::UntilCloseReset },
};
static_assert(std::size(breakCases) == breakCount);

} // namespace

ParameterizedTestParameters(brokenOffStream, goesOnPastAnEndpointThatIsNotMeant)
{
    return cr_make_param_array(BreakCase, breakCases, std::size(breakCases));
}

ParameterizedTest(BreakCase *test, brokenOffStream, goesOnPastAnEndpointThatIsNotMeant)
{
    Fleet f(1, false, [&](std::size_t earlier, const std::string &receipt) -> Answer {
        return earlier == 0 ? brokenAnswer(test->place, receipt)
            : earlier == 1  ? Answer { { misdirectionText("x") } }
                            : rest(receipt);
    });
    const auto response = f.send("id-1");
    const auto text = describe("421", std::size_t(test->place), response);
    cr_expect(response.isComplete && response.body == firstEvents + lastEvent, "%s", text.c_str());
}

namespace
{

constexpr const char *noId = "-"; ///< an event without an id

struct IdCase {
    char name[56];
    char lastEventId[8]; ///< that the caller sends
    std::array<char, 24> first; ///< ids of the first answer, which is broken off
    std::array<char, 24> next; ///< of the next one, which is whole
    std::array<char, 24> expected; ///< of the caller's stream
    bool isComplete;
    bool isResumed; ///< whether a second endpoint is asked
};

IdCase idCases[] = {
    { "began again before any event", "", { "" }, { "1 2" }, { "1 2" }, true, true },
    { "empty after no event", "", { "" }, { "" }, { "" }, false, true },
    { "one event, then a gap", "", { "1" }, { "3" }, { "1" }, false, true },
    { "steps of ten", "", { "10 20" }, { "30 40" }, { "10 20 30 40" }, true, true },
    { "steps of different size", "", { "1 2 5" }, { "9 10" }, { "1 2 5 9 10" }, true, true },
    { "steps of ten, from an earlier event", "", { "10 20" }, { "20 30" }, { "10 20" }, false, true },
    { "number of more digits", "", { "8 9" }, { "10 11" }, { "8 9 10 11" }, true, true },
    { "same number, other digits", "", { "1 2" }, { "02 3" }, { "1 2" }, false, true },
    { "number over all bounds", "", { "1 2" }, { "99999999999999999999" }, { "1 2" }, false, true },
    { "goes back within a run", "", { "1 2" }, { "3 2" }, { "1 2 3" }, false, true },
    { "texts", "", { "a b" }, { "c d" }, { "a b c d" }, true, true },
    { "texts, from the first event", "", { "a b" }, { "a b c" }, { "a b" }, false, true },
    { "texts, from the last event", "", { "a b c" }, { "c d" }, { "a b c" }, false, true },
    { "texts, from one between", "", { "a b c" }, { "b c d" }, { "a b c" }, false, true },
    { "no ids", "", { "- -" }, { "- - -" }, { "- -" }, false, false },
    { "last event without an id", "", { "1 -" }, { "2" }, { "1 -" }, false, false },
    { "caller's event, then broken off", "4", { "5" }, { "6" }, { "5 6" }, true, true },
    { "caller's event, then from the first", "4", { "5" }, { "1 2" }, { "5" }, false, true },
    { "caller's event, then nothing sent", "4", { "" }, { "5 6" }, { "5 6" }, true, true },
    { "caller's event, run began again", "4", { "1 2" }, { "5 6" }, { "5 6" }, true, true },
    { "caller's event, run began with it", "4", { "4 5" }, { "5 6" }, { "5 6" }, true, true },
    { "caller's event, both began again", "4", { "1 2" }, { "1 2" }, { "" }, false, true },
    { "caller's event, empty after no event", "4", { "" }, { "" }, { "" }, false, true },
    { "caller's text, run began with it", "b", { "b c" }, { "c d" }, { "c d" }, true, true },
};

std::vector<std::string> split(const char *text)
{
    std::vector<std::string> words;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(' '), rest.size());
        words.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return words;
}

std::string eventsOf(const std::array<char, 24> &ids)
{
    std::string text;
    for (const auto &id : split(ids.data())) {
        text += id == noId ? net::sseEvent({}, "event") : net::sseEvent(id, "event " + id);
    }
    return text;
}

} // namespace

/** Guards against events that come twice, and runs that don't go on where the stream broke off (issue 48). */
ParameterizedTestParameters(brokenOffStream, goesOnAsItsIdsAllow)
{
    return cr_make_param_array(IdCase, idCases, std::size(idCases));
}

ParameterizedTest(IdCase *test, brokenOffStream, goesOnAsItsIdsAllow)
{
    Fleet f(1, false, [&](std::size_t earlier, const std::string &receipt) -> Answer {
        const std::string head = headText("200 OK", receipt + eventType, chunked);
        const std::string body = eventsOf(earlier == 0 ? test->first : test->next);
        const std::string text = head + (body.empty() ? "" : chunk(body));
        return earlier == 0 ? Answer { { text }, Ending::Close } : Answer { { text + lastChunk } };
    });
    const auto response = f.send("id-1", resumableTarget, test->lastEventId);
    const auto text = describe(test->name, 0, response);
    cr_expect_eq(f.requests["id-1"].size(), test->isResumed ? 2U : 1U, "%s", text.c_str());
    cr_expect_eq(response.body, eventsOf(test->expected), "%s", text.c_str());
    cr_expect_eq(response.isComplete, test->isComplete, "%s", text.c_str());
}

/** An endpoint's whole answer is the caller's, also if no event follows the one that the caller names. */
Test(brokenOffStream, wholeAnswerWithoutEventsIsPassedOn)
{
    Fleet f(1, false, [&](std::size_t, const std::string &receipt) -> Answer {
        return { { headText("200 OK", receipt + eventType, chunked), lastChunk } };
    });
    for (const char *lastEventId : { "", "4" }) {
        const auto response = f.send(std::string("id-") + lastEventId, resumableTarget, lastEventId);
        cr_expect(response.isComplete && response.status == net::status::ok && response.body.empty());
    }
}

/** A stream that may not be resumed is nobody else's to go on with. */
Test(brokenOffStream, isNotResumedWhereItsRouteForbidsIt)
{
    Break place {};
    Fleet f(1, false, [&](std::size_t, const std::string &receipt) { return brokenAnswer(place, receipt); });
    for (std::size_t index = 0; index < breakCount; ++index) {
        place = Break(index);
        const auto id = "id-" + std::to_string(index);
        const auto response = f.send(id, "/stream/x");
        const auto text = describe("not resumable", index, response);
        cr_expect_eq(f.requests[id].size(), 1U, "%s", text.c_str());
        cr_expect(!response.isComplete && (firstEvents + lastEvent).starts_with(response.body), "%s", text.c_str());
    }
}

namespace
{

/** What a caller of HTTP/1.0 gets, to whom no chunks are sent. */
struct OldResponse {
    std::string bytes;
    bool isComplete = false; ///< the connection was closed, not reset
};

OldResponse sendAsOldCaller(Harness &harness, const std::string &id)
{
    const auto address = net::parseAddress(harness.callersAddress(0)).value();
    sockaddr_in peer {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    peer.sin_addr.s_addr = inet_addr(address.ip.c_str());
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer), 0);
    std::string request = std::string("POST ") + resumableTarget + " HTTP/1.0\r\n";
    for (const auto &header : headers(id)) {
        request += header.name + ": " + header.value + "\r\n";
    }
    request += "Content-Length: 0\r\n\r\n";
    cr_assert_eq(send(descriptor, request.data(), request.size(), MSG_NOSIGNAL), ssize_t(request.size()));
    OldResponse response;
    harness.waitFor(
        [&] {
            char bytes[4096];
            const auto size = recv(descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
            if (size > 0) {
                response.bytes.append(bytes, std::size_t(size));
                return false;
            }
            response.isComplete = size == 0;
            return size == 0 || errno != EAGAIN;
        },
        "the end of a connection");
    close(descriptor);
    return response;
}

} // namespace

ParameterizedTestParameters(brokenOffStream, ofAnOldCallerGoesOnWithItsRestOrEndsAsBrokenOff)
{
    return cr_make_param_array(NextCase, nextCases, std::size(nextCases));
}

ParameterizedTest(NextCase *test, brokenOffStream, ofAnOldCallerGoesOnWithItsRestOrEndsAsBrokenOff)
{
    Break place {};
    Fleet f(1, false, [&](std::size_t earlier, const std::string &receipt) {
        // The caller's first part arrives before the connection is reset.
        auto answer = earlier == 0 ? brokenAnswer(place, receipt) : nextAnswer(*test, receipt);
        answer.delay = earlier == 0 ? 0ms : 50ms;
        return answer;
    });
    const std::string expected = firstEvents + (test->isRest ? restOf(*test) : "");
    for (std::size_t index = 0; index < breakCount; ++index) {
        place = Break(index);
        const auto response = sendAsOldCaller(f.harness, "id-" + std::to_string(index));
        const auto head = response.bytes.find("\r\n\r\n");
        const std::string body = head == std::string::npos ? "" : response.bytes.substr(head + 4);
        const auto text = std::string(test->name) + ", break " + std::to_string(index) + ": " + response.bytes;
        cr_expect_eq(response.isComplete, test->isRest, "%s", text.c_str());
        cr_expect_eq(body, expected, "%s", text.c_str());
    }
}

/** The VM that sends for another one is killed in the middle of a stream. */
Test(brokenOffStream, ofAVmThatEndsWhileItSendsForAnother)
{
    Fleet f(2, true, [&](std::size_t, const std::string &receipt) -> Answer {
        return { { headText("200 OK", receipt + eventType, chunked) + chunk(firstEvents) } };
    });
    const auto before = f.harness.receivedBytes();
    const auto response = f.harness.sendAsync(0, "POST", resumableTarget, headers("id-1"), "body");
    f.harness.waitFor([&] { return f.harness.receivedBytes() >= before + firstEvents.size(); }, "the first events");
    f.harness.signal(1, SIGKILL);
    f.harness.waitFor([&] { return response->has_value(); }, "a response");
    cr_assert_not((*response)->isComplete);
    cr_assert_eq((*response)->body, firstEvents);
}
