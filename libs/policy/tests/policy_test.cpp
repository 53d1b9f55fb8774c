#include <policy/policy.h>

#include "fair_share.h"
#include "stage_times.h"

#include <map>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::policy;

namespace
{

constexpr std::uint32_t slotCount = 4;

/** A policy before `endpoints` endpoints of one pool in two zones, with a class "c" of 10 s and one stage. */
struct Fixture {
    explicit Fixture(std::uint32_t endpoints, bool repeatable = true, Strategy strategy = Predictive {})
        : policy({ AvailabilityZoneId("a"), 1, strategy })
    {
        config::FleetConfig fleet;
        const config::StageSpec stage { "generate", config::StageKind::Generate, PoolId("p"), ModelId(), repeatable };
        fleet.pools.emplace(PoolId("p"), config::PoolSpec { PoolId("p"), config::StageKind::Generate });
        fleet.pipelines.emplace(PipelineId("l"), config::PipelineSpec { PipelineId("l"), { stage } });
        config::ClassSpec spec;
        spec.id = ClassId("c");
        spec.pipeline = PipelineId("l");
        spec.completion = 10s;
        spec.cost = Cost(1'000'000);
        fleet.classes.emplace(spec.id, spec);
        policy.setConfig(std::make_shared<const config::FleetConfig>(fleet));
        for (std::uint32_t index = 0; index < endpoints; ++index) {
            EndpointInfo info { EndpointId("e" + std::to_string(index)), PoolId("p") };
            info.zone = AvailabilityZoneId(index % 2 == 0 ? "a" : "b");
            info.incarnation = Incarnation(1);
            info.slots = slotCount;
            infos.push_back(info);
        }
        policy.setEndpoints(infos);
        policy.tick(now);
    }

    JobInfo job(const char *workspace = "w")
    {
        JobInfo info { JobId { Incarnation(1), ++sequence }, WorkspaceId(workspace), ClassId("c") };
        info.input = Tokens(100);
        info.maxOutput = Tokens(100);
        info.arrival = now;
        info.deadline = now + 10s;
        return info;
    }

    /** Admits a job and places its call. */
    std::optional<Placed> start(bool isolated = false, const std::vector<EndpointId> &excluded = {})
    {
        const auto info = job();
        if (!std::holds_alternative<Admitted>(policy.admit(info, now))) {
            return std::nullopt;
        }
        last = CallId { info.id, StageIndex(0), Attempt(1) };
        const auto placement = policy.place({ last, isolated, excluded }, now);
        if (const auto *placed = std::get_if<Placed>(&placement)) {
            policy.onCallStarted(last, placed->endpoint, now);
            return *placed;
        }
        return std::nullopt;
    }

    void end(const CallId &call, Duration busy, bool ok = true)
    {
        CallOutcome outcome;
        outcome.ok = ok;
        outcome.serviceTime = busy;
        if (!ok) {
            outcome.failure = ErrorKind::Refused;
        }
        policy.onCallEnded(call, outcome, now);
        policy.onJobEnded(call.job, ok ? JobOutcome::Met : JobOutcome::Failed, Cost(10), now);
    }

    /** Lets time pass with the policy's own ticks. */
    void advance(Duration by)
    {
        for (const auto until = now + by; now < until;) {
            now += 50ms;
            policy.tick(now);
        }
    }

    Policy policy;
    std::vector<EndpointInfo> infos;
    Time now { Duration(1'000'000) };
    std::uint64_t sequence = 0;
    CallId last;
};

struct RetryCase {
    bool repeatable;
    Ran ran;
    bool retried;
};

RetryCase retryCases[] = {
    { true, Ran::Yes, true },   { true, Ran::Unknown, true },   { true, Ran::No, true },
    { false, Ran::Yes, false }, { false, Ran::Unknown, false }, { false, Ran::No, true },
};

struct ShareCase {
    double demand;
    double heavy; ///< share of w0; w1 and w2 take the rest evenly
    double admittedHeavy;
    double admittedLight;
};

ShareCase shareCases[] = {
    { 0.8, 0.4, 1, 1 }, ///< no overload
    { 1.2, 0.8, 0.75, 1 }, ///< the heavy one gives way
    { 3.0, 1.0, 0.3333, 0.3333 }, ///< all ask for the same
};

} // namespace

ParameterizedTestParameters(policy, retry)
{
    return cr_make_param_array(RetryCase, retryCases, std::size(retryCases));
}

