#include "request_run.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using routing::RouteKind;
using userplatform::PieceFailure;

constexpr int okStatus = 200;
constexpr int firstFailureStatus = 300;
constexpr int serverErrorStatus = 500;

/** Wait for a connection to an endpoint; links within a region take a few ms. */
constexpr Duration connectLimit = 400ms;
/** Time that is kept for the engine to read a prompt and give its first event, when stages are given their due times.
 */
constexpr Duration engineReserve = 200ms;
/** Time that a stage takes at usual load, for the due times of the stages before it. */
constexpr Duration stageReserve = 300ms;
/** Least time that a stage takes, for the limits of the stages before it. */
constexpr Duration stageLeast = 150ms;
/** Least time that an engine takes. */
constexpr Duration engineLeast = 100ms;
/** A request whose stages aren't done after this many times its target is given up. */
constexpr double latestOverTarget = 2.0;
/** Pieces of one request that are made again at most. */
constexpr int maxPieceRepeats = 20;
/** Pause before a piece is made again for which there was no memory. */
constexpr Duration noRoomPause = 40ms;
/** A request isn't sent again with less time than this left. */
constexpr Duration leastTimeToSendAgain = 60ms;
/** Time after which a refused caller may come back, and by how much it is spread so that they don't return together. */
constexpr Duration comeBackAfter = 400ms;
constexpr double comeBackSpread = 0.5;
/** Prompt tokens that an engine reads in a ms; typical of the engines in use. */
constexpr double promptTokensPerMs = 90;
/** A result that another zone holds makes a send there longer by this, in ms for each MB: it stands for the cost of
 * bytes between zones. */
constexpr double otherZoneMsPerMegabyte = 40;
/** Preference for the engine to which all VMs send a session, in ms for each of its tokens: above the time to read
 * them, as engines are then free for other prompts. */
constexpr double sessionMsPerToken = 0.03;
/** A session with fewer tokens doesn't decide where the request's results are made. */
constexpr std::uint32_t leastSessionTokens = 1'000;
/** Output tokens weigh this much against prompt tokens in the size of a request. */
constexpr double outputTokenWeight = 10;
/** Weight of the newest request in a route's learned mean size. */
constexpr double meanGain = 0.05;
/** Urgency that engines use when none is given; the ranks of routes are laid around it. */
constexpr int baseUrgency = 3;
constexpr int lowestUrgency = 9;

} // namespace

dispatch::RetryBudget &RunShared::budget(const routing::ServiceId &service)
{
    auto &budget = budgets.try_emplace(service, context.settings.retry).first->second;
    budget.setVms(links.liveCount());
    return budget;
}

void RunShared::count(const std::string &route, int status, Duration time)
{
    constexpr int hundreds = 100;
    const std::string statusClass = status == 0 ? "none" : std::to_string(status / hundreds) + "xx";
    context.metrics
        .counter({ "requests", "Requests that have ended" }, { { "route", route }, { "status", statusClass } })
        .add();
    context.metrics
        .histogram({ "request_time", "From the arrival of a request to its final answer", telemetry::Unit::Seconds },
                   { { "status", statusClass } },
                   telemetry::latencyBuckets())
        .observe(time);
}

