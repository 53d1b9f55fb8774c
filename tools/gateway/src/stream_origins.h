#pragma once

#include "context.h"
#include "fleet_state.h"

#include <routing/routing.h>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lacewing::gateway
{

/** A VM that may hold origins of streams. */
struct OriginHolder {
    VmId vm;
    AvailabilityZoneId zone;
};

/** The VMs of a fleet as holders of origins; made once for many streams. */
class OriginHolders
{
public:
    explicit OriginHolders(std::span<const OriginHolder> candidates);

    /**
     * Returns the VMs that hold the origin of a stream: one in each of three zones, one in the zone of the VM that
     * tells or asks, and others if that is less than three. VMs with the same candidates agree on the zones, and on the
     * VMs in them.
     *
     * @param ownZone a zone that is cut off finds the streams that began in it
     * @param perZone 1 to tell an origin; 2 to ask for one, as a VM that was told may have joined or left since
     */
    std::vector<VmId> choose(routing::StreamKey stream, const AvailabilityZoneId &ownZone, std::size_t perZone) const;

private:
    std::vector<std::string> vms_;
    std::vector<std::string> zones_;
    std::map<std::string, std::vector<std::string>> vmsByZone_;
};

/**
 * Service and software version at which the streams of resumable routes began. A caller may resume a stream through any
 * VM, and it continues only there.
 *
 * While a service has one version, nothing is sent: each VM knows that version. Otherwise a VM tells some others, one
 * in each zone, where a stream began as soon as its first event is sent to the caller. What is known outlives the VM
 * that began the stream, and a zone that is cut off finds it within the zone.
 *
 * The VMs that were told may end or restart while the stream lasts. The VM that serves the stream then tells others in
 * their place. A VM that stops hands over what it knows, also of services with one version: another may come before
 * the callers of its streams come back.
 */
class StreamOrigins
{
public:
    StreamOrigins(Context &context, FleetLinks &links, FleetState &state);

    /** Identifies the stream that a request began. */
    static routing::StreamKey keyOf(const stages::RequestId &request, const std::optional<WorkspaceId> &workspace);

    /**
     * Records that the first event of a stream, or of its rest, is sent to its caller.
     *
     * @param isRouteSole whether soleOrigin() of its route gives the origin
     * @param expiresAt when the caller can't come back any more
     */
    void onBegun(routing::StreamKey stream, const routing::StreamOrigin &origin, bool isRouteSole, Time expiresAt);
    /** Records that the caller has the whole stream, or its rest. */
    void onCompleted(routing::StreamKey stream);

    /**
     * Returns the origin of any stream of a route if there can only be one; empty otherwise.
     *
     * @param isConfirmed whether FleetState::confirmEndpoints() has just succeeded
     */
    std::optional<routing::StreamOrigin> soleOrigin(const routing::Route &route, bool isConfirmed) const;
    /** Looks an origin up, at other VMs if need be. @param onDone gets nothing if no VM that responds knows the stream
     */
    void find(routing::StreamKey stream, std::function<void(std::optional<routing::StreamOrigin>)> onDone);

    /** Tells what VMs do not know yet, as a service has got a second version or VMs have restarted; called often. */
    void update();
    /** Tells other VMs all that this one knows, as it stops; called once it is no member any more. */
    void handOver();
    void expire(Time now);

    /** Records what another VM tells. */
    void handleOrigins(const StreamOriginsMessage &message);
    /** Responds to another VM that looks an origin up. */
    void serve(const StreamOriginRequest &request, peer::PeerCallWriter writer) const;

private:
    /** A stream that began at this VM. */
    struct OwnStream {
        routing::StreamOrigin origin;
        Time expiresAt;
        bool isTold = false;
        std::vector<std::uint64_t> holders; ///< runs of the VMs that have been told, as runOf() identifies them
    };
    struct Lookup {
        std::vector<std::function<void(std::optional<routing::StreamOrigin>)>> onDone;
        std::size_t pending = 0; ///< VMs that have not responded yet
        int rounds = 0;
    };

    OriginHolders makeHolders() const;
    std::optional<routing::StreamOrigin> findHere(routing::StreamKey stream) const;
    bool isSole(const routing::ServiceId &service) const;
    std::uint64_t runOf(const VmId &vm) const;
    void tell(routing::StreamKey stream, OwnStream &own);
    bool tellHolders(const OriginHolders &holders, routing::StreamKey stream, OwnStream &own);
    void queue(const VmId &vm, routing::StreamKey stream, const routing::StreamOrigin &origin, Time expiresAt);
    void tellNewVersions();
    void renewHolders();
    void handOverHeld();
    void flush();
    void ask(routing::StreamKey stream);
    void finishRound(routing::StreamKey stream);
    void finishLookup(routing::StreamKey stream, const std::optional<routing::StreamOrigin> &origin);

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    routing::StreamOriginTable table_; ///< told by others, or held for this VM's own streams
    std::map<routing::StreamKey, OwnStream> own_;
    std::size_t untold_ = 0; ///< of own_
    std::uint64_t lastRunsDigest_ = 0; ///< of the members when the holders were last renewed
    Time nextRenewalAt_;
    bool isStopping_ = false;
    /** An origin that this VM holds for another VM and hands over. */
    struct HeldStream {
        routing::StreamKey stream;
        routing::StreamOrigin origin;
        Time expiresAt;
    };
    std::vector<HeldStream> handedOver_; ///< that are still to be handed over
    std::map<VmId, StreamOriginsMessage> outgoing_;
    bool isFlushScheduled_ = false;
    std::map<routing::StreamKey, Lookup> lookups_;
    telemetry::Counter toldCounter_;
    telemetry::Counter renewedCounter_;
    telemetry::Counter foundCounter_;
    telemetry::Counter unknownCounter_;
};

} // namespace lacewing::gateway
