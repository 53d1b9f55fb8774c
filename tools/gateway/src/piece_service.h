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

/** Names the pieces that were submitted together; 0 is none. */
using Submission = Number<struct SubmissionTag>;

/** Pieces of one request, to be made in one cell. */
struct PieceBatch {
    stages::CellId cell;
    AvailabilityZoneId zone; ///< where the results are best made
    std::vector<stages::PieceOrder> pieces;
    std::optional<stages::PathRequest> path; ///< of a request that the cell has not admitted yet
};

struct PieceHandlers {
    std::function<void(std::size_t index, const PieceOutcome &outcome)> onPiece; ///< once for each piece
    std::function<void(const stages::PathDecision &decision)> onRefused; ///< instead: the cell has no time for the path
};

/**
 * Has pieces made.
 *
 * The calls of a cell's endpoints are filled by one VM, so that they are as full as the load of all VMs together
 * allows, and so that it knows what it has promised: it admits requests for all their stages or for none. Which VM that
 * is follows from the live VMs by rendezvous hashing, among those with the most processor time; a wrong choice costs
 * only fullness, as pieces may be made again. When that VM can't be reached, the next one in the order is used, at last
 * this VM itself.
 */
class PieceService
{
public:
    PieceService(Context &context, FleetLinks &links, FleetState &state, std::uint64_t seed);
    ~PieceService();
    PieceService(const PieceService &) = delete;
    PieceService &operator=(const PieceService &) = delete;

    /** The cell for a request's stages. @param zone where its results are best made */
    stages::CellId chooseCell(const AvailabilityZoneId &zone, std::span<const stages::PathStep> steps);
    Submission submit(PieceBatch batch, PieceHandlers handlers);
    /** Takes pieces back; no handler is called any more. */
    void cancel(Submission submission);
    /** Gives up results. */
    void release(const routing::ServiceId &service, const std::vector<HeldResult> &results);

    /** Pieces that another VM has made here. */
    void serve(PiecesRequest request, peer::PeerCallWriter writer);
    /** Results that another VM gives up. */
    void serve(const ReleaseMessage &message);
    /** The desired state, the endpoints or the members have changed. */
    void refresh();
    /** What this VM tells of the cells whose calls it fills. */
    std::vector<LoadMessage> loads();
    /** What another VM tells of the cells whose calls it fills. */
    void heard(const VmId &vm, const std::vector<LoadMessage> &loads);
    /** Pieces that wait or are being made here. */
    std::size_t pending() const;

private:
    struct Open; ///< a submission of this VM
    using OpenPtr = std::shared_ptr<Open>;
    struct Served; ///< a submission of another VM
    /** What this VM does for one cell. */
    struct Cell {
        stages::PathPlanner planner;
        std::map<routing::ServiceId, std::unique_ptr<CallFiller>> fillers;
    };

    stages::CellId cellOf(const AvailabilityZoneId &zone) const;
    bool isPartedByZone() const;
    VmId chooseVm(const stages::CellId &cell, const std::vector<VmId> &tried) const;
    CallFiller &filler(const routing::ServiceId &service, const stages::CellId &cell);
    bool isLost(const VmId &vm) const;
    void place(const OpenPtr &open);
    void placeHere(const OpenPtr &open);
    void placeAt(const OpenPtr &open, const VmId &vm);
    void placeAgain(const OpenPtr &open, const VmId &failed, const Error &error);
    stages::PathDecision admit(const stages::CellId &cell, const stages::PathRequest &path);
    void takeResults(const OpenPtr &open, const std::vector<std::size_t> &indices, const std::string &message);
    void finish(const OpenPtr &open, std::size_t index, const PieceOutcome &outcome);
    void refused(const OpenPtr &open, const stages::PathDecision &decision);

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    Random random_;
    FillerShared shared_;
    std::map<stages::CellId, Cell> cells_;
    std::map<stages::CellId, VmId> fillingVms_; ///< as they told last
    std::unordered_map<Submission, OpenPtr> open_;
    stages::CellChooser chooser_;
    bool isParted_ = false;
    std::uint64_t lastSubmission_ = 0;
    std::uint64_t lastTicket_ = 0;
};

} // namespace lacewing::gateway
