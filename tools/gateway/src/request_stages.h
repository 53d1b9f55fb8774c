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

/** Sizes of the results that a request holds, by zone. */
struct ResultBytes {
    std::unordered_map<AvailabilityZoneId, std::uint64_t> byZone;
    std::uint64_t total = 0; ///< includes results whose zone is no longer known

    /** Returns the bytes that are held in zones other than the given one. */
    std::uint64_t bytesOutside(const AvailabilityZoneId &zone) const;
};

/** Properties of a request that its stages depend on. */
struct StagesRequest {
    stages::RequestId id;
    Fingerprint fingerprint;
    std::string pieceKey;
    std::vector<std::uint32_t> pieceCounts; ///< for each stage
    Time receivedAt;
    Time deadline;
    Duration engineTime {}; ///< estimated time of the engine after the stages
    double value = 1; ///< orders its pieces when they are late
    AvailabilityZoneId initialZone; ///< preferred zone as long as there are no results
    int rank = 0; ///< priority; 0 is the most urgent
    double relativeValue = 1; ///< value of each piece relative to the route's average
    std::optional<Time> firstAttemptAt; ///< set if the request was rejected before and the caller retries it
};

/** Outcome of the stages; at most one handler is called for each run of the stages. */
struct StagesHandlers {
    std::function<void()> onCompleted;
    std::function<void(std::string_view reason)> onFailed;
    std::function<void(const stages::AdmissionDecision &decision)>
        onRejected; ///< called instead, before any piece has run
};

/** Runs the stages of one request, and releases their results as soon as nothing needs them. */
class RequestStages : public std::enable_shared_from_this<RequestStages>
{
public:
    /** @param route must outlive the stages */
    RequestStages(RequestContext &shared, const routing::Route &route, StagesRequest request, StagesHandlers handlers);
    RequestStages(const RequestStages &) = delete;
    RequestStages &operator=(const RequestStages &) = delete;

    const stages::StagePlan &plan() const noexcept
    {
        return plan_;
    }
    /** Asks a cell to admit the request, and submits the pieces that are ready. */
    void start();
    /** Reruns the final stages, and the stages that they depend on, because their results were lost. */
    void rerunFinalStages();
    /** Returns the results of the final stages, in the order that the engine expects. */
    std::vector<stages::ResultHandle> finalResults() const
    {
        return plan_.finalResults();
    }
    bool hasResults() const noexcept
    {
        return !results_.empty();
    }
    ResultBytes resultBytes() const;
    void releaseAll();
    /** Cancels the pieces that have not completed, and releases the results. */
    void stop();

private:
    struct Result {
        HeldResult held;
        std::uint32_t stage = 0;
    };

    void submitReady(std::optional<stages::AdmissionRequest> admission = std::nullopt);
    stages::AdmissionRequest makeAdmissionRequest() const;
    Time computeTargetStart() const;
    Time dueTime(std::uint32_t stage) const;
    stages::PieceTask makeTask(const stages::ReadyPiece &piece) const;
    AvailabilityZoneId preferredZone() const;
    void handlePieceOutcome(stages::PieceIndex index, const PieceOutcome &outcome);
    void handlePieceFailure(stages::PieceIndex index, userplatform::PieceFailure failure);
    void release(const std::vector<stages::ResultHandle> &handles);
    const routing::ServiceId &stageService(std::uint32_t stage) const;
    Bytes stageResultBytes(std::uint32_t stage) const;

    RequestContext &shared_;
    const routing::Route &route_;
    StagesRequest request_;
    StagesHandlers handlers_;
    stages::StagePlan plan_;
    Time targetStart_; ///< time from which the latency target counts
    stages::CellId cell_; ///< cell that runs the pieces
    std::vector<SubmissionId> submissions_;
    std::unordered_map<stages::ResultHandle, Result> results_;
    int retryCount_ = 0;
    bool isStopped_ = false;
};

} // namespace lacewing::gateway
