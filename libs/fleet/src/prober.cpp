#include "prober.h"

#include "facts.h"

#include <algorithm>
#include <bit>

namespace lacewing::fleet
{
namespace
{

/** Most changes of membership on one probe or answer. */
constexpr std::size_t maxUpdates = 6;
/** A change travels on this many messages times the logarithm of the zone's size. */
constexpr std::uint32_t transmissionFactor = 3;
/** A tick that is late by more than this means that this VM itself was paused. */
constexpr Duration ownPause = 1s;

} // namespace

Prober::Prober(Context &context, const Members &members, Time now)
    : context_(context)
    , members_(members)
    , nextProbe_(now + context.random.jitter(context.timing().probeInterval, 0.5))
    , lastTick_(now)
{
}

Time Prober::nextWake() const
{
    Time wake = nextProbe_;
    for (const auto &entry : pending_) {
        if (!entry.second.indirect) {
            wake = std::min(wake, entry.second.sentAt + context_.timing().probeTimeout);
        }
    }
    for (const auto &entry : suspicionEnds_) {
        wake = std::min(wake, entry.second);
    }
    return wake;
}

void Prober::tick(std::uint64_t digest)
{
    forgiveOwnPause();
    checkPending();
    checkSuspicions();
    if (context_.now >= nextProbe_) {
        nextProbe_ = context_.now + context_.random.jitter(context_.timing().probeInterval, 0.1);
        startProbe(digest);
    }
    lastTick_ = context_.now;
}

void Prober::forgiveOwnPause()
{
    const Duration gap = context_.now - lastTick_;
    if (gap <= context_.timing().probeInterval + ownPause) {
        return;
    }
    pending_.clear();
    relays_.clear();
    for (auto &entry : suspicionEnds_) {
        entry.second += gap;
    }
}

void Prober::checkPending()
{
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        Pending &probe = entry->second;
        const Duration waited = context_.now - probe.sentAt;
        if (waited >= context_.timing().probeInterval) {
            if (probe.judged) {
                suspect(probe.target);
            }
            entry = pending_.erase(entry);
            continue;
        }
        if (probe.judged && !probe.indirect && waited >= context_.timing().probeTimeout) {
            probe.indirect = true;
            askOthers(entry->first, probe.target);
        }
        ++entry;
    }
    std::erase_if(relays_, [&](const auto &entry) {
        return context_.now - entry.second.sentAt >= context_.timing().probeInterval;
    });
}

void Prober::checkSuspicions()
{
    std::vector<VmId> over;
    for (const auto &[vm, end] : suspicionEnds_) {
        if (context_.now >= end) {
            over.push_back(vm);
        }
    }
    for (const VmId &vm : over) {
        suspicionEnds_.erase(vm);
        const Member *held = members_.find(vm);
        if (held == nullptr || held->state != MemberState::Suspect) {
            continue;
        }
        Member dead = *held;
        dead.state = MemberState::Dead;
        dead.changedAt = context_.wall;
        ++context_.counters.deathsDeclared;
        context_.originate(std::move(dead));
    }
}

void Prober::suspect(const VmId &vm)
{
    const Member *held = members_.find(vm);
    if (held == nullptr || held->state != MemberState::Alive) {
        return;
    }
    Member suspected = *held;
    suspected.state = MemberState::Suspect;
    suspected.changedAt = context_.wall;
    ++context_.counters.suspicionsRaised;
    context_.originate(std::move(suspected));
}

void Prober::startProbe(std::uint64_t digest)
{
    if (order_.empty()) {
        for (const Member *peer : members_.zonePeers()) {
            order_.push_back(peer->vm);
        }
        keepRandom(order_, order_.size(), context_.random);
    }
    while (!order_.empty()) {
        const Member *target = members_.find(order_.back());
        order_.pop_back();
        if (target != nullptr && isLive(*target) && target->zone == context_.settings.zone) {
            pending_[++sequence_] = { target->vm, context_.now };
            sendProbe(*target, sequence_, digest);
            return;
        }
    }
}

void Prober::probeAbroad(const Member &member, std::uint64_t digest)
{
    pending_[++sequence_] = { member.vm, context_.now, true, false };
    sendProbe(member, sequence_, digest);
}

