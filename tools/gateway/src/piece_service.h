#pragma once

#include "call_filler.h"

#include <stages/stages.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

using PieceCallback = std::function<void(std::size_t index, const PieceOutcome &outcome)>;

/** Names the pieces that were submitted together; 0 is none. */
using Submission = Number<struct SubmissionTag>;

/**
 * Has pieces made.
 *
 * The calls of a service's endpoints are filled by one VM, so that they are as full as the load of all VMs together
 * allows: every VM sends its pieces there. Which VM that is follows from the live VMs by rendezvous hashing; a wrong
 * choice costs only fullness, as pieces may be made again. When that VM can't be reached, or the pieces come back
 * undone, the next one in the order is used, at last this VM itself.
 */
class PieceService
{
public:
    PieceService(Context &context, FleetLinks &links, FleetState &state);
    ~PieceService();
    PieceService(const PieceService &) = delete;
    PieceService &operator=(const PieceService &) = delete;

    /** Submits pieces of one service; the callback comes later, once for each. */
    Submission submit(const routing::ServiceId &service,
                      const AvailabilityZoneId &zone,
                      std::vector<stages::PieceOrder> pieces,
                      PieceCallback callback);
    /** Takes pieces back; no callback comes any more. */
    void cancel(Submission submission);
    /** Gives up results. */
    void release(const routing::ServiceId &service, const std::vector<HeldResult> &results);

    /** Pieces that another VM has made here. */
    void serve(PiecesRequest request, peer::PeerCallWriter writer);
    /** Results that another VM gives up. */
    void serve(const ReleaseMessage &message);
    /** The desired state, the endpoints or the members have changed. */
    void refresh();
    /** What this VM tells of the services whose calls it fills. */
    std::vector<LoadMessage> loads();
    /** What another VM tells. */
    void heard(const std::vector<LoadMessage> &loads);
    const stages::PathAdmission &admission() const noexcept
    {
        return admission_;
    }
    /** Pieces that wait or are being made here. */
    std::size_t pending() const;

private:
    struct Open; ///< a submission of this VM
    using OpenPtr = std::shared_ptr<Open>;

    std::string scopeOf(const routing::ServiceId &service);
    VmId chooseVm(const routing::ServiceId &service, const std::string &scope, const std::vector<VmId> &tried) const;
    CallFiller &filler(const routing::ServiceId &service, const std::string &scope);
    bool isLost(const VmId &vm) const;
    void place(const OpenPtr &open);
    void placeHere(const OpenPtr &open);
    void placeAt(const OpenPtr &open, const VmId &vm);
    void placeAgain(const OpenPtr &open, const VmId &failed, const Error &error);
    void finish(const OpenPtr &open, std::size_t index, const PieceOutcome &outcome);

    Context &context_;
    FleetLinks &links_;
    FleetState &state_;
    FillerShared shared_;
    std::map<std::pair<routing::ServiceId, std::string>, std::unique_ptr<CallFiller>> fillers_;
    std::unordered_map<Submission, OpenPtr> open_;
    stages::PathAdmission admission_;
    std::uint64_t lastSubmission_ = 0;
    std::uint64_t lastTicket_ = 0;
};

} // namespace lacewing::gateway
