#pragma once

#include "session.h"
#include "transport.h"

#include <base/base.h>
#include <net/net.h>
#include <peer/peer.h>

#include <memory>
#include <string>

namespace lacewing::peer
{

/** What all links of a PeerNetwork share. */
struct LinkContext {
    net::EventLoop &loop;
    const PeerOptions &options;
    PeerCounters &counters;
    const net::Headers &identityHeaders; ///< sent with every stream
};

/** Is told what happens on a link. */
class LinkOwner
{
public:
    virtual ~LinkOwner() = default;
    /** The other side has proved to speak HTTP/2 (and, with TLS, its identity). */
    virtual void linkReady() = 0;
    virtual void linkEvent(SessionEvent event) = 0;
    /** All that was to be sent has been taken up by the network. */
    virtual void linkFlushed() = 0;
    /** The link is gone; nothing follows. Not called after Link::close(). */
    virtual void linkClosed(const Error &error) = 0;
    /** Whether something would be lost if the other side were gone; such a link is probed when it is silent. */
    virtual bool isLinkBusy() const = 0;
};

/** One HTTP/2 connection with its liveness check. */
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(const LinkContext &context, Session::Role role, std::shared_ptr<Transport> transport);

    /** Sets up an outgoing link. */
    void connect(const Tcp::endpoint &endpoint, LinkOwner &owner);
    /** Sets up an incoming link. */
    void accept(LinkOwner &owner);
    /** Closes at once; the owner is called no more. */
    void close();

    Session &session() noexcept
    {
        return session_;
    }
    /** Sends what the session has to send, together with whatever else comes up within this pass of the loop. */
    void scheduleFlush();
    /** Starts the liveness check when the owner is busy. */
    void watch();

    bool isReady() const noexcept
    {
        return isReady_ && !isClosed_;
    }
    /** Was ready before it was closed. */
    bool wasReady() const noexcept
    {
        return isReady_;
    }
    /** Nothing was received for the time after which a link is probed. */
    bool isStale() const;
    /** A PING is under way. */
    bool isProbing() const noexcept
    {
        return isProbing_;
    }
    /** Sends a PING, unless one is under way. */
    void probe();
    Time lastTraffic() const noexcept
    {
        return std::max(lastReceived_, lastSent_);
    }

private:
    Time now() const;
    void setupDone(const boost::system::error_code &error);
    void readMore();
    void received(const boost::system::error_code &error, std::string_view bytes);
    void flush();
    void outputSent();
    void deliverEvents();
    void deliver(SessionEvent event);
    void armTimer(Time due);
    void checkLiveness(Time firedAt);
    void fail(const Error &error);

    LinkContext context_;
    std::shared_ptr<Transport> transport_;
    Session session_;
    LinkOwner *owner_ = nullptr;
    bool isReady_ = false;
    bool isClosed_ = false;
    bool isWriting_ = false;
    bool isFlushScheduled_ = false;
    bool isProbing_ = false;
    Time probeDeadline_ {};
    Time lastReceived_ {};
    Time lastSent_ {};
    TimerHandle timer_;
    Time timerDue_ {};
};

} // namespace lacewing::peer
