#pragma once

#include "attempt.h"
#include "request_cost.h"

#include <memory>

namespace lacewing::gateway
{

/** An attempt that this VM sends; reports its outcome to the load balancer. */
class EndpointAttempt final : public Attempt, public std::enable_shared_from_this<EndpointAttempt>
{
public:
    EndpointAttempt(RequestContext &shared,
                    routing::EndpointEntry endpoint,
                    const RequestCost &cost,
                    AttemptHandlers handlers);

    void start(net::HttpCall call);
    void completeWork() override;
    void close(dispatch::SendOutcome outcome) override;

private:
    void handleHead(const net::HttpHead &head);
    void handleEnd(const net::HttpEnd &end);
    void learn(Duration took);

    RequestCost cost_;
    dispatch::Send send_;
    bool isReading_ = false; ///< whether the endpoint has yet to begin its answer
    bool isLearned_ = false; ///< whether the cost and the pace are learned from the answer
    net::HttpCallHandle call_;
};

} // namespace lacewing::gateway