void RunShared::endpointUnreachable(const EndpointId &endpoint)
{
    for (const auto request : crashes.unreachable(endpoint, context.now())) {
        const int count = suspects.crashed(request, context.now());
        context.logger.state("suspect request",
                             { { "fingerprint", request }, { "endpoint", endpoint }, { "crashes", count } });
        links.sendToAll(
            envelope(MessageKind::Suspect, SuspectMessage { request.value(), static_cast<std::uint32_t>(count) }));
    }
}

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
    const Duration patience = std::min(facts_.patience.value_or(route_->timeout), route_->timeout);
    deadline_ = request_.receivedAt + patience;
    if (deadline_ <= now()) {
        refuse(net::status::unavailable, "no time left", std::nullopt);
        return;
    }
    deadlineTimer_ = shared_.context.loop.timers().once(deadline_, [weak = weak_from_this()](Time) {
        if (const auto self = weak.lock()) {
            self->deadlineReached();
        }
    });
    service_ = chooseService();
    shared_.budget(service_).requestSeen(now());
    const bool hasStages = std::any_of(
        facts_.pieceCounts.begin(), facts_.pieceCounts.end(), [](std::uint32_t count) { return count > 0; });
    if (hasStages && !route_->stages.empty()) {
        beginStages();
    } else {
        chooseSessionEngine();
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

routing::ServiceId RequestRun::chooseService()
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

/** Refuses a request whose stages can't be done in time. */
bool RequestRun::admitStages()
{
    std::uint32_t pieces = 0;
    for (std::uint32_t stage = 0; stage < route_->stages.size(); ++stage) {
        pieces += plan_->pieceCount(stage);
    }
    double &mean = shared_.meanPieces[route_->id];
    mean = mean == 0 ? pieces : mean + meanGain * (pieces - mean);
    stages::PathRequest path;
    path.elapsed = now() - request_.receivedAt;
    path.target = route_->target;
    path.afterStages = engineReserve;
    path.rank = holder_ != nullptr && holder_->rank ? *holder_->rank : route_->rank;
    path.relativeWorth = size_ * mean / std::max<double>(pieces, 1);
    path.isReturning = shared_.refused.isReturning(fingerprint_, now());
    const auto decision = shared_.pieces.admission().decide(*plan_, path, now());
    if (!decision.admitted) {
        shared_.decisions.write("stages too busy",
                                { { "request", facts_.id },
                                  { "predicted_ms", toMilliseconds(decision.predicted) },
                                  { "target_ms", toMilliseconds(route_->target) },
                                  { "rank", path.rank },
                                  { "relative_worth", path.relativeWorth },
                                  { "returning", path.isReturning },
                                  { "report_age_ms", toMilliseconds(decision.reportAge) },
                                  { "come_back_ms", toMilliseconds(decision.comeBackAfter) } },
                                now());
        refuse(net::status::unavailable, "stages too busy", decision.comeBackAfter);
    }
    return decision.admitted;
}

/** The engine to which all VMs send the request's session, by rendezvous hashing. */
void RequestRun::chooseSessionEngine()
{
    if (facts_.promptParts.size() < 2) {
        return;
    }
    const std::uint64_t session = facts_.promptParts[facts_.promptParts.size() - 2].id;
    std::uint64_t best = 0;
    for (const auto *entry : shared_.state.endpoints().serving(service_)) {
        const std::uint64_t rank = hashBytes(entry->id.text(), session);
        if (rank >= best && !shared_.chooser.isLeftOut(entry->id, now())) {
            best = rank;
            sessionEngine_ = entry->id;
        }
    }
}

/** Learns the size of the route's requests, and sets what this one is worth against them. */
void RequestRun::judgeWorth()
{
    const double tokens = double(facts_.promptTokens) + outputTokenWeight * double(facts_.maxOutputTokens);
    double &mean = shared_.meanTokens[route_->id];
    mean = mean == 0 ? tokens : mean + meanGain * (tokens - mean);
    size_ = mean > 0 ? 0.3 + 0.7 * std::min(tokens / mean, 4.0) : 1;
    worth_ = size_ / (1.0 + route_->rank);
}

// ---------------------------------------------------------------------------------------------------------------------
// Stages

void RequestRun::beginStages()
{
    phase_ = Phase::Stages;
    chooseSessionEngine();
    plan_.emplace(route_->stages, facts_.pieceCounts);
    judgeWorth();
    if (!admitStages()) {
        return;
    }
    for (std::uint32_t stage = 0; stage < route_->stages.size(); ++stage) {
        if (plan_->pieceCount(stage) > 0) {
            shared_.budget(route_->stages[stage].service).requestSeen(now());
        }
    }
    submitReady();
}

void RequestRun::submitReady()
{
    std::unordered_map<routing::ServiceId, std::vector<stages::PieceOrder>> byService;
    for (const auto &piece : plan_->takeReady()) {
        byService[route_->stages[piece.index.stage].service].push_back(makeOrder(piece));
    }
    for (auto &[service, orders] : byService) {
        std::vector<stages::PieceIndex> indices;
        for (const auto &order : orders) {
            indices.push_back(order.index);
        }
        auto callback = [weak = weak_from_this(), indices](std::size_t index, const PieceOutcome &outcome) {
            if (const auto self = weak.lock()) {
                self->pieceDone(indices[index], outcome);
            }
        };
        submissions_.push_back(shared_.pieces.submit(service, resultZone(), std::move(orders), std::move(callback)));
    }
}

stages::PieceOrder RequestRun::makeOrder(const stages::ReadyPiece &piece) const
{
    const auto &stage = route_->stages[piece.index.stage];
    const auto following = std::int64_t(plan_->depthAfter(piece.index.stage));
    const auto latest = Duration(std::int64_t(double(route_->target.count()) * latestOverTarget));
    stages::PieceOrder order;
    order.request = facts_.id;
    order.index = piece.index;
    order.key = facts_.pieceKey;
    order.inputs = piece.inputs;
    order.due = request_.receivedAt + route_->target - engineReserve - stageReserve * following;
    order.limit = std::min(deadline_, request_.receivedAt + latest) - engineLeast - stageLeast * following;
    order.worth = worth_;
    order.resultBytes = stage.resultBytes;
    std::uint64_t inputBytes = 0;
    for (const auto before : stage.after) {
        inputBytes += std::uint64_t(plan_->pieceCount(before)) * route_->stages[before].resultBytes.value();
    }
    order.zoneBytes = Bytes(stage.after.empty() ? stage.resultBytes.value() : inputBytes);
    return order;
}

void RequestRun::pieceDone(stages::PieceIndex index, const PieceOutcome &outcome)
{
    if (phase_ == Phase::Done) {
        if (outcome.result) {
            shared_.pieces.release(route_->stages[index.stage].service, { *outcome.result });
        }
        return;
    }
    if (!outcome.result) {
        pieceFailed(index, outcome.failure);
        return;
    }
    const auto &handle = outcome.result->handle;
    results_[handle] = *outcome.result;
    stageOfResult_[handle] = index.stage;
    plan_->completed(index, handle);
    releaseUnneeded();
    if (plan_->isComplete()) {
        stagesDoneAt_ = now();
        dispatch();
    } else {
        submitReady();
    }
}

void RequestRun::pieceFailed(stages::PieceIndex index, PieceFailure failure)
{
    if (failure == PieceFailure::Late) {
        giveUp("stage too late");
        return;
    }
    const bool wasMade = failure == PieceFailure::Failed;
    const auto &service = route_->stages[index.stage].service;
    if (++pieceRepeats_ > maxPieceRepeats || (wasMade && !shared_.budget(service).allowRepeat(now()))) {
        giveUp("stage failed");
        return;
    }
    if (failure == PieceFailure::InputsGone) {
        plan_->inputsGone(index);
    } else {
        plan_->failed(index);
    }
    const Duration pause = failure == PieceFailure::NoRoom ? noRoomPause : 0ms;
    shared_.context.loop.timers().once(now() + pause, [weak = weak_from_this()](Time) {
        const auto self = weak.lock();
        if (self && self->phase_ == Phase::Stages) {
            self->submitReady();
        }
    });
}

void RequestRun::releaseUnneeded()
{
    releaseHandles(plan_->takeReleasable());
}

void RequestRun::releaseAll()
{
    if (plan_) {
        releaseHandles(plan_->takeAll());
    }
}

void RequestRun::releaseHandles(const std::vector<stages::ResultHandle> &handles)
{
    std::unordered_map<routing::ServiceId, std::vector<HeldResult>> byService;
    for (const auto &handle : handles) {
        const auto found = results_.find(handle);
        if (found == results_.end()) {
            continue;
        }
        byService[route_->stages[stageOfResult_[handle]].service].push_back(found->second);
        results_.erase(found);
        stageOfResult_.erase(handle);
    }
    for (const auto &[service, results] : byService) {
        shared_.pieces.release(service, results);
    }
}

/** Tokens of the part of the prompt that the requests of a session share; the last part is the request's own. */
std::uint32_t RequestRun::sessionTokens() const
{
    return facts_.promptParts.size() > 1 ? facts_.promptParts[facts_.promptParts.size() - 2].tokens : 0;
}

/** The zone of the engine to which the request's session belongs; this VM's own if its results needn't be there. */
AvailabilityZoneId RequestRun::sessionZone() const
{
    const auto *engine =
        sessionTokens() >= leastSessionTokens ? shared_.state.endpoints().find(sessionEngine_) : nullptr;
    return engine != nullptr && shared_.links.isZoneHeard(engine->zone) ? engine->zone : shared_.context.settings.zone;
}

/** The zone that holds most bytes of the results at hand. */
AvailabilityZoneId RequestRun::resultZone() const
{
    std::unordered_map<AvailabilityZoneId, std::uint64_t> bytes;
    for (const auto &[handle, result] : results_) {
        if (const auto *entry = shared_.state.endpoints().find(result.endpoint)) {
            bytes[entry->zone] += 1 + route_->stages[stageOfResult_.at(handle)].resultBytes.value();
        }
    }
    const auto most =
        std::max_element(bytes.begin(), bytes.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == bytes.end() ? sessionZone() : most->first;
}

// ---------------------------------------------------------------------------------------------------------------------
// Sends

void RequestRun::dispatch()
{
    phase_ = Phase::Waiting;
    const auto choices = candidates();
    const auto *entry = shared_.chooser.choose(choices, shared_.context.settings.zone, now());
    if (entry == nullptr) {
        giveUp("no endpoint");
        return;
    }
    send(*entry);
}

std::vector<dispatch::Candidate> RequestRun::candidates() const
{
    std::vector<dispatch::Candidate> all;
    std::vector<dispatch::Candidate> heard;
    const auto *service = routes_->service(service_);
    const std::size_t vms = shared_.links.liveCount();
    const std::size_t connections = service != nullptr ? service->maxConnections : 0;
    for (const auto *entry : shared_.state.endpoints().serving(service_)) {
        const bool wasTried = std::find(tried_.begin(), tried_.end(), entry->id) != tried_.end();
        const bool isFull =
            connections > 0 && shared_.chooser.open(entry->id) >= std::max<std::size_t>(connections / vms, 2);
        if (wasTried || isFull) {
            continue;
        }
        const dispatch::Candidate candidate { entry, extraMs(*entry) };
        all.push_back(candidate);
        if (shared_.links.isZoneHeard(entry->zone)) {
            heard.push_back(candidate);
        }
    }
    return heard.empty() ? all : heard;
}

/** Time that this request adds at an endpoint: reading its prompt, and moving its inputs. */
double RequestRun::extraMs(const routing::EndpointEntry &entry) const
{
    constexpr double bytesInMegabyte = 1e6;
    double ms = 0;
    if (facts_.promptTokens > 0) {
        const auto kept = shared_.prefixes.keptTokens(entry.id, facts_.promptParts, now());
        ms += double(facts_.promptTokens - std::min(kept, facts_.promptTokens)) / promptTokensPerMs;
        // All VMs send a session to the same engine if they can, so that its part is read there alone.
        if (entry.id != sessionEngine_) {
            ms += sessionMsPerToken * double(sessionTokens());
        }
    }
    for (const auto &[handle, result] : results_) {
        const auto *holder = shared_.state.endpoints().find(result.endpoint);
        if (holder == nullptr || holder->zone != entry.zone) {
            const auto bytes = route_->stages[stageOfResult_.at(handle)].resultBytes.value();
            ms += double(bytes) / bytesInMegabyte * otherZoneMsPerMegabyte;
        }
    }
    return ms;
}

void RequestRun::send(const routing::EndpointEntry &entry)
{
    phase_ = Phase::Sent;
    endpoint_ = entry;
    sentAt_ = now();
    firstByte_.reset();
    body_.clear();
    head_ = {};
    answer_ = {};
    userplatform::SendFacts facts;
    facts.endpoint = entry.id;
    if (holder_ != nullptr) {
        facts.workspace = holder_->workspace;
    }
    facts.left = deadline_ - now();
    if (plan_) {
        facts.inputs = plan_->finalInputs();
    }
    if (route_->kind == RouteKind::Stream) {
        const int rank = holder_ != nullptr && holder_->rank ? *holder_->rank : route_->rank;
        facts.urgency = std::clamp(baseUrgency + rank, 0, lowestUrgency);
    }
    if (!lastEvent_.empty()) {
        facts.lastEvent = lastEvent_;
    }
    workMs_ = extraMs(entry);
    shared_.chooser.sendStarted(entry.id, workMs_, now());
    shared_.prefixes.used(entry.id, facts_.promptParts, now());
    net::HttpHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onHead = [weak](const net::HttpHead &head) {
        if (const auto self = weak.lock()) {
            self->headReceived(head);
        }
    };
    handlers.onBody = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->bodyReceived(bytes);
        }
    };
    handlers.onDone = [weak](const net::HttpEnd &end) {
        if (const auto self = weak.lock()) {
            self->sendEnded(end);
        }
    };
    call_ = shared_.client.start(userplatform::makeForwardCall(request_, facts_, entry.address, facts),
                                 { connectLimit, 0s, 0s, 0s },
                                 std::move(handlers));
}

