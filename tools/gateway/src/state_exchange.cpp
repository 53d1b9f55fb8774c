#include "state_exchange.h"

#include "state_relay.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using routing::StateVersion;
using userplatform::LogPosition;

/** Time for which a request is held by a VM that does not have the state yet; shorter than the time for which the other
 * VM waits for the beginning of a response. */
constexpr Duration maxHoldTime = 600ms;
/** Time for which a VM that reads the store waits for a version from there before it requests it from another VM. */
constexpr Duration storeReadTime = 400ms;
/** Delay before all sources are asked again. */
constexpr Duration retryInterval = 200ms;
/** Responses up to this size do not count against the limit on transfers. */
constexpr std::size_t smallResponseBytes = std::size_t(16) << 10U;
/** Large responses that a VM sends at the same time: its part of the tree and some VMs with other views. */
constexpr std::size_t maxTransfers = relayFanOut + 2;
/** Earlier versions that are kept as bases of deltas; a VM that is further behind gets the complete state. */
constexpr std::size_t maxEarlierVersions = 4;
constexpr std::size_t maxLackingVersions = 32;
/** Impacts that are kept of a version: one from each reader of the store. */
constexpr std::size_t maxImpacts = 3;
/** Time after which an encoded delta is dropped that no VM has requested. */
constexpr Duration encodedTtl = 5s;
/** A state of the size that the store takes has some 20,000 routes of some 25 elements each. */
constexpr wire::Limits stateLimits { std::size_t(16) << 20U, 32, 2'000'000 };

} // namespace

StateExchange::StateExchange(Context &context,
                             FleetLinks &links,
                             std::function<void(routing::DesiredState, LogPosition)> onReceived,
                             std::function<bool()> isReadingStore)
    : context_(context)
    , links_(links)
    , onReceived_(std::move(onReceived))
    , isReadingStore_(std::move(isReadingStore))
{
}

// ---------------------------------------------------------------------------------------------------------------------
// What is known

bool StateExchange::isNewer(StateVersion version, std::uint64_t digest, LogPosition position) const
{
    if (!current_.table) {
        return true;
    }
    const StateVersion own = current_.table->state().version;
    return version > own || (version == own && digest != currentDigest_ && position > current_.position);
}

bool StateExchange::isNewer(const StateVersionMessage &version) const
{
    return isNewer(version.version, version.digest, LogPosition::fromPacked(version.position));
}

void StateExchange::setCurrent(PlacedState state)
{
    if (current_.table) {
        earlier_.emplace_back(currentDigest_, current_.table->state());
        if (earlier_.size() > maxEarlierVersions) {
            earlier_.pop_front();
        }
    }
    current_ = std::move(state);
    currentDigest_ = routing::digestOf(current_.table->state());
    encoded_.clear();
    needsComplete_ = false;
    std::erase_if(lacking_, [this](const auto &known) { return !isNewer(known.version); });
    auto waiters = std::exchange(waiters_, {});
    for (auto &[id, waiter] : waiters) {
        context_.loop.timers().cancel(waiter.timer);
        serve(waiter.request, std::move(waiter.writer));
    }
    update();
}

StateVersionMessage StateExchange::currentVersion() const
{
    return current_.table
        ? StateVersionMessage { current_.table->state().version, currentDigest_, current_.position.packed() }
        : StateVersionMessage {};
}

std::optional<Time> StateExchange::behindSince() const
{
    return lacking_.empty() ? std::nullopt : std::optional(lacking_.front().since);
}

void StateExchange::announce(const routing::RouteTable *previous)
{
    StateAnnouncement announcement { currentVersion(), std::nullopt };
    if (previous != nullptr) {
        announcement.impact = routing::computeImpact(previous->state(), current_.table->state());
    }
    links_.broadcast(encodeMessage(MessageKind::StateAnnouncement, announcement));
}

