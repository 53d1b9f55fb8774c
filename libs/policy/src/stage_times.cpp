#include "stage_times.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace lacewing::policy
{

namespace
{

constexpr double minSeconds = 0.0005;
constexpr double bucketFactor = 1.15;
/** All weights are halved when the total reaches this value. */
constexpr double halvingWeight = 200;
/** Minimum weight at which a histogram is used instead of a coarser one. */
constexpr double trustedWeight = 8;

std::uint64_t exactKey(const StageKey &key) noexcept
{
    return (std::uint64_t(key.classIndex) << 40U) | (std::uint64_t(key.stage) << 24U)
        | (std::uint64_t(key.sizeBucket) << 1U) | std::uint64_t(key.cached);
}

std::uint64_t sizeKey(const StageKey &key) noexcept
{
    return (std::uint64_t(key.pool) << 24U) | (std::uint64_t(key.sizeBucket) << 1U) | std::uint64_t(key.cached);
}

std::uint64_t stageKey(const StageKey &key) noexcept
{
    return (std::uint64_t(key.classIndex) << 16U) | key.stage;
}

const TimeHistogram *findTrusted(const std::unordered_map<std::uint64_t, TimeHistogram> &map, std::uint64_t key)
{
    const auto found = map.find(key);
    return found != map.end() && found->second.weight() >= trustedWeight ? &found->second : nullptr;
}

} // namespace

void TimeHistogram::add(double seconds) noexcept
{
    const double position = std::log(std::max(seconds, minSeconds) / minSeconds) / std::log(bucketFactor);
    const auto index = std::min(std::size_t(position), bucketCount - 1);
    counts_[index] += 1;
    total_ += 1;
    sum_ += seconds;
    if (total_ < halvingWeight) {
        return;
    }
    for (auto &count : counts_) {
        count /= 2;
    }
    total_ /= 2;
    sum_ /= 2;
}

double TimeHistogram::quantile(double share) const noexcept
{
    const double wanted = share * total_;
    double seen = 0;
    for (std::size_t index = 0; index < bucketCount; ++index) {
        if (counts_[index] > 0 && seen + counts_[index] >= wanted) {
            const double part = (wanted - seen) / counts_[index];
            return minSeconds * std::pow(bucketFactor, double(index) + part);
        }
        seen += counts_[index];
    }
    return 0;
}

double TimeHistogram::mean() const noexcept
{
    return total_ > 0 ? sum_ / total_ : 0;
}

std::uint16_t sizeBucket(Tokens input, Tokens maxOutput) noexcept
{
    const auto inputClass = std::bit_width(input.value());
    const auto outputClass = std::bit_width(maxOutput.value());
    return std::uint16_t((inputClass << 7U) | outputClass);
}

void StageTimes::add(const StageKey &key, double seconds)
{
    exact_[exactKey(key)].add(seconds);
    bySize_[sizeKey(key)].add(seconds);
    byStage_[stageKey(key)].add(seconds);
}

const TimeHistogram *StageTimes::find(const StageKey &key) const
{
    if (const auto *exact = findTrusted(exact_, exactKey(key))) {
        return exact;
    }
    if (const auto *size = findTrusted(bySize_, sizeKey(key))) {
        return size;
    }
    return findTrusted(byStage_, stageKey(key));
}

ExpectedTime StageTimes::expect(const StageKey &key, double prior) const
{
    const auto *histogram = find(key);
    if (histogram == nullptr && key.cached) {
        StageKey uncached = key;
        uncached.cached = false;
        histogram = find(uncached);
    }
    if (histogram == nullptr) {
        return { prior / 2, prior, prior, prior };
    }
    return { histogram->quantile(0.25), histogram->quantile(0.5), histogram->mean(), histogram->quantile(0.95) };
}

} // namespace lacewing::policy
