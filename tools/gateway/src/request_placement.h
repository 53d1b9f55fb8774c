#pragma once

#include "request_context.h"
#include "request_cost.h"
#include "request_stages.h"

#include <optional>
#include <span>
#include <vector>

namespace lacewing::gateway
{

/**
 * Selects the endpoint of one request: near its stage results, and preferably an engine that has cached its prompt
 * prefix.
 *
 * All VMs rank the engines of a session in the same order, by rendezvous hashing, so that only few engines have to read
 * the part of the prompt that the requests of the session share.
 */
class RequestPlacement
{
public:
    /**
     * @param facts must outlive the placement
     * @param requestClass of the request if its costs are not those of its prompt
     */
    RequestPlacement(RequestContext &shared,
                     const userplatform::RequestMetadata &facts,
                     routing::ServiceId service,
                     const cost::RequestClass &requestClass,
                     dispatch::Repetition repetition);

    /** Returns the zone of the session's engine if the shared part of the prompt is large, else this VM's zone. */
    AvailabilityZoneId sessionZone() const;
    /** Returns the estimated time from sending the request to an engine until the first token. */
    Duration estimatedEngineTime() const;
    /**
     * Returns the best endpoint that has not been tried; null if there is none.
     *
     * @param maxConnections limit for each endpoint over all VMs; 0 if unknown
     * @param reserved an endpoint that expects the request, whatever its rate limit
     * @param origin of the stream that the endpoint has to resume; empty for a new request
     */
    const routing::EndpointEntry *choose(const std::vector<EndpointId> &triedEndpoints,
                                         std::size_t maxConnections,
                                         const std::optional<routing::EndpointLifetime> &reserved,
                                         const std::optional<routing::StreamOrigin> &origin,
                                         const ResultBytes &results) const;
    /** Returns whether the service has an endpoint that can resume a stream. */
    bool canResume(const routing::StreamOrigin &origin) const;
    /** Returns the endpoints that could continue a stream, but may have crashed. @param tried to be left out */
    std::vector<routing::EndpointLifetime> doubtfulEndpoints(const routing::StreamOrigin &origin,
                                                             std::span<const EndpointId> tried) const;
    /** Returns what the request costs an endpoint. */
    RequestCost costAt(const routing::EndpointEntry &entry) const;

private:
    double extraLatencyMs(const routing::EndpointEntry &entry, const ResultBytes &results) const;
    void logChoice() const;
    bool canResumeAt(const routing::StreamOrigin &origin, const routing::EndpointEntry &entry) const;
    std::uint32_t sharedPromptTokens() const;

    RequestContext &shared_;
    const userplatform::RequestMetadata &facts_;
    routing::ServiceId service_;
    cost::RequestClass requestClass_;
    dispatch::Repetition repetition_;
    cost::PromptCost promptCost_;
    double plainWorkMs_ = 0; ///< 0 if unknown
    EndpointId sessionEngine_; ///< empty if the request belongs to no session
};

} // namespace lacewing::gateway
