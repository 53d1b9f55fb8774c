#include "fleet_state.h"

#include <algorithm>

namespace lacewing::fleet
{
namespace
{

/** Facts that a comparison brought are passed on in the zone when they are at most this many. */
constexpr std::size_t maxForwarded = 16;
/** Interval between searches for expired facts. */
constexpr Duration expiryInterval = 10s;
/** The name of the duty to read the configuration from the log. */
constexpr std::string_view readerDuty = "config-reader";

Member selfFrom(const Settings &settings)
{
    return { settings.vm, settings.region,    settings.zone, settings.address, settings.incarnation, settings.wall,
             0,           MemberState::Alive, settings.wall };
}

} // namespace

Fleet::State::State(const Settings &settings, Time now)
    : context_ { settings, Random(settings.seed), now, settings.wall, selfFrom(settings), {}, {}, {} }
    , store_(settings.timing)
    , members_(context_)
    , prober_(context_, members_, now)
    , spreader_(context_, members_, store_)
    , endpoints_(context_, members_, now)
    , quarantine_(context_, members_, now)
    , joiner_(context_, members_, store_, now)
    , wallBase_(settings.wall)
    , timeBase_(now)
    , nextCompareAbroad_(now)
    , nextExpiry_(now + expiryInterval)
    , heardFrontierAt_(now)
    , nextFrontier_(now)
    , silence_(settings.timing.frontierSilence + context_.random.jitter(1s, 1.0))
    , view_(std::make_shared<View>())
{
    learnOne(context_.self);
}

std::vector<Effect> Fleet::State::handle(const Event &event, Time now)
{
    setTime(event, now);
    dispatch(event);
    flushOriginated();
    if (membersChanged_) {
        membersChanged_ = false;
        endpoints_.onMembersChanged();
        chosenReader_ = members_.isChosen(readerDuty, context_.settings.configReaders);
    }
    updateConfigReading();
    rebuildView();
    return std::exchange(context_.effects, {});
}

void Fleet::State::setTime(const Event &event, Time now)
{
    if (const auto *tick = std::get_if<Tick>(&event)) {
        wallBase_ = tick->wall;
        timeBase_ = now;
    }
    context_.now = now;
    context_.wall = wallBase_ + (now - timeBase_);
}

void Fleet::State::dispatch(const Event &event)
{
    std::visit(
        Overloaded {
            [&](const Tick &) { onTick(); },
            [&](const MessageReceived &received) { onMessage(received.message); },
            [&](const PlatformList &list) { onList(list); },
            [&](const EndpointReport &report) {
                endpoints_.onReport(report);
                endpoints_.tick();
                markStale(Staleness::Load);
            },
            [&](const MarkEndpointLeaving &mark) { endpoints_.onMark(mark); },
            [&](const MarkVmLeaving &mark) { onMarkVm(mark); },
            [&](const Stopped &) { onStopped(); },
            [&](const EndpointCrashed &crash) { quarantine_.onCrash(crash, endpoints_.incarnation(crash.endpoint)); },
            [&](const PermitWanted &wanted) { quarantine_.onWanted(wanted); },
            [&](const PermitEnded &ended) { quarantine_.onEnded(ended); },
            [&](const LiftQuarantine &lift) { quarantine_.onLift(lift); },
            [&](const ConfigAccepted &accepted) { context_.originate(accepted.fact); },
            [&](const ConfigRejected &rejected) { context_.originate(rejected.rejection); },
            [&](const ConfigRead &read) { onConfigRead(read); },
            [&](const UsageMeasured &usage) { endpoints_.onUsage(usage); },
        },
        event);
}

void Fleet::State::onTick()
{
    if (context_.now >= nextExpiry_) {
        nextExpiry_ = context_.now + expiryInterval;
        expireFacts();
    }
    prober_.tick(store_.digest());
    joiner_.tick();
    endpoints_.tick();
    quarantine_.tick();
    if (context_.now >= nextCompareAbroad_) {
        nextCompareAbroad_ = context_.now + context_.random.jitter(context_.timing().bridgeInterval, 0.2);
        compareAbroad();
    }
}

Time Fleet::State::nextWake() const
{
    Time wake =
        std::min({ prober_.nextWake(), joiner_.nextWake(), endpoints_.nextWake(), nextCompareAbroad_, nextExpiry_ });
    if (const auto due = quarantine_.nextWake()) {
        wake = std::min(wake, *due);
    }
    if (staleness_ == Staleness::Load) {
        wake = std::min(wake, viewBuiltAt_ + context_.timing().viewInterval);
    }
    return wake;
}

void Fleet::State::compareAbroad()
{
    for (const auto &[zone, members] : members_.otherZones()) {
        if (spreader_.isBridge(zone)) {
            prober_.probeAbroad(*members[context_.random.below(members.size())], store_.digest());
        }
    }
}

void Fleet::State::expireFacts()
{
    for (const Fact &fact : store_.expire(context_.wall)) {
        if (const auto *member = std::get_if<Member>(&fact)) {
            members_.remove(member->vm);
            membersChanged_ = true;
        } else if (const auto *mark = std::get_if<CrashMark>(&fact)) {
            quarantine_.onMarkRemoved(*mark);
        } else if (const auto *leaving = std::get_if<EndpointLeaving>(&fact)) {
            endpoints_.onLeavingRemoved(*leaving);
        }
        markStale(Staleness::Urgent);
    }
}

void Fleet::State::onList(const PlatformList &list)
{
    if (list.asOf < listedAsOf_) {
        return;
    }
    listedAsOf_ = list.asOf;
    joiner_.onList(list);
    endpoints_.onList(list);
    markStale(Staleness::Urgent);
}

void Fleet::State::onMarkVm(const MarkVmLeaving &mark)
{
    const Member *member = members_.find(mark.vm);
    if (member != nullptr) {
        context_.originate(VmLeaving { member->vm, member->incarnation, context_.wall });
    }
}

void Fleet::State::onStopped()
{
    context_.self.state = MemberState::Left;
    context_.self.changedAt = context_.wall;
    context_.originate(context_.self);
}

void Fleet::State::onConfigRead(const ConfigRead &read)
{
    if (context_.now >= nextFrontier_) {
        nextFrontier_ = context_.now + context_.timing().frontierInterval;
        context_.originate(ConfigFrontier { context_.settings.zone, read.next, context_.wall, context_.self.vm });
    }
}

void Fleet::State::updateConfigReading()
{
    const bool silent = context_.now - heardFrontierAt_ >= silence_;
    const bool wanted = chosenReader_ || silent;
    if (wanted != readsConfig_) {
        readsConfig_ = wanted;
        context_.effects.emplace_back(ReadConfig { wanted });
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Messages

void Fleet::State::onMessage(const PeerMessage &message)
{
    const Sender &from = std::visit([](const auto &kind) -> const Sender & { return kind.from; }, message);
    if (const auto *join = std::get_if<Join>(&message)) {
        onJoin(*join);
        return;
    }
    if (members_.find(from.vm) == nullptr) {
        ++context_.counters.unknownSenders;
    }
    prober_.onSignOfLife(from);
    std::visit(Overloaded {
                   [&](const Probe &probe) {
                       onUpdates(probe.updates);
                       prober_.onProbe(probe, store_.digest());
                   },
                   [&](const ProbeRequest &request) {
                       onUpdates(request.updates);
                       prober_.onProbeRequest(request, store_.digest());
                   },
                   [&](const ProbeAck &ack) {
                       onUpdates(ack.updates);
                       prober_.onProbeAck(ack);
                       prober_.onSignOfLife(ack.about);
                       onDigest(ack.about, ack.digest);
                   },
                   [&](const Join &) {},
                   [&](const FactPush &push) { onPush(push); },
                   [&](const BucketDigest &digest) { spreader_.onBucketDigest(digest); },
                   [&](const FactNames &names) { spreader_.onFactNames(names); },
                   [&](const FactRequest &request) { spreader_.onFactRequest(request); },
                   [&](const StateRequest &request) { spreader_.onStateRequest(request, joiner_.isCaughtUp()); },
                   [&](const StatePart &part) {
                       learn(part.facts);
                       joiner_.onStatePart(part);
                   },
                   [&](const LoadShare &share) {
                       endpoints_.onLoadShare(share);
                       markStale(Staleness::Load);
                   },
                   [&](const PermitRequest &request) { quarantine_.onRequest(request); },
                   [&](const PermitAnswer &answer) { quarantine_.onAnswer(answer); },
                   [&](const PermitRelease &release) { quarantine_.onRelease(release); },
               },
               message);
}

void Fleet::State::onJoin(const Join &join)
{
    onUpdates({ join.self });
    prober_.onSignOfLife(join.from);
    joiner_.onJoin(join);
}

void Fleet::State::onUpdates(const std::vector<Member> &updates)
{
    std::vector<Fact> facts(updates.begin(), updates.end());
    const auto fresh = learn(facts);
    spreader_.spread(fresh, { VmId(), 0, false });
}

void Fleet::State::onDigest(const Sender &peer, std::uint64_t digest)
{
    spreader_.onDigest(peer.vm, digest);
}

void Fleet::State::onPush(const FactPush &push)
{
    const auto fresh = learn(push.facts);
    const bool repaired = push.hop == 0 && fresh.size() > maxForwarded && isOwnZone(push.from);
    if (!repaired) {
        spreader_.spread(fresh, { push.from.vm, push.hop, push.abroad });
    }
}

bool Fleet::State::isOwnZone(const Sender &sender) const
{
    const Member *member = members_.find(sender.vm);
    return member != nullptr && member->zone == context_.settings.zone;
}

// ---------------------------------------------------------------------------------------------------------------------
// Facts

std::vector<Fact> Fleet::State::learn(const std::vector<Fact> &facts)
{
    std::vector<Fact> fresh;
    for (const Fact &fact : facts) {
        if (learnOne(fact)) {
            fresh.push_back(fact);
        }
    }
    return fresh;
}

bool Fleet::State::learnOne(const Fact &fact)
{
    if (const auto *member = std::get_if<Member>(&fact); member != nullptr && refuteIfSelf(*member)) {
        return false;
    }
    switch (store_.add(fact, context_.wall)) {
    case Added::Known:
        ++context_.counters.factsKnown;
        return false;
    case Added::Refused:
        ++context_.counters.factsRefused;
        return false;
    case Added::New:
        break;
    }
    ++context_.counters.factsNew;
    onStored(fact);
    return true;
}

bool Fleet::State::refuteIfSelf(const Member &member)
{
    const Member &self = context_.self;
    if (member.vm != self.vm || self.state == MemberState::Left) {
        return false;
    }
    if (member.incarnation == self.incarnation) {
        if (member.epoch >= self.epoch && member.state != MemberState::Alive) {
            refute(member.epoch + 1);
        }
        return member != self;
    }
    if (std::tie(member.startedAt, member.incarnation) < std::tie(self.startedAt, self.incarnation)) {
        return true;
    }
    if (joiner_.isCaughtUp()) {
        if (!superseded_) {
            superseded_ = true;
            context_.effects.emplace_back(Superseded {});
        }
        return false;
    }
    // An earlier incarnation whose clock was ahead: this one must come after it.
    context_.self.startedAt = member.startedAt + Duration(1);
    context_.originate(context_.self);
    return true;
}

void Fleet::State::refute(std::uint32_t epoch)
{
    ++context_.counters.refutations;
    context_.self.epoch = epoch;
    context_.self.state = MemberState::Alive;
    context_.self.changedAt = context_.wall;
    quarantine_.onRefuted();
    context_.originate(context_.self);
}

void Fleet::State::onStored(const Fact &fact)
{
    std::visit(Overloaded {
                   [&](const Member &member) { onStoredMember(member); },
                   [&](const EndpointLeaving &mark) {
                       endpoints_.onLeavingStored(mark);
                       markStale(Staleness::Urgent);
                   },
                   [&](const EndpointStarted &start) {
                       endpoints_.onStartStored(start);
                       markStale(Staleness::Urgent);
                   },
                   [&](const VmLeaving &mark) { onStoredVmLeaving(mark); },
                   [&](const CrashMark &mark) {
                       quarantine_.onMarkStored(mark);
                       markStale(Staleness::Urgent);
                   },
                   [&](const ConfigFact &config) { context_.effects.emplace_back(ConfigLearned { config }); },
                   [&](const ConfigRejection &) {},
                   [&](const ConfigFrontier &frontier) { onStoredFrontier(frontier); },
                   [&](const ZoneLoad &load) {
                       zones_[load.zone] = { load, context_.now };
                       markStale(Staleness::Load);
                   },
               },
               fact);
}

void Fleet::State::onStoredMember(const Member &member)
{
    members_.set(member, context_.now);
    prober_.onMemberChanged(member);
    joiner_.onMemberChanged(member);
    membersChanged_ = true;
    markStale(Staleness::Urgent);
}

void Fleet::State::onStoredVmLeaving(const VmLeaving &mark)
{
    markStale(Staleness::Urgent);
    const bool self = mark.vm == context_.self.vm && mark.incarnation == context_.self.incarnation;
    if (self && !leaveRequested_) {
        leaveRequested_ = true;
        context_.effects.emplace_back(LeaveRequested {});
    }
}

void Fleet::State::onStoredFrontier(const ConfigFrontier &frontier)
{
    if (frontier.zone != context_.settings.zone || frontier.reader == context_.self.vm) {
        return;
    }
    // Of two VMs that read for themselves, the first by id goes on.
    const auto readers = members_.choose(readerDuty, context_.settings.configReaders);
    const bool chosen = std::find(readers.begin(), readers.end(), frontier.reader) != readers.end();
    if (!readsConfig_ || chosen || frontier.reader < context_.self.vm) {
        heardFrontierAt_ = context_.now;
    }
}

void Fleet::State::flushOriginated()
{
    while (!context_.originated.empty()) {
        const auto facts = std::exchange(context_.originated, {});
        spreader_.spread(learn(facts), {});
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// View

void Fleet::State::markStale(Staleness staleness)
{
    staleness_ = std::max(staleness_, staleness);
}

void Fleet::State::rebuildView()
{
    const bool due = context_.now - viewBuiltAt_ >= context_.timing().viewInterval;
    if (staleness_ == Staleness::None || (staleness_ == Staleness::Load && !due)) {
        return;
    }
    staleness_ = Staleness::None;
    viewBuiltAt_ = context_.now;
    auto view = std::make_shared<View>();
    for (const auto &[vm, member] : members_.all()) {
        const bool leaving = store_.find(vmLeavingKey(vm, member.incarnation)) != nullptr;
        if (member.state != MemberState::Left) {
            view->members.push_back({ member, leaving });
        }
    }
    view->endpoints = endpoints_.views();
    view->suspicions = quarantine_.states();
    for (const auto &entry : zones_) {
        view->zones.push_back(entry.second);
    }
    view->heavy = endpoints_.heaviest();
    view_ = std::move(view);
    context_.effects.emplace_back(ViewChanged {});
}

} // namespace lacewing::fleet
