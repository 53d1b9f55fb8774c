#include "poison_request_guard.h"

#include <charconv>

namespace lacewing::gateway
{
namespace
{

/** Delay of the connection attempt after a loss: a process that ends closes its sockets one after the other. */
constexpr Duration attemptDelay = 20ms;
constexpr Duration connectTimeout = 400ms;
/** Minimum interval between requests for suspects to other VMs. */
constexpr Duration minSuspectsRequestInterval = 500ms;
constexpr std::size_t maxSuspectsBytes = std::size_t(4) << 20U;
/** Time for which it is known which request a lost piece belongs to; longer than a crash is looked for. */
constexpr Duration lostPieceTtl = 120s;

std::string storeName(Fingerprint request)
{
    return std::to_string(request.value());
}

/** Returns the request that storeName() names; empty if it is the name of something else. */
std::optional<Fingerprint> parseStoreName(const std::string &name)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), value);
    return error == std::errc() && end == name.data() + name.size() ? std::optional(Fingerprint(value)) : std::nullopt;
}

/** Identifies a piece over all attempts of its request. */
Fingerprint pieceFingerprint(const stages::PieceTask &piece)
{
    const std::string index = std::to_string(piece.index.stage) + "." + std::to_string(piece.index.piece);
    return Fingerprint(hashBytes(index, piece.fingerprint.value()));
}

} // namespace

PoisonRequestGuard::PoisonRequestGuard(Context &context,
                                       FleetLinks &links,
                                       FleetState &state,
                                       const EndpointNotices &notices,
                                       EndpointReachability &reachability,
                                       PoisonPromptGuard &prompts)
    : context_(context)
    , links_(links)
    , state_(state)
    , notices_(notices)
    , reachability_(reachability)
    , prompts_(prompts)
    , crashCounter_(
          context.metrics.counter({ "endpoint_crashes", "Crashes of endpoints that ran requests of this VM" }))
    , suspectCounter_(context.metrics.counter({ "suspect_requests", "Requests in flight at a crash, once for each" }))
    , quarantineCounter_(
          context.metrics.counter({ "quarantines", "Requests that became quarantined, as known to this VM" }))
    , unattributedCounter_(context.metrics.counter(
          { "unattributed_losses", "Requests and pieces whose connection was lost for another reason than a crash" }))
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

void PoisonRequestGuard::onConnectionLost(const routing::EndpointEntry &endpoint,
                                          dispatch::LostRequest lost,
                                          net::HttpClient &client)
{
    crashDetector_.onConnectionLost(endpoint.lifetime(), std::move(lost));
    checkEndpoint(endpoint, client, [] {});
}

void PoisonRequestGuard::onCallLost(const routing::EndpointEntry &endpoint,
                                    std::span<const stages::PieceTask> pieces,
                                    net::HttpClient &client,
                                    std::function<void()> onChecked)
{
    for (const auto &piece : pieces) {
        if (piece.fingerprint != Fingerprint()) {
            const auto suspect = pieceFingerprint(piece);
            lostPieces_[suspect] = { piece.fingerprint, context_.now() };
            dispatch::LostRequest lostPiece;
            lostPiece.request = suspect;
            lostPiece.lostAt = context_.now();
            pieceCrashDetector_.onConnectionLost(endpoint.lifetime(), std::move(lostPiece));
        }
    }
    checkEndpoint(endpoint, client, std::move(onChecked));
}

/** Finds out whether an endpoint has crashed: its lifetime has ended, or it refuses connections. */
void PoisonRequestGuard::checkEndpoint(const routing::EndpointEntry &endpoint,
                                       net::HttpClient &client,
                                       std::function<void()> onChecked)
{
    if (state_.endpoints().hasEnded(endpoint.lifetime())) {
        onEndpointsChanged();
    }
    state_.endpoints().markDoubtful(endpoint.lifetime(), context_.now());
    const auto [check, isFirst] = checkedEndpoints_.try_emplace(endpoint.lifetime());
    check->second.push_back(std::move(onChecked));
    if (isFirst) {
        context_.loop.timers().once(context_.now() + attemptDelay,
                                    [this, endpoint, &client](Time) { attemptConnection(endpoint, client); });
    }
}

