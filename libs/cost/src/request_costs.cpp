#include <cost/cost.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <list>
#include <unordered_map>

namespace lacewing::cost
{
namespace
{

/** Answers that an average rests on at most; older ones fade. */
constexpr double maxSamples = 60;
/** Samples that a class needs to count as much as what it leans on. */
constexpr double priorSamples = 2;
/** Standard deviation of the logarithm of a cost, before any is known. */
constexpr double priorDeviation = 0.4;
/** Samples count as no further from the mean than this many deviations, but at least this far. */
constexpr double maxDeviations = 2.5;
constexpr double minOutlierDistance = 0.3;
/** Outliers in a row on the same side that are taken for a change. */
constexpr int changeStreak = 4;
/** Samples that the new mean counts for after a change. */
constexpr double samplesAfterChange = 2;
/** Classes, routes and stages that are kept. */
constexpr std::size_t maxAverages = 4'096;
/** Services of which prompt costs are kept. */
constexpr std::size_t maxServices = 256;

/** Prompt cost before any is known: typical of an engine that is busy but not saturated. */
constexpr double priorBaseMs = 110;
constexpr double priorMsPerToken = 1.0 / 90;
/** Prompts of this size that the prior counts for, some of them held by the engine. */
constexpr double priorPrompts = 4;
constexpr double priorPromptTokens = 4'000;
/** Share of the weight that a sample keeps at each further one. */
constexpr double promptRetention = 0.99;
/** Times count as at most this many times longer or shorter than expected. */
constexpr double maxPromptError = 3;
constexpr double minBaseMs = 2;
constexpr double minMsPerToken = 1e-4;
constexpr double maxMsPerToken = 2;

/** Mean and variance of logarithms. */
struct Average {
    double mean = 0;
    double variance = priorDeviation * priorDeviation;
    double samples = 0;
    int streak = 0; ///< latest outliers in a row; negative if they are below the mean

    void add(double value)
    {
        if (samples == 0) {
            mean = value;
            samples = 1;
            return;
        }
        const double limit = std::max(maxDeviations * std::sqrt(variance), minOutlierDistance);
        const double error = value - mean;
        if (std::abs(error) <= limit) {
            streak = 0;
        } else {
            streak = error > 0 ? std::max(streak, 0) + 1 : std::min(streak, 0) - 1;
        }
        if (std::abs(streak) >= changeStreak) {
            *this = { value, variance, samplesAfterChange, 0 };
            return;
        }
        samples = std::min(samples + 1, maxSamples);
        const double counted = std::clamp(error, -limit, limit);
        mean += counted / samples;
        variance += (counted * counted - variance) / (samples + priorSamples);
    }
};

/** Three unknowns: base, and ms per unread and per shared token. */
constexpr std::size_t unknowns = 3;
using Vector = std::array<double, unknowns>;

/** Regression of times on prompt sizes, by weighted least squares; the weights make errors relative. */
class PromptRegression
{
public:
    PromptRegression()
    {
        const Vector prior { priorBaseMs, priorMsPerToken, priorMsPerToken };
        for (const Vector &point :
             { Vector { 1, 0, 0 }, Vector { 1, priorPromptTokens, 0 }, Vector { 1, 0, priorPromptTokens } }) {
            const double timeMs = dot(point, prior);
            addPoint(point, timeMs, priorPrompts / (timeMs * timeMs));
        }
        solve();
    }

    void add(double unread, double shared, double timeMs)
    {
        const Vector point { 1, unread, shared };
        const double expected = dot(point, solution_);
        const double counted = std::clamp(timeMs, expected / maxPromptError, expected * maxPromptError);
        const double error = counted / expected - 1;
        variance_ += (error * error - variance_) / (samples_ + priorPrompts);
        samples_ = std::min(samples_ + 1, maxSamples);
        for (auto &row : products_) {
            for (double &value : row) {
                value *= promptRetention;
            }
        }
        for (double &value : times_) {
            value *= promptRetention;
        }
        addPoint(point, counted, 1 / (expected * expected));
        solve();
    }

    PromptCost cost() const
    {
        return { solution_[0], solution_[1], solution_[2], std::sqrt(variance_), samples_ };
    }

private:
    static double dot(const Vector &a, const Vector &b)
    {
        return a[0] * b[0] + a[1] * b[1] + a[2] * b[2];
    }

    void addPoint(const Vector &point, double timeMs, double weight)
    {
        for (std::size_t row = 0; row < unknowns; ++row) {
            for (std::size_t column = 0; column < unknowns; ++column) {
                products_[row][column] += weight * point[row] * point[column];
            }
            times_[row] += weight * point[row] * timeMs;
        }
    }

