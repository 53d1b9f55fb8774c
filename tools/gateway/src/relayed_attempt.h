#pragma once

#include "attempt.h"
#include "relay_messages.h"

#include <memory>

namespace lacewing::gateway
{

/** An attempt that another VM sends, as this one reaches no endpoint of the service. */
class RelayedAttempt final : public Attempt, public std::enable_shared_from_this<RelayedAttempt>
{
public:
    RelayedAttempt(RequestContext &shared, VmId relay, AttemptHandlers handlers);

    /** @param memory reserved for the bytes of the request while they are sent */
    void start(const RelayRequest &request, MemoryReservation memory);
    void close(dispatch::SendOutcome outcome) override;
    VmId relay() const override
    {
        return relay_;
    }

private:
    void handleEvent(const std::string &message);
    void handleRefusal(const RelayRefusalMessage &refusal);
    void handleSent(const RelaySentMessage &sent);
    void handleHead(RelayHeadMessage message);
    void end(std::optional<Error> error, bool requestWritten);

    VmId relay_;
    routing::ServiceId service_;
    peer::PeerCallHandle call_;
    MemoryReservation memory_;
};

} // namespace lacewing::gateway
