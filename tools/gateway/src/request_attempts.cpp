#include "endpoint_attempt.h"
#include "relayed_attempt.h"
#include "request_handler.h"

#include <memory/memory.h>

#include <algorithm>
#include <utility>

/** The part of RequestHandler that sends a request to endpoints and passes their answers on. */
namespace lacewing::gateway
{
namespace
{

using routing::RouteKind;

/** A request is not retried with less time than this left until its deadline. */
constexpr Duration minTimeToRetry = 60ms;
/** Limit on reruns of the stages of one request because an engine lacked their results. */
constexpr int maxMissingInputRetries = 2;
/** Urgency that engines assume when none is given; the rank of a request is added to it. */
constexpr int baseUrgency = 3;
/** A caller may measure its time limit from a little later than the request's arrival. */
constexpr Duration originMargin = 2s;
/** Time for which an origin is held at most, in timeouts of its route: that of the caller may be any number. */
constexpr int maxOriginTimeouts = 2;
constexpr int maxUrgency = 9;
/** VMs that are asked to send one request; more would hold it for too long. */
constexpr std::size_t maxRelays = 3;
/** Time without a byte after which an answer is no longer awaited from an endpoint that is out of reach. */
constexpr Duration minSilenceToRetry = 800ms;

} // namespace

void RequestHandler::dispatch()
{
    if (shared_.state.isConfirmationPending()) {
        awaitConfirmation();
        return;
    }
    phase_ = Phase::SelectingEndpoint;
    if (rejectIfQuarantined()) {
        return; // it was quarantined during its stages or its previous attempt
    }
    if (rejectIfStopping(shared_.dispatchTimes)) {
        return;
    }
    if (continuesStream() && !std::exchange(areEndpointsConfirmed_, false)) {
        confirmEndpoints();
    } else {
        selectAndSend();
    }
}

/** Dispatches the request once the view is confirmed, or nobody can: this process stood still meanwhile. */
void RequestHandler::awaitConfirmation()
{
    phase_ = Phase::ConfirmingEndpoints;
    shared_.state.onConfirmed([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->phase_ == Phase::ConfirmingEndpoints) {
            self->dispatch();
        }
    });
}

/** Returns whether the next attempt continues a stream, which only endpoints of its software version may do. */
bool RequestHandler::continuesStream() const noexcept
{
    return origin_ && (isBodyForwarded_ || isResumption());
}

/**
 * Has the endpoint registrations confirmed before a stream is continued. An endpoint may have started again under its
 * id with another software version, and this VM may have missed that while it stood still or was cut off.
 */
void RequestHandler::confirmEndpoints()
{
    phase_ = Phase::ConfirmingEndpoints;
    shared_.state.confirmEndpoints([weak = weak_from_this()](bool isCurrent) {
        const auto self = weak.lock();
        if (!self || self->phase_ != Phase::ConfirmingEndpoints) {
            return;
        }
        if (!isCurrent && self->shared_.state.isViewStalled()) {
            self->rejectOrFail("endpoints not confirmed after a stall", defaultRetryAfter);
            return;
        }
        self->selectAndSend();
    });
}

void RequestHandler::selectAndSend()
{
    phase_ = Phase::SelectingEndpoint;
    const auto *service = routes_->findService(service_);
    const auto results = stages_ ? stages_->resultBytes() : ResultBytes();
    if (shared_.reachability.isUnreachable(service_) || shared_.notices.requiresRelay(service_)) {
        sendByRelay(results);
        return;
    }
    const std::size_t maxConnections = service != nullptr ? service->maxConnections : 0;
    const auto *entry = placement_->choose(triedEndpoints_, maxConnections, reservedEndpoint_, origin_, results);
    if (entry == nullptr && awaitCheck([](RequestHandler &self) { self.confirmEndpoints(); })) {
        return;
    }
    if (entry == nullptr) {
        rejectOrFail(origin_ ? "no endpoint of the stream's software version" : "no endpoint available",
                     retryAfterTime());
        return;
    }
    sendTo(*entry);
}

