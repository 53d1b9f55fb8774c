#include "request_stages.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using userplatform::PieceFailure;

/** Duration of a stage at usual load; sets the due times of the stages before it. */
constexpr Duration typicalStageTime = 300ms;
/** Minimum duration of a stage; sets the hard deadlines of the stages before it. */
constexpr Duration minStageTime = 150ms;
/** Minimum duration of the engine's work. */
constexpr Duration minEngineTime = 100ms;
/** A request whose stages have not completed after this multiple of its latency target is dropped. */
constexpr double maxTargetMultiple = 2.0;
/** Limit on piece retries of one request. */
constexpr int maxPieceRetries = 20;
/** Delay before a piece is retried that failed because the endpoint had no memory for its result. */
constexpr Duration outOfMemoryRetryDelay = 40ms;

} // namespace

std::uint64_t ResultBytes::bytesOutside(const AvailabilityZoneId &zone) const
{
    const auto found = byZone.find(zone);
    return total - (found == byZone.end() ? 0 : found->second);
}

RequestStages::RequestStages(RequestContext &shared,
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
            shared_.retryBudget(stageService(stage)).recordRequest(shared_.context.now());
        }
    }
    targetStart_ = computeTargetStart();
    auto admission = makeAdmissionRequest();
    cell_ = shared_.pieces.chooseCell(request_.initialZone, admission.demands);
    submitReady(std::move(admission));
}

void RequestStages::rerunFinalStages()
{
    plan_.markFinalResultsLost();
    submitReady();
}

