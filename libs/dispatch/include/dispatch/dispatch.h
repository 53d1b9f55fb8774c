#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/**
 * Dispatch of requests to endpoints: load balancing, retry budgets, and detection of requests and prompt parts that
 * crash endpoints.
 *
 * This library performs no I/O; the current time is passed in by the caller and random numbers come from a seed.
 */
namespace lacewing::dispatch
{

// ---------------------------------------------------------------------------------------------------------------------
// Quiet periods

/** Endpoints that want no requests from this VM for a time, as they said when they turned one away. */
class QuietPeriods
{
public:
    /** Records that a lifetime wants no requests until a time. A period in force is never shortened. */
    void record(const routing::EndpointLifetime &endpoint, Time until);
    /** Returns until when the endpoint wants no requests; empty if it wants them now. */
    std::optional<Time> until(const routing::EndpointLifetime &endpoint, Time now) const;
    /** Returns when the first of some endpoints wants requests again; empty if one wants them now, or there are none.
     */
    std::optional<Time> earliestEnd(std::span<const routing::EndpointEntry *const> endpoints, Time now) const;
    /** Forgets periods that have ended. */
    void expire(Time now);
    std::size_t size() const noexcept
    {
        return periods_.size();
    }

private:
    std::map<routing::EndpointLifetime, Time> periods_; ///< end of each
};

// ---------------------------------------------------------------------------------------------------------------------
// Rate limits

/** What one VM knows and has done about the rate limit of an endpoint. */
struct RateLimitUse {
    routing::EndpointLifetime endpoint;
    std::optional<double> perSecond; ///< requests that the endpoint takes from all VMs; empty: any number
    Time statedAt; ///< when the endpoint said so
    std::uint64_t sendCount = 0; ///< requests that the VM has sent under limits of this endpoint, in all
};

/**
 * Keeps rate limits that endpoints name for all VMs together.
 *
 * A limit may be far below one request a second for each VM, and the VMs' demand differs. So the limit is not divided:
 * every VM keeps the same token bucket, and deducts its own sends and those that others report. Two VMs may take the
 * same token within the delay of a message; the bucket goes below zero then, so the rate holds on average. Reports
 * carry the count of all sends, so one that is lost is made up for by the next.
 *
 * With many limited endpoints the reports would cost too much. The limits are divided among the VMs then: each VM has
 * few tokens for one endpoint, but the sum over the endpoints is used.
 *
 * VMs that can't hear the others use the part of the limits that corresponds to their number, as both sides of a
 * partition may send.
 */
class SharedRateLimits
{
public:
    /**
     * Takes what an answer says.
     *
     * @param limit empty if the answer names none
     * @param sentAt when the request was sent; its answer may be older than what is known
     * @return whether the limit has changed
     */
    bool recordAnswer(const routing::EndpointLifetime &endpoint, std::optional<double> limit, Time sentAt, Time now);
    /** Records that a request is sent. @return whether the other VMs have to be told */
    bool recordSend(const routing::EndpointLifetime &endpoint, Time now);
    /** Merges the report of another VM. @return whether the limit has changed */
    bool merge(const VmId &vm, Incarnation incarnation, const RateLimitUse &use, Time now);
    /** Sets the number of VMs that this one can hear, itself included, and of those that may send. */
    void setVmCounts(std::size_t heard, std::size_t all, Time now);

    /** Returns when the next request may be sent; empty if one may be sent now. */
    std::optional<Time> blockedUntil(const routing::EndpointLifetime &endpoint, Time now) const;
    /** Returns the limit that an endpoint has named; empty if it takes any number of requests. */
    std::optional<double> limit(const routing::EndpointLifetime &endpoint) const;
    /** Returns this VM's report on all endpoints that have named limits, and on those that no longer do. */
    std::vector<RateLimitUse> uses() const;
    /** Returns this VM's report on one endpoint; empty if it has named no limit. */
    std::optional<RateLimitUse> use(const routing::EndpointLifetime &endpoint) const;
    /** Removes lifetimes that have ended, and limits that ended long ago. */
    void expire(const routing::EndpointDirectory &directory, Time now);

private:
    struct Limit {
        std::optional<double> perSecond;
        Time statedAt;
        double tokens = 0; ///< as of tokensAt; negative if more was sent than allowed
        Time tokensAt;
        std::uint64_t sendCount = 0;
        std::map<std::pair<VmId, Incarnation>, std::uint64_t> reportedCounts; ///< of other VMs
    };

