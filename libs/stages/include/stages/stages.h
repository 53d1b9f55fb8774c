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
 * Stages made of pieces: the progress of one request through them, and the filling of endpoints' calls with pieces of
 * many requests.
 *
 * Nothing here does input or output; time is an argument.
 */
namespace lacewing::stages
{

/** Names a result at the endpoint that made it. */
using ResultHandle = Name<struct ResultHandleTag>;
/** A caller's name for one try of its request. */
using RequestId = Name<struct RequestIdTag>;

/** One piece of one stage. */
struct PieceIndex {
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;

    auto operator<=>(const PieceIndex &) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// One request

/** A piece that can be made now. */
struct ReadyPiece {
    PieceIndex index;
    std::vector<ResultHandle> inputs; ///< all results of the stages that it needs; empty for a first stage
};

/** Which pieces of one request are made, being made or missing. A stage without pieces is left out. */
class StagePlan
{
public:
    /** @param pieceCounts one for each stage; missing ones are 0 */
    StagePlan(std::vector<routing::RouteStage> stages, std::vector<std::uint32_t> pieceCounts);

    /** Hands out each piece whose inputs all exist and that is neither made nor handed out. */
    std::vector<ReadyPiece> takeReady();
    /** Takes the result of a piece that was handed out. @return false if the piece isn't waited for */
    bool markCompleted(PieceIndex index, ResultHandle handle);
    /** A piece that was handed out was not made; takeReady() hands it out again. */
    void markFailed(PieceIndex index);
    /** Inputs of a piece that was handed out are gone: they and the piece are made again. */
    void markInputsLost(PieceIndex index);
    /** Results are gone: all pieces of the last stages are made again, with what they need. */
    void markFinalResultsLost();

    /** All pieces are made. */
    bool isComplete() const noexcept;
    /** Results of all stages that no other stage follows, by stage and piece. */
    std::vector<ResultHandle> finalResults() const;
    /** Results that no piece still to be made needs, each once. Those of the last stages aren't among them. */
    std::vector<ResultHandle> takeReleasable();
    /** All results still held, each once; the plan is of no use afterwards. */
    std::vector<ResultHandle> takeAllResults();

    /** Pieces of one stage. */
    std::uint32_t pieceCount(std::uint32_t stage) const noexcept;
    /** Longest chain of stages that is not complete; 0 when all pieces are made. */
    std::uint32_t remainingDepth() const;
    /** Longest chain of stages that follows a stage. */
    std::uint32_t depthAfter(std::uint32_t stage) const;
    const std::vector<routing::RouteStage> &stages() const noexcept
    {
        return stages_;
    }

private:
    enum class PieceState : std::uint8_t { Missing, HandedOut, Made, Released };
    struct Piece {
        PieceState state = PieceState::Missing;
        ResultHandle handle;
    };

    bool hasPieces(std::uint32_t stage) const noexcept;
    bool isStageComplete(std::uint32_t stage) const;
    bool isFollowed(std::uint32_t stage) const;
    bool areInputsMade(std::uint32_t stage) const;
    void forgetStage(std::uint32_t stage);

