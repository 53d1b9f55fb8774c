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
        stages::PieceTask task;
        task.request = stages::RequestId("r");
        task.service = routing::ServiceId(stage == 0 ? "x" : "y");
        task.index = { stage, 3 };
        task.inputs = { stages::ResultHandle("h") };
        task.dueTime = now + 500ms;
        task.deadline = now + 900ms;
        task.resultBytes = Bytes(7);
        batch.pieces.push_back(task);
    }
    stages::AdmissionRequest admission;
    admission.id = stages::RequestId("r");
    admission.receivedAt = now - 30ms;
    admission.targetLatency = 1s;
    admission.timeAfterStages = 120ms;
    admission.urgencyRank = 2;
    admission.relativeValue = 1.5;
    admission.isRetry = true;
    admission.demands = { { routing::ServiceId("x"), 1, now + 500ms, {} },
                          { routing::ServiceId("z"), 4, now + 700ms, { 0 } } };
    batch.admission = admission;
    return batch;
}

enum class Damage { None, NoPieces, PieceService, StepService, StepOrder };

struct DamageCase {
    Damage damage;
    bool isDecoded;
};

DamageCase damageCases[] = {
    { Damage::None, true },         { Damage::NoPieces, false },  { Damage::PieceService, false },
    { Damage::StepService, false }, { Damage::StepOrder, false },
};

} // namespace

ParameterizedTestParameters(pieceCodec, rejectsMalformedBatches)
{
    return cr_make_param_array(DamageCase, damageCases, std::size(damageCases));
}

ParameterizedTest(DamageCase *test, pieceCodec, rejectsMalformedBatches)
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
        request.admission->demands[1].service = 99;
        break;
    case Damage::StepOrder:
        request.admission->demands[0].dependencies = { 1 };
        break;
    }
    cr_assert_eq(toBatch(request, now).has_value(), test->isDecoded);
}

Test(pieceCodec, requestRoundTripKeepsPiecesAndAdmission)
{
    const PieceBatch batch = sampleBatch();
    // The clock of the receiving VM differs by 50 s.
    const Duration clockOffset = 50s;
    const auto decoded = toBatch(toRequest(batch, { 1 }, now), now + clockOffset).value();
    cr_assert_eq(decoded.cell, batch.cell);
    cr_assert_eq(decoded.pieces.size(), 1U);
    const auto &piece = decoded.pieces[0];
    cr_assert_eq(piece.request, batch.pieces[1].request);
    cr_assert_eq(piece.service, routing::ServiceId("y"));
    cr_assert(piece.index == batch.pieces[1].index);
    cr_assert_eq(piece.inputs.size(), 1U);
    cr_assert_eq(piece.dueTime, batch.pieces[1].dueTime + clockOffset);
    cr_assert_eq(piece.deadline, batch.pieces[1].deadline + clockOffset);
    const auto &admission = decoded.admission.value();
    cr_assert_eq(admission.receivedAt, batch.admission->receivedAt + clockOffset);
    cr_assert_eq(admission.targetLatency, batch.admission->targetLatency);
    cr_assert_eq(admission.urgencyRank, 2);
    cr_assert(admission.isRetry);
    cr_assert_eq(admission.demands[1].service, routing::ServiceId("z"));
    cr_assert_eq(admission.demands[1].pieceCount, 4U);
    cr_assert_eq(admission.demands[1].dependencies.at(0), 0U);
}

Test(pieceCodec, rejectionRoundTripKeepsDetails)
{
    stages::AdmissionDecision decision;
    decision.admitted = false;
    decision.predictedTime = 700ms;
    decision.timeLimit = 600ms;
    decision.keepsCommitments = false;
    decision.retryAfter = 250ms;
    decision.piecesAhead = 12;
    const auto decoded = toDecision(toMessage(decision));
    cr_assert_not(decoded.admitted);
    cr_assert_eq(decoded.predictedTime, decision.predictedTime);
    cr_assert_eq(decoded.timeLimit, decision.timeLimit);
    cr_assert_not(decoded.keepsCommitments);
    cr_assert_eq(decoded.retryAfter, decision.retryAfter);
    cr_assert_eq(decoded.piecesAhead, decision.piecesAhead);
}

struct HandleCase {
    char name[30];
    char handle[12];
    bool isResult;
};

HandleCase handleCases[] = {
    { "handle", "e1/5c1e", true },
    { "none", "", false },
    { "Latin-1", "caf\xe9", false },
    { "cut within a character", "caf\xc3", false },
};

/** A handle that no call for pieces can carry ended the call for the pieces of other requests too (issue 45, 1). */
ParameterizedTestParameters(pieceCodec, takesOnlyHandlesThatCanBePassedOn)
{
    return cr_make_param_array(HandleCase, handleCases, std::size(handleCases));
}

ParameterizedTest(HandleCase *test, pieceCodec, takesOnlyHandlesThatCanBePassedOn)
{
    const auto outcome = toOutcome({ 0, test->handle, "e1", userplatform::PieceFailure::Failed });
    cr_assert_eq(outcome.result.has_value(), test->isResult, "%s", test->name);
}
