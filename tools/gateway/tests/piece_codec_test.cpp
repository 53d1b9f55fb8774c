#include "piece_codec.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway;

namespace
{

constexpr Time now { 100s };

PieceBatch sampleBatch()
{
    PieceBatch batch;
    batch.cell = stages::CellId("a");
    batch.zone = AvailabilityZoneId("a");
    for (std::uint32_t stage = 0; stage < 2; ++stage) {
        stages::PieceTask order;
        order.request = stages::RequestId("r");
        order.service = routing::ServiceId(stage == 0 ? "x" : "y");
        order.index = { stage, 3 };
        order.inputs = { stages::ResultHandle("h") };
        order.dueTime = now + 500ms;
        order.deadline = now + 900ms;
        order.resultBytes = Bytes(7);
        batch.pieces.push_back(order);
    }
    stages::AdmissionRequest path;
    path.id = stages::RequestId("r");
    path.receivedAt = now - 30ms;
    path.targetLatency = 1s;
    path.timeAfterStages = 120ms;
    path.urgencyRank = 2;
    path.relativeValue = 1.5;
    path.isRetry = true;
    path.demands = { { routing::ServiceId("x"), 1, now + 500ms, {} },
                     { routing::ServiceId("z"), 4, now + 700ms, { 0 } } };
    batch.path = path;
    return batch;
}

enum class Damage { None, NoPieces, PieceService, StepService, StepOrder };

struct DamageCase {
    Damage damage;
    bool isTaken;
};

DamageCase damageCases[] = {
    { Damage::None, true },         { Damage::NoPieces, false },  { Damage::PieceService, false },
    { Damage::StepService, false }, { Damage::StepOrder, false },
};

} // namespace

ParameterizedTestParameters(pieceCodec, takesOnlyWholeBatches)
{
    return cr_make_param_array(DamageCase, damageCases, std::size(damageCases));
}

ParameterizedTest(DamageCase *test, pieceCodec, takesOnlyWholeBatches)
{
    PiecesRequest request = toRequest(sampleBatch(), { 0, 1 }, now);
    switch (test->damage) {
    case Damage::None:
        break;
    case Damage::NoPieces:
        request.pieces.clear();
        break;
    case Damage::PieceService:
        request.pieces[1].service = 99;
        break;
    case Damage::StepService:
        request.path->steps[1].service = 99;
        break;
    case Damage::StepOrder:
        request.path->steps[0].after = { 1 };
        break;
    }
    cr_assert_eq(toBatch(request, now).has_value(), test->isTaken);
}

Test(pieceCodec, keepsWhatTheFillerNeeds)
{
    const PieceBatch sent = sampleBatch();
    // It arrives at a VM whose clock differs by 50 s.
    const Duration ahead = 50s;
    const auto taken = toBatch(toRequest(sent, { 1 }, now), now + ahead).value();
    cr_assert_eq(taken.cell, sent.cell);
    cr_assert_eq(taken.pieces.size(), 1U);
    const auto &piece = taken.pieces[0];
    cr_assert_eq(piece.request, sent.pieces[1].request);
    cr_assert_eq(piece.service, routing::ServiceId("y"));
    cr_assert(piece.index == sent.pieces[1].index);
    cr_assert_eq(piece.inputs.size(), 1U);
    cr_assert_eq(piece.dueTime, sent.pieces[1].dueTime + ahead);
    cr_assert_eq(piece.deadline, sent.pieces[1].deadline + ahead);
    const auto &path = taken.path.value();
    cr_assert_eq(path.receivedAt, sent.path->receivedAt + ahead);
    cr_assert_eq(path.targetLatency, sent.path->targetLatency);
    cr_assert_eq(path.urgencyRank, 2);
    cr_assert(path.isRetry);
    cr_assert_eq(path.demands[1].service, routing::ServiceId("z"));
    cr_assert_eq(path.demands[1].pieceCount, 4U);
    cr_assert_eq(path.demands[1].dependencies.at(0), 0U);
}

Test(pieceCodec, refusalsKeepTheirReason)
{
    stages::AdmissionDecision decision;
    decision.admitted = false;
    decision.predictedTime = 700ms;
    decision.timeLimit = 600ms;
    decision.keepsCommitments = false;
    decision.retryAfter = 250ms;
    decision.piecesAhead = 12;
    const auto taken = toDecision(toMessage(decision));
    cr_assert_not(taken.admitted);
    cr_assert_eq(taken.predictedTime, decision.predictedTime);
    cr_assert_eq(taken.timeLimit, decision.timeLimit);
    cr_assert_not(taken.keepsCommitments);
    cr_assert_eq(taken.retryAfter, decision.retryAfter);
    cr_assert_eq(taken.piecesAhead, decision.piecesAhead);
}
