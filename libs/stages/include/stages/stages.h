#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * Requests are processed in stages, each of which consists of independent pieces. This library tracks the progress of
 * a request through its stages, batches the pieces of many requests into calls to endpoints, and decides which requests
 * to admit.
 *
 * Nothing here does input or output; the current time is always an argument.
 */
namespace lacewing::stages
{

/** Identifies a result at the endpoint that produced and stores it. */
using ResultHandle = Name<struct ResultHandleTag>;
/** Identifies one attempt of a request; assigned by the caller. */
using RequestId = Name<struct RequestIdTag>;

/** Position of a piece within its request. */
struct PieceIndex {
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;

    auto operator<=>(const PieceIndex &) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// Progress of one request

/** A piece whose inputs are all available. */
struct ReadyPiece {
    PieceIndex index;
    std::vector<ResultHandle> inputs; ///< all results of the stages it depends on; empty if there are none
};

/** Tracks which pieces of one request are pending, in progress or completed. Stages without pieces are skipped. */
class StagePlan
{
public:
    /** @param pieceCounts number of pieces of each stage; missing entries count as 0 */
    StagePlan(std::vector<routing::RouteStage> stages, std::vector<std::uint32_t> pieceCounts);

    /** Returns all pending pieces whose inputs are available, and marks them as dispatched. */
    std::vector<ReadyPiece> takeReady();
    /** Stores the result of a dispatched piece. @return false if the piece is unknown or not dispatched */
    bool markCompleted(PieceIndex index, ResultHandle handle);
    /** Makes a dispatched piece pending again, so that takeReady() returns it again. */
    void markFailed(PieceIndex index);
    /** Makes a dispatched piece and the stages it depends on pending again, after its inputs were lost. */
    void markInputsLost(PieceIndex index);
    /** Makes all final stages, and the released results they depend on, pending again after final results were lost. */
    void markFinalResultsLost();

    /** Whether all pieces of the final stages are completed. */
    bool isComplete() const noexcept;
    /** Returns the results of all stages that no other stage depends on, ordered by stage and piece. */
    std::vector<ResultHandle> finalResults() const;
    /** Returns, each once, the results that no unfinished piece needs. Results of final stages are not included. */
    std::vector<ResultHandle> takeReleasable();
    /** Returns all results not yet released, each once. The plan must not be used afterwards. */
    std::vector<ResultHandle> takeAllResults();

    /** Returns the number of pieces of a stage; 0 for an unknown stage. */
    std::uint32_t pieceCount(std::uint32_t stage) const noexcept;
    /** Returns the length of the longest chain of incomplete stages; 0 when all pieces are completed. */
    std::uint32_t remainingDepth() const;
    /** Returns the length of the longest chain of stages that depend on a stage. */
    std::uint32_t depthAfter(std::uint32_t stage) const;
    const std::vector<routing::RouteStage> &stages() const noexcept
    {
        return stages_;
    }

private:
    enum class PieceState : std::uint8_t { Pending, Dispatched, Completed, Released };
    struct Piece {
        PieceState state = PieceState::Pending;
        ResultHandle handle;
    };

    bool hasPieces(std::uint32_t stage) const noexcept;
    bool isStageComplete(std::uint32_t stage) const;
    bool hasDependents(std::uint32_t stage) const;
    bool areInputsAvailable(std::uint32_t stage) const;
    void resetStage(std::uint32_t stage);

