#include "peer_calls.h"

#include <wire/wire.h>

namespace lacewing::daemon
{

std::string encodeCall(const PeerCall &call)
{
    return wire::encode(call);
}

Result<PeerCall> decodeCall(std::string_view bytes)
{
    return wire::decode<PeerCall>(bytes);
}

std::string encodePiece(const PeerPiece &piece)
{
    return wire::encode(piece);
}

Result<PeerPiece> decodePiece(std::string_view bytes)
{
    return wire::decode<PeerPiece>(bytes);
}

FinishedPiece toPiece(const core::JobStatus &status)
{
    FinishedPiece piece;
    piece.job = status.id;
    piece.workspace = status.workspace;
    piece.jobClass = status.jobClass;
    piece.completionTarget = status.completionTarget;
    piece.elapsed = status.elapsed;
    piece.answered = status.answered;
    piece.completed = status.outcome && std::holds_alternative<pipeline::Completed>(*status.outcome);
    if (const auto *failed = status.outcome ? std::get_if<pipeline::Failed>(&*status.outcome) : nullptr) {
        piece.failure = { failed->reason, failed->ran, failed->retryAfter };
    }
    for (const pipeline::StageRecord &stage : status.stages) {
        piece.stages.push_back(
            { stage.name, stage.endpoint, stage.attempts, stage.elapsed, stage.busy, stage.wasted, stage.cost });
    }
    return piece;
}

core::JobStatus fromPiece(const FinishedPiece &piece)
{
    core::JobStatus status;
    status.id = piece.job;
    status.workspace = piece.workspace;
    status.jobClass = piece.jobClass;
    status.completionTarget = piece.completionTarget;
    status.elapsed = piece.elapsed;
    status.answered = piece.answered;
    if (piece.completed) {
        status.outcome = pipeline::Completed { piece.answered };
    } else {
        status.outcome = pipeline::Failed { piece.failure.reason, piece.failure.ran, piece.failure.retryAfter };
    }
    for (const StagePiece &stage : piece.stages) {
        status.stages.push_back(
            { stage.name, stage.endpoint, stage.attempts, stage.elapsed, stage.busy, stage.wasted, stage.cost });
    }
    return status;
}

} // namespace lacewing::daemon
