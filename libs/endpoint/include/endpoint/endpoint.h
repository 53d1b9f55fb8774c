#pragma once

#include <base/base.h>
#include <config/config.h>
#include <net/net.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * Calls to endpoints: stages, load reports, prefix cache events, orders and KV cache transfer.
 *
 * EndpointClient is the interface; makeHttpEndpointClient() makes the implementation over HTTP/1.1. The protocol is
 * described in docs/PLATFORM.md.
 */
namespace lacewing::endpoint
{

/** One call of a stage at one endpoint. */
struct StageCall {
    CallId call; ///< sent along and echoed; an answer with another id is dropped
    EndpointId endpoint;
    std::string address; ///< ip:port
    Incarnation incarnation; ///< of the endpoint as last reported, to tell a crash from a lost connection; 0: unknown
    config::StageKind kind = config::StageKind::Service;
    ModelId model;
    WorkspaceId workspace;
    std::string input;
    Tokens maxTokens;
    ByteOffset resumeAt; ///< over 0: continue the job's cut stream at this byte, or after forcedPrefix
    std::string forcedPrefix; ///< answer so far, to continue on another engine; its size equals resumeAt
    int priority = 0; ///< higher is sooner
    Duration timeout {}; ///< for the whole call; over 0
    bool repeatable = false;
    Fingerprint fingerprint;
};

/** A piece of a stream's answer, in order and without overlap. */
struct StageChunk {
    CallId call;
    ByteOffset offset; ///< of the text's first byte in the whole answer
    std::string text;
};

/** The call is complete: its whole answer was received. */
struct StageEnded {
    CallId call;
    ByteOffset length; ///< bytes of the whole answer
    std::string result; ///< the answer of a stage that doesn't stream; empty for streams
    Duration busy {}; ///< time that the endpoint worked on it
    Tokens promptTokens;
    Tokens cachedTokens; ///< of the prompt's tokens, found in the prefix cache
    Tokens generatedTokens;
};

/** The call ended without a whole answer. */
struct StageFailed {
    CallId call;
    /**
     * Unreachable, Silent, ConnectionLost, Timeout, Malformed and TooMany as for net::HttpEnd; Missing: a gap in the
     * stream; NotFound: nothing to resume; Refused: declined by the endpoint; Unavailable: over its capacity.
     */
    Error error;
    Ran ran = Ran::Unknown; ///< No only when nothing was sent, or the endpoint says that it didn't start
    bool crashed = false; ///< the endpoint's process ended while the call ran
};

using StageEvent = std::variant<StageChunk, StageEnded, StageFailed>;
/** Called for each event of a call; StageEnded or StageFailed is the last, and comes once unless it is cancelled. */
using StageCallback = std::function<void(StageEvent)>;

/** An endpoint's own report of its load, as old as asOf says. */
struct EndpointLoad {
    EndpointId endpoint;
    Incarnation incarnation;
    WallTime asOf; ///< endpoint's clock when the report was made
    std::uint32_t running = 0; ///< calls being worked on
    std::uint32_t waiting = 0; ///< calls in its queue
    std::uint32_t slots = 1; ///< most calls worked on at a time
    double kvUsedShare = 0; ///< used part of the KV cache, 0 to 1
    std::vector<ModelId> models; ///< loaded
    config::StageKind role = config::StageKind::Service;
    bool leaving = false;
};

/** What happened to a prefix in an engine's cache. */
enum class CacheChange : std::uint8_t { Stored, Evicted };

/** One change of an engine's prefix cache. */
struct CacheEvent {
    std::uint64_t sequence = 0; ///< grows by 1; a jump is a gap
    CacheChange change = CacheChange::Stored;
    std::uint64_t prefix = 0; ///< one of prefixBlocks()
    WallTime at;
};

/** Cache events from one read. */
struct CacheEvents {
    Incarnation incarnation; ///< a new one starts with an empty cache
    std::uint64_t first = 0; ///< oldest sequence number kept
    std::uint64_t next = 0; ///< where to read on
    std::vector<CacheEvent> events; ///< in order, may have gaps
};

/** The wanted state of an endpoint; giving the same order again has no further effect. */
struct Order {
    FencingNumber fencing;
    std::vector<ModelId> models; ///< to have loaded
    config::StageKind role = config::StageKind::Generate;
};

/** Bytes of input that one block of the prefix cache covers. */
constexpr std::size_t prefixBlockBytes = 256;
/** Hashes of the whole blocks that an input starts with; each covers the model and all blocks before it. */
std::vector<std::uint64_t> prefixBlocks(const ModelId &model, std::string_view input, std::size_t maxBlocks);

/** Writes a call id as "<job>/<stage>/<attempt>". */
std::string toText(const CallId &call);
/** Reads what toText() wrote; empty when the text is not a call id. */
std::optional<CallId> callIdFromText(std::string_view text);

/** Counts of an EndpointClient since its start. */
struct EndpointCounters {
    std::uint64_t calls = 0;
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t crossed = 0; ///< answers dropped because they named another call
    std::uint64_t gaps = 0; ///< streams failed for a gap
    std::uint64_t trimmed = 0; ///< chunks that repeated bytes
    std::uint64_t crashes = 0; ///< calls whose endpoint crashed
};

/** Speaks to endpoints. Belongs to one event loop; callbacks come later on its thread. */
class EndpointClient
{
public:
    virtual ~EndpointClient() = default;

    /** Starts a call of a stage. */
    virtual void call(StageCall call, StageCallback callback) = 0;
    /** Gives up a call and tells the endpoint; its callback isn't called any more. No effect once it ended. */
    virtual void cancel(const CallId &call) = 0;

    virtual void readLoad(const std::string &address, std::function<void(Result<EndpointLoad>)> callback) = 0;
    virtual void readCacheEvents(const std::string &address,
                                 std::uint64_t from,
                                 std::function<void(Result<CacheEvents>)> callback) = 0;
    /** Gives an order. Fails with Fenced when the endpoint has seen a higher fencing number and honours it. */
    virtual void order(const std::string &address, const Order &order, std::function<void(Result<void>)> callback) = 0;
    /** Reads the KV cache of a running call. */
    virtual void exportKv(const std::string &address,
                          const CallId &call,
                          std::function<void(Result<std::string>)> callback) = 0;
    /** Hands exported KV cache to another engine, which then resumes the call's stream. */
    virtual void importKv(const std::string &address,
                          const CallId &call,
                          std::string bytes,
                          std::function<void(Result<void>)> callback) = 0;

    virtual const EndpointCounters &counters() const noexcept = 0;
};

/** Settings of the HTTP implementation. */
struct HttpEndpointSettings {
    AvailabilityZoneId zone; ///< own zone, sent along with each request
    Duration connect = std::chrono::milliseconds(500);
    Duration nextByte = std::chrono::seconds(2); ///< longest pause within a stream
    Duration control = std::chrono::seconds(2); ///< for load, cache events, orders and cancels
    std::size_t maxPerAddress = 256; ///< connections to one endpoint
};

/** Makes a client over HTTP/1.1. @param loop outlives the client */
std::unique_ptr<EndpointClient> makeHttpEndpointClient(net::EventLoop &loop, HttpEndpointSettings settings);

} // namespace lacewing::endpoint
