#include <dispatch/dispatch.h>

#include <criterion/criterion.h>

#include <map>

using namespace lacewing;
using namespace lacewing::dispatch;

namespace
{

constexpr Time start { 100s };
const AvailabilityZoneId zoneA("a");

std::vector<routing::EndpointEntry> endpoints(std::size_t count)
{
    std::vector<routing::EndpointEntry> result;
    for (std::size_t index = 0; index < count; ++index) {
        routing::EndpointEntry entry;
        entry.id = EndpointId("e" + std::to_string(index));
        entry.zone = AvailabilityZoneId(index == 0 ? "a" : "b");
        entry.slots = 4;
        result.push_back(entry);
    }
    return result;
}

std::vector<Candidate> candidates(const std::vector<routing::EndpointEntry> &entries)
{
    std::vector<Candidate> result;
    for (const auto &entry : entries) {
        result.push_back({ &entry, 0 });
    }
    return result;
}

} // namespace

/** Endpoints fail everything: each VM keeps to its part, and the fleet to the bound in every window. */
Test(retryBudget, fleetKeepsToTheBoundInEveryWindow)
{
    const RetryLimits bounds { 0.2, 10s, 56 };
    constexpr std::size_t vms = 8;
    std::vector<RetryBudget> budgets(vms, RetryBudget(bounds));
    for (auto &budget : budgets) {
        budget.setVmCount(vms);
    }
    std::vector<std::pair<Time, bool>> seen; // time, is a repeat
    Random random(1);
    for (Time now = start; now < start + 40s; now += 10ms) {
        auto &budget = budgets[random.below(vms)];
        budget.recordRequest(now);
        seen.emplace_back(now, false);
        for (int repeat = 0; repeat < 3; ++repeat) {
            if (budget.tryAcquireRetry(now)) {
                seen.emplace_back(now, true);
            }
        }
    }
    for (Time from = start; from < start + 30s; from += 500ms) {
        double requests = 0;
        double repeats = 0;
        for (const auto &[time, isRepeat] : seen) {
            if (time >= from && time < from + bounds.window) {
                (isRepeat ? repeats : requests) += 1;
            }
        }
        cr_assert_leq(repeats, bounds.ratio * requests + bounds.baseRetries);
        cr_assert_gt(repeats, 0.1 * requests, "hardly any repeat was allowed");
    }
}

Test(retryBudget, slackAloneAllowsAFewRepeats)
{
    RetryBudget budget({ 0.2, 10s, 8 });
    int allowed = 0;
    for (int repeat = 0; repeat < 100; ++repeat) {
        allowed += budget.tryAcquireRetry(start) ? 1 : 0;
    }
    cr_assert_gt(allowed, 0);
    cr_assert_leq(allowed, 8);
}

Test(endpointChooser, prefersTheOwnZoneAmongEquals)
{
    const auto entries = endpoints(3);
    LoadBalancer chooser(1);
    for (int round = 0; round < 50; ++round) {
        cr_assert_eq(chooser.select(candidates(entries), zoneA, start)->id, EndpointId("e0"));
    }
}

Test(endpointChooser, noCandidatesNoChoice)
{
    LoadBalancer chooser(1);
    cr_assert_null(chooser.select({}, zoneA, start));
}

Test(endpointChooser, ownSendsCountBeforeTheyAreReported)
{
    const auto entries = endpoints(3);
    LoadBalancer chooser(1);
    std::map<EndpointId, int> sent;
    for (int send = 0; send < 30; ++send) {
        const auto *chosen = chooser.select(candidates(entries), zoneA, start);
        chooser.onSendStarted(chosen->id, 20, start);
        ++sent[chosen->id];
    }
    for (const auto &entry : entries) {
        cr_assert_geq(sent[entry.id], 8, "%s got %d of 30", entry.id.text().c_str(), sent[entry.id]);
    }
}

Test(endpointChooser, expensiveCandidateIsPassedOver)
{
    const auto entries = endpoints(2);
    LoadBalancer chooser(1);
    auto list = candidates(entries);
    list[0].extraLatencyMs = 100;
    cr_assert_eq(chooser.select(list, zoneA, start)->id, EndpointId("e1"));
}

/** An endpoint fails all it gets while it calls itself healthy. */
Test(endpointChooser, failingEndpointIsLeftOutAndTriedAgain)
{
    const auto entries = endpoints(2);
    LoadBalancer chooser(1);
    int failures = 0;
    int lateChoices = 0;
    for (int send = 0; send < 2'000; ++send) {
        const Time now = start + 10ms * send;
        const auto *chosen = chooser.select(candidates(entries), zoneA, now);
        chooser.onSendStarted(chosen->id, 0, now);
        const bool broken = chosen->id == EndpointId("e0") && send < 1'000;
        failures += broken ? 1 : 0;
        lateChoices += chosen->id == EndpointId("e0") && send >= 1'500 ? 1 : 0;
        chooser.onSendEnded(chosen->id, broken ? SendOutcome::Failed : SendOutcome::Answered, 5ms, now + 5ms);
    }
    cr_assert_lt(failures, 40, "%d of 1000 sends went to the failing endpoint", failures);
    cr_assert_gt(lateChoices, 100, "the endpoint did not come back: %d", lateChoices);
}

Test(endpointChooser, allLeftOutIsBetterThanNone)
{
    const auto entries = endpoints(1);
    LoadBalancer chooser(1);
    chooser.onSendStarted(EndpointId("e0"), 0, start);
    chooser.onSendEnded(EndpointId("e0"), SendOutcome::Unreachable, std::nullopt, start);
    cr_assert(chooser.isEjected(EndpointId("e0"), start));
    cr_assert_not_null(chooser.select(candidates(entries), zoneA, start));
}

