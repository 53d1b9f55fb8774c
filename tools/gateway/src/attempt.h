#pragma once

#include "request_context.h"

#include <functional>
#include <optional>

namespace lacewing::gateway
{

/** Callbacks for the response of an endpoint; none is called after Attempt::close(). */
struct AttemptHandlers {
    std::function<void()> onHead; ///< called when the response head is available
    std::function<void(std::string_view bytes)> onBody;
    std::function<void(const net::HttpEnd &end)> onEnd;
};

/** One attempt to have a caller's request executed by an endpoint, sent by this VM or by another one for it. */
class Attempt
{
public:
    Attempt(RequestContext &shared, routing::EndpointEntry endpoint, AttemptHandlers handlers);
    virtual ~Attempt() = default;
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /** Records that the endpoint has completed the estimated work. */
    virtual void completeWork()
    {
    }
    /** Ends the attempt, and cancels its call if that is still in flight. Further calls have no effect. */
    virtual void close(dispatch::SendOutcome outcome) = 0;
    /** Returns the VM that sends the request; empty if it is this one. */
    virtual VmId relay() const
    {
        return {};
    }

    /** Returns the connection to the endpoint on which the request was sent; 0 until it ends, or if a relay sends it.
     */
    net::ConnectionNumber connection() const noexcept
    {
        return connection_;
    }
    /** Returns the number of calls that the connection had carried before. */
    std::uint32_t earlierCalls() const noexcept
    {
        return earlierCalls_;
    }
    bool isOpen() const noexcept
    {
        return isOpen_;
    }
    /** Returns the endpoint; empty if another VM chooses it and has not said yet which one it is. */
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
    /** Returns the time since the start or since the last byte of the response. */
    Duration silence() const;
    bool isSuccess() const noexcept;
    /** Returns whether the endpoint is another one than its registration says. */
    bool isAtWrongEndpoint() const noexcept
    {
        return facts_.isMisdirected && !hasVersionCondition_;
    }
    /** Returns whether the response is a success with a receipt of the endpoint for this request. */
    bool isAuthentic(const stages::RequestId &request) const;
    /** Returns what an answer without a transport error means for the health of the endpoint. */
    dispatch::SendOutcome outcome(const stages::RequestId &request) const;
    /**
     * Describes the request for the detection of crashes, after its connection has ended.
     *
     * @param mayBeComplete whether the answer may have ended as it should
     */
    dispatch::LostRequest lostRequest(Fingerprint request,
                                      std::vector<dispatch::PromptPartId> sharedParts,
                                      bool mayBeComplete) const;

protected:
    void recordHead(const net::HttpHead &head);
    void forwardBody(std::string_view bytes);

    RequestContext &shared_;
    routing::EndpointEntry endpoint_;
    AttemptHandlers handlers_;
    Time startedAt_;
    Time lastByteAt_; ///< or the start
    std::optional<Duration> timeToFirstByte_;
    net::HttpHead head_;
    userplatform::ResponseMetadata facts_;
    net::ConnectionNumber connection_;
    std::uint32_t earlierCalls_ = 0;
    bool hasVersionCondition_ = false; ///< of the caller, for which an endpoint may turn the request away
    bool isOpen_ = true;
};

} // namespace lacewing::gateway
