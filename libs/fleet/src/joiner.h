#pragma once

#include "fact_store.h"
#include "members.h"

#include <map>
#include <vector>

namespace lacewing::fleet
{

/**
 * Brings VMs together: makes this VM known to listed VMs, tries again to reach those believed dead, fetches all
 * lasting facts at the start, and takes over what the platform's list says of VMs.
 */
class Joiner
{
public:
    Joiner(Context &context, const Members &members, const FactStore &store, Time now);

    void tick();
    Time nextWake() const;

    /** Takes over the platform's VMs. The list only gives addresses and leaving marks, never a state. */
    void onList(const PlatformList &list);
    /** Answers a Join, and starts to fetch the state from its sender. */
    void onJoin(const Join &join);
    /** Asks for the next part. The facts themselves are stored by the Fleet. */
    void onStatePart(const StatePart &part);
    /** A member that the list marks as leaving may have become known. */
    void onMemberChanged(const Member &member);

    bool isCaughtUp() const noexcept
    {
        return caughtUp_;
    }

private:
    void contact();
    void contactSome(const std::vector<const ListedVm *> &candidates, std::size_t count);
    void requestState(VmId peer);
    void finish(bool fromPeer);
    void applyLeaving(const ListedVm &listed);
    void declareAbsentDead();

    Context &context_;
    const Members &members_;
    const FactStore &store_;
    std::map<VmId, ListedVm> listed_; ///< the last list
    WallTime listedAsOf_;
    Time nextContact_;
    Time giveUpAt_;
    std::optional<VmId> statePeer_;
    FactKey stateAfter_;
    Time stateSentAt_;
    bool caughtUp_ = false;
};

} // namespace lacewing::fleet
