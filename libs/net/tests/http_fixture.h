#pragma once

#include "raw_socket.h"

#include <criterion/criterion.h>

namespace lacewing::net
{

/** A loop with a server and a client on it. */
struct HttpFixture {
    explicit HttpFixture(RequestHandler handler, HttpServerOptions options = {}, HttpClientOptions clientOptions = {})
        : server(loop, std::move(options), std::move(handler))
        , client(loop, std::move(clientOptions))
    {
        cr_assert(server.listen({ "127.0.0.1", 0 }).has_value());
    }

    HttpCall call(std::string target, std::string body = {}) const
    {
        HttpCall call;
        call.address = toText(server.address());
        call.method = body.empty() ? "GET" : "POST";
        call.target = std::move(target);
        call.body = std::move(body);
        return call;
    }

    /** Carries out one call and returns its response. */
    HttpResponse fetchOne(HttpCall call)
    {
        HttpResponse result;
        net::fetch(client, std::move(call), {}, [&](const HttpEnd &end, HttpResponse response) {
            cr_assert(!end.error, "%s", end.error->detail.c_str());
            result = std::move(response);
            loop.stop();
        });
        loop.run();
        return result;
    }

    /** Runs the loop while a function does blocking work on another thread. */
    void runBeside(const std::function<void()> &blocking)
    {
        std::thread thread([&] {
            blocking();
            loop.stop();
        });
        loop.run();
        thread.join();
    }

    /** Sends bytes on a connection of its own and returns all that comes back until the server closes it. */
    std::string exchange(std::string_view bytes)
    {
        std::string answer;
        runBeside([&] {
            const raw::Socket socket = raw::connectTo(server.address().port);
            socket.send(bytes);
            answer = socket.read();
        });
        return answer;
    }

    EventLoop loop;
    HttpServer server;
    HttpClient client;
};

/** Answers with the request's body. */
inline void echo(const HttpRequest &request, ResponseWriter writer)
{
    writer.respond(status::ok, { { "X-Target", request.target } }, request.body.text());
}

} // namespace lacewing::net
