#include "piece_service.h"

#include <algorithm>
#include <set>

namespace lacewing::gateway
{
namespace
{

using userplatform::PieceFailure;

/** A zone with fewer endpoints of a service on average shares them with all zones: calls then start sooner. */
constexpr std::size_t endpointsPerZoneToPart = 4;
/** Pieces that come up together are sent in one call, so they are gathered for this time before an idle endpoint
 * starts. */
constexpr Duration gatherTime = 2ms;
constexpr Duration connectLimit = 300ms;
/** An endpoint to which no connection could be made is left out for this time. */
constexpr Duration unreachableTime = 700ms;
/** Results that were given up are told to their endpoint together after this time. */
constexpr Duration releaseDelay = 20ms;
/** Least time between two looks at what waits without any event. */
constexpr Duration recheckTime = 20ms;
/** Wait for a link to the VM that fills a service's calls. */
constexpr Duration linkLimit = 300ms;

std::size_t bucketsOf(std::vector<double> &buckets)
{
    for (int tenth = 1; tenth <= 10; ++tenth) {
        buckets.push_back(tenth / 10.0);
    }
    return buckets.size();
}

} // namespace

struct PieceService::Open {
    Submission id;
    routing::ServiceId service;
    std::string scope;
    AvailabilityZoneId zone;
    std::vector<stages::PieceOrder> pieces;
    std::vector<bool> done;
    PieceCallback callback;
    std::vector<VmId> tried;
    peer::PeerCallHandle call;
    std::vector<stages::PieceTicket> tickets; ///< at the batcher here
    std::size_t left = 0;
};

/** Fills the calls of one service's endpoints; used on the VM that was chosen for it. */
class PieceService::Batcher
{
public:
    using Callback = std::function<void(const PieceOutcome &)>;

    Batcher(PieceService &owner, routing::ServiceId service, std::string scope)
        : owner_(owner)
        , service_(std::move(service))
        , scope_(std::move(scope))
        , scheduler_({})
    {
        refresh();
    }

    void refresh()
    {
        const auto &routes = owner_.state_.routes();
        const auto *service = routes ? routes->service(service_) : nullptr;
        if (service != nullptr && service->batch) {
            traits_ = *service->batch;
            scheduler_.setTraits(traits_);
        }
        std::vector<stages::BatchEndpoint> endpoints;
        for (const auto *entry : owner_.state_.endpoints().serving(service_)) {
            const bool inScope = scope_.empty() || entry->zone.text() == scope_;
            if (inScope && owner_.links_.isZoneHeard(entry->zone)) {
                endpoints.push_back({ entry->id, entry->zone });
            }
        }
        scheduler_.setEndpoints(endpoints);
        startSoon(Duration::zero());
    }

    void add(stages::PieceOrder order, Callback callback)
    {
        callbacks_.emplace(order.ticket, std::move(callback));
        scheduler_.add(std::move(order));
        startSoon(gatherTime);
    }

    void cancel(stages::PieceTicket ticket)
    {
        scheduler_.cancel(ticket);
        callbacks_.erase(ticket);
    }

    void release(const EndpointId &endpoint, const stages::ResultHandle &handle)
    {
        scheduler_.resultReleased(handle);
        if (releases_.empty()) {
            owner_.context_.loop.timers().once(owner_.context_.now() + releaseDelay, [this](Time) { sendReleases(); });
        }
        releases_[endpoint].push_back(handle);
    }

    std::size_t pending() const
    {
        return callbacks_.size();
    }

    /** Time until a piece added now would be made; empty when no endpoint is known. */
    std::optional<Duration> expectedTime() const
    {
        const Duration time = scheduler_.expectedTime(owner_.context_.now());
        return time == Duration::max() ? std::nullopt : std::optional(std::min<Duration>(time, 60s));
    }

private:
    void startSoon(Duration wait)
    {
        const Time due = owner_.context_.now() + wait;
        if (timer_ != TimerHandle() && timerDue_ <= due) {
            return;
        }
        owner_.context_.loop.timers().cancel(timer_);
        timerDue_ = due;
        timer_ = owner_.context_.loop.timers().once(due, [this](Time) {
            timer_ = TimerHandle();
            start();
        });
    }

    void start()
    {
        const Time now = owner_.context_.now();
        for (const auto &order : scheduler_.takeExpired(now)) {
            tell(order.ticket, { std::nullopt, PieceFailure::Late });
        }
        for (auto &call : scheduler_.takeCalls(now)) {
            send(std::move(call));
        }
        if (const auto due = scheduler_.nextDue()) {
            startSoon(std::max<Duration>(*due - now, recheckTime));
        }
    }

