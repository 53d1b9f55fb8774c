#include "prompt_part_crashes.h"

using namespace lacewing;
using namespace lacewing::dispatch;

namespace
{

/** Requests that were in flight at a crash, with prompts of many parts that no other request has. */
std::vector<LostRequest> longPrompts(std::size_t requests, std::size_t parts, std::uint64_t firstPartId, Time lostAt)
{
    std::vector<LostRequest> lost;
    for (std::size_t request = 0; request < requests; ++request) {
        std::vector<PromptPartId> ids;
        for (std::size_t part = 0; part < parts; ++part) {
            ids.emplace_back(firstPartId + request * parts + part);
        }
        lost.push_back(lostRequest(std::move(ids), lostAt, 50ms));
    }
    return lost;
}

struct LongPromptsCase {
    char name[40];
    std::size_t requests;
    std::size_t parts;
};

LongPromptsCase longPromptsCases[] = {
    { "eleven prompts of 400 parts", 11, 400 },
    { "45 prompts of 400 parts", 45, 400 },
    { "four prompts of 1,200 parts", 4, 1'200 },
    { "one prompt of 4,098 parts", 1, 4'098 },
};

} // namespace

ParameterizedTestParameters(promptPartTracker, crashWithManyPartsReturnsOnlyThoseThatAreKnown)
{
    return cr_make_param_array(LongPromptsCase, longPromptsCases, std::size(longPromptsCases));
}

/** Parts that had been displaced within the same crash were returned, and looked up by the caller (review/6, LOST). */
ParameterizedTest(LongPromptsCase *test, promptPartTracker, crashWithManyPartsReturnsOnlyThoseThatAreKnown)
{
    PromptPartTracker tracker;
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
        const Time now = start + 1s * crash;
        const auto lost = longPrompts(test->requests, test->parts, crash * 1'000'000, now);
        const auto parts = tracker.recordCrash(lifetime(crash), lost, now);
        cr_assert_not(parts.empty(), "%s", test->name);
        for (const auto part : parts) {
            cr_assert_not_null(tracker.find(part), "%s: a part is returned and not known", test->name);
        }
        cr_assert_leq(tracker.size(), 4096U, "%s: %zu", test->name, tracker.size());
        tracker.update(now);
    }
}

/** Crashes with many parts in flight displaced a part with earlier crashes, so it was never quarantined (review/6). */
ParameterizedTestParameters(promptPartTracker, crashWithManyPartsKeepsWhatOthersHaveShown)
{
    return cr_make_param_array(LongPromptsCase, longPromptsCases, std::size(longPromptsCases));
}

ParameterizedTest(LongPromptsCase *test, promptPartTracker, crashWithManyPartsKeepsWhatOthersHaveShown)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { firstPart, poisonPart }, 2, start);
    for (std::uint64_t crash = 1; crash <= 10; ++crash) {
        const Time now = start + 1s * crash;
        tracker.recordCrash(
            lifetime(100 + crash), longPrompts(test->requests, test->parts, crash * 1'000'000, now), now);
        tracker.update(now);
    }
    recordCrashes(tracker, { firstPart, poisonPart }, 1, start + 11s, 10);
    cr_assert(isQuarantined(tracker, poisonPart), "%s", test->name);
}

Test(promptPartTracker, partInTheMiddleOfLongPromptsIsQuarantined)
{
    constexpr std::size_t parts = 400;
    PromptPartTracker tracker;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        const Time now = start + 1s * crash;
        auto lost = longPrompts(2, parts, crash * 1'000'000, now);
        lost.front().sharedParts[parts / 2] = poisonPart;
        const auto changed = tracker.recordCrash(lifetime(crash), lost, now);
        cr_assert(crash == 1 || changed.front() == poisonPart, "the part with most crashes is told first");
        tracker.update(now);
    }
    cr_assert(isQuarantined(tracker, poisonPart));
}
