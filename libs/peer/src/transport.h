#pragma once

#include <base/base.h>
#include <peer/peer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace lacewing::peer
{

using Tcp = boost::asio::ip::tcp;
using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/** Reads a VM's keys. Fails with Io or InvalidArgument. */
Result<TlsContext> makeTlsContext(const KeyFiles &files);

/** A byte stream over TCP, with or without TLS. After close() no callback is called any more. */
class Transport : public std::enable_shared_from_this<Transport>
{
public:
    using Done = std::function<void(const boost::system::error_code &)>;
    using Received = std::function<void(const boost::system::error_code &, std::string_view)>;

    /** @param tls empty: without TLS */
    Transport(boost::asio::io_context &context, TlsContext tls);
    /** Takes over an accepted socket. */
    Transport(Tcp::socket socket, TlsContext tls);

    /** Connects and shakes hands as a client. */
    void connect(const Tcp::endpoint &endpoint, Done done);
    /** Shakes hands as a server. */
    void accept(Done done);
    /** Waits for bytes; they are valid within the callback only. */
    void read(Received received);
    /** Sends all bytes; one write at a time. */
    void write(std::string bytes, Done done);
    void close();

private:
    using PlainStream = Tcp::socket;
    using TlsStream = boost::asio::ssl::stream<Tcp::socket>;
    using Stream = std::variant<PlainStream, TlsStream>;

    static Stream makeStream(Tcp::socket socket, const TlsContext &tls);
    Tcp::socket &socket();
    void shakeHands(boost::asio::ssl::stream_base::handshake_type type, Done done);

    static constexpr std::size_t readBytes = 16'384;

    TlsContext tls_;
    Stream stream_;
    bool isClosed_ = false;
    std::array<char, readBytes> readBuffer_ {};
    std::string writeBuffer_;
};

} // namespace lacewing::peer