    void send(stages::BatchCall call)
    {
        const Time now = owner_.context_.now();
        const auto *entry = owner_.state_.endpoints().find(call.endpoint);
        if (entry == nullptr) {
            scheduler_.callEnded(call.endpoint, stages::CallOutcome::Declined, 0, now);
            addAgain(call);
            return;
        }
        owner_.calls_.add();
        owner_.pieces_.add(double(call.pieces.size()));
        owner_.fullness_.observe(double(call.pieces.size()) / double(std::max<std::size_t>(traits_.piecesPerCall, 1)));
        const Duration limit = scheduler_.callLimit(call);
        auto request = userplatform::makePiecesCall(*entry, call.pieces, now);
        const auto shared = std::make_shared<stages::BatchCall>(std::move(call));
        net::fetch(owner_.client_,
                   std::move(request),
                   { connectLimit, limit, limit, 0s },
                   [this, shared, now](const net::HttpEnd &end, const net::HttpResponse &response) {
                       ended(*shared, now, end, response);
                   });
    }

    void ended(const stages::BatchCall &call, Time sentAt, const net::HttpEnd &end, const net::HttpResponse &response)
    {
        const Time now = owner_.context_.now();
        const auto facts = userplatform::readAnswerFacts(response.head);
        const bool answered = !end.error && response.head.status == net::status::ok;
        auto answers = userplatform::parsePiecesAnswer(response.body, call.pieces.size());
        if (!answered || !answers) {
            notMade(call, end, response, facts);
            startSoon(Duration::zero());
            return;
        }
        const auto made = std::count_if(answers.value().begin(), answers.value().end(), [](const auto &answer) {
            return answer.handle.has_value();
        });
        scheduler_.callEnded(call.endpoint, stages::CallOutcome::Answered, static_cast<std::size_t>(made), now);
        owner_.context_.logger.debug("pieces made",
                                     { { "service", service_ },
                                       { "endpoint", call.endpoint },
                                       { "pieces", call.pieces.size() },
                                       { "made", made },
                                       { "ms", toMilliseconds(now - sentAt) },
                                       { "waiting", scheduler_.waiting() } });
        for (std::size_t index = 0; index < call.pieces.size(); ++index) {
            const auto &piece = call.pieces[index];
            const auto &answer = answers.value()[index];
            if (!answer.handle && answer.failure == PieceFailure::NoRoom) {
                scheduler_.roomMissing(call.endpoint, piece.resultBytes, now);
            }
            if (!answer.handle) {
                tell(piece.ticket, { std::nullopt, answer.failure });
                continue;
            }
            scheduler_.resultMade(call.endpoint, *answer.handle, piece.resultBytes, now);
            if (!tell(piece.ticket, { HeldResult { *answer.handle, call.endpoint }, {} })) {
                release(call.endpoint, *answer.handle);
            }
        }
        startSoon(Duration::zero());
    }

    void notMade(const stages::BatchCall &call,
                 const net::HttpEnd &end,
                 const net::HttpResponse &response,
                 const userplatform::AnswerFacts &facts)
    {
        const Time now = owner_.context_.now();
        owner_.context_.logger.state("call not made",
                                     { { "service", service_ },
                                       { "endpoint", call.endpoint },
                                       { "pieces", call.pieces.size() },
                                       { "status", response.head.status },
                                       { "error", end.error ? toText(end.error->kind) : std::string_view() },
                                       { "not_run", facts.notRun } });
        if (facts.isOtherEndpoint) {
            owner_.state_.endpoints().reject(call.endpoint);
        }
        const bool surelyNot = (!end.error && facts.notRun) || !end.requestWritten;
        if (end.error && !end.requestWritten) {
            scheduler_.callEnded(call.endpoint, stages::CallOutcome::Lost, 0, now);
            scheduler_.avoid(call.endpoint, now + unreachableTime);
        } else {
            scheduler_.callEnded(
                call.endpoint, surelyNot ? stages::CallOutcome::Declined : stages::CallOutcome::Lost, 0, now);
        }
        if (surelyNot) {
            addAgain(call);
            return;
        }
        for (const auto &piece : call.pieces) {
            tell(piece.ticket, { std::nullopt, PieceFailure::Failed });
        }
    }

