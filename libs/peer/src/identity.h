#pragma once

#include <net/net.h>
#include <peer/peer.h>

namespace lacewing::peer
{

/** The headers that tell who sends a request or response. */
net::Headers identityHeaders(const PeerIdentity &identity);
/** Reads what identityHeaders() wrote. Fails with Malformed. */
Result<PeerIdentity> parseIdentity(const net::Headers &headers);

} // namespace lacewing::peer
