#include "request_handler.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using routing::RouteKind;

/** A request isn't sent again with less time than this left. */
constexpr Duration leastTimeToSendAgain = 60ms;
/** Times that stages are made again since an engine missed their results. */
constexpr int maxInputRepeats = 2;
/** Time after which a refused caller may come back, and by how much it is spread so that they don't return together. */
constexpr Duration comeBackAfter = 400ms;
constexpr double comeBackSpread = 0.5;
/** Output tokens weigh this much against prompt tokens in the size of a request. */
constexpr double outputTokenWeight = 10;
/** Credit of a request: a fixed part, and one that grows with its size against the mean of its route up to a bound. */
constexpr double fixedCredit = 0.3;
constexpr double mostSize = 4;
/** Urgency that engines use when none is given; the ranks of routes are laid around it. */
constexpr int baseUrgency = 3;
constexpr int lowestUrgency = 9;

} // namespace

RequestRun::RequestRun(RunShared &shared, net::HttpRequest request, net::ResponseWriter writer)
    : shared_(shared)
    , request_(std::move(request))
    , writer_(std::move(writer))
{
}

void RequestRun::start()
{
    shared_.open.insert(shared_from_this());
    writer_.onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
    auto facts = userplatform::readCallerFacts(request_);
    if (!facts) {
        refuse(net::status::badRequest, facts.error().detail, std::nullopt);
        return;
    }
    facts_ = std::move(facts.value());
    if (!shared_.state.isKnown()) {
        refuse(net::status::unavailable, "no desired state yet", comeBackAfter);
        return;
    }
    if (!findRoute() || !checkKey()) {
        return;
    }
    const std::string_view caller = facts_.key ? std::string_view(*facts_.key) : std::string_view();
    fingerprint_ = Fingerprint(hashBytes(request_.body, hashBytes(request_.target, hashBytes(caller))));
    if (shared_.suspects.isBarred(fingerprint_)) {
        refuse(net::status::unavailable, "endpoints went down while they ran it", route_->timeout);
        return;
    }
    if (!setDeadline()) {
        return;
    }
    service_ = chooseService();
    shared_.budget(service_).requestSeen(now());
    placement_.emplace(shared_, facts_, service_);
    const bool hasStages = std::any_of(
        facts_.pieceCounts.begin(), facts_.pieceCounts.end(), [](std::uint32_t count) { return count > 0; });
    if (hasStages && !route_->stages.empty()) {
        beginStages();
    } else {
        dispatch();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Admission

bool RequestRun::findRoute()
{
    routes_ = shared_.state.routes();
    route_ = routes_->find(request_.header("Host").value_or(""), request_.target);
    if (route_ == nullptr) {
        refuse(net::status::notFound, "no route", std::nullopt);
    }
    return route_ != nullptr;
}

bool RequestRun::checkKey()
{
    holder_ = facts_.key ? routes_->holderOf(*facts_.key) : nullptr;
    if (routes_->state().needsKeys && !route_->isPublic && holder_ == nullptr) {
        refuse(net::status::unauthorized, "unknown key", std::nullopt);
        return false;
    }
    return true;
}

/** Refuses a request whose time has passed before it was read. */
bool RequestRun::setDeadline()
{
    const Duration patience = std::min(facts_.patience.value_or(route_->timeout), route_->timeout);
    deadline_ = request_.receivedAt + patience;
    if (deadline_ <= now()) {
        refuse(net::status::unavailable, "no time left", std::nullopt);
        return false;
    }
    deadlineTimer_ = shared_.context.loop.timers().once(deadline_, [weak = weak_from_this()](Time) {
        if (const auto self = weak.lock()) {
            self->deadlineReached();
        }
    });
    return true;
}

/** Its own rank, or its workspace's, which goes before it. */
int RequestRun::rank() const noexcept
{
    return holder_ != nullptr && holder_->rank ? *holder_->rank : route_->rank;
}

const routing::ServiceId &RequestRun::chooseService()
{
    double total = 0;
    for (const auto &share : route_->services) {
        total += share.weight;
    }
    double at = shared_.random.unit() * total;
    for (const auto &share : route_->services) {
        at -= share.weight;
        if (at < 0) {
            return share.service;
        }
    }
    return route_->services.back().service;
}

void RequestRun::refuseStages(const stages::PathDecision &decision)
{
    shared_.decisions.write("stages too busy",
                            { { "request", facts_.id },
                              { "predicted_ms", toMilliseconds(decision.predicted) },
                              { "limit_ms", toMilliseconds(decision.limit) },
                              { "others_late", !decision.keepsOthers },
                              { "target_ms", toMilliseconds(route_->target) },
                              { "rank", rank() },
                              { "pieces_ahead", decision.ahead },
                              { "come_back_ms", toMilliseconds(decision.comeBackAfter) } },
                            now());
    refuse(net::status::unavailable, "stages too busy", decision.comeBackAfter);
}

// ---------------------------------------------------------------------------------------------------------------------
// Stages

void RequestRun::beginStages()
{
    phase_ = Phase::Stages;
    double pieces = 0;
    for (const auto count : facts_.pieceCounts) {
        pieces += count;
    }
    const double size = judgeSize();
    StagesRequest stages;
    stages.id = facts_.id;
    stages.pieceKey = facts_.pieceKey;
    stages.pieceCounts = facts_.pieceCounts;
    stages.receivedAt = request_.receivedAt;
    stages.deadline = deadline_;
    stages.afterStages = placement_->engineTime();
    stages.worth = size / (1.0 + route_->rank);
    stages.firstZone = placement_->sessionZone();
    stages.rank = rank();
    stages.relativeWorth = size * shared_.pieceCounts.learn(route_->id, pieces) / std::max(pieces, 1.0);
    stages.firstTry = shared_.refused.firstTry(fingerprint_, now());
    StagesHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onDone = [weak] {
        if (const auto self = weak.lock()) {
            self->stagesDoneAt_ = self->now();
            self->dispatch();
        }
    };
    handlers.onGivenUp = [weak](std::string_view why) {
        if (const auto self = weak.lock()) {
            self->giveUp(why);
        }
    };
    handlers.onRefused = [weak](const stages::PathDecision &decision) {
        if (const auto self = weak.lock()) {
            self->refuseStages(decision);
        }
    };
    stages_ = std::make_shared<RequestStages>(shared_, *route_, std::move(stages), std::move(handlers));
    stages_->start();
}

void RequestRun::makeStagesAgain()
{
    phase_ = Phase::Stages;
    stages_->makeAgain();
}

/** Credit of the request against the mean of its route, which it adds to. */
double RequestRun::judgeSize()
{
    const double tokens = double(facts_.promptTokens) + outputTokenWeight * double(facts_.maxOutputTokens);
    const double mean = shared_.tokens.learn(route_->id, tokens);
    return mean > 0 ? fixedCredit + (1 - fixedCredit) * std::min(tokens / mean, mostSize) : 1;
}

// ---------------------------------------------------------------------------------------------------------------------
// Sends

void RequestRun::dispatch()
{
    phase_ = Phase::Waiting;
    const auto *service = routes_->service(service_);
    const auto results = stages_ ? stages_->resultBytes() : ResultBytes();
    const auto *entry = placement_->choose(tried_, service != nullptr ? service->maxConnections : 0, results);
    if (entry == nullptr) {
        giveUp("no endpoint");
        return;
    }
    send(*entry, results);
}

void RequestRun::send(const routing::EndpointEntry &entry, const ResultBytes &results)
{
    phase_ = Phase::Sent;
    body_.clear();
    userplatform::SendFacts facts;
    facts.endpoint = entry.id;
    if (holder_ != nullptr) {
        facts.workspace = holder_->workspace;
    }
    facts.left = deadline_ - now();
    if (stages_) {
        facts.inputs = stages_->finalResults();
    }
    if (route_->kind == RouteKind::Stream) {
        facts.urgency = std::clamp(baseUrgency + rank(), 0, lowestUrgency);
    }
    if (!lastEvent_.empty()) {
        facts.lastEvent = lastEvent_;
    }
    SendHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onHead = [weak] {
        if (const auto self = weak.lock()) {
            self->headReceived();
        }
    };
    handlers.onBody = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->bodyReceived(bytes);
        }
    };
    handlers.onEnd = [weak](const net::HttpEnd &end) {
        if (const auto self = weak.lock()) {
            self->sendEnded(end);
        }
    };
    const double workMs = placement_->workMs(entry, results);
    shared_.prefixes.used(entry.id, facts_.promptParts, now());
    send_ = std::make_shared<EndpointSend>(shared_, entry, workMs, std::move(handlers));
    send_->start(userplatform::makeForwardCall(request_, facts_, entry.address, facts));
}

