#include <peer/peer.h>

#include "call_table.h"
#include "identity.h"
#include "incoming_link.h"
#include "route.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <set>

namespace lacewing::peer
{

using boost::system::error_code;

namespace
{

/** Wait after a failed accept, for example for want of file descriptors. */
constexpr Duration acceptRetry = std::chrono::milliseconds(100);
/** Idle links are looked for this many times within the idle time. */
constexpr int sweepsPerIdleTime = 4;

Result<Tcp::endpoint> toEndpoint(const net::SocketAddress &address)
{
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (error) {
        return failure(ErrorKind::InvalidArgument, "not an IP address: " + address.ip);
    }
    return Tcp::endpoint(ip, address.port);
}

} // namespace

class PeerNetwork::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(net::EventLoop &loop, PeerOptions options, PeerHandlers handlers)
        : loop_(loop)
        , options_(std::move(options))
        , handlers_(std::move(handlers))
        , identityHeaders_(identityHeaders(options_.identity()))
        , linkContext_ { loop_, options_, counters, identityHeaders_ }
        , calls_(std::make_shared<CallTable>(linkContext_))
        , acceptor_(loop.ioContext())
    {
    }

    Result<void> listen(const net::SocketAddress &address);
    net::SocketAddress address() const;
    Result<void> reloadKeys();
    void send(const std::string &address, std::string message);
    PeerCallHandle call(const std::string &address, std::string request, CallLimits limits, CallHandlers handlers);
    void cancel(PeerCallHandle handle)
    {
        calls_->cancel(handle);
    }
    void close(std::function<void()> whenNone);
    /** Drops everything at once. */
    void shutDown();

    PeerCounters counters;

private:
    Result<void> openAcceptor(const Tcp::endpoint &endpoint);
    void acceptNext();
    void accepted(Tcp::socket socket);
    void scheduleSweep();
    void sweep();
    Result<Route *> routeTo(const std::string &address);
    RouteContext routeContext();
    void checkClosed();

    net::EventLoop &loop_;
    PeerOptions options_;
    PeerHandlers handlers_;
    net::Headers identityHeaders_;
    LinkContext linkContext_;
    TlsContext tls_;
    std::shared_ptr<CallTable> calls_;
    Tcp::acceptor acceptor_;
    std::map<std::string, std::unique_ptr<Route>> routes_;
    std::set<std::shared_ptr<IncomingLink>> incoming_;
    std::function<void()> whenNone_;
    TimerHandle sweepTimer_;
    TimerHandle acceptTimer_;
    bool isClosing_ = false;
    bool isShutDown_ = false;
};

Result<void> PeerNetwork::Impl::reloadKeys()
{
    if (options_.isPlain() == options_.keyFiles().has_value()) {
        return failure(ErrorKind::InvalidArgument, "either TLS or plain links must be chosen");
    }
    if (options_.isPlain()) {
        return success();
    }
    auto context = makeTlsContext(*options_.keyFiles());
    if (!context) {
        return boost::outcome_v2::failure(context.error());
    }
    tls_ = std::move(context.value());
    return success();
}

Result<void> PeerNetwork::Impl::listen(const net::SocketAddress &address)
{
    if (auto loaded = reloadKeys(); !loaded) {
        return loaded;
    }
    const auto endpoint = toEndpoint(address);
    if (!endpoint) {
        return boost::outcome_v2::failure(endpoint.error());
    }
    if (auto opened = openAcceptor(endpoint.value()); !opened) {
        return opened;
    }
    acceptNext();
    scheduleSweep();
    return success();
}

Result<void> PeerNetwork::Impl::openAcceptor(const Tcp::endpoint &endpoint)
{
    error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(Tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        const bool isTaken = error == boost::asio::error::address_in_use;
        return failure(isTaken ? ErrorKind::AddressInUse : ErrorKind::Io, error.message());
    }
    return success();
}

net::SocketAddress PeerNetwork::Impl::address() const
{
    error_code error;
    const auto endpoint = acceptor_.local_endpoint(error);
    return error ? net::SocketAddress {} : net::SocketAddress { endpoint.address().to_string(), endpoint.port() };
}

void PeerNetwork::Impl::acceptNext()
{
    acceptor_.async_accept([weak = weak_from_this()](const error_code &error, Tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || self->isShutDown_ || !self->acceptor_.is_open()) {
            return;
        }
        if (error) {
            self->acceptTimer_ = self->loop_.timers().once(self->loop_.clock().now() + acceptRetry,
                                                           [self = self.get()](Time) { self->acceptNext(); });
            return;
        }
        self->accepted(std::move(socket));
        self->acceptNext();
    });
}

void PeerNetwork::Impl::accepted(Tcp::socket socket)
{
    if (incoming_.size() >= options_.maxConnections()) {
        ++counters.refused;
        return;
    }
    const IncomingContext context { linkContext_, handlers_, [this](IncomingLink &link) {
                                       incoming_.erase(link.shared_from_this());
                                       checkClosed();
                                   } };
    const auto link = std::make_shared<IncomingLink>(context, std::make_shared<Transport>(std::move(socket), tls_));
    incoming_.insert(link);
    link->accept();
}

