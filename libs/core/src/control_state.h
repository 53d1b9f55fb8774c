#pragma once

#include <core/core.h>

#include <map>
#include <set>

namespace lacewing::core
{

/** A change whose operator waits for its result. */
struct PendingChange {
    OperatorRequestId request;
    Time giveUpAt;
};

/** Implementation of ControlCore. */
class ControlCore::State
{
public:
    State(ControlCoreSettings settings, Time now);

    std::vector<ControlEffect> handle(const ControlEvent &event, Time now, WallTime wall);
    Time nextWake() const;

    ControlCoreSettings settings;
    fleet::Fleet fleet;
    config::Store store;
    ledger::Claims claims;
    ledger::Tickets tickets;
    ledger::Leases leases;
    ledger::Charges charges;
    ledger::Audit audit;

private:
    friend class ControlCore;

    void on(const Tick &event);
    void on(const ListRead &event);
    void on(const LogAnswered &event);
    void on(const PeerReceived &event);
    void on(const EndpointPolled &event);
    void on(const FromJobs &event);
    void on(const HintMeasured &event);
    void on(const ApplyChange &event);
    void on(const LeaveEndpoint &event);
    void on(const LeaveVm &event);
    void on(const LiftQuarantine &event);
    void on(const MintTicket &event);
    void on(const Flush &event);
    void on(const StopNow &event);

    // Fleet, in control_fleet.cpp
    void tellFleet(const fleet::Event &event);
    void take(const fleet::Send &effect);
    void take(const fleet::WatchEndpoint &effect);
    void take(const fleet::UnwatchEndpoint &effect);
    void take(const fleet::ConfigLearned &effect);
    void take(const fleet::ReadConfig &effect);
    void take(const fleet::SuspicionChanged &effect);
    void take(const fleet::PermitAnswered &effect);
    void take(const fleet::LeaveRequested &effect);
    void take(const fleet::Superseded &effect);
    void take(const fleet::CaughtUp &effect);
    void take(const fleet::ViewChanged &effect);
    void sendTo(const VmId &vm, PeerMessage message);
    void tellMembers();

    // Claims, tickets, charges and audit, in control_ledger.cpp
    void takeClaims(ledger::Claims::Effects effects);
    void askLog(std::vector<log::Request> requests);
    void settle(const JobId &job, const ledger::Verdict &verdict);
    void settleTicket(const JobId &job, const ledger::TicketVerdict &verdict);
    void on(const WantClaim &event);
    void on(const WantVoid &event);
    void on(const WantPermit &event);
    void on(const EndPermit &event);
    void on(const CrashSeen &event);
    void on(const ChargeStage &event);
    void on(const JobEnded &event);
    void record(const OperatorId &who, std::string what, std::string subject, ConfigVersion from, ConfigVersion to);
    void tellJob(const JobId &job, JobEvent event);

    // Configuration, in control_config.cpp
    void readConfig();
    void onConfigRead(const log::ReadAnswer &answer);
    void onChangeAppended(const log::AppendAnswer &answer);
    void announceItems(const std::vector<config::ChangeResult> &results);
    void settleChange(const config::ChangeResult &result);
    void giveUpChanges();
    bool wantsToRead() const;
    void publish();
    void writeSnapshot();
    std::shared_ptr<const config::FleetConfig> merged() const;

    // Leases and capacity, in control_capacity.cpp
    void takeLeases(ledger::Leases::Effects effects);
    void keepLeases();
    void planCapacity();
    policy::ZoneCapacityView capacityView() const;
    void giveOrder(const policy::CapacityAction &order, FencingNumber fencing);

    // Load of the fleet, in control_hints.cpp
    void shareHints();
    void on(const HintShare &share);
    HintShare ownHint() const;
    VmId aggregatorOf(const AvailabilityZoneId &zone) const;
    Duration hintInterval() const;

    std::map<config::ItemKey, fleet::ConfigFact> learned_; ///< from peers, beyond what the store has read
    std::map<config::ItemKey, ConfigVersion> announced_; ///< versions given to the fleet
    std::map<config::ChangeId, PendingChange> pendingChanges_;
    std::map<log::RequestTag, config::ChangeId> changeAppends_;
    std::set<log::RequestTag> snapshotAppends_;
    std::shared_ptr<const config::FleetConfig> configuration_;
    std::shared_ptr<const fleet::View> published_;
    std::map<JobId, WantClaim> ticketed_; ///< jobs that run under a ticket
    std::map<std::pair<Fingerprint, EndpointId>, CallId> permits_; ///< asked for
    std::map<std::uint32_t, policy::DemandHint> ownHints_; ///< by traffic thread
    std::map<VmId, std::pair<HintShare, Time>> zoneHints_; ///< parts of the own zone's VMs, at its aggregator
    std::map<AvailabilityZoneId, std::pair<HintShare, Time>> otherZones_; ///< sums of other zones, at the aggregator
    std::uint64_t lastTag_ = 0;
    std::optional<log::RequestTag> configRead_; ///< read in progress
    Time configReadAsked_;
    Time nextConfigRead_;
    Time nextHint_;
    Time nextCapacity_;
    Time nextSnapshot_;
    Time lastLogAnswer_;
    LogOffset retainedFrom_;
    bool everLogAnswer_ = false;
    bool logLost_ = false;
    bool wantsLeases_ = false;
    bool reader_ = false;
    bool caughtUp_ = false;
    bool ready_ = false;
    bool publishDue_ = false;
    policy::CapacityPlanner capacity_;

    // Valid while an event is handled.
    std::vector<ControlEffect> effects_;
    Time now_;
    WallTime wall_;
};

/** Name of the lease on writing snapshots of the configuration. */
inline const ledger::LeaseName snapshotLease { "configuration-snapshot" };
/** Name of the lease on placing models and roles in a zone. */
ledger::LeaseName placementLease(const AvailabilityZoneId &zone);

} // namespace lacewing::core
