#include "batch_dispatcher.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using userplatform::PieceFailure;

/** Pieces that come up together are sent in one call, so they are gathered for this time before an idle endpoint
 * starts. */
constexpr Duration gatherTime = 2ms;
constexpr Duration connectLimit = 300ms;
/** Share of the time in which an endpoint that leaves may begin work, for calls that it may not have begun: the rest is
 * for the way of the news. */
constexpr int leaveShareNumerator = 3;
constexpr int leaveShareDenominator = 5;
/** An endpoint to which no connection could be made is left out for this time. */
constexpr Duration unreachableTime = 700ms;
/** Results that were given up are told to their endpoint together after this time. */
constexpr Duration releaseDelay = 20ms;
/** Time for an endpoint to take back results. */
constexpr Duration releaseLimit = 2s;
/** Least time between two looks at what waits without any event. */
constexpr Duration recheckTime = 20ms;
/** Connections to one endpoint; a few calls at a time and the messages that give up results. */
constexpr std::size_t maxPerEndpoint = 16;
constexpr Duration keepIdle = 4s;

/** Upper bounds of the shares of a call that are used, in tenths. */
std::vector<double> fullnessBuckets()
{
    std::vector<double> buckets;
    for (int tenth = 1; tenth <= 10; ++tenth) {
        buckets.push_back(tenth / 10.0);
    }
    return buckets;
}

} // namespace

FillerShared::FillerShared(Context &processContext, FleetLinks &fleetLinks, FleetState &fleetState)
    : context(processContext)
    , links(fleetLinks)
    , state(fleetState)
    , client(context.loop, net::HttpClientOptions().maxPerAddress(maxPerEndpoint).keepIdle(keepIdle))
    , calls(context.metrics.counter({ "piece_calls", "Calls to endpoints of stages" }))
    , pieces(context.metrics.counter({ "pieces", "Pieces in calls to endpoints of stages" }))
    , fullness(context.metrics.histogram(
          { "piece_call_fullness", "Share of a call's pieces that was used" }, {}, fullnessBuckets()))
{
}

CallFiller::CallFiller(FillerShared &shared, routing::ServiceId service, stages::CellId cell)
    : shared_(shared)
    , service_(std::move(service))
    , cell_(std::move(cell))
    , scheduler_({})
{
    scheduler_.setLeaveLimit(shared_.context.settings.drainBound * leaveShareNumerator / leaveShareDenominator);
    refresh();
}

void CallFiller::refresh()
{
    const auto &routes = shared_.state.routes();
    const auto *service = routes ? routes->service(service_) : nullptr;
    if (service != nullptr && service->batch) {
        traits_ = *service->batch;
        scheduler_.setTraits(traits_);
    }
    std::vector<stages::BatchEndpoint> endpoints;
    for (const auto *entry : shared_.state.endpoints().serving(service_)) {
        const bool isOfCell = cell_.isEmpty() || entry->zone.text() == cell_.text();
        if (isOfCell && shared_.links.isZoneHeard(entry->zone)) {
            endpoints.push_back({ entry->id, entry->zone });
        }
    }
    scheduler_.setEndpoints(endpoints);
    startSoon(Duration::zero());
}

void CallFiller::add(stages::PieceOrder order, Callback callback)
{
    callbacks_.emplace(order.ticket, std::move(callback));
    scheduler_.add(std::move(order));
    startSoon(gatherTime);
}

void CallFiller::cancel(stages::PieceTicket ticket)
{
    scheduler_.cancel(ticket);
    callbacks_.erase(ticket);
}

void CallFiller::release(const HeldResult &result)
{
    scheduler_.resultReleased(result.handle);
    if (releases_.empty()) {
        shared_.context.loop.timers().once(now() + releaseDelay, [this](Time) { sendReleases(); });
    }
    releases_[result.endpoint].push_back(result.handle);
}

void CallFiller::startSoon(Duration wait)
{
    auto &timers = shared_.context.loop.timers();
    const Time due = now() + wait;
    if (timer_ != TimerHandle() && timerDue_ <= due) {
        return;
    }
    timers.cancel(timer_);
    timerDue_ = due;
    timer_ = timers.once(due, [this](Time) {
        timer_ = TimerHandle();
        start();
    });
}

void CallFiller::start()
{
    for (const auto &endpoint : scheduler_.takeOverstayed(now())) {
        closeCalls(endpoint);
    }
    for (const auto &order : scheduler_.takeExpired(now())) {
        tell(order.ticket, { std::nullopt, PieceFailure::Late });
    }
    for (auto &call : scheduler_.takeCalls(now())) {
        send(std::move(call));
    }
    if (const auto due = scheduler_.nextDue()) {
        startSoon(std::max(*due - now(), recheckTime));
    }
}

