#include "endpoint_table.h"

#include <algorithm>
#include <cmath>

namespace lacewing::policy
{

namespace
{

/** Retention of the changes of localCalls, which are compared with delayed reports. */
constexpr Duration changeHistory = 12s;
/** Older reports are ignored. */
constexpr Duration reportLifetime = 20s;
/** Minimum weight of one call in the smoothed observations of an endpoint. */
constexpr double observationGain = 0.1;
/** Calls required before an endpoint is compared with its peers. */
constexpr double minCallsForComparison = 8;
/** Calls required to evaluate an endpoint after an ejection. */
constexpr double minProbeCalls = 3;
/** An endpoint is slow above this multiple of the median of its peers. */
constexpr double slowFactor = 2.0;
/** An endpoint is failing above this fraction of failed calls if the median of its peers is below a third of its own.
 */
constexpr double failingThreshold = 0.3;
/** Maximum fraction of a pool that is ejected at a time; more outliers than that indicate a common cause. */
constexpr double maxEjectedFraction = 0.2;
constexpr Duration minEjectBackoff = 2s;
constexpr Duration maxEjectBackoff = 30s;
constexpr Duration minUnreachableBackoff = 500ms;
constexpr Duration maxUnreachableBackoff = 8s;

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + std::ptrdiff_t(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void trimHistory(Endpoint &endpoint, Time now)
{
    while (!endpoint.localChanges.empty() && endpoint.localChanges.front().first < now - changeHistory) {
        endpoint.localChanges.pop_front();
    }
}

/** Returns the calls of this policy that were in flight at an earlier time. */
double localCallsAt(const Endpoint &endpoint, Time when)
{
    int localCalls = int(endpoint.localCalls);
    for (auto change = endpoint.localChanges.rbegin(); change != endpoint.localChanges.rend() && change->first > when;
         ++change) {
        localCalls -= change->second;
    }
    return std::max(localCalls, 0);
}

/** After an ejection an endpoint receives one call at a time until enough calls have ended to evaluate it. */
bool isProbing(const Endpoint &endpoint)
{
    return endpoint.ejectBackoff > Duration(0);
}

bool canBeCompared(const Endpoint &endpoint, Time now)
{
    return endpoint.ejectedUntil <= now
        && endpoint.sampleCount >= (isProbing(endpoint) ? minProbeCalls : minCallsForComparison);
}

bool servesModel(const EndpointInfo &info, const ModelId &model)
{
    return model.isEmpty() || info.models.empty()
        || std::find(info.models.begin(), info.models.end(), model) != info.models.end();
}

/** Ejects an endpoint for a time that doubles while its probes fail. */
void eject(Endpoint &endpoint, Time now)
{
    endpoint.ejectBackoff = std::clamp(endpoint.ejectBackoff * 2, minEjectBackoff, maxEjectBackoff);
    endpoint.ejectedUntil = now + endpoint.ejectBackoff;
    endpoint.sampleCount = 0;
    endpoint.failureRate = 0;
    endpoint.slowness = 0;
}

} // namespace

EndpointTable::EndpointTable(AvailabilityZoneId zone)
    : zone_(std::move(zone))
{
}

std::uint32_t EndpointTable::poolIndex(const PoolId &pool)
{
    const auto [place, isNew] = poolById_.try_emplace(pool, std::uint32_t(pools_.size()));
    if (isNew) {
        pools_.push_back({ .id = pool });
    }
    return place->second;
}

void EndpointTable::setEndpoints(std::span<const EndpointInfo> endpoints)
{
    for (auto &endpoint : endpoints_) {
        endpoint.listed = false;
    }
    for (const auto &info : endpoints) {
        const auto [place, isNew] = byId_.try_emplace(info.id, std::uint32_t(endpoints_.size()));
        if (isNew) {
            endpoints_.emplace_back();
        }
        auto &endpoint = endpoints_[place->second];
        if (isNew || endpoint.info.incarnation != info.incarnation) {
            const auto localCalls = endpoint.localCalls;
            const auto isolatedCalls = endpoint.localIsolatedCalls;
            endpoint = Endpoint {};
            endpoint.localCalls = localCalls;
            endpoint.localIsolatedCalls = isolatedCalls;
        }
        endpoint.info = info;
        endpoint.pool = poolIndex(info.pool);
        endpoint.listed = true;
    }
    groups_.clear();
}

void EndpointTable::onLoadReport(const EndpointLoad &load)
{
    const auto index = find(load.endpoint);
    if (!index) {
        return;
    }
    auto &endpoint = endpoints_[*index];
    const bool isOld = endpoint.reported && load.measuredAt < endpoint.measuredAt;
    if (isOld || endpoint.info.incarnation != load.incarnation) {
        return;
    }
    endpoint.reported = true;
    endpoint.measuredAt = load.measuredAt;
    endpoint.reportedCalls = double(load.running) + double(load.waiting);
    endpoint.reportedOtherCalls = std::max(0.0, endpoint.reportedCalls - localCallsAt(endpoint, load.measuredAt));
    const bool rolesDiffer = load.role && *load.role != endpoint.info.pool;
    const bool modelsDiffer = !load.models.empty() && load.models != endpoint.info.models;
    if (load.slots > 0) {
        endpoint.info.slots = load.slots;
    }
    if (rolesDiffer) {
        endpoint.info.pool = *load.role;
        endpoint.pool = poolIndex(*load.role);
    }
    if (modelsDiffer) {
        endpoint.info.models = load.models;
    }
    if (rolesDiffer || modelsDiffer) {
        groups_.clear();
    }
}

void EndpointTable::setHint(const DemandHint &hint)
{
    clearHint();
    for (const auto &arrivals : hint.pools) {
        auto &pool = pools_[poolIndex(arrivals.pool)];
        pool.hasHint = true;
        pool.othersInFlight = arrivals.inFlight;
        pool.othersPending = arrivals.pending;
        pool.othersOfferedLoad = arrivals.offeredLoad;
    }
}

void EndpointTable::clearHint()
{
    for (auto &pool : pools_) {
        pool.hasHint = false;
        pool.othersInFlight = 0;
        pool.othersPending = 0;
        pool.othersOfferedLoad = 0;
    }
}

std::optional<std::uint32_t> EndpointTable::find(const EndpointId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

Group &EndpointTable::group(std::uint32_t pool, const ModelId &model)
{
    GroupKey key { pool, model };
    auto found = groups_.find(key);
    if (found == groups_.end()) {
        found = groups_.emplace(key, Group {}).first;
        fill(found->second, key);
    }
    return found->second;
}

void EndpointTable::fill(Group &group, const GroupKey &key) const
{
    for (std::uint32_t index = 0; index < endpoints_.size(); ++index) {
        const auto &endpoint = endpoints_[index];
        if (!endpoint.listed || endpoint.pool != key.pool || !servesModel(endpoint.info, key.model)) {
            continue;
        }
        (endpoint.info.zone == zone_ ? group.local : group.remote).push_back(index);
        group.slots += endpoint.info.slots;
        group.free += endpoint.info.slots;
    }
}

void EndpointTable::callStarted(std::uint32_t index, bool isolated, Time now)
{
    auto &endpoint = endpoints_[index];
    ++endpoint.localCalls;
    endpoint.localIsolatedCalls += isolated ? 1 : 0;
    endpoint.localChanges.emplace_back(now, 1);
    trimHistory(endpoint, now);
    ++pools_[endpoint.pool].localCalls;
}

void EndpointTable::callEnded(std::uint32_t index, bool isolated, Time now)
{
    auto &endpoint = endpoints_[index];
    endpoint.localCalls -= endpoint.localCalls > 0 ? 1 : 0;
    endpoint.localIsolatedCalls -= isolated && endpoint.localIsolatedCalls > 0 ? 1 : 0;
    endpoint.localChanges.emplace_back(now, -1);
    trimHistory(endpoint, now);
    auto &pool = pools_[endpoint.pool];
    pool.localCalls -= pool.localCalls > 0 ? 1 : 0;
}

void EndpointTable::observe(std::uint32_t index, bool failed, double ratio)
{
    auto &endpoint = endpoints_[index];
    endpoint.sampleCount = std::min(endpoint.sampleCount + 1, 1000.0);
    const double gain = std::max(observationGain, 1 / endpoint.sampleCount);
    endpoint.failureRate += gain * ((failed ? 1 : 0) - endpoint.failureRate);
    if (ratio > 0) {
        endpoint.slowness += gain * (std::log(ratio) - endpoint.slowness);
    }
}

void EndpointTable::markUnreachable(std::uint32_t index, Time now)
{
    auto &endpoint = endpoints_[index];
    endpoint.unreachableBackoff =
        std::clamp(endpoint.unreachableBackoff * 2, minUnreachableBackoff, maxUnreachableBackoff);
    endpoint.unreachableUntil = now + endpoint.unreachableBackoff;
}

void EndpointTable::markReachable(std::uint32_t index)
{
    auto &endpoint = endpoints_[index];
    endpoint.unreachableUntil = Time();
    endpoint.unreachableBackoff = Duration(0);
}

double EndpointTable::estimateCalls(const Endpoint &endpoint, Time now) const
{
    const auto &pool = pools_[endpoint.pool];
    const double slots = endpoint.info.slots;
    const double mean = pool.slots > 0 ? pool.othersInFlight * slots / pool.slots : 0;
    const bool isFresh = endpoint.reported && now - endpoint.measuredAt < reportLifetime;
    if (!isFresh) {
        return endpoint.localCalls + mean;
    }
    if (!pool.hasHint) {
        return endpoint.localCalls + endpoint.reportedOtherCalls;
    }
    // Calls of other policies start and end at the rate of the pool, so a deviation from the mean decays with the mean
    // service time.
    const double age = std::max(0.0, toSeconds(now - endpoint.measuredAt));
    const double kept = std::exp(-age / std::max(pool.meanServiceSeconds, 0.001));
    return endpoint.localCalls + mean + (endpoint.reportedOtherCalls - mean) * kept;
}

bool EndpointTable::isUsable(const Endpoint &endpoint, Time now) const
{
    return endpoint.listed && endpoint.info.state == EndpointState::Live && endpoint.unreachableUntil <= now
        && endpoint.ejectedUntil <= now && (!isProbing(endpoint) || endpoint.localCalls == 0);
}

void EndpointTable::updateHealth(Time now)
{
    std::vector<std::vector<std::uint32_t>> peers(pools_.size());
    for (auto &pool : pools_) {
        pool.slots = 0;
        pool.usable = 0;
    }
    for (std::uint32_t index = 0; index < endpoints_.size(); ++index) {
        const auto &endpoint = endpoints_[index];
        if (!endpoint.listed || endpoint.info.state != EndpointState::Live) {
            continue;
        }
        peers[endpoint.pool].push_back(index);
        if (isUsable(endpoint, now)) {
            pools_[endpoint.pool].slots += endpoint.info.slots;
            ++pools_[endpoint.pool].usable;
        }
    }
    for (const auto &list : peers) {
        ejectOutliers(list, now);
    }
    for (auto &[key, group] : groups_) {
        updateTotals(group, now);
    }
}

void EndpointTable::updateTotals(Group &group, Time now) const
{
    group.slots = 0;
    group.busy = 0;
    group.free = 0;
    const auto add = [&](std::uint32_t index) {
        const auto &endpoint = endpoints_[index];
        if (isUsable(endpoint, now)) {
            const double busy = estimateCalls(endpoint, now);
            group.slots += endpoint.info.slots;
            group.busy += busy;
            group.free += std::max(0.0, endpoint.info.slots - busy);
        }
    };
    std::for_each(group.local.begin(), group.local.end(), add);
    std::for_each(group.remote.begin(), group.remote.end(), add);
}

void EndpointTable::ejectOutliers(const std::vector<std::uint32_t> &peers, Time now)
{
    std::vector<double> slowness;
    std::vector<double> failures;
    std::size_t ejected = 0;
    for (const auto index : peers) {
        const auto &endpoint = endpoints_[index];
        ejected += endpoint.ejectedUntil > now ? 1 : 0;
        if (endpoint.sampleCount >= minCallsForComparison) {
            slowness.push_back(endpoint.slowness);
            failures.push_back(endpoint.failureRate);
        }
    }
    if (slowness.size() < 3) {
        return;
    }
    const double medianSlowness = median(slowness);
    const double medianFailureRate = median(failures);
    const auto allowed = std::max<std::size_t>(1, std::size_t(double(peers.size()) * maxEjectedFraction));
    for (const auto index : peers) {
        auto &endpoint = endpoints_[index];
        const bool isSlow = endpoint.slowness > medianSlowness + std::log(slowFactor);
        const bool isFailing = endpoint.failureRate > failingThreshold && medianFailureRate < endpoint.failureRate / 3;
        if (!canBeCompared(endpoint, now)) {
            continue;
        }
        if (!isSlow && !isFailing) {
            endpoint.ejectBackoff = Duration(0);
        } else if (ejected < allowed) {
            ++ejected;
            eject(endpoint, now);
        }
    }
}

} // namespace lacewing::policy
