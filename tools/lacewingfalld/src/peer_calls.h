#pragma once

#include "answer_sink.h"

#include <core/core.h>

#include <tuple>
#include <variant>

/** Requests that one VM passes to another, and the pieces of their answers. */
namespace lacewing::daemon
{

/** Wants the answer of a job from an offset on. */
struct AttachCall {
    JobId job;
    ByteOffset from;

    LACEWING_MEMBERS(job, from)
};
/** Wants the state of a job. */
struct StatusCall {
    JobId job;

    LACEWING_MEMBERS(job)
};
/** Gives up a job. */
struct CancelJobCall {
    JobId job;

    LACEWING_MEMBERS(job)
};
/** Submits a request whose ticket names the receiver. */
struct TicketCall {
    Incarnation owner; ///< that the ticket names
    WorkspaceId workspace;
    ClassId jobClass;
    std::string input;
    Tokens maxTokens;
    std::optional<Duration> timeout;
    std::string ticket;

    LACEWING_MEMBERS(owner, workspace, jobClass, input, maxTokens, timeout, ticket)
};
/** Asks for the summary that operators see of a VM, as JSON. */
struct VmStatusCall {
    std::uint8_t reserved = 0;

    LACEWING_MEMBERS(reserved)
};
using PeerCall = std::variant<AttachCall, StatusCall, CancelJobCall, TicketCall, VmStatusCall>;

/** The request is attached to, or runs as, this job. */
struct AcceptedPiece {
    JobId job;

    LACEWING_MEMBERS(job)
};
/** Next bytes of the answer. */
struct TextPiece {
    ByteOffset offset;
    std::string text;

    LACEWING_MEMBERS(offset, text)
};
/** The request is refused; last piece. */
struct RefusedPiece {
    pipeline::FailureReason reason = pipeline::FailureReason::StageFailed;
    Ran ran = Ran::Unknown;
    Duration retryAfter {};

    LACEWING_MEMBERS(reason, ran, retryAfter)
};
/** How one stage went. */
struct StagePiece {
    std::string name;
    EndpointId endpoint;
    Attempt attempts;
    Duration elapsed {};
    Duration busy {};
    Duration wasted {};
    Cost cost;

    LACEWING_MEMBERS(name, endpoint, attempts, elapsed, busy, wasted, cost)
};
/** The job ended; last piece. */
struct FinishedPiece {
    JobId job;
    WorkspaceId workspace;
    ClassId jobClass;
    Duration completionTarget {};
    Duration elapsed {};
    bool completed = false;
    RefusedPiece failure; ///< when not completed
    ByteOffset answered;
    std::vector<StagePiece> stages;

    LACEWING_MEMBERS(job, workspace, jobClass, completionTarget, elapsed, completed, failure, answered, stages)
};
/** State of a job or VM in JSON; last piece. */
struct JsonPiece {
    std::string json;

    LACEWING_MEMBERS(json)
};
using PeerPiece = std::variant<AcceptedPiece, TextPiece, RefusedPiece, FinishedPiece, JsonPiece>;

/** Bytes of a call or piece, and back; Malformed or TooLarge otherwise. */
std::string encodeCall(const PeerCall &call);
Result<PeerCall> decodeCall(std::string_view bytes);
std::string encodePiece(const PeerPiece &piece);
Result<PeerPiece> decodePiece(std::string_view bytes);

/** An ended job as sent to another VM, and back. Decisions are not sent. */
FinishedPiece toPiece(const core::JobStatus &status);
core::JobStatus fromPiece(const FinishedPiece &piece);

} // namespace lacewing::daemon
