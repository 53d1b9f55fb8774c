#include "http_fixture.h"

#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::net;

namespace
{

struct RawCase {
    char name[32];
    char request[200];
    char answer[32]; ///< start of what comes back
};

RawCase rawCases[] = {
    { "get", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 " },
    { "http/1.0", "GET / HTTP/1.0\r\n\r\n", "HTTP/1.0 200 " },
    { "head", "HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 " },
    { "chunked body",
      "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
      "HTTP/1.1 200 " },
    { "expects continue",
      "POST / HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 20\r\n\r\nhalf",
      "HTTP/1.1 100 Continue\r\n\r\n" },
    { "no http", "GARBAGE\r\n\r\n", "HTTP/1.1 400 " },
    { "no version", "GET /\r\n\r\n", "HTTP/1.1 400 " },
    { "bad field name", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", "HTTP/1.1 400 " },
    { "negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400 " },
    { "two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 400 " },
    { "length and chunks",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 400 " },
    { "bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400 " },
    { "large body", "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", "HTTP/1.1 413 " },
    { "large chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n", "HTTP/1.1 413 " },
};

struct EndlessCase {
    char name[24];
    char start[80];
    char repeated[16]; ///< sent until the server closes the connection
};

EndlessCase endlessCases[] = {
    { "request line", "GET /", "a" },
    { "header", "GET / HTTP/1.1\r\nX: ", "a" },
    { "headers", "GET / HTTP/1.1\r\n", "X: a\r\n" },
    { "chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n" },
    { "size of a chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    { "extension", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a" },
    { "trailer line", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a" },
    { "trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n" },
};

/** How a handler ends a response that it has begun. */
enum class Finish : std::uint8_t { End, Abort, CloseAll };

struct EndCase {
    char request[32]; ///< request line
    BodyFraming framing;
    Finish finish;
    bool looksWhole; ///< whether the caller sees an end of the response
};

EndCase endCases[] = {
    { "GET / HTTP/1.1", BodyFraming::Chunked, Finish::End, true },
    { "GET / HTTP/1.1", BodyFraming::Chunked, Finish::Abort, false },
    { "GET / HTTP/1.1", BodyFraming::Chunked, Finish::CloseAll, false },
    { "GET / HTTP/1.1", BodyFraming::UntilClose, Finish::End, true },
    { "GET / HTTP/1.1", BodyFraming::UntilClose, Finish::Abort, false },
    { "GET / HTTP/1.1", BodyFraming::UntilClose, Finish::CloseAll, false },
    { "GET / HTTP/1.0", BodyFraming::Chunked, Finish::End, true },
    { "GET / HTTP/1.0", BodyFraming::Chunked, Finish::Abort, false },
    { "GET / HTTP/1.0", BodyFraming::Chunked, Finish::CloseAll, false },
};

constexpr std::size_t maxHeaderBytes = 500;
constexpr std::size_t maxBodyBytes = 1000;

HttpServerOptions smallBounds()
{
    return HttpServerOptions().maxHeaderBytes(maxHeaderBytes).maxBodyBytes(maxBodyBytes);
}

std::size_t countOf(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

} // namespace

ParameterizedTestParameters(server, rawRequests)
{
    return cr_make_param_array(RawCase, rawCases, std::size(rawCases));
}

ParameterizedTest(RawCase *param, server, rawRequests)
{
    HttpFixture fixture(echo, smallBounds().idleTime(500ms));
    const std::string answer = fixture.exchange(param->request);
    cr_assert(answer.starts_with(param->answer), "%s: %s", param->name, answer.c_str());
    // The server goes on to serve others.
    cr_assert_eq(fixture.fetchOne(fixture.call("/")).head.status, status::ok);
}

Test(server, headersOverTheBoundAreAnsweredWith431)
{
    HttpFixture fixture(echo, smallBounds());
    const std::string request = "GET / HTTP/1.1\r\nA: " + std::string(maxHeaderBytes, 'a') + "\r\n\r\n";
    cr_assert(fixture.exchange(request).starts_with("HTTP/1.1 431 "));
    cr_assert_eq(fixture.server.counters().tooLarge, 1);
    cr_assert_eq(fixture.server.counters().requests, 0);
}

Test(server, pipelinedRequestsAreAnsweredInOrder)
{
    HttpFixture fixture(echo);
    const std::string answer =
        fixture.exchange("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert_eq(countOf(answer, "HTTP/1.1 200 "), 3);
    cr_assert(answer.find("/1") < answer.find("/2") && answer.find("/2") < answer.find("/3"));
}

Test(server, connectionsOverTheBoundAreAnsweredWith503)
{
    HttpFixture fixture(echo, HttpServerOptions().maxConnections(1));
    std::string second;
    fixture.runBeside([&] {
        const raw::Socket first = raw::connectTo(fixture.server.address().port);
        first.send("GET / HTTP/1.1\r\n\r\n");
        first.read("\r\n\r\n");
        const raw::Socket other = raw::connectTo(fixture.server.address().port);
        second = other.read();
    });
    cr_assert(second.starts_with("HTTP/1.1 503 "), "%s", second.c_str());
    cr_assert_eq(fixture.server.counters().refused, 1);
}

Test(server, idleConnectionIsClosedButNotUnderAHandler)
{
    std::unique_ptr<HttpFixture> fixture;
    fixture = std::make_unique<HttpFixture>(
        [&](const HttpRequest &, ResponseWriter writer) {
            // Longer than the idle time by far.
            fixture->loop.timers().once(fixture->loop.clock().now() + 300ms,
                                        [writer](Time) mutable { writer.respond(status::ok, {}, "late"); });
        },
        HttpServerOptions().idleTime(40ms));
    const std::string answer = fixture->exchange("GET / HTTP/1.1\r\n\r\n");
    cr_assert(answer.ends_with("late"), "%s", answer.c_str());
    cr_assert_eq(fixture->server.counters().idleClosed, 1);
}

Test(server, addressInUseIsTold)
{
    HttpFixture fixture(echo);
    HttpServer other(fixture.loop, {}, echo);
    const auto listening = other.listen(fixture.server.address());
    cr_assert(!listening);
    cr_assert(listening.error().kind == ErrorKind::AddressInUse);
    const auto unknown = other.listen({ "localhost", 0 });
    cr_assert(!unknown);
    cr_assert(unknown.error().kind == ErrorKind::InvalidArgument);
}

Test(server, handlerThatThrowsIsAnsweredWith500)
{
    HttpFixture fixture([](const HttpRequest &, const ResponseWriter &) { throw std::runtime_error("handler"); });
    cr_assert_eq(fixture.fetchOne(fixture.call("/")).head.status, status::internalError);
}

Test(server, droppedWriterIsAnsweredWith500)
{
    HttpFixture fixture([](const HttpRequest &, const ResponseWriter &) {});
    cr_assert_eq(fixture.fetchOne(fixture.call("/")).head.status, status::internalError);
}

Test(server, writerOutlivesItsConnection)
{
    ResponseWriter kept;
    bool closed = false;
    std::unique_ptr<HttpFixture> fixture;
    fixture = std::make_unique<HttpFixture>([&](const HttpRequest &, ResponseWriter writer) {
        kept = std::move(writer);
        kept.onClosed([&] {
            closed = true;
            fixture->loop.stop();
        });
        kept.begin(status::ok, {});
    });
    {
        const raw::Socket socket = raw::connectTo(fixture->server.address().port);
        socket.send("GET / HTTP/1.1\r\n\r\n");
        std::thread reader([&] {
            socket.read("\r\n\r\n");
            socket.closeSending();
        });
        fixture->loop.run();
        reader.join();
    }
    cr_assert(closed);
    cr_assert(!kept.isOpen());
    cr_assert(kept.write("more") == WriteOutcome::Closed);
    cr_assert_eq(fixture->server.counters().cut, 1);
    fixture.reset();
    kept.end();
    kept.respond(status::ok, {}, "");
}

Test(server, slowReaderIsHeldBackAndGetsEverything)
{
    constexpr std::size_t pieces = 400;
    const std::string piece(std::size_t(64) << 10U, 'x');
    std::size_t written = 0;
    std::size_t mostPending = 0;
    bool wasFull = false;
    ResponseWriter writer;
    const std::function<void()> fill = [&] {
        while (written < pieces) {
            const auto outcome = writer.write(piece);
            mostPending = std::max(mostPending, writer.pendingBytes());
            if (outcome == WriteOutcome::Full) {
                wasFull = true;
                return;
            }
            ++written;
        }
        writer.end();
    };
    constexpr std::size_t bound = std::size_t(256) << 10U;
    HttpFixture fixture(
        [&](const HttpRequest &, ResponseWriter given) {
            writer = std::move(given);
            writer.onDrained(fill);
            writer.begin(status::ok, {});
            fill();
        },
        HttpServerOptions().maxPendingBytes(bound));
    const auto response = fixture.fetchOne(fixture.call("/"));
    cr_assert_eq(response.body.size(), pieces * piece.size());
    cr_assert(wasFull);
    cr_assert_leq(mostPending, bound + piece.size() + 100);
}

Test(server, closingBetweenRequestsCutsNone)
{
    std::vector<ResponseWriter> running;
    bool noneLeft = false;
    bool whole = false;
    std::unique_ptr<HttpFixture> fixture;
    const auto finishLater = [&] {
        fixture->loop.timers().once(fixture->loop.clock().now() + 50ms, [&](Time) {
            cr_assert(!noneLeft);
            running[0].write("end");
            running[0].end();
            running[1].respond(status::ok, {}, "whole");
        });
    };
    fixture = std::make_unique<HttpFixture>([&](const HttpRequest &request, ResponseWriter writer) {
        if (request.target == "/idle") {
            writer.respond(status::ok, {}, "");
            return;
        }
        running.push_back(writer);
        if (running.size() == 1) {
            writer.begin(status::ok, {});
            writer.write("start ");
            return;
        }
        fixture->server.stopAccepting();
        fixture->server.closeBetweenRequests([&] {
            noneLeft = true;
            fixture->loop.stop();
        });
        finishLater();
    });
    std::thread clients([&] {
        const auto port = fixture->server.address().port;
        const raw::Socket idle = raw::connectTo(port);
        idle.send("GET /idle HTTP/1.1\r\n\r\n");
        idle.read("\r\n\r\n");
        const raw::Socket first = raw::connectTo(port);
        first.send("GET /1 HTTP/1.1\r\n\r\n");
        first.read("start \r\n");
        const raw::Socket second = raw::connectTo(port);
        second.send("GET /2 HTTP/1.1\r\n\r\n");
        const std::string rest = first.read();
        const std::string answer = second.read();
        whole = rest.ends_with("end\r\n0\r\n\r\n") && answer.find("Connection: close") != std::string::npos
            && answer.ends_with("whole");
        idle.read();
    });
    fixture->loop.run();
    clients.join();
    cr_assert(noneLeft);
    cr_assert(whole);
    cr_assert_eq(fixture->server.counters().cut, 0);
    cr_assert_eq(fixture->server.counters().open, 0);
}

/** A request that had arrived behind another one was dropped when the server began to drain (issue 44). */
Test(server, pipelinedRequestIsAnsweredWhileDraining)
{
    std::unique_ptr<HttpFixture> fixture;
    fixture = std::make_unique<HttpFixture>([&](const HttpRequest &request, ResponseWriter writer) {
        fixture->server.closeBetweenRequests([] {});
        writer.respond(status::ok, {}, request.target);
    });
    const std::string answers = fixture->exchange("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    const auto close = answers.find("Connection: close");
    cr_assert_neq(answers.find("/1HTTP/1.1 200"), std::string::npos, "%s", answers.c_str());
    cr_assert(answers.ends_with("/2"), "%s", answers.c_str());
    cr_assert_gt(close, answers.find("/1HTTP/1.1"), "announced with the last answer only");
}

/** Connections that waited to be accepted were reset when the listener closed (issue 44). */
Test(server, queuedConnectionsAreServedWhenTheListenerCloses)
{
    constexpr std::size_t connections = 20;
    HttpFixture fixture(
        [](const HttpRequest &request, ResponseWriter writer) { writer.respond(status::ok, {}, request.target); });
    std::vector<raw::Socket> queued;
    for (std::size_t index = 0; index < connections; ++index) {
        queued.push_back(raw::connectTo(fixture.server.address().port));
        queued.back().send("GET /queued HTTP/1.1\r\n\r\n");
    }
    fixture.server.closeBetweenRequests([] {});
    fixture.server.stopAccepting();
    std::size_t answered = 0;
    fixture.runBeside([&] {
        for (const auto &socket : queued) {
            answered += socket.read().ends_with("/queued") ? 1 : 0;
        }
    });
    cr_assert_eq(answered, connections, "%zu", answered);
}

ParameterizedTestParameters(server, cutResponseNeverLooksWhole)
{
    return cr_make_param_array(EndCase, endCases, std::size(endCases));
}

ParameterizedTest(EndCase *test, server, cutResponseNeverLooksWhole)
{
    std::optional<HttpFixture> fixture;
    fixture.emplace([&](const HttpRequest &, ResponseWriter writer) {
        writer.begin(status::ok, {}, test->framing);
        writer.write("part");
        // The part is sent before the response ends, as a part that is dropped with the connection shows nothing.
        fixture->loop.timers().once(fixture->loop.clock().now() + 20ms, [&, writer](Time) mutable {
            switch (test->finish) {
            case Finish::End:
                writer.end();
                break;
            case Finish::Abort:
                writer.abort();
                break;
            case Finish::CloseAll:
                fixture->server.closeAll();
                break;
            }
        });
    });
    raw::Socket::Received received;
    fixture->runBeside([&] {
        const raw::Socket socket = raw::connectTo(fixture->server.address().port);
        socket.send(std::string(test->request) + "\r\nConnection: close\r\n\r\n");
        received = socket.readToEnd();
    });
    const bool isChunked = received.text.find("chunked") != std::string::npos;
    const bool looksWhole = isChunked ? received.text.ends_with("0\r\n\r\n") : !received.wasReset;
    cr_assert_eq(looksWhole, test->looksWhole, "%s: %s", test->request, received.text.c_str());
    cr_assert_eq(received.text.find("Content-Length"), std::string::npos);
}

Test(server, wholeResponseWithoutLengthClosesTheConnection)
{
    HttpFixture fixture([](const HttpRequest &, ResponseWriter writer) {
        writer.respond(status::ok, {}, "body", BodyFraming::UntilClose);
    });
    const std::string answer = fixture.exchange("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    cr_assert_eq(countOf(answer, "HTTP/1.1 200"), 1);
    cr_assert_eq(answer.find("Content-Length"), std::string::npos);
    cr_assert(answer.ends_with("\r\n\r\nbody"));
}

ParameterizedTestParameters(server, endlessRequestIsRejected)
{
    return cr_make_param_array(EndlessCase, endlessCases, std::size(endlessCases));
}

ParameterizedTest(EndlessCase *test, server, endlessRequestIsRejected)
{
    constexpr int repeats = 200'000;
    HttpFixture fixture(echo, smallBounds());
    std::string bytes = test->start;
    for (int count = 0; count < repeats; ++count) {
        bytes += test->repeated;
    }
    std::string answer;
    fixture.runBeside([&] {
        const raw::Socket socket = raw::connectTo(fixture.server.address().port);
        socket.send(bytes);
        socket.closeSending();
        answer = socket.read();
    });
    cr_assert(answer.starts_with("HTTP/1.1 4"), "%s: %s", test->name, answer.c_str());
    cr_assert_eq(fixture.server.counters().requests, 0);
    cr_assert_eq(fixture.server.counters().tooLarge, 1, "%s", test->name);
}