    std::vector<routing::RouteStage> stages_;
    std::vector<std::vector<Piece>> pieces_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Batching of pieces into calls

/** Identifies a piece that is queued in a BatchScheduler. */
using PieceTicket = Number<struct PieceTicketTag>;

/** A piece to be processed by an endpoint. */
struct PieceTask {
    PieceTicket ticket;
    RequestId request;
    Fingerprint fingerprint; ///< of the request's content; 0: unknown
    routing::ServiceId service; ///< whose endpoints process the piece
    PieceIndex index;
    std::string contentKey; ///< identifies the content of a piece without inputs
    std::vector<ResultHandle> inputs;
    Time dueTime; ///< completion time that still lets the request meet its target
    Time deadline; ///< after which the result is useless
    double valuePerPiece = 1; ///< value of the request per piece; ranks pieces that will miss their due time
    Bytes resultBytes; ///< approximate size of the result
    AvailabilityZoneId preferredZone; ///< empty: no preference
    Bytes crossZoneBytes; ///< transferred between zones if the piece is processed outside the preferred zone
    bool isSuspect = false; ///< it was in several calls whose endpoints crashed
};

/** An endpoint that processes pieces. */
struct BatchEndpoint {
    EndpointId id;
    AvailabilityZoneId zone;
};

/** A batch of pieces to be sent to an endpoint in one call. */
struct BatchCall {
    EndpointId endpoint;
    std::vector<PieceTask> pieces;
    Duration expectedDuration {};
};

/** Names a connection to an endpoint among all that this VM has opened. */
using ConnectionKey = Number<struct ConnectionKeyTag>;

/** Which call an answer with results belongs to. */
enum class AnswerOwner : std::uint8_t {
    ThisCall,
    EitherCall, ///< this call or an earlier one for the same pieces, whose results serve as well
    EarlierCall, ///< an earlier call for other pieces
};

/**
 * Recognizes second copies of answers to calls for pieces.
 *
 * Such an answer has no id, but each result has a handle of its own. An answer that holds the results of an earlier
 * call on its connection is a second copy of that call's answer.
 */
class AnswerHistory
{
public:
    /** Maximum age of connections on which calls for pieces are begun, which bounds the answers of each. */
    static constexpr Duration maxConnectionAge = std::chrono::seconds(30);

    /**
     * Records an answer, unless it may belong to an earlier call.
     *
     * @param pieces of the call @param firstResult the first result in the answer
     */
    AnswerOwner record(ConnectionKey connection,
                       std::span<const PieceTask> pieces,
                       const ResultHandle &firstResult,
                       Time now);
    /** Removes connections that can't be open any more. */
    void expire(Time now);

private:
    struct Answer {
        Time receivedAt;
        std::uint64_t firstResult; ///< hash of its handle
        std::uint64_t call; ///< hash of the pieces
    };

    std::unordered_map<ConnectionKey, std::vector<Answer>> answers_;
};

/** How a call ended. */
enum class CallOutcome : std::uint8_t {
    Answered, ///< with a result or a failure reason for each piece
    Rejected, ///< the endpoint was full; no piece was processed
    Lost, ///< no answer; pieces may have been processed
};

/**
 * Batches the pieces of many requests into calls to the endpoints of one service.
 *
 * Designed for many small requests to endpoints with a large fixed cost per call. Unless an endpoint accepts several
 * concurrent calls, its next call starts when the previous one has ended and contains the pieces queued by then, so
 * calls are short at low load and batches grow with the load. Pieces are sent in order of their due times. Pieces that
 * would miss their due time use leftover capacity, in descending order of value. An endpoint that is much slower than
 * its peers only gets pieces beyond their capacity, and an occasional small probe call to detect its recovery.
 *
 * Suspect pieces of different requests are not sent in one call, so that a crash tells which of them is the cause.
 *
 * A piece with large inputs or a large result waits for an endpoint in its preferred zone as long as one of them can
 * process it by its due time; otherwise it may go to an endpoint in any zone.
 */
class BatchScheduler
{
public:
    explicit BatchScheduler(routing::BatchConfig traits);