ParameterizedTest(RetryCase *param, policy, retry)
{
    Fixture fixture(2, param->repeatable);
    const auto placed = fixture.start();
    cr_assert(placed);
    const CallOutcome outcome { false, ErrorKind::ConnectionLost, param->ran };
    fixture.policy.onCallEnded(fixture.last, outcome, fixture.now);
    const auto decision = fixture.policy.decideRetry(fixture.last, placed->endpoint, outcome, fixture.now);
    cr_assert_eq(std::holds_alternative<Retry>(decision), param->retried);
}

ParameterizedTestParameters(policy, shares)
{
    return cr_make_param_array(ShareCase, shareCases, std::size(shareCases));
}

ParameterizedTest(ShareCase *param, policy, shares)
{
    constexpr double tolerance = 0.02;
    FairShare fair;
    const double light = (param->demand - param->heavy) / 2;
    fair.setOthers(std::vector<WorkspaceDemand> {
        { WorkspaceId("w0"), param->heavy }, { WorkspaceId("w1"), light }, { WorkspaceId("w2"), light } });
    fair.update(param->demand, 1, Time());
    cr_assert_float_eq(fair.admittedFraction(WorkspaceId("w0"), Time()), param->admittedHeavy, tolerance);
    cr_assert_float_eq(fair.admittedFraction(WorkspaceId("w1"), Time()), param->admittedLight, tolerance);
}

Test(policy, retryBudgetEnds)
{
    Fixture fixture(2);
    int retries = 0;
    for (int index = 0; index < 100; ++index) {
        const auto placed = fixture.start();
        if (!placed) {
            break;
        }
        const CallOutcome outcome { false, ErrorKind::Refused, Ran::Yes };
        fixture.policy.onCallEnded(fixture.last, outcome, fixture.now);
        const auto decision = fixture.policy.decideRetry(fixture.last, placed->endpoint, outcome, fixture.now);
        retries += std::holds_alternative<Retry>(decision) ? 1 : 0;
        fixture.policy.onJobEnded(fixture.last.job, JobOutcome::Failed, Cost(0), fixture.now);
    }
    cr_assert_gt(retries, 0);
    cr_assert_leq(retries, 5);
}

Test(policy, leavingAndExcludedEndpointsGetNoCall)
{
    Fixture fixture(4);
    fixture.infos[0].state = EndpointState::Draining;
    fixture.policy.setEndpoints(fixture.infos);
    fixture.policy.tick(fixture.now);
    for (int index = 0; index < 8; ++index) {
        const auto placed = fixture.start(false, { EndpointId("e1") });
        cr_assert(placed);
        cr_assert_neq(placed->endpoint, EndpointId("e0"));
        cr_assert_neq(placed->endpoint, EndpointId("e1"));
    }
}

Test(policy, suspectRunsAlone)
{
    Fixture fixture(3);
    const auto suspect = fixture.start(true);
    cr_assert(suspect);
    std::map<EndpointId, int> calls;
    for (int index = 0; index < 8; ++index) {
        const auto placed = fixture.start();
        cr_assert(placed);
        ++calls[placed->endpoint];
    }
    cr_assert_not(calls.contains(suspect->endpoint));
    // Every endpoint is in use now, so a second suspect has to wait.
    cr_assert_not(fixture.start(true));
}

Test(policy, unreachableEndpointIsAvoidedAndProbedAgain)
{
    Fixture fixture(2);
    const auto placed = fixture.start();
    cr_assert(placed);
    const CallOutcome outcome { false, ErrorKind::Unreachable, Ran::No };
    fixture.policy.onCallEnded(fixture.last, outcome, fixture.now);
    cr_assert_eq(fixture.policy.ejectedEndpoints(fixture.now).size(), 1U);
    const auto other = fixture.start();
    cr_assert(other && other->endpoint != placed->endpoint);
    fixture.advance(1s);
    cr_assert(fixture.policy.ejectedEndpoints(fixture.now).empty());
}

Test(policy, slowEndpointGetsFewCalls)
{
    Fixture fixture(6);
    int slowCalls = 0;
    for (int round = 0; round < 400; ++round) {
        const auto placed = fixture.start();
        cr_assert(placed);
        fixture.now += 10ms;
        const bool isSlow = placed->endpoint == EndpointId("e2");
        slowCalls += isSlow ? 1 : 0;
        fixture.end(fixture.last, isSlow ? 4s : 500ms);
        fixture.policy.tick(fixture.now);
        cr_assert_leq(fixture.policy.ejectedEndpoints(fixture.now).size(), 1U);
    }
    cr_assert_leq(slowCalls, 20);
}

