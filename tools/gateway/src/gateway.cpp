#include "gateway.h"

#include <boost/outcome/try.hpp>

#include <csignal>

namespace lacewing::gateway
{
namespace
{

/** A reused prompt part counts as kept for this time after its last use. */
constexpr Duration prefixLife = 6s;
/** The platform checks once a second and takes a VM out after two misses: that long new connections still come. */
constexpr Duration noticeTime = 2500ms;
/** Before the kill, what still runs is ended by this much earlier. */
constexpr Duration killMargin = 300ms;
constexpr Duration stopCheckPeriod = 50ms;
constexpr Duration housekeepingPeriod = 5s;
/** Ports after the one of the VMs' links. */
constexpr std::uint16_t metricsPortOffset = 1;
/** Unused connections of callers: longer than any desired state lets them stay unused. */
constexpr Duration callerIdleTime = 120s;
/** Connections to one endpoint; the services' own bounds are kept by the choice of endpoints. */
constexpr std::size_t maxPerEndpoint = 256;
constexpr std::size_t descriptorsKeptForLinks = 1'000;

net::HttpServerOptions callerOptions(const Context &context)
{
    const std::size_t connections = context.settings.maxFileDescriptors / 2;
    return net::HttpServerOptions()
        .maxHeaderBytes(std::size_t(64) << 10U)
        .maxBodyBytes(std::size_t(8) << 20U)
        .maxConnections(std::max<std::size_t>(connections, 64))
        .idleTime(callerIdleTime);
}

net::HttpClientOptions endpointOptions(const Context &context)
{
    const std::size_t descriptors = context.settings.maxFileDescriptors / 2;
    return net::HttpClientOptions()
        .maxPerAddress(maxPerEndpoint)
        .maxConnections(std::max<std::size_t>(descriptors, descriptorsKeptForLinks) - descriptorsKeptForLinks / 2)
        .keepIdle(8s);
}

} // namespace

Gateway::Gateway(Context &context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
    , signals_(context.loop.ioContext(), SIGTERM, SIGINT, SIGHUP)
    , links_(context, fleetHandlers())
    , state_(context, links_, [this] { viewChanged(); })
    , pieces_(context, links_, state_, random_.next())
    , client_(context.loop, endpointOptions(context))
    , chooser_(random_.next())
    , prefixes_(prefixLife)
    , decisions_(context.logger)
    , shared_ { context, links_, state_, pieces_, client_, chooser_, prefixes_, suspects_, decisions_, random_ }
    , callers_(context.loop,
               callerOptions(context),
               [this](net::HttpRequest request, net::ResponseWriter writer) {
                   std::make_shared<RequestRun>(shared_, std::move(request), std::move(writer))->start();
               })
    , readiness_(context.loop,
                 net::HttpServerOptions().maxConnections(64),
                 [this](const net::HttpRequest &request, net::ResponseWriter writer) {
                     answerReadiness(request, std::move(writer));
                 })
    , metrics_(context.loop,
               net::HttpServerOptions().maxConnections(16),
               [this](const net::HttpRequest &, net::ResponseWriter writer) {
                   writer.respond(net::status::ok,
                                  { { "Content-Type", "text/plain; version=0.0.4" } },
                                  context_.metrics.exposition());
               })
{
}

Result<void> Gateway::listen()
{
    const auto &settings = context_.settings;
    BOOST_OUTCOME_TRYV(links_.listen());
    BOOST_OUTCOME_TRYV(readiness_.listen(settings.readinessAddress));
    BOOST_OUTCOME_TRYV(callers_.listen(settings.callerAddress));
    const auto metricsPort = static_cast<std::uint16_t>(settings.firstInternalPort + metricsPortOffset);
    return metrics_.listen({ settings.ip, metricsPort });
}

int Gateway::run()
{
    waitForSignal();
    state_.start();
    context_.loop.timers().every(context_.now() + housekeepingPeriod, housekeepingPeriod, [this](Time now) {
        chooser_.prune(state_.endpoints());
        prefixes_.expire(now);
        suspects_.expire(now);
        shared_.refused.expire(now);
        shared_.crashes.expire(now);
    });
    context_.loop.run();
    return 0;
}

void Gateway::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            // What this process takes from its settings stays the same while it runs.
            context_.logger.state("settings changed", { { "taken", false } });
        } else {
            beginStop();
        }
        waitForSignal();
    });
}

