#pragma once

#include "call_table.h"
#include "framing.h"
#include "link.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::peer
{

class Route;

/** What the routes of a PeerNetwork share besides LinkContext. */
struct RouteContext {
    LinkContext link;
    CallTable &calls;
    std::function<TlsContext()> tls; ///< keys for a new link; empty without TLS
    std::function<void()> linkGone; ///< called when an outgoing link has been removed
};

/** The client's side of one link: its calls and its stream of messages. */
class OutgoingLink final : public LinkOwner, public std::enable_shared_from_this<OutgoingLink>
{
public:
    OutgoingLink(Route &route, const RouteContext &context, std::string authority);
    ~OutgoingLink() override;
    OutgoingLink(const OutgoingLink &) = delete;
    OutgoingLink &operator=(const OutgoingLink &) = delete;

    void connect(const Tcp::endpoint &endpoint);
    void start(const CallPtr &call);
    void sendMessage(std::string_view message);
    /** Takes no more calls and messages, and closes once its calls are done and its messages sent. */
    void finish();
    /** Closes at once; its calls fail. */
    void abort(const Error &error);

    Link &link() noexcept
    {
        return *link_;
    }
    bool hasRoomForCall() const;
    bool hasRoomForMessage() const;
    bool isIdle() const noexcept
    {
        return calls_.empty();
    }

    void linkReady() override;
    void linkEvent(SessionEvent event) override;
    void linkFlushed() override;
    void linkClosed(const Error &error) override;
    bool isLinkBusy() const override;

private:
    /** One call with its half-read frame. */
    struct Running {
        CallPtr call;
        FrameReader reader;
    };

    void handle(const StreamOpened &event);
    void handle(const StreamBytes &event);
    void handle(const StreamEnded &event);
    void handle(const StreamClosed &event);
    void handle(const GoAwayReceived &event);
    void handle(const SettingsReceived &)
    {
    }
    void handle(const PongReceived &);
    void handleFrame(const CallPtr &call, Frame frame);
    void failStream(StreamId stream, const Error &error, bool sent);
    net::Headers requestHeaders(const char *path) const;
    void closeWhenDone();

    Route &route_;
    RouteContext context_;
    std::string authority_;
    std::shared_ptr<Link> link_;
    std::map<StreamId, Running> calls_;
    std::optional<StreamId> messageStream_;
    bool isFinishing_ = false;
};

/** All traffic to one address: what waits, and the links that carry it. */
class Route
{
public:
    Route(RouteContext context, std::string address, Tcp::endpoint endpoint);
    ~Route();
    Route(const Route &) = delete;
    Route &operator=(const Route &) = delete;

    void send(std::string message);
    void add(const CallPtr &call);
    /** Closes a link without traffic for the idle time. */
    void sweep();
    /** Nothing waits and there is no link. */
    bool isEmpty() const noexcept;
    /** See PeerNetwork::close(). */
    void close();

    /** Called by the links. */
    void linkIsReady();
    void linkTakesNoMore(OutgoingLink &link);
    void linkIsGone(OutgoingLink &link, const Error &error, bool wasReady);
    /** Hands what waits to the link, as far as there is room; sets up or probes the link where needed. */
    void dispatch();

private:
    Time now() const;
    void connect();
    void failWaiting(const Error &error);
    void sendMessages();
    void startCalls();

    RouteContext context_;
    std::string address_;
    Tcp::endpoint endpoint_;
    std::deque<std::string> messages_;
    std::list<CallPtr> waiting_;
    std::shared_ptr<OutgoingLink> current_;
    std::vector<std::shared_ptr<OutgoingLink>> finishing_;
    Time noMessagesBefore_ {}; ///< messages are dropped until then, after a failed set-up
    bool isClosing_ = false;
};

} // namespace lacewing::peer
