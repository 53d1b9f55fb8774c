#include "endpoint_notices.h"

namespace lacewing::gateway
{

EndpointNotices::EndpointNotices(Context &context, FleetLinks &links, FleetState &state)
    : context_(context)
    , links_(links)
    , state_(state)
    , decisionLog_(context.logger)
    , leavingCounter_(
          context.metrics.counter({ "endpoints_leaving", "Endpoints that told this VM first that they leave" }))
    , quietCounter_(context.metrics.counter({ "quiet_periods", "Answers with a time in which to send nothing" }))
{
}

void EndpointNotices::handleResponse(const routing::EndpointEntry &endpoint,
                                     const userplatform::ResponseMetadata &response)
{
    const auto lifetime = endpoint.lifetime();
    const Time now = context_.now();
    if (response.isLeaving && state_.markLeaving(lifetime, "endpoint")) {
        leavingCounter_.add();
        const auto message =
            encodeMessage(MessageKind::EndpointLeaving,
                          EndpointLifetimeMessage { lifetime.endpoint.text(), lifetime.incarnation.value() });
        for (const auto &vm : links_.members(context_.settings.zone)) {
            if (vm != context_.settings.vm) {
                links_.send(vm, message);
            }
        }
    }
    if (response.hasUnusableRateLimit) {
        decisionLog_.write("rate limit ignored",
                           { { "endpoint", lifetime.endpoint }, { "reason", "not one number of at least 0" } },
                           now);
    }
    if (response.rateLimit) {
        decisionLog_.write("endpoint names a rate limit",
                           { { "endpoint", lifetime.endpoint }, { "per_second", *response.rateLimit } },
                           now);
    }
    if (response.hasUnusableQuietTime) {
        decisionLog_.write(
            "retry-after ignored", { { "endpoint", lifetime.endpoint }, { "reason", "no number of seconds" } }, now);
    }
    if (response.quietTime && *response.quietTime > Duration::zero()) {
        quietCounter_.add();
        quietPeriods_.record(lifetime, now + *response.quietTime);
        decisionLog_.write("endpoint wants no requests",
                           { { "endpoint", lifetime.endpoint }, { "ms", toMilliseconds(*response.quietTime) } },
                           now);
    }
}

void EndpointNotices::handleLeaving(const EndpointLifetimeMessage &message)
{
    state_.markLeaving({ EndpointId(message.endpoint), Incarnation(message.incarnation) }, "vm");
}

std::optional<Time> EndpointNotices::quietUntil(const routing::EndpointLifetime &endpoint) const
{
    return quietPeriods_.until(endpoint, context_.now());
}

std::optional<Time> EndpointNotices::earliestReturn(const routing::ServiceId &service) const
{
    return quietPeriods_.earliestEnd(state_.endpoints().availableEndpoints(service), context_.now());
}

void EndpointNotices::expire(Time now)
{
    quietPeriods_.expire(now);
}

} // namespace lacewing::gateway
