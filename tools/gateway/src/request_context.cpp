#include "request_context.h"

namespace lacewing::gateway
{
namespace
{

/** Weight of the newest request in a route's learned means. */
constexpr double meanGain = 0.05;

} // namespace

double RouteMeans::learn(const routing::RouteId &route, double value)
{
    double &mean = means_[route];
    mean = mean == 0 ? value : mean + meanGain * (value - mean);
    return mean;
}

void RunShared::endpointUnreachable(const EndpointId &endpoint)
{
    for (const auto request : crashes.unreachable(endpoint, context.now())) {
        const int count = suspects.crashed(request, context.now());
        context.logger.state("suspect request",
                             { { "fingerprint", request }, { "endpoint", endpoint }, { "crashes", count } });
        links.sendToAll(
            envelope(MessageKind::Suspect, SuspectMessage { request.value(), static_cast<std::uint32_t>(count) }));
    }
}

void RunShared::count(const std::string &route, int status, Duration time)
{
    constexpr int hundreds = 100;
    const std::string statusClass = status == 0 ? "none" : std::to_string(status / hundreds) + "xx";
    context.metrics
        .counter({ "requests", "Requests that have ended" }, { { "route", route }, { "status", statusClass } })
        .add();
    context.metrics
        .histogram({ "request_time", "From the arrival of a request to its final answer", telemetry::Unit::Seconds },
                   { { "status", statusClass } },
                   telemetry::latencyBuckets())
        .observe(time);
}

dispatch::RetryBudget &RunShared::budget(const routing::ServiceId &service)
{
    auto &budget = budgets.try_emplace(service, context.settings.retry).first->second;
    budget.setVms(links.liveCount());
    return budget;
}

} // namespace lacewing::gateway