    void setTraits(const routing::BatchConfig &traits);
    /** Replaces the list of endpoints. Calls in flight to removed endpoints may still complete. */
    void setEndpoints(const std::vector<BatchEndpoint> &endpoints);
    /** Sets how long calls may stay in flight at an endpoint after its removal from the list. */
    void setDrainTimeout(Duration timeout) noexcept
    {
        drainTimeout_ = timeout;
    }
    /**
     * Returns, each once, the removed endpoints that still have calls in flight when the drain timeout expires. Such a
     * call may be queued at the endpoint behind slow ones and would start too late. The caller must close it and record
     * it as lost.
     */
    std::vector<EndpointId> takeDrainTimedOutEndpoints(Time now);
    /** Excludes an endpoint from new calls until the given time, for example after a lost call. */
    void backOff(const EndpointId &endpoint, Time until);
    /**
     * Excludes an endpoint to which no connection could be set up from new calls until the given time.
     *
     * If no endpoint has been reached for some time, takeExpired() returns all queued pieces.
     */
    void recordUnreachable(const EndpointId &endpoint, Time until, Time now);
    /** Returns the time until an endpoint takes new calls, 0 if one does; Duration::max() if there is no endpoint. */
    Duration timeUntilUsable(Time now) const;

    void add(PieceTask task);
    /** Removes a queued piece. @return false if the piece is not in the queue */
    bool cancel(PieceTicket ticket);
    /** Removes and returns the queued pieces that can no longer meet their deadline. */
    std::vector<PieceTask> takeExpired(Time now);

    /** Removes pieces from the queue and returns them as the calls to send now. */
    std::vector<BatchCall> takeCalls(Time now);
    /** Records the end of a call. @param completedPieces number of pieces with a result */
    void recordCallEnd(const EndpointId &endpoint, CallOutcome outcome, std::size_t completedPieces, Time now);

    /** Records that an endpoint now stores a result. */
    void recordResult(const EndpointId &endpoint, const ResultHandle &handle, Bytes size, Time now);
    /**
     * Records that an endpoint had no memory for a result, for example because it still stores results of a VM that has
     * failed. The missing memory counts as used for a short time, so the endpoint gets fewer pieces.
     */
    void recordOutOfMemory(const EndpointId &endpoint, Bytes size, Time now);
    /** Records that a result was released. @return the endpoint that stored it; empty if unknown */
    EndpointId releaseResult(const ResultHandle &handle);

    /**
     * Estimates when the last piece of a queue would start, for several queue lengths. Considers no pieces but these.
     * @param counts queue lengths, in ascending order
     * @return a start time for each length; Time::max() if no endpoint is usable
     */
    std::vector<Time> estimateStartTimes(std::span<const std::size_t> counts, Time now) const;
    /** Estimates the duration of a call at an average endpoint when this number of pieces is queued. */
    Duration estimateCallTime(std::size_t waiting, Time now) const;
    /** Estimates the mean time that a piece arriving at a random time waits for a free endpoint at current load. */
    Duration estimateMeanWait(Time now) const;
    /** Calls a function with each queued piece. */
    void forEachWaiting(const std::function<void(const PieceTask &)> &visit) const;
    /**
     * Returns when takeCalls(), takeExpired() or takeDrainTimedOutEndpoints() may next have results without any other
     * event; empty if they can not.
     */
    std::optional<Time> nextWakeupTime(Time now) const;
    std::size_t waitingCount() const noexcept
    {
        return waitingTasks_.size();
    }
    std::size_t endpointCount() const noexcept
    {
        return endpointStates_.size();
    }

    /** Returns the time after which a call without an answer counts as lost. */
    Duration callTimeout(const BatchCall &call) const;

private:
    struct EndpointState {
        BatchEndpoint endpoint;
        std::size_t callsInFlight = 0;
        std::size_t piecesInFlight = 0;
        Time callStartedAt;
        Duration nominalCallTime {}; ///< of the last call
        double slowdown = 1; ///< moving average of actual over nominal call time
        Time backoffUntil;
        Time lastCallAt;
        int consecutiveRejections = 0;
        std::uint64_t memoryUsedBytes = 0; ///< results stored or in progress
        std::uint64_t memoryReservedBytes = 0; ///< results in progress
        bool isListed = true;
        std::optional<Time> removedAt; ///< when its removal from the list was first noticed
        bool isDrainTimeoutReported = false; ///< by takeDrainTimedOutEndpoints()
    };
    struct StoredResult {
        EndpointId endpoint;
        std::uint64_t bytes = 0;
        Time expiresAt;
    };

