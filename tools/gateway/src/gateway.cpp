#include "gateway.h"

#include <memory/memory.h>

#include <boost/outcome/try.hpp>

#include <csignal>

namespace lacewing::gateway
{
namespace
{

/** Time after its last use for which a prompt part counts as cached by an engine. */
constexpr Duration prefixRetention = 6s;
/** Time for which new connections are accepted after a stop signal: the platform checks readiness once per second, and
 * removes a VM after two failed checks. */
constexpr Duration drainNoticeTime = 2500ms;
constexpr Duration stopCheckInterval = 50ms;
constexpr Duration housekeepingInterval = 5s;
/** Offset of the metrics port from the port for links between VMs. */
constexpr std::uint16_t metricsPortOffset = 1;
/** Time for the head of a request; longer than the timeout in any desired state. */
constexpr Duration callerHeadTimeout = 60s;
/** Idle timeout of caller connections; longer than the timeout in any desired state. */
constexpr Duration callerIdleTimeout = 120s;
/** Connections to one endpoint; the limits of services are enforced when an endpoint is selected. */
constexpr std::size_t maxConnectionsPerEndpoint = 256;
constexpr std::size_t maxBodyBytes = std::size_t(8) << 20U;
/** When the caller of a body that found no room may come back, and the fraction of the jitter. A body is often refused
 * after it was sent in part, so that an early return costs more than that of a small request. */
constexpr Duration bodyRetryAfter = 1s;
constexpr double bodyRetryAfterJitter = 0.5;

net::HttpClientOptions endpointOptions(const Context &context, EndpointConnectionLog &log)
{
    return net::HttpClientOptions()
        .maxPerAddress(maxConnectionsPerEndpoint)
        .maxConnections(memory::shareDescriptors(context.settings.maxFileDescriptors).endpoints)
        .keepIdle(8s)
        .reuseOnlyIdentified(true)
        .observer([&log](const net::HttpClientEvent &event) { log.write(event); });
}

} // namespace

Gateway::Gateway(Context &context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
    , signals_(context.loop.ioContext(), SIGTERM, SIGINT, SIGHUP)
    , links_(context, makeFleetHandlers(), random_.next())
    , state_(context,
             links_,
             random_.next(),
             [this] { handleStateChange(); },
             { [this](std::string_view name, const std::string &bytes) { handleQuarantineRead(name, bytes); },
               [this](const std::set<std::string> &stored) {
                   poisonPrompts_.restoreStored(stored);
                   poisonRequests_.restoreStored(stored);
               } })
    , notices_(context, links_, state_)
    , connectionLog_(context)
    , client_(context.loop, endpointOptions(context, connectionLog_))
    , reachability_(context, state_, notices_, client_, random_.next(), [this] { handleReachabilityChange(); })
    , relayPeers_(context, links_, notices_, random_.next())
    , poisonPrompts_(context, links_, state_, random_.next(), [this] { handlePartsQuarantined(); })
    , poisonRequests_(context, links_, state_, notices_, reachability_, poisonPrompts_)
    , streamOrigins_(context, links_, state_)
    , pieces_(context, links_, state_, notices_, reachability_, poisonRequests_, random_.next())
    , loadBalancer_(random_.next())
    , prefixCache_(prefixRetention)
    , decisionLog_(context.logger)
    , shared_ { context,
                links_,
                state_,
                notices_,
                reachability_,
                relayPeers_,
                pieces_,
                client_,
                loadBalancer_,
                prefixCache_,
                poisonRequests_,
                poisonPrompts_,
                streamOrigins_,
                decisionLog_,
                random_,
                std::make_shared<MemoryBudget>(memory::shareMemory(context.settings.memoryBytes).forOthers),
                memory::shareMemory(context.settings.memoryBytes).largestAnswer,
                [this](std::size_t bytes) { callerServer_.makeRoom(bytes); } }
    , relayService_(shared_)
    , callerServer_(context.loop,
                    callerOptions(),
                    [this](net::HttpRequest request, net::ResponseWriter writer) {
                        const auto handler = std::make_shared<RequestHandler>(shared_, std::move(request), writer);
                        if (!state_.isConfirmationPending()) {
                            handler->start();
                            return;
                        }
                        state_.onConfirmed([handler, writer = std::move(writer)] {
                            if (writer.isOpen()) {
                                handler->start();
                            }
                        });
                    })
    , readinessServer_(context.loop,
                       net::HttpServerOptions().maxConnections(64),
                       [this](const net::HttpRequest &request, net::ResponseWriter writer) {
                           handleReadinessCheck(request, std::move(writer));
                       })
    , metricsServer_(context.loop,
                     net::HttpServerOptions().maxConnections(16),
                     [this](const net::HttpRequest &, net::ResponseWriter writer) {
                         updateMetrics();
                         writer.respond(net::status::ok,
                                        { { "Content-Type", "text/plain; version=0.0.4" } },
                                        context_.metrics.exposition());
                     })
{
}

net::HttpServerOptions Gateway::callerOptions()
{
    return net::HttpServerOptions()
        .maxHeaderBytes(std::size_t(64) << 10U)
        .maxBodyBytes(std::min(maxBodyBytes, shared_.memory->largestBuffer()))
        .memoryBudget(shared_.memory, [this](const net::HttpRequest &request) { return handleMemoryShort(request); })
        .maxConnections(memory::shareDescriptors(context_.settings.maxFileDescriptors).callers)
        .maxPendingBytes(shared_.maxAnswerBytes)
        .headTime(callerHeadTimeout)
        .idleTime(callerIdleTimeout);
}

net::Headers Gateway::handleMemoryShort(const net::HttpRequest &request)
{
    const auto metadata = userplatform::parseRequestMetadata(request);
    decisionLog_.write("body refused for lack of memory",
                       { { "request", metadata ? metadata.value().id : stages::RequestId() },
                         { "length", request.header("Content-Length").value_or("unknown") },
                         { "held", shared_.memory->used() },
                         { "caller", request.remoteAddress } },
                       context_.now());
    return userplatform::retryAfterHeaders(random_.jitter(bodyRetryAfter, bodyRetryAfterJitter));
}

Result<void> Gateway::listen()
{
    const auto &settings = context_.settings;
    BOOST_OUTCOME_TRYV(links_.listen());
    BOOST_OUTCOME_TRYV(readinessServer_.listen(settings.readinessAddress));
    BOOST_OUTCOME_TRYV(callerServer_.listen(settings.callerAddress));
    const auto metricsPort = static_cast<std::uint16_t>(settings.firstInternalPort + metricsPortOffset);
    return metricsServer_.listen({ settings.ip, metricsPort });
}

int Gateway::run()
{
    waitForSignal();
    // What callers, endpoints, other VMs or the store send may end the request at hand, but never the process.
    auto exceptions = context_.metrics.counter({ "unhandled_exceptions", "Exceptions that left a callback" });
    context_.loop.setExceptionHandler([this, exceptions](const std::exception &error) mutable {
        exceptions.add();
        context_.logger.error("unhandled exception", { { "error", std::string_view(error.what()) } });
    });
    state_.start();
    context_.loop.timers().every(context_.now() + housekeepingInterval, housekeepingInterval, [this](Time now) {
        loadBalancer_.prune(state_.endpoints());
        state_.expire(now);
        prefixCache_.expire(now);
        poisonRequests_.expire(now);
        poisonPrompts_.expire(now);
        notices_.expire(now);
        streamOrigins_.expire(now);
        relayPeers_.expire(now);
        pieces_.expire(now);
        shared_.rejectionHistory.expire(now);
        shared_.completionTimes.expire(now);
        shared_.dispatchTimes.expire(now);
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
            // Settings are read at startup only.
            context_.logger.state("settings reload ignored", { { "applied", false } });
        } else {
            startShutdown();
        }
        waitForSignal();
    });
}

void Gateway::startShutdown()
{
    if (shared_.stopSchedule) {
        return;
    }
    shared_.stopSchedule.emplace(context_.now(), context_.settings.stopGracePeriod);
    context_.logger.state("stopping",
                          { { "vm", context_.settings.vm }, { "active_requests", shared_.activeRequests.size() } });
    links_.leave();
    streamOrigins_.handOver();
    relayService_.stop();
    state_.deregister([] {});
    callerServer_.closeBetweenRequests([] {});
    context_.loop.timers().every(context_.now() + stopCheckInterval, stopCheckInterval, [this](Time) {
        endOverdueRequests();
        finishShutdownWhenIdle();
    });
}

/** Returns the requests under way, which may end while they are visited. */
std::vector<std::shared_ptr<RequestHandler>> Gateway::activeRequests() const
{
    return { shared_.activeRequests.begin(), shared_.activeRequests.end() };
}

/** Ends requests that can't be completed before the process stops, while they can still be answered. */
void Gateway::endOverdueRequests()
{
    for (const auto &request : activeRequests()) {
        request->handleStopProgress();
    }
}

void Gateway::finishShutdownWhenIdle()
{
    const Duration elapsed = context_.now() - shared_.stopSchedule->requestedAt();
    if (!isListenerClosed_ && elapsed >= drainNoticeTime) {
        isListenerClosed_ = true;
        callerServer_.stopAccepting();
    }
    const bool isIdle = isListenerClosed_ && shared_.activeRequests.empty() && pieces_.pending() == 0
        && relayService_.pending() == 0 && callerServer_.counters().open == 0;
    if (isIdle || context_.now() >= shared_.stopSchedule->endsAt()) {
        context_.logger.state("stopped",
                              { { "vm", context_.settings.vm },
                                { "active_requests", shared_.activeRequests.size() },
                                { "after_ms", toMilliseconds(elapsed) } });
        context_.loop.stop();
    }
}

/** Sets the metrics that are read from counters elsewhere. */
void Gateway::updateMetrics()
{
    const auto peers = links_.counters();
    const auto set = [&](const telemetry::MetricSpec &spec, double value) { context_.metrics.gauge(spec).set(value); };
    set({ "peer_sent", "Bytes sent to other VMs since the start", telemetry::Unit::Bytes }, double(peers.bytesSent));
    set({ "peer_received", "Bytes received from other VMs since the start", telemetry::Unit::Bytes },
        double(peers.bytesReceived));
    set({ "peer_messages_dropped", "Messages to other VMs that were dropped since the start" },
        double(peers.messagesDropped));
    set({ "overlay_neighbours", "VMs with which this VM exchanges messages to keep up membership" },
        double(links_.neighbourCount()));
    set({ "request_body_held",
          "Bytes held for callers and other VMs: heads, bodies, answers and buffers",
          telemetry::Unit::Bytes },
        double(shared_.memory->used()));
    set({ "request_bodies_refused", "Requests refused since the start as they found no memory" },
        double(callerServer_.counters().memoryRefused));
    set({ "caller_connections_reclaimed",
          "Connections closed for room since the start, as their callers had stopped sending or reading" },
        double(callerServer_.counters().reclaimed));
    set({ "caller_heads_late", "Requests refused since the start as their heads took too long" },
        double(callerServer_.counters().headsLate));
    set({ "evacuated_zones", "Availability zones that the operator has evacuated" }, double(state_.evacuatedZones()));
    for (const auto &[endpoint, pace] : loadBalancer_.paces(context_.now())) {
        context_.metrics
            .gauge({ "endpoint_pace", "Time that an endpoint takes relative to the mean of its service" },
                   { { "endpoint", endpoint.text() } })
            .set(pace);
    }
    const auto &store = state_.storeCounters();
    set({ "store_reads", "Reads of the store since the start, of all kinds" }, double(store.reads));
    set({ "store_snapshot_pages", "Reads of all newest records of a topic since the start" },
        double(store.snapshotPages));
    set({ "store_refreshes", "Reads since the start that confirm that this VM is up to date" },
        double(store.refreshes));
    set({ "store_failed_reads", "Reads of the store since the start that failed" }, double(store.failedReads));
    set({ "store_appends", "Writes to the store since the start" }, double(store.appends));
}

void Gateway::handleReadinessCheck(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (!userplatform::isReadinessCheck(request)) {
        writer.respond(net::status::notFound, {}, {});
        return;
    }
    const bool isReady = state_.isLoaded() && !state_.isOverdue() && !shared_.stopSchedule;
    writer.respond(isReady ? net::status::ok : net::status::unavailable, {}, {});
}

void Gateway::handleStateChange()
{
    if (state_.isLoaded() && !isReadyLogged_) {
        isReadyLogged_ = true;
        context_.logger.state("ready", { { "vm", context_.settings.vm } });
    }
    notices_.onStateChanged();
    poisonRequests_.onEndpointsChanged();
    streamOrigins_.update();
    pieces_.refresh();
}

void Gateway::handleQuarantineRead(std::string_view name, const std::string &bytes)
{
    if (name.starts_with(PoisonPromptGuard::storePrefix)) {
        poisonPrompts_.handleStored(bytes);
    } else {
        poisonRequests_.handleStoredQuarantine(bytes);
    }
}

void Gateway::handlePartsQuarantined()
{
    poisonRequests_.onPartsQuarantined();
    // Requests whose stages still run can't be sent to an engine any more.
    for (const auto &request : activeRequests()) {
        request->handleQuarantineChange();
    }
}

void Gateway::handleReachabilityChange()
{
    links_.setUnreachableServices(reachability_.unreachableServices());
    pieces_.refresh();
    for (const auto &request : activeRequests()) {
        request->handleReachabilityChange();
    }
}

void Gateway::handleRejections(const std::vector<RejectedRequestMessage> &messages)
{
    std::vector<dispatch::Rejection> rejections;
    for (const auto &message : messages) {
        rejections.push_back({ Fingerprint(message.fingerprint),
                               context_.now() - std::chrono::milliseconds(message.sinceFirstAttemptMs) });
    }
    shared_.rejectionHistory.merge(rejections, context_.now());
}

FleetHandlers Gateway::makeFleetHandlers()
{
    FleetHandlers handlers;
    handlers.onRelease = [this](const ReleaseMessage &message) { pieces_.serve(message); };
    handlers.onSuspect = [this](const SuspectMessage &message) { poisonRequests_.handleSuspect(message); };
    handlers.onSuspectParts = [this](const SuspectPartsMessage &message) { poisonPrompts_.handleParts(message.parts); };
    handlers.onRateLimits = [this](const RateLimitsMessage &message) { notices_.handleRateLimits(message); };
    handlers.onEndpointLeaving = [this](const EndpointLifetimeMessage &message) { notices_.handleLeaving(message); };
    handlers.onBrittleEndpoint = [this](const BrittleEndpointMessage &message) { notices_.handleBrittle(message); };
    handlers.onSuspectsRequested = [this](peer::PeerCallWriter writer) {
        poisonRequests_.serveSuspects(std::move(writer));
    };
    handlers.onPieces = [this](PiecesRequest request, peer::PeerCallWriter writer) {
        pieces_.serve(std::move(request), std::move(writer));
    };
    handlers.onRecordsPushed = [this](const VmId &from, const RecordsPush &push) {
        state_.handlePushedRecords(from, push);
    };
    handlers.onStateAnnounced = [this](const VmId &vm, const StateAnnouncement &announcement) {
        state_.handleStateAnnounced(vm, announcement);
    };
    handlers.onStreamOrigins = [this](const StreamOriginsMessage &message) { streamOrigins_.handleOrigins(message); };
    handlers.onStreamOriginRequested = [this](const StreamOriginRequest &request, peer::PeerCallWriter writer) {
        streamOrigins_.serve(request, std::move(writer));
    };
    handlers.onStateRequested = [this](const StateRequest &request, peer::PeerCallWriter writer) {
        state_.serveState(request, std::move(writer));
    };
    handlers.onRelay = [this](RelayRequest request, peer::PeerCallWriter writer) {
        relayService_.serve(std::move(request), std::move(writer));
    };
    handlers.onRecords = [this](const RecordsRequest &request, peer::PeerCallWriter writer) {
        state_.serveRecords(request, std::move(writer));
    };
    handlers.onHeartbeat = [this](const VmId &vm, const Heartbeat &heartbeat) {
        state_.handleHeartbeat(vm, heartbeat);
        poisonRequests_.handleHeartbeat(vm, heartbeat);
        pieces_.handleLoads(vm, heartbeat.loads);
        notices_.handleRateLimits({ heartbeat.vm, heartbeat.incarnation, heartbeat.rateLimits });
        handleRejections(heartbeat.rejectedRequests);
    };
    handlers.onRoleChanged = [this](const VmId &vm, const Heartbeat &heartbeat) {
        state_.handleHeartbeat(vm, heartbeat);
        pieces_.handleLoads(vm, heartbeat.loads);
    };
    handlers.onRejections = [this](const std::vector<RejectedRequestMessage> &rejections) {
        handleRejections(rejections);
    };
    handlers.fillHeartbeat = [this](Heartbeat &heartbeat) {
        streamOrigins_.update();
        heartbeat.loads = pieces_.localLoads();
        heartbeat.suspectsDigest = poisonRequests_.updateDigest();
        heartbeat.rateLimits = notices_.updateRateLimits();
        heartbeat.rejectedRequests.clear();
        for (const auto &rejection : shared_.rejectionHistory.takeUnpublished()) {
            heartbeat.rejectedRequests.push_back(
                { rejection.request.value(), toMilliseconds(context_.now() - rejection.firstAttemptAt) });
        }
    };
    handlers.onMembersChanged = [this] { pieces_.refresh(); };
    return handlers;
}

} // namespace lacewing::gateway
