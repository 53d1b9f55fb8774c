#include "prompt_part_crashes.h"

using namespace lacewing;
using namespace lacewing::dispatch;

Test(promptPartTracker, partOfThreeCrashesIsQuarantinedAndNotThePartsBeforeIt)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { firstPart, poisonPart }, 2, start);
    cr_assert_not(isQuarantined(tracker, poisonPart));
    recordCrashes(tracker, { firstPart, poisonPart }, 1, start + 1s, 10);
    cr_assert(isQuarantined(tracker, poisonPart));
    cr_assert_not(isQuarantined(tracker, firstPart));
}

Test(promptPartTracker, crashWithoutTheQuarantinedPartShowsThatItWasNotTheCause)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { firstPart, soundPart }, 3, start);
    cr_assert(isQuarantined(tracker, soundPart), "among equals it is the later part");
    recordCrashes(tracker, { firstPart, otherPoisonPart }, 1, start + 1s, 10);
    cr_assert(isQuarantined(tracker, firstPart));
    cr_assert_not(isQuarantined(tracker, soundPart));
}

Test(promptPartTracker, partsOfARequestThatCrashesEndpointsByItselfAreNotSuspect)
{
    PromptPartTracker tracker;
    std::vector<routing::EndpointLifetime> crashes;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        crashes.push_back(lifetime(crash));
    }
    tracker.recordRequestCrashes(crashes, start);
    recordCrashes(tracker, { firstPart, soundPart }, 3, start);
    cr_assert_not(isQuarantined(tracker, soundPart));
    cr_assert_not(isQuarantined(tracker, firstPart));
    recordCrashes(tracker, { firstPart, soundPart }, 1, start + 1s, 10);
    cr_assert(isQuarantined(tracker, soundPart), "another request with the part has crashed an endpoint");
}

struct RefutationCase {
    char name[56];
    int answerBeganMs; ///< relative to the third crash
    int crashOfItsEndpointMs; ///< after the end of the answer; 0: it lives on
    bool isRefuted;
};

RefutationCase refutationCases[] = {
    { "answer that began after the crashes", 50, 0, true },
    { "answer that began before the crashes", -300, 0, false },
    { "its endpoint crashes a moment after it", 50, 100, false },
};

ParameterizedTestParameters(promptPartTracker, answerRefutesEarlierCrashesIfItsEndpointLivesOn)
{
    return cr_make_param_array(RefutationCase, refutationCases, std::size(refutationCases));
}

ParameterizedTest(RefutationCase *test, promptPartTracker, answerRefutesEarlierCrashesIfItsEndpointLivesOn)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { poisonPart }, 3, start);
    const Time thirdCrash = start + 200ms;
    const Time endsAt = thirdCrash + 100ms;
    tracker.recordAnswer(
        lifetime(50), { poisonPart }, thirdCrash + std::chrono::milliseconds(test->answerBeganMs), endsAt);
    if (test->crashOfItsEndpointMs > 0) {
        const Time crashAt = endsAt + std::chrono::milliseconds(test->crashOfItsEndpointMs);
        tracker.recordCrash(lifetime(50), {}, crashAt);
    }
    tracker.update(endsAt + 1s);
    cr_assert_eq(isQuarantined(tracker, poisonPart), !test->isRefuted, "%s", test->name);
}

Test(promptPartTracker, partWithARecentSuccessIsQuarantinedOnlyIfNoAnswerRefutesIt)
{
    for (const bool isRefuted : { false, true }) {
        PromptPartTracker tracker;
        recordSuccess(tracker, { firstPart }, start - 5s);
        recordCrashes(tracker, { firstPart }, 3, start);
        cr_assert_not(isQuarantined(tracker, firstPart));
        if (isRefuted) {
            recordSuccess(tracker, { firstPart }, start + 400ms);
        }
        std::size_t inquiries = 0;
        for (auto due = tracker.nextUpdateAt(); due; due = tracker.nextUpdateAt()) {
            cr_assert_leq(*due, start + 3s);
            inquiries += tracker.update(*due).unconfirmed.size();
        }
        cr_assert_eq(inquiries, isRefuted ? 0U : 1U, "%zu", inquiries);
        cr_assert_eq(isQuarantined(tracker, firstPart), !isRefuted);
    }
}

Test(promptPartTracker, answerThatHadBeenArrivingForLongIsNotTheCause)
{
    PromptPartTracker tracker;
    for (int crash = 1; crash <= 5; ++crash) {
        const std::vector<LostRequest> lost { lostRequest({ soundPart }, start, 1500ms),
                                              lostRequest({ otherFirstPart }, start, 700ms),
                                              lostRequest({ poisonPart }, start, 60ms) };
        tracker.recordCrash(lifetime(std::uint64_t(crash)), lost, start);
    }
    tracker.update(start);
    cr_assert_null(tracker.find(soundPart));
    cr_assert(isQuarantined(tracker, poisonPart));
    cr_assert_not(isQuarantined(tracker, otherFirstPart));
    cr_assert(tracker.isExplained(lifetime(1)));
    cr_assert_not(tracker.isExplained(lifetime(6)));
}

Test(promptPartTracker, trialsOfTheWholeFleetBecomeRarer)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { poisonPart }, 3, start);
    std::vector<Time> trials;
    for (Time now = start; now < start + 1h; now += 1s) {
        tracker.recordRejection(poisonPart, now);
        tracker.expire(now);
        tracker.update(now);
        cr_assert(isQuarantined(tracker, poisonPart));
        if (tracker.isTrialDue(poisonPart, now)) {
            tracker.recordTrial(poisonPart, now);
            trials.push_back(now);
        }
    }
    cr_assert_eq(trials.size(), 4U, "%zu", trials.size());
    cr_assert_geq(trials.front() - start, 30s);
    const auto changes = recordSuccess(tracker, { poisonPart }, start + 1h);
    cr_assert_eq(changes.released.size(), 1U);
    cr_assert_not(isQuarantined(tracker, poisonPart));
}

Test(promptPartTracker, floodOfPartsIsBoundedAndLeavesQuarantines)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { poisonPart }, 3, start);
    for (std::uint64_t part = 1'000; part < 21'000; ++part) {
        const std::vector<LostRequest> lost { lostRequest({ PromptPartId(part) }, start + 1s, 50ms) };
        tracker.recordCrash(lifetime(part), lost, start + 1s);
    }
    tracker.update(start + 1s);
    cr_assert_eq(tracker.size(), 4096U, "%zu", tracker.size());
    cr_assert(isQuarantined(tracker, poisonPart));
}