    /** Has pieces of a call that was surely not made wait again. */
    void addAgain(const stages::BatchCall &call)
    {
        for (const auto &piece : call.pieces) {
            if (callbacks_.contains(piece.ticket)) {
                scheduler_.add(piece);
            }
        }
        startSoon(gatherTime);
    }

    /** @return false if nobody waits for the piece any more */
    bool tell(stages::PieceTicket ticket, const PieceOutcome &outcome)
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

    void sendReleases()
    {
        for (const auto &[endpoint, handles] : std::exchange(releases_, {})) {
            const auto *entry = owner_.state_.endpoints().find(endpoint);
            if (entry == nullptr) {
                continue; // it leaves, and its results go with it
            }
            owner_.client_.start(userplatform::makeReleaseCall(*entry, handles), { connectLimit, 1s, 1s, 2s }, {});
        }
        startSoon(Duration::zero());
    }

    PieceService &owner_;
    routing::ServiceId service_;
    std::string scope_;
    routing::BatchTraits traits_;
    stages::BatchScheduler scheduler_;
    std::unordered_map<stages::PieceTicket, Callback> callbacks_;
    std::map<EndpointId, std::vector<stages::ResultHandle>> releases_;
    TimerHandle timer_;
    Time timerDue_;
};

PieceService::PieceService(Context &context, FleetLinks &links, FleetState &state)
    : context_(context)
    , links_(links)
    , state_(state)
    , client_(context.loop, net::HttpClientOptions().maxPerAddress(16).keepIdle(4s))
    , calls_(context.metrics.counter({ "piece_calls", "Calls to endpoints of stages" }))
    , pieces_(context.metrics.counter({ "pieces", "Pieces in calls to endpoints of stages" }))
{
    std::vector<double> buckets;
    bucketsOf(buckets);
    fullness_ =
        context.metrics.histogram({ "piece_call_fullness", "Share of a call's pieces that was used" }, {}, buckets);
}

PieceService::~PieceService() = default;

Submission PieceService::submit(const routing::ServiceId &service,
                                const AvailabilityZoneId &zone,
                                std::vector<stages::PieceOrder> pieces,
                                PieceCallback callback)
{
    auto open = std::make_shared<Open>();
    open->id = Submission(++lastSubmission_);
    open->service = service;
    open->scope = scopeOf(service);
    open->zone = zone;
    open->left = pieces.size();
    open->done.resize(pieces.size());
    open->pieces = std::move(pieces);
    open->callback = std::move(callback);
    open_.emplace(open->id, open);
    place(open);
    return open->id;
}

void PieceService::cancel(Submission submission)
{
    const auto found = open_.find(submission);
    if (found == open_.end()) {
        return;
    }
    const auto open = found->second;
    open_.erase(found);
    if (open->call != peer::PeerCallHandle()) {
        links_.cancel(open->call);
    }
    for (const auto ticket : open->tickets) {
        batcher(open->service, open->scope).cancel(ticket);
    }
}

void PieceService::release(const routing::ServiceId &service, const std::vector<HeldResult> &results)
{
    if (results.empty()) {
        return;
    }
    const std::string scope = scopeOf(service);
    const VmId vm = chooseVm(service, scope, {});
    if (vm == context_.settings.vm) {
        for (const auto &result : results) {
            batcher(service, scope).release(result.endpoint, result.handle);
        }
        return;
    }
    ReleaseMessage message { service.text(), scope, {}, {} };
    for (const auto &result : results) {
        message.endpoints.push_back(result.endpoint.text());
        message.handles.push_back(result.handle.text());
    }
    links_.send(vm, envelope(MessageKind::Release, message));
}

void PieceService::serve(PiecesRequest request, peer::PeerCallWriter writer)
{
    const routing::ServiceId service(request.service);
    Batcher &target = batcher(service, request.scope);
    const Time now = context_.now();
    struct Served {
        peer::PeerCallWriter writer;
        std::size_t left = 0;
        std::vector<stages::PieceTicket> tickets;
    };
    const auto served = std::make_shared<Served>();
    served->writer = writer;
    served->left = request.pieces.size();
    for (std::uint32_t index = 0; index < request.pieces.size(); ++index) {
        auto &piece = request.pieces[index];
        stages::PieceOrder order;
        order.ticket = stages::PieceTicket(++lastTicket_);
        order.request = stages::RequestId(std::move(piece.request));
        order.index = { piece.stage, piece.piece };
        order.key = std::move(piece.key);
        for (auto &input : piece.inputs) {
            order.inputs.emplace_back(std::move(input));
        }
        order.due = now + std::chrono::milliseconds(piece.dueMs);
        order.limit = now + std::chrono::milliseconds(piece.limitMs);
        order.worth = piece.worth;
        order.resultBytes = Bytes(piece.resultBytes);
        order.zone = AvailabilityZoneId(request.zone);
        order.zoneBytes = Bytes(piece.zoneBytes);
        served->tickets.push_back(order.ticket);
        target.add(std::move(order), [served, index](const PieceOutcome &outcome) {
            PieceResult result { index, {}, {}, static_cast<std::uint32_t>(outcome.failure) };
            if (outcome.result) {
                result.handle = outcome.result->handle.text();
                result.endpoint = outcome.result->endpoint.text();
            }
            served->writer.write(wire::encode(PieceResults { { result } }));
            if (--served->left == 0) {
                served->writer.end();
            }
        });
    }
    if (served->left == 0) {
        writer.end();
        return;
    }
    writer.onClosed([this, served, service, scope = request.scope] {
        for (const auto ticket : served->tickets) {
            batcher(service, scope).cancel(ticket);
        }
    });
}

void PieceService::serve(const ReleaseMessage &message)
{
    Batcher &target = batcher(routing::ServiceId(message.service), message.scope);
    for (std::size_t index = 0; index < std::min(message.endpoints.size(), message.handles.size()); ++index) {
        target.release(EndpointId(message.endpoints[index]), stages::ResultHandle(message.handles[index]));
    }
}

void PieceService::refresh()
{
    for (const auto &[key, batcher] : batchers_) {
        batcher->refresh();
    }
    // Pieces that wait at a VM that fell silent are placed again.
    std::vector<std::shared_ptr<Open>> stranded;
    for (const auto &[id, open] : open_) {
        if (open->call != peer::PeerCallHandle() && !open->tried.empty()) {
            const auto live = links_.members(std::nullopt);
            const auto *vm = links_.find(open->tried.back());
            const bool leaves = vm != nullptr && vm->beacon.leaving;
            if (!leaves && std::find(live.begin(), live.end(), open->tried.back()) == live.end()) {
                stranded.push_back(open);
            }
        }
    }
    for (const auto &open : stranded) {
        links_.cancel(open->call);
        placeAgain(open, open->tried.back(), { ErrorKind::Silent, "the VM is not heard" });
    }
}

std::vector<LoadMessage> PieceService::loads()
{
    std::vector<LoadMessage> result;
    for (const auto &[key, batcher] : batchers_) {
        const auto &[service, scope] = key;
        if (chooseVm(service, scope, {}) != context_.settings.vm) {
            continue;
        }
        if (const auto expected = batcher->expectedTime()) {
            result.push_back({ service.text(), scope, static_cast<std::uint32_t>(toMilliseconds(*expected)) });
        }
    }
    heard(result);
    return result;
}

void PieceService::heard(const std::vector<LoadMessage> &loads)
{
    for (const auto &load : loads) {
        const routing::ServiceId service(load.service);
        if (load.scope == scopeOf(service)) {
            admission_.reported(service, std::chrono::milliseconds(load.expectedMs), context_.now());
        }
    }
}

std::size_t PieceService::pending() const
{
    std::size_t count = 0;
    for (const auto &[key, batcher] : batchers_) {
        count += batcher->pending();
    }
    return count;
}

/** The zone whose endpoints make a service's pieces for this VM; empty: those of all zones. */
std::string PieceService::scopeOf(const routing::ServiceId &service)
{
    std::set<std::string> zones;
    const auto serving = state_.endpoints().serving(service);
    std::size_t own = 0;
    for (const auto *entry : serving) {
        zones.insert(entry->zone.text());
        own += entry->zone == context_.settings.zone ? 1 : 0;
    }
    const bool parted = own > 0 && serving.size() >= endpointsPerZoneToPart * zones.size();
    return parted ? context_.settings.zone.text() : std::string();
}

VmId PieceService::chooseVm(const routing::ServiceId &service,
                            const std::string &scope,
                            const std::vector<VmId> &tried) const
{
    auto members = links_.members(scope.empty() ? std::nullopt : std::optional(AvailabilityZoneId(scope)));
    std::erase_if(members, [&](const VmId &vm) { return std::find(tried.begin(), tried.end(), vm) != tried.end(); });
    if (members.empty()) {
        return context_.settings.vm;
    }
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto &vm : members) {
        names.push_back(vm.text());
    }
    return members[rendezvous(service.text() + "/" + scope, names, 1).front()];
}

