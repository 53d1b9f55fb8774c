#include "job_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

using pipeline::FailureReason;

/** When a suspect whose permit was refused asks again. */
constexpr Duration permitRetryInterval = 100ms;
/** Time kept back from a call's limit, so that its failure can be told before the job's deadline. */
constexpr Duration answerMargin = 5ms;

Cost costOf(Duration busy, Cost perSecond) noexcept
{
    return Cost(static_cast<std::int64_t>(toSeconds(busy) * static_cast<double>(perSecond.value())));
}

FailureReason reasonOf(policy::RefusalReason reason)
{
    switch (reason) {
    case policy::RefusalReason::CannotFinishInTime:
        return FailureReason::CannotFinishInTime;
    case policy::RefusalReason::OverFairShare:
    case policy::RefusalReason::QueueFull:
        return FailureReason::Overloaded;
    default:
        return FailureReason::NoEndpoint;
    }
}

} // namespace

void JobCore::State::run(JobState &state, const std::vector<pipeline::Effect> &jobEffects)
{
    // Applying an effect may end and forget the job, so that only its id is kept.
    const JobId id = state.job.id();
    for (const pipeline::Effect &effect : jobEffects) {
        JobState *current = find(id);
        if (current == nullptr) {
            return;
        }
        std::visit([&](const auto &each) { apply(*current, each); }, effect);
    }
}

void JobCore::State::apply(JobState &state, const pipeline::PlaceStage &effect)
{
    if (state.notBefore > now_) {
        wait(state, effect, state.notBefore);
        return;
    }
    const policy::Placement placement = policy.place({ effect.call, state.suspect, effect.excluded }, now_);
    std::visit(Overloaded {
                   [&](const policy::Placed &placed) { usePlacement(state, effect, placed); },
                   [&](const policy::Deferred &waited) { wait(state, effect, waited.until); },
                   [&](const policy::Unplaceable &none) {
                       note(state,
                            { .kind = DecisionKind::NotPlaced,
                              .stage = effect.call.stage,
                              .attempt = effect.call.attempt,
                              .reason = policy::toText(none.reason) });
                       const pipeline::NotPlaced event { effect.call.attempt, reasonOf(none.reason), none.retryAfter };
                       run(state, state.job.handle(event, now_));
                   },
               },
               placement);
}

void JobCore::State::wait(JobState &state, const pipeline::PlaceStage &wanted, Time until)
{
    if (!state.waiting) {
        note(state, { .kind = DecisionKind::Waiting, .stage = wanted.call.stage, .attempt = wanted.call.attempt });
    }
    state.waiting = wanted;
    state.waitUntil = until;
    waitingJobs_.insert(state.job.id());
}

void JobCore::State::usePlacement(JobState &state, const pipeline::PlaceStage &wanted, const policy::Placed &placed)
{
    note(state,
         { .kind = DecisionKind::Placed,
           .stage = wanted.call.stage,
           .attempt = wanted.call.attempt,
           .endpoint = placed.endpoint,
           .predicted = placed.predictedLatency,
           .considered = placed.candidates });
    if (!state.suspect) {
        startPlaced(state, wanted.call, placed);
        return;
    }
    state.pending = PendingPlacement { wanted.call, placed };
    state.waiting = wanted;
    note(state, { .kind = DecisionKind::PermitAsked, .stage = wanted.call.stage, .endpoint = placed.endpoint });
    effects_.emplace_back(WantPermit {
        wanted.call,
        { state.job.request().fingerprint, stageOf(state, wanted.call).pool, placed.endpoint },
    });
}

void JobCore::State::on(const PermitSettled &event)
{
    JobState *state = find(event.call.job);
    const bool wanted = state != nullptr && state->pending && state->pending->call == event.call;
    const bool granted = event.refusal == fleet::PermitRefusal::None;
    if (!wanted) {
        return;
    }
    const PendingPlacement pending = *state->pending;
    const pipeline::PlaceStage attempt = *state->waiting;
    state->pending.reset();
    state->waiting.reset();
    note(*state,
         { .kind = DecisionKind::PermitSettled, .stage = event.call.stage, .reason = fleet::toText(event.refusal) });
    if (granted) {
        startPlaced(*state, pending.call, pending.placed);
    } else if (event.refusal == fleet::PermitRefusal::Quarantined) {
        ++counters.quarantined;
        run(*state, state->job.fail(FailureReason::Quarantined, Duration::zero()));
    } else {
        wait(*state, attempt, now_ + permitRetryInterval);
    }
}

void JobCore::State::startPlaced(JobState &state, const CallId &call, const policy::Placed &placed)
{
    const config::StageSpec &stage = stageOf(state, call);
    const auto pool = configuration_->pools.find(stage.pool);
    const bool resumable = pool != configuration_->pools.end() && pool->second.resumable;
    placements_[call] = placed;
    const pipeline::Placed event { call.attempt, placed.endpoint, costPerSecond(stage.pool), resumable };
    run(state, state.job.handle(event, now_));
    placements_.erase(call);
}

