#pragma once

#include "members.h"

#include <map>
#include <set>
#include <vector>

namespace lacewing::fleet
{

/**
 * The endpoints as the platform lists them, and their load.
 *
 * Each endpoint of the zone is polled by a few VMs of the zone, its watchers. The first one tells the zone's VMs of
 * it; the others do so when the first stays silent or disagrees about whether the endpoint can be reached.
 */
class Endpoints
{
public:
    Endpoints(Context &context, const Members &members, Time now);

    void tick();
    Time nextWake() const;

    /** Takes over the platform's endpoints; those missing are dropped unless they still report. */
    void onList(const PlatformList &list);
    void onReport(const EndpointReport &report);
    void onLoadShare(const LoadShare &share);
    void onUsage(const UsageMeasured &usage);
    void onMark(const MarkEndpointLeaving &mark);
    /** A leaving mark was stored. */
    void onLeavingStored(const EndpointLeaving &mark);
    /** A leaving mark has expired. */
    void onLeavingRemoved(const EndpointLeaving &mark);
    /** A start was stored. */
    void onStartStored(const EndpointStarted &start);
    /** Chooses the watchers anew. */
    void onMembersChanged();

    /** The incarnation of an endpoint; 0 when unknown. */
    Incarnation incarnation(const EndpointId &endpoint) const;
    std::vector<EndpointView> views() const;
    /** The own zone's heaviest workspaces. */
    std::vector<WorkspaceUsage> heaviest() const;

private:
    struct Verdict {
        bool reachable = true;
        Time at;
    };
    struct Entry {
        ListedEndpoint listed;
        Incarnation incarnation;
        WallTime incarnationSince; ///< when this VM first heard of the incarnation
        std::optional<EndpointLoad> load;
        Time measuredAt;
        Time heardAt; ///< last report of another VM
        std::map<VmId, Verdict> verdicts; ///< of each watcher
        std::size_t watchRank = 0; ///< 0: not watched by this VM; 1: first watcher
        std::optional<EndpointLoad> own; ///< last own poll
        Time ownAt;
        bool urgent = false; ///< must be told at once
        bool leaving = false;
    };

    void setIncarnation(Entry &entry, Incarnation incarnation);
    void take(Entry &entry, const EndpointLoad &load, const VmId &from);
    void markLeaving(const EndpointId &endpoint, Incarnation incarnation);
    bool hasMark(const EndpointId &endpoint, Incarnation incarnation) const;
    bool isMarked(const Entry &entry) const;
    void updateWatch(Entry &entry, std::size_t rank);
    bool mustTell(const Entry &entry, bool regular) const;
    void share(bool regular);
    void forgetOld();
    bool isFresh(Time at) const;
    bool isUsageFresh(Time at) const;
    void summarize();
    bool isReachable(const Entry &entry) const;
    EndpointState state(const Entry &entry) const;

    Context &context_;
    const Members &members_;
    std::map<EndpointId, Entry> entries_;
    std::map<EndpointId, std::set<Incarnation>> marks_; ///< leaving incarnations
    std::map<EndpointId, Incarnation> starts_; ///< last known start of marked endpoints
    std::vector<WorkspaceUsage> ownUsage_;
    std::map<VmId, std::pair<Time, std::vector<WorkspaceUsage>>> usage_;
    Time nextShare_;
    Time nextSummary_;
    std::uint64_t shares_ = 0; ///< regular shares made
    bool urgent_ = false;
};

} // namespace lacewing::fleet