/**
 * Waits, once for each attempt, for the check of an endpoint that could continue the stream if it has not crashed.
 *
 * @return false if no such endpoint is being checked
 */
bool RequestHandler::awaitCheck(const std::function<void(RequestHandler &)> &onChecked)
{
    if (!origin_ || std::exchange(isCheckAwaited_, true)) {
        return false;
    }
    for (const auto &lifetime : placement_->doubtfulEndpoints(*origin_, triedEndpoints_)) {
        const bool isChecked = shared_.poisonRequests.awaitCheck(lifetime, [weak = weak_from_this(), onChecked] {
            const auto self = weak.lock();
            if (self && self->phase_ == Phase::ConfirmingEndpoints) {
                self->areEndpointsConfirmed_ = false; // it may have restarted meanwhile
                onChecked(*self);
            }
        });
        if (isChecked) {
            phase_ = Phase::ConfirmingEndpoints;
            return true;
        }
    }
    return false;
}

void RequestHandler::beginAttempt()
{
    isCheckAwaited_ = false;
    phase_ = Phase::AwaitingHead;
    clearBufferedBody();
    eventSplitter_ = {};
    eventBoundary_ = {};
    forwardedEvents_.beginRun();
    hasForwardedEvent_ = false;
    isContinuation_ = isHeadForwarded_;
    isAnswerReported_ = false;
}

userplatform::ForwardParameters RequestHandler::makeForwardParameters() const
{
    userplatform::ForwardParameters parameters;
    if (keyHolder_ != nullptr) {
        parameters.workspace = keyHolder_->workspace;
    }
    parameters.remainingTime = deadline_ - now();
    if (stages_) {
        parameters.inputs = stages_->finalResults();
    }
    if (route_->kind == RouteKind::Stream) {
        parameters.urgency = std::clamp(baseUrgency + rank(), 0, maxUrgency);
    }
    if (!forwardedEvents_.lastId().empty()) {
        parameters.lastEventId = forwardedEvents_.lastId();
    }
    return parameters;
}

AttemptHandlers RequestHandler::makeAttemptHandlers()
{
    AttemptHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onHead = [weak] {
        if (const auto self = weak.lock()) {
            self->handleHead();
        }
    };
    handlers.onBody = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->handleBody(bytes);
        }
    };
    handlers.onEnd = [weak](const net::HttpEnd &end) {
        if (const auto self = weak.lock()) {
            self->handleAttemptEnd(end);
        }
    };
    return handlers;
}

void RequestHandler::sendTo(const routing::EndpointEntry &entry)
{
    beginAttempt();
    auto parameters = makeForwardParameters();
    parameters.endpoint = entry.id;
    const auto cost = placement_->costAt(entry);
    if (reservedEndpoint_ == entry.lifetime()) {
        shared_.notices.onReservedSend(entry.lifetime());
        reservedEndpoint_.reset();
    } else {
        shared_.notices.onSend(entry.lifetime());
    }
    shared_.prefixCache.recordUse(entry.id, facts_.promptParts, now());
    const auto attempt = std::make_shared<EndpointAttempt>(shared_, entry, cost, makeAttemptHandlers());
    attempt_ = attempt;
    attempt->start(userplatform::makeForwardCall(request_, facts_, entry.address, parameters));
}

