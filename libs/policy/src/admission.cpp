#include "state.h"

#include <algorithm>
#include <cmath>

namespace lacewing::policy
{

namespace
{

/** Load to admit without a queue, as a fraction of the capacity. Fair shares apply to offered load above it. */
constexpr double maxTargetLoad = 1.1;
constexpr double minTargetLoad = 0.6;
/** Queueing time of a pool, as a fraction of the classes' slack, at which the admitted load equals the capacity. */
constexpr double toleratedWaitFraction = 0.7;
/** Queueing time, as a fraction of the slack, above which fair shares are enforced. */
constexpr double enforcementWaitFraction = 0.5;
/** Slack assumed before the first job of a class arrives. */
constexpr double initialSlackSeconds = 600;
constexpr double minSlackSeconds = 0.05;
/** Weight of one job in the smoothed slack of its class. */
constexpr double slackGain = 0.05;
/** Reduction of the load to admit per fraction of the slack by which the queueing time exceeds the tolerated one. */
constexpr double waitGain = 0.5;
/** Maximum deferred calls per slot of this policy's even share of a pool, in addition to baseDeferredCalls. */
constexpr double deferredCallsPerSlot = 2;
constexpr double baseDeferredCalls = 32;
constexpr double retryAfterJitter = 0.3;
constexpr Duration defaultRetryAfter = 1s;
constexpr Duration minRetryAfter = 100ms;
constexpr double maxBoundedSeconds = 86'400;

} // namespace

Duration boundedSeconds(double seconds) noexcept
{
    return fromSeconds(std::clamp(seconds, 0.0, maxBoundedSeconds));
}

std::optional<Job> Policy::State::makeJob(const JobInfo &info)
{
    if (!configuration) {
        return std::nullopt;
    }
    const auto spec = configuration->classes.find(info.classId);
    if (spec == configuration->classes.end()) {
        return std::nullopt;
    }
    const auto pipeline = configuration->pipelines.find(spec->second.pipeline);
    if (pipeline == configuration->pipelines.end()) {
        return std::nullopt;
    }
    Job job;
    job.info = info;
    job.classIndex = classIndex(info.classId);
    job.spec = spec->second;
    job.configuration = configuration;
    job.pipeline = &pipeline->second;
    for (const auto &stage : pipeline->second.stages) {
        job.pools.push_back(table.poolIndex(stage.pool));
    }
    localOfferedLoad_.resize(std::max(localOfferedLoad_.size(), table.pools().size()));
    return job;
}

Admission Policy::State::admit(const JobInfo &info, Time now)
{
    auto job = makeJob(info);
    if (!job) {
        return Refused { RefusalReason::ClassUnknown, Duration(0) };
    }
    Duration predicted {};
    if (isPredictive()) {
        countArrival(*job, now);
        auto refused = checkCapacity(*job);
        if (!refused) {
            refused = checkDeadline(*job, predicted, now);
        }
        if (!refused) {
            refused = checkFairShare(*job, now);
        }
        if (refused) {
            refused->retryAfter = random.jitter(refused->retryAfter, retryAfterJitter);
            return *refused;
        }
    }
    addJob(std::move(*job));
    return Admitted { predicted };
}

void Policy::State::addJob(Job job)
{
    for (const auto pool : job.pools) {
        ++table.pool(pool).pending;
    }
    const auto id = job.info.id;
    jobs_.insert_or_assign(id, std::move(job));
}

void Policy::State::countArrival(const Job &job, Time now)
{
    double dominant = 0;
    for (std::uint32_t stage = 0; stage < job.pools.size(); ++stage) {
        const auto pool = job.pools[stage];
        const double seconds = expected(job, stage).mean;
        localOfferedLoad_[pool].add(seconds, now);
        dominant = std::max(dominant, seconds / std::max(table.pool(pool).slots, 1.0));
    }
    fairShare.onArrival(job.info.workspace, dominant, now);
}

std::optional<Refused> Policy::State::checkCapacity(const Job &job)
{
    double evenShare = 1e9;
    for (std::uint32_t stage = 0; stage < job.pools.size(); ++stage) {
        const auto &group = table.group(job.pools[stage], job.pipeline->stages[stage].model);
        if (group.slots <= 0) {
            return Refused { RefusalReason::NoEndpoint, defaultRetryAfter };
        }
        evenShare = std::min(evenShare, group.slots / policyCount_);
    }
    if (deferredCalls_ > baseDeferredCalls + deferredCallsPerSlot * evenShare) {
        return Refused { RefusalReason::QueueFull, defaultRetryAfter };
    }
    return std::nullopt;
}

std::optional<Refused> Policy::State::checkDeadline(const Job &job, Duration &predicted, Time now)
{
    double medianSeconds = 0;
    double spread = 0;
    double waits = 0;
    for (std::uint32_t stage = 0; stage < job.pools.size(); ++stage) {
        const auto time = expected(job, stage);
        waits += groupWait(job, stage);
        medianSeconds += time.median;
        spread += (time.high - time.median) * (time.high - time.median);
    }
    predicted = boundedSeconds(waits + medianSeconds);
    auto &loop = feedbackLoops[job.classIndex];
    const double baseSlack = toSeconds(job.info.deadline - now) - medianSeconds - std::sqrt(spread);
    const double slack = baseSlack - (reserveFactor_ - 1) * std::sqrt(spread);
    loop.slack = loop.pools.empty() ? baseSlack : loop.slack + slackGain * (baseSlack - loop.slack);
    loop.pools = job.pools;
    const double excess = waits - slack;
    if (excess <= 0) {
        return std::nullopt;
    }
    return Refused { RefusalReason::CannotFinishInTime, std::max(minRetryAfter, boundedSeconds(excess)) };
}

std::optional<Refused> Policy::State::checkFairShare(const Job &job, Time now)
{
    const bool isQueued = std::any_of(job.pools.begin(), job.pools.end(), [&](std::uint32_t pool) {
        return poolWait(pool) > enforcementWaitFraction * poolSlack(pool);
    });
    const double admitted = isQueued ? fairShare.admittedFraction(job.info.workspace, now) : 1;
    if (admitted >= 1 || random.chance(std::max(0.0, admitted))) {
        return std::nullopt;
    }
    return Refused { RefusalReason::OverFairShare, defaultRetryAfter };
}

double Policy::State::poolSlack(std::uint32_t index) const
{
    return index < poolSlack_.size() ? poolSlack_[index] : initialSlackSeconds;
}

/** Sets the slack of each pool to the minimum over the classes that use it. */
void Policy::State::updateSlack()
{
    poolSlack_.assign(table.pools().size(), initialSlackSeconds);
    for (const auto &loop : feedbackLoops) {
        for (const auto pool : loop.pools) {
            poolSlack_[pool] = std::min(poolSlack_[pool], std::max(loop.slack, minSlackSeconds));
        }
    }
}

double Policy::State::poolWait(std::uint32_t index) const
{
    const auto &pool = table.pools()[index];
    const double queued = pool.localCalls + pool.othersInFlight + pool.pending + pool.othersPending - pool.slots;
    return std::max(0.0, queued) / std::max(pool.slots, 1.0) * pool.meanServiceSeconds;
}

void Policy::State::updateFairShares(Time now)
{
    updateSlack();
    double demand = 0;
    double target = maxTargetLoad;
    for (std::uint32_t index = 0; index < table.pools().size() && index < localOfferedLoad_.size(); ++index) {
        const auto &pool = table.pool(index);
        if (pool.slots <= 0) {
            continue;
        }
        const double offered = (localOfferedLoad_[index].perSecond(now) + pool.othersOfferedLoad) / pool.slots;
        const double excess = poolWait(index) / poolSlack(index) - toleratedWaitFraction;
        demand = std::max(demand, offered);
        target = std::min(target, std::clamp(1 - waitGain * excess, minTargetLoad, maxTargetLoad));
    }
    fairShare.update(demand, target, now);
}

} // namespace lacewing::policy
