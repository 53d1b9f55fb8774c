#include "batch_dispatcher.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using userplatform::PieceFailure;

/** Delay before a call to an idle endpoint, so that pieces that become ready together share one call. */
constexpr Duration batchingDelay = 2ms;
constexpr Duration connectTimeout = 300ms;
/** Fraction of the drain timeout after which calls that a leaving endpoint may not have started are aborted. The rest
 * of the timeout covers the delay until this VM learns that the endpoint leaves. */
constexpr int drainShareNumerator = 3;
constexpr int drainShareDenominator = 5;
/** Time for which an endpoint is not used after a failed connection attempt. */
constexpr Duration unreachableBackoff = 700ms;
/** Delay by which releases to the same endpoint are combined. */
constexpr Duration releaseDelay = 20ms;
/** Time limit for a release call. */
constexpr Duration releaseTimeout = 2s;
/** Minimum interval between timed scheduler runs. */
constexpr Duration minRecheckInterval = 20ms;
/** Connections to one endpoint, for calls and for releases each. */
constexpr std::size_t maxConnectionsPerEndpoint = 16;
constexpr Duration idleTimeout = 4s;
/** Maximum size of a response: a handle or reason for each piece of a call. */
constexpr std::size_t maxResponseBytes = std::size_t(1) << 20U;

/** Returns the upper bounds of the histogram buckets of call fullness: 0.1 to 1. */
std::vector<double> fullnessBuckets()
{
    std::vector<double> buckets;
    for (int tenth = 1; tenth <= 10; ++tenth) {
        buckets.push_back(tenth / 10.0);
    }
    return buckets;
}

net::HttpClientOptions clientOptions(EndpointConnectionLog &log)
{
    return net::HttpClientOptions()
        .maxPerAddress(maxConnectionsPerEndpoint)
        .keepIdle(idleTimeout)
        .maxAge(stages::AnswerHistory::maxConnectionAge)
        .maxBodyBytes(maxResponseBytes)
        .reuseOnlyIdentified(true)
        .observer([&log](const net::HttpClientEvent &event) { log.write(event); });
}

} // namespace

BatchDispatcherContext::BatchDispatcherContext(Context &processContext,
                                               FleetLinks &fleetLinks,
                                               FleetState &fleetState,
                                               EndpointNotices &endpointNotices,
                                               EndpointReachability &endpointReachability,
                                               PoisonRequestGuard &poisonRequestGuard)
    : context(processContext)
    , links(fleetLinks)
    , state(fleetState)
    , notices(endpointNotices)
    , reachability(endpointReachability)
    , poisonRequests(poisonRequestGuard)
    , connectionLog(context)
    , client(context.loop, clientOptions(connectionLog))
    , releaseClient(context.loop, clientOptions(connectionLog))
    , callCounter(context.metrics.counter({ "piece_calls", "Calls to endpoints of stages" }))
    , pieceCounter(context.metrics.counter({ "pieces", "Pieces in calls to endpoints of stages" }))
    , fullnessHistogram(context.metrics.histogram(
          { "piece_call_fullness", "Share of a call's pieces that was used" }, {}, fullnessBuckets()))
{
}

BatchDispatcher::BatchDispatcher(BatchDispatcherContext &shared, routing::ServiceId service, stages::CellId cell)
    : shared_(shared)
    , service_(std::move(service))
    , cell_(std::move(cell))
    , scheduler_({})
{
    scheduler_.setDrainTimeout(shared_.context.settings.drainTimeout * drainShareNumerator / drainShareDenominator);
    refresh();
}

