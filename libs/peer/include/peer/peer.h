#pragma once

#include <base/base.h>
#include <net/net.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/**
 * Links between the VMs of the fleet: one-way messages and calls with streamed answers, on HTTP/2 over TCP or TLS.
 *
 * Links have a listener of their own, so callers of the public interface can't reach it. Every object belongs to one
 * net::EventLoop and is used on that loop's thread only. Callbacks are never called from within the function that they
 * were given to, and must not destroy the PeerNetwork.
 */
namespace lacewing::peer
{

/** Who is at one end of a link. */
struct PeerIdentity {
    VmId vm;
    AvailabilityZoneId zone;
    Incarnation incarnation;

    bool operator==(const PeerIdentity &) const = default;
};

/** PEM files of a VM's keys. */
struct KeyFiles {
    std::string ca; ///< the fleet's own CA; the other side's certificate must be signed by it
    std::string certificate; ///< this VM's certificate chain
    std::string key; ///< this VM's private key, without a passphrase
};

/** Settings and bounds of a PeerNetwork; each setter returns the options for chaining. Either tls() or plain() is set.
 */
class PeerOptions
{
public:
    /** Who this VM is; told to the other side with every stream. */
    PeerOptions &identity(PeerIdentity identity);
    /** TLS 1.3 with mutual authentication. */
    PeerOptions &tls(KeyFiles files);
    /** TCP without encryption or authentication. */
    PeerOptions &plain();
    /** Largest message, request or piece of an answer. Default 16 MiB. */
    PeerOptions &maxMessageBytes(std::size_t bytes);
    /** Most streams at a time on one incoming link. Default 1,000. */
    PeerOptions &maxStreams(std::size_t count);
    /** Most incoming links; one more is closed at once. Default 4,096. */
    PeerOptions &maxConnections(std::size_t count);
    /** Most messages that wait for one address; the oldest is dropped. Default 10,000. */
    PeerOptions &maxQueuedMessages(std::size_t count);
    /** Most calls that wait for one address; one more fails with TooMany. Default 10,000. */
    PeerOptions &maxQueuedCalls(std::size_t count);
    /** Bytes of one answer that may wait for the network. Default 1 MiB. */
    PeerOptions &maxPendingBytes(std::size_t bytes);
    /** Silence of a link after which it is probed with a PING: while calls run, or else before its next use. Default
     * 1 s. */
    PeerOptions &pingAfter(Duration time);
    /** Wait for the answer to a PING, after which the link counts as silent and is closed. Default 1 s. */
    PeerOptions &pingDeadline(Duration time);
    /** Time to set up a link, with its handshake. Default 2 s. */
    PeerOptions &connectTime(Duration time);
    /** Time without traffic after which a link is closed. Default 60 s. */
    PeerOptions &idleTime(Duration time);

    const PeerIdentity &identity() const noexcept
    {
        return identity_;
    }
    const std::optional<KeyFiles> &keyFiles() const noexcept
    {
        return keyFiles_;
    }
    bool isPlain() const noexcept
    {
        return isPlain_;
    }
    std::size_t maxMessageBytes() const noexcept
    {
        return maxMessageBytes_;
    }
    std::size_t maxStreams() const noexcept
    {
        return maxStreams_;
    }
    std::size_t maxConnections() const noexcept
    {
        return maxConnections_;
    }
    std::size_t maxQueuedMessages() const noexcept
    {
        return maxQueuedMessages_;
    }
    std::size_t maxQueuedCalls() const noexcept
    {
        return maxQueuedCalls_;
    }
    std::size_t maxPendingBytes() const noexcept
    {
        return maxPendingBytes_;
    }
    Duration pingAfter() const noexcept
    {
        return pingAfter_;
    }
    Duration pingDeadline() const noexcept
    {
        return pingDeadline_;
    }
    Duration connectTime() const noexcept
    {
        return connectTime_;
    }
    Duration idleTime() const noexcept
    {
        return idleTime_;
    }

private:
    PeerIdentity identity_;
    std::optional<KeyFiles> keyFiles_;
    bool isPlain_ = false;
    std::size_t maxMessageBytes_ = std::size_t(16) << 20U;
    std::size_t maxStreams_ = 1'000;
    std::size_t maxConnections_ = 4'096;
    std::size_t maxQueuedMessages_ = 10'000;
    std::size_t maxQueuedCalls_ = 10'000;
    std::size_t maxPendingBytes_ = std::size_t(1) << 20U;
    Duration pingAfter_ = std::chrono::seconds(1);
    Duration pingDeadline_ = std::chrono::seconds(1);
    Duration connectTime_ = std::chrono::seconds(2);
    Duration idleTime_ = std::chrono::seconds(60);
};

/**
 * Answers one call of another VM. A copyable handle that stays safe to use when the link is gone; calls have no effect
 * then.
 */
class PeerCallWriter
{
public:
    PeerCallWriter() = default;

    /** Adds a piece to the answer; the caller gets it whole. */
    net::WriteOutcome write(std::string_view message);
    /** Ends the answer. Only after this does the caller take it as complete. */
    void end();
    /** Ends the answer with a failure; pieces already written are delivered before it. */
    void fail(const Error &error);