    bool isReported(const Limit &limit) const noexcept;
    double rate(const Limit &limit) const noexcept;
    double tokens(const Limit &limit, Time now) const noexcept;
    void takeTokens(Limit &limit, double count, Time now) const;
    bool set(Limit &limit, std::optional<double> perSecond, Time statedAt, Time now);
    void countLimited() noexcept;

    std::map<routing::EndpointLifetime, Limit> limits_;
    std::size_t limitedCount_ = 0; ///< endpoints that have a limit
    std::size_t heardVms_ = 1;
    std::size_t allVms_ = 1;
};

// ---------------------------------------------------------------------------------------------------------------------
// Retries

/** Limits on retries of one service by the whole fleet. */
struct RetryLimits {
    double ratio = 0.2; ///< retries per request
    Duration window = std::chrono::seconds(10); ///< sliding window in which requests and retries are counted
    double baseRetries = 10; ///< additional retries per window, by all VMs together
};

/**
 * Estimates among how many VMs a limit of the whole fleet is divided.
 *
 * A VM that is cut off from the others hears few of them, but they go on using their parts of the limit. So the
 * estimate rises at once, and falls only after VMs have not been heard for long.
 */
class FleetSizeEstimate
{
public:
    /** Must be called repeatedly. @param vms number of live VMs as far as known, including this one */
    void update(std::size_t vms, Time now) noexcept;
    /** Returns at least 1. */
    std::size_t value() const noexcept;

private:
    std::size_t currentMax_ = 1;
    std::size_t previousMax_ = 1;
    Time periodStart_;
};

/**
 * Limits retries to a share of the requests in a sliding window.
 *
 * Prevents retry storms: when endpoints fail many requests at once, retrying each of them would double the load. Each
 * VM counts only its own requests and uses its part of the base retries, so the fleet stays within the limits without
 * coordination.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits);

    /** Sets the number of VMs among which the base retries are divided. */
    void setVmCount(std::size_t count) noexcept;
    /** Counts a request to the service. */
    void recordRequest(Time now);
    /** Counts a retry and returns true if the budget allows it. */
    bool tryAcquireRetry(Time now);

private:
    struct Slot {
        Time start;
        double requests = 0;
        double retries = 0;
    };
    Slot &currentSlot(Time now);

    RetryLimits limits_;
    std::size_t vmCount_ = 1;
    std::deque<Slot> slots_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Load balancing

/** Load that an endpoint reported. */
struct ReportedLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
    /** How long work takes on its machine at this moment, relative to the usual; empty if it does not say. */
    std::optional<double> slowdown;
};

/** Result of a send, as an indication of the endpoint's health. */
enum class SendOutcome : std::uint8_t {
    Answered, ///< any response that does not indicate a fault of the endpoint
    Failed, ///< broken connection, corrupt response or error
    Rejected, ///< the endpoint was at capacity
    Unreachable, ///< no connection could be established
    Cancelled, ///< ended before a result; not counted
};

/** What a request costs an endpoint of mean pace that has no other work, in ms. */
struct Work {
    double timeMs = 0; ///< until the first byte of the answer; 0 if unknown
    double readingMs = 0; ///< of it, for which the prompts behind it have to wait
};

/** An endpoint to which a request could be sent. */
struct Candidate {
    const routing::EndpointEntry *entry = nullptr;
    double extraLatencyMs = 0; ///< added regardless of load and pace, for example for transferring inputs
    Work work;
};

/** Whether a request may be sent again after it may have run. */
enum class Repetition : std::uint8_t { Allowed, Forbidden };

/** A send in flight, as of its start. */
struct Send {
    Work work;
    double usualMs = 0; ///< expected until the first byte at mean pace, with the work ahead
    double expectedMs = 0; ///< the same at the endpoint's pace
    Time startedAt;
};

