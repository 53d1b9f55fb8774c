#pragma once

#include <endpoint/endpoint.h>

/** The bodies and targets of the endpoints' HTTP interface. */
namespace lacewing::endpoint
{

namespace header
{
constexpr std::string_view callId = "X-Call-Id"; ///< sent with each call and echoed
constexpr std::string_view notStarted = "X-Not-Started"; ///< "true": the call surely didn't run
constexpr std::string_view incarnation = "X-Incarnation"; ///< of the endpoint, hexadecimal
constexpr std::string_view lastEventId = "Last-Event-ID"; ///< byte offset at which to resume a stream
} // namespace header

/** The whole-answer part of StageEnded, or why a body isn't one. */
struct PlainAnswer {
    std::string output;
    Duration busy {};
    Tokens promptTokens;
};

/** Target of a stage's calls. */
std::string_view stageTarget(config::StageKind kind) noexcept;
/** Body of a stage's call. Fails with InvalidArgument when a text isn't UTF-8. */
Result<std::string> stageBody(const StageCall &call);
Result<PlainAnswer> plainAnswerFrom(const std::string &body);

Result<Incarnation> incarnationFrom(std::string_view hexadecimal);
std::string toHex(std::uint64_t value);

Result<EndpointLoad> loadFrom(const std::string &body);
Result<CacheEvents> cacheEventsFrom(const std::string &body);
std::string orderBody(const Order &order);

/** Success for a complete response with a status of 2xx. 409 is Fenced, 404 NotFound, 503 Unavailable, else Refused. */
Result<void> checkOk(const net::HttpEnd &end, const net::HttpHead &head);

} // namespace lacewing::endpoint
