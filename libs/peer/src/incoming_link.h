#pragma once

#include "framing.h"
#include "link.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing::peer
{

class IncomingLink;

/** The answer to one incoming call. */
class PeerCallWriter::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<IncomingLink> link, StreamId stream)
        : link_(std::move(link))
        , stream_(stream)
    {
    }

    net::WriteOutcome write(std::string_view message);
    void finish(FrameType type, std::string_view payload);
    /** The stream is gone before the answer's end. */
    void lost();
    /** Calls back when the pending bytes have fallen far enough. @return false: not yet */
    bool drained();

    bool isOpen = true;
    std::function<void()> onClosed;
    std::function<void()> onDrained;

private:
    void append(IncomingLink &link, FrameType type, std::string_view payload);

    std::weak_ptr<IncomingLink> link_;
    StreamId stream_;
    bool hasResponded_ = false;
};

/** What the incoming links of a PeerNetwork share besides LinkContext. */
struct IncomingContext {
    LinkContext link;
    const PeerHandlers &handlers;
    std::function<void(IncomingLink &)> linkGone;
};

/** The server's side of one link. */
class IncomingLink final : public LinkOwner, public std::enable_shared_from_this<IncomingLink>
{
public:
    IncomingLink(const IncomingContext &context, std::shared_ptr<Transport> transport);
    ~IncomingLink() override;
    IncomingLink(const IncomingLink &) = delete;
    IncomingLink &operator=(const IncomingLink &) = delete;

    void accept();
    /** Tells the other side to start nothing new here; it closes the link once its calls are done. */
    void announceGoAway();
    /** Closes a link without traffic for twice the idle time; the other side closes one sooner if it lives. */
    void sweep();

    Link &link() noexcept
    {
        return *link_;
    }
    const LinkContext &context() const noexcept
    {
        return context_.link;
    }
    /** An answer could not take more; it is told when it can. */
    void awaitDrain(std::shared_ptr<PeerCallWriter::Exchange> exchange);

    void linkReady() override;
    void linkEvent(SessionEvent event) override;
    void linkFlushed() override;
    void linkClosed(const Error &error) override;
    bool isLinkBusy() const override;

private:
    /** A stream of messages. */
    struct MessageStream {
        PeerIdentity from;
        FrameReader reader;
    };
    /** A call whose request is still coming in. */
    struct IncomingRequest {
        PeerIdentity from;
        std::string bytes;
    };
    /** A call whose handler was told. */
    struct RunningCall {
        std::shared_ptr<PeerCallWriter::Exchange> exchange;
    };
    using Stream = std::variant<MessageStream, IncomingRequest, RunningCall>;

    void handle(StreamOpened &event);
    void handle(StreamBytes &event);
    void handle(StreamEnded &event);
    void handle(StreamClosed &event);
    void handle(SettingsReceived &)
    {
    }
    void handle(PongReceived &)
    {
    }
    void handle(GoAwayReceived &)
    {
    }
    void takeMessages(StreamId id, MessageStream &stream, std::string_view bytes);
    void takeRequest(StreamId id, IncomingRequest &request, std::string_view bytes);
    void startCall(StreamId id, IncomingRequest request);
    void rejectStream(StreamId id);

    IncomingContext context_;
    std::shared_ptr<Link> link_;
    std::map<StreamId, Stream> streams_;
    std::vector<std::shared_ptr<PeerCallWriter::Exchange>> awaitingDrain_;
    std::size_t bufferedBytes_ = 0; ///< of requests that are still coming in
    std::size_t runningCalls_ = 0;
    bool isGoingAway_ = false;
    std::optional<Time> readyAt_;
};

} // namespace lacewing::peer
