#include "quarantine.h"

#include <algorithm>

namespace lacewing::fleet
{
namespace
{

/** Marks of one endpoint whose times differ by less are of one crash, told by several VMs. */
constexpr Duration sameCrash = 10s;
/** Marks that make a quarantine. */
constexpr std::size_t quarantineCrashes = 2;
/** Tries to reach the arbiter before a permit is refused. */
constexpr std::uint32_t maxTries = 3;
/** A new arbiter waits for the old one's permits and this much longer. */
constexpr Duration graceMargin = 5s;

bool isSameCrash(const CrashMark &left, const CrashMark &right)
{
    if (left.endpoint != right.endpoint) {
        return false;
    }
    const bool bothKnown = left.incarnation != Incarnation() && right.incarnation != Incarnation();
    return bothKnown ? left.incarnation == right.incarnation : right.at - left.at < sameCrash;
}

/** Number of different crashes; the marks are in order of endpoint and time. */
std::size_t countCrashes(const std::vector<CrashMark> &marks)
{
    std::size_t crashes = 0;
    const CrashMark *previous = nullptr;
    for (const CrashMark &mark : marks) {
        if (mark.cleared) {
            continue;
        }
        if (previous == nullptr || !isSameCrash(*previous, mark)) {
            ++crashes;
        }
        previous = &mark;
    }
    return crashes;
}

std::string duty(const PoolId &pool)
{
    return "arbiter/" + pool.text();
}

} // namespace

Quarantine::Quarantine(Context &context, const Members &members, Time now)
    : context_(context)
    , members_(members)
    , arbiterFrom_(now + grace())
{
}

Duration Quarantine::grace() const
{
    return context_.timing().permitLifetime + graceMargin;
}

SuspicionState Quarantine::state(Fingerprint fingerprint) const
{
    const auto found = marks_.find(fingerprint);
    const std::size_t crashes = found != marks_.end() ? countCrashes(found->second) : 0;
    if (crashes >= quarantineCrashes) {
        return SuspicionState::Quarantined;
    }
    return crashes == 0 ? SuspicionState::Clear : SuspicionState::Suspect;
}

std::unordered_map<Fingerprint, SuspicionState> Quarantine::states() const
{
    std::unordered_map<Fingerprint, SuspicionState> states;
    for (const auto &entry : marks_) {
        const SuspicionState current = state(entry.first);
        if (current != SuspicionState::Clear) {
            states.emplace(entry.first, current);
        }
    }
    return states;
}

void Quarantine::notify(Fingerprint fingerprint, SuspicionState before)
{
    const SuspicionState after = state(fingerprint);
    if (after != before) {
        context_.effects.emplace_back(SuspicionChanged { fingerprint, after });
    }
}

void Quarantine::onMarkStored(const CrashMark &mark)
{
    const SuspicionState before = state(mark.fingerprint);
    auto &marks = marks_[mark.fingerprint];
    const auto same =
        std::find_if(marks.begin(), marks.end(), [&](const CrashMark &held) { return keyOf(held) == keyOf(mark); });
    if (same != marks.end()) {
        *same = mark;
    } else {
        marks.push_back(mark);
        std::sort(marks.begin(), marks.end(), [](const CrashMark &left, const CrashMark &right) {
            return std::tie(left.endpoint, left.at, left.incarnation)
                < std::tie(right.endpoint, right.at, right.incarnation);
        });
        std::erase_if(grants_, [&](const Grant &grant) {
            return grant.fingerprint == mark.fingerprint && grant.endpoint == mark.endpoint;
        });
    }
    notify(mark.fingerprint, before);
}

void Quarantine::onMarkRemoved(const CrashMark &mark)
{
    const auto found = marks_.find(mark.fingerprint);
    if (found == marks_.end()) {
        return;
    }
    const SuspicionState before = state(mark.fingerprint);
    std::erase_if(found->second, [&](const CrashMark &held) { return keyOf(held) == keyOf(mark); });
    notify(mark.fingerprint, before);
    if (found->second.empty()) {
        marks_.erase(found);
    }
}

void Quarantine::onCrash(const EndpointCrashed &crash, Incarnation known)
{
    const Incarnation incarnation = crash.incarnation == Incarnation() ? known : crash.incarnation;
    std::vector<Fact> marks;
    for (const Fingerprint fingerprint : crash.running) {
        const CrashMark mark { fingerprint, crash.pool, crash.endpoint, incarnation, context_.wall, false };
        marks.emplace_back(mark);
        context_.originate(mark);
        held_.erase(fingerprint);
    }
    // The arbiter learns of it first, so that no permit is given in between.
    const Member *arbiter = members_.find(this->arbiter(crash.pool));
    if (arbiter != nullptr && arbiter->vm != context_.settings.vm && !marks.empty()) {
        const bool abroad = arbiter->zone != context_.settings.zone;
        context_.send(*arbiter, FactPush { context_.sender(), 1, abroad, std::move(marks) });
    }
}

void Quarantine::clear(Fingerprint fingerprint, const PoolId *pool)
{
    const auto found = marks_.find(fingerprint);
    if (found == marks_.end()) {
        return;
    }
    for (CrashMark mark : found->second) {
        if (!mark.cleared && (pool == nullptr || mark.pool == *pool)) {
            mark.cleared = true;
            context_.originate(mark);
        }
    }
}

void Quarantine::onLift(const LiftQuarantine &lift)
{
    clear(lift.fingerprint, nullptr);
}

VmId Quarantine::arbiter(const PoolId &pool) const
{
    return members_.chooseInFleet(duty(pool), std::nullopt);
}

void Quarantine::onWanted(const PermitWanted &wanted)
{
    std::erase_if(held_, [&](const auto &entry) { return context_.now >= entry.second; });
    if (wishes_.contains(wanted.fingerprint) || held_.contains(wanted.fingerprint)) {
        answer(wanted, PermitRefusal::Running, context_.now);
        return;
    }
    Wish &wish = wishes_[wanted.fingerprint];
    wish = { wanted, context_.now, context_.now, 0 };
    ask(wish);
}

void Quarantine::ask(Wish &wish)
{
    ++wish.tries;
    wish.sentAt = context_.now;
    const PermitWanted wanted = wish.wanted;
    const PermitRequest request { context_.sender(), wanted.fingerprint, wanted.pool, wanted.endpoint };
    const Member *arbiter = members_.find(this->arbiter(wanted.pool));
    if (arbiter != nullptr && arbiter->vm != context_.settings.vm) {
        context_.send(*arbiter, request);
        return;
    }
    takeAnswer({ context_.sender(), wanted.fingerprint, wanted.pool, wanted.endpoint, decide(request) });
}

PermitRefusal Quarantine::decide(const PermitRequest &request)
{
    const Time now = context_.now;
    std::erase_if(grants_, [&](const Grant &grant) { return now >= grant.until; });
    if (state(request.fingerprint) == SuspicionState::Quarantined) {
        return PermitRefusal::Quarantined;
    }
    const VmId chosen = members_.chooseInFleet(duty(request.pool), now - grace());
    if (chosen != context_.settings.vm || now < arbiterFrom_) {
        return PermitRefusal::NotArbiter;
    }
    for (Grant &grant : grants_) {
        const bool sameHolder = grant.holder == request.from.vm && grant.incarnation == request.from.incarnation;
        if (grant.fingerprint == request.fingerprint) {
            // A repeated request, whose answer was lost, is granted again.
            return sameHolder && grant.endpoint == request.endpoint ? PermitRefusal::None : PermitRefusal::Running;
        }
        if (grant.endpoint == request.endpoint) {
            return PermitRefusal::EndpointTaken;
        }
    }
    grants_.push_back(
        { request.fingerprint, request.endpoint, request.from.vm, request.from.incarnation, now + grace() });
    return PermitRefusal::None;
}

void Quarantine::onRequest(const PermitRequest &request)
{
    const Member *member = members_.find(request.from.vm);
    if (member == nullptr) {
        return;
    }
    context_.send(
        *member,
        PermitAnswer { context_.sender(), request.fingerprint, request.pool, request.endpoint, decide(request) });
}

void Quarantine::onAnswer(const PermitAnswer &message)
{
    takeAnswer(message);
}

void Quarantine::takeAnswer(const PermitAnswer &message)
{
    const auto found = wishes_.find(message.fingerprint);
    if (found == wishes_.end() || found->second.wanted.endpoint != message.endpoint) {
        return;
    }
    const Wish wish = found->second;
    wishes_.erase(found);
    // The arbiter's permit runs from its own clock; counted from the first request, ours ends before it.
    answer(wish.wanted, message.refusal, wish.firstSentAt + context_.timing().permitLifetime);
}

void Quarantine::answer(const PermitWanted &wanted, PermitRefusal refusal, Time until)
{
    if (refusal == PermitRefusal::None) {
        held_[wanted.fingerprint] = until;
    }
    context_.effects.emplace_back(PermitAnswered { wanted.fingerprint, wanted.pool, wanted.endpoint, refusal, until });
}

void Quarantine::onEnded(const PermitEnded &ended)
{
    held_.erase(ended.fingerprint);
    if (ended.finished) {
        clear(ended.fingerprint, &ended.pool);
    }
    const PermitRelease release { context_.sender(), ended.fingerprint, ended.pool, ended.endpoint };
    const Member *arbiter = members_.find(this->arbiter(ended.pool));
    if (arbiter == nullptr || arbiter->vm == context_.settings.vm) {
        onRelease(release);
    } else {
        context_.send(*arbiter, release);
    }
}

void Quarantine::onRelease(const PermitRelease &release)
{
    std::erase_if(grants_, [&](const Grant &grant) {
        return grant.fingerprint == release.fingerprint && grant.endpoint == release.endpoint
            && grant.holder == release.from.vm && grant.incarnation == release.from.incarnation;
    });
}

void Quarantine::onRefuted()
{
    arbiterFrom_ = context_.now + grace();
}

void Quarantine::tick()
{
    std::vector<PermitWanted> givenUp;
    std::vector<Fingerprint> repeated;
    for (auto &[fingerprint, wish] : wishes_) {
        if (context_.now - wish.sentAt < context_.timing().requestTimeout) {
            continue;
        }
        if (wish.tries >= maxTries) {
            givenUp.push_back(wish.wanted);
        } else {
            repeated.push_back(fingerprint);
        }
    }
    for (const PermitWanted &wanted : givenUp) {
        wishes_.erase(wanted.fingerprint);
        answer(wanted, PermitRefusal::NoAnswer, context_.now);
    }
    for (const Fingerprint fingerprint : repeated) {
        ask(wishes_.at(fingerprint));
    }
}

std::optional<Time> Quarantine::nextWake() const
{
    std::optional<Time> wake;
    for (const auto &entry : wishes_) {
        const Time due = entry.second.sentAt + context_.timing().requestTimeout;
        wake = wake ? std::min(*wake, due) : due;
    }
    return wake;
}

} // namespace lacewing::fleet
