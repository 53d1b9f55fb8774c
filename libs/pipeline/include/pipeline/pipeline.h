#pragma once

#include <base/base.h>
#include <config/config.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * The state machine of one job over the stages of its pipeline, and the reassembly of streamed answers.
 *
 * A Job takes events and returns effects; it does no input or output, and reads no clock.
 */
namespace lacewing::pipeline
{

// ---------------------------------------------------------------------------------------------------------------------
// Reassembly of a stream

/** What became of a chunk given to an AnswerBuffer. */
enum class ChunkResult : std::uint8_t {
    Appended, ///< brought new bytes
    Duplicate, ///< brought nothing new
    Gap, ///< starts beyond the end of what is there; not taken
    TooLarge, ///< would exceed the bound; not taken
};

/**
 * The text of one answer, put together from chunks that carry offsets.
 *
 * Overlapping chunks are trimmed; a chunk beyond the end is refused, so that the text never has a hole.
 */
class AnswerBuffer
{
public:
    /** @param bound largest number of bytes kept */
    explicit AnswerBuffer(Bytes bound) noexcept;

    /** Takes a chunk that starts at `offset`. */
    ChunkResult append(ByteOffset offset, std::string_view text);

    /** Offset after the last byte. */
    ByteOffset end() const noexcept;
    /** All bytes so far. */
    const std::string &text() const noexcept;
    /** Bytes from `offset` on; empty when `offset` is at or beyond the end. */
    std::string_view from(ByteOffset offset) const noexcept;

private:
    std::string text_;
    std::size_t bound_;
};

// ---------------------------------------------------------------------------------------------------------------------
// The job

/** What a caller asks for. */
struct JobRequest {
    WorkspaceId workspace;
    ClassId jobClass;
    std::string input; ///< handed to the first stage
    Tokens maxTokens; ///< most tokens to generate
    bool stream = false; ///< deliver the answer while it is generated
    bool repeatable = true; ///< false: may run at most once
    Fingerprint fingerprint; ///< of workspace, class and input
    Time arrival; ///< when the request was received
    Time deadline; ///< when its answer becomes worthless
};

/** Why a job ended without an answer. */
enum class FailureReason : std::uint8_t {
    CannotFinishInTime, ///< refused early: no placement would meet the deadline
    Overloaded, ///< refused: queue, concurrency or fair-share limit
    NoEndpoint, ///< no live endpoint can run a stage
    DeadlineExceeded, ///< the deadline passed while it ran
    StageFailed, ///< a stage failed and may not or could not be tried again
    Cancelled, ///< given up by its caller
    Quarantined, ///< its content has crashed endpoints
    AnswerTooLarge, ///< a stage's result exceeds the bound
    KeyRequired, ///< the request may not run twice and has neither an idempotency key nor a ticket
    KeyInUse, ///< the idempotency key was used for other content
    KeyExpired, ///< the idempotency key is older than the claim window
    Voided, ///< another copy of the request was refused for good, so none runs
    OwnerLost, ///< another VM ran the request and is gone
    LogUnavailable, ///< a claim could not be written
    UnknownClass, ///< the class isn't configured
    Stopping, ///< this VM takes no new jobs
};

/** Short fixed text of a reason, such as "cannot-finish-in-time". */
std::string_view toText(FailureReason reason) noexcept;

/** How one stage went; the caller sees these with its answer. */
struct StageRecord {
    std::string name;
    EndpointId endpoint; ///< that gave the result
    Attempt attempts; ///< how many were made
    Duration elapsed {}; ///< from first placement to result
    Duration busy {}; ///< time the endpoint spent on the attempt that counted
    Duration wasted {}; ///< time endpoints spent on attempts that didn't count
    Cost cost; ///< of the attempt that counted
};

/** A job that gave its whole answer. */
struct Completed {
    ByteOffset length;
};
/** A job that ended without its whole answer. */
struct Failed {
    FailureReason reason = FailureReason::StageFailed;
    Ran ran = Ran::Unknown;
    Duration retryAfter {}; ///< when the caller may ask again; 0: asking again won't help
};
using Outcome = std::variant<Completed, Failed>;

// Events that a Job takes.

/** The policy chose an endpoint for the attempt that the job asked to place. */
struct Placed {
    Attempt attempt;
    EndpointId endpoint;
    Cost costPerSecond;
    bool resumable = false; ///< a cut stream can be resumed at the endpoint
};
/** The policy chose a second endpoint for a call that runs late. Its result counts if it comes first. */
struct Hedge {
    EndpointId endpoint;
    Cost costPerSecond;
    bool resumable = false;
};
/** The policy could not place the attempt. */
struct NotPlaced {
    Attempt attempt;
    FailureReason reason = FailureReason::NoEndpoint;
    Duration retryAfter {};
};
/** Part of a streamed result. */
struct Chunk {
    CallId call;
    ByteOffset offset;
    std::string text;
};
/** A call gave its whole result. */
struct StageDone {
    CallId call;
    ByteOffset length; ///< of the whole streamed text; checked against the chunks
    std::string result; ///< of a call that doesn't stream
    Duration busy {};
};
/** A call failed. */
struct StageBroken {
    CallId call;
    ErrorKind error = ErrorKind::ConnectionLost;
    Ran ran = Ran::Unknown;
    Duration busy {};
    bool mayRetry = false; ///< the policy's retry budget allows another attempt
    Duration retryAfter {}; ///< when to tell the caller to come back if the job fails
};
/** The caller gave up. */
struct Cancel {
};
/** The deadline may have passed. */
struct CheckDeadline {
};
using Event = std::variant<Placed, Hedge, NotPlaced, Chunk, StageDone, StageBroken, Cancel, CheckDeadline>;

// Effects that a Job returns.

/** Asks for an endpoint for an attempt. */
struct PlaceStage {
    CallId call;
    std::vector<EndpointId> excluded; ///< already failed for this stage
};
/** Asks for a call of an endpoint. */
struct CallStage {
    CallId call;
    EndpointId endpoint;
    std::string input; ///< result of the stage before, or the job's input
    ByteOffset resumeAt; ///< length of `forcedPrefix`
    std::string forcedPrefix; ///< text already delivered, from which the endpoint must go on
};
/** Asks for the rest of a cut stream from the endpoint that still generates it. Same call, so nothing runs twice. */
struct ResumeCall {
    CallId call;
    EndpointId endpoint;
    ByteOffset from; ///< offset of the first byte wanted
};
/** Asks to give up a call. Its late results are dropped. */
struct CancelCall {
    CallId call;
};
/** New bytes of the answer. */
struct Deliver {
    ByteOffset offset;
    std::string text;
};
/** A stage finished; charged once. */
struct StageFinished {
    StageIndex stage;
    StageRecord record;
};
/** The job ended. */
struct JobFinished {
    Outcome outcome;
};
using Effect = std::variant<PlaceStage, CallStage, ResumeCall, CancelCall, Deliver, StageFinished, JobFinished>;

/** Counts of results that were dropped because they didn't belong to the current attempt. */
struct DropCounts {
    std::uint64_t staleAttempt = 0; ///< result of an attempt that was given up
    std::uint64_t repeated = 0; ///< chunk that brought nothing new
    std::uint64_t afterEnd = 0; ///< anything after the job ended
};

/**
 * One job. One attempt of one stage is current, or two while a hedge runs; only the first result counts, and the other
 * attempt is given up.
 *
 * A stage that streams delivers while it runs. If its endpoint is lost, the next attempt must go on from the text
 * already delivered, so that the answer never joins two samplings.
 */
class Job
{
public:
    /** @param answerBound largest answer or stage result, in bytes */
    Job(JobId id, JobRequest request, config::PipelineSpec pipeline, Bytes answerBound);

