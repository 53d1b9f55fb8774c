#pragma once

#include "attempt.h"

#include <memory>

namespace lacewing::gateway
{

/** An attempt that this VM sends; reports its outcome to the load balancer. */
class EndpointAttempt final : public Attempt, public std::enable_shared_from_this<EndpointAttempt>
{
public:
    /** @param workMs estimated work that the request adds at the endpoint until the first byte of the body, in ms */
    EndpointAttempt(RequestContext &shared, routing::EndpointEntry endpoint, double workMs, AttemptHandlers handlers);

    void start(net::HttpCall call);
    void completeWork() override;
    void close(dispatch::SendOutcome outcome) override;

private:
    void handleHead(const net::HttpHead &head);
    void handleEnd(const net::HttpEnd &end);

    double workMs_;
    net::HttpCallHandle call_;
};

} // namespace lacewing::gateway
