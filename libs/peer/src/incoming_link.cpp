#include "incoming_link.h"

#include "identity.h"

namespace lacewing::peer
{

namespace
{

constexpr std::string_view messagePath = "/message";
constexpr std::string_view callPath = "/call";
/** Requests that one link may have half received, in multiples of the largest request. */
constexpr std::size_t bufferedRequests = 4;
/** An incoming link is swept at this multiple of the idle time, after which the other side would have closed it. */
constexpr int incomingIdleFactor = 2;

} // namespace

IncomingLink::IncomingLink(const IncomingContext &context, std::shared_ptr<Transport> transport)
    : context_(context)
    , link_(std::make_shared<Link>(context.link, Session::Role::Server, std::move(transport)))
{
    ++context_.link.counters.incomingLinks;
}

IncomingLink::~IncomingLink()
{
    link_->close();
    --context_.link.counters.incomingLinks;
}

void IncomingLink::accept()
{
    link_->accept(*this);
}

void IncomingLink::announceGoAway()
{
    isGoingAway_ = true;
    link_->session().announceGoAway();
    link_->scheduleFlush();
    link_->watch();
}

void IncomingLink::sweep()
{
    const auto idle = context_.link.loop.clock().now() - link_->lastTraffic();
    if (link_->isReady() && !isLinkBusy() && idle >= incomingIdleFactor * context_.link.options.idleTime()) {
        link_->close();
        linkClosed({ ErrorKind::Silent, "idle" });
    }
}

bool IncomingLink::isLinkBusy() const
{
    return runningCalls_ > 0 || isGoingAway_;
}

void IncomingLink::linkReady()
{
    ++context_.link.counters.accepted;
    if (isGoingAway_) {
        link_->watch();
    }
}

void IncomingLink::linkClosed(const Error &)
{
    const auto self = shared_from_this();
    if (!link_->wasReady()) {
        ++context_.link.counters.refused;
    } else if (runningCalls_ > 0) {
        ++context_.link.counters.lostLinks;
    }
    runningCalls_ = 0;
    auto streams = std::exchange(streams_, {});
    context_.linkGone(*this);
    for (auto &[id, stream] : streams) {
        if (const auto *call = std::get_if<RunningCall>(&stream)) {
            call->exchange->lost();
        }
    }
}

void IncomingLink::linkFlushed()
{
    auto waiting = std::exchange(awaitingDrain_, {});
    for (auto &exchange : waiting) {
        if (!exchange->drained()) {
            awaitingDrain_.push_back(std::move(exchange));
        }
    }
}

void IncomingLink::awaitDrain(std::shared_ptr<PeerCallWriter::Exchange> exchange)
{
    if (std::find(awaitingDrain_.begin(), awaitingDrain_.end(), exchange) == awaitingDrain_.end()) {
        awaitingDrain_.push_back(std::move(exchange));
    }
}

void IncomingLink::linkEvent(SessionEvent event)
{
    const auto self = shared_from_this();
    std::visit([this](auto &held) { handle(held); }, event);
}

void IncomingLink::handle(StreamOpened &event)
{
    const auto path = net::findHeader(event.headers, ":path");
    const auto identity = parseIdentity(event.headers);
    if (!identity || net::findHeader(event.headers, ":method") != "POST") {
        rejectStream(event.stream);
        return;
    }
    if (path == messagePath) {
        const FrameReader reader(context_.link.options.maxMessageBytes());
        streams_.emplace(event.stream, MessageStream { identity.value(), reader });
    } else if (path == callPath) {
        streams_.emplace(event.stream, IncomingRequest { identity.value(), {} });
    } else {
        rejectStream(event.stream);
    }
}

/** Refuses a stream that no handler was told of. */
void IncomingLink::rejectStream(StreamId id)
{
    ++context_.link.counters.malformed;
    streams_.erase(id);
    link_->session().refuse(id);
    link_->scheduleFlush();
}

void IncomingLink::handle(StreamBytes &event)
{
    const auto found = streams_.find(event.stream);
    if (found == streams_.end()) {
        return;
    }
    if (auto *messages = std::get_if<MessageStream>(&found->second)) {
        takeMessages(event.stream, *messages, event.bytes);
    } else if (auto *request = std::get_if<IncomingRequest>(&found->second)) {
        takeRequest(event.stream, *request, event.bytes);
    }
}

void IncomingLink::takeMessages(StreamId id, MessageStream &stream, std::string_view bytes)
{
    auto frames = stream.reader.feed(bytes);
    if (!frames) {
        rejectStream(id);
        return;
    }
    const auto from = stream.from;
    for (auto &frame : frames.value()) {
        if (frame.type != FrameType::Data) {
            rejectStream(id);
            return;
        }
        ++context_.link.counters.messagesReceived;
        if (context_.handlers.onMessage) {
            context_.handlers.onMessage(from, std::move(frame.payload));
        }
    }
}

void IncomingLink::takeRequest(StreamId id, IncomingRequest &request, std::string_view bytes)
{
    const auto bound = context_.link.options.maxMessageBytes();
    request.bytes += bytes;
    bufferedBytes_ += bytes.size();
    if (request.bytes.size() > bound || bufferedBytes_ > bufferedRequests * bound) {
        bufferedBytes_ -= request.bytes.size();
        rejectStream(id);
    }
}

void IncomingLink::handle(StreamEnded &event)
{
    const auto found = streams_.find(event.stream);
    if (found == streams_.end()) {
        return;
    }
    if (std::holds_alternative<MessageStream>(found->second)) {
        link_->session().respond(event.stream, { { ":status", "200" } });
        link_->session().finish(event.stream);
        link_->scheduleFlush();
    } else if (auto *request = std::get_if<IncomingRequest>(&found->second)) {
        startCall(event.stream, std::move(*request));
    }
}

void IncomingLink::startCall(StreamId id, IncomingRequest request)
{
    bufferedBytes_ -= request.bytes.size();
    ++context_.link.counters.callsReceived;
    ++runningCalls_;
    const auto exchange = std::make_shared<PeerCallWriter::Exchange>(weak_from_this(), id);
    streams_.insert_or_assign(id, RunningCall { exchange });
    link_->watch();
    if (context_.handlers.onCall) {
        context_.handlers.onCall(request.from, PeerCallWriter(exchange), std::move(request.bytes));
    } else {
        exchange->finish(FrameType::Failure, failurePayload({ ErrorKind::Unavailable, "no calls are taken here" }));
    }
}

void IncomingLink::handle(StreamClosed &event)
{
    const auto stream = streams_.extract(event.stream);
    if (!stream) {
        return;
    }
    if (const auto *call = std::get_if<RunningCall>(&stream.mapped())) {
        --runningCalls_;
        call->exchange->lost();
    } else if (const auto *request = std::get_if<IncomingRequest>(&stream.mapped())) {
        bufferedBytes_ -= request->bytes.size();
    }
}

} // namespace lacewing::peer
