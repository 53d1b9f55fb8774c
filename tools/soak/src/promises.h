#pragma once

#include <base/base.h>

#include <map>
#include <string>
#include <vector>

namespace lacewing::soak
{

/** Whether a request may run again after it has begun to run. */
enum class Repeatable : std::uint8_t { No, Yes };

/** How a request ended for its caller. */
struct Outcome {
    int status = 0; ///< 0 if there was no response
    bool isComplete = false;
    std::string body;
};

/**
 * Checks the promises of the platform's rules, from what callers and endpoints saw only.
 *
 * A caller that was promised that its request has not run may send it again, with the same id. A broken promise is
 * described by a line that starts with the name of its rule.
 */
class Promises
{
public:
    void onSent(const std::string &request, Repeatable repeatable, std::size_t vm, Time now);
    /** Records that an endpoint begins to run a request. */
    void onRun(const std::string &request, const std::string &endpoint, const std::string &connection, Time now);
    /** Records that an endpoint rejects a request. @param details for the trace of a broken promise */
    void onRejected(const std::string &request, const std::string &details, Time now);
    /** Records the body that an endpoint has answered a request with. */
    void onAnswered(const std::string &request, const std::string &body);
    /** Records that an endpoint ran a request with the results of other requests. */
    void onForeignInputs(const std::string &request, const std::string &inputs);
    void onOutcome(const std::string &request, Outcome outcome, Time now);
    /** Records that a process ended by itself. */
    void onProcessEnded(std::size_t vm);
    /** Records that a VM was asked to stop. Its requests are answered in full until shortly after the grace period. */
    void onPlannedStop(std::size_t vm, Time stoppedAt, Duration grace);

    /** Returns the broken promises of all requests. */
    std::vector<std::string> broken() const;
    std::size_t servedCount() const noexcept
    {
        return served_;
    }
    /** Returns how often callers have sent a request with an id that they had used before. */
    std::size_t sentAgainCount() const noexcept
    {
        return sentAgain_;
    }
    std::size_t endedCount() const noexcept
    {
        return ended_;
    }

private:
    struct Execution {
        std::string endpoint;
        Time at;
    };
    /** One time that a caller sent a request. */
    struct Send {
        std::size_t vm = 0;
        Time sentAt;
        bool hasEnded = false;
        Time endedAt;
        Outcome outcome;
    };
    struct Request {
        Repeatable repeatable = Repeatable::No;
        std::vector<Execution> runs;
        std::vector<std::string> bodies; ///< of the endpoints' answers
        std::vector<Send> sends; ///< one after the other
        std::vector<std::pair<Time, std::string>> events;
    };
    struct Stop {
        std::size_t vm;
        Time at;
        Duration grace;
    };

    static bool isExcused(const Send &send, const Stop &stop);
    static std::string describe(const std::string &id, const Request &request);
    void checkSend(const std::string &id,
                   const Request &request,
                   std::size_t index,
                   std::vector<std::string> &lines) const;

    std::map<std::string, Request> requests_;
    std::vector<Stop> stops_;
    std::vector<std::string> others_;
    std::size_t served_ = 0;
    std::size_t sentAgain_ = 0;
    std::size_t ended_ = 0;
};

} // namespace lacewing::soak
