#pragma once

#include <base/base.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boost::asio
{
class io_context;
}

/**
 * Event loops, HTTP/1.1 servers and clients, and server-sent events.
 *
 * Every object belongs to one EventLoop and is used on that loop's thread only, or before the loop runs; only
 * EventLoop::post() and EventLoop::stop() may be called from other threads. Callbacks are never called from within the
 * function that they were given to.
 */
namespace lacewing::net
{

// ---------------------------------------------------------------------------------------------------------------------
// Event loop

/** Runs one thread's sockets, timers and posted functions. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs on the calling thread until stop(). May be called again afterwards. */
    void run();
    /**
     * Sets what is called for an exception that leaves a callback; the loop continues with the next callback. By
     * default the exception leaves run().
     */
    void setExceptionHandler(std::function<void(const std::exception &error)> handler);
    /** Makes run() return after the callback in progress. Thread-safe. */
    void stop();
    /** Runs a function on the loop's thread, in order of the calls. Thread-safe. */
    void post(std::function<void()> function);

    /** The machine's clocks. */
    const Clock &clock() const noexcept;
    /** Timers of this loop; on the loop's thread only. */
    TimerService &timers() noexcept;
    /** For libraries that bring sockets of their own. */
    boost::asio::io_context &ioContext() noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Messages

/** One header field. */
struct Header {
    std::string name; ///< compared without regard to case
    std::string value; ///< without control characters

    bool operator==(const Header &) const = default;
};
using Headers = std::vector<Header>;

/** Value of the first header of that name; empty when there is none. */
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name) noexcept;

/** Common status codes. */
namespace status
{
constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int noContent = 204;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr int requestTimeout = 408;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int payloadTooLarge = 413;
constexpr int unprocessable = 422;
constexpr int tooManyRequests = 429;
constexpr int headerTooLarge = 431;
constexpr int internalError = 500;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
} // namespace status

/** How the end of a response's body is recognized. */
enum class BodyFraming : std::uint8_t {
    Length, ///< by a length, which is 0 for a response without a body
    Chunked, ///< by the last chunk
    UntilClose, ///< by the end of the connection, so that a body that was broken off may look whole
};
/** Returns the framing as it is written to logs. */
std::string_view toText(BodyFraming framing) noexcept;

/** An IP address and port, written "127.0.0.1:80" or "[::1]:80". */
struct SocketAddress {
    std::string ip;
    std::uint16_t port = 0; ///< 0 when listening: the kernel chooses

    bool operator==(const SocketAddress &) const = default;
};
/** Reads an address; the ip must be a number, names are not looked up. Fails with InvalidArgument. */
Result<SocketAddress> parseAddress(std::string_view text);
/** Writes an address so that parseAddress() reads it. */
std::string toText(const SocketAddress &address);

/** Escapes every byte but letters, digits and "-._~" as "%41", for use within a path or query. */
std::string percentEncode(std::string_view text);
/** Undoes percentEncode(); an escape that is not one is kept as it is. */
std::string percentDecode(std::string_view text);

/** Writes bytes in base64 with padding. */
std::string toBase64(std::string_view bytes);
/** Reads padded base64. Fails with Malformed. */
Result<std::string> fromBase64(std::string_view text);

/** The body of a message. Copies share its bytes and the memory reserved for them. */
class Body
{
public:
    Body() = default;
    Body(std::string bytes, MemoryReservation reservation = {}); // NOLINT(google-explicit-constructor): text is a body
    Body(const char *text); // NOLINT(google-explicit-constructor): likewise

    const std::string &text() const noexcept;
    operator std::string_view() const noexcept // NOLINT(google-explicit-constructor): a body is its bytes
    {
        return text();
    }
    bool empty() const noexcept
    {
        return text().empty();
    }
    std::size_t size() const noexcept
    {
        return text().size();
    }
    std::string::const_iterator begin() const noexcept
    {
        return text().begin();
    }
    std::string::const_iterator end() const noexcept
    {
        return text().end();
    }

    friend bool operator==(const Body &body, std::string_view text) noexcept
    {
        return body.text() == text;
    }

private:
    struct Bytes;
    std::shared_ptr<const Bytes> bytes_; ///< null: empty
};

// ---------------------------------------------------------------------------------------------------------------------
// Server

/** A request as received. */
struct HttpRequest {
    std::string method;
    std::string target; ///< path with query
    Headers headers;
    Body body;
    std::string remoteAddress; ///< caller's ip:port
    Time receivedAt; ///< when its first byte was read

