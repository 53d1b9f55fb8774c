#pragma once

#include "context.h"
#include "decision_log.h"
#include "endpoint_notices.h"
#include "endpoint_reachability.h"
#include "fleet_state.h"
#include "piece_service.h"
#include "poison_prompt_guard.h"
#include "poison_request_guard.h"
#include "relay_peers.h"
#include "stream_origins.h"

#include <cost/cost.h>
#include <dispatch/dispatch.h>
#include <routing/routing.h>
#include <shutdown/shutdown.h>

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace lacewing::gateway
{

class RequestHandler;

/** Returns the ids of the parts of a prompt in hexadecimal, separated by commas. */
std::string toText(std::span<const dispatch::PromptSegment> parts);

/** Exponential moving average over the requests of each route. */
class RouteAverages
{
public:
    /** Adds a value and returns the new average, which is the value itself for the first one. */
    double update(const routing::RouteId &route, double value);

private:
    std::unordered_map<routing::RouteId, double> averages_;
};

/** Services and state shared by all requests on one VM. */
struct RequestContext {
    Context &context;
    FleetLinks &links;
    FleetState &state;
    EndpointNotices &notices;
    EndpointReachability &reachability;
    RelayPeers &relays;
    PieceService &pieces;
    net::HttpClient &client;
    dispatch::LoadBalancer &loadBalancer;
    dispatch::PrefixCacheIndex &prefixCache;
    PoisonRequestGuard &poisonRequests;
    PoisonPromptGuard &poisonPrompts;
    StreamOrigins &streamOrigins;
    DecisionLog &decisionLog;
    Random &random;
    std::shared_ptr<MemoryBudget> memory; ///< for all that is held for callers and other VMs
    std::size_t maxAnswerBytes; ///< largest answer that is held for one request
    std::function<void(std::size_t)> makeRoom; ///< takes memory back from callers that have stopped reading
    dispatch::RejectionHistory rejectionHistory;
    std::unordered_map<routing::ServiceId, dispatch::RetryBudget> retryBudgets;
    cost::RequestCosts costs;
    Time nextPlacementLogAt;
    std::unordered_map<routing::ServiceId, telemetry::Histogram> estimateErrors;
    RouteAverages tokenAverages; ///< request sizes, in weighted tokens
    RouteAverages pieceCountAverages; ///< pieces of a request
    std::set<std::shared_ptr<RequestHandler>> activeRequests;
    dispatch::FleetSizeEstimate fleetSize;
    shutdown::CompletionTimes completionTimes; ///< of requests, from their arrival
    shutdown::CompletionTimes dispatchTimes; ///< of requests, from the end of their stages
    std::optional<shutdown::StopSchedule> stopSchedule; ///< set once the process has to stop

    /** Lets a buffer grow, if need be in place of others. @return false if there is too little memory */
    bool reserve(MemoryReservation &reservation, std::size_t bytes);
    /** Returns among how many VMs a limit of the whole fleet is divided. */
    std::size_t vmCount();
    /** Updates the metrics for a finished request. @param status 0 if no response was sent */
    void recordRequest(const std::string &route, int status, Duration time);
    dispatch::RetryBudget &retryBudget(const routing::ServiceId &service);
    /** Records how well the time to the first byte of an answer was estimated. @param ratio time taken to expected */
    void recordEstimate(const routing::ServiceId &service, double ratio);
};

} // namespace lacewing::gateway