void Gateway::beginStop()
{
    if (stopAt_) {
        return;
    }
    stopAt_ = context_.now();
    context_.logger.state("stopping", { { "vm", context_.settings.vm }, { "open", shared_.open.size() } });
    links_.leave();
    state_.leave([] {});
    callers_.closeBetweenRequests([] {});
    context_.loop.timers().every(context_.now() + stopCheckPeriod, stopCheckPeriod, [this](Time) { closeWhenQuiet(); });
}

void Gateway::closeWhenQuiet()
{
    const Duration since = context_.now() - *stopAt_;
    if (!closing_ && since >= noticeTime) {
        closing_ = true;
        callers_.stopAccepting();
    }
    const bool isQuiet = closing_ && shared_.open.empty() && pieces_.pending() == 0 && callers_.counters().open == 0;
    if (isQuiet || since >= context_.settings.stopGracePeriod - killMargin) {
        context_.logger.state(
            "stopped",
            { { "vm", context_.settings.vm }, { "open", shared_.open.size() }, { "after_ms", toMilliseconds(since) } });
        context_.loop.stop();
    }
}

void Gateway::answerReadiness(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (!userplatform::isReadinessCheck(request)) {
        writer.respond(net::status::notFound, {}, {});
        return;
    }
    const bool isReady = state_.isKnown() && !stopAt_;
    writer.respond(isReady ? net::status::ok : net::status::unavailable, {}, {});
}

void Gateway::viewChanged()
{
    if (state_.isKnown() && !wasKnown_) {
        wasKnown_ = true;
        context_.logger.state("ready", { { "vm", context_.settings.vm } });
    }
    pieces_.refresh();
}

FleetHandlers Gateway::fleetHandlers()
{
    FleetHandlers handlers;
    handlers.onRelease = [this](const ReleaseMessage &message) { pieces_.serve(message); };
    handlers.onSuspect = [this](const SuspectMessage &message) {
        suspects_.merge(Fingerprint(message.fingerprint), static_cast<int>(message.crashes), context_.now());
    };
    handlers.onPieces = [this](PiecesRequest request, peer::PeerCallWriter writer) {
        pieces_.serve(std::move(request), std::move(writer));
    };
    handlers.onRecordsPushed = [this](const VmId &from, const RecordsPush &push) { state_.pushed(from, push); };
    handlers.onRecords = [this](const RecordsRequest &request, peer::PeerCallWriter writer) {
        state_.answer(request, std::move(writer));
    };
    handlers.onBeacon = [this](const VmId &vm, const Beacon &beacon) {
        state_.heard(vm, beacon);
        pieces_.heard(vm, beacon.loads);
        std::vector<dispatch::Rejection> refused;
        for (const auto &message : beacon.refused) {
            refused.push_back(
                { Fingerprint(message.fingerprint), context_.now() - std::chrono::milliseconds(message.firstTryMs) });
        }
        shared_.refused.merge(refused, context_.now());
    };
    handlers.fill = [this](Beacon &beacon) {
        beacon.loads = pieces_.loads();
        beacon.refused.clear();
        for (const auto &refusal : shared_.refused.takeUnpublished()) {
            beacon.refused.push_back(
                { refusal.request.value(), toMilliseconds(context_.now() - refusal.firstAttemptAt) });
        }
    };
    handlers.onMembersChanged = [this] { pieces_.refresh(); };
    return handlers;
}

} // namespace lacewing::gateway
