#include "control_thread.h"

#include "operator_api.h"
#include "sink_adapters.h"
#include "traffic_thread.h"

#include <boost/outcome/try.hpp>
#include <wire/wire.h>

namespace lacewing::daemon
{
namespace
{

constexpr Duration listInterval = 1s;
constexpr Duration registerInterval = 5s;
constexpr Duration pollInterval = 1s;
/** Longest wait for charges and audit entries to reach the log at a stop. */
constexpr Duration writeLimit = 5s;
constexpr Duration writeCheckInterval = 50ms;
constexpr Duration closeLimit = 3s;

core::ControlCoreSettings coreSettings(const DaemonContext &context, const std::string &peerAddress, WallTime wall)
{
    core::ControlCoreSettings settings;
    settings.vm = context.settings.vm.name;
    settings.region = context.settings.vm.region;
    settings.zone = context.settings.vm.zone;
    settings.peerAddress = peerAddress;
    settings.incarnation = context.incarnation;
    settings.seed = hashBytes("control", context.seed);
    settings.wall = wall;
    settings.jobThreads = static_cast<std::uint32_t>(context.settings.traffic.threads);
    settings.claims.window = context.settings.claims.window;
    return settings;
}

peer::PeerOptions peerOptions(const DaemonContext &context)
{
    const settings::Settings &settings = context.settings;
    peer::PeerOptions options;
    options.identity({ settings.vm.name, settings.vm.zone, context.incarnation })
        .maxStreams(settings.bounds.streams)
        .maxQueuedMessages(settings.bounds.queue)
        .pingAfter(settings.peer.pingAfter)
        .pingDeadline(settings.peer.pingDeadline);
    if (settings.tls.enabled) {
        options.tls({ settings.tls.ca, settings.tls.certificate, settings.tls.key });
    } else {
        options.plain();
    }
    return options;
}

platform::HttpPlatformSettings platformSettings(const DaemonContext &context)
{
    platform::HttpPlatformSettings settings;
    settings.address = context.settings.platform.address;
    settings.zone = context.settings.vm.zone;
    settings.answer = context.settings.platform.requestTimeout;
    return settings;
}

endpoint::HttpEndpointSettings endpointSettings(const DaemonContext &context)
{
    endpoint::HttpEndpointSettings settings;
    settings.zone = context.settings.vm.zone;
    settings.control = pollInterval;
    return settings;
}

} // namespace

ControlThread::ControlThread(const DaemonContext &context, ControlHandlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , core_(coreSettings(context, publicPeerAddress(), loop_.clock().wallNow()), loop_.clock().now())
    , platform_(platform::makeHttpPlatformClient(loop_, platformSettings(context)))
    , endpoints_(endpoint::makeHttpEndpointClient(loop_, endpointSettings(context)))
    , api_(std::make_unique<OperatorApi>(*this, context))
    , events_(loop_, [this](const core::ControlEvent &event) { handle(event); })
{
    peer::PeerHandlers peerHandlers;
    peerHandlers.onMessage = [this](const peer::PeerIdentity &from, const std::string &bytes) {
        onPeerMessage(from, bytes);
    };
    peerHandlers.onCall = [this](const peer::PeerIdentity & /*from*/,
                                 peer::PeerCallWriter writer,
                                 const std::string &bytes) { onPeerCall(std::move(writer), bytes); };
    peers_ = std::make_unique<peer::PeerNetwork>(loop_, peerOptions(context), std::move(peerHandlers));
    server_ = std::make_unique<net::HttpServer>(
        loop_, net::HttpServerOptions(), [this](const net::HttpRequest &request, net::ResponseWriter writer) {
            api_->handle(request, std::move(writer));
        });
}

ControlThread::~ControlThread() = default;

std::string ControlThread::publicPeerAddress() const
{
    const settings::ListenSettings &listen = context_.settings.listen;
    return listen.peerAdvertised.empty() ? listen.peer : listen.peerAdvertised;
}

Result<void> ControlThread::listen()
{
    BOOST_OUTCOME_TRY(peerAddress, net::parseAddress(context_.settings.listen.peer));
    BOOST_OUTCOME_TRY(operatorAddress, net::parseAddress(context_.settings.listen.operators));
    BOOST_OUTCOME_TRYV(peers_->listen(peerAddress));
    BOOST_OUTCOME_TRYV(server_->listen(operatorAddress));
    return success();
}

void ControlThread::start(const std::vector<std::unique_ptr<TrafficThread>> &traffic)
{
    traffic_ = &traffic;
    thread_ = std::thread([this] { run(); });
}

void ControlThread::run()
{
    const Time now = loop_.clock().now();
    loop_.timers().every(now, listInterval, [this](Time) { readList(); });
    loop_.timers().every(now, registerInterval, [this](Time) { registerSelf(); });
    loop_.timers().every(now + pollInterval, pollInterval, [this](Time) { pollEndpoints(); });
    giveSeeds();
    handle(core::Tick {});
    loop_.run();
}

void ControlThread::stop()
{
    loop_.stop();
}

void ControlThread::join()
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

void ControlThread::put(core::ControlEvent event)
{
    events_.put(std::move(event));
}

void ControlThread::handle(const core::ControlEvent &event)
{
    const Clock &clock = loop_.clock();
    for (core::ControlEffect &effect : core_.handle(event, clock.now(), clock.wallNow())) {
        carryOut(effect);
    }
    timer_.arm(core_.nextWake());
}

void ControlThread::carryOut(core::ControlEffect &effect)
{
    std::visit([this](auto &each) { on(each); }, effect);
}

void ControlThread::on(core::SendPeer &effect)
{
    peers_->send(effect.address, wire::encode(effect.message));
}

void ControlThread::on(core::AskLog &effect)
{
    platform_->submit(std::move(effect.request),
                      [this](log::Answer answer) { handle(core::LogAnswered { std::move(answer) }); });
}

void ControlThread::on(core::WatchEndpoint &effect)
{
    watched_[effect.endpoint].address = effect.address;
}

void ControlThread::on(core::UnwatchEndpoint &effect)
{
    watched_.erase(effect.endpoint);
}

void ControlThread::on(core::TellJobs &effect)
{
    for (const auto &thread : *traffic_) {
        if (!effect.index || *effect.index == thread->index()) {
            thread->put(effect.event);
        }
    }
}

void ControlThread::on(core::GiveOrder &effect)
{
    endpoint::Order order;
    order.fencing = effect.fencing;
    order.models = std::move(effect.models);
    order.role = effect.role.value_or(config::StageKind::Generate);
    const EndpointId id = effect.endpoint;
    endpoints_->order(effect.address, order, [this, id](const Result<void> &result) {
        if (!result) {
            context_.logger->warn("order refused", { { "endpoint", id }, { "error", toText(result.error().kind) } });
        }
    });
}

void ControlThread::on(core::ChangeSettled &effect)
{
    api_->changeSettled(effect);
}

void ControlThread::on(core::TicketMinted &effect)
{
    (*traffic_)[effect.index]->ticketMinted(effect.request, effect.ticket);
}

void ControlThread::on(core::LeaveAsked & /*effect*/)
{
    handlers_.onLeave();
}

void ControlThread::on(core::Superseded & /*effect*/)
{
    context_.logger->error("another process runs under this VM's name", { { "vm", context_.settings.vm.name } });
    handlers_.onSuperseded();
}

void ControlThread::on(core::BecameReady & /*effect*/)
{
    ready_.store(true);
    context_.logger->state("ready", { { "vm", context_.settings.vm.name } });
}

void ControlThread::on(core::StateChange &effect)
{
    context_.logger->state(core::toText(effect.kind), { { "subject", effect.subject } });
}

void ControlThread::beginLeaving()
{
    leaving_.store(true);
    put(core::LeaveVm { context_.settings.vm.name, OperatorId("system") });
}

void ControlThread::finish(std::function<void()> whenDone)
{
    loop_.post([this, whenDone = std::move(whenDone)]() mutable {
        handle(core::Flush {});
        waitForWrites(loop_.clock().now() + writeLimit, std::move(whenDone));
    });
}

void ControlThread::waitForWrites(Time giveUpAt, std::function<void()> whenDone)
{
    const Time now = loop_.clock().now();
    if (core_.pendingWrites() > 0 && now < giveUpAt) {
        loop_.timers().once(now + writeCheckInterval, [this, giveUpAt, whenDone = std::move(whenDone)](Time) mutable {
            waitForWrites(giveUpAt, std::move(whenDone));
        });
        return;
    }
    handle(core::StopNow {});
    auto done = std::make_shared<std::function<void()>>(std::move(whenDone));
    const auto once = [done] {
        if (*done) {
            std::exchange(*done, nullptr)();
        }
    };
    peers_->close(once);
    loop_.timers().once(now + closeLimit, [once](Time) { once(); });
}

void ControlThread::reloadKeys()
{
    loop_.post([this] {
        const auto reloaded = peers_->reloadKeys();
        if (reloaded) {
            context_.logger->state("keys reloaded");
        } else {
            context_.logger->error("keys not reloaded", { { "error", toText(reloaded.error().kind) } });
        }
    });
}

} // namespace lacewing::daemon
