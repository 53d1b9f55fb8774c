#pragma once

#include "context.h"
#include "decision_log.h"
#include "endpoint_connection_log.h"
#include "endpoint_notices.h"
#include "endpoint_reachability.h"
#include "fleet_links.h"
#include "fleet_state.h"
#include "piece_service.h"
#include "poison_prompt_guard.h"
#include "poison_request_guard.h"
#include "relay_service.h"
#include "request_handler.h"

#include <boost/asio/signal_set.hpp>

namespace lacewing::gateway
{

/** The gateway process of one VM: owns the listeners and the components that serve them. */
class Gateway
{
public:
    Gateway(Context &context, std::uint64_t seed);

    Result<void> listen();
    /** Serves until a signal stops the process. @return the exit code */
    int run();

private:
    net::HttpServerOptions callerOptions();
    net::Headers handleMemoryShort(const net::HttpRequest &request);
    void waitForSignal();
    void startShutdown();
    std::vector<std::shared_ptr<RequestHandler>> activeRequests() const;
    void endOverdueRequests();
    void finishShutdownWhenIdle();
    void updateMetrics();
    void handleReadinessCheck(const net::HttpRequest &request, net::ResponseWriter writer);
    void handleStateChange();
    void handleQuarantineRead(std::string_view name, const std::string &bytes);
    void handlePartsQuarantined();
    void handleReachabilityChange();
    void handleRejections(const std::vector<RejectedRequestMessage> &messages);
    FleetHandlers makeFleetHandlers();

    Context &context_;
    Random random_;
    boost::asio::signal_set signals_;
    FleetLinks links_;
    FleetState state_;
    EndpointNotices notices_;
    EndpointConnectionLog connectionLog_;
    net::HttpClient client_;
    EndpointReachability reachability_;
    RelayPeers relayPeers_;
    PoisonPromptGuard poisonPrompts_;
    PoisonRequestGuard poisonRequests_;
    StreamOrigins streamOrigins_;
    PieceService pieces_;
    dispatch::LoadBalancer loadBalancer_;
    dispatch::PrefixCacheIndex prefixCache_;
    DecisionLog decisionLog_;
    RequestContext shared_;
    RelayService relayService_;
    net::HttpServer callerServer_;
    net::HttpServer readinessServer_;
    net::HttpServer metricsServer_;
    bool isListenerClosed_ = false; ///< of the callers' server, during a stop
    bool isReadyLogged_ = false;
};

} // namespace lacewing::gateway
