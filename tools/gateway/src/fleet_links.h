#pragma once

#include "heartbeat_schedule.h"
#include "context.h"
#include "peer_messages.h"

#include <peer/peer.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewing::gateway
{

/** Another VM as this one knows it. */
struct KnownVm {
    AvailabilityZoneId zone;
    std::string address; ///< of its links
    std::optional<Time> heardAt; ///< of its last beacon
    Beacon beacon; ///< its last
};

/** What other VMs ask of this one. */
struct FleetHandlers {
    std::function<void(const ReleaseMessage &)> onRelease;
    std::function<void(const SuspectMessage &)> onSuspect;
    std::function<void(const VmId &from, const RecordsPush &)> onRecordsPushed;
    std::function<void(PiecesRequest, peer::PeerCallWriter)> onPieces;
    std::function<void(const RecordsRequest &, peer::PeerCallWriter)> onRecords;
    std::function<void(const VmId &, const Beacon &)> onBeacon;
    std::function<void(Beacon &)> fill; ///< adds what the next beacon tells
    std::function<void()> onMembersChanged; ///< a VM came, left or fell silent
};

/**
 * The other VMs: who is alive, and calls between them.
 *
 * Each VM tells the others again and again that it is alive: those of its own zone often, those of other zones seldom
 * unless it has a duty for them, such as reading the store. One from which some beacons in a row are missing counts as
 * gone until it is heard again; nothing that must be right depends on this view.
 */
class FleetLinks
{
public:
    FleetLinks(Context &context, FleetHandlers handlers);

    Result<void> listen();
    /** Address of this VM's links. */
    std::string address() const;

    /** Takes another VM's address from the store. */
    void know(const VmId &vm, const AvailabilityZoneId &zone, const std::string &address);
    /** A VM took its address out of the store. */
    void forget(const VmId &vm);
    /** What this VM's beacons say of its view. */
    void setView(std::uint64_t stateVersion, std::uint64_t operatorEnd, std::uint64_t endpointsEnd, bool followsStore);
    /** Tells the others that this VM takes no more work from them. */
    void leave();

    /** Live VMs that take work, this one among them unless it leaves; sorted. */
    std::vector<VmId> members(const std::optional<AvailabilityZoneId> &zone) const;
    /** Live VMs, those that leave among them. */
    std::size_t liveCount() const;
    /** False when VMs of the zone are known and none of them is heard. */
    bool isZoneHeard(const AvailabilityZoneId &zone) const;
    const KnownVm *find(const VmId &vm) const;
    /** Whether a VM was heard lately. */
    bool isHeard(const VmId &vm) const;
    /** Share of a core that a VM may use, this one's own among them; 0 if it isn't known. */
    double processorShare(const VmId &vm) const;

    void send(const VmId &vm, std::string message);
    void sendToAll(const std::string &message);
    peer::PeerCallHandle call(const VmId &vm,
                              std::string request,
                              peer::CallLimits limits,
                              peer::CallHandlers handlers);
    void cancel(peer::PeerCallHandle handle);

private:
    bool isLive(const KnownVm &vm) const;
    BeaconLink linkTo(const KnownVm &vm) const;
    bool hasDuties() const noexcept;
    void sendBeacons();
    void sendBeacon(const KnownVm &vm);
    void takeMessage(const peer::PeerIdentity &from, const std::string &message);
    void takeCall(peer::PeerCallWriter answer, const std::string &request);
    void takeBeacon(const Beacon &beacon);
    void checkMembers();

    Context &context_;
    FleetHandlers handlers_;
    peer::PeerNetwork network_;
    std::map<VmId, KnownVm> vms_;
    Beacon own_;
    std::uint64_t round_ = 0; ///< of beacons
    bool hadDuties_ = false; ///< in the last round
    std::vector<VmId> lastMembers_;
};

} // namespace lacewing::gateway
