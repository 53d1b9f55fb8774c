#pragma once

#include "batch_dispatcher.h"

#include <stages/stages.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

/** Identifies pieces that were submitted together; 0 means none. */
using SubmissionId = Number<struct SubmissionIdTag>;

/** Pieces of one request to be run in one cell. */
struct PieceBatch {
    stages::CellId cell;
    AvailabilityZoneId zone; ///< preferred zone for the results
    std::vector<stages::PieceTask> pieces;
    std::optional<stages::AdmissionRequest> admission; ///< set if the cell has not admitted the request yet
};

struct PieceHandlers {
    std::function<void(std::size_t index, const PieceOutcome &outcome)> onPiece; ///< called once for each piece
    std::function<void(const stages::AdmissionDecision &decision)>
        onRejected; ///< called instead if the cell does not admit the request
};

/**
 * Runs pieces on the endpoints of cells.
 *
 * One VM, the coordinator, batches the calls to all endpoints of a cell, so that batches are as full as the combined
 * load of all VMs allows, and so that it knows the work that it has committed to: it admits a request for all its
 * stages or rejects it. The coordinator is selected from the live VMs by rendezvous hashing, among those with the
 * largest CPU share. A wrong choice only makes batches less full, because pieces may be run again. If the coordinator
 * can't be reached, the next VM in the order is used, and this VM itself as the last resort.
 */
class PieceService
{
public:
    PieceService(Context &context,
                 FleetLinks &links,
                 FleetState &state,
                 EndpointNotices &notices,
                 EndpointReachability &reachability,
                 PoisonRequestGuard &poisonRequests,
                 std::uint64_t seed);
    ~PieceService();
    PieceService(const PieceService &) = delete;
    PieceService &operator=(const PieceService &) = delete;

    /** Selects the cell for the stages of a request. @param zone preferred zone for the results */
    stages::CellId chooseCell(const AvailabilityZoneId &zone, std::span<const stages::StageDemand> steps);
    /** Returns a cell, or another one instead if its zone is evacuated. */
    stages::CellId servingCell(const stages::CellId &cell);
    SubmissionId submit(PieceBatch batch, PieceHandlers handlers);
    /** Cancels pieces; no handler is called afterwards. */
    void cancel(SubmissionId submissionId);
    /** Releases results that are no longer needed. */
    void release(const routing::ServiceId &service, const std::vector<HeldResult> &results);

    /** Runs pieces for another VM. */
    void serve(PiecesRequest request, peer::PeerCallWriter writer);
    /** Releases results on behalf of another VM. */
    void serve(const ReleaseMessage &message);
    /** Must be called when the desired state, the endpoints or the members have changed. */
    void refresh();
    /** Returns the loads of the cells that this VM coordinates. */
    std::vector<LoadMessage> localLoads();
    void expire(Time now)
    {
        shared_.answers.expire(now);
    }
    /** Handles the loads of the cells that a VM coordinates, as reported by that VM. */
    void handleLoads(const VmId &vm, const std::vector<LoadMessage> &loads);
    /** Returns the number of pieces that are queued or in flight on this VM. */
    std::size_t pending() const;

private:
    struct LocalSubmission; ///< a submission from this VM
    using LocalSubmissionPtr = std::shared_ptr<LocalSubmission>;
    struct RemoteSubmission; ///< a submission from another VM
    /** Admission and dispatch state of a cell on this VM. */
    struct Cell {
        stages::AdmissionController planner;
        std::map<routing::ServiceId, std::unique_ptr<BatchDispatcher>> dispatchers;
    };

    stages::CellId cellOf(const AvailabilityZoneId &zone) const;
    bool isEvacuated(const stages::CellId &cell) const;
    bool shouldPartitionByZone() const;
    VmId chooseCoordinator(const stages::CellId &cell, const std::vector<VmId> &tried) const;
    std::vector<VmId> coordinatorCandidates(const stages::CellId &cell, const std::vector<VmId> &tried) const;
    bool reachesStages(const VmId &vm) const;
    void reassignUnreachable();
    BatchDispatcher &dispatcherFor(const routing::ServiceId &service, const stages::CellId &cell);
    bool isLost(const VmId &vm) const;
    void place(const LocalSubmissionPtr &submission);
    void placeLocally(const LocalSubmissionPtr &submission);
    void placeRemotely(const LocalSubmissionPtr &submission, const VmId &vm);
    void reassign(const LocalSubmissionPtr &submission, const VmId &failedVm, const Error &error);
    stages::AdmissionDecision tryAdmit(const stages::CellId &cell, const stages::AdmissionRequest &request);
    void handleResults(const LocalSubmissionPtr &submission,
                       const std::vector<std::size_t> &indices,
                       const std::string &message);
    void completePiece(const LocalSubmissionPtr &submission, std::size_t index, const PieceOutcome &outcome);
    void rejectSubmission(const LocalSubmissionPtr &submission, const stages::AdmissionDecision &decision);

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    Random random_;
    BatchDispatcherContext shared_;
    std::map<stages::CellId, Cell> cells_;
    std::map<stages::CellId, VmId> coordinators_; ///< from the latest reported loads
    std::unordered_map<SubmissionId, LocalSubmissionPtr> submissions_;
    stages::CellChooser cellChooser_;
    bool isPartitionedByZone_ = false;
    std::uint64_t lastSubmissionId_ = 0;
    std::uint64_t lastTicket_ = 0;
};

} // namespace lacewing::gateway
