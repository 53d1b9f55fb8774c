#include "relayed_attempt.h"

namespace lacewing::gateway
{
namespace
{

/** Time limit for a link to the VM. */
constexpr Duration linkTimeout = 300ms;
/** Time within which the VM says that it sends the request. */
constexpr Duration sentTimeout = 500ms;

} // namespace

RelayedAttempt::RelayedAttempt(RequestContext &shared, VmId relay, AttemptHandlers handlers)
    : Attempt(shared, {}, std::move(handlers))
    , relay_(std::move(relay))
{
}

void RelayedAttempt::start(const RelayRequest &request, MemoryReservation memory)
{
    memory_ = std::move(memory);
    service_ = request.service;
    hasVersionCondition_ = userplatform::hasVersionCondition(toHeaders(request.headers));
    shared_.relays.onStarted(relay_);
    const auto weak = weak_from_this();
    peer::CallHandlers handlers;
    handlers.onData = [weak](const std::string &message) {
        if (const auto self = weak.lock()) {
            self->handleEvent(message);
        }
    };
    handlers.onEnd = [weak] {
        if (const auto self = weak.lock()) {
            self->call_ = {};
            self->end(Error { ErrorKind::ConnectionLost, "relay ended the response early" }, true);
        }
    };
    handlers.onFailed = [weak](const Error &error, bool sent) {
        if (const auto self = weak.lock()) {
            self->call_ = {};
            self->end(Error { sent ? ErrorKind::ConnectionLost : ErrorKind::Unreachable, "relay: " + error.detail },
                      sent);
        }
    };
    call_ = shared_.links.call(
        relay_, encodeMessage(MessageKind::Relay, request), { linkTimeout, sentTimeout, 0s, 0s }, std::move(handlers));
}

void RelayedAttempt::close(dispatch::SendOutcome)
{
    if (!isOpen_) {
        return;
    }
    isOpen_ = false;
    memory_.release();
    shared_.relays.onEnded(relay_);
    if (call_ != peer::PeerCallHandle()) {
        shared_.links.cancel(std::exchange(call_, {}));
    }
}

void RelayedAttempt::handleEvent(const std::string &message)
{
    auto decoded = wire::decode<RelayEvent>(message);
    if (!decoded) {
        shared_.context.logger.warn("malformed relay event", { { "vm", relay_ }, { "error", decoded.error().detail } });
        end(Error { ErrorKind::Malformed, "relay: malformed event" }, true);
        return;
    }
    RelayEvent &event = decoded.value();
    if (event.refusal) {
        handleRefusal(*event.refusal);
    } else if (event.sent) {
        handleSent(*event.sent);
    } else if (event.head) {
        handleHead(std::move(*event.head));
    } else if (event.end) {
        const auto &message = *event.end;
        end(message.error ? std::optional(Error { *message.error, message.detail }) : std::nullopt,
            message.requestWritten);
    } else if (isOpen_) {
        forwardBody(event.body);
    }
}

void RelayedAttempt::handleRefusal(const RelayRefusalMessage &refusal)
{
    if (refusal.isServiceUnreachable) {
        shared_.relays.onServiceUnreachable(relay_, service_);
    }
    end(Error { ErrorKind::Unreachable, "relay: " + refusal.reason }, false);
}

void RelayedAttempt::handleSent(const RelaySentMessage &sent)
{
    const routing::EndpointLifetime lifetime { EndpointId(sent.endpoint), Incarnation(sent.incarnation) };
    const auto *known = shared_.state.endpoints().find(lifetime.endpoint);
    if (known != nullptr && known->lifetime() == lifetime) {
        endpoint_ = *known;
    }
    endpoint_.id = lifetime.endpoint;
    endpoint_.incarnation = lifetime.incarnation;
    endpoint_.service = service_;
    endpoint_.zone = AvailabilityZoneId(sent.zone);
    endpoint_.softwareVersion = sent.softwareVersion;
}

void RelayedAttempt::handleHead(RelayHeadMessage message)
{
    recordHead({ message.status, toHeaders(std::move(message.headers)), message.framing });
    // A quiet time holds for the VM that the endpoint answered, and that VM tells of a rejection.
    auto forAllVms = facts_;
    forAllVms.quietTime.reset();
    forAllVms.lacksRoom = false;
    shared_.notices.handleResponse(endpoint_, forAllVms, startedAt_);
    if (isAtWrongEndpoint()) {
        shared_.state.endpoints().exclude(endpoint_.id);
    }
    if (isOpen_) {
        handlers_.onHead();
    }
}

void RelayedAttempt::end(std::optional<Error> error, bool requestWritten)
{
    if (isOpen_) {
        handlers_.onEnd({ std::move(error), requestWritten, timeToFirstByte_.has_value() });
    }
}

} // namespace lacewing::gateway
