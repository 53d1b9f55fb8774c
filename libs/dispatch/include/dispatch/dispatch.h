#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * Decisions on one send: which endpoint gets it, whether it may be sent again, and which requests crash endpoints.
 *
 * Nothing here does input or output; time is an argument, random numbers come from a seed.
 */
namespace lacewing::dispatch
{

// ---------------------------------------------------------------------------------------------------------------------
// Repeats

/** Bounds on repeats of one service by the whole fleet. */
struct RetryLimits {
    double ratio = 0.2; ///< repeats for each request
    Duration window = std::chrono::seconds(10); ///< over which both are counted
    double baseRetries = 10; ///< repeats allowed besides, by all VMs together
};

/**
 * Allows repeats up to a share of the requests of a sliding window.
 *
 * Load pattern: endpoints that fail many requests at once, when each VM that repeats what failed would double the load.
 * Each VM keeps to its own requests and its part of the slack, so that the fleet keeps to the bound without agreeing.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &bounds);

    /** Sets among how many VMs the slack is divided. */
    void setVmCount(std::size_t count) noexcept;
    /** Counts a request for the service. */
    void recordRequest(Time now);
    /** Allows and counts a repeat, or declines it. */
    bool tryAcquireRetry(Time now);

private:
    struct Slot {
        Time start;
        double requests = 0;
        double repeats = 0;
    };
    Slot &current(Time now);

    RetryLimits bounds_;
    std::size_t vms_ = 1;
    std::deque<Slot> slots_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Choice of an endpoint

/** What an endpoint said of its load. */
struct ReportedLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
};

/** How a send ended, as far as it tells about the endpoint. */
enum class SendOutcome : std::uint8_t {
    Answered, ///< any answer of the endpoint that is no sign of trouble
    Failed, ///< broken connection, spoilt answer or error
    Rejected, ///< the endpoint was full
    Unreachable, ///< no connection
    Cancelled, ///< by the caller; says nothing
};

/** One candidate for a send. */
struct Candidate {
    const routing::EndpointEntry *entry = nullptr;
    double extraLatencyMs = 0; ///< added to its expected time, such as for moving inputs; in ms
};

/**
 * Chooses among the endpoints of a service by expected time to an answer.
 *
 * Load pattern: reported load is old and other VMs act on the same report; endpoints that fail, hang or crawl while
 * they call themselves healthy. The answers count: own sends in progress, the learned time of an answer, and the
 * learned share of failures. An endpoint that fails is left out for a while that doubles with each failed trial.
 */
class LoadBalancer
{
public:
    explicit LoadBalancer(std::uint64_t seed);

    /** The best candidate; null when there is none. @param ownZone preferred among equals */
    const routing::EndpointEntry *select(std::span<const Candidate> candidates,
                                         const AvailabilityZoneId &ownZone,
                                         Time now);
    /** A send has begun. @param workMs expected work that it adds, in ms of the endpoint */
    void onSendStarted(const EndpointId &endpoint, double workMs, Time now);
    /** The endpoint has begun to answer, or the send has ended: the work counts no more. */
    void releasePendingWork(const EndpointId &endpoint, double workMs);
    /** A send has ended. @param firstByte time from the send to the first byte; empty when there was none */
    void onSendEnded(const EndpointId &endpoint, SendOutcome outcome, std::optional<Duration> firstByte, Time now);
    void onLoadReported(const EndpointId &endpoint, const ReportedLoad &load, Time now);
    /** Whether an endpoint is left out at present. */
    bool isEjected(const EndpointId &endpoint, Time now) const;
    /** Forgets endpoints that are not in the directory. */
    void prune(const routing::EndpointDirectory &directory);
    std::size_t inFlight(const EndpointId &endpoint) const;

private:
    struct Health {
        std::size_t open = 0; ///< own sends in progress
        double pendingMs = 0; ///< expected work of own sends that have no answer yet
        double latencyMs = 0; ///< learned time to the first byte; 0: unknown
        double failureShare = 0; ///< learned, as of failureAt
        Time failureAt;
        int trips = 0; ///< failed trials in a row
        Time leftOutUntil;
        ReportedLoad load;
        Time loadAt;
    };
    static double failureShareAt(const Health &health, Time now);
    double expectedMs(const Health &health, const Candidate &candidate, double typicalMs, Time now) const;

