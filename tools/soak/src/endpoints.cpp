#include "endpoints.h"

#include <algorithm>
#include <array>

namespace lacewing::soak
{

using namespace platform_standin;

namespace
{

constexpr int maxEvents = 40;

/** Returns how the handles of all results of a request begin. */
std::string resultPrefixOf(const std::string &request)
{
    return "127.0.0.1:1/" + request + "/";
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

} // namespace

Endpoints::Endpoints(gateway_test::Harness &harness,
                     Promises &promises,
                     std::uint64_t seed,
                     Duration longestStream,
                     EndpointSize plainSize,
                     bool hasTwoVersions)
    : harness_(harness)
    , promises_(promises)
    , random_(seed)
    , longestStream_(longestStream)
    , plainSize_(plainSize)
{
    constexpr std::size_t plainSlots = 2;
    constexpr std::size_t engineSlots = 64;
    constexpr std::size_t pieceSlots = 1;
    for (const char *number : { "1", "2", "3", "4", "5" }) {
        add(std::string("plain-") + number, "plain", plainSlots, plainSize.places);
    }
    for (const char *number : { "1", "2", "3" }) {
        add(std::string("engine-") + number,
            "engine",
            engineSlots,
            0,
            hasTwoVersions && std::string_view(number) == "3" ? "v2" : "v1");
        add(std::string("first-") + number, "first", pieceSlots);
    }
    if (hasTwoVersions) {
        add("engine-4", "engine", engineSlots, 0, "v2");
    }
}

void Endpoints::add(const std::string &id,
                    const std::string &service,
                    std::size_t slots,
                    std::size_t places,
                    const std::string &softwareVersion)
{
    states_.push_back(std::make_unique<State>(State { id, service, softwareVersion, slots, places }));
    State &state = *states_.back();
    harness_.addRawEndpoint(
        id,
        service,
        [this, &state](const net::HttpRequest &request) { return handle(state, request); },
        softwareVersion);
}

Endpoints::Answer Endpoints::handle(State &endpoint, const net::HttpRequest &request)
{
    const ReceivedRequest received { request };
    if (received.expectedEndpoint() != endpoint.id) {
        return { { misdirectionText(endpoint.id) } };
    }
    if (isReleaseCall(request)) {
        return { { answerText({}, {}) } };
    }
    if (random_.chance(faults_.closed)) {
        return { { "" }, RawEndpoint::Ending::Close };
    }
    returned_ += endpoint.rejected.contains({ request.remoteAddress, received.requestId() }) ? 1 : 0;
    if (endpoint.running >= endpoint.slots + endpoint.places || random_.chance(faults_.rejected)) {
        return reject(endpoint, received);
    }
    if (isPiecesCall(request)) {
        return makePieces(endpoint, request);
    }
    return endpoint.service == "engine" ? runStream(endpoint, received) : runPlain(endpoint, received);
}

Endpoints::Answer Endpoints::reject(State &endpoint, const ReceivedRequest &received)
{
    constexpr std::array<int, 4> otherStatuses { 429, 408, net::status::badRequest, net::status::conflict };
    const std::string id = received.requestId();
    const std::string &connection = received.request.remoteAddress;
    std::string headers = loadHeader(endpoint.running, endpoint.slots);
    if (!id.empty() && random_.chance(faults_.identified)) {
        headers += requestIdHeaderText(id);
    }
    int status = net::status::unavailable;
    if (random_.chance(faults_.varied)) {
        status = random_.chance(0.5) ? otherStatuses[random_.below(otherStatuses.size())] : status;
        headers += chooseNotice();
    }
    Answer answer { { rejectionText(status, headers) } };
    std::string copies;
    if (random_.chance(faults_.copied)) {
        copies = sendCopies(answer);
    } else {
        spoil(answer);
    }
    if (!id.empty()) {
        endpoint.rejected.insert({ connection, id });
        promises_.onRejected(id,
                             std::to_string(status) + " by " + endpoint.id + " to " + connection + copies,
                             harness_.loop().clock().now());
    }
    return answer;
}

/** Returns a header that a rejection may have, or none. */
std::string Endpoints::chooseNotice()
{
    switch (random_.below(4)) {
    case 0:
        return "Connection: close\r\n";
    case 1:
        return retryAfterHeaderText("0.05");
    case 2:
        return rateLimitHeaderText("200");
    default:
        return {};
    }
}

/** Lets copies of an answer follow, at any time. @return what happens, for the trace */
std::string Endpoints::sendCopies(Answer &answer)
{
    constexpr std::size_t mostCopies = 3;
    constexpr Duration longestDelay = 150ms;
    ++copied_;
    std::string copies;
    for (std::size_t count = 1 + random_.below(mostCopies); count > 0; --count) {
        copies += answer.parts.front();
    }
    if (random_.chance(0.25)) {
        answer.extraBeforeNext = copies;
        return ", copied with the next answer";
    }
    answer.extra = copies;
    answer.extraDelay = random_.chance(0.1) ? Duration::zero() : between(1ms, longestDelay);
    return ", copied after " + std::to_string(toMilliseconds(answer.extraDelay)) + " ms";
}

Endpoints::Answer Endpoints::makePieces(State &endpoint, const net::HttpRequest &call)
{
    constexpr Duration callTime = 10ms;
    Answer answer { { piecesAnswerText(call, [this](const std::string &request) {
        return resultPrefixOf(request) + std::to_string(random_.next());
    }) } };
    answer.delay = callTime;
    occupySlot(endpoint, callTime);
    spoil(answer);
    return answer;
}

Endpoints::Answer Endpoints::runPlain(State &endpoint, const ReceivedRequest &received)
{
    constexpr Duration leastWork = 2ms;
    const auto id = received.requestId();
    promises_.onRun(id, endpoint.id, received.request.remoteAddress, harness_.loop().clock().now());
    const auto &request = received.request;
    const std::string body = request.method + " " + request.target + " by " + id + " at " + endpoint.id;
    promises_.onAnswered(id, body);
    Answer answer { { answerText(receiptHeaders(endpoint.id, id), body) } };
    answer.delay = between(leastWork, plainSize_.longestWork) * std::int64_t(1 + endpoint.running / endpoint.slots);
    occupySlot(endpoint, answer.delay);
    spoil(answer);
    return answer;
}

Endpoints::Answer Endpoints::runStream(State &endpoint, const ReceivedRequest &received)
{
    const auto id = received.requestId();
    const auto inputs = received.inputs();
    const std::string own = resultPrefixOf(id);
    for (std::size_t begin = 0; begin < inputs.size();) {
        const auto end = std::min(inputs.find(',', begin), inputs.size());
        if (inputs.compare(begin, own.size(), own) != 0) {
            promises_.onForeignInputs(id, inputs);
        }
        begin = end + 1;
    }
    promises_.onRun(id, endpoint.id, received.request.remoteAddress, harness_.loop().clock().now());
    // The events are the same for a request that resumes the stream.
    const auto resumed = received.resumedRequest();
    const std::string stream = resumed.empty() ? id : resumed;
    const auto last = received.lastEventId();
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    Answer answer { { streamHeadText(endpoint.id, id) } };
    std::string body;
    for (int event = 1; event <= eventCountOf(stream); ++event) {
        const auto text =
            net::sseEvent(std::to_string(event), stream + " " + std::to_string(event) + " " + endpoint.softwareVersion);
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
        answer.ending = RawEndpoint::Ending::Reset;
    } else if (random_.chance(faults_.truncated)) {
        auto &lastPart = answer.parts.back();
        lastPart.resize(lastPart.size() / 2);
        answer.ending = RawEndpoint::Ending::Close;
    }
}

Duration Endpoints::between(Duration least, Duration most)
{
    return least + Duration(std::int64_t(random_.below(std::uint64_t((most - least).count()))));
}

} // namespace lacewing::soak
