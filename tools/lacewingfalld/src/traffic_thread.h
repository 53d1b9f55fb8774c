#pragma once

#include "daemon_context.h"
#include "mailbox.h"
#include "wake_timer.h"

#include <endpoint/endpoint.h>
#include <net/net.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace lacewing::daemon
{

class ControlThread;
class PublicApi;

/** A request for a traffic thread, with where its answers go. */
struct SinkRequest {
    std::function<core::JobEvent(core::RequestId)> makeEvent;
    std::shared_ptr<AnswerSink> sink;
};

/**
 * One thread that carries jobs: its event loop, its public HTTP server, its calls to endpoints and its JobCore.
 *
 * All but start(), the put functions, running() and join() is used on the thread itself.
 */
class TrafficThread
{
public:
    TrafficThread(const DaemonContext &context, std::uint32_t index, std::uint32_t count);
    ~TrafficThread();

    /** Listens on the public address; before start(). Fails as net::HttpServer::listen(). */
    Result<void> listen(const net::SocketAddress &address);
    net::SocketAddress address() const;
    /** Starts the thread. */
    void start(ControlThread &control, const std::vector<std::unique_ptr<TrafficThread>> &all);
    void stop();
    void join();

    /** Gives the core an event. Thread-safe. */
    void put(core::JobEvent event);
    /** Gives the thread a request whose answers go to a sink. Thread-safe. */
    void putRequest(SinkRequest request);
    /** Stops taking jobs, and closes each connection once it has no request. Thread-safe. */
    void beginStop();

    /** Jobs that run; read from other threads. */
    std::size_t running() const noexcept
    {
        return running_.load();
    }
    /** Counters as of the last second. Thread-safe. */
    core::JobCounters counters() const;
    /** Requests whose answers are still going out. */
    std::size_t openRequests() const noexcept
    {
        return openRequests_.load();
    }
    std::uint32_t index() const noexcept
    {
        return index_;
    }
    net::EventLoop &loop() noexcept
    {
        return loop_;
    }
    const std::shared_ptr<const config::FleetConfig> &configuration() const noexcept
    {
        return configuration_;
    }
    const std::shared_ptr<const fleet::View> &view() const noexcept
    {
        return view_;
    }
    bool isStopping() const noexcept
    {
        return stopping_;
    }

    /** Registers a sink and gives the core the event made for it. */
    core::RequestId submit(const SinkRequest &request);
    /** The caller of a request is gone. */
    void callerGone(core::RequestId request);
    /** Answers a request about a job through the VM and thread that has it. */
    void route(const JobId &job, const PeerCall &call, SinkRequest local);
    /** Passes a call to the VM with this incarnation; its answers go to the sink. */
    void forward(Incarnation owner, const PeerCall &call, std::shared_ptr<AnswerSink> sink);
    /** Asks control for a ticket, and answers with it. */
    void mintTicket(const WorkspaceId &workspace, net::ResponseWriter writer);
    /** Control's answer to mintTicket(). Thread-safe. */
    void ticketMinted(core::RequestId request, Result<ledger::Ticket> ticket);
    ControlThread &control() noexcept
    {
        return *control_;
    }

private:
    /** A request whose reader can't take more at present. */
    struct Lagging {
        std::shared_ptr<AnswerSink> sink;
        JobId job;
    };

    void run();
    void handle(const core::JobEvent &event);
    void carryOut(core::JobEffect &effect);
    void on(core::StartCall &effect);
    void on(core::CancelCall &effect);
    void on(core::Accepted &effect);
    void on(core::Piece &effect);
    void on(core::Finished &effect);
    void on(core::Refuse &effect);
    void on(core::Forward &effect);
    void on(core::QueryAnswer &effect);
    template <typename ForControl>
    void on(ForControl &effect);
    void onStageEvent(endpoint::StageEvent event);
    void reattach(core::RequestId request);
    void countRequests();
    std::shared_ptr<AnswerSink> takeSink(core::RequestId request);
    void everySecond();
    void count(const core::JobEnded &ended);

    const DaemonContext &context_;
    std::uint32_t index_;
    std::uint32_t count_;
    net::EventLoop loop_;
    core::JobCore core_;
    std::unique_ptr<endpoint::EndpointClient> endpoints_;
    std::unique_ptr<PublicApi> api_;
    std::unique_ptr<net::HttpServer> server_;
    Mailbox<core::JobEvent> events_;
    Mailbox<SinkRequest> requests_;
    ControlThread *control_ = nullptr;
    const std::vector<std::unique_ptr<TrafficThread>> *all_ = nullptr;
    std::thread thread_;
    std::unordered_map<core::RequestId, std::shared_ptr<AnswerSink>> sinks_;
    std::unordered_map<core::RequestId, JobId> jobsOfRequests_;
    std::unordered_map<core::RequestId, Lagging> lagging_;
    std::unordered_map<core::RequestId, net::ResponseWriter> ticketRequests_;
    std::uint64_t lastRequest_ = 0;
    WakeTimer timer_ { loop_, [this] { handle(core::Tick {}); } };
    std::shared_ptr<const config::FleetConfig> configuration_;
    std::shared_ptr<const fleet::View> view_;
    bool stopping_ = false;
    std::atomic<std::size_t> running_ { 0 };
    std::atomic<std::size_t> openRequests_ { 0 };
    mutable std::mutex countersMutex_;
    core::JobCounters counters_;
};

} // namespace lacewing::daemon
