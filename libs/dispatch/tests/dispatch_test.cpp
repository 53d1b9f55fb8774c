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

/** All requests fail. Each VM enforces its part of the limits, so that the fleet stays within them in each window. */
Test(retryBudget, fleetStaysWithinTheLimitsInEachWindow)
{
    const RetryLimits limits { 0.2, 10s, 56 };
    constexpr std::size_t vms = 8;
    std::vector<RetryBudget> budgets(vms, RetryBudget(limits));
    for (auto &budget : budgets) {
        budget.setVmCount(vms);
    }
    std::vector<std::pair<Time, bool>> sends; // time, is a retry
    Random random(1);
    for (Time now = start; now < start + 40s; now += 10ms) {
        auto &budget = budgets[random.below(vms)];
        budget.recordRequest(now);
        sends.emplace_back(now, false);
        for (int retry = 0; retry < 3; ++retry) {
            if (budget.tryAcquireRetry(now)) {
                sends.emplace_back(now, true);
            }
        }
    }
    for (Time from = start; from < start + 30s; from += 500ms) {
        double requests = 0;
        double retries = 0;
        for (const auto &[time, isRetry] : sends) {
            if (time >= from && time < from + limits.window) {
                (isRetry ? retries : requests) += 1;
            }
        }
        cr_assert_leq(retries, limits.ratio * requests + limits.baseRetries);
        cr_assert_gt(retries, 0.1 * requests, "too few retries were allowed");
    }
}

Test(retryBudget, baseRetriesAreAllowedWithoutRequests)
{
    RetryBudget budget({ 0.2, 10s, 8 });
    int allowed = 0;
    for (int retry = 0; retry < 100; ++retry) {
        allowed += budget.tryAcquireRetry(start) ? 1 : 0;
    }
    cr_assert_gt(allowed, 0);
    cr_assert_leq(allowed, 8);
}

Test(loadBalancer, prefersTheLocalZoneAmongEqualCandidates)
{
    const auto entries = endpoints(3);
    LoadBalancer balancer(1);
    for (int round = 0; round < 50; ++round) {
        cr_assert_eq(balancer.select(candidates(entries), zoneA, start)->id, EndpointId("e0"));
    }
}

Test(loadBalancer, selectsNothingWithoutCandidates)
{
    LoadBalancer balancer(1);
    cr_assert_null(balancer.select({}, zoneA, start));
}

Test(loadBalancer, inFlightSendsCountBeforeTheyAreReported)
{
    const auto entries = endpoints(3);
    LoadBalancer balancer(1);
    std::map<EndpointId, int> sent;
    for (int send = 0; send < 30; ++send) {
        const auto *selected = balancer.select(candidates(entries), zoneA, start);
        balancer.onSendStarted(selected->id, 20, start);
        ++sent[selected->id];
    }
    for (const auto &entry : entries) {
        cr_assert_geq(sent[entry.id], 8, "%s got %d of 30", entry.id.text().c_str(), sent[entry.id]);
    }
}

Test(loadBalancer, avoidsCandidateWithExtraLatency)
{
    const auto entries = endpoints(2);
    LoadBalancer balancer(1);
    auto list = candidates(entries);
    list[0].extraLatencyMs = 100;
    cr_assert_eq(balancer.select(list, zoneA, start)->id, EndpointId("e1"));
}

/** An endpoint fails all requests while it reports itself as healthy, and recovers later. */
Test(loadBalancer, failingEndpointIsEjectedAndTriedAgain)
{
    const auto entries = endpoints(2);
    LoadBalancer balancer(1);
    int failures = 0;
    int selectionsAfterRecovery = 0;
    for (int send = 0; send < 2'000; ++send) {
        const Time now = start + 10ms * send;
        const auto *selected = balancer.select(candidates(entries), zoneA, now);
        balancer.onSendStarted(selected->id, 0, now);
        const bool broken = selected->id == EndpointId("e0") && send < 1'000;
        failures += broken ? 1 : 0;
        selectionsAfterRecovery += selected->id == EndpointId("e0") && send >= 1'500 ? 1 : 0;
        balancer.onSendEnded(selected->id, broken ? SendOutcome::Failed : SendOutcome::Answered, 5ms, now + 5ms);
    }
    cr_assert_lt(failures, 40, "%d of 1000 sends went to the failing endpoint", failures);
    cr_assert_gt(
        selectionsAfterRecovery, 100, "the endpoint was selected %d times after its recovery", selectionsAfterRecovery);
}

Test(loadBalancer, ejectedEndpointIsSelectedWhenAllAreEjected)
{
    const auto entries = endpoints(1);
    LoadBalancer balancer(1);
    balancer.onSendStarted(EndpointId("e0"), 0, start);
    balancer.onSendEnded(EndpointId("e0"), SendOutcome::Unreachable, std::nullopt, start);
    cr_assert(balancer.isEjected(EndpointId("e0"), start));
    cr_assert_not_null(balancer.select(candidates(entries), zoneA, start));
}

