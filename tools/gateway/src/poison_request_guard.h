#pragma once

#include "context.h"
#include "fleet_links.h"
#include "fleet_state.h"

#include <dispatch/dispatch.h>
#include <net/net.h>

#include <optional>
#include <set>

namespace lacewing::gateway
{

/**
 * Keeps requests that crash endpoints from being sent again, by this VM and all others.
 *
 * Each lost connection to an endpoint is followed by a connection attempt, which tells a crash. Suspects are sent to
 * all VMs. A VM that was not reached then, as it started later or was cut off, notices by the digest in the heartbeats
 * that it knows less, and requests what it lacks. Quarantines are written to the store as well, as all VMs may restart
 * at once.
 */
class PoisonRequestGuard
{
public:
    PoisonRequestGuard(Context &context, FleetLinks &links, FleetState &state, net::HttpClient &client);

    /** Returns whether the request must not be sent to endpoints any more. */
    bool isQuarantined(Fingerprint request) const;
    /** Called when a quarantined request was not sent. */
    void onRejected(Fingerprint request);
    /** Called when a connection is lost while the endpoint executes a request. */
    void onConnectionLost(const routing::EndpointEntry &endpoint, Fingerprint request);
    /** Called when no connection can be established. */
    void onUnreachable(const routing::EndpointEntry &endpoint);
    /** Called when a request ran to a successful end. */
    void onSucceeded(Fingerprint request);
    /** Called when the endpoint directory has changed. */
    void onEndpointsChanged();

    /** Merges what another VM knows about a request. */
    void handleSuspect(const SuspectMessage &message);
    /** Merges a quarantine that has been read from the store. */
    void handleStoredQuarantine(const SuspectMessage &message);
    /** Requests the suspects of another VM if they differ from those known here. */
    void handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat);
    /** Responds to a request of another VM for the suspects known here. */
    void serveSuspects(peer::PeerCallWriter writer) const;
    std::uint64_t digest() const;
    void expire(Time now);

private:
    void attemptConnection(const routing::EndpointEntry &endpoint);
    void recordCrash(const routing::EndpointLifetime &endpoint, const std::vector<Fingerprint> &requests);
    void broadcast(Fingerprint request);
    void store(Fingerprint request);
    void removeEndedQuarantines();
    bool isResponsibleFor(Fingerprint request) const;
    SuspectMessage toMessage(const dispatch::Suspect &suspect) const;

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    net::HttpClient &client_;
    dispatch::CrashDetector crashDetector_;
    dispatch::PoisonRequestTracker suspects_;
    std::set<routing::EndpointLifetime> attemptedEndpoints_; ///< with a connection attempt that is due or in progress
    std::optional<Time> lastSuspectsRequestAt_;
    std::set<Fingerprint> storedQuarantines_; ///< written to the store or read from it
};

} // namespace lacewing::gateway
