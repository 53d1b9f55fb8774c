#include "link.h"

namespace lacewing::peer
{

using boost::system::error_code;

namespace
{

/** Bytes handed to the network at a time. */
constexpr std::size_t writeBytes = 1 << 16;
/** A check that runs later than this shows that this process was paused; the other side gets the time again. */
constexpr Duration pauseTolerance = std::chrono::milliseconds(100);

} // namespace

Link::Link(const LinkContext &context, Session::Role role, std::shared_ptr<Transport> transport)
    : context_(context)
    , transport_(std::move(transport))
    , session_(role, context.options.maxStreams())
    , lastReceived_(now())
    , lastSent_(now())
{
}

Time Link::now() const
{
    return context_.loop.clock().now();
}

void Link::connect(const Tcp::endpoint &endpoint, LinkOwner &owner)
{
    owner_ = &owner;
    armTimer(now() + context_.options.connectTime());
    transport_->connect(endpoint, [self = shared_from_this()](const error_code &error) { self->setupDone(error); });
}

void Link::accept(LinkOwner &owner)
{
    owner_ = &owner;
    armTimer(now() + context_.options.connectTime());
    transport_->accept([self = shared_from_this()](const error_code &error) { self->setupDone(error); });
}

void Link::close()
{
    if (!isClosed_) {
        isClosed_ = true;
        context_.loop.timers().cancel(timer_);
        transport_->close();
    }
}

void Link::fail(const Error &error)
{
    if (isClosed_) {
        return;
    }
    const auto self = shared_from_this();
    close();
    owner_->linkClosed(error);
}

void Link::setupDone(const error_code &error)
{
    if (isClosed_) {
        return;
    }
    if (error) {
        fail({ ErrorKind::Unreachable, error.message() });
        return;
    }
    scheduleFlush();
    readMore();
}

void Link::readMore()
{
    transport_->read(
        [self = shared_from_this()](const error_code &error, std::string_view bytes) { self->received(error, bytes); });
}

void Link::received(const error_code &error, std::string_view bytes)
{
    if (isClosed_) {
        return;
    }
    if (error) {
        fail({ isReady_ ? ErrorKind::ConnectionLost : ErrorKind::Unreachable, error.message() });
        return;
    }
    lastReceived_ = now();
    context_.counters.bytesReceived += bytes.size();
    const auto result = session_.receive(bytes);
    deliverEvents();
    if (isClosed_) {
        return;
    }
    if (!result) {
        ++context_.counters.malformed;
        fail(result.error());
        return;
    }
    scheduleFlush();
    readMore();
}

void Link::deliverEvents()
{
    for (auto &event : session_.takeEvents()) {
        if (isClosed_) {
            return;
        }
        deliver(std::move(event));
    }
}

void Link::deliver(SessionEvent event)
{
    if (std::holds_alternative<SettingsReceived>(event)) {
        if (!isReady_) {
            isReady_ = true;
            context_.loop.timers().cancel(std::exchange(timer_, {}));
            owner_->linkReady();
        }
        return;
    }
    if (std::holds_alternative<PongReceived>(event)) {
        isProbing_ = false;
    }
    owner_->linkEvent(std::move(event));
}

void Link::scheduleFlush()
{
    if (isClosed_ || isFlushScheduled_) {
        return;
    }
    isFlushScheduled_ = true;
    context_.loop.post([self = shared_from_this()] {
        self->isFlushScheduled_ = false;
        self->flush();
    });
}

void Link::flush()
{
    if (isClosed_ || isWriting_) {
        return;
    }
    auto output = session_.takeOutput(writeBytes);
    deliverEvents();
    if (isClosed_) {
        return;
    }
    if (output.empty()) {
        outputSent();
        return;
    }
    isWriting_ = true;
    lastSent_ = now();
    context_.counters.bytesSent += output.size();
    transport_->write(std::move(output), [self = shared_from_this()](const error_code &error) {
        self->isWriting_ = false;
        if (error) {
            self->fail({ self->isReady_ ? ErrorKind::ConnectionLost : ErrorKind::Unreachable, error.message() });
            return;
        }
        self->flush();
    });
    watch();
}

void Link::outputSent()
{
    if (session_.isBroken()) {
        ++context_.counters.malformed;
        fail({ ErrorKind::Malformed, "HTTP/2 connection error" });
        return;
    }
    owner_->linkFlushed();
}

bool Link::isStale() const
{
    return now() - lastReceived_ >= context_.options.pingAfter();
}

void Link::probe()
{
    if (isProbing_ || isClosed_) {
        return;
    }
    isProbing_ = true;
    ++context_.counters.pings;
    session_.ping();
    scheduleFlush();
    probeDeadline_ = now() + context_.options.pingDeadline();
    armTimer(probeDeadline_);
}

void Link::watch()
{
    if (isReady_ && !isClosed_ && timer_ == TimerHandle() && owner_->isLinkBusy()) {
        armTimer(std::max(lastReceived_ + context_.options.pingAfter(), now()));
    }
}

void Link::armTimer(Time due)
{
    auto &timers = context_.loop.timers();
    timers.cancel(timer_);
    timerDue_ = due;
    // Weak: a link that is no longer used need not stay until its timer fires.
    timer_ = timers.once(due, [weak = weak_from_this()](Time firedAt) {
        if (const auto self = weak.lock()) {
            self->timer_ = {};
            self->checkLiveness(firedAt);
        }
    });
}

void Link::checkLiveness(Time firedAt)
{
    if (isClosed_) {
        return;
    }
    if (!isReady_) {
        fail({ ErrorKind::Unreachable, "set-up took too long" });
        return;
    }
    if (isProbing_) {
        if (firedAt - timerDue_ > pauseTolerance) {
            armTimer(firedAt + context_.options.pingDeadline());
            return;
        }
        // A long answer may keep the PONG waiting; the link lives as long as anything comes.
        if (const auto due = lastReceived_ + context_.options.pingDeadline(); due > firedAt) {
            armTimer(due);
            return;
        }
        ++context_.counters.silentLinks;
        fail({ ErrorKind::Silent, "no answer to a PING" });
        return;
    }
    if (!owner_->isLinkBusy()) {
        return;
    }
    if (isStale()) {
        probe();
    } else {
        armTimer(lastReceived_ + context_.options.pingAfter());
    }
}

} // namespace lacewing::peer