/** Has another VM send the request, as this one reaches no endpoint of the service or may not send to any. */
void RequestHandler::sendByRelay(const ResultBytes &results)
{
    const auto relay = triedRelays_.size() < maxRelays ? shared_.relays.select(service_, triedRelays_) : std::nullopt;
    if (!relay) {
        rejectOrFail("no vm can send the request", retryAfterTime());
        return;
    }
    MemoryReservation copy(shared_.memory);
    if (!shared_.reserve(copy, request_.body.size())) {
        rejectOrFail("no memory to have another vm send the body", defaultRetryAfter);
        return;
    }
    beginAttempt();
    const auto parameters = makeForwardParameters();
    RelayRequest message;
    message.method = request_.method;
    message.target = request_.target;
    message.headers = toMessage(request_.headers);
    message.body = request_.body.text();
    message.service = service_;
    if (parameters.workspace) {
        message.workspace = parameters.workspace->text();
    }
    message.remainingMs = toMilliseconds(*parameters.remainingTime);
    message.urgency = parameters.urgency;
    message.lastEventId = parameters.lastEventId;
    for (const auto &handle : parameters.inputs) {
        message.inputs.push_back(handle.text());
    }
    for (const auto &[zone, bytes] : results.byZone) {
        message.resultBytes.push_back({ zone.text(), bytes });
    }
    message.resultBytes.push_back({ {}, results.total });
    for (const auto &endpoint : triedEndpoints_) {
        message.triedEndpoints.push_back(endpoint.text());
    }
    if (origin_) {
        message.origin = OriginMessage { origin_->service, origin_->version };
    }
    message.fingerprint = fingerprint_.value();
    shared_.decisionLog.write("request relayed",
                              { { "request", facts_.id },
                                { "vm", *relay },
                                { "service", service_ },
                                { "remaining_ms", message.remainingMs } },
                              now());
    const auto attempt = std::make_shared<RelayedAttempt>(shared_, *relay, makeAttemptHandlers());
    attempt_ = attempt;
    attempt->start(message, std::move(copy));
}

/** Retries or resumes a request whose endpoint has become unreachable and silent, if that is allowed. */
void RequestHandler::handleReachabilityChange()
{
    const bool isWaiting = phase_ == Phase::AwaitingHead || phase_ == Phase::Streaming;
    if (isWaiting && attempt_->relay().isEmpty() && route_->isRetryable() && attempt_->silence() >= minSilenceToRetry
        && shared_.reachability.isUnreachable(service_)) {
        handleTransportError({ Error { ErrorKind::Silent, "endpoint unreachable" }, true, false });
    }
}

void RequestHandler::handleHead()
{
    if (route_->kind != RouteKind::Stream || !attempt_->isAuthentic(facts_.id)) {
        return;
    }
    phase_ = Phase::Streaming;
    const auto &head = attempt_->head();
    if (isContinuation_) {
        if (!net::haveSameRepresentation(forwardedHead_, head)) {
            breakOffAttempt("another representation");
        }
        return;
    }
    isHeadForwarded_ = true;
    forwardedHead_ = head;
    if (head.framing == net::BodyFraming::UntilClose) {
        forwardedFraming_ = net::BodyFraming::UntilClose;
    }
    writer_.begin(head.status, userplatform::forwardableHeaders(head), forwardedFraming_);
}

/** Ends an attempt whose answer is not the rest of the caller's stream. */
void RequestHandler::breakOffAttempt(std::string_view reason)
{
    shared_.decisionLog.write("stream not continued",
                              { { "request", facts_.id },
                                { "endpoint", attempt_->endpoint() },
                                { "relay", attempt_->relay() },
                                { "reason", reason },
                                { "status", attempt_->head().status },
                                { "after_event", forwardedEvents_.lastId() } },
                              now());
    handleTransportError({ Error { ErrorKind::Malformed, std::string(reason) }, true, true });
}

void RequestHandler::handleBody(std::string_view bytes)
{
    if (phase_ != Phase::Streaming) {
        bufferBody(bytes);
        return;
    }
    // The first body bytes show that the engine has read its inputs and prompt.
    attempt_->completeWork();
    if (stages_ && stages_->hasResults()) {
        stages_->releaseAll();
    }
    if (*attempt_->timeSinceFirstByte() > dispatch::PromptPartTracker::maxCrashDelay) {
        reportAnswer();
    }
    forwardEvents(bytes);
}