    /** Starts the first stage. Called once. */
    std::vector<Effect> start(Time now);
    /** Takes an event. Events of other attempts than the current one are dropped and counted. */
    std::vector<Effect> handle(const Event &event, Time now);

    /** Ends the job without an answer; its calls are cancelled. No effect when it ended. */
    std::vector<Effect> fail(FailureReason reason, Duration retryAfter);

    /** Whether a failure of this kind would be met by resuming the call's stream. */
    bool canResume(const CallId &call, ErrorKind error, Ran ran) const noexcept;
    /** Whether a second attempt beside this call is allowed. */
    bool canHedge(const CallId &call) const noexcept;
    /** Whether a streamed call that ends at `length` has given everything; true for calls that don't stream. */
    bool isWhole(const CallId &call, ByteOffset length) const noexcept;

    const JobId &id() const noexcept;
    const JobRequest &request() const noexcept;
    const config::PipelineSpec &pipeline() const noexcept;
    /** Text delivered so far. */
    const AnswerBuffer &answer() const noexcept;
    /** Records of the stages finished so far. */
    const std::vector<StageRecord> &records() const noexcept;
    /** The stage that runs or is being placed; the number of stages when all are done. */
    StageIndex stage() const noexcept;
    const std::optional<Outcome> &outcome() const noexcept;
    const DropCounts &dropped() const noexcept;
    /** Whether any call that may have run was made. */
    Ran ran() const noexcept;

private:
    enum class Phase : std::uint8_t { Placing, Calling, Ended };
    using Effects = std::vector<Effect>;

