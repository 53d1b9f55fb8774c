#include "engine.h"

#include <algorithm>

namespace lacewing::replay
{

namespace
{

constexpr Duration connectTimeout = 500ms;
constexpr Duration silenceLimit = 1s; ///< until a VM notices that an endpoint is gone
constexpr Duration poisonRestart = 10s;
constexpr std::uint32_t callerResends = 5;
constexpr Duration resendPause = 500ms;

std::uint64_t fingerprintOf(const TraceRecord &record)
{
    const auto text = record.workspace.text() + "/" + record.classId.text() + "/" + std::to_string(record.at.count());
    return hashBytes(text);
}

} // namespace

bool Engine::isCounted(const TraceRecord &record) const
{
    return record.at >= scenario_.warmUp;
}

void Engine::count(const TraceRecord &record, std::uint64_t Counts::*field)
{
    if (!isCounted(record) || record.poison) {
        return;
    }
    ++(report_.total.*field);
    ++(report_.classes[record.classId].*field);
    ++(report_.workspaces[record.workspace].*field);
}

double Engine::bottleneckSeconds(const TraceRecord &record) const
{
    const auto model = std::find_if(scenario_.workload.pools.begin(),
                                    scenario_.workload.pools.end(),
                                    [&](const auto &one) { return one.spec.id == bottleneck_; });
    return record.maxOutput.value() > 0 ? slotSeconds(*model, record.input, Tokens(0), record.output) : 0;
}

void Engine::countReason(const TraceRecord &record, policy::RefusalReason reason)
{
    if (isCounted(record)) {
        ++report_.refusals[std::string(policy::toText(reason))];
    }
}

void Engine::arrive(std::size_t index, Time now)
{
    const auto &record = trace_[index];
    count(record, &Counts::offered);
    const auto fingerprint = fingerprintOf(record);
    if (suspects_.isQuarantined(fingerprint)) {
        return;
    }
    std::vector<std::size_t> alive;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (vms_[vm].alive) {
            alive.push_back(vm);
        }
    }
    ReplayJob job;
    job.record = index;
    job.vm = alive[random_.below(alive.size())];
    auto &vm = vms_[job.vm];
    job.policy = vm.policy.get();
    job.id = JobId { vm.incarnation, ++vm.jobs };
    job.deadline = now + record.deadline;
    job.alone = suspects_.isSuspect(fingerprint);
    policy::JobInfo info { job.id, record.workspace, record.classId, record.input, record.maxOutput };
    if (record.prefix.value() != 0) {
        info.prefixes = { record.prefix };
    }
    info.repeatable = record.repeatable;
    info.arrival = now;
    info.deadline = job.deadline;
    if (isCounted(record) && !record.poison) {
        offeredBottleneck_ += bottleneckSeconds(record);
    }
    const auto admission = job.policy->admit(info, now);
    if (const auto *refused = std::get_if<policy::Refused>(&admission)) {
        countReason(record, refused->reason);
        count(record, &Counts::refused);
        return;
    }
    const auto number = nextJob_++;
    jobs_.emplace(number, std::move(job));
    schedule(now + record.deadline, [this, number](Time later) {
        if (jobs_.contains(number)) {
            endJob(number, policy::JobOutcome::Late, &Counts::late, later);
        }
    });
    placeStage(number, now);
}

void Engine::placeStage(std::size_t number, Time now)
{
    const auto found = jobs_.find(number);
    if (found == jobs_.end()) {
        return;
    }
    auto &job = found->second;
    const CallId call { job.id, StageIndex(job.stage), Attempt(job.attempt + 1) };
    const auto placement = job.policy->place({ call, job.alone, job.excluded }, now);
    std::visit(Overloaded {
                   [&](const policy::Placed &placed) { dispatch(number, placed, now); },
                   [&](const policy::Deferred &wait) {
                       schedule(wait.until, [this, number](Time later) { placeStage(number, later); });
                   },
                   [&](const policy::Unplaceable &none) {
                       countReason(trace_[job.record], none.reason);
                       endJob(number, policy::JobOutcome::Refused, &Counts::dropped, now);
                   },
               },
               placement);
}