void PoisonRequestGuard::attemptConnection(const routing::EndpointEntry &endpoint, net::HttpClient &client)
{
    if (notices_.quietUntil(endpoint.lifetime())) {
        // It answered a moment ago, so it has hardly crashed; its registration tells if it has.
        for (const auto &onChecked : takeCheck(endpoint.lifetime())) {
            onChecked();
        }
        return;
    }
    net::HttpCall call;
    call.address = endpoint.address;
    call.connectOnly = true;
    net::HttpHandlers handlers;
    handlers.onDone = [this, endpoint, attemptedAt = context_.now()](const net::HttpEnd &end) {
        const auto check = takeCheck(endpoint.lifetime());
        if (end.error && end.error->kind == ErrorKind::Unreachable) {
            reachability_.onConnectFailed(endpoint);
            onUnreachable(endpoint);
        } else if (!end.error) {
            reachability_.onConnected(endpoint);
            crashDetector_.onReachable(endpoint.lifetime(), attemptedAt);
            // An endpoint that has crashed is down for longer than the delay of this attempt.
            state_.endpoints().clearDoubt(endpoint.lifetime());
        }
        for (const auto &onChecked : check) {
            onChecked();
        }
    };
    client.start(std::move(call), { connectTimeout, 0s, 0s, 0s }, std::move(handlers));
}

bool PoisonRequestGuard::awaitCheck(const routing::EndpointLifetime &endpoint, std::function<void()> onChecked)
{
    const auto check = checkedEndpoints_.find(endpoint);
    if (check == checkedEndpoints_.end()) {
        return false;
    }
    check->second.push_back(std::move(onChecked));
    return true;
}

/** Ends the check of an endpoint. @return what is to be called then */
std::vector<std::function<void()>> PoisonRequestGuard::takeCheck(const routing::EndpointLifetime &endpoint)
{
    auto check = checkedEndpoints_.extract(endpoint);
    return check ? std::move(check.mapped()) : std::vector<std::function<void()>>();
}

void PoisonRequestGuard::onUnreachable(const routing::EndpointEntry &endpoint)
{
    const auto lifetime = endpoint.lifetime();
    state_.endpoints().markDoubtful(lifetime, context_.now());
    auto requests = crashDetector_.onUnreachable(lifetime, context_.now());
    auto pieces = pieceCrashDetector_.onUnreachable(lifetime, context_.now());
    if (!requests.empty() || !pieces.empty()) {
        confirmCrash(endpoint, std::move(requests), std::move(pieces));
    }
}

/** Records a crash unless this VM's own path to the endpoints is at fault. */
void PoisonRequestGuard::confirmCrash(const routing::EndpointEntry &endpoint,
                                      std::vector<dispatch::LostRequest> requests,
                                      std::vector<dispatch::LostRequest> pieces)
{
    const auto lifetime = endpoint.lifetime();
    reachability_.checkOthers(
        endpoint, [this, lifetime, requests = std::move(requests), pieces = std::move(pieces)](bool isEndpointAtFault) {
            if (isEndpointAtFault) {
                recordCrash(lifetime, requests);
                recordPieceCrash(lifetime, pieces);
                return;
            }
            context_.logger.state(
                "crash not confirmed",
                { { "endpoint", lifetime.endpoint }, { "requests", requests.size() + pieces.size() } });
            // Its registration may still show that its lifetime has ended.
            for (const auto &lost : requests) {
                crashDetector_.onConnectionLost(lifetime, lost);
            }
            for (const auto &lost : pieces) {
                pieceCrashDetector_.onConnectionLost(lifetime, lost);
            }
        });
}

void PoisonRequestGuard::onEndpointsChanged()
{
    for (const auto &crash : crashDetector_.takeEnded(state_.endpoints(), context_.now())) {
        recordCrash(crash.endpoint, crash.requests);
    }
    for (const auto &crash : pieceCrashDetector_.takeEnded(state_.endpoints(), context_.now())) {
        recordPieceCrash(crash.endpoint, crash.requests);
    }
}

