#pragma once

#include "bulk_response.h"
#include "context.h"
#include "fleet_links.h"
#include "stall_detector.h"
#include "state_exchange.h"
#include "topic_replica.h"
#include "zone_evacuations.h"

#include <routing/routing.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewing::gateway
{

/** Callbacks for quarantines in the store. */
struct QuarantineHandlers {
    std::function<void(std::string_view name, const std::string &bytes)> onRead;
    /**
     * Called when the store has come back from an older copy. It may lack quarantines that are in force, and have some
     * that have ended.
     *
     * @param stored names of those that it has
     */
    std::function<void(const std::set<std::string> &stored)> onRolledBack;
};

/**
 * This VM's replica of the desired state and the endpoint registrations.
 *
 * A few VMs, the readers, read the store. They push new endpoint registrations to all others and announce new desired
 * states, which the others request by StateExchange. A VM reads the store itself if no live VM reports that it reads
 * the store successfully. While the store does not respond to it either, it requests registrations from any VM whose
 * replica is more up to date. A desired state is never replaced by an older version.
 *
 * The store may come back from an older copy. What this VM knows stays in force then: the desired state, and which
 * endpoints have ended or are draining. This VM writes its own records again.
 *
 * Evacuations of availability zones are read from the operator's topic by the readers, who push them to all. Heartbeats
 * tell a digest of them, and a VM that knows others requests them.
 */
class FleetState
{
public:
    /** @param seed for the delays of writes */
    FleetState(Context &context,
               FleetLinks &links,
               std::uint64_t seed,
               std::function<void()> onChanged,
               QuarantineHandlers quarantineHandlers);

    /** Starts to read the store, and registers this VM's address in it. */
    void start();
    /** Removes this VM's address from the store. */
    void deregister(std::function<void()> onDone);

    /** Writes a quarantine to the store, where a restart of all VMs does not end it. @param name unique among them */
    void storeQuarantine(std::string_view name, const std::string &bytes);
    /** Removes a quarantine from the store. */
    void removeQuarantine(std::string_view name);

    const userplatform::StoreCounters &storeCounters() const noexcept
    {
        return store_.counters();
    }
    /** Returns the routes of the desired state in force; null until one has been read. */
    const std::shared_ptr<const routing::RouteTable> &routes() const noexcept
    {
        return routes_;
    }
    routing::EndpointDirectory &endpoints() noexcept
    {
        return endpoints_;
    }
    /** Returns whether a desired state, the endpoint registrations and the evacuated zones are known. */
    bool isLoaded() const
    {
        return routes_ != nullptr && endpointRecords_.isLoaded() && areEvacuationsKnown();
    }
    /** Returns the number of availability zones that the operator has evacuated. */
    std::size_t evacuatedZones() const
    {
        return evacuations_.count();
    }

    /**
     * Returns whether a newer desired state, or other evacuations, should be in force by now than this VM has.
     * Readiness checks fail then, so that callers' new connections go to other VMs. A VM that is cut off from all VMs
     * with a newer state goes on serving by its own.
     */
    bool isOverdue() const;
    /**
     * Returns whether the state that is overdue may answer a request differently. Without news of what has changed it
     * may do so for any request.
     *
     * @param host of the request @param key of the request; empty if there is none
     */
    bool mayBeOutdated(std::string_view host, std::string_view key) const;

    /**
     * Returns the software version of a service's endpoints if it certainly is the only one that serves or has served
     * lately. It is not certain while this VM's view may be out of date.
     *
     * @param isConfirmed whether confirmEndpoints() has just brought the view up to date
     */
    std::optional<routing::SoftwareVersion> soleVersion(const routing::ServiceId &service, bool isConfirmed) const;

    /**
     * Brings the endpoint registrations up to date with all that the store has now. What this VM knows may be seconds
     * old without any sign of it: after a freeze, or if its links have just been cut.
     *
     * @param onDone `isCurrent` is false if neither the store nor a VM that reads it has responded
     */
    void confirmEndpoints(std::function<void(bool isCurrent)> onDone);
    /**
     * Returns whether requests have to wait because this process stood still: what has changed meanwhile is not known,
     * although requests that have arrived meanwhile can be read.
     */
    bool isConfirmationPending();
    /** Calls a function when isConfirmationPending() has ended, which takes a second at most. */
    void onConfirmed(std::function<void()> function);
    /** Returns whether the endpoint registrations that this VM knows are those of the store, but for some ms. */
    bool isViewCurrent() const;
    /** Returns whether the VMs that have registered have been read from the store. */
    bool areVmsLoaded() const noexcept
    {
        return areVmsLoaded_;
    }
    /** Returns whether this process stood still since the endpoint registrations were last confirmed. */
    bool isViewStalled() const noexcept
    {
        return isViewStalled_;
    }

    /**
     * Makes a lifetime of an endpoint unavailable that has said that it leaves.
     *
     * @param source who told this VM, for the log
     * @return whether this was not known
     */
    bool markLeaving(const routing::EndpointLifetime &lifetime, std::string_view source);

    /** Requests records from another VM if its heartbeat shows that its replica is more up to date. */
    void handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat);
    /** Handles the announcement of a desired state that is in force on another VM. */
    void handleStateAnnounced(const VmId &vm, const StateAnnouncement &announcement)
    {
        stateExchange_.handleVersion(vm, announcement.version, announcement.impact);
    }
    /** Responds to a request of another VM for the desired state. */
    void serveState(const StateRequest &request, peer::PeerCallWriter writer)
    {
        stateExchange_.serve(request, std::move(writer));
    }
    void expire(Time now);
    /** Responds to a request of another VM for endpoint registrations. */
    void serveRecords(const RecordsRequest &request, peer::PeerCallWriter writer);
    /** Applies records that another VM has read and pushed. */
    void handlePushedRecords(const VmId &vm, const RecordsPush &push);

private:
    /** Keys of software versions in the VMs' topic. The value lists the versions of a service, one a line. An
     * empty line is an unknown version. */
    static constexpr std::string_view softwareVersionsKeyPrefix = "software-versions/";

    /** How this VM follows one topic. */
    struct TopicState {
        bool isStoreLost = false;
        std::optional<Time> lastPeerRequestAt;
        bool isRequestedFromPeer = false;
    };

    static std::string_view topicName(userplatform::Topic topic);
    void watch(userplatform::Topic topic, const userplatform::WatchOptions &times);
    const TopicReplica &replica(userplatform::Topic topic) const;
    void applyUpdate(userplatform::Topic topic, const TopicUpdate &update, std::string_view source);
    void applyEndpoints(const TopicUpdate &update);
    void applyVms(const TopicUpdate &update, bool isRollback);
    void handleRollback(userplatform::Topic topic, std::uint64_t era);
    void restoreRecords(const std::vector<userplatform::StoreRecord> &stored);
    std::string ownAddressValue() const;
    void applyDesiredStates(const std::vector<userplatform::StoreRecord> &records);
    void completeDesiredState(Time now);
    void logMalformedState(const userplatform::StoreRecord &record, const Error &error);
    void putInForce(routing::DesiredState state, userplatform::LogPosition position, std::string_view source);
    void applyEndpoint(const userplatform::StoreRecord &record);
    void applyVm(const userplatform::StoreRecord &record);
    void applyEvacuations(const TopicUpdate &update, std::string_view source);
    void putEvacuationInForce(const ZoneEvacuation &record, std::string_view source);
    void compareEvacuations(const VmId &vm, const Heartbeat &heartbeat);
    bool areEvacuationsKnown() const;
    bool areEvacuationsOverdue() const;
    void applySoftwareVersions(std::string_view service, const std::string &value);
    void storeSoftwareVersions();
    void applyQuarantine(std::string_view name, const std::string &value);
    void pushRecords(userplatform::Topic topic,
                     userplatform::LogPosition start,
                     userplatform::LogPosition end,
                     const std::vector<userplatform::StoreRecord> &records);
    void updateStoreReading();
    bool isStoreReader() const;
    void startViewCheck(const CoalescedCheck::Outcome &onDone);
    void detectStall();
    void confirmDesiredState();
    void releaseWaiting();
    void checkView(int remainingChecks, const CoalescedCheck::Outcome &onDone);
    void askReaders(userplatform::Topic topic, CoalescedCheck::Outcome onDone);
    bool hasActiveReader() const;
    bool hasEvacuationReader() const;
    void expireEndpoints(Time now);
    void notifyChanged();
    void publishView();
    TopicUpdate toUpdate(const RecordsRequest &request, const RecordsResponse &response) const;
    void applyPeerRecords(const RecordsRequest &request, const RecordsResponse &response);
    std::shared_ptr<const std::string> encodedResponse(const RecordsRequest &request);
    void requestRecords(userplatform::Topic topic, const VmId &vm, userplatform::LogPosition start);

    Context &context_;
    FleetLinks &links_;
    Random random_;
    std::function<void()> onChanged_;
    QuarantineHandlers quarantineHandlers_;
    userplatform::StoreClient store_;
    std::map<userplatform::Topic, TopicState> topics_;
    TopicReplica endpointRecords_;
    TopicReplica vmRecords_ { RollbackPolicy::Keep };
    std::shared_ptr<const routing::RouteTable> routes_;
    StateExchange stateExchange_;
    BulkResponses recordResponses_;
    std::shared_ptr<const std::string> encodedSnapshot_; ///< of the endpoint registrations
    userplatform::LogPosition encodedSnapshotEnd_; ///< valid if there is one
    Time nextEndpointsReloadAt_;
    CoalescedCheck stateCheck_; ///< reads the desired state and the evacuations from the store
    CoalescedCheck storeCheck_; ///< reads the endpoint registrations from the store
    CoalescedCheck viewCheck_; ///< the same, or by way of a VM that reads it
    routing::EndpointDirectory endpoints_;
    ZoneEvacuations evacuations_;
    Time evacuationsChangedAt_; ///< when this VM last heard something new of them
    std::optional<Time> evacuationsDifferSince_; ///< when a VM first told of others, and has not sent them yet
    VmId evacuationsSource_; ///< the VM that last told of others
    bool isVmsReadDue_ = false; ///< the topic that all VMs share has to be read although this VM is no reader
    bool areVmsLoaded_ = false; ///< whether the records that all VMs share have been read
    /** Versions of engines, as stored: a VM that starts can't see those that have ended. */
    std::map<routing::ServiceId, std::set<std::optional<routing::SoftwareVersion>>> storedVersions_;
    std::uint64_t storedVersionsRevision_ = 0; ///< of the directory when they were last compared
    bool isDeregistered_ = false; ///< this VM leaves and has removed its address
    bool isReaderRoleKnown_ = false; ///< whether this VM has found out if it has to follow the store
    Time readersExpectedUntil_; ///< no VM may have said until then that it reads the store
    bool readsStore_ = false; ///< whether this VM follows the store itself
    StallDetector stallDetector_;
    bool isViewStalled_ = false;
    bool isDesiredStateStalled_ = false; ///< it has not been confirmed since this process stood still
    Time confirmationAwaitedUntil_; ///< requests go on without a confirmation then
    std::vector<std::function<void()>> waiting_; ///< for a confirmation
    Time nextStallConfirmationAt_;
    Time nextStateReloadAt_;
};

} // namespace lacewing::gateway
