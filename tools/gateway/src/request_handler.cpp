#include "request_handler.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using routing::RouteKind;

/** A request is not retried with less time than this left until its deadline. */
constexpr Duration minTimeToRetry = 60ms;
/** Maximum size of a response that is not streamed. */
constexpr std::size_t maxBufferedBytes = std::size_t(8) << 20U;
/** Limit on reruns of the stages of one request because an engine lacked their results. */
constexpr int maxMissingInputRetries = 2;
/** Retry-after of rejected requests, and the fraction of its jitter, which spreads the retries of callers. */
constexpr Duration defaultRetryAfter = 400ms;
constexpr double retryAfterJitter = 0.5;
/** Weight of an output token relative to a prompt token in the size of a request. */
constexpr double outputTokenWeight = 10;
/** Value of a request: a fixed part, and a part proportional to its size relative to the route's average, capped. */
constexpr double fixedValueShare = 0.3;
constexpr double maxRelativeSize = 4;
/** Urgency that engines assume when none is given; the rank of a request is added to it. */
constexpr int baseUrgency = 3;
constexpr int maxUrgency = 9;

} // namespace

RequestHandler::RequestHandler(RequestContext &shared, net::HttpRequest request, net::ResponseWriter writer)
    : shared_(shared)
    , request_(std::move(request))
    , writer_(std::move(writer))
{
}

