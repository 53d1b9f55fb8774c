#pragma once

#include <telemetry/telemetry.h>

namespace lacewing::gateway
{

/** Logs lines about single requests at a limited rate. The number of dropped lines is logged before the next line. */
class DecisionLog
{
public:
    explicit DecisionLog(telemetry::Logger &logger);

    void write(std::string_view message, telemetry::Fields fields, Time now);

private:
    telemetry::Logger &logger_;
    double tokens_;
    Time lastRefillAt_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace lacewing::gateway
