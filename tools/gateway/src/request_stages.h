#pragma once

#include "request_context.h"

#include <stages/stages.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

/** Where the results at hand are, by size. */
struct ResultBytes {
    std::unordered_map<AvailabilityZoneId, std::uint64_t> byZone;
    std::uint64_t total = 0; ///< those whose zone isn't known any more among them

    /** Bytes that would have to come from other zones. */
    std::uint64_t outside(const AvailabilityZoneId &zone) const;
};

/** What the stages need to know of their request. */
struct StagesRequest {
    stages::RequestId id;
    std::string pieceKey;
    std::vector<std::uint32_t> pieceCounts; ///< by stage
    Time receivedAt;
    Time deadline;
    Duration afterStages {}; ///< that the engine will take
    double worth = 1; ///< ranks its pieces when they are late
    AvailabilityZoneId firstZone; ///< where results are best made as long as there are none
    int rank = 0; ///< 0 is the most urgent
    double relativeWorth = 1; ///< credit for each piece, against the mean of its route
    std::optional<Time> firstTry; ///< of a caller that was refused and comes back
};

/** What becomes of the stages; called at most once for each time that they are made. */
struct StagesHandlers {
    std::function<void()> onDone;
    std::function<void(std::string_view why)> onGivenUp;
    std::function<void(const stages::PathDecision &decision)> onRefused; ///< instead, before anything is made
};

/** The stages of one request: has their pieces made, and gives up their results as soon as nothing needs them. */
class RequestStages : public std::enable_shared_from_this<RequestStages>
{
public:
    /** @param route outlives the stages */
    RequestStages(RunShared &shared, const routing::Route &route, StagesRequest request, StagesHandlers handlers);
    RequestStages(const RequestStages &) = delete;
    RequestStages &operator=(const RequestStages &) = delete;

    const stages::StagePlan &plan() const noexcept
    {
        return plan_;
    }
    /** Asks a cell to admit the request, and starts the pieces that can be made. */
    void start();
    /** Makes the last stages again, with what they need: their results are gone. */
    void makeAgain();
    /** Results of the last stages, as the engine needs them. */
    std::vector<stages::ResultHandle> finalResults() const
    {
        return plan_.finalInputs();
    }
    bool holdsResults() const noexcept
    {
        return !results_.empty();
    }
    ResultBytes resultBytes() const;
    void releaseAll();
    /** Takes back what isn't made and gives up what is. */
    void stop();

private:
    struct Result {
        HeldResult held;
        std::uint32_t stage = 0;
    };

    void submitReady(std::optional<stages::PathRequest> path = std::nullopt);
    stages::PathRequest makePath() const;
    Time findTargetStart() const;
    Time dueOf(std::uint32_t stage) const;
    stages::PieceOrder makeOrder(const stages::ReadyPiece &piece) const;
    AvailabilityZoneId wantedZone() const;
    void pieceDone(stages::PieceIndex index, const PieceOutcome &outcome);
    void pieceFailed(stages::PieceIndex index, userplatform::PieceFailure failure);
    void release(const std::vector<stages::ResultHandle> &handles);
    const routing::ServiceId &serviceOf(std::uint32_t stage) const;
    Bytes bytesOf(std::uint32_t stage) const;

    RunShared &shared_;
    const routing::Route &route_;
    StagesRequest request_;
    StagesHandlers handlers_;
    stages::StagePlan plan_;
    Time targetStart_; ///< from when the target counts
    stages::CellId cell_; ///< that makes the pieces
    std::vector<Submission> submissions_;
    std::unordered_map<stages::ResultHandle, Result> results_;
    int repeats_ = 0;
    bool stopped_ = false;
};

} // namespace lacewing::gateway
