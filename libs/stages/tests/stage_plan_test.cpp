#include <stages/stages.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

using routing::RouteStage;
using routing::ServiceId;

RouteStage stage(const char *service, std::vector<std::uint32_t> after = {})
{
    return { ServiceId(service), std::move(after), Bytes(10) };
}

/** Two independent chains: stage 0 alone, and stages 1 -> 2 -> 3. */
std::vector<RouteStage> twoChains()
{
    return { stage("a"), stage("a"), stage("b", { 1 }), stage("c", { 2 }) };
}

ResultHandle handleOf(PieceIndex index)
{
    return ResultHandle(std::to_string(index.stage) + "." + std::to_string(index.piece));
}

void completeAll(StagePlan &plan, const std::vector<ReadyPiece> &pieces)
{
    for (const auto &piece : pieces) {
        cr_assert(plan.markCompleted(piece.index, handleOf(piece.index)));
    }
}

std::vector<std::string> texts(const std::vector<ResultHandle> &handles)
{
    std::vector<std::string> result;
    for (const auto &handle : handles) {
        result.push_back(handle.text());
    }
    return result;
}

using Texts = std::vector<std::string>;

} // namespace

Test(stagePlan, dispatchesPiecesOnceTheirInputsAreAvailable)
{
    StagePlan plan(twoChains(), { 2, 1, 2, 1 });
    const auto first = plan.takeReady();
    cr_assert_eq(first.size(), 3U);
    cr_assert(plan.takeReady().empty());
    completeAll(plan, first);
    const auto second = plan.takeReady();
    cr_assert_eq(second.size(), 2U);
    cr_assert(texts(second[0].inputs) == Texts { "1.0" });
    completeAll(plan, second);
    const auto third = plan.takeReady();
    cr_assert_eq(third.size(), 1U);
    cr_assert(texts(third[0].inputs) == (Texts { "2.0", "2.1" }));
    completeAll(plan, third);
    cr_assert(plan.isComplete());
    cr_assert(texts(plan.finalResults()) == (Texts { "0.0", "0.1", "3.0" }));
}

Test(stagePlan, skipsStagesWithoutPieces)
{
    StagePlan plan(twoChains(), { 0, 1, 1, 1 });
    for (int round = 0; round < 3; ++round) {
        completeAll(plan, plan.takeReady());
    }
    cr_assert(plan.isComplete());
    cr_assert(texts(plan.finalResults()) == Texts { "3.0" });
}

Test(stagePlan, releasesResultsThatAreNoLongerNeeded)
{
    StagePlan plan(twoChains(), { 1, 1, 2, 1 });
    completeAll(plan, plan.takeReady());
    cr_assert(plan.takeReleasable().empty());
    const auto second = plan.takeReady();
    cr_assert(plan.markCompleted(second[0].index, handleOf(second[0].index)));
    cr_assert(plan.takeReleasable().empty(), "a piece still needs the result");
    cr_assert(plan.markCompleted(second[1].index, handleOf(second[1].index)));
    cr_assert(texts(plan.takeReleasable()) == Texts { "1.0" });
    cr_assert(plan.takeReleasable().empty());
    completeAll(plan, plan.takeReady());
    cr_assert(texts(plan.takeReleasable()) == (Texts { "2.0", "2.1" }));
    cr_assert(texts(plan.takeAllResults()) == (Texts { "0.0", "3.0" }));
}

Test(stagePlan, failedPieceIsDispatchedAgain)
{
    StagePlan plan({ stage("a") }, { 2 });
    const auto ready = plan.takeReady();
    plan.markFailed(ready[1].index);
    const auto again = plan.takeReady();
    cr_assert_eq(again.size(), 1U);
    cr_assert(again[0].index == ready[1].index);
}

