#pragma once

#include "prefix_cache.h"
#include "process.h"

#include <map>

namespace lacewing::standin
{

/** One stream of a model engine, kept for a while after its connection is lost. */
struct Stream {
    std::string callId;
    std::string input;
    std::string model;
    std::string text; ///< whole answer
    std::size_t startOffset = 0; ///< bytes given as forced prefix
    std::size_t produced = 0; ///< bytes generated so far, with the forced prefix
    std::size_t sent = 0; ///< bytes given to the writer
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    double prefillLeft = 0; ///< tokens
    int priority = 0;
    std::uint64_t order = 0; ///< of arrival
    bool running = false; ///< has a slot
    bool ended = false; ///< its end was sent
    Duration busy {};
    Time lastSent {};
    Time detachedAt {}; ///< when its connection was lost
    std::string remoteAddress;
    net::ResponseWriter writer;
};

/** A model engine: batches streams continuously, with a prefix cache, priorities, resume, cancel and KV transfer. */
class Engine : public std::enable_shared_from_this<Engine>
{
public:
    explicit Engine(Process &process);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /** Takes a call to /v1/completions. */
    void serve(const net::HttpRequest &request, net::ResponseWriter writer);
    /** Ends a call's stream. @return whether there was one */
    bool cancel(const std::string &callId);
    /** The state of a call's stream as bytes that importKv() takes; empty when there is none. */
    std::optional<std::string> exportKv(const std::string &callId) const;
    /** Takes over a stream, which runs once it is resumed. @return false when the bytes aren't such a state */
    bool importKv(const std::string &callId, const std::string &bytes);

    std::size_t running() const noexcept;
    std::size_t waiting() const noexcept;
    const PrefixCache &cache() const noexcept
    {
        return cache_;
    }

private:
    using Streams = std::map<std::string, Stream>;

    void startStream(const net::HttpRequest &request, net::ResponseWriter writer);
    void resumeStream(const net::HttpRequest &request, net::ResponseWriter writer, std::string_view from);
    void attach(Stream &stream, const net::HttpRequest &request, net::ResponseWriter writer, std::size_t from);
    bool prepare(Stream &stream, const std::string &forcedPrefix, std::size_t maxTokens);
    void admit();
    void begin(Stream &stream);
    void step(Time now);
    void advance(Stream &stream, Duration elapsed);
    void sendText(Stream &stream);
    void sendEnd(Stream &stream);
    void keepAlive(Stream &stream, Time now);
    void dropEnded(Time now);
    void scheduleStep();
    Duration stepTime();

    Process &process_;
    PrefixCache cache_;
    Streams streams_; ///< by job and stage
    std::uint64_t arrivals_ = 0;
    TimerHandle stepTimer_;
    Time lastStep_;
    std::string lastCallId_; ///< of the stream answered last, for answers that are crossed
};

} // namespace lacewing::standin
