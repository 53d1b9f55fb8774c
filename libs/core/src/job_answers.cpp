#include "job_state.h"

#include <algorithm>

namespace lacewing::core
{

std::string_view toText(DecisionKind kind) noexcept
{
    switch (kind) {
    case DecisionKind::Received:
        return "received";
    case DecisionKind::Admitted:
        return "admitted";
    case DecisionKind::Refused:
        return "refused";
    case DecisionKind::ClaimAsked:
        return "claim-asked";
    case DecisionKind::ClaimSettled:
        return "claim-settled";
    case DecisionKind::Placed:
        return "placed";
    case DecisionKind::NotPlaced:
        return "not-placed";
    case DecisionKind::Waiting:
        return "waiting";
    case DecisionKind::PermitAsked:
        return "permit-asked";
    case DecisionKind::PermitSettled:
        return "permit-settled";
    case DecisionKind::CallStarted:
        return "call-started";
    case DecisionKind::CallResumed:
        return "call-resumed";
    case DecisionKind::CallHedged:
        return "call-hedged";
    case DecisionKind::CallEnded:
        return "call-ended";
    case DecisionKind::CallFailed:
        return "call-failed";
    case DecisionKind::CallCancelled:
        return "call-cancelled";
    case DecisionKind::Charged:
        return "charged";
    case DecisionKind::Finished:
        return "finished";
    }
    return "unlisted";
}

void JobCore::State::on(const Attach &event)
{
    JobState *state = find(event.job);
    if (state == nullptr) {
        refuse(event.request, pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero());
        return;
    }
    requests_[event.request] = event.job;
    state->followers.push_back({ event.request, event.from });
    if (state->claiming) {
        return;
    }
    effects_.emplace_back(Accepted { event.request, event.job });
    deliver(*state);
    if (state->job.outcome()) {
        finishFollowers(*state);
    }
}

void JobCore::State::on(const CancelJob &event)
{
    JobState *state = find(event.job);
    if (state == nullptr) {
        refuse(event.request, pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero());
        return;
    }
    if (!state->job.outcome() && !state->claiming) {
        run(*state, state->job.handle(pipeline::Cancel {}, now_));
    }
    state = find(event.job);
    if (state != nullptr) {
        effects_.emplace_back(Finished { event.request, statusOf(*state) });
    }
}

void JobCore::State::on(const Query &event)
{
    const JobState *state = find(event.job);
    effects_.emplace_back(
        QueryAnswer { event.request, state == nullptr ? std::nullopt : std::optional(statusOf(*state)) });
}

void JobCore::State::on(const CallerGone &event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    if (JobState *state = find(found->second)) {
        std::erase_if(state->followers, [&](const Follower &each) { return each.request == event.request; });
    }
    requests_.erase(found);
}

void JobCore::State::apply(JobState &state, const pipeline::Deliver & /*effect*/)
{
    deliver(state);
}

void JobCore::State::deliver(JobState &state)
{
    for (Follower &follower : state.followers) {
        const std::string_view text = state.job.answer().from(follower.next);
        if (!text.empty()) {
            effects_.emplace_back(Piece { follower.request, follower.next, std::string(text) });
            follower.next = state.job.answer().end();
        }
    }
}

void JobCore::State::apply(JobState &state, const pipeline::StageFinished &effect)
{
    note(state,
         { .kind = DecisionKind::Charged,
           .stage = effect.stage,
           .endpoint = effect.record.endpoint,
           .cost = effect.record.cost });
    effects_.emplace_back(ChargeStage {
        state.job.id(),
        effect.stage,
        state.info.workspace,
        state.info.classId,
        effect.record.endpoint,
        effect.record.name,
        effect.record.cost,
        effect.record.busy,
    });
}

void JobCore::State::apply(JobState &state, const pipeline::JobFinished & /*effect*/)
{
    endJob(state);
}

void JobCore::State::endJob(JobState &state)
{
    const JobId id = state.job.id();
    const auto elapsed = std::chrono::duration_cast<Duration>(now_ - state.info.arrival);
    const bool completed = std::holds_alternative<pipeline::Completed>(*state.job.outcome());
    const bool met = completed && elapsed <= state.completionTarget;
    ++(completed ? counters.completed : counters.failed);
    counters.met += met ? 1 : 0;
    counters.staleResults += state.job.dropped().staleAttempt;
    counters.repeatedChunks += state.job.dropped().repeated;

    const auto end = met ? policy::JobOutcome::Met : completed ? policy::JobOutcome::Late : policy::JobOutcome::Failed;
    state.endedAt = now_;
    state.waiting.reset();
    state.pending.reset();
    waitingJobs_.erase(id);
    deadlines_.erase({ state.info.deadline, id });
    policy.onJobEnded(id, end, state.spent, now_);
    const auto *failed = std::get_if<pipeline::Failed>(&*state.job.outcome());
    note(state,
         { .kind = DecisionKind::Finished,
           .took = elapsed,
           .reason = failed == nullptr ? std::string_view("completed") : pipeline::toText(failed->reason) });
    effects_.emplace_back(JobEnded {
        id, state.info.workspace, state.info.classId, state.request.key, end, state.job.ran(), elapsed, state.spent });
    finishFollowers(state);
    finished_.push_back(id);
    forgetFinished();
}

void JobCore::State::finishFollowers(JobState &state)
{
    const std::vector<Follower> followers = std::exchange(state.followers, {});
    for (const Follower &follower : followers) {
        requests_.erase(follower.request);
        effects_.emplace_back(Finished { follower.request, statusOf(state) });
    }
}

void JobCore::State::forgetFinished()
{
    const auto isOld = [&](const JobId &id) {
        return finished_.size() > settings.maxFinished || jobs_.at(id).endedAt + settings.finishedRetention <= now_;
    };
    while (!finished_.empty() && isOld(finished_.front())) {
        jobs_.erase(finished_.front());
        finished_.pop_front();
    }
}

JobStatus JobCore::State::statusOf(const JobState &state) const
{
    const bool ended = state.job.outcome().has_value();
    JobStatus status;
    status.id = state.job.id();
    status.workspace = state.info.workspace;
    status.jobClass = state.info.classId;
    status.age = std::chrono::duration_cast<Duration>(now_ - state.info.arrival);
    status.completionTarget = state.completionTarget;
    status.outcome = state.job.outcome();
    if (auto *failed = status.outcome ? std::get_if<pipeline::Failed>(&*status.outcome) : nullptr) {
        failed->ran = toldRan(state, failed->ran);
    }
    status.elapsed = std::chrono::duration_cast<Duration>((ended ? state.endedAt : now_) - state.info.arrival);
    status.answered = state.job.answer().end();
    status.stage = state.job.stage();
    status.stages = state.job.records();
    status.decisions = state.decisions;
    return status;
}

void JobCore::State::note(JobState &state, Decision decision)
{
    if (state.decisions.size() >= maxDecisions) {
        return;
    }
    decision.sinceArrival = std::chrono::duration_cast<Duration>(now_ - state.info.arrival);
    state.decisions.push_back(std::move(decision));
}

} // namespace lacewing::core
