#include <dispatch/dispatch.h>

#include <algorithm>

namespace lacewing::dispatch
{
namespace
{

using routing::EndpointLifetime;

/** Tokens accumulate for this time, and one more. */
constexpr Duration burstTime = 500ms;
/** Rate at which endpoints get requests that name a lower limit, or 0: only answers tell that a limit has ended. */
constexpr double minRate = 0.1;
/** Highest limit for which VMs report their sends; higher ones are divided among the VMs. */
constexpr double maxReportedRate = 100;
/** Number of limited endpoints up to which VMs report their sends. */
constexpr std::size_t maxReportedLimits = 32;
/** Time for which tokens may be overdrawn, so that late reports do not block an endpoint for long. */
constexpr Duration maxDebtTime = 4s;
/** Time for which the end of a limit is remembered and reported. */
constexpr Duration endRetention = 30s;

} // namespace

bool SharedRateLimits::recordAnswer(const EndpointLifetime &endpoint,
                                    std::optional<double> limit,
                                    Time sentAt,
                                    Time now)
{
    if (limit) {
        return set(limits_[endpoint], limit, now, now);
    }
    const auto found = limits_.find(endpoint);
    if (found == limits_.end() || !found->second.perSecond || sentAt <= found->second.statedAt) {
        return false;
    }
    return set(found->second, std::nullopt, now, now);
}

bool SharedRateLimits::recordSend(const EndpointLifetime &endpoint, Time now)
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end() || !found->second.perSecond) {
        return false;
    }
    ++found->second.sendCount;
    takeTokens(found->second, 1, now);
    return isReported(found->second);
}

bool SharedRateLimits::merge(const VmId &vm, Incarnation incarnation, const RateLimitUse &use, Time now)
{
    const auto known = limits_.find(use.endpoint);
    if (known == limits_.end() && !use.perSecond) {
        return false;
    }
    Limit &limit = limits_[use.endpoint];
    const bool hasChanged = use.statedAt > limit.statedAt && set(limit, use.perSecond, use.statedAt, now);
    // The sends before the first report may have been under an earlier limit, or long ago.
    const auto [count, isFirst] = limit.reportedCounts.try_emplace({ vm, incarnation }, use.sendCount);
    const std::uint64_t news =
        isFirst ? std::min<std::uint64_t>(use.sendCount, 1) : use.sendCount - std::min(use.sendCount, count->second);
    count->second = std::max(count->second, use.sendCount);
    if (limit.perSecond && isReported(limit)) {
        takeTokens(limit, double(news), now);
    }
    return hasChanged;
}

void SharedRateLimits::setVmCounts(std::size_t heard, std::size_t all, Time now)
{
    if (heard == heardVms_ && all == allVms_) {
        return;
    }
    for (auto &[endpoint, limit] : limits_) {
        takeTokens(limit, 0, now);
    }
    heardVms_ = std::max<std::size_t>(heard, 1);
    allVms_ = std::max(all, heardVms_);
}

std::optional<Time> SharedRateLimits::blockedUntil(const EndpointLifetime &endpoint, Time now) const
{
    if (limits_.empty()) {
        return std::nullopt;
    }
    const auto found = limits_.find(endpoint);
    if (found == limits_.end() || !found->second.perSecond) {
        return std::nullopt;
    }
    const double available = tokens(found->second, now);
    return available >= 1 ? std::nullopt : std::optional(now + fromSeconds((1 - available) / rate(found->second)));
}

std::optional<double> SharedRateLimits::limit(const EndpointLifetime &endpoint) const
{
    const auto found = limits_.find(endpoint);
    return found == limits_.end() ? std::nullopt : found->second.perSecond;
}

std::optional<RateLimitUse> SharedRateLimits::use(const EndpointLifetime &endpoint) const
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end()) {
        return std::nullopt;
    }
    return RateLimitUse { endpoint, found->second.perSecond, found->second.statedAt, found->second.sendCount };
}

std::vector<RateLimitUse> SharedRateLimits::uses() const
{
    std::vector<RateLimitUse> result;
    for (const auto &[endpoint, limit] : limits_) {
        result.push_back({ endpoint, limit.perSecond, limit.statedAt, limit.sendCount });
    }
    return result;
}

void SharedRateLimits::expire(const routing::EndpointDirectory &directory, Time now)
{
    std::erase_if(limits_, [&](const auto &item) {
        const bool hasEnded = !item.second.perSecond && now - item.second.statedAt > endRetention;
        return hasEnded || directory.hasEnded(item.first);
    });
    countLimited();
}

/** Returns whether VMs report their sends; else the limit is divided among them. */
bool SharedRateLimits::isReported(const Limit &limit) const noexcept
{
    return limit.perSecond.value_or(0) <= maxReportedRate && limitedCount_ <= maxReportedLimits;
}

void SharedRateLimits::countLimited() noexcept
{
    limitedCount_ = static_cast<std::size_t>(std::count_if(
        limits_.begin(), limits_.end(), [](const auto &item) { return item.second.perSecond.has_value(); }));
}

/** Returns the tokens per second that the VMs which this one can hear may use. */
double SharedRateLimits::rate(const Limit &limit) const noexcept
{
    const double perSecond = std::max(limit.perSecond.value_or(0), minRate);
    const std::size_t sharers = isReported(limit) ? heardVms_ : 1;
    return perSecond * double(sharers) / double(allVms_);
}

double SharedRateLimits::tokens(const Limit &limit, Time now) const noexcept
{
    const double perSecond = rate(limit);
    const double most = 1 + perSecond * toSeconds(burstTime);
    return std::min(most, limit.tokens + perSecond * toSeconds(std::max(now - limit.tokensAt, Duration::zero())));
}

void SharedRateLimits::takeTokens(Limit &limit, double count, Time now) const
{
    const double least = -1 - rate(limit) * toSeconds(maxDebtTime);
    limit.tokens = std::max(tokens(limit, now) - count, least);
    limit.tokensAt = now;
}

/** Applies a statement of the endpoint. @return whether the limit has changed */
bool SharedRateLimits::set(Limit &limit, std::optional<double> perSecond, Time statedAt, Time now)
{
    const bool hasChanged = limit.perSecond != perSecond;
    if (hasChanged) {
        // Requests that are under way use up what a new limit would allow at once.
        takeTokens(limit, 0, now);
        limit.tokens = limit.perSecond ? std::min(limit.tokens, 1.0) : 0;
        limit.perSecond = perSecond;
        countLimited();
    }
    limit.statedAt = std::max(limit.statedAt, statedAt);
    return hasChanged;
}

} // namespace lacewing::dispatch
