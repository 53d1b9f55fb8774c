#include "piece_codec.h"

#include <userplatform/userplatform.h>

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Returns the position of a service in the service table of a message, and adds it if it is missing. */
std::uint32_t indexOf(const routing::ServiceId &service, std::vector<std::string> &services)
{
    const auto found = std::find(services.begin(), services.end(), service.text());
    if (found != services.end()) {
        return static_cast<std::uint32_t>(found - services.begin());
    }
    services.push_back(service.text());
    return static_cast<std::uint32_t>(services.size() - 1);
}

PieceMessage toMessage(const stages::PieceTask &task, std::vector<std::string> &services, Time now)
{
    PieceMessage message;
    message.service = indexOf(task.service, services);
    message.stage = task.index.stage;
    message.piece = task.index.piece;
    message.key = task.contentKey;
    for (const auto &input : task.inputs) {
        message.inputs.push_back(input.text());
    }
    message.dueMs = toMilliseconds(task.dueTime - now);
    message.deadlineMs = toMilliseconds(task.deadline - now);
    message.value = task.valuePerPiece;
    message.resultBytes = task.resultBytes.value();
    message.crossZoneBytes = task.crossZoneBytes.value();
    return message;
}

/** Returns whether an endpoint can be asked for a piece. A VM of an earlier version does not check that. */
bool isValid(const PieceMessage &message, const PiecesRequest &request)
{
    return message.service < request.services.size() && userplatform::isUtf8(message.key)
        && std::all_of(message.inputs.begin(), message.inputs.end(), userplatform::isUtf8);
}

stages::PieceTask toTask(PieceMessage message, const PiecesRequest &request, Time now)
{
    stages::PieceTask task;
    task.request = stages::RequestId(request.request);
    task.fingerprint = Fingerprint(request.fingerprint);
    task.service = routing::ServiceId(request.services[message.service]);
    task.index = { message.stage, message.piece };
    task.contentKey = std::move(message.key);
    for (auto &input : message.inputs) {
        task.inputs.emplace_back(std::move(input));
    }
    task.dueTime = now + std::chrono::milliseconds(message.dueMs);
    task.deadline = now + std::chrono::milliseconds(message.deadlineMs);
    task.valuePerPiece = message.value;
    task.resultBytes = Bytes(message.resultBytes);
    task.preferredZone = AvailabilityZoneId(request.zone);
    task.crossZoneBytes = Bytes(message.crossZoneBytes);
    return task;
}

AdmissionRequestMessage toMessage(const stages::AdmissionRequest &admission,
                                  std::vector<std::string> &services,
                                  Time now)
{
    AdmissionRequestMessage message;
    message.elapsedMs = toMilliseconds(now - admission.receivedAt);
    message.targetMs = toMilliseconds(admission.targetLatency);
    message.engineTimeMs = toMilliseconds(admission.timeAfterStages);
    message.rank = admission.urgencyRank;
    message.relativeValue = admission.relativeValue;
    message.isRetry = admission.isRetry;
    for (const auto &demand : admission.demands) {
        message.demands.push_back({ indexOf(demand.service, services),
                                    demand.pieceCount,
                                    toMilliseconds(demand.dueTime - now),
                                    demand.dependencies });
    }
    return message;
}

/** Returns empty if the message refers to a service, or a stage to a preceding stage, that is not in the message. */
std::optional<stages::AdmissionRequest> toAdmissionRequest(const AdmissionRequestMessage &message,
                                                           const PiecesRequest &request,
                                                           Time now)
{
    stages::AdmissionRequest admission;
    admission.id = stages::RequestId(request.request);
    admission.receivedAt = now - std::chrono::milliseconds(message.elapsedMs);
    admission.targetLatency = std::chrono::milliseconds(message.targetMs);
    admission.timeAfterStages = std::chrono::milliseconds(message.engineTimeMs);
    admission.urgencyRank = message.rank;
    admission.relativeValue = message.relativeValue;
    admission.isRetry = message.isRetry;
    for (const auto &demand : message.demands) {
        const bool isValidDemand = demand.service < request.services.size()
            && std::all_of(demand.dependencies.begin(), demand.dependencies.end(), [&](std::uint32_t dependency) {
                                       return dependency < admission.demands.size();
                                   });
        if (!isValidDemand) {
            return std::nullopt;
        }
        admission.demands.push_back({ routing::ServiceId(request.services[demand.service]),
                                      demand.pieces,
                                      now + std::chrono::milliseconds(demand.dueMs),
                                      demand.dependencies });
    }
    return admission;
}

} // namespace