void RequestRun::headReceived(const net::HttpHead &head)
{
    head_ = head;
    answer_ = userplatform::readAnswerFacts(head);
    firstByte_ = now() - sentAt_;
    if (answer_.load) {
        shared_.chooser.loadReported(endpoint_->id, *answer_.load, now());
    }
    if (answer_.isOtherEndpoint) {
        shared_.state.endpoints().reject(endpoint_->id);
    }
    if (route_->kind == RouteKind::Stream && isGenuine()) {
        phase_ = Phase::Forwarding;
        if (!headPassed_) {
            headPassed_ = true;
            writer_.begin(head.status, userplatform::passedHeaders(head));
        }
    }
}

/** True for a success that carries what proves it to be the endpoint's answer to this request. */
bool RequestRun::isGenuine() const
{
    const bool isSuccess = head_.status >= okStatus && head_.status < firstFailureStatus;
    return isSuccess && answer_.isSealed && answer_.requestId == facts_.id.text();
}

void RequestRun::bodyReceived(std::string_view bytes)
{
    if (phase_ != Phase::Forwarding) {
        body_ += bytes;
        return;
    }
    firstEvent();
    forwardEvents(bytes);
}

/** The engine has read its inputs and prompt. */
void RequestRun::firstEvent()
{
    if (workMs_ > 0) {
        shared_.chooser.workDone(endpoint_->id, workMs_);
        workMs_ = 0;
    }
    if (!results_.empty()) {
        releaseAll();
    }
}

