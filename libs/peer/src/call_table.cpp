#include "call_table.h"

namespace lacewing::peer
{

CallTable::~CallTable()
{
    for (const auto &[handle, call] : calls_) {
        call->isDone = true;
        context_.loop.timers().cancel(call->timer);
    }
}

Time CallTable::now() const
{
    return context_.loop.clock().now();
}

CallPtr CallTable::add(std::string request, CallLimits limits, CallHandlers handlers)
{
    lastHandle_ = lastHandle_.next();
    auto call = std::make_shared<Call>(lastHandle_, std::move(request), limits, std::move(handlers));
    call->startedAt = now();
    calls_.emplace(call->handle, call);
    ++context_.counters.calls;
    arm(call);
    return call;
}

void CallTable::markSent(Call &call)
{
    call.isSent = true;
    call.sentAt = now();
}

void CallTable::markData(Call &call)
{
    call.hasData = true;
    call.lastDataAt = now();
}

CallTable::NextLimit CallTable::nextLimit(const Call &call)
{
    NextLimit next;
    const auto consider = [&](Time from, Duration limit, ErrorKind kind, const char *detail) {
        if (limit > Duration::zero() && from + limit < next.due) {
            next = { from + limit, { kind, detail } };
        }
    };
    consider(call.startedAt, call.limits.total, ErrorKind::Timeout, "total limit");
    if (!call.isSent) {
        consider(call.startedAt, call.limits.connect, ErrorKind::Timeout, "connect limit");
    } else if (!call.hasData) {
        consider(call.sentAt, call.limits.firstByte, ErrorKind::Silent, "first-byte limit");
    } else {
        consider(call.lastDataAt, call.limits.nextByte, ErrorKind::Silent, "next-byte limit");
    }
    return next;
}

void CallTable::arm(const CallPtr &call)
{
    const auto next = nextLimit(*call);
    // Limits move with each piece of the answer; the timer looks again at least as often as the shortest one.
    auto due = next.due;
    if (call->limits.firstByte > Duration::zero()) {
        due = std::min(due, now() + call->limits.firstByte);
    }
    if (call->limits.nextByte > Duration::zero()) {
        due = std::min(due, now() + call->limits.nextByte);
    }
    if (due == Time::max()) {
        return;
    }
    call->timer = context_.loop.timers().once(due, [this, weak = std::weak_ptr(call)](Time firedAt) {
        if (const auto held = weak.lock()) {
            checkLimits(held, firedAt);
        }
    });
}

void CallTable::checkLimits(const CallPtr &call, Time firedAt)
{
    const auto next = nextLimit(*call);
    if (next.due <= firedAt) {
        fail(call, next.error, call->isSent);
    } else {
        arm(call);
    }
}

void CallTable::finish(const CallPtr &call)
{
    call->isDone = true;
    context_.loop.timers().cancel(call->timer);
    calls_.erase(call->handle);
    if (auto release = std::exchange(call->release, {})) {
        release();
    }
}

void CallTable::end(const CallPtr &call)
{
    if (call->isDone) {
        return;
    }
    finish(call);
    ++context_.counters.callsEnded;
    if (call->handlers.onEnd) {
        call->handlers.onEnd();
    }
}

void CallTable::fail(const CallPtr &call, const Error &error, bool sent)
{
    if (call->isDone) {
        return;
    }
    finish(call);
    ++context_.counters.callsFailed;
    if (call->handlers.onFailed) {
        call->handlers.onFailed(error, sent);
    }
}

void CallTable::failLater(const CallPtr &call, Error error, bool sent)
{
    context_.loop.post([weak = weak_from_this(), call, error = std::move(error), sent] {
        if (const auto self = weak.lock()) {
            self->fail(call, error, sent);
        }
    });
}

void CallTable::cancel(PeerCallHandle handle)
{
    const auto found = calls_.find(handle);
    if (found != calls_.end()) {
        const auto call = found->second;
        finish(call);
        ++context_.counters.callsCancelled;
    }
}

} // namespace lacewing::peer