StartCall JobCore::State::describeCall(const JobState &state, const CallId &call, const EndpointId &endpoint) const
{
    const config::StageSpec &stage = stageOf(state, call);
    const fleet::EndpointView *target = view_->endpoint(endpoint);
    StartCall start;
    start.call = call;
    start.endpoint = endpoint;
    start.address = target == nullptr ? std::string() : target->address;
    start.incarnation = target == nullptr ? Incarnation() : target->incarnation;
    start.kind = stage.kind;
    start.model = stage.model;
    start.workspace = state.info.workspace;
    start.maxTokens = state.info.maxOutput;
    start.timeout = std::max<Duration>(state.info.deadline - now_ - answerMargin, Duration(1));
    start.repeatable = stage.repeatable && state.info.repeatable;
    start.fingerprint = state.job.request().fingerprint;
    return start;
}

void JobCore::State::apply(JobState &state, const pipeline::CallStage &effect)
{
    StartCall start = describeCall(state, effect.call, effect.endpoint);
    start.input = effect.input;
    start.resumeAt = effect.resumeAt;
    start.forcedPrefix = effect.forcedPrefix;
    RunningCall running;
    running.call = effect.call;
    running.endpoint = effect.endpoint;
    running.pool = stageOf(state, effect.call).pool;
    running.fingerprint = state.job.request().fingerprint;
    running.started = now_;
    running.underPermit = state.suspect;
    if (const auto placed = placements_.find(effect.call); placed != placements_.end()) {
        start.priority = placed->second.priority;
        running.incarnation = placed->second.incarnation;
    } else if (const fleet::EndpointView *target = view_->endpoint(effect.endpoint)) {
        running.incarnation = target->incarnation;
    }
    calls_[effect.call] = running;
    policy.onCallStarted(effect.call, effect.endpoint, now_);
    note(state,
         { .kind = DecisionKind::CallStarted,
           .stage = effect.call.stage,
           .attempt = effect.call.attempt,
           .endpoint = effect.endpoint });
    effects_.emplace_back(std::move(start));
}

void JobCore::State::apply(JobState &state, const pipeline::ResumeCall &effect)
{
    ++counters.resumes;
    StartCall start = describeCall(state, effect.call, effect.endpoint);
    start.resume = true;
    start.resumeAt = effect.from;
    note(state,
         { .kind = DecisionKind::CallResumed,
           .stage = effect.call.stage,
           .attempt = effect.call.attempt,
           .endpoint = effect.endpoint });
    effects_.emplace_back(std::move(start));
}

void JobCore::State::apply(JobState &state, const pipeline::CancelCall &effect)
{
    const auto found = calls_.find(effect.call);
    if (found == calls_.end()) {
        return;
    }
    const RunningCall call = found->second;
    note(state,
         { .kind = DecisionKind::CallCancelled,
           .stage = effect.call.stage,
           .attempt = effect.call.attempt,
           .endpoint = call.endpoint });
    state.spent = Cost(state.spent.value() + costOf(now_ - call.started, costPerSecond(call.pool)).value());
    policy::CallOutcome outcome;
    outcome.cancelled = true;
    outcome.ran = Ran::Unknown;
    endCall(call, outcome);
    effects_.emplace_back(CancelCall { effect.call });
}

void JobCore::State::endCall(const RunningCall &call, const policy::CallOutcome &outcome)
{
    const RunningCall ended = call;
    calls_.erase(ended.call);
    policy.onCallEnded(ended.call, outcome, now_);
    if (ended.underPermit) {
        effects_.emplace_back(EndPermit { { ended.fingerprint, ended.pool, ended.endpoint, outcome.ok } });
    }
}

void JobCore::State::on(const StageChunk &event)
{
    JobState *state = find(event.call.job);
    if (state == nullptr) {
        ++counters.unknownJobResults;
        return;
    }
    run(*state, state->job.handle(pipeline::Chunk { event.call, event.offset, event.text }, now_));
}

std::optional<RunningCall> JobCore::State::takeResult(const CallId &call)
{
    const auto found = calls_.find(call);
    if (find(call.job) == nullptr) {
        ++counters.unknownJobResults;
        return std::nullopt;
    }
    if (found == calls_.end()) {
        ++counters.staleResults;
        return std::nullopt;
    }
    return found->second;
}

