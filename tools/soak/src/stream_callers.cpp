#include "stream_callers.h"

#include <requests.h>

#include <sstream>

namespace lacewing::soak
{
namespace
{

constexpr std::size_t callerCount = 48;
constexpr std::chrono::milliseconds callerTimeout { 20'000 };
/** Time after which a caller whose stream broke off comes back, and after which it begins another one. */
constexpr Duration longestPause = 200ms;

} // namespace

/** A stream, over all tries of its caller. */
struct StreamCallers::Stream {
    std::string id; ///< of the request that brought its first event
    Time begunAt;
    std::size_t tries = 0;
    int lastEvent = 0;
    std::string version; ///< that wrote its events
    bool hasNewEvents = false; ///< in the try under way
    Tries *counted = nullptr; ///< that the try under way belongs to, if any
};

StreamCallers::StreamCallers(gateway_test::Harness &harness,
                             std::size_t vms,
                             std::uint64_t seed,
                             std::function<Time(std::size_t vm)> disturbedAt)
    : harness_(harness)
    , vms_(vms)
    , random_(seed)
    , disturbedAt_(std::move(disturbedAt))
    , client_(harness.loop(), net::HttpClientOptions().keepIdle(0s))
{
}

StreamCallers::~StreamCallers() = default;

void StreamCallers::start()
{
    for (std::size_t caller = 0; caller < callerCount; ++caller) {
        begin();
    }
}

void StreamCallers::begin()
{
    if (isStopped_) {
        return;
    }
    ++pending_;
    send(std::make_shared<Stream>(
        Stream { .id = "s" + std::to_string(++streams_), .begunAt = harness_.loop().clock().now() }));
}

void StreamCallers::send(const std::shared_ptr<Stream> &stream)
{
    const std::size_t vm = random_.below(vms_);
    const bool isResumed = stream->lastEvent > 0;
    ++stream->tries;
    stream->hasNewEvents = false;
    stream->counted = nullptr;
    const bool isInTouch = harness_.loop().clock().now() >= disturbedAt_(vm) + settleTime;
    if (isInTouch && (!isResumed || stream->begunAt < disturbedAt_(vm))) {
        stream->counted = isResumed ? &takenUp_ : &begun_;
        ++stream->counted->sent;
    }
    platform_standin::RequestSpec spec { .id = stream->id,
                                         .apiKey = gateway_test::key,
                                         .callerTimeout = callerTimeout };
    if (isResumed) {
        spec.id += "-" + std::to_string(stream->tries);
        spec.resumedRequest = stream->id;
        spec.lastEventId = std::to_string(stream->lastEvent);
    }
    net::HttpCall call;
    call.address = harness_.callersAddress(vm);
    call.method = "POST";
    call.target = "/resumable/x";
    call.headers = platform_standin::requestHeaders(spec);
    call.body = "body of " + stream->id;
    auto parser = std::make_shared<net::SseParser>();
    auto status = std::make_shared<int>(0);
    net::HttpHandlers handlers;
    handlers.onHead = [status](const net::HttpHead &head) { *status = head.status; };
    handlers.onBody = [this, parser, status, stream](std::string_view bytes) {
        if (*status != net::status::ok) {
            return;
        }
        if (const auto events = parser->feed(bytes)) {
            for (const auto &event : events.value()) {
                takeEvent(*stream, event);
            }
        }
    };
    handlers.onDone = [this, status, stream](const net::HttpEnd &end) {
        endTry(stream, *status == net::status::ok && !end.error);
    };
    client_.start(std::move(call), { callerTimeout, callerTimeout, callerTimeout, 2 * callerTimeout }, handlers);
}

void StreamCallers::takeEvent(Stream &stream, const net::SseEvent &event)
{
    std::istringstream text(event.data);
    std::string id;
    std::string version;
    int number = 0;
    text >> id >> number >> version;
    if (id != stream.id || number != stream.lastEvent + 1 || (!stream.version.empty() && version != stream.version)) {
        broken_.push_back("ORDER: " + stream.id + " got '" + event.data + "' after " + std::to_string(stream.lastEvent)
                          + " of " + stream.version);
    }
    if (!std::exchange(stream.hasNewEvents, true) && stream.counted != nullptr) {
        ++stream.counted->succeeded;
    }
    stream.lastEvent = number;
    stream.version = version;
}

/** Takes a stream up again that has broken off, once; a try that brought events is followed by another one. */
void StreamCallers::endTry(const std::shared_ptr<Stream> &stream, bool isComplete)
{
    const bool isTakenUp = !isComplete && stream->lastEvent > 0 && stream->hasNewEvents;
    const Time due =
        harness_.loop().clock().now() + Duration(std::int64_t(random_.below(std::uint64_t(longestPause.count()))));
    if (!isTakenUp) {
        --pending_;
    }
    harness_.loop().timers().once(due, [this, stream, isTakenUp](Time) {
        if (isTakenUp) {
            send(stream);
        } else {
            begin();
        }
    });
}

} // namespace lacewing::soak
