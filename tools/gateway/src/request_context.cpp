#include "request_context.h"

#include <array>
#include <charconv>

namespace lacewing::gateway
{
namespace
{

/** Weight of the latest request in the average of a route. */
constexpr double smoothingFactor = 0.05;

} // namespace

std::string toText(std::span<const dispatch::PromptSegment> parts)
{
    std::string text;
    for (const auto &part : parts) {
        std::array<char, 2 * sizeof(part.id)> digits {};
        constexpr int hexadecimal = 16;
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part.id, hexadecimal).ptr;
        text += text.empty() ? "" : ",";
        text.append(digits.data(), end);
    }
    return text;
}

double RouteAverages::update(const routing::RouteId &route, double value)
{
    double &average = averages_[route];
    average = average == 0 ? value : average + smoothingFactor * (value - average);
    return average;
}

void RequestContext::recordRequest(const std::string &route, int status, Duration time)
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

dispatch::RetryBudget &RequestContext::retryBudget(const routing::ServiceId &service)
{
    auto &budget = retryBudgets.try_emplace(service, context.settings.retryBudget).first->second;
    budget.setVmCount(vmCount());
    return budget;
}

void RequestContext::recordEstimate(const routing::ServiceId &service, double ratio)
{
    static constexpr std::array<double, 12> buckets { 0.25, 0.5, 0.67, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 8 };
    auto found = estimateErrors.find(service);
    if (found == estimateErrors.end()) {
        found = estimateErrors
                    .emplace(service,
                             context.metrics.histogram(
                                 { "estimate_ratio", "Time to the first byte relative to that expected at the send" },
                                 { { "service", service.text() } },
                                 buckets))
                    .first;
    }
    found->second.observe(ratio);
}

bool RequestContext::reserve(MemoryReservation &reservation, std::size_t bytes)
{
    if (reservation.tryGrowTo(bytes)) {
        return true;
    }
    makeRoom(bytes);
    return reservation.tryGrowTo(bytes);
}

std::size_t RequestContext::vmCount()
{
    fleetSize.update(links.expectedCount(), context.now());
    return fleetSize.value();
}

} // namespace lacewing::gateway
