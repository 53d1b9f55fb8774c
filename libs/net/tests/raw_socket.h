#pragma once

#include <net/net.h>

#include <cerrno>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/** Blocking sockets for tests that need bytes which no HTTP library would send. */
namespace lacewing::net::raw
{

/** A socket that closes itself. */
class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    ~Socket()
    {
        close();
    }
    Socket(Socket &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    void closeSending() const
    {
        ::shutdown(descriptor_, SHUT_WR);
    }
    /** Reads up to the end of the connection, or until the text read so far ends in `until`. */
    std::string read(std::string_view until = {}) const
    {
        std::string text;
        char bytes[4096];
        while (until.empty() || !std::string_view(text).ends_with(until)) {
            const auto size = ::recv(descriptor_, bytes, sizeof bytes, 0);
            if (size <= 0) {
                break;
            }
            text.append(bytes, static_cast<std::size_t>(size));
        }
        return text;
    }
    /** What was read up to the end of a connection, and how that came. */
    struct Received {
        std::string text;
        bool wasReset = false;
    };
    Received readToEnd() const
    {
        Received received;
        char bytes[4096];
        for (;;) {
            const auto size = ::recv(descriptor_, bytes, sizeof bytes, 0);
            if (size <= 0) {
                received.wasReset = size < 0 && errno == ECONNRESET;
                return received;
            }
            received.text.append(bytes, static_cast<std::size_t>(size));
        }
    }
    int descriptor() const noexcept
    {
        return descriptor_;
    }

private:
    int descriptor_;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline Socket connectTo(std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback(port);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        socket.close();
    }
    return socket;
}

/** Listens on a port of the kernel's choice and gives each connection, with its number from 0, to a function. */
class Server
{
public:
    explicit Server(std::function<void(Socket, int)> serve)
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        const bool listens = ::bind(listener_.descriptor(), reinterpret_cast<const sockaddr *>(&address), size) == 0
            && ::listen(listener_.descriptor(), SOMAXCONN) == 0;
        if (!listens) {
            std::abort();
        }
        ::getsockname(listener_.descriptor(), reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this, serve = std::move(serve)] {
            for (int i = 0;; ++i) {
                Socket socket(::accept(listener_.descriptor(), nullptr, nullptr));
                if (socket.descriptor() < 0) {
                    return;
                }
                serve(std::move(socket), i);
            }
        });
    }
    ~Server()
    {
        ::shutdown(listener_.descriptor(), SHUT_RDWR);
        thread_.join();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    Socket listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace lacewing::net::raw
