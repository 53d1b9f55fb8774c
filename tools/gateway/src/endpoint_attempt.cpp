#include "endpoint_attempt.h"

namespace lacewing::gateway
{
namespace
{

/** Time limit for connecting to an endpoint; connections within a region take a few ms. */
constexpr Duration connectTimeout = 400ms;

} // namespace

EndpointAttempt::EndpointAttempt(RequestContext &shared,
                                 routing::EndpointEntry endpoint,
                                 const RequestCost &cost,
                                 AttemptHandlers handlers)
    : Attempt(shared, std::move(endpoint), std::move(handlers))
    , cost_(cost)
{
}

void EndpointAttempt::start(net::HttpCall call)
{
    send_ = shared_.loadBalancer.onSendStarted(endpoint_, cost_.work, startedAt_);
    isReading_ = true;
    shared_.reachability.onSent(endpoint_);
    hasVersionCondition_ = userplatform::hasVersionCondition(call.headers);
    net::HttpHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onConnected = [weak] {
        if (const auto self = weak.lock()) {
            self->shared_.reachability.onConnected(self->endpoint_);
        }
    };
    handlers.onHead = [weak](const net::HttpHead &head) {
        if (const auto self = weak.lock()) {
            self->handleHead(head);
        }
    };
    handlers.onBody = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->shared_.reachability.onReceived();
            self->forwardBody(bytes);
        }
    };
    handlers.onDone = [weak](const net::HttpEnd &end) {
        if (const auto self = weak.lock()) {
            self->handleEnd(end);
        }
    };
    handlers.onLateHead = [&shared = shared_, endpoint = endpoint_, sentAt = startedAt_](const net::HttpHead &head) {
        const auto response = userplatform::parseResponseMetadata(head);
        shared.decisionLog.write("answer not awaited",
                                 { { "endpoint", endpoint.id },
                                   { "status", head.status },
                                   { "quiet_ms", response.quietTime ? toMilliseconds(*response.quietTime) : -1 } },
                                 shared.context.now());
        shared.notices.handleResponse(endpoint, response, sentAt);
    };
    call_ = shared_.client.start(std::move(call), { connectTimeout, 0s, 0s, 0s }, std::move(handlers));
}

void EndpointAttempt::completeWork()
{
    const Time now = shared_.context.now();
    if (std::exchange(isReading_, false)) {
        shared_.loadBalancer.releaseReading(endpoint_.id, send_, now);
        if (timeToFirstByte_) {
            learn(now - startedAt_);
        }
    }
}

/** Learns from an answer that has begun. @param took until its first byte */
void EndpointAttempt::learn(Duration took)
{
    if (!isSuccess() || !facts_.hasReceipt || std::exchange(isLearned_, true)) {
        return;
    }
    shared_.recordEstimate(endpoint_.service, toSeconds(took) * 1000 / send_.expectedMs);
    const double workMs = shared_.loadBalancer.onAnswered(endpoint_.id, send_, took, shared_.context.now());
    if (cost_.isGeneration) {
        shared_.costs.recordPrompt(endpoint_.service, cost_.unreadTokens, cost_.sharedTokens, workMs);
    } else {
        shared_.costs.record(cost_.requestClass, workMs);
    }
}

void EndpointAttempt::close(dispatch::SendOutcome outcome)
{
    if (!isOpen_) {
        return;
    }
    isOpen_ = false;
    shared_.reachability.onEnded();
    if (call_ != net::HttpCallHandle()) {
        shared_.client.cancel(std::exchange(call_, {}));
    }
    if (isReading_) {
        isReading_ = false;
        shared_.loadBalancer.releaseReading(endpoint_.id, send_, shared_.context.now());
        if (timeToFirstByte_ && outcome == dispatch::SendOutcome::Answered) {
            learn(*timeToFirstByte_);
        }
    }
    shared_.loadBalancer.onSendEnded(endpoint_.id, send_, outcome, shared_.context.now());
}

void EndpointAttempt::handleHead(const net::HttpHead &head)
{
    recordHead(head);
    shared_.reachability.onReceived();
    if (facts_.load) {
        shared_.loadBalancer.onLoadReported(endpoint_.id, *facts_.load, shared_.context.now());
    }
    shared_.notices.handleResponse(endpoint_, facts_, startedAt_);
    if (isAtWrongEndpoint()) {
        shared_.state.endpoints().exclude(endpoint_.id);
    }
    handlers_.onHead();
}

void EndpointAttempt::handleEnd(const net::HttpEnd &end)
{
    call_ = {};
    connection_ = end.connection;
    earlierCalls_ = end.earlierCalls;
    if (end.error && end.error->kind == ErrorKind::Unreachable) {
        shared_.reachability.onConnectFailed(endpoint_);
    }
    if (isOpen_) {
        handlers_.onEnd(end);
    }
}

} // namespace lacewing::gateway
