#include "http_fixture.h"

#include <vector>

#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::net;

namespace
{

enum class Ending : std::uint8_t { Close, HalfClose, Reset };

struct HeadCase {
    char name[40];
    char response[160];
    Ending ending;
    bool isPooled; ///< the connection has carried a call before
};

#define WITH_LENGTH "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 0\r\n\r\n"
#define IN_CHUNKS "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: 1\r\n\r\n"
#define UNTIL_CLOSE "HTTP/1.1 200 OK\r\nConnection: close\r\nX: 1\r\n\r\n"
#define WITHOUT_BODY "HTTP/1.1 204 No Content\r\nX: 1\r\n\r\n"
#define OLD "HTTP/1.0 200 OK\r\nX: 1\r\n\r\n"
#define INTERIM "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n"

HeadCase headCases[] = {
    { "length, closed", WITH_LENGTH, Ending::Close, false },
    { "length, half closed", WITH_LENGTH, Ending::HalfClose, false },
    { "length, reset", WITH_LENGTH, Ending::Reset, false },
    { "length, pooled, closed", WITH_LENGTH, Ending::Close, true },
    { "length, pooled, reset", WITH_LENGTH, Ending::Reset, true },
    { "chunks, closed", IN_CHUNKS, Ending::Close, false },
    { "chunks, reset", IN_CHUNKS, Ending::Reset, false },
    { "until close, closed", UNTIL_CLOSE, Ending::Close, false },
    { "until close, half closed", UNTIL_CLOSE, Ending::HalfClose, false },
    { "until close, reset", UNTIL_CLOSE, Ending::Reset, false },
    { "until close, pooled, closed", UNTIL_CLOSE, Ending::Close, true },
    { "no body, closed", WITHOUT_BODY, Ending::Close, false },
    { "http/1.0, closed", OLD, Ending::Close, false },
    { "http/1.0, reset", OLD, Ending::Reset, false },
    { "after an interim answer, closed", INTERIM WITH_LENGTH, Ending::Close, false },
    { "after an interim answer, half closed", INTERIM UNTIL_CLOSE, Ending::HalfClose, false },
    { "after an interim answer, pooled, reset", INTERIM UNTIL_CLOSE, Ending::Reset, true },
};

} // namespace

/** Guards against an answer that is made of the part of a head (issue 48). */
ParameterizedTestParameters(brokenOffHead, isNoAnswer)
{
    return cr_make_param_array(HeadCase, headCases, std::size(headCases));
}

ParameterizedTest(HeadCase *test, brokenOffHead, isNoAnswer)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string_view response = test->response;
    std::size_t length = 0;
    std::vector<raw::Socket> kept;
    const raw::Server server([&](raw::Socket socket, int) {
        socket.read(headEnd);
        if (test->isPooled) {
            socket.send(wholeResponse);
            socket.read(headEnd);
        }
        socket.send(response.substr(0, length));
        if (test->ending == Ending::HalfClose) {
            socket.closeSending();
            kept.push_back(std::move(socket));
        } else if (test->ending == Ending::Reset) {
            const linger option { 1, 0 };
            ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
        }
    });
    EventLoop loop;
    HttpClient client(loop, {});
    const auto fetchOnce = [&] {
        HttpCall call;
        call.address = server.address();
        call.method = "POST";
        call.resendWhenLost = false;
        std::optional<HttpEnd> result;
        fetch(client, std::move(call), {}, [&](const HttpEnd &end, const HttpResponse &) {
            result = end;
            loop.stop();
        });
        loop.run();
        return *result;
    };
    for (; length < response.size(); ++length) {
        if (test->isPooled) {
            cr_assert(!fetchOnce().error);
        }
        const auto end = fetchOnce();
        cr_assert(end.error.has_value(), "%s: %zu bytes taken for an answer", test->name, length);
        cr_assert(end.error->kind == ErrorKind::ConnectionLost, "%s, %zu bytes", test->name, length);
        cr_assert(end.requestWritten && !end.headReceived, "%s, %zu bytes", test->name, length);
    }
    cr_assert_eq(client.counters().openConnections, 0);
}