void BatchDispatcher::refresh()
{
    const auto &routes = shared_.state.routes();
    const auto *service = routes ? routes->findService(service_) : nullptr;
    if (service != nullptr && service->batch) {
        traits_ = *service->batch;
        scheduler_.setTraits(traits_);
    }
    const auto &directory = shared_.state.endpoints();
    // Other zones run what is queued in a cell whose zone is evacuated; no more is added to it.
    const bool isCellEvacuated = !cell_.isEmpty() && directory.isEvacuated(AvailabilityZoneId(cell_.text()));
    std::vector<stages::BatchEndpoint> endpoints;
    for (const auto *entry : directory.availableEndpoints(service_)) {
        const bool isInCell = cell_.isEmpty() || isCellEvacuated || entry->zone.text() == cell_.text();
        if (isInCell && shared_.links.isZoneReachable(entry->zone)) {
            endpoints.push_back({ entry->id, entry->zone });
        }
    }
    scheduler_.setEndpoints(endpoints);
    scheduleRun(Duration::zero());
}

void BatchDispatcher::add(stages::PieceTask task, Callback callback)
{
    callbacks_.emplace(task.ticket, std::move(callback));
    task.isSuspect = shared_.poisonRequests.isSuspect(task);
    scheduler_.add(std::move(task));
    scheduleRun(batchingDelay);
}

void BatchDispatcher::cancel(stages::PieceTicket ticket)
{
    scheduler_.cancel(ticket);
    callbacks_.erase(ticket);
}

void BatchDispatcher::release(const HeldResult &result)
{
    scheduler_.releaseResult(result.handle);
    pendingReleases_[result.endpoint].push_back(result.handle);
    scheduleReleases(now() + releaseDelay);
}

void BatchDispatcher::scheduleReleases(Time due)
{
    if (releasesDueAt_ && *releasesDueAt_ <= due) {
        return;
    }
    releasesDueAt_ = due;
    shared_.context.loop.timers().once(due, [this](Time) {
        releasesDueAt_.reset();
        sendReleases();
    });
}

void BatchDispatcher::scheduleRun(Duration wait)
{
    auto &timers = shared_.context.loop.timers();
    const Time due = now() + wait;
    if (timer_ != TimerHandle() && timerDueAt_ <= due) {
        return;
    }
    timers.cancel(timer_);
    timerDueAt_ = due;
    timer_ = timers.once(due, [this](Time) {
        timer_ = TimerHandle();
        runScheduler();
    });
}

void BatchDispatcher::runScheduler()
{
    if (shared_.state.isConfirmationPending()) {
        if (!std::exchange(isConfirmationAwaited_, true)) {
            shared_.state.onConfirmed([this] {
                isConfirmationAwaited_ = false;
                runScheduler();
            });
        }
        return;
    }
    for (const auto &endpoint : scheduler_.takeDrainTimedOutEndpoints(now())) {
        abortCalls(endpoint);
    }
    if (shared_.state.endpoints().isEvacuated(service_)) {
        failWaiting();
    }
    for (const auto &task : scheduler_.takeExpired(now())) {
        notify(task.ticket, { std::nullopt, PieceFailure::DeadlineExceeded });
    }
    for (auto &call : scheduler_.takeCalls(now())) {
        send(std::move(call));
    }
    if (const auto due = scheduler_.nextWakeupTime(now())) {
        scheduleRun(std::max(*due - now(), minRecheckInterval));
    }
}

