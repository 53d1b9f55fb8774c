#pragma once

#include "batch_dispatcher.h"
#include "peer_messages.h"
#include "piece_service.h"

namespace lacewing::gateway
{

/** Returns the request to another VM for the pieces at the given positions of a batch. */
PiecesRequest toRequest(const PieceBatch &batch, const std::vector<std::size_t> &indices, Time now);
/** Decodes a batch requested by another VM; empty if it has no pieces or refers to a service or step that is not in it.
 */
std::optional<PieceBatch> toBatch(PiecesRequest request, Time now);

PieceResult toResult(std::uint32_t index, const PieceOutcome &outcome);
PieceOutcome toOutcome(const PieceResult &result);

AdmissionRejectionMessage toMessage(const stages::AdmissionDecision &decision);
stages::AdmissionDecision toDecision(const AdmissionRejectionMessage &message);

LoadMessage toMessage(const stages::CellId &cell, const stages::ServiceLoad &load);
stages::ServiceLoad toServiceLoad(const LoadMessage &message);

} // namespace lacewing::gateway