void PoisonRequestGuard::recordPieceCrash(const routing::EndpointLifetime &endpoint,
                                          const std::vector<dispatch::LostRequest> &pieces)
{
    if (pieces.empty()) {
        return;
    }
    context_.logger.state("suspect pieces", { { "endpoint", endpoint.endpoint }, { "pieces", pieces.size() } });
    for (const auto &lostPiece : pieces) {
        const Fingerprint piece = lostPiece.request;
        suspectPieces_.recordCrash(piece, endpoint, context_.now());
        const auto lost = lostPieces_.find(piece);
        const auto *suspect = suspectPieces_.find(piece);
        if (lost == lostPieces_.end() || suspect == nullptr || !suspectPieces_.isQuarantined(piece, context_.now())) {
            continue;
        }
        for (const auto &crash : suspect->crashes) {
            recordCrash(crash, lost->second.request);
        }
    }
}

void PoisonRequestGuard::onPieceSucceeded(const stages::PieceTask &piece)
{
    if (suspectPieces_.size() > 0) {
        suspectPieces_.recordSuccess(pieceFingerprint(piece), context_.now());
    }
}

bool PoisonRequestGuard::isSuspect(const stages::PieceTask &piece) const
{
    return suspectPieces_.size() > 0 && suspectPieces_.isRepeatedSuspect(pieceFingerprint(piece), context_.now());
}

void PoisonRequestGuard::recordCrash(const routing::EndpointLifetime &endpoint,
                                     const std::vector<dispatch::LostRequest> &requests)
{
    if (requests.empty()) {
        return;
    }
    crashCounter_.add();
    for (const auto &lost : requests) {
        recordCrash(endpoint, lost.request);
    }
    prompts_.onCrash(endpoint, requests);
}

void PoisonRequestGuard::recordCrash(const routing::EndpointLifetime &endpoint, Fingerprint request)
{
    if (prompts_.isExplained(endpoint) || !suspects_.recordCrash(request, endpoint, context_.now())) {
        return;
    }
    suspectCounter_.add();
    const auto *suspect = suspects_.find(request);
    context_.logger.state("suspect request",
                          { { "fingerprint", request },
                            { "endpoint", endpoint.endpoint },
                            { "crashes", suspect != nullptr ? suspect->crashes.size() : 0 },
                            { "quarantined", isQuarantined(request) } });
    broadcast(request);
    if (isQuarantined(request)) {
        handleQuarantine(request);
        store(request);
    }
}

/** Called when a request has become quarantined, as known to this VM. */
void PoisonRequestGuard::handleQuarantine(Fingerprint request)
{
    quarantineCounter_.add();
    if (const auto *suspect = suspects_.find(request)) {
        prompts_.onRequestQuarantined(suspect->crashes);
    }
}

void PoisonRequestGuard::onPartsQuarantined()
{
    suspects_.removeCrashes([this](const auto &endpoint) { return prompts_.isExplained(endpoint); });
}

void PoisonRequestGuard::onSucceeded(Fingerprint request)
{
    if (!suspects_.recordSuccess(request, context_.now())) {
        return;
    }
    const auto *suspect = suspects_.find(request);
    const std::size_t crashes = suspect != nullptr ? suspect->crashes.size() : 0;
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
    const auto *suspect = suspects_.find(request);
    if (suspect != nullptr && storedQuarantines_.insert(request).second) {
        state_.storeQuarantine(storeName(request), wire::encode(toMessage(*suspect)));
    }
}

/** Returns whether this VM updates the record of a request in the store on behalf of all. */
bool PoisonRequestGuard::isResponsibleFor(Fingerprint request) const
{
    return links_.isResponsible("quarantine/" + storeName(request), 1);
}

