#include "piece_service.h"

#include "piece_codec.h"

#include <algorithm>
#include <set>

namespace lacewing::gateway
{
namespace
{

/** Average number of endpoints per zone that each service must have for zones to be separate cells. With fewer, calls
 * start sooner if all zones share the endpoints. */
constexpr std::size_t minEndpointsPerZone = 3;
/** A VM whose CPU share is less than this fraction of the largest CPU share does not coordinate cells. */
constexpr double minRelativeCpuShare = 0.5;
/** A request is rejected if a stage has no endpoint for longer than this. Longer than the pauses after single failures.
 */
constexpr Duration maxEndpointWait = 450ms;
/** Time after which a caller returns if no endpoint has said when it takes calls. */
constexpr Duration defaultEndpointWait = 500ms;
/** Time limit for connecting to the coordinator of a cell. */
constexpr Duration linkTimeout = 300ms;
/** Added to the deadlines of the pieces for the time limit of a call to the coordinator. */
constexpr Duration callTimeoutMargin = 2s;

} // namespace

struct PieceService::LocalSubmission {
    SubmissionId id;
    PieceBatch batch;
    std::vector<bool> isCompleted;
    PieceHandlers handlers;
    std::vector<VmId> triedVms;
    peer::PeerCallHandle call;
    std::vector<stages::PieceTicket> tickets; ///< tickets at the local dispatchers, one for each piece; 0 means none
    std::size_t remaining = 0;
};

struct PieceService::RemoteSubmission {
    peer::PeerCallWriter writer;
    stages::RequestId request;
    stages::CellId cell;
    std::vector<std::pair<routing::ServiceId, stages::PieceTicket>> tickets;
    std::size_t remaining = 0;
};

PieceService::PieceService(Context &context,
                           FleetLinks &links,
                           FleetState &state,
                           EndpointNotices &notices,
                           EndpointReachability &reachability,
                           PoisonRequestGuard &poisonRequests,
                           std::uint64_t seed)
    : context_(context)
    , links_(links)
    , state_(state)
    , random_(seed)
    , shared_(context, links, state, notices, reachability, poisonRequests)
{
}

PieceService::~PieceService() = default;

stages::CellId PieceService::chooseCell(const AvailabilityZoneId &zone, std::span<const stages::StageDemand> steps)
{
    // A reported load of another cell may be older than its evacuation.
    return servingCell(cellChooser_.choose(servingCell(cellOf(zone)), steps, context_.now(), random_));
}

stages::CellId PieceService::servingCell(const stages::CellId &cell)
{
    const auto &routes = state_.routes();
    if (!routes || !isEvacuated(cell)) {
        return cell;
    }
    std::set<AvailabilityZoneId> zones;
    for (const auto &service : routes->state().services) {
        if (service->batch) {
            for (const auto *entry : state_.endpoints().availableEndpoints(service->id)) {
                zones.insert(entry->zone);
            }
        }
    }
    return zones.empty() ? cell : cellOf(*std::next(zones.begin(), std::ptrdiff_t(random_.below(zones.size()))));
}

bool PieceService::isEvacuated(const stages::CellId &cell) const
{
    return !cell.isEmpty() && state_.endpoints().isEvacuated(AvailabilityZoneId(cell.text()));
}

SubmissionId PieceService::submit(PieceBatch batch, PieceHandlers handlers)
{
    const auto submission = std::make_shared<LocalSubmission>();
    submission->id = SubmissionId(++lastSubmissionId_);
    submission->batch = std::move(batch);
    submission->remaining = submission->batch.pieces.size();
    submission->isCompleted.resize(submission->remaining);
    submission->handlers = std::move(handlers);
    submissions_.emplace(submission->id, submission);
    place(submission);
    return submission->id;
}

void PieceService::cancel(SubmissionId submissionId)
{
    const auto found = submissions_.find(submissionId);
    if (found == submissions_.end()) {
        return;
    }
    const auto submission = found->second;
    submissions_.erase(found);
    if (submission->call != peer::PeerCallHandle()) {
        links_.cancel(submission->call);
    }
    if (submission->tickets.empty()) {
        return;
    }
    for (std::size_t index = 0; index < submission->tickets.size(); ++index) {
        dispatcherFor(submission->batch.pieces[index].service, submission->batch.cell)
            .cancel(submission->tickets[index]);
    }
    cells_[submission->batch.cell].planner.removeCommitment(submission->batch.pieces.front().request);
}

void PieceService::release(const routing::ServiceId &service, const std::vector<HeldResult> &results)
{
    std::map<stages::CellId, std::vector<HeldResult>> byCell;
    for (const auto &result : results) {
        if (const auto *entry = state_.endpoints().find(result.endpoint)) {
            byCell[cellOf(entry->zone)].push_back(result);
        } // else the endpoint is gone, and its results with it
    }
    for (const auto &[cell, heldResults] : byCell) {
        const VmId vm = chooseCoordinator(cell, {});
        if (vm == context_.settings.vm) {
            for (const auto &result : heldResults) {
                dispatcherFor(service, cell).release(result);
            }
            continue;
        }
        ReleaseMessage message { service.text(), cell.text(), {}, {} };
        for (const auto &result : heldResults) {
            message.endpoints.push_back(result.endpoint.text());
            message.handles.push_back(result.handle.text());
        }
        links_.send(vm, encodeMessage(MessageKind::Release, message));
    }
}

void PieceService::serve(PiecesRequest request, peer::PeerCallWriter writer)
{
    auto decoded = toBatch(std::move(request), context_.now());
    if (!decoded) {
        writer.fail({ ErrorKind::Malformed, "malformed batch of pieces" });
        return;
    }
    PieceBatch batch = std::move(*decoded);
    if (batch.admission) {
        const auto decision = tryAdmit(batch.cell, *batch.admission);
        if (!decision.admitted) {
            writer.write(wire::encode(PieceResults { {}, toMessage(decision) }));
            writer.end();
            return;
        }
    }
    const auto remote = std::make_shared<RemoteSubmission>();
    remote->writer = writer;
    remote->request = batch.pieces.front().request;
    remote->cell = batch.cell;
    remote->remaining = batch.pieces.size();
    for (std::uint32_t index = 0; index < batch.pieces.size(); ++index) {
        auto &task = batch.pieces[index];
        task.ticket = stages::PieceTicket(++lastTicket_);
        remote->tickets.emplace_back(task.service, task.ticket);
        cells_[batch.cell].planner.markStageQueued(task.request, task.index.stage);
        BatchDispatcher &target = dispatcherFor(task.service, batch.cell);
        target.add(std::move(task), [this, remote, index](const PieceOutcome &outcome) {
            remote->writer.write(wire::encode(PieceResults { { toResult(index, outcome) }, {} }));
            if (--remote->remaining == 0) {
                cells_[remote->cell].planner.recordCompletion(remote->request, context_.now());
                remote->writer.end();
            }
        });
    }
    writer.onClosed([this, remote] {
        for (const auto &[service, ticket] : remote->tickets) {
            dispatcherFor(service, remote->cell).cancel(ticket);
        }
        if (remote->remaining > 0) {
            cells_[remote->cell].planner.removeCommitment(remote->request);
        }
    });
}

void PieceService::serve(const ReleaseMessage &message)
{
    BatchDispatcher &target = dispatcherFor(routing::ServiceId(message.service), stages::CellId(message.cell));
    for (std::size_t index = 0; index < std::min(message.endpoints.size(), message.handles.size()); ++index) {
        if (!userplatform::isUtf8(message.handles[index])) {
            context_.logger.warn("malformed release", { { "service", message.service }, { "cell", message.cell } });
            continue;
        }
        target.release({ stages::ResultHandle(message.handles[index]), EndpointId(message.endpoints[index]) });
    }
}

void PieceService::refresh()
{
    isPartitionedByZone_ = shouldPartitionByZone();
    const auto routes = state_.routes();
    const stages::CellId ownCell = cellOf(context_.settings.zone);
    if (routes && chooseCoordinator(ownCell, {}) == context_.settings.vm) {
        for (const auto &service : routes->state().services) {
            if (service->batch) {
                dispatcherFor(service->id, ownCell);
            }
        }
    }
    for (const auto &[cell, cellState] : cells_) {
        for (const auto &[service, dispatcher] : cellState.dispatchers) {
            dispatcher->refresh();
        }
    }
    // Reassigns pieces that are pending on a VM that is no longer live.
    std::vector<LocalSubmissionPtr> orphaned;
    for (const auto &[id, submission] : submissions_) {
        if (submission->call != peer::PeerCallHandle() && isLost(submission->triedVms.back())) {
            orphaned.push_back(submission);
        }
    }
    for (const auto &submission : orphaned) {
        links_.cancel(submission->call);
        reassign(submission, submission->triedVms.back(), { ErrorKind::Silent, "VM sends no heartbeats" });
    }
    reassignUnreachable();
}

/** Reassigns pieces that are pending on a VM that reaches no endpoints of stages, if another VM does. */
void PieceService::reassignUnreachable()
{
    std::vector<LocalSubmissionPtr> unreachable;
    for (const auto &[id, submission] : submissions_) {
        const bool isRemote = submission->call != peer::PeerCallHandle();
        const VmId vm = isRemote ? submission->triedVms.back() : context_.settings.vm;
        if (reachesStages(vm)) {
            continue;
        }
        const auto next = chooseCoordinator(submission->batch.cell, submission->triedVms);
        if (next != vm && reachesStages(next)) {
            unreachable.push_back(submission);
        }
    }
    for (const auto &submission : unreachable) {
        if (submission->call != peer::PeerCallHandle()) {
            links_.cancel(submission->call);
            submission->call = {};
            reassign(submission, submission->triedVms.back(), { ErrorKind::Unreachable, "VM reaches no endpoints" });
            continue;
        }
        for (std::size_t index = 0; index < submission->tickets.size(); ++index) {
            dispatcherFor(submission->batch.pieces[index].service, submission->batch.cell)
                .cancel(submission->tickets[index]);
        }
        submission->tickets.clear();
        cells_[submission->batch.cell].planner.removeCommitment(submission->batch.pieces.front().request);
        reassign(submission, context_.settings.vm, { ErrorKind::Unreachable, "VM reaches no endpoints" });
    }
}

/** Returns whether a VM is not live and did not announce that it leaves; a leaving VM still completes its pieces. */
bool PieceService::isLost(const VmId &vm) const
{
    const auto *peerVm = links_.find(vm);
    return peerVm == nullptr || (!peerVm->heartbeat.isLeaving && !links_.isLive(vm));
}

std::vector<LoadMessage> PieceService::localLoads()
{
    const Time now = context_.now();
    std::vector<LoadMessage> result;
    for (auto &[cell, cellState] : cells_) {
        cellState.planner.removeExpired(now);
        if (chooseCoordinator(cell, {}) != context_.settings.vm || isEvacuated(cell)) {
            continue;
        }
        for (const auto &serviceLoad : cellState.planner.serviceLoads(now)) {
            result.push_back(toMessage(cell, serviceLoad));
        }
    }
    handleLoads(context_.settings.vm, result);
    return result;
}

void PieceService::handleLoads(const VmId &vm, const std::vector<LoadMessage> &loads)
{
    std::map<stages::CellId, std::vector<stages::ServiceLoad>> byCell;
    for (const auto &load : loads) {
        byCell[stages::CellId(load.cell)].push_back(toServiceLoad(load));
    }
    for (const auto &[cell, serviceLoads] : byCell) {
        if (cell.isEmpty() != isPartitionedByZone_) {
            coordinators_[cell] = vm;
            cellChooser_.updateLoads(cell, serviceLoads, context_.now());
        }
    }
}

std::size_t PieceService::pending() const
{
    std::size_t count = 0;
    for (const auto &[cell, cellState] : cells_) {
        for (const auto &[service, dispatcher] : cellState.dispatchers) {
            count += dispatcher->pending();
        }
    }
    return count;
}

stages::CellId PieceService::cellOf(const AvailabilityZoneId &zone) const
{
    return isPartitionedByZone_ ? stages::CellId(zone.text()) : stages::CellId();
}

/** Returns whether each zone is a cell of its own; otherwise all zones form one cell. */
bool PieceService::shouldPartitionByZone() const
{
    const auto routes = state_.routes();
    if (!routes) {
        return false;
    }
    bool hasBatchService = false;
    for (const auto &service : routes->state().services) {
        if (!service->batch) {
            continue;
        }
        std::set<AvailabilityZoneId> zones;
        const auto &available = state_.endpoints().availableEndpoints(service->id);
        for (const auto *entry : available) {
            zones.insert(entry->zone);
        }
        if (zones.size() < 2 || available.size() < minEndpointsPerZone * zones.size()) {
            return false;
        }
        hasBatchService = true;
    }
    return hasBatchService;
}

VmId PieceService::chooseCoordinator(const stages::CellId &cell, const std::vector<VmId> &tried) const
{
    const auto wasTried = [&](const VmId &vm) { return std::find(tried.begin(), tried.end(), vm) != tried.end(); };
    const bool isOtherZone = !cell.isEmpty() && cell.text() != context_.settings.zone.text();
    if (const auto reported = coordinators_.find(cell); isOtherZone && reported != coordinators_.end()) {
        const auto *peerVm = links_.find(reported->second);
        if (peerVm != nullptr && !peerVm->heartbeat.isLeaving && links_.isLive(reported->second)
            && !wasTried(reported->second) && reachesStages(reported->second)) {
            return reported->second;
        }
    }
    auto members = coordinatorCandidates(cell, tried);
    double maxCpuShare = 0;
    for (const auto &vm : members) {
        maxCpuShare = std::max(maxCpuShare, links_.cpuShare(vm));
    }
    std::erase_if(members, [&](const VmId &vm) { return links_.cpuShare(vm) < minRelativeCpuShare * maxCpuShare; });
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

/** Returns the VMs of a cell that reach the endpoints of stages; all that do if there are none in the cell. */
std::vector<VmId> PieceService::coordinatorCandidates(const stages::CellId &cell, const std::vector<VmId> &tried) const
{
    const auto zone = cell.isEmpty() ? std::nullopt : std::optional(AvailabilityZoneId(cell.text()));
    const auto wasTried = [&](const VmId &vm) { return std::find(tried.begin(), tried.end(), vm) != tried.end(); };
    const auto reachesNone = [&](const VmId &vm) { return !reachesStages(vm); };
    auto inCell = links_.members(zone);
    std::erase_if(inCell, wasTried);
    auto candidates = inCell;
    std::erase_if(candidates, reachesNone);
    if (candidates.empty() && zone) {
        candidates = links_.members(std::nullopt);
        std::erase_if(candidates, wasTried);
        std::erase_if(candidates, reachesNone);
    }
    return candidates.empty() ? inCell : candidates;
}

/** Returns whether a VM reaches endpoints of all services that run stages, as far as it has said. */
bool PieceService::reachesStages(const VmId &vm) const
{
    const auto &routes = state_.routes();
    if (!routes) {
        return true;
    }
    const auto &services = routes->state().services;
    return std::all_of(services.begin(), services.end(), [&](const auto &service) {
        return !service->batch || links_.reaches(vm, service->id);
    });
}

BatchDispatcher &PieceService::dispatcherFor(const routing::ServiceId &service, const stages::CellId &cell)
{
    Cell &cellState = cells_[cell];
    auto &slot = cellState.dispatchers[service];
    if (!slot) {
        slot = std::make_unique<BatchDispatcher>(shared_, service, cell);
        cellState.planner.setScheduler(service, &slot->scheduler());
    }
    return *slot;
}

/** Admits or rejects a request for all its stages; reserves the capacity that an admitted request needs. */
stages::AdmissionDecision PieceService::tryAdmit(const stages::CellId &cell, const stages::AdmissionRequest &request)
{
    for (const auto &demand : request.demands) {
        const auto &scheduler = dispatcherFor(demand.service, cell).scheduler();
        const Duration wait = demand.pieceCount > 0 ? scheduler.timeUntilUsable(context_.now()) : Duration::zero();
        if (wait > maxEndpointWait) {
            stages::AdmissionDecision decision;
            decision.admitted = false;
            decision.predictedTime = wait == Duration::max() ? defaultEndpointWait : wait;
            decision.retryAfter = 2 * decision.predictedTime; // the jitter may halve it
            return decision;
        }
    }
    return cells_[cell].planner.tryAdmit(request, context_.now());
}

void PieceService::place(const LocalSubmissionPtr &submission)
{
    const VmId vm = chooseCoordinator(submission->batch.cell, submission->triedVms);
    if (vm == context_.settings.vm) {
        placeLocally(submission);
    } else {
        placeRemotely(submission, vm);
    }
}

void PieceService::placeLocally(const LocalSubmissionPtr &submission)
{
    submission->call = {};
    if (submission->batch.admission) {
        const auto decision = tryAdmit(submission->batch.cell, *submission->batch.admission);
        if (!decision.admitted) {
            rejectSubmission(submission, decision);
            return;
        }
        submission->batch.admission.reset();
    }
    submission->tickets.resize(submission->batch.pieces.size());
    for (std::size_t index = 0; index < submission->batch.pieces.size(); ++index) {
        if (submission->isCompleted[index]) {
            continue;
        }
        stages::PieceTask task = submission->batch.pieces[index];
        task.ticket = submission->tickets[index] = stages::PieceTicket(++lastTicket_);
        task.preferredZone = submission->batch.zone;
        cells_[submission->batch.cell].planner.markStageQueued(task.request, task.index.stage);
        BatchDispatcher &target = dispatcherFor(task.service, submission->batch.cell);
        target.add(std::move(task), [this, submission, index](const PieceOutcome &outcome) {
            completePiece(submission, index, outcome);
        });
    }
}

void PieceService::placeRemotely(const LocalSubmissionPtr &submission, const VmId &vm)
{
    const Time now = context_.now();
    std::vector<std::size_t> indices;
    Time latestDeadline = now;
    for (std::size_t index = 0; index < submission->batch.pieces.size(); ++index) {
        if (!submission->isCompleted[index]) {
            latestDeadline = std::max(latestDeadline, submission->batch.pieces[index].deadline);
            indices.push_back(index);
        }
    }
    submission->triedVms.push_back(vm);
    peer::CallHandlers handlers;
    handlers.onData = [this, submission, indices](const std::string &message) {
        handleResults(submission, indices, message);
    };
    handlers.onFailed = [this, submission, vm](const Error &error, bool) {
        submission->call = {};
        reassign(submission, vm, error);
    };
    // The other VM reports each piece by its deadline, so the call only has to outlast the latest deadline by a margin.
    const Duration total = latestDeadline - now + callTimeoutMargin;
    submission->call = links_.call(vm,
                                   encodeMessage(MessageKind::Pieces, toRequest(submission->batch, indices, now)),
                                   { linkTimeout, 0s, 0s, total },
                                   std::move(handlers));
}

void PieceService::handleResults(const LocalSubmissionPtr &submission,
                                 const std::vector<std::size_t> &indices,
                                 const std::string &message)
{
    const auto results = wire::decode<PieceResults>(message);
    if (!results) {
        context_.logger.warn("malformed piece results", { { "error", results.error().detail } });
        return;
    }
    if (results.value().rejection) {
        rejectSubmission(submission, toDecision(*results.value().rejection));
        return;
    }
    submission->batch.admission.reset();
    for (const auto &result : results.value().results) {
        if (result.index < indices.size()) {
            completePiece(submission, indices[result.index], toOutcome(result));
        }
    }
}

void PieceService::reassign(const LocalSubmissionPtr &submission, const VmId &failedVm, const Error &error)
{
    if (!submissions_.contains(submission->id)) {
        return;
    }
    context_.logger.state("pieces reassigned",
                          { { "cell", submission->batch.cell },
                            { "request", submission->batch.pieces.front().request.text() },
                            { "vm", failedVm },
                            { "error", toText(error.kind) },
                            { "remaining", submission->remaining } });
    place(submission);
}

void PieceService::completePiece(const LocalSubmissionPtr &submission, std::size_t index, const PieceOutcome &outcome)
{
    if (!submissions_.contains(submission->id) || submission->isCompleted[index]) {
        if (outcome.result) {
            release(submission->batch.pieces[index].service, { *outcome.result });
        }
        return;
    }
    submission->isCompleted[index] = true;
    if (--submission->remaining == 0) {
        cells_[submission->batch.cell].planner.recordCompletion(submission->batch.pieces.front().request,
                                                                context_.now());
        submissions_.erase(submission->id);
    }
    submission->handlers.onPiece(index, outcome);
}

void PieceService::rejectSubmission(const LocalSubmissionPtr &submission, const stages::AdmissionDecision &decision)
{
    if (submissions_.erase(submission->id) > 0) {
        submission->handlers.onRejected(decision);
    }
}

} // namespace lacewing::gateway
