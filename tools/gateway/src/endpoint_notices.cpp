#include "endpoint_notices.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Minimum interval between two reports of the sends under rate limits. */
constexpr Duration minReportInterval = 20ms;
/** Number of endpoints in one heartbeat; the next one goes on with further endpoints. */
constexpr std::size_t maxLimitsPerHeartbeat = 16;
/** Time for which the shares of slots are kept; VMs and endpoints change rarely within it. */
constexpr Duration slotSharesTtl = 250ms;

} // namespace

EndpointNotices::EndpointNotices(Context &context, FleetLinks &links, FleetState &state)
    : context_(context)
    , links_(links)
    , state_(state)
    , coldEndpoints_(context, links, state)
    , decisionLog_(context.logger)
    , leavingCounter_(
          context.metrics.counter({ "endpoints_leaving", "Endpoints that told this VM first that they leave" }))
    , quietCounter_(context.metrics.counter({ "quiet_periods", "Answers with a time in which to send nothing" }))
    , rateLimitCounter_(context.metrics.counter(
          { "rate_limits", "Rate limits of endpoints that were named, changed or ended, as known to this VM" }))
    , brittleRejectionCounter_(context.metrics.counter(
          { "brittle_rejections", "Requests of this VM that brittle endpoints turned away for want of room" }))
{
}

