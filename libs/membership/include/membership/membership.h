#pragma once

#include <base/base.h>
#include <wire/wire.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/**
 * Membership of a fleet of hundreds of VMs, and dissemination of what they tell each other, without input or output.
 *
 * The VMs of a zone form two trees with different roots. A VM sends heartbeats to its parent in each tree only. The
 * roots decide which VMs of their zone are live, and exchange this with the roots of the other zones; it goes down the
 * trees with the records of VMs and with messages to all. What a VM sends in a second grows with the fan-out of the
 * trees and the number of zones, not with the number of VMs. One tree suffices while the other is repaired.
 */
namespace lacewing::membership
{

/** Number of trees in each zone. */
constexpr std::size_t treeCount = 2;

/** A tree of depth two: a root, inner nodes below it, and leaves. */
struct Tree {
    VmId root;
    std::vector<VmId> inner; ///< none in a small zone, where all others are children of the root
    std::vector<VmId> leaves; ///< sorted
};
/**
 * Returns the trees of a zone; VMs with the same candidates get the same ones. There are as many inner nodes as each of
 * them has children, so that all have few. A root or inner node of the first tree is a leaf of the second one if there
 * are enough VMs.
 *
 * @param candidates at least one
 */
std::array<Tree, treeCount> makeTrees(std::span<const VmId> candidates);
/** Returns the parent of a VM; empty for the root. When a VM joins or leaves, few others get another parent. */
std::optional<VmId> parentIn(const Tree &tree, const VmId &vm);

/** What a VM tells all others about itself. */
struct MemberRecord {
    VmId vm;
    AvailabilityZoneId zone;
    std::uint64_t epoch = 0; ///< rises with each start of the VM
    std::uint64_t revision = 0; ///< rises with each change of the content
    bool isPrompt = false; ///< sends heartbeats in each round, because others depend on it
    std::string content;

    LACEWING_MEMBERS(vm, zone, epoch, revision, isPrompt, content)
};

/** Summary of a zone by one of its roots, sent in every second round. */
struct ZoneView {
    AvailabilityZoneId zone;
    VmId root;
    std::uint64_t epoch = 0; ///< of the root
    std::uint64_t beat = 0; ///< rises with each view
    std::uint64_t listRevision = 0; ///< of the list of live VMs
    std::uint64_t digest = 0; ///< of the list, and of the records of the VMs in it

    LACEWING_MEMBERS(zone, root, epoch, beat, listRevision, digest)
};

/** The live VMs of a zone by one of its roots, sent when it changes. */
struct ZoneList {
    AvailabilityZoneId zone;
    VmId root;
    std::uint64_t epoch = 0; ///< of the root
    std::uint64_t revision = 0;
    std::vector<VmId> live; ///< sorted

    LACEWING_MEMBERS(zone, root, epoch, revision, live)
};

/** A message to all VMs. */
struct FloodItem {
    VmId origin;
    std::uint64_t epoch = 0; ///< of the origin
    std::uint64_t sequence = 0; ///< rises with each message of the origin
    std::string message;

    LACEWING_MEMBERS(origin, epoch, sequence, message)
};

/** Sent between VMs that are neighbours in a tree, or roots of two zones. Newer versions may append fields. */
struct OverlayMessage {
    bool isChosen = false; ///< the sender has chosen the receiver as its parent, or as the root of another zone
    std::array<bool, treeCount> isParent {}; ///< by tree: the receiver is the sender's parent
    std::array<std::vector<std::uint64_t>, treeCount> heard; ///< by tree: hashes of VMs below the sender, heard since
    std::vector<MemberRecord> records;
    std::vector<ZoneView> views;
    std::vector<ZoneList> lists;
    std::vector<FloodItem> floods;
    std::vector<AvailabilityZoneId> wantedZones; ///< the sender lacks something of them
    std::optional<std::string> status; ///< what the sender tells its neighbours, if that has changed

    LACEWING_MEMBERS(isChosen, isParent, heard, records, views, lists, floods, wantedZones, status)
};

struct OutgoingMessage {
    VmId to;
    OverlayMessage message;
};

/** What a message of another VM has brought. */
struct OverlayEvents {
    std::vector<MemberRecord> records; ///< new or changed
    std::vector<FloodItem> messages; ///< to all VMs, each once
    std::optional<std::string> status; ///< of the sender
    bool haveMembersChanged = false;
};

/** Recognizes messages that have come before, on another path. Remembers the last ones of each VM. */
class FloodFilter
{
public:
    /** @return whether the message is new */
    bool accept(const VmId &origin, std::uint64_t epoch, std::uint64_t sequence);

private:
    struct Window {
        std::uint64_t epoch = 0;
        std::uint64_t highest = 0;
        std::uint64_t seen = 0; ///< bit n: highest - n has come
    };