    Random random_;
    std::unordered_map<EndpointId, Health> health_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Prompts that share parts

/** A part of a prompt that other requests may share. */
struct PromptSegment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/**
 * Remembers which engines have lately read which parts of prompts.
 *
 * Load pattern: many requests that begin with the same parts; an engine that has read them need not read them again.
 * Only this VM's own sends are known, and an entry counts only for a short while, since engines drop what they don't
 * use.
 */
class PrefixCacheIndex
{
public:
    /** @param life how long a part counts as kept after its last use */
    explicit PrefixCacheIndex(Duration life);

    void recordUse(const EndpointId &endpoint, std::span<const PromptSegment> parts, Time now);
    /** Tokens at the start of a prompt that the engine probably keeps. */
    std::uint32_t cachedTokens(const EndpointId &endpoint, std::span<const PromptSegment> parts, Time now) const;
    void expire(Time now);

private:
    Duration life_;
    std::unordered_map<EndpointId, std::unordered_map<std::uint64_t, Time>> usedAt_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Requests that crash endpoints

/**
 * Tells a crash of an endpoint from a lost connection: soon after the loss, no new connection can be made.
 *
 * Requests that the endpoint was running as their connections broke are remembered until then.
 */
class CrashDetector
{
public:
    /** A connection broke while the endpoint ran a request. */
    void onConnectionLost(const EndpointId &endpoint, Fingerprint request, Time now);
    /** No connection could be made. @return requests that ran there as it went down, each told once */
    std::vector<Fingerprint> onUnreachable(const EndpointId &endpoint, Time now);
    void expire(Time now);

private:
    struct Lost {
        Fingerprint request;
        Time at;
    };
    std::unordered_map<EndpointId, std::vector<Lost>> lost_;
};

/**
 * Counts, for each request by its fingerprint, the endpoints that went down while they ran it.
 *
 * Load pattern: a request that crashes whatever runs it and is sent again by its caller, to any VM. Neighbours of such
 * a request are counted too, but are rarely there again the next time.
 */
class PoisonRequestTracker
{
public:
    /** An endpoint went down while it ran the request. @return crashes counted for it so far */
    int recordCrash(Fingerprint request, Time now);
    /** Takes the count that another VM has. */
    void merge(Fingerprint request, int crashes, Time now);
    /** True once it must not be sent to endpoints any more. */
    bool isQuarantined(Fingerprint request) const;
    void expire(Time now);
    std::size_t size() const noexcept
    {
        return suspects_.size();
    }

private:
    struct Suspect {
        int crashes = 0;
        Time seenAt;
    };
    std::unordered_map<Fingerprint, Suspect> suspects_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Callers that come back

/** A request that was refused. */
struct Rejection {
    Fingerprint request;
    Time firstAttemptAt; ///< when its caller sent it first
};

/**
 * Remembers which requests were refused lately, by their fingerprint.
 *
 * Load pattern: a burst whose refused requests come back, to any VM, while it still lasts. One that is refused again
 * has waited for nothing, so it goes before new ones, and its time counts from its first try. The VMs tell each other
 * what they refused.
 */
class RejectionHistory
{
public:
    void record(const Rejection &refusal, Time now);
    /** Takes what another VM has refused. */
    void merge(std::span<const Rejection> refusals, Time now);
    /** When a request that comes back was sent first; empty for a new one. */
    std::optional<Time> firstAttemptAt(Fingerprint request, Time now) const;
    /** Refusals that the other VMs were not told of yet; a bounded number. */
    std::vector<Rejection> takeUnpublished();
    void expire(Time now);

private:
    struct Known {
        Time firstAttemptAt;
        Time refusedAt;
    };
    void keep(const Rejection &refusal, Time now);

    std::unordered_map<Fingerprint, Known> known_;
    std::vector<Rejection> untold_;
};

} // namespace lacewing::dispatch
