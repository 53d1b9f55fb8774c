#include <cost/cost.h>

#include <algorithm>
#include <cmath>

namespace lacewing::cost
{
namespace
{

/** Answers that the lasting pace rests on at most. */
constexpr double maxSamples = 40;
/** Answers from which the lasting pace counts for half. */
constexpr double confidenceSamples = 3;
/** Weight of the newest answer in the recent pace. */
constexpr double recentGain = 0.2;
/** Half-life of the recent pace without answers. */
constexpr double recentHalfLifeMs = 3'000;
/** Half-life of the weight of what an endpoint says of its pace. */
constexpr double figureHalfLifeMs = 100;
/** Half-life of the weight of a reported load. */
constexpr double loadHalfLifeMs = 300;
/** Standard deviation of the logarithm of an answer's time, before any is known. */
constexpr double priorDeviation = 0.3;
/** One answer counts as at most this many times longer or shorter than expected. */
constexpr double maxAnswerRatio = 6;
/** Limits of an endpoint's figure. */
constexpr double maxSlowdown = 10;
/** Work that has not ended is never less than this share of what was expected. */
constexpr double minLeftShare = 0.25;

double ageMs(Time since, Time now)
{
    return std::max(0.0, toSeconds(now - since) * 1000);
}

double decay(Time since, Time now, double halfLifeMs)
{
    return std::exp2(-ageMs(since, now) / halfLifeMs);
}

} // namespace

EndpointPace::EndpointPace()
    : variance_(priorDeviation * priorDeviation)
{
}

void EndpointPace::recordAnswer(double ratio, Time now)
{
    const double limit = std::log(maxAnswerRatio);
    // What the endpoint itself has said of this moment is not to be learned as lasting.
    const double value = std::clamp(std::log(ratio) - reported(now), -limit, limit);
    samples_ = std::min(samples_ + 1, maxSamples);
    const double error = value - lasting_;
    lasting_ += error / samples_;
    const double recentBefore = recent(now);
    recent_ = recentBefore + recentGain * (value - lasting_ - recentBefore);
    recentAt_ = now;
    variance_ += (error * error - variance_) / (samples_ + confidenceSamples);
}

void EndpointPace::recordReport(double slowdown, Time now)
{
    reported_ = std::log(std::clamp(slowdown, 1 / maxSlowdown, maxSlowdown));
    reportedAt_ = now;
}

double EndpointPace::factor(Time now) const
{
    const double confidence = samples_ / (samples_ + confidenceSamples);
    return std::exp(confidence * (lasting_ + recent(now)) + reported(now));
}

double EndpointPace::lastingFactor() const
{
    return std::exp(samples_ / (samples_ + confidenceSamples) * lasting_);
}

double EndpointPace::deviation() const noexcept
{
    return std::sqrt(variance_);
}

double EndpointPace::reportWeight(Time now) const
{
    return reportedAt_ ? decay(*reportedAt_, now, figureHalfLifeMs) : 0;
}

double EndpointPace::recent(Time now) const
{
    return recent_ == 0 ? 0 : recent_ * decay(recentAt_, now, recentHalfLifeMs);
}

double EndpointPace::reported(Time now) const
{
    return reported_ == 0 ? 0 : reported_ * reportWeight(now);
}

void PendingWork::begin(double workMs, double parallel, Time now)
{
    leftMs_ = leftMs(now) + workMs;
    at_ = now;
    openMs_ += workMs;
    parallel_ = std::max(parallel, 1.0);
    ++count_;
}

void PendingWork::end(double workMs, Time now)
{
    if (count_ == 0) {
        return;
    }
    const double left = leftMs(now);
    --count_;
    openMs_ = count_ == 0 ? 0 : std::max(0.0, openMs_ - workMs);
    leftMs_ = std::min(left, openMs_);
    at_ = now;
}

double PendingWork::leftMs(Time now) const noexcept
{
    const double done = ageMs(at_, now) * std::min(double(count_), parallel_);
    return std::clamp(leftMs_ - done, minLeftShare * openMs_, openMs_);
}

void OthersLoad::record(double present, double own, Time now)
{
    reported_ = std::max(0.0, present - own);
    reportedAt_ = now;
}

double OthersLoad::present(double usual, Time now) const
{
    return reportedAt_ ? usual + (reported_ - usual) * decay(*reportedAt_, now, loadHalfLifeMs) : usual;
}

} // namespace lacewing::cost
