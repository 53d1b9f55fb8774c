#include "state.h"

#include <algorithm>
#include <cmath>

namespace lacewing::policy
{

namespace
{

constexpr Duration tickPeriod = 50ms;
/** Weight of one job in the smoothed attainment and cost of its class. */
constexpr double jobGain = 0.02;
/** Minimum weight of one call in a pool's smoothed service time. */
constexpr double callGain = 0.02;
/** Fraction of a retry that each met job adds to the retry budget of its class. */
constexpr double retryBudgetPerMetJob = 0.1;
constexpr double maxRetryBudget = 20;
/** Fraction of a retry charged for a call that certainly did not start. */
constexpr double notStartedRetryCost = 0.1;
constexpr std::uint32_t maxRetries = 6;
constexpr Duration retryDelay = 5ms;
/** Change of the hedging level when the attainment is below its target, or the cost above it. */
constexpr double hedgingStep = 0.02;
constexpr double hedgingDecay = 0.002;
/** Accepted fraction of late jobs among the admitted ones. */
constexpr double acceptedLateFraction = 0.01;
constexpr double reserveStep = 0.03;
constexpr double minReserveFactor = 0.3;
constexpr double maxReserveFactor = 2.0;
/** Fraction of a class's completion time that its stages are assumed to take together without samples. */
constexpr double priorServiceFraction = 0.3;

bool usesPrefixes(config::StageKind kind)
{
    return kind == config::StageKind::Generate;
}

} // namespace

Policy::State::State(Options given)
    : options(std::move(given))
    , random(options.seed)
    , table(options.zone)
{
}

std::uint32_t Policy::State::classIndex(const ClassId &id)
{
    const auto [place, isNew] = classIndexById_.try_emplace(id, std::uint32_t(feedbackLoops.size()));
    if (isNew) {
        feedbackLoops.push_back({ .id = id });
    }
    return place->second;
}

StageKey Policy::State::stageKey(const Job &job, std::uint32_t stage) const
{
    const bool generates = job.pipeline->stages[stage].kind == config::StageKind::Generate;
    const auto output = generates ? job.info.maxOutput : Tokens(0);
    return { job.classIndex, stage, job.pools[stage], sizeBucket(job.info.input, output), false };
}

double Policy::State::priorSeconds(const Job &job) const
{
    return priorServiceFraction * toSeconds(job.spec.completion) / double(job.pools.size());
}

ExpectedTime Policy::State::expected(const Job &job, std::uint32_t stage) const
{
    return times.expect(stageKey(job, stage), priorSeconds(job));
}

double Policy::State::remainingMedian(const Job &job, std::uint32_t stage) const
{
    double sum = 0;
    for (auto later = stage + 1; later < job.pools.size(); ++later) {
        sum += expected(job, later).median;
    }
    return sum;
}

double Policy::State::groupWait(const Job &job, std::uint32_t stage)
{
    const auto index = job.pools[stage];
    const auto &group = table.group(index, job.pipeline->stages[stage].model);
    const auto &pool = table.pool(index);
    const double part = pool.slots > 0 ? std::min(1.0, group.slots / pool.slots) : 1;
    const double queued = group.busy + part * (pool.pending + pool.othersPending) - group.slots;
    return std::max(0.0, queued) / std::max(group.slots, 1.0) * pool.meanServiceSeconds;
}

void Policy::State::setDeferred(Job &job, bool deferred)
{
    if (job.deferred != deferred) {
        deferredCalls_ += deferred ? 1 : -1;
        job.deferred = deferred;
    }
}

void Policy::State::onCallStarted(const CallId &id, const EndpointId &endpointId, Time now)
{
    const auto job = jobs_.find(id.job);
    const auto endpoint = table.find(endpointId);
    if (job == jobs_.end() || !endpoint || id.stage.value() >= job->second.pools.size()) {
        return;
    }
    const auto stage = id.stage.value();
    for (; job->second.firstPendingStage <= stage; ++job->second.firstPendingStage) {
        auto &pending = table.pool(job->second.pools[job->second.firstPendingStage]).pending;
        pending -= pending > 0 ? 1 : 0;
    }
    Call call;
    call.endpoint = *endpoint;
    call.key = stageKey(job->second, stage);
    const auto &prefixesOfJob = job->second.info.prefixes;
    const bool generates = usesPrefixes(job->second.pipeline->stages[stage].kind);
    call.key.cached = generates && std::any_of(prefixesOfJob.begin(), prefixesOfJob.end(), [&](PrefixHash prefix) {
                          return prefixes.holds(prefix, *endpoint, now);
                      });
    call.expected = times.expect(call.key, priorSeconds(job->second));
    call.started = now;
    call.isolated = job->second.isolated;
    ++job->second.callsInFlight;
    table.callStarted(*endpoint, call.isolated, now);
    calls_.insert_or_assign(id, call);
}

void Policy::State::recordOutcome(const Call &call, const CallOutcome &outcome, const Job &job, Time now)
{
    if (outcome.cancelled) {
        return;
    }
    const double seconds = toSeconds(outcome.serviceTime);
    const bool isTimed = outcome.ok && seconds > 0;
    table.observe(call.endpoint, !outcome.ok, isTimed ? seconds / std::max(call.expected.median, 1e-4) : 0);
    if (!isTimed) {
        return;
    }
    table.markReachable(call.endpoint);
    auto key = call.key;
    const bool generates = usesPrefixes(job.pipeline->stages[key.stage].kind);
    key.cached = generates && outcome.cachedInput.value() > 0;
    times.add(key, seconds);
    auto &pool = table.pool(key.pool);
    pool.sampleCount = std::min(pool.sampleCount + 1, 1 / callGain);
    pool.meanServiceSeconds += (seconds - pool.meanServiceSeconds) / pool.sampleCount;
    if (generates) {
        for (const auto prefix : job.info.prefixes) {
            prefixes.onStored(prefix, call.endpoint, now);
        }
    }
}

void Policy::State::onCallEnded(const CallId &id, const CallOutcome &outcome, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const auto call = found->second;
    calls_.erase(found);
    table.callEnded(call.endpoint, call.isolated, now);
    const auto job = jobs_.find(id.job);
    if (job != jobs_.end()) {
        --job->second.callsInFlight;
        recordOutcome(call, outcome, job->second, now);
    }
    if (outcome.crashed || outcome.failure == ErrorKind::Unreachable) {
        table.markUnreachable(call.endpoint, now);
    }
}

RetryDecision Policy::State::decideRetry(const CallId &id,
                                         const EndpointId &endpoint,
                                         const CallOutcome &outcome,
                                         Time now)
{
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end()) {
        return NoRetry { RefusalReason::ClassUnknown, Duration(0) };
    }
    auto &job = found->second;
    const auto stage = id.stage.value();
    const bool isRepeatable = job.info.repeatable && job.pipeline->stages[stage].repeatable;
    if (outcome.ran != Ran::No && !isRepeatable) {
        return NoRetry { RefusalReason::NotRepeatable, Duration(0) };
    }
    const double minRemainingSeconds = expected(job, stage).low + remainingMedian(job, stage) / 2;
    if (now + boundedSeconds(minRemainingSeconds) > job.info.deadline) {
        return NoRetry { RefusalReason::CannotFinishInTime, Duration(0) };
    }
    auto &retryBudget = feedbackLoops[job.classIndex].retryBudget;
    const double retryCost = outcome.ran == Ran::No ? notStartedRetryCost : 1;
    if (job.retries >= maxRetries || retryBudget < retryCost) {
        return NoRetry { RefusalReason::RetryBudgetSpent, boundedSeconds(1) };
    }
    retryBudget -= retryCost;
    ++job.retries;
    return Retry { now + random.jitter(retryDelay, 0.5), { endpoint } };
}

