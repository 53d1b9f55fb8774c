#pragma once

#include "request_stages.h"
#include "request_context.h"

#include <vector>

namespace lacewing::gateway
{

/**
 * Where one request is best sent: near its results, and to the engine that has read most of its prompt.
 *
 * All VMs rank the engines alike for a session, by rendezvous hashing, so that its part of the prompts is read at few.
 */
class RequestPlacement
{
public:
    /** @param facts outlives the placement */
    RequestPlacement(RunShared &shared, const userplatform::CallerFacts &facts, routing::ServiceId service);

    /** The zone of the session's engine if its part of the prompt is large; else this VM's own. */
    AvailabilityZoneId sessionZone() const;
    /** Time that an engine usually takes to its first token. */
    Duration engineTime() const;
    /** The best endpoint that wasn't tried; null when there is none. @param maxConnections 0: unknown */
    const routing::EndpointEntry *choose(const std::vector<EndpointId> &tried,
                                         std::size_t maxConnections,
                                         const ResultBytes &results) const;
    /** Time that the request adds at an endpoint, in ms: reading its prompt, and moving its results. */
    double workMs(const routing::EndpointEntry &entry, const ResultBytes &results) const;

private:
    std::uint32_t sessionTokens() const;

    RunShared &shared_;
    const userplatform::CallerFacts &facts_;
    routing::ServiceId service_;
    EndpointId sessionEngine_; ///< empty: the request belongs to no session
};

} // namespace lacewing::gateway
