#include "../tests/front.h"

using namespace lacewing::net;

/** Feeds a server with one connection's bytes, and the client's parsers with the same. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static Front front;
    constexpr std::size_t maxBytes = 16'384; // within a socket's buffer, so that sending never blocks
    const std::string_view bytes(reinterpret_cast<const char *>(data), std::min(size, maxBytes));
    front.feed(bytes);
    SseParser parser(1024);
    static_cast<void>(parser.feed(bytes));
    static_cast<void>(parseAddress(bytes));
    static_cast<void>(fromBase64(bytes));
    static_cast<void>(percentDecode(bytes));
    return 0;
}
