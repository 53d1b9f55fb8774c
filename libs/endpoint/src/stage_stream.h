#pragma once

#include <endpoint/endpoint.h>

#include <optional>
#include <vector>

namespace lacewing::endpoint
{

/** Turns the bytes of an engine's event stream into chunks in order without overlap, and its explicit end. */
class StageStream
{
public:
    /** @param from offset of the first byte wanted */
    StageStream(CallId call, ByteOffset from);

    /** What some bytes brought. */
    struct Outcome {
        std::vector<StageChunk> chunks;
        std::optional<StageEnded> ended;
        std::optional<Error> error; ///< Missing for a gap, Malformed, TooLarge; the stream is unusable then
        std::uint64_t trimmed = 0; ///< chunks that repeated bytes
    };

    Outcome feed(std::string_view bytes);

private:
    void take(const net::SseEvent &event, Outcome &outcome);
    void takeChunk(const net::SseEvent &event, Outcome &outcome);
    void takeEnd(const net::SseEvent &event, Outcome &outcome);

    CallId call_;
    std::uint64_t next_; ///< offset after the last byte handed on
    net::SseParser parser_;
};

} // namespace lacewing::endpoint
