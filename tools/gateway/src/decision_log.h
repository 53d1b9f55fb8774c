#pragma once

#include <telemetry/telemetry.h>

namespace lacewing::gateway
{

/** Writes lines about single requests, at a bounded rate; what is left out is counted and told with the next line. */
class DecisionLog
{
public:
    explicit DecisionLog(telemetry::Logger &logger);

    void write(std::string_view what, telemetry::Fields fields, Time now);

private:
    telemetry::Logger &logger_;
    double tokens_;
    Time filledAt_;
    std::uint64_t leftOut_ = 0;
};

} // namespace lacewing::gateway