Test(loadBalancer, lowFailureRateDoesNotEject)
{
    LoadBalancer balancer(1);
    Random random(7);
    for (int send = 0; send < 3'000; ++send) {
        const Time now = start + 10ms * send;
        balancer.onSendStarted(EndpointId("e0"), 0, now);
        balancer.onSendEnded(
            EndpointId("e0"), random.chance(0.14) ? SendOutcome::Failed : SendOutcome::Answered, 5ms, now);
        cr_assert_not(balancer.isEjected(EndpointId("e0"), now));
    }
}

Test(prefixCacheIndex, countsOnlyContiguousSegmentsFromTheStart)
{
    PrefixCacheIndex prefixes(5s);
    const EndpointId engine("e");
    const std::vector<PromptSegment> seen { { 1, 100 }, { 2, 50 } };
    prefixes.recordUse(engine, seen, start);
    const std::vector<PromptSegment> same { { 1, 100 }, { 2, 50 }, { 9, 7 } };
    const std::vector<PromptSegment> other { { 3, 100 }, { 2, 50 } };
    cr_assert_eq(prefixes.cachedTokens(engine, same, start), 150U);
    cr_assert_eq(prefixes.cachedTokens(engine, other, start), 0U);
    cr_assert_eq(prefixes.cachedTokens(EndpointId("f"), same, start), 0U);
    prefixes.expire(start + 4s);
    cr_assert_eq(prefixes.cachedTokens(engine, same, start), 150U);
    cr_assert_eq(prefixes.cachedTokens(engine, same, start + 6s), 0U);
    prefixes.expire(start + 6s);
    cr_assert_eq(prefixes.cachedTokens(engine, same, start), 0U);
}

Test(rejectionHistory, retryIsRecognizedAtAnyVm)
{
    RejectionHistory local;
    RejectionHistory remote;
    local.record({ Fingerprint(7), start - 100ms }, start);
    const auto published = local.takeUnpublished();
    cr_assert_eq(published.size(), 1U);
    cr_assert(local.takeUnpublished().empty());
    remote.merge(published, start);
    for (const auto *vm : { &local, &remote }) {
        cr_assert_eq(vm->firstAttemptAt(Fingerprint(7), start + 1s).value(), start - 100ms);
    }
    cr_assert_not(remote.firstAttemptAt(Fingerprint(8), start + 1s).has_value());
    cr_assert_not(remote.firstAttemptAt(Fingerprint(7), start + 10s).has_value());
}

Test(rejectionHistory, firstAttemptIsKeptOverSeveralRejections)
{
    RejectionHistory history;
    history.record({ Fingerprint(7), start }, start);
    history.record({ Fingerprint(7), start + 500ms }, start + 500ms);
    cr_assert_eq(history.firstAttemptAt(Fingerprint(7), start + 6200ms).value(), start);
    history.expire(start + 7s);
    cr_assert_not(history.firstAttemptAt(Fingerprint(7), start + 6200ms).has_value());
}

Test(rejectionHistory, publishesABoundedNumber)
{
    RejectionHistory history;
    for (std::uint64_t request = 0; request < 1'000; ++request) {
        history.record({ Fingerprint(request), start }, start);
    }
    cr_assert_eq(history.takeUnpublished().size(), 64U);
    cr_assert(history.firstAttemptAt(Fingerprint(999), start).has_value());
}

Test(crashDetector, distinguishesACrashFromALostConnection)
{
    CrashDetector detector;
    const EndpointId endpoint("e");
    detector.onConnectionLost(endpoint, Fingerprint(1), start);
    detector.onConnectionLost(endpoint, Fingerprint(2), start + 100ms);
    detector.onConnectionLost(endpoint, Fingerprint(2), start + 100ms);
    cr_assert(detector.onUnreachable(EndpointId("f"), start + 200ms).empty());
    const auto crashed = detector.onUnreachable(endpoint, start + 200ms);
    cr_assert(crashed == (std::vector<Fingerprint> { Fingerprint(1), Fingerprint(2) }));
    cr_assert(detector.onUnreachable(endpoint, start + 300ms).empty(), "a crash was reported twice");
    detector.onConnectionLost(endpoint, Fingerprint(3), start);
    cr_assert(detector.onUnreachable(endpoint, start + 5s).empty(),
              "a lost connection long before was reported as a crash");
}

Test(poisonRequestTracker, quarantinedAfterTheThirdCrash)
{
    PoisonRequestTracker tracker;
    const Fingerprint request(7);
    cr_assert_eq(tracker.recordCrash(request, start), 1);
    cr_assert_not(tracker.isQuarantined(request));
    cr_assert_eq(tracker.recordCrash(request, start), 2);
    cr_assert_not(tracker.isQuarantined(request));
    cr_assert_eq(tracker.recordCrash(request, start), 3);
    cr_assert(tracker.isQuarantined(request));
    cr_assert_not(tracker.isQuarantined(Fingerprint(8)));
    tracker.expire(start + 300s);
    cr_assert_not(tracker.isQuarantined(request));
}

Test(poisonRequestTracker, mergeKeepsTheHigherCount)
{
    PoisonRequestTracker tracker;
    tracker.merge(Fingerprint(7), 3, start);
    cr_assert(tracker.isQuarantined(Fingerprint(7)));
    tracker.merge(Fingerprint(7), 1, start);
    cr_assert(tracker.isQuarantined(Fingerprint(7)), "a lower count replaced a higher one");
}
