#include "stream_origins.h"

#include "bulk_response.h"

#include <algorithm>
#include <set>

namespace lacewing::gateway
{
namespace
{

using routing::StreamKey;
using routing::StreamOrigin;

/** Time for which what is told is gathered, so that a VM gets one message for several streams. */
constexpr Duration flushDelay = 20ms;
/** Delay before a lookup is repeated: a caller may come back before the VMs have been told. */
constexpr Duration secondRoundDelay = 100ms;
constexpr int maxRounds = 2;
constexpr std::size_t minHolders = 3;
/** Zones that hold an origin beside that of the VM at which the stream began; bounds what is told in fleets of many. */
constexpr std::size_t maxHolderZones = 3;
constexpr std::size_t maxResponseBytes = 4'096;
/** A caller waits for a lookup: a VM that is frozen or cut off must not take long. */
constexpr peer::CallLimits lookupLimits { 150ms, 200ms, 200ms, 300ms };
/** Streams whose origin is held: at 370 VMs in seven zones and 4,600 streams a second, a VM is told of 90 a second,
 * which are held for a minute at most. */
constexpr std::size_t maxHeldOrigins = 20'000;
/** Streams begun at one VM: some 13 a second at that size. */
constexpr std::size_t maxOwnStreams = 5'000;
/** Minimum interval between looks for VMs that have to be told anew: in a large fleet some VM restarts all the time. */
constexpr Duration renewalInterval = 500ms;
/** Origins that a VM that stops hands over at once, each @ref flushDelay. */
constexpr std::size_t maxHandedOverAtOnce = 256;

} // namespace

OriginHolders::OriginHolders(std::span<const OriginHolder> candidates)
{
    for (const auto &candidate : candidates) {
        vms_.push_back(candidate.vm.text());
        vmsByZone_[candidate.zone.text()].push_back(candidate.vm.text());
    }
    for (const auto &[zone, vms] : vmsByZone_) {
        zones_.push_back(zone);
    }
}

std::vector<VmId> OriginHolders::choose(StreamKey stream, const AvailabilityZoneId &ownZone, std::size_t perZone) const
{
    const std::string key = std::to_string(stream.value());
    std::set<std::string> chosenZones { ownZone.text() };
    for (const auto index : rendezvous(key, zones_, maxHolderZones)) {
        chosenZones.insert(zones_[index]);
    }
    std::vector<VmId> chosen;
    for (const auto &zone : chosenZones) {
        if (const auto vms = vmsByZone_.find(zone); vms != vmsByZone_.end()) {
            for (const auto index : rendezvous(key, vms->second, perZone)) {
                chosen.emplace_back(vms->second[index]);
            }
        }
    }
    const std::size_t wanted = std::min(minHolders * perZone, vms_.size());
    if (chosen.size() >= wanted) {
        return chosen;
    }
    for (const auto index : rendezvous(key, vms_, vms_.size())) {
        const VmId vm(vms_[index]);
        if (chosen.size() < wanted && std::find(chosen.begin(), chosen.end(), vm) == chosen.end()) {
            chosen.push_back(vm);
        }
    }
    return chosen;
}

StreamOrigins::StreamOrigins(Context &context, FleetLinks &links, FleetState &state)
    : context_(context)
    , links_(links)
    , state_(state)
    , table_(maxHeldOrigins)
    , toldCounter_(context.metrics.counter({ "stream_origins_told", "Origins of streams sent to other VMs" }))
    , renewedCounter_(context.metrics.counter(
          { "stream_origins_renewed", "Origins sent again, as VMs that had been told have ended or restarted" }))
    , foundCounter_(context.metrics.counter({ "stream_origins_found", "Resumed streams whose origin was known" }))
    , unknownCounter_(context.metrics.counter({ "stream_origins_unknown", "Resumed streams whose origin no VM knew" }))
{
}

StreamKey StreamOrigins::keyOf(const stages::RequestId &request, const std::optional<WorkspaceId> &workspace)
{
    // A caller can't name a stream of another workspace.
    return StreamKey(hashBytes(request.text(), workspace ? hashBytes(workspace->text()) : 0));
}

OriginHolders StreamOrigins::makeHolders() const
{
    std::vector<OriginHolder> candidates;
    for (const auto &vm : links_.members(std::nullopt)) {
        candidates.push_back({ vm, links_.zoneOf(vm) });
    }
    return OriginHolders(candidates);
}

bool StreamOrigins::isSole(const routing::ServiceId &service) const
{
    return state_.soleVersion(service, false).has_value();
}

std::optional<StreamOrigin> StreamOrigins::soleOrigin(const routing::Route &route, bool isConfirmed) const
{
    if (route.services.size() != 1) {
        return std::nullopt;
    }
    const auto &service = route.services.front().service;
    const auto version = state_.soleVersion(service, isConfirmed);
    return version ? std::optional(StreamOrigin { service, version }) : std::nullopt;
}

// ---------------------------------------------------------------------------------------------------------------------
// Telling

void StreamOrigins::onBegun(StreamKey stream, const StreamOrigin &origin, bool isRouteSole, Time expiresAt)
{
    if (!origin.version || (own_.size() >= maxOwnStreams && !own_.contains(stream))) {
        return;
    }
    const auto [own, isNew] = own_.try_emplace(stream, OwnStream { origin, expiresAt });
    if (isNew) {
        ++untold_;
    } else if (expiresAt <= own->second.expiresAt) {
        return;
    }
    own->second.expiresAt = expiresAt;
    own->second.holders.clear(); // they know of an earlier end, if any
    if (!isRouteSole || isStopping_) {
        tell(stream, own->second);
    }
}

void StreamOrigins::onCompleted(StreamKey stream)
{
    if (const auto own = own_.extract(stream)) {
        untold_ -= own.mapped().isTold ? 0 : 1;
    }
}

void StreamOrigins::tell(StreamKey stream, OwnStream &own)
{
    untold_ -= std::exchange(own.isTold, true) ? 0 : 1;
    toldCounter_.add();
    tellHolders(makeHolders(), stream, own);
}

/** Identifies a VM from its start to its end: one that has restarted knows nothing of what it was told before. */
std::uint64_t StreamOrigins::runOf(const VmId &vm) const
{
    const auto *peerVm = links_.find(vm);
    return hashBytes(vm.text(), peerVm != nullptr ? peerVm->heartbeat.incarnation : 0);
}

/** Tells a stream to its holders, except those that know it. @return whether there are any others */
bool StreamOrigins::tellHolders(const OriginHolders &holders, StreamKey stream, OwnStream &own)
{
    bool isSent = false;
    std::vector<std::uint64_t> runs;
    for (const auto &vm : holders.choose(stream, context_.settings.zone, 1)) {
        runs.push_back(runOf(vm));
        if (vm == context_.settings.vm) {
            table_.insert(stream, own.origin, own.expiresAt);
        } else if (std::find(own.holders.begin(), own.holders.end(), runs.back()) == own.holders.end()) {
            queue(vm, stream, own.origin, own.expiresAt);
            isSent = true;
        }
    }
    own.holders = std::move(runs);
    return isSent;
}

void StreamOrigins::queue(const VmId &vm, StreamKey stream, const StreamOrigin &origin, Time expiresAt)
{
    const Duration timeToLive = std::max<Duration>(expiresAt - context_.now(), Duration::zero());
    auto &groups = outgoing_[vm].groups;
    auto group = std::find_if(groups.begin(), groups.end(), [&](const auto &existing) {
        return existing.service == origin.service && existing.version == origin.version;
    });
    if (group == groups.end()) {
        group = groups.insert(groups.end(), { origin.service, *origin.version, {}, {} });
    }
    group->streams.push_back(stream);
    group->timesToLiveMs.push_back(static_cast<std::uint32_t>(toMilliseconds(timeToLive)));
    if (!std::exchange(isFlushScheduled_, true)) {
        context_.loop.timers().once(context_.now() + flushDelay, [this](Time) { flush(); });
    }
}

void StreamOrigins::flush()
{
    isFlushScheduled_ = false;
    for (const auto &[vm, message] : std::exchange(outgoing_, {})) {
        links_.send(vm, encodeMessage(MessageKind::StreamOrigins, message));
    }
}

void StreamOrigins::update()
{
    if (untold_ > 0) {
        tellNewVersions();
    }
    if (untold_ < own_.size()) {
        renewHolders();
    }
}

/** Tells the streams of services that have got a second version. */
void StreamOrigins::tellNewVersions()
{
    std::map<routing::ServiceId, bool> isToldByService;
    for (auto &[stream, own] : own_) {
        const auto [isTold, isFirst] = isToldByService.try_emplace(own.origin.service);
        if (isFirst) {
            isTold->second = !isSole(own.origin.service);
        }
        if (!own.isTold && isTold->second) {
            tell(stream, own);
        }
    }
}

/** Tells others in place of the VMs that have ended or restarted since they were told. */
void StreamOrigins::renewHolders()
{
    std::uint64_t digest = 0;
    for (const auto &vm : links_.members(std::nullopt)) {
        digest ^= runOf(vm);
    }
    if (digest == lastRunsDigest_ || context_.now() < nextRenewalAt_) {
        return;
    }
    lastRunsDigest_ = digest;
    nextRenewalAt_ = context_.now() + renewalInterval;
    const auto holders = makeHolders();
    std::size_t renewed = 0;
    for (auto &[stream, own] : own_) {
        renewed += own.isTold && tellHolders(holders, stream, own) ? 1 : 0;
    }
    if (renewed > 0) {
        renewedCounter_.add(double(renewed));
        context_.logger.state("stream origins renewed", { { "streams", renewed } });
    }
}

void StreamOrigins::handOver()
{
    isStopping_ = true;
    for (auto &[stream, own] : own_) {
        tell(stream, own);
    }
    table_.forEach(context_.now(), [&](StreamKey stream, const StreamOrigin &origin, Time expiresAt) {
        handedOver_.push_back({ stream, origin, expiresAt });
    });
    context_.logger.state("stream origins handed over", { { "own", own_.size() }, { "held", handedOver_.size() } });
    handOverHeld();
}

/** Hands over the next of the origins that this VM holds for others; not all at once, as requests are under way. */
void StreamOrigins::handOverHeld()
{
    const auto holders = makeHolders();
    for (std::size_t count = 0; count < maxHandedOverAtOnce && !handedOver_.empty(); ++count) {
        const auto &held = handedOver_.back();
        for (const auto &vm : holders.choose(held.stream, context_.settings.zone, 1)) {
            queue(vm, held.stream, held.origin, held.expiresAt);
        }
        handedOver_.pop_back();
    }
    if (!handedOver_.empty()) {
        context_.loop.timers().once(context_.now() + flushDelay, [this](Time) { handOverHeld(); });
    }
}

void StreamOrigins::expire(Time now)
{
    table_.expire(now);
    std::erase_if(own_, [&](const auto &item) {
        const bool isExpired = item.second.expiresAt <= now;
        untold_ -= isExpired && !item.second.isTold ? 1 : 0;
        return isExpired;
    });
}

void StreamOrigins::handleOrigins(const StreamOriginsMessage &message)
{
    for (const auto &group : message.groups) {
        const StreamOrigin origin { group.service, group.version };
        const auto count = std::min(group.streams.size(), group.timesToLiveMs.size());
        for (std::size_t index = 0; index < count; ++index) {
            table_.insert(
                group.streams[index], origin, context_.now() + std::chrono::milliseconds(group.timesToLiveMs[index]));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Looking up

std::optional<StreamOrigin> StreamOrigins::findHere(StreamKey stream) const
{
    if (const auto own = own_.find(stream); own != own_.end() && own->second.expiresAt > context_.now()) {
        return own->second.origin;
    }
    const auto *origin = table_.find(stream, context_.now());
    return origin != nullptr ? std::optional(*origin) : std::nullopt;
}

void StreamOrigins::find(StreamKey stream, std::function<void(std::optional<StreamOrigin>)> onDone)
{
    if (const auto origin = findHere(stream)) {
        foundCounter_.add();
        onDone(origin);
        return;
    }
    auto &lookup = lookups_[stream];
    lookup.onDone.push_back(std::move(onDone));
    if (lookup.onDone.size() == 1) {
        ask(stream);
    }
}

void StreamOrigins::ask(StreamKey stream)
{
    Lookup &lookup = lookups_[stream];
    ++lookup.rounds;
    std::vector<VmId> vms = makeHolders().choose(stream, context_.settings.zone, 2);
    std::erase(vms, context_.settings.vm);
    lookup.pending = vms.size();
    if (vms.empty()) {
        finishRound(stream);
        return;
    }
    for (const auto &vm : vms) {
        BulkHandlers handlers;
        handlers.onReceived = [this, stream](const std::string &bytes) {
            const auto response = wire::decode<StreamOriginResponse>(bytes);
            if (response && response.value().isKnown) {
                finishLookup(stream, StreamOrigin { response.value().service, response.value().version });
            } else {
                finishRound(stream);
            }
        };
        handlers.onFailed = [this, stream](const Error &, std::size_t) { finishRound(stream); };
        requestBulk(links_,
                    vm,
                    encodeMessage(MessageKind::StreamOrigin, StreamOriginRequest { stream }),
                    maxResponseBytes,
                    lookupLimits,
                    std::move(handlers));
    }
}

/** Called when a VM does not know a stream or does not respond. */
void StreamOrigins::finishRound(StreamKey stream)
{
    const auto found = lookups_.find(stream);
    if (found == lookups_.end() || (found->second.pending > 0 && --found->second.pending > 0)) {
        return;
    }
    if (found->second.rounds >= maxRounds) {
        finishLookup(stream, findHere(stream));
        return;
    }
    context_.loop.timers().once(context_.now() + secondRoundDelay, [this, stream](Time) {
        if (const auto origin = findHere(stream)) {
            finishLookup(stream, origin);
        } else if (lookups_.contains(stream)) {
            ask(stream);
        }
    });
}

void StreamOrigins::finishLookup(StreamKey stream, const std::optional<StreamOrigin> &origin)
{
    const auto lookup = lookups_.extract(stream);
    if (!lookup) {
        return;
    }
    (origin ? foundCounter_ : unknownCounter_).add();
    for (const auto &onDone : lookup.mapped().onDone) {
        onDone(origin);
    }
}

void StreamOrigins::serve(const StreamOriginRequest &request, peer::PeerCallWriter writer) const
{
    StreamOriginResponse response;
    if (const auto origin = findHere(request.stream); origin && origin->version) {
        response = { true, origin->service, *origin->version };
    }
    writer.write(wire::encode(response));
    writer.end();
}

} // namespace lacewing::gateway