    std::vector<routing::RouteStage> stages_;
    std::vector<std::vector<Piece>> pieces_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Calls of many requests

/** Names a piece that waits with a BatchScheduler. */
using PieceTicket = Number<struct PieceTicketTag>;

/** A piece to be made. */
struct PieceTask {
    PieceTicket ticket;
    RequestId request;
    routing::ServiceId service; ///< whose endpoints make it
    PieceIndex index;
    std::string contentKey; ///< content of a piece without inputs
    std::vector<ResultHandle> inputs;
    Time dueTime; ///< made by then, its request can be on time
    Time deadline; ///< made later, it is of no use
    double valuePerPiece = 1; ///< of its request, for each piece; ranks pieces that are late anyway
    Bytes resultBytes; ///< approximate
    AvailabilityZoneId preferredZone; ///< where it is best made; empty: anywhere
    Bytes crossZoneBytes; ///< that cross zones if it is made elsewhere
};

/** An endpoint that makes pieces. */
struct BatchEndpoint {
    EndpointId id;
    AvailabilityZoneId zone;
};

/** Pieces to be sent to an endpoint in one call. */
struct BatchCall {
    EndpointId endpoint;
    std::vector<PieceTask> pieces;
    Duration expectedDuration {}; ///< time that the call should take
};

/** How a call ended. */
enum class CallOutcome : std::uint8_t {
    Answered, ///< with a result or reason for each piece
    Rejected, ///< the endpoint was full; nothing was made
    Lost, ///< no answer; pieces may have been made
};

/**
 * Fills the calls of one service's endpoints with the pieces of many requests.
 *
 * Load pattern: many small requests against endpoints with a large fixed cost for each call. An endpoint gets its next
 * call when the one before has ended, with whatever waits by then: calls stay short while load is low and fill up by
 * themselves as it grows. Pieces go in order of when they are due; those that would be late wait for spare room, the
 * most worthy first. An endpoint that takes much longer than its peers only gets what they have no room for, and a
 * small call now and then to see whether it has recovered.
 *
 * A piece whose inputs or result are large waits for an endpoint of its own zone as long as that can make it in time;
 * else any zone's endpoint takes it.
 */
class BatchScheduler
{
public:
    explicit BatchScheduler(routing::BatchTraits traits);

    void setTraits(const routing::BatchTraits &traits);
    /** Replaces the endpoints; calls in progress at others are left to end. */
    void setEndpoints(const std::vector<BatchEndpoint> &endpoints);
    /** Sets how long a call may still wait for its turn at an endpoint that has left the list. */
    void setDrainTimeout(Duration limit) noexcept
    {
        leaveLimit_ = limit;
    }
    /**
     * Endpoints that have left the list and whose call has no answer for the limit: it may be waiting there, behind
     * slow ones, and would begin too late. Each once; its calls have to be closed, and ended as lost.
     */
    std::vector<EndpointId> takeDrainTimedOutEndpoints(Time now);
    /** Passes an endpoint over for a while, such as after a lost call. */
    void backOff(const EndpointId &endpoint, Time until);

    void add(PieceTask order);
    /** Takes a waiting piece back. @return false when it isn't waiting (any more) */
    bool cancel(PieceTicket ticket);
    /** Removes and returns the pieces whose limit can't be met any more. */
    std::vector<PieceTask> takeExpired(Time now);

    /** The calls to send now. */
    std::vector<BatchCall> takeCalls(Time now);
    /** A call has ended. @param made pieces that got a result */
    void recordCallEnd(const EndpointId &endpoint, CallOutcome outcome, std::size_t made, Time now);

    /** A piece got a result at an endpoint, which now holds it. */
    void recordResult(const EndpointId &endpoint, const ResultHandle &handle, Bytes size, Time now);
    /** An endpoint had no memory for a result, such as for results of a VM that is gone: it gets less for a while. */
    void recordOutOfMemory(const EndpointId &endpoint, Bytes size, Time now);
    /** A result was given up. @return its endpoint, empty if unknown */
    EndpointId releaseResult(const ResultHandle &handle);

    /**
     * When the last piece of some lines of pieces would be started, if nothing else went before it.
     * @param counts lengths of the lines, in ascending order
     * @return one time for each; Time::max() without an endpoint that can be used
     */
    std::vector<Time> estimateStartTimes(std::span<const std::size_t> counts, Time now) const;
    /** Time of a call for so many waiting pieces, at a usual endpoint. */
    Duration estimateCallTime(std::size_t waiting) const;
    /** Mean time until an endpoint is free, for pieces that become ready at any moment at the present load. */
    Duration estimateMeanWait(Time now) const;
    /** Shows each waiting piece. */
    void forEachWaiting(const std::function<void(const PieceTask &)> &visit) const;
    /** When takeCalls() or takeExpired() may next have something to do without any other event. */
    std::optional<Time> nextWakeupTime() const;
    std::size_t waitingCount() const noexcept
    {
        return orders_.size();
    }
    std::size_t endpointCount() const noexcept
    {
        return lines_.size();
    }

