#include "request_handler.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Fraction of the jitter of retry-after times, which spreads the retries of callers. */
constexpr double retryAfterJitter = 0.5;
/** Weight of an output token relative to a prompt token in the size of a request. */
constexpr double outputTokenWeight = 10;
/** Value of a request: a fixed part, and a part proportional to its size relative to the route's average, capped. */
constexpr double fixedValueShare = 0.3;
constexpr double maxRelativeSize = 4;

} // namespace

RequestHandler::RequestHandler(RequestContext &shared, net::HttpRequest request, net::ResponseWriter writer)
    : shared_(shared)
    , request_(std::move(request))
    , writer_(std::move(writer))
    , bufferMemory_(shared.memory)
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
    sharedParts_ = dispatch::sharedParts(facts_.promptParts);
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
    if (isResumption()) {
        if (facts_.lastEventId) {
            forwardedEvents_ = routing::EventSequence(*facts_.lastEventId);
        }
        lookUpOrigin();
        return;
    }
    service_ = chooseService();
    run();
}

void RequestHandler::run()
{
    if (rejectIfStopping(shared_.completionTimes)) {
        return;
    }
    shared_.retryBudget(service_).recordRequest(now());
    placement_.emplace(shared_,
                       facts_,
                       service_,
                       cost::RequestClass::ofRequest(route_->id, request_.body.size()),
                       route_->isRetryable() ? dispatch::Repetition::Allowed : dispatch::Repetition::Forbidden);
    if (!origin_ || placement_->canResume(*origin_) || !awaitCheck([](RequestHandler &self) { self.startWork(); })) {
        startWork();
    }
}

