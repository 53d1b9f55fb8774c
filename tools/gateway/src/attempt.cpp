#include "attempt.h"

namespace lacewing::gateway
{
namespace
{

constexpr int firstNonSuccessStatus = 300;

} // namespace

Attempt::Attempt(RequestContext &shared, routing::EndpointEntry endpoint, AttemptHandlers handlers)
    : shared_(shared)
    , endpoint_(std::move(endpoint))
    , handlers_(std::move(handlers))
    , startedAt_(shared.context.now())
    , lastByteAt_(startedAt_)
{
}

std::optional<Duration> Attempt::timeSinceFirstByte() const
{
    return timeToFirstByte_ ? std::optional(shared_.context.now() - startedAt_ - *timeToFirstByte_) : std::nullopt;
}

Duration Attempt::silence() const
{
    return shared_.context.now() - lastByteAt_;
}

bool Attempt::isSuccess() const noexcept
{
    return head_.status >= net::status::ok && head_.status < firstNonSuccessStatus;
}

bool Attempt::isAuthentic(const stages::RequestId &request) const
{
    return isSuccess() && facts_.hasReceipt && facts_.requestId == request.text();
}

dispatch::SendOutcome Attempt::outcome(const stages::RequestId &request) const
{
    if (!facts_.notRun) {
        return isAuthentic(request) ? dispatch::SendOutcome::Answered : dispatch::SendOutcome::Failed;
    }
    // An endpoint that says when it wants requests again is not to be avoided for longer.
    if (facts_.quietTime) {
        return dispatch::SendOutcome::Cancelled;
    }
    const bool lacksInputs = head_.status == net::status::conflict;
    return facts_.isMisdirected || lacksInputs ? dispatch::SendOutcome::Answered : dispatch::SendOutcome::Rejected;
}

dispatch::LostRequest Attempt::lostRequest(Fingerprint request,
                                           std::vector<dispatch::PromptPartId> sharedParts,
                                           bool mayBeComplete) const
{
    dispatch::LostRequest lost;
    lost.request = request;
    lost.sharedParts = std::move(sharedParts);
    lost.lostAt = shared_.context.now();
    if (timeToFirstByte_) {
        lost.answerBeganAt = startedAt_ + *timeToFirstByte_;
    }
    lost.mayBeComplete = mayBeComplete;
    return lost;
}

void Attempt::recordHead(const net::HttpHead &head)
{
    head_ = head;
    facts_ = userplatform::parseResponseMetadata(head);
    lastByteAt_ = shared_.context.now();
    timeToFirstByte_ = lastByteAt_ - startedAt_;
}

void Attempt::forwardBody(std::string_view bytes)
{
    lastByteAt_ = shared_.context.now();
    handlers_.onBody(bytes);
}

} // namespace lacewing::gateway
