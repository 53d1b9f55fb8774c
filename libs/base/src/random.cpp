#include <base/base.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lacewing
{

Random::Random(std::uint64_t seed) noexcept
    : engine_(seed)
{
}

std::uint64_t Random::next() noexcept
{
    return engine_();
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double Random::unit()
{
    return boost::random::uniform_01<double>()(engine_);
}

bool Random::chance(double probability)
{
    return unit() < probability;
}

double Random::exponential(double mean)
{
    return boost::random::exponential_distribution<double>(1.0 / mean)(engine_);
}

double Random::logNormal(double median, double sigma)
{
    return boost::random::lognormal_distribution<double>(std::log(median), sigma)(engine_);
}

Duration Random::jitter(Duration base, double share)
{
    const double factor = 1.0 + share * (2.0 * unit() - 1.0);
    return Duration(std::llround(static_cast<double>(base.count()) * factor));
}

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::vector<std::size_t> rendezvous(std::string_view key, std::span<const std::string> candidates, std::size_t count)
{
    const std::uint64_t keyHash = hashBytes(key);
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    weights.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        weights.emplace_back(hashBytes(candidates[index], keyHash), index);
    }
    const std::size_t kept = std::min(count, weights.size());
    const auto heavier = [&](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : candidates[left.second] < candidates[right.second];
    };
    std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(kept), weights.end(), heavier);
    std::vector<std::size_t> best;
    best.reserve(kept);
    for (std::size_t index = 0; index < kept; ++index) {
        best.push_back(weights[index].second);
    }
    return best;
}

} // namespace lacewing
