#include "client_call.h"

#include "http_text.h"

#include <algorithm>

namespace lacewing::net
{
namespace
{

/** The time at which a limit counted from `since` is reached; a limit of 0 is never reached. */
Time limitFrom(Time since, Duration limit) noexcept
{
    return limit > Duration::zero() ? since + limit : Time::max();
}

/** Time for which the head of an answer may arrive that is not awaited any more: several round trips of a region. */
constexpr Duration lateHeadTime = std::chrono::milliseconds(50);

} // namespace

ClientCall::ClientCall(EventLoop &loop,
                       ClientPool &pool,
                       HttpCallHandle handle,
                       HttpCall call,
                       HttpLimits limits,
                       HttpHandlers handlers,
                       OnEnd onEnd,
                       OnClosed onClosed)
    : loop_(loop)
    , pool_(pool)
    , handle_(handle)
    , call_(std::move(call))
    , limits_(limits)
    , handlers_(std::move(handlers))
    , onEnd_(std::move(onEnd))
    , onClosed_(std::move(onClosed))
{
}

void ClientCall::start()
{
    startedAt_ = progressAt_ = loop_.clock().now();
    if (!isSafe(call_) || !parseAddress(call_.address)) {
        endLater({ ErrorKind::InvalidArgument, "the request can't be written" });
        return;
    }
    // Without anything that identifies its response, a call would take a late copy of another one for it.
    const bool isIdentifiable = call_.echo || handlers_.isIdentified || !pool_.options().reuseOnlyIdentified();
    connection_ = call_.connectOnly || !isIdentifiable ? nullptr : pool_.takeIdle(call_);
    if (!connection_) {
        connectFresh();
        return;
    }
    pooled_ = true;
    ++pool_.counters().reused;
    sendRequest();
}

void ClientCall::connectFresh()
{
    connection_ = pool_.open(call_.address);
    if (!connection_) {
        endLater({ ErrorKind::TooMany, "bound on connections" });
        return;
    }
    pooled_ = false;
    phase_ = Phase::Connecting;
    progressAt_ = loop_.clock().now();
    connection_->connect(parseAddress(call_.address).value(), *this);
    armTimer();
}

void ClientCall::connected(const std::optional<Error> &error)
{
    if (error) {
        end(error);
        return;
    }
    ++pool_.counters().connects;
    const auto self = shared_from_this(); // the handler may cancel the call
    if (handlers_.onConnected) {
        handlers_.onConnected();
    }
    if (phase_ == Phase::Ended) {
        return;
    }
    if (call_.connectOnly) {
        pool_.giveBack(std::exchange(connection_, nullptr));
        end(std::nullopt);
        return;
    }
    sendRequest();
}

void ClientCall::sendRequest()
{
    phase_ = Phase::Waiting;
    progressAt_ = loop_.clock().now();
    connectionNumber_ = connection_->info().number;
    earlierCalls_ = connection_->callCount();
    connection_->send(
        requestHead(call_, pool_.options().defaultHeaders()), call_.body, call_.method == "HEAD", call_.echo, *this);
    armTimer();
}

void ClientCall::progressed()
{
    if (phase_ == Phase::Lingering) {
        return;
    }
    phase_ = Phase::Receiving;
    progressAt_ = loop_.clock().now();
    armTimer();
}

void ClientCall::received(const HttpHead &head)
{
    const auto self = shared_from_this(); // the handler may cancel the call
    if (phase_ == Phase::Lingering) {
        const auto onLateHead = std::move(handlers_.onLateHead);
        finishLingering();
        onLateHead(head);
        return;
    }
    headReceived_ = true;
    if (handlers_.onHead) {
        handlers_.onHead(head);
    }
}

void ClientCall::received(const std::string &body)
{
    const auto self = shared_from_this(); // the handler may cancel the call
    if (handlers_.onBody) {
        handlers_.onBody(body);
    }
}

void ClientCall::completed(CompletedResponse response)
{
    if (phase_ == Phase::Lingering) {
        finishLingering();
        return;
    }
    written_ = true;
    const auto connection = std::exchange(connection_, nullptr);
    response.isIdentified = isIdentified(*connection);
    response.isYoung = loop_.clock().now() < limitFrom(connection->openedAt(), pool_.options().maxAge());
    if (const auto reason = whyNotReusable(response)) {
        pool_.options().notify(ConnectionDiscarded { connection->info(), connection->status(), *reason });
        pool_.discard(connection);
    } else {
        pool_.giveBack(connection);
    }
    end(std::nullopt);
}

/** Returns whether the response, which is complete, certainly belongs to this call, or nobody asks for that. */
bool ClientCall::isIdentified(const ClientConnection &connection) const
{
    return !pool_.options().reuseOnlyIdentified() || connection.hasEcho()
        || (handlers_.isIdentified && handlers_.isIdentified(connection.info().number));
}

void ClientCall::failed(Error error)
{
    if (phase_ == Phase::Lingering) {
        finishLingering();
        return;
    }
    const bool resend = call_.resendWhenLost || (connection_ && !connection_->mayHaveWritten());
    if (mayRetry() && resend && error.kind == ErrorKind::ConnectionLost) {
        retryFresh();
        return;
    }
    end(std::move(error));
}

bool ClientCall::mayRetry() const noexcept
{
    return pooled_ && phase_ == Phase::Waiting && (call_.repeatable || !connection_->mayHaveWritten());
}

void ClientCall::retryFresh()
{
    ++pool_.counters().freshRetries;
    written_ = written_ || connection_->mayHaveWritten();
    pool_.abort(std::exchange(connection_, nullptr));
    pool_.closeIdle(call_.address);
    connectFresh();
}

void ClientCall::giveUp()
{
    phase_ = Phase::Ended;
    loop_.timers().cancel(timer_);
    pool_.abort(std::exchange(connection_, nullptr));
}

void ClientCall::cancel()
{
    const auto self = shared_from_this();
    closeConnection();
}

/** Closes the connection, unless the head of its answer may still be on its way and somebody wants to know it. */
void ClientCall::closeConnection()
{
    const bool mayBeAnswered = phase_ == Phase::Waiting && connection_ && connection_->isWritten();
    if (!mayBeAnswered || !handlers_.onLateHead) {
        giveUp();
        onClosed_(shared_from_this());
        return;
    }
    phase_ = Phase::Lingering;
    connection_->shutDownSending();
    loop_.timers().cancel(timer_);
    timer_ = loop_.timers().once(loop_.clock().now() + lateHeadTime, [weak = weak_from_this()](Time) {
        if (const auto self = weak.lock()) {
            self->finishLingering();
        }
    });
}

void ClientCall::finishLingering()
{
    const auto self = shared_from_this();
    giveUp();
    onClosed_(self);
}

void ClientCall::end(std::optional<Error> error)
{
    const auto self = onEnd_(handle_);
    const bool silent = error && (error->kind == ErrorKind::Silent || error->kind == ErrorKind::Timeout);
    if (silent && pooled_ && phase_ == Phase::Waiting) {
        pool_.closeIdle(call_.address); // what silenced this connection may have silenced the others
    }
    HttpEnd result { std::move(error), written_, headReceived_, connectionNumber_, earlierCalls_ };
    if (connection_) {
        result.requestWritten = written_ || connection_->mayHaveWritten();
    }
    if (silent) {
        closeConnection();
    } else {
        giveUp();
        onClosed_(self);
    }
    count(result.error);
    if (handlers_.onDone) {
        handlers_.onDone(result);
    }
}

void ClientCall::endLater(Error error)
{
    loop_.post([self = shared_from_this(), error = std::move(error)] {
        if (self->phase_ != Phase::Ended && self->phase_ != Phase::Lingering) {
            self->end(error);
        }
    });
}

void ClientCall::count(const std::optional<Error> &error)
{
    auto &counters = pool_.counters();
    if (!error) {
        ++counters.completed;
        return;
    }
    switch (error->kind) {
    case ErrorKind::Unreachable:
        ++counters.unreachable;
        break;
    case ErrorKind::Silent:
        ++counters.silent;
        break;
    case ErrorKind::ConnectionLost:
        ++counters.lost;
        break;
    case ErrorKind::Timeout:
        ++counters.timeouts;
        break;
    case ErrorKind::TooMany:
        ++counters.overBound;
        break;
    default:
        ++counters.malformed;
        break;
    }
}

Time ClientCall::deadline() const noexcept
{
    const Duration limit = phase_ == Phase::Connecting ? limits_.connect
        : phase_ == Phase::Waiting                     ? limits_.firstByte
                                                       : limits_.nextByte;
    return std::min(limitFrom(startedAt_, limits_.total), limitFrom(progressAt_, limit));
}

/** Makes sure that a timer fires at the deadline or before; one that fires early is set again. */
void ClientCall::armTimer()
{
    const Time due = deadline();
    const bool armed = timer_ != TimerHandle();
    if (due == Time::max() || (armed && timerDue_ <= due)) {
        return;
    }
    loop_.timers().cancel(timer_);
    timerDue_ = due;
    timer_ = loop_.timers().once(due, [weak = weak_from_this()](Time now) {
        if (const auto self = weak.lock()) {
            self->timerFired(now);
        }
    });
}

void ClientCall::timerFired(Time now)
{
    timer_ = TimerHandle();
    if (phase_ == Phase::Ended || phase_ == Phase::Lingering) {
        return;
    }
    if (now < deadline()) {
        armTimer();
        return;
    }
    if (now >= limitFrom(startedAt_, limits_.total)) {
        end(Error { ErrorKind::Timeout, "total time limit" });
    } else if (phase_ == Phase::Connecting) {
        end(Error { ErrorKind::Unreachable, "no connection within its time limit" });
    } else if (mayRetry() && (call_.resendWhenSilent || !connection_->mayHaveWritten())) {
        retryFresh();
    } else {
        end(Error { ErrorKind::Silent, "no byte within the time limit" });
    }
}

} // namespace lacewing::net
