#include "standins.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace lacewing::review
{
namespace
{

constexpr const char *host = "jepu9.example";
constexpr const char *apiKey = "9dnn2ctnfzs989anu6ws";

std::string hexadecimal(std::uint64_t value)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string text;
    for (; value > 0 || text.empty(); value >>= 4U) {
        text.insert(text.begin(), digits[value & 0xfU]);
    }
    return text;
}

/** Makes the headers of requests. */
class RequestMaker
{
public:
    explicit RequestMaker(const Options &options)
        : options_(options)
        , prefix_(options.text("name") + "-")
    {
    }

    net::Headers make()
    {
        ++count_;
        std::string id = prefix_ + std::to_string(count_);
        const auto idBytes = std::size_t(options_.number("id-bytes", 0));
        id += std::string(idBytes - std::min(idBytes, id.size()), 'x');
        net::Headers headers { { "Host", host },
                               { "Attempt-Id", id },
                               { "Deadline-Ms", options_.text("deadline-ms", "1500") },
                               { "Authorization", std::string("Bearer ") + apiKey } };
        if (const auto pieces = options_.text("pieces"); !pieces.empty()) {
            headers.push_back({ "Pieces", pieces });
            headers.push_back({ "Piece-Key", "7c1e07a291bd" });
        }
        if (const auto tokens = options_.text("tokens"); !tokens.empty()) {
            headers.push_back({ "Model", "m" });
            headers.push_back({ "Token-Counts", tokens });
        }
        if (const auto parts = promptParts(); !parts.empty()) {
            headers.push_back({ "Prompt-Prefix", parts });
        }
        return headers;
    }

private:
    /** The parts are new in each request, until a cycle of them ends: their ids are multiples of a factor. */
    std::string promptParts()
    {
        const auto bytes = std::size_t(options_.number("prompt-bytes", 0));
        const auto factor = std::stoull(options_.text("part-factor", "1"));
        const auto cycle = std::uint64_t(options_.number("part-cycle", 1e9));
        const std::string last = options_.text("last-parts");
        std::string text;
        while (text.size() + last.size() + 24 < bytes) {
            text += text.empty() ? "" : ",";
            text += hexadecimal((1 + part_++ % cycle) * factor) + ":1";
        }
        return text.empty() || last.empty() ? text : text + "," + last;
    }

    const Options &options_;
    std::string prefix_;
    std::uint64_t count_ = 0;
    std::uint64_t part_ = 100000;
};

} // namespace

int runCallers(const Options &options)
{
    Record record(options.text("record"));
    const std::string name = options.text("name");
    const Duration period = fromSeconds(1 / options.number("per-second", 5));
    const Duration time = fromSeconds(options.number("seconds", 10));
    const auto mostAtOnce = std::size_t(options.number("at-once", 64));
    const Duration patience = fromSeconds(options.number("deadline-ms", 1500) / 1000);
    net::EventLoop loop;
    net::HttpClient client(loop, net::HttpClientOptions().trustIdle(std::chrono::seconds(5)));
    RequestMaker maker(options);
    std::map<std::string, std::size_t> outcomes;
    std::size_t sent = 0;
    std::size_t running = 0;
    std::vector<double> times;
    const Time end = loop.clock().now() + time;
    const auto send = [&](Time now) {
        if (now >= end) {
            if (running == 0) {
                loop.stop();
            }
            return;
        }
        if (running >= mostAtOnce) {
            return;
        }
        net::HttpCall call;
        call.address = options.text("address");
        call.method = options.text("method", "GET");
        call.target = options.text("target", "/balance-read/2f");
        call.headers = maker.make();
        call.body = call.method == "POST" ? std::string(600, 'b') : std::string();
        ++running;
        ++sent;
        net::fetch(client,
                   std::move(call),
                   { patience, patience, patience, patience },
                   [&, now](const net::HttpEnd &ending, const net::HttpResponse &response) {
                       --running;
                       times.push_back(toSeconds(loop.clock().now() - now) * 1000);
                       ++outcomes[ending.error ? std::string(toText(ending.error->kind))
                                               : std::to_string(response.head.status)];
                   });
    };
    loop.timers().every(loop.clock().now() + period, period, send);
    loop.run();
    std::sort(times.begin(), times.end());
    std::string line = "callers " + name + ": " + std::to_string(sent) + " sent";
    for (const auto &[outcome, count] : outcomes) {
        line += ", " + std::to_string(count) + " " + outcome;
    }
    if (!times.empty()) {
        line += ", median " + std::to_string(int(times[times.size() / 2])) + " ms, longest "
            + std::to_string(int(times.back())) + " ms";
    }
    record.write(line);
    const std::size_t served = outcomes["200"];
    std::ofstream(options.text("result-file", "/dev/null")) << sent << ' ' << served << '\n';
    return 0;
}

} // namespace lacewing::review