void RequestHandler::start()
{
    shared_.activeRequests.insert(shared_from_this());
    writer_.onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handleCallerDisconnect();
        }
    });
    auto facts = userplatform::parseRequestMetadata(request_);
    if (!facts) {
        reject(net::status::badRequest, facts.error().detail, std::nullopt);
        return;
    }
    facts_ = std::move(facts.value());
    if (!shared_.state.isLoaded()) {
        reject(net::status::unavailable, "no desired state yet", defaultRetryAfter);
        return;
    }
    if (!findRoute() || !authenticate()) {
        return;
    }
    const std::string_view caller = facts_.apiKey ? std::string_view(*facts_.apiKey) : std::string_view();
    fingerprint_ = Fingerprint(hashBytes(request_.body, hashBytes(request_.target, hashBytes(caller))));
    if (rejectIfQuarantined() || !startDeadline()) {
        return;
    }
    service_ = chooseService();
    shared_.retryBudget(service_).recordRequest(now());
    placement_.emplace(shared_, facts_, service_);
    const bool hasStages = std::any_of(
        facts_.pieceCounts.begin(), facts_.pieceCounts.end(), [](std::uint32_t count) { return count > 0; });
    if (hasStages && !route_->stages.empty()) {
        startStages();
    } else {
        dispatch();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Admission

bool RequestHandler::findRoute()
{
    routes_ = shared_.state.routes();
    route_ = routes_->findRoute(request_.header("Host").value_or(""), request_.target);
    if (route_ == nullptr) {
        reject(net::status::notFound, "no route", std::nullopt);
    }
    return route_ != nullptr;
}

bool RequestHandler::authenticate()
{
    keyHolder_ = facts_.apiKey ? routes_->findKeyHolder(*facts_.apiKey) : nullptr;
    if (routes_->state().requiresKeys && !route_->isPublic && keyHolder_ == nullptr) {
        reject(net::status::unauthorized, "unknown key", std::nullopt);
        return false;
    }
    return true;
}

/** Starts the deadline timer. Rejects a request whose deadline passed before it was read. */
bool RequestHandler::startDeadline()
{
    const Duration requestTimeout = std::min(facts_.callerTimeout.value_or(route_->timeout), route_->timeout);
    deadline_ = request_.receivedAt + requestTimeout;
    if (deadline_ <= now()) {
        reject(net::status::unavailable, "deadline already passed", std::nullopt);
        return false;
    }
    deadlineTimer_ = shared_.context.loop.timers().once(deadline_, [weak = weak_from_this()](Time) {
        if (const auto self = weak.lock()) {
            self->handleDeadline();
        }
    });
    return true;
}

/** Returns the workspace's rank if it has one, else the route's rank. */
int RequestHandler::rank() const noexcept
{
    return keyHolder_ != nullptr && keyHolder_->priority ? *keyHolder_->priority : route_->priority;
}

const routing::ServiceId &RequestHandler::chooseService()
{
    double total = 0;
    for (const auto &share : route_->services) {
        total += share.weight;
    }
    double remainingWeight = shared_.random.unit() * total;
    for (const auto &share : route_->services) {
        remainingWeight -= share.weight;
        if (remainingWeight < 0) {
            return share.service;
        }
    }
    return route_->services.back().service;
}

/** Ends the request if it must not be sent, because endpoints crashed while they executed it. */
bool RequestHandler::rejectIfQuarantined()
{
    if (!shared_.poisonRequests.isQuarantined(fingerprint_)) {
        return false;
    }
    shared_.poisonRequests.onRejected(fingerprint_);
    rejectOrFail("quarantined because endpoints crashed while running it", route_->timeout);
    return true;
}

void RequestHandler::rejectStages(const stages::AdmissionDecision &decision)
{
    shared_.decisionLog.write("stages overloaded",
                              { { "request", facts_.id },
                                { "predicted_ms", toMilliseconds(decision.predictedTime) },
                                { "limit_ms", toMilliseconds(decision.timeLimit) },
                                { "others_late", !decision.keepsCommitments },
                                { "target_ms", toMilliseconds(route_->latencyTarget) },
                                { "rank", rank() },
                                { "pieces_ahead", decision.piecesAhead },
                                { "retry_after_ms", toMilliseconds(decision.retryAfter) } },
                              now());
    reject(net::status::unavailable, "stages overloaded", decision.retryAfter);
}

// ---------------------------------------------------------------------------------------------------------------------
// Stages

void RequestHandler::startStages()
{
    phase_ = Phase::RunningStages;
    double pieces = 0;
    for (const auto count : facts_.pieceCounts) {
        pieces += count;
    }
    const double size = computeRelativeSize();
    StagesRequest stages;
    stages.id = facts_.id;
    stages.fingerprint = fingerprint_;
    stages.pieceKey = facts_.pieceKey;
    stages.pieceCounts = facts_.pieceCounts;
    stages.receivedAt = request_.receivedAt;
    stages.deadline = deadline_;
    stages.engineTime = placement_->estimatedEngineTime();
    stages.value = size / (1.0 + route_->priority);
    stages.initialZone = placement_->sessionZone();
    stages.rank = rank();
    stages.relativeValue = size * shared_.pieceCountAverages.update(route_->id, pieces) / std::max(pieces, 1.0);
    stages.firstAttemptAt = shared_.rejectionHistory.firstAttemptAt(fingerprint_, now());
    StagesHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onCompleted = [weak] {
        if (const auto self = weak.lock()) {
            self->stagesCompletedAt_ = self->now();
            self->dispatch();
        }
    };
    handlers.onFailed = [weak](std::string_view reason) {
        const auto self = weak.lock();
        if (self && !self->rejectIfQuarantined()) {
            self->rejectOrFail(reason, defaultRetryAfter);
        }
    };
    handlers.onRejected = [weak](const stages::AdmissionDecision &decision) {
        if (const auto self = weak.lock()) {
            self->rejectStages(decision);
        }
    };
    stages_ = std::make_shared<RequestStages>(shared_, *route_, std::move(stages), std::move(handlers));
    stages_->start();
}

void RequestHandler::rerunFinalStages()
{
    phase_ = Phase::RunningStages;
    stages_->rerunFinalStages();
}

/** Adds the request to the average size of its route, and returns its value relative to an average request. */
double RequestHandler::computeRelativeSize()
{
    const double tokens = double(facts_.promptTokens) + outputTokenWeight * double(facts_.maxOutputTokens);
    const double averageTokens = shared_.tokenAverages.update(route_->id, tokens);
    return averageTokens > 0
        ? fixedValueShare + (1 - fixedValueShare) * std::min(tokens / averageTokens, maxRelativeSize)
        : 1;
}

// ---------------------------------------------------------------------------------------------------------------------
// Attempts

void RequestHandler::dispatch()
{
    phase_ = Phase::SelectingEndpoint;
    if (rejectIfQuarantined()) {
        return; // it was quarantined during its stages or its previous attempt
    }
    const auto *service = routes_->findService(service_);
    const auto results = stages_ ? stages_->resultBytes() : ResultBytes();
    const auto *entry = placement_->choose(triedEndpoints_, service != nullptr ? service->maxConnections : 0, results);
    if (entry == nullptr) {
        rejectOrFail("no endpoint available", retryAfterTime());
        return;
    }
    sendTo(*entry, results);
}

void RequestHandler::sendTo(const routing::EndpointEntry &entry, const ResultBytes &results)
{
    phase_ = Phase::AwaitingHead;
    clearBufferedBody();
    eventBoundary_ = {};
    userplatform::ForwardParameters facts;
    facts.endpoint = entry.id;
    if (keyHolder_ != nullptr) {
        facts.workspace = keyHolder_->workspace;
    }
    facts.remainingTime = deadline_ - now();
    if (stages_) {
        facts.inputs = stages_->finalResults();
    }
    if (route_->kind == RouteKind::Stream) {
        facts.urgency = std::clamp(baseUrgency + rank(), 0, maxUrgency);
    }
    if (!lastEventId_.empty()) {
        facts.lastEventId = lastEventId_;
    }
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
    const double workMs = placement_->estimatedWorkMs(entry, results);
    shared_.prefixCache.recordUse(entry.id, facts_.promptParts, now());
    attempt_ = std::make_shared<EndpointAttempt>(shared_, entry, workMs, std::move(handlers));
    attempt_->start(userplatform::makeForwardCall(request_, facts_, entry.address, facts));
}

void RequestHandler::handleHead()
{
    if (route_->kind != RouteKind::Stream || !attempt_->isAuthentic(facts_.id)) {
        return;
    }
    phase_ = Phase::Streaming;
    if (!isHeadForwarded_) {
        isHeadForwarded_ = true;
        if (attempt_->head().framing == net::BodyFraming::UntilClose) {
            forwardedFraming_ = net::BodyFraming::UntilClose;
        }
        writer_.begin(attempt_->head().status, userplatform::forwardableHeaders(attempt_->head()), forwardedFraming_);
    }
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
    eventBoundary_.feed(bytes);
    forwardEvents(bytes);
}

void RequestHandler::bufferBody(std::string_view bytes)
{
    const bool fits = bufferedBody_.size() + bytes.size() <= maxBufferedBytes;
    if (!fits || !shared_.bufferedBytes.tryAcquire(bytes.size())) {
        handleTransportError({ Error { ErrorKind::TooLarge, "response too large to buffer" }, true, true });
        return;
    }
    bufferedBody_ += bytes;
}

void RequestHandler::clearBufferedBody()
{
    shared_.bufferedBytes.release(bufferedBody_.size());
    bufferedBody_ = {};
}

void RequestHandler::forwardEvents(std::string_view bytes)
{
    if (!route_->isResumable) {
        forwardBytes(bytes);
        return;
    }
    // Forwards complete events only, so that another engine can resume after the last of them.
    for (const auto &event : eventSplitter_.feed(bytes)) {
        if (!event.id.empty()) {
            lastEventId_ = event.id;
        }
        forwardBytes(event.bytes);
    }
    if (phase_ == Phase::Streaming && eventSplitter_.pendingBytes() > net::SseParser::defaultMaxEventBytes) {
        handleTransportError({ Error { ErrorKind::TooLarge, "event too large to buffer" }, true, true });
    }
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
    if (end.error) {
        handleTransportError(end);
    } else if (attempt_->facts().notRun) {
        handleNotRun();
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
        if (framing != net::BodyFraming::UntilClose) {
            shared_.poisonRequests.onSucceeded(fingerprint_);
        }
        writer_.respond(head.status, userplatform::forwardableHeaders(head), bufferedBody_, framing);
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
        writer_.respond(head.status, userplatform::forwardableHeaders(head), bufferedBody_, framing);
        finish(head.status, reason);
        return;
    }
    fail(net::status::badGateway, reason);
}

/** Ends the stream of a caller as its endpoint ended it, or resumes it if the endpoint broke it off. */
void RequestHandler::handleCompleteStream()
{
    if (eventBoundary_.isInsideEvent()) {
        handleTransportError({ Error { ErrorKind::ConnectionLost, "stream ended within an event" }, true, true });
        return;
    }
    ++attemptCount_;
    closeAttempt(dispatch::SendOutcome::Answered);
    if (eventSplitter_.pendingBytes() > 0) {
        forwardBytes(eventSplitter_.takeRest());
    }
    const auto &head = attempt_->head();
    if (head.framing != net::BodyFraming::UntilClose) {
        shared_.poisonRequests.onSucceeded(fingerprint_);
    } else if (forwardedFraming_ != net::BodyFraming::UntilClose) {
        // A resumed stream whose response began with chunks: a last chunk would vouch for an end that is not certain.
        fail(0, "end of resumed stream not certain");
        return;
    }
    writer_.end();
    finish(head.status, "streamed");
}

void RequestHandler::handleNotRun()
{
    const bool isWrongEndpoint = attempt_->facts().isMisdirected;
    const bool lacksInputs = attempt_->head().status == net::status::conflict;
    // An endpoint that says when it wants requests again is not to be avoided for longer.
    closeAttempt(attempt_->facts().quietTime          ? dispatch::SendOutcome::Cancelled
                     : isWrongEndpoint || lacksInputs ? dispatch::SendOutcome::Answered
                                                      : dispatch::SendOutcome::Rejected);
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
        if (end.error->kind == ErrorKind::Unreachable) {
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
            { { "request", facts_.id }, { "fingerprint", fingerprint_ }, { "endpoint", attempt_->endpoint() } },
            now());
        shared_.poisonRequests.onConnectionLost(attempt_->entry(), fingerprint_, shared_.client);
    }
    closeAttempt(dispatch::SendOutcome::Failed);
    if (!retry(toText(end.error->kind), true)) {
        fail(net::status::badGateway, toText(end.error->kind));
    }
}