Test(policy, failingEndpointIsEjected)
{
    Fixture fixture(6);
    for (int round = 0; round < 400; ++round) {
        const auto placed = fixture.start();
        cr_assert(placed);
        fixture.now += 10ms;
        fixture.end(fixture.last, 500ms, placed->endpoint != EndpointId("e2"));
        fixture.policy.tick(fixture.now);
        const auto ejected = fixture.policy.ejectedEndpoints(fixture.now);
        if (!ejected.empty()) {
            cr_assert_eq(ejected.size(), 1U);
            cr_assert_eq(ejected.front(), EndpointId("e2"));
            return;
        }
    }
    cr_assert_fail("the failing endpoint was never ejected");
}

Test(policy, commonSlownessEjectsFew)
{
    Fixture fixture(10);
    for (int round = 0; round < 600; ++round) {
        if (fixture.start()) {
            fixture.now += 10ms;
            fixture.end(fixture.last, round % 2 == 0 ? 400ms : 4s, round % 3 != 0);
            fixture.policy.tick(fixture.now);
        }
        cr_assert_leq(fixture.policy.ejectedEndpoints(fixture.now).size(), 2U);
    }
}

Test(policy, refusesAtOnceWhatCannotFinish)
{
    Fixture fixture(1);
    for (int index = 0; index < 20; ++index) {
        if (fixture.start()) {
            fixture.end(fixture.last, 8s);
        }
        fixture.now += 100ms;
        fixture.policy.tick(fixture.now);
    }
    auto info = fixture.job();
    info.deadline = fixture.now + 1s;
    const auto admission = fixture.policy.admit(info, fixture.now);
    const auto *refused = std::get_if<Refused>(&admission);
    cr_assert_not_null(refused);
    cr_assert_eq(int(refused->reason), int(RefusalReason::CannotFinishInTime));
    cr_assert_gt(refused->retryAfter.count(), 0);
}

Test(policy, ownCallsCountBeforeTheyAreReported)
{
    // Two endpoints in each zone; calls leave the zone only for a larger gain.
    Fixture fixture(4);
    for (const auto &info : fixture.infos) {
        fixture.policy.onLoadReport({ info.id, info.incarnation, fixture.now, 0, 0, slotCount, 0, {}, {} });
    }
    std::map<EndpointId, std::uint32_t> calls;
    for (std::uint32_t index = 0; index < 2 * slotCount; ++index) {
        const auto placed = fixture.start();
        cr_assert(placed);
        ++calls[placed->endpoint];
    }
    cr_assert_eq(calls[EndpointId("e0")], slotCount);
    cr_assert_eq(calls[EndpointId("e2")], slotCount);
}

Test(policy, prefixDrawsCallsUntilItsEndpointFills)
{
    Fixture fixture(8);
    const PrefixHash prefix(42);
    fixture.policy.onCacheEvent({ EndpointId("e4"), Incarnation(1), 1, prefix, CacheEvent::Kind::Stored }, fixture.now);
    std::map<EndpointId, int> calls;
    for (std::uint32_t index = 0; index < 3 * slotCount; ++index) {
        auto info = fixture.job();
        info.prefixes = { prefix };
        cr_assert(std::holds_alternative<Admitted>(fixture.policy.admit(info, fixture.now)));
        const CallId call { info.id, StageIndex(0), Attempt(1) };
        const auto placement = fixture.policy.place({ call, false, {} }, fixture.now);
        const auto *placed = std::get_if<Placed>(&placement);
        cr_assert_not_null(placed);
        fixture.policy.onCallStarted(call, placed->endpoint, fixture.now);
        ++calls[placed->endpoint];
    }
    cr_assert_geq(calls[EndpointId("e4")], 2);
    cr_assert_gt(calls.size(), 1U);
}

Test(policy, earlierLatestStartHasHigherPriority)
{
    Fixture fixture(2);
    const auto first = fixture.start();
    fixture.now += 500ms;
    const auto second = fixture.start();
    cr_assert(first && second);
    cr_assert_gt(first->priority, second->priority);
    cr_assert_leq(first->priority, maxPriority);
    cr_assert_geq(second->priority, 0);
}

Test(policy, quantilesFollowTheSamples)
{
    TimeHistogram histogram;
    for (int index = 1; index <= 100; ++index) {
        histogram.add(index * 0.01);
    }
    cr_assert_float_eq(histogram.quantile(0.5), 0.5, 0.05);
    cr_assert_float_eq(histogram.quantile(0.95), 0.95, 0.1);
    cr_assert_float_eq(histogram.mean(), 0.505, 0.001);
}
