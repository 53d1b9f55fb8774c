#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/**
 * Limits on what all VMs together send to endpoints that can't bear overload.
 *
 * This library performs no I/O; the current time is passed in by the caller.
 */
namespace lacewing::overload
{

/**
 * Endpoints that crash if they have to turn away more than some requests in a second, as they say in their answers.
 *
 * Two things keep them from that. The slots of such an endpoint are divided among as many VMs as it has slots, so that
 * the VMs together send no more than it has room for while they agree on who is live. And a request that it turned away
 * all the same counts at all VMs, which stop well before the endpoint's limit.
 */
class BrittleEndpoints
{
public:
    /**
     * Takes what an answer says.
     *
     * @param maxRejections number of requests that the endpoint can turn away in a second; empty: any
     * @param sentAt when the request was sent; its answer may be older than what is known
     * @return whether the other VMs have to be told
     */
    bool recordAnswer(const routing::EndpointLifetime &endpoint,
                      std::optional<std::uint32_t> maxRejections,
                      Time sentAt,
                      Time now);
    /** Records that an endpoint is brittle, as another VM has told. */
    void recordBrittle(const routing::EndpointLifetime &endpoint, std::uint32_t maxRejections, Time now);
    /**
     * Records that an endpoint turned a request away for want of room.
     *
     * @param isOwn whether this VM had sent it
     * @return whether the endpoint is brittle, so that the other VMs have to be told of this VM's rejections
     */
    bool recordRejection(const routing::EndpointLifetime &endpoint, bool isOwn, Time now);

    bool isBrittle(const routing::EndpointLifetime &endpoint) const;
    /** Returns the number of requests that the endpoint can turn away in a second; empty if it is not brittle. */
    std::optional<std::uint32_t> maxRejections(const routing::EndpointLifetime &endpoint) const;
    /** Returns until when no request may be sent to an endpoint; empty if one may be sent now. */
    std::optional<Time> blockedUntil(const routing::EndpointLifetime &endpoint, Time now) const;
    bool isEmpty() const noexcept
    {
        return endpoints_.empty();
    }
    /** Removes lifetimes that have ended. */
    void expire(const routing::EndpointDirectory &directory);

private:
    struct Brittle {
        std::optional<std::uint32_t> maxRejections; ///< empty: it is not brittle any more
        Time statedAt; ///< when that was said
        std::deque<Time> rejectedAt; ///< in the last second, by requests of all VMs
        std::optional<Time> ownRejectionAt; ///< of the latest request of this VM that was turned away
    };

    std::map<routing::EndpointLifetime, Brittle> endpoints_;
};

/**
 * Divides the slots of a brittle endpoint among VMs. VMs that know the same live VMs get the same result.
 *
 * @return for each VM the number of requests that it may have in flight there; 0 for some if there are more than slots
 */
std::vector<std::size_t> divideSlots(const routing::EndpointEntry &endpoint, std::span<const VmId> vms);

// ---------------------------------------------------------------------------------------------------------------------
// Cold endpoints

/**
 * Which VMs may send how much to an endpoint, without messages between them.
 *
 * Each slot of an endpoint belongs to one VM by rendezvous hashing over all that may send. A VM that joins is added at
 * once, and waits itself until the others know of it. One that is gone keeps its slots for long, as it may be cut off
 * and go on sending. So VMs with different views hardly take the same slot for their own.
 */
class SlotOwners
{
public:
    /** Time that a VM waits after its start: the others hear of it within seconds. */
    static constexpr Duration settlingTime = std::chrono::seconds(5);
    /** Time for which a VM keeps its slots that has deregistered: longer than it takes to stop. */
    static constexpr Duration goneVmRetention = std::chrono::minutes(1);

    explicit SlotOwners(VmId self);

    /** Must be called repeatedly, from when they are known. @param vms all that may send, this one included */
    void update(std::span<const VmId> vms, Time now);
    /** Returns when this VM may use its slots; empty until the VMs are known. */
    std::optional<Time> settledAt() const noexcept
    {
        return settledAt_;
    }
    /** Returns the number of an endpoint's slots that belong to this VM. */
    std::size_t ownCount(const EndpointId &endpoint, std::size_t slots) const;
    /** Returns the VMs to which slots of an endpoint belong. Valid until the next call. */
    const std::set<VmId> &owners(const EndpointId &endpoint, std::size_t slots) const;
    /** Forgets what was worked out for endpoints that are gone. */
    void expire(const routing::EndpointDirectory &directory);

private:
    struct Member {
        std::uint64_t hash = 0;
        Time lastKnownAt;
    };
    struct Division {
        std::uint64_t revision = 0;
        std::size_t slots = 0;
        std::size_t ownCount = 0;
        std::set<VmId> owners;
    };