Test(endpointChooser, fewOrdinaryFailuresLeaveNobodyOut)
{
    LoadBalancer chooser(1);
    Random random(7);
    for (int send = 0; send < 3'000; ++send) {
        const Time now = start + 10ms * send;
        chooser.onSendStarted(EndpointId("e0"), 0, now);
        chooser.onSendEnded(
            EndpointId("e0"), random.chance(0.14) ? SendOutcome::Failed : SendOutcome::Answered, 5ms, now);
        cr_assert_not(chooser.isEjected(EndpointId("e0"), now));
    }
}

Test(prefixMemory, countsOnlyAWholeStart)
{
    PrefixCacheIndex memory(5s);
    const EndpointId engine("e");
    const std::vector<PromptSegment> seen { { 1, 100 }, { 2, 50 } };
    memory.recordUse(engine, seen, start);
    const std::vector<PromptSegment> same { { 1, 100 }, { 2, 50 }, { 9, 7 } };
    const std::vector<PromptSegment> other { { 3, 100 }, { 2, 50 } };
    cr_assert_eq(memory.cachedTokens(engine, same, start), 150U);
    cr_assert_eq(memory.cachedTokens(engine, other, start), 0U);
    cr_assert_eq(memory.cachedTokens(EndpointId("f"), same, start), 0U);
    memory.expire(start + 4s);
    cr_assert_eq(memory.cachedTokens(engine, same, start), 150U);
    cr_assert_eq(memory.cachedTokens(engine, same, start + 6s), 0U);
    memory.expire(start + 6s);
    cr_assert_eq(memory.cachedTokens(engine, same, start), 0U);
}

Test(refusedCallers, knowsWhoComesBackToAnyVm)
{
    RejectionHistory here;
    RejectionHistory there;
    here.record({ Fingerprint(7), start - 100ms }, start);
    const auto told = here.takeUnpublished();
    cr_assert_eq(told.size(), 1U);
    cr_assert(here.takeUnpublished().empty());
    there.merge(told, start);
    for (const auto *vm : { &here, &there }) {
        cr_assert_eq(vm->firstAttemptAt(Fingerprint(7), start + 1s).value(), start - 100ms);
    }
    cr_assert_not(there.firstAttemptAt(Fingerprint(8), start + 1s).has_value());
    cr_assert_not(there.firstAttemptAt(Fingerprint(7), start + 10s).has_value());
}

Test(refusedCallers, timeCountsFromTheFirstOfSeveralTries)
{
    RejectionHistory callers;
    callers.record({ Fingerprint(7), start }, start);
    callers.record({ Fingerprint(7), start + 500ms }, start + 500ms);
    cr_assert_eq(callers.firstAttemptAt(Fingerprint(7), start + 6200ms).value(), start);
    callers.expire(start + 7s);
    cr_assert_not(callers.firstAttemptAt(Fingerprint(7), start + 6200ms).has_value());
}

Test(refusedCallers, tellsABoundedNumber)
{
    RejectionHistory callers;
    for (std::uint64_t request = 0; request < 1'000; ++request) {
        callers.record({ Fingerprint(request), start }, start);
    }
    cr_assert_eq(callers.takeUnpublished().size(), 64U);
    cr_assert(callers.firstAttemptAt(Fingerprint(999), start).has_value());
}

Test(crashWatch, tellsACrashFromALostConnection)
{
    CrashDetector watch;
    const EndpointId endpoint("e");
    watch.onConnectionLost(endpoint, Fingerprint(1), start);
    watch.onConnectionLost(endpoint, Fingerprint(2), start + 100ms);
    watch.onConnectionLost(endpoint, Fingerprint(2), start + 100ms);
    cr_assert(watch.onUnreachable(EndpointId("f"), start + 200ms).empty());
    const auto crashed = watch.onUnreachable(endpoint, start + 200ms);
    cr_assert(crashed == (std::vector<Fingerprint> { Fingerprint(1), Fingerprint(2) }));
    cr_assert(watch.onUnreachable(endpoint, start + 300ms).empty(), "a crash counts once");
    watch.onConnectionLost(endpoint, Fingerprint(3), start);
    cr_assert(watch.onUnreachable(endpoint, start + 5s).empty(), "it went on running for long");
}

Test(suspectList, barredAfterTheThirdCrash)
{
    PoisonRequestTracker suspects;
    const Fingerprint request(7);
    cr_assert_eq(suspects.recordCrash(request, start), 1);
    cr_assert_not(suspects.isQuarantined(request));
    cr_assert_eq(suspects.recordCrash(request, start), 2);
    cr_assert_not(suspects.isQuarantined(request));
    cr_assert_eq(suspects.recordCrash(request, start), 3);
    cr_assert(suspects.isQuarantined(request));
    cr_assert_not(suspects.isQuarantined(Fingerprint(8)));
    suspects.expire(start + 300s);
    cr_assert_not(suspects.isQuarantined(request));
}

Test(suspectList, anotherVmsCountIsTaken)
{
    PoisonRequestTracker suspects;
    suspects.merge(Fingerprint(7), 3, start);
    cr_assert(suspects.isQuarantined(Fingerprint(7)));
    suspects.merge(Fingerprint(7), 1, start);
    cr_assert(suspects.isQuarantined(Fingerprint(7)), "an older count took it back");
}
