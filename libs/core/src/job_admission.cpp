#include "job_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

using pipeline::FailureReason;

/** When a caller may come back to a VM that refused for a reason of its own. */
constexpr Duration comeBackSoon = 1s;
/** Bytes counted as one token of input. */
constexpr std::uint64_t bytesPerToken = 4;

Fingerprint fingerprintOf(const CallerRequest &request)
{
    const std::uint64_t workspace = hashBytes(request.workspace.text());
    const std::uint64_t jobClass = hashBytes(request.jobClass.text(), workspace);
    return Fingerprint(hashBytes(request.input, jobClass));
}

FailureReason reasonOf(policy::RefusalReason reason)
{
    switch (reason) {
    case policy::RefusalReason::ClassUnknown:
        return FailureReason::UnknownClass;
    case policy::RefusalReason::CannotFinishInTime:
        return FailureReason::CannotFinishInTime;
    case policy::RefusalReason::OverFairShare:
    case policy::RefusalReason::QueueFull:
        return FailureReason::Overloaded;
    case policy::RefusalReason::NoEndpoint:
        return FailureReason::NoEndpoint;
    case policy::RefusalReason::RetryBudgetSpent:
    case policy::RefusalReason::NotRepeatable:
        return FailureReason::StageFailed;
    }
    return FailureReason::StageFailed;
}

} // namespace

const config::PipelineSpec *JobCore::State::pipelineOf(const ClassId &jobClass) const
{
    const auto spec = configuration_->classes.find(jobClass);
    if (spec == configuration_->classes.end()) {
        return nullptr;
    }
    const auto found = configuration_->pipelines.find(spec->second.pipeline);
    return found == configuration_->pipelines.end() ? nullptr : &found->second;
}

bool JobCore::State::mayNotRepeat(const CallerRequest &request, const config::PipelineSpec &pipeline) const
{
    const auto once = [](const config::StageSpec &stage) { return !stage.repeatable; };
    return !request.repeatable || std::any_of(pipeline.stages.begin(), pipeline.stages.end(), once);
}

void JobCore::State::on(const Submit &event)
{
    ++counters.submitted;
    const config::PipelineSpec *pipeline = pipelineOf(event.job.jobClass);
    if (pipeline == nullptr) {
        // Another VM may have newer configuration, so a copy may run there.
        const bool certain = event.job.key.isEmpty() && event.job.ticket.empty();
        refuse(event.request, FailureReason::UnknownClass, certain ? Ran::No : Ran::Unknown, comeBackSoon);
        return;
    }
    const bool once = mayNotRepeat(event.job, *pipeline);
    if (once && event.job.key.isEmpty() && event.job.ticket.empty()) {
        refuse(event.request, FailureReason::KeyRequired, Ran::No, Duration::zero());
        return;
    }
    JobState &state = createJob(event, configuration_->classes.at(event.job.jobClass), *pipeline);
    if (const auto refusal = findRefusal(state, *pipeline)) {
        refuseJob(state, *refusal);
        return;
    }
    ++counters.admitted;
    if (once) {
        askClaim(state);
    } else {
        startJob(state);
    }
}

JobId JobCore::State::nextJobId()
{
    // Who knows a job's id may read its answer, so an id must not lead to another one.
    JobId id { settings.incarnation, 0 };
    do {
        ++lastSequence_;
        const std::uint64_t value = hashBytes(std::to_string(lastSequence_), settings.seed);
        id.sequence = value - value % settings.count + settings.index;
    } while (id.sequence < settings.count || jobs_.contains(id));
    return id;
}

JobState &JobCore::State::createJob(const Submit &event,
                                    const config::ClassSpec &spec,
                                    const config::PipelineSpec &pipeline)
{
    const JobId id = nextJobId();
    const Duration timeout = std::clamp(event.job.timeout.value_or(spec.completion), Duration(1), settings.maxTimeout);

    pipeline::JobRequest request;
    request.workspace = event.job.workspace;
    request.jobClass = event.job.jobClass;
    request.input = event.job.input;
    request.maxTokens = event.job.maxTokens;
    request.repeatable = !mayNotRepeat(event.job, pipeline);
    request.fingerprint = fingerprintOf(event.job);
    request.arrival = now_;
    request.deadline = now_ + timeout;

    policy::JobInfo info;
    info.id = id;
    info.workspace = event.job.workspace;
    info.classId = event.job.jobClass;
    info.input = Tokens((event.job.input.size() + bytesPerToken - 1) / bytesPerToken);
    info.maxOutput = event.job.maxTokens;
    for (const std::uint64_t prefix : event.job.prefixes) {
        info.prefixes.emplace_back(prefix);
    }
    info.repeatable = request.repeatable;
    info.arrival = request.arrival;
    info.deadline = request.deadline;

    deadlines_.emplace(request.deadline, id);
    JobState state { pipeline::Job(id, std::move(request), pipeline, settings.answerBound),
                     std::move(info),
                     event.job,
                     spec.completion };
    state.request.input.clear();
    state.followers.push_back({ event.request, ByteOffset() });
    requests_[event.request] = id;
    JobState &stored = jobs_.insert_or_assign(id, std::move(state)).first->second;
    note(stored, { {}, DecisionKind::Received });
    return stored;
}