void Engine::dispatch(std::size_t number, const policy::Placed &placed, Time now)
{
    auto &job = jobs_.at(number);
    lastCall_ = lastCall_.next();
    const auto node = nodeById_.at(placed.endpoint);
    const CallId id { job.id, StageIndex(job.stage), Attempt(++job.attempt) };
    calls_.emplace(lastCall_, ReplayCall { id, number, node, placed.incarnation, false });
    job.calls.push_back(lastCall_);
    job.policy->onCallStarted(id, placed.endpoint, now);
    const bool isReachable = nodes_[node].alive && canTalk(vms_[job.vm].zone, nodes_[node].info.zone);
    const auto callNumber = lastCall_;
    if (!isReachable) {
        schedule(now + connectTimeout, [this, callNumber](Time later) {
            answer(callNumber, { false, ErrorKind::Unreachable, Ran::No }, later);
        });
        return;
    }
    schedule(now + delay(job, nodes_[node]),
             [this, callNumber, priority = placed.priority](Time later) { deliver(callNumber, priority, later); });
}

void Engine::deliver(CallNumber number, int priority, Time now)
{
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
        return;
    }
    auto &node = nodes_[found->second.node];
    if (!node.alive || node.info.incarnation != found->second.incarnation) {
        answer(number, { false, ErrorKind::Unreachable, Ran::No }, now);
        return;
    }
    found->second.delivered = true;
    const auto &record = trace_[jobs_.at(found->second.job).record];
    EndpointCall call;
    call.number = number;
    call.priority = priority;
    call.input = record.input;
    call.output = record.output;
    call.prefix = record.prefix;
    call.prefixTokens = record.prefixTokens;
    call.poison = record.poison;
    call.noise = random_.logNormal(1, node.model->sigma);
    node.process->submit(call, now);
    pump(found->second.node, now);
}

/** Has the endpoint looked at again when its next call ends. */
void Engine::pump(std::size_t index, Time now)
{
    auto &node = nodes_[index];
    const auto next = node.process->nextResult();
    if (!next) {
        return;
    }
    schedule(std::max(*next, now), [this, index](Time later) {
        const auto results = nodes_[index].process->advance(later);
        for (const auto &result : results) {
            if (result.crashes) {
                crash(index, result, later);
            } else {
                onResult(result, later);
            }
        }
        if (!results.empty()) {
            pump(index, later);
        }
    });
}

void Engine::charge(ReplayJob &job, std::size_t index, Duration busy)
{
    const auto &spec = nodes_[index].model->spec;
    job.seconds[spec.kind] += toSeconds(busy);
    job.cost += toSeconds(busy) * double(spec.costPerSecond.value());
}

void Engine::onResult(const EndpointResult &result, Time now)
{
    const auto found = calls_.find(result.number);
    if (found == calls_.end()) {
        return;
    }
    auto &job = jobs_.at(found->second.job);
    const auto &node = nodes_[found->second.node];
    charge(job, found->second.node, result.busy);
    if (node.model->secondsPerOutput > 0) {
        ++generating_;
        cached_ += result.cachedInput.value() > 0 ? 1 : 0;
    }
    policy::CallOutcome outcome;
    outcome.ok = true;
    outcome.serviceTime = result.busy;
    outcome.output = trace_[job.record].output;
    outcome.cachedInput = result.cachedInput;
    if (!canTalk(vms_[job.vm].zone, node.info.zone)) {
        outcome = { false, ErrorKind::Silent, Ran::Unknown };
        schedule(now + silenceLimit,
                 [this, number = result.number, outcome](Time later) { answer(number, outcome, later); });
        return;
    }
    schedule(now + delay(job, node),
             [this, number = result.number, outcome](Time later) { answer(number, outcome, later); });
}

void Engine::crash(std::size_t index, const EndpointResult &cause, Time now)
{
    auto &node = nodes_[index];
    const bool isPoison = cause.number.value() != 0;
    auto results = node.process->crash(now);
    if (isPoison) {
        results.push_back(cause);
    }
    for (const auto &result : results) {
        const auto found = calls_.find(result.number);
        if (found == calls_.end()) {
            continue;
        }
        auto &job = jobs_.at(found->second.job);
        charge(job, found->second.node, result.busy);
        if (result.started && isPoison) {
            suspects_.onCrash(fingerprintOf(trace_[job.record]), result.number == cause.number);
            job.alone = true;
        }
        const policy::CallOutcome outcome {
            false, ErrorKind::ConnectionLost, result.started ? Ran::Yes : Ran::Unknown, result.started
        };
        const auto noticed = isPoison ? delay(job, node) : silenceLimit;
        schedule(now + noticed,
                 [this, number = result.number, outcome](Time later) { answer(number, outcome, later); });
    }
    if (!isPoison) {
        return;
    }
    node.alive = false;
    publishMembership(2s);
    schedule(now + poisonRestart, [this, index](Time) {
        nodes_[index].alive = true;
        nodes_[index].info.incarnation = Incarnation(nodes_[index].info.incarnation.value() + 100'000);
        publishMembership(2s);
    });
}

void Engine::answer(CallNumber number, const policy::CallOutcome &outcome, Time now)
{
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
        return;
    }
    const auto call = found->second;
    calls_.erase(found);
    auto &job = jobs_.at(call.job);
    std::erase(job.calls, number);
    job.policy->onCallEnded(call.id, outcome, now);
    if (outcome.ok) {
        onStageDone(call.job, now);
    } else if (job.calls.empty()) {
        onStageFailed(call.job, call, outcome, now);
    }
}

