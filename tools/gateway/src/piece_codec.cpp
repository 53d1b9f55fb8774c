#include "piece_codec.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Position of a service in the message's table, which gets it if it is new. */
std::uint32_t indexOf(const routing::ServiceId &service, std::vector<std::string> &services)
{
    const auto found = std::find(services.begin(), services.end(), service.text());
    if (found != services.end()) {
        return static_cast<std::uint32_t>(found - services.begin());
    }
    services.push_back(service.text());
    return static_cast<std::uint32_t>(services.size() - 1);
}

PieceMessage toMessage(const stages::PieceTask &order, std::vector<std::string> &services, Time now)
{
    PieceMessage message;
    message.service = indexOf(order.service, services);
    message.stage = order.index.stage;
    message.piece = order.index.piece;
    message.key = order.contentKey;
    for (const auto &input : order.inputs) {
        message.inputs.push_back(input.text());
    }
    message.dueMs = toMilliseconds(order.dueTime - now);
    message.limitMs = toMilliseconds(order.deadline - now);
    message.worth = order.valuePerPiece;
    message.resultBytes = order.resultBytes.value();
    message.zoneBytes = order.crossZoneBytes.value();
    return message;
}

stages::PieceTask toOrder(PieceMessage message, const PiecesRequest &request, Time now)
{
    stages::PieceTask order;
    order.request = stages::RequestId(request.request);
    order.service = routing::ServiceId(request.services[message.service]);
    order.index = { message.stage, message.piece };
    order.contentKey = std::move(message.key);
    for (auto &input : message.inputs) {
        order.inputs.emplace_back(std::move(input));
    }
    order.dueTime = now + std::chrono::milliseconds(message.dueMs);
    order.deadline = now + std::chrono::milliseconds(message.limitMs);
    order.valuePerPiece = message.worth;
    order.resultBytes = Bytes(message.resultBytes);
    order.preferredZone = AvailabilityZoneId(request.zone);
    order.crossZoneBytes = Bytes(message.zoneBytes);
    return order;
}

PathMessage toMessage(const stages::AdmissionRequest &path, std::vector<std::string> &services, Time now)
{
    PathMessage message;
    message.elapsedMs = toMilliseconds(now - path.receivedAt);
    message.targetMs = toMilliseconds(path.targetLatency);
    message.afterStagesMs = toMilliseconds(path.timeAfterStages);
    message.rank = path.urgencyRank;
    message.relativeWorth = path.relativeValue;
    message.isReturning = path.isRetry;
    for (const auto &step : path.demands) {
        message.steps.push_back({ indexOf(step.service, services),
                                  step.pieceCount,
                                  toMilliseconds(step.dueTime - now),
                                  step.dependencies });
    }
    return message;
}

/** Empty when the message names a service or step that it doesn't have. */
std::optional<stages::AdmissionRequest> toPath(const PathMessage &message, const PiecesRequest &request, Time now)
{
    stages::AdmissionRequest path;
    path.id = stages::RequestId(request.request);
    path.receivedAt = now - std::chrono::milliseconds(message.elapsedMs);
    path.targetLatency = std::chrono::milliseconds(message.targetMs);
    path.timeAfterStages = std::chrono::milliseconds(message.afterStagesMs);
    path.urgencyRank = message.rank;
    path.relativeValue = message.relativeWorth;
    path.isRetry = message.isReturning;
    for (const auto &step : message.steps) {
        const bool isKnown = step.service < request.services.size()
            && std::all_of(step.after.begin(), step.after.end(), [&](std::uint32_t before) {
                                 return before < path.demands.size();
                             });
        if (!isKnown) {
            return std::nullopt;
        }
        path.demands.push_back({ routing::ServiceId(request.services[step.service]),
                                 step.pieces,
                                 now + std::chrono::milliseconds(step.dueMs),
                                 step.after });
    }
    return path;
}

} // namespace

PiecesRequest toRequest(const PieceBatch &batch, const std::vector<std::size_t> &indices, Time now)
{
    PiecesRequest request;
    request.cell = batch.cell.text();
    request.zone = batch.zone.text();
    request.request = batch.pieces.front().request.text();
    for (const auto index : indices) {
        request.pieces.push_back(toMessage(batch.pieces[index], request.services, now));
    }
    if (batch.path) {
        request.path = toMessage(*batch.path, request.services, now);
    }
    return request;
}

std::optional<PieceBatch> toBatch(PiecesRequest request, Time now)
{
    PieceBatch batch;
    batch.cell = stages::CellId(request.cell);
    batch.zone = AvailabilityZoneId(request.zone);
    for (auto &piece : std::exchange(request.pieces, {})) {
        if (piece.service >= request.services.size()) {
            return std::nullopt;
        }
        batch.pieces.push_back(toOrder(std::move(piece), request, now));
    }
    if (request.path) {
        batch.path = toPath(*request.path, request, now);
    }
    const bool isWhole = !batch.pieces.empty() && batch.path.has_value() == request.path.has_value();
    return isWhole ? std::optional(std::move(batch)) : std::nullopt;
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
    if (!result.handle.empty()) {
        outcome.result = HeldResult { stages::ResultHandle(result.handle), EndpointId(result.endpoint) };
    }
    return outcome;
}

RefusalMessage toMessage(const stages::AdmissionDecision &decision)
{
    return { toMilliseconds(decision.predictedTime),
             toMilliseconds(decision.timeLimit),
             decision.keepsCommitments,
             toMilliseconds(decision.retryAfter),
             decision.piecesAhead };
}

stages::AdmissionDecision toDecision(const RefusalMessage &message)
{
    stages::AdmissionDecision decision;
    decision.admitted = false;
    decision.predictedTime = std::chrono::milliseconds(message.predictedMs);
    decision.timeLimit = std::chrono::milliseconds(message.limitMs);
    decision.keepsCommitments = message.keepsOthers;
    decision.retryAfter = std::chrono::milliseconds(message.comeBackMs);
    decision.piecesAhead = static_cast<std::size_t>(message.ahead);
    return decision;
}

LoadMessage toMessage(const stages::CellId &cell, const stages::ServiceLoad &wait)
{
    return { wait.service.text(), cell.text(), toMilliseconds(wait.queueTime), toMilliseconds(wait.callTime) };
}

stages::ServiceLoad toWait(const LoadMessage &message)
{
    return { routing::ServiceId(message.service),
             std::chrono::milliseconds(message.waitMs),
             std::chrono::milliseconds(message.callMs) };
}

} // namespace lacewing::gateway
