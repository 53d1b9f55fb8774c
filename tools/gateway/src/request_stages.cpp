#include "request_stages.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using userplatform::PieceFailure;

/** Time that a stage takes at usual load, for the due times of the stages before it. */
constexpr Duration stageReserve = 300ms;
/** Least time that a stage takes, for the limits of the stages before it. */
constexpr Duration stageLeast = 150ms;
/** Least time that an engine takes. */
constexpr Duration engineLeast = 100ms;
/** A request whose stages aren't done after this many times its target is given up. */
constexpr double latestOverTarget = 2.0;
/** Pieces of one request that are made again at most. */
constexpr int maxRepeats = 20;
/** Pause before a piece is made again for which there was no memory. */
constexpr Duration noRoomPause = 40ms;

} // namespace

std::uint64_t ResultBytes::outside(const AvailabilityZoneId &zone) const
{
    const auto inside = byZone.find(zone);
    return total - (inside == byZone.end() ? 0 : inside->second);
}

RequestStages::RequestStages(RunShared &shared,
                             const routing::Route &route,
                             StagesRequest request,
                             StagesHandlers handlers)
    : shared_(shared)
    , route_(route)
    , request_(std::move(request))
    , handlers_(std::move(handlers))
    , plan_(route.stages, request_.pieceCounts)
{
}

void RequestStages::start()
{
    for (std::uint32_t stage = 0; stage < route_.stages.size(); ++stage) {
        if (plan_.pieceCount(stage) > 0) {
            shared_.budget(serviceOf(stage)).recordRequest(shared_.context.now());
        }
    }
    targetStart_ = findTargetStart();
    auto path = makePath();
    cell_ = shared_.pieces.chooseCell(request_.firstZone, path.demands);
    submitReady(std::move(path));
}

void RequestStages::makeAgain()
{
    plan_.markFinalResultsLost();
    submitReady();
}

ResultBytes RequestStages::resultBytes() const
{
    ResultBytes bytes;
    for (const auto &[handle, result] : results_) {
        const std::uint64_t size = bytesOf(result.stage).value();
        bytes.total += size;
        if (const auto *entry = shared_.state.endpoints().find(result.held.endpoint)) {
            bytes.byZone[entry->zone] += size;
        }
    }
    return bytes;
}

void RequestStages::releaseAll()
{
    release(plan_.takeAllResults());
}

void RequestStages::stop()
{
    stopped_ = true;
    for (const auto submission : submissions_) {
        shared_.pieces.cancel(submission);
    }
    releaseAll();
}

void RequestStages::submitReady(std::optional<stages::AdmissionRequest> path)
{
    PieceBatch batch { cell_, wantedZone(), {}, std::move(path) };
    std::vector<stages::PieceIndex> indices;
    for (const auto &piece : plan_.takeReady()) {
        batch.pieces.push_back(makeOrder(piece));
        indices.push_back(piece.index);
    }
    if (batch.pieces.empty()) {
        return;
    }
    PieceHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onPiece = [weak, indices](std::size_t index, const PieceOutcome &outcome) {
        if (const auto self = weak.lock()) {
            self->pieceDone(indices[index], outcome);
        }
    };
    handlers.onRefused = [weak](const stages::AdmissionDecision &decision) {
        if (const auto self = weak.lock()) {
            self->handlers_.onRefused(decision);
        }
    };
    submissions_.push_back(shared_.pieces.submit(std::move(batch), std::move(handlers)));
}

stages::AdmissionRequest RequestStages::makePath() const
{
    stages::AdmissionRequest path;
    path.id = request_.id;
    path.receivedAt = targetStart_;
    path.targetLatency = route_.latencyTarget;
    path.timeAfterStages = request_.afterStages;
    path.urgencyRank = request_.rank;
    path.relativeValue = request_.relativeWorth;
    path.isRetry = request_.firstTry.has_value();
    for (std::uint32_t stage = 0; stage < route_.stages.size(); ++stage) {
        path.demands.push_back(
            { serviceOf(stage), plan_.pieceCount(stage), dueOf(stage), route_.stages[stage].dependencies });
    }
    return path;
}

