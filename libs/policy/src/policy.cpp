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
/** Weight of one call in a pool's smoothed slot time. */
constexpr double callGain = 0.02;
/** Part of a retry that each met job adds to the class's budget. */
constexpr double budgetPerMet = 0.1;
constexpr double largestBudget = 20;
/** Part of a retry that a call costs which surely did not start. */
constexpr double notStartedCost = 0.1;
constexpr std::uint32_t maxRetries = 6;
constexpr Duration retryPause = 5ms;
/** Change of spend when attainment is short, or cost over target. */
constexpr double spendStep = 0.02;
constexpr double spendDecay = 0.002;
/** Late jobs that admission accepts, as a share of those it admits. */
constexpr double acceptedLate = 0.01;
constexpr double cautionStep = 0.03;
constexpr double leastCaution = 0.3;
constexpr double mostCaution = 2.0;
/** Part of a class's completion time that a stage is assumed to take before anything was learned. */
constexpr double priorShare = 0.3;

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
    const auto [place, isNew] = classByName_.try_emplace(id, std::uint32_t(loops.size()));
    if (isNew) {
        loops.push_back({ .id = id });
    }
    return place->second;
}

StageKey Policy::State::stageKey(const Job &job, std::uint32_t stage) const
{
    const bool generates = job.pipeline->stages[stage].kind == config::StageKind::Generate;
    const auto output = generates ? job.info.maxOutput : Tokens(0);
    return { job.classIndex, stage, job.pools[stage], sizeBucket(job.info.input, output), false };
}

double Policy::State::prior(const Job &job) const
{
    return priorShare * toSeconds(job.spec.completion) / double(job.pools.size());
}

ExpectedTime Policy::State::expected(const Job &job, std::uint32_t stage) const
{
    return times.expect(stageKey(job, stage), prior(job));
}

double Policy::State::laterMedian(const Job &job, std::uint32_t stage) const
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
    const double queued = group.busy + part * (pool.coming + pool.othersComing) - group.slots;
    return std::max(0.0, queued) / std::max(group.slots, 1.0) * pool.meanSeconds;
}