/** How a candidate was rated. */
struct Appraisal {
    const routing::EndpointEntry *entry = nullptr;
    double expectedMs = 0;
    double pace = 1; ///< time relative to the mean of the service
    double reportAgeMs = -1; ///< age of the reported load; negative if there is none
    std::size_t inFlight = 0; ///< this VM's sends
};

/**
 * Selects the endpoint with the lowest expected latency.
 *
 * Endpoints may fail, hang or slow down while they report themselves as healthy, so selection relies on the results of
 * this VM's own sends. Reports count by their age, and estimates that rest on them are varied at random, as other VMs
 * act on the same ones. A failing endpoint is ejected for a time that doubles with each consecutive ejection.
 */
class LoadBalancer
{
public:
    explicit LoadBalancer(std::uint64_t seed);
    ~LoadBalancer();

    /** Returns the best candidate, or null if there are none. @param localZone preferred among equal candidates */
    const routing::EndpointEntry *select(std::span<const Candidate> candidates,
                                         const AvailabilityZoneId &localZone,
                                         Time now,
                                         Repetition repetition = Repetition::Allowed);
    /** Returns the best candidates of the latest selection, the one selected first; valid until the directory changes.
     */
    std::span<const Appraisal> latestChoice() const noexcept;
    Send onSendStarted(const routing::EndpointEntry &endpoint, const Work &work, Time now);
    /**
     * Called when a complete and authentic answer has begun; the pace of the endpoint is learned from it.
     *
     * @param took until its first byte @return the time that an idle endpoint of mean pace would have taken, in ms
     */
    double onAnswered(const EndpointId &endpoint, const Send &send, Duration took, Time now);
    /** Subtracts a send's reading when the endpoint starts to respond. Must be called before onSendEnded(). */
    void releaseReading(const EndpointId &endpoint, const Send &send, Time now);
    void onSendEnded(const EndpointId &endpoint, const Send &send, SendOutcome outcome, Time now);
    void onLoadReported(const EndpointId &endpoint, const ReportedLoad &load, Time now);
    /** Returns whether an endpoint is currently ejected; it is selected only if all candidates are. */
    bool isEjected(const EndpointId &endpoint, Time now) const;
    /** Removes state of endpoints that are not available in the directory and have no sends in flight. */
    void prune(const routing::EndpointDirectory &directory);
    /** Returns the number of this VM's sends in flight to an endpoint. */
    std::size_t inFlight(const EndpointId &endpoint) const;
    /** Returns the times that endpoints take relative to the mean of their service. */
    std::vector<std::pair<EndpointId, double>> paces(Time now) const;
    /** Returns the lasting part of the pace; 1 until it is known well. */
    double lastingPace(const EndpointId &endpoint) const;
    /** Returns the time to the first byte that is expected if work is sent to an endpoint now, in ms. */
    double expectedMs(const routing::EndpointEntry &endpoint, const Work &work, Time now);

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Prefix caching

/** A segment of a prompt that other requests may share. */
struct PromptSegment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/**
 * Estimates which prompt segments each engine holds in its prefix cache.
 *
 * Many requests start with the same segments, and an engine that has cached them doesn't process them again. Only this
 * VM's own sends are recorded, and entries expire after a short time because engines evict unused segments.
 */
class PrefixCacheIndex
{
public:
    /** @param ttl time after its last use for which a segment is considered cached */
    explicit PrefixCacheIndex(Duration ttl);

