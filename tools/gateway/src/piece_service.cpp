#include "piece_service.h"

#include "piece_codec.h"

#include <algorithm>
#include <set>

namespace lacewing::gateway
{
namespace
{

/** Endpoints of each service that a zone must have on average to be a cell of its own: with fewer, calls start sooner
 * when all zones share them. */
constexpr std::size_t endpointsPerCell = 3;
/** A VM with less than this share of the most powerful one's processor time fills no calls. */
constexpr double leastPowerShare = 0.5;
/** Wait for a link to the VM that fills a cell's calls. */
constexpr Duration linkLimit = 300ms;
/** What is waited longer than the pieces' own limits for a VM that should have told of them. */
constexpr Duration limitMargin = 2s;

} // namespace

struct PieceService::Open {
    Submission id;
    PieceBatch batch;
    std::vector<bool> done;
    PieceHandlers handlers;
    std::vector<VmId> tried;
    peer::PeerCallHandle call;
    std::vector<stages::PieceTicket> tickets; ///< at the fillers here, one for each piece; 0: none
    std::size_t left = 0;
};

struct PieceService::Served {
    peer::PeerCallWriter writer;
    stages::RequestId request;
    stages::CellId cell;
    std::vector<std::pair<routing::ServiceId, stages::PieceTicket>> tickets;
    std::size_t left = 0;
};

PieceService::PieceService(Context &context, FleetLinks &links, FleetState &state, std::uint64_t seed)
    : context_(context)
    , links_(links)
    , state_(state)
    , random_(seed)
    , shared_(context, links, state)
{
}

PieceService::~PieceService() = default;

stages::CellId PieceService::chooseCell(const AvailabilityZoneId &zone, std::span<const stages::StageDemand> steps)
{
    return chooser_.choose(cellOf(zone), steps, context_.now(), random_);
}

Submission PieceService::submit(PieceBatch batch, PieceHandlers handlers)
{
    const auto open = std::make_shared<Open>();
    open->id = Submission(++lastSubmission_);
    open->batch = std::move(batch);
    open->left = open->batch.pieces.size();
    open->done.resize(open->left);
    open->handlers = std::move(handlers);
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
    if (open->tickets.empty()) {
        return;
    }
    for (std::size_t index = 0; index < open->tickets.size(); ++index) {
        filler(open->batch.pieces[index].service, open->batch.cell).cancel(open->tickets[index]);
    }
    cells_[open->batch.cell].planner.removeCommitment(open->batch.pieces.front().request);
}

void PieceService::release(const routing::ServiceId &service, const std::vector<HeldResult> &results)
{
    std::map<stages::CellId, std::vector<HeldResult>> byCell;
    for (const auto &result : results) {
        if (const auto *entry = state_.endpoints().find(result.endpoint)) {
            byCell[cellOf(entry->zone)].push_back(result);
        } // else it left, and its results went with it
    }
    for (const auto &[cell, held] : byCell) {
        const VmId vm = chooseVm(cell, {});
        if (vm == context_.settings.vm) {
            for (const auto &result : held) {
                filler(service, cell).release(result);
            }
            continue;
        }
        ReleaseMessage message { service.text(), cell.text(), {}, {} };
        for (const auto &result : held) {
            message.endpoints.push_back(result.endpoint.text());
            message.handles.push_back(result.handle.text());
        }
        links_.send(vm, envelope(MessageKind::Release, message));
    }
}

void PieceService::serve(PiecesRequest request, peer::PeerCallWriter writer)
{
    auto asked = toBatch(std::move(request), context_.now());
    if (!asked) {
        writer.fail({ ErrorKind::Malformed, "not a batch of pieces" });
        return;
    }
    PieceBatch batch = std::move(*asked);
    if (batch.path) {
        const auto decision = admit(batch.cell, *batch.path);
        if (!decision.admitted) {
            writer.write(wire::encode(PieceResults { {}, toMessage(decision) }));
            writer.end();
            return;
        }
    }
    const auto served = std::make_shared<Served>();
    served->writer = writer;
    served->request = batch.pieces.front().request;
    served->cell = batch.cell;
    served->left = batch.pieces.size();
    for (std::uint32_t index = 0; index < batch.pieces.size(); ++index) {
        auto &order = batch.pieces[index];
        order.ticket = stages::PieceTicket(++lastTicket_);
        served->tickets.emplace_back(order.service, order.ticket);
        cells_[batch.cell].planner.markStageQueued(order.request, order.index.stage);
        CallFiller &target = filler(order.service, batch.cell);
        target.add(std::move(order), [this, served, index](const PieceOutcome &outcome) {
            served->writer.write(wire::encode(PieceResults { { toResult(index, outcome) }, {} }));
            if (--served->left == 0) {
                cells_[served->cell].planner.recordCompletion(served->request, context_.now());
                served->writer.end();
            }
        });
    }
    writer.onClosed([this, served] {
        for (const auto &[service, ticket] : served->tickets) {
            filler(service, served->cell).cancel(ticket);
        }
        if (served->left > 0) {
            cells_[served->cell].planner.removeCommitment(served->request);
        }
    });
}

void PieceService::serve(const ReleaseMessage &message)
{
    CallFiller &target = filler(routing::ServiceId(message.service), stages::CellId(message.cell));
    for (std::size_t index = 0; index < std::min(message.endpoints.size(), message.handles.size()); ++index) {
        target.release({ stages::ResultHandle(message.handles[index]), EndpointId(message.endpoints[index]) });
    }
}

void PieceService::refresh()
{
    isParted_ = isPartedByZone();
    const auto routes = state_.routes();
    const stages::CellId own = cellOf(context_.settings.zone);
    if (routes && chooseVm(own, {}) == context_.settings.vm) {
        for (const auto &service : routes->state().services) {
            if (service.batch) {
                filler(service.id, own);
            }
        }
    }
    for (const auto &[cell, filling] : cells_) {
        for (const auto &[service, filler] : filling.fillers) {
            filler->refresh();
        }
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
    const Time now = context_.now();
    std::vector<LoadMessage> result;
    for (auto &[cell, filling] : cells_) {
        filling.planner.removeExpired(now);
        if (chooseVm(cell, {}) != context_.settings.vm) {
            continue;
        }
        for (const auto &wait : filling.planner.serviceLoads(now)) {
            result.push_back(toMessage(cell, wait));
        }
    }
    heard(context_.settings.vm, result);
    return result;
}

void PieceService::heard(const VmId &vm, const std::vector<LoadMessage> &loads)
{
    std::map<stages::CellId, std::vector<stages::ServiceLoad>> byCell;
    for (const auto &load : loads) {
        byCell[stages::CellId(load.cell)].push_back(toWait(load));
    }
    for (const auto &[cell, waits] : byCell) {
        if (cell.isEmpty() != isParted_) {
            fillingVms_[cell] = vm;
            chooser_.updateLoads(cell, waits, context_.now());
        }
    }
}

std::size_t PieceService::pending() const
{
    std::size_t count = 0;
    for (const auto &[cell, filling] : cells_) {
        for (const auto &[service, filler] : filling.fillers) {
            count += filler->pending();
        }
    }
    return count;
}

stages::CellId PieceService::cellOf(const AvailabilityZoneId &zone) const
{
    return isParted_ ? stages::CellId(zone.text()) : stages::CellId();
}

/** Whether each zone's endpoints are a cell, or those of all zones together. */
bool PieceService::isPartedByZone() const
{
    const auto routes = state_.routes();
    if (!routes) {
        return false;
    }
    bool any = false;
    for (const auto &service : routes->state().services) {
        if (!service.batch) {
            continue;
        }
        std::set<AvailabilityZoneId> zones;
        const auto &serving = state_.endpoints().availableEndpoints(service.id);
        for (const auto *entry : serving) {
            zones.insert(entry->zone);
        }
        if (zones.size() < 2 || serving.size() < endpointsPerCell * zones.size()) {
            return false;
        }
        any = true;
    }
    return any;
}

VmId PieceService::chooseVm(const stages::CellId &cell, const std::vector<VmId> &tried) const
{
    const auto wasTried = [&](const VmId &vm) { return std::find(tried.begin(), tried.end(), vm) != tried.end(); };
    const bool isOther = !cell.isEmpty() && cell.text() != context_.settings.zone.text();
    if (const auto told = fillingVms_.find(cell); isOther && told != fillingVms_.end()) {
        const auto *known = links_.find(told->second);
        if (known != nullptr && !known->beacon.leaving && links_.isHeard(told->second) && !wasTried(told->second)) {
            return told->second;
        }
    }
    auto members = links_.members(cell.isEmpty() ? std::nullopt : std::optional(AvailabilityZoneId(cell.text())));
    std::erase_if(members, wasTried);
    double most = 0;
    for (const auto &vm : members) {
        most = std::max(most, links_.processorShare(vm));
    }
    std::erase_if(members, [&](const VmId &vm) { return links_.processorShare(vm) < leastPowerShare * most; });
    if (members.empty()) {
        return context_.settings.vm;
    }
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto &vm : members) {
        names.push_back(vm.text());
    }
    return members[rendezvous("cell/" + cell.text(), names, 1).front()];
}

CallFiller &PieceService::filler(const routing::ServiceId &service, const stages::CellId &cell)
{
    Cell &filling = cells_[cell];
    auto &slot = filling.fillers[service];
    if (!slot) {
        slot = std::make_unique<CallFiller>(shared_, service, cell);
        filling.planner.setScheduler(service, &slot->scheduler());
    }
    return *slot;
}

/** Decides on a request for all its stages, and keeps what it will need. */
stages::AdmissionDecision PieceService::admit(const stages::CellId &cell, const stages::AdmissionRequest &path)
{
    for (const auto &step : path.demands) {
        filler(step.service, cell);
    }
    return cells_[cell].planner.tryAdmit(path, context_.now());
}

void PieceService::place(const OpenPtr &open)
{
    const VmId vm = chooseVm(open->batch.cell, open->tried);
    if (vm == context_.settings.vm) {
        placeHere(open);
    } else {
        placeAt(open, vm);
    }
}

void PieceService::placeHere(const OpenPtr &open)
{
    open->call = {};
    if (open->batch.path) {
        const auto decision = admit(open->batch.cell, *open->batch.path);
        if (!decision.admitted) {
            refused(open, decision);
            return;
        }
        open->batch.path.reset();
    }
    open->tickets.resize(open->batch.pieces.size());
    for (std::size_t index = 0; index < open->batch.pieces.size(); ++index) {
        if (open->done[index]) {
            continue;
        }
        stages::PieceTask order = open->batch.pieces[index];
        order.ticket = open->tickets[index] = stages::PieceTicket(++lastTicket_);
        order.preferredZone = open->batch.zone;
        cells_[open->batch.cell].planner.markStageQueued(order.request, order.index.stage);
        CallFiller &target = filler(order.service, open->batch.cell);
        target.add(std::move(order),
                   [this, open, index](const PieceOutcome &outcome) { finish(open, index, outcome); });
    }
}

void PieceService::placeAt(const OpenPtr &open, const VmId &vm)
{
    const Time now = context_.now();
    std::vector<std::size_t> indices;
    Time limit = now;
    for (std::size_t index = 0; index < open->batch.pieces.size(); ++index) {
        if (!open->done[index]) {
            limit = std::max(limit, open->batch.pieces[index].deadline);
            indices.push_back(index);
        }
    }
    open->tried.push_back(vm);
    peer::CallHandlers handlers;
    handlers.onData = [this, open, indices](const std::string &message) { takeResults(open, indices, message); };
    handlers.onFailed = [this, open, vm](const Error &error, bool) {
        open->call = {};
        placeAgain(open, vm, error);
    };
    // What waits there is told in time by its limit, so the call itself has a limit just beyond that.
    const Duration total = limit - now + limitMargin;
    open->call = links_.call(vm,
                             envelope(MessageKind::Pieces, toRequest(open->batch, indices, now)),
                             { linkLimit, 0s, 0s, total },
                             std::move(handlers));
}

void PieceService::takeResults(const OpenPtr &open, const std::vector<std::size_t> &indices, const std::string &message)
{
    const auto results = wire::decode<PieceResults>(message);
    if (!results) {
        context_.logger.warn("piece results not understood", { { "why", results.error().detail } });
        return;
    }
    if (results.value().refused) {
        refused(open, toDecision(*results.value().refused));
        return;
    }
    open->batch.path.reset();
    for (const auto &result : results.value().results) {
        if (result.index < indices.size()) {
            finish(open, indices[result.index], toOutcome(result));
        }
    }
}

void PieceService::placeAgain(const OpenPtr &open, const VmId &failed, const Error &error)
{
    if (!open_.contains(open->id)) {
        return;
    }
    context_.logger.state("pieces placed again",
                          { { "cell", open->batch.cell },
                            { "request", open->batch.pieces.front().request.text() },
                            { "vm", failed },
                            { "why", toText(error.kind) },
                            { "left", open->left } });
    place(open);
}

void PieceService::finish(const OpenPtr &open, std::size_t index, const PieceOutcome &outcome)
{
    if (!open_.contains(open->id) || open->done[index]) {
        if (outcome.result) {
            release(open->batch.pieces[index].service, { *outcome.result });
        }
        return;
    }
    open->done[index] = true;
    if (--open->left == 0) {
        cells_[open->batch.cell].planner.recordCompletion(open->batch.pieces.front().request, context_.now());
        open_.erase(open->id);
    }
    open->handlers.onPiece(index, outcome);
}

void PieceService::refused(const OpenPtr &open, const stages::AdmissionDecision &decision)
{
    if (open_.erase(open->id) > 0) {
        open->handlers.onRefused(decision);
    }
}

} // namespace lacewing::gateway
