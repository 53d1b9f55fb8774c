#include <net/net.h>

#include <algorithm>
#include <cstdio>
#include <thread>

using namespace lacewing;
using namespace lacewing::net;

namespace
{

constexpr int warmUp = 500;
constexpr int samples = 5'000;
constexpr std::size_t bodyBytes = 1'024;

/** A server on a thread and loop of its own. */
class ServerThread
{
public:
    explicit ServerThread(RequestHandler handler)
        : server_(loop_, {}, std::move(handler))
    {
        if (!server_.listen({ "127.0.0.1", 0 })) {
            std::abort();
        }
        address_ = toText(server_.address());
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~ServerThread()
    {
        loop_.stop();
        thread_.join();
    }
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    EventLoop &loop() noexcept
    {
        return loop_;
    }
    const std::string &address() const noexcept
    {
        return address_;
    }

private:
    EventLoop loop_;
    HttpServer server_;
    std::string address_;
    std::thread thread_;
};

/** Times of calls made one after the other, sorted. */
std::vector<Duration> measure(const std::string &address)
{
    EventLoop loop;
    HttpClient client(loop, {});
    std::vector<Duration> times;
    int count = 0;
    Time started;
    std::function<void()> next = [&] {
        HttpCall call;
        call.address = address;
        call.method = "POST";
        call.body = std::string(bodyBytes, 'x');
        started = loop.clock().now();
        fetch(client, std::move(call), {}, [&](const HttpEnd &, const HttpResponse &) {
            if (++count > warmUp) {
                times.push_back(loop.clock().now() - started);
            }
            count < warmUp + samples ? next() : loop.stop();
        });
    };
    next();
    loop.run();
    std::sort(times.begin(), times.end());
    return times;
}

void print(const char *name, const std::vector<Duration> &times)
{
    const auto at = [&](double share) {
        return static_cast<long>(
            times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))].count());
    };
    std::printf("%-28s p50 %4ld us   p99 %5ld us\n", name, at(0.5), at(0.99));
}

} // namespace

/** Compares calls to a server with the same calls passed on by a second one in between. */
int main()
{
    ServerThread server(
        [](const HttpRequest &request, ResponseWriter writer) { writer.respond(status::ok, {}, request.body.text()); });
    std::unique_ptr<HttpClient> onward;
    ServerThread hop([&](const HttpRequest &request, ResponseWriter writer) {
        HttpCall call;
        call.address = server.address();
        call.method = "POST";
        call.body = request.body;
        fetch(*onward, std::move(call), {}, [writer](const HttpEnd &, const HttpResponse &response) mutable {
            writer.respond(response.head.status, {}, response.body);
        });
    });
    hop.loop().post([&] { onward = std::make_unique<HttpClient>(hop.loop(), HttpClientOptions()); });

    const auto direct = measure(server.address());
    const auto hopped = measure(hop.address());
    print("direct", direct);
    print("through one hop", hopped);
    const auto middle = direct.size() / 2;
    std::printf("a hop adds %ld us at the median (factor %.2f)\n",
                static_cast<long>((hopped[middle] - direct[middle]).count()),
                toSeconds(hopped[middle]) / toSeconds(direct[middle]));
    hop.loop().post([&] { onward.reset(); });
    return 0;
}
