#include "cold_endpoint_guard.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using overload::ColdEndpoints;
using overload::ColdPeriod;
using overload::ColdReason;

/** Updates of the time from one update of the VMs, and of what is logged, to the next. */
constexpr unsigned updatesPerView = 5;
/** Time for which a VM may hear neither the store nor a VM that reads it before its view counts as outdated. */
constexpr Duration maxViewAge = 1s;

} // namespace

ColdEndpointGuard::ColdEndpointGuard(Context &context, FleetLinks &links, FleetState &state)
    : context_(context)
    , links_(links)
    , state_(state)
    , endpoints_(context.settings.vm, { context.settings.coldOvershoot, context.settings.coldSlack })
    , coldGauge_(context.metrics.gauge({ "cold_endpoints", "Endpoints that are cold, as far as this VM knows" }))
    , sendCounter_(context.metrics.counter({ "cold_sends", "Requests that this VM sent to cold endpoints" }))
    , relayCounter_(context.metrics.counter(
          { "cold_requests_held_off", "Requests for which this VM had no slot at a service with cold endpoints only" }))
{
}

/** Takes the cold starts of the desired state. Without any, this VM is not woken up for them. */
void ColdEndpointGuard::onStateChanged()
{
    const auto &routes = state_.routes();
    if (routes == routes_ || !routes || !routes->state().coldStarts) {
        return;
    }
    routes_ = routes;
    if (routes_->state().coldStarts->empty() || isTimerRunning_) {
        return;
    }
    isTimerRunning_ = true;
    update(context_.now());
    context_.loop.timers().every(context_.now() + ColdEndpoints::updateInterval,
                                 ColdEndpoints::updateInterval,
                                 [this](Time now) { update(now); });
}

/** Returns null if the endpoints of a service are never cold, or if that is not known. */
const routing::ColdStart *ColdEndpointGuard::coldStart(const routing::ServiceId &service) const
{
    return routes_ ? routes_->findColdStart(service) : nullptr;
}

void ColdEndpointGuard::update(Time now)
{
    if (routes_->state().coldStarts->empty()) {
        return;
    }
    const bool isViewDue = updates_++ % updatesPerView == 0;
    const bool areVmsKnown = state_.areVmsLoaded();
    endpoints_.update(isViewDue && areVmsKnown ? links_.registeredVms() : std::vector<VmId>(), now);
    if (isViewDue) {
        updateView(now);
        logChanges();
    }
}

/**
 * Finds out whether this VM would know if endpoints became cold. While the store is down, VMs that are in touch with
 * most others hear of crashes from them.
 */
void ColdEndpointGuard::updateView(Time now)
{
    const bool isInTouch = 2 * links_.members(std::nullopt).size() > links_.registeredVms().size();
    if (state_.isViewCurrent() || isInTouch) {
        viewOutdatedSince_.reset();
    } else if (!viewOutdatedSince_) {
        viewOutdatedSince_ = now;
    }
    const bool isOutdated = viewOutdatedSince_ && now - *viewOutdatedSince_ >= maxViewAge;
    if (isOutdated != isViewOutdated_) {
        isViewOutdated_ = isOutdated;
        context_.logger.state("cold endpoints",
                              { { "known", !isOutdated },
                                { "vms_heard", links_.members(std::nullopt).size() },
                                { "vms_registered", links_.registeredVms().size() } });
    }
}

void ColdEndpointGuard::logChanges()
{
    std::set<routing::EndpointLifetime> cold;
    for (const auto &start : *routes_->state().coldStarts) {
        for (const auto *entry : state_.endpoints().availableEndpoints(start.service)) {
            const auto period = coldPeriod(*entry);
            if (!period || period->reason == ColdReason::ViewOutdated) {
                continue;
            }
            const auto lifetime = entry->lifetime();
            cold.insert(lifetime);
            if (!cold_.contains(lifetime)) {
                const auto slots = endpoints_.slotCount(start);
                context_.logger.state("endpoint cold",
                                      { { "endpoint", entry->id },
                                        { "incarnation", entry->incarnation },
                                        { "source", toText(period->reason) },
                                        { "ms", toMilliseconds(period->until - context_.now()) },
                                        { "slots", slots },
                                        { "own_slots", endpoints_.owners().ownCount(entry->id, slots) } });
            }
        }
    }
    for (const auto &lifetime : cold_) {
        if (!cold.contains(lifetime)) {
            context_.logger.state("endpoint not cold",
                                  { { "endpoint", lifetime.endpoint },
                                    { "incarnation", lifetime.incarnation },
                                    { "ended", state_.endpoints().hasEnded(lifetime) } });
        }
    }
    cold_ = std::move(cold);
    coldGauge_.set(double(cold_.size()));
}