PiecesRequest toRequest(const PieceBatch &batch, const std::vector<std::size_t> &indices, Time now)
{
    PiecesRequest request;
    request.cell = batch.cell.text();
    request.zone = batch.zone.text();
    request.request = batch.pieces.front().request.text();
    request.fingerprint = batch.pieces.front().fingerprint.value();
    for (const auto index : indices) {
        request.pieces.push_back(toMessage(batch.pieces[index], request.services, now));
    }
    if (batch.admission) {
        request.admission = toMessage(*batch.admission, request.services, now);
    }
    return request;
}

std::optional<PieceBatch> toBatch(PiecesRequest request, Time now)
{
    if (!userplatform::isUtf8(request.request)) {
        return std::nullopt;
    }
    PieceBatch batch;
    batch.cell = stages::CellId(request.cell);
    batch.zone = AvailabilityZoneId(request.zone);
    for (auto &piece : std::exchange(request.pieces, {})) {
        if (!isValid(piece, request)) {
            return std::nullopt;
        }
        batch.pieces.push_back(toTask(std::move(piece), request, now));
    }
    if (request.admission) {
        batch.admission = toAdmissionRequest(*request.admission, request, now);
    }
    const bool isComplete = !batch.pieces.empty() && batch.admission.has_value() == request.admission.has_value();
    return isComplete ? std::optional(std::move(batch)) : std::nullopt;
}

PieceResult toResult(std::uint32_t index, const PieceOutcome &outcome)
{
    PieceResult result { index, {}, {}, outcome.failure };
    if (outcome.result) {
        result.handle = outcome.result->handle.text();
        result.endpoint = outcome.result->endpoint.text();
    }
    return result;
}

PieceOutcome toOutcome(const PieceResult &result)
{
    PieceOutcome outcome { std::nullopt, result.failure };
    if (!result.handle.empty() && userplatform::isUtf8(result.handle)) {
        outcome.result = HeldResult { stages::ResultHandle(result.handle), EndpointId(result.endpoint) };
    }
    return outcome;
}

AdmissionRejectionMessage toMessage(const stages::AdmissionDecision &decision)
{
    return { toMilliseconds(decision.predictedTime),
             toMilliseconds(decision.timeLimit),
             decision.keepsCommitments,
             toMilliseconds(decision.retryAfter),
             decision.piecesAhead };
}

stages::AdmissionDecision toDecision(const AdmissionRejectionMessage &message)
{
    stages::AdmissionDecision decision;
    decision.admitted = false;
    decision.predictedTime = std::chrono::milliseconds(message.predictedMs);
    decision.timeLimit = std::chrono::milliseconds(message.limitMs);
    decision.keepsCommitments = message.keepsCommitments;
    decision.retryAfter = std::chrono::milliseconds(message.retryAfterMs);
    decision.piecesAhead = static_cast<std::size_t>(message.piecesAhead);
    return decision;
}

LoadMessage toMessage(const stages::CellId &cell, const stages::ServiceLoad &load)
{
    return { load.service.text(), cell.text(), toMilliseconds(load.queueTime), toMilliseconds(load.callTime) };
}

stages::ServiceLoad toServiceLoad(const LoadMessage &message)
{
    return { routing::ServiceId(message.service),
             std::chrono::milliseconds(message.waitMs),
             std::chrono::milliseconds(message.callDurationMs) };
}

} // namespace lacewing::gateway
