#pragma once

#include "bulk_response.h"
#include "context.h"
#include "fleet_links.h"

#include <routing/routing.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lacewing::gateway
{

/** A desired state in force, with the position of its record in the store. */
struct PlacedState {
    std::shared_ptr<const routing::RouteTable> table;
    userplatform::LogPosition position; ///< after the record
};

/**
 * Passes desired states from VM to VM, along the trees of relayPath().
 *
 * A VM learns from an announcement or a heartbeat that a newer version exists, and requests what has changed since its
 * own version from one other VM. A VM without that version requests it in turn and responds as soon as it has it. A
 * transfer in progress is completed, as what has changed since is then small; a version that is overtaken before its
 * transfer begins is not sent.
 */
class StateExchange
{
public:
    /**
     * @param onReceived puts a state in force that was received from another VM
     * @param isReadingStore returns whether this VM reads the desired state from the store and the store responds
     */
    StateExchange(Context &context,
                  FleetLinks &links,
                  std::function<void(routing::DesiredState, userplatform::LogPosition)> onReceived,
                  std::function<bool()> isReadingStore);
    StateExchange(const StateExchange &) = delete;
    StateExchange &operator=(const StateExchange &) = delete;

    /** Sets the state in force on this VM, from wherever it came. */
    void setCurrent(PlacedState state);
    /** Returns whether a state is newer than the one in force: of a later version, or a later record of that version
     * with other contents. */
    bool isNewer(routing::StateVersion version, std::uint64_t digest, userplatform::LogPosition position) const;
    /** Tells all live VMs which version is in force here. @param previous in force before; null if there was none */
    void announce(const routing::RouteTable *previous);
    /** Handles the news that another VM has a version. @param impact of the version, if it is known */
    void handleVersion(const VmId &vm,
                       const StateVersionMessage &version,
                       const std::optional<routing::StateImpact> &impact);
    /** Responds to a request of another VM with the state in force, as soon as that is new to the other VM. */
    void serve(const StateRequest &request, peer::PeerCallWriter writer);
    /** Drops what is kept for transfers and no longer of use. */
    void expire(Time now);

    /** Returns the version in force and its digest, for heartbeats. */
    StateVersionMessage currentVersion() const;
    /** Returns since when a version has been known that this VM does not have; empty if there is none. */
    std::optional<Time> behindSince() const;
    /** Returns whether a live VM has a version that this VM lacks. */
    bool isNewerVersionLive() const;
    /** Returns whether the versions that this VM lacks may change how a request is answered. @param host as routed */
    bool mayAffect(std::string_view host, std::string_view key) const;

private:
    struct Waiter {
        StateRequest request;
        peer::PeerCallWriter writer;
        TimerHandle timer;
    };
    /** A version that another VM has named and that this VM lacks. */
    struct KnownVersion {
        StateVersionMessage version;
        Time since;
        std::vector<routing::StateImpact> impacts; ///< on different earlier states
    };
    struct Download {
        VmId source;
        routing::StateVersion wanted;
        Time startedAt;
    };
    struct EncodedDelta {
        std::shared_ptr<const std::string> bytes;
        Time lastUsedAt;
    };

    bool isNewer(const StateVersionMessage &version) const;
    void update();
    void scheduleUpdate(Time at);
    std::optional<VmId> chooseSource() const;
    void startDownload(const VmId &source);
    void finishDownload(const std::string &bytes);
    void failDownload(std::string_view reason, std::size_t receivedBytes);
    void respond(const StateRequest &request, peer::PeerCallWriter writer);
    std::shared_ptr<const std::string> encodedDelta(std::uint64_t baseDigest);

    Context &context_;
    FleetLinks &links_;
    std::function<void(routing::DesiredState, userplatform::LogPosition)> onReceived_;
    std::function<bool()> isReadingStore_;
    PlacedState current_;
    std::uint64_t currentDigest_ = 0;
    std::deque<std::pair<std::uint64_t, routing::DesiredState>> earlier_; ///< by digest; what others may still have
    std::map<std::uint64_t, EncodedDelta> encoded_; ///< of the current state, by the digest of the base
    std::deque<KnownVersion> lacking_; ///< the oldest first
    std::map<VmId, StateVersionMessage> versions_; ///< of other VMs, as they have named them
    std::optional<Download> download_;
    std::set<VmId> failedSources_; ///< for the latest known version
    bool needsComplete_ = false; ///< the last delta did not fit
    std::map<std::uint64_t, Waiter> waiters_;
    std::uint64_t lastWaiter_ = 0;
    BulkResponses responses_;
    TimerHandle updateTimer_;
};

} // namespace lacewing::gateway
