#pragma once

#include "batch_dispatcher.h"
#include "peer_messages.h"
#include "piece_service.h"

namespace lacewing::gateway
{

/** The pieces at these positions of a batch, as another VM is asked for them. */
PiecesRequest toRequest(const PieceBatch &batch, const std::vector<std::size_t> &indices, Time now);
/** A batch that another VM asks for; empty when the message has no piece, or names a service that it doesn't have. */
std::optional<PieceBatch> toBatch(PiecesRequest request, Time now);

PieceResult toResult(std::uint32_t index, const PieceOutcome &outcome);
PieceOutcome toOutcome(const PieceResult &result);

RefusalMessage toMessage(const stages::PathDecision &decision);
stages::PathDecision toDecision(const RefusalMessage &message);

LoadMessage toMessage(const stages::CellId &cell, const stages::ServiceWait &wait);
stages::ServiceWait toWait(const LoadMessage &message);

} // namespace lacewing::gateway
