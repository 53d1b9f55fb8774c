#pragma once

#include "context.h"
#include "fleet_links.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace lacewing::gateway
{

/**
 * Responses of any size to calls of other VMs, sent in pieces.
 *
 * A response has no limit on its total time, since that depends on its size and on the links at both ends. It fails if
 * nothing arrives for a while. A silent link is noticed earlier, by its own probes.
 */
class BulkResponses
{
public:
    /** Sends a response as fast as the other VM takes it. */
    void send(std::shared_ptr<const std::string> bytes, peer::PeerCallWriter writer);
    /** Returns the number of responses in progress with more than `minBytes`. */
    std::size_t countLarger(std::size_t minBytes) const;

private:
    class Transfer;

    std::set<std::shared_ptr<Transfer>> transfers_;
};

/** Callbacks of a call whose response is sent by BulkResponses; one of them is called, once. */
struct BulkHandlers {
    std::function<void(std::string bytes)> onReceived;
    /** @param receivedBytes before the failure */
    std::function<void(const Error &error, std::size_t receivedBytes)> onFailed;
};

/** Limits on the connection, on the time to the first piece and between pieces; there is none on the total time. */
constexpr peer::CallLimits bulkCallLimits {
    std::chrono::milliseconds(300), std::chrono::milliseconds(900), std::chrono::milliseconds(900), Duration::zero()
};

/** Calls another VM. Fails with TooLarge if the response exceeds `maxBytes`. */
void requestBulk(FleetLinks &links,
                 const VmId &vm,
                 std::string request,
                 std::size_t maxBytes,
                 const peer::CallLimits &limits,
                 BulkHandlers handlers);

} // namespace lacewing::gateway
