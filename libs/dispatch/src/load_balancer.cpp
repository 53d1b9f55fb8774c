#include <cost/cost.h>
#include <dispatch/dispatch.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace lacewing::dispatch
{
namespace
{

/** Weight of the newest sample in the averages of a service. */
constexpr double serviceSmoothing = 0.05;
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
/** The same for a request that is lost if it fails. */
constexpr double lossLatencyMs = 2'000;
/** Cost of a request while none is known. */
constexpr double unknownWorkMs = 50;
/** Relative jitter of expected latencies, so that VMs with the same view don't all select the same endpoint. */
constexpr double jitterShare = 0.05;
/** Random variation of estimates that rest on a new report: exponent of an exponentially distributed factor. */
constexpr double reportSpread = 1.2;
/** A smaller variation is covered by the jitter. */
constexpr double minSpread = 0.01;
/** Answers from which the lasting pace of an endpoint is known well. */
constexpr double lastingPaceSamples = 30;
/** Answers from which the deviation of an endpoint counts for half. */
constexpr double deviationSamples = 5;
/** Share of the latency that a fully used endpoint adds. */
constexpr double utilizationLatency = 0.5;

double toMs(Duration duration)
{
    return toSeconds(duration) * 1000;
}

} // namespace

class LoadBalancer::State
{
public:
    /** The best candidates of a selection, the one selected first. */
    struct Choice {
        std::array<Appraisal, 3> best;
        std::size_t count = 0;
    };
    /** What is common to the endpoints of a service. */
    struct ServiceLoad {
        double answers = 0;
        double logRatio = 0; ///< moving average of the logarithm of times taken, relative to those expected
        double deviation = 0; ///< moving average of that of an endpoint's answers
        double othersPerSlot = 0; ///< moving average of the requests of other VMs that endpoints report
        double workMs = 0; ///< moving average of the cost of a request
        double squaredWorkMs = 0; ///< moving average of its square
    };
    struct Health {
        ServiceLoad *service = nullptr; ///< null until the endpoint was a candidate
        double slots = 1;
        cost::PendingWork pending; ///< all of this VM's sends
        cost::PendingWork reading; ///< of its sends without a response
        cost::EndpointPace pace;
        cost::OthersLoad others;
        std::optional<Time> reportedAt;
        double failureRate = 0; ///< moving average, as of failureRateAt
        Time failureRateAt;
        int consecutiveEjections = 0; ///< since the last successful send
        Time ejectedUntil;
    };
    static double decayedFailureRate(const Health &health, Time now);
    static double deviationOf(const Health &health);
    static double reportShare(const Health &health, Time now);
    struct Latency {
        double workMs = 0; ///< of the request itself
        double waitMs = 0; ///< for the work ahead
    };
    static Latency usualLatency(const Health &health, const Work &work, Time now);
    Health &healthOf(const routing::EndpointEntry &endpoint);
    void note(const Appraisal &appraisal);

    explicit State(std::uint64_t seed)
        : random(seed)
    {
    }

    Random random;
    std::unordered_map<EndpointId, Health> health;
    std::unordered_map<routing::ServiceId, ServiceLoad> services; ///< as few as desired states have named
    Choice choice;
};

LoadBalancer::LoadBalancer(std::uint64_t seed)
    : state_(std::make_unique<State>(seed))
{
}

LoadBalancer::~LoadBalancer() = default;

std::span<const Appraisal> LoadBalancer::latestChoice() const noexcept
{
    return { state_->choice.best.data(), state_->choice.count };
}

const routing::EndpointEntry *LoadBalancer::select(std::span<const Candidate> candidates,
                                                   const AvailabilityZoneId &localZone,
                                                   Time now,
                                                   Repetition repetition)
{
    const double failureMs = repetition == Repetition::Allowed ? failureLatencyMs : lossLatencyMs;
    state_->choice.count = 0;
    double bestMs = 0;
    double reportShares = 0;
    for (const auto &candidate : candidates) {
        reportShares += State::reportShare(state_->healthOf(*candidate.entry), now);
    }
    // The same for all, as the one with the largest variation would be selected most often.
    const double spread = candidates.empty() ? 0 : reportSpread * reportShares / double(candidates.size());
    for (const bool allowEjected : { false, true }) {
        for (const auto &candidate : candidates) {
            const State::Health &health = state_->healthOf(*candidate.entry);
            if (!allowEjected && now < health.ejectedUntil) {
                continue;
            }
            const double pace = health.pace.factor(now);
            const double scale =
                repetition == Repetition::Forbidden ? pace * std::exp(State::deviationOf(health)) : pace;
            const auto latency = State::usualLatency(health, candidate.work, now);
            const double otherMs = failureMs * State::decayedFailureRate(health, now) + candidate.extraLatencyMs
                + (candidate.entry->zone == localZone ? 0 : crossZoneLatencyMs);
            const double variation = spread > minSpread ? std::pow(state_->random.exponential(1), spread) : 1;
            const double ratedMs = (scale * (latency.workMs * variation + latency.waitMs) + otherMs)
                * (1 + jitterShare * state_->random.unit());
            if (state_->choice.count > 0 && ratedMs >= bestMs) {
                continue;
            }
            bestMs = ratedMs;
            state_->note({ candidate.entry,
                           scale * (latency.workMs + latency.waitMs) + otherMs,
                           pace,
                           health.reportedAt ? toMs(now - *health.reportedAt) : -1,
                           health.pending.count() });
        }
        if (state_->choice.count > 0) {
            break;
        }
    }
    return state_->choice.count > 0 ? state_->choice.best[0].entry : nullptr;
}

/** Puts a candidate that is better than those noted before it in front of them. */
void LoadBalancer::State::note(const Appraisal &appraisal)
{
    std::move_backward(choice.best.begin(), choice.best.end() - 1, choice.best.end());
    choice.best[0] = appraisal;
    choice.count = std::min(choice.count + 1, choice.best.size());
}

LoadBalancer::State::Health &LoadBalancer::State::healthOf(const routing::EndpointEntry &endpoint)
{
    Health &health = this->health[endpoint.id];
    if (health.service == nullptr) {
        health.service = &services[endpoint.service];
    }
    health.slots = std::max<double>(double(endpoint.slots), 1);
    return health;
}

Send LoadBalancer::onSendStarted(const routing::EndpointEntry &endpoint, const Work &work, Time now)
{
    State::Health &health = state_->healthOf(endpoint);
    const auto latency = State::usualLatency(health, work, now);
    const double usualMs = latency.workMs + latency.waitMs;
    const Send send { work, usualMs, usualMs * health.pace.factor(now), now };
    health.pending.begin(work.timeMs > 0 ? work.timeMs : unknownWorkMs, health.slots, now);
    health.reading.begin(work.readingMs, 1, now);
    if (work.timeMs > 0) {
        State::ServiceLoad &service = *health.service;
        const double gain = service.workMs == 0 ? 1 : serviceSmoothing;
        service.workMs += gain * (work.timeMs - service.workMs);
        service.squaredWorkMs += gain * (work.timeMs * work.timeMs - service.squaredWorkMs);
    }
    return send;
}

double LoadBalancer::onAnswered(const EndpointId &endpoint, const Send &send, Duration took, Time now)
{
    const auto found = state_->health.find(endpoint);
    const double tookMs = std::max(toMs(took), 0.1);
    const double workMs = send.work.timeMs > 0 ? send.work.timeMs : unknownWorkMs;
    if (found == state_->health.end()) {
        return tookMs * workMs / send.usualMs;
    }
    State::Health &health = found->second;
    const double ratio = tookMs / send.usualMs;
    State::ServiceLoad &service = *health.service;
    const double pace = health.pace.factor(now);
    service.answers += 1;
    const double gain = std::max(serviceSmoothing, 1 / service.answers);
    service.logRatio += gain * (std::log(ratio / pace) - service.logRatio);
    health.pace.recordAnswer(ratio / std::exp(service.logRatio), now);
    service.deviation += gain * (health.pace.deviation() - service.deviation);
    return ratio * workMs / pace;
}

void LoadBalancer::releaseReading(const EndpointId &endpoint, const Send &send, Time now)
{
    const auto found = state_->health.find(endpoint);
    if (found != state_->health.end()) {
        found->second.reading.end(send.work.readingMs, now);
    }
}

void LoadBalancer::onSendEnded(const EndpointId &endpoint, const Send &send, SendOutcome outcome, Time now)
{
    const auto found = state_->health.find(endpoint);
    if (found == state_->health.end()) {
        return;
    }
    State::Health &health = found->second;
    health.pending.end(send.work.timeMs > 0 ? send.work.timeMs : unknownWorkMs, now);
    if (outcome == SendOutcome::Cancelled) {
        return;
    }
    const bool failed = outcome != SendOutcome::Answered;
    const double decayed = State::decayedFailureRate(health, now);
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
    const auto found = state_->health.find(endpoint);
    if (found == state_->health.end()) {
        return; // it is no candidate any more
    }
    State::Health &health = found->second;
    const auto present = double(load.running + load.waiting);
    health.others.record(present, double(health.pending.count()), now);
    health.reportedAt = now;
    double &usual = health.service->othersPerSlot;
    const double others = std::max(0.0, present - double(health.pending.count()));
    usual += serviceSmoothing * (others / health.slots - usual);
    if (load.slowdown && *load.slowdown > 0) {
        health.pace.recordReport(*load.slowdown, now);
    }
}

bool LoadBalancer::isEjected(const EndpointId &endpoint, Time now) const
{
    const auto found = state_->health.find(endpoint);
    return found != state_->health.end() && now < found->second.ejectedUntil;
}

void LoadBalancer::prune(const routing::EndpointDirectory &directory)
{
    std::erase_if(state_->health, [&](const auto &item) {
        return item.second.pending.count() == 0 && directory.find(item.first) == nullptr;
    });
}

std::size_t LoadBalancer::inFlight(const EndpointId &endpoint) const
{
    const auto found = state_->health.find(endpoint);
    return found == state_->health.end() ? 0 : found->second.pending.count();
}

std::vector<std::pair<EndpointId, double>> LoadBalancer::paces(Time now) const
{
    std::vector<std::pair<EndpointId, double>> result;
    result.reserve(state_->health.size());
    for (const auto &[endpoint, health] : state_->health) {
        result.emplace_back(endpoint, health.pace.factor(now));
    }
    return result;
}

double LoadBalancer::lastingPace(const EndpointId &endpoint) const
{
    const auto found = state_->health.find(endpoint);
    const bool isKnown = found != state_->health.end() && found->second.pace.samples() >= lastingPaceSamples;
    return isKnown ? found->second.pace.lastingFactor() : 1;
}

double LoadBalancer::expectedMs(const routing::EndpointEntry &endpoint, const Work &work, Time now)
{
    const State::Health &health = state_->healthOf(endpoint);
    const auto latency = State::usualLatency(health, work, now);
    return health.pace.factor(now) * (latency.workMs + latency.waitMs);
}

double LoadBalancer::State::decayedFailureRate(const Health &health, Time now)
{
    return health.failureRate == 0
        ? 0
        : health.failureRate * std::exp2(-toMs(now - health.failureRateAt) / failureHalfLifeMs);
}

/** Returns the deviation of an endpoint's answers; one with few answers leans on its service, so as to get some. */
double LoadBalancer::State::deviationOf(const Health &health)
{
    const double weight = health.pace.samples() / (health.pace.samples() + deviationSamples);
    return health.service->deviation + weight * (health.pace.deviation() - health.service->deviation);
}

/** Returns how much of an estimate rests on reports, which other VMs have too. */
double LoadBalancer::State::reportShare(const Health &health, Time now)
{
    const double load = health.reportedAt ? std::exp2(-toMs(now - *health.reportedAt) / reportHalfLifeMs) : 0;
    return std::max(load, health.pace.reportWeight(now));
}

/** Returns the time to the first byte at mean pace, with the work that is known to be ahead. */
LoadBalancer::State::Latency LoadBalancer::State::usualLatency(const Health &health, const Work &work, Time now)
{
    const double workMs = work.timeMs > 0 ? work.timeMs : unknownWorkMs;
    const ServiceLoad &service = *health.service;
    // A request that is met at work is likely a dear one; half of it is left on average.
    const double meanLeftMs =
        service.workMs > 0 ? std::max(service.workMs, service.squaredWorkMs / service.workMs / 2) : workMs;
    const auto own = double(health.pending.count());
    const double others = health.others.present(health.service->othersPerSlot * health.slots, now);
    const double present = own + others;
    const double utilization = std::min(present / health.slots, 1.0);
    // Of those ahead, own sends count with what is left of them and others with the mean cost.
    const double aheadMs = health.pending.leftMs(now) + others * meanLeftMs;
    const double queueShare = present > 0 ? std::max(0.0, present + 1 - health.slots) / (present + 1) : 0;
    return { workMs * (1 + utilizationLatency * utilization),
             queueShare * aheadMs / health.slots + health.reading.leftMs(now) };
}

} // namespace lacewing::dispatch
