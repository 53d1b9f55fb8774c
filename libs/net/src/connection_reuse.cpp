#include "connection_reuse.h"

#include <algorithm>

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
    if (!response.canCarryMore) {
        return DiscardReason::TooManyCalls;
    }
    if (!response.isYoung) {
        return DiscardReason::TooOld;
    }
    return std::nullopt;
}

void CarriedIds::add(std::string_view id)
{
    hashes_.push_back(hashBytes(id));
}

bool CarriedIds::contains(std::string_view id) const noexcept
{
    return std::find(hashes_.begin(), hashes_.end(), hashBytes(id)) != hashes_.end();
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
    case DiscardReason::TooManyCalls:
        return "too many calls";
    case DiscardReason::TooOld:
        return "too old";
    }
    return "unknown";
}

} // namespace lacewing::net
