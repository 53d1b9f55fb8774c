#include "decision_log.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Lines a second, and how many may come at once: a line costs some 20 us of processor time. */
constexpr double linesPerSecond = 150;
constexpr double burstLines = 300;

} // namespace

DecisionLog::DecisionLog(telemetry::Logger &logger)
    : logger_(logger)
    , tokens_(burstLines)
{
}

void DecisionLog::write(std::string_view what, telemetry::Fields fields, Time now)
{
    tokens_ = std::min(burstLines, tokens_ + linesPerSecond * toSeconds(now - filledAt_));
    filledAt_ = now;
    if (tokens_ < 1) {
        ++leftOut_;
        return;
    }
    tokens_ -= 1;
    if (leftOut_ > 0) {
        logger_.warn("lines left out", { { "lines", leftOut_ } });
        leftOut_ = 0;
    }
    logger_.state(what, fields);
}

} // namespace lacewing::gateway
