#include "odd_vm.h"

#include <relay_messages.h>

#include <membership/membership.h>

#include <criterion/criterion.h>

namespace lacewing::fuzz
{
namespace
{

using gateway::MessageKind;

constexpr const char *vmName = "odd";
constexpr const char *zoneName = "a";
/** All addresses of the tests begin so. */
constexpr std::string_view addressStart = "127.";

peer::PeerOptions options()
{
    peer::PeerOptions options;
    options.identity({ VmId(vmName), AvailabilityZoneId(zoneName), Incarnation(1) }).plain();
    return options;
}

} // namespace

OddVm::OddVm(net::EventLoop &loop,
             OddValues &values,
             const std::string &ip,
             std::string gatewayAddress,
             routing::DesiredState state)
    : loop_(loop)
    , values_(values)
    , gatewayAddress_(std::move(gatewayAddress))
    , state_(std::move(state))
    , network_(loop,
               options(),
               { [](const peer::PeerIdentity &, const std::string &) {},
                 [this](const peer::PeerIdentity &, peer::PeerCallWriter writer, const std::string &request) {
                     serve(std::move(writer), request);
                 } })
{
    cr_assert(network_.listen({ ip, 0 }).has_value());
}

std::string OddVm::address() const
{
    return net::toText(network_.address());
}

gateway::Heartbeat OddVm::heartbeat() const
{
    gateway::Heartbeat heartbeat;
    heartbeat.vm = vmName;
    heartbeat.zone = zoneName;
    heartbeat.address = address();
    heartbeat.incarnation = 1;
    heartbeat.periodMs = 250;
    heartbeat.stateVersion = state_.version.value();
    heartbeat.stateDigest = routing::digestOf(state_);
    return heartbeat;
}

void OddVm::sendHeartbeat()
{
    network_.send(gatewayAddress_, encodeMessage(MessageKind::Heartbeat, heartbeat()));
}

std::string OddVm::maybeDamaged(std::string message)
{
    constexpr double damagedShare = 0.3;
    const bool isSafe = message.find(addressStart) == std::string::npos;
    return isSafe && values_.random().chance(damagedShare) ? values_.damaged(std::move(message)) : message;
}

template <typename Message>
std::string OddVm::encodeOdd(MessageKind kind, Message message)
{
    values_.change(message);
    return maybeDamaged(encodeMessage(kind, message));
}

std::string OddVm::drawMessage()
{
    constexpr std::uint64_t kinds = 14;
    switch (values_.random().below(kinds)) {
    case 0:
        return encodeOdd(MessageKind::Heartbeat, heartbeat());
    case 1:
        return encodeOdd<gateway::ReleaseMessage>(MessageKind::Release);
    case 2:
        return encodeOdd<gateway::SuspectMessage>(MessageKind::Suspect);
    case 3:
        return encodeOdd<gateway::RateLimitsMessage>(MessageKind::RateLimits);
    case 4:
        return encodeOdd<gateway::SuspectPartsMessage>(MessageKind::SuspectParts);
    case 5:
        return encodeOdd<gateway::StreamOriginsMessage>(MessageKind::StreamOrigins);
    case 6:
        return encodeOdd<gateway::EndpointLifetimeMessage>(MessageKind::EndpointLeaving);
    case 7:
        return encodeOdd<gateway::BrittleEndpointMessage>(MessageKind::BrittleEndpoint);
    case 8:
        return encodeOdd<gateway::StateAnnouncement>(MessageKind::StateAnnouncement);
    case 9:
        return encodeOdd<gateway::RecordsPush>(MessageKind::RecordsPush);
    case 10:
        return encodeOdd<gateway::UnreachableServicesMessage>(MessageKind::UnreachableServices);
    case 11:
        return encodeOdd<gateway::RejectionsMessage>(MessageKind::Rejections);
    case 12:
        return encodeOdd<membership::OverlayMessage>(MessageKind::Overlay);
    default:
        return values_.text();
    }
}

std::string OddVm::drawCall()
{
    constexpr std::uint64_t kinds = 7;
    switch (values_.random().below(kinds)) {
    case 0:
        return encodeOdd<gateway::PiecesRequest>(MessageKind::Pieces);
    case 1:
        return encodeOdd<gateway::RelayRequest>(MessageKind::Relay);
    case 2:
        return encodeOdd<gateway::RecordsRequest>(MessageKind::Records);
    case 3:
        return encodeOdd<gateway::StateRequest>(MessageKind::State);
    case 4:
        return encodeOdd<gateway::StreamOriginRequest>(MessageKind::StreamOrigin);
    case 5:
        return maybeDamaged(gateway::encodeMessage(MessageKind::Suspects));
    default:
        return values_.text();
    }
}

void OddVm::sendOdd()
{
    constexpr double callShare = 0.4;
    constexpr Duration callTime = 300ms;
    ++inputCount_;
    if (values_.random().chance(callShare)) {
        network_.call(gatewayAddress_, drawCall(), { callTime, callTime, callTime, callTime }, {});
    } else {
        network_.send(gatewayAddress_, drawMessage());
    }
}

/** Returns a complete state with an odd part, whose digest fits. */
std::string OddVm::drawState()
{
    routing::DesiredState state = state_;
    const auto changeOne = [&](auto &parts) {
        auto part = *parts[values_.random().below(parts.size())];
        values_.change(part);
        parts.push_back(std::move(part));
    };
    changeOne(state.routes);
    changeOne(state.services);
    changeOne(state.keyHolders);
    values_.change(state.general);
    gateway::StateResponse response { values_.integer(), routing::makeDelta(nullptr, state) };
    return wire::encode(response);
}

std::string OddVm::drawAnswer(MessageKind kind)
{
    const auto encoded = [&](auto message) {
        values_.change(message);
        return wire::encode(message);
    };
    switch (kind) {
    case MessageKind::Pieces:
        return encoded(gateway::PieceResults());
    case MessageKind::Records:
        return encoded(gateway::RecordsResponse());
    case MessageKind::Suspects:
        return encoded(gateway::SuspectsResponse());
    case MessageKind::State:
        return drawState();
    case MessageKind::StreamOrigin:
        return encoded(gateway::StreamOriginResponse());
    case MessageKind::Relay:
        return encoded(gateway::RelayEvent());
    default:
        return values_.text();
    }
}

void OddVm::serve(peer::PeerCallWriter writer, const std::string &request)
{
    constexpr std::uint64_t mostPieces = 4;
    const auto kind = request.empty() ? MessageKind() : MessageKind(request.front());
    for (auto pieces = values_.random().below(mostPieces); pieces > 0; --pieces) {
        ++inputCount_;
        writer.write(maybeDamaged(drawAnswer(kind)));
    }
    if (values_.random().chance(0.5)) {
        writer.end();
    } else {
        writer.fail({ ErrorKind::Unavailable, values_.text() });
    }
}

} // namespace lacewing::fuzz
