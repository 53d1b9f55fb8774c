#pragma once

#include <policy/policy.h>

#include <unordered_map>

namespace lacewing::policy
{

/** Measures a rate with an exponentially decaying counter. */
class DecayingRate
{
public:
    void add(double amount, Time now) noexcept;
    /** Returns the amount per second. */
    double perSecond(Time now) const noexcept;

private:
    double value_ = 0;
    Time updated_;
};

/**
 * Max-min fair shares of the workspaces of the fleet.
 *
 * Each policy knows its own arrivals and only the heaviest workspaces of the other policies. When the offered load
 * exceeds the capacity, jobs of workspaces above the common level are admitted with the probability that reduces the
 * workspace's load to this level.
 */
class FairShare
{
public:
    /** Counts an arrival, admitted or not. @param share fraction of a pool-second of the dominant pool */
    void onArrival(const WorkspaceId &workspace, double share, Time now);
    /** Replaces the demand of all other policies. @param others their heaviest workspaces */
    void setOthers(std::span<const WorkspaceDemand> others);
    /**
     * Recomputes the level.
     * @param demand offered load of the whole fleet, as a fraction of the capacity
     * @param target load to admit, as a fraction of the capacity
     */
    void update(double demand, double target, Time now);
    /** Returns the fraction of the workspace's jobs to admit, 0 to 1. */
    double admittedFraction(const WorkspaceId &workspace, Time now) const;
    /** Returns the heaviest workspaces of this policy, at most maxHeavyWorkspaces. */
    std::vector<WorkspaceDemand> heaviestLocal(Time now) const;

private:
    double totalShare(const WorkspaceId &workspace, Time now) const;

    std::unordered_map<WorkspaceId, DecayingRate> local_;
    std::unordered_map<WorkspaceId, double> others_;
    double level_ = 1e9; ///< maximum share of a workspace
    double commonFraction_ = 1; ///< admitted fraction of all workspaces; below 1 if the unlisted ones exceed the target
};

} // namespace lacewing::policy
