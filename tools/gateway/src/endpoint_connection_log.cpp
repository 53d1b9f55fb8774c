#include "endpoint_connection_log.h"

namespace lacewing::gateway
{

EndpointConnectionLog::EndpointConnectionLog(Context &context)
    : context_(context)
    , log_(context.logger)
    , passedOverCounter_(context.metrics.counter(
          { "endpoint_answers_passed_over", "Answers of endpoints to another request than the one in progress" }))
    , discardedCounter_(context.metrics.counter(
          { "endpoint_connections_discarded", "Connections to endpoints not used again after a whole answer" }))
    , avoidedCounter_(context.metrics.counter(
          { "endpoint_connections_avoided", "Connections not used for a request that they had carried before" }))
{
}

void EndpointConnectionLog::write(const net::HttpClientEvent &event)
{
    std::visit([this](const auto &specific) { write(specific); }, event);
}

void EndpointConnectionLog::write(const net::ResponsePassedOver &event)
{
    passedOverCounter_.add();
    log_.write("answer passed over",
               { { "request", event.connection.echo },
                 { "answers_request", event.echo },
                 { "status", event.status },
                 { "address", event.connection.address },
                 { "connection", event.connection.number } },
               context_.now());
}

void EndpointConnectionLog::write(const net::ConnectionAvoided &event)
{
    avoidedCounter_.add();
    log_.write("connection has carried the request",
               { { "request", event.connection.echo },
                 { "address", event.connection.address },
                 { "connection", event.connection.number } },
               context_.now());
}

void EndpointConnectionLog::write(const net::ConnectionDiscarded &event)
{
    discardedCounter_.add();
    log_.write("connection not used again",
               { { "request", event.connection.echo },
                 { "reason", net::toText(event.reason) },
                 { "status", event.status },
                 { "address", event.connection.address },
                 { "connection", event.connection.number } },
               context_.now());
}

} // namespace lacewing::gateway
