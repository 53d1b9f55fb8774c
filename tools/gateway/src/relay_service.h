#pragma once

#include "relay_messages.h"
#include "request_context.h"

#include <peer/peer.h>
#include <reachability/reachability.h>

#include <deque>
#include <memory>
#include <set>

namespace lacewing::gateway
{

/**
 * Sends requests to endpoints for VMs that reach none.
 *
 * This VM makes a single attempt and never asks a third one. All that is counted for each VM counts here: connections,
 * quiet periods, sends under rate limits, the health of endpoints and their crashes. The other VM decides on retries
 * and answers its caller.
 */
class RelayService
{
public:
    explicit RelayService(RequestContext &shared);
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    void serve(RelayRequest request, peer::PeerCallWriter writer);
    /** Refuses all further requests; those in progress are completed. */
    void stop();
    /** Returns the number of requests in progress. */
    std::size_t pending() const noexcept
    {
        return calls_.size();
    }

private:
    class Call;

    RequestContext &shared_;
    reachability::RelayLimit limit_;
    std::set<std::shared_ptr<Call>> calls_;
    bool isStopped_ = false;
    telemetry::Counter servedCounter_;
    telemetry::Counter refusedCounter_;
};

} // namespace lacewing::gateway
