#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

/**
 * Decides what a VM still does after it was asked to stop.
 *
 * This library performs no I/O; the current time is passed in by the caller.
 */
namespace lacewing::shutdown
{

/**
 * Longest recent completion times of requests, by route and size.
 *
 * A request that is cut while an endpoint executes it can't be repeated if it is not idempotent, whereas one that is
 * rejected can be served by another VM. So the estimate is the maximum, not an average.
 */
class CompletionTimes
{
public:
    /**
     * Records a request that completed.
     *
     * @param size of the request, in any unit; requests of one route and of a similar size take a similar time
     */
    void record(const routing::RouteId &route, std::uint32_t size, Duration time, Time now);
    /** Returns the time that a request may take; empty if none of about that size or larger completed recently. */
    std::optional<Duration> estimate(const routing::RouteId &route, std::uint32_t size, Time now) const;
    /** Removes routes without recent requests. */
    void expire(Time now);

private:
    /** Maximum times since `startedAt`, by size class. */
    struct Window {
        Time startedAt;
        std::map<int, Duration> maxTimes;
    };
    struct Route {
        Window current;
        Window previous;
    };

    std::unordered_map<routing::RouteId, Route> routes_;
};

/**
 * Returns the time that a request may take of whose like none has completed recently.
 *
 * @param latencyTarget of its route, for the complete response or the first event of a stream
 * @param maxOutputTokens 0 if the request is not for a model
 */
Duration defaultEstimate(Duration latencyTarget, std::uint32_t maxOutputTokens) noexcept;

/** Points in time of an orderly stop. */
class StopSchedule
{
public:
    /** @param gracePeriod time after which the platform kills the process */
    StopSchedule(Time requestedAt, Duration gracePeriod);

    Time requestedAt() const noexcept
    {
        return requestedAt_;
    }
    /** Returns by when all answers have to be complete. */
    Time answersDueAt() const noexcept
    {
        return answersDueAt_;
    }
    /** Returns when the process ends, even if it is not idle. */
    Time endsAt() const noexcept
    {
        return endsAt_;
    }
    /**
     * Returns whether a request that starts now completes before the stop.
     *
     * @param estimate of the time that it takes
     * @param deadline by which the request ends in any case
     */
    bool canComplete(Duration estimate, Time deadline, Time now) const noexcept;

private:
    Time requestedAt_;
    Time answersDueAt_;
    Time endsAt_;
};

} // namespace lacewing::shutdown