void JobCore::State::on(const StageEnded &event)
{
    const auto running = takeResult(event.call);
    if (!running) {
        return;
    }
    JobState *state = find(event.call.job);
    const RunningCall &call = *running;
    note(*state,
         { .kind = DecisionKind::CallEnded,
           .stage = event.call.stage,
           .attempt = event.call.attempt,
           .endpoint = call.endpoint,
           .took = std::chrono::duration_cast<Duration>(now_ - call.started) });
    if (!state->job.isWhole(event.call, event.length)) {
        failCall(*state, call, { event.call, ErrorKind::ConnectionLost, Ran::Yes, false });
        return;
    }
    state->spent = Cost(state->spent.value() + costOf(event.busy, costPerSecond(call.pool)).value());
    policy::CallOutcome outcome;
    outcome.ok = true;
    outcome.serviceTime = event.busy;
    outcome.output = event.generated;
    outcome.cachedInput = event.cached;
    endCall(call, outcome);
    run(*state, state->job.handle(pipeline::StageDone { event.call, event.length, event.result, event.busy }, now_));
    retryWaiting(call.pool);
}

void JobCore::State::on(const StageFailed &event)
{
    const auto running = takeResult(event.call);
    if (!running) {
        return;
    }
    JobState *state = find(event.call.job);
    const RunningCall &call = *running;
    note(*state,
         { .kind = DecisionKind::CallFailed,
           .stage = event.call.stage,
           .attempt = event.call.attempt,
           .endpoint = call.endpoint,
           .took = std::chrono::duration_cast<Duration>(now_ - call.started),
           .reason = toText(event.error) });
    failCall(*state, call, event);
    retryWaiting(call.pool);
}

void JobCore::State::failCall(JobState &state, const RunningCall &call, const StageFailed &event)
{
    if (event.crashed) {
        reportCrash(call);
        state.suspect = true;
    } else if (state.job.canResume(event.call, event.error, event.ran)) {
        run(state, state.job.handle(pipeline::StageBroken { event.call, event.error, event.ran }, now_));
        return;
    }
    policy::CallOutcome outcome;
    outcome.failure = event.error;
    outcome.ran = event.ran;
    outcome.crashed = event.crashed;
    const Duration lost = event.ran == Ran::No ? Duration::zero() : Duration(now_ - call.started);
    state.spent = Cost(state.spent.value() + costOf(lost, costPerSecond(call.pool)).value());
    endCall(call, outcome);

    const policy::RetryDecision decision = policy.decideRetry(event.call, call.endpoint, outcome, now_);
    const auto *retry = std::get_if<policy::Retry>(&decision);
    const auto *giveUp = std::get_if<policy::NoRetry>(&decision);
    if (retry != nullptr) {
        ++counters.retries;
        state.notBefore = retry->notBefore;
    }
    pipeline::StageBroken broken { event.call, ErrorKind::Refused, event.ran, lost, retry != nullptr };
    broken.retryAfter = giveUp == nullptr ? Duration::zero() : giveUp->retryAfter;
    run(state, state.job.handle(broken, now_));
}

void JobCore::State::reportCrash(const RunningCall &crashed)
{
    ++counters.crashes;
    fleet::EndpointCrashed crash { crashed.endpoint, crashed.pool, crashed.incarnation, {} };
    for (const auto &[id, call] : calls_) {
        const bool listed =
            std::find(crash.running.begin(), crash.running.end(), call.fingerprint) != crash.running.end();
        if (call.endpoint == crashed.endpoint && !listed) {
            crash.running.push_back(call.fingerprint);
        }
    }
    effects_.emplace_back(CrashSeen { std::move(crash) });
}

void JobCore::State::hedgeLateCalls()
{
    std::vector<CallId> candidates;
    candidates.reserve(calls_.size());
    for (const auto &[id, call] : calls_) {
        if (!call.underPermit) {
            candidates.push_back(id);
        }
    }
    for (const CallId &call : candidates) {
        JobState *state = find(call.job);
        if (state == nullptr || state->suspect || !state->job.canHedge(call)) {
            continue;
        }
        const auto placed = policy.tryHedge(call, now_);
        if (!placed) {
            continue;
        }
        ++counters.hedges;
        note(*state, { .kind = DecisionKind::CallHedged, .stage = call.stage, .endpoint = placed->endpoint });
        const config::StageSpec &stage = stageOf(*state, call);
        run(*state, state->job.handle(pipeline::Hedge { placed->endpoint, costPerSecond(stage.pool), false }, now_));
    }
}

void JobCore::State::retryWaiting(const PoolId &pool)
{
    const std::vector<JobId> candidates(waitingJobs_.begin(), waitingJobs_.end());
    for (const JobId &id : candidates) {
        JobState *state = find(id);
        if (state == nullptr || !state->waiting || state->job.outcome()) {
            waitingJobs_.erase(id);
            continue;
        }
        if (state->pending) {
            continue;
        }
        const bool slotFreed = stageOf(*state, state->waiting->call).pool == pool && state->notBefore <= now_;
        if (!slotFreed && now_ < state->waitUntil) {
            continue;
        }
        const pipeline::PlaceStage attempt = *state->waiting;
        waitingJobs_.erase(id);
        state->waiting.reset();
        apply(*state, attempt);
    }
}

} // namespace lacewing::core
