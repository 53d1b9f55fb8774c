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

/** A policy with `endpoints` endpoints of one pool in two zones, and a one-stage class "c" with a deadline of 10 s. */
struct PolicyFixture {
    explicit PolicyFixture(std::uint32_t endpoints, bool repeatable = true, Strategy strategy = Predictive {})
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
            endpointInfos.push_back(info);
        }
        policy.setEndpoints(endpointInfos);
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

    /** Admits a job, places its call and starts it. Returns nothing if the job is refused or its call is not placed. */
    std::optional<Placed> startJob(bool isolated = false, const std::vector<EndpointId> &excluded = {})
    {
        const auto info = job();
        if (!std::holds_alternative<Admitted>(policy.admit(info, now))) {
            return std::nullopt;
        }
        lastCall = CallId { info.id, StageIndex(0), Attempt(1) };
        const auto placement = policy.place({ lastCall, isolated, excluded }, now);
        if (const auto *placed = std::get_if<Placed>(&placement)) {
            policy.onCallStarted(lastCall, placed->endpoint, now);
            return *placed;
        }
        return std::nullopt;
    }

    void endJob(const CallId &call, Duration serviceTime, bool ok = true)
    {
        CallOutcome outcome;
        outcome.ok = ok;
        outcome.serviceTime = serviceTime;
        if (!ok) {
            outcome.failure = ErrorKind::Refused;
        }
        policy.onCallEnded(call, outcome, now);
        policy.onJobEnded(call.job, ok ? JobOutcome::Met : JobOutcome::Failed, Cost(10), now);
    }

    /** Advances the time in steps of 50 ms with a tick of the policy at each. */
    void advance(Duration by)
    {
        for (const auto until = now + by; now < until;) {
            now += 50ms;
            policy.tick(now);
        }
    }

    Policy policy;
    std::vector<EndpointInfo> endpointInfos;
    Time now { Duration(1'000'000) };
    std::uint64_t sequence = 0;
    CallId lastCall;
};

struct RetryCase {
    bool repeatable;
    Ran ran;
    bool isRetried;
};

RetryCase retryCases[] = {
    { true, Ran::Yes, true },   { true, Ran::Unknown, true },   { true, Ran::No, true },
    { false, Ran::Yes, false }, { false, Ran::Unknown, false }, { false, Ran::No, true },
};

struct ShareCase {
    double demand;
    double heavy; ///< demand of w0; the rest is divided evenly between w1 and w2
    double admittedHeavy;
    double admittedLight;
};

ShareCase shareCases[] = {
    { 0.8, 0.4, 1, 1 }, ///< no overload
    { 1.2, 0.8, 0.75, 1 }, ///< only the heavy workspace is limited
    { 3.0, 1.0, 0.3333, 0.3333 }, ///< equal demand of all workspaces
};

} // namespace

ParameterizedTestParameters(policy, retryDependsOnRepeatability)
{
    return cr_make_param_array(RetryCase, retryCases, std::size(retryCases));
}

ParameterizedTest(RetryCase *param, policy, retryDependsOnRepeatability)
{
    PolicyFixture fixture(2, param->repeatable);
    const auto placed = fixture.startJob();
    cr_assert(placed);
    const CallOutcome outcome { false, ErrorKind::ConnectionLost, param->ran };
    fixture.policy.onCallEnded(fixture.lastCall, outcome, fixture.now);
    const auto decision = fixture.policy.decideRetry(fixture.lastCall, placed->endpoint, outcome, fixture.now);
    cr_assert_eq(std::holds_alternative<Retry>(decision), param->isRetried);
}

ParameterizedTestParameters(policy, fairSharesLimitHeavyWorkspaces)
{
    return cr_make_param_array(ShareCase, shareCases, std::size(shareCases));
}

ParameterizedTest(ShareCase *param, policy, fairSharesLimitHeavyWorkspaces)
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

Test(policy, retryBudgetIsExhausted)
{
    PolicyFixture fixture(2);
    int retries = 0;
    for (int index = 0; index < 100; ++index) {
        const auto placed = fixture.startJob();
        if (!placed) {
            break;
        }
        const CallOutcome outcome { false, ErrorKind::Refused, Ran::Yes };
        fixture.policy.onCallEnded(fixture.lastCall, outcome, fixture.now);
        const auto decision = fixture.policy.decideRetry(fixture.lastCall, placed->endpoint, outcome, fixture.now);
        retries += std::holds_alternative<Retry>(decision) ? 1 : 0;
        fixture.policy.onJobEnded(fixture.lastCall.job, JobOutcome::Failed, Cost(0), fixture.now);
    }
    cr_assert_gt(retries, 0);
    cr_assert_leq(retries, 5);
}

Test(policy, drainingAndExcludedEndpointsReceiveNoCalls)
{
    PolicyFixture fixture(4);
    fixture.endpointInfos[0].state = EndpointState::Draining;
    fixture.policy.setEndpoints(fixture.endpointInfos);
    fixture.policy.tick(fixture.now);
    for (int index = 0; index < 8; ++index) {
        const auto placed = fixture.startJob(false, { EndpointId("e1") });
        cr_assert(placed);
        cr_assert_neq(placed->endpoint, EndpointId("e0"));
        cr_assert_neq(placed->endpoint, EndpointId("e1"));
    }
}

