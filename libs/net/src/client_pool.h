#pragma once

#include "client_connection.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace lacewing::net
{

/** The connections of one client by address: which are idle, and how many there are. */
class ClientPool
{
public:
    using ConnectionPtr = std::shared_ptr<ClientConnection>;

    ClientPool(EventLoop &loop, HttpClientOptions options);
    ~ClientPool();
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;

    /** Takes an idle connection out of the pool for a call; null when none may be used. */
    ConnectionPtr takeIdle(const HttpCall &call);
    /** Makes a connection that isn't connected yet; null when over a bound. */
    ConnectionPtr open(const std::string &address);
    /** Puts a connection back after a whole response. */
    void giveBack(ConnectionPtr connection);
    /** Closes a connection that can't be reused. */
    void discard(const ConnectionPtr &connection);
    /** Closes a connection whose call has not ended; of its request nothing more is sent. */
    void abort(const ConnectionPtr &connection);
    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);
    /** Closes all idle connections. */
    void closeIdle();

    const HttpClientOptions &options() const noexcept
    {
        return options_;
    }
    HttpClientCounters &counters() noexcept
    {
        return shared_->value;
    }
    const HttpClientCounters &counters() const noexcept
    {
        return shared_->value;
    }

private:
    struct Address {
        std::deque<ConnectionPtr> idle; ///< longest idle first
        std::size_t open = 0;
    };
    /** Shared with the connections, which may close after the pool is gone. */
    struct Shared {
        HttpClientCounters value;
        std::unordered_map<std::string, Address> addresses;
    };

    bool makeRoom(const std::string &address);
    void sweep(Time now);
    static void gone(Shared &shared, const std::string &address);

    EventLoop &loop_;
    HttpClientOptions options_;
    std::shared_ptr<Shared> shared_;
    TimerHandle sweepTimer_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace lacewing::net
