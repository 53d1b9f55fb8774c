#include "control_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

/** Shortest and longest time between two shares of load; the longest is under policy::hintLifetime. */
constexpr Duration minHintInterval = 1s;
constexpr Duration maxHintInterval = 4s;
/** VMs of a zone for each second of the interval, so that the summing VM's traffic stays bounded. */
constexpr std::size_t vmsPerSecond = 13;

void add(HintShare &sum, const HintShare &part)
{
    sum.policies += part.policies;
    for (const PoolHint &each : part.arrivals) {
        const auto same = [&](const PoolHint &other) { return other.pool == each.pool; };
        const auto found = std::find_if(sum.arrivals.begin(), sum.arrivals.end(), same);
        if (found == sum.arrivals.end()) {
            sum.arrivals.push_back(each);
            continue;
        }
        found->work += each.work;
        found->inFlight += each.inFlight;
        found->coming += each.coming;
    }
    for (const auto &[workspace, share] : part.heavy) {
        const auto same = [&wanted = workspace](const auto &each) { return each.first == wanted; };
        const auto found = std::find_if(sum.heavy.begin(), sum.heavy.end(), same);
        if (found == sum.heavy.end()) {
            sum.heavy.emplace_back(workspace, share);
        } else {
            found->second += share;
        }
    }
}

void keepHeaviest(HintShare &share)
{
    const auto heavier = [](const auto &left, const auto &right) { return left.second > right.second; };
    std::stable_sort(share.heavy.begin(), share.heavy.end(), heavier);
    if (share.heavy.size() > policy::maxHeavyWorkspaces) {
        share.heavy.resize(policy::maxHeavyWorkspaces);
    }
}

void addHint(HintShare &sum, const policy::DemandHint &hint)
{
    HintShare part;
    part.policies = std::max<std::uint32_t>(1, hint.policyCount);
    for (const policy::PoolDemand &each : hint.pools) {
        part.arrivals.push_back({ each.pool, each.offeredLoad, each.inFlight, each.pending });
    }
    for (const policy::WorkspaceDemand &each : hint.heavyWorkspaces) {
        part.heavy.emplace_back(each.workspace, each.dominantShare);
    }
    add(sum, part);
}

/** What all others offer: the total less the own part. */
policy::DemandHint othersOf(const HintShare &total, const HintShare &own)
{
    policy::DemandHint hint;
    hint.policyCount = total.policies - std::min(total.policies, own.policies);
    for (const PoolHint &all : total.arrivals) {
        policy::PoolDemand arrivals { all.pool, all.work, all.inFlight, all.coming };
        for (const PoolHint &each : own.arrivals) {
            if (each.pool == all.pool) {
                arrivals.offeredLoad = std::max(0.0, arrivals.offeredLoad - each.work);
                arrivals.inFlight -= std::min(arrivals.inFlight, each.inFlight);
                arrivals.pending -= std::min(arrivals.pending, each.coming);
            }
        }
        hint.pools.push_back(arrivals);
    }
    for (const auto &[workspace, share] : total.heavy) {
        double others = share;
        for (const auto &[ownWorkspace, ownShare] : own.heavy) {
            others -= ownWorkspace == workspace ? ownShare : 0.0;
        }
        if (others > 0) {
            hint.heavyWorkspaces.push_back({ workspace, others });
        }
    }
    return hint;
}

} // namespace

void ControlCore::State::on(const HintMeasured &event)
{
    ownHints_[event.index] = event.hint;
}

HintShare ControlCore::State::ownHint() const
{
    HintShare share;
    share.zone = settings.zone;
    share.vm = settings.vm;
    for (const auto &[index, hint] : ownHints_) {
        addHint(share, hint);
    }
    keepHeaviest(share);
    return share;
}

VmId ControlCore::State::aggregatorOf(const AvailabilityZoneId &zone) const
{
    std::vector<std::string> candidates;
    for (const fleet::MemberView &each : fleet.view()->members) {
        if (each.member.zone == zone && each.member.state == fleet::MemberState::Alive && !each.leaving) {
            candidates.push_back(each.member.vm.text());
        }
    }
    const auto best = rendezvous("hints", candidates, 1);
    return best.empty() ? VmId() : VmId(candidates[best.front()]);
}

Duration ControlCore::State::hintInterval() const
{
    const auto inZone = std::count_if(fleet.view()->members.begin(),
                                      fleet.view()->members.end(),
                                      [&](const auto &each) { return each.member.zone == settings.zone; });
    const Duration wanted = 1s * (static_cast<std::size_t>(inZone) / vmsPerSecond);
    return std::clamp<Duration>(wanted, minHintInterval, maxHintInterval);
}

void ControlCore::State::shareHints()
{
    nextHint_ = now_ + hintInterval();
    const VmId aggregator = aggregatorOf(settings.zone);
    const HintShare own = ownHint();
    if (aggregator != settings.vm) {
        if (!aggregator.isEmpty()) {
            sendTo(aggregator, own);
        }
        return;
    }
    zoneHints_[settings.vm] = { own, now_ };
    const auto isOld = [&](const auto &each) { return each.second.second + policy::hintLifetime < now_; };
    std::erase_if(zoneHints_, isOld);
    std::erase_if(otherZones_, isOld);

    HintShare zone;
    zone.zone = settings.zone;
    for (const auto &[vm, part] : zoneHints_) {
        add(zone, part.first);
    }
    keepHeaviest(zone);
    HintShare total = zone;
    total.total = true;
    for (const auto &[other, part] : otherZones_) {
        add(total, part.first);
    }
    keepHeaviest(total);

    std::set<AvailabilityZoneId> zones;
    for (const fleet::MemberView &each : fleet.view()->members) {
        if (each.member.zone != settings.zone) {
            zones.insert(each.member.zone);
        } else if (each.member.vm != settings.vm && each.member.state == fleet::MemberState::Alive) {
            sendTo(each.member.vm, total);
        }
    }
    for (const AvailabilityZoneId &other : zones) {
        if (const VmId peer = aggregatorOf(other); !peer.isEmpty()) {
            sendTo(peer, zone);
        }
    }
    on(total);
}

void ControlCore::State::on(const HintShare &share)
{
    if (share.total) {
        effects_.emplace_back(TellJobs { std::nullopt, HintNews { othersOf(share, ownHint()) } });
    } else if (share.vm.isEmpty()) {
        otherZones_[share.zone] = { share, now_ };
    } else {
        zoneHints_[share.vm] = { share, now_ };
    }
}

} // namespace lacewing::core