void PeerNetwork::Impl::scheduleSweep()
{
    const auto period = std::max(options_.idleTime() / sweepsPerIdleTime, Duration(1ms));
    sweepTimer_ = loop_.timers().every(loop_.clock().now() + period, period, [this](Time) { sweep(); });
}

void PeerNetwork::Impl::sweep()
{
    for (const auto &[address, route] : routes_) {
        route->sweep();
    }
    std::erase_if(routes_, [](const auto &entry) { return entry.second->isEmpty(); });
    const auto links = incoming_;
    for (const auto &link : links) {
        link->sweep();
    }
}

RouteContext PeerNetwork::Impl::routeContext()
{
    return { linkContext_, *calls_, [this] { return tls_; }, [this] { checkClosed(); } };
}

Result<Route *> PeerNetwork::Impl::routeTo(const std::string &address)
{
    if (const auto found = routes_.find(address); found != routes_.end()) {
        return found->second.get();
    }
    const auto parsed = net::parseAddress(address);
    if (!parsed) {
        return boost::outcome_v2::failure(parsed.error());
    }
    const auto endpoint = toEndpoint(parsed.value());
    if (!endpoint) {
        return boost::outcome_v2::failure(endpoint.error());
    }
    auto route = std::make_unique<Route>(routeContext(), address, endpoint.value());
    return routes_.emplace(address, std::move(route)).first->second.get();
}

void PeerNetwork::Impl::send(const std::string &address, std::string message)
{
    const bool isTooLarge = message.size() > options_.maxMessageBytes();
    auto route = routeTo(address);
    if (isClosing_ || isTooLarge || !route) {
        ++counters.messagesDropped;
        return;
    }
    route.value()->send(std::move(message));
}

PeerCallHandle PeerNetwork::Impl::call(const std::string &address,
                                       std::string request,
                                       CallLimits limits,
                                       CallHandlers handlers)
{
    const bool isTooLarge = request.size() > options_.maxMessageBytes();
    const auto call = calls_->add(std::move(request), limits, std::move(handlers));
    const auto route = routeTo(address);
    if (isClosing_) {
        calls_->failLater(call, { ErrorKind::Refused, "the network is being closed" }, false);
    } else if (isTooLarge) {
        calls_->failLater(call, { ErrorKind::TooLarge, "request over the bound" }, false);
    } else if (!route) {
        calls_->failLater(call, { ErrorKind::Unreachable, route.error().detail }, false);
    } else {
        route.value()->add(call);
    }
    return call->handle;
}

void PeerNetwork::Impl::close(std::function<void()> whenNone)
{
    isClosing_ = true;
    whenNone_ = std::move(whenNone);
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto &link : incoming_) {
        link->announceGoAway();
    }
    for (const auto &[address, route] : routes_) {
        route->close();
    }
    checkClosed();
}

void PeerNetwork::Impl::checkClosed()
{
    if (!isClosing_) {
        return;
    }
    loop_.post([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->isShutDown_ && self->counters.outgoingLinks + self->counters.incomingLinks == 0) {
            if (const auto callback = std::exchange(self->whenNone_, {})) {
                callback();
            }
        }
    });
}

void PeerNetwork::Impl::shutDown()
{
    isShutDown_ = true;
    loop_.timers().cancel(sweepTimer_);
    loop_.timers().cancel(acceptTimer_);
    error_code ignored;
    acceptor_.close(ignored);
    routes_.clear();
    incoming_.clear();
    calls_.reset();
}

PeerNetwork::PeerNetwork(net::EventLoop &loop, PeerOptions options, PeerHandlers handlers)
    : impl_(std::make_shared<Impl>(loop, std::move(options), std::move(handlers)))
{
}

PeerNetwork::~PeerNetwork()
{
    impl_->shutDown();
}

Result<void> PeerNetwork::listen(const net::SocketAddress &address)
{
    return impl_->listen(address);
}

net::SocketAddress PeerNetwork::address() const
{
    return impl_->address();
}

Result<void> PeerNetwork::reloadKeys()
{
    return impl_->reloadKeys();
}

void PeerNetwork::send(const std::string &address, std::string message)
{
    impl_->send(address, std::move(message));
}

PeerCallHandle PeerNetwork::call(const std::string &address,
                                 std::string request,
                                 CallLimits limits,
                                 CallHandlers handlers)
{
    return impl_->call(address, std::move(request), limits, std::move(handlers));
}

void PeerNetwork::cancel(PeerCallHandle handle)
{
    impl_->cancel(handle);
}

void PeerNetwork::close(std::function<void()> whenNone)
{
    impl_->close(std::move(whenNone));
}

PeerCounters PeerNetwork::counters() const
{
    return impl_->counters;
}

} // namespace lacewing::peer
