#pragma once

#include <policy/policy.h>

#include <unordered_map>

namespace lacewing::policy
{

/** A rate measured by a counter that decays exponentially. */
class DecayingRate
{
public:
    void add(double amount, Time now) noexcept;
    /** Amount a second. */
    double perSecond(Time now) const noexcept;

private:
    double value_ = 0;
    Time updated_;
};

/**
 * Max-min fair shares among workspaces of the whole fleet.
 *
 * Each policy knows its own arrivals and, of the other policies, only the heaviest workspaces. When the offered work
 * exceeds the capacity, workspaces above the common level are admitted with the probability that brings them to it.
 */
class FairShare
{
public:
    /** Counts an arrival, admitted or not. @param share part of a pool-second of the dominant pool */
    void onArrival(const WorkspaceId &workspace, double share, Time now);
    /** @param others heaviest workspaces of all other policies */
    void setOthers(std::span<const WorkspaceDemand> others);
    /**
     * Recomputes the level.
     * @param demand offered work of the whole fleet as a share of the capacity
     * @param target share of the capacity to admit
     */
    void update(double demand, double target, Time now);
    /** Part of the workspace's jobs to admit, 0 to 1. */
    double admittedFraction(const WorkspaceId &workspace, Time now) const;
    /** The heaviest workspaces of this policy, at most maxHeavyWorkspaces. */
    std::vector<WorkspaceDemand> heaviestLocal(Time now) const;

private:
    double totalShare(const WorkspaceId &workspace, Time now) const;

    std::unordered_map<WorkspaceId, DecayingRate> local_;
    std::unordered_map<WorkspaceId, double> others_;
    double level_ = 1e9; ///< highest share that a workspace gets
    double commonFraction_ = 1; ///< part admitted of all workspaces, when the light ones alone ask for too much
};

} // namespace lacewing::policy