void BatchDispatcher::send(stages::BatchCall call)
{
    rejectQuarantined(call);
    const auto *entry = shared_.state.endpoints().find(call.endpoint);
    if (entry == nullptr || call.pieces.empty()) {
        scheduler_.recordCallEnd(call.endpoint, stages::CallOutcome::Rejected, 0, now());
        requeue(call);
        return;
    }
    if (const auto blockedUntil = shared_.notices.blockedUntil(entry->lifetime())) {
        // Another cell's call to it was turned away, or used its rate limit.
        scheduler_.recordCallEnd(call.endpoint, stages::CallOutcome::Rejected, 0, now());
        scheduler_.backOff(call.endpoint, *blockedUntil);
        requeue(call);
        return;
    }
    shared_.reachability.onSent(*entry);
    shared_.notices.onSend(entry->lifetime());
    if (const auto blockedUntil = shared_.notices.blockedUntil(entry->lifetime())) {
        scheduler_.backOff(call.endpoint, *blockedUntil);
    }
    shared_.callCounter.add();
    shared_.pieceCounter.add(double(call.pieces.size()));
    shared_.fullnessHistogram.observe(double(call.pieces.size()) / double(traits_.maxPiecesPerCall));
    const Duration timeout = scheduler_.callTimeout(call);
    auto request = userplatform::makePiecesCall(*entry, call.pieces, now());
    const std::uint64_t number = ++lastCallNumber_;
    const auto handle = net::fetch(
        shared_.client,
        std::move(request),
        { connectTimeout, timeout, timeout, connectTimeout + 2 * timeout },
        [this, number](const net::HttpEnd &end, const net::HttpResponse &response) {
            const auto inFlight = inFlightCalls_.extract(number);
            if (!inFlight.empty()) {
                handleCallEnd(inFlight.mapped(), end, response.head);
            }
        },
        [this, endpoint = *entry, sentAt = now()](const net::HttpHead &head) {
            // The call was aborted or timed out, but what the endpoint says still holds.
            shared_.notices.handleResponse(endpoint, userplatform::parseResponseMetadata(head), sentAt);
        },
        [this, number](const net::HttpResponse &response, net::ConnectionNumber connection) {
            const auto inFlight = inFlightCalls_.find(number);
            return inFlight != inFlightCalls_.end() && readResults(inFlight->second, response, connection);
        });
    inFlightCalls_.emplace(number, InFlightCall { std::move(call), *entry, handle, now() });
}

/** Reports the pieces that wait as failed, as no endpoint may run them. */
void BatchDispatcher::failWaiting()
{
    std::vector<stages::PieceTicket> waiting;
    for (const auto &[ticket, callback] : callbacks_) {
        if (scheduler_.cancel(ticket)) {
            waiting.push_back(ticket);
        }
    }
    for (const auto ticket : waiting) {
        notify(ticket, { std::nullopt, PieceFailure::Failed });
    }
}

/** Removes the pieces of quarantined requests from a call, and reports them as failed. */
void BatchDispatcher::rejectQuarantined(stages::BatchCall &call)
{
    std::vector<stages::PieceTicket> rejected;
    std::erase_if(call.pieces, [&](const stages::PieceTask &piece) {
        const bool isQuarantined = shared_.poisonRequests.isQuarantined(piece.fingerprint);
        if (isQuarantined) {
            rejected.push_back(piece.ticket);
        }
        return isQuarantined;
    });
    for (const auto ticket : rejected) {
        notify(ticket, { std::nullopt, PieceFailure::Failed });
    }
}

/** Aborts the calls in flight to a leaving endpoint, and reports their pieces as failed so that they are retried
 * elsewhere. */
void BatchDispatcher::abortCalls(const EndpointId &endpoint)
{
    std::vector<InFlightCall> aborted;
    std::erase_if(inFlightCalls_, [&](auto &item) {
        const bool isToEndpoint = item.second.call.endpoint == endpoint;
        if (isToEndpoint) {
            aborted.push_back(std::move(item.second));
        }
        return isToEndpoint;
    });
    for (const auto &inFlight : aborted) {
        shared_.client.cancel(inFlight.handle);
        shared_.reachability.onEnded();
        shared_.context.logger.state(
            "call aborted",
            { { "service", service_ }, { "endpoint", endpoint }, { "pieces", inFlight.call.pieces.size() } });
        scheduler_.recordCallEnd(endpoint, stages::CallOutcome::Lost, 0, now());
        reportFailed(inFlight.call);
    }
}

/**
 * Reads the results of a complete response, unless they belong to another call.
 *
 * @return whether the response certainly belongs to this call; one without results could belong to any
 */