    Duration nominalTime(std::size_t pieces) const noexcept;
    bool isUnreachable(Time now) const noexcept;
    double lowestSlowdown(Time now) const noexcept;
    bool isSlow(const EndpointState &state, double lowestSlowdown) const noexcept;
    bool canStartCall(const EndpointState &state, Time now) const noexcept;
    bool shouldWaitForZone(const PieceTask &task, const EndpointState &state, Time now) const;
    Duration expectedCallTime(const EndpointState &state) const noexcept;
    void removeExpiredResults(Time now);
    EndpointState *selectEndpoint(Time now, const AvailabilityZoneId &zone, const std::vector<EndpointId> &excluded);
    void countWaitingByZone();
    BatchCall fillCall(EndpointState &state, Time now, std::size_t maxPieces);
    void sortWaitingTasks(Time now);

    routing::BatchConfig traits_;
    Duration drainTimeout_ = std::chrono::seconds(1);
    std::vector<PieceTask> waitingTasks_;
    std::optional<Time> unreachableSince_; ///< no endpoint has been reached since then
    std::unordered_map<AvailabilityZoneId, std::size_t> waitingByZone_; ///< queued pieces that may wait for their zone
    std::unordered_map<EndpointId, EndpointState> endpointStates_;
    std::unordered_map<ResultHandle, StoredResult> storedResults_;
    std::uint64_t lastPlaceholder_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// Admission

/** Identifies the endpoints that one VM batches calls for: those of an availability zone, or all of them (empty). */
using CellId = Name<struct CellIdTag>;

/** The work that one stage of a request needs from a service. */
struct StageDemand {
    routing::ServiceId service;
    std::uint32_t pieceCount = 0;
    Time dueTime; ///< completion time that still lets the request meet its target
    std::vector<std::uint32_t> dependencies; ///< indices of the demands that it depends on, each below its own index
};

/** A request to be admitted for all its stages. */
struct AdmissionRequest {
    RequestId id;
    Time receivedAt;
    Duration targetLatency {}; ///< of the whole request, from receivedAt
    Duration timeAfterStages {}; ///< expected processing time after the last stage
    int urgencyRank = 0; ///< 0 is the most urgent
    double relativeValue = 1; ///< value per piece relative to the mean of the route
    bool isRetry = false; ///< an earlier attempt was rejected
    std::vector<StageDemand> demands; ///< one per stage
};

/** Whether a request is admitted, and the prediction behind it. */
struct AdmissionDecision {
    bool admitted = true;
    Duration predictedTime {}; ///< from now until all stages are completed
    Duration timeLimit {}; ///< longest admissible predictedTime, given the request's urgency and value
    bool keepsCommitments = true; ///< no request admitted before would miss a due time because of this one
    Duration retryAfter {}; ///< if rejected: time until capacity is expected
    std::size_t piecesAhead = 0; ///< pieces due before or with its own, at the stage with the most of them
};

/** Load of a service in a cell. */
struct ServiceLoad {
    routing::ServiceId service;
    Duration queueTime {}; ///< until the start of a piece that comes after all queued and committed pieces
    Duration callTime {}; ///< expected duration of that piece's call
};

/**
 * Admits requests to a cell, for all their stages at once.
 *
 * Designed for bursts beyond the capacity of a stage. The queue of a stage doesn't show the pieces that are still to
 * come from earlier stages, so requests that look on time at their first stage can all meet at the last one and be late
 * there. Therefore each admitted request is a commitment for all its stages. A new request is admitted if its pieces,
 * queued after everything due before them, are predicted to be on time, and if everything due later stays on time. As
 * the predicted time approaches the target, requests of low urgency and low value are rejected first. If the wait in
 * queues is negligible, the predicted time alone is no reason to reject a request.
 */
class AdmissionController
{
public:
    /** @param scheduler batches the calls of the service; must outlive the controller */
    void setScheduler(const routing::ServiceId &service, const BatchScheduler *scheduler);

