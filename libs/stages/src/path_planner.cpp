#include <stages/stages.h>

#include <algorithm>
#include <cmath>

namespace lacewing::stages
{
namespace
{

/** Predicted share of the target from which requests of a rank are refused; later ranks are refused like the last. */
constexpr double refusedFrom[] = { 0.97, 0.95, 0.93 };
/** By how much a request's worth moves that share, for each doubling of its worth. */
constexpr double shareForDoubledWorth = 0.08;
constexpr double mostShareForWorth = 0.16;
/** By how much that share is higher for a request that was refused before: enough to go before new ones once the queues
 * have settled at the share, too little to make the others late. */
constexpr double shareForReturning = 0.03;
/** Nothing is admitted that is predicted to end after this share of its target. */
constexpr double highestShare = 1.0;
/** By how much one request moves the learned errors of predictions: it is their median and a quantile that are learned,
 * so that the few requests whose endpoint failed don't count for more than the others. */
constexpr double errorStepMs = 3;
/** Share of the paths that are off by no more than the learned spread. */
constexpr double spreadQuantile = 0.75;
/** Time in queues below which a refused request would find nothing better on its return. */
constexpr Duration shortWait = 20ms;
/** Least time after which a refused caller may come back. */
constexpr Duration leastComeBack = 250ms;
/** A commitment counts for this time after its last piece was due, if nobody says that its request has ended. */
constexpr Duration commitmentMargin = 300ms;
/** Due times within this time of each other count as one. */
constexpr Duration dueStep = 20ms;

double limitShare(const AdmissionRequest &request)
{
    const auto rank = std::min<std::size_t>(std::size_t(std::max(request.urgencyRank, 0)), std::size(refusedFrom) - 1);
    const double doublings = std::log2(std::max(request.relativeValue, 1e-3));
    const double moved = std::clamp(doublings * shareForDoubledWorth, -mostShareForWorth, mostShareForWorth);
    return std::min(refusedFrom[rank] + moved + (request.isRetry ? shareForReturning : 0), highestShare);
}

Time roundedUp(Time due)
{
    const Duration since = due.time_since_epoch();
    return Time((since / dueStep + 1) * dueStep);
}

} // namespace

void AdmissionController::setScheduler(const routing::ServiceId &service, const BatchScheduler *scheduler)
{
    services_[service].scheduler = scheduler;
}

AdmissionController::Prediction AdmissionController::predict(const AdmissionRequest &request, Time now) const
{
    Prediction prediction { now };
    std::vector<Time> doneAt(request.demands.size(), now);
    std::vector<std::size_t> depthAt(request.demands.size());
    for (std::size_t index = 0; index < request.demands.size(); ++index) {
        const StageDemand &step = request.demands[index];
        Time ready = now;
        for (const auto before : step.dependencies) {
            ready = std::max(ready, doneAt[before]);
            depthAt[index] = std::max(depthAt[index], depthAt[before]);
        }
        doneAt[index] = ready;
        const auto found = services_.find(step.service);
        if (step.pieceCount == 0 || found == services_.end() || found->second.scheduler == nullptr) {
            continue;
        }
        ++depthAt[index];
        const Outlook outlook = look(found->second, step, now);
        prediction.ahead = std::max(prediction.ahead, outlook.ahead);
        prediction.keepsOthers = prediction.keepsOthers && outlook.keepsOthers;
        if (outlook.started == Time::max()) {
            prediction.done = Time::max();
            return prediction;
        }
        const bool isQueueGone = outlook.started <= ready; // by the time that the pieces are ready
        const Duration turn = isQueueGone ? found->second.scheduler->estimateMeanWait(now) : Duration::zero();
        prediction.inQueues += isQueueGone ? Duration::zero() : outlook.started - ready;
        doneAt[index] = std::max(ready + turn, outlook.started) + outlook.call;
        prediction.done = std::max(prediction.done, doneAt[index]);
        prediction.depth = std::max(prediction.depth, depthAt[index]);
    }
    return prediction;
}

AdmissionDecision AdmissionController::decide(const AdmissionRequest &request, Time now) const
{
    return judge(request, predict(request, now), now);
}

AdmissionDecision AdmissionController::tryAdmit(const AdmissionRequest &request, Time now)
{
    const Prediction prediction = predict(request, now);
    const AdmissionDecision decision = judge(request, prediction, now);
    if (decision.admitted) {
        keep(request, prediction);
    }
    return decision;
}

AdmissionDecision AdmissionController::judge(const AdmissionRequest &request,
                                             const Prediction &prediction,
                                             Time now) const
{
    AdmissionDecision decision;
    decision.piecesAhead = prediction.ahead;
    if (prediction.done == Time::max()) {
        decision.admitted = false;
        decision.predictedTime = request.targetLatency;
        decision.retryAfter = std::max(leastComeBack, request.targetLatency);
        return decision;
    }
    // What is off without queues is no reason to refuse: it would be the same on return.
    const Duration spread = std::min(fromSeconds(spreadMs_ / 1000), prediction.inQueues);
    decision.predictedTime =
        prediction.done - now + fromSeconds(errorMs_ / 1000) * std::int64_t(prediction.depth) + spread;
    const Duration limit = fromSeconds(toSeconds(request.targetLatency) * limitShare(request));
    const Duration total = now - request.receivedAt + decision.predictedTime + request.timeAfterStages;
    decision.timeLimit = limit - (now - request.receivedAt) - request.timeAfterStages;
    decision.keepsCommitments = prediction.keepsOthers;
    decision.admitted = (total <= limit || prediction.inQueues < shortWait) && prediction.keepsOthers;
    if (!decision.admitted) {
        decision.retryAfter = std::max(leastComeBack, total - limit);
    }
    return decision;
}

/** When a step's pieces would be started, and whether all that is due later would still be in time. */
AdmissionController::Outlook AdmissionController::look(const ServiceWork &work, const StageDemand &step, Time now) const
{
    std::map<Time, std::size_t> later;
    Outlook outlook;
    const auto count = [&](Time due, std::size_t pieces) {
        if (due <= step.dueTime) {
            outlook.ahead += pieces;
        } else {
            later[due] += pieces;
        }
    };
    for (const auto &[due, pieces] : work.coming) {
        count(due, pieces);
    }
    work.scheduler->forEachWaiting([&](const PieceTask &order) { count(roundedUp(order.dueTime), 1); });

    std::vector<std::size_t> without;
    std::vector<std::size_t> with;
    std::size_t sum = outlook.ahead;
    with.push_back(sum + step.pieceCount);
    without.push_back(sum);
    for (const auto &[due, pieces] : later) {
        sum += pieces;
        without.push_back(sum);
        with.push_back(sum + step.pieceCount);
    }
    const auto startsWith = work.scheduler->estimateStartTimes(with, now);
    const auto startsWithout = work.scheduler->estimateStartTimes(without, now);
    outlook.started = startsWith.front();
    outlook.call = work.scheduler->estimateCallTime(with.front());
    std::size_t index = 1;
    for (const auto &[due, pieces] : later) {
        const Time latest = due - work.scheduler->estimateCallTime(with[index]);
        outlook.keepsOthers = outlook.keepsOthers && (startsWith[index] <= latest || startsWithout[index] > latest);
        ++index;
    }
    return outlook;
}

void AdmissionController::admit(const AdmissionRequest &request, Time now)
{
    keep(request, predict(request, now));
}

void AdmissionController::keep(const AdmissionRequest &request, const Prediction &prediction)
{
    removeCommitment(request.id);
    Commitment commitment;
    commitment.predicted = prediction.done;
    commitment.depth = prediction.depth;
    for (std::uint32_t stage = 0; stage < request.demands.size(); ++stage) {
        const StageDemand &step = request.demands[stage];
        if (step.pieceCount == 0) {
            continue;
        }
        const Time due = roundedUp(step.dueTime);
        commitment.steps.push_back({ stage, step.service, step.pieceCount, due });
        commitment.until = std::max(commitment.until, due + commitmentMargin);
        services_[step.service].coming[due] += step.pieceCount;
    }
    commitments_[request.id] = std::move(commitment);
}

void AdmissionController::markStageQueued(const RequestId &request, std::uint32_t stage)
{
    const auto found = commitments_.find(request);
    if (found == commitments_.end()) {
        return;
    }
    auto &steps = found->second.steps;
    const auto step = std::find_if(steps.begin(), steps.end(), [&](const auto &each) { return each.stage == stage; });
    if (step != steps.end()) {
        takeBack(*step);
        steps.erase(step);
    }
}

void AdmissionController::recordCompletion(const RequestId &request, Time now)
{
    const auto found = commitments_.find(request);
    if (found == commitments_.end() || !found->second.steps.empty()) {
        return;
    }
    const Commitment &commitment = found->second;
    const double depth = double(std::max<std::size_t>(commitment.depth, 1));
    const double offMs = toSeconds(now - commitment.predicted) * 1000 - errorMs_ * depth;
    const bool isOutside = std::abs(offMs) > spreadMs_;
    errorMs_ = std::max(0.0, errorMs_ + (offMs > 0 ? errorStepMs : -errorStepMs) / depth);
    spreadMs_ = std::max(0.0, spreadMs_ + errorStepMs * (isOutside ? spreadQuantile : spreadQuantile - 1));
    commitments_.erase(found);
}

void AdmissionController::removeCommitment(const RequestId &request)
{
    const auto found = commitments_.find(request);
    if (found != commitments_.end()) {
        for (const auto &step : found->second.steps) {
            takeBack(step);
        }
        commitments_.erase(found);
    }
}

void AdmissionController::removeExpired(Time now)
{
    std::vector<RequestId> old;
    for (const auto &[request, commitment] : commitments_) {
        if (commitment.until < now) {
            old.push_back(request);
        }
    }
    for (const auto &request : old) {
        removeCommitment(request);
    }
}

void AdmissionController::takeBack(const ComingStep &step)
{
    auto &coming = services_[step.service].coming;
    const auto found = coming.find(step.due);
    if (found == coming.end()) {
        return;
    }
    found->second -= std::min<std::size_t>(found->second, step.pieces);
    if (found->second == 0) {
        coming.erase(found);
    }
}

std::vector<ServiceLoad> AdmissionController::serviceLoads(Time now) const
{
    std::vector<ServiceLoad> waits;
    for (const auto &[service, work] : services_) {
        if (work.scheduler == nullptr) {
            continue;
        }
        std::size_t before = work.scheduler->waitingCount();
        for (const auto &[due, pieces] : work.coming) {
            before += pieces;
        }
        const std::size_t pieces[] = { before + 1 };
        const Time started = work.scheduler->estimateStartTimes(pieces, now).front();
        if (started != Time::max()) {
            waits.push_back({ service, started - now, work.scheduler->estimateCallTime(before + 1) });
        }
    }
    return waits;
}

} // namespace lacewing::stages
