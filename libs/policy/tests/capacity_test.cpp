#include <policy/policy.h>

#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::policy;

namespace
{

const PoolId encoders("encoders");
const PoolId rerankers("rerankers");

/** A zone with a queue at the rerankers and low utilization of the encoders. */
ZoneCapacityView overloadedView()
{
    ZoneCapacityView view;
    view.zone = AvailabilityZoneId("a");
    for (int index = 0; index < 6; ++index) {
        EndpointInfo info { EndpointId("e" + std::to_string(index)), index < 4 ? encoders : rerankers };
        info.incarnation = Incarnation(1);
        view.endpoints.push_back(info);
    }
    view.backlog = { { encoders, ModelId(), 0.2, 0ms, 100ms }, { rerankers, ModelId(), 1.4, 900ms, 100ms } };
    view.convertiblePools = { { encoders, rerankers } };
    return view;
}

/** Returns the actions of `plans` consecutive plans, one per second. */
std::vector<CapacityAction> runPlans(CapacityPlanner &capacity, const ZoneCapacityView &view, int plans, Time &now)
{
    std::vector<CapacityAction> actions;
    for (int index = 0; index < plans; ++index) {
        now += 1s;
        const auto planned = capacity.plan(view, now);
        actions.insert(actions.end(), planned.begin(), planned.end());
    }
    return actions;
}

} // namespace

Test(capacity, movesOneEndpointWithinSettlingTime)
{
    CapacityPlanner capacity;
    Time now;
    const auto actions = runPlans(capacity, overloadedView(), 10, now);
    cr_assert_eq(actions.size(), 1U);
    const auto *change = std::get_if<ChangeRole>(&actions.front());
    cr_assert_not_null(change);
    cr_assert_eq(change->role, rerankers);
}

Test(capacity, ignoresTransientQueue)
{
    CapacityPlanner capacity;
    Time now;
    cr_assert(runPlans(capacity, overloadedView(), 2, now).empty());
    auto recovered = overloadedView();
    recovered.backlog[1].wait = 10ms;
    cr_assert(runPlans(capacity, recovered, 1, now).empty());
    cr_assert(runPlans(capacity, overloadedView(), 2, now).empty());
}

Test(capacity, movesNoEndpointFromBusyPool)
{
    CapacityPlanner capacity;
    Time now;
    auto view = overloadedView();
    view.backlog[0].utilization = 0.7;
    cr_assert(runPlans(capacity, view, 10, now).empty());
}

Test(capacity, changesNoRolesAfterZoneFailure)
{
    CapacityPlanner capacity;
    Time now;
    auto view = overloadedView();
    view.lostEndpoints = 3;
    cr_assert(runPlans(capacity, view, 1, now).empty());
    view.lostEndpoints = 0;
    cr_assert(runPlans(capacity, view, 50, now).empty());
    cr_assert_eq(runPlans(capacity, view, 20, now).size(), 1U);
}

Test(capacity, modelLoadsRespectStoreBandwidth)
{
    config::FleetConfig fleet;
    fleet.models.emplace(ModelId("m"), config::ModelSpec { ModelId("m"), Bytes(30'000'000'000) });
    CapacityLimits limits;
    limits.settlingTime = 1s;
    CapacityPlanner capacity(limits);
    capacity.setConfig(std::make_shared<const config::FleetConfig>(fleet));
    ZoneCapacityView view;
    for (int index = 0; index < 8; ++index) {
        EndpointInfo info { EndpointId("e" + std::to_string(index)), encoders };
        info.models = { ModelId("other") };
        view.endpoints.push_back(info);
    }
    view.backlog = { { encoders, ModelId("m"), 1.2, 5s, 100ms } };
    Time now;
    // Each load occupies the weight store for 30 s.
    cr_assert_eq(runPlans(capacity, view, 65, now).size(), 3U);
}