    /** Value of a header; empty when there is none. */
    std::optional<std::string_view> header(std::string_view name) const noexcept;
    /** The target without its query. */
    std::string_view path() const noexcept;
    /** Value of a query parameter with percent escapes decoded; empty when there is none. */
    std::optional<std::string> query(std::string_view name) const;
};

/** What became of bytes given to ResponseWriter::write(). */
enum class WriteOutcome : std::uint8_t {
    Accepted, ///< will be sent in order
    Full, ///< not taken: the reader is behind by the bound on pending bytes; see onDrained()
    Closed, ///< not taken: the connection is gone or the response has ended
};

/**
 * Answers one request. A copyable handle that stays safe to use when the connection is gone; calls have no effect then.
 *
 * Either respond() once, or begin(), any number of write() and then end().
 */
class ResponseWriter
{
public:
    ResponseWriter() = default;

    /**
     * Sends a whole response. A body over the bound on pending bytes is sent all the same.
     *
     * @param framing Length, or UntilClose for a body that may lack its end; the connection is closed after that
     */
    void respond(int status, const Headers &headers, Body body, BodyFraming framing = BodyFraming::Length);
    /**
     * Sends the head of a response whose body follows in parts.
     *
     * @param framing Chunked, or UntilClose for a body whose end is not certain. An HTTP/1.0 caller always gets
     * UntilClose.
     */
    void begin(int status, const Headers &headers, BodyFraming framing = BodyFraming::Chunked);
    /** Adds bytes to a response that has begun; empty bytes have no effect. */
    WriteOutcome write(std::string_view bytes);
    /** Ends a response that has begun. */
    void end();
    /** Closes the connection without ending the response, so that the caller sees it as cut whatever its framing is. */
    void abort();

    /** Called once when the connection ends before the response was sent in full. */
    void onClosed(std::function<void()> callback);
    /** Called each time the pending bytes fall below half their bound after a write() that returned Full. */
    void onDrained(std::function<void()> callback);

    /** True while the response can still be written to. */
    bool isOpen() const noexcept;
    /** Bytes accepted and not yet given to the network. */
    std::size_t pendingBytes() const noexcept;

    /** The connection's side of the handle; internal. */
    class Exchange;
    explicit ResponseWriter(std::shared_ptr<Exchange> exchange);

private:
    std::shared_ptr<Exchange> exchange_;
};

/** Called for each request. An exception ends the request with status 500. */
using RequestHandler = std::function<void(HttpRequest, ResponseWriter)>;

/** Bounds of an HttpServer; each setter returns the options for chaining. */
class HttpServerOptions
{
public:
    /** Largest head of a request, and largest line of a chunk or trailer; over it is answered with 431. Default 16 KiB.
     */
    HttpServerOptions &maxHeaderBytes(std::size_t bytes);
    /** Largest body of a request; over it is answered with 413. Default 8 MiB. */
    HttpServerOptions &maxBodyBytes(std::size_t bytes);
    /**
     * Bounds what connections hold together: heads, bodies that are being received or held, buffers and answers that
     * wait for their callers. If there is too little room, connections are closed whose callers have stopped sending
     * or reading, see memory::selectReclaimed(). A request that doesn't fit even so is answered with 503 and not
     * handled; its connection is closed. Default none.
     *
     * @param onRefused called for each such request, which has no body and may lack parts of its head; returns headers
     * of the response
     */
    HttpServerOptions &memoryBudget(std::shared_ptr<MemoryBudget> budget,
                                    std::function<Headers(const HttpRequest &)> onRefused);
    /** Time in which the head of a request must arrive; over it is answered with 408. Default 60 s. */
    HttpServerOptions &headTime(Duration time);
    /**
     * Most connections at a time. One more takes the place of one that memory::selectReclaimed() gives up, or is
     * answered with 503 and closed. Default 10,000.
     */
    HttpServerOptions &maxConnections(std::size_t count);
    /** Time without progress after which a connection is closed between or within requests, never while a response is
     * being worked on by its handler. Default 60 s. */
    HttpServerOptions &idleTime(Duration time);
    /** Bytes of a chunked response that may wait for a slow reader. Default 1 MiB. */
    HttpServerOptions &maxPendingBytes(std::size_t bytes);
    /** Lets several servers, one per loop, listen on the same address. Default false. */
    HttpServerOptions &sharedAddress(bool shared);