void StateExchange::handleVersion(const VmId &vm,
                                  const StateVersionMessage &version,
                                  const std::optional<routing::StateImpact> &impact)
{
    versions_[vm] = version;
    if (version.digest == 0 || !isNewer(version)) {
        return;
    }
    const bool isNews = lacking_.empty() || version.version > lacking_.back().version.version
        || (version.version == lacking_.back().version.version && version.position > lacking_.back().version.position);
    if (isNews) {
        context_.logger.state(
            "newer desired state known",
            { { "version", version.version }, { "in_force", currentVersion().version }, { "vm", vm } });
        lacking_.push_back({ version, context_.now(), {} });
        if (lacking_.size() > maxLackingVersions) {
            lacking_.erase(lacking_.begin() + 1); // the first one tells how long this VM has been behind
        }
        failedSources_.clear();
    }
    const auto known = std::find_if(
        lacking_.begin(), lacking_.end(), [&](const auto &item) { return item.version.digest == version.digest; });
    if (impact && known != lacking_.end() && known->impacts.size() < maxImpacts) {
        known->impacts.push_back(*impact);
    }
    update();
}

bool StateExchange::isNewerVersionLive() const
{
    return std::any_of(versions_.begin(), versions_.end(), [this](const auto &item) {
        return item.second.digest != 0 && isNewer(item.second) && links_.isLive(item.first);
    });
}

bool StateExchange::mayAffect(std::string_view host, std::string_view key) const
{
    // Follows the changes from the state in force to the latest one. Readers may have passed over some versions.
    std::set<std::uint64_t> reached { currentDigest_ };
    for (const auto &known : lacking_) {
        for (const auto &impact : known.impacts) {
            if (reached.contains(impact.baseDigest) && !impact.affectsHost(host)
                && (key.empty() || !impact.affectsKey(key))) {
                reached.insert(known.version.digest);
                break;
            }
        }
    }
    return !lacking_.empty() && !reached.contains(lacking_.back().version.digest);
}

void StateExchange::expire(Time now)
{
    std::erase_if(encoded_, [&](const auto &item) { return now - item.second.lastUsedAt > encodedTtl; });
    std::erase_if(versions_, [&](const auto &item) { return links_.find(item.first) == nullptr; });
}

// ---------------------------------------------------------------------------------------------------------------------
// Requests to other VMs

void StateExchange::scheduleUpdate(Time at)
{
    context_.loop.timers().cancel(updateTimer_);
    updateTimer_ = context_.loop.timers().once(at, [this](Time) { update(); });
}

/** Requests the latest known version if this VM lacks it and no request is in progress. */
void StateExchange::update()
{
    if (download_ || lacking_.empty()) {
        return;
    }
    const Time storeReadEnd = lacking_.back().since + storeReadTime;
    if (isReadingStore_() && context_.now() < storeReadEnd) {
        scheduleUpdate(storeReadEnd);
        return;
    }
    if (const auto source = chooseSource()) {
        startDownload(*source);
        return;
    }
    failedSources_.clear();
    scheduleUpdate(context_.now() + retryInterval);
}

/** Returns the first VM of this VM's path, or else any VM with the version, that has not failed to respond with it. */
std::optional<VmId> StateExchange::chooseSource() const
{
    std::vector<RelayCandidate> candidates;
    for (const auto &vm : links_.members(std::nullopt)) {
        candidates.push_back({ vm, links_.zoneOf(vm), links_.linkMbps(vm) });
    }
    for (const auto &vm : relayPath(context_.settings.vm, candidates, links_.storeReaders())) {
        if (!failedSources_.contains(vm)) {
            return vm;
        }
    }
    std::vector<std::string> holders;
    for (const auto &[vm, version] : versions_) {
        if (version.version >= lacking_.back().version.version && links_.isLive(vm) && !failedSources_.contains(vm)) {
            holders.push_back(vm.text());
        }
    }
    const auto chosen = rendezvous(context_.settings.vm.text(), holders, 1);
    return chosen.empty() ? std::nullopt : std::optional(VmId(holders[chosen.front()]));
}

void StateExchange::startDownload(const VmId &source)
{
    const auto own = currentVersion();
    const StateRequest request { own, needsComplete_ ? 0 : own.digest, lacking_.back().version };
    download_ = Download { source, request.wanted.version, context_.now() };
    BulkHandlers handlers;
    handlers.onReceived = [this](const std::string &bytes) { finishDownload(bytes); };
    handlers.onFailed = [this](const Error &error, std::size_t receivedBytes) {
        failDownload(toText(error.kind), receivedBytes);
    };
    requestBulk(links_,
                source,
                encodeMessage(MessageKind::State, request),
                stateLimits.bytes,
                bulkCallLimits,
                std::move(handlers));
}