Test(policy, isolatedCallSharesNoEndpoint)
{
    PolicyFixture fixture(3);
    const auto isolatedCall = fixture.startJob(true);
    cr_assert(isolatedCall);
    std::map<EndpointId, int> calls;
    for (int index = 0; index < 8; ++index) {
        const auto placed = fixture.startJob();
        cr_assert(placed);
        ++calls[placed->endpoint];
    }
    cr_assert_not(calls.contains(isolatedCall->endpoint));
    // All endpoints have calls now, so a second isolated call is deferred.
    cr_assert_not(fixture.startJob(true));
}

Test(policy, unreachableEndpointIsExcludedTemporarily)
{
    PolicyFixture fixture(2);
    const auto placed = fixture.startJob();
    cr_assert(placed);
    const CallOutcome outcome { false, ErrorKind::Unreachable, Ran::No };
    fixture.policy.onCallEnded(fixture.lastCall, outcome, fixture.now);
    cr_assert_eq(fixture.policy.ejectedEndpoints(fixture.now).size(), 1U);
    const auto other = fixture.startJob();
    cr_assert(other && other->endpoint != placed->endpoint);
    fixture.advance(1s);
    cr_assert(fixture.policy.ejectedEndpoints(fixture.now).empty());
}

Test(policy, slowEndpointReceivesFewCalls)
{
    PolicyFixture fixture(6);
    int slowCalls = 0;
    for (int round = 0; round < 400; ++round) {
        const auto placed = fixture.startJob();
        cr_assert(placed);
        fixture.now += 10ms;
        const bool isSlow = placed->endpoint == EndpointId("e2");
        slowCalls += isSlow ? 1 : 0;
        fixture.endJob(fixture.lastCall, isSlow ? 4s : 500ms);
        fixture.policy.tick(fixture.now);
        cr_assert_leq(fixture.policy.ejectedEndpoints(fixture.now).size(), 1U);
    }
    cr_assert_leq(slowCalls, 20);
}

Test(policy, failingEndpointIsEjected)
{
    PolicyFixture fixture(6);
    for (int round = 0; round < 400; ++round) {
        const auto placed = fixture.startJob();
        cr_assert(placed);
        fixture.now += 10ms;
        fixture.endJob(fixture.lastCall, 500ms, placed->endpoint != EndpointId("e2"));
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

Test(policy, commonSlownessLimitsEjections)
{
    PolicyFixture fixture(10);
    for (int round = 0; round < 600; ++round) {
        if (fixture.startJob()) {
            fixture.now += 10ms;
            fixture.endJob(fixture.lastCall, round % 2 == 0 ? 400ms : 4s, round % 3 != 0);
            fixture.policy.tick(fixture.now);
        }
        cr_assert_leq(fixture.policy.ejectedEndpoints(fixture.now).size(), 2U);
    }
}

Test(policy, refusesJobThatCannotMeetDeadline)
{
    PolicyFixture fixture(1);
    for (int index = 0; index < 20; ++index) {
        if (fixture.startJob()) {
            fixture.endJob(fixture.lastCall, 8s);
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

Test(policy, localCallsCountBeforeLoadReport)
{
    // Two endpoints in each zone. Remote endpoints have a penalty, so the local ones fill first.
    PolicyFixture fixture(4);
    for (const auto &info : fixture.endpointInfos) {
        fixture.policy.onLoadReport({ info.id, info.incarnation, fixture.now, 0, 0, slotCount, 0, {}, {} });
    }
    std::map<EndpointId, std::uint32_t> calls;
    for (std::uint32_t index = 0; index < 2 * slotCount; ++index) {
        const auto placed = fixture.startJob();
        cr_assert(placed);
        ++calls[placed->endpoint];
    }
    cr_assert_eq(calls[EndpointId("e0")], slotCount);
    cr_assert_eq(calls[EndpointId("e2")], slotCount);
}

Test(policy, prefersEndpointWithCachedPrefixUntilFull)
{
    PolicyFixture fixture(8);
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
    PolicyFixture fixture(2);
    const auto first = fixture.startJob();
    fixture.now += 500ms;
    const auto second = fixture.startJob();
    cr_assert(first && second);
    cr_assert_gt(first->priority, second->priority);
    cr_assert_leq(first->priority, maxPriority);
    cr_assert_geq(second->priority, 0);
}

Test(policy, histogramQuantilesMatchSamples)
{
    TimeHistogram histogram;
    for (int index = 1; index <= 100; ++index) {
        histogram.add(index * 0.01);
    }
    cr_assert_float_eq(histogram.quantile(0.5), 0.5, 0.05);
    cr_assert_float_eq(histogram.quantile(0.95), 0.95, 0.1);
    cr_assert_float_eq(histogram.mean(), 0.505, 0.001);
}