void RequestHandler::startWork()
{
    if (origin_ && !placement_->canResume(*origin_)) {
        reject(net::status::unavailable, "no endpoint of the stream's software version", retryAfterTime());
        return;
    }
    const bool hasStages = std::any_of(
        facts_.pieceCounts.begin(), facts_.pieceCounts.end(), [](std::uint32_t count) { return count > 0; });
    if (!hasStages || route_->stages.empty()) {
        dispatch();
    } else if (!rejectIfEnginesBlocked()) {
        startStages();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Admission

bool RequestHandler::findRoute()
{
    routes_ = shared_.state.routes();
    const auto host = request_.header("Host").value_or("");
    route_ = routes_->findRoute(host, request_.target);
    if (shared_.state.isOverdue()
        && (route_ == nullptr || shared_.state.mayBeOutdated(host, facts_.apiKey.value_or("")))) {
        reject(net::status::unavailable, "desired state overdue", defaultRetryAfter);
        return false;
    }
    if (route_ == nullptr) {
        reject(net::status::notFound, "no route", std::nullopt);
    }
    return route_ != nullptr;
}

bool RequestHandler::authenticate()
{
    keyHolder_ = facts_.apiKey ? routes_->findKeyHolder(*facts_.apiKey) : nullptr;
    if (routes_->state().general.requiresKeys && !route_->isPublic && keyHolder_ == nullptr) {
        if (shared_.state.isOverdue()) {
            reject(net::status::unavailable, "desired state overdue", defaultRetryAfter); // the key may be a new one
            return false;
        }
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

/** Returns whether the caller asks for the rest of a stream that an earlier request began. */
bool RequestHandler::isResumption() const noexcept
{
    return route_->kind == routing::RouteKind::Stream && route_->isResumable
        && (facts_.resumedRequest || facts_.lastEventId);
}

void RequestHandler::lookUpOrigin()
{
    phase_ = Phase::LookingUpOrigin;
    if (!shared_.streamOrigins.soleOrigin(*route_, true)) {
        findOrigin();
        return;
    }
    shared_.state.confirmEndpoints([weak = weak_from_this()](bool isCurrent) {
        const auto self = weak.lock();
        if (!self || self->phase_ != Phase::LookingUpOrigin) {
            return;
        }
        self->areEndpointsConfirmed_ = isCurrent;
        const auto origin = isCurrent ? self->shared_.streamOrigins.soleOrigin(*self->route_, true) : std::nullopt;
        if (origin) {
            self->resumeFrom(origin, "only version");
        } else {
            self->findOrigin();
        }
    });
}

/** Looks the origin up by the request that brought the stream's first event. */
void RequestHandler::findOrigin()
{
    if (!facts_.resumedRequest) {
        resumeFrom(std::nullopt, "no request named");
        return;
    }
    const auto workspace = keyHolder_ != nullptr ? std::optional(keyHolder_->workspace) : std::nullopt;
    shared_.streamOrigins.find(StreamOrigins::keyOf(*facts_.resumedRequest, workspace),
                               [weak = weak_from_this()](const std::optional<routing::StreamOrigin> &origin) {
                                   const auto self = weak.lock();
                                   if (self && self->phase_ == Phase::LookingUpOrigin) {
                                       self->resumeFrom(origin, "request named");
                                   }
                               });
}

/** Restricts the request to endpoints that can resume its stream. @param source of the origin, for the log */
void RequestHandler::resumeFrom(const std::optional<routing::StreamOrigin> &origin, std::string_view source)
{
    const bool isRouted =
        origin && std::any_of(route_->services.begin(), route_->services.end(), [&](const auto &share) {
            return share.service == origin->service;
        });
    shared_.decisionLog.write("stream resumption",
                              { { "request", facts_.id },
                                { "resumes", facts_.resumedRequest.value_or(stages::RequestId()) },
                                { "after_event", facts_.lastEventId.value_or("") },
                                { "source", source },
                                { "known", origin.has_value() },
                                { "routed", isRouted },
                                { "software_version", origin ? toText(origin->version) : "unknown" } },
                              now());
    if (!isRouted) {
        reject(net::status::unavailable, origin ? "stream of another service" : "stream not known", defaultRetryAfter);
        return;
    }
    origin_ = origin;
    service_ = origin->service;
    run();
}

/** Ends the request if it must not be sent, because endpoints crashed while they executed it or others like it. */
bool RequestHandler::rejectIfQuarantined()
{
    if (shared_.poisonRequests.isQuarantined(fingerprint_)) {
        shared_.poisonRequests.onRejected(fingerprint_);
        rejectOrFail("quarantined because endpoints crashed while running it", route_->timeout);
        return true;
    }
    if (isTrial_ && attemptCount_ == 0) {
        return false;
    }
    const auto permission = shared_.poisonPrompts.checkSend(sharedParts_);
    isTrial_ = permission == PoisonPromptGuard::Permission::Trial;
    if (permission == PoisonPromptGuard::Permission::Denied) {
        rejectOrFail("prompt part quarantined because endpoints crashed while answering on it", route_->timeout);
        return true;
    }
    return false;
}

/**
 * Rejects a request that would not complete before the process stops, so that another VM serves it. A request of which
 * an endpoint has begun to answer is left to its endpoint.
 *
 * @param times of what remains to be done
 */
bool RequestHandler::rejectIfStopping(const shutdown::CompletionTimes &times)
{
    if (!shared_.stopSchedule || isHeadForwarded_) {
        return false;
    }
    const auto recent = times.estimate(route_->id, facts_.maxOutputTokens, now());
    const Duration estimate = recent.value_or(shutdown::defaultEstimate(route_->latencyTarget, facts_.maxOutputTokens));
    if (shared_.stopSchedule->canComplete(estimate, deadline_, now())) {
        return false;
    }
    shared_.decisionLog.write("request outlasts stop",
                              { { "request", facts_.id },
                                { "route", route_->id },
                                { "estimate_ms", toMilliseconds(estimate) },
                                { "is_estimate_measured", recent.has_value() },
                                { "deadline_ms", toMilliseconds(deadline_ - now()) },
                                { "left_ms", toMilliseconds(shared_.stopSchedule->answersDueAt() - now()) },
                                { "may_have_run", mayHaveRun_ } },
                              now());
    rejectOrFail("vm stops", otherVmRetryAfter);
    return true;
}

void RequestHandler::handleStopProgress()
{
    if (phase_ == Phase::Done) {
        return;
    }
    if (now() >= shared_.stopSchedule->answersDueAt()) {
        endUnfinished("vm stops", otherVmRetryAfter);
    } else if (phase_ == Phase::RunningStages) {
        rejectIfStopping(shared_.dispatchTimes);
    }
}

/** Records how long the request took, for the decision whether others like it complete before the process stops. */
void RequestHandler::recordCompletionTime()
{
    shared_.completionTimes.record(route_->id, facts_.maxOutputTokens, now() - request_.receivedAt, now());
    const Time dispatchedAt = stagesCompletedAt_.value_or(request_.receivedAt);
    shared_.dispatchTimes.record(route_->id, facts_.maxOutputTokens, now() - dispatchedAt, now());
}

void RequestHandler::handleQuarantineChange()
{
    if (phase_ == Phase::RunningStages && shared_.poisonPrompts.isQuarantined(sharedParts_)) {
        rejectIfQuarantined();
    }
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

/** Ends a request for whose results no engine has a place. Takes a place if places are few. */
bool RequestHandler::rejectIfEnginesBlocked()
{
    if (shared_.reachability.isUnreachable(service_) || shared_.notices.requiresRelay(service_)) {
        return false; // the VM that sends the request checks the limits
    }
    if (shared_.state.endpoints().isEvacuated(service_)) {
        rejectOrFail("all endpoints evacuated", retryAfterTime());
        return true;
    }
    if (shared_.notices.earliestReturn(service_)) {
        rejectOrFail("all endpoints at their limits", retryAfterTime());
        return true;
    }
    if (!origin_) {
        reservedEndpoint_ = shared_.notices.reserve(service_); // might be of another software version
    }
    return false;
}

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
          { "connection", attempt_ ? attempt_->connection() : net::ConnectionNumber() },
          { "relay", attempt_ ? attempt_->relay() : VmId() },
          { "software_version", attempt_ ? toText(attempt_->entry().softwareVersion) : std::string() },
          { "resumes", facts_.resumedRequest.value_or(stages::RequestId()) },
          { "framing", attempt_ && timeToFirstByte ? toText(attempt_->head().framing) : std::string_view() },
          { "inside_event", isInsideEvent() },
          { "prompt_parts", toText(facts_.promptParts) } },
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
    endUnfinished("deadline exceeded", defaultRetryAfter);
}

/** Ends a request whose time is up: rejects it if it has certainly not run, else fails it. */
void RequestHandler::endUnfinished(std::string_view reason, Duration retryAfter)
{
    const bool mayBeRunning = mayHaveRun_ || phase_ == Phase::AwaitingHead || phase_ == Phase::Streaming;
    if (mayBeRunning) {
        fail(net::status::gatewayTimeout, reason);
    } else {
        reject(net::status::unavailable, reason, retryAfter);
    }
}

void RequestHandler::handleCallerDisconnect()
{
    finish(0, "caller disconnected");
}

} // namespace lacewing::gateway