void RequestHandler::closeAttempt(dispatch::SendOutcome outcome)
{
    if (attempt_ && attempt_->isOpen()) {
        attempt_->close(outcome);
        triedEndpoints_.push_back(attempt_->endpoint());
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
        && deadline_ - now() > minTimeToRetry && (!isHeadForwarded_ || route_->isResumable);
    const bool hasReachedEndpoint = attemptCount_ > 0;
    if (!isAllowed || (hasReachedEndpoint && !shared_.retryBudget(service_).tryAcquireRetry(now()))) {
        return false;
    }
    shared_.decisionLog.write(isBodyForwarded_ ? "request resumed" : "request retried",
                              { { "request", facts_.id },
                                { "route", route_->id },
                                { "reason", reason },
                                { "attempts", attemptCount_ },
                                { "after_event", lastEventId_ } },
                              now());
    eventSplitter_ = {};
    if (stages_ && !stages_->hasResults()) {
        // The results were released once the last engine had read them.
        rerunFinalStages();
    } else {
        dispatch();
    }
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// Completion

void RequestHandler::reject(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    net::Headers headers;
    if (retryAfter) {
        const auto firstAttemptAt = shared_.rejectionHistory.firstAttemptAt(fingerprint_, now());
        shared_.rejectionHistory.record({ fingerprint_, firstAttemptAt.value_or(request_.receivedAt) }, now());
        headers = userplatform::retryAfterHeaders(shared_.random.jitter(*retryAfter, retryAfterJitter));
    }
    writer_.respond(status, headers, {});
    finish(status, reason);
}

/** Ends a request that can't be served: rejects it if it has certainly not run, else fails it. */
void RequestHandler::rejectOrFail(std::string_view reason, Duration retryAfter)
{
    if (mayHaveRun_ || isHeadForwarded_) {
        fail(net::status::badGateway, reason);
    } else {
        reject(net::status::unavailable, reason, retryAfter);
    }
}

/** Returns when a caller may come back: once an endpoint wants requests again, or soon. */
Duration RequestHandler::retryAfterTime() const
{
    const auto endpointReturn = shared_.notices.earliestReturn(service_);
    if (!endpointReturn) {
        return defaultRetryAfter;
    }
    // The jitter may shorten the time by this share, and no caller has to come back before the endpoint does.
    const double longest = toSeconds(*endpointReturn - now()) / (1 - retryAfterJitter);
    return std::max(fromSeconds(longest), defaultRetryAfter);
}

/** Ends a request that may have run; aborts a stream that has started. */
void RequestHandler::fail(int status, std::string_view reason)
{
    if (isHeadForwarded_) {
        writer_.abort();
    } else {
        writer_.respond(status, {}, {});
    }
    finish(status, reason);
}

void RequestHandler::finish(int status, std::string_view outcome)
{
    if (phase_ == Phase::Done) {
        return;
    }
    const auto self = shared_from_this();
    const Duration time = now() - request_.receivedAt;
    const std::string route = route_ != nullptr ? route_->id.text() : std::string();
    const auto timeToFirstByte = attempt_ ? attempt_->timeToFirstByte() : std::nullopt;
    shared_.decisionLog.write(
        "request completed",
        { { "request", facts_.id },
          { "fingerprint", fingerprint_ },
          { "route", route },
          { "state", routes_ ? routes_->state().version : routing::StateVersion() },
          { "status", status },
          { "outcome", outcome },
          { "ms", toMilliseconds(time) },
          { "stages_ms", stagesCompletedAt_ ? toMilliseconds(*stagesCompletedAt_ - request_.receivedAt) : -1 },
          { "first_byte_ms", timeToFirstByte ? toMilliseconds(*timeToFirstByte) : -1 },
          { "attempts", attemptCount_ },
          { "endpoint", attempt_ ? attempt_->endpoint() : EndpointId() },
          { "framing", attempt_ && timeToFirstByte ? toText(attempt_->head().framing) : std::string_view() },
          { "inside_event", eventBoundary_.isInsideEvent() } },
        now());
    shared_.recordRequest(route, status, time);
    phase_ = Phase::Done;
    shared_.context.loop.timers().cancel(deadlineTimer_);
    closeAttempt(dispatch::SendOutcome::Cancelled);
    clearBufferedBody();
    if (stages_) {
        stages_->stop();
    }
    writer_.onClosed(nullptr);
    shared_.activeRequests.erase(self);
}

void RequestHandler::handleDeadline()
{
    const bool mayBeRunning = mayHaveRun_ || phase_ == Phase::AwaitingHead || phase_ == Phase::Streaming;
    if (mayBeRunning) {
        fail(net::status::gatewayTimeout, "deadline exceeded");
    } else {
        reject(net::status::unavailable, "deadline exceeded", defaultRetryAfter);
    }
}

void RequestHandler::handleCallerDisconnect()
{
    finish(0, "caller disconnected");
}

} // namespace lacewing::gateway