void RequestRun::forwardEvents(std::string_view bytes)
{
    if (!route_->isResumable) {
        eventPassed_ = true;
        if (writer_.write(bytes) == net::WriteOutcome::Full) {
            fail(0, "caller reads too slowly");
        }
        return;
    }
    // Only whole events, so that another engine can go on after the last of them.
    for (const auto &event : splitter_.feed(bytes)) {
        if (!event.id.empty()) {
            lastEvent_ = event.id;
        }
        eventPassed_ = true;
        if (writer_.write(event.bytes) == net::WriteOutcome::Full) {
            fail(0, "caller reads too slowly");
            return;
        }
    }
}

void RequestRun::sendEnded(const net::HttpEnd &end)
{
    call_ = {};
    if (phase_ == Phase::Done) {
        return;
    }
    if (!end.error && answer_.notRun) {
        answerNotRun();
    } else if (!end.error) {
        answerWhole();
    } else {
        answerBroken(end);
    }
}

void RequestRun::answerWhole()
{
    ++sends_;
    if (phase_ == Phase::Forwarding) {
        closeSend(dispatch::SendOutcome::Answered);
        if (splitter_.pendingBytes() > 0) {
            // Bytes after the last whole event are no event, but they are part of the answer.
            fail(0, "the stream ended within an event");
            return;
        }
        writer_.end();
        finish(head_.status, "streamed");
        return;
    }
    const bool isSuccess = head_.status >= okStatus && head_.status < firstFailureStatus;
    mayHaveRun_ = true;
    if (isGenuine()) {
        closeSend(dispatch::SendOutcome::Answered);
        writer_.respond(head_.status, userplatform::passedHeaders(head_), body_);
        finish(head_.status, "answered");
        return;
    }
    closeSend(dispatch::SendOutcome::Failed);
    if (sendAgain(isSuccess ? "spoilt answer" : "endpoint's failure", true)) {
        return;
    }
    const bool isOwnFailure = !isSuccess && answer_.isSealed && head_.status >= serverErrorStatus;
    if (isOwnFailure && !headPassed_) {
        writer_.respond(head_.status, userplatform::passedHeaders(head_), body_);
        finish(head_.status, "endpoint's failure");
        return;
    }
    fail(net::status::badGateway, isSuccess ? "spoilt answer" : "endpoint's failure");
}

