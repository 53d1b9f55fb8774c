#pragma once

#include "context.h"
#include "fleet_links.h"
#include "fleet_state.h"

#include <dispatch/dispatch.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lacewing::gateway
{

/**
 * Keeps requests with a prompt part that crashes endpoints from being sent, by this VM and all others.
 *
 * Each VM decides by itself. It sends the crashes that it notices to all VMs, and the successes that refute crashes
 * known to others. Quarantined parts are written to the store as well, as all VMs may restart at once.
 */
class PoisonPromptGuard
{
public:
    /** First part of the name under which the store keeps a quarantined part. */
    static constexpr std::string_view storePrefix = "part/";

    /** @param onQuarantined called when parts have become quarantined, from the event loop */
    PoisonPromptGuard(Context &context,
                      FleetLinks &links,
                      FleetState &state,
                      std::uint64_t seed,
                      std::function<void()> onQuarantined);
    PoisonPromptGuard(const PoisonPromptGuard &) = delete;
    PoisonPromptGuard &operator=(const PoisonPromptGuard &) = delete;

    /** Whether a request may be sent to an endpoint. */
    enum class Permission : std::uint8_t {
        Granted,
        Trial, ///< a part is quarantined, but this one request has to be sent to find out whether it still has to be
        Denied, ///< a part is quarantined
    };
    /** Returns whether a request with some shared parts may be sent now. */
    Permission checkSend(std::span<const dispatch::PromptPartId> parts);
    /** Returns whether one of some parts is quarantined. */
    bool isQuarantined(std::span<const dispatch::PromptPartId> parts) const;
    /** Returns whether an endpoint crashed while it executed a request with a quarantined part. */
    bool isExplained(const routing::EndpointLifetime &endpoint) const;
    /** Called when an answer has ended, or has been arriving for PromptPartTracker::maxCrashDelay. */
    void onAnswered(const routing::EndpointLifetime &endpoint, std::vector<dispatch::PromptPartId> parts, Time beganAt);
    /** Called when an endpoint has crashed. @param requests those that were in flight */
    void onCrash(const routing::EndpointLifetime &endpoint, std::span<const dispatch::LostRequest> requests);

    /** Called when a request has been quarantined. @param endpoints at whose crashes it was in flight */
    void onRequestQuarantined(std::span<const routing::EndpointLifetime> endpoints);

    /** Merges what another VM knows. */
    void handleParts(const std::vector<SuspectPartMessage> &parts);
    /** Merges a quarantined part that has been read from the store. */
    void handleStored(const std::string &bytes);
    /** Brings the store up to date after it has come back from an older copy. @param stored names that it has */
    void restoreStored(const std::set<std::string> &stored);
    /** Returns the quarantined parts, for VMs that know others. */
    std::vector<SuspectPartMessage> quarantinedParts() const;
    std::uint64_t digest() const noexcept
    {
        return tracker_.digest();
    }
    void expire(Time now);

private:
    void update();
    void scheduleUpdate();
    void inquire(const std::vector<dispatch::PromptPartId> &parts);
    void broadcast(const std::vector<dispatch::PromptPartId> &parts);
    std::string encode(std::span<const dispatch::PromptPartId> parts) const;
    void scheduleRefutation(dispatch::PromptPartId part);
    void broadcastRefutations();
    void store(dispatch::PromptPartId part);
    bool isResponsibleFor(dispatch::PromptPartId part) const;
    bool isResponsibleFor(const std::string &name) const;
    void handlePart(const SuspectPartMessage &message);
    SuspectPartMessage toMessage(const dispatch::SuspectPart &part) const;

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    Random random_;
    std::function<void()> onQuarantined_;
    dispatch::PromptPartTracker tracker_;
    TimerHandle updateTimer_;
    Time updateDueAt_;
    /** Parts whose successes are to be sent, with the number of VMs that have done so. */
    std::map<dispatch::PromptPartId, int> refutations_;
    std::set<dispatch::PromptPartId> storedParts_; ///< that this VM has written to the store
    telemetry::Counter crashCounter_;
    telemetry::Counter quarantineCounter_;
    telemetry::Counter trialCounter_;
};

} // namespace lacewing::gateway