void RequestRun::headReceived()
{
    if (route_->kind != RouteKind::Stream || !send_->isGenuine(facts_.id)) {
        return;
    }
    phase_ = Phase::Forwarding;
    if (!headPassed_) {
        headPassed_ = true;
        writer_.begin(send_->head().status, userplatform::passedHeaders(send_->head()));
    }
}

void RequestRun::bodyReceived(std::string_view bytes)
{
    if (phase_ != Phase::Forwarding) {
        body_ += bytes;
        return;
    }
    // The engine has read its inputs and prompt.
    send_->workDone();
    if (stages_ && stages_->holdsResults()) {
        stages_->releaseAll();
    }
    forwardEvents(bytes);
}

void RequestRun::forwardEvents(std::string_view bytes)
{
    if (!route_->isResumable) {
        passOn(bytes);
        return;
    }
    // Only whole events, so that another engine can go on after the last of them.
    for (const auto &event : splitter_.feed(bytes)) {
        if (!event.id.empty()) {
            lastEvent_ = event.id;
        }
        passOn(event.bytes);
    }
}

void RequestRun::passOn(std::string_view bytes)
{
    eventPassed_ = true;
    if (writer_.write(bytes) == net::WriteOutcome::Full) {
        fail(0, "caller reads too slowly");
    }
}

