#pragma once

#include <net/net.h>
#include <routing/routing.h>
#include <wire/wire.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Messages by which a VM has another one send a request to an endpoint. Times are relative, in ms. */
namespace lacewing::gateway
{

/** The services of which a VM reaches no endpoint; replaces what it said before. */
struct UnreachableServicesMessage {
    std::vector<std::string> services;

    LACEWING_MEMBERS(services)
};

struct HeaderMessage {
    std::string name;
    std::string value;

    LACEWING_MEMBERS(name, value)
};

/** Size of the results that a request holds in one zone. */
struct ZoneBytesMessage {
    std::string zone; ///< empty: all results, including those whose zone is not known
    std::uint64_t bytes = 0;

    LACEWING_MEMBERS(zone, bytes)
};

/** Where the stream began that an endpoint has to resume. */
struct OriginMessage {
    routing::ServiceId service;
    std::optional<routing::SoftwareVersion> version;

    LACEWING_MEMBERS(service, version)
};

/** Asks another VM to make one attempt of a request. It chooses the endpoint. */
struct RelayRequest {
    std::string method;
    std::string target;
    std::vector<HeaderMessage> headers; ///< as the caller sent them
    std::string body;
    routing::ServiceId service;
    std::optional<std::string> workspace;
    std::int64_t remainingMs = 0; ///< until the deadline of the request
    std::optional<std::int32_t> urgency;
    std::optional<std::string> lastEventId;
    std::vector<std::string> inputs; ///< handles of the stage results that the endpoint needs
    std::vector<ZoneBytesMessage> resultBytes;
    std::vector<std::string> triedEndpoints;
    std::optional<OriginMessage> origin;
    std::uint64_t fingerprint = 0;

    LACEWING_MEMBERS(method,
                     target,
                     headers,
                     body,
                     service,
                     workspace,
                     remainingMs,
                     urgency,
                     lastEventId,
                     inputs,
                     resultBytes,
                     triedEndpoints,
                     origin,
                     fingerprint)
};

/** The request is being sent to an endpoint. */
struct RelaySentMessage {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::string zone;
    std::optional<routing::SoftwareVersion> softwareVersion;

    LACEWING_MEMBERS(endpoint, incarnation, zone, softwareVersion)
};
/** The request was not sent, and won't be. */
struct RelayRefusalMessage {
    std::string reason;
    bool isServiceUnreachable = false; ///< the VM reaches no endpoint of the service either

    LACEWING_MEMBERS(reason, isServiceUnreachable)
};
struct RelayHeadMessage {
    std::int32_t status = 0;
    std::vector<HeaderMessage> headers;
    net::BodyFraming framing = net::BodyFraming::Length;

    LACEWING_MEMBERS(status, headers, framing)
};
/** How the call to the endpoint ended. */
struct RelayEndMessage {
    std::optional<ErrorKind> error; ///< empty: the whole response was received
    std::string detail;
    bool requestWritten = false;

    LACEWING_MEMBERS(error, detail, requestWritten)
};
/** A piece of the response to a RelayRequest; has one of the fields. */
struct RelayEvent {
    std::optional<RelaySentMessage> sent;
    std::optional<RelayRefusalMessage> refusal;
    std::optional<RelayHeadMessage> head;
    std::string body;
    std::optional<RelayEndMessage> end;

    LACEWING_MEMBERS(sent, refusal, head, body, end)
};

std::vector<HeaderMessage> toMessage(const net::Headers &headers);
net::Headers toHeaders(std::vector<HeaderMessage> messages);

} // namespace lacewing::gateway