PieceService::Batcher &PieceService::batcher(const routing::ServiceId &service, const std::string &scope)
{
    auto &slot = batchers_[{ service, scope }];
    if (!slot) {
        slot = std::make_unique<Batcher>(*this, service, scope);
    }
    return *slot;
}

void PieceService::place(const std::shared_ptr<Open> &open)
{
    const VmId vm = chooseVm(open->service, open->scope, open->tried);
    if (vm == context_.settings.vm) {
        placeHere(open);
    } else {
        placeAt(open, vm);
    }
}

void PieceService::placeHere(const std::shared_ptr<Open> &open)
{
    open->call = {};
    Batcher &target = batcher(open->service, open->scope);
    for (std::size_t index = 0; index < open->pieces.size(); ++index) {
        if (open->done[index]) {
            continue;
        }
        stages::PieceOrder order = open->pieces[index];
        order.ticket = stages::PieceTicket(++lastTicket_);
        order.zone = open->zone;
        open->tickets.push_back(order.ticket);
        target.add(std::move(order),
                   [this, open, index](const PieceOutcome &outcome) { finish(open, index, outcome); });
    }
}

void PieceService::placeAt(const std::shared_ptr<Open> &open, const VmId &vm)
{
    const Time now = context_.now();
    PiecesRequest request { open->service.text(), open->scope, open->zone.text(), {} };
    std::vector<std::size_t> indices;
    Time limit = now;
    for (std::size_t index = 0; index < open->pieces.size(); ++index) {
        if (open->done[index]) {
            continue;
        }
        const auto &piece = open->pieces[index];
        PieceMessage message { piece.request.text(), piece.index.stage,        piece.index.piece, piece.key, {}, 0, 0,
                               piece.worth,          piece.resultBytes.value() };
        for (const auto &input : piece.inputs) {
            message.inputs.push_back(input.text());
        }
        message.zoneBytes = piece.zoneBytes.value();
        message.dueMs = toMilliseconds(piece.due - now);
        message.limitMs = toMilliseconds(piece.limit - now);
        limit = std::max(limit, piece.limit);
        request.pieces.push_back(std::move(message));
        indices.push_back(index);
    }
    open->tried.push_back(vm);
    peer::CallHandlers handlers;
    handlers.onData = [this, open, indices](const std::string &message) {
        const auto results = wire::decode<PieceResults>(message);
        if (!results) {
            context_.logger.warn("piece results not understood", { { "why", results.error().detail } });
            return;
        }
        for (const auto &result : results.value().results) {
            if (result.index >= indices.size()) {
                continue;
            }
            PieceOutcome outcome;
            if (!result.handle.empty()) {
                outcome.result = HeldResult { stages::ResultHandle(result.handle), EndpointId(result.endpoint) };
            }
            outcome.failure = PieceFailure(result.failure);
            finish(open, indices[result.index], outcome);
        }
    };
    handlers.onFailed = [this, open, vm](const Error &error, bool) {
        open->call = {};
        placeAgain(open, vm, error);
    };
    // What waits there is told in time by its limit, so the call itself has a limit just beyond that.
    const Duration total = limit - now + 2s;
    open->call =
        links_.call(vm, envelope(MessageKind::Pieces, request), { linkLimit, 0s, 0s, total }, std::move(handlers));
}

void PieceService::placeAgain(const std::shared_ptr<Open> &open, const VmId &failed, const Error &error)
{
    if (!open_.contains(open->id)) {
        return;
    }
    context_.logger.state("pieces placed again",
                          { { "service", open->service },
                            { "request", open->pieces.empty() ? std::string() : open->pieces.front().request.text() },
                            { "vm", failed },
                            { "why", toText(error.kind) },
                            { "left", open->left } });
    place(open);
}

void PieceService::finish(const std::shared_ptr<Open> &open, std::size_t index, const PieceOutcome &outcome)
{
    if (!open_.contains(open->id) || open->done[index]) {
        if (outcome.result) {
            release(open->service, { *outcome.result });
        }
        return;
    }
    open->done[index] = true;
    if (--open->left == 0) {
        open_.erase(open->id);
    }
    open->callback(index, outcome);
}

} // namespace lacewing::gateway
