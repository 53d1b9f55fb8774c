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

} // namespace

ClientCall::ClientCall(EventLoop &loop,
                       ClientPool &pool,
                       HttpCallHandle handle,
                       HttpCall call,
                       HttpLimits limits,
                       HttpHandlers handlers,
                       OnEnd onEnd)
    : loop_(loop)
    , pool_(pool)
    , handle_(handle)
    , call_(std::move(call))
    , limits_(limits)
    , handlers_(std::move(handlers))
    , onEnd_(std::move(onEnd))
{
}

void ClientCall::start()
{
    startedAt_ = progressAt_ = loop_.clock().now();
    if (!isSafe(call_) || !parseAddress(call_.address)) {
        endLater({ ErrorKind::InvalidArgument, "the request can't be written" });
        return;
    }
    connection_ = call_.connectOnly ? nullptr : pool_.takeIdle(call_.address, call_.repeatable);
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
    std::string request = requestHead(call_, pool_.options().defaultHeaders());
    request += call_.body;
    connection_->send(std::move(request), call_.method == "HEAD", call_.echo, *this);
    armTimer();
}

void ClientCall::progressed()
{
    phase_ = Phase::Receiving;
    progressAt_ = loop_.clock().now();
    armTimer();
}

void ClientCall::received(const HttpHead &head)
{
    const auto self = shared_from_this(); // the handler may cancel the call
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

void ClientCall::completed(bool reusable)
{
    written_ = true;
    const auto connection = std::exchange(connection_, nullptr);
    if (reusable) {
        pool_.giveBack(connection);
    } else {
        pool_.discard(connection);
    }
    end(std::nullopt);
}

void ClientCall::failed(Error error)
{
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

void ClientCall::end(std::optional<Error> error)
{
    const auto self = onEnd_(handle_);
    const bool silent = error && (error->kind == ErrorKind::Silent || error->kind == ErrorKind::Timeout);
    if (silent && pooled_ && phase_ == Phase::Waiting) {
        pool_.closeIdle(call_.address); // what silenced this connection may have silenced the others
    }
    HttpEnd result { std::move(error), written_, headReceived_ };
    if (connection_) {
        result.requestWritten = written_ || connection_->mayHaveWritten();
    }
    giveUp();
    count(result.error);
    if (handlers_.onDone) {
        handlers_.onDone(result);
    }
}

void ClientCall::endLater(Error error)
{
    loop_.post([self = shared_from_this(), error = std::move(error)] {
        if (self->phase_ != Phase::Ended) {
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
    if (phase_ == Phase::Ended) {
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