void CallFiller::send(stages::BatchCall call)
{
    const auto *entry = shared_.state.endpoints().find(call.endpoint);
    if (entry == nullptr) {
        scheduler_.callEnded(call.endpoint, stages::CallOutcome::Declined, 0, now());
        addAgain(call);
        return;
    }
    shared_.calls.add();
    shared_.pieces.add(double(call.pieces.size()));
    shared_.fullness.observe(double(call.pieces.size()) / double(traits_.piecesPerCall));
    const Duration limit = scheduler_.callLimit(call);
    auto request = userplatform::makePiecesCall(*entry, call.pieces, now());
    const std::uint64_t number = ++lastCall_;
    const auto handle = net::fetch(shared_.client,
                                   std::move(request),
                                   { connectLimit, limit, limit, 0s },
                                   [this, number](const net::HttpEnd &end, const net::HttpResponse &response) {
                                       const auto open = openCalls_.extract(number);
                                       if (!open.empty()) {
                                           ended(open.mapped().call, end, response);
                                       }
                                   });
    openCalls_.emplace(number, OpenCall { std::move(call), handle });
}

/** Closes what may still wait at an endpoint that leaves; its pieces are made elsewhere. */
void CallFiller::closeCalls(const EndpointId &endpoint)
{
    std::vector<OpenCall> closed;
    std::erase_if(openCalls_, [&](auto &item) {
        const bool isThere = item.second.call.endpoint == endpoint;
        if (isThere) {
            closed.push_back(std::move(item.second));
        }
        return isThere;
    });
    for (const auto &open : closed) {
        shared_.client.cancel(open.handle);
        shared_.context.logger.state(
            "call closed",
            { { "service", service_ }, { "endpoint", endpoint }, { "pieces", open.call.pieces.size() } });
        scheduler_.callEnded(endpoint, stages::CallOutcome::Lost, 0, now());
        for (const auto &piece : open.call.pieces) {
            tell(piece.ticket, { std::nullopt, PieceFailure::Failed });
        }
    }
}

void CallFiller::ended(const stages::BatchCall &call, const net::HttpEnd &end, const net::HttpResponse &response)
{
    const bool answered = !end.error && response.head.status == net::status::ok;
    const auto answers = userplatform::parsePiecesAnswer(response.body, call.pieces.size());
    if (answered && answers) {
        made(call, answers.value());
    } else {
        notMade(call, end, response.head);
    }
    startSoon(Duration::zero());
}

void CallFiller::made(const stages::BatchCall &call, const std::vector<userplatform::PieceAnswer> &answers)
{
    const auto results = static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [](const auto &answer) { return answer.handle.has_value(); }));
    scheduler_.callEnded(call.endpoint, stages::CallOutcome::Answered, results, now());
    for (std::size_t index = 0; index < call.pieces.size(); ++index) {
        const auto &piece = call.pieces[index];
        const auto &answer = answers[index];
        if (!answer.handle) {
            if (answer.failure == PieceFailure::NoRoom) {
                scheduler_.roomMissing(call.endpoint, piece.resultBytes, now());
            }
            tell(piece.ticket, { std::nullopt, answer.failure });
            continue;
        }
        const HeldResult result { *answer.handle, call.endpoint };
        scheduler_.resultMade(call.endpoint, result.handle, piece.resultBytes, now());
        if (!tell(piece.ticket, { result, {} })) {
            release(result);
        }
    }
}

void CallFiller::notMade(const stages::BatchCall &call, const net::HttpEnd &end, const net::HttpHead &head)
{
    const auto facts = userplatform::readAnswerFacts(head);
    shared_.context.logger.state("call not made",
                                 { { "service", service_ },
                                   { "endpoint", call.endpoint },
                                   { "pieces", call.pieces.size() },
                                   { "status", head.status },
                                   { "error", end.error ? toText(end.error->kind) : std::string_view() },
                                   { "not_run", facts.notRun } });
    if (facts.isOtherEndpoint) {
        shared_.state.endpoints().reject(call.endpoint);
    }
    const bool unreachable = end.error && !end.requestWritten;
    const bool declined = !end.error && facts.notRun;
    scheduler_.callEnded(call.endpoint, declined ? stages::CallOutcome::Declined : stages::CallOutcome::Lost, 0, now());
    if (unreachable) {
        scheduler_.avoid(call.endpoint, now() + unreachableTime);
    }
    if (unreachable || declined) {
        addAgain(call);
        return;
    }
    for (const auto &piece : call.pieces) {
        tell(piece.ticket, { std::nullopt, PieceFailure::Failed });
    }
}

/** Has pieces of a call that was surely not made wait again. */
void CallFiller::addAgain(const stages::BatchCall &call)
{
    for (const auto &piece : call.pieces) {
        if (callbacks_.contains(piece.ticket)) {
            scheduler_.add(piece);
        }
    }
    startSoon(gatherTime);
}

/** @return false if nobody waits for the piece any more */
bool CallFiller::tell(stages::PieceTicket ticket, const PieceOutcome &outcome)
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

void CallFiller::sendReleases()
{
    for (const auto &[endpoint, handles] : std::exchange(releases_, {})) {
        const auto *entry = shared_.state.endpoints().find(endpoint);
        if (entry == nullptr) {
            continue; // it leaves, and its results go with it
        }
        const net::HttpLimits limits { connectLimit, releaseLimit / 2, releaseLimit / 2, releaseLimit };
        shared_.client.start(userplatform::makeReleaseCall(*entry, handles), limits, {});
    }
    startSoon(Duration::zero());
}

} // namespace lacewing::gateway