    /** Time after which a call without an answer counts as lost. */
    Duration callTimeout(const BatchCall &call) const;

private:
    struct Line {
        BatchEndpoint endpoint;
        std::size_t callsOpen = 0;
        std::size_t piecesOpen = 0;
        Time startedAt;
        Duration nominal {}; ///< of the last call
        double slowness = 1; ///< learned time of a call against the nominal one
        Time avoidUntil;
        Time triedAt; ///< last call
        int declines = 0; ///< in a row
        std::uint64_t roomUsed = 0; ///< bytes of results held or being made
        std::uint64_t roomOpen = 0; ///< bytes of results being made
        bool isListed = true;
        std::optional<Time> leftAt; ///< seen to be no longer listed
        bool isClosing = false; ///< told by takeOverstayed()
    };
    struct Held {
        EndpointId endpoint;
        std::uint64_t bytes = 0;
        Time until;
    };

    Duration nominalTime(std::size_t pieces) const noexcept;
    double fastest() const noexcept;
    bool isSlow(const Line &line, double fastest) const noexcept;
    bool mayCall(const Line &line, Time now) const noexcept;
    bool waitsForZone(const PieceTask &order, const Line &line, Time now) const;
    Duration lengthOf(const Line &line) const noexcept;
    void dropOldResults(Time now);
    Line *chooseLine(Time now, const AvailabilityZoneId &zone, const std::vector<EndpointId> &passed);
    void countHomeless();
    BatchCall fill(Line &line, Time now, std::size_t most);
    void sortOrders(Time now);

    routing::BatchTraits traits_;
    Duration leaveLimit_ = std::chrono::seconds(1);
    std::vector<PieceTask> orders_;
    std::unordered_map<AvailabilityZoneId, std::size_t> waitingByZone_; ///< pieces that are best made there
    std::unordered_map<EndpointId, Line> lines_;
    std::unordered_map<ResultHandle, Held> held_;
    std::uint64_t lastMissing_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// Whole paths

/** Names a group of endpoints whose calls one VM fills: those of one availability zone, or of all (empty). */
using CellId = Name<struct CellIdTag>;

/** One stage of a request, as its cell has to make it. */
struct StageDemand {
    routing::ServiceId service;
    std::uint32_t pieceCount = 0;
    Time dueTime; ///< made by then, the request can be on time
    std::vector<std::uint32_t> dependencies; ///< positions of the steps whose results it needs; all come before it
};

/** A request's stages, and what decides who is refused first. */
struct AdmissionRequest {
    RequestId id;
    Time receivedAt;
    Duration targetLatency {}; ///< in which it should be done
    Duration timeAfterStages {}; ///< that its last step will take
    int urgencyRank = 0; ///< 0 is the most urgent
    double relativeValue = 1; ///< credit for each piece, against the mean of its route
    bool isRetry = false; ///< it was refused before
    std::vector<StageDemand> demands; ///< one for each stage
};

/** Whether a request may begin. */
struct AdmissionDecision {
    bool admitted = true;
    Duration predictedTime {}; ///< until the stages would be done
    Duration timeLimit {}; ///< which that might have been, with the request's rank and worth
    bool keepsCommitments = true; ///< nothing that was promised before becomes late
    Duration retryAfter {}; ///< if refused: when there should be room
    std::size_t piecesAhead = 0; ///< pieces that go before it, at the stage with most of them
};

/** How a service of a cell is doing. */
struct ServiceLoad {
    routing::ServiceId service;
    Duration queueTime {}; ///< until a piece would be started that comes after all that is promised
    Duration callTime {}; ///< time of a call then
};

/**
 * Admits requests to a cell for all their stages or for none.
 *
 * Load pattern: bursts beyond what a stage can carry. A queue tells nothing of the pieces that are still to come from
 * earlier stages, so requests that look on time at their first stage all meet at the last one and are late there. Here
 * each admitted request is a commitment for all its stages: a new one is admitted if its pieces, after all that is due
 * before them, are still on time, and if all that is due later stays so. The longer the path takes against the target,
 * the more is refused: the least urgent and least worthy first. Without queues nothing is refused, however long the
 * path takes.
 */
class AdmissionController
{
public:
    /** @param scheduler that fills the service's calls; outlives the planner */
    void setScheduler(const routing::ServiceId &service, const BatchScheduler *scheduler);

