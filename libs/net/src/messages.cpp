#include <net/net.h>

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <openssl/evp.h>

namespace lacewing::net
{
namespace
{

constexpr int hexadecimal = 16;
constexpr std::size_t escapeLength = 3; // "%41"

boost::beast::string_view toBeast(std::string_view text) noexcept
{
    return { text.data(), text.size() };
}

std::string_view trim(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

/** Returns the media type without its parameters, such as the charset; empty if there is none. */
std::string_view mediaType(const HttpHead &head) noexcept
{
    const auto value = head.header("Content-Type").value_or(std::string_view());
    return trim(value.substr(0, value.find(';')));
}

std::string_view encoding(const HttpHead &head) noexcept
{
    const auto value = trim(head.header("Content-Encoding").value_or(std::string_view()));
    return boost::beast::iequals(toBeast(value), "identity") ? std::string_view() : value;
}

/** Decodes percent escapes and the "+" that queries use for a space. */
std::string decodeQuery(std::string_view text)
{
    std::string plain(text);
    std::replace(plain.begin(), plain.end(), '+', ' ');
    return percentDecode(plain);
}

} // namespace

std::string_view toText(BodyFraming framing) noexcept
{
    switch (framing) {
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        return "until-close";
    case BodyFraming::Length:
        break;
    }
    return "length";
}

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name) noexcept
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header &header) {
        return boost::beast::iequals(toBeast(header.name), toBeast(name));
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

struct Body::Bytes {
    std::string text;
    MemoryReservation reservation;
};

Body::Body(std::string bytes, MemoryReservation reservation)
    : bytes_(bytes.empty() ? nullptr
                           : std::make_shared<const Bytes>(Bytes { std::move(bytes), std::move(reservation) }))
{
}

Body::Body(const char *text)
    : Body(std::string(text))
{
}

const std::string &Body::text() const noexcept
{
    static const std::string none;
    return bytes_ ? bytes_->text : none;
}

std::optional<std::string_view> HttpRequest::header(std::string_view name) const noexcept
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const noexcept
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const auto equals = pair.find('=');
        if (decodeQuery(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string() : decodeQuery(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::string_view> HttpHead::header(std::string_view name) const noexcept
{
    return findHeader(headers, name);
}

bool haveSameRepresentation(const HttpHead &first, const HttpHead &second)
{
    return boost::beast::iequals(toBeast(mediaType(first)), toBeast(mediaType(second)))
        && boost::beast::iequals(toBeast(encoding(first)), toBeast(encoding(second)));
}

Result<SocketAddress> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return failure(ErrorKind::InvalidArgument, "address without a port: " + std::string(text));
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    SocketAddress address { std::string(ip), 0 };
    const auto *end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, address.port);
    boost::system::error_code error;
    const auto number = boost::asio::ip::make_address(address.ip, error);
    if (port.empty() || parsed.ec != std::errc() || parsed.ptr != end || error || number.is_v6() != bracketed) {
        return failure(ErrorKind::InvalidArgument, "not an ip:port: " + std::string(text));
    }
    return address;
}

std::string toText(const SocketAddress &address)
{
    const bool bracketed = address.ip.find(':') != std::string::npos;
    return (bracketed ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plainMarks = "-._~";
    std::string encoded;
    for (const char c : text) {
        const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || plainMarks.find(c) != std::string_view::npos;
        if (plain) {
            encoded += c;
            continue;
        }
        const auto code = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[code / hexadecimal];
        encoded += digits[code % hexadecimal];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + escapeLength <= text.size()) {
            const auto *digits = text.data() + i + 1;
            const auto *end = digits + escapeLength - 1;
            if (std::from_chars(digits, end, value, hexadecimal).ptr == end) {
                decoded += static_cast<char>(value);
                i += escapeLength - 1;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

std::string toBase64(std::string_view bytes)
{
    constexpr std::size_t bytesPerGroup = 3;
    constexpr std::size_t charactersPerGroup = 4;
    std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::string> fromBase64(std::string_view text)
{
    constexpr std::size_t bytesPerGroup = 3;
    constexpr std::size_t charactersPerGroup = 4;
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    const auto stray = text.substr(0, text.size() - padding).find_first_of("= \t\r\n-");
    if (text.size() % charactersPerGroup != 0 || stray != std::string_view::npos) {
        return failure(ErrorKind::Malformed, "not base64");
    }
    std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return failure(ErrorKind::Malformed, "not base64");
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

HttpServerOptions &HttpServerOptions::maxHeaderBytes(std::size_t bytes)
{
    maxHeaderBytes_ = bytes;
    return *this;
}

HttpServerOptions &HttpServerOptions::maxBodyBytes(std::size_t bytes)
{
    maxBodyBytes_ = bytes;
    return *this;
}

HttpServerOptions &HttpServerOptions::memoryBudget(std::shared_ptr<MemoryBudget> budget,
                                                   std::function<Headers(const HttpRequest &)> onRefused)
{
    memoryBudget_ = std::move(budget);
    onRefused_ = std::move(onRefused);
    return *this;
}

HttpServerOptions &HttpServerOptions::maxConnections(std::size_t count)
{
    maxConnections_ = count;
    return *this;
}

HttpServerOptions &HttpServerOptions::idleTime(Duration time)
{
    idleTime_ = time;
    return *this;
}

HttpServerOptions &HttpServerOptions::headTime(Duration time)
{
    headTime_ = time;
    return *this;
}

HttpServerOptions &HttpServerOptions::maxPendingBytes(std::size_t bytes)
{
    maxPendingBytes_ = bytes;
    return *this;
}

HttpServerOptions &HttpServerOptions::sharedAddress(bool shared)
{
    sharedAddress_ = shared;
    return *this;
}

HttpClientOptions &HttpClientOptions::maxPerAddress(std::size_t count)
{
    maxPerAddress_ = count;
    return *this;
}

HttpClientOptions &HttpClientOptions::maxConnections(std::size_t count)
{
    maxConnections_ = count;
    return *this;
}

HttpClientOptions &HttpClientOptions::keepIdle(Duration time)
{
    keepIdle_ = time;
    return *this;
}

HttpClientOptions &HttpClientOptions::maxAge(Duration age)
{
    maxAge_ = age;
    return *this;
}

HttpClientOptions &HttpClientOptions::trustIdle(Duration time)
{
    trustIdle_ = time;
    return *this;
}

HttpClientOptions &HttpClientOptions::maxHeaderBytes(std::size_t bytes)
{
    maxHeaderBytes_ = bytes;
    return *this;
}

HttpClientOptions &HttpClientOptions::maxBodyBytes(std::size_t bytes)
{
    maxBodyBytes_ = bytes;
    return *this;
}

HttpClientOptions &HttpClientOptions::defaultHeaders(Headers headers)
{
    defaultHeaders_ = std::move(headers);
    return *this;
}

HttpClientOptions &HttpClientOptions::reuseOnlyIdentified(bool isRequired)
{
    reuseOnlyIdentified_ = isRequired;
    return *this;
}

HttpClientOptions &HttpClientOptions::observer(std::function<void(const HttpClientEvent &)> observer)
{
    observer_ = std::move(observer);
    return *this;
}

} // namespace lacewing::net