void EndpointNotices::handleResponse(const routing::EndpointEntry &endpoint,
                                     const userplatform::ResponseMetadata &response,
                                     Time sentAt)
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
    recordBrittleness(lifetime, response, sentAt);
    if (response.coldTimeLeft) {
        coldEndpoints_.handleAnswer(lifetime, *response.coldTimeLeft);
    }
    if (response.hasUnusableRateLimit) {
        decisionLog_.write("rate limit ignored",
                           { { "endpoint", lifetime.endpoint }, { "reason", "not one number of at least 0" } },
                           now);
    } else if (rateLimits_.recordAnswer(lifetime, response.rateLimit, sentAt, now)) {
        rateLimitCounter_.add();
        context_.logger.state("rate limit changed",
                              { { "endpoint", lifetime.endpoint },
                                { "per_second", response.rateLimit.value_or(-1) },
                                { "source", "endpoint" } });
        reportRateLimit(lifetime);
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

void EndpointNotices::recordBrittleness(const routing::EndpointLifetime &endpoint,
                                        const userplatform::ResponseMetadata &response,
                                        Time sentAt)
{
    const Time now = context_.now();
    if (response.hasUnusableMaxRejections) {
        decisionLog_.write(
            "brittleness ignored", { { "endpoint", endpoint.endpoint }, { "reason", "not one whole number" } }, now);
    } else if (brittleEndpoints_.recordAnswer(endpoint, response.maxRejections, sentAt, now)) {
        context_.logger.state("endpoint brittle",
                              { { "endpoint", endpoint.endpoint },
                                { "max_rejections", *response.maxRejections },
                                { "source", "endpoint" } });
        slotShares_.reset();
        reportBrittle(endpoint, false);
    }
    if (response.lacksRoom && brittleEndpoints_.recordRejection(endpoint, true, now)) {
        brittleRejectionCounter_.add();
        reportBrittle(endpoint, true);
    }
}

void EndpointNotices::reportBrittle(const routing::EndpointLifetime &endpoint, bool isRejection)
{
    links_.broadcast(encodeMessage(MessageKind::BrittleEndpoint,
                                   BrittleEndpointMessage { endpoint.endpoint.text(),
                                                            endpoint.incarnation.value(),
                                                            brittleEndpoints_.maxRejections(endpoint).value_or(0),
                                                            isRejection }));
}

void EndpointNotices::handleBrittle(const BrittleEndpointMessage &message)
{
    const routing::EndpointLifetime endpoint { EndpointId(message.endpoint), Incarnation(message.incarnation) };
    if (state_.endpoints().hasEnded(endpoint)) {
        return;
    }
    if (!brittleEndpoints_.isBrittle(endpoint)) {
        context_.logger.state(
            "endpoint brittle",
            { { "endpoint", endpoint.endpoint }, { "max_rejections", message.maxRejections }, { "source", "vm" } });
    }
    brittleEndpoints_.recordBrittle(endpoint, message.maxRejections, context_.now());
    if (message.isRejection) {
        brittleEndpoints_.recordRejection(endpoint, false, context_.now());
    }
}

const EndpointNotices::SlotShares &EndpointNotices::slotShares() const
{
    const Time now = context_.now();
    if (slotShares_ && now - slotShares_->computedAt < slotSharesTtl) {
        return *slotShares_;
    }
    slotShares_ = SlotShares { now, {}, {} };
    const auto vms = links_.members(std::nullopt);
    const auto &routes = state_.routes();
    for (const auto &service :
         routes ? routes->state().services : std::vector<routing::StatePart<routing::Service>>()) {
        std::set<VmId> holders;
        bool areAllBrittle = true;
        const auto &available = state_.endpoints().availableEndpoints(service->id);
        for (const auto *endpoint : available) {
            if (!brittleEndpoints_.isBrittle(endpoint->lifetime())) {
                areAllBrittle = false;
                continue;
            }
            const auto shares = overload::divideSlots(*endpoint, vms);
            std::size_t own = 0;
            for (std::size_t index = 0; index < vms.size(); ++index) {
                own = vms[index] == context_.settings.vm ? shares[index] : own;
                if (shares[index] > 0) {
                    holders.insert(vms[index]);
                }
            }
            slotShares_->own[endpoint->id] = own;
        }
        if (areAllBrittle && !available.empty()) {
            slotShares_->holders[service->id] = std::move(holders);
        }
    }
    return *slotShares_;
}

std::optional<std::size_t> EndpointNotices::maxInFlight(const routing::EndpointEntry &endpoint) const
{
    if (!brittleEndpoints_.isBrittle(endpoint.lifetime())) {
        return std::nullopt;
    }
    const auto &shares = slotShares().own;
    const auto found = shares.find(endpoint.id);
    return found == shares.end() ? 0 : found->second;
}

bool EndpointNotices::requiresRelay(const routing::ServiceId &service) const
{
    return sharesNoSlots(context_.settings.vm, service) || coldEndpoints_.requiresRelay(service);
}

bool EndpointNotices::isCold(const routing::EndpointEntry &endpoint) const
{
    return coldEndpoints_.isCold(endpoint);
}

bool EndpointNotices::sharesNoSlots(const VmId &vm, const routing::ServiceId &service) const
{
    if (coldEndpoints_.sharesNoSlots(vm, service)) {
        return true;
    }
    if (brittleEndpoints_.isEmpty()) {
        return false;
    }
    const auto &holders = slotShares().holders;
    const auto found = holders.find(service);
    return found != holders.end() && !found->second.contains(vm);
}

void EndpointNotices::handleLeaving(const EndpointLifetimeMessage &message)
{
    state_.markLeaving({ EndpointId(message.endpoint), Incarnation(message.incarnation) }, "vm");
}

std::optional<Time> EndpointNotices::quietUntil(const routing::EndpointLifetime &endpoint) const
{
    return quietPeriods_.until(endpoint, context_.now());
}

std::optional<Time> EndpointNotices::blockedUntil(const routing::EndpointLifetime &endpoint) const
{
    const Time now = context_.now();
    std::optional<Time> latest;
    for (const auto &until : { quietUntil(endpoint),
                               rateLimits_.blockedUntil(endpoint, now),
                               brittleEndpoints_.blockedUntil(endpoint, now),
                               coldEndpoints_.blockedUntil(endpoint.endpoint) }) {
        latest = std::max(latest, until); // an empty one is less than any time
    }
    return latest;
}

std::optional<Time> EndpointNotices::reservedBlockedUntil(const routing::EndpointLifetime &endpoint) const
{
    return std::max(quietUntil(endpoint), coldEndpoints_.blockedUntil(endpoint.endpoint));
}

std::optional<Time> EndpointNotices::earliestReturn(const routing::ServiceId &service) const
{
    std::optional<Time> earliest;
    for (const auto *endpoint : state_.endpoints().availableEndpoints(service)) {
        const auto until = blockedUntil(endpoint->lifetime());
        if (!until) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*until), *until);
    }
    return earliest;
}

