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
    void onConnected(const Target &target);
    /** Called when no new connection to an endpoint could be set up. */
    void onConnectFailed(const Target &target, Time now);
    /** Called when a probe was not attempted after all. */
    void onProbeAborted(const Target &target);
    /** Called when a request is sent on a connection. */
    void onSent(const Target &target, Time now);
    /** Called when bytes arrive from any endpoint. */
    void onReceived(Time now);
    /** Called when the answer to a request has ended, or is not awaited any more. */
    void onEnded();

    /**
     * Returns the endpoints to which connections must be attempted now; onConnected(), onConnectFailed() or
     * onProbeAborted() has to follow for each.
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
    /** Returns whether the latest connection attempt to an endpoint failed a short time ago. */
    bool hasFailed(const Target &target) const;

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
    std::size_t inFlight_ = 0;
    Target lastSent_;
    Time silentSince_; ///< valid while requests are in flight
    std::optional<Time> silenceProbedAt_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Relays

/** A VM that may send requests for another one. */
struct RelayCandidate {
    VmId vm;
    bool isOwnZone = false;
    double cpuShare = 1; ///< CPU cores that the VM may use
    std::size_t inFlight = 0; ///< requests that this VM has it send at present
};

/**
 * Selects the VM that sends a request: one of this VM's zone if there is any.
 *
 * Of two candidates that are drawn at random the one with less to do for its size is taken, so that VMs that are cut
 * off together don't all choose the same one.
 *
 * @return null if there are no candidates
 */
const RelayCandidate *selectRelay(const std::vector<RelayCandidate> &candidates, Random &random);

/**
 * Limits the requests that a VM sends for others at a time, so that those of its own callers are not delayed.
 *
 * A request that is relayed costs some processor time and passes the VM's link twice.
 */
class RelayLimit
{
public:
    /** @param cpuShare CPU cores that the VM may use @param linkMbps bandwidth of its link; 0: unknown */
    RelayLimit(double cpuShare, double linkMbps) noexcept;

    /** Counts a request. @return false if there are as many as allowed */
    bool tryAcquire() noexcept;
    void release() noexcept;
    std::size_t inFlight() const noexcept
    {
        return inFlight_;
    }
    std::size_t limit() const noexcept
    {
        return limit_;
    }

private:
    std::size_t limit_;
    std::size_t inFlight_ = 0;
};

} // namespace lacewing::reachability
