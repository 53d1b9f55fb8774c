#include "client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace lacewing::net
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t readBytes = std::size_t(16) << 10U;
constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int endOfStatuses = 600;
constexpr int switchingProtocols = 101;

std::string text(boost::beast::string_view view)
{
    return { view.data(), view.size() };
}

} // namespace

void ResponseParser::on_request_impl(http::verb, Text, Text, int, ErrorCode &)
{
}

void ResponseParser::on_response_impl(int code, Text, int, ErrorCode &error)
{
    // No request asks for another protocol.
    if (code < firstStatus || code >= endOfStatuses || code == switchingProtocols) {
        error = http::error::bad_status;
    }
    head.status = code;
}

void ResponseParser::on_field_impl(http::field, Text name, Text value, ErrorCode &)
{
    head.headers.push_back({ text(name), text(value) });
}

void ResponseParser::on_header_impl(ErrorCode &error)
{
    // A body in another coding would be taken for the bytes that it encodes.
    const bool isCodingKnown = std::all_of(head.headers.begin(), head.headers.end(), [](const Header &header) {
        return !boost::beast::iequals(header.name, "Transfer-Encoding")
            || boost::beast::iequals(header.value, "chunked");
    });
    if (!isCodingKnown) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    headComplete = true;
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &)
{
}

std::size_t ResponseParser::on_body_impl(Text bytes, ErrorCode &)
{
    body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void ResponseParser::on_chunk_header_impl(std::uint64_t, Text, ErrorCode &)
{
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode &)
{
    body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void ResponseParser::on_finish_impl(ErrorCode &)
{
}

ClientConnection::ClientConnection(EventLoop &loop,
                                   const HttpClientOptions &options,
                                   std::string address,
                                   ConnectionNumber number,
                                   std::function<void()> onGone)
    : options_(options)
    , socket_(loop.ioContext())
    , address_(std::move(address))
    , number_(number)
    , onGone_(std::move(onGone))
    , openedAt_(loop.clock().now())
{
}

ClientConnection::~ClientConnection()
{
    close();
}

void ClientConnection::connect(const SocketAddress &address, ConnectionListener &listener)
{
    listener_ = &listener;
    ErrorCode error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    socket_.async_connect(endpoint, [self = shared_from_this()](const ErrorCode &failed) {
        if (self->listener_ == nullptr) {
            return;
        }
        if (failed) {
            self->listener_->connected(Error { ErrorKind::Unreachable, failed.message() });
            return;
        }
        self->setOptions();
        self->listener_->connected(std::nullopt);
    });
}

/** Makes the kernel end a connection whose other side no longer acknowledges anything. */
void ClientConnection::setOptions()
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    constexpr int unacknowledgedMs = 2000;
    constexpr int probeAfterSeconds = 1;
    ErrorCode ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    socket_.set_option(KeepIdle(probeAfterSeconds), ignored);
    socket_.set_option(KeepInterval(probeAfterSeconds), ignored);
    socket_.set_option(UserTimeout(unacknowledgedMs), ignored);
}

void ClientConnection::newParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->skip(headOnly_);
    parser_->header_limit(static_cast<std::uint32_t>(options_.maxHeaderBytes()));
    parser_->body_limit(options_.maxBodyBytes());
    headDelivered_ = false;
    skipping_ = false;
}

void ClientConnection::send(
    std::string head, Body body, bool headOnly, std::optional<Header> echo, ConnectionListener &listener)
{
    echo_ = std::move(echo);
    if (echo_) {
        carriedIds_.add(echo_->value);
    }
    writing_ = true;
    listener_ = &listener;
    headOnly_ = headOnly;
    requestHead_ = std::move(head);
    requestBody_ = std::move(body);
    ++callCount_;
    sent_ = true;
    nothingWritten_ = false;
    hasWriteFailed_ = false;
    newParser();
    asio::async_write(
        socket_,
        std::array<asio::const_buffer, 2> { asio::buffer(requestHead_), asio::buffer(requestBody_.text()) },
        [self = shared_from_this()](const ErrorCode &error, std::size_t written) {
            // The failure itself is left to the read, which may still find an early response.
            self->nothingWritten_ = error && written == 0;
            self->hasWriteFailed_ = bool(error);
            self->writing_ = false;
            self->requestBody_ = {};
        });
    read();
}

bool ClientConnection::mayHaveWritten() const noexcept
{
    return sent_ && !nothingWritten_;
}

void ClientConnection::release(Time now)
{
    listener_ = nullptr;
    idleSince_ = now;
    read();
}

