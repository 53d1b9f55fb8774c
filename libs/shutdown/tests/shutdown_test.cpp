#include <shutdown/shutdown.h>

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::shutdown;

namespace
{

constexpr Time start { 100s };
const routing::RouteId route { "chat" };

struct CanCompleteCase {
    char name[50];
    int graceMs;
    int estimateMs;
    int deadlineMs; ///< from now
    int elapsedMs; ///< since the stop was requested
    bool expected;
};

CanCompleteCase canCompleteCases[] = {
    { "short request early", 8'000, 1'000, 20'000, 0, true },
    { "short request late", 8'000, 1'000, 20'000, 7'000, false },
    { "long request early", 8'000, 5'000, 20'000, 0, true },
    { "long request after three seconds", 8'000, 5'000, 20'000, 3'000, false },
    { "request longer than the grace period", 8'000, 10'000, 20'000, 0, false },
    { "estimate above a deadline in time", 8'000, 9'000, 1'500, 5'000, true },
    { "estimate above a deadline just too late", 8'000, 9'000, 1'501, 6'000, false },
    { "short grace period", 1'000, 500, 20'000, 0, true },
    { "short grace period, long request", 1'000, 1'000, 20'000, 0, false },
    { "after the last answers", 8'000, 10, 20'000, 7'600, false },
};

} // namespace

ParameterizedTestParameters(stopSchedule, acceptsWhatCompletesBeforeTheStop)
{
    return cr_make_param_array(CanCompleteCase, canCompleteCases, std::size(canCompleteCases));
}

ParameterizedTest(CanCompleteCase *test, stopSchedule, acceptsWhatCompletesBeforeTheStop)
{
    const StopSchedule schedule(start, std::chrono::milliseconds(test->graceMs));
    const Time now = start + std::chrono::milliseconds(test->elapsedMs);
    const auto estimate = std::chrono::milliseconds(test->estimateMs);
    const Time deadline = now + std::chrono::milliseconds(test->deadlineMs);
    cr_assert_eq(schedule.canComplete(estimate, deadline, now), test->expected, "%s", test->name);
}

Test(stopSchedule, defaultEstimateGrowsWithTargetAndOutput)
{
    cr_assert_eq(defaultEstimate(300ms, 0), Duration(150ms));
    cr_assert_eq(defaultEstimate(1s, 100), Duration(2500ms));
    cr_assert_gt(defaultEstimate(1s, UINT32_MAX), Duration(24h));
}

Test(stopSchedule, answersThenEndWithinTheGracePeriod)
{
    for (const Duration grace : { Duration(1s), Duration(2s), Duration(8s), Duration(60s) }) {
        const StopSchedule schedule(start, grace);
        cr_assert(start < schedule.answersDueAt());
        cr_assert(schedule.answersDueAt() < schedule.endsAt());
        cr_assert(schedule.endsAt() < start + grace);
    }
}

Test(completionTimes, unknownUntilARequestOfThatSizeCompletes)
{
    CompletionTimes times;
    cr_assert_not(times.estimate(route, 100, start).has_value());
    times.record(route, 100, 2s, start);
    cr_assert_eq(*times.estimate(route, 100, start), Duration(2s));
    cr_assert_eq(*times.estimate(route, 10, start), Duration(2s), "no smaller request is known");
    cr_assert_not(times.estimate(route, 1'000, start).has_value(), "larger requests may take longer");
    cr_assert_not(times.estimate(routing::RouteId("other"), 100, start).has_value());
}

Test(completionTimes, longestRecentTimeOfThatSizeOrSmaller)
{
    CompletionTimes times;
    times.record(route, 100, 2s, start);
    times.record(route, 100, 1s, start);
    times.record(route, 1'000, 6s, start);
    times.record(route, 8, 3s, start);
    cr_assert_eq(*times.estimate(route, 100, start), Duration(3s));
    cr_assert_eq(*times.estimate(route, 1'000, start), Duration(6s));
    cr_assert_eq(*times.estimate(route, 8, start), Duration(3s));
    cr_assert_eq(*times.estimate(route, 0, start), Duration(3s));
}

Test(completionTimes, forgetsAfterAMinute)
{
    CompletionTimes times;
    times.record(route, 100, 9s, start);
    times.record(route, 100, 2s, start + 31s);
    cr_assert_eq(*times.estimate(route, 100, start + 32s), Duration(9s));
    times.record(route, 100, 1s, start + 62s);
    cr_assert_eq(*times.estimate(route, 100, start + 63s), Duration(2s));
    cr_assert_not(times.estimate(route, 100, start + 130s).has_value());
    times.expire(start + 130s);
    cr_assert_not(times.estimate(route, 100, start + 70s).has_value());
}

/** Requests that were sent in the last seconds of a planned stop were passed on and cut (issue 44, review/3). */
Test(completionTimes, aStopUnderLoadCutsNothingThatItAccepted)
{
    constexpr int stops = 200;
    constexpr std::uint32_t maxTokens = 320;
    Random random(44);
    int accepted = 0;
    int completable = 0;
    for (int stop = 0; stop < stops; ++stop) {
        CompletionTimes times;
        const auto duration = [&random](std::uint32_t tokens) {
            return fromSeconds(0.3 + double(tokens) * 0.02 * (0.5 + 0.5 * random.unit()));
        };
        const auto tokens = [&random] { return static_cast<std::uint32_t>(20 + random.below(maxTokens - 20)); };
        for (int request = 0; request < 300; ++request) {
            const auto size = tokens();
            times.record(route, size, duration(size), start);
        }
        times.record(route, maxTokens, duration(maxTokens), start);
        const StopSchedule schedule(start, 8s);
        for (Time now = start; now < schedule.endsAt(); now += 100ms) {
            const auto size = tokens();
            const Time completedAt = now + duration(size);
            const bool isAccepted = schedule.canComplete(*times.estimate(route, size, now), now + 20s, now);
            const bool isCompletable = completedAt <= schedule.answersDueAt();
            cr_assert(!isAccepted || isCompletable, "stop %d: cut %zu ms after its start", stop, std::size_t(size));
            accepted += isAccepted ? 1 : 0;
            completable += isCompletable ? 1 : 0;
        }
    }
    cr_assert_gt(accepted, completable / 2, "%d of %d", accepted, completable);
}