Test(stagePlan, unexpectedResultIsIgnored)
{
    StagePlan plan({ stage("a") }, { 1 });
    cr_assert_not(plan.markCompleted({ 0, 0 }, ResultHandle("x")));
    cr_assert_not(plan.markCompleted({ 0, 1 }, ResultHandle("x")));
    cr_assert_not(plan.markCompleted({ 1, 0 }, ResultHandle("x")));
    plan.takeReady();
    cr_assert(plan.markCompleted({ 0, 0 }, ResultHandle("x")));
    cr_assert_not(plan.markCompleted({ 0, 0 }, ResultHandle("y")), "a second result for the same piece");
}

Test(stagePlan, lostInputsAreProcessedAgain)
{
    StagePlan plan({ stage("a"), stage("b", { 0 }) }, { 1, 2 });
    completeAll(plan, plan.takeReady());
    const auto second = plan.takeReady();
    plan.markInputsLost(second[0].index);
    auto again = plan.takeReady();
    cr_assert_eq(again.size(), 1U);
    cr_assert_eq(again[0].index.stage, 0U);
    completeAll(plan, again);
    again = plan.takeReady();
    cr_assert_eq(again.size(), 1U, "the other piece is still in progress");
    cr_assert(again[0].index == second[0].index);
}

Test(stagePlan, lostFinalResultsRestartTheirDependencies)
{
    StagePlan plan(twoChains(), { 0, 1, 1, 1 });
    for (int round = 0; round < 3; ++round) {
        completeAll(plan, plan.takeReady());
        plan.takeReleasable();
    }
    plan.markFinalResultsLost();
    cr_assert_not(plan.isComplete());
    const auto again = plan.takeReady();
    cr_assert_eq(again.size(), 1U);
    cr_assert_eq(again[0].index.stage, 1U, "the chain restarts because its results were released");
    completeAll(plan, again);
    completeAll(plan, plan.takeReady());
    completeAll(plan, plan.takeReady());
    cr_assert(plan.isComplete());
}

Test(stagePlan, reportsDepth)
{
    StagePlan plan(twoChains(), { 1, 1, 1, 1 });
    cr_assert_eq(plan.remainingDepth(), 3U);
    cr_assert_eq(plan.depthAfter(0), 0U);
    cr_assert_eq(plan.depthAfter(1), 2U);
    completeAll(plan, plan.takeReady());
    cr_assert_eq(plan.remainingDepth(), 2U);
}

/** After any failures, the plan completes and each handle is released exactly once. */
Test(stagePlan, completesAfterRandomFailures)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        StagePlan plan(twoChains(),
                       { std::uint32_t(random.below(3)),
                         1,
                         std::uint32_t(1 + random.below(3)),
                         std::uint32_t(1 + random.below(3)) });
        std::vector<ReadyPiece> inProgress;
        std::map<std::string, int> released;
        std::uint64_t completed = 0;
        const auto count = [&](const std::vector<ResultHandle> &handles) {
            for (const auto &handle : handles) {
                ++released[handle.text()];
            }
        };
        int failures = 0;
        for (int step = 0; step < 500 && !plan.isComplete(); ++step) {
            const auto ready = plan.takeReady();
            inProgress.insert(inProgress.end(), ready.begin(), ready.end());
            cr_assert_not(inProgress.empty(), "stuck with seed %lu", static_cast<unsigned long>(seed));
            const auto at = std::ptrdiff_t(random.below(inProgress.size()));
            const auto piece = inProgress[std::size_t(at)];
            inProgress.erase(inProgress.begin() + at);
            if (failures < 8 && random.chance(0.3)) {
                ++failures;
                if (random.chance(0.5)) {
                    plan.markFailed(piece.index);
                } else {
                    plan.markInputsLost(piece.index);
                }
                continue;
            }
            cr_assert(plan.markCompleted(piece.index, ResultHandle("h" + std::to_string(++completed))));
            count(plan.takeReleasable());
        }
        cr_assert(plan.isComplete(), "not complete with seed %lu", static_cast<unsigned long>(seed));
        count(plan.takeAllResults());
        for (const auto &[handle, times] : released) {
            cr_assert_eq(times,
                         1,
                         "%s released %d times with seed %lu",
                         handle.c_str(),
                         times,
                         static_cast<unsigned long>(seed));
        }
    }
}
