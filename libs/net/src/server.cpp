#include "server_connection.h"

#include <algorithm>
#include <unordered_map>

#include <boost/asio/ip/v6_only.hpp>
#include <sys/socket.h>

namespace lacewing::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration maxSweepPeriod = std::chrono::seconds(1);
constexpr Duration minSweepPeriod = std::chrono::milliseconds(10);
constexpr Duration drainSweepPeriod = std::chrono::milliseconds(50);
constexpr Duration acceptRetry = std::chrono::milliseconds(50);
/** Connections over the bound that may be told so at a time, a part of the bound; more are closed without a word. */
constexpr std::size_t refusingDivisor = 16;
constexpr std::size_t minRefusing = 8;
constexpr std::size_t maxRefusing = 64;
/** Bytes that are taken back at a time at least, and the time between two searches for them. */
constexpr std::size_t minReclaimedBytes = std::size_t(1) << 20U;
constexpr Duration reclaimPeriod = std::chrono::milliseconds(50);

using SharePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

Error ioError(const boost::system::error_code &code)
{
    if (code == asio::error::address_in_use) {
        return { ErrorKind::AddressInUse, code.message() };
    }
    return { ErrorKind::Io, code.message() };
}

} // namespace

/** The listener and its connections. */
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(EventLoop &loop, HttpServerOptions options, RequestHandler handler)
        : loop_(loop)
        , shared_(std::make_shared<ServerShared>(
              ServerShared { loop, std::move(options), std::move(handler), {}, false, {}, {} }))
        , acceptor_(loop.ioContext())
    {
        shared_->onGone = [this](ServerConnection &connection) { connectionGone(connection); };
        shared_->onMemoryShort = [this](std::size_t bytes, const ServerConnection *asking) { makeRoom(bytes, asking); };
        const Duration period = std::clamp(shared_->options.idleTime() / 4, minSweepPeriod, maxSweepPeriod);
        sweepTimer_ = loop_.timers().every(loop_.clock().now() + period, period, [this](Time now) { sweep(now); });
    }

    Result<void> listen(const SocketAddress &address)
    {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address.ip, error);
        if (error) {
            return failure(ErrorKind::InvalidArgument, "not an IP number: " + address.ip);
        }
        const tcp::endpoint endpoint(ip, address.port);
        open(endpoint, error);
        if (error) {
            boost::system::error_code ignored;
            acceptor_.close(ignored);
            return boost::outcome_v2::failure(ioError(error));
        }
        accept();
        return success();
    }

    SocketAddress address() const
    {
        boost::system::error_code error;
        const auto endpoint = acceptor_.local_endpoint(error);
        return error ? SocketAddress {} : SocketAddress { endpoint.address().to_string(), endpoint.port() };
    }

    void stopAccepting()
    {
        acceptQueued();
        closeListener();
        checkNoneLeft();
    }

    void closeBetweenRequests(std::function<void()> whenNone)
    {
        shared_->draining = true;
        whenNone_ = std::move(whenNone);
        loop_.timers().cancel(sweepTimer_);
        const Time first = loop_.clock().now() + drainSweepPeriod;
        sweepTimer_ = loop_.timers().every(first, drainSweepPeriod, [this](Time now) { sweep(now); });
        checkNoneLeft();
    }

    void closeAll()
    {
        closeListener();
        for (const auto &connection : snapshot()) {
            connection->close();
        }
        checkNoneLeft();
    }

    /** Ends all callbacks; the loop may still hold operations of closed sockets. */
    void shutDown()
    {
        whenNone_ = nullptr;
        closeAll();
        loop_.timers().cancel(sweepTimer_);
    }

    void makeRoom(std::size_t bytes, const ServerConnection *asking)
    {
        const Time now = loop_.clock().now();
        if (now - lastMemoryReclaim_ >= reclaimPeriod) {
            lastMemoryReclaim_ = now;
            reclaim(memory::Shortage::Memory, std::max(bytes, minReclaimedBytes), asking);
        }
    }

    HttpServerCounters counters() const
    {
        auto counters = shared_->counters;
        counters.open = connections_.size();
        return counters;
    }

