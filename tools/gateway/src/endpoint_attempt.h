#pragma once

#include "request_context.h"

#include <functional>
#include <memory>
#include <optional>

namespace lacewing::gateway
{

/** Callbacks for the response of an endpoint; none is called after EndpointAttempt::close(). */
struct AttemptHandlers {
    std::function<void()> onHead; ///< called when the response head is available
    std::function<void(std::string_view bytes)> onBody;
    std::function<void(const net::HttpEnd &end)> onEnd;
};

/** One attempt to send a caller's request to an endpoint; reports its outcome to the load balancer. */
class EndpointAttempt : public std::enable_shared_from_this<EndpointAttempt>
{
public:
    /** @param workMs estimated work that the request adds at the endpoint until the first byte of the body, in ms */
    EndpointAttempt(RequestContext &shared, routing::EndpointEntry endpoint, double workMs, AttemptHandlers handlers);
    EndpointAttempt(const EndpointAttempt &) = delete;
    EndpointAttempt &operator=(const EndpointAttempt &) = delete;

    void start(net::HttpCall call);
    /** Records that the endpoint has completed the estimated work. */
    void completeWork();
    /** Ends the attempt, and cancels its call if that is still in flight. Further calls have no effect. */
    void close(dispatch::SendOutcome outcome);

    bool isOpen() const noexcept
    {
        return isOpen_;
    }
    const EndpointId &endpoint() const noexcept
    {
        return endpoint_.id;
    }
    /** Returns the endpoint's registration as of the start. */
    const routing::EndpointEntry &entry() const noexcept
    {
        return endpoint_;
    }
    const net::HttpHead &head() const noexcept
    {
        return head_;
    }
    const userplatform::ResponseMetadata &facts() const noexcept
    {
        return facts_;
    }
    /** Returns the time from the start to the response head; empty if there is no head. */
    std::optional<Duration> timeToFirstByte() const noexcept
    {
        return timeToFirstByte_;
    }
    /** Returns how long the response has been arriving; empty if there is no head. */
    std::optional<Duration> timeSinceFirstByte() const;
    bool isSuccess() const noexcept;
    /** Returns whether the response is a success with a receipt of the endpoint for this request. */
    bool isAuthentic(const stages::RequestId &request) const;

private:
    void handleHead(const net::HttpHead &head);
    void handleEnd(const net::HttpEnd &end);

    RequestContext &shared_;
    routing::EndpointEntry endpoint_;
    double workMs_;
    AttemptHandlers handlers_;
    net::HttpCallHandle call_;
    Time startedAt_;
    std::optional<Duration> timeToFirstByte_;
    net::HttpHead head_;
    userplatform::ResponseMetadata facts_;
    bool isOpen_ = true;
};

} // namespace lacewing::gateway