    /** Solves the normal equations by Gauss-Seidel steps within bounds. */
    void solve()
    {
        static constexpr Vector lowest { minBaseMs, minMsPerToken, minMsPerToken };
        static constexpr Vector highest { 1e5, maxMsPerToken, maxMsPerToken };
        constexpr int steps = 12;
        for (int step = 0; step < steps; ++step) {
            for (std::size_t row = 0; row < unknowns; ++row) {
                const double rest = times_[row] - dot(products_[row], solution_) + products_[row][row] * solution_[row];
                if (products_[row][row] > 1e-12) {
                    solution_[row] = std::clamp(rest / products_[row][row], lowest[row], highest[row]);
                }
            }
        }
    }

    std::array<Vector, unknowns> products_ {};
    Vector times_ {};
    Vector solution_ { priorBaseMs, priorMsPerToken, priorMsPerToken };
    double variance_ = priorDeviation * priorDeviation;
    double samples_ = 0;
};

} // namespace

RequestClass RequestClass::ofRequest(const routing::RouteId &route, std::uint64_t size)
{
    RequestClass result;
    result.group_ = hashBytes(route.text());
    result.key_ = hashBytes(route.text(), 1 + std::uint64_t(std::bit_width(size)));
    return result;
}

RequestClass RequestClass::ofPiece(const routing::RouteId &route, std::uint32_t stage)
{
    RequestClass result;
    result.group_ = result.key_ = hashBytes(route.text(), ~std::uint64_t(stage));
    return result;
}

Estimate PromptCost::estimate(double unreadTokens, double sharedTokens) const noexcept
{
    const double mean = baseMs + readingMs(unreadTokens, sharedTokens);
    return { mean, mean * relativeDeviation, samples };
}

double PromptCost::readingMs(double unreadTokens, double sharedTokens) const noexcept
{
    return unreadTokens * msPerToken + sharedTokens * msPerSharedToken;
}

class RequestCosts::State
{
public:
    const Average *find(std::uint64_t key) const
    {
        const auto found = averages_.find(key);
        return found == averages_.end() ? nullptr : &found->second.average;
    }

    Average &use(std::uint64_t key)
    {
        const auto [entry, isNew] = averages_.try_emplace(key);
        if (isNew) {
            entry->second.position = uses_.insert(uses_.end(), key);
            if (averages_.size() > maxAverages) {
                averages_.erase(uses_.front());
                uses_.pop_front();
            }
        } else {
            uses_.splice(uses_.end(), uses_, entry->second.position);
        }
        return entry->second.average;
    }

    std::unordered_map<routing::ServiceId, PromptRegression> prompts;

    std::size_t size() const noexcept
    {
        return averages_.size() + prompts.size();
    }

private:
    struct Entry {
        Average average;
        std::list<std::uint64_t>::iterator position;
    };
    std::unordered_map<std::uint64_t, Entry> averages_;
    std::list<std::uint64_t> uses_; ///< keys, the one not used for longest first
};

RequestCosts::RequestCosts()
    : state_(std::make_unique<State>())
{
}

RequestCosts::~RequestCosts() = default;

Estimate RequestCosts::estimate(const RequestClass &request, double priorMs) const
{
    double mean = std::log(priorMs);
    double variance = priorDeviation * priorDeviation;
    double samples = 0;
    for (const std::uint64_t key : { request.group_, request.key_ }) {
        const Average *average = state_->find(key);
        if (average == nullptr) {
            continue;
        }
        const double evidence = average->samples * average->samples;
        const double weight = samples > 0 ? evidence / (evidence + priorSamples * priorSamples) : 1;
        mean += weight * (average->mean - mean);
        variance += weight * (average->variance - variance);
        samples = std::max(samples, average->samples);
    }
    if (samples == 0) {
        return { priorMs, priorMs * priorDeviation, 0 };
    }
    // Mean and standard deviation of a log-normal distribution.
    const double meanMs = std::exp(mean + variance / 2);
    return { meanMs, meanMs * std::sqrt(std::expm1(variance)), samples };
}

void RequestCosts::record(const RequestClass &request, double timeMs)
{
    const double value = std::log(timeMs);
    state_->use(request.group_).add(value);
    if (request.key_ != request.group_) {
        state_->use(request.key_).add(value);
    }
}

PromptCost RequestCosts::promptCost(const routing::ServiceId &service) const
{
    static const PromptCost prior = PromptRegression().cost();
    const auto found = state_->prompts.find(service);
    return found == state_->prompts.end() ? prior : found->second.cost();
}

void RequestCosts::recordPrompt(const routing::ServiceId &service,
                                double unreadTokens,
                                double sharedTokens,
                                double timeMs)
{
    if (state_->prompts.size() >= maxServices && !state_->prompts.contains(service)) {
        state_->prompts.clear(); // services of earlier desired states; those in use are learned anew within seconds
    }
    state_->prompts[service].add(unreadTokens, sharedTokens, timeMs);
}

std::size_t RequestCosts::size() const noexcept
{
    return state_->size();
}

} // namespace lacewing::cost
