#include <stages/stages.h>

#include <algorithm>
#include <cmath>

namespace lacewing::stages
{
namespace
{

/** Maximum predicted share of the target latency for admission, by urgency rank; the last entry covers later ranks. */
constexpr double maxShareByRank[] = { 0.97, 0.95, 0.93 };
/** Change of that share for each doubling of the request's relative value. */
constexpr double sharePerValueDoubling = 0.08;
constexpr double maxShareForValue = 0.16;
/** Increase of that share for a request that was rejected before: enough to be admitted before new requests once queues
 * have settled at the share, but too little to make other requests late. */
constexpr double shareForRetry = 0.03;
/** Upper bound of that share after all adjustments. */
constexpr double maxTargetShare = 1.0;
/** Step by which one request changes the learned prediction errors. The steps track a median and a quantile, so that
 * the few requests with a failed endpoint count no more than others. */
constexpr double errorStepMs = 3;
/** Share of requests whose prediction deviates by no more than the learned spread. */
constexpr double spreadQuantile = 0.75;
/** Below this time in queues, a request is not rejected for its predicted time: a retry would not find shorter queues.
 */
constexpr Duration minQueueTimeToReject = 20ms;
constexpr Duration minRetryAfter = 250ms;
/** Time after its last due time for which a commitment is kept if the end of its request is not reported. */
constexpr Duration commitmentGracePeriod = 300ms;
/** Due times are rounded up to multiples of this, so that close ones are counted together. */
constexpr Duration dueTimeResolution = 20ms;

double maxShareOf(const AdmissionRequest &request)
{
    const auto rank =
        std::min<std::size_t>(std::size_t(std::max(request.urgencyRank, 0)), std::size(maxShareByRank) - 1);
    const double doublings = std::log2(std::max(request.relativeValue, 1e-3));
    const double valueShare = std::clamp(doublings * sharePerValueDoubling, -maxShareForValue, maxShareForValue);
    return std::min(maxShareByRank[rank] + valueShare + (request.isRetry ? shareForRetry : 0), maxTargetShare);
}

Time roundUpDueTime(Time dueTime)
{
    const Duration since = dueTime.time_since_epoch();
    return Time((since / dueTimeResolution + 1) * dueTimeResolution);
}

} // namespace

void AdmissionController::setScheduler(const routing::ServiceId &service, const BatchScheduler *scheduler)
{
    services_[service].scheduler = scheduler;
}

AdmissionController::Prediction AdmissionController::predict(const AdmissionRequest &request, Time now) const
{
    Prediction prediction { now };
    std::vector<Time> completedAt(request.demands.size(), now);
    std::vector<std::size_t> depths(request.demands.size());
    for (std::size_t index = 0; index < request.demands.size(); ++index) {
        const StageDemand &demand = request.demands[index];
        Time ready = now;
        for (const auto dependency : demand.dependencies) {
            ready = std::max(ready, completedAt[dependency]);
            depths[index] = std::max(depths[index], depths[dependency]);
        }
        completedAt[index] = ready;
        const auto found = services_.find(demand.service);
        if (demand.pieceCount == 0 || found == services_.end() || found->second.scheduler == nullptr) {
            continue;
        }
        ++depths[index];
        const StageForecast forecast = forecastStage(found->second, demand, now);
        prediction.piecesAhead = std::max(prediction.piecesAhead, forecast.piecesAhead);
        prediction.keepsCommitments = prediction.keepsCommitments && forecast.keepsCommitments;
        if (forecast.lastStart == Time::max()) {
            prediction.completion = Time::max();
            return prediction;
        }
        const bool isQueueDrained = forecast.lastStart <= ready; // by the time the pieces are ready
        const Duration meanWait = isQueueDrained ? found->second.scheduler->estimateMeanWait(now) : Duration::zero();
        prediction.timeInQueues += isQueueDrained ? Duration::zero() : forecast.lastStart - ready;
        completedAt[index] = std::max(ready + meanWait, forecast.lastStart) + forecast.callTime;
        prediction.completion = std::max(prediction.completion, completedAt[index]);
        prediction.depth = std::max(prediction.depth, depths[index]);
    }
    return prediction;
}

AdmissionDecision AdmissionController::decide(const AdmissionRequest &request, Time now) const
{
    return evaluate(request, predict(request, now), now);
}

AdmissionDecision AdmissionController::tryAdmit(const AdmissionRequest &request, Time now)
{
    const Prediction prediction = predict(request, now);
    const AdmissionDecision decision = evaluate(request, prediction, now);
    if (decision.admitted) {
        addCommitment(request, prediction);
    }
    return decision;
}

AdmissionDecision AdmissionController::evaluate(const AdmissionRequest &request,
                                                const Prediction &prediction,
                                                Time now) const
{
    AdmissionDecision decision;
    decision.piecesAhead = prediction.piecesAhead;
    if (prediction.completion == Time::max()) {
        decision.admitted = false;
        decision.predictedTime = request.targetLatency;
        decision.retryAfter = std::max(minRetryAfter, request.targetLatency);
        return decision;
    }
    // The spread counts only up to the time in queues. Deviations without queues would be the same for a retry, so they
    // are no reason to reject.
    const Duration spread = std::min(fromSeconds(spreadMs_ / 1000), prediction.timeInQueues);
    decision.predictedTime =
        prediction.completion - now + fromSeconds(errorPerStageMs_ / 1000) * std::int64_t(prediction.depth) + spread;
    const Duration limit = fromSeconds(toSeconds(request.targetLatency) * maxShareOf(request));
    const Duration total = now - request.receivedAt + decision.predictedTime + request.timeAfterStages;
    decision.timeLimit = limit - (now - request.receivedAt) - request.timeAfterStages;
    decision.keepsCommitments = prediction.keepsCommitments;
    decision.admitted =
        (total <= limit || prediction.timeInQueues < minQueueTimeToReject) && prediction.keepsCommitments;
    if (!decision.admitted) {
        decision.retryAfter = std::max(minRetryAfter, total - limit);
    }
    return decision;
}

/** Predicts when the pieces of a stage would start, and whether pieces due later would still be on time. */
AdmissionController::StageForecast AdmissionController::forecastStage(const ServiceState &state,
                                                                      const StageDemand &demand,
                                                                      Time now) const
{
    std::map<Time, std::size_t> later;
    StageForecast forecast;
    const auto count = [&](Time dueTime, std::size_t pieces) {
        if (dueTime <= demand.dueTime) {
            forecast.piecesAhead += pieces;
        } else {
            later[dueTime] += pieces;
        }
    };
    for (const auto &[dueTime, pieces] : state.committedPieces) {
        count(dueTime, pieces);
    }
    state.scheduler->forEachWaiting([&](const PieceTask &task) { count(roundUpDueTime(task.dueTime), 1); });

    std::vector<std::size_t> countsWithout;
    std::vector<std::size_t> countsWith;
    std::size_t sum = forecast.piecesAhead;
    countsWith.push_back(sum + demand.pieceCount);
    countsWithout.push_back(sum);
    for (const auto &[dueTime, pieces] : later) {
        sum += pieces;
        countsWithout.push_back(sum);
        countsWith.push_back(sum + demand.pieceCount);
    }
    const auto startsWith = state.scheduler->estimateStartTimes(countsWith, now);
    const auto startsWithout = state.scheduler->estimateStartTimes(countsWithout, now);
    forecast.lastStart = startsWith.front();
    forecast.callTime = state.scheduler->estimateCallTime(countsWith.front(), now);
    std::size_t index = 1;
    for (const auto &[dueTime, pieces] : later) {
        const Time latestStart = dueTime - state.scheduler->estimateCallTime(countsWith[index], now);
        forecast.keepsCommitments =
            forecast.keepsCommitments && (startsWith[index] <= latestStart || startsWithout[index] > latestStart);
        ++index;
    }
    return forecast;
}

void AdmissionController::admit(const AdmissionRequest &request, Time now)
{
    addCommitment(request, predict(request, now));
}

void AdmissionController::addCommitment(const AdmissionRequest &request, const Prediction &prediction)
{
    removeCommitment(request.id);
    Commitment commitment;
    commitment.predictedCompletion = prediction.completion;
    commitment.depth = prediction.depth;
    for (std::uint32_t stage = 0; stage < request.demands.size(); ++stage) {
        const StageDemand &demand = request.demands[stage];
        if (demand.pieceCount == 0) {
            continue;
        }
        const Time dueTime = roundUpDueTime(demand.dueTime);
        commitment.committedStages.push_back({ stage, demand.service, demand.pieceCount, dueTime });
        commitment.expiresAt = std::max(commitment.expiresAt, dueTime + commitmentGracePeriod);
        services_[demand.service].committedPieces[dueTime] += demand.pieceCount;
    }
    commitments_[request.id] = std::move(commitment);
}

void AdmissionController::markStageQueued(const RequestId &request, std::uint32_t stage)
{
    const auto found = commitments_.find(request);
    if (found == commitments_.end()) {
        return;
    }
    auto &committedStages = found->second.committedStages;
    const auto committed = std::find_if(
        committedStages.begin(), committedStages.end(), [&](const auto &each) { return each.stage == stage; });
    if (committed != committedStages.end()) {
        releaseStage(*committed);
        committedStages.erase(committed);
    }
}

void AdmissionController::recordCompletion(const RequestId &request, Time now)
{
    const auto found = commitments_.find(request);
    if (found == commitments_.end() || !found->second.committedStages.empty()) {
        return;
    }
    const Commitment &commitment = found->second;
    const double depth = double(std::max<std::size_t>(commitment.depth, 1));
    const double deviationMs = toSeconds(now - commitment.predictedCompletion) * 1000 - errorPerStageMs_ * depth;
    const bool isOutsideSpread = std::abs(deviationMs) > spreadMs_;
    errorPerStageMs_ = std::max(0.0, errorPerStageMs_ + (deviationMs > 0 ? errorStepMs : -errorStepMs) / depth);
    spreadMs_ = std::max(0.0, spreadMs_ + errorStepMs * (isOutsideSpread ? spreadQuantile : spreadQuantile - 1));
    commitments_.erase(found);
}

void AdmissionController::removeCommitment(const RequestId &request)
{
    const auto found = commitments_.find(request);
    if (found != commitments_.end()) {
        for (const auto &stage : found->second.committedStages) {
            releaseStage(stage);
        }
        commitments_.erase(found);
    }
}

void AdmissionController::removeExpired(Time now)
{
    std::vector<RequestId> expired;
    for (const auto &[request, commitment] : commitments_) {
        if (commitment.expiresAt < now) {
            expired.push_back(request);
        }
    }
    for (const auto &request : expired) {
        removeCommitment(request);
    }
}

void AdmissionController::releaseStage(const CommittedStage &stage)
{
    auto &committedPieces = services_[stage.service].committedPieces;
    const auto found = committedPieces.find(stage.dueTime);
    if (found == committedPieces.end()) {
        return;
    }
    found->second -= std::min<std::size_t>(found->second, stage.pieceCount);
    if (found->second == 0) {
        committedPieces.erase(found);
    }
}

std::vector<ServiceLoad> AdmissionController::serviceLoads(Time now) const
{
    std::vector<ServiceLoad> loads;
    for (const auto &[service, state] : services_) {
        if (state.scheduler == nullptr) {
            continue;
        }
        std::size_t piecesAhead = state.scheduler->waitingCount();
        for (const auto &[dueTime, pieces] : state.committedPieces) {
            piecesAhead += pieces;
        }
        const std::size_t counts[] = { piecesAhead + 1 };
        const Time lastStart = state.scheduler->estimateStartTimes(counts, now).front();
        if (lastStart != Time::max()) {
            loads.push_back({ service, lastStart - now, state.scheduler->estimateCallTime(piecesAhead + 1, now) });
        }
    }
    return loads;
}

} // namespace lacewing::stages
