#include "fair_share.h"

#include <algorithm>
#include <cmath>

namespace lacewing::policy
{

namespace
{

/** Time constant of measured rates. */
constexpr double rateTimeConstantSeconds = 2;
/** Workspaces below this share are dropped. */
constexpr double minTrackedShare = 1e-7;
constexpr double unlimited = 1e9;

/**
 * Returns the level at which the sum of min(share, level) equals `rest`, but at least the smallest share, since
 * workspaces that are not listed may use as much as the smallest listed one.
 * @param shares in ascending order
 */
double waterFillingLevel(const std::vector<double> &shares, double rest)
{
    auto left = shares.size();
    for (const double share : shares) {
        const double level = rest / double(left);
        if (share > level) {
            return std::max(level, shares.front());
        }
        rest -= share;
        --left;
    }
    return unlimited;
}

} // namespace

void DecayingRate::add(double amount, Time now) noexcept
{
    value_ = value_ * std::exp(-toSeconds(now - updated_) / rateTimeConstantSeconds) + amount;
    updated_ = now;
}

double DecayingRate::perSecond(Time now) const noexcept
{
    return value_ * std::exp(-toSeconds(now - updated_) / rateTimeConstantSeconds) / rateTimeConstantSeconds;
}

void FairShare::onArrival(const WorkspaceId &workspace, double share, Time now)
{
    local_[workspace].add(share, now);
}

void FairShare::setOthers(std::span<const WorkspaceDemand> others)
{
    others_.clear();
    for (const auto &use : others) {
        others_[use.workspace] += use.dominantShare;
    }
}

double FairShare::totalShare(const WorkspaceId &workspace, Time now) const
{
    const auto local = local_.find(workspace);
    const auto other = others_.find(workspace);
    return (local == local_.end() ? 0 : local->second.perSecond(now)) + (other == others_.end() ? 0 : other->second);
}

void FairShare::update(double demand, double target, Time now)
{
    std::erase_if(local_, [&](const auto &item) { return item.second.perSecond(now) < minTrackedShare; });
    level_ = unlimited;
    commonFraction_ = 1;
    if (demand <= target) {
        return;
    }
    std::vector<double> uses;
    for (const auto &use : heaviestLocal(now)) {
        uses.push_back(this->totalShare(use.workspace, now));
    }
    for (const auto &[workspace, share] : others_) {
        if (!local_.contains(workspace)) {
            uses.push_back(share);
        }
    }
    std::sort(uses.begin(), uses.end());
    double known = 0;
    for (const double share : uses) {
        known += share;
    }
    const double unlistedLoad = std::max(0.0, demand - known);
    level_ = waterFillingLevel(uses, target - unlistedLoad);
    double admitted = unlistedLoad;
    for (const double share : uses) {
        admitted += std::min(share, level_);
    }
    commonFraction_ = admitted > target ? target / admitted : 1;
}

double FairShare::admittedFraction(const WorkspaceId &workspace, Time now) const
{
    const double share = totalShare(workspace, now);
    return commonFraction_ * (share <= level_ ? 1 : level_ / share);
}

std::vector<WorkspaceDemand> FairShare::heaviestLocal(Time now) const
{
    std::vector<WorkspaceDemand> result;
    result.reserve(local_.size());
    for (const auto &[workspace, rate] : local_) {
        result.push_back({ workspace, rate.perSecond(now) });
    }
    const auto heavier = [](const WorkspaceDemand &left, const WorkspaceDemand &right) {
        return left.dominantShare != right.dominantShare ? left.dominantShare > right.dominantShare
                                                         : left.workspace < right.workspace;
    };
    const auto count = std::min(result.size(), maxHeavyWorkspaces);
    std::partial_sort(result.begin(), result.begin() + std::ptrdiff_t(count), result.end(), heavier);
    result.resize(count);
    return result;
}

} // namespace lacewing::policy
