#include <pipeline/pipeline.h>

#include <algorithm>
#include <cmath>

namespace lacewing::pipeline
{
namespace
{

/** Most attempts at one stage, whatever the retry budget allows. */
constexpr std::uint32_t maxAttemptsPerStage = 4;
/** Most times that one attempt's cut stream is resumed. */
constexpr std::uint32_t maxResumesPerAttempt = 2;

Cost costOf(Duration busy, Cost perSecond) noexcept
{
    return Cost(std::llround(toSeconds(busy) * static_cast<double>(perSecond.value())));
}

} // namespace

std::string_view toText(FailureReason reason) noexcept
{
    switch (reason) {
    case FailureReason::CannotFinishInTime:
        return "cannot-finish-in-time";
    case FailureReason::Overloaded:
        return "overloaded";
    case FailureReason::NoEndpoint:
        return "no-endpoint";
    case FailureReason::DeadlineExceeded:
        return "deadline-exceeded";
    case FailureReason::StageFailed:
        return "stage-failed";
    case FailureReason::Cancelled:
        return "cancelled";
    case FailureReason::Quarantined:
        return "quarantined";
    case FailureReason::AnswerTooLarge:
        return "answer-too-large";
    case FailureReason::KeyRequired:
        return "key-required";
    case FailureReason::KeyInUse:
        return "key-in-use";
    case FailureReason::KeyExpired:
        return "key-expired";
    case FailureReason::Voided:
        return "voided";
    case FailureReason::OwnerLost:
        return "owner-lost";
    case FailureReason::LogUnavailable:
        return "log-unavailable";
    case FailureReason::UnknownClass:
        return "unknown-class";
    case FailureReason::Stopping:
        return "stopping";
    }
    return "unlisted";
}

Job::Job(JobId id, JobRequest request, config::PipelineSpec pipeline, Bytes answerBound)
    : id_(id)
    , request_(std::move(request))
    , pipeline_(std::move(pipeline))
    , answer_(answerBound)
    , answerBound_(answerBound)
    , stageText_(answerBound)
{
}

std::vector<Effect> Job::start(Time now)
{
    Effects effects;
    stageInput_ = request_.input;
    beginStage(now, effects);
    return effects;
}

std::vector<Effect> Job::handle(const Event &event, Time now)
{
    Effects effects;
    if (phase_ == Phase::Ended) {
        ++dropped_.afterEnd;
        return effects;
    }
    std::visit([&](const auto &each) { on(each, now, effects); }, event);
    return effects;
}

void Job::on(const Placed &event, Time /*now*/, Effects &effects)
{
    if (phase_ != Phase::Placing || event.attempt != attempt_) {
        ++dropped_.staleAttempt;
        return;
    }
    phase_ = Phase::Calling;
    ranBeforeCalls_ = ran_;
    startCall({ attempt_, event.endpoint, event.costPerSecond, event.resumable }, effects);
}

void Job::on(const Hedge &event, Time /*now*/, Effects &effects)
{
    if (phase_ != Phase::Calling || calls_.empty() || !canHedge(callOf(calls_.front().attempt))) {
        return;
    }
    attempt_ = attempt_.next();
    ++attemptsOfStage_;
    startCall({ attempt_, event.endpoint, event.costPerSecond, event.resumable }, effects);
}

void Job::on(const NotPlaced &event, Time /*now*/, Effects &effects)
{
    if (phase_ != Phase::Placing || event.attempt != attempt_) {
        ++dropped_.staleAttempt;
        return;
    }
    fail(event.reason, event.retryAfter, effects);
}

void Job::on(const Chunk &event, Time /*now*/, Effects &effects)
{
    ActiveCall *call = active(event.call);
    if (call == nullptr) {
        ++dropped_.staleAttempt;
        return;
    }
    ran_ = Ran::Yes;
    AnswerBuffer &buffer = stageBuffer();
    const ByteOffset before = buffer.end();
    switch (buffer.append(event.offset, event.text)) {
    case ChunkResult::Appended:
        keepOnly(event.call.attempt, effects);
        if (deliversWhileRunning()) {
            effects.emplace_back(Deliver { before, std::string(buffer.from(before)) });
        }
        return;
    case ChunkResult::Duplicate:
        ++dropped_.repeated;
        return;
    case ChunkResult::Gap:
        if (!resume(*call, ErrorKind::ConnectionLost, effects)) {
            effects.emplace_back(CancelCall { event.call });
            endAttempt(StageBroken { event.call, ErrorKind::Malformed, Ran::Yes, {}, true, {} }, effects);
        }
        return;
    case ChunkResult::TooLarge:
        fail(FailureReason::AnswerTooLarge, Duration::zero(), effects);
        return;
    }
}

void Job::on(const StageDone &event, Time now, Effects &effects)
{
    ActiveCall *call = active(event.call);
    if (call == nullptr) {
        ++dropped_.staleAttempt;
        return;
    }
    ran_ = Ran::Yes;
    if (isStreamed() && event.length != stageBuffer().end()) {
        if (!resume(*call, ErrorKind::ConnectionLost, effects)) {
            endAttempt(StageBroken { event.call, ErrorKind::ConnectionLost, Ran::Yes, event.busy, true, {} }, effects);
        }
        return;
    }
    keepOnly(event.call.attempt, effects);
    if (event.result.size() > answerBound_.value()) {
        fail(FailureReason::AnswerTooLarge, Duration::zero(), effects);
        return;
    }
    finishStage(event, now, effects);
}

void Job::on(const StageBroken &event, Time /*now*/, Effects &effects)
{
    ActiveCall *call = active(event.call);
    if (call == nullptr) {
        ++dropped_.staleAttempt;
        return;
    }
    if (event.ran == Ran::No || !resume(*call, event.error, effects)) {
        endAttempt(event, effects);
    }
}

void Job::on(const Cancel & /*event*/, Time /*now*/, Effects &effects)
{
    fail(FailureReason::Cancelled, Duration::zero(), effects);
}

void Job::on(const CheckDeadline & /*event*/, Time now, Effects &effects)
{
    if (now >= request_.deadline) {
        fail(FailureReason::DeadlineExceeded, Duration::zero(), effects);
    }
}

std::vector<Effect> Job::fail(FailureReason reason, Duration retryAfter)
{
    Effects effects;
    if (phase_ != Phase::Ended) {
        fail(reason, retryAfter, effects);
    }
    return effects;
}

void Job::beginStage(Time now, Effects &effects)
{
    stageStarted_ = now;
    excluded_.clear();
    wasted_ = Duration::zero();
    attemptsOfStage_ = 0;
    beginAttempt(effects);
}

void Job::beginAttempt(Effects &effects)
{
    phase_ = Phase::Placing;
    attempt_ = attempt_.next();
    ++attemptsOfStage_;
    stageText_ = AnswerBuffer(answerBound_);
    effects.emplace_back(PlaceStage { callOf(attempt_), excluded_ });
}

void Job::startCall(ActiveCall call, Effects &effects)
{
    if (ran_ == Ran::No) {
        ran_ = Ran::Unknown;
    }
    const bool continues = deliversWhileRunning();
    effects.emplace_back(CallStage {
        callOf(call.attempt),
        call.endpoint,
        stageInput_,
        continues ? answer_.end() : ByteOffset(),
        continues ? answer_.text() : std::string(),
    });
    calls_.push_back(std::move(call));
}

void Job::keepOnly(Attempt winner, Effects &effects)
{
    for (const ActiveCall &call : calls_) {
        if (call.attempt != winner) {
            effects.emplace_back(CancelCall { callOf(call.attempt) });
        }
    }
    std::erase_if(calls_, [&](const ActiveCall &call) { return call.attempt != winner; });
}

void Job::finishStage(const StageDone &event, Time now, Effects &effects)
{
    const ActiveCall winner = calls_.front();
    calls_.clear();
    StageRecord record {
        spec().name,
        winner.endpoint,
        Attempt(attemptsOfStage_),
        std::chrono::duration_cast<Duration>(now - stageStarted_),
        event.busy,
        wasted_,
        costOf(event.busy, winner.costPerSecond),
    };
    effects.emplace_back(StageFinished { stage_, record });
    records_.push_back(std::move(record));

    std::string result = isStreamed() ? stageText_.text() : event.result;
    if (!isLastStage()) {
        stageInput_ = std::move(result);
        stage_ = stage_.next();
        beginStage(now, effects);
        return;
    }
    if (!deliversWhileRunning()) {
        answer_.append(answer_.end(), result);
        effects.emplace_back(Deliver { ByteOffset(), std::move(result) });
    }
    finishJob(effects);
}

void Job::finishJob(Effects &effects)
{
    phase_ = Phase::Ended;
    stage_ = stage_.next();
    outcome_ = Completed { answer_.end() };
    effects.emplace_back(JobFinished { *outcome_ });
}

bool Job::isResumable(const ActiveCall &call, ErrorKind error) const noexcept
{
    const bool cut = error == ErrorKind::ConnectionLost || error == ErrorKind::Silent;
    // A stream that gave nothing yet is as well begun elsewhere, where the endpoint may not be silent.
    const bool begun = stageBuffer().end() > ByteOffset();
    const bool mayBeginAgain = spec().repeatable && request_.repeatable;
    return cut && (begun || !mayBeginAgain) && isStreamed() && call.resumable && call.resumes < maxResumesPerAttempt;
}

bool Job::canResume(const CallId &call, ErrorKind error, Ran ran) const noexcept
{
    const ActiveCall *found = active(call);
    return ran != Ran::No && found != nullptr && isResumable(*found, error);
}

bool Job::canHedge(const CallId &call) const noexcept
{
    const bool begun = stageBuffer().end() > ByteOffset();
    return active(call) != nullptr && calls_.size() == 1 && !begun && spec().repeatable && request_.repeatable;
}

bool Job::isWhole(const CallId &call, ByteOffset length) const noexcept
{
    return active(call) == nullptr || !isStreamed() || length == stageBuffer().end();
}

bool Job::resume(ActiveCall &call, ErrorKind error, Effects &effects)
{
    if (!isResumable(call, error)) {
        return false;
    }
    ++call.resumes;
    effects.emplace_back(ResumeCall { callOf(call.attempt), call.endpoint, stageBuffer().end() });
    return true;
}

void Job::endAttempt(const StageBroken &event, Effects &effects)
{
    const ActiveCall lost = *active(event.call);
    std::erase_if(calls_, [&](const ActiveCall &call) { return call.attempt == lost.attempt; });
    wasted_ += event.busy;
    excluded_.push_back(lost.endpoint);
    if (event.ran == Ran::Yes) {
        ran_ = Ran::Yes;
    }
    if (!calls_.empty()) {
        ranBeforeCalls_ = event.ran == Ran::No ? ranBeforeCalls_ : ran_;
        return;
    }
    if (event.ran == Ran::No) {
        ran_ = ranBeforeCalls_;
    }
    const bool safe = (spec().repeatable && request_.repeatable) || event.ran == Ran::No;
    if (!safe || !event.mayRetry || attemptsOfStage_ >= maxAttemptsPerStage) {
        fail(FailureReason::StageFailed, event.retryAfter, effects);
        return;
    }
    beginAttempt(effects);
}

void Job::cancelCalls(Effects &effects)
{
    for (const ActiveCall &call : calls_) {
        effects.emplace_back(CancelCall { callOf(call.attempt) });
    }
    calls_.clear();
}

void Job::fail(FailureReason reason, Duration retryAfter, Effects &effects)
{
    cancelCalls(effects);
    phase_ = Phase::Ended;
    outcome_ = Failed { reason, ran_, retryAfter };
    effects.emplace_back(JobFinished { *outcome_ });
}

const config::StageSpec &Job::spec() const noexcept
{
    return pipeline_.stages[stage_.value()];
}

bool Job::isLastStage() const noexcept
{
    return stage_.value() + 1 == pipeline_.stages.size();
}

bool Job::isStreamed() const noexcept
{
    return spec().kind == config::StageKind::Generate;
}

bool Job::deliversWhileRunning() const noexcept
{
    return isLastStage() && isStreamed();
}

AnswerBuffer &Job::stageBuffer() noexcept
{
    return deliversWhileRunning() ? answer_ : stageText_;
}

const AnswerBuffer &Job::stageBuffer() const noexcept
{
    return deliversWhileRunning() ? answer_ : stageText_;
}

Job::ActiveCall *Job::active(const CallId &call) noexcept
{
    return const_cast<ActiveCall *>(std::as_const(*this).active(call));
}

const Job::ActiveCall *Job::active(const CallId &call) const noexcept
{
    if (phase_ != Phase::Calling || call != callOf(call.attempt)) {
        return nullptr;
    }
    const auto found = std::find_if(
        calls_.begin(), calls_.end(), [&](const ActiveCall &candidate) { return candidate.attempt == call.attempt; });
    return found == calls_.end() ? nullptr : &*found;
}

CallId Job::callOf(Attempt attempt) const noexcept
{
    return { id_, stage_, attempt };
}

const JobId &Job::id() const noexcept
{
    return id_;
}

const JobRequest &Job::request() const noexcept
{
    return request_;
}

const config::PipelineSpec &Job::pipeline() const noexcept
{
    return pipeline_;
}

const AnswerBuffer &Job::answer() const noexcept
{
    return answer_;
}

const std::vector<StageRecord> &Job::records() const noexcept
{
    return records_;
}

StageIndex Job::stage() const noexcept
{
    return stage_;
}

const std::optional<Outcome> &Job::outcome() const noexcept
{
    return outcome_;
}

const DropCounts &Job::dropped() const noexcept
{
    return dropped_;
}

Ran Job::ran() const noexcept
{
    return ran_;
}

} // namespace lacewing::pipeline