    std::map<VmId, Window> windows_;
};

/** Records of VMs, and which of them the roots of their zones take for live. */
class ZoneDirectory
{
public:
    struct Record {
        MemberRecord record;
        std::uint64_t change = 0; ///< number of the change that brought it
        VmId source; ///< VM that sent it; empty: this VM
    };
    struct View {
        ZoneView view;
        ZoneList list;
        Time advancedAt; ///< when its beat rose last
        std::uint64_t viewChange = 0;
        std::uint64_t listChange = 0;
        VmId viewSource;
        VmId listSource;
        std::optional<Time> differsSince; ///< its digest differs from what this VM knows
    };

    /** @return whether the record is newer than the one known */
    bool update(MemberRecord record, const VmId &source);
    /** @return whether the view is newer than the one known */
    bool update(const ZoneView &view, const VmId &source, Time now);
    /** @return whether the list is newer than the one known */
    bool update(ZoneList list, const VmId &source, Time now);
    void remove(const VmId &vm);
    void removeView(const AvailabilityZoneId &zone, const VmId &root);
    /** Moves all times forward, after a pause of this VM in which it could hear nothing. */
    void shift(Duration pause);

    bool isFresh(const View &view, Time now) const noexcept;
    bool hasFreshView(const AvailabilityZoneId &zone, Time now) const;
    /** Returns the VMs that a fresh view lists. */
    std::set<VmId> live(Time now) const;
    /** Returns a number that differs if live() may differ; not 0. */
    std::uint64_t liveSignature(Time now) const;
    /** Returns a digest of a list of VMs and of their records as known here. */
    std::uint64_t digestOf(const ZoneList &list) const;
    /** Returns the zones of which this VM has lacked something for a while, by the VM that sent their views. */
    std::map<VmId, std::vector<AvailabilityZoneId>> findLacking(Time now);
    /** Returns the number of the latest change. */
    std::uint64_t lastChange() const noexcept
    {
        return lastChange_;
    }
    const std::map<VmId, Record> &records() const noexcept
    {
        return records_;
    }
    /** Returns the VMs by the number of the change that brought their records. */
    const std::map<std::uint64_t, VmId> &recordsByChange() const noexcept
    {
        return recordsByChange_;
    }
    const std::map<std::pair<AvailabilityZoneId, VmId>, View> &views() const noexcept
    {
        return views_;
    }

private:
    View &viewOf(const AvailabilityZoneId &zone, const VmId &root);

    std::map<VmId, Record> records_;
    std::map<std::uint64_t, VmId> recordsByChange_;
    std::map<std::pair<AvailabilityZoneId, VmId>, View> views_;
    std::uint64_t lastChange_ = 0;
};

/** The part of one VM in the membership of the fleet. */
class Overlay
{
public:
    /** Interval at which tick() has to be called. */
    static constexpr Duration tickInterval = std::chrono::milliseconds(250);

    /** @param epoch should be higher than at the previous start; is raised if another VM knows of a higher one */
    Overlay(VmId self, AvailabilityZoneId zone, std::uint64_t epoch);

    /** Sets what this VM tells all others. @param isPrompt others depend on this VM and have to notice its end soon */
    void setContent(std::string content, bool isPrompt);
    /** Sets what this VM tells its neighbours. */
    void setStatus(std::string status);
    /** Adds a VM that takes part in the overlay. */
    void addMember(const VmId &vm, const AvailabilityZoneId &zone, Time now);
    void removeMember(const VmId &vm);
    /** Sends a message to all VMs that are live. */
    void flood(std::string message);

    /** Returns the messages that are due in a round. */
    std::vector<OutgoingMessage> tick(Time now);
    /** Returns whether something should not wait for the next round. */
    bool isUrgent() const noexcept
    {
        return isUrgent_;
    }
    /** Returns the messages that should not wait for the next round. */
    std::vector<OutgoingMessage> flush(Time now);
    OverlayEvents handle(const VmId &from, const OverlayMessage &message, Time now);

