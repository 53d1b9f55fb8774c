#include "piece_service.h"

#include <algorithm>
#include <set>

namespace lacewing::gateway
{
namespace
{

/** A zone with fewer endpoints of a service on average shares them with all zones: calls then start sooner. */
constexpr std::size_t endpointsPerZoneToPart = 4;
/** Wait for a link to the VM that fills a service's calls. */
constexpr Duration linkLimit = 300ms;

/** What is waited longer than the pieces' own limits for a VM that should have told of them. */
constexpr Duration limitMargin = 2s;

PieceMessage toMessage(const stages::PieceOrder &order, Time now)
{
    PieceMessage message;
    message.request = order.request.text();
    message.stage = order.index.stage;
    message.piece = order.index.piece;
    message.key = order.key;
    for (const auto &input : order.inputs) {
        message.inputs.push_back(input.text());
    }
    message.dueMs = toMilliseconds(order.due - now);
    message.limitMs = toMilliseconds(order.limit - now);
    message.worth = order.worth;
    message.resultBytes = order.resultBytes.value();
    message.zoneBytes = order.zoneBytes.value();
    return message;
}

stages::PieceOrder toOrder(PieceMessage message, const AvailabilityZoneId &zone, Time now)
{
    stages::PieceOrder order;
    order.request = stages::RequestId(std::move(message.request));
    order.index = { message.stage, message.piece };
    order.key = std::move(message.key);
    for (auto &input : message.inputs) {
        order.inputs.emplace_back(std::move(input));
    }
    order.due = now + std::chrono::milliseconds(message.dueMs);
    order.limit = now + std::chrono::milliseconds(message.limitMs);
    order.worth = message.worth;
    order.resultBytes = Bytes(message.resultBytes);
    order.zone = zone;
    order.zoneBytes = Bytes(message.zoneBytes);
    return order;
}

PieceResult toResult(std::uint32_t index, const PieceOutcome &outcome)
{
    PieceResult result { index, {}, {}, outcome.failure };
    if (outcome.result) {
        result.handle = outcome.result->handle.text();
        result.endpoint = outcome.result->endpoint.text();
    }
    return result;
}

PieceOutcome toOutcome(const PieceResult &result)
{
    PieceOutcome outcome { std::nullopt, result.failure };
    if (!result.handle.empty()) {
        outcome.result = HeldResult { stages::ResultHandle(result.handle), EndpointId(result.endpoint) };
    }
    return outcome;
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
    std::vector<stages::PieceTicket> tickets; ///< at the filler here
    std::size_t left = 0;
};

PieceService::PieceService(Context &context, FleetLinks &links, FleetState &state)
    : context_(context)
    , links_(links)
    , state_(state)
    , shared_(context, links, state)
{
}

PieceService::~PieceService() = default;

Submission PieceService::submit(const routing::ServiceId &service,
                                const AvailabilityZoneId &zone,
                                std::vector<stages::PieceOrder> pieces,
                                PieceCallback callback)
{
    const auto open = std::make_shared<Open>();
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
        filler(open->service, open->scope).cancel(ticket);
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
            filler(service, scope).release(result);
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
    CallFiller &target = filler(service, request.scope);
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
        auto order = toOrder(std::move(request.pieces[index]), AvailabilityZoneId(request.zone), now);
        order.ticket = stages::PieceTicket(++lastTicket_);
        served->tickets.push_back(order.ticket);
        target.add(std::move(order), [served, index](const PieceOutcome &outcome) {
            served->writer.write(wire::encode(PieceResults { { toResult(index, outcome) } }));
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
            filler(service, scope).cancel(ticket);
        }
    });
}

void PieceService::serve(const ReleaseMessage &message)
{
    CallFiller &target = filler(routing::ServiceId(message.service), message.scope);
    for (std::size_t index = 0; index < std::min(message.endpoints.size(), message.handles.size()); ++index) {
        target.release({ stages::ResultHandle(message.handles[index]), EndpointId(message.endpoints[index]) });
    }
}

void PieceService::refresh()
{
    for (const auto &[key, filler] : fillers_) {
        filler->refresh();
    }
    // Pieces that wait at a VM that fell silent are placed again.
    std::vector<OpenPtr> stranded;
    for (const auto &[id, open] : open_) {
        if (open->call != peer::PeerCallHandle() && isLost(open->tried.back())) {
            stranded.push_back(open);
        }
    }
    for (const auto &open : stranded) {
        links_.cancel(open->call);
        placeAgain(open, open->tried.back(), { ErrorKind::Silent, "the VM is not heard" });
    }
}

/** A VM that is not heard, and did not say that it leaves: one that leaves still makes what it has. */
bool PieceService::isLost(const VmId &vm) const
{
    const auto *known = links_.find(vm);
    return known == nullptr || (!known->beacon.leaving && !links_.isHeard(vm));
}

std::vector<LoadMessage> PieceService::loads()
{
    std::vector<LoadMessage> result;
    for (const auto &[key, filler] : fillers_) {
        const auto &[service, scope] = key;
        if (chooseVm(service, scope, {}) != context_.settings.vm) {
            continue;
        }
        if (const auto expected = filler->expectedTime()) {
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
    for (const auto &[key, filler] : fillers_) {
        count += filler->pending();
    }
    return count;
}

/** The zone whose endpoints make a service's pieces for this VM; empty: those of all zones. */
std::string PieceService::scopeOf(const routing::ServiceId &service)
{
    std::set<std::string> zones;
    const auto &serving = state_.endpoints().serving(service);
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

CallFiller &PieceService::filler(const routing::ServiceId &service, const std::string &scope)
{
    auto &slot = fillers_[{ service, scope }];
    if (!slot) {
        slot = std::make_unique<CallFiller>(shared_, service, scope);
    }
    return *slot;
}

void PieceService::place(const OpenPtr &open)
{
    const VmId vm = chooseVm(open->service, open->scope, open->tried);
    if (vm == context_.settings.vm) {
        placeHere(open);
    } else {
        placeAt(open, vm);
    }
}

void PieceService::placeHere(const OpenPtr &open)
{
    open->call = {};
    CallFiller &target = filler(open->service, open->scope);
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

void PieceService::placeAt(const OpenPtr &open, const VmId &vm)
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
        limit = std::max(limit, piece.limit);
        request.pieces.push_back(toMessage(piece, now));
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
            if (result.index < indices.size()) {
                finish(open, indices[result.index], toOutcome(result));
            }
        }
    };
    handlers.onFailed = [this, open, vm](const Error &error, bool) {
        open->call = {};
        placeAgain(open, vm, error);
    };
    // What waits there is told in time by its limit, so the call itself has a limit just beyond that.
    const Duration total = limit - now + limitMargin;
    open->call =
        links_.call(vm, envelope(MessageKind::Pieces, request), { linkLimit, 0s, 0s, total }, std::move(handlers));
}

void PieceService::placeAgain(const OpenPtr &open, const VmId &failed, const Error &error)
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

void PieceService::finish(const OpenPtr &open, std::size_t index, const PieceOutcome &outcome)
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
