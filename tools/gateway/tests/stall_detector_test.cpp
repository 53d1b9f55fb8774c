#include "stall_detector.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway;

namespace
{

constexpr Duration interval = 200ms;
constexpr Duration tolerance = 300ms;

struct StallCase {
    char name[30];
    int elapsedMs; ///< between two updates
    int latenessMs; ///< -1: no stall
};

StallCase stallCases[] = {
    { "on time", 200, -1 },
    { "early", 150, -1 },
    { "slightly late", 499, -1 },
    { "at the tolerance", 500, -1 },
    { "over the tolerance", 501, 301 },
    { "frozen for seconds", 5'000, 4'800 },
};

} // namespace

ParameterizedTestParameters(stallDetector, reportsLateUpdates)
{
    return cr_make_param_array(StallCase, stallCases, std::size(stallCases));
}

ParameterizedTest(StallCase *test, stallDetector, reportsLateUpdates)
{
    StallDetector detector(interval, tolerance);
    Duration now = 7s;
    cr_assert_not(detector.update(now).has_value(), "the first update");
    now += std::chrono::milliseconds(test->elapsedMs);
    const auto lateness = detector.update(now);
    cr_assert_eq(lateness ? toMilliseconds(*lateness) : -1, test->latenessMs, "%s", test->name);
    cr_assert_not(detector.update(now + interval).has_value(), "%s: reported once", test->name);
}