void RequestRun::sendEnded(const net::HttpEnd &end)
{
    if (end.error) {
        answerBroken(end);
    } else if (send_->facts().notRun) {
        answerNotRun();
    } else {
        answerWhole();
    }
}

void RequestRun::answerWhole()
{
    ++sends_;
    const auto &head = send_->head();
    if (phase_ == Phase::Forwarding) {
        closeSend(dispatch::SendOutcome::Answered);
        if (splitter_.pendingBytes() > 0) {
            // The rest of a resumable stream was held back as no whole event, so the answer can't be passed on whole.
            fail(0, "the stream ended within an event");
            return;
        }
        writer_.end();
        finish(head.status, "streamed");
        return;
    }
    mayHaveRun_ = true;
    if (send_->isGenuine(facts_.id)) {
        closeSend(dispatch::SendOutcome::Answered);
        writer_.respond(head.status, userplatform::passedHeaders(head), body_);
        finish(head.status, "answered");
        return;
    }
    closeSend(dispatch::SendOutcome::Failed);
    const std::string_view why = send_->isSuccess() ? "spoilt answer" : "endpoint's failure";
    if (sendAgain(why, true)) {
        return;
    }
    const bool isOwnFailure = send_->facts().isSealed && head.status >= net::status::internalError;
    if (isOwnFailure && !headPassed_) {
        writer_.respond(head.status, userplatform::passedHeaders(head), body_);
        finish(head.status, why);
        return;
    }
    fail(net::status::badGateway, why);
}

void RequestRun::answerNotRun()
{
    const bool isOther = send_->facts().isOtherEndpoint;
    const bool missesInputs = send_->head().status == net::status::conflict;
    closeSend(isOther || missesInputs ? dispatch::SendOutcome::Answered : dispatch::SendOutcome::Declined);
    if (!isOther) {
        ++sends_;
    }
    if (missesInputs && stages_ && ++inputRepeats_ <= maxInputRepeats && shared_.budget(service_).allowRepeat(now())) {
        makeStagesAgain();
        return;
    }
    if (!sendAgain("not run", false)) {
        giveUp("not run by the endpoint");
    }
}

void RequestRun::answerBroken(const net::HttpEnd &end)
{
    if (!end.requestWritten) {
        shared_.endpointUnreachable(send_->endpoint());
        closeSend(dispatch::SendOutcome::Unreachable);
        if (!sendAgain("unreachable", false)) {
            giveUp("unreachable");
        }
        return;
    }
    ++sends_;
    mayHaveRun_ = true;
    if (end.error->kind == ErrorKind::ConnectionLost) {
        shared_.crashes.connectionLost(send_->endpoint(), fingerprint_, now());
    }
    closeSend(dispatch::SendOutcome::Failed);
    if (!sendAgain(toText(end.error->kind), true)) {
        fail(net::status::badGateway, toText(end.error->kind));
    }
}

