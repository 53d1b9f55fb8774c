#pragma once

#include "promises.h"

#include <harness.h>

namespace lacewing::soak
{

/** Shares of an endpoint's answers that go wrong, each between 0 and 1. */
struct EndpointFaults {
    double repeated = 0; ///< sent twice
    double rejected = 0; ///< turned away although there is room
    double reset = 0; ///< the connection is reset after the request was run
    double truncated = 0; ///< broken off halfway
    double closed = 0; ///< the connection is closed before the request is run
};

/** Endpoints of all kinds that run requests as a platform's would, and show faults. */
class Endpoints
{
public:
    /** @param longestStream time that the longest stream takes */
    Endpoints(gateway_test::Harness &harness, Promises &promises, std::uint64_t seed, Duration longestStream);

    void setFaults(const EndpointFaults &faults)
    {
        faults_ = faults;
    }

private:
    using Answer = platform_standin::RawEndpoint::Answer;
    struct State {
        std::string id;
        std::string service;
        std::size_t slots = 0;
        std::size_t running = 0;
    };

    void add(const std::string &id, const std::string &service, std::size_t slots);
    Answer handle(State &endpoint, const net::HttpRequest &request);
    Answer reject(State &endpoint);
    Answer makePieces(State &endpoint, const net::HttpRequest &call);
    Answer runPlain(State &endpoint, const platform_standin::ReceivedRequest &received);
    Answer runStream(State &endpoint, const platform_standin::ReceivedRequest &received);
    void occupySlot(State &endpoint, Duration time);
    void spoil(Answer &answer);
    Duration between(Duration least, Duration most);

    gateway_test::Harness &harness_;
    Promises &promises_;
    Random random_;
    Duration longestStream_;
    EndpointFaults faults_;
    std::vector<std::unique_ptr<State>> states_;
};

} // namespace lacewing::soak