void Policy::State::setWaiting(Job &job, bool waiting)
{
    if (job.waiting != waiting) {
        waitingCalls_ += waiting ? 1 : -1;
        job.waiting = waiting;
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
    for (; job->second.comingFrom <= stage; ++job->second.comingFrom) {
        auto &coming = table.pool(job->second.pools[job->second.comingFrom]).coming;
        coming -= coming > 0 ? 1 : 0;
    }
    Call call;
    call.endpoint = *endpoint;
    call.key = stageKey(job->second, stage);
    const auto &prefixesOfJob = job->second.info.prefixes;
    const bool generates = usesPrefixes(job->second.pipeline->stages[stage].kind);
    call.key.cached = generates && std::any_of(prefixesOfJob.begin(), prefixesOfJob.end(), [&](PrefixHash prefix) {
                          return prefixes.holds(prefix, *endpoint, now);
                      });
    call.expected = times.expect(call.key, prior(job->second));
    call.started = now;
    call.alone = job->second.alone;
    ++job->second.calls;
    table.started(*endpoint, call.alone, now);
    calls_.insert_or_assign(id, call);
}

void Policy::State::learn(const Call &call, const CallOutcome &outcome, const Job &job, Time now)
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
    table.reachable(call.endpoint);
    auto key = call.key;
    const bool generates = usesPrefixes(job.pipeline->stages[key.stage].kind);
    key.cached = generates && outcome.cachedInput.value() > 0;
    times.add(key, seconds);
    auto &pool = table.pool(key.pool);
    pool.calls = std::min(pool.calls + 1, 1 / callGain);
    pool.meanSeconds += (seconds - pool.meanSeconds) / pool.calls;
    if (generates) {
        for (const auto prefix : job.info.prefixes) {
            prefixes.stored(prefix, call.endpoint, now);
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
    table.ended(call.endpoint, call.alone, now);
    const auto job = jobs_.find(id.job);
    if (job != jobs_.end()) {
        --job->second.calls;
        learn(call, outcome, job->second, now);
    }
    if (outcome.crashed || outcome.failure == ErrorKind::Unreachable) {
        table.unreachable(call.endpoint, now);
    }
}

RetryDecision Policy::State::onFailed(const CallId &id,
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
    const double least = expected(job, stage).low + laterMedian(job, stage) / 2;
    if (now + boundedSeconds(least) > job.info.deadline) {
        return NoRetry { RefusalReason::CannotFinishInTime, Duration(0) };
    }
    auto &budget = loops[job.classIndex].budget;
    const double price = outcome.ran == Ran::No ? notStartedCost : 1;
    if (job.retries >= maxRetries || budget < price) {
        return NoRetry { RefusalReason::RetryBudgetSpent, boundedSeconds(1) };
    }
    budget -= price;
    ++job.retries;
    return Retry { now + random.jitter(retryPause, 0.5), { endpoint } };
}

void Policy::State::updateLoop(ClassLoop &loop, const Job &job, JobOutcome end, Cost cost)
{
    if (end == JobOutcome::Refused) {
        return;
    }
    const bool met = end == JobOutcome::Met;
    loop.attainment += jobGain * ((met ? 1 : 0) - loop.attainment);
    if (met) {
        loop.costPerMet += jobGain * (double(cost.value()) - loop.costPerMet);
        loop.budget = std::min(largestBudget, loop.budget + budgetPerMet);
    }
    const bool isOverCost = loop.costPerMet > double(job.spec.cost.value());
    const double step = isOverCost ? -spendStep : loop.attainment < job.spec.share ? spendStep : -spendDecay;
    loop.spend = std::clamp(loop.spend + step, 0.0, 1.0);
    const double caution = end == JobOutcome::Late ? cautionStep : met ? -cautionStep * acceptedLate : 0;
    caution_ = std::clamp(caution_ + caution, leastCaution, mostCaution);
}

void Policy::State::onJobEnded(const JobId &id, JobOutcome end, Cost cost, Time)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    auto &job = found->second;
    setWaiting(job, false);
    for (auto stage = job.comingFrom; stage < job.pools.size(); ++stage) {
        auto &coming = table.pool(job.pools[stage]).coming;
        coming -= coming > 0 ? 1 : 0;
    }
    updateLoop(loops[job.classIndex], job, end, cost);
    jobs_.erase(found);
}

void Policy::State::onCacheEvent(const CacheEvent &event, Time now)
{
    const auto index = table.find(event.endpoint);
    if (!index || table.endpoint(*index).info.incarnation != event.incarnation) {
        return;
    }
    if (event.kind == CacheEvent::Kind::Stored) {
        prefixes.stored(event.prefix, *index, now);
    } else {
        prefixes.evicted(event.prefix, *index);
    }
}

void Policy::State::onFleetHint(const DemandHint &hint, Time now)
{
    hintAt_ = now;
    policies_ = hint.policyCount + 1;
    table.setHint(hint);
    fair.setOthers(hint.heavyWorkspaces);
}

DemandHint Policy::State::ownHint(Time now) const
{
    DemandHint hint;
    hint.policyCount = 1;
    for (std::uint32_t index = 0; index < table.pools().size(); ++index) {
        const auto &pool = table.pools()[index];
        const double work = index < ownWork_.size() ? ownWork_[index].perSecond(now) : 0;
        hint.pools.push_back({ pool.id, work, pool.own, pool.coming });
    }
    hint.heavyWorkspaces = fair.heaviest(now);
    return hint;
}

void Policy::State::tick(Time now)
{
    if (now - hintAt_ > hintLifetime) {
        table.clearHint();
        fair.setOthers({});
    }
    table.compare(now);
    if (configuration && isPredictive()) {
        updateShares(now);
    }
    nextTick = now + tickPeriod;
}

} // namespace lacewing::policy