    std::size_t maxHeaderBytes() const noexcept
    {
        return maxHeaderBytes_;
    }
    std::size_t maxBodyBytes() const noexcept
    {
        return maxBodyBytes_;
    }
    const std::shared_ptr<MemoryBudget> &memoryBudget() const noexcept
    {
        return memoryBudget_;
    }
    /** Returns the headers of the response to a request that doesn't fit. */
    Headers refuse(const HttpRequest &request) const
    {
        return onRefused_ ? onRefused_(request) : Headers();
    }
    Duration headTime() const noexcept
    {
        return headTime_;
    }
    std::size_t maxConnections() const noexcept
    {
        return maxConnections_;
    }
    Duration idleTime() const noexcept
    {
        return idleTime_;
    }
    std::size_t maxPendingBytes() const noexcept
    {
        return maxPendingBytes_;
    }
    bool sharedAddress() const noexcept
    {
        return sharedAddress_;
    }

private:
    std::size_t maxHeaderBytes_ = std::size_t(16) << 10U;
    std::size_t maxBodyBytes_ = std::size_t(8) << 20U;
    std::shared_ptr<MemoryBudget> memoryBudget_;
    std::function<Headers(const HttpRequest &)> onRefused_;
    Duration headTime_ = std::chrono::seconds(60);
    std::size_t maxConnections_ = 10'000;
    Duration idleTime_ = std::chrono::seconds(60);
    std::size_t maxPendingBytes_ = std::size_t(1) << 20U;
    bool sharedAddress_ = false;
};

/** Counts of an HttpServer since its start. */
struct HttpServerCounters {
    std::uint64_t accepted = 0; ///< connections
    std::uint64_t refused = 0; ///< connections over the bound
    std::uint64_t requests = 0; ///< given to the handler
    std::uint64_t malformed = 0; ///< answered with 400
    std::uint64_t tooLarge = 0; ///< answered with 413 or 431
    std::uint64_t memoryRefused = 0; ///< answered with 503, as the request didn't fit into the budget
    std::uint64_t headsLate = 0; ///< answered with 408
    std::uint64_t reclaimed = 0; ///< connections closed for room, as their callers had stopped sending or reading
    std::uint64_t idleClosed = 0; ///< connections closed for idleness
    std::uint64_t cut = 0; ///< responses whose caller went away before their end
    std::size_t open = 0; ///< connections at present
    std::size_t running = 0; ///< requests without a full response at present
};

/**
 * Listens on one address and gives each request to a handler.
 *
 * Connections are kept alive as HTTP/1.1 says. A caller that closes its side while its request runs is taken as gone.
 */