void RequestHandler::bufferBody(std::string_view bytes)
{
    const std::size_t size = bufferedBody_.size() + bytes.size();
    // The caller's connection has taken the memory for a small answer.
    const bool fits = size <= memory::answerReserve || shared_.reserve(bufferMemory_, size);
    if (size > shared_.maxAnswerBytes || !fits) {
        handleTransportError({ Error { ErrorKind::TooLarge, "response too large to buffer" }, true, true });
        return;
    }
    bufferedBody_ += bytes;
}

void RequestHandler::clearBufferedBody()
{
    bufferMemory_ = MemoryReservation(shared_.memory);
    bufferedBody_ = {};
}

net::Body RequestHandler::takeBufferedBody()
{
    return { std::exchange(bufferedBody_, {}), std::exchange(bufferMemory_, MemoryReservation(shared_.memory)) };
}

void RequestHandler::forwardEvents(std::string_view bytes)
{
    if (!route_->isResumable) {
        eventBoundary_.feed(bytes);
        forwardBytes(bytes);
        return;
    }
    // Forwards complete events only, so that another engine can resume after the last of them.
    for (const auto &event : eventSplitter_.feed(bytes)) {
        if (event.isEmpty) {
            if (!isContinuation_ || hasForwardedEvent_) {
                forwardBytes(event.bytes);
            } // else the answer has yet to show that it is the rest of the stream
            continue;
        }
        if (const auto order = forwardedEvents_.take(event.id); order != routing::EventOrder::Next) {
            breakOffAttempt(toText(order));
            return;
        }
        hasForwardedEvent_ = true;
        recordOrigin();
        forwardBytes(event.bytes);
    }
    if (phase_ == Phase::Streaming && eventSplitter_.pendingBytes() > net::SseParser::defaultMaxEventBytes) {
        handleTransportError({ Error { ErrorKind::TooLarge, "event too large to buffer" }, true, true });
    }
}

/** Records where a stream began, once its first event, or that of its rest, is sent to the caller. */
void RequestHandler::recordOrigin()
{
    if (ownStream_ || (origin_ && !facts_.resumedRequest)) {
        return;
    }
    if (!origin_) {
        origin_ = routing::StreamOrigin { service_, attempt_->entry().softwareVersion };
    }
    const auto workspace = keyHolder_ != nullptr ? std::optional(keyHolder_->workspace) : std::nullopt;
    // The next try names the request that brought the first event, too.
    const auto &begunBy = isResumption() && facts_.resumedRequest ? *facts_.resumedRequest : facts_.id;
    ownStream_ = StreamOrigins::keyOf(begunBy, workspace);
    const Duration callerTime =
        std::min<Duration>(facts_.callerTimeout.value_or(route_->timeout), maxOriginTimeouts * route_->timeout);
    shared_.streamOrigins.onBegun(*ownStream_,
                                  *origin_,
                                  shared_.streamOrigins.soleOrigin(*route_, false).has_value(),
                                  request_.receivedAt + callerTime + originMargin);
}

void RequestHandler::forwardBytes(std::string_view bytes)
{
    isBodyForwarded_ = true;
    if (writer_.write(bytes) == net::WriteOutcome::Full) {
        fail(0, "caller reads too slowly");
    }
}

void RequestHandler::handleAttemptEnd(const net::HttpEnd &end)
{
    if (attempt_->facts().notRun) {
        handleNotRun(); // the head is a promise, also if what follows it was broken off
    } else if (end.error) {
        handleTransportError(end);
    } else {
        handleCompleteResponse();
    }
}