void Engine::onStageDone(std::size_t number, Time now)
{
    auto &job = jobs_.at(number);
    cancelCalls(job, now);
    job.excluded.clear();
    ++job.stage;
    const auto &record = trace_[job.record];
    const auto &spec = scenario_.workload.configuration->classes.at(record.classId);
    if (job.stage < scenario_.workload.configuration->pipelines.at(spec.pipeline).stages.size()) {
        placeStage(number, now);
        return;
    }
    suspects_.onSuccess(fingerprintOf(record));
    if (!record.poison) {
        const bool isInWindow = now >= Time(scenario_.warmUp) && now < Time(scenario_.duration);
        const double seconds = bottleneckSeconds(record);
        doneBottleneck_ += isInWindow ? seconds : 0;
        metBottleneck_ += isCounted(record) ? seconds : 0;
    }
    endJob(number, policy::JobOutcome::Met, &Counts::met, now);
}

void Engine::onStageFailed(std::size_t number, const ReplayCall &call, const policy::CallOutcome &outcome, Time now)
{
    auto &job = jobs_.at(number);
    if (suspects_.isQuarantined(fingerprintOf(trace_[job.record]))) {
        endJob(number, policy::JobOutcome::Failed, &Counts::failed, now);
        return;
    }
    const auto decision = job.policy->decideRetry(call.id, nodes_[call.node].info.id, outcome, now);
    std::visit(Overloaded {
                   [&](const policy::Retry &retry) {
                       ++report_.retries;
                       job.excluded = retry.excluded;
                       schedule(retry.notBefore, [this, number](Time later) { placeStage(number, later); });
                   },
                   [&](const policy::NoRetry &given) {
                       countReason(trace_[job.record], given.reason);
                       endJob(number, policy::JobOutcome::Failed, &Counts::failed, now);
                   },
               },
               decision);
}

void Engine::cancelCalls(ReplayJob &job, Time now)
{
    for (const auto number : job.calls) {
        const auto call = calls_.at(number);
        calls_.erase(number);
        policy::CallOutcome outcome { false, ErrorKind::Cancelled };
        outcome.cancelled = true;
        if (const auto result = nodes_[call.node].process->cancel(number, now)) {
            charge(job, call.node, result->busy);
            outcome.serviceTime = result->busy;
            pump(call.node, now);
        }
        job.policy->onCallEnded(call.id, outcome, now);
    }
    job.calls.clear();
}

void Engine::resend(const TraceRecord &record, Time now)
{
    const auto index = std::size_t(&record - trace_.data());
    if (++resends_[fingerprintOf(record)] <= callerResends) {
        schedule(now + resendPause, [this, index](Time later) { arrive(index, later); });
    }
}

void Engine::endJob(std::size_t number, policy::JobOutcome end, std::uint64_t Counts::*field, Time now)
{
    auto &job = jobs_.at(number);
    cancelCalls(job, now);
    const auto &record = trace_[job.record];
    count(record, field);
    if (isCounted(record) && !record.poison) {
        for (const auto &[kind, seconds] : job.seconds) {
            usedSeconds_ += seconds;
            wastedSeconds_ += end == policy::JobOutcome::Met ? 0 : seconds;
        }
        for (const auto &[kind, seconds] : job.seconds) {
            const auto model = std::find_if(scenario_.workload.pools.begin(),
                                            scenario_.workload.pools.end(),
                                            [kind = kind](const PoolModel &one) { return one.spec.kind == kind; });
            stageCost_[std::string(config::toText(kind))] += seconds * double(model->spec.costPerSecond.value());
        }
    }
    if (record.poison && end != policy::JobOutcome::Met) {
        resend(record, now);
    }
    job.policy->onJobEnded(job.id, end, Cost(std::int64_t(job.cost)), now);
    jobs_.erase(number);
}

} // namespace lacewing::replay
