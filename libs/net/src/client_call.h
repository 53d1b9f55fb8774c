#pragma once

#include "client_pool.h"

namespace lacewing::net
{

/** One call from its start to its end, over one connection or, after a dead pooled one, two. */
class ClientCall final : public std::enable_shared_from_this<ClientCall>, private ConnectionListener
{
public:
    /** Takes the call out of the client's list and returns the list's reference to it. */
    using OnEnd = std::function<std::shared_ptr<ClientCall>(HttpCallHandle)>;
    /** Called when a call that has ended, or was cancelled, has no connection any more. */
    using OnClosed = std::function<void(const std::shared_ptr<ClientCall> &)>;

    ClientCall(EventLoop &loop,
               ClientPool &pool,
               HttpCallHandle handle,
               HttpCall call,
               HttpLimits limits,
               HttpHandlers handlers,
               OnEnd onEnd,
               OnClosed onClosed);

    void start();
    /** Ends the call without a callback but that for a late head. */
    void cancel();
    /** Ends the call without a callback, and closes its connection at once. */
    void giveUp();

private:
    enum class Phase : std::uint8_t { Connecting, Waiting, Receiving, Lingering, Ended };

    void connected(const std::optional<Error> &error) override;
    void progressed() override;
    void received(const HttpHead &head) override;
    void received(const std::string &body) override;
    void completed(CompletedResponse response) override;
    void failed(Error error) override;

    void connectFresh();
    void sendRequest();
    bool isIdentified(const ClientConnection &connection) const;
    bool mayRetry() const noexcept;
    void retryFresh();
    void end(std::optional<Error> error);
    void endLater(Error error);
    void closeConnection();
    void finishLingering();
    void count(const std::optional<Error> &error);
    Time deadline() const noexcept;
    void armTimer();
    void timerFired(Time now);

    EventLoop &loop_;
    ClientPool &pool_;
    HttpCallHandle handle_;
    HttpCall call_;
    HttpLimits limits_;
    HttpHandlers handlers_;
    OnEnd onEnd_;
    OnClosed onClosed_;
    ClientPool::ConnectionPtr connection_;
    Phase phase_ = Phase::Connecting;
    Time startedAt_;
    Time progressAt_; ///< start of the phase, or the last byte of the response
    TimerHandle timer_;
    Time timerDue_;
    bool pooled_ = false; ///< the connection served another call before
    bool written_ = false; ///< on an earlier connection
    bool headReceived_ = false;
    ConnectionNumber connectionNumber_; ///< of the last connection that the request was sent on
    std::uint32_t earlierCalls_ = 0; ///< of that connection
};

} // namespace lacewing::net
