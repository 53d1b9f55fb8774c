#include "endpoint_attempt.h"

namespace lacewing::gateway
{
namespace
{

constexpr int firstFailureStatus = 300;

/** Wait for a connection to an endpoint; links within a region take a few ms. */
constexpr Duration connectLimit = 400ms;

} // namespace

EndpointSend::EndpointSend(RunShared &shared, routing::EndpointEntry endpoint, double workMs, SendHandlers handlers)
    : shared_(shared)
    , endpoint_(std::move(endpoint))
    , workMs_(workMs)
    , handlers_(std::move(handlers))
{
}

void EndpointSend::start(net::HttpCall call)
{
    startedAt_ = shared_.context.now();
    shared_.chooser.sendStarted(endpoint_.id, workMs_, startedAt_);
    net::HttpHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onHead = [weak](const net::HttpHead &head) {
        if (const auto self = weak.lock()) {
            self->headReceived(head);
        }
    };
    handlers.onBody = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->handlers_.onBody(bytes);
        }
    };
    handlers.onDone = [weak](const net::HttpEnd &end) {
        if (const auto self = weak.lock()) {
            self->ended(end);
        }
    };
    call_ = shared_.client.start(std::move(call), { connectLimit, 0s, 0s, 0s }, std::move(handlers));
}

void EndpointSend::workDone()
{
    shared_.chooser.workDone(endpoint_.id, std::exchange(workMs_, 0));
}

void EndpointSend::close(dispatch::SendOutcome outcome)
{
    if (!open_) {
        return;
    }
    open_ = false;
    if (call_ != net::HttpCallHandle()) {
        shared_.client.cancel(std::exchange(call_, {}));
    }
    workDone();
    shared_.chooser.sendEnded(endpoint_.id, outcome, firstByte_, shared_.context.now());
}

bool EndpointSend::isSuccess() const noexcept
{
    return head_.status >= net::status::ok && head_.status < firstFailureStatus;
}

bool EndpointSend::isGenuine(const stages::RequestId &request) const
{
    return isSuccess() && facts_.isSealed && facts_.requestId == request.text();
}

void EndpointSend::headReceived(const net::HttpHead &head)
{
    head_ = head;
    facts_ = userplatform::readAnswerFacts(head);
    firstByte_ = shared_.context.now() - startedAt_;
    if (facts_.load) {
        shared_.chooser.loadReported(endpoint_.id, *facts_.load, shared_.context.now());
    }
    if (facts_.isOtherEndpoint) {
        shared_.state.endpoints().reject(endpoint_.id);
    }
    handlers_.onHead();
}

void EndpointSend::ended(const net::HttpEnd &end)
{
    call_ = {};
    if (open_) {
        handlers_.onEnd(end);
    }
}

} // namespace lacewing::gateway
