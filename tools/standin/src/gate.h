#pragma once

#include "faults.h"

#include <net/net.h>

#include <unordered_map>

namespace lacewing::standin
{

/** Applies the faults that strike connections, requests and answers of one target. */
class Gate
{
public:
    Gate(net::EventLoop &loop, Faults &faults, FaultTarget target);

    /** Takes a request away when a fault does so. @return true: it must not be served */
    bool takesRequest(const net::HttpRequest &request, net::ResponseWriter writer);
    /** True when nothing may be sent any more on a connection. */
    bool isSilent(const std::string &remoteAddress);
    /** Sends an answer, unless a fault loses, holds or delays it. */
    void respond(const std::string &remoteAddress,
                 net::ResponseWriter writer,
                 int status,
                 net::Headers headers,
                 std::string body);
    /** Keeps a connection open without ever answering. */
    void hold(net::ResponseWriter writer);

    const FaultTarget &target() const noexcept
    {
        return target_;
    }
    Faults &faults() noexcept
    {
        return faults_;
    }

private:
    net::EventLoop &loop_;
    Faults &faults_;
    FaultTarget target_;
    Random random_;
    std::unordered_map<std::string, Time> firstSeen_; ///< of connections by remote address
    std::unordered_map<std::uint64_t, net::ResponseWriter> held_;
    std::uint64_t lastHeld_ = 0;
};

} // namespace lacewing::standin
