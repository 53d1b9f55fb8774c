#include "fleet_links.h"

/** The part of FleetLinks that decodes messages and calls of other VMs. */
namespace lacewing::gateway
{

void FleetLinks::handleMessage(const VmId &from, const std::string &message)
{
    const auto body = std::string_view(message).substr(message.empty() ? 0 : 1);
    const auto kind = message.empty() ? MessageKind() : MessageKind(message.front());
    const auto deliver = [&]<typename Message>(const std::function<void(const Message &)> &handler) {
        if (const auto decoded = wire::decode<Message>(body)) {
            handler(decoded.value());
        } else {
            context_.logger.warn("malformed message", { { "vm", from }, { "error", decoded.error().detail } });
        }
    };
    switch (kind) {
    case MessageKind::Heartbeat:
        deliver(
            std::function<void(const Heartbeat &)>([this](const Heartbeat &heartbeat) { handleHeartbeat(heartbeat); }));
        break;
    case MessageKind::Release:
        deliver(handlers_.onRelease);
        break;
    case MessageKind::Suspect:
        deliver(handlers_.onSuspect);
        break;
    case MessageKind::RateLimits:
        deliver(handlers_.onRateLimits);
        break;
    case MessageKind::SuspectParts:
        deliver(handlers_.onSuspectParts);
        break;
    case MessageKind::StreamOrigins:
        deliver(handlers_.onStreamOrigins);
        break;
    case MessageKind::EndpointLeaving:
        deliver(handlers_.onEndpointLeaving);
        break;
    case MessageKind::BrittleEndpoint:
        deliver(handlers_.onBrittleEndpoint);
        break;
    case MessageKind::StateAnnouncement:
        deliver(std::function<void(const StateAnnouncement &)>(
            [&](const StateAnnouncement &announcement) { handlers_.onStateAnnounced(from, announcement); }));
        break;
    case MessageKind::RecordsPush:
        deliver(std::function<void(const RecordsPush &)>(
            [&](const RecordsPush &push) { handlers_.onRecordsPushed(from, push); }));
        break;
    case MessageKind::UnreachableServices:
        deliver(std::function<void(const UnreachableServicesMessage &)>([&](const auto &unreachable) {
            const auto found = vms_.find(from);
            if (found != vms_.end() && found->second.heartbeat.unreachableServices != unreachable.services) {
                found->second.heartbeat.unreachableServices = unreachable.services;
                handlers_.onMembersChanged();
            }
        }));
        break;
    case MessageKind::Rejections:
        deliver(std::function<void(const RejectionsMessage &)>(
            [&](const RejectionsMessage &rejections) { handlers_.onRejections(rejections.rejectedRequests); }));
        break;
    case MessageKind::Overlay:
        deliver(std::function<void(const membership::OverlayMessage &)>(
            [&](const membership::OverlayMessage &overlay) { handleOverlayMessage(from, overlay); }));
        break;
    case MessageKind::Pieces:
    case MessageKind::Relay:
    case MessageKind::Records:
    case MessageKind::State:
    case MessageKind::StreamOrigin:
    case MessageKind::Suspects:
        break;
    }
}

void FleetLinks::handleCall(peer::PeerCallWriter writer, const std::string &request)
{
    const auto body = std::string_view(request).substr(request.empty() ? 0 : 1);
    const auto kind = request.empty() ? MessageKind() : MessageKind(request.front());
    if (kind == MessageKind::Pieces) {
        if (auto decoded = wire::decode<PiecesRequest>(body)) {
            handlers_.onPieces(std::move(decoded.value()), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::Relay) {
        if (auto decoded = wire::decode<RelayRequest>(body)) {
            handlers_.onRelay(std::move(decoded.value()), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::Records) {
        if (const auto decoded = wire::decode<RecordsRequest>(body)) {
            handlers_.onRecords(decoded.value(), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::State) {
        if (const auto decoded = wire::decode<StateRequest>(body)) {
            handlers_.onStateRequested(decoded.value(), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::StreamOrigin) {
        if (const auto decoded = wire::decode<StreamOriginRequest>(body)) {
            handlers_.onStreamOriginRequested(decoded.value(), std::move(writer));
            return;
        }
    } else if (kind == MessageKind::Suspects) {
        handlers_.onSuspectsRequested(std::move(writer));
        return;
    }
    writer.fail({ ErrorKind::Malformed, "malformed request" });
}

} // namespace lacewing::gateway
