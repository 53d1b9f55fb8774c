#pragma once

#include "odd_values.h"

#include <net/net.h>
#include <peer/peer.h>
#include <peer_messages.h>

#include <string>

namespace lacewing::fuzz
{

/** A VM that sends odd messages and calls to a gateway, and gives odd answers to its calls. */
class OddVm
{
public:
    /** @param state in force on the gateway */
    OddVm(net::EventLoop &loop,
          OddValues &values,
          const std::string &ip,
          std::string gatewayAddress,
          routing::DesiredState state);

    /** Sends heartbeats as a sound VM does, so that the gateway turns to this VM. */
    void sendHeartbeat();
    /** Sends one odd message or call. */
    void sendOdd();
    /** Returns the number of odd messages, calls and answers. */
    std::size_t inputCount() const noexcept
    {
        return inputCount_;
    }
    std::string address() const;

private:
    template <typename Message>
    std::string encodeOdd(gateway::MessageKind kind, Message message = {});
    std::string drawMessage();
    std::string drawCall();
    gateway::Heartbeat heartbeat() const;
    std::string drawAnswer(gateway::MessageKind kind);
    std::string drawState();
    void serve(peer::PeerCallWriter writer, const std::string &request);
    /** Damages some messages, but none with an address, which must not become that of another machine. */
    std::string maybeDamaged(std::string message);

    net::EventLoop &loop_;
    OddValues &values_;
    std::string gatewayAddress_;
    routing::DesiredState state_;
    peer::PeerNetwork network_;
    std::size_t inputCount_ = 0;
};

} // namespace lacewing::fuzz
