#include "endpoint_reachability.h"

namespace lacewing::gateway
{
namespace
{

/** Connections within a region take a few ms. */
constexpr Duration connectTimeout = 400ms;

reachability::Target targetOf(const routing::EndpointEntry &endpoint)
{
    return { endpoint.service, endpoint.id };
}

} // namespace

EndpointReachability::EndpointReachability(Context &context,
                                           FleetState &state,
                                           const EndpointNotices &notices,
                                           net::HttpClient &client,
                                           std::uint64_t seed,
                                           std::function<void()> onChanged)
    : context_(context)
    , state_(state)
    , notices_(notices)
    , client_(client)
    , onChanged_(std::move(onChanged))
    , monitor_(seed)
    , probeCounter_(context.metrics.counter(
          { "reachability_probes", "Connection attempts that tell whether this VM reaches a service" }))
    , unreachableGauge_(context.metrics.gauge(
          { "unreachable_services", "Services of which this VM reaches no endpoint although some are registered" }))
{
}

void EndpointReachability::onConnected(const routing::EndpointEntry &endpoint)
{
    monitor_.onConnected(targetOf(endpoint), context_.now());
    if (monitor_.isUnreachable(endpoint.service)) {
        scheduleEvaluation();
    }
}

void EndpointReachability::onConnectFailed(const routing::EndpointEntry &endpoint)
{
    monitor_.onConnectFailed(targetOf(endpoint), context_.now());
    scheduleEvaluation();
}

void EndpointReachability::onSent(const routing::EndpointEntry &endpoint)
{
    monitor_.onSent(targetOf(endpoint), context_.now());
    scheduleSilenceCheck();
}

void EndpointReachability::onReceived()
{
    monitor_.onReceived(context_.now());
}

void EndpointReachability::onEnded()
{
    monitor_.onEnded();
}

/** Evaluates later in this round of the event loop, as failures often come together. */
void EndpointReachability::scheduleEvaluation()
{
    if (!std::exchange(isEvaluationScheduled_, true)) {
        context_.loop.post([this] {
            isEvaluationScheduled_ = false;
            evaluate();
        });
    }
}

/** Makes sure that a timer fires when probes become due; one that fires early is set again. */
void EndpointReachability::scheduleSilenceCheck()
{
    const auto due = monitor_.nextProbeTime();
    if (!due || timer_ != TimerHandle()) {
        return;
    }
    timer_ = context_.loop.timers().once(std::max(*due, context_.now()), [this](Time) {
        timer_ = TimerHandle();
        evaluate();
    });
}

void EndpointReachability::evaluate()
{
    const Time now = context_.now();
    const auto before = monitor_.unreachableServices();
    if (monitor_.update(state_.endpoints(), now)) {
        const auto after = monitor_.unreachableServices();
        unreachableGauge_.set(double(after.size()));
        for (const auto &service : after) {
            if (!std::binary_search(before.begin(), before.end(), service)) {
                context_.logger.state(
                    "service unreachable",
                    { { "service", service }, { "endpoints", state_.endpoints().availableEndpoints(service).size() } });
            }
        }
        for (const auto &service : before) {
            if (!std::binary_search(after.begin(), after.end(), service)) {
                context_.logger.state("service reachable", { { "service", service } });
            }
        }
        onChanged_();
    }
    std::vector<routing::ServiceId> services;
    if (const auto &routes = state_.routes()) {
        for (const auto &service : routes->state().services) {
            services.push_back(service->id);
        }
    }
    const auto mayProbe = [this](const routing::EndpointEntry &entry) {
        return !notices_.quietUntil(entry.lifetime()).has_value();
    };
    for (const auto &target : monitor_.takeDueProbes(state_.endpoints(), services, mayProbe, now)) {
        probe(target);
    }
    scheduleSilenceCheck();
}

void EndpointReachability::probe(const reachability::Target &target)
{
    const auto *entry = state_.endpoints().find(target.endpoint);
    if (entry == nullptr) {
        monitor_.onConnectFailed(target, context_.now());
        return;
    }
    probeCounter_.add();
    net::HttpCall call;
    call.address = entry->address;
    call.connectOnly = true;
    net::HttpHandlers handlers;
    handlers.onDone = [this, endpoint = *entry](const net::HttpEnd &end) {
        if (end.error) {
            onConnectFailed(endpoint);
        } else {
            onConnected(endpoint);
        }
    };
    client_.start(std::move(call), { connectTimeout, 0s, 0s, 0s }, std::move(handlers));
}

} // namespace lacewing::gateway
