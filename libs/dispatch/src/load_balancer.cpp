#include <dispatch/dispatch.h>

#include <algorithm>
#include <cmath>

namespace lacewing::dispatch
{
namespace
{

/** Weight of the newest sample in the moving average of latencies. */
constexpr double latencySmoothing = 0.2;
/** Weight of the newest sample in the failure rate. Small, as some endpoints fail one request in seven. */
constexpr double failureSmoothing = 0.08;
/** Half-life of the failure rate without new samples, so that a failing endpoint is tried again. */
constexpr double failureHalfLifeMs = 2000;
/** Failure rate from which an endpoint is ejected. */
constexpr double ejectionThreshold = 0.6;
/** Duration of the first ejection; doubles with each consecutive ejection. */
constexpr Duration baseEjectionTime = 500ms;
constexpr Duration maxEjectionTime = 4s;
/** Half-life of the weight of a reported load. */
constexpr double reportHalfLifeMs = 300;
/** Round-trip time to another zone. */
constexpr double crossZoneLatencyMs = 4;
/** Expected latency that a failure adds: the time to detect it and to send again. */
constexpr double failureLatencyMs = 400;
/** Expected latency while no endpoint has responded yet. */
constexpr double unknownLatencyMs = 50;
/** Relative jitter of expected latencies, so that VMs with the same view don't all select the same endpoint. */
constexpr double jitterShare = 0.05;

} // namespace

LoadBalancer::LoadBalancer(std::uint64_t seed)
    : random_(seed)
{
}

const routing::EndpointEntry *LoadBalancer::select(std::span<const Candidate> candidates,
                                                   const AvailabilityZoneId &localZone,
                                                   Time now)
{
    double latencySumMs = 0;
    std::size_t sampleCount = 0;
    for (const auto &candidate : candidates) {
        const auto found = health_.find(candidate.entry->id);
        if (found != health_.end() && found->second.latencyMs > 0) {
            latencySumMs += found->second.latencyMs;
            ++sampleCount;
        }
    }
    const double defaultLatencyMs = sampleCount > 0 ? latencySumMs / double(sampleCount) : unknownLatencyMs;
    const routing::EndpointEntry *best = nullptr;
    double bestMs = 0;
    for (const bool allowEjected : { false, true }) {
        for (const auto &candidate : candidates) {
            const Health &health = health_[candidate.entry->id];
            if (!allowEjected && now < health.ejectedUntil) {
                continue;
            }
            double ms = expectedLatencyMs(health, candidate, defaultLatencyMs, now);
            ms += candidate.entry->zone == localZone ? 0 : crossZoneLatencyMs;
            ms *= 1 + jitterShare * random_.unit();
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
    ++health.inFlight;
    health.pendingWorkMs += workMs;
}

void LoadBalancer::releasePendingWork(const EndpointId &endpoint, double workMs)
{
    const auto found = health_.find(endpoint);
    if (found != health_.end()) {
        found->second.pendingWorkMs = std::max(0.0, found->second.pendingWorkMs - workMs);
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
    health.inFlight = health.inFlight > 0 ? health.inFlight - 1 : 0;
    if (outcome == SendOutcome::Cancelled) {
        return;
    }
    if (firstByte && outcome == SendOutcome::Answered) {
        const double ms = toSeconds(*firstByte) * 1000;
        health.latencyMs = health.latencyMs == 0 ? ms : health.latencyMs + latencySmoothing * (ms - health.latencyMs);
    }
    const bool failed = outcome != SendOutcome::Answered;
    const double decayed = decayedFailureRate(health, now);
    health.failureRate = decayed + failureSmoothing * ((failed ? 1.0 : 0.0) - decayed);
    health.failureRateAt = now;
    if (outcome == SendOutcome::Unreachable) {
        health.failureRate = 1;
    }
    if (!failed) {
        health.consecutiveEjections = 0;
        return;
    }
    if (health.failureRate >= ejectionThreshold && now >= health.ejectedUntil) {
        const Duration ejectionTime =
            std::min(baseEjectionTime * (1 << std::min(health.consecutiveEjections, 4)), maxEjectionTime);
        health.ejectedUntil = now + ejectionTime;
        ++health.consecutiveEjections;
    }
}

void LoadBalancer::onLoadReported(const EndpointId &endpoint, const ReportedLoad &load, Time now)
{
    Health &health = health_[endpoint];
    health.reportedLoad = load;
    health.reportedAt = now;
}

bool LoadBalancer::isEjected(const EndpointId &endpoint, Time now) const
{
    const auto found = health_.find(endpoint);
    return found != health_.end() && now < found->second.ejectedUntil;
}

void LoadBalancer::prune(const routing::EndpointDirectory &directory)
{
    std::erase_if(health_,
                  [&](const auto &item) { return item.second.inFlight == 0 && directory.find(item.first) == nullptr; });
}

std::size_t LoadBalancer::inFlight(const EndpointId &endpoint) const
{
    const auto found = health_.find(endpoint);
    return found == health_.end() ? 0 : found->second.inFlight;
}

double LoadBalancer::decayedFailureRate(const Health &health, Time now)
{
    const double ageMs = toSeconds(now - health.failureRateAt) * 1000;
    return health.failureRate * std::exp2(-ageMs / failureHalfLifeMs);
}

double LoadBalancer::expectedLatencyMs(const Health &health,
                                       const Candidate &candidate,
                                       double defaultLatencyMs,
                                       Time now) const
{
    const double latency = health.latencyMs > 0 ? health.latencyMs : defaultLatencyMs;
    const double ageMs = toSeconds(now - health.reportedAt) * 1000;
    const double reportWeight = std::exp2(-ageMs / reportHalfLifeMs);
    const double slots = std::max<double>(double(candidate.entry->slots), 1);
    const double running = std::max(double(health.inFlight), double(health.reportedLoad.running) * reportWeight);
    const double waiting =
        double(health.reportedLoad.waiting) * reportWeight + std::max(0.0, double(health.inFlight) - slots);
    const double utilization = running / slots;
    return latency * (1 + utilization * 0.5 + waiting / slots) + health.pendingWorkMs
        + failureLatencyMs * decayedFailureRate(health, now) + candidate.extraLatencyMs;
}

} // namespace lacewing::dispatch
