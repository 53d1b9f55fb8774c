#include "claim_requester.h"

namespace lacewing::ledger
{
namespace
{

/** What the first record of a key means for a request. */
Verdict verdictOf(const ClaimRequest &request, const ClaimRequest &first)
{
    if (first.job == request.job && first.kind == request.kind) {
        return request.kind == ClaimKind::Run ? Verdict(RunHere {}) : Verdict(Voided {});
    }
    if (first.fingerprint != request.fingerprint || first.keyTime != request.keyTime) {
        return KeyReused {};
    }
    if (first.kind == ClaimKind::Void) {
        return Voided {};
    }
    return OwnedBy { first.vm, first.job };
}

} // namespace

void ClaimRequester::add(const ClaimRequest &request, Time deadline, Time now, WallTime wallNow, Output &output)
{
    if (waiting_.contains(request.job) || granted_.contains(request.job)) {
        return;
    }
    if (request.keyTime < wallNow - options_.window || request.keyTime > wallNow + options_.skew) {
        settle(request.job, KeyExpired {}, deadline, output);
        return;
    }
    if (waiting_.size() >= options_.maxWaiting || now >= deadline) {
        settle(request.job, Unsettled {}, deadline, output);
        return;
    }
    Waiting &waiting = waiting_[request.job];
    waiting.request = request;
    waiting.deadline = deadline;
    ask(waiting, now, output);
}

void ClaimRequester::ask(Waiting &waiting, Time now, Output &output)
{
    const auto &writers = routes_.writers(partitionOf(waiting.request.key));
    waiting.asked = writers[waiting.tries % writers.size()];
    waiting.retryAt = now + options_.replyTimeout;
    if (waiting.tries > 0) {
        ++retries_;
    }
    ++waiting.tries;
    output.asks.push_back({ waiting.asked, waiting.request });
}

void ClaimRequester::onReply(const ClaimReply &reply, Time now, Output &output)
{
    const auto found = waiting_.find(reply.job);
    if (found == waiting_.end() || found->second.request.key != reply.first.key) {
        return;
    }
    const Time deadline = found->second.deadline;
    const Verdict verdict = now < deadline ? verdictOf(found->second.request, reply.first) : Verdict(Unsettled {});
    waiting_.erase(found);
    settle(reply.job, verdict, deadline, output);
}

void ClaimRequester::onRefusal(const VmId &from, const ClaimRefusal &refusal, Time now, Output &output)
{
    const auto found = waiting_.find(refusal.job);
    if (found == waiting_.end()) {
        return;
    }
    Waiting &waiting = found->second;
    if (refusal.kind == ErrorKind::Expired) {
        const Time deadline = waiting.deadline;
        waiting_.erase(found);
        settle(refusal.job, KeyExpired {}, deadline, output);
        return;
    }
    const std::size_t writers = routes_.writers(partitionOf(waiting.request.key)).size();
    if (from == waiting.asked) {
        const bool isRoundOver = waiting.tries % writers == 0;
        waiting.retryAt = isRoundOver ? now + options_.retryDelay : now;
    }
}

void ClaimRequester::settle(const JobId &job, Verdict verdict, Time deadline, Output &output)
{
    if (std::holds_alternative<RunHere>(verdict)) {
        granted_.emplace(job, deadline);
    }
    output.settled.push_back({ job, std::move(verdict) });
}

void ClaimRequester::endJob(const JobId &job)
{
    granted_.erase(job);
}

void ClaimRequester::tick(Time now, Output &output)
{
    std::vector<JobId> late;
    for (auto &[job, waiting] : waiting_) {
        if (now >= waiting.deadline) {
            late.push_back(job);
        } else if (now >= waiting.retryAt) {
            ask(waiting, now, output);
        }
    }
    for (const JobId &job : late) {
        waiting_.erase(job);
        output.settled.push_back({ job, Unsettled {} });
    }
}

std::optional<Time> ClaimRequester::nextWake() const
{
    std::optional<Time> wake;
    for (const auto &[job, waiting] : waiting_) {
        const Time next = std::min(waiting.deadline, waiting.retryAt);
        wake = wake ? std::min(*wake, next) : next;
    }
    return wake;
}

bool ClaimRequester::mayDispatch(const JobId &job, Time now) const
{
    const auto found = granted_.find(job);
    return found != granted_.end() && now < found->second;
}

} // namespace lacewing::ledger