    /** Returns the live VMs, without this one. */
    const std::set<VmId> &live() const noexcept
    {
        return live_;
    }
    /** Returns a number that rises with each change of live(). */
    std::uint64_t liveRevision() const noexcept
    {
        return liveRevision_;
    }
    /** Returns whether a root of a zone has been heard recently, directly or by way of others. */
    bool hasFreshView(const AvailabilityZoneId &zone, Time now) const
    {
        return directory_.hasFreshView(zone, now);
    }
    /** Returns the parents of this VM; empty in a tree of which it is the root. */
    const std::array<std::optional<VmId>, treeCount> &parents() const noexcept
    {
        return parents_;
    }
    /** Returns whether this VM is the root of a tree. */
    bool isRoot() const;
    /** Returns the VMs with which this VM exchanges messages. */
    std::vector<VmId> neighbours() const;
    const ZoneDirectory &directory() const noexcept
    {
        return directory_;
    }

private:
    struct Member {
        AvailabilityZoneId zone;
        Time addedAt;
        std::optional<Time> heardAt; ///< its heartbeat arrived, directly or by way of VMs below this one
        std::optional<Time> lastMessageAt; ///< of the member itself
        std::optional<Time> chosenAt; ///< when it became a parent or peer of this VM
        std::optional<Time> avoidedUntil; ///< it did not respond when it was a parent or peer
    };
    /** A VM with which this one exchanges messages. */
    struct Edge {
        bool isChosenByOther = false;
        std::array<bool, treeCount> isChild {}; ///< by tree: this VM is its parent
        std::optional<Time> lastReceivedAt;
        std::optional<Time> lastSentAt;
        std::uint64_t sentChange = 0; ///< directory changes up to this one have been sent
        std::uint64_t sentFlood = 0;
        std::optional<std::string> sentStatus;
        std::set<AvailabilityZoneId> wantedZones; ///< of which everything is sent again
        std::vector<AvailabilityZoneId> lackedZones; ///< of which everything is asked for
    };
    struct QueuedFlood {
        FloodItem item;
        std::uint64_t number = 0;
        VmId source;
        Time expiresAt;
    };

    /** From this VM to a neighbour. */
    enum class Direction : std::uint8_t {
        Up, ///< to a parent
        Down, ///< to a child
        Across, ///< to another zone
    };

    Member &memberOf(const VmId &vm, const AvailabilityZoneId &zone, Time now);
    bool isUsable(const VmId &vm, const Member &member, bool hasView, Time now) const;
    std::vector<VmId> candidates(const AvailabilityZoneId &zone, Time now) const;
    std::set<AvailabilityZoneId> otherZones() const;
    void updatePlaces(Time now);
    void updateTargets(const std::set<VmId> &targets, Time now);
    void updateOwnView(Time now);
    bool updateLive(Time now);
    void skipPause(Time now);
    void publishRecord();
    void raiseEpoch(std::uint64_t known);
    void handleRecord(const VmId &from, const MemberRecord &record, Time now, OverlayEvents &events);
    void enqueueFlood(FloodItem item, const VmId &source, Time now);
    Direction directionOf(const VmId &to) const;
    AvailabilityZoneId zoneOf(const VmId &vm) const;
    bool isPassedOn(const VmId &source, const VmId &to, const Edge &edge, Direction direction) const;
    bool isFromParent(const VmId &source) const;
    bool isBelow(const VmId &source, const VmId &parent) const;
    OverlayMessage compose(const VmId &to, Edge &edge, Time now);
    bool isDue(const VmId &to, const Edge &edge, const OverlayMessage &message, Time now) const;
    bool hasPromptVm(const OverlayMessage &message) const;
    bool isPromptVm(const VmId &vm) const;
    static bool hasNews(const OverlayMessage &message);
    bool isUrgentFor(const VmId &to, const OverlayMessage &message) const;
    bool isHalfRound() const noexcept;
    std::vector<OutgoingMessage> sendAll(Time now, bool isRound);

    VmId self_;
    AvailabilityZoneId zone_;
    std::uint64_t epoch_;
    std::uint64_t revision_ = 1;
    std::uint64_t nextSequence_ = 1;
    std::string content_;
    bool isPrompt_ = false;
    std::string status_;
    std::map<VmId, Member> members_;
    std::map<std::uint64_t, VmId> idsByHash_; ///< of members_
    std::array<std::map<VmId, Time>, treeCount> below_; ///< by tree: when VMs below this one were last heard
    ZoneDirectory directory_;
    FloodFilter floodFilter_;
    std::vector<QueuedFlood> floods_;
    std::uint64_t lastFlood_ = 0;
    std::map<VmId, Edge> edges_;
    std::vector<VmId> treeCandidates_; ///< of the own zone, when the parents were last chosen
    std::array<std::optional<VmId>, treeCount> parents_;
    std::array<bool, treeCount> isRootOf_ {};
    std::set<VmId> targets_; ///< parents and peers: the VMs that this one has chosen
    std::set<VmId> live_;
    std::uint64_t liveRevision_ = 0;
    std::uint64_t liveSignature_ = 0; ///< of what live_ was worked out from
    std::set<VmId> liveNeighbours_; ///< the same
    std::vector<VmId> ownList_; ///< live VMs of the own zone, while this VM is a root
    std::uint64_t ownListRevision_ = 0;
    std::uint64_t ownBeat_ = 0;
    std::optional<Time> lastTickAt_;
    std::uint64_t round_ = 0;
    bool isUrgent_ = false;
};

} // namespace lacewing::membership
