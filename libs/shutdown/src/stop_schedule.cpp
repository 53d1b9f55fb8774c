#include <shutdown/shutdown.h>

#include <algorithm>

namespace lacewing::shutdown
{
namespace
{

/** Time before the end of the grace period by which all answers are complete, and by which the process ends. A short
 * grace period has proportionally shorter margins. */
constexpr Duration maxAnswerMargin = 500ms;
constexpr Duration maxEndMargin = 300ms;
constexpr int minAnswerMargins = 8; ///< in a grace period
constexpr int minEndMargins = 16;
/** Factor for requests that take longer than the longest recent one. */
constexpr double estimateMargin = 1.15;
/** Latency targets leave as much time again as endpoints take at usual load. */
constexpr int latencyTargetDivisor = 2;
/** Time per output token of an engine that is busy. */
constexpr Duration typicalTokenTime = 20ms;

} // namespace

Duration defaultEstimate(Duration latencyTarget, std::uint32_t maxOutputTokens) noexcept
{
    return latencyTarget / latencyTargetDivisor + std::int64_t(maxOutputTokens) * typicalTokenTime;
}

StopSchedule::StopSchedule(Time requestedAt, Duration gracePeriod)
    : requestedAt_(requestedAt)
    , answersDueAt_(requestedAt + gracePeriod - std::min(maxAnswerMargin, gracePeriod / minAnswerMargins))
    , endsAt_(requestedAt + gracePeriod - std::min(maxEndMargin, gracePeriod / minEndMargins))
{
}

bool StopSchedule::canComplete(Duration estimate, Time deadline, Time now) const noexcept
{
    const Time completedAt = now + fromSeconds(toSeconds(estimate) * estimateMargin);
    return std::min(completedAt, deadline) <= answersDueAt_;
}

} // namespace lacewing::shutdown
