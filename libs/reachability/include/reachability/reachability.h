#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

/**
 * Which endpoints a VM reaches, and which VMs send requests for one that reaches none.
 *
 * This library performs no I/O; the current time is passed in by the caller and random numbers come from a seed.
 */
namespace lacewing::reachability
{

// ---------------------------------------------------------------------------------------------------------------------
// A VM's own path

/** An endpoint and its service. */
struct Target {
    routing::ServiceId service;
    EndpointId endpoint;

    auto operator<=>(const Target &) const = default;
};

/**
 * Finds out whether this VM reaches the endpoints of a service.
 *
 * An endpoint that accepts no connection has usually crashed. When several in a row accept none, further ones are
 * probed; if all of these fail as well, the service is unreachable from this VM. Only new connections count, as open
 * ones may live on while new ones fail. Open ones that fall silent lead to a probe.
 *
 * An unreachable service is probed until several endpoints accept connections again.
 */
class ReachabilityMonitor
{
public:
    explicit ReachabilityMonitor(std::uint64_t seed);

    /** Called when a new connection to an endpoint has been set up. */
    void onConnected(const Target &target, Time now);
    /** Called when no new connection to an endpoint could be set up. */
    void onConnectFailed(const Target &target, Time now);
    /** Called when a request is sent on a connection. */
    void onSent(const Target &target, Time now);
    /** Called when bytes arrive from any endpoint. */
    void onReceived(Time now);
    /** Called when the answer to a request has ended, or is not awaited any more. */
    void onEnded();

    /**
     * Returns the endpoints to which connections must be attempted now; onConnected() or onConnectFailed() has to
     * follow for each.
     *
     * @param services whose endpoints are looked at
     * @param mayProbe whether an endpoint may be sent anything
     */
    std::vector<Target> takeDueProbes(const routing::EndpointDirectory &directory,
                                      const std::vector<routing::ServiceId> &services,
                                      const std::function<bool(const routing::EndpointEntry &)> &mayProbe,
                                      Time now);
    /** Updates the verdicts. @return whether one has changed */
    bool update(const routing::EndpointDirectory &directory, Time now);
    /** Returns when probes may become due without another event; empty if they can't. */
    std::optional<Time> nextProbeTime() const;

    bool isUnreachable(const routing::ServiceId &service) const;
    /** Returns the unreachable services, sorted. */
    std::vector<routing::ServiceId> unreachableServices() const;
    /** Returns whether failures to connect may be due to this VM's path rather than to the endpoints. */
    bool isSuspect(const routing::ServiceId &service) const;
    /** Returns whether another endpoint than this one accepted a connection at or after a time. */
    bool hasReachedOther(const EndpointId &endpoint, Time since) const;

private:
    struct Service {
        std::map<EndpointId, Time> failures; ///< endpoints to which no connection could be set up, since a success
        std::set<EndpointId> successes; ///< while it is unreachable: endpoints that accept connections again
        std::optional<Time> unreachableSince;
        std::optional<Time> probedAt; ///< last time that probes were due
        bool mustCheck = false; ///< another service has become unreachable
    };

    Time nextSilenceProbe() const;
    std::size_t dueProbes(const Service &service, std::size_t available, Time now) const;

    Random random_;
    std::map<routing::ServiceId, Service> services_;
    std::set<Target> probing_;
    std::map<EndpointId, Time> connectedAt_; ///< of the two endpoints that accepted a connection last
    std::size_t inFlight_ = 0;
    Target lastSent_;
    Time silentSince_; ///< valid while requests are in flight
    std::optional<Time> silenceProbedAt_;
};

} // namespace lacewing::reachability
