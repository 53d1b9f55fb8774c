#pragma once

#include "connection_reuse.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace lacewing::net
{

/** Collects what Beast's parser finds in a response. */
class ResponseParser final : public boost::beast::http::basic_parser<false>
{
public:
    HttpHead head;
    bool headComplete = false;
    std::string body; ///< bytes not yet handed on

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode &) override;
    void on_response_impl(int code, Text reason, int version, ErrorCode &) override;
    void on_field_impl(boost::beast::http::field, Text name, Text value, ErrorCode &) override;
    void on_header_impl(ErrorCode &) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override;
    std::size_t on_body_impl(Text bytes, ErrorCode &) override;
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override;
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode &) override;
    void on_finish_impl(ErrorCode &) override;
};

/** Hears what happens on a connection while it serves a call. */
class ConnectionListener
{
public:
    virtual ~ConnectionListener() = default;
    /** The connection is set up, or could not be. */
    virtual void connected(const std::optional<Error> &error) = 0;
    /** A byte of the response has come. */
    virtual void progressed() = 0;
    virtual void received(const HttpHead &head) = 0;
    virtual void received(const std::string &body) = 0;
    /** The whole response has come. @param response what it says of the connection, but for isIdentified */
    virtual void completed(CompletedResponse response) = 0;
    virtual void failed(Error error) = 0;
};

/** One connection of an HttpClient; serves one call at a time. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /** @param onGone called once when the connection closes */
    ClientConnection(EventLoop &loop,
                     const HttpClientOptions &options,
                     std::string address,
                     ConnectionNumber number,
                     std::function<void()> onGone);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    void connect(const SocketAddress &address, ConnectionListener &listener);
    /** Sends a request on a connected and unused connection. */
    void send(std::string head, Body body, bool headOnly, std::optional<Header> echo, ConnectionListener &listener);
    /** Makes the connection idle; bytes or an end that come now close it. */
    void release(Time now);
    /** Closes the socket; the listener isn't called any more. */
    void close();
    /** Closes the socket like close(), and drops the bytes that have been written but not yet sent. */
    void abort();

    bool isOpen() const noexcept
    {
        return open_;
    }
    /** Closes the connection for sending; what the server sends is still read. */
    void shutDownSending();
    /** Returns whether the last request was given to the network in full. */
    bool isWritten() const noexcept
    {
        return sent_ && !writing_ && !nothingWritten_;
    }
    /** False only when it is certain that no byte of the last request was given to the network. */
    bool mayHaveWritten() const noexcept;
    /** Whether the response just completed repeats the value that identifies its request. */
    bool hasEcho() const;
    Time openedAt() const noexcept
    {
        return openedAt_;
    }
    Time idleSince() const noexcept
    {
        return idleSince_;
    }
    /** How long the server keeps the connection unused, if it has said so. */
    std::optional<Duration> keptFor() const noexcept
    {
        return keptFor_;
    }
    const std::string &address() const noexcept
    {
        return address_;
    }
    /** Describes the connection for the client's observer. The texts are valid as long as the connection is unused. */
    ConnectionInfo info() const noexcept
    {
        return { address_, number_, echo_ ? std::string_view(echo_->value) : std::string_view() };
    }
    /** Status of the last response; 0 if there was none. */
    int status() const noexcept
    {
        return parser_ ? parser_->head.status : 0;
    }
    /** The echo values of the calls sent on the connection. */
    const CarriedIds &carriedIds() const noexcept
    {
        return carriedIds_;
    }
    /** Number of calls sent on the connection. */
    std::uint32_t callCount() const noexcept
    {
        return callCount_;
    }

private:
    using ErrorCode = boost::beast::error_code;

    void setOptions();
    void newParser();
    void read();
    void readDone(const ErrorCode &error, std::size_t size);
    void readFailed(const ErrorCode &error);
    void parse();
    bool deliver();
    void finish();
    bool answersAnother() const;
    void noteKeepAlive();
    void fail(ErrorKind kind, std::string detail);

    const HttpClientOptions &options_;
    boost::asio::ip::tcp::socket socket_;
    std::string address_;
    ConnectionNumber number_;
    std::function<void()> onGone_;
    ConnectionListener *listener_ = nullptr;
    boost::beast::flat_buffer input_;
    std::optional<ResponseParser> parser_;
    std::string requestHead_;
    Body requestBody_; ///< until it is written
    std::uint32_t callCount_ = 0;
    CarriedIds carriedIds_;
    Time openedAt_;
    Time idleSince_;
    bool open_ = true;
    bool reading_ = false;
    bool headOnly_ = false;
    bool headDelivered_ = false;
    bool sent_ = false; ///< a request was given to the socket
    bool hasWriteFailed_ = false; ///< the last request could not be written in full
    bool nothingWritten_ = false;
    bool writing_ = false; ///< the request is not yet written in full
    bool skipping_ = false; ///< the response at hand belongs to an earlier request
    std::optional<Header> echo_;
    std::optional<Duration> keptFor_;
};

} // namespace lacewing::net
