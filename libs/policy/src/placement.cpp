#include "state.h"

#include <algorithm>
#include <cmath>

namespace lacewing::policy
{

namespace
{

/**
 * Calls that may queue on an endpoint in addition to one, as a multiple of the square root of its slots, which is the
 * scale of the random variation of its load.
 */
constexpr double queueDepthPerSqrtSlots = 1.0;
/** Uncertainty of an estimated load, as a fraction of the slots. */
constexpr double loadUncertaintyFraction = 0.06;
/** Penalty for an endpoint in another zone, as a fraction of the expected service time. */
constexpr double remotePenaltyFraction = 0.4;
constexpr double remoteLatencySeconds = 0.004;
constexpr Duration minDeferral = 2ms;
constexpr Duration maxDeferral = 40ms;
constexpr double deferralJitter = 0.5;
/** An endpoint stays reserved for an isolated call for this time after the last placement request of its job. */
constexpr Duration reservationTime = 100ms;
constexpr Duration noEndpointRetryAfter = 2s;
/** Maximum number of random draws per sampled endpoint. */
constexpr std::size_t attemptsPerSample = 3;
constexpr std::size_t maxReportedCandidates = 8;
/**
 * Scores within this tolerance count as equal, as a fraction of the pool's mean service time: the tolerance with fresh
 * reports, and the amount added for reports as old as the mean service time.
 */
constexpr double freshTolerance = 0.01;
constexpr double staleTolerance = 0.15;
/** Cached prefixes are preferred while the mean report age is below this fraction of the mean service time. */
constexpr double maxPrefixStaleness = 0.5;
constexpr Duration priorityUnit = 10ms;
/** Additional delay before a hedge at hedging level 0, as a fraction of the 95th percentile of the service time. */
constexpr double hedgeExtraWaitFraction = 0.5;
/** Minimum hedging level at which a class hedges. */
constexpr double minHedgingLevel = 0.2;

/** Returns the age of an endpoint's load report in seconds; 0 without a report. */
double reportAge(const Endpoint &endpoint, Time now)
{
    return endpoint.reported ? std::max(0.0, toSeconds(now - endpoint.measuredAt)) : 0;
}

/** Smooth approximation of max(0, x); `width` is the width of the transition. */
double softplus(double x, double width)
{
    const double ratio = x / width;
    return ratio > 30 ? x : width * std::log1p(std::exp(ratio));
}

} // namespace

StageView Policy::State::makeStageView(Job &job, const PlacementRequest &request) const
{
    StageView stage;
    stage.job = &job;
    stage.stage = request.call.stage.value();
    stage.key = stageKey(job, stage.stage);
    stage.request = &request;
    stage.expected = times.expect(stage.key, priorSeconds(job));
    auto cachedKey = stage.key;
    cachedKey.cached = true;
    stage.expectedCached = job.info.prefixes.empty() ? stage.expected : times.expect(cachedKey, priorSeconds(job));
    return stage;
}

bool Policy::State::isAllowed(const StageView &stage, const Endpoint &endpoint, Time now) const
{
    const auto &excluded = stage.request->excluded;
    return table.isUsable(endpoint, now) && endpoint.localIsolatedCalls == 0 && endpoint.reservedUntil <= now
        && std::find(excluded.begin(), excluded.end(), endpoint.info.id) == excluded.end();
}

Candidate Policy::State::evaluate(const StageView &stage, std::uint32_t index, Time now) const
{
    const auto &endpoint = table.endpoints()[index];
    const double slots = endpoint.info.slots;
    const double mean = table.pools()[endpoint.pool].meanServiceSeconds;
    Candidate result;
    result.endpoint = index;
    result.load = table.estimateCalls(endpoint, now);
    result.wait = mean / slots * softplus(result.load + 1 - slots, 0.5 + loadUncertaintyFraction * slots);
    const auto &prefixesOfJob = stage.job->info.prefixes;
    result.cached = std::any_of(prefixesOfJob.begin(), prefixesOfJob.end(), [&](PrefixHash prefix) {
        return prefixes.holds(prefix, index, now);
    });
    const auto &expectedTime = result.cached ? stage.expectedCached : stage.expected;
    result.serviceTime = expectedTime.median * std::exp(std::max(0.0, endpoint.slowness));
    result.isLocal = endpoint.info.zone == options.zone;
    const double penalty = result.isLocal ? 0 : remoteLatencySeconds + remotePenaltyFraction * expectedTime.median;
    // The load term prefers the less loaded of two endpoints without a queue.
    result.score = result.wait + result.serviceTime + penalty + 0.02 * mean * result.load / slots;
    return result;
}

void Policy::State::sampleCandidates(const StageView &stage,
                                     const std::vector<std::uint32_t> &from,
                                     std::size_t count,
                                     Time now,
                                     std::vector<Candidate> &into)
{
    const auto add = [&](std::uint32_t index) {
        const bool isKnown =
            std::any_of(into.begin(), into.end(), [&](const auto &one) { return one.endpoint == index; });
        if (isKnown || !isAllowed(stage, table.endpoints()[index], now)) {
            return false;
        }
        into.push_back(evaluate(stage, index, now));
        return true;
    };
    if (from.empty()) {
        return;
    }
    if (from.size() <= count) {
        // Starts at a random position, because the first of several equal candidates is selected.
        const auto first = from.begin() + std::ptrdiff_t(random.below(from.size()));
        std::for_each(first, from.end(), add);
        std::for_each(from.begin(), first, add);
        return;
    }
    std::size_t found = 0;
    for (std::size_t tries = 0; tries < count * attemptsPerSample && found < count; ++tries) {
        found += add(from[random.below(from.size())]) ? 1 : 0;
    }
}

/**
 * Evaluates a few random endpoints (power of two choices; Mitzenmacher, 2001, shows that a second sample already
 * removes most of the queueing) and the endpoints that hold the longest prefix of the prompt. The best one comes first.
 */
std::vector<Candidate> Policy::State::findCandidates(const StageView &stage, Time now)
{
    const auto &strategy = std::get<Predictive>(options.strategy);
    const auto pool = stage.key.pool;
    auto &group = table.group(pool, stage.job->pipeline->stages[stage.stage].model);
    std::vector<Candidate> result;
    result.reserve(16);
    sampleCandidates(stage, group.local, strategy.localSamples, now, result);
    const std::size_t missing = strategy.localSamples - std::min<std::size_t>(strategy.localSamples, result.size());
    sampleCandidates(stage, group.remote, strategy.remoteSamples + missing, now, result);
    if (!stage.job->info.prefixes.empty()) {
        for (const auto index : prefixes.holders(stage.job->info.prefixes.back(), now)) {
            const auto &endpoint = table.endpoints()[index];
            const bool isKnown =
                std::any_of(result.begin(), result.end(), [&](const auto &one) { return one.endpoint == index; });
            if (endpoint.pool == pool && !isKnown && isAllowed(stage, endpoint, now)) {
                result.push_back(evaluate(stage, index, now));
            }
        }
    }
    rankCandidates(stage, result, now);
    return result;
}

/**
 * Sorts the candidates, best first.
 *
 * All VMs use the same delayed reports, so always selecting the best score would send the calls of all VMs to one
 * endpoint (herd effect). Candidates whose scores differ by less than the tolerance for the age of the reports count as
 * equal. Among these, one with a cached prefix comes first, then one in the zone of this VM, then the first sampled
 * one, which is random.
 */
void Policy::State::rankCandidates(const StageView &stage, std::vector<Candidate> &evaluated, Time now) const
{
    if (evaluated.empty()) {
        return;
    }
    const double mean = table.pools()[stage.key.pool].meanServiceSeconds;
    double best = evaluated.front().score;
    double age = 0;
    for (const auto &one : evaluated) {
        best = std::min(best, one.score);
        age += reportAge(table.endpoints()[one.endpoint], now) / double(evaluated.size());
    }
    const double staleness = std::min(1.0, age / std::max(mean, 0.001));
    const double tolerance = mean * (freshTolerance + staleTolerance * staleness);
    const bool prefersCached = staleness < maxPrefixStaleness;
    const auto order = [&](const Candidate &one) {
        const bool isEqual = one.score <= best + tolerance;
        return std::tuple(
            !isEqual, isEqual && !(prefersCached && one.cached), isEqual && !one.isLocal, isEqual ? 0.0 : one.score);
    };
    std::stable_sort(evaluated.begin(), evaluated.end(), [&](const auto &left, const auto &right) {
        return order(left) < order(right);
    });
}

/** The earliest latest start time has the highest priority. Unlike slack at placement, this order holds while calls
 * wait. */
int Policy::State::priority(const StageView &stage) const
{
    const double seconds = stage.expected.median + remainingMedian(*stage.job, stage.stage);
    const auto latestStart = stage.job->info.deadline - boundedSeconds(seconds) + options.wallClockOffset;
    const auto units = latestStart.time_since_epoch() / priorityUnit;
    return maxPriority - int(units & std::int64_t(maxPriority));
}

Placed Policy::State::makePlaced(const StageView &stage, const std::vector<Candidate> &evaluated) const
{
    const auto &best = evaluated.front();
    const auto &endpoint = table.endpoints()[best.endpoint];
    Placed result;
    result.endpoint = endpoint.info.id;
    result.incarnation = endpoint.info.incarnation;
    result.priority = isPredictive() ? priority(stage) : 0;
    result.stageDeadline = stage.job->info.deadline - boundedSeconds(remainingMedian(*stage.job, stage.stage));
    result.predictedLatency = boundedSeconds(best.wait + best.serviceTime);
    for (std::size_t index = 0; index < std::min(evaluated.size(), maxReportedCandidates); ++index) {
        const auto &one = evaluated[index];
        result.candidates.push_back({ table.endpoints()[one.endpoint].info.id,
                                      boundedSeconds(one.wait),
                                      boundedSeconds(one.serviceTime),
                                      one.cached,
                                      one.isLocal });
    }
    return result;
}

Placement Policy::State::place(const PlacementRequest &request, Time now)
{
    const auto found = jobs_.find(request.call.job);
    if (found == jobs_.end() || request.call.stage.value() >= found->second.pools.size()) {
        return Unplaceable { RefusalReason::ClassUnknown, Duration(0) };
    }
    auto &job = found->second;
    if (now >= job.info.deadline) {
        return Unplaceable { RefusalReason::CannotFinishInTime, Duration(0) };
    }
    job.isolated = request.isolated;
    const auto stage = makeStageView(job, request);
    auto result = !isPredictive() ? placeBaseline(stage, now)
        : request.isolated        ? placeIsolated(stage, now)
                                  : placePredictive(stage, now);
    setDeferred(job, std::holds_alternative<Deferred>(result));
    return result;
}

Placement Policy::State::placePredictive(const StageView &stage, Time now)
{
    const double minRemainingSeconds = stage.expected.low + remainingMedian(*stage.job, stage.stage) / 2;
    if (now + boundedSeconds(minRemainingSeconds) > stage.job->info.deadline) {
        return Unplaceable { RefusalReason::CannotFinishInTime, boundedSeconds(minRemainingSeconds) };
    }
    const auto evaluated = findCandidates(stage, now);
    if (evaluated.empty()) {
        return waitForSlot(stage, now);
    }
    const auto &best = evaluated.front();
    const double slots = table.endpoints()[best.endpoint].info.slots;
    if (best.load > slots + 1 + queueDepthPerSqrtSlots * std::sqrt(slots)) {
        return waitForSlot(stage, now);
    }
    return makePlaced(stage, evaluated);
}

/**
 * Selects an endpoint without calls of this policy, since a suspect request may crash the endpoint and fail other
 * calls. If there is none, reserves the one with the fewest such calls, so that it receives no new calls until it is
 * empty.
 */
Placement Policy::State::placeIsolated(const StageView &stage, Time now)
{
    const auto &group = table.group(stage.key.pool, stage.job->pipeline->stages[stage.stage].model);
    std::vector<Candidate> evaluated;
    for (const auto *list : { &group.local, &group.remote }) {
        for (const auto index : *list) {
            const auto &endpoint = table.endpoints()[index];
            const bool isReservedForJob = endpoint.reservedFor == stage.job->info.id;
            if (isAllowed(stage, endpoint, now) || (isReservedForJob && table.isUsable(endpoint, now))) {
                evaluated.push_back(evaluate(stage, index, now));
            }
        }
    }
    if (evaluated.empty()) {
        return waitForSlot(stage, now);
    }
    const auto rank = [&](const Candidate &one) {
        const auto &endpoint = table.endpoints()[one.endpoint];
        const bool isOther = endpoint.reservedFor != stage.job->info.id;
        const auto spread = hashBytes(endpoint.info.id.text(), stage.job->info.id.sequence ^ options.seed);
        return std::tuple(endpoint.localCalls > 0, isOther, endpoint.localCalls, spread, one.endpoint);
    };
    std::sort(evaluated.begin(), evaluated.end(), [&](const auto &left, const auto &right) {
        return rank(left) < rank(right);
    });
    auto &best = table.endpoint(evaluated.front().endpoint);
    best.reservedFor = stage.job->info.id;
    best.reservedUntil = now + reservationTime;
    return best.localCalls > 0 ? waitForSlot(stage, now) : Placement(makePlaced(stage, evaluated));
}

Placement Policy::State::waitForSlot(const StageView &stage, Time now)
{
    const auto &group = table.group(stage.key.pool, stage.job->pipeline->stages[stage.stage].model);
    const auto isLive = [&](std::uint32_t index) { return table.endpoints()[index].info.state == EndpointState::Live; };
    const bool hasLive = std::any_of(group.local.begin(), group.local.end(), isLive)
        || std::any_of(group.remote.begin(), group.remote.end(), isLive);
    if (!hasLive) {
        return Unplaceable { RefusalReason::NoEndpoint, noEndpointRetryAfter };
    }
    const auto &pool = table.pools()[stage.key.pool];
    const double freed = pool.meanServiceSeconds / std::max(pool.slots, 1.0);
    const auto pause = std::clamp(boundedSeconds(freed * 4), minDeferral, maxDeferral);
    return Deferred { now + random.jitter(pause, deferralJitter) };
}

std::optional<std::uint32_t> Policy::State::pickBaseline(const StageView &stage)
{
    const auto &group = table.group(stage.key.pool, stage.job->pipeline->stages[stage.stage].model);
    std::vector<std::uint32_t> usable;
    for (const auto *list : { &group.local, &group.remote }) {
        for (const auto index : *list) {
            const auto &endpoint = table.endpoints()[index];
            const auto &excluded = stage.request->excluded;
            const bool isExcluded = std::find(excluded.begin(), excluded.end(), endpoint.info.id) != excluded.end();
            if (endpoint.listed && endpoint.info.state == EndpointState::Live && !isExcluded) {
                usable.push_back(index);
            }
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const auto reported = [&](std::uint32_t index) {
        const auto &endpoint = table.endpoints()[index];
        return endpoint.reportedCalls / endpoint.info.slots;
    };
    roundRobin_.resize(table.pools().size());
    return std::visit(Overloaded {
                          [&](const Predictive &) { return usable.front(); },
                          [&](const RandomChoice &) { return usable[random.below(usable.size())]; },
                          [&](const RoundRobin &) { return usable[roundRobin_[stage.key.pool]++ % usable.size()]; },
                          [&](const LeastReportedLoad &) {
                              return *std::min_element(
                                  usable.begin(), usable.end(), [&](std::uint32_t left, std::uint32_t right) {
                                      return reported(left) < reported(right);
                                  });
                          },
                      },
                      options.strategy);
}

Placement Policy::State::placeBaseline(const StageView &stage, Time now)
{
    const auto picked = pickBaseline(stage);
    if (!picked) {
        return waitForSlot(stage, now);
    }
    return makePlaced(stage, { evaluate(stage, *picked, now) });
}

std::optional<Placed> Policy::State::tryHedge(const CallId &id, Time now)
{
    const auto call = calls_.find(id);
    const auto job = jobs_.find(id.job);
    if (!isPredictive() || call == calls_.end() || job == jobs_.end() || call->second.hedged || call->second.isolated) {
        return std::nullopt;
    }
    auto &loop = feedbackLoops[job->second.classIndex];
    const bool isRepeatable = job->second.info.repeatable && job->second.pipeline->stages[id.stage.value()].repeatable;
    const double hedgeDelay = call->second.expected.high * (1 + hedgeExtraWaitFraction * (1 - loop.hedgingLevel));
    const bool isLate = now - call->second.started > boundedSeconds(hedgeDelay);
    if (!isRepeatable || !isLate || loop.hedgingLevel < minHedgingLevel || loop.retryBudget < 1) {
        return std::nullopt;
    }
    const PlacementRequest request { id, false, { table.endpoints()[call->second.endpoint].info.id } };
    const auto stage = makeStageView(job->second, request);
    const auto evaluated = findCandidates(stage, now);
    if (evaluated.empty()) {
        return std::nullopt;
    }
    const auto &best = evaluated.front();
    const double slots = table.endpoints()[best.endpoint].info.slots;
    const double finish = best.wait + best.serviceTime + remainingMedian(job->second, stage.stage);
    if (best.load + 1 > slots || now + boundedSeconds(finish) > job->second.info.deadline) {
        return std::nullopt;
    }
    call->second.hedged = true;
    loop.retryBudget -= 1;
    return makePlaced(stage, evaluated);
}

} // namespace lacewing::policy
