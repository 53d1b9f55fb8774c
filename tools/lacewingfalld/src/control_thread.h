#pragma once

#include "daemon_context.h"
#include "mailbox.h"
#include "wake_timer.h"

#include <endpoint/endpoint.h>
#include <net/net.h>
#include <peer/peer.h>
#include <platform/platform.h>

#include <map>
#include <thread>

namespace lacewing::daemon
{

class OperatorApi;
class TrafficThread;

/** What the main program does when the control thread asks for it. */
struct ControlHandlers {
    std::function<void()> onLeave; ///< start the graceful stop
    std::function<void()> onSuperseded; ///< stop at once
};

/**
 * The thread that owns the control state: its event loop, links to other VMs and to the platform, the operators' HTTP
 * server, and the ControlCore.
 */
class ControlThread
{
public:
    ControlThread(const DaemonContext &context, ControlHandlers handlers);
    ~ControlThread();

    /** Listens for peers and operators; before start(). */
    Result<void> listen();
    void start(const std::vector<std::unique_ptr<TrafficThread>> &traffic);
    void stop();
    void join();

    /** Gives the core an event. Thread-safe. */
    void put(core::ControlEvent event);
    /** Calls the VM at this peer address; the handlers run on the control thread. Thread-safe. */
    void forward(std::string address, const PeerCall &call, ForwardHandlers handlers);
    /** Gives the core an event at once; on the control thread. */
    void handle(const core::ControlEvent &event);
    /** Marks this VM as leaving and fails the balancer's check. Thread-safe. */
    void beginLeaving();
    /** Writes what is pending, says goodbye and closes the links; then calls back on the control thread. Thread-safe.
     */
    void finish(std::function<void()> whenDone);
    /** Reads the keys for peer links again. Thread-safe. */
    void reloadKeys();

    const core::ControlCore &core() const noexcept
    {
        return core_;
    }
    net::EventLoop &loop() noexcept
    {
        return loop_;
    }
    bool isReady() const noexcept
    {
        return ready_.load();
    }
    bool isLeaving() const noexcept
    {
        return leaving_.load();
    }
    platform::PlatformClient &platform() noexcept
    {
        return *platform_;
    }
    const std::vector<std::unique_ptr<TrafficThread>> &traffic() const noexcept
    {
        return *traffic_;
    }
    peer::PeerCounters peerCounters() const
    {
        return peers_->counters();
    }

private:
    /** An endpoint whose load this VM polls. */
    struct Watched {
        std::string address;
        std::uint64_t nextCacheEvent = 0;
        Incarnation incarnation;
    };

    void run();
    void carryOut(core::ControlEffect &effect);
    void on(core::SendPeer &effect);
    void on(core::AskLog &effect);
    void on(core::WatchEndpoint &effect);
    void on(core::UnwatchEndpoint &effect);
    void on(core::TellJobs &effect);
    void on(core::GiveOrder &effect);
    void on(core::ChangeSettled &effect);
    void on(core::TicketMinted &effect);
    void on(core::LeaveAsked &effect);
    void on(core::Superseded &effect);
    void on(core::BecameReady &effect);
    void on(core::StateChange &effect);
    void readList();
    void registerSelf();
    void takeList(const platform::VmList &list);
    void giveSeeds();
    void pollEndpoints();
    void pollLoad(const EndpointId &endpoint, const std::string &address);
    void pollCache(const EndpointId &endpoint);
    void onPeerMessage(const peer::PeerIdentity &from, const std::string &bytes);
    void onPeerCall(peer::PeerCallWriter writer, const std::string &bytes);
    void giveToThread(const JobId &job,
                      std::function<core::JobEvent(core::RequestId)> makeEvent,
                      peer::PeerCallWriter writer);
    void waitForWrites(Time giveUpAt, std::function<void()> whenDone);
    std::string publicPeerAddress() const;

    const DaemonContext &context_;
    ControlHandlers handlers_;
    net::EventLoop loop_;
    core::ControlCore core_;
    std::unique_ptr<peer::PeerNetwork> peers_;
    std::unique_ptr<platform::PlatformClient> platform_;
    std::unique_ptr<endpoint::EndpointClient> endpoints_;
    std::unique_ptr<OperatorApi> api_;
    std::unique_ptr<net::HttpServer> server_;
    Mailbox<core::ControlEvent> events_;
    const std::vector<std::unique_ptr<TrafficThread>> *traffic_ = nullptr;
    std::thread thread_;
    std::map<EndpointId, Watched> watched_;
    WakeTimer timer_ { loop_, [this] { handle(core::Tick {}); } };
    std::atomic<bool> ready_ { false };
    std::atomic<bool> leaving_ { false };
};

} // namespace lacewing::daemon
