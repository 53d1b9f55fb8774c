#pragma once

#include <base/base.h>

#include <string>
#include <string_view>
#include <vector>

/** Length-delimited frames within the body of a stream: 4 bytes length, big endian, then a type byte and a payload. */
namespace lacewing::peer
{

/** What a frame means. */
enum class FrameType : std::uint8_t {
    Data = 0, ///< a message, or a piece of an answer
    End = 1, ///< the answer is complete; no payload
    Failure = 2, ///< the answer ends with an error: a byte with its kind, then its detail
};

struct Frame {
    FrameType type = FrameType::Data;
    std::string payload;

    bool operator==(const Frame &) const = default;
};

/** Bytes of a frame. */
std::string toBytes(FrameType type, std::string_view payload);
/** Payload of a Failure frame. */
std::string failurePayload(const Error &error);
/** Reads what failurePayload() wrote; Malformed when it can't be read. */
Error errorFromPayload(std::string_view payload);

/** Splits a stream of bytes into frames. */
class FrameReader
{
public:
    /** @param maxPayload bound on one frame's payload, under 4 GiB */
    explicit FrameReader(std::size_t maxPayload)
        : maxPayload_(maxPayload)
    {
    }

    /** Takes the next bytes and returns the frames they complete. Fails with TooLarge or Malformed; unusable then. */
    Result<std::vector<Frame>> feed(std::string_view bytes);

private:
    std::size_t maxPayload_;
    std::string pending_;
};

} // namespace lacewing::peer
