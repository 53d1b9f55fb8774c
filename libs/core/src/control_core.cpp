#include "control_state.h"

#include <algorithm>

namespace lacewing::core
{
namespace
{

/** Longest time between two ticks. */
constexpr Duration tickInterval = 500ms;

fleet::Settings fleetSettings(const ControlCoreSettings &settings)
{
    fleet::Settings fleet;
    fleet.vm = settings.vm;
    fleet.region = settings.region;
    fleet.zone = settings.zone;
    fleet.address = settings.peerAddress;
    fleet.incarnation = settings.incarnation;
    fleet.seed = settings.seed;
    fleet.wall = settings.wall;
    fleet.timing = settings.timing;
    return fleet;
}

ledger::Self selfOf(const ControlCoreSettings &settings)
{
    return { settings.vm, settings.incarnation, settings.zone };
}

/** Seeds of parts must differ, or their random choices would go in step. */
std::uint64_t partSeed(const ControlCoreSettings &settings, std::string_view part)
{
    return hashBytes(part, settings.seed);
}

} // namespace

std::string_view toText(StateChange::Kind kind) noexcept
{
    switch (kind) {
    case StateChange::Kind::ConfigurationInForce:
        return "configuration-in-force";
    case StateChange::Kind::LeaseGained:
        return "lease-gained";
    case StateChange::Kind::LeaseLost:
        return "lease-lost";
    case StateChange::Kind::LogLost:
        return "log-lost";
    case StateChange::Kind::LogBack:
        return "log-back";
    case StateChange::Kind::Quarantined:
        return "quarantined";
    case StateChange::Kind::MemberChanged:
        return "member-changed";
    case StateChange::Kind::SnapshotWritten:
        return "snapshot-written";
    }
    return "unlisted";
}

ControlCore::State::State(ControlCoreSettings wanted, Time now)
    : settings(std::move(wanted))
    , fleet(fleetSettings(settings), now)
    , claims(selfOf(settings), settings.claims)
    , tickets(selfOf(settings), partSeed(settings, "tickets"))
    , leases(selfOf(settings), partSeed(settings, "leases"), settings.leases)
    , charges(selfOf(settings), settings.batches)
    , audit(selfOf(settings), settings.batches)
    , configuration_(std::make_shared<const config::FleetConfig>())
    , nextConfigRead_(now)
    , nextHint_(now + 1s)
    , nextCapacity_(now + settings.capacityEvery)
    , nextSnapshot_(now + settings.snapshotEvery)
    , lastLogAnswer_(now)
{
}

std::vector<ControlEffect> ControlCore::State::handle(const ControlEvent &event, Time now, WallTime wall)
{
    now_ = now;
    wall_ = wall;
    effects_.clear();
    std::visit([&](const auto &each) { on(each); }, event);
    readConfig();
    publish();
    return std::move(effects_);
}

Time ControlCore::State::nextWake() const
{
    Time wake = now_ + tickInterval;
    const auto earlier = [&](std::optional<Time> other) {
        if (other && *other < wake) {
            wake = *other;
        }
    };
    earlier(fleet.nextWake());
    earlier(claims.nextWake());
    earlier(leases.nextWake());
    earlier(charges.nextWake());
    earlier(audit.nextWake());
    earlier(nextHint_);
    if (wantsToRead() && !configRead_) {
        earlier(nextConfigRead_);
    }
    return std::max(wake, now_ + 1ms);
}

void ControlCore::State::on(const Tick & /*event*/)
{
    tellFleet(fleet::Tick { wall_ });
    takeClaims(claims.tick(now_, wall_));
    takeLeases(leases.tick(now_, wall_));
    askLog(charges.tick(now_));
    askLog(audit.tick(now_));
    giveUpChanges();
    keepLeases();
    if (now_ >= nextHint_) {
        shareHints();
    }
    if (now_ >= nextCapacity_) {
        nextCapacity_ = now_ + settings.capacityEvery;
        planCapacity();
    }
    if (now_ >= nextSnapshot_) {
        writeSnapshot();
    }
}

void ControlCore::State::on(const ListRead &event)
{
    tellFleet(event.list);
}

void ControlCore::State::on(const LogAnswered &event)
{
    const auto *read = std::get_if<log::ReadAnswer>(&event.answer);
    const auto *append = std::get_if<log::AppendAnswer>(&event.answer);
    const bool good =
        (read != nullptr && read->ok) || (append != nullptr && append->outcome == log::AppendOutcome::Done);
    if (good) {
        lastLogAnswer_ = now_;
        everLogAnswer_ = true;
    }
    if (good == logLost_) {
        logLost_ = !good;
        const auto kind = good ? StateChange::Kind::LogBack : StateChange::Kind::LogLost;
        effects_.emplace_back(StateChange { kind, settings.vm.text() });
    }
    if (read != nullptr && read->tag == configRead_) {
        onConfigRead(*read);
        return;
    }
    if (append != nullptr && changeAppends_.contains(append->tag)) {
        onChangeAppended(*append);
        return;
    }
    if (append != nullptr && snapshotAppends_.erase(append->tag) > 0) {
        return;
    }
    takeClaims(claims.handle(event.answer, now_, wall_));
    takeLeases(leases.handle(event.answer, now_, wall_));
    askLog(charges.handle(event.answer, now_));
    askLog(audit.handle(event.answer, now_));
}

void ControlCore::State::on(const PeerReceived &event)
{
    std::visit(Overloaded {
                   [&](const fleet::PeerMessage &message) { tellFleet(fleet::MessageReceived { message }); },
                   [&](const ledger::ClaimMessage &message) {
                       takeClaims(claims.handle(ledger::ClaimMessageReceived { event.from, message }, now_, wall_));
                   },
                   [&](const HintShare &share) { on(share); },
               },
               event.message);
}

void ControlCore::State::on(const EndpointPolled &event)
{
    tellFleet(fleet::EndpointReport { event.load });
}

void ControlCore::State::on(const FromJobs &event)
{
    std::visit([&](const auto &request) { on(request); }, event.request);
}

void ControlCore::State::on(const LeaveEndpoint &event)
{
    record(event.by, "endpoint-leaving", event.endpoint.text(), {}, {});
    tellFleet(fleet::MarkEndpointLeaving { event.endpoint, Incarnation() });
}

void ControlCore::State::on(const LeaveVm &event)
{
    record(event.by, "vm-leaving", event.vm.text(), {}, {});
    tellFleet(fleet::MarkVmLeaving { event.vm });
}

void ControlCore::State::on(const LiftQuarantine &event)
{
    record(event.by, "quarantine-lifted", std::to_string(event.fingerprint.value()), {}, {});
    tellFleet(fleet::LiftQuarantine { event.fingerprint });
}

void ControlCore::State::on(const Flush & /*event*/)
{
    askLog(charges.flush(now_));
    askLog(audit.flush(now_));
}

void ControlCore::State::on(const StopNow & /*event*/)
{
    tellFleet(fleet::Stopped {});
}

ControlCore::ControlCore(ControlCoreSettings settings, Time now)
    : state_(std::make_unique<State>(std::move(settings), now))
{
}

ControlCore::~ControlCore() = default;
ControlCore::ControlCore(ControlCore &&) noexcept = default;
ControlCore &ControlCore::operator=(ControlCore &&) noexcept = default;

std::vector<ControlEffect> ControlCore::handle(const ControlEvent &event, Time now, WallTime wall)
{
    return state_->handle(event, now, wall);
}

Time ControlCore::nextWake() const
{
    return state_->nextWake();
}

std::shared_ptr<const fleet::View> ControlCore::view() const
{
    return state_->fleet.view();
}

std::shared_ptr<const config::FleetConfig> ControlCore::configuration() const
{
    return state_->configuration_;
}

std::size_t ControlCore::pendingWrites() const
{
    return state_->charges.stats().pending + state_->audit.stats().pending;
}

ControlStatus ControlCore::status(Time now) const
{
    ControlStatus status;
    status.configVersion = state_->configuration_->version;
    status.ready = state_->ready_;
    status.configReader = state_->reader_;
    status.logReachable = state_->everLogAnswer_ && !state_->logLost_;
    status.sinceLogAnswer = std::chrono::duration_cast<Duration>(now - state_->lastLogAnswer_);
    for (const ledger::LeaseName &name : { snapshotLease, placementLease(state_->settings.zone) }) {
        if (const auto holder = state_->leases.holderOf(name)) {
            status.leases.emplace_back(name, *holder);
        }
    }
    status.claims = state_->claims.stats();
    status.charges = state_->charges.stats();
    status.audit = state_->audit.stats();
    status.fleet = state_->fleet.counters();
    status.learnedItems = state_->learned_.size();
    status.tickets = state_->tickets.size();
    return status;
}

} // namespace lacewing::core
