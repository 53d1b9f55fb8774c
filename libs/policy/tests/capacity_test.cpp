#include <policy/policy.h>

#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::policy;

namespace
{

const PoolId encoders("encoders");
const PoolId rerankers("rerankers");

/** A zone whose rerankers have a queue while its encoders idle. */
ZoneCapacityView shortView()
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

/** Orders of `plans` plans, one a second. */
std::vector<CapacityAction> planFor(CapacityPlanner &capacity, const ZoneCapacityView &view, int plans, Time &now)
{
    std::vector<CapacityAction> orders;
    for (int index = 0; index < plans; ++index) {
        now += 1s;
        const auto planned = capacity.plan(view, now);
        orders.insert(orders.end(), planned.begin(), planned.end());
    }
    return orders;
}

} // namespace

Test(capacity, movesOneEndpointAndSettles)
{
    CapacityPlanner capacity;
    Time now;
    const auto orders = planFor(capacity, shortView(), 10, now);
    cr_assert_eq(orders.size(), 1U);
    const auto *change = std::get_if<ChangeRole>(&orders.front());
    cr_assert_not_null(change);
    cr_assert_eq(change->role, rerankers);
}

Test(capacity, ignoresAShortQueue)
{
    CapacityPlanner capacity;
    Time now;
    cr_assert(planFor(capacity, shortView(), 2, now).empty());
    auto quiet = shortView();
    quiet.backlog[1].wait = 10ms;
    cr_assert(planFor(capacity, quiet, 1, now).empty());
    cr_assert(planFor(capacity, shortView(), 2, now).empty());
}

Test(capacity, takesNothingFromABusyPool)
{
    CapacityPlanner capacity;
    Time now;
    auto view = shortView();
    view.backlog[0].utilization = 0.7;
    cr_assert(planFor(capacity, view, 10, now).empty());
}

Test(capacity, movesNoRolesAfterAZoneFailure)
{
    CapacityPlanner capacity;
    Time now;
    auto view = shortView();
    view.lostEndpoints = 3;
    cr_assert(planFor(capacity, view, 1, now).empty());
    view.lostEndpoints = 0;
    cr_assert(planFor(capacity, view, 50, now).empty());
    cr_assert_eq(planFor(capacity, view, 20, now).size(), 1U);
}

Test(capacity, loadsModelsNoFasterThanTheStore)
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
    // Each load takes the store 30 s.
    cr_assert_eq(planFor(capacity, view, 65, now).size(), 3U);
}