    /** Records that a prompt was sent to an endpoint. */
    void recordUse(const EndpointId &endpoint, std::span<const PromptSegment> segments, Time now);
    /** Returns the estimated number of tokens at the start of a prompt that the engine has cached. */
    std::uint32_t cachedTokens(const EndpointId &endpoint, std::span<const PromptSegment> segments, Time now) const;
    void expire(Time now);

private:
    Duration ttl_;
    std::unordered_map<EndpointId, std::unordered_map<std::uint64_t, Time>> lastUsedAt_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Requests that crash endpoints

/** A part of a prompt, which requests may share. */
using PromptPartId = Number<struct PromptPartTag>;

/** Returns the parts of a prompt that other requests may share: all but the last, which belongs to its request. */
std::vector<PromptPartId> sharedParts(std::span<const PromptSegment> prompt);

/** A request whose connection ended while an endpoint executed it, or ended its answer. */
struct LostRequest {
    Fingerprint request;
    std::vector<PromptPartId> sharedParts; ///< in the order of the prompt
    std::optional<Time> answerBeganAt; ///< arrival of the first byte of the answer
    Time lostAt;
    bool mayBeComplete = false; ///< the answer may have ended as it should: only the connection marked its end
};

/** Requests that were in flight when an endpoint crashed. */
struct Crash {
    routing::EndpointLifetime endpoint;
    std::vector<LostRequest> requests; ///< each once
};

/**
 * Distinguishes a crash of an endpoint from a lost connection.
 *
 * A connection may also be lost because of the network or of a fault in a single response. An endpoint has crashed if
 * it refuses new connections soon after connections to it were lost, or if the directory shows a bit later that its
 * lifetime has ended. In a large fleet a VM rarely sends to the same endpoint twice within this time, so the caller has
 * to attempt a connection after each loss.
 */
class CrashDetector
{
public:
    /** Called when a connection ends while the endpoint executes a request. */
    void onConnectionLost(const routing::EndpointLifetime &endpoint, LostRequest lost);
    /** Called when no connection can be established. @return requests in flight at the crash, each reported once */
    std::vector<LostRequest> onUnreachable(const routing::EndpointLifetime &endpoint, Time now);
    /** Called when a connection was established. Answers that ended before it was attempted are complete. */
    void onReachable(const routing::EndpointLifetime &endpoint, Time attemptedAt);
    /** Called when the directory has changed. @return crashes of endpoints whose lifetime has ended, each once */
    std::vector<Crash> takeEnded(const routing::EndpointDirectory &directory, Time now);
    /** Removes old lost requests. @return number of requests that were certainly lost, but not due to a crash */
    std::size_t expire(Time now);

private:
    std::vector<LostRequest> take(const routing::EndpointLifetime &endpoint, Duration window, Time now);

    std::map<routing::EndpointLifetime, std::vector<LostRequest>> lostRequests_;
};

/** What is known about a request that was in flight when endpoints crashed. */
struct Suspect {
    Fingerprint request;
    std::vector<routing::EndpointLifetime> crashes; ///< sorted, each once; at most as many as lead to a quarantine
    bool isCleared = false; ///< ran to a successful end, so the crashes were coincidences
    Time updatedAt; ///< when it was cleared; else when the last crash was recorded or the request was last rejected
};

/**
 * Detects poison requests: those that crash any endpoint that executes them, and that the caller retries at any VM.
 *
 * A request is identified by its fingerprint and quarantined after crashes of several endpoints. Other requests in
 * flight at a crash are suspects too, but are rarely in flight at the next one. Many requests may share a fingerprint,
 * so one that succeeds is cleared, and is no suspect for a while whatever crashes.
 *
 * VMs exchange what they know. Crashes are merged as a set, so that those which several VMs notice at the same time all
 * count, and one which several VMs notice counts once. Merging is commutative and idempotent: VMs that have exchanged
 * everything agree, in whatever order that happened.
 */
class PoisonRequestTracker
{
public:
    /** Records a crash of an endpoint that was executing the request. @return false if it adds nothing */
    bool recordCrash(Fingerprint request, const routing::EndpointLifetime &endpoint, Time now);
    /** Clears a request that ran to a successful end. @return true if it was a suspect until now */
    bool recordSuccess(Fingerprint request, Time now);
    /** Records that a quarantined request was rejected, which prolongs the quarantine. */
    void recordRejection(Fingerprint request, Time now);
    /** Merges what another VM knows. @return false if it adds nothing */
    bool merge(const Suspect &suspect, Time now);
    /** Removes crashes whose cause is known to be something else. */
    void removeCrashes(const std::function<bool(const routing::EndpointLifetime &)> &isExplained);

    /** Returns whether the request must not be sent to endpoints any more. */
    bool isQuarantined(Fingerprint request, Time now) const;
    /** Returns whether the request was in flight at more than one crash, and has not been cleared. */
    bool isRepeatedSuspect(Fingerprint request, Time now) const;
    /** Returns null if the request is not a suspect. */
    const Suspect *find(Fingerprint request) const;
    /** Returns the suspects of more than one crash; those of one crash are mostly coincidences. */
    std::vector<Suspect> repeatedSuspects(Time now) const;
    /** Returns a digest of repeatedSuspects(), which differs if another VM decides differently about a request. */
    std::uint64_t digest(Time now) const;

