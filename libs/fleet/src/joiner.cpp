#include "joiner.h"

#include <algorithm>

namespace lacewing::fleet
{
namespace
{

/** VMs of the own zone, and of other zones, that a starting VM contacts at a time. */
constexpr std::size_t contactsAtStart = 3;
/** Interval between contacts while starting. */
constexpr Duration startContactInterval = 500ms;
/** Difference between the platform's clock and ours that is allowed for. */
constexpr Duration clockSkew = 5s;

ListedVm listedFrom(const Member &member)
{
    return { member.vm, member.region, member.zone, member.address, false, member.incarnation };
}

} // namespace

Joiner::Joiner(Context &context, const Members &members, const FactStore &store, Time now)
    : context_(context)
    , members_(members)
    , store_(store)
    , nextContact_(now)
    , giveUpAt_(now + context.timing().joinTimeout)
{
}

Time Joiner::nextWake() const
{
    if (caughtUp_) {
        return nextContact_;
    }
    Time wake = std::min(nextContact_, giveUpAt_);
    if (statePeer_) {
        wake = std::min(wake, stateSentAt_ + context_.timing().requestTimeout);
    }
    return std::max(wake, context_.now + 1ms);
}

void Joiner::tick()
{
    if (!caughtUp_ && context_.now >= giveUpAt_ && !statePeer_) {
        finish(false);
    }
    if (statePeer_ && context_.now - stateSentAt_ >= context_.timing().requestTimeout) {
        // Goes on at the same place with another VM.
        const auto &peers = members_.zonePeers();
        requestState(peers.empty() ? *statePeer_ : peers[context_.random.below(peers.size())]->vm);
    }
    if (context_.now >= nextContact_) {
        nextContact_ = context_.now + (caughtUp_ ? context_.timing().contactInterval : startContactInterval);
        contact();
    }
}

void Joiner::contact()
{
    std::vector<ListedVm> dead;
    for (const auto &[vm, member] : members_.all()) {
        if (member.state == MemberState::Dead && !listed_.contains(vm)) {
            dead.push_back(listedFrom(member));
        }
    }
    std::vector<const ListedVm *> own;
    std::vector<const ListedVm *> others;
    const auto consider = [&](const ListedVm &listed) {
        const Member *member = members_.find(listed.vm);
        const bool reachable = member != nullptr && isLive(*member) && member->address == listed.address;
        if (listed.vm != context_.settings.vm && !reachable) {
            (listed.zone == context_.settings.zone ? own : others).push_back(&listed);
        }
    };
    for (const auto &entry : listed_) {
        consider(entry.second);
    }
    std::for_each(dead.begin(), dead.end(), consider);
    const std::size_t count = caughtUp_ ? 1 : contactsAtStart;
    contactSome(own, count);
    contactSome(others, 1);
}

void Joiner::contactSome(const std::vector<const ListedVm *> &candidates, std::size_t count)
{
    std::vector<const ListedVm *> chosen = candidates;
    keepRandom(chosen, count, context_.random);
    for (const ListedVm *listed : chosen) {
        context_.send(listed->vm, listed->address, Join { context_.sender(), context_.self, false });
    }
}

void Joiner::onJoin(const Join &join)
{
    if (!join.answer) {
        context_.send(join.self, Join { context_.sender(), context_.self, true });
    }
    const Member *held = members_.find(join.self.vm);
    if (held != nullptr && held->incarnation != join.self.incarnation) {
        // Another incarnation counts as the newer one: its record lets the sender find out which of them is to go on.
        context_.send(join.self, FactPush { context_.sender(), 0, true, { *held } });
    }
    // A VM of the own zone is preferred; another one serves when none has answered.
    const bool near = join.self.zone == context_.settings.zone;
    if (!caughtUp_ && !statePeer_ && join.answer && (near || members_.zonePeers().empty())) {
        requestState(join.self.vm);
    }
}

void Joiner::requestState(VmId peer)
{
    const Member *member = members_.find(peer);
    if (member == nullptr || context_.now >= giveUpAt_ + context_.timing().joinTimeout) {
        finish(false);
        return;
    }
    statePeer_ = std::move(peer);
    stateSentAt_ = context_.now;
    context_.send(*member, StateRequest { context_.sender(), stateAfter_ });
}

void Joiner::onStatePart(const StatePart &part)
{
    if (!statePeer_ || part.after != stateAfter_) {
        return;
    }
    if (!part.facts.empty()) {
        stateAfter_ = keyOf(part.facts.back());
    }
    giveUpAt_ = std::max(giveUpAt_, context_.now + context_.timing().joinTimeout);
    if (!part.last) {
        requestState(part.from.vm);
    } else if (part.complete) {
        finish(true);
    } else {
        statePeer_.reset(); // its sender is starting as well
        stateAfter_ = FactKey();
        giveUpAt_ = std::min(giveUpAt_, context_.now + context_.timing().joinTimeout);
    }
}

void Joiner::finish(bool fromPeer)
{
    statePeer_.reset();
    if (!caughtUp_) {
        caughtUp_ = true;
        context_.effects.emplace_back(CaughtUp { fromPeer });
    }
}

void Joiner::onList(const PlatformList &list)
{
    listedAsOf_ = list.asOf;
    listed_.clear();
    for (const ListedVm &listed : list.vms) {
        listed_[listed.vm] = listed;
        applyLeaving(listed);
    }
    declareAbsentDead();
}

void Joiner::onMemberChanged(const Member &member)
{
    const auto listed = listed_.find(member.vm);
    if (listed != listed_.end()) {
        applyLeaving(listed->second);
    }
}

void Joiner::applyLeaving(const ListedVm &listed)
{
    const Member *member = members_.find(listed.vm);
    if (!listed.leaving || member == nullptr) {
        return;
    }
    // Without an incarnation the list may speak of an earlier one, unless it is younger than this one.
    const bool speaksOfThis = listed.incarnation == Incarnation() ? listedAsOf_ > member->startedAt + clockSkew
                                                                  : listed.incarnation == member->incarnation;
    if (speaksOfThis && store_.find(vmLeavingKey(member->vm, member->incarnation)) == nullptr) {
        context_.originate(VmLeaving { member->vm, member->incarnation, context_.wall });
    }
}

void Joiner::declareAbsentDead()
{
    for (const auto &[vm, member] : members_.all()) {
        const bool old = std::max(member.startedAt, member.changedAt) + context_.timing().absenceGrace < listedAsOf_;
        if (member.zone == context_.settings.zone || !isLive(member) || !old || listed_.contains(vm)) {
            continue;
        }
        Member dead = member;
        dead.state = MemberState::Dead;
        dead.changedAt = context_.wall;
        ++context_.counters.deathsDeclared;
        context_.originate(std::move(dead));
    }
}

} // namespace lacewing::fleet
