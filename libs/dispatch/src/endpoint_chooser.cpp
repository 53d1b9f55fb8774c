#include <dispatch/dispatch.h>

#include <algorithm>
#include <cmath>

namespace lacewing::dispatch
{
namespace
{

/** Weight of the newest observation in learned times. */
constexpr double latencyGain = 0.2;
/** Weight of the newest observation in the learned share of failures: some endpoints fail a request in seven. */
constexpr double failureGain = 0.08;
/** A share of failures counts half after this time without an observation, so that an endpoint is tried again. */
constexpr double failureHalfLifeMs = 2000;
/** Learned share of failures from which an endpoint is left out. */
constexpr double failureLimit = 0.6;
/** First time for which a failing endpoint is left out; doubles with each failed trial. */
constexpr Duration firstLeaveOut = 500ms;
constexpr Duration longestLeaveOut = 4s;
/** A reported load counts half after this time. */
constexpr double reportHalfLifeMs = 300;
/** Expected time of an endpoint in another zone is longer by this, in ms: the way there and back. */
constexpr double otherZoneMs = 4;
/** Cost of a failure in expected time, in ms: the time to notice it and to send again. */
constexpr double failureMs = 400;
/** Expected time to an answer of an endpoint that has not answered yet, in ms. */
constexpr double unknownLatencyMs = 50;
/** Noise on expected times, as a share, so that VMs with the same view don't all choose alike. */
constexpr double noiseShare = 0.05;

} // namespace

LoadBalancer::LoadBalancer(std::uint64_t seed)
    : random_(seed)
{
}

const routing::EndpointEntry *LoadBalancer::select(std::span<const Candidate> candidates,
                                                   const AvailabilityZoneId &ownZone,
                                                   Time now)
{
    double knownMs = 0;
    std::size_t known = 0;
    for (const auto &candidate : candidates) {
        const auto found = health_.find(candidate.entry->id);
        if (found != health_.end() && found->second.latencyMs > 0) {
            knownMs += found->second.latencyMs;
            ++known;
        }
    }
    const double typicalMs = known > 0 ? knownMs / double(known) : unknownLatencyMs;
    const routing::EndpointEntry *best = nullptr;
    double bestMs = 0;
    for (const bool allowLeftOut : { false, true }) {
        for (const auto &candidate : candidates) {
            const Health &health = health_[candidate.entry->id];
            if (!allowLeftOut && now < health.leftOutUntil) {
                continue;
            }
            double ms = expectedMs(health, candidate, typicalMs, now);
            ms += candidate.entry->zone == ownZone ? 0 : otherZoneMs;
            ms *= 1 + noiseShare * random_.unit();
            if (best == nullptr || ms < bestMs) {
                best = candidate.entry;
                bestMs = ms;
            }
        }
        if (best != nullptr) {
            break;
        }
    }
    return best;
}

void LoadBalancer::onSendStarted(const EndpointId &endpoint, double workMs, Time)
{
    Health &health = health_[endpoint];
    ++health.open;
    health.pendingMs += workMs;
}

void LoadBalancer::releasePendingWork(const EndpointId &endpoint, double workMs)
{
    const auto found = health_.find(endpoint);
    if (found != health_.end()) {
        found->second.pendingMs = std::max(0.0, found->second.pendingMs - workMs);
    }
}

void LoadBalancer::onSendEnded(const EndpointId &endpoint,
                               SendOutcome outcome,
                               std::optional<Duration> firstByte,
                               Time now)
{
    const auto found = health_.find(endpoint);
    if (found == health_.end()) {
        return;
    }
    Health &health = found->second;
    health.open = health.open > 0 ? health.open - 1 : 0;
    if (outcome == SendOutcome::Cancelled) {
        return;
    }
    if (firstByte && outcome == SendOutcome::Answered) {
        const double ms = toSeconds(*firstByte) * 1000;
        health.latencyMs = health.latencyMs == 0 ? ms : health.latencyMs + latencyGain * (ms - health.latencyMs);
    }
    const bool failed = outcome != SendOutcome::Answered;
    const double known = failureShareAt(health, now);
    health.failureShare = known + failureGain * ((failed ? 1.0 : 0.0) - known);
    health.failureAt = now;
    if (outcome == SendOutcome::Unreachable) {
        health.failureShare = 1;
    }
    if (!failed) {
        health.trips = 0;
        return;
    }
    if (health.failureShare >= failureLimit && now >= health.leftOutUntil) {
        const Duration time = std::min(firstLeaveOut * (1 << std::min(health.trips, 4)), longestLeaveOut);
        health.leftOutUntil = now + time;
        ++health.trips;
    }
}

void LoadBalancer::onLoadReported(const EndpointId &endpoint, const ReportedLoad &load, Time now)
{
    Health &health = health_[endpoint];
    health.load = load;
    health.loadAt = now;
}

bool LoadBalancer::isEjected(const EndpointId &endpoint, Time now) const
{
    const auto found = health_.find(endpoint);
    return found != health_.end() && now < found->second.leftOutUntil;
}

void LoadBalancer::prune(const routing::EndpointDirectory &directory)
{
    std::erase_if(health_,
                  [&](const auto &item) { return item.second.open == 0 && directory.find(item.first) == nullptr; });
}

std::size_t LoadBalancer::inFlight(const EndpointId &endpoint) const
{
    const auto found = health_.find(endpoint);
    return found == health_.end() ? 0 : found->second.open;
}

double LoadBalancer::failureShareAt(const Health &health, Time now)
{
    const double ageMs = toSeconds(now - health.failureAt) * 1000;
    return health.failureShare * std::exp2(-ageMs / failureHalfLifeMs);
}

double LoadBalancer::expectedMs(const Health &health, const Candidate &candidate, double typicalMs, Time now) const
{
    const double latency = health.latencyMs > 0 ? health.latencyMs : typicalMs;
    const double ageMs = toSeconds(now - health.loadAt) * 1000;
    const double fresh = std::exp2(-ageMs / reportHalfLifeMs);
    const double slots = std::max<double>(double(candidate.entry->slots), 1);
    const double running = std::max(double(health.open), double(health.load.running) * fresh);
    const double waiting = double(health.load.waiting) * fresh + std::max(0.0, double(health.open) - slots);
    const double occupied = running / slots;
    return latency * (1 + occupied * 0.5 + waiting / slots) + health.pendingMs + failureMs * failureShareAt(health, now)
        + candidate.extraLatencyMs;
}

} // namespace lacewing::dispatch
