#pragma once

#include "promises.h"

#include <harness.h>

#include <set>

namespace lacewing::soak
{

/** Shares of an endpoint's answers that go wrong, each between 0 and 1. */
struct EndpointFaults {
    double repeated = 0; ///< sent twice
    double rejected = 0; ///< turned away although there is room
    double reset = 0; ///< the connection is reset after the request was run
    double truncated = 0; ///< broken off halfway
    double closed = 0; ///< the connection is closed before the request is run
    double identified = 0; ///< share of the rejections that repeat the id of their request
    double varied = 0; ///< share of the rejections with another status than 503, or a notice
    double copied = 0; ///< share of the rejections of which copies follow
};

/** How an endpoint takes requests. */
struct EndpointSize {
    std::size_t places = 0; ///< requests of a plain service that may wait for a slot
    Duration longestWork = std::chrono::milliseconds(30); ///< of a plain service
};

/** Endpoints of all kinds that run requests as a platform's would, and show faults. */
class Endpoints
{
public:
    /**
     * @param longestStream time that the longest stream takes
     * @param hasTwoVersions whether there are two engines each of two software versions
     */
    Endpoints(gateway_test::Harness &harness,
              Promises &promises,
              std::uint64_t seed,
              Duration longestStream,
              EndpointSize plainSize,
              bool hasTwoVersions);

    void setFaults(const EndpointFaults &faults)
    {
        faults_ = faults;
    }
    /** Returns the number of rejections of which copies followed. */
    std::size_t copiedCount() const noexcept
    {
        return copied_;
    }
    /** Returns how often a request came back to a connection on which it had been rejected. */
    std::size_t returnedCount() const noexcept
    {
        return returned_;
    }

private:
    using Answer = platform_standin::RawEndpoint::Answer;
    struct State {
        std::string id;
        std::string service;
        std::string softwareVersion;
        std::size_t slots = 0;
        std::size_t places = 0;
        std::size_t running = 0; ///< or waiting
        std::set<std::pair<std::string, std::string>> rejected = {}; ///< connections and requests
    };

    void add(const std::string &id,
             const std::string &service,
             std::size_t slots,
             std::size_t places = 0,
             const std::string &softwareVersion = "v1");
    Answer handle(State &endpoint, const net::HttpRequest &request);
    Answer reject(State &endpoint, const platform_standin::ReceivedRequest &received);
    std::string chooseNotice();
    std::string sendCopies(Answer &answer);
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
    EndpointSize plainSize_;
    std::size_t copied_ = 0;
    std::size_t returned_ = 0;
    EndpointFaults faults_;
    std::vector<std::unique_ptr<State>> states_;
};

} // namespace lacewing::soak
