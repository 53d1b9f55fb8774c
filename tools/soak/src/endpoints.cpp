#include "endpoints.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace lacewing::soak
{
namespace
{

using Json = nlohmann::json;

constexpr int maxEvents = 40;
constexpr std::string_view resultPrefix = "127.0.0.1:1/";

std::string headerOf(const net::HttpRequest &request, std::string_view name)
{
    return std::string(request.header(name).value_or(""));
}

std::string emptyAnswer(const std::string &statusLine, const std::string &headers)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

std::string fullAnswer(const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

/** The number of events is the same wherever a stream is resumed. */
int eventCountOf(const std::string &stream)
{
    return 1 + int(hashBytes(stream) % maxEvents);
}

/** Returns the id under which the events of a stream are made: the same for a request that resumes it. */
std::string streamOf(const net::HttpRequest &request, const std::string &id)
{
    const auto resumed = headerOf(request, "Resumes");
    return resumed.empty() ? id : resumed;
}

} // namespace

Endpoints::Endpoints(gateway_test::Harness &harness, Promises &promises, std::uint64_t seed, Duration longestStream)
    : harness_(harness)
    , promises_(promises)
    , random_(seed)
    , longestStream_(longestStream)
{
    constexpr std::size_t plainSlots = 2;
    constexpr std::size_t engineSlots = 64;
    constexpr std::size_t pieceSlots = 1;
    for (const char *number : { "1", "2", "3", "4", "5" }) {
        add(std::string("plain-") + number, "plain", plainSlots);
    }
    for (const char *number : { "1", "2", "3" }) {
        add(std::string("engine-") + number, "engine", engineSlots);
        add(std::string("first-") + number, "first", pieceSlots);
    }
}

void Endpoints::add(const std::string &id, const std::string &service, std::size_t slots)
{
    states_.push_back(std::make_unique<State>(State { id, service, slots }));
    State &state = *states_.back();
    harness_.addRawEndpoint(
        id, service, [this, &state](const net::HttpRequest &request) { return handle(state, request); });
}

Endpoints::Answer Endpoints::handle(State &endpoint, const net::HttpRequest &request)
{
    if (headerOf(request, "Expect-Runner") != endpoint.id) {
        return { { emptyAnswer("421 Misdirected", "Runner-Id: " + endpoint.id + "\r\n") } };
    }
    if (request.path() == "/v1/stage-free") {
        return { { fullAnswer("", "{}") } };
    }
    if (random_.chance(faults_.closed)) {
        return { { "" }, platform_standin::RawEndpoint::Ending::Close };
    }
    if (endpoint.running >= endpoint.slots || random_.chance(faults_.rejected)) {
        return reject(endpoint);
    }
    if (request.path() == "/v1/stage-run") {
        return makePieces(endpoint, request);
    }
    const auto id = headerOf(request, "Attempt-Id");
    return endpoint.service == "engine" ? runStream(endpoint, request, id) : runPlain(endpoint, request, id);
}

Endpoints::Answer Endpoints::reject(State &endpoint)
{
    Answer answer { { emptyAnswer("503 Full",
                                  "Not-Run: 1\r\nRunner-Load: " + std::to_string(endpoint.running) + ",0,"
                                      + std::to_string(endpoint.slots) + "\r\n") } };
    spoil(answer);
    return answer;
}

Endpoints::Answer Endpoints::makePieces(State &endpoint, const net::HttpRequest &request)
{
    constexpr Duration callTime = 10ms;
    auto items = Json::array();
    for (const auto &item : Json::parse(request.body).value("items", Json::array())) {
        items.push_back({ { "handle",
                            std::string(resultPrefix) + item.at("id").get<std::string>() + "/"
                                + std::to_string(random_.next()) } });
    }
    Answer answer { { fullAnswer("Content-Type: application/json\r\n", Json { { "items", items } }.dump()) } };
    answer.delay = callTime;
    occupySlot(endpoint, callTime);
    spoil(answer);
    return answer;
}

Endpoints::Answer Endpoints::runPlain(State &endpoint, const net::HttpRequest &request, const std::string &id)
{
    constexpr Duration leastWork = 2ms;
    constexpr Duration mostWork = 30ms;
    promises_.onRun(id, endpoint.id);
    const std::string body = request.method + " " + request.target + " by " + id + " at " + endpoint.id;
    promises_.onAnswered(id, body);
    Answer answer { { fullAnswer(platform_standin::receiptHeaders(endpoint.id, id), body) } };
    answer.delay = between(leastWork, mostWork);
    occupySlot(endpoint, answer.delay);
    spoil(answer);
    return answer;
}

Endpoints::Answer Endpoints::runStream(State &endpoint, const net::HttpRequest &request, const std::string &id)
{
    const auto inputs = headerOf(request, "Inputs");
    const std::string own = std::string(resultPrefix) + id + "/";
    for (std::size_t begin = 0; begin < inputs.size();) {
        const auto end = std::min(inputs.find(',', begin), inputs.size());
        if (inputs.compare(begin, own.size(), own) != 0) {
            promises_.onForeignInputs(id, inputs);
        }
        begin = end + 1;
    }
    promises_.onRun(id, endpoint.id);
    const std::string stream = streamOf(request, id);
    const auto last = headerOf(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    Answer answer;
    answer.parts.push_back("HTTP/1.1 200 OK\r\n" + platform_standin::receiptHeaders(endpoint.id, id)
                           + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string body;
    for (int event = 1; event <= eventCountOf(stream); ++event) {
        const auto text = net::sseEvent(std::to_string(event), stream + " " + std::to_string(event));
        body += text;
        if (event >= first) {
            answer.parts.push_back(chunk(text));
        }
    }
    promises_.onAnswered(id, body);
    answer.parts.emplace_back("0\r\n\r\n");
    answer.partDelay = longestStream_ / maxEvents;
    occupySlot(endpoint, answer.partDelay * std::int64_t(answer.parts.size()));
    spoil(answer);
    return answer;
}

void Endpoints::occupySlot(State &endpoint, Duration time)
{
    ++endpoint.running;
    harness_.loop().timers().once(harness_.loop().clock().now() + time, [&endpoint](Time) { --endpoint.running; });
}

/** Lets an answer go wrong, by the shares of the faults in force. */
void Endpoints::spoil(Answer &answer)
{
    constexpr Duration mostExtraDelay = 150ms;
    if (random_.chance(faults_.repeated)) {
        std::string whole;
        for (const auto &part : answer.parts) {
            whole += part;
        }
        if (random_.chance(0.5)) {
            answer.extraBeforeNext = whole;
        } else {
            answer.extra = whole;
            answer.extraDelay = random_.chance(0.3) ? Duration::zero() : between(1ms, mostExtraDelay);
        }
    } else if (random_.chance(faults_.reset)) {
        answer.parts = { "" };
        answer.ending = platform_standin::RawEndpoint::Ending::Reset;
    } else if (random_.chance(faults_.truncated)) {
        auto &lastPart = answer.parts.back();
        lastPart.resize(lastPart.size() / 2);
        answer.ending = platform_standin::RawEndpoint::Ending::Close;
    }
}

Duration Endpoints::between(Duration least, Duration most)
{
    return least + Duration(std::int64_t(random_.below(std::uint64_t((most - least).count()))));
}

} // namespace lacewing::soak
