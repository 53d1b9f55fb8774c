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
                                 double workMs,
                                 AttemptHandlers handlers)
    : Attempt(shared, std::move(endpoint), std::move(handlers))
    , workMs_(workMs)
{
}

void EndpointAttempt::start(net::HttpCall call)
{
    shared_.loadBalancer.onSendStarted(endpoint_.id, workMs_, startedAt_);
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
    shared_.loadBalancer.releasePendingWork(endpoint_.id, std::exchange(workMs_, 0));
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
    completeWork();
    shared_.loadBalancer.onSendEnded(endpoint_.id, outcome, timeToFirstByte_, shared_.context.now());
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