void Prober::sendProbe(const Member &member, std::uint64_t sequence, std::uint64_t digest)
{
    context_.send(member, Probe { context_.sender(), sequence, digest, takeUpdates(member.vm) });
}

void Prober::askOthers(std::uint64_t sequence, const VmId &target)
{
    std::vector<const Member *> others = members_.zonePeers();
    std::erase_if(others, [&](const Member *other) { return other->vm == target; });
    keepRandom(others, context_.timing().indirectProbes, context_.random);
    for (const Member *other : others) {
        context_.send(*other, ProbeRequest { context_.sender(), sequence, target, takeUpdates(other->vm) });
    }
}

void Prober::onProbe(const Probe &probe, std::uint64_t digest)
{
    const Member *sender = members_.find(probe.from.vm);
    if (sender == nullptr) {
        return;
    }
    context_.send(*sender,
                  ProbeAck { context_.sender(), probe.sequence, context_.sender(), digest, takeUpdates(sender->vm) });
}

void Prober::onProbeRequest(const ProbeRequest &request, std::uint64_t digest)
{
    const Member *target = members_.find(request.target);
    if (target == nullptr) {
        return;
    }
    relays_[++sequence_] = { request.from.vm, request.sequence, context_.now };
    sendProbe(*target, sequence_, digest);
}

void Prober::onProbeAck(const ProbeAck &ack)
{
    pending_.erase(ack.sequence);
    const auto relay = relays_.find(ack.sequence);
    if (relay == relays_.end()) {
        return;
    }
    if (const Member *requester = members_.find(relay->second.requester)) {
        ProbeAck passed { context_.sender(), relay->second.sequence, ack.about, ack.digest, {} };
        passed.updates = takeUpdates(requester->vm);
        context_.send(*requester, std::move(passed));
    }
    relays_.erase(relay);
}

void Prober::onSignOfLife(const Sender &sender)
{
    const Member *held = members_.find(sender.vm);
    if (held == nullptr || held->incarnation != sender.incarnation || held->state == MemberState::Left) {
        return;
    }
    if (sender.epoch > held->epoch) {
        Member alive = *held;
        alive.epoch = sender.epoch;
        alive.state = MemberState::Alive;
        alive.changedAt = context_.wall;
        context_.originate(std::move(alive));
        return;
    }
    if (held->state != MemberState::Alive) {
        context_.send(*held, FactPush { context_.sender(), 0, true, { *held } });
    }
}

void Prober::onMemberChanged(const Member &member)
{
    updates_[member.vm] = transmissions();
    const bool ownZone = member.zone == context_.settings.zone;
    if (member.state == MemberState::Suspect && ownZone && member.vm != context_.settings.vm) {
        suspicionEnds_.try_emplace(member.vm, context_.now + context_.timing().suspicionTimeout);
    } else {
        suspicionEnds_.erase(member.vm);
    }
}

std::uint32_t Prober::transmissions() const
{
    const std::size_t members = members_.zonePeers().size() + 1;
    return transmissionFactor * static_cast<std::uint32_t>(std::bit_width(members));
}

std::vector<Member> Prober::takeUpdates(const VmId &to)
{
    std::vector<Member> updates;
    const Member *receiver = members_.find(to);
    if (receiver != nullptr && receiver->state != MemberState::Alive) {
        updates.push_back(*receiver); // so that it can refute
    }
    const bool abroad = receiver != nullptr && receiver->zone != context_.settings.zone;
    if (abroad) {
        // After a partition the other zone may know none of this zone's VMs under their present addresses.
        updates.push_back(context_.self);
    }
    std::vector<std::pair<std::uint32_t, VmId>> candidates;
    for (const auto &[vm, left] : updates_) {
        candidates.emplace_back(left, vm);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto &[left, vm] : candidates) {
        if (updates.size() >= maxUpdates) {
            break;
        }
        const Member *member = members_.find(vm);
        const bool withheld = member != nullptr && abroad && !crossesZones(*member);
        if (member != nullptr && vm != to && !withheld) {
            updates.push_back(*member);
        }
        if (left <= 1 || member == nullptr) {
            updates_.erase(vm);
        } else {
            updates_[vm] = left - 1;
        }
    }
    return updates;
}

} // namespace lacewing::fleet
