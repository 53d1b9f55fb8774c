#include <stages/stages.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

using routing::ServiceId;

constexpr Time start { 100s };

/** A chain of two stages beside a single one. */
StagePlan samplePlan(std::uint32_t single = 1)
{
    return StagePlan(
        { { ServiceId("x"), {}, Bytes(1) }, { ServiceId("x"), {}, Bytes(1) }, { ServiceId("y"), { 1 }, Bytes(1) } },
        { single, 1, 1 });
}

PathAdmission reported(Duration x, Duration y)
{
    PathAdmission admission;
    admission.reported(ServiceId("x"), x, start);
    admission.reported(ServiceId("y"), y, start);
    return admission;
}

struct DecideCase {
    int xMs;
    int yMs;
    int rank;
    double worth;
    bool admitted;
};

// The target is 1000 ms, 200 ms of which are kept for what follows the stages.
DecideCase decideCases[] = {
    { 300, 250, 0, 1.0, true },  { 300, 250, 2, 1.0, true },  { 350, 290, 1, 1.0, true },  { 350, 290, 2, 1.0, false },
    { 350, 360, 0, 1.0, true },  { 350, 360, 1, 1.0, false }, { 350, 360, 1, 4.0, true },  { 350, 290, 1, 0.25, false },
    { 600, 600, 0, 1.0, false }, { 600, 600, 0, 4.0, false }, { 350, 290, 9, 1.0, false },
};

} // namespace

ParameterizedTestParameters(pathAdmission, refusesTheLeastUrgentAndWorthyFirst)
{
    return cr_make_param_array(DecideCase, decideCases, std::size(decideCases));
}

ParameterizedTest(DecideCase *test, pathAdmission, refusesTheLeastUrgentAndWorthyFirst)
{
    const auto admission = reported(std::chrono::milliseconds(test->xMs), std::chrono::milliseconds(test->yMs));
    const auto decision = admission.decide(samplePlan(), { 0ms, 1000ms, 200ms, test->rank, test->worth }, start);
    cr_assert_eq(decision.admitted,
                 test->admitted,
                 "%d+%d ms, rank %d, worth %f",
                 test->xMs,
                 test->yMs,
                 test->rank,
                 test->worth);
    cr_assert_eq(decision.admitted, decision.comeBackAfter == Duration::zero());
}

Test(pathAdmission, countsChainsNotSums)
{
    const auto admission = reported(300ms, 320ms);
    const auto decision = admission.decide(samplePlan(), { 0ms, 1000ms, 200ms, 1, 1 }, start);
    cr_assert_eq(decision.predicted, Duration(620ms));
    cr_assert(decision.admitted);
    cr_assert_not(admission.decide(samplePlan(), { 200ms, 1000ms, 200ms, 1, 1 }, start).admitted);
}

Test(pathAdmission, callersThatComeBackGoBeforeNewOnes)
{
    const auto admission = reported(300ms, 370ms);
    cr_assert_not(admission.decide(samplePlan(), { 0ms, 1000ms, 200ms, 1, 1, false }, start).admitted);
    cr_assert(admission.decide(samplePlan(), { 0ms, 1000ms, 200ms, 1, 1, true }, start).admitted);
}

Test(pathAdmission, oldReportsCountNoMore)
{
    const auto admission = reported(5s, 5s);
    cr_assert_not(admission.decide(samplePlan(), { 0ms, 1000ms, 200ms, 0, 1 }, start).admitted);
    cr_assert(admission.decide(samplePlan(), { 0ms, 1000ms, 200ms, 0, 1 }, start + 2s).admitted);
    cr_assert_not(admission.expected(ServiceId("x"), start + 2s).has_value());
}

Test(pathAdmission, longerQueuesMeanALaterReturn)
{
    const auto near = reported(1s, 1s).decide(samplePlan(), { 0ms, 1000ms, 200ms, 1, 1 }, start);
    const auto far = reported(3s, 3s).decide(samplePlan(), { 0ms, 1000ms, 200ms, 1, 1 }, start);
    cr_assert_lt(near.comeBackAfter, far.comeBackAfter);
    cr_assert_geq(near.comeBackAfter, Duration(250ms));
}
