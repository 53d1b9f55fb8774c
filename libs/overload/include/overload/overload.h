#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
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

} // namespace lacewing::overload
