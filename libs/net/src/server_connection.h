#pragma once

#include <memory/memory.h>
#include <net/net.h>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace lacewing::net
{

class ServerConnection;

/** What the connections of one server share. Outlives neither the server's Impl nor its loop. */
struct ServerShared {
    EventLoop &loop;
    HttpServerOptions options;
    RequestHandler handler;
    HttpServerCounters counters;
    bool draining = false; ///< each connection ends after the requests that it has already received
    std::function<void(ServerConnection &)> onGone; ///< a connection has closed
    /** Closes connections that selectReclaimed() gives up, but not the one that asks. */
    std::function<void(std::size_t bytes, const ServerConnection *asking)> onMemoryShort;
};

/** One response in the making; the state behind ResponseWriter handles. */
class ResponseWriter::Exchange
{
public:
    Exchange(std::weak_ptr<ServerConnection> connection, bool headOnly, unsigned version, bool keepAlive);
    /** Answers with 500, or closes the connection, when every handle is gone and the response isn't complete. */
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void respond(int status, const Headers &headers, Body body, BodyFraming framing);
    void begin(int status, const Headers &headers, BodyFraming framing);
    WriteOutcome write(std::string_view bytes);
    void end();
    void abort();
    bool isOpen() const noexcept;
    std::size_t pendingBytes() const noexcept;

    /** The connection is gone: calls onClosed later, unless the response was complete. */
    void connectionGone(EventLoop &loop);
    /** The response was sent in full: no callback is due any more. */
    void finished() noexcept;
    /** Pending bytes fell: calls onDrained later when a writer waits for it. */
    void drained(EventLoop &loop);

    std::function<void()> onClosed;
    std::function<void()> onDrained;

private:
    enum class Phase : std::uint8_t { Waiting, Streaming, Complete };

    std::weak_ptr<ServerConnection> connection_;
    Phase phase_ = Phase::Waiting;
    bool headOnly_ = false;
    bool chunked_ = false;
    bool keepAlive_ = true;
    bool writerWaits_ = false;
    unsigned version_ = 11;
};

/** One accepted connection: reads requests one after the other and sends their responses in order. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(std::shared_ptr<ServerShared> shared, boost::asio::ip::tcp::socket socket);

    /** Begins to read requests. */
    void start();
    /** Answers without reading a request and closes: the server is over its bound on connections. */
    void refuse();
    /** Closes the socket at once. */
    void close();
    /** Called now and then: closes the connection when it has been idle too long. */
    void sweep(Time now);

    /** Whether a response would still reach anyone. */
    bool isOpen() const noexcept;
    /** Whether the connection may serve another request after the one at hand. */
    bool mayKeepAlive() const noexcept;
    std::size_t pendingBytes() const noexcept;
    std::size_t maxPendingBytes() const noexcept;
    /** What the connection does and holds, for the choice of those that are closed for room. */
    memory::Connection holding() const noexcept;
    /** Closes the connection for room, with an answer if its request has not been handed on. */
    void giveUp();
    /** Queues bytes of the response. */
    void send(std::string_view bytes);
    /** Queues the rest of the response, to which nothing is added. */
    void sendLast(Body body);
    /** Takes memory for more bytes of the response. @return false if there is too little */
    bool reservePending(std::size_t bytes);
    /**
     * Resets the connection if it closes before the response is complete, also when the process is killed. A caller
     * would take an orderly close as the end of a response that has no other.
     */
    void resetUnlessComplete();
    /** Queued bytes complete the response. */
    void responseComplete(bool keepAlive);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using ErrorCode = boost::beast::error_code;
    enum class Phase : std::uint8_t {
        Reading, ///< between or within requests
        Responding, ///< a handler has the request
        Finishing, ///< the response is complete and being sent
        Lingering, ///< sending side closed; bytes are thrown away until the caller closes
        Closed,
    };

    void read();
    void readDone(const ErrorCode &error, std::size_t size);
    void parse();
    void newParser();
    void sendContinueIfAsked();
    void dispatch();
    void rejectMalformed(const ErrorCode &error);
    void countHead(std::string_view bytes);
    bool reserveRequest();
    bool reserveHeld();
    void releaseHeld();
    void refuseRequest();
    void noteProgress(std::size_t bytes);
    bool isHeadLate(Time now) const noexcept;
    void rejectWith(int status, const Headers &headers = {});
    void flush();
    void flushDone(const ErrorCode &error);
    void nextRequest();
    void linger();
    void dropInput();
    Duration allowedIdle() const noexcept;
    bool isBetweenRequests() const noexcept;

    std::shared_ptr<ServerShared> shared_;
    boost::asio::ip::tcp::socket socket_;
    std::string remoteAddress_;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    MemoryReservation bodyReservation_; ///< for the body that the parser collects
    std::weak_ptr<ResponseWriter::Exchange> exchange_;
    std::string pending_;
    Body pendingLast_; ///< follows pending_
    std::string sending_;
    Body sendingLast_; ///< follows sending_
    std::size_t headBytes_ = 0; ///< of the request at hand
    std::size_t headLines_ = 0;
    std::size_t heldBytes_ = 0; ///< taken out of the budget, besides bodies
    Phase phase_ = Phase::Reading;
    Time lastProgress_;
    Time lastFairProgress_; ///< when the caller last sent or read a fair number of bytes
    std::size_t bytesSinceFair_ = 0;
    Time lingerEnd_; ///< latest end of Lingering
    Time requestStarted_; ///< when the first byte of the request at hand was read
    bool reading_ = false;
    bool peerClosed_ = false; ///< the caller has closed its sending side
    bool keepAlive_ = true;
    bool continueSent_ = false;
    bool counted_ = false; ///< among the running requests
};

} // namespace lacewing::net
