#pragma once

#include <net/net.h>

#include <optional>

namespace lacewing::net
{

/** What is known of a connection at the end of a response. */
struct CompletedResponse {
    bool isKeptByServer = true; ///< the server hasn't said that it closes the connection
    bool endsWithConnection = false; ///< nothing but the end of the connection marks the end of the response
    bool hasExtraBytes = false; ///< bytes that follow the response have arrived
    bool isRequestWritten = true; ///< the whole request was sent before the response ended
    bool isIdentified = true; ///< the response certainly belongs to its call, or the client doesn't ask for that
};

/** Decides whether a connection is used again, whatever its call was for. @return why not; empty if it is */
std::optional<DiscardReason> whyNotReusable(const CompletedResponse &response);

} // namespace lacewing::net
