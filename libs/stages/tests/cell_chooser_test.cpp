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
const CellId own("a");

std::vector<ServiceLoad> waits(Duration wait)
{
    return { { ServiceId("x"), wait, 100ms }, { ServiceId("y"), wait, 100ms } };
}

std::vector<StageDemand> steps()
{
    return { { ServiceId("x"), 1, start, {} }, { ServiceId("y"), 1, start, { 0 } } };
}

struct ChooseCase {
    int ownMs;
    int otherMs;
    bool other;
};

ChooseCase chooseCases[] = { { 0, 0, false }, { 300, 200, false }, { 600, 200, true }, { 200, 600, false } };

} // namespace

ParameterizedTestParameters(cellChooser, goesWhereItIsMuchSooner)
{
    return cr_make_param_array(ChooseCase, chooseCases, std::size(chooseCases));
}

ParameterizedTest(ChooseCase *test, cellChooser, goesWhereItIsMuchSooner)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(own, waits(std::chrono::milliseconds(test->ownMs)), start);
    chooser.updateLoads(CellId("b"), waits(std::chrono::milliseconds(test->otherMs)), start);
    cr_assert_eq(chooser.choose(own, steps(), start, random) != own, test->other);
}

Test(cellChooser, aStageTakesItsTurnBehindTheQueueOrBehindTheStageBefore)
{
    CellChooser chooser;
    chooser.updateLoads(own, { { ServiceId("x"), 200ms, 100ms }, { ServiceId("y"), 250ms, 100ms } }, start);
    cr_assert_eq(chooser.estimateTime(own, steps(), start).value(), Duration(400ms));
    chooser.updateLoads(own, { { ServiceId("x"), 200ms, 100ms }, { ServiceId("y"), 500ms, 100ms } }, start);
    cr_assert_eq(chooser.estimateTime(own, steps(), start).value(), Duration(600ms));
}

Test(cellChooser, cellsThatCantMakeAPieceAreNotChosen)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(own, waits(2s), start);
    chooser.updateLoads(CellId("b"), { { ServiceId("x"), 0ms, 100ms } }, start);
    cr_assert_eq(chooser.choose(own, steps(), start, random), own);
    chooser.updateLoads(own, { { ServiceId("x"), 0ms, 100ms } }, start);
    chooser.updateLoads(CellId("b"), waits(2s), start);
    cr_assert_eq(chooser.choose(own, steps(), start, random), CellId("b"));
}

Test(cellChooser, oldReportsCountNoMore)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(own, waits(2s), start);
    chooser.updateLoads(CellId("b"), waits(0s), start - 2s);
    cr_assert_eq(chooser.choose(own, steps(), start, random), own);
    cr_assert_not(chooser.estimateTime(CellId("b"), steps(), start).has_value());
    cr_assert_eq(chooser.choose(CellId("c"), steps(), start + 5s, random), CellId("c"));
}

Test(cellChooser, manyRequestsSpreadOverTheFreeCells)
{
    CellChooser chooser;
    Random random(1);
    chooser.updateLoads(own, waits(2s), start);
    std::set<CellId> chosen;
    for (const char *cell : { "b", "c", "d" }) {
        chooser.updateLoads(CellId(cell), waits(0s), start);
    }
    for (int index = 0; index < 50; ++index) {
        chosen.insert(chooser.choose(own, steps(), start, random));
    }
    cr_assert_eq(chosen.size(), 3U);
}
