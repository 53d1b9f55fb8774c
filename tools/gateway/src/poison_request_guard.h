#pragma once

#include "bulk_response.h"
#include "context.h"
#include "endpoint_notices.h"
#include "endpoint_reachability.h"
#include "fleet_links.h"
#include "fleet_state.h"
#include "poison_prompt_guard.h"

#include <dispatch/dispatch.h>
#include <net/net.h>
#include <stages/stages.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

/**
 * Keeps requests that crash endpoints from being sent again, by this VM and all others.
 *
 * Each lost connection to an endpoint is followed by a connection attempt, which tells a crash. Suspects are sent to
 * all VMs. A VM that was not reached then, as it started later or was cut off, notices by the digest in the heartbeats
 * that it knows less, and requests what it lacks. Quarantines are written to the store as well, as all VMs may restart
 * at once.
 *
 * A call to an endpoint of a stage runs pieces of many requests. The cause of a crash is found by the piece: the same
 * one is in each call that crashes an endpoint. Its request is quarantined then.
 */
class PoisonRequestGuard
{
public:
    PoisonRequestGuard(Context &context,
                       FleetLinks &links,
                       FleetState &state,
                       const EndpointNotices &notices,
                       EndpointReachability &reachability,
                       PoisonPromptGuard &prompts);

    /** Returns whether the request must not be sent to endpoints any more. */
    bool isQuarantined(Fingerprint request) const;
    /** Called when a quarantined request was not sent. */
    void onRejected(Fingerprint request);
    /** Called when a connection ends while the endpoint executes a request. @param client used for the endpoint */
    void onConnectionLost(const routing::EndpointEntry &endpoint, dispatch::LostRequest lost, net::HttpClient &client);
    /**
     * Called when there is no response to a call that runs pieces of several requests.
     *
     * @param onChecked called once it is known whether the endpoint accepts connections
     */
    void onCallLost(const routing::EndpointEntry &endpoint,
                    std::span<const stages::PieceTask> pieces,
                    net::HttpClient &client,
                    std::function<void()> onChecked);
    /**
     * Waits until it is known whether an endpoint that has lost a connection accepts others.
     *
     * @return false if that is not being found out now; the function is not called then
     */
    bool awaitCheck(const routing::EndpointLifetime &endpoint, std::function<void()> onChecked);
    /** Called when no connection can be established. */
    void onUnreachable(const routing::EndpointEntry &endpoint);
    /** Called when a request ran to a successful end. */
    void onSucceeded(Fingerprint request);
    /** Called when an endpoint has run a piece of a request. */
    void onPieceSucceeded(const stages::PieceTask &piece);
    /** Returns whether the piece was in several calls whose endpoints crashed. */
    bool isSuspect(const stages::PieceTask &piece) const;
    /** Called when prompt parts have become quarantined, which explain crashes. */
    void onPartsQuarantined();
    /** Called when the endpoint directory has changed. */
    void onEndpointsChanged();

    /** Merges what another VM knows about a request. */
    void handleSuspect(const SuspectMessage &message);
    /** Merges a quarantine that has been read from the store. */
    void handleStoredQuarantine(const std::string &bytes);
    /** Brings the store up to date after it has come back from an older copy. @param stored names that it has */
    void restoreStored(const std::set<std::string> &stored);
    /** Requests the suspects of another VM if they differ from those known here. */
    void handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat);
    /** Responds to a request of another VM for the suspects known here. */
    void serveSuspects(peer::PeerCallWriter writer);
    /** Returns the digest for the next heartbeats. */
    std::uint64_t updateDigest();
    void expire(Time now);

private:
    struct LostPiece {
        Fingerprint request;
        Time lostAt;
    };

    void checkEndpoint(const routing::EndpointEntry &endpoint,
                       net::HttpClient &client,
                       std::function<void()> onChecked);
    std::vector<std::function<void()>> takeCheck(const routing::EndpointLifetime &endpoint);
    void attemptConnection(const routing::EndpointEntry &endpoint, net::HttpClient &client);
    void confirmCrash(const routing::EndpointEntry &endpoint,
                      std::vector<dispatch::LostRequest> requests,
                      std::vector<dispatch::LostRequest> pieces);
    void recordCrash(const routing::EndpointLifetime &endpoint, const std::vector<dispatch::LostRequest> &requests);
    void recordCrash(const routing::EndpointLifetime &endpoint, Fingerprint request);
    void recordPieceCrash(const routing::EndpointLifetime &endpoint, const std::vector<dispatch::LostRequest> &pieces);
    void handleQuarantine(Fingerprint request);
    void broadcast(Fingerprint request);
    void store(Fingerprint request);
    void removeEndedQuarantines();
    bool isResponsibleFor(Fingerprint request) const;
    SuspectMessage toMessage(const dispatch::Suspect &suspect) const;

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    const EndpointNotices &notices_;
    EndpointReachability &reachability_;
    PoisonPromptGuard &prompts_;
    dispatch::CrashDetector crashDetector_;
    dispatch::PoisonRequestTracker suspects_;
    dispatch::CrashDetector pieceCrashDetector_;
    /** Known to this VM only: most pieces of a call are not the cause of a crash, and they are retried here. */
    dispatch::PoisonRequestTracker suspectPieces_;
    std::unordered_map<Fingerprint, LostPiece> lostPieces_; ///< by the fingerprint of the piece
    /** Endpoints with a connection attempt that is due or in progress, and what is called after it. */
    std::map<routing::EndpointLifetime, std::vector<std::function<void()>>> checkedEndpoints_;
    std::optional<Time> lastSuspectsRequestAt_;
    bool areSuspectsRequested_ = false; ///< from another VM, which has not responded yet
    BulkResponses suspectResponses_;
    std::uint64_t lastDigest_ = 0; ///< as of the last call of updateDigest()
    std::set<Fingerprint> storedQuarantines_; ///< written to the store or read from it
    telemetry::Counter crashCounter_;
    telemetry::Counter suspectCounter_;
    telemetry::Counter quarantineCounter_;
    telemetry::Counter unattributedCounter_;
};

} // namespace lacewing::gateway
