#pragma once

#include <net/net.h>

#include <string>
#include <string_view>

/** Writing of HTTP/1.1 heads and chunks, by Beast's serializer. */
namespace lacewing::net
{

/** What a response's head says besides its headers. */
struct ResponseFraming {
    unsigned version = 11; ///< 10 or 11
    bool keepAlive = true;
    bool chunked = false;
    std::optional<std::size_t> contentLength;
};

/** Writes a status line and headers. Framing headers among `headers` are left out. */
std::string responseHead(int status, const Headers &headers, const ResponseFraming &framing);

/** Writes a request line and headers. Framing headers among `headers` are left out. */
std::string requestHead(const HttpCall &call, const Headers &defaults);

/** Writes one chunk of a chunked body. @param bytes not empty */
std::string chunk(std::string_view bytes);
/** Writes the end of a chunked body. */
std::string lastChunk();

/** True when a method, target or header can be written without changing the message's framing. */
bool isSafe(const HttpCall &call);

} // namespace lacewing::net