void ClientConnection::shutDownSending()
{
    ErrorCode ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ClientConnection::close()
{
    listener_ = nullptr;
    if (!open_) {
        return;
    }
    open_ = false;
    ErrorCode ignored;
    socket_.close(ignored);
    onGone_();
}

void ClientConnection::abort()
{
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void ClientConnection::read()
{
    if (reading_ || !open_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(input_.prepare(readBytes),
                            [self = shared_from_this()](const ErrorCode &error, std::size_t size) {
                                self->reading_ = false;
                                self->readDone(error, size);
                            });
}

void ClientConnection::readDone(const ErrorCode &error, std::size_t size)
{
    if (!open_) {
        return;
    }
    if (listener_ == nullptr) {
        if (!error) {
            options_.notify(ConnectionDiscarded { info(), status(), DiscardReason::BytesWhileIdle });
        }
        close();
        return;
    }
    if (error) {
        readFailed(error);
        return;
    }
    input_.commit(size);
    listener_->progressed();
    parse();
    read();
}

void ClientConnection::readFailed(const ErrorCode &error)
{
    ErrorCode ending;
    // The system tells a reset either to the write or to the read. Once the write has been told, the read sees an end.
    const bool isEndCertain = !writing_ && !hasWriteFailed_;
    if (error == asio::error::eof && parser_->got_some() && isEndCertain) {
        parser_->put_eof(ending);
        if (!ending && parser_->is_done() && !skipping_ && !answersAnother()) {
            if (deliver()) {
                finish();
            }
            return;
        }
    }
    fail(ErrorKind::ConnectionLost, error.message());
}

void ClientConnection::parse()
{
    while (listener_ != nullptr && input_.size() > 0) {
        ErrorCode error;
        const std::size_t taken = parser_->put(input_.data(), error);
        input_.consume(taken);
        const bool stuck = !error && taken == 0 && !parser_->is_done();
        if (stuck || (error && error != http::error::need_more)) {
            if (!deliver()) {
                return;
            }
            const bool large = error == http::error::body_limit || error == http::error::header_limit;
            fail(large ? ErrorKind::TooLarge : ErrorKind::Malformed, error.message());
            return;
        }
        if (!deliver()) {
            return;
        }
        if (parser_->is_done()) {
            if (parser_->head.status < firstFinalStatus || skipping_) {
                newParser();
                continue;
            }
            finish();
            return;
        }
        if (error == http::error::need_more) {
            if (input_.size() > options_.maxHeaderBytes()) {
                // The parser bounds heads and bodies, but neither a chunk's size line nor a trailer.
                fail(ErrorKind::TooLarge, "line of a chunk or trailer over the bound");
            }
            return;
        }
    }
}

/** Hands on what the parser has collected. @return false when the call ended meanwhile */
bool ClientConnection::deliver()
{
    if (!parser_->headComplete || parser_->head.status < firstFinalStatus) {
        return true;
    }
    if (!headDelivered_ && !skipping_ && answersAnother()) {
        skipping_ = true;
        const auto echo = findHeader(parser_->head.headers, echo_->name).value_or(std::string_view());
        options_.notify(ResponsePassedOver { info(), echo, status() });
    }
    if (skipping_) {
        parser_->body.clear();
        return true;
    }
    if (!headDelivered_) {
        headDelivered_ = true;
        parser_->head.framing = parser_->need_eof() ? BodyFraming::UntilClose
            : parser_->chunked()                    ? BodyFraming::Chunked
                                                    : BodyFraming::Length;
        listener_->received(parser_->head);
    }
    if (listener_ != nullptr && !parser_->body.empty()) {
        const std::string body = std::exchange(parser_->body, {});
        listener_->received(body);
    }
    return listener_ != nullptr;
}

void ClientConnection::finish()
{
    CompletedResponse response;
    response.isKeptByServer = parser_->keep_alive() && open_;
    response.endsWithConnection = parser_->need_eof();
    response.hasExtraBytes = input_.size() > 0;
    response.isRequestWritten = !writing_;
    response.canCarryMore = !carriedIds_.isFull();
    noteKeepAlive();
    listener_->completed(response);
}

bool ClientConnection::hasEcho() const
{
    return echo_ && findHeader(parser_->head.headers, echo_->name) == echo_->value;
}

bool ClientConnection::answersAnother() const
{
    if (!echo_) {
        return false;
    }
    const auto value = findHeader(parser_->head.headers, echo_->name);
    return value && *value != echo_->value;
}

/** Notes the server's "Keep-Alive: timeout=SECONDS". */
void ClientConnection::noteKeepAlive()
{
    constexpr std::string_view parameter = "timeout=";
    constexpr Duration margin = std::chrono::milliseconds(500); // for a response on its way while the server closes
    const auto value = findHeader(parser_->head.headers, "Keep-Alive");
    const auto at = value ? value->find(parameter) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return;
    }
    const auto digits = value->substr(at + parameter.size());
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error == std::errc() && seconds >= 0) {
        keptFor_ = std::max<Duration>(std::chrono::seconds(seconds) - margin, Duration::zero());
    }
}

void ClientConnection::fail(ErrorKind kind, std::string detail)
{
    listener_->failed({ kind, std::move(detail) });
}

} // namespace lacewing::net
