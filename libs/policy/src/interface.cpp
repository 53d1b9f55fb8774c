#include "state.h"

namespace lacewing::policy
{

std::string_view toText(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::ClassUnknown:
        return "class-unknown";
    case RefusalReason::CannotFinishInTime:
        return "cannot-finish-in-time";
    case RefusalReason::OverFairShare:
        return "over-fair-share";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::NoEndpoint:
        return "no-endpoint";
    case RefusalReason::RetryBudgetSpent:
        return "retry-budget-spent";
    case RefusalReason::NotRepeatable:
        return "not-repeatable";
    }
    return "unknown";
}

Policy::Policy(Options options)
    : state_(std::make_unique<State>(std::move(options)))
{
}
Policy::~Policy() = default;
Policy::Policy(Policy &&) noexcept = default;
Policy &Policy::operator=(Policy &&) noexcept = default;

void Policy::setConfig(std::shared_ptr<const config::FleetConfig> configuration)
{
    state_->configuration = std::move(configuration);
}

void Policy::setEndpoints(std::span<const EndpointInfo> endpoints)
{
    state_->table.setEndpoints(endpoints);
}

void Policy::onLoadReport(const EndpointLoad &load)
{
    state_->table.onLoadReport(load);
}

void Policy::onCacheEvent(const CacheEvent &event, Time now)
{
    state_->onCacheEvent(event, now);
}

void Policy::onDemandHint(const DemandHint &hint, Time now)
{
    state_->onDemandHint(hint, now);
}

DemandHint Policy::localHint(Time now) const
{
    return state_->localHint(now);
}

Admission Policy::admit(const JobInfo &job, Time now)
{
    return state_->admit(job, now);
}

Placement Policy::place(const PlacementRequest &request, Time now)
{
    return state_->place(request, now);
}

std::optional<Placed> Policy::tryHedge(const CallId &call, Time now)
{
    return state_->tryHedge(call, now);
}

void Policy::onCallStarted(const CallId &call, const EndpointId &endpoint, Time now)
{
    state_->onCallStarted(call, endpoint, now);
}

void Policy::onCallEnded(const CallId &call, const CallOutcome &outcome, Time now)
{
    state_->onCallEnded(call, outcome, now);
}

RetryDecision Policy::decideRetry(const CallId &call, const EndpointId &endpoint, const CallOutcome &outcome, Time now)
{
    return state_->decideRetry(call, endpoint, outcome, now);
}

void Policy::onJobEnded(const JobId &job, JobOutcome end, Cost cost, Time now)
{
    state_->onJobEnded(job, end, cost, now);
}

void Policy::tick(Time now)
{
    state_->tick(now);
}

Time Policy::nextWake() const noexcept
{
    return state_->nextTick;
}

std::vector<ClassStatus> Policy::classStatus() const
{
    std::vector<ClassStatus> result;
    for (const auto &loop : state_->feedbackLoops) {
        result.push_back({ loop.id, loop.attainment, loop.costPerMetJob, loop.hedgingLevel });
    }
    return result;
}

std::vector<EndpointId> Policy::ejectedEndpoints(Time now) const
{
    std::vector<EndpointId> result;
    for (const auto &endpoint : state_->table.endpoints()) {
        const bool isAvoided = endpoint.ejectedUntil > now || endpoint.unreachableUntil > now;
        if (endpoint.listed && isAvoided) {
            result.push_back(endpoint.info.id);
        }
    }
    return result;
}

} // namespace lacewing::policy