    void expire(Time now);
    std::size_t size() const noexcept
    {
        return suspects_.size();
    }

private:
    Suspect &findOrAdd(Fingerprint request);
    static bool addCrash(Suspect &suspect, const routing::EndpointLifetime &endpoint);

    std::unordered_map<Fingerprint, Suspect> suspects_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Prompt parts that crash endpoints

/** A crash of an endpoint that was executing requests with a prompt part. */
struct PartCrash {
    routing::EndpointLifetime endpoint;
    Time at; ///< when the latest answer to such a request began there; if none had, when the connection was lost
    bool hadAnswer = false; ///< whether an answer to such a request had begun
};

/** What is known about a prompt part that was in flight when endpoints crashed. */
struct SuspectPart {
    PromptPartId part;
    std::vector<PartCrash> crashes; ///< those not refuted by a success; sorted by endpoint, each once
    std::optional<Time> lastSuccessAt; ///< when the latest answer began whose endpoint lived on
    Duration longestAnswer {}; ///< longest time for which an answer had been arriving when its endpoint crashed
    std::uint32_t position = 0; ///< largest position in a prompt
    std::uint32_t trialCount = 0; ///< requests let through while it was quarantined
    std::optional<Time> lastTrialAt;
    Time updatedAt; ///< latest crash, trial or rejection
};

/**
 * Detects prompt parts that crash any endpoint that begins to answer a request with them.
 *
 * The requests differ from each other, so what crashes endpoints shows only in what they share. The parts that sound
 * requests share are in flight at the same crashes. They are told apart in two ways:
 * - An answer that ended, or that has been arriving for long, refutes all crashes before its beginning if its endpoint
 *   lives on. A part that has succeeded shortly before its crashes is quarantined only after a time for such answers.
 * - A crash has one cause. The part that explains most crashes is quarantined, and the others in flight at them are not
 *   held responsible. A part in answers that had been arriving for long is the less likely cause. Among equals, the
 *   cause is the part that comes later in prompts, then the one whose answers had begun more often.
 *
 * VMs exchange what they know. Merging is a union of crashes and the latest of times, so VMs that have exchanged
 * everything agree, but for the delay of messages.
 */
class PromptPartTracker
{
public:
    /** An endpoint that crashes does so within this time after the beginning of the answer that causes it. */
    static constexpr Duration maxCrashDelay = std::chrono::seconds(1);

    /**
     * Records a crash. Parts may be forgotten again at any later change, as their number is bounded.
     *
     * @return the parts for which it adds something, those with most crashes first
     */
    std::vector<PromptPartId> recordCrash(const routing::EndpointLifetime &endpoint,
                                          std::span<const LostRequest> requests,
                                          Time now);
    /** Records crashes that are explained by a quarantined request, so that none of its parts has to be the cause. */
    void recordRequestCrashes(std::span<const routing::EndpointLifetime> endpoints, Time now);
    /** Records that an answer has ended, or has been arriving for maxCrashDelay. It counts if its endpoint lives on. */
    void recordAnswer(const routing::EndpointLifetime &endpoint,
                      std::vector<PromptPartId> parts,
                      Time beganAt,
                      Time now);
    /** Records that a request was rejected because of a quarantined part, which prolongs the quarantine. */
    void recordRejection(PromptPartId part, Time now);
    /** Merges what another VM knows. @return whether this VM knows a success that refutes what the other one knows */
    bool merge(const SuspectPart &part, Time now);

    /** Changes since the last call of update(). */
    struct Changes {
        std::vector<PromptPartId> quarantined;
        std::vector<PromptPartId> released;
        std::vector<PromptPartId> refuted; ///< parts with several crashes that an answer at this VM has refuted
        /** Parts that are about to be quarantined although they have succeeded recently: other VMs may know of a later
         * success. */
        std::vector<PromptPartId> unconfirmed;
    };
    /** Decides about all parts. Must be called after each change, and at nextUpdateAt(). */
    Changes update(Time now);
    /** Returns when update() has to be called next; empty if only after a change. */
    std::optional<Time> nextUpdateAt() const noexcept;

