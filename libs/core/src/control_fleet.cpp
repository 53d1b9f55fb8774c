#include "control_state.h"

namespace lacewing::core
{

void ControlCore::State::tellFleet(const fleet::Event &event)
{
    for (const fleet::Effect &effect : fleet.handle(event, now_)) {
        std::visit([&](const auto &each) { take(each); }, effect);
    }
}

void ControlCore::State::take(const fleet::Send &effect)
{
    effects_.emplace_back(SendPeer { effect.to, effect.address, effect.message });
}

void ControlCore::State::take(const fleet::WatchEndpoint &effect)
{
    effects_.emplace_back(WatchEndpoint { effect.endpoint, effect.address });
}

void ControlCore::State::take(const fleet::UnwatchEndpoint &effect)
{
    effects_.emplace_back(UnwatchEndpoint { effect.endpoint });
}

void ControlCore::State::take(const fleet::ConfigLearned &effect)
{
    const config::VersionedItem &item = effect.fact.item;
    auto &held = learned_[item.key];
    if (item.version > held.item.version && item.version > store.versionOf(item.key)) {
        held = effect.fact;
        publishDue_ = true;
    } else if (held.item.version == ConfigVersion()) {
        learned_.erase(item.key);
    }
    announced_[item.key] = std::max(announced_[item.key], item.version);
    config::ChangeResult result;
    result.id = effect.fact.change;
    result.key = item.key;
    result.by = effect.fact.by;
    result.version = item.version;
    result.current = item.version;
    settleChange(result);
}

void ControlCore::State::take(const fleet::ReadConfig &effect)
{
    reader_ = effect.enabled;
    nextConfigRead_ = now_;
}

void ControlCore::State::take(const fleet::SuspicionChanged &effect)
{
    if (effect.state == fleet::SuspicionState::Quarantined) {
        effects_.emplace_back(
            StateChange { StateChange::Kind::Quarantined, std::to_string(effect.fingerprint.value()) });
    }
    effects_.emplace_back(TellJobs { std::nullopt, SuspicionNews { effect.fingerprint, effect.state } });
}

void ControlCore::State::take(const fleet::PermitAnswered &effect)
{
    const auto asked = permits_.find({ effect.fingerprint, effect.endpoint });
    if (asked == permits_.end()) {
        return;
    }
    const CallId call = asked->second;
    permits_.erase(asked);
    tellJob(call.job, PermitSettled { call, effect.refusal });
}

void ControlCore::State::take(const fleet::LeaveRequested & /*effect*/)
{
    effects_.emplace_back(LeaveAsked {});
}

void ControlCore::State::take(const fleet::Superseded & /*effect*/)
{
    effects_.emplace_back(Superseded {});
}

void ControlCore::State::take(const fleet::CaughtUp & /*effect*/)
{
    caughtUp_ = true;
    publishDue_ = true;
}

void ControlCore::State::take(const fleet::ViewChanged & /*effect*/)
{
    publishDue_ = true;
    tellMembers();
}

void ControlCore::State::tellMembers()
{
    ledger::MembersChanged changed;
    for (const fleet::MemberView &each : fleet.view()->members) {
        const bool live =
            each.member.state == fleet::MemberState::Alive || each.member.state == fleet::MemberState::Suspect;
        if (live) {
            changed.members.push_back({ each.member.vm, each.member.zone });
        }
    }
    takeClaims(claims.handle(changed, now_, wall_));
}

void ControlCore::State::sendTo(const VmId &vm, PeerMessage message)
{
    for (const fleet::MemberView &each : fleet.view()->members) {
        if (each.member.vm == vm) {
            effects_.emplace_back(SendPeer { vm, each.member.address, std::move(message) });
            return;
        }
    }
}

} // namespace lacewing::core