    AdmissionDecision decide(const AdmissionRequest &request, Time now) const;
    /** Keeps what a request will need. */
    void admit(const AdmissionRequest &request, Time now);
    /** Decides, and keeps what the request will need if it is admitted. */
    AdmissionDecision tryAdmit(const AdmissionRequest &request, Time now);
    /** The pieces of a stage have been handed to the scheduler. */
    void markStageQueued(const RequestId &request, std::uint32_t stage);
    /** All pieces of a request's last stages are made: shows how good the prediction was. */
    void recordCompletion(const RequestId &request, Time now);
    /** Nothing more will come of a request. */
    void removeCommitment(const RequestId &request);
    /** Drops what should have come long ago. */
    void removeExpired(Time now);

    /** How the services are doing, for the choice between cells. */
    std::vector<ServiceLoad> serviceLoads(Time now) const;
    /** Requests with stages still to come. */
    std::size_t commitmentCount() const noexcept
    {
        return commitments_.size();
    }

private:
    struct ServiceWork {
        const BatchScheduler *scheduler = nullptr;
        std::map<Time, std::size_t> coming; ///< pieces of later stages by when they are due
    };
    struct ComingStep {
        std::uint32_t stage = 0;
        routing::ServiceId service;
        std::uint32_t pieces = 0;
        Time due;
    };
    struct Commitment {
        std::vector<ComingStep> steps;
        Time until;
        Time predicted; ///< without what is learned of errors
        std::size_t depth = 0; ///< longest chain of stages
    };
    struct Prediction {
        Time done;
        std::size_t depth = 0;
        std::size_t ahead = 0;
        bool keepsOthers = true;
        Duration inQueues {}; ///< time behind other requests' pieces
    };
    Prediction predict(const AdmissionRequest &request, Time now) const;
    AdmissionDecision judge(const AdmissionRequest &request, const Prediction &prediction, Time now) const;
    void keep(const AdmissionRequest &request, const Prediction &prediction);
    struct Outlook {
        Time started; ///< the last piece
        Duration call {};
        std::size_t ahead = 0;
        bool keepsOthers = true; ///< all that is due later and would be on time stays so
    };
    Outlook look(const ServiceWork &work, const StageDemand &step, Time now) const;
    void takeBack(const ComingStep &step);

    std::map<routing::ServiceId, ServiceWork> services_;
    std::unordered_map<RequestId, Commitment> commitments_;
    double errorMs_ = 0; ///< learned: by how much each stage of a chain takes longer than predicted
    double spreadMs_ = 80; ///< learned: how far most paths are off beside that; at first a third of a call
};

/**
 * Chooses the cell that makes the pieces of a request.
 *
 * Load pattern: callers crowd in one zone, or a zone has lost endpoints, while others have room. A request goes to
 * another cell if that one is sooner by more than what it costs that results cross zones. Each request looks at one
 * other cell only, so that not all VMs rush to the same one on the same report.
 */
class CellChooser
{
public:
    /** The VM that fills a cell's calls tells how its services are doing. */
    void updateLoads(const CellId &cell, const std::vector<ServiceLoad> &waits, Time now);
    /** Time that the steps would take in a cell; empty when nobody has told lately, or it can't make them. */
    std::optional<Duration> estimateTime(const CellId &cell, std::span<const StageDemand> steps, Time now) const;
    /** @param preferred where results are best made */
    CellId choose(const CellId &preferred, std::span<const StageDemand> steps, Time now, Random &random) const;

private:
    struct Report {
        std::vector<ServiceLoad> waits;
        Time at;
    };
    std::map<CellId, Report> reports_;
};

} // namespace lacewing::stages
