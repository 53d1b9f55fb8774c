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

PieceMessage toMessage(const stages::PieceOrder &order, std::vector<std::string> &services, Time now)
{
    PieceMessage message;
    message.service = indexOf(order.service, services);
    message.stage = order.index.stage;
    message.piece = order.index.piece;
    message.key = order.key;
    for (const auto &input : order.inputs) {
        message.inputs.push_back(input.text());
    }
    message.dueMs = toMilliseconds(order.due - now);
    message.limitMs = toMilliseconds(order.limit - now);
    message.worth = order.worth;
    message.resultBytes = order.resultBytes.value();
    message.zoneBytes = order.zoneBytes.value();
    return message;
}

stages::PieceOrder toOrder(PieceMessage message, const PiecesRequest &request, Time now)
{
    stages::PieceOrder order;
    order.request = stages::RequestId(request.request);
    order.service = routing::ServiceId(request.services[message.service]);
    order.index = { message.stage, message.piece };
    order.key = std::move(message.key);
    for (auto &input : message.inputs) {
        order.inputs.emplace_back(std::move(input));
    }
    order.due = now + std::chrono::milliseconds(message.dueMs);
    order.limit = now + std::chrono::milliseconds(message.limitMs);
    order.worth = message.worth;
    order.resultBytes = Bytes(message.resultBytes);
    order.zone = AvailabilityZoneId(request.zone);
    order.zoneBytes = Bytes(message.zoneBytes);
    return order;
}

PathMessage toMessage(const stages::PathRequest &path, std::vector<std::string> &services, Time now)
{
    PathMessage message;
    message.elapsedMs = toMilliseconds(now - path.receivedAt);
    message.targetMs = toMilliseconds(path.target);
    message.afterStagesMs = toMilliseconds(path.afterStages);
    message.rank = path.rank;
    message.relativeWorth = path.relativeWorth;
    message.isReturning = path.isReturning;
    for (const auto &step : path.steps) {
        message.steps.push_back(
            { indexOf(step.service, services), step.pieces, toMilliseconds(step.due - now), step.after });
    }
    return message;
}

/** Empty when the message names a service or step that it doesn't have. */
std::optional<stages::PathRequest> toPath(const PathMessage &message, const PiecesRequest &request, Time now)
{
    stages::PathRequest path;
    path.id = stages::RequestId(request.request);
    path.receivedAt = now - std::chrono::milliseconds(message.elapsedMs);
    path.target = std::chrono::milliseconds(message.targetMs);
    path.afterStages = std::chrono::milliseconds(message.afterStagesMs);
    path.rank = message.rank;
    path.relativeWorth = message.relativeWorth;
    path.isReturning = message.isReturning;
    for (const auto &step : message.steps) {
        const bool isKnown = step.service < request.services.size()
            && std::all_of(step.after.begin(), step.after.end(), [&](std::uint32_t before) {
                                 return before < path.steps.size();
                             });
        if (!isKnown) {
            return std::nullopt;
        }
        path.steps.push_back({ routing::ServiceId(request.services[step.service]),
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

RefusalMessage toMessage(const stages::PathDecision &decision)
{
    return { toMilliseconds(decision.predicted),
             toMilliseconds(decision.limit),
             decision.keepsOthers,
             toMilliseconds(decision.comeBackAfter),
             decision.ahead };
}

stages::PathDecision toDecision(const RefusalMessage &message)
{
    stages::PathDecision decision;
    decision.admitted = false;
    decision.predicted = std::chrono::milliseconds(message.predictedMs);
    decision.limit = std::chrono::milliseconds(message.limitMs);
    decision.keepsOthers = message.keepsOthers;
    decision.comeBackAfter = std::chrono::milliseconds(message.comeBackMs);
    decision.ahead = static_cast<std::size_t>(message.ahead);
    return decision;
}

LoadMessage toMessage(const stages::CellId &cell, const stages::ServiceWait &wait)
{
    return { wait.service.text(), cell.text(), toMilliseconds(wait.wait), toMilliseconds(wait.call) };
}

stages::ServiceWait toWait(const LoadMessage &message)
{
    return { routing::ServiceId(message.service),
             std::chrono::milliseconds(message.waitMs),
             std::chrono::milliseconds(message.callMs) };
}

} // namespace lacewing::gateway
