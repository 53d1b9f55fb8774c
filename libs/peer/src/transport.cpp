#include "transport.h"

#include <boost/asio/write.hpp>

#include <fstream>

namespace lacewing::peer
{

namespace ssl = boost::asio::ssl;
using boost::system::error_code;

namespace
{

Result<void> checkReadable(const std::string &path)
{
    if (!std::ifstream(path)) {
        return failure(ErrorKind::Io, "can't read " + path);
    }
    return success();
}

/** Loads the files into a context. */
error_code loadKeys(ssl::context &context, const KeyFiles &files)
{
    error_code error;
    context.load_verify_file(files.ca, error);
    if (!error) {
        context.use_certificate_chain_file(files.certificate, error);
    }
    if (!error) {
        context.use_private_key_file(files.key, ssl::context::pem, error);
    }
    return error;
}

} // namespace

Result<TlsContext> makeTlsContext(const KeyFiles &files)
{
    for (const auto &path : { files.ca, files.certificate, files.key }) {
        if (auto readable = checkReadable(path); !readable) {
            return boost::outcome_v2::failure(readable.error());
        }
    }
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    auto *native = context->native_handle();
    SSL_CTX_set_min_proto_version(native, TLS1_3_VERSION);
    // Each link is verified anew, so that replaced keys count from the next link on.
    SSL_CTX_set_session_cache_mode(native, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(native, 0);
    error_code error;
    context->set_password_callback([](std::size_t, ssl::context::password_purpose) { return std::string(); }, error);
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
    error = loadKeys(*context, files);
    if (error) {
        return failure(ErrorKind::InvalidArgument, "can't use the keys: " + error.message());
    }
    if (SSL_CTX_check_private_key(native) != 1) {
        return failure(ErrorKind::InvalidArgument, "the private key doesn't fit the certificate");
    }
    return context;
}

Transport::Stream Transport::makeStream(Tcp::socket socket, const TlsContext &tls)
{
    if (tls) {
        return Stream(std::in_place_type<TlsStream>, std::move(socket), *tls);
    }
    return Stream(std::in_place_type<PlainStream>, std::move(socket));
}

Transport::Transport(boost::asio::io_context &context, TlsContext tls)
    : Transport(Tcp::socket(context), std::move(tls))
{
}

Transport::Transport(Tcp::socket socket, TlsContext tls)
    : tls_(std::move(tls))
    , stream_(makeStream(std::move(socket), tls_))
{
}

Tcp::socket &Transport::socket()
{
    return std::visit(Overloaded { [](PlainStream &plain) -> Tcp::socket & { return plain; },
                                   [](TlsStream &tls) -> Tcp::socket & { return tls.next_layer(); } },
                      stream_);
}

void Transport::connect(const Tcp::endpoint &endpoint, Done done)
{
    socket().async_connect(endpoint, [self = shared_from_this(), done = std::move(done)](const error_code &error) {
        if (self->isClosed_) {
            return;
        }
        if (error) {
            done(error);
            return;
        }
        self->shakeHands(ssl::stream_base::client, done);
    });
}

void Transport::accept(Done done)
{
    shakeHands(ssl::stream_base::server, std::move(done));
}

void Transport::shakeHands(ssl::stream_base::handshake_type type, Done done)
{
    error_code ignored;
    socket().set_option(Tcp::no_delay(true), ignored);
    auto *tls = std::get_if<TlsStream>(&stream_);
    if (!tls) {
        done({});
        return;
    }
    tls->async_handshake(type, [self = shared_from_this(), done = std::move(done)](const error_code &error) {
        if (!self->isClosed_) {
            done(error);
        }
    });
}

void Transport::read(Received received)
{
    auto handler = [self = shared_from_this(), received = std::move(received)](const error_code &error,
                                                                               std::size_t size) {
        if (!self->isClosed_) {
            received(error, { self->readBuffer_.data(), size });
        }
    };
    std::visit([&](auto &stream) { stream.async_read_some(boost::asio::buffer(readBuffer_), std::move(handler)); },
               stream_);
}

void Transport::write(std::string bytes, Done done)
{
    writeBuffer_ = std::move(bytes);
    auto handler = [self = shared_from_this(), done = std::move(done)](const error_code &error, std::size_t) {
        if (!self->isClosed_) {
            done(error);
        }
    };
    std::visit([&](auto &stream) { boost::asio::async_write(stream, boost::asio::buffer(writeBuffer_), handler); },
               stream_);
}

void Transport::close()
{
    isClosed_ = true;
    error_code ignored;
    socket().close(ignored);
}

} // namespace lacewing::peer
