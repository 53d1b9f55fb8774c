#include <policy/policy.h>

#include <algorithm>
#include <map>

namespace lacewing::policy
{

namespace
{

/** Orders in one plan at most. */
constexpr std::size_t maxOrders = 4;
/** A pool needs more capacity when its wait exceeds the target in this many plans in a row. */
constexpr int plansBeforeAction = 3;

} // namespace

/** What a Capacity remembers between plans. */
class CapacityPlanner::State
{
public:
    struct Need {
        PoolId pool;
        ModelId model;
        auto operator<=>(const Need &) const = default;
    };

    explicit State(CapacityLimits given)
        : limits(given)
    {
    }

    std::vector<CapacityAction> plan(const ZoneCapacityView &view, Time now);

    CapacityLimits limits;
    std::shared_ptr<const config::FleetConfig> configuration;

private:
    void noteFailures(const ZoneCapacityView &view, Time now);
    bool isShort(const PoolBacklog &backlog, Time now);
    std::optional<CapacityAction> loadFor(const PoolBacklog &backlog, const ZoneCapacityView &view, Time now);
    std::optional<CapacityAction> roleFor(const PoolBacklog &backlog, const ZoneCapacityView &view, Time now);
    bool isChanging(const EndpointId &endpoint, Time now) const;
    static double utilisation(const PoolId &pool, const ZoneCapacityView &view);

    std::map<Need, int> shortPlans_; ///< plans in a row in which the need was short
    std::map<Need, Time> orderedAt_;
    std::map<EndpointId, Time> changedAt_;
    Time storeFreeAt_; ///< when the weight store can take the next load
    std::optional<Time> failedAt_;
};

void CapacityPlanner::State::noteFailures(const ZoneCapacityView &view, Time now)
{
    const double known = double(view.endpoints.size()) + view.lostEndpoints;
    if (view.lostEndpoints > 0 && view.lostEndpoints >= limits.zoneFailureFraction * known) {
        failedAt_ = now;
    }
}

bool CapacityPlanner::State::isShort(const PoolBacklog &backlog, Time now)
{
    const Need need { backlog.pool, backlog.model };
    auto &plans = shortPlans_[need];
    plans = backlog.wait > backlog.targetWait ? plans + 1 : 0;
    const auto ordered = orderedAt_.find(need);
    const bool isSettled = ordered == orderedAt_.end() || now - ordered->second >= limits.settlingTime;
    return plans >= plansBeforeAction && isSettled;
}

bool CapacityPlanner::State::isChanging(const EndpointId &endpoint, Time now) const
{
    const auto changed = changedAt_.find(endpoint);
    return changed != changedAt_.end() && now - changed->second < limits.settlingTime;
}

double CapacityPlanner::State::utilisation(const PoolId &pool, const ZoneCapacityView &view)
{
    double result = 0;
    for (const auto &backlog : view.backlog) {
        if (backlog.pool == pool) {
            result = std::max(result, backlog.utilization);
        }
    }
    return result;
}

std::optional<CapacityAction> CapacityPlanner::State::loadFor(const PoolBacklog &backlog,
                                                              const ZoneCapacityView &view,
                                                              Time now)
{
    if (backlog.model.isEmpty() || storeFreeAt_ > now) {
        return std::nullopt;
    }
    for (const auto &endpoint : view.endpoints) {
        const bool lacks =
            std::find(endpoint.models.begin(), endpoint.models.end(), backlog.model) == endpoint.models.end();
        const bool isCandidate = endpoint.pool == backlog.pool && endpoint.state == EndpointState::Live
            && !endpoint.models.empty() && lacks && !isChanging(endpoint.id, now);
        if (!isCandidate) {
            continue;
        }
        double bytes = 0;
        if (configuration && configuration->models.contains(backlog.model)) {
            bytes = double(configuration->models.at(backlog.model).weights.value());
        }
        storeFreeAt_ = now + fromSeconds(bytes / double(limits.storeBytesPerSecond.value()));
        changedAt_[endpoint.id] = now;
        return LoadModel { endpoint.id, endpoint.incarnation, backlog.model };
    }
    return std::nullopt;
}

std::optional<CapacityAction> CapacityPlanner::State::roleFor(const PoolBacklog &backlog,
                                                              const ZoneCapacityView &view,
                                                              Time now)
{
    const bool isCoolingDown = failedAt_ && now - *failedAt_ < limits.failureCooldown;
    if (isCoolingDown) {
        return std::nullopt;
    }
    for (const auto &[from, to] : view.convertiblePools) {
        if (to != backlog.pool || utilisation(from, view) >= limits.donorMaxUtilization) {
            continue;
        }
        const auto gives = [&, pool = from](const EndpointInfo &endpoint) {
            return endpoint.pool == pool && endpoint.state == EndpointState::Live;
        };
        if (std::count_if(view.endpoints.begin(), view.endpoints.end(), gives) < 2) {
            continue;
        }
        for (const auto &endpoint : view.endpoints) {
            if (gives(endpoint) && !isChanging(endpoint.id, now)) {
                changedAt_[endpoint.id] = now;
                return ChangeRole { endpoint.id, endpoint.incarnation, to };
            }
        }
    }
    return std::nullopt;
}

std::vector<CapacityAction> CapacityPlanner::State::plan(const ZoneCapacityView &view, Time now)
{
    noteFailures(view, now);
    std::erase_if(changedAt_, [&](const auto &item) { return now - item.second >= limits.settlingTime; });
    std::vector<CapacityAction> orders;
    for (const auto &backlog : view.backlog) {
        if (!isShort(backlog, now) || orders.size() >= maxOrders) {
            continue;
        }
        auto order = loadFor(backlog, view, now);
        if (!order) {
            order = roleFor(backlog, view, now);
        }
        if (order) {
            const Need need { backlog.pool, backlog.model };
            orderedAt_[need] = now;
            orders.push_back(*order);
        }
    }
    return orders;
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