/** From when the target counts: the caller's first try, as long as it can still be met from there. */
Time RequestStages::findTargetStart() const
{
    std::uint32_t depth = 0;
    for (std::uint32_t stage = 0; stage < route_.stages.size(); ++stage) {
        depth = std::max(depth, plan_.pieceCount(stage) > 0 ? plan_.depthAfter(stage) + 1 : 0);
    }
    const Duration least = stageReserve * std::int64_t(depth) + request_.afterStages;
    const bool canBeMet = request_.firstTry && request_.receivedAt + least <= *request_.firstTry + route_.latencyTarget;
    return canBeMet ? *request_.firstTry : request_.receivedAt;
}

/** When a stage's pieces must be made if the request is to be on time. */
Time RequestStages::dueOf(std::uint32_t stage) const
{
    return targetStart_ + route_.latencyTarget - request_.afterStages
        - stageReserve * std::int64_t(plan_.depthAfter(stage));
}

stages::PieceTask RequestStages::makeOrder(const stages::ReadyPiece &piece) const
{
    const auto &stage = route_.stages[piece.index.stage];
    const auto following = std::int64_t(plan_.depthAfter(piece.index.stage));
    const auto latest = Duration(std::int64_t(double(route_.latencyTarget.count()) * latestOverTarget));
    stages::PieceTask order;
    order.request = request_.id;
    order.service = stage.service;
    order.index = piece.index;
    order.contentKey = request_.pieceKey;
    order.inputs = piece.inputs;
    order.dueTime = dueOf(piece.index.stage);
    order.deadline = std::min(request_.deadline, request_.receivedAt + latest) - engineLeast - stageLeast * following;
    order.valuePerPiece = request_.worth;
    order.resultBytes = stage.resultBytes;
    std::uint64_t inputBytes = 0;
    for (const auto before : stage.dependencies) {
        inputBytes += std::uint64_t(plan_.pieceCount(before)) * bytesOf(before).value();
    }
    order.crossZoneBytes = stage.dependencies.empty() ? stage.resultBytes : Bytes(inputBytes);
    return order;
}

/** The zone that holds most bytes of the results at hand. */
AvailabilityZoneId RequestStages::wantedZone() const
{
    const auto bytes = resultBytes();
    const auto most = std::max_element(
        bytes.byZone.begin(), bytes.byZone.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == bytes.byZone.end() ? request_.firstZone : most->first;
}

void RequestStages::pieceDone(stages::PieceIndex index, const PieceOutcome &outcome)
{
    if (!outcome.result) {
        pieceFailed(index, outcome.failure);
        return;
    }
    const auto &handle = outcome.result->handle;
    results_[handle] = { *outcome.result, index.stage };
    plan_.markCompleted(index, handle);
    release(plan_.takeReleasable());
    if (plan_.isComplete()) {
        handlers_.onDone();
    } else {
        submitReady();
    }
}

void RequestStages::pieceFailed(stages::PieceIndex index, PieceFailure failure)
{
    const Time now = shared_.context.now();
    if (failure == PieceFailure::DeadlineExceeded) {
        handlers_.onGivenUp("stage too late");
        return;
    }
    const bool wasMade = failure == PieceFailure::Failed;
    if (++repeats_ > maxRepeats || (wasMade && !shared_.budget(serviceOf(index.stage)).tryAcquireRetry(now))) {
        handlers_.onGivenUp("stage failed");
        return;
    }
    if (failure == PieceFailure::InputsUnavailable) {
        plan_.markInputsLost(index);
    } else {
        plan_.markFailed(index);
    }
    const Duration pause = failure == PieceFailure::OutOfMemory ? noRoomPause : 0ms;
    shared_.context.loop.timers().once(now + pause, [weak = weak_from_this()](Time) {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            self->submitReady();
        }
    });
}

void RequestStages::release(const std::vector<stages::ResultHandle> &handles)
{
    std::unordered_map<routing::ServiceId, std::vector<HeldResult>> byService;
    for (const auto &handle : handles) {
        const auto found = results_.find(handle);
        if (found != results_.end()) {
            byService[serviceOf(found->second.stage)].push_back(found->second.held);
            results_.erase(found);
        }
    }
    for (const auto &[service, results] : byService) {
        shared_.pieces.release(service, results);
    }
}

const routing::ServiceId &RequestStages::serviceOf(std::uint32_t stage) const
{
    return route_.stages[stage].service;
}

Bytes RequestStages::bytesOf(std::uint32_t stage) const
{
    return route_.stages[stage].resultBytes;
}

} // namespace lacewing::gateway
