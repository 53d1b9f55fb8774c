#pragma once

#include "context.h"
#include "decision_log.h"

namespace lacewing::gateway
{

/** Logs and counts what becomes of connections to endpoints, so that a request can be followed over them. */
class EndpointConnectionLog
{
public:
    explicit EndpointConnectionLog(Context &context);

    void write(const net::HttpClientEvent &event);

private:
    void write(const net::ResponsePassedOver &event);
    void write(const net::ConnectionDiscarded &event);
    void write(const net::ConnectionAvoided &event);

    Context &context_;
    DecisionLog log_;
    telemetry::Counter passedOverCounter_;
    telemetry::Counter discardedCounter_;
    telemetry::Counter avoidedCounter_;
};

} // namespace lacewing::gateway
