#include "framing.h"

namespace lacewing::peer
{

namespace
{

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t typeBytes = 1;
constexpr unsigned bitsPerByte = 8;
constexpr auto lastFrameType = static_cast<std::uint8_t>(FrameType::Failure);
constexpr auto lastErrorKind = static_cast<std::uint8_t>(ErrorKind::Io);

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

} // namespace

std::string toBytes(FrameType type, std::string_view payload)
{
    const auto length = static_cast<std::uint32_t>(payload.size() + typeBytes);
    std::string bytes;
    bytes.reserve(lengthBytes + length);
    for (std::size_t i = lengthBytes; i > 0; --i) {
        bytes += static_cast<char>((length >> ((i - 1) * bitsPerByte)) & 0xffU);
    }
    bytes += static_cast<char>(type);
    bytes += payload;
    return bytes;
}

std::string failurePayload(const Error &error)
{
    return static_cast<char>(error.kind) + error.detail;
}

Error errorFromPayload(std::string_view payload)
{
    if (payload.empty() || static_cast<unsigned char>(payload[0]) > lastErrorKind) {
        return { ErrorKind::Malformed, "failure of an unknown kind" };
    }
    return { static_cast<ErrorKind>(payload[0]), std::string(payload.substr(1)) };
}

Result<std::vector<Frame>> FrameReader::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::vector<Frame> frames;
    std::size_t position = 0;
    while (pending_.size() - position >= lengthBytes) {
        const auto rest = std::string_view(pending_).substr(position);
        const auto length = readLength(rest);
        if (length < typeBytes) {
            return failure(ErrorKind::Malformed, "frame without a type");
        }
        if (length - typeBytes > maxPayload_) {
            return failure(ErrorKind::TooLarge, "frame over the bound");
        }
        if (rest.size() < lengthBytes + length) {
            break;
        }
        const auto type = static_cast<std::uint8_t>(rest[lengthBytes]);
        if (type > lastFrameType) {
            return failure(ErrorKind::Malformed, "frame of an unknown type");
        }
        const auto payload = rest.substr(lengthBytes + typeBytes, length - typeBytes);
        frames.push_back({ static_cast<FrameType>(type), std::string(payload) });
        position += lengthBytes + length;
    }
    pending_.erase(0, position);
    return frames;
}

} // namespace lacewing::peer
