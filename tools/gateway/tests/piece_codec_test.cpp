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
        stages::PieceOrder order;
        order.request = stages::RequestId("r");
        order.service = routing::ServiceId(stage == 0 ? "x" : "y");
        order.index = { stage, 3 };
        order.inputs = { stages::ResultHandle("h") };
        order.due = now + 500ms;
        order.limit = now + 900ms;
        order.resultBytes = Bytes(7);
        batch.pieces.push_back(order);
    }
    stages::PathRequest path;
    path.id = stages::RequestId("r");
    path.receivedAt = now - 30ms;
    path.target = 1s;
    path.afterStages = 120ms;
    path.rank = 2;
    path.relativeWorth = 1.5;
    path.isReturning = true;
    path.steps = { { routing::ServiceId("x"), 1, now + 500ms, {} },
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
    cr_assert_eq(piece.due, sent.pieces[1].due + ahead);
    cr_assert_eq(piece.limit, sent.pieces[1].limit + ahead);
    const auto &path = taken.path.value();
    cr_assert_eq(path.receivedAt, sent.path->receivedAt + ahead);
    cr_assert_eq(path.target, sent.path->target);
    cr_assert_eq(path.rank, 2);
    cr_assert(path.isReturning);
    cr_assert_eq(path.steps[1].service, routing::ServiceId("z"));
    cr_assert_eq(path.steps[1].pieces, 4U);
    cr_assert_eq(path.steps[1].after.at(0), 0U);
}

Test(pieceCodec, refusalsKeepTheirReason)
{
    stages::PathDecision decision;
    decision.admitted = false;
    decision.predicted = 700ms;
    decision.limit = 600ms;
    decision.keepsOthers = false;
    decision.comeBackAfter = 250ms;
    decision.ahead = 12;
    const auto taken = toDecision(toMessage(decision));
    cr_assert_not(taken.admitted);
    cr_assert_eq(taken.predicted, decision.predicted);
    cr_assert_eq(taken.limit, decision.limit);
    cr_assert_not(taken.keepsOthers);
    cr_assert_eq(taken.comeBackAfter, decision.comeBackAfter);
    cr_assert_eq(taken.ahead, decision.ahead);
}