class HttpServer
{
public:
    HttpServer(EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    /** Closes the listener and every connection at once. */
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Starts to listen. Fails with InvalidArgument, AddressInUse or Io. */
    Result<void> listen(const SocketAddress &address);
    /** The address listened on, with the port that the kernel chose. */
    SocketAddress address() const;

    /** Accepts the connections that wait in the listener's queue and closes the listener; connections go on. */
    void stopAccepting();
    /**
     * Closes each connection once it has no request running; responses not yet begun carry "Connection: close", unless
     * another request has already arrived on the connection. No response is cut. New connections are still served until
     * stopAccepting().
     *
     * @param whenNone called once no connection is left and the listener is closed
     */
    void closeBetweenRequests(std::function<void()> whenNone);
    /** Closes the listener and every connection at once, as a crash would. */
    void closeAll();

    /** Closes connections whose callers have stopped sending or reading, until they held so many bytes together. */
    void makeRoom(std::size_t bytes);

    HttpServerCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Client

/** A request to send. */
struct HttpCall {
    std::string address; ///< ip:port
    std::string method = "GET";
    std::string target = "/";
    Headers headers; ///< besides Content-Length and the client's default headers; Host is the address unless given
    Body body;
    bool repeatable = false; ///< may be sent again on a fresh connection when a pooled one turns out dead
    bool resendWhenSilent =
        true; ///< if repeatable, also when the pooled one was silent for the limit of its first byte
    bool resendWhenLost = true; ///< if repeatable, also when the pooled one was closed, which may be a crash
    bool connectOnly = false; ///< sends nothing: sets up a fresh connection, which is pooled, and ends
    /**
     * A header that the server repeats in its response. A response with another value belongs to an earlier request of
     * the connection and is passed over; one without the header is taken. A connection carries each value once, as a
     * late copy of a response would be taken for the response to a call with the same value. See
     * HttpClientOptions::reuseOnlyIdentified().
     */
    std::optional<Header> echo;
};

/** Time limits of a call; 0 is none. */
struct HttpLimits {
    Duration connect = std::chrono::seconds(1); ///< to set up a connection
    Duration firstByte = std::chrono::seconds(5); ///< from the start of sending to the first byte of the response
    Duration nextByte = std::chrono::seconds(5); ///< between bytes of the response
    Duration total = std::chrono::seconds(30); ///< from start() to the end of the response
};

/** Status line and headers of a response. */
struct HttpHead {
    int status = 0;
    Headers headers;
    BodyFraming framing = BodyFraming::Length;

    /** Value of a header; empty when there is none. */
    std::optional<std::string_view> header(std::string_view name) const noexcept;
};

/** Returns whether two bodies may be parts of one, as they have the same media type and encoding. */
bool haveSameRepresentation(const HttpHead &first, const HttpHead &second);

/** Numbers the connections of one client from 1, for logs. */
using ConnectionNumber = Number<struct ConnectionNumberTag>;

/** How a call ended. */
struct HttpEnd {
    /**
     * Empty when the whole response was received. Otherwise Unreachable (no connection; sent only on an earlier,
     * silent one, if requestWritten), Silent (first- or next-byte limit), ConnectionLost, Timeout (total limit),
     * Malformed, TooLarge, TooMany (bound on connections; nothing was sent), InvalidArgument (nothing was sent).
     */
    std::optional<Error> error;
    bool requestWritten = false; ///< a byte of the request was given to the network, on any connection
    bool headReceived = false; ///< onHead was called
    ConnectionNumber connection; ///< the last connection that the request was sent on; 0 if it was not sent
    std::uint32_t earlierCalls = 0; ///< calls that this connection had carried before
};

/** Callbacks of a call, in the order connected, head, body, done; done is called exactly once unless the call is
 * cancelled. */
struct HttpHandlers {
    std::function<void()> onConnected; ///< a fresh connection has been set up for the call
    std::function<void(const HttpHead &)> onHead;
    std::function<void(std::string_view)> onBody; ///< pieces of the body, chunked coding removed
    std::function<void(const HttpEnd &)> onDone;
    /**
     * Called at the end of a response that does not repeat HttpCall::echo, before onDone, if
     * HttpClientOptions::reuseOnlyIdentified() is set. Returns whether the content shows that the response belongs to
     * this call; if not, or if there is no such function, the connection is not used again. Copies of earlier responses
     * come on the connection that these came on.
     */
    std::function<bool(ConnectionNumber)> isIdentified;
    /**
     * The head of an answer that is not awaited any more: it had arrived unread when the call was cancelled or a time
     * limit passed, or arrives a moment later. Called once at most, after onDone if the call was not cancelled.
     */
    std::function<void(const HttpHead &)> onLateHead;
};

/** Names a call of one client; 0 is none. */
using HttpCallHandle = Number<struct HttpCallTag>;

/** Why a connection is not used again although its call got a whole response. */
enum class DiscardReason : std::uint8_t {
    EndsWithConnection, ///< nothing but the end of the connection marks the end of the response
    ServerCloses, ///< the server has said so
    ExtraBytes, ///< bytes have followed the response
    BytesWhileIdle, ///< bytes have arrived while no call was in progress
    RequestUnfinished, ///< the response came before the whole request was sent
    Unidentified, ///< the response may belong to another call, see HttpClientOptions::reuseOnlyIdentified()
    TooManyCalls, ///< the connection has carried as many calls as it can tell apart
    TooOld, ///< see HttpClientOptions::maxAge()
};
std::string_view toText(DiscardReason reason);

/** The connection that an event of a client is about. */
struct ConnectionInfo {
    std::string_view address;
    ConnectionNumber number;
    std::string_view echo; ///< value of HttpCall::echo of its last call; empty: none
};
/** A response was passed over, as it belongs to another call than the one in progress. */
struct ResponsePassedOver {
    ConnectionInfo connection;
    std::string_view echo; ///< of the response
    int status;
};
/** A connection is not used again. */
struct ConnectionDiscarded {
    ConnectionInfo connection;
    int status; ///< of its last response
    DiscardReason reason;
};
/** A call is not sent on an idle connection, which has carried a call with the same HttpCall::echo. */
struct ConnectionAvoided {
    ConnectionInfo connection; ///< with the value of the new call
};
using HttpClientEvent = std::variant<ResponsePassedOver, ConnectionDiscarded, ConnectionAvoided>;

/** Bounds of an HttpClient; each setter returns the options for chaining. */
class HttpClientOptions
{
public:
    /** Most connections to one address. Default 256. */
    HttpClientOptions &maxPerAddress(std::size_t count);
    /** Most connections in all. Default 4096. */
    HttpClientOptions &maxConnections(std::size_t count);
    /** Time after which an unused connection is closed. Default 15 s. */
    HttpClientOptions &keepIdle(Duration time);
    /** Time since its start after which a connection carries no further call; 0 is none. Default none. */
    HttpClientOptions &maxAge(Duration age);
    /**
     * A call that isn't repeatable uses a pooled connection only this long after its last use, unless the server has
     * announced with Keep-Alive how long it keeps it. Default 250 ms.
     */
    HttpClientOptions &trustIdle(Duration time);
    /** Largest head of a response, and largest line of a chunk or trailer. Default 16 KiB. */
    HttpClientOptions &maxHeaderBytes(std::size_t bytes);
    /** Largest body of a response. Default 64 MiB. */
    HttpClientOptions &maxBodyBytes(std::size_t bytes);
    /** Headers sent with every request. */
    HttpClientOptions &defaultHeaders(Headers headers);
    /**
     * Whether a connection is used again only after a response that certainly belonged to its call: it repeated
     * HttpCall::echo, or HttpHandlers::isIdentified said so. A call with neither gets a fresh connection. For servers
     * that may send a response twice. Default false.
     */
    HttpClientOptions &reuseOnlyIdentified(bool isRequired);
    /** Called for each event; must not call the client. Default none. */
    HttpClientOptions &observer(std::function<void(const HttpClientEvent &)> observer);

    std::size_t maxPerAddress() const noexcept
    {
        return maxPerAddress_;
    }
    std::size_t maxConnections() const noexcept
    {
        return maxConnections_;
    }
    Duration keepIdle() const noexcept
    {
        return keepIdle_;
    }
    Duration maxAge() const noexcept
    {
        return maxAge_;
    }
    Duration trustIdle() const noexcept
    {
        return trustIdle_;
    }
    std::size_t maxHeaderBytes() const noexcept
    {
        return maxHeaderBytes_;
    }
    std::size_t maxBodyBytes() const noexcept
    {
        return maxBodyBytes_;
    }
    const Headers &defaultHeaders() const noexcept
    {
        return defaultHeaders_;
    }
    bool reuseOnlyIdentified() const noexcept
    {
        return reuseOnlyIdentified_;
    }
    /** Tells the observer of an event, if there is one. */
    void notify(const HttpClientEvent &event) const
    {
        if (observer_) {
            observer_(event);
        }
    }

private:
    std::size_t maxPerAddress_ = 256;
    std::size_t maxConnections_ = 4096;
    Duration keepIdle_ = std::chrono::seconds(15);
    Duration maxAge_ = Duration::zero();
    Duration trustIdle_ = std::chrono::milliseconds(250);
    std::size_t maxHeaderBytes_ = std::size_t(16) << 10U;
    std::size_t maxBodyBytes_ = std::size_t(64) << 20U;
    Headers defaultHeaders_;
    bool reuseOnlyIdentified_ = false;
    std::function<void(const HttpClientEvent &)> observer_;
};

/** Counts of an HttpClient since its start. */
struct HttpClientCounters {
    std::uint64_t calls = 0; ///< started
    std::uint64_t completed = 0; ///< whole response received
    std::uint64_t connects = 0; ///< connections set up
    std::uint64_t reused = 0; ///< calls sent on a pooled connection
    std::uint64_t freshRetries = 0; ///< calls sent again on a fresh connection after a pooled one was dead
    std::uint64_t unreachable = 0; ///< calls that ended so, and likewise below
    std::uint64_t silent = 0;
    std::uint64_t lost = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t malformed = 0;
    std::uint64_t overBound = 0; ///< calls declined for the bound on connections
    std::uint64_t discarded = 0; ///< connections closed rather than reused: cancelled, timed out, leftover bytes
    std::size_t openConnections = 0; ///< at present
    std::size_t idleConnections = 0; ///< of these, pooled and unused
};

/**
 * Sends HTTP/1.1 requests over pooled connections, one request at a time on each.
 *
 * A connection on which a call timed out, was cancelled, or that received bytes beyond its response is closed and never
 * reused, so that no response reaches another call. When a pooled connection turns out silent or closed before the
 * first byte of a response, the call is sent again once on a fresh connection if it is repeatable or nothing of it was
 * written. The other idle connections to that address are closed when a pooled one was silent.
 */
class HttpClient
{
public:
    HttpClient(EventLoop &loop, HttpClientOptions options);
    /** Closes every connection; no callback is called any more. */
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a call. Handlers that are empty are skipped. */
    HttpCallHandle start(HttpCall call, HttpLimits limits, HttpHandlers handlers);
    /**
     * Ends a call and closes its connection; none of its handlers is called any more but onLateHead. If that is set,
     * the connection is closed for sending at once and for receiving a moment later. No effect once done.
     */
    void cancel(HttpCallHandle handle);

    const HttpClientCounters &counters() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/** A whole response. */
struct HttpResponse {
    HttpHead head;
    std::string body;
};
/** Starts a call and calls back with the whole response, or with why there is none. */
HttpCallHandle fetch(HttpClient &client,
                     HttpCall call,
                     HttpLimits limits,
                     std::function<void(const HttpEnd &, HttpResponse)> callback,
                     std::function<void(const HttpHead &)> onLateHead = nullptr,
                     std::function<bool(const HttpResponse &, ConnectionNumber)> isIdentified = nullptr);

// ---------------------------------------------------------------------------------------------------------------------
// Server-sent events

/** One server-sent event. */
struct SseEvent {
    std::string id; ///< last id seen on the stream; empty: none
    std::string event; ///< type; empty: message
    std::string data; ///< lines joined by newlines

    bool operator==(const SseEvent &) const = default;
};

/** Splits a stream of bytes into server-sent events. */
class SseParser
{
public:
    /** @param maxEventBytes bound on one event's lines */
    explicit SseParser(std::size_t maxEventBytes = defaultMaxEventBytes);

    /** Takes the next bytes and returns the events they complete. Fails with TooLarge; the stream is unusable then. */
    Result<std::vector<SseEvent>> feed(std::string_view bytes);

    static constexpr std::size_t defaultMaxEventBytes = std::size_t(1) << 20U;

private:
    void takeLine(std::string_view line, std::vector<SseEvent> &events);

    std::size_t maxEventBytes_;
    std::string line_;
    SseEvent event_;
    bool hasData_ = false;
    bool afterReturn_ = false;
};

/** Tells whether a stream of server-sent events stands between two events or inside one. */
class SseBoundary
{
public:
    /** Takes the next byte. @return true if it ends an empty line, and with it the event that has begun, if any */
    bool feed(char byte) noexcept;
    void feed(std::string_view bytes) noexcept;
    /** Returns whether an event has begun that isn't complete. Comments are not part of an event. */
    bool isInsideEvent() const noexcept
    {
        return isInsideEvent_;
    }

private:
    bool isInsideEvent_ = false;
    bool isLineStart_ = true;
    bool isAfterReturn_ = false; ///< a line feed that comes next belongs to the line end before it
};

/** One event as it was received, with the empty line that ends it. */
struct RawEvent {
    std::string id; ///< its own id; empty: it has none
    std::string bytes;
    bool isEmpty = false; ///< only comments and empty lines
};

/** Cuts a stream of bytes after each whole event, so that no part of an event is passed on. */
class SseSplitter
{
public:
    /** Takes the next bytes and returns the events they complete. */
    std::vector<RawEvent> feed(std::string_view bytes);
    /** Returns whether an event has begun that isn't complete. */
    bool isInsideEvent() const noexcept
    {
        return boundary_.isInsideEvent();
    }
    /** Bytes that follow the last whole event. */
    std::size_t pendingBytes() const noexcept
    {
        return pending_.size();
    }
    /** Returns the bytes that follow the last whole event, such as a comment, and forgets them. */
    std::string takeRest();

private:
    std::string pending_;
    std::size_t scanned_ = 0; ///< bytes of pending_ that boundary_ has been given
    SseBoundary boundary_;
};

/** Writes one event. @param event its type; empty: message */
std::string sseEvent(std::string_view id, std::string_view data, std::string_view event = {});

} // namespace lacewing::net
