#include "control_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

/** Part of a class's completion target that waiting for a slot may take. */
constexpr double waitShareOfTarget = 0.1;
/** Assumed time in a slot, to turn a queue into a wait. */
constexpr Duration assumedService = 1s;

} // namespace

ledger::LeaseName placementLease(const AvailabilityZoneId &zone)
{
    return ledger::LeaseName("placement/" + zone.text());
}

void ControlCore::State::takeLeases(ledger::Leases::Effects effects)
{
    for (ledger::LeasesEffect &effect : effects) {
        std::visit(Overloaded {
                       [&](log::Request &request) { effects_.emplace_back(AskLog { std::move(request) }); },
                       [&](const ledger::LeaseGained &gained) {
                           record(OperatorId("system"), "lease-gained", gained.name.text(), {}, {});
                           effects_.emplace_back(StateChange { StateChange::Kind::LeaseGained, gained.name.text() });
                       },
                       [&](const ledger::LeaseLost &lost) {
                           effects_.emplace_back(StateChange { StateChange::Kind::LeaseLost, lost.name.text() });
                       },
                   },
                   effect);
    }
}

void ControlCore::State::keepLeases()
{
    // Only the zone's readers compete for leases, so that the log is not read by every VM.
    if (reader_ == wantsLeases_) {
        return;
    }
    wantsLeases_ = reader_;
    for (const ledger::LeaseName &name : { snapshotLease, placementLease(settings.zone) }) {
        if (wantsLeases_) {
            takeLeases(leases.handle(ledger::LeaseWanted { name }, now_, wall_));
        } else {
            takeLeases(leases.handle(ledger::LeaseUnwanted { name }, now_, wall_));
        }
    }
}

policy::ZoneCapacityView ControlCore::State::capacityView() const
{
    policy::ZoneCapacityView zone;
    zone.zone = settings.zone;
    std::map<PoolId, std::pair<std::uint32_t, std::uint32_t>> busyAndSlots;
    for (const fleet::EndpointView &endpoint : fleet.view()->endpoints) {
        if (endpoint.zone != settings.zone) {
            continue;
        }
        if (endpoint.state == fleet::EndpointState::Dead) {
            ++zone.lostEndpoints;
            continue;
        }
        policy::EndpointInfo info;
        info.id = endpoint.endpoint;
        info.pool = endpoint.pool;
        info.zone = endpoint.zone;
        info.incarnation = endpoint.incarnation;
        info.state = endpoint.state == fleet::EndpointState::Live ? policy::EndpointState::Live
                                                                  : policy::EndpointState::Draining;
        if (endpoint.load) {
            info.slots = std::max<std::uint32_t>(1, endpoint.load->slots);
            auto &[busy, slots] = busyAndSlots[endpoint.pool];
            busy += endpoint.load->running + endpoint.load->queued;
            slots += info.slots;
        }
        zone.endpoints.push_back(std::move(info));
    }
    std::map<PoolId, Duration> targets;
    for (const auto &[id, spec] : configuration_->classes) {
        const auto pipeline = configuration_->pipelines.find(spec.pipeline);
        if (pipeline == configuration_->pipelines.end()) {
            continue;
        }
        const Duration target = fromSeconds(toSeconds(spec.completion) * waitShareOfTarget);
        for (const config::StageSpec &stage : pipeline->second.stages) {
            const auto [found, added] = targets.emplace(stage.pool, target);
            found->second = std::min(found->second, target);
        }
    }
    for (const auto &[pool, load] : busyAndSlots) {
        policy::PoolBacklog backlog;
        backlog.pool = pool;
        backlog.utilization = static_cast<double>(load.first) / load.second;
        backlog.wait = fromSeconds(std::max(0.0, backlog.utilization - 1.0) * toSeconds(assumedService));
        backlog.targetWait = targets[pool];
        zone.backlog.push_back(backlog);
    }
    for (const auto &[from, fromSpec] : configuration_->pools) {
        for (const auto &[to, toSpec] : configuration_->pools) {
            const bool engines = fromSpec.kind == config::StageKind::Generate && toSpec.kind == fromSpec.kind;
            if (from != to && engines) {
                zone.convertiblePools.emplace_back(from, to);
            }
        }
    }
    return zone;
}

void ControlCore::State::planCapacity()
{
    const ledger::LeaseName lease = placementLease(settings.zone);
    if (!leases.mayOrder(lease, false, now_)) {
        return;
    }
    capacity_.setConfig(configuration_);
    for (const policy::CapacityAction &order : capacity_.plan(capacityView(), now_)) {
        if (const auto fencing = leases.mayOrder(lease, false, now_)) {
            giveOrder(order, *fencing);
        }
    }
}

void ControlCore::State::giveOrder(const policy::CapacityAction &order, FencingNumber fencing)
{
    const EndpointId id = std::visit([](const auto &each) { return each.endpoint; }, order);
    const fleet::EndpointView *endpoint = fleet.view()->endpoint(id);
    if (endpoint == nullptr) {
        return;
    }
    GiveOrder give;
    give.endpoint = id;
    give.address = endpoint->address;
    give.fencing = fencing;
    if (const auto *load = std::get_if<policy::LoadModel>(&order)) {
        give.models.push_back(load->model);
    }
    if (const auto *change = std::get_if<policy::ChangeRole>(&order)) {
        const auto pool = configuration_->pools.find(change->role);
        if (pool != configuration_->pools.end()) {
            give.role = pool->second.kind;
        }
    }
    record(OperatorId("system"), "endpoint-ordered", id.text(), {}, {});
    effects_.emplace_back(std::move(give));
}

} // namespace lacewing::core
