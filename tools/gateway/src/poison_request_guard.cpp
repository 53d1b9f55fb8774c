#include "poison_request_guard.h"

namespace lacewing::gateway
{
namespace
{

/** Delay of the connection attempt after a loss: a process that ends closes its sockets one after the other. */
constexpr Duration attemptDelay = 20ms;
constexpr Duration connectTimeout = 400ms;
/** Minimum interval between requests for suspects to other VMs. */
constexpr Duration minSuspectsRequestInterval = 500ms;
constexpr peer::CallLimits suspectsCallLimits { 300ms, 500ms, 500ms, 1s };

} // namespace

PoisonRequestGuard::PoisonRequestGuard(Context &context, FleetLinks &links, FleetState &state, net::HttpClient &client)
    : context_(context)
    , links_(links)
    , state_(state)
    , client_(client)
{
}

bool PoisonRequestGuard::isQuarantined(Fingerprint request) const
{
    return suspects_.isQuarantined(request, context_.now());
}

void PoisonRequestGuard::onRejected(Fingerprint request)
{
    suspects_.recordRejection(request, context_.now());
}

void PoisonRequestGuard::onConnectionLost(const routing::EndpointEntry &endpoint, Fingerprint request)
{
    crashDetector_.onConnectionLost(endpoint.lifetime(), request, context_.now());
    if (state_.endpoints().hasEnded(endpoint.lifetime())) {
        onEndpointsChanged();
        return;
    }
    if (!attemptedEndpoints_.insert(endpoint.lifetime()).second) {
        return;
    }
    context_.loop.timers().once(context_.now() + attemptDelay, [this, endpoint](Time) { attemptConnection(endpoint); });
}

/** Attempts a connection to an endpoint, to find out whether it has crashed. */
void PoisonRequestGuard::attemptConnection(const routing::EndpointEntry &endpoint)
{
    net::HttpCall call;
    call.address = endpoint.address;
    call.connectOnly = true;
    net::HttpHandlers handlers;
    handlers.onDone = [this, endpoint](const net::HttpEnd &end) {
        attemptedEndpoints_.erase(endpoint.lifetime());
        if (end.error && end.error->kind == ErrorKind::Unreachable) {
            onUnreachable(endpoint);
        }
    };
    client_.start(std::move(call), { connectTimeout, 0s, 0s, 0s }, std::move(handlers));
}

void PoisonRequestGuard::onUnreachable(const routing::EndpointEntry &endpoint)
{
    recordCrash(endpoint.lifetime(), crashDetector_.onUnreachable(endpoint.lifetime(), context_.now()));
}

void PoisonRequestGuard::onEndpointsChanged()
{
    for (const auto &crash : crashDetector_.takeEnded(state_.endpoints(), context_.now())) {
        recordCrash(crash.endpoint, crash.requests);
    }
}

void PoisonRequestGuard::recordCrash(const routing::EndpointLifetime &endpoint,
                                     const std::vector<Fingerprint> &requests)
{
    for (const auto request : requests) {
        if (!suspects_.recordCrash(request, endpoint, context_.now())) {
            continue;
        }
        context_.logger.state("suspect request",
                              { { "fingerprint", request },
                                { "endpoint", endpoint.endpoint },
                                { "crashes", suspects_.find(request)->crashes.size() },
                                { "quarantined", isQuarantined(request) } });
        broadcast(request);
        if (isQuarantined(request)) {
            store(request);
        }
    }
}

void PoisonRequestGuard::onSucceeded(Fingerprint request)
{
    if (!suspects_.recordSuccess(request, context_.now())) {
        return;
    }
    const auto crashes = suspects_.find(request)->crashes.size();
    context_.logger.state("suspect request cleared", { { "fingerprint", request }, { "crashes", crashes } });
    if (crashes > 1) {
        broadcast(request);
    }
}

void PoisonRequestGuard::broadcast(Fingerprint request)
{
    if (const auto *suspect = suspects_.find(request)) {
        links_.broadcast(encodeMessage(MessageKind::Suspect, toMessage(*suspect)));
    }
}

/** Writes a quarantined request to the store, unless it is known to be there. */
void PoisonRequestGuard::store(Fingerprint request)
{
    if (storedQuarantines_.insert(request).second) {
        state_.storeQuarantine(toMessage(*suspects_.find(request)));
    }
}

/** Returns whether this VM updates the record of a request in the store on behalf of all. */
bool PoisonRequestGuard::isResponsibleFor(Fingerprint request) const
{
    return links_.isResponsible("quarantine/" + std::to_string(request.value()), 1);
}

void PoisonRequestGuard::removeEndedQuarantines()
{
    std::erase_if(storedQuarantines_, [this](Fingerprint request) {
        const bool hasEnded = !isQuarantined(request);
        if (hasEnded && isResponsibleFor(request)) {
            state_.removeQuarantine(request);
        }
        return hasEnded;
    });
}

SuspectMessage PoisonRequestGuard::toMessage(const dispatch::Suspect &suspect) const
{
    SuspectMessage message;
    message.fingerprint = suspect.request.value();
    message.crashCount = suspect.isCleared ? 0 : static_cast<std::uint32_t>(suspect.crashes.size());
    for (const auto &crash : suspect.crashes) {
        message.crashes.push_back({ crash.endpoint.text(), crash.incarnation.value() });
    }
    message.ageMs = toMilliseconds(context_.now() - suspect.updatedAt);
    message.isCleared = suspect.isCleared;
    return message;
}

void PoisonRequestGuard::handleSuspect(const SuspectMessage &message)
{
    dispatch::Suspect suspect;
    suspect.request = Fingerprint(message.fingerprint);
    for (const auto &crash : message.crashes) {
        suspect.crashes.push_back({ EndpointId(crash.endpoint), Incarnation(crash.incarnation) });
    }
    suspect.isCleared = message.isCleared;
    suspect.updatedAt = context_.now() - std::chrono::milliseconds(std::max<std::int64_t>(message.ageMs, 0));
    const bool wasQuarantined = isQuarantined(suspect.request);
    if (!suspects_.merge(suspect, context_.now()) || wasQuarantined == isQuarantined(suspect.request)) {
        return;
    }
    context_.logger.state("quarantine received",
                          { { "fingerprint", suspect.request }, { "quarantined", !wasQuarantined } });
    // No VM may have recorded the decisive crash by itself, if several recorded one each at the same time.
    if (!wasQuarantined && isResponsibleFor(suspect.request)) {
        store(suspect.request);
    }
}

void PoisonRequestGuard::handleStoredQuarantine(const SuspectMessage &message)
{
    const Fingerprint request(message.fingerprint);
    if (storedQuarantines_.insert(request).second && !isQuarantined(request)) {
        handleSuspect(message);
    }
}

void PoisonRequestGuard::handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat)
{
    const Time now = context_.now();
    const bool isTooSoon = lastSuspectsRequestAt_ && now - *lastSuspectsRequestAt_ < minSuspectsRequestInterval;
    if (isTooSoon || heartbeat.suspectsDigest == 0 || heartbeat.suspectsDigest == digest()) {
        return;
    }
    lastSuspectsRequestAt_ = now;
    peer::CallHandlers handlers;
    handlers.onData = [this, vm](const std::string &data) {
        const auto response = wire::decode<SuspectsResponse>(data);
        if (!response) {
            context_.logger.warn("malformed suspects", { { "vm", vm }, { "error", response.error().detail } });
            return;
        }
        for (const auto &suspect : response.value().suspects) {
            handleSuspect(suspect);
        }
    };
    handlers.onFailed = [this, vm](const Error &error, bool) {
        context_.logger.warn("suspects not received", { { "vm", vm }, { "error", error.detail } });
    };
    links_.call(vm,
                encodeMessage(MessageKind::Suspects, SuspectsRequest { digest() }),
                suspectsCallLimits,
                std::move(handlers));
}

void PoisonRequestGuard::serveSuspects(peer::PeerCallWriter writer) const
{
    SuspectsResponse response;
    for (const auto &suspect : suspects_.repeatedSuspects(context_.now())) {
        response.suspects.push_back(toMessage(suspect));
    }
    writer.write(wire::encode(response));
    writer.end();
}

std::uint64_t PoisonRequestGuard::digest() const
{
    return suspects_.digest(context_.now());
}

void PoisonRequestGuard::expire(Time now)
{
    removeEndedQuarantines();
    suspects_.expire(now);
    if (const std::size_t expired = crashDetector_.expire(now); expired > 0) {
        context_.logger.state("lost connections not attributed to a crash", { { "requests", expired } });
    }
}

} // namespace lacewing::gateway
