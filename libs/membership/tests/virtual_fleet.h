#pragma once

#include <membership/membership.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/** Runs the overlays of a whole fleet in virtual time. */
namespace lacewing::membership_test
{

struct FleetSize {
    std::size_t zones = 1;
    std::size_t vmsPerZone = 1;
};

struct Traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

class VirtualFleet
{
public:
    VirtualFleet(FleetSize size, std::uint64_t seed);

    std::size_t size() const noexcept
    {
        return nodes_.size();
    }
    Time now() const noexcept
    {
        return now_;
    }
    membership::Overlay &overlay(std::size_t vm)
    {
        return *nodes_[vm].overlay;
    }
    const VmId &id(std::size_t vm) const
    {
        return nodes_[vm].vm;
    }
    std::size_t zoneOf(std::size_t vm) const
    {
        return vm / size_.vmsPerZone;
    }

    /** Starts a VM, which knows the VMs in `known`. */
    void start(std::size_t vm, const std::vector<std::size_t> &known);
    /** Starts all VMs; each knows all others. */
    void startAll();
    void kill(std::size_t vm);
    /** Freezes a VM: it does nothing, and what arrives waits for it. */
    void freeze(std::size_t vm);
    void wake(std::size_t vm);
    /** Cuts a zone off from the others, or ends that. */
    void cutZone(std::size_t zone, bool isCut);
    /** Sets the share of messages that are lost. */
    void setLoss(double share)
    {
        loss_ = share;
    }
    void setContent(std::size_t vm, const std::string &content, bool isPrompt);
    void flood(std::size_t vm, const std::string &message);

    void runFor(Duration duration);
    /** Runs until a condition holds. @return the time that it took; `limit` if it does not hold until then */
    Duration runUntil(const std::function<bool()> &condition, Duration limit);

    /** Returns whether a VM is up and not frozen. */
    bool isRunning(std::size_t vm) const;
    /** Returns whether two VMs reach each other. */
    bool reaches(std::size_t a, std::size_t b) const;
    /** Returns whether each running VM takes exactly those for live that run and that it reaches. */
    bool agrees() const;
    /** Returns the number of running VMs that take a VM for live. */
    std::size_t believersIn(std::size_t vm) const;
    /** Returns the number of VMs that a message to all has reached. */
    std::size_t receiversOf(const std::string &message) const;
    /** Returns how often VMs have received a message to all, by way of all neighbours. */
    std::size_t copiesOf(const std::string &message) const;
    /** Returns the content of a VM as known to another one; empty if it knows none. */
    std::string contentAt(std::size_t observer, std::size_t vm) const;

    void resetTraffic();
    const std::vector<Traffic> &sent() const noexcept
    {
        return sent_;
    }
    const std::vector<Traffic> &received() const noexcept
    {
        return received_;
    }

private:
    struct Node {
        VmId vm;
        AvailabilityZoneId zone;
        std::unique_ptr<membership::Overlay> overlay; ///< null while it is down
        std::uint64_t lifetime = 0;
        bool isFrozen = false;
        bool isFlushScheduled = false;
        bool isTickMissed = false; ///< it was due while the VM was frozen
        std::vector<std::pair<std::size_t, membership::OverlayMessage>> waiting; ///< arrived while it was frozen
        std::set<std::string> floods;
    };
    struct Event {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t lifetime = 0; ///< of the receiver
        std::optional<membership::OverlayMessage> message; ///< empty: a round or a flush of the receiver
        bool isFlush = false;
    };

    void schedule(Duration delay, Event event);
    void dispatch(const Event &event);
    void deliver(std::size_t from, Node &node, const membership::OverlayMessage &message);
    void send(std::size_t from, const std::vector<membership::OutgoingMessage> &messages);
    void flushIfUrgent(std::size_t vm);
    std::size_t indexOf(const VmId &vm) const
    {
        return indices_.at(vm);
    }

    FleetSize size_;
    Random random_;
    Time now_;
    std::vector<Node> nodes_;
    std::map<VmId, std::size_t> indices_;
    std::multimap<Time, Event> events_;
    std::set<std::size_t> cutZones_;
    std::map<std::pair<std::size_t, std::size_t>, Time> lastArrivals_; ///< messages on a link keep their order
    std::map<std::string, std::size_t> copies_;
    std::vector<Traffic> sent_;
    std::vector<Traffic> received_;
    double loss_ = 0;
    std::uint64_t epoch_ = 0;
};

} // namespace lacewing::membership_test