std::optional<routing::EndpointLifetime> EndpointNotices::reserve(const routing::ServiceId &service)
{
    const routing::EndpointEntry *free = nullptr;
    for (const auto *endpoint : state_.endpoints().availableEndpoints(service)) {
        if (!rateLimits_.limit(endpoint->lifetime())) {
            return std::nullopt;
        }
        if (free == nullptr && !blockedUntil(endpoint->lifetime())) {
            free = endpoint;
        }
    }
    if (free == nullptr) {
        return std::nullopt;
    }
    takeRateToken(free->lifetime());
    return free->lifetime();
}

void EndpointNotices::onSend(const routing::EndpointLifetime &endpoint)
{
    takeRateToken(endpoint);
    coldEndpoints_.onSend(endpoint.endpoint);
}

void EndpointNotices::onReservedSend(const routing::EndpointLifetime &endpoint)
{
    coldEndpoints_.onSend(endpoint.endpoint);
}

void EndpointNotices::takeRateToken(const routing::EndpointLifetime &endpoint)
{
    if (rateLimits_.recordSend(endpoint, context_.now())) {
        reportRateLimit(endpoint);
    }
}

/** Reports a limit and the sends under it to all VMs, at once or when the last report is old enough. */
void EndpointNotices::reportRateLimit(const routing::EndpointLifetime &endpoint)
{
    const Time now = context_.now();
    const bool isScheduled = !dueReports_.empty();
    dueReports_.insert(endpoint);
    if (isScheduled) {
        return;
    }
    if (reportedAt_ && now - *reportedAt_ < minReportInterval) {
        context_.loop.timers().once(*reportedAt_ + minReportInterval, [this](Time) { sendReports(); });
    } else {
        sendReports();
    }
}

void EndpointNotices::sendReports()
{
    RateLimitsMessage message { context_.settings.vm.text(), context_.incarnation.value(), {} };
    for (const auto &endpoint : std::exchange(dueReports_, {})) {
        if (const auto use = rateLimits_.use(endpoint)) {
            message.limits.push_back(toMessage(*use));
        }
    }
    reportedAt_ = context_.now();
    links_.broadcast(encodeMessage(MessageKind::RateLimits, message));
}

RateLimitMessage EndpointNotices::toMessage(const dispatch::RateLimitUse &use) const
{
    return { use.endpoint.endpoint.text(),
             use.endpoint.incarnation.value(),
             use.perSecond.has_value(),
             use.perSecond.value_or(0),
             toMilliseconds(context_.now() - use.statedAt),
             use.sendCount };
}

std::vector<RateLimitMessage> EndpointNotices::updateRateLimits()
{
    const Time now = context_.now();
    const std::size_t heard = links_.expectedCount();
    fleetSize_.update(heard, now);
    rateLimits_.setVmCounts(heard, fleetSize_.value(), now);
    const auto uses = rateLimits_.uses();
    std::vector<RateLimitMessage> messages;
    for (std::size_t count = std::min(uses.size(), maxLimitsPerHeartbeat); count > 0; --count) {
        messages.push_back(toMessage(uses[heartbeatReports_++ % uses.size()]));
    }
    return messages;
}

void EndpointNotices::handleRateLimits(const RateLimitsMessage &message)
{
    const Time now = context_.now();
    for (const auto &limit : message.limits) {
        dispatch::RateLimitUse use;
        use.endpoint = { EndpointId(limit.endpoint), Incarnation(limit.incarnation) };
        use.perSecond = limit.isLimited ? std::optional(limit.perSecond) : std::nullopt;
        use.statedAt = now - std::chrono::milliseconds(std::max<std::int64_t>(limit.ageMs, 0));
        use.sendCount = limit.sendCount;
        if (state_.endpoints().hasEnded(use.endpoint)) {
            continue;
        }
        if (rateLimits_.merge(VmId(message.vm), Incarnation(message.incarnation), use, now)) {
            rateLimitCounter_.add();
            context_.logger.state("rate limit changed",
                                  { { "endpoint", use.endpoint.endpoint },
                                    { "per_second", use.perSecond.value_or(-1) },
                                    { "source", message.vm } });
        }
    }
}

void EndpointNotices::expire(Time now)
{
    quietPeriods_.expire(now);
    rateLimits_.expire(state_.endpoints(), now);
    brittleEndpoints_.expire(state_.endpoints());
    coldEndpoints_.expire();
}

} // namespace lacewing::gateway
