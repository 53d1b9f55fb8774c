#pragma once

#include "process.h"

#include <deque>

namespace lacewing::standin
{

/** Runs the calls of stages that don't generate: a queue before a number of slots. */
class Service : public std::enable_shared_from_this<Service>
{
public:
    explicit Service(Process &process);

    /** Takes a call to one of the targets /v1/encode, /v1/retrieve, /v1/rerank and /v1/call. */
    void serve(const net::HttpRequest &request, net::ResponseWriter writer);

    std::size_t running() const noexcept
    {
        return running_;
    }
    std::size_t waiting() const noexcept
    {
        return queue_.size();
    }

private:
    struct Call {
        std::string callId;
        std::string target;
        std::string input;
        std::string remoteAddress;
        int priority = 0;
        net::ResponseWriter writer;
    };
    struct Answer {
        std::string callId;
        std::string output;
    };

    void enqueue(Call call);
    void startNext();
    void run(Call call);
    void finish(Call &call, Duration busy);

    Process &process_;
    std::deque<Call> queue_; ///< highest priority first, then longest waiting
    std::size_t running_ = 0;
    Answer lastAnswer_; ///< for answers that are crossed
};

} // namespace lacewing::standin
