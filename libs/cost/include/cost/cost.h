#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

/**
 * What requests cost, how fast endpoints are, and what they still have to do.
 *
 * Times are in ms at the mean pace of a service unless said otherwise. This library performs no I/O; the current time
 * is passed in by the caller.
 */
namespace lacewing::cost
{

// ---------------------------------------------------------------------------------------------------------------------
// Requests

/** An expected time with its spread, in ms. */
struct Estimate {
    double meanMs = 0;
    double deviationMs = 0;
    double samples = 0; ///< answers that it rests on, up to a limit; 0 if nothing is learned
};

/** Requests of which similar costs are expected: of one route or stage, and of about one size. */
class RequestClass
{
public:
    RequestClass() = default;
    /** @param size of the request in any unit that grows with its work, as far as its head tells; 0 if unknown */
    static RequestClass ofRequest(const routing::RouteId &route, std::uint64_t size);
    static RequestClass ofPiece(const routing::RouteId &route, std::uint32_t stage);

private:
    friend class RequestCosts;
    std::uint64_t group_ = 0; ///< of all sizes
    std::uint64_t key_ = 0;
};

/** What an engine takes until the first token, for the prompts of one service. */
struct PromptCost {
    double baseMs = 0; ///< without reading the prompt
    double msPerToken = 0; ///< of tokens that the engine has to read
    double msPerSharedToken = 0; ///< of tokens that it may hold because other VMs have sent them
    double relativeDeviation = 0; ///< of the time, relative to its mean
    double samples = 0;

    /** Returns the expected time to the first token. */
    Estimate estimate(double unreadTokens, double sharedTokens) const noexcept;
    /** Returns the part of the time for which the prompts behind have to wait, in ms. */
    double readingMs(double unreadTokens, double sharedTokens) const noexcept;
};

/**
 * Learns what requests cost from the answers to this VM's own sends.
 *
 * Costs vary by factors, so they are averaged as logarithms. A single outlier counts little. Several in a row on the
 * same side are taken for a change, and what was learned before counts little from then on. A class with few samples
 * leans on its route or stage, and that on the prior. Memory is bounded: the classes not used for longest are
 * forgotten.
 */
class RequestCosts
{
public:
    RequestCosts();
    ~RequestCosts();
    RequestCosts(const RequestCosts &) = delete;
    RequestCosts &operator=(const RequestCosts &) = delete;

    /** Returns the expected time of a plain request or piece. @param priorMs expected while nothing is learned */
    Estimate estimate(const RequestClass &request, double priorMs) const;
    /** Records a complete answer. @param timeMs that it took, without the effects of load and pace; over 0 */
    void record(const RequestClass &request, double timeMs);

    PromptCost promptCost(const routing::ServiceId &service) const;
    /** Records that a generation has begun. @param timeMs to the first token, without the effects of load and pace */
    void recordPrompt(const routing::ServiceId &service, double unreadTokens, double sharedTokens, double timeMs);

    /** Returns the number of classes, routes, stages and services of which something is kept. */
    std::size_t size() const noexcept;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Endpoints

/**
 * How long work takes at one endpoint relative to the mean of its service.
 *
 * Three causes are told apart by how long they last: a slow moment, which the endpoint reports itself and which counts
 * for some 100 ms; a slow machine, for seconds, learned from the latest answers; and a slower make, from all answers.
 */
class EndpointPace
{
public:
    EndpointPace();

    /**
     * Records a complete answer.
     *
     * @param ratio of the time taken to that expected at the service's mean pace; over 0
     */
    void recordAnswer(double ratio, Time now);
    /** Records what the endpoint says of itself. @param slowdown relative to its usual time; over 0 */
    void recordReport(double slowdown, Time now);

    /** Returns the expected time at this endpoint relative to the mean of its service. */
    double factor(Time now) const;
    /** Returns the lasting part of the factor; 1 while little is learned. */
    double lastingFactor() const;
    /** Returns the standard deviation of the logarithm of an answer's time. */
    double deviation() const noexcept;
    /** Returns the weight of the endpoint's own figure, which falls with its age from 1 to 0. */
    double reportWeight(Time now) const;
    double samples() const noexcept
    {
        return samples_;
    }

private:
    double recent(Time now) const;
    double reported(Time now) const;

    // Logarithms of factors.
    double lasting_ = 0;
    double recent_ = 0; ///< relative to the lasting one, as of recentAt_
    double reported_ = 0;
    double variance_;
    double samples_ = 0; ///< up to a limit
    Time recentAt_;
    std::optional<Time> reportedAt_;
};

/** What is left of the work that this VM has sent to an endpoint, in ms at mean pace. */
class PendingWork
{
public:
    /** @param parallel how much of the work the endpoint does at the same time; at least 1 */
    void begin(double workMs, double parallel, Time now);
    /** @param workMs as given to begin() */
    void end(double workMs, Time now);
    /** Returns the work left. Sends that take longer than expected are never taken to be nearly done. */
    double leftMs(Time now) const noexcept;
    std::size_t count() const noexcept
    {
        return count_;
    }

private:
    std::size_t count_ = 0;
    double openMs_ = 0; ///< as expected of all sends that have not ended
    double leftMs_ = 0; ///< as of at_
    double parallel_ = 1;
    Time at_;
};

/**
 * Estimates the requests of other VMs at an endpoint from its report.
 *
 * A report includes this VM's own sends, which have begun and ended since, and its age makes it worth less: the
 * estimate goes back to the mean of the service, so that an endpoint that was idle a while ago does not attract all
 * VMs.
 */
class OthersLoad
{
public:
    /** @param present requests at the endpoint @param own those that this VM has in flight there */
    void record(double present, double own, Time now);
    /** @param usual requests of others at an endpoint of the service */
    double present(double usual, Time now) const;

private:
    double reported_ = 0;
    std::optional<Time> reportedAt_;
};

} // namespace lacewing::cost
