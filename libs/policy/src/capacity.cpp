#include <policy/policy.h>

#include <algorithm>
#include <map>

namespace lacewing::policy
{

namespace
{

/** Maximum number of actions in one plan. */
constexpr std::size_t maxActionsPerPlan = 4;
/** A pool needs more capacity if its wait exceeds the target in this many consecutive plans. */
constexpr int minShortPlans = 3;

} // namespace

/** Implementation of CapacityPlanner; keeps the state between plans. */
class CapacityPlanner::State
{
public:
    struct CapacityNeed {
        PoolId pool;
        ModelId model;
        auto operator<=>(const CapacityNeed &) const = default;
    };

    explicit State(CapacityLimits given)
        : limits(given)
    {
    }

    std::vector<CapacityAction> plan(const ZoneCapacityView &view, Time now);

    CapacityLimits limits;
    std::shared_ptr<const config::FleetConfig> configuration;

private:
    void detectZoneFailure(const ZoneCapacityView &view, Time now);
    bool needsCapacity(const PoolBacklog &backlog, Time now);
    std::optional<CapacityAction> planModelLoad(const PoolBacklog &backlog, const ZoneCapacityView &view, Time now);
    std::optional<CapacityAction> planRoleChange(const PoolBacklog &backlog, const ZoneCapacityView &view, Time now);
    bool isSettling(const EndpointId &endpoint, Time now) const;
    static double utilization(const PoolId &pool, const ZoneCapacityView &view);

    std::map<CapacityNeed, int> consecutiveShortPlans_; ///< consecutive plans in which the wait exceeded the target
    std::map<CapacityNeed, Time> lastActionAt_;
    std::map<EndpointId, Time> endpointChangedAt_;
    Time storeFreeAt_; ///< when the weight store can start the next load
    std::optional<Time> lastZoneFailureAt_;
};

void CapacityPlanner::State::detectZoneFailure(const ZoneCapacityView &view, Time now)
{
    const double known = double(view.endpoints.size()) + view.lostEndpoints;
    if (view.lostEndpoints > 0 && view.lostEndpoints >= limits.zoneFailureFraction * known) {
        lastZoneFailureAt_ = now;
    }
}

bool CapacityPlanner::State::needsCapacity(const PoolBacklog &backlog, Time now)
{
    const CapacityNeed need { backlog.pool, backlog.model };
    auto &plans = consecutiveShortPlans_[need];
    plans = backlog.wait > backlog.targetWait ? plans + 1 : 0;
    const auto lastAction = lastActionAt_.find(need);
    const bool isSettled = lastAction == lastActionAt_.end() || now - lastAction->second >= limits.settlingTime;
    return plans >= minShortPlans && isSettled;
}

bool CapacityPlanner::State::isSettling(const EndpointId &endpoint, Time now) const
{
    const auto changed = endpointChangedAt_.find(endpoint);
    return changed != endpointChangedAt_.end() && now - changed->second < limits.settlingTime;
}

double CapacityPlanner::State::utilization(const PoolId &pool, const ZoneCapacityView &view)
{
    double result = 0;
    for (const auto &backlog : view.backlog) {
        if (backlog.pool == pool) {
            result = std::max(result, backlog.utilization);
        }
    }
    return result;
}

std::optional<CapacityAction> CapacityPlanner::State::planModelLoad(const PoolBacklog &backlog,
                                                                    const ZoneCapacityView &view,
                                                                    Time now)
{
    if (backlog.model.isEmpty() || storeFreeAt_ > now) {
        return std::nullopt;
    }
    for (const auto &endpoint : view.endpoints) {
        const bool lacksModel =
            std::find(endpoint.models.begin(), endpoint.models.end(), backlog.model) == endpoint.models.end();
        const bool isCandidate = endpoint.pool == backlog.pool && endpoint.state == EndpointState::Live
            && !endpoint.models.empty() && lacksModel && !isSettling(endpoint.id, now);
        if (!isCandidate) {
            continue;
        }
        double bytes = 0;
        if (configuration && configuration->models.contains(backlog.model)) {
            bytes = double(configuration->models.at(backlog.model).weights.value());
        }
        storeFreeAt_ = now + fromSeconds(bytes / double(limits.storeBytesPerSecond.value()));
        endpointChangedAt_[endpoint.id] = now;
        return LoadModel { endpoint.id, endpoint.incarnation, backlog.model };
    }
    return std::nullopt;
}

std::optional<CapacityAction> CapacityPlanner::State::planRoleChange(const PoolBacklog &backlog,
                                                                     const ZoneCapacityView &view,
                                                                     Time now)
{
    const bool isCoolingDown = lastZoneFailureAt_ && now - *lastZoneFailureAt_ < limits.failureCooldown;
    if (isCoolingDown) {
        return std::nullopt;
    }
    for (const auto &[from, to] : view.convertiblePools) {
        if (to != backlog.pool || utilization(from, view) >= limits.donorMaxUtilization) {
            continue;
        }
        const auto isDonor = [&, pool = from](const EndpointInfo &endpoint) {
            return endpoint.pool == pool && endpoint.state == EndpointState::Live;
        };
        if (std::count_if(view.endpoints.begin(), view.endpoints.end(), isDonor) < 2) {
            continue;
        }
        for (const auto &endpoint : view.endpoints) {
            if (isDonor(endpoint) && !isSettling(endpoint.id, now)) {
                endpointChangedAt_[endpoint.id] = now;
                return ChangeRole { endpoint.id, endpoint.incarnation, to };
            }
        }
    }
    return std::nullopt;
}

std::vector<CapacityAction> CapacityPlanner::State::plan(const ZoneCapacityView &view, Time now)
{
    detectZoneFailure(view, now);
    std::erase_if(endpointChangedAt_, [&](const auto &item) { return now - item.second >= limits.settlingTime; });
    std::vector<CapacityAction> actions;
    for (const auto &backlog : view.backlog) {
        if (!needsCapacity(backlog, now) || actions.size() >= maxActionsPerPlan) {
            continue;
        }
        auto action = planModelLoad(backlog, view, now);
        if (!action) {
            action = planRoleChange(backlog, view, now);
        }
        if (action) {
            const CapacityNeed need { backlog.pool, backlog.model };
            lastActionAt_[need] = now;
            actions.push_back(*action);
        }
    }
    return actions;
}

CapacityPlanner::CapacityPlanner(CapacityLimits limits)
    : state_(std::make_unique<State>(limits))
{
}
CapacityPlanner::~CapacityPlanner() = default;
CapacityPlanner::CapacityPlanner(CapacityPlanner &&) noexcept = default;
CapacityPlanner &CapacityPlanner::operator=(CapacityPlanner &&) noexcept = default;

void CapacityPlanner::setConfig(std::shared_ptr<const config::FleetConfig> configuration)
{
    state_->configuration = std::move(configuration);
}

std::vector<CapacityAction> CapacityPlanner::plan(const ZoneCapacityView &view, Time now)
{
    return state_->plan(view, now);
}

} // namespace lacewing::policy
