#include "connection_reuse.h"
#include "http_fixture.h"

#include <cerrno>
#include <future>
#include <vector>

#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::net;

namespace
{

constexpr std::string_view wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view headEnd = "\r\n\r\n";

/** Limits long enough for a busy machine, but for the one under test. */
HttpLimits longLimits()
{
    return { .connect = 10s, .firstByte = 10s, .nextByte = 10s, .total = 30s };
}

struct Outcome {
    HttpEnd end;
    HttpResponse response;
};

/** Carries out one call. */
Outcome run(EventLoop &loop, HttpClient &client, const std::string &address, bool repeatable, HttpLimits limits)
{
    Outcome outcome;
    HttpCall call;
    call.address = address;
    call.repeatable = repeatable;
    fetch(client, call, limits, [&](const HttpEnd &end, HttpResponse response) {
        outcome = { end, std::move(response) };
        loop.stop();
    });
    loop.run();
    return outcome;
}

struct BadResponseCase {
    char response[100];
    bool closes; ///< the server closes after it
    ErrorKind kind;
    bool headReceived;
};

BadResponseCase badResponseCases[] = {
    { "", true, ErrorKind::ConnectionLost, false },
    { "", false, ErrorKind::Silent, false },
    { "HTTP/1.1 200 OK\r\nContent-Le", true, ErrorKind::ConnectionLost, false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true, ErrorKind::ConnectionLost, true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", false, ErrorKind::Silent, true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, ErrorKind::ConnectionLost, true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true, ErrorKind::Malformed, true },
    { "SSH-2.0-x\r\n\r\n", true, ErrorKind::Malformed, false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", true, ErrorKind::TooLarge, false },
};

} // namespace

ParameterizedTestParameters(client, badResponses)
{
    return cr_make_param_array(BadResponseCase, badResponseCases, std::size(badResponseCases));
}

ParameterizedTest(BadResponseCase *param, client, badResponses)
{
    std::vector<raw::Socket> kept;
    const raw::Server server([&](raw::Socket socket, int) {
        socket.read(headEnd);
        socket.send(param->response);
        if (!param->closes) {
            kept.push_back(std::move(socket));
        }
    });
    EventLoop loop;
    HttpClient client(loop, {});
    auto limits = longLimits();
    if (param->kind == ErrorKind::Silent) {
        limits.firstByte = limits.nextByte = 100ms;
    }
    const auto outcome = run(loop, client, server.address(), false, limits);
    cr_assert(outcome.end.error.has_value());
    cr_assert(outcome.end.error->kind == param->kind,
              "%s: %s",
              param->response,
              std::string(toText(outcome.end.error->kind)).c_str());
    cr_assert(outcome.end.requestWritten);
    cr_assert_eq(outcome.end.headReceived, param->headReceived, "%s", param->response);
    cr_assert_eq(client.counters().openConnections, 0);
}

Test(client, failedConnectIsUnreachableAndNothingWasWritten)
{
    EventLoop loop;
    HttpClient client(loop, {});
    std::string address;
    {
        const raw::Server server([](const raw::Socket &, int) {});
        address = server.address();
    }
    const auto outcome = run(loop, client, address, true, longLimits());
    cr_assert(outcome.end.error && outcome.end.error->kind == ErrorKind::Unreachable);
    cr_assert(!outcome.end.requestWritten);
}

Test(client, connectionsAreReusedForWholeResponsesOnly)
{
    HttpFixture fixture(echo);
    for (int i = 0; i < 3; ++i) {
        const std::string text = std::to_string(i);
        const auto response = fixture.fetchOne(fixture.call("/t" + text, "body" + text));
        cr_assert(response.body == "body" + text);
        cr_assert(response.head.header("x-target") == "/t" + text);
    }
    cr_assert_eq(fixture.client.counters().connects, 1);
    cr_assert_eq(fixture.client.counters().reused, 2);
}

namespace
{

struct EchoReuseCase {
    char name[40];
    bool hasEcho; ///< whether responses repeat the id of their request
    bool isEchoRequired;
    char secondId[4]; ///< of the second call; empty: none
    bool isReused;
};

EchoReuseCase echoReuseCases[] = {
    { "echo", true, true, "8", true },
    { "no echo", false, true, "8", false },
    { "no echo, not required", false, false, "8", true },
    { "echo, not required", true, false, "8", true },
    { "echo, same id", true, true, "7", false },
    { "echo, same id, not required", true, false, "7", false },
    { "echo, second call without an id", true, true, "", false },
    { "not required, second without an id", true, false, "", true },
};

/** Rejects each request on any number of connections, and repeats its id if it has one. */
class RejectingServer
{
public:
    explicit RejectingServer(bool hasEcho)
        : server_([this, hasEcho](raw::Socket socket, int) {
            ++connections_;
            workers_.push_back(std::async(std::launch::async, [socket = std::move(socket), hasEcho] {
                for (std::string head = socket.read(headEnd); !head.empty(); head = socket.read(headEnd)) {
                    socket.send(rejectionOf(head, hasEcho));
                }
            }));
        })
    {
    }

    std::string address() const
    {
        return server_.address();
    }
    int connections() const noexcept
    {
        return connections_;
    }

private:
    static std::string rejectionOf(const std::string &head, bool hasEcho)
    {
        const auto id = head.find("X-Id: ");
        const bool isRepeated = hasEcho && id != std::string::npos;
        const std::string echo = isRepeated ? head.substr(id, head.find("\r\n", id) - id) + "\r\n" : "";
        return "HTTP/1.1 503 Full\r\n" + echo + "Content-Length: 0\r\n\r\n";
    }

    std::atomic<int> connections_ = 0;
    std::vector<std::future<void>> workers_; ///< one for each connection; end when the client closes it
    raw::Server server_;
};

/** Sends calls with some ids one after the other and waits for their responses. */
void callWithIds(HttpClient &client, EventLoop &loop, const std::string &address, const std::vector<std::string> &ids)
{
    for (const auto &id : ids) {
        HttpCall call;
        call.address = address;
        if (!id.empty()) {
            call.headers = { { "X-Id", id } };
            call.echo = call.headers.front();
        }
        fetch(client, std::move(call), longLimits(), [&](const HttpEnd &end, const HttpResponse &) {
            cr_assert(!end.error);
            loop.stop();
        });
        loop.run();
    }
}

} // namespace

/** A second copy of a response was taken for the response to a call without its id, or with the same (issues 44, 48).
 */
ParameterizedTestParameters(client, connectionsAreReusedAfterAnEchoOnly)
{
    return cr_make_param_array(EchoReuseCase, echoReuseCases, std::size(echoReuseCases));
}

ParameterizedTest(EchoReuseCase *test, client, connectionsAreReusedAfterAnEchoOnly)
{
    const RejectingServer server(test->hasEcho);
    EventLoop loop;
    HttpClient client(loop, HttpClientOptions().reuseOnlyIdentified(test->isEchoRequired));
    callWithIds(client, loop, server.address(), { "7", test->secondId });
    cr_assert_eq(server.connections(), test->isReused ? 1 : 2, "%s", test->name);
}

Test(client, connectionIsKeptForOtherIdsAlthoughItIsAvoidedForOne)
{
    const RejectingServer server(true);
    EventLoop loop;
    std::vector<std::string> avoided;
    const auto observer = [&](const HttpClientEvent &event) {
        if (const auto *avoidance = std::get_if<ConnectionAvoided>(&event)) {
            avoided.emplace_back(avoidance->connection.echo);
        }
    };
    HttpClient client(loop, HttpClientOptions().reuseOnlyIdentified(true).observer(observer));
    callWithIds(client, loop, server.address(), { "1", "2", "1", "3", "2", "4", "4" });
    cr_assert_eq(server.connections(), 2); // each of them carries ids that the other one has carried
    cr_assert(avoided == (std::vector<std::string> { "1", "4" }), "%zu", avoided.size());
}

Test(client, connectionCarriesNoCallBeyondItsMaximumAge)
{
    constexpr Duration maxAge = 20ms;
    const RejectingServer server(true);
    EventLoop loop;
    std::vector<DiscardReason> reasons;
    const auto observer = [&](const HttpClientEvent &event) {
        if (const auto *discarded = std::get_if<ConnectionDiscarded>(&event)) {
            reasons.push_back(discarded->reason);
        }
    };
    HttpClient client(loop, HttpClientOptions().maxAge(maxAge).observer(observer));
    callWithIds(client, loop, server.address(), { "1" });
    loop.timers().once(loop.clock().now() + maxAge, [&](Time) { loop.stop(); });
    loop.run();
    callWithIds(client, loop, server.address(), { "2", "3" });
    cr_assert_eq(server.connections(), 2);
    cr_assert(!reasons.empty() && reasons.front() == DiscardReason::TooOld);
}

Test(client, connectionIsRetiredOnceItsIdsCannotBeToldApart)
{
    const RejectingServer server(true);
    EventLoop loop;
    std::vector<DiscardReason> reasons;
    const auto observer = [&](const HttpClientEvent &event) {
        if (const auto *discarded = std::get_if<ConnectionDiscarded>(&event)) {
            reasons.push_back(discarded->reason);
        }
    };
    HttpClient client(loop, HttpClientOptions().reuseOnlyIdentified(true).observer(observer));
    std::vector<std::string> ids;
    for (std::size_t number = 0; number <= CarriedIds::capacity; ++number) {
        ids.push_back(std::to_string(number));
    }
    callWithIds(client, loop, server.address(), ids);
    cr_assert_eq(server.connections(), 2);
    cr_assert(reasons == std::vector { DiscardReason::TooManyCalls });
}

Test(client, totalLimitEndsASlowResponse)
{
    std::vector<raw::Socket> kept;
    const raw::Server server([&](raw::Socket socket, int) {
        socket.read(headEnd);
        socket.send("HTTP/1.1 200 OK\r\n");
        kept.push_back(std::move(socket));
    });
    EventLoop loop;
    HttpClient client(loop, {});
    auto limits = longLimits();
    limits.total = 100ms;
    const auto outcome = run(loop, client, server.address(), true, limits);
    cr_assert(outcome.end.error && outcome.end.error->kind == ErrorKind::Timeout);
    cr_assert_eq(client.counters().discarded, 1);
}

Test(client, connectionWithBytesLeftOverIsNotReused)
{
    const raw::Server server([](const raw::Socket &socket, int) {
        socket.read(headEnd);
        socket.send(std::string(wholeResponse) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        socket.read();
    });
    EventLoop loop;
    HttpClient client(loop, {});
    for (int i = 0; i < 2; ++i) {
        const auto outcome = run(loop, client, server.address(), true, longLimits());
        cr_assert(!outcome.end.error);
        cr_assert(outcome.response.body == "ok");
    }
    cr_assert_eq(client.counters().connects, 2);
    cr_assert_eq(client.counters().reused, 0);
    cr_assert_eq(client.counters().discarded, 2);
}

namespace
{

struct DeadPoolCase {
    bool closes; ///< the pooled connection ends on its second request, rather than going silent
    bool repeatable;
    bool succeeds;
};

DeadPoolCase deadPoolCases[] = {
    { false, true, true },
    { false, false, false },
    { true, true, true },
    { true, false, false },
};

} // namespace

ParameterizedTestParameters(client, deadPooledConnections)
{
    return cr_make_param_array(DeadPoolCase, deadPoolCases, std::size(deadPoolCases));
}

ParameterizedTest(DeadPoolCase *param, client, deadPooledConnections)
{
    std::vector<raw::Socket> kept;
    const raw::Server server([&](raw::Socket socket, int number) {
        socket.read(headEnd);
        socket.send(wholeResponse);
        if (number == 0) {
            socket.read(headEnd);
            if (!param->closes) {
                kept.push_back(std::move(socket));
            }
        } else {
            socket.read();
        }
    });
    EventLoop loop;
    HttpClient client(loop, HttpClientOptions().trustIdle(10s));
    cr_assert(!run(loop, client, server.address(), true, longLimits()).end.error);
    auto limits = longLimits();
    limits.firstByte = param->closes ? 10s : 1s;
    const auto outcome = run(loop, client, server.address(), param->repeatable, limits);
    cr_assert_eq(!outcome.end.error, param->succeeds);
    cr_assert_eq(client.counters().freshRetries, param->succeeds ? 1 : 0);
    cr_assert_eq(client.counters().connects, param->succeeds ? 2 : 1);
    if (!param->succeeds) {
        cr_assert(outcome.end.error->kind == (param->closes ? ErrorKind::ConnectionLost : ErrorKind::Silent));
        cr_assert(outcome.end.requestWritten);
    }
}

Test(client, silentPooledConnectionClosesTheOtherIdleOnes)
{
    std::vector<ResponseWriter> waiting;
    bool silent = false;
    HttpFixture fixture(
        [&](const HttpRequest &, ResponseWriter writer) {
            waiting.push_back(std::move(writer));
            if (waiting.size() == 2 && !silent) {
                for (auto &each : waiting) {
                    each.respond(status::ok, {}, "");
                }
                waiting.clear();
            }
        },
        {},
        HttpClientOptions().trustIdle(10s));
    const auto address = fixture.call("/").address;
    fixture.client.start(fixture.call("/"), longLimits(), {});
    run(fixture.loop, fixture.client, address, false, longLimits());
    while (fixture.client.counters().idleConnections < 2) {
        run(fixture.loop, fixture.client, "127.0.0.1:0", false, longLimits());
    }
    silent = true;
    auto limits = longLimits();
    limits.firstByte = 100ms;
    const auto outcome = run(fixture.loop, fixture.client, address, false, limits);
    cr_assert(outcome.end.error && outcome.end.error->kind == ErrorKind::Silent);
    cr_assert_eq(fixture.client.counters().openConnections, 0);
}

Test(client, nonRepeatableCallDoesNotTrustAnOldConnection)
{
    HttpFixture fixture(echo, {}, HttpClientOptions().trustIdle(0ms));
    fixture.fetchOne(fixture.call("/", "1"));
    fixture.fetchOne(fixture.call("/", "2"));
    cr_assert_eq(fixture.client.counters().connects, 2);
}

Test(client, connectOnlyPoolsAFreshConnectionAndSendsNothing)
{
    HttpFixture fixture(echo);
    fixture.fetchOne(fixture.call("/", "1"));
    auto connect = fixture.call("/");
    connect.connectOnly = true;
    std::optional<HttpEnd> end;
    HttpHandlers handlers;
    handlers.onDone = [&](const HttpEnd &done) {
        end = done;
        fixture.loop.stop();
    };
    fixture.client.start(std::move(connect), longLimits(), std::move(handlers));
    fixture.loop.run();
    cr_assert(end && !end->error && !end->requestWritten && !end->headReceived);
    cr_assert_eq(fixture.client.counters().connects, 2, "a pooled connection does not show that the server is up");
    cr_assert_eq(fixture.client.counters().idleConnections, 2);
    cr_assert(fixture.fetchOne(fixture.call("/", "2")).body == "2");
    cr_assert_eq(fixture.client.counters().connects, 2);
}

Test(client, boundOnConnectionsDeclinesWithoutSending)
{
    ResponseWriter first;
    HttpFixture fixture([&](const HttpRequest &, ResponseWriter writer) { first = std::move(writer); },
                        {},
                        HttpClientOptions().maxPerAddress(1));
    fixture.client.start(fixture.call("/"), longLimits(), {});
    const auto outcome = run(fixture.loop, fixture.client, fixture.call("/").address, true, longLimits());
    cr_assert(outcome.end.error && outcome.end.error->kind == ErrorKind::TooMany);
    cr_assert(!outcome.end.requestWritten);
}

Test(client, cancelledCallIsSilentAndClosesItsConnection)
{
    bool called = false;
    HttpCallHandle handle;
    std::unique_ptr<HttpFixture> fixture;
    ResponseWriter kept;
    fixture = std::make_unique<HttpFixture>([&](const HttpRequest &, ResponseWriter writer) {
        kept = std::move(writer);
        kept.onClosed([&] { fixture->loop.stop(); });
        fixture->client.cancel(handle);
    });
    HttpHandlers handlers;
    handlers.onDone = [&](const HttpEnd &) { called = true; };
    handle = fixture->client.start(fixture->call("/"), longLimits(), handlers);
    fixture->loop.run();
    cr_assert(!called);
    cr_assert_eq(fixture->client.counters().openConnections, 0);
    cr_assert_eq(fixture->client.counters().cancelled, 1);
}

Test(client, cancelledCallSendsNothingMore)
{
    // More than the socket buffers hold, so that a part of it waits in the client's buffer when the call is cancelled.
    const std::string body(std::size_t(16) << 20U, 'x');
    std::promise<void> cancelled;
    std::promise<std::pair<std::size_t, int>> received; // bytes, error of the last read
    const raw::Server server([&](const raw::Socket &socket, int) {
        cancelled.get_future().wait();
        std::size_t bytes = 0;
        std::vector<char> buffer(std::size_t(64) << 10U);
        ssize_t size = 0;
        while ((size = ::recv(socket.descriptor(), buffer.data(), buffer.size(), 0)) > 0) {
            bytes += std::size_t(size);
        }
        received.set_value({ bytes, size < 0 ? errno : 0 });
    });
    EventLoop loop;
    HttpClient client(loop, {});
    HttpCall call;
    call.address = server.address();
    call.method = "POST";
    call.body = body;
    const auto handle = client.start(std::move(call), longLimits(), {});
    loop.timers().once(loop.clock().now() + 100ms, [&](Time) {
        client.cancel(handle);
        loop.stop();
    });
    loop.run();
    cancelled.set_value();
    const auto [bytes, error] = received.get_future().get();
    cr_assert_eq(error, ECONNRESET, "closed in order after %zu bytes, with all that was buffered", bytes);
}

Test(client, handlerMayCancelItsOwnCall)
{
    HttpCallHandle handle;
    HttpFixture fixture(echo);
    HttpHandlers handlers;
    handlers.onHead = [&](const HttpHead &) { fixture.client.cancel(handle); };
    handlers.onDone = [&](const HttpEnd &) { cr_assert_fail("called after the cancel"); };
    handle = fixture.client.start(fixture.call("/", "body"), longLimits(), handlers);
    fixture.fetchOne(fixture.call("/"));
    fixture.fetchOne(fixture.call("/"));
    cr_assert_eq(fixture.client.counters().cancelled, 1);
}

Test(client, unsafeRequestsAreDeclined)
{
    HttpFixture fixture(echo);
    auto call = fixture.call("/a b");
    const auto declined = [&](HttpCall unsafe) {
        bool invalid = false;
        fetch(fixture.client, std::move(unsafe), longLimits(), [&](const HttpEnd &end, const HttpResponse &) {
            invalid = end.error && end.error->kind == ErrorKind::InvalidArgument && !end.requestWritten;
            fixture.loop.stop();
        });
        fixture.loop.run();
        return invalid;
    };
    cr_assert(declined(call));
    call.target = "/";
    call.headers = { { "X-A", "1\r\nX-B: 2" } };
    cr_assert(declined(call));
    call.headers.clear();
    call.address = "localhost:1";
    cr_assert(declined(call));
}
