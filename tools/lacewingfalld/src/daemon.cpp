#include "daemon.h"

#include <boost/outcome/try.hpp>
#include <csignal>

namespace lacewing::daemon
{
namespace
{

constexpr Duration jobCheckInterval = 20ms;

} // namespace

Daemon::Daemon(DaemonContext &context)
    : context_(context)
    , signals_(loop_.ioContext(), SIGTERM, SIGINT, SIGHUP)
{
    ControlHandlers handlers;
    handlers.onLeave = [this] { loop_.post([this] { beginStop(); }); };
    handlers.onSuperseded = [this] { loop_.post([this] { beginStop(); }); };
    control_ = std::make_unique<ControlThread>(context, std::move(handlers));
    const auto threads = static_cast<std::uint32_t>(context.settings.traffic.threads);
    for (std::uint32_t index = 0; index < threads; ++index) {
        traffic_.push_back(std::make_unique<TrafficThread>(context, index, threads));
    }
}

Daemon::~Daemon() = default;

Result<void> Daemon::listen()
{
    BOOST_OUTCOME_TRYV(control_->listen());
    BOOST_OUTCOME_TRY(address, net::parseAddress(context_.settings.listen.publicHttp));
    for (const auto &thread : traffic_) {
        BOOST_OUTCOME_TRYV(thread->listen(address));
        address = thread->address();
    }
    return success();
}

int Daemon::run()
{
    waitForSignal();
    for (const auto &thread : traffic_) {
        thread->start(*control_, traffic_);
    }
    control_->start(traffic_);
    context_.logger->state("started",
                           { { "vm", context_.settings.vm.name },
                             { "zone", context_.settings.vm.zone },
                             { "public", net::toText(traffic_.front()->address()) } });
    loop_.run();
    for (const auto &thread : traffic_) {
        thread->stop();
    }
    control_->stop();
    for (const auto &thread : traffic_) {
        thread->join();
    }
    control_->join();
    context_.logger->state("stopped", { { "vm", context_.settings.vm.name }, { "exit_code", exitCode_ } });
    return exitCode_;
}

void Daemon::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            onSignal(signal);
            waitForSignal();
        }
    });
}

void Daemon::onSignal(int signal)
{
    if (signal == SIGHUP) {
        control_->reloadKeys();
    } else if (!stopping_) {
        beginStop();
    } else {
        loop_.timers().cancel(noticeTimer_);
        stopAdmitting();
    }
}

void Daemon::beginStop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    const Time now = loop_.clock().now();
    stopLimit_ = now + context_.settings.stop.limit;
    context_.logger->state("leaving", { { "vm", context_.settings.vm.name } });
    control_->beginLeaving();
    noticeTimer_ = loop_.timers().once(now + context_.settings.stop.notice, [this](Time) { stopAdmitting(); });
}

void Daemon::stopAdmitting()
{
    if (!admitting_) {
        return;
    }
    admitting_ = false;
    context_.logger->state("admitting no more", { { "vm", context_.settings.vm.name } });
    for (const auto &thread : traffic_) {
        thread->beginStop();
    }
    loop_.timers().every(loop_.clock().now() + jobCheckInterval, jobCheckInterval, [this](Time) { waitForJobs(); });
}

void Daemon::waitForJobs()
{
    std::size_t open = 0;
    for (const auto &thread : traffic_) {
        open += thread->running() + thread->openRequests();
    }
    const bool overLimit = loop_.clock().now() >= stopLimit_;
    if (open == 0 || overLimit) {
        finish(open == 0 ? 0 : 1);
    }
}

void Daemon::finish(int exitCode)
{
    if (finishing_) {
        return;
    }
    finishing_ = true;
    exitCode_ = exitCode;
    control_->finish([this] { loop_.stop(); });
}

} // namespace lacewing::daemon