bool BatchDispatcher::readResults(InFlightCall &inFlight,
                                  const net::HttpResponse &response,
                                  net::ConnectionNumber connection)
{
    const auto &pieces = inFlight.call.pieces;
    if (response.head.status != net::status::ok) {
        return false;
    }
    auto results = userplatform::parsePiecesResponse(response.body, pieces.size());
    if (!results) {
        return false;
    }
    const auto first = std::find_if(
        results.value().begin(), results.value().end(), [](const auto &result) { return result.handle.has_value(); });
    auto owner = stages::AnswerOwner::EitherCall;
    if (first != results.value().end()) {
        owner = shared_.answers.record(stages::ConnectionKey(connection.value()), pieces, *first->handle, now());
    }
    if (owner == stages::AnswerOwner::EarlierCall) {
        shared_.context.logger.warn(
            "answer of another call",
            { { "service", service_ }, { "endpoint", inFlight.call.endpoint }, { "pieces", pieces.size() } });
        return false;
    }
    inFlight.results = std::move(results.value());
    return owner == stages::AnswerOwner::ThisCall;
}

void BatchDispatcher::handleCallEnd(const InFlightCall &inFlight, const net::HttpEnd &end, const net::HttpHead &head)
{
    const auto &call = inFlight.call;
    shared_.reachability.onEnded();
    if (end.headReceived) {
        shared_.reachability.onReceived();
        shared_.notices.handleResponse(inFlight.entry, userplatform::parseResponseMetadata(head), inFlight.sentAt);
    }
    if (!end.error && !inFlight.results.empty()) {
        handleResults(call, inFlight.results);
    } else {
        handleCallFailure(inFlight, end, head);
    }
    scheduleRun(Duration::zero());
}

void BatchDispatcher::handleResults(const stages::BatchCall &call,
                                    const std::vector<userplatform::PieceResponse> &pieceResponses)
{
    const auto results = static_cast<std::size_t>(
        std::count_if(pieceResponses.begin(), pieceResponses.end(), [](const auto &pieceResponse) {
            return pieceResponse.handle.has_value();
        }));
    scheduler_.recordCallEnd(call.endpoint, stages::CallOutcome::Answered, results, now());
    for (std::size_t index = 0; index < call.pieces.size(); ++index) {
        const auto &piece = call.pieces[index];
        const auto &pieceResponse = pieceResponses[index];
        if (!pieceResponse.handle) {
            if (pieceResponse.failure == PieceFailure::OutOfMemory) {
                scheduler_.recordOutOfMemory(call.endpoint, piece.resultBytes, now());
            }
            notify(piece.ticket, { std::nullopt, pieceResponse.failure });
            continue;
        }
        shared_.poisonRequests.onPieceSucceeded(piece);
        const HeldResult result { *pieceResponse.handle, call.endpoint };
        scheduler_.recordResult(call.endpoint, result.handle, piece.resultBytes, now());
        if (!notify(piece.ticket, { result, {} })) {
            release(result);
        }
    }
}