    /** A call that was made and hasn't ended. */
    struct ActiveCall {
        Attempt attempt;
        EndpointId endpoint;
        Cost costPerSecond;
        bool resumable = false;
        std::uint32_t resumes = 0;
    };

    void on(const Placed &event, Time now, Effects &effects);
    void on(const Hedge &event, Time now, Effects &effects);
    void on(const NotPlaced &event, Time now, Effects &effects);
    void on(const Chunk &event, Time now, Effects &effects);
    void on(const StageDone &event, Time now, Effects &effects);
    void on(const StageBroken &event, Time now, Effects &effects);
    void on(const Cancel &event, Time now, Effects &effects);
    void on(const CheckDeadline &event, Time now, Effects &effects);

    const config::StageSpec &spec() const noexcept;
    bool isLastStage() const noexcept;
    bool isStreamed() const noexcept;
    bool deliversWhileRunning() const noexcept;
    AnswerBuffer &stageBuffer() noexcept;
    const AnswerBuffer &stageBuffer() const noexcept;
    ActiveCall *active(const CallId &call) noexcept;
    const ActiveCall *active(const CallId &call) const noexcept;
    bool isResumable(const ActiveCall &call, ErrorKind error) const noexcept;
    CallId callOf(Attempt attempt) const noexcept;
    void beginStage(Time now, Effects &effects);
    void beginAttempt(Effects &effects);
    void startCall(ActiveCall call, Effects &effects);
    void keepOnly(Attempt winner, Effects &effects);
    void finishStage(const StageDone &event, Time now, Effects &effects);
    void finishJob(Effects &effects);
    bool resume(ActiveCall &call, ErrorKind error, Effects &effects);
    void endAttempt(const StageBroken &event, Effects &effects);
    void cancelCalls(Effects &effects);
    void fail(FailureReason reason, Duration retryAfter, Effects &effects);

    JobId id_;
    JobRequest request_;
    config::PipelineSpec pipeline_;
    AnswerBuffer answer_;
    Bytes answerBound_;
    std::vector<StageRecord> records_;
    std::optional<Outcome> outcome_;
    DropCounts dropped_;

    Phase phase_ = Phase::Placing;
    StageIndex stage_;
    Attempt attempt_; ///< latest attempt begun
    Time stageStarted_;
    std::string stageInput_;
    AnswerBuffer stageText_; ///< streamed result of a stage that isn't delivered while it runs
    std::vector<EndpointId> excluded_;
    std::vector<ActiveCall> calls_;
    Duration wasted_ {};
    std::uint32_t attemptsOfStage_ = 0;
    Ran ran_ = Ran::No;
    Ran ranBeforeCalls_ = Ran::No; ///< before the calls in progress were made
};

} // namespace lacewing::pipeline