    /** Decides on a request without admitting it. */
    AdmissionDecision decide(const AdmissionRequest &request, Time now) const;
    /** Admits a request unconditionally, and commits its demands. */
    void admit(const AdmissionRequest &request, Time now);
    /** Decides on a request, and commits its demands if it is admitted. */
    AdmissionDecision tryAdmit(const AdmissionRequest &request, Time now);
    /** Removes the commitment for a stage whose pieces were added to the scheduler. */
    void markStageQueued(const RequestId &request, std::uint32_t stage);
    /** Records the completion of all stages of a request, and learns from the prediction error. */
    void recordCompletion(const RequestId &request, Time now);
    /** Removes all commitments of a request. */
    void removeCommitment(const RequestId &request);
    /** Removes the commitments that have expired without a report of completion or removal. */
    void removeExpired(Time now);

    /** Returns the load of each usable service, for the choice between cells. */
    std::vector<ServiceLoad> serviceLoads(Time now) const;
    /** Number of admitted requests that are neither completed nor removed. */
    std::size_t commitmentCount() const noexcept
    {
        return commitments_.size();
    }

private:
    struct ServiceState {
        const BatchScheduler *scheduler = nullptr;
        std::map<Time, std::size_t> committedPieces; ///< number of pieces of later stages, by due time
    };
    struct CommittedStage {
        std::uint32_t stage = 0;
        routing::ServiceId service;
        std::uint32_t pieceCount = 0;
        Time dueTime;
    };
    struct Commitment {
        std::vector<CommittedStage> committedStages;
        Time expiresAt;
        Time predictedCompletion; ///< without the learned correction
        std::size_t depth = 0; ///< length of the longest chain of stages
    };
    struct Prediction {
        Time completion;
        std::size_t depth = 0;
        std::size_t piecesAhead = 0;
        bool keepsCommitments = true;
        Duration timeInQueues {}; ///< sum of the waits behind pieces of other requests
    };
    Prediction predict(const AdmissionRequest &request, Time now) const;
    AdmissionDecision evaluate(const AdmissionRequest &request, const Prediction &prediction, Time now) const;
    void addCommitment(const AdmissionRequest &request, const Prediction &prediction);
    struct StageForecast {
        Time lastStart; ///< start of the last piece
        Duration callTime {};
        std::size_t piecesAhead = 0;
        bool keepsCommitments = true; ///< pieces due later that would be on time stay so
    };
    StageForecast forecastStage(const ServiceState &state, const StageDemand &demand, Time now) const;
    void releaseStage(const CommittedStage &stage);

    std::map<routing::ServiceId, ServiceState> services_;
    std::unordered_map<RequestId, Commitment> commitments_;
    double errorPerStageMs_ = 0; ///< learned: by how much each stage of a chain exceeds its predicted time
    double spreadMs_ = 80; ///< learned: further deviation that most requests stay within; initially a third of a call
};

/**
 * Chooses the cell that processes the pieces of a request.
 *
 * Designed for uneven load between zones, when callers concentrate in one zone or a zone has lost endpoints while
 * others have spare capacity. A request goes to another cell if it is expected to complete there earlier by more than
 * the cost of transferring results between zones. Each request considers only one randomly chosen other cell, so that
 * not all VMs switch to the same cell on the same load report.
 */
class CellChooser
{
public:
    /** Stores the load report of a cell, sent by the VM that batches its calls. */
    void updateLoads(const CellId &cell, const std::vector<ServiceLoad> &loads, Time now);
    /** Estimates the time for the demands in a cell; empty without a recent load report or if a service is missing. */
    std::optional<Duration> estimateTime(const CellId &cell, std::span<const StageDemand> demands, Time now) const;
    /** @param preferred cell to use unless another one is expected to be sooner */
    CellId choose(const CellId &preferred, std::span<const StageDemand> demands, Time now, Random &random) const;

private:
    struct Report {
        std::vector<ServiceLoad> loads;
        Time receivedAt;
    };
    std::map<CellId, Report> reports_;
};

} // namespace lacewing::stages