    /** Called once when the caller has cancelled or is gone before end() or fail(). */
    void onClosed(std::function<void()> callback);
    /** Called each time the pending bytes fall below half their bound after a write() that returned Full. */
    void onDrained(std::function<void()> callback);
    /** True until end(), fail() or the loss of the caller. */
    bool isOpen() const noexcept;

    /** The link's side of the handle; internal. */
    class Exchange;
    explicit PeerCallWriter(std::shared_ptr<Exchange> exchange);

private:
    std::shared_ptr<Exchange> exchange_;
};

/** What other VMs send. */
struct PeerHandlers {
    std::function<void(const PeerIdentity &from, std::string message)> onMessage;
    std::function<void(const PeerIdentity &from, PeerCallWriter answer, std::string request)> onCall;
};

/** Time limits of a call; 0 is none. */
struct CallLimits {
    Duration connect = std::chrono::seconds(2); ///< from call() until the request is handed to a link
    Duration firstByte = std::chrono::seconds(5); ///< from then to the first piece of the answer or its end
    Duration nextByte = std::chrono::seconds(5); ///< between pieces of the answer
    Duration total = std::chrono::seconds(30); ///< from call() to the end of the answer
};

/** Callbacks of a call; after onEnd or onFailed there is none. */
struct CallHandlers {
    std::function<void(const PeerIdentity &by)> onAnswered; ///< who answers; before its first piece
    std::function<void(std::string message)> onData; ///< one piece of the answer
    std::function<void()> onEnd; ///< the answer is complete
    /**
     * Unreachable, TooMany, Timeout (connect limit) or Refused (the link is being closed) before the request was sent;
     * after it, Silent (link, first- or next-byte limit), Timeout (total limit), ConnectionLost, Malformed, TooLarge,
     * or what the other side gave to PeerCallWriter::fail().
     *
     * @param sent false: proved that the other side's handler was not and will not be called
     */
    std::function<void(const Error &error, bool sent)> onFailed;
};

/** Names a call of one PeerNetwork; 0 is none. */
using PeerCallHandle = Number<struct PeerCallTag>;

/** Counts since the start. */
struct PeerCounters {
    std::uint64_t messagesSent = 0; ///< handed to a link
    std::uint64_t messagesDropped = 0; ///< bound on the queue, address unreachable, or over the bound on size
    std::uint64_t messagesReceived = 0;
    std::uint64_t calls = 0; ///< started
    std::uint64_t callsEnded = 0; ///< whole answer received
    std::uint64_t callsFailed = 0;
    std::uint64_t callsCancelled = 0;
    std::uint64_t callsReceived = 0; ///< given to onCall
    std::uint64_t connects = 0; ///< outgoing links set up
    std::uint64_t connectFailures = 0;
    std::uint64_t accepted = 0; ///< incoming links set up
    std::uint64_t refused = 0; ///< incoming links over the bound, or whose set-up failed, also for a certificate
    std::uint64_t silentLinks = 0; ///< closed for a PING without an answer
    std::uint64_t lostLinks = 0; ///< broke while in use
    std::uint64_t malformed = 0; ///< streams or links closed for input that breaks the protocol or a bound
    std::uint64_t pings = 0; ///< sent
    std::uint64_t bytesSent = 0; ///< of HTTP/2, before encryption
    std::uint64_t bytesReceived = 0;
    std::size_t outgoingLinks = 0; ///< at present
    std::size_t incomingLinks = 0; ///< at present
};

/**
 * One VM's end of its links to all others.
 *
 * Links are set up when first needed and kept. A link that was silent for a while is probed before it carries anything
 * new; when the probe fails, or a link with running calls goes silent, it is closed and a new one is tried at once.
 * What was not yet sent goes over the new link.
 */
class PeerNetwork
{
public:
    PeerNetwork(net::EventLoop &loop, PeerOptions options, PeerHandlers handlers);
    /** Closes every link at once; no callback is called any more. */
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /**
     * Reads the keys and starts to listen. Fails with InvalidArgument (neither or both of tls and plain, bad address,
     * keys that don't fit), Io (unreadable file) or AddressInUse.
     */
    Result<void> listen(const net::SocketAddress &address);
    /** The address listened on, with the port that the kernel chose. */
    net::SocketAddress address() const;
    /** Reads the key files again, for new links; links that are up keep theirs. On failure the old keys stay. */
    Result<void> reloadKeys();

    /** Sends a message without an answer, in order and at best effort: it may be lost without notice. */
    void send(const std::string &address, std::string message);
    /** Starts a call. Handlers that are empty are skipped. */
    PeerCallHandle call(const std::string &address, std::string request, CallLimits limits, CallHandlers handlers);
    /** Ends a call; none of its handlers is called any more. No effect once done. */
    void cancel(PeerCallHandle handle);

    /**
     * Closes gracefully: no new link is accepted or made, running calls of both sides finish, and the other side is
     * told to start no more here. Calls that still wait for a link fail with Refused.
     *
     * @param whenNone called once no link is left
     */
    void close(std::function<void()> whenNone);

    PeerCounters counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace lacewing::peer
