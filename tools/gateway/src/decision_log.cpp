#include "decision_log.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Rate limit and burst of the token bucket; a line costs some 20 us of CPU time. */
constexpr double maxLinesPerSecond = 150;
constexpr double maxBurstLines = 300;

} // namespace

DecisionLog::DecisionLog(telemetry::Logger &logger)
    : logger_(logger)
    , tokens_(maxBurstLines)
{
}

void DecisionLog::write(std::string_view message, telemetry::Fields fields, Time now)
{
    tokens_ = std::min(maxBurstLines, tokens_ + maxLinesPerSecond * toSeconds(now - lastRefillAt_));
    lastRefillAt_ = now;
    if (tokens_ < 1) {
        ++droppedLines_;
        return;
    }
    tokens_ -= 1;
    if (droppedLines_ > 0) {
        logger_.warn("log lines dropped", { { "lines", droppedLines_ } });
        droppedLines_ = 0;
    }
    logger_.state(message, fields);
}

} // namespace lacewing::gateway