void RequestHandler::handleCompleteResponse()
{
    if (phase_ == Phase::Streaming) {
        handleCompleteStream();
        return;
    }
    ++attemptCount_;
    const auto &head = attempt_->head();
    // The framing is kept, as a body that ends with its connection may have been broken off.
    const auto framing =
        head.framing == net::BodyFraming::UntilClose ? net::BodyFraming::UntilClose : net::BodyFraming::Length;
    mayHaveRun_ = true;
    if (attempt_->isAuthentic(facts_.id)) {
        closeAttempt(dispatch::SendOutcome::Answered);
        reportAnswer();
        if (framing != net::BodyFraming::UntilClose) {
            shared_.poisonRequests.onSucceeded(fingerprint_);
        } else {
            reportConnectionEnd(true);
        }
        recordCompletionTime();
        writer_.respond(head.status, userplatform::forwardableHeaders(head), takeBufferedBody(), framing);
        finish(head.status, "answered");
        return;
    }
    closeAttempt(dispatch::SendOutcome::Failed);
    const std::string_view reason = attempt_->isSuccess() ? "response without valid receipt" : "endpoint failure";
    if (retry(reason, true)) {
        return;
    }
    // Callers take 503 for a promise that the request was not run, which this endpoint did not make.
    const bool isEndpointFailure = attempt_->facts().hasReceipt && head.status >= net::status::internalError
        && head.status != net::status::unavailable;
    if (isEndpointFailure && !isHeadForwarded_) {
        writer_.respond(head.status, userplatform::forwardableHeaders(head), takeBufferedBody(), framing);
        finish(head.status, reason);
        return;
    }
    fail(net::status::badGateway, reason);
}

/** Ends the stream of a caller as its endpoint ended it, or resumes it if the endpoint broke it off. */
void RequestHandler::handleCompleteStream()
{
    if (isInsideEvent()) {
        handleTransportError({ Error { ErrorKind::ConnectionLost, "stream ended within an event" }, true, true });
        return;
    }
    if (isContinuation_ && !hasForwardedEvent_) {
        breakOffAttempt("no event"); // nothing tells whether the caller has the last event
        return;
    }
    ++attemptCount_;
    closeAttempt(dispatch::SendOutcome::Answered);
    if (eventSplitter_.pendingBytes() > 0) {
        forwardBytes(eventSplitter_.takeRest());
    }
    reportAnswer();
    const auto &head = attempt_->head();
    if (head.framing != net::BodyFraming::UntilClose) {
        shared_.poisonRequests.onSucceeded(fingerprint_);
    } else {
        reportConnectionEnd(true);
    }
    if (head.framing == net::BodyFraming::UntilClose && forwardedFraming_ != net::BodyFraming::UntilClose) {
        // A resumed stream whose response began with chunks: a last chunk would vouch for an end that is not certain.
        fail(0, "end of resumed stream not certain");
        return;
    }
    if (ownStream_ && head.framing != net::BodyFraming::UntilClose) {
        shared_.streamOrigins.onCompleted(*ownStream_);
    }
    recordCompletionTime();
    writer_.end();
    finish(head.status, "streamed");
}

void RequestHandler::handleNotRun()
{
    shared_.decisionLog.write("request rejected by endpoint",
                              { { "request", facts_.id },
                                { "endpoint", attempt_->endpoint() },
                                { "relay", attempt_->relay() },
                                { "status", attempt_->head().status },
                                { "connection", attempt_->connection() },
                                { "earlier_calls", attempt_->earlierCalls() },
                                { "ms", toMilliseconds(attempt_->timeToFirstByte().value_or(Duration::zero())) } },
                              now());
    const bool isWrongEndpoint = attempt_->isAtWrongEndpoint();
    const bool lacksInputs = attempt_->head().status == net::status::conflict;
    closeAttempt(attempt_->outcome(facts_.id));
    if (!isWrongEndpoint) {
        ++attemptCount_;
    }
    if (lacksInputs && stages_ && ++missingInputRetries_ <= maxMissingInputRetries
        && shared_.retryBudget(service_).tryAcquireRetry(now())) {
        rerunFinalStages();
        return;
    }
    if (!retry("not run", false)) {
        rejectOrFail("not run by the endpoint", retryAfterTime());
    }
}