ResultBytes RequestStages::resultBytes() const
{
    ResultBytes bytes;
    for (const auto &[handle, result] : results_) {
        const std::uint64_t size = stageResultBytes(result.stage).value();
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
    isStopped_ = true;
    for (const auto submission : submissions_) {
        shared_.pieces.cancel(submission);
    }
    releaseAll();
}

void RequestStages::submitReady(std::optional<stages::AdmissionRequest> admission)
{
    cell_ = shared_.pieces.servingCell(cell_);
    PieceBatch batch { cell_, preferredZone(), {}, std::move(admission) };
    std::vector<stages::PieceIndex> indices;
    for (const auto &piece : plan_.takeReady()) {
        batch.pieces.push_back(makeTask(piece));
        indices.push_back(piece.index);
    }
    if (batch.pieces.empty()) {
        return;
    }
    PieceHandlers handlers;
    const auto weak = weak_from_this();
    handlers.onPiece = [weak, indices](std::size_t index, const PieceOutcome &outcome) {
        if (const auto self = weak.lock()) {
            self->handlePieceOutcome(indices[index], outcome);
        }
    };
    handlers.onRejected = [weak](const stages::AdmissionDecision &decision) {
        if (const auto self = weak.lock()) {
            self->handlers_.onRejected(decision);
        }
    };
    submissions_.push_back(shared_.pieces.submit(std::move(batch), std::move(handlers)));
}

stages::AdmissionRequest RequestStages::makeAdmissionRequest() const
{
    stages::AdmissionRequest admission;
    admission.id = request_.id;
    admission.receivedAt = targetStart_;
    admission.targetLatency = route_.latencyTarget;
    admission.timeAfterStages = request_.engineTime;
    admission.urgencyRank = request_.rank;
    admission.relativeValue = request_.relativeValue;
    admission.isRetry = request_.firstAttemptAt.has_value();
    for (std::uint32_t stage = 0; stage < route_.stages.size(); ++stage) {
        admission.demands.push_back(
            { stageService(stage), plan_.pieceCount(stage), dueTime(stage), route_.stages[stage].dependencies });
    }
    return admission;
}

/** Returns the time from which the target counts: the caller's first attempt if the target can still be met from
 * there, else the arrival of this request. */
Time RequestStages::computeTargetStart() const
{
    std::uint32_t depth = 0;
    for (std::uint32_t stage = 0; stage < route_.stages.size(); ++stage) {
        depth = std::max(depth, plan_.pieceCount(stage) > 0 ? plan_.depthAfter(stage) + 1 : 0);
    }
    const Duration minTime = typicalStageTime * std::int64_t(depth) + request_.engineTime;
    const bool canBeMet =
        request_.firstAttemptAt && request_.receivedAt + minTime <= *request_.firstAttemptAt + route_.latencyTarget;
    return canBeMet ? *request_.firstAttemptAt : request_.receivedAt;
}

/** Returns the time by which the pieces of a stage must complete for the request to meet its target. */
Time RequestStages::dueTime(std::uint32_t stage) const
{
    return targetStart_ + route_.latencyTarget - request_.engineTime
        - typicalStageTime * std::int64_t(plan_.depthAfter(stage));
}

stages::PieceTask RequestStages::makeTask(const stages::ReadyPiece &piece) const
{
    const auto &stage = route_.stages[piece.index.stage];
    const auto stagesAfter = std::int64_t(plan_.depthAfter(piece.index.stage));
    const auto maxTime = Duration(std::int64_t(double(route_.latencyTarget.count()) * maxTargetMultiple));
    stages::PieceTask task;
    task.request = request_.id;
    task.fingerprint = request_.fingerprint;
    task.service = stage.service;
    task.index = piece.index;
    task.contentKey = request_.pieceKey;
    task.inputs = piece.inputs;
    task.dueTime = dueTime(piece.index.stage);
    task.deadline =
        std::min(request_.deadline, request_.receivedAt + maxTime) - minEngineTime - minStageTime * stagesAfter;
    task.valuePerPiece = request_.value;
    task.resultBytes = stage.resultBytes;
    std::uint64_t inputBytes = 0;
    for (const auto dependency : stage.dependencies) {
        inputBytes += std::uint64_t(plan_.pieceCount(dependency)) * stageResultBytes(dependency).value();
    }
    task.crossZoneBytes = stage.dependencies.empty() ? stage.resultBytes : Bytes(inputBytes);
    return task;
}

/** Returns the zone that holds most bytes of the results, or the initial zone if there are none. */
AvailabilityZoneId RequestStages::preferredZone() const
{
    const auto bytes = resultBytes();
    const auto largest = std::max_element(
        bytes.byZone.begin(), bytes.byZone.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return largest == bytes.byZone.end() ? request_.initialZone : largest->first;
}

void RequestStages::handlePieceOutcome(stages::PieceIndex index, const PieceOutcome &outcome)
{
    if (!outcome.result) {
        handlePieceFailure(index, outcome.failure);
        return;
    }
    const auto &handle = outcome.result->handle;
    results_[handle] = { *outcome.result, index.stage };
    plan_.markCompleted(index, handle);
    release(plan_.takeReleasable());
    if (plan_.isComplete()) {
        handlers_.onCompleted();
    } else {
        submitReady();
    }
}

void RequestStages::handlePieceFailure(stages::PieceIndex index, PieceFailure failure)
{
    const Time now = shared_.context.now();
    if (failure == PieceFailure::DeadlineExceeded) {
        handlers_.onFailed("stage deadline exceeded");
        return;
    }
    if (shared_.poisonRequests.isQuarantined(request_.fingerprint)) {
        handlers_.onFailed("quarantined");
        return;
    }
    if (shared_.state.endpoints().isEvacuated(stageService(index.stage))) {
        handlers_.onFailed("all endpoints of a stage evacuated");
        return;
    }
    const bool mayHaveRun = failure == PieceFailure::Failed;
    if (++retryCount_ > maxPieceRetries
        || (mayHaveRun && !shared_.retryBudget(stageService(index.stage)).tryAcquireRetry(now))) {
        handlers_.onFailed("stage failed");
        return;
    }
    if (failure == PieceFailure::InputsUnavailable) {
        plan_.markInputsLost(index);
    } else {
        plan_.markFailed(index);
    }
    const Duration retryDelay = failure == PieceFailure::OutOfMemory ? outOfMemoryRetryDelay : 0ms;
    shared_.context.loop.timers().once(now + retryDelay, [weak = weak_from_this()](Time) {
        const auto self = weak.lock();
        if (self && !self->isStopped_) {
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
            byService[stageService(found->second.stage)].push_back(found->second.held);
            results_.erase(found);
        }
    }
    for (const auto &[service, results] : byService) {
        shared_.pieces.release(service, results);
    }
}

const routing::ServiceId &RequestStages::stageService(std::uint32_t stage) const
{
    return route_.stages[stage].service;
}

Bytes RequestStages::stageResultBytes(std::uint32_t stage) const
{
    return route_.stages[stage].resultBytes;
}

} // namespace lacewing::gateway