private:
    using ConnectionPtr = std::shared_ptr<ServerConnection>;

    void open(const tcp::endpoint &endpoint, boost::system::error_code &error)
    {
        acceptor_.open(endpoint.protocol(), error);
        if (!error) {
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error && shared_->options.sharedAddress()) {
            acceptor_.set_option(SharePort(true), error);
        }
        if (!error) {
            acceptor_.bind(endpoint, error);
        }
        if (!error) {
            acceptor_.listen(tcp::acceptor::max_listen_connections, error);
        }
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
            self->acceptDone(error, std::move(socket));
        });
    }

    void closeListener()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    /** Accepts the connections in the listener's queue, which the kernel resets when the listener closes. */
    void acceptQueued()
    {
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(loop_.ioContext());
            acceptor_.accept(socket, error);
            if (!error) {
                take(std::move(socket));
            }
        }
    }

    void acceptDone(const boost::system::error_code &error, tcp::socket socket)
    {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            // Such as out of file descriptors: others may become free.
            loop_.timers().once(loop_.clock().now() + acceptRetry, [weak = weak_from_this()](Time) {
                const auto self = weak.lock();
                if (self && self->acceptor_.is_open()) {
                    self->accept();
                }
            });
            return;
        }
        accept(); // first, so that a failure to serve this connection does not end the listener
        take(std::move(socket));
    }

    void take(tcp::socket socket)
    {
        const std::size_t bound = shared_->options.maxConnections();
        const Time now = loop_.clock().now();
        if (connections_.size() >= bound && now - lastPlaceReclaim_ >= reclaimPeriod) {
            lastPlaceReclaim_ = now;
            reclaim(memory::Shortage::Descriptors, std::max<std::size_t>(bound / refusingDivisor, 1), nullptr);
        }
        const bool over = connections_.size() >= bound;
        if (over) {
            ++shared_->counters.refused;
        }
        if (connections_.size() >= bound + std::clamp(bound / refusingDivisor, minRefusing, maxRefusing)) {
            return;
        }
        auto connection = std::make_shared<ServerConnection>(shared_, std::move(socket));
        connections_.emplace(connection.get(), connection);
        if (over) {
            connection->refuse();
            return;
        }
        ++shared_->counters.accepted;
        connection->start();
    }

    std::vector<ConnectionPtr> snapshot() const
    {
        std::vector<ConnectionPtr> all;
        all.reserve(connections_.size());
        for (const auto &[key, connection] : connections_) {
            all.push_back(connection);
        }
        return all;
    }

    void reclaim(memory::Shortage shortage, std::size_t wanted, const ServerConnection *asking)
    {
        std::vector<ConnectionPtr> candidates;
        std::vector<memory::Connection> holdings;
        for (const auto &[key, connection] : connections_) {
            if (key != asking) {
                candidates.push_back(connection);
                holdings.push_back(connection->holding());
            }
        }
        for (const auto index : memory::selectReclaimed(holdings, shortage, wanted, loop_.clock().now())) {
            ++shared_->counters.reclaimed;
            if (shortage == memory::Shortage::Memory) {
                candidates[index]->giveUp();
            } else {
                candidates[index]->close();
            }
        }
    }

    void sweep(Time now)
    {
        for (const auto &connection : snapshot()) {
            connection->sweep(now);
        }
    }

    void connectionGone(ServerConnection &connection)
    {
        connections_.erase(&connection);
        checkNoneLeft();
    }

    void checkNoneLeft()
    {
        if (shared_->draining && whenNone_ && !acceptor_.is_open() && connections_.empty()) {
            loop_.post(std::move(whenNone_));
            whenNone_ = nullptr;
        }
    }

    EventLoop &loop_;
    std::shared_ptr<ServerShared> shared_;
    tcp::acceptor acceptor_;
    std::unordered_map<ServerConnection *, ConnectionPtr> connections_;
    std::function<void()> whenNone_;
    TimerHandle sweepTimer_;
    Time lastMemoryReclaim_ {};
    Time lastPlaceReclaim_ {};
};

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, RequestHandler handler)
    : impl_(std::make_shared<Impl>(loop, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    impl_->shutDown();
}

Result<void> HttpServer::listen(const SocketAddress &address)
{
    return impl_->listen(address);
}

SocketAddress HttpServer::address() const
{
    return impl_->address();
}

void HttpServer::stopAccepting()
{
    impl_->stopAccepting();
}

void HttpServer::closeBetweenRequests(std::function<void()> whenNone)
{
    impl_->closeBetweenRequests(std::move(whenNone));
}

void HttpServer::closeAll()
{
    impl_->closeAll();
}

void HttpServer::makeRoom(std::size_t bytes)
{
    impl_->makeRoom(bytes, nullptr);
}

HttpServerCounters HttpServer::counters() const
{
    return impl_->counters();
}

} // namespace lacewing::net
