#pragma once

#include "context.h"
#include "heartbeat_schedule.h"
#include "peer_messages.h"
#include "relay_messages.h"

#include <membership/membership.h>
#include <peer/peer.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewing::gateway
{

/** State of another VM as known to this VM. */
struct PeerVm {
    AvailabilityZoneId zone;
    std::string address; ///< where it listens for links from other VMs
    std::optional<Time> lastHeartbeatAt; ///< arrival of its latest heartbeat from itself
    /** The latest that it has told. Without a fleet-wide role it tells its position in the store to neighbours only. */
    Heartbeat heartbeat;
    Time addedAt; ///< when it became known
    bool isIntroduced = false; ///< whether its heartbeat has been received, also by way of other VMs
    bool isLiveInOverlay = false; ///< whether the overlay says that it is live
    std::optional<Time> leftAt; ///< when it was no longer live after it had said that it leaves
    std::optional<Time> lastContactAt; ///< when this VM sent it a heartbeat to make itself known
    int contactCount = 0;

    bool usesOverlay() const noexcept
    {
        return heartbeat.protocolVersion >= 1;
    }
};

/** Callbacks for messages and calls from other VMs. */
struct FleetHandlers {
    std::function<void(const ReleaseMessage &)> onRelease;
    std::function<void(const SuspectMessage &)> onSuspect;
    std::function<void(const SuspectPartsMessage &)> onSuspectParts;
    std::function<void(const RateLimitsMessage &)> onRateLimits;
    std::function<void(const EndpointLifetimeMessage &)> onEndpointLeaving;
    std::function<void(const BrittleEndpointMessage &)> onBrittleEndpoint;
    std::function<void(const VmId &from, const RecordsPush &)> onRecordsPushed;
    std::function<void(const VmId &from, const StateAnnouncement &)> onStateAnnounced;
    std::function<void(const StreamOriginsMessage &)> onStreamOrigins;
    std::function<void(const StreamOriginRequest &, peer::PeerCallWriter)> onStreamOriginRequested;
    std::function<void(PiecesRequest, peer::PeerCallWriter)> onPieces;
    std::function<void(const RecordsRequest &, peer::PeerCallWriter)> onRecords;
    std::function<void(const StateRequest &, peer::PeerCallWriter)> onStateRequested;
    std::function<void(RelayRequest, peer::PeerCallWriter)> onRelay;
    std::function<void(peer::PeerCallWriter)> onSuspectsRequested;
    std::function<void(const std::vector<RejectedRequestMessage> &)> onRejections;
    /** Called for what a VM tells its neighbours in the overlay, or all VMs in a small fleet. */
    std::function<void(const VmId &, const Heartbeat &)> onHeartbeat;
    /** Called for what a VM with a fleet-wide role, or one that had it before, tells all others. */
    std::function<void(const VmId &, const Heartbeat &)> onRoleChanged;
    std::function<void(Heartbeat &)> fillHeartbeat; ///< fills in the contents of the next heartbeat
    /** Called when a VM joined, left, is no longer live, or reaches other services than before. */
    std::function<void()> onMembersChanged;
};

/**
 * Membership of the fleet of VMs, and messages and calls between them.
 *
 * In a small fleet each VM sends heartbeats to all others. In a larger one they form an overlay, by which heartbeats
 * and messages to all are passed on. VMs of an earlier version, which know nothing of it, get heartbeats and messages
 * directly. Correctness does not depend on this view.
 */
class FleetLinks
{
public:
    /** @param seed for the choice of VMs that are contacted */
    FleetLinks(Context &context, FleetHandlers handlers, std::uint64_t seed);

    Result<void> listen();
    /** Returns the address where this VM listens for links. */
    std::string address() const;

    /** Adds another VM or updates its address. */
    void updateAddress(const VmId &vm, const AvailabilityZoneId &zone, const std::string &address);
    /** Removes a VM that has deregistered from the store. */
    void removeVm(const VmId &vm);
    /** Sets how up to date this VM's view is, for its heartbeats. */
    void setView(const StateVersionMessage &state, std::uint64_t endpointsEndOffset, bool isReadingStore);
    /** Sets what this VM knows of the operator's evacuations, for its heartbeats. @param endOffset 0: nothing yet */
    void setEvacuations(std::uint64_t endOffset, std::uint64_t digest);
    /** Tells all VMs of which services this VM reaches no endpoint. */
    void setUnreachableServices(const std::vector<routing::ServiceId> &services);
    /** Returns whether a VM, or this VM, reaches endpoints of a service as far as it has said. */
    bool reaches(const VmId &vm, const routing::ServiceId &service) const;
    /** Announces that this VM accepts no more work from other VMs. */
    void leave();

    /** Returns the live VMs of a zone, or of all zones, that accept work, sorted; includes this VM unless it leaves. */
    std::vector<VmId> members(const std::optional<AvailabilityZoneId> &zone) const;
    /** Returns all VMs that have registered, this one included, whether they are live or not. */
    std::vector<VmId> registeredVms() const;
    /** Returns whether this VM is among the `count` VMs that take on a fleet-wide task, out of members(). */
    bool isResponsible(std::string_view task, std::size_t count) const;
    /** Returns the VMs that read the store for all, out of members(). */
    std::vector<VmId> storeReaders() const;
    /**
     * Returns the number of VMs, including leaving ones and this VM, that are live, or that became known so recently
     * that they may not have been heard yet. This VM hears no others right after its start.
     */
    std::size_t expectedCount() const;
    /** Returns false if VMs of the zone are known and none of them sends heartbeats. */
    bool isZoneReachable(const AvailabilityZoneId &zone) const;
    /** Returns whether the fleet is too large for heartbeats from each VM to all. */
    bool isLargeFleet() const noexcept
    {
        return isOverlayUsed();
    }
    const PeerVm *find(const VmId &vm) const;
    /** Returns whether another VM sent a heartbeat recently. */
    bool isLive(const VmId &vm) const;
    /** Returns the CPU cores that a VM, or this VM, may use; 0 if unknown. */
    double cpuShare(const VmId &vm) const;
    /** Returns the bandwidth of the link of a VM, or of this VM, in Mbit/s; 0 if unknown. */
    double linkMbps(const VmId &vm) const;
    /** Returns the zone of a VM, or of this VM; empty if unknown. */
    AvailabilityZoneId zoneOf(const VmId &vm) const;

    void send(const VmId &vm, std::string message);
    void broadcast(const std::string &message);
    peer::PeerCallHandle call(const VmId &vm,
                              std::string request,
                              peer::CallLimits limits,
                              peer::CallHandlers handlers);
    void cancel(peer::PeerCallHandle handle);
    peer::PeerCounters counters() const;
    /** Returns the number of VMs with which this VM exchanges messages in the overlay; 0 in a small fleet. */
    std::size_t neighbourCount() const
    {
        return isOverlayUsed() ? overlay_.neighbours().size() : 0;
    }

private:
    std::vector<VmId> responsibleVms(std::string_view task, std::size_t count) const;
    bool hasRecentHeartbeat(const PeerVm &vm) const;
    bool isLive(const PeerVm &vm) const;
    bool isOverlayUsed() const noexcept;
    bool needsDirectHeartbeats(const PeerVm &vm) const noexcept;
    HeartbeatLink heartbeatLink(const PeerVm &vm) const;
    bool hasFleetWideRole() const noexcept;
    void sendHeartbeats();
    void sendHeartbeat(const PeerVm &vm);
    void removeVmsThatHaveLeft();
    void introduceVms();
    void tickOverlay();
    void updateOverlayContent();
    void updateOverlayLiveness();
    void sendOverlayMessages(const std::vector<membership::OutgoingMessage> &messages);
    void flushOverlayIfUrgent();
    void handleOverlayMessage(const VmId &from, const membership::OverlayMessage &message);
    void handleRecord(const membership::MemberRecord &record);
    void logPlace();
    void handleMessage(const VmId &from, const std::string &message);
    void handleCall(peer::PeerCallWriter writer, const std::string &request);
    void handleHeartbeat(const Heartbeat &heartbeat);
    void updateMembers();
    std::vector<VmId> findMembers() const;

    Context &context_;
    FleetHandlers handlers_;
    peer::PeerNetwork network_;
    std::map<VmId, PeerVm> vms_;
    Heartbeat localHeartbeat_;
    std::uint64_t round_ = 0; ///< number of the current heartbeat round
    bool hadFleetWideRole_ = false; ///< value in the previous round
    std::vector<VmId> lastMembers_; ///< sorted; at most a round old
    membership::Overlay overlay_;
    std::uint64_t overlayRevision_ = 0; ///< of its live VMs when they were last taken over
    std::string lastPlace_; ///< in the overlay, for the log
    bool isFlushScheduled_ = false;
    Random random_;
};

} // namespace lacewing::gateway
