#include "http_text.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace lacewing::net
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

beast::string_view toBeast(std::string_view text) noexcept
{
    return { text.data(), text.size() };
}

bool isControl(char character) noexcept
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return (code < firstPrintable && character != '\t') || code == deleteCharacter;
}

/** True for the characters that RFC 9110 allows in a method or header name. */
bool isToken(std::string_view text) noexcept
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || marks.find(c) != std::string_view::npos;
    });
}

bool isFraming(std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 3> names { "Content-Length", "Transfer-Encoding", "Connection" };
    return std::any_of(names.begin(), names.end(), [&](std::string_view framing) {
        return beast::iequals(toBeast(framing), toBeast(name));
    });
}

bool isWritable(const Header &header) noexcept
{
    return isToken(header.name) && std::none_of(header.value.begin(), header.value.end(), isControl);
}

void addHeaders(http::fields &fields, const Headers &headers)
{
    for (const auto &header : headers) {
        if (!isFraming(header.name) && isWritable(header)) {
            fields.insert(toBeast(header.name), toBeast(header.value));
        }
    }
}

template <typename Buffers>
void append(std::string &text, const Buffers &buffers)
{
    for (const auto buffer : beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char *>(buffer.data()), buffer.size());
    }
}

template <bool isRequest>
std::string headText(http::message<isRequest, http::empty_body> &message)
{
    std::string text;
    http::serializer<isRequest, http::empty_body> serializer(message);
    serializer.split(true);
    beast::error_code error;
    while (!serializer.is_header_done() && !error) {
        serializer.next(error, [&](beast::error_code &, const auto &buffers) {
            append(text, buffers);
            serializer.consume(beast::buffer_bytes(buffers));
        });
    }
    return text;
}

} // namespace

std::string responseHead(int status, const Headers &headers, const ResponseFraming &framing)
{
    http::response<http::empty_body> message;
    message.version(framing.version);
    message.result(static_cast<unsigned>(status));
    addHeaders(message, headers);
    message.keep_alive(framing.keepAlive);
    if (framing.chunked) {
        message.chunked(true);
    } else if (framing.contentLength) {
        message.content_length(*framing.contentLength);
    }
    return headText(message);
}

std::string requestHead(const HttpCall &call, const Headers &defaults)
{
    http::request<http::empty_body> message;
    message.version(11);
    message.method_string(toBeast(call.method));
    message.target(toBeast(call.target));
    if (!findHeader(call.headers, "Host")) {
        message.set(http::field::host, call.address);
    }
    addHeaders(message, defaults);
    addHeaders(message, call.headers);
    if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD")) {
        message.content_length(call.body.size());
    }
    return headText(message);
}

std::string chunk(std::string_view bytes)
{
    std::string text;
    append(text, http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())));
    return text;
}

std::string lastChunk()
{
    std::string text;
    append(text, http::make_chunk_last());
    return text;
}

bool isSafe(const HttpCall &call)
{
    const bool targetSafe =
        call.target.starts_with('/') && std::none_of(call.target.begin(), call.target.end(), [](char c) {
            return isControl(c) || c == ' ' || c == '\t';
        });
    return isToken(call.method) && targetSafe && std::all_of(call.headers.begin(), call.headers.end(), isWritable);
}

} // namespace lacewing::net