    /** Returns the first of some parts that must not be sent to endpoints; empty if there is none. */
    std::optional<PromptPartId> findQuarantined(std::span<const PromptPartId> parts) const;
    /** Returns whether a quarantined part was in flight at the crash of an endpoint. */
    bool isExplained(const routing::EndpointLifetime &endpoint) const;
    /** Returns whether one request with a quarantined part may be sent, to find out whether endpoints still crash. */
    bool isTrialDue(PromptPartId part, Time now) const;
    /** @return the number of trials so far */
    std::uint32_t recordTrial(PromptPartId part, Time now);

    /** Returns null if the part was in flight at no crash, as far as it is known. */
    const SuspectPart *find(PromptPartId part) const;
    std::vector<SuspectPart> quarantinedParts() const;
    /** Returns a digest of the quarantined parts; 0 if there are none. */
    std::uint64_t digest() const noexcept
    {
        return digest_;
    }
    void expire(Time now);
    std::size_t size() const noexcept
    {
        return parts_.size();
    }

private:
    struct PendingAnswer {
        routing::EndpointLifetime endpoint;
        std::vector<PromptPartId> parts;
        Time beganAt;
        Time countsAt;
    };

    std::unordered_set<PromptPartId> selectNewParts(std::span<const LostRequest *const> requests) const;
    SuspectPart &findOrAdd(PromptPartId part);
    void makeRoom(std::size_t count);
    static bool addCrash(SuspectPart &part, const PartCrash &crash);
    static bool applySuccess(SuspectPart &part, Time beganAt);
    void recordSuccess(PromptPartId part, Time beganAt, Changes &changes);
    std::optional<Time> knownSuccess(PromptPartId part) const;
    std::set<PromptPartId> decide(Time now, std::vector<PromptPartId> &unconfirmed);

    std::unordered_map<PromptPartId, SuspectPart> parts_;
    std::deque<PendingAnswer> pendingAnswers_; ///< by the time at which they count
    /** Beginnings of the latest successful answers by part, of parts without crashes too. */
    std::unordered_map<PromptPartId, Time> recentSuccesses_;
    std::unordered_map<PromptPartId, Time> olderSuccesses_;
    Time successesRotatedAt_;
    std::set<PromptPartId> quarantined_;
    std::set<routing::EndpointLifetime> explainedCrashes_; ///< by quarantined parts
    std::map<routing::EndpointLifetime, Time> requestCrashes_; ///< by quarantined requests; when that was recorded
    std::uint64_t digest_ = 0;
    bool hasChanged_ = false; ///< since the last decision
    std::optional<Time> nextDecisionAt_;
    std::map<PromptPartId, Time> inquiries_; ///< unconfirmed parts by the time at which they are quarantined
};

// ---------------------------------------------------------------------------------------------------------------------
// Rejected requests

/** A request that was rejected. */
struct Rejection {
    Fingerprint request;
    Time firstAttemptAt; ///< when the caller first sent it
};

/**
 * Records recently rejected requests by their fingerprint.
 *
 * During a burst, callers retry rejected requests at any VM. Rejecting a request again would waste the time that it has
 * already waited, so retried requests take precedence over new ones and their latency counts from the first attempt.
 * The VMs publish their rejections to each other.
 */
class RejectionHistory
{
public:
    void record(const Rejection &rejection, Time now);
    /** Merges the rejections of another VM. */
    void merge(std::span<const Rejection> rejections, Time now);
    /** Returns when a retried request was first sent; empty for a new request. */
    std::optional<Time> firstAttemptAt(Fingerprint request, Time now) const;
    /** Returns and clears the rejections not yet published to the other VMs; their number is bounded. */
    std::vector<Rejection> takeUnpublished();
    void expire(Time now);

private:
    struct Entry {
        Time firstAttemptAt;
        Time rejectedAt;
    };
    void store(const Rejection &rejection, Time now);

    std::unordered_map<Fingerprint, Entry> entries_;
    std::vector<Rejection> unpublished_;
};

} // namespace lacewing::dispatch