void ColdEndpointGuard::handleAnswer(const routing::EndpointLifetime &endpoint, Duration timeLeft)
{
    endpoints_.recordAnswer(endpoint, timeLeft, context_.now());
}

void ColdEndpointGuard::onSend(const EndpointId &endpoint)
{
    const auto *entry = state_.endpoints().find(endpoint);
    const auto *start = entry != nullptr ? coldStart(entry->service) : nullptr;
    if (start == nullptr) {
        return;
    }
    if (coldPeriod(*entry)) {
        sendCounter_.add();
    }
    endpoints_.recordSend(endpoint, *start, context_.now());
}

std::optional<ColdPeriod> ColdEndpointGuard::coldPeriod(const routing::EndpointEntry &endpoint) const
{
    const auto *start = coldStart(endpoint.service);
    if (start == nullptr) {
        return std::nullopt;
    }
    const Time now = context_.now();
    return endpoints_.findPeriod(endpoint,
                                 *start,
                                 state_.endpoints().doubtfulSince(endpoint, now),
                                 state_.endpoints().returnedAt(endpoint.zone),
                                 !isViewOutdated_ && !state_.isViewStalled(),
                                 now);
}

bool ColdEndpointGuard::isCold(const routing::EndpointEntry &endpoint) const
{
    const auto period = coldPeriod(endpoint);
    return period && period->reason != ColdReason::ViewOutdated;
}

std::optional<Time> ColdEndpointGuard::blockedUntil(const EndpointId &endpoint) const
{
    const auto *entry = state_.endpoints().find(endpoint);
    const auto period = entry != nullptr ? coldPeriod(*entry) : std::nullopt;
    return period ? endpoints_.blockedUntil(endpoint, *coldStart(entry->service), *period, context_.now())
                  : std::nullopt;
}

bool ColdEndpointGuard::areAllCold(const routing::ServiceId &service) const
{
    const auto &available = state_.endpoints().availableEndpoints(service);
    return !available.empty() && std::all_of(available.begin(), available.end(), [&](const auto *entry) {
        return coldPeriod(*entry).has_value();
    });
}

bool ColdEndpointGuard::sharesNoSlots(const VmId &vm, const routing::ServiceId &service) const
{
    const auto *start = coldStart(service);
    if (start == nullptr || !areAllCold(service)) {
        return false;
    }
    const auto &available = state_.endpoints().availableEndpoints(service);
    return std::none_of(available.begin(), available.end(), [&](const auto *entry) {
        return endpoints_.owners().owners(entry->id, endpoints_.slotCount(*start)).contains(vm);
    });
}

bool ColdEndpointGuard::requiresRelay(const routing::ServiceId &service) const
{
    const auto *start = coldStart(service);
    if (start == nullptr || !areAllCold(service)) {
        return false;
    }
    bool doOthersShare = false;
    for (const auto *entry : state_.endpoints().availableEndpoints(service)) {
        if (!blockedUntil(entry->id)) {
            return false;
        }
        const auto &owners = endpoints_.owners().owners(entry->id, endpoints_.slotCount(*start));
        doOthersShare = doOthersShare || owners.size() > (owners.contains(context_.settings.vm) ? 1U : 0U);
    }
    if (doOthersShare) {
        relayCounter_.add();
    }
    return doOthersShare;
}

void ColdEndpointGuard::expire()
{
    endpoints_.expire(state_.endpoints());
}

} // namespace lacewing::gateway
