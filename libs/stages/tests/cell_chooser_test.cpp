#include <stages/stages.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <set>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

using routing::ServiceId;

constexpr Time start { 100s };
const CellId localCell("a");

std::vector<ServiceLoad> loads(Duration queueTime)
{
    return { { ServiceId("x"), queueTime, 100ms }, { ServiceId("y"), queueTime, 100ms } };
}

std::vector<StageDemand> demands()
{
    return { { ServiceId("x"), 1, start, {} }, { ServiceId("y"), 1, start, { 0 } } };
}

struct ChooseCase {
    int localQueueMs;
    int otherQueueMs;
    bool choosesOther;
};

ChooseCase chooseCases[] = { { 0, 0, false }, { 300, 200, false }, { 600, 200, true }, { 200, 600, false } };

} // namespace

ParameterizedTestParameters(cellChooser, choosesOtherCellOnlyIfMuchSooner)
{
    return cr_make_param_array(ChooseCase, chooseCases, std::size(chooseCases));
}

ParameterizedTest(ChooseCase *test, cellChooser, choosesOtherCellOnlyIfMuchSooner)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(localCell, loads(std::chrono::milliseconds(test->localQueueMs)), start);
    chooser.updateLoads(CellId("b"), loads(std::chrono::milliseconds(test->otherQueueMs)), start);
    cr_assert_eq(chooser.choose(localCell, demands(), start, random) != localCell, test->choosesOther);
}

Test(cellChooser, stageStartsAfterItsQueueAndItsDependencies)
{
    CellChooser chooser;
    chooser.updateLoads(localCell, { { ServiceId("x"), 200ms, 100ms }, { ServiceId("y"), 250ms, 100ms } }, start);
    cr_assert_eq(chooser.estimateTime(localCell, demands(), start).value(), Duration(400ms));
    chooser.updateLoads(localCell, { { ServiceId("x"), 200ms, 100ms }, { ServiceId("y"), 500ms, 100ms } }, start);
    cr_assert_eq(chooser.estimateTime(localCell, demands(), start).value(), Duration(600ms));
}

Test(cellChooser, cellsWithoutARequiredServiceAreNotChosen)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(localCell, loads(2s), start);
    chooser.updateLoads(CellId("b"), { { ServiceId("x"), 0ms, 100ms } }, start);
    cr_assert_eq(chooser.choose(localCell, demands(), start, random), localCell);
    chooser.updateLoads(localCell, { { ServiceId("x"), 0ms, 100ms } }, start);
    chooser.updateLoads(CellId("b"), loads(2s), start);
    cr_assert_eq(chooser.choose(localCell, demands(), start, random), CellId("b"));
}

Test(cellChooser, outdatedReportsAreIgnored)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(localCell, loads(2s), start);
    chooser.updateLoads(CellId("b"), loads(0s), start - 2s);
    cr_assert_eq(chooser.choose(localCell, demands(), start, random), localCell);
    cr_assert_not(chooser.estimateTime(CellId("b"), demands(), start).has_value());
    cr_assert_eq(chooser.choose(CellId("c"), demands(), start + 5s, random), CellId("c"));
}

Test(cellChooser, requestsSpreadOverIdleCells)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(localCell, loads(2s), start);
    std::set<CellId> chosen;
    for (const char *cell : { "b", "c", "d" }) {
        chooser.updateLoads(CellId(cell), loads(0s), start);
    }
    for (int index = 0; index < 50; ++index) {
        chosen.insert(chooser.choose(localCell, demands(), start, random));
    }
    cr_assert_eq(chosen.size(), 3U);
}
