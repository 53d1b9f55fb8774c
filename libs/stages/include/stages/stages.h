#pragma once

#include <base/base.h>
#include <routing/routing.h>

#include <cstdint>
#include <deque>
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
    bool completed(PieceIndex index, ResultHandle handle);
    /** A piece that was handed out was not made; takeReady() hands it out again. */
    void failed(PieceIndex index);
    /** Inputs of a piece that was handed out are gone: they and the piece are made again. */
    void inputsGone(PieceIndex index);
    /** Results are gone: all pieces of the last stages are made again, with what they need. */
    void finalInputsGone();

    /** All pieces are made. */
    bool isComplete() const noexcept;
    /** Results of all stages that no other stage follows, by stage and piece. */
    std::vector<ResultHandle> finalInputs() const;
    /** Results that no piece still to be made needs, each once. Those of the last stages aren't among them. */
    std::vector<ResultHandle> takeReleasable();
    /** All results still held, each once; the plan is of no use afterwards. */
    std::vector<ResultHandle> takeAll();

    /** Pieces of one stage. */
    std::uint32_t pieceCount(std::uint32_t stage) const noexcept;
    /** Longest chain of stages that is not complete; 0 when all pieces are made. */
    std::uint32_t depthLeft() const;
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
struct PieceOrder {
    PieceTicket ticket;
    RequestId request;
    PieceIndex index;
    std::string key; ///< content of a piece without inputs
    std::vector<ResultHandle> inputs;
    Time due; ///< made by then, its request can be on time
    Time limit; ///< made later, it is of no use
    double worth = 1; ///< of its request, for each piece; ranks pieces that are late anyway
    Bytes resultBytes; ///< approximate
    AvailabilityZoneId zone; ///< where it is best made; empty: anywhere
    Bytes zoneBytes; ///< that cross zones if it is made elsewhere
};

/** An endpoint that makes pieces. */
struct BatchEndpoint {
    EndpointId id;
    AvailabilityZoneId zone;
};

/** Pieces to be sent to an endpoint in one call. */
struct BatchCall {
    EndpointId endpoint;
    std::vector<PieceOrder> pieces;
    Duration expected {}; ///< time that the call should take
};

/** How a call ended. */
enum class CallOutcome : std::uint8_t {
    Answered, ///< with a result or reason for each piece
    Declined, ///< the endpoint was full; nothing was made
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
    /** Passes an endpoint over for a while, such as after a lost call. */
    void avoid(const EndpointId &endpoint, Time until);

    void add(PieceOrder order);
    /** Takes a waiting piece back. @return false when it isn't waiting (any more) */
    bool cancel(PieceTicket ticket);
    /** Removes and returns the pieces whose limit can't be met any more. */
    std::vector<PieceOrder> takeExpired(Time now);

    /** The calls to send now. */
    std::vector<BatchCall> takeCalls(Time now);
    /** A call has ended. @param made pieces that got a result */
    void callEnded(const EndpointId &endpoint, CallOutcome outcome, std::size_t made, Time now);

    /** A piece got a result at an endpoint, which now holds it. */
    void resultMade(const EndpointId &endpoint, const ResultHandle &handle, Bytes size, Time now);
    /** An endpoint had no memory for a result, such as for results of a VM that is gone: it gets less for a while. */
    void roomMissing(const EndpointId &endpoint, Bytes size, Time now);
    /** A result was given up. @return its endpoint, empty if unknown */
    EndpointId resultReleased(const ResultHandle &handle);

    /** Expected time until a piece added now would be made. */
    Duration expectedTime(Time now) const;
    /** When takeCalls() or takeExpired() may next have something to do without any other event. */
    std::optional<Time> nextDue() const;
    std::size_t waiting() const noexcept
    {
        return orders_.size();
    }
    std::size_t endpoints() const noexcept
    {
        return lines_.size();
    }

    /** Time after which a call without an answer counts as lost. */
    Duration callLimit(const BatchCall &call) const;

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
        std::uint64_t roomUsed = 0; ///< bytes of results held or being made
        std::uint64_t roomOpen = 0; ///< bytes of results being made
        bool isListed = true;
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
    bool waitsForZone(const PieceOrder &order, const Line &line, Time now) const;
    Duration lengthOf(const Line &line) const noexcept;
    void dropOldResults(Time now);
    Line *chooseLine(Time now, const AvailabilityZoneId &zone, const std::vector<EndpointId> &passed);
    void countHomeless();
    BatchCall fill(Line &line, Time now, std::size_t most);
    void sortOrders(Time now);

    routing::BatchTraits traits_;
    std::vector<PieceOrder> orders_;
    std::unordered_map<AvailabilityZoneId, std::size_t> waitingByZone_; ///< pieces that are best made there
    std::unordered_map<EndpointId, Line> lines_;
    std::unordered_map<ResultHandle, Held> held_;
    std::uint64_t lastMissing_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// Admission of a whole path

/** What decides who is refused first. */
struct PathRequest {
    Duration elapsed {}; ///< since the request came
    Duration target {}; ///< in which it should be done
    Duration afterStages {}; ///< that its last step will take
    int rank = 0; ///< 0 is the most urgent
    double relativeWorth = 1; ///< credit for each piece, against the mean of its route
    bool isReturning = false; ///< it was refused before
};

/** Whether a request may begin. */
struct PathDecision {
    bool admitted = true;
    Duration predicted {}; ///< until the stages would be done
    Duration reportAge {}; ///< of the oldest report that was used
    Duration comeBackAfter {}; ///< if refused: when there should be room
};

/**
 * Admits a request for all its stages or for none.
 *
 * Load pattern: bursts beyond what a stage can carry. Requests that can't be done in time would use up the first stages
 * and be late at the last, and make the others late too. What all stages together will take is predicted from what the
 * VMs tell of their queues; the longer it is against the target, the more is refused: the least urgent and least worthy
 * first, so that the queues settle where the others are on time.
 */
class PathAdmission
{
public:
    /** A VM tells how long a piece of a service takes there now, until it is made. */
    void reported(const routing::ServiceId &service, Duration expected, Time now);
    /** Time that a service's stage takes now; empty when nobody has told lately. */
    std::optional<Duration> expected(const routing::ServiceId &service, Time now) const;

    PathDecision decide(const StagePlan &plan, const PathRequest &request, Time now) const;

private:
    struct Report {
        Duration expected {};
        Time at;
    };
    std::unordered_map<routing::ServiceId, Report> reports_;
};

} // namespace lacewing::stages
