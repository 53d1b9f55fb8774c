#pragma once

#include "context.h"
#include "decision_log.h"
#include "fleet_state.h"
#include "piece_service.h"

#include <dispatch/dispatch.h>
#include <routing/routing.h>

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace lacewing::gateway
{

class RequestRun;

/** A mean over the newest requests of each route. */
class RouteMeans
{
public:
    /** Takes one more value. @return the mean, which is the value itself for the first */
    double learn(const routing::RouteId &route, double value);

private:
    std::unordered_map<routing::RouteId, double> means_;
};

/** What the requests of one VM share. */
struct RunShared {
    Context &context;
    FleetLinks &links;
    FleetState &state;
    PieceService &pieces;
    net::HttpClient &client;
    dispatch::EndpointChooser &chooser;
    dispatch::PrefixMemory &prefixes;
    dispatch::SuspectList &suspects;
    DecisionLog &decisions;
    Random &random;
    dispatch::RefusedCallers refused;
    std::unordered_map<routing::ServiceId, dispatch::RetryBudget> budgets;
    RouteMeans tokens; ///< sizes of the requests
    RouteMeans pieceCounts; ///< their pieces
    dispatch::CrashWatch crashes;
    std::set<std::shared_ptr<RequestRun>> open;

    /** No connection to an endpoint could be made: what it ran shortly before is suspect, here and at all VMs. */
    void endpointUnreachable(const EndpointId &endpoint);
    /** Counts a final answer. @param status 0: none was given */
    void count(const std::string &route, int status, Duration time);
    dispatch::RetryBudget &budget(const routing::ServiceId &service);
};

} // namespace lacewing::gateway