void PoisonRequestGuard::removeEndedQuarantines()
{
    std::erase_if(storedQuarantines_, [this](Fingerprint request) {
        const bool hasEnded = !isQuarantined(request);
        if (hasEnded && isResponsibleFor(request)) {
            state_.removeQuarantine(storeName(request));
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
        const routing::EndpointLifetime endpoint { EndpointId(crash.endpoint), Incarnation(crash.incarnation) };
        if (!message.isCleared) {
            state_.endpoints().markDoubtful(endpoint, context_.now());
        }
        if (!prompts_.isExplained(endpoint)) {
            suspect.crashes.push_back(endpoint);
        }
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
    if (!wasQuarantined) {
        handleQuarantine(suspect.request);
        if (isResponsibleFor(suspect.request)) {
            store(suspect.request);
        }
    }
}

void PoisonRequestGuard::handleStoredQuarantine(const std::string &bytes)
{
    const auto message = wire::decode<SuspectMessage>(bytes);
    if (!message) {
        context_.logger.warn("malformed quarantine", { { "error", message.error().detail } });
        return;
    }
    const Fingerprint request(message.value().fingerprint);
    if (storedQuarantines_.insert(request).second && !isQuarantined(request)) {
        handleSuspect(message.value());
    }
}

void PoisonRequestGuard::restoreStored(const std::set<std::string> &stored)
{
    storedQuarantines_.clear();
    for (const auto &name : stored) {
        if (const auto request = parseStoreName(name)) {
            storedQuarantines_.insert(*request); // those that have ended are removed when they expire next
        }
    }
    for (const auto &suspect : suspects_.repeatedSuspects(context_.now())) {
        if (isQuarantined(suspect.request) && isResponsibleFor(suspect.request)) {
            store(suspect.request);
        }
    }
}

void PoisonRequestGuard::handleHeartbeat(const VmId &vm, const Heartbeat &heartbeat)
{
    const Time now = context_.now();
    const bool isTooSoon = lastSuspectsRequestAt_ && now - *lastSuspectsRequestAt_ < minSuspectsRequestInterval;
    // A digest is computed over all suspects, which is too much for each heartbeat, and most of them are equal.
    const bool isSame = heartbeat.suspectsDigest == lastDigest_;
    if (areSuspectsRequested_ || isTooSoon || heartbeat.suspectsDigest == 0 || isSame
        || heartbeat.suspectsDigest == updateDigest()) {
        return;
    }
    lastSuspectsRequestAt_ = now;
    areSuspectsRequested_ = true;
    BulkHandlers handlers;
    handlers.onReceived = [this, vm](const std::string &bytes) {
        areSuspectsRequested_ = false;
        const auto response = wire::decode<SuspectsResponse>(bytes);
        if (!response) {
            context_.logger.warn("malformed suspects", { { "vm", vm }, { "error", response.error().detail } });
            return;
        }
        for (const auto &suspect : response.value().suspects) {
            handleSuspect(suspect);
        }
        prompts_.handleParts(response.value().parts);
    };
    handlers.onFailed = [this, vm](const Error &error, std::size_t receivedBytes) {
        areSuspectsRequested_ = false;
        context_.logger.warn("suspects not received",
                             { { "vm", vm }, { "error", error.detail }, { "bytes", receivedBytes } });
    };
    requestBulk(
        links_, vm, encodeMessage(MessageKind::Suspects), maxSuspectsBytes, bulkCallLimits, std::move(handlers));
}

void PoisonRequestGuard::serveSuspects(peer::PeerCallWriter writer)
{
    SuspectsResponse response;
    for (const auto &suspect : suspects_.repeatedSuspects(context_.now())) {
        response.suspects.push_back(toMessage(suspect));
    }
    response.parts = prompts_.quarantinedParts();
    suspectResponses_.send(std::make_shared<const std::string>(wire::encode(response)), std::move(writer));
}

std::uint64_t PoisonRequestGuard::updateDigest()
{
    lastDigest_ = suspects_.digest(context_.now()) ^ prompts_.digest();
    return lastDigest_;
}

void PoisonRequestGuard::expire(Time now)
{
    removeEndedQuarantines();
    suspects_.expire(now);
    suspectPieces_.expire(now);
    std::erase_if(lostPieces_, [&](const auto &item) { return now - item.second.lostAt > lostPieceTtl; });
    const std::size_t expired = crashDetector_.expire(now) + pieceCrashDetector_.expire(now);
    if (expired > 0) {
        unattributedCounter_.add(double(expired));
        context_.logger.state("lost connections not attributed to a crash", { { "requests", expired } });
    }
}

} // namespace lacewing::gateway
