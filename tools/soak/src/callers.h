#pragma once

#include "promises.h"

#include <harness.h>

#include <memory>

namespace lacewing::soak
{

/** Callers that send requests of all kinds one after the other, each on a connection that it keeps. */
class Callers
{
public:
    Callers(gateway_test::Harness &harness, Promises &promises, std::size_t vms, std::uint64_t seed);
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

    void sendNext(Caller &caller);
    void sendLater(Caller &caller, Duration delay);

    gateway_test::Harness &harness_;
    Promises &promises_;
    Random random_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::size_t pending_ = 0;
    bool isStopped_ = false;
};

} // namespace lacewing::soak