void RequestRun::answerNotRun()
{
    const int status = head_.status;
    const bool isConflict = status == net::status::conflict;
    closeSend(answer_.isOtherEndpoint || isConflict ? dispatch::SendOutcome::Answered
                                                    : dispatch::SendOutcome::Declined);
    if (!answer_.isOtherEndpoint) {
        ++sends_;
    }
    if (isConflict && plan_) {
        plan_->finalInputsGone();
        if (++pieceRepeats_ <= 2 && shared_.budget(service_).allowRepeat(now())) {
            phase_ = Phase::Stages;
            submitReady();
            return;
        }
    }
    if (!sendAgain("not run", false)) {
        giveUp("not run by the endpoint");
    }
}

void RequestRun::answerBroken(const net::HttpEnd &end)
{
    if (!end.requestWritten) {
        shared_.endpointUnreachable(endpoint_->id);
        closeSend(dispatch::SendOutcome::Unreachable);
        if (!sendAgain("unreachable", false)) {
            giveUp("unreachable");
        }
        return;
    }
    ++sends_;
    mayHaveRun_ = true;
    if (end.error->kind == ErrorKind::ConnectionLost) {
        shared_.crashes.connectionLost(endpoint_->id, fingerprint_, now());
    }
    closeSend(dispatch::SendOutcome::Failed);
    if (!sendAgain(toText(end.error->kind), true)) {
        fail(net::status::badGateway, toText(end.error->kind));
    }
}

