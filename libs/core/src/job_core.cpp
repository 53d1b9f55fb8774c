#include "job_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

/** How often running calls are looked over for hedges, and waiting ones placed again. */
constexpr Duration lookOverInterval = 20ms;

/** An endpoint of the view as the policy wants it. */
policy::EndpointInfo describe(const fleet::EndpointView &endpoint)
{
    policy::EndpointInfo info;
    info.id = endpoint.endpoint;
    info.pool = endpoint.pool;
    info.zone = endpoint.zone;
    info.incarnation = endpoint.incarnation;
    info.state =
        endpoint.state == fleet::EndpointState::Live ? policy::EndpointState::Live : policy::EndpointState::Draining;
    info.slots = endpoint.load && endpoint.load->slots > 0 ? endpoint.load->slots : 1;
    return info;
}

policy::EndpointLoad describeLoad(const fleet::EndpointView &endpoint)
{
    constexpr double perMille = 1000.0;
    policy::EndpointLoad load;
    load.endpoint = endpoint.endpoint;
    load.incarnation = endpoint.incarnation;
    load.measuredAt = endpoint.measuredAt;
    load.running = endpoint.load->running;
    load.waiting = endpoint.load->queued;
    load.slots = std::max<std::uint32_t>(1, endpoint.load->slots);
    load.kvCacheUtilization = endpoint.load->cachePerMille / perMille;
    return load;
}

policy::Options policyOptions(const JobCoreSettings &settings)
{
    return { settings.zone, settings.seed, settings.strategy, settings.commonTimeOffset };
}

} // namespace

JobCounters &JobCounters::operator+=(const JobCounters &other) noexcept
{
    submitted += other.submitted;
    admitted += other.admitted;
    completed += other.completed;
    met += other.met;
    failed += other.failed;
    refused += other.refused;
    retries += other.retries;
    hedges += other.hedges;
    resumes += other.resumes;
    crashes += other.crashes;
    quarantined += other.quarantined;
    staleResults += other.staleResults;
    repeatedChunks += other.repeatedChunks;
    unknownJobResults += other.unknownJobResults;
    running += other.running;
    remembered += other.remembered;
    return *this;
}

JobCore::State::State(JobCoreSettings wanted)
    : settings(std::move(wanted))
    , policy(policyOptions(settings))
    , configuration_(std::make_shared<const config::FleetConfig>())
    , view_(std::make_shared<const fleet::View>())
{
}

std::vector<JobEffect> JobCore::State::handle(const JobEvent &event, Time now, WallTime wall)
{
    now_ = now;
    wall_ = wall;
    effects_.clear();
    std::visit([&](const auto &each) { on(each); }, event);
    return std::move(effects_);
}

Time JobCore::State::nextWake() const
{
    Time wake = policy.nextWake();
    if (!deadlines_.empty()) {
        wake = std::min(wake, deadlines_.begin()->first);
    }
    if (!calls_.empty() || !waitingJobs_.empty()) {
        wake = std::min(wake, now_ + lookOverInterval);
    }
    return std::max(wake, now_ + Duration(1));
}

void JobCore::State::on(const Published &event)
{
    const bool newConfiguration = event.configuration && event.configuration != configuration_;
    if (newConfiguration) {
        configuration_ = event.configuration;
        policy.setConfig(configuration_);
    }
    if (!event.view || event.view == view_) {
        return;
    }
    view_ = event.view;
    std::vector<policy::EndpointInfo> endpoints;
    for (const fleet::EndpointView &endpoint : view_->endpoints) {
        if (endpoint.state != fleet::EndpointState::Dead) {
            endpoints.push_back(describe(endpoint));
        }
    }
    policy.setEndpoints(endpoints);
    for (const fleet::EndpointView &endpoint : view_->endpoints) {
        if (endpoint.load && endpoint.load->reachable) {
            policy.onLoadReport(describeLoad(endpoint));
        }
    }
}

void JobCore::State::on(const HintNews &event)
{
    policy.onDemandHint(event.hint, now_);
}

void JobCore::State::on(const CacheNews &event)
{
    policy.onCacheEvent(event.event, now_);
}

void JobCore::State::on(const StopAdmitting & /*event*/)
{
    admitting_ = false;
}

void JobCore::State::on(const SuspicionNews &event)
{
    std::vector<JobId> affected;
    for (auto &[id, state] : jobs_) {
        if (state.job.request().fingerprint == event.fingerprint && !state.job.outcome()) {
            state.suspect = event.state != fleet::SuspicionState::Clear;
            affected.push_back(id);
        }
    }
    if (event.state != fleet::SuspicionState::Quarantined) {
        return;
    }
    for (const JobId &id : affected) {
        JobState &state = jobs_.at(id);
        ++counters.quarantined;
        if (state.claiming) {
            rejectJob(state, { pipeline::FailureReason::Quarantined, Ran::Unknown });
        } else {
            run(state, state.job.fail(pipeline::FailureReason::Quarantined, Duration::zero()));
        }
    }
}

void JobCore::State::on(const Tick & /*event*/)
{
    if (policy.nextWake() <= now_) {
        policy.tick(now_);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
        const JobId id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        JobState &state = jobs_.at(id);
        if (state.claiming) {
            rejectJob(state, { pipeline::FailureReason::DeadlineExceeded, Ran::Unknown });
        } else {
            run(state, state.job.handle(pipeline::CheckDeadline {}, now_));
        }
    }
    retryWaiting(PoolId());
    hedgeLateCalls();
    forgetFinished();
}

JobState *JobCore::State::find(const JobId &job)
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

Cost JobCore::State::costPerSecond(const PoolId &pool) const
{
    const auto found = configuration_->pools.find(pool);
    return found == configuration_->pools.end() ? Cost() : found->second.costPerSecond;
}

const config::StageSpec &JobCore::State::stageOf(const JobState &state, const CallId &call) const
{
    return state.job.pipeline().stages[call.stage.value()];
}

JobCore::JobCore(JobCoreSettings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{
}

JobCore::~JobCore() = default;
JobCore::JobCore(JobCore &&) noexcept = default;
JobCore &JobCore::operator=(JobCore &&) noexcept = default;

std::vector<JobEffect> JobCore::handle(const JobEvent &event, Time now, WallTime wall)
{
    return state_->handle(event, now, wall);
}

Time JobCore::nextWake() const
{
    return state_->nextWake();
}

policy::DemandHint JobCore::ownHint(Time now) const
{
    return state_->policy.localHint(now);
}

JobCounters JobCore::counters() const
{
    JobCounters counters = state_->counters;
    counters.running = state_->jobs_.size() - state_->finished_.size();
    counters.remembered = state_->finished_.size();
    return counters;
}

std::vector<policy::ClassStatus> JobCore::classes() const
{
    return state_->policy.classStatus();
}

std::vector<EndpointId> JobCore::ejected(Time now) const
{
    return state_->policy.ejectedEndpoints(now);
}

} // namespace lacewing::core
