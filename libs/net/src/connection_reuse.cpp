#include "connection_reuse.h"

namespace lacewing::net
{

std::optional<DiscardReason> whyNotReusable(const CompletedResponse &response)
{
    if (response.endsWithConnection) {
        return DiscardReason::EndsWithConnection;
    }
    if (!response.isKeptByServer) {
        return DiscardReason::ServerCloses;
    }
    if (response.hasExtraBytes) {
        return DiscardReason::ExtraBytes;
    }
    if (!response.isRequestWritten) {
        return DiscardReason::RequestUnfinished; // the rest of the request would still be due
    }
    if (!response.isIdentified) {
        return DiscardReason::Unidentified;
    }
    return std::nullopt;
}

std::string_view toText(DiscardReason reason)
{
    switch (reason) {
    case DiscardReason::EndsWithConnection:
        return "response ends with its connection";
    case DiscardReason::ServerCloses:
        return "closed by the server";
    case DiscardReason::ExtraBytes:
        return "bytes after the response";
    case DiscardReason::BytesWhileIdle:
        return "bytes while idle";
    case DiscardReason::RequestUnfinished:
        return "response before the end of the request";
    case DiscardReason::Unidentified:
        return "response not identified";
    }
    return "unknown";
}

} // namespace lacewing::net