void RequestRun::closeSend(dispatch::SendOutcome outcome)
{
    if (!endpoint_) {
        return;
    }
    if (workMs_ > 0) {
        shared_.chooser.workDone(endpoint_->id, workMs_);
        workMs_ = 0;
    }
    shared_.chooser.sendEnded(endpoint_->id, outcome, firstByte_, now());
    tried_.push_back(endpoint_->id);
    endpoint_.reset();
}

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
    if (plan_ && results_.empty()) {
        // The results were given up once the first engine had read them.
        plan_->finalInputsGone();
        phase_ = Phase::Stages;
        submitReady();
        return true;
    }
    dispatch();
    return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// Ends

void RequestRun::refuse(int status, std::string_view why, std::optional<Duration> comeBack)
{
    net::Headers headers;
    if (comeBack) {
        shared_.refused.refused(fingerprint_, now());
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
    const Time end = now();
    const auto stagesMs = stagesDoneAt_ ? toMilliseconds(*stagesDoneAt_ - request_.receivedAt) : -1;
    shared_.decisions.write("request done",
                            { { "request", facts_.id },
                              { "route", route_ != nullptr ? route_->id.text() : std::string() },
                              { "state", routes_ ? routes_->state().version : routing::StateVersion() },
                              { "status", status },
                              { "outcome", outcome },
                              { "ms", toMilliseconds(end - request_.receivedAt) },
                              { "stages_ms", stagesMs },
                              { "first_byte_ms", firstByte_ ? toMilliseconds(*firstByte_) : -1 },
                              { "sends", sends_ },
                              { "endpoint",
                                endpoint_            ? endpoint_->id.text()
                                    : tried_.empty() ? std::string()
                                                     : tried_.back().text() } },
                            end);
    shared_.count(route_ != nullptr ? route_->id.text() : std::string(), status, end - request_.receivedAt);
    phase_ = Phase::Done;
    shared_.context.loop.timers().cancel(deadlineTimer_);
    for (const auto submission : submissions_) {
        shared_.pieces.cancel(submission);
    }
    if (call_ != net::HttpCallHandle()) {
        shared_.client.cancel(std::exchange(call_, {}));
    }
    closeSend(dispatch::SendOutcome::Abandoned);
    releaseAll();
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