void RequestHandler::handleTransportError(const net::HttpEnd &end)
{
    if (!end.requestWritten) {
        if (!attempt_->relay().isEmpty()) {
            triedRelays_.push_back(attempt_->relay());
        } else if (end.error->kind == ErrorKind::Unreachable) {
            shared_.poisonRequests.onUnreachable(attempt_->entry());
        }
        closeAttempt(dispatch::SendOutcome::Unreachable);
        if (!retry("endpoint unreachable", false)) {
            rejectOrFail("endpoint unreachable", defaultRetryAfter);
        }
        return;
    }
    ++attemptCount_;
    mayHaveRun_ = true;
    if (end.error->kind == ErrorKind::ConnectionLost) {
        shared_.decisionLog.write(
            "connection lost",
            { { "request", facts_.id },
              { "fingerprint", fingerprint_ },
              { "endpoint", attempt_->endpoint() },
              { "prompt_parts", toText(facts_.promptParts) },
              { "answering_ms",
                attempt_->timeSinceFirstByte() ? toMilliseconds(*attempt_->timeSinceFirstByte()) : -1 } },
            now());
        reportConnectionEnd(false);
    }
    closeAttempt(dispatch::SendOutcome::Failed);
    if (!retry(toText(end.error->kind), true)) {
        fail(net::status::badGateway, toText(end.error->kind));
    }
}

/** Reports once for each attempt that its endpoint has answered on the parts of the prompt. */
void RequestHandler::reportAnswer()
{
    if (!std::exchange(isAnswerReported_, true)) {
        const Time beganAt = now() - attempt_->timeSinceFirstByte().value_or(Duration::zero());
        shared_.poisonPrompts.onAnswered(attempt_->entry().lifetime(), sharedParts_, beganAt);
    }
}

/** Has the endpoint checked for a crash, which closes connections as the end of an answer may do. */
void RequestHandler::reportConnectionEnd(bool mayBeComplete)
{
    if (attempt_->relay().isEmpty()) {
        shared_.poisonRequests.onConnectionLost(
            attempt_->entry(), attempt_->lostRequest(fingerprint_, sharedParts_, mayBeComplete), shared_.client);
    } // else the VM that has sent the request checks the endpoint
}

void RequestHandler::closeAttempt(dispatch::SendOutcome outcome)
{
    if (attempt_ && attempt_->isOpen()) {
        attempt_->close(outcome);
        if (!attempt_->endpoint().isEmpty()) {
            triedEndpoints_.push_back(attempt_->endpoint());
        }
    }
}

/**
 * Retries or resumes the request if the route, the deadline and the retry budget allow it.
 *
 * @param mayHaveRun whether the last endpoint may have run the request
 * @return whether the request was retried
 */
bool RequestHandler::retry(std::string_view reason, bool mayHaveRun)
{
    const bool isAllowed = (!mayHaveRun || route_->isRetryable()) && attemptCount_ < route_->maxAttempts
        && deadline_ - now() > minTimeToRetry && (!isHeadForwarded_ || route_->isResumable)
        && forwardedEvents_.canContinue();
    const bool hasReachedEndpoint = attemptCount_ > 0;
    if (!isAllowed || (hasReachedEndpoint && !shared_.retryBudget(service_).tryAcquireRetry(now()))) {
        return false;
    }
    shared_.decisionLog.write(isBodyForwarded_ ? "request resumed" : "request retried",
                              { { "request", facts_.id },
                                { "route", route_->id },
                                { "reason", reason },
                                { "attempts", attemptCount_ },
                                { "software_version", toText(attempt_->entry().softwareVersion) },
                                { "after_event", forwardedEvents_.lastId() } },
                              now());
    if (stages_ && !stages_->hasResults()) {
        // The results were released once the last engine had read them.
        rerunFinalStages();
    } else {
        dispatch();
    }
    return true;
}

} // namespace lacewing::gateway
