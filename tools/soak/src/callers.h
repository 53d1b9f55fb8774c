#pragma once

#include "promises.h"

#include <harness.h>

#include <memory>

namespace lacewing::soak
{

/** What a caller does whose request was rejected. */
struct ReturnHabits {
    double share = 0; ///< of the rejected requests that are sent again, with the id that they had
    Duration longestPause = Duration::zero();
    std::size_t most = 3; ///< times that a request is sent again
    double elsewhereShare = 0; ///< of those that are sent to any VM
};

/** Callers that send requests of all kinds one after the other, each on a connection that it keeps. */
class Callers
{
public:
    Callers(gateway_test::Harness &harness,
            Promises &promises,
            std::size_t vms,
            std::uint64_t seed,
            ReturnHabits returnHabits);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void start();
    /** Lets each caller wait for its answer and send nothing more. */
    void stop()
    {
        isStopped_ = true;
    }
    /** Returns the number of requests that are under way. */
    std::size_t pending() const noexcept
    {
        return pending_;
    }

private:
    struct Caller {
        std::size_t vm = 0;
        std::size_t number = 0;
        std::size_t requests = 0;
        std::unique_ptr<net::HttpClient> client;
    };

    struct Request;

    void sendNext(Caller &caller);
    void send(Caller &caller, const Request &request);
    void sendLater(Caller &caller, Duration delay);
    bool sendAgainLater(Caller &caller, Request request);
    Duration below(Duration most);

    gateway_test::Harness &harness_;
    Promises &promises_;
    std::size_t vms_;
    Random random_;
    ReturnHabits returnHabits_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::size_t pending_ = 0;
    bool isStopped_ = false;
};

} // namespace lacewing::soak