std::optional<pipeline::Failed> JobCore::State::findRefusal(JobState &state, const config::PipelineSpec & /*pipeline*/)
{
    if (!admitting_) {
        return pipeline::Failed { FailureReason::Stopping, Ran::No, comeBackSoon };
    }
    if (jobs_.size() - finished_.size() > settings.maxJobs) {
        return pipeline::Failed { FailureReason::Overloaded, Ran::No, comeBackSoon };
    }
    const fleet::SuspicionState suspicion = view_->state(state.job.request().fingerprint);
    if (suspicion == fleet::SuspicionState::Quarantined) {
        ++counters.quarantined;
        return pipeline::Failed { FailureReason::Quarantined, Ran::Unknown, Duration::zero() };
    }
    state.suspect = suspicion == fleet::SuspicionState::Suspect;
    const policy::Admission admission = policy.admit(state.info, now_);
    if (const auto *refused = std::get_if<policy::Refused>(&admission)) {
        note(state, { .kind = DecisionKind::Refused, .reason = policy::toText(refused->reason) });
        return pipeline::Failed { reasonOf(refused->reason), Ran::No, refused->retryAfter };
    }
    note(state,
         { .kind = DecisionKind::Admitted, .predicted = std::get<policy::Admitted>(admission).predictedLatency });
    return std::nullopt;
}

void JobCore::State::refuse(RequestId request, FailureReason reason, Ran ran, Duration retryAfter)
{
    ++counters.refused;
    effects_.emplace_back(Refuse { request, reason, ran, retryAfter });
}

Ran JobCore::State::toldRan(const JobState &state, Ran ran)
{
    // A suspect's content was running when an endpoint crashed, so an earlier copy of the request did run.
    return state.suspect && ran == Ran::No ? Ran::Unknown : ran;
}

void JobCore::State::refuseJob(JobState &state, const pipeline::Failed &refusal)
{
    state.refusal = refusal;
    const bool keyed = !state.request.key.isEmpty() || !state.request.ticket.empty();
    if (!keyed) {
        rejectJob(state, { refusal.reason, toldRan(state, refusal.ran) });
        return;
    }
    if (state.info.repeatable) {
        // Copies of a repeatable request make no claims, so nothing can prove that none of them runs.
        rejectJob(state, { refusal.reason, Ran::Unknown });
        return;
    }
    state.claiming = true;
    effects_.emplace_back(WantVoid {
        state.job.id(),
        state.request.workspace,
        state.request.key,
        state.request.keyTime.value_or(wall_),
        state.request.ticket,
        state.job.request().fingerprint,
        state.job.request().deadline,
    });
}

void JobCore::State::askClaim(JobState &state)
{
    state.claiming = true;
    note(state, { .kind = DecisionKind::ClaimAsked });
    effects_.emplace_back(WantClaim {
        state.job.id(),
        state.request.workspace,
        state.request.key,
        state.request.keyTime.value_or(wall_),
        state.request.ticket,
        state.job.request().fingerprint,
        state.job.request().deadline,
    });
}

void JobCore::State::startJob(JobState &state)
{
    state.claiming = false;
    for (const Follower &follower : state.followers) {
        effects_.emplace_back(Accepted { follower.request, state.job.id() });
    }
    run(state, state.job.start(now_));
}

void JobCore::State::rejectJob(JobState &state, const MayNotRun &verdict)
{
    const JobId id = state.job.id();
    const Duration retryAfter = state.refusal ? state.refusal->retryAfter : Duration::zero();
    for (const Follower &follower : state.followers) {
        requests_.erase(follower.request);
        refuse(follower.request, verdict.reason, verdict.ran, retryAfter);
    }
    deadlines_.erase({ state.job.request().deadline, id });
    policy.onJobEnded(id, policy::JobOutcome::Refused, Cost(), now_);
    effects_.emplace_back(JobEnded {
        id,
        state.info.workspace,
        state.info.classId,
        state.request.key,
        policy::JobOutcome::Refused,
        verdict.ran,
        std::chrono::duration_cast<Duration>(now_ - state.info.arrival),
        Cost(),
    });
    jobs_.erase(id);
}

void JobCore::State::handOver(JobState &state, const OwnedBy &owner)
{
    const JobId id = state.job.id();
    const std::vector<Follower> followers = state.followers;
    deadlines_.erase({ state.job.request().deadline, id });
    policy.onJobEnded(id, policy::JobOutcome::Refused, Cost(), now_);
    jobs_.erase(id);
    for (const Follower &follower : followers) {
        requests_.erase(follower.request);
        if (owner.job.owner == settings.incarnation && threadOf(owner.job, settings.count) == settings.index) {
            on(Attach { follower.request, owner.job, ByteOffset() });
        } else {
            effects_.emplace_back(Forward { follower.request, owner.job, ByteOffset() });
        }
    }
}

void JobCore::State::on(const ClaimSettled &event)
{
    JobState *state = find(event.job);
    if (state == nullptr || !state->claiming) {
        return;
    }
    const bool refused = state->refusal.has_value();
    std::visit(Overloaded {
                   [&](const RunHere &) {
                       note(*state, { .kind = DecisionKind::ClaimSettled, .reason = "run-here" });
                       if (refused) {
                           rejectJob(*state, { state->refusal->reason, Ran::No });
                       } else {
                           startJob(*state);
                       }
                   },
                   [&](const OwnedBy &owner) { handOver(*state, owner); },
                   [&](const MayNotRun &verdict) {
                       const auto reason = refused ? state->refusal->reason : verdict.reason;
                       rejectJob(*state, { reason, verdict.ran });
                   },
               },
               event.verdict);
}

} // namespace lacewing::core
