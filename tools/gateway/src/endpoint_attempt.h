#pragma once

#include "request_context.h"

#include <functional>
#include <memory>
#include <optional>

namespace lacewing::gateway
{

/** What comes back from an endpoint; none is called after EndpointSend::close(). */
struct SendHandlers {
    std::function<void()> onHead; ///< the head is known
    std::function<void(std::string_view bytes)> onBody;
    std::function<void(const net::HttpEnd &end)> onEnd;
};

/** One send of a caller's request to an endpoint, and what it teaches about the endpoint. */
class EndpointSend : public std::enable_shared_from_this<EndpointSend>
{
public:
    /** @param workMs that it adds at the endpoint until the first byte of the body, in ms */
    EndpointSend(RunShared &shared, routing::EndpointEntry endpoint, double workMs, SendHandlers handlers);
    EndpointSend(const EndpointSend &) = delete;
    EndpointSend &operator=(const EndpointSend &) = delete;

    void start(net::HttpCall call);
    /** The endpoint has done the work that was announced. */
    void workDone();
    /** Ends the send, and its call if that still runs; later calls have no effect. */
    void close(dispatch::SendOutcome outcome);

    bool isOpen() const noexcept
    {
        return open_;
    }
    const EndpointId &endpoint() const noexcept
    {
        return endpoint_.id;
    }
    const net::HttpHead &head() const noexcept
    {
        return head_;
    }
    const userplatform::AnswerFacts &facts() const noexcept
    {
        return facts_;
    }
    /** From the send to the head; empty: there is none. */
    std::optional<Duration> firstByte() const noexcept
    {
        return firstByte_;
    }
    bool isSuccess() const noexcept;
    /** A success that carries what proves it to be the endpoint's answer to this request. */
    bool isGenuine(const stages::RequestId &request) const;

private:
    void headReceived(const net::HttpHead &head);
    void ended(const net::HttpEnd &end);

    RunShared &shared_;
    routing::EndpointEntry endpoint_;
    double workMs_;
    SendHandlers handlers_;
    net::HttpCallHandle call_;
    Time startedAt_;
    std::optional<Duration> firstByte_;
    net::HttpHead head_;
    userplatform::AnswerFacts facts_;
    bool open_ = true;
};

} // namespace lacewing::gateway