void Policy::State::updateFeedback(ClassFeedbackLoop &loop, const Job &job, JobOutcome end, Cost cost)
{
    if (end == JobOutcome::Refused) {
        return;
    }
    const bool met = end == JobOutcome::Met;
    loop.attainment += jobGain * ((met ? 1 : 0) - loop.attainment);
    if (met) {
        loop.costPerMetJob += jobGain * (double(cost.value()) - loop.costPerMetJob);
        loop.retryBudget = std::min(maxRetryBudget, loop.retryBudget + retryBudgetPerMetJob);
    }
    const bool isOverCost = loop.costPerMetJob > double(job.spec.cost.value());
    const double step = isOverCost ? -hedgingStep : loop.attainment < job.spec.share ? hedgingStep : -hedgingDecay;
    loop.hedgingLevel = std::clamp(loop.hedgingLevel + step, 0.0, 1.0);
    const double reserveChange = end == JobOutcome::Late ? reserveStep : met ? -reserveStep * acceptedLateFraction : 0;
    reserveFactor_ = std::clamp(reserveFactor_ + reserveChange, minReserveFactor, maxReserveFactor);
}

void Policy::State::onJobEnded(const JobId &id, JobOutcome end, Cost cost, Time)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    auto &job = found->second;
    setDeferred(job, false);
    for (auto stage = job.firstPendingStage; stage < job.pools.size(); ++stage) {
        auto &pending = table.pool(job.pools[stage]).pending;
        pending -= pending > 0 ? 1 : 0;
    }
    updateFeedback(feedbackLoops[job.classIndex], job, end, cost);
    jobs_.erase(found);
}

void Policy::State::onCacheEvent(const CacheEvent &event, Time now)
{
    const auto index = table.find(event.endpoint);
    if (!index || table.endpoint(*index).info.incarnation != event.incarnation) {
        return;
    }
    if (event.kind == CacheEvent::Kind::Stored) {
        prefixes.onStored(event.prefix, *index, now);
    } else {
        prefixes.onEvicted(event.prefix, *index);
    }
}

void Policy::State::onDemandHint(const DemandHint &hint, Time now)
{
    hintReceivedAt_ = now;
    policyCount_ = hint.policyCount + 1;
    table.setHint(hint);
    fairShare.setOthers(hint.heavyWorkspaces);
}

DemandHint Policy::State::localHint(Time now) const
{
    DemandHint hint;
    hint.policyCount = 1;
    for (std::uint32_t index = 0; index < table.pools().size(); ++index) {
        const auto &pool = table.pools()[index];
        const double work = index < localOfferedLoad_.size() ? localOfferedLoad_[index].perSecond(now) : 0;
        hint.pools.push_back({ pool.id, work, pool.localCalls, pool.pending });
    }
    hint.heavyWorkspaces = fairShare.heaviestLocal(now);
    return hint;
}

void Policy::State::tick(Time now)
{
    if (now - hintReceivedAt_ > hintLifetime) {
        table.clearHint();
        fairShare.setOthers({});
    }
    table.updateHealth(now);
    if (configuration && isPredictive()) {
        updateFairShares(now);
    }
    nextTick = now + tickPeriod;
}

} // namespace lacewing::policy