void RequestRun::closeSend(dispatch::SendOutcome outcome)
{
    if (send_ && send_->isOpen()) {
        send_->close(outcome);
        tried_.push_back(send_->endpoint());
    }
}

/** Sends again, or resumes, if the route, the time and the budget allow it. @param ran the last endpoint may have */
bool RequestRun::sendAgain(std::string_view why, bool ran)
{
    const bool allowed = (!ran || route_->mayRepeat()) && sends_ < route_->maxEndpoints
        && deadline_ - now() > leastTimeToSendAgain && (!headPassed_ || route_->isResumable);
    const bool reached = sends_ > 0;
    if (!allowed || (reached && !shared_.budget(service_).allowRepeat(now()))) {
        return false;
    }
    shared_.decisions.write(eventPassed_ ? "request resumed" : "request sent again",
                            { { "request", facts_.id },
                              { "route", route_->id },
                              { "why", why },
                              { "sends", sends_ },
                              { "after_event", lastEvent_ } },
                            now());
    splitter_.reset();
    if (stages_ && !stages_->holdsResults()) {
        // The results were given up once the last engine had read them.
        makeStagesAgain();
    } else {
        dispatch();
    }
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// Ends

void RequestRun::refuse(int status, std::string_view why, std::optional<Duration> comeBack)
{
    net::Headers headers;
    if (comeBack) {
        const auto before = shared_.refused.firstTry(fingerprint_, now());
        shared_.refused.refused({ fingerprint_, before.value_or(request_.receivedAt) }, now());
        headers = userplatform::retryAfter(shared_.random.jitter(*comeBack, comeBackSpread));
    }
    writer_.respond(status, headers, {});
    finish(status, why);
}

/** Ends a request for which nothing more can be done: refused if it surely has not run, else failed. */
void RequestRun::giveUp(std::string_view why)
{
    if (mayHaveRun_ || headPassed_) {
        fail(net::status::badGateway, why);
    } else {
        refuse(net::status::unavailable, why, comeBackAfter);
    }
}

/** Ends a request that may have run; a stream that has begun is cut off. */
void RequestRun::fail(int status, std::string_view why)
{
    if (headPassed_) {
        writer_.abort();
    } else {
        writer_.respond(status, {}, {});
    }
    finish(status, why);
}

void RequestRun::finish(int status, std::string_view outcome)
{
    if (phase_ == Phase::Done) {
        return;
    }
    const auto self = shared_from_this();
    const Duration time = now() - request_.receivedAt;
    const std::string route = route_ != nullptr ? route_->id.text() : std::string();
    const auto firstByte = send_ ? send_->firstByte() : std::nullopt;
    shared_.decisions.write(
        "request done",
        { { "request", facts_.id },
          { "route", route },
          { "state", routes_ ? routes_->state().version : routing::StateVersion() },
          { "status", status },
          { "outcome", outcome },
          { "ms", toMilliseconds(time) },
          { "stages_ms", stagesDoneAt_ ? toMilliseconds(*stagesDoneAt_ - request_.receivedAt) : -1 },
          { "first_byte_ms", firstByte ? toMilliseconds(*firstByte) : -1 },
          { "sends", sends_ },
          { "endpoint", send_ ? send_->endpoint() : EndpointId() } },
        now());
    shared_.count(route, status, time);
    phase_ = Phase::Done;
    shared_.context.loop.timers().cancel(deadlineTimer_);
    closeSend(dispatch::SendOutcome::Abandoned);
    if (stages_) {
        stages_->stop();
    }
    writer_.onClosed(nullptr);
    shared_.open.erase(self);
}

void RequestRun::deadlineReached()
{
    const bool sent = mayHaveRun_ || phase_ == Phase::Sent || phase_ == Phase::Forwarding;
    if (sent) {
        fail(net::status::gatewayTimeout, "time limit");
    } else {
        refuse(net::status::unavailable, "time limit", comeBackAfter);
    }
}

void RequestRun::callerGone()
{
    finish(0, "caller gone");
}

} // namespace lacewing::gateway