void BatchDispatcher::handleCallFailure(const InFlightCall &inFlight,
                                        const net::HttpEnd &end,
                                        const net::HttpHead &head)
{
    const auto &call = inFlight.call;
    const auto metadata = userplatform::parseResponseMetadata(head);
    shared_.context.logger.state("call failed",
                                 { { "service", service_ },
                                   { "endpoint", call.endpoint },
                                   { "pieces", call.pieces.size() },
                                   { "status", head.status },
                                   { "error", end.error ? toText(end.error->kind) : std::string_view() },
                                   { "not_run", metadata.notRun } });
    if (metadata.isMisdirected) {
        shared_.state.endpoints().exclude(call.endpoint);
    }
    const bool isUnreachable = end.error && !end.requestWritten;
    const bool isRejected = !end.error && metadata.notRun;
    scheduler_.recordCallEnd(
        call.endpoint, isRejected ? stages::CallOutcome::Rejected : stages::CallOutcome::Lost, 0, now());
    if (const auto blockedUntil = shared_.notices.blockedUntil(inFlight.entry.lifetime())) {
        scheduler_.backOff(call.endpoint, *blockedUntil);
    }
    if (isUnreachable) {
        scheduler_.recordUnreachable(call.endpoint, now() + unreachableBackoff, now());
        if (end.error->kind == ErrorKind::Unreachable) {
            shared_.reachability.onConnectFailed(inFlight.entry);
            shared_.poisonRequests.onUnreachable(inFlight.entry);
        }
    }
    if (isUnreachable || isRejected) {
        requeue(call);
        return;
    }
    // An answer whose end was marked by the end of its connection alone, and that can't be read, was broken off.
    const bool isBrokenOff =
        !end.error && head.status == net::status::ok && head.framing == net::BodyFraming::UntilClose;
    if (!end.error && !isBrokenOff) {
        reportFailed(call);
    } else if (isBrokenOff || end.error->kind == ErrorKind::ConnectionLost) {
        // Retried pieces would run at the next endpoint before it is known that they are suspect.
        shared_.poisonRequests.onCallLost(
            inFlight.entry, call.pieces, shared_.client, [this, call] { reportFailed(call); });
    } else {
        // The endpoint is silent, so its check may take long.
        shared_.poisonRequests.onCallLost(inFlight.entry, call.pieces, shared_.client, [] {});
        reportFailed(call);
    }
}

void BatchDispatcher::reportFailed(const stages::BatchCall &call)
{
    for (const auto &piece : call.pieces) {
        notify(piece.ticket, { std::nullopt, PieceFailure::Failed });
    }
}

/** Queues the pieces of a call that has certainly not run again. */
void BatchDispatcher::requeue(const stages::BatchCall &call)
{
    for (const auto &piece : call.pieces) {
        if (callbacks_.contains(piece.ticket)) {
            scheduler_.add(piece);
        }
    }
    scheduleRun(batchingDelay);
}

/** Calls the callback of a piece. @return false if the piece was cancelled or already reported */
bool BatchDispatcher::notify(stages::PieceTicket ticket, const PieceOutcome &outcome)
{
    const auto found = callbacks_.find(ticket);
    if (found == callbacks_.end()) {
        return false;
    }
    const Callback callback = std::move(found->second);
    callbacks_.erase(found);
    callback(outcome);
    return true;
}

void BatchDispatcher::sendReleases()
{
    std::optional<Time> firstReturn;
    for (auto &[endpoint, handles] : std::exchange(pendingReleases_, {})) {
        const auto *entry = shared_.state.endpoints().find(endpoint);
        if (entry == nullptr) {
            continue; // the endpoint is gone, and its results with it
        }
        if (const auto blockedUntil = shared_.notices.blockedUntil(entry->lifetime())) {
            firstReturn = std::min(firstReturn.value_or(*blockedUntil), *blockedUntil);
            pendingReleases_[endpoint] = std::move(handles);
            continue;
        }
        const net::HttpLimits limits { connectTimeout, releaseTimeout / 2, releaseTimeout / 2, releaseTimeout };
        net::HttpHandlers handlers;
        const auto response = std::make_shared<net::HttpResponse>();
        handlers.onHead = [this, response, endpoint = *entry, sentAt = now()](const net::HttpHead &head) {
            shared_.notices.handleResponse(endpoint, userplatform::parseResponseMetadata(head), sentAt);
            response->head = head;
        };
        handlers.onBody = [response](std::string_view bytes) { response->body += bytes; };
        // A second copy is harmless if it holds no results that a call for pieces could be given.
        handlers.isIdentified = [response](net::ConnectionNumber) {
            return response->head.status == net::status::ok && !userplatform::holdsResults(response->body);
        };
        shared_.notices.onSend(entry->lifetime());
        shared_.releaseClient.start(userplatform::makeReleaseCall(*entry, handles), limits, std::move(handlers));
    }
    if (firstReturn) {
        scheduleReleases(std::max(*firstReturn, now() + releaseDelay));
    }
    scheduleRun(Duration::zero());
}

} // namespace lacewing::gateway
