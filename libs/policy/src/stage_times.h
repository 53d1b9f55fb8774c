#pragma once

#include <base/base.h>

#include <array>
#include <unordered_map>

namespace lacewing::policy
{

/** Histogram of times with exponentially growing buckets. The weight of old samples decays. */
class TimeHistogram
{
public:
    void add(double seconds) noexcept;
    /** Returns the total weight of the samples after decay. */
    double weight() const noexcept
    {
        return total_;
    }
    /** Returns the quantile in seconds. @param share fraction of the samples, 0 to 1 */
    double quantile(double share) const noexcept;
    double mean() const noexcept;

private:
    static constexpr std::size_t bucketCount = 96;

    std::array<float, bucketCount> counts_ {};
    double total_ = 0;
    double sum_ = 0;
};

/** Identifies calls with similar service times: jobs of similar size at one stage of one class. */
struct StageKey {
    std::uint32_t classIndex = 0;
    std::uint32_t stage = 0;
    std::uint32_t pool = 0;
    std::uint16_t sizeBucket = 0; ///< see sizeBucket()
    bool cached = false; ///< a prefix of the input is in the endpoint's cache
};

/** Returns the size group of a job: its input size and output limit, each rounded to a power of two. */
std::uint16_t sizeBucket(Tokens input, Tokens maxOutput) noexcept;

/** Expected service time of a call, in seconds. */
struct ExpectedTime {
    double low = 0; ///< 25th percentile
    double median = 0;
    double mean = 0;
    double high = 0; ///< 95th percentile
};

/**
 * Service times of ended calls by class, stage and size. Falls back to calls of the same pool and size, then to all
 * calls of the class and stage.
 */
class StageTimes
{
public:
    void add(const StageKey &key, double seconds);
    /** Returns the expected service time of a call. @param prior seconds to assume without enough samples */
    ExpectedTime expect(const StageKey &key, double prior) const;

private:
    const TimeHistogram *find(const StageKey &key) const;

    std::unordered_map<std::uint64_t, TimeHistogram> exact_; ///< by class, stage, size and cache hit
    std::unordered_map<std::uint64_t, TimeHistogram> bySize_; ///< by pool, size and cache hit
    std::unordered_map<std::uint64_t, TimeHistogram> byStage_; ///< by class and stage
};

} // namespace lacewing::policy