void StateExchange::failDownload(std::string_view reason, std::size_t receivedBytes)
{
    context_.logger.warn("desired state not received",
                         { { "vm", download_->source },
                           { "version", download_->wanted },
                           { "error", reason },
                           { "bytes", receivedBytes },
                           { "ms", toMilliseconds(context_.now() - download_->startedAt) } });
    failedSources_.insert(download_->source);
    download_.reset();
    update();
}

void StateExchange::finishDownload(const std::string &bytes)
{
    const auto response = wire::decode<StateResponse>(bytes, stateLimits);
    if (!response) {
        failDownload(response.error().detail, bytes.size());
        return;
    }
    const auto &delta = response.value().delta;
    const auto position = LogPosition::fromPacked(response.value().position);
    const bool isOvertaken = !isNewer(delta.version, delta.digest, position);
    if (isOvertaken || (delta.baseDigest != 0 && delta.baseDigest != currentDigest_)) {
        // Another state came from the store meanwhile.
        download_.reset();
        update();
        return;
    }
    auto state = routing::applyDelta(current_.table ? &current_.table->state() : nullptr, delta);
    if (!state) {
        needsComplete_ = true;
        failDownload(state.error().detail, bytes.size());
        return;
    }
    context_.logger.state("desired state received",
                          { { "vm", download_->source },
                            { "version", delta.version },
                            { "complete", delta.baseDigest == 0 },
                            { "bytes", bytes.size() },
                            { "ms", toMilliseconds(context_.now() - download_->startedAt) } });
    download_.reset();
    onReceived_(std::move(state.value()), position);
}

// ---------------------------------------------------------------------------------------------------------------------
// Requests of other VMs

void StateExchange::serve(const StateRequest &request, peer::PeerCallWriter writer)
{
    const auto own = currentVersion();
    const bool isNewToOther = current_.table
        && (own.version > request.own.version
            || (own.version == request.own.version && own.digest != request.own.digest
                && own.position > request.own.position));
    if (isNewToOther && own.version >= request.wanted.version) {
        respond(request, std::move(writer));
        return;
    }
    const std::uint64_t id = ++lastWaiter_;
    const auto timer = context_.loop.timers().once(context_.now() + maxHoldTime, [this, id](Time) {
        if (auto waiter = waiters_.extract(id)) {
            waiter.mapped().writer.fail({ ErrorKind::Unavailable, "not there yet" });
        }
    });
    waiters_.emplace(id, Waiter { request, std::move(writer), timer });
}

void StateExchange::respond(const StateRequest &request, peer::PeerCallWriter writer)
{
    const auto bytes = encodedDelta(request.baseDigest);
    const bool isLarge = bytes->size() > smallResponseBytes;
    if (isLarge && responses_.countLarger(smallResponseBytes) >= maxTransfers) {
        writer.fail({ ErrorKind::TooMany, "sends the state to enough VMs" });
        return;
    }
    responses_.send(bytes, std::move(writer));
}

/** Returns the response to VMs with a state; the complete state if that is not one of the latest, or none. */
std::shared_ptr<const std::string> StateExchange::encodedDelta(std::uint64_t baseDigest)
{
    const auto base =
        std::find_if(earlier_.begin(), earlier_.end(), [&](const auto &state) { return state.first == baseDigest; });
    const bool hasBase = base != earlier_.end();
    auto &encoded = encoded_[hasBase ? baseDigest : 0];
    if (!encoded.bytes) {
        StateResponse response;
        response.position = current_.position.packed();
        response.delta = routing::makeDelta(hasBase ? &base->second : nullptr, current_.table->state());
        encoded.bytes = std::make_shared<const std::string>(wire::encode(response));
    }
    encoded.lastUsedAt = context_.now();
    return encoded.bytes;
}

} // namespace lacewing::gateway
