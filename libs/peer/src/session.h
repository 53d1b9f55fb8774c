#pragma once

#include <base/base.h>
#include <net/net.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

struct nghttp2_session;

namespace lacewing::peer
{

/** Number of a stream within its session; never 0. */
using StreamId = Number<struct StreamIdTag, std::int32_t>;

/** The head of a request (to a server) or response (to a client) has come. */
struct StreamOpened {
    StreamId stream;
    net::Headers headers;
};
/** A part of the other side's body. */
struct StreamBytes {
    StreamId stream;
    std::string bytes;
};
/** The other side's body is complete. */
struct StreamEnded {
    StreamId stream;
};
/** Both directions are done, or the stream was reset. */
struct StreamClosed {
    StreamId stream;
    bool refused = false; ///< the other side proved that it did not take up the request
};
/** The other side's settings have come: it speaks HTTP/2. */
struct SettingsReceived {
};
/** The answer to a PING. */
struct PongReceived {
};
/** The other side takes no new streams. */
struct GoAwayReceived {
};
using SessionEvent =
    std::variant<StreamOpened, StreamBytes, StreamEnded, StreamClosed, SettingsReceived, PongReceived, GoAwayReceived>;

/** One side of an HTTP/2 connection: bytes in, events out, and bytes to send. Does no input or output itself. */
class Session
{
public:
    enum class Role : std::uint8_t { Client, Server };

    /** @param maxStreams streams that the other side may have open at a time */
    Session(Role role, std::size_t maxStreams);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /** Takes bytes from the other side. Fails with Malformed; the connection must be closed then. */
    Result<void> receive(std::string_view bytes);
    /** The events since the last call. Both receive() and takeOutput() may cause some. */
    std::vector<SessionEvent> takeEvents();
    /** Bytes to send next; empty when there is nothing. @param most bytes, roughly */
    std::string takeOutput(std::size_t most);

    /** Starts a request whose body follows; for clients. Fails with Unavailable. */
    Result<StreamId> open(const net::Headers &headers);
    /** Starts the response to a stream; its body follows; for servers. */
    void respond(StreamId stream, const net::Headers &headers);
    /** Adds to the body of a stream; no effect when it is closed. */
    void append(StreamId stream, std::string_view bytes);
    /** Ends the body of a stream. */
    void finish(StreamId stream);
    /** Bytes of a stream's body not yet taken for output. */
    std::size_t pendingBytes(StreamId stream) const;
    /** Closes a stream at once. */
    void reset(StreamId stream);
    /** Closes a request that no handler was told of, so that its caller knows it did not run. */
    void refuse(StreamId stream);

    void ping();
    /** Tells the other side to start no more streams; those under way go on. */
    void announceGoAway();
    /** The other side broke the protocol; once all output is sent the connection must be closed. */
    bool isBroken() const noexcept
    {
        return isBroken_;
    }
    /** Most streams that the other side allows at a time. */
    std::size_t remoteMaxStreams() const;

private:
    struct Body {
        std::string pending;
        std::size_t taken = 0; ///< bytes of `pending` already sent
        bool finished = false;
    };
    struct Callbacks;
    friend struct Callbacks;

    void submitReset(StreamId stream, std::uint32_t code);

    Role role_;
    bool isBroken_ = false;
    nghttp2_session *session_ = nullptr;
    std::vector<SessionEvent> events_;
    std::map<std::int32_t, net::Headers> heads_; ///< heads that are still coming in
    std::map<std::int32_t, std::size_t> headBytes_;
    std::map<std::int32_t, Body> bodies_; ///< own bodies of open streams
};

} // namespace lacewing::peer
