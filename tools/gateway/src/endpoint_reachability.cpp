#include "endpoint_reachability.h"

#include <algorithm>
#include <map>

namespace lacewing::gateway
{
namespace
{

/** Connections within a region take a few ms. */
constexpr Duration connectTimeout = 400ms;
/** Endpoints that tell by accepting a connection that another one is at fault. Several may be down as well. */
constexpr std::size_t maxCheckedEndpoints = 8;
constexpr std::size_t attemptsAtOnce = 2;

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
    , random_(seed)
    , monitor_(random_.next())
    , probeCounter_(context.metrics.counter(
          { "reachability_probes", "Connection attempts that tell whether this VM reaches a service" }))
    , unreachableGauge_(context.metrics.gauge(
          { "unreachable_services", "Services of which this VM reaches no endpoint although some are registered" }))
{
}

void EndpointReachability::onConnected(const routing::EndpointEntry &endpoint)
{
    monitor_.onConnected(targetOf(endpoint));
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
    scheduleProbes();
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

/** Makes sure that a timer fires when probes become due or before; one that fires early is set again. */
void EndpointReachability::scheduleProbes()
{
    const auto due = monitor_.nextProbeTime();
    if (!due || (timer_ != TimerHandle() && timerDueAt_ <= *due)) {
        return;
    }
    context_.loop.timers().cancel(timer_);
    timerDueAt_ = std::max(*due, context_.now());
    timer_ = context_.loop.timers().once(timerDueAt_, [this](Time) {
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
    scheduleProbes();
}

void EndpointReachability::probe(const reachability::Target &target)
{
    const auto *entry = state_.endpoints().find(target.endpoint);
    if (entry == nullptr) {
        monitor_.onConnectFailed(target, context_.now());
        return;
    }
    attemptConnection(*entry, [](bool) {});
}

void EndpointReachability::attemptConnection(const routing::EndpointEntry &endpoint,
                                             std::function<void(bool isConnected)> onDone)
{
    probeCounter_.add();
    net::HttpCall call;
    call.address = endpoint.address;
    call.connectOnly = true;
    net::HttpHandlers handlers;
    handlers.onDone = [this, endpoint, onDone = std::move(onDone)](const net::HttpEnd &end) {
        if (!end.error) {
            onConnected(endpoint);
        } else if (end.error->kind == ErrorKind::Unreachable) {
            onConnectFailed(endpoint);
        } else {
            monitor_.onProbeAborted(targetOf(endpoint)); // this VM has too many connections
        }
        onDone(!end.error);
    };
    client_.start(std::move(call), { connectTimeout, 0s, 0s, 0s }, std::move(handlers));
}

struct EndpointReachability::OthersCheck {
    std::vector<routing::EndpointEntry> remaining; ///< not attempted yet
    std::size_t pending = 0; ///< attempts in progress
    std::function<void(bool)> onDone; ///< null once it has been called
};

void EndpointReachability::checkOthers(const routing::EndpointEntry &endpoint,
                                       std::function<void(bool isEndpointAtFault)> onDone)
{
    const auto check = std::make_shared<OthersCheck>();
    check->remaining = otherEndpoints(endpoint);
    check->onDone = std::move(onDone);
    if (check->remaining.empty()) {
        check->onDone(true);
    } else {
        continueCheck(check);
    }
}

void EndpointReachability::continueCheck(const std::shared_ptr<OthersCheck> &check)
{
    for (; check->pending < attemptsAtOnce && !check->remaining.empty(); ++check->pending) {
        const auto other = check->remaining.back();
        check->remaining.pop_back();
        attemptConnection(other, [this, check](bool isConnected) {
            --check->pending;
            if (!check->onDone) {
                return;
            }
            if (isConnected || (check->pending == 0 && check->remaining.empty())) {
                std::exchange(check->onDone, nullptr)(isConnected);
            } else {
                continueCheck(check);
            }
        });
    }
}

/** Returns some other endpoints in random order, those that have failed lately first. */
std::vector<routing::EndpointEntry> EndpointReachability::otherEndpoints(const routing::EndpointEntry &endpoint)
{
    std::map<std::pair<bool, std::uint64_t>, const routing::EndpointEntry *> sorted;
    if (const auto &routes = state_.routes()) {
        for (const auto &service : routes->state().services) {
            for (const auto *entry : state_.endpoints().availableEndpoints(service->id)) {
                if (entry->id != endpoint.id && !notices_.quietUntil(entry->lifetime())) {
                    sorted[{ !monitor_.hasFailed(targetOf(*entry)), random_.next() }] = entry;
                }
            }
        }
    }
    std::vector<routing::EndpointEntry> chosen;
    for (const auto &[order, entry] : sorted) {
        chosen.push_back(*entry);
    }
    if (chosen.size() > maxCheckedEndpoints) {
        chosen.erase(chosen.begin(), chosen.end() - static_cast<std::ptrdiff_t>(maxCheckedEndpoints));
    }
    return chosen;
}

} // namespace lacewing::gateway
