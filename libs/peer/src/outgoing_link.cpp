#include "identity.h"
#include "route.h"

namespace lacewing::peer
{

namespace
{

constexpr std::string_view statusOk = "200";
/** Bytes of messages that wait within a link rather than in the bounded queue. */
constexpr std::size_t messageBufferBytes = 1 << 18;

} // namespace

OutgoingLink::OutgoingLink(Route &route, const RouteContext &context, std::string authority)
    : route_(route)
    , context_(context)
    , authority_(std::move(authority))
    , link_(std::make_shared<Link>(context.link,
                                   Session::Role::Client,
                                   std::make_shared<Transport>(context.link.loop.ioContext(), context.tls())))
{
    ++context_.link.counters.outgoingLinks;
}

OutgoingLink::~OutgoingLink()
{
    link_->close();
    --context_.link.counters.outgoingLinks;
}

void OutgoingLink::connect(const Tcp::endpoint &endpoint)
{
    link_->connect(endpoint, *this);
}

net::Headers OutgoingLink::requestHeaders(const char *path) const
{
    net::Headers headers { { ":method", "POST" },
                           { ":scheme", context_.link.options.isPlain() ? "http" : "https" },
                           { ":authority", authority_ },
                           { ":path", path } };
    const auto &identity = context_.link.identityHeaders;
    headers.insert(headers.end(), identity.begin(), identity.end());
    return headers;
}

bool OutgoingLink::hasRoomForCall() const
{
    // One stream is for messages.
    return calls_.size() + 1 < link_->session().remoteMaxStreams();
}

bool OutgoingLink::hasRoomForMessage() const
{
    return !messageStream_ || link_->session().pendingBytes(*messageStream_) < messageBufferBytes;
}

void OutgoingLink::start(const CallPtr &call)
{
    auto &session = link_->session();
    const auto stream = session.open(requestHeaders("/call"));
    if (!stream) {
        context_.calls.failLater(call, stream.error(), false);
        return;
    }
    session.append(stream.value(), std::exchange(call->request, {}));
    session.finish(stream.value());
    calls_.emplace(stream.value(), Running { call, FrameReader(context_.link.options.maxMessageBytes()) });
    context_.calls.markSent(*call);
    call->release = [this, id = stream.value()] {
        calls_.erase(id);
        link_->session().reset(id);
        link_->scheduleFlush();
    };
    link_->scheduleFlush();
    link_->watch();
}

void OutgoingLink::sendMessage(std::string_view message)
{
    auto &session = link_->session();
    if (!messageStream_) {
        const auto stream = session.open(requestHeaders("/message"));
        if (!stream) {
            ++context_.link.counters.messagesDropped;
            return;
        }
        messageStream_ = stream.value();
    }
    session.append(*messageStream_, toBytes(FrameType::Data, message));
    ++context_.link.counters.messagesSent;
    link_->scheduleFlush();
}

void OutgoingLink::finish()
{
    isFinishing_ = true;
    if (messageStream_) {
        link_->session().finish(*messageStream_);
    }
    link_->scheduleFlush();
}

void OutgoingLink::closeWhenDone()
{
    const bool hasMessages = messageStream_ && link_->session().pendingBytes(*messageStream_) > 0;
    if (isFinishing_ && calls_.empty() && !hasMessages) {
        const auto self = shared_from_this();
        link_->close();
        route_.linkIsGone(*this, { ErrorKind::Cancelled, "closed" }, true);
    }
}

void OutgoingLink::abort(const Error &error)
{
    link_->close();
    linkClosed(error);
}

bool OutgoingLink::isLinkBusy() const
{
    return !calls_.empty() || isFinishing_;
}

void OutgoingLink::linkReady()
{
    ++context_.link.counters.connects;
    route_.linkIsReady();
}

void OutgoingLink::linkFlushed()
{
    if (isFinishing_) {
        closeWhenDone();
    } else {
        route_.dispatch();
    }
}

void OutgoingLink::linkClosed(const Error &error)
{
    const auto self = shared_from_this();
    const bool wasReady = link_->wasReady();
    auto &counters = context_.link.counters;
    if (!wasReady) {
        ++counters.connectFailures;
    } else if (error.kind == ErrorKind::ConnectionLost && !calls_.empty()) {
        ++counters.lostLinks;
    }
    auto calls = std::exchange(calls_, {});
    route_.linkIsGone(*this, error, wasReady);
    for (auto &[stream, running] : calls) {
        running.call->release = {};
        context_.calls.fail(running.call, error, true);
    }
}

void OutgoingLink::linkEvent(SessionEvent event)
{
    const auto self = shared_from_this();
    std::visit([this](const auto &held) { handle(held); }, event);
}

void OutgoingLink::handle(const StreamOpened &event)
{
    const auto found = calls_.find(event.stream);
    if (found == calls_.end()) {
        return;
    }
    const auto call = found->second.call;
    const auto identity = parseIdentity(event.headers);
    if (net::findHeader(event.headers, ":status") != statusOk || !identity) {
        ++context_.link.counters.malformed;
        failStream(event.stream, { ErrorKind::Malformed, "answer without identity" }, true);
        return;
    }
    if (call->handlers.onAnswered) {
        call->handlers.onAnswered(identity.value());
    }
}

void OutgoingLink::handle(const StreamBytes &event)
{
    const auto found = calls_.find(event.stream);
    if (found == calls_.end()) {
        return;
    }
    const auto call = found->second.call;
    auto frames = found->second.reader.feed(event.bytes);
    if (!frames) {
        ++context_.link.counters.malformed;
        failStream(event.stream, frames.error(), true);
        return;
    }
    for (auto &frame : frames.value()) {
        if (call->isDone) {
            return;
        }
        if (frame.type != FrameType::Data) {
            // The other side ends the stream by itself.
            call->release = [this, stream = event.stream] { calls_.erase(stream); };
        }
        handleFrame(call, std::move(frame));
    }
}

void OutgoingLink::handleFrame(const CallPtr &call, Frame frame)
{
    switch (frame.type) {
    case FrameType::Data:
        context_.calls.markData(*call);
        if (call->handlers.onData) {
            call->handlers.onData(std::move(frame.payload));
        }
        return;
    case FrameType::End:
        context_.calls.end(call);
        return;
    case FrameType::Failure:
        context_.calls.fail(call, errorFromPayload(frame.payload), true);
        return;
    }
}

void OutgoingLink::handle(const StreamEnded &event)
{
    failStream(event.stream, { ErrorKind::ConnectionLost, "answer without its end" }, true);
}

void OutgoingLink::handle(const StreamClosed &event)
{
    if (messageStream_ == event.stream) {
        messageStream_.reset();
        return;
    }
    const auto running = calls_.extract(event.stream);
    if (running) {
        const auto call = running.mapped().call;
        call->release = {};
        const auto error = event.refused ? Error { ErrorKind::Refused, "declined by the other side" }
                                         : Error { ErrorKind::ConnectionLost, "stream closed" };
        context_.calls.fail(call, error, !event.refused);
    }
    if (isFinishing_) {
        link_->scheduleFlush();
    } else {
        route_.dispatch();
    }
}

void OutgoingLink::handle(const PongReceived &)
{
    if (!isFinishing_) {
        route_.dispatch();
    }
}

void OutgoingLink::handle(const GoAwayReceived &)
{
    if (!isFinishing_) {
        route_.linkTakesNoMore(*this);
    }
}

void OutgoingLink::failStream(StreamId stream, const Error &error, bool sent)
{
    const auto found = calls_.find(stream);
    if (found != calls_.end()) {
        const auto call = found->second.call;
        context_.calls.fail(call, error, sent);
    }
}

} // namespace lacewing::peer