    const Division &division(const EndpointId &endpoint, std::size_t slots) const;

    VmId self_;
    std::optional<Time> settledAt_;
    std::map<VmId, Member> members_;
    std::uint64_t revision_ = 0; ///< rises with each change of members_
    mutable std::unordered_map<EndpointId, Division> divisions_; ///< cached, as they take a hash for each VM and slot
};

/** Why an endpoint counts as cold. */
enum class ColdReason : std::uint8_t {
    Registered, ///< its registration says so
    Told, ///< an answer says so
    Unknown, ///< it is new here, and its registration says nothing
    Doubtful, ///< a connection was lost, and it may have started again
    ZoneReturned, ///< its availability zone was evacuated until now, and nothing newer is known of it
    ViewOutdated, ///< this VM can't know, as it is cut off or stood still
};
std::string_view toText(ColdReason reason) noexcept;

/** A time for which an endpoint counts as cold. */
struct ColdPeriod {
    Time until;
    ColdReason reason = ColdReason::Registered;
};

/** What a cold endpoint may get in any second over what its service says that it bears. */
struct ColdAllowance {
    double factor = 1;
    double requests = 0; ///< in addition
};

/**
 * Keeps cold endpoints from getting more requests in a second than they bear, from all VMs together.
 *
 * Load answered: all VMs send to endpoints that have just started, as these have no load, while VMs are cut off from
 * each other, frozen, or just started. An endpoint has slots for a part of the bound. A slot belongs to one VM, which
 * may use it for one request in any second.
 */
class ColdEndpoints
{
public:
    /** Interval at which update() has to be called. */
    static constexpr Duration updateInterval = std::chrono::milliseconds(100);

    ColdEndpoints(VmId self, const ColdAllowance &allowance);

    /** Takes the time, and the VMs that may send if they are known. */
    void update(std::span<const VmId> vms, Time now);
    /** Records that an endpoint has said in an answer how long it stays cold. */
    void recordAnswer(const routing::EndpointLifetime &endpoint, Duration timeLeft, Time now);
    /** Records a request of any kind, also to an endpoint that is not cold: it may become cold a moment later. */
    void recordSend(const EndpointId &endpoint, const routing::ColdStart &start, Time now);

    /**
     * Returns for how long an endpoint counts as cold; empty if it is not cold.
     *
     * @param doubtfulSince when a connection was lost, if the endpoint may have started again since; else empty
     * @param zoneReturnedAt when the last evacuation of its zone ended; empty if there was none
     * @param isViewCurrent whether this VM would know if the endpoint were cold
     */
    std::optional<ColdPeriod> findPeriod(const routing::EndpointEntry &endpoint,
                                         const routing::ColdStart &start,
                                         std::optional<Time> doubtfulSince,
                                         std::optional<Time> zoneReturnedAt,
                                         bool isViewCurrent,
                                         Time now) const;
    /** Returns until when this VM may send nothing to a cold endpoint; empty if it may send a request now. */
    std::optional<Time> blockedUntil(const EndpointId &endpoint,
                                     const routing::ColdStart &start,
                                     const ColdPeriod &period,
                                     Time now) const;
    /** Returns the number of requests that a cold endpoint gets in a second from all VMs. */
    std::size_t slotCount(const routing::ColdStart &start) const noexcept;
    const SlotOwners &owners() const noexcept
    {
        return owners_;
    }
    /** Removes what is known of endpoints that are gone. */
    void expire(const routing::EndpointDirectory &directory);

private:
    bool isPaused(Time now) const noexcept;

    ColdAllowance allowance_;
    SlotOwners owners_;
    std::optional<Time> updatedAt_;
    std::unordered_map<EndpointId, std::deque<Time>> sentAt_; ///< the latest sends, as many as there are slots
    std::map<routing::EndpointLifetime, Time> toldUntil_;
};

} // namespace lacewing::overload
