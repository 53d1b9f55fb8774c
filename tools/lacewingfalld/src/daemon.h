#pragma once

#include "control_thread.h"
#include "daemon_context.h"
#include "traffic_thread.h"

#include <boost/asio/signal_set.hpp>

namespace lacewing::daemon
{

/**
 * The whole process: one control thread, the traffic threads, and the graceful stop.
 *
 * A stop fails the balancer's check, goes on accepting until the balancer has noticed, refuses new jobs, lets all jobs
 * end, writes what is pending, tells the other VMs and ends. SIGTERM or an operator starts it; a second SIGTERM skips
 * the wait for the balancer. SIGHUP reads the keys for peer links again.
 */
class Daemon
{
public:
    explicit Daemon(DaemonContext &context);
    ~Daemon();

    /** Opens all listeners. Fails as net::HttpServer::listen() and peer::PeerNetwork::listen(). */
    Result<void> listen();
    /** Runs until the stop is complete. @return exit code: 0, or 1 when jobs were cut by the limit of the stop */
    int run();

private:
    void waitForSignal();
    void onSignal(int signal);
    void beginStop();
    void stopAdmitting();
    void waitForJobs();
    void finish(int exitCode);

    DaemonContext &context_;
    net::EventLoop loop_;
    boost::asio::signal_set signals_;
    std::unique_ptr<ControlThread> control_;
    std::vector<std::unique_ptr<TrafficThread>> traffic_;
    bool stopping_ = false;
    bool admitting_ = true;
    bool finishing_ = false;
    Time stopLimit_;
    TimerHandle noticeTimer_;
    int exitCode_ = 0;
};

} // namespace lacewing::daemon
