#pragma once

#include "endpoints.h"
#include "joiner.h"
#include "prober.h"
#include "quarantine.h"
#include "spreader.h"

#include <map>
#include <memory>

namespace lacewing::fleet
{

/** The parts of a Fleet, and the way of each event and message to them. */
class Fleet::State
{
public:
    State(const Settings &settings, Time now);

    std::vector<Effect> handle(const Event &event, Time now);
    Time nextWake() const;

    std::shared_ptr<const View> view() const noexcept
    {
        return view_;
    }
    const Context &context() const noexcept
    {
        return context_;
    }
    const FactStore &store() const noexcept
    {
        return store_;
    }
    const Quarantine &quarantine() const noexcept
    {
        return quarantine_;
    }
    bool isCaughtUp() const noexcept
    {
        return joiner_.isCaughtUp();
    }
    bool readsConfig() const noexcept
    {
        return readsConfig_;
    }

private:
    /** What has changed since the last view. */
    enum class Staleness : std::uint8_t { None, Load, Urgent };

    void setTime(const Event &event, Time now);
    void dispatch(const Event &event);
    void onTick();
    void onList(const PlatformList &list);
    void onMarkVm(const MarkVmLeaving &mark);
    void onStopped();
    void onConfigRead(const ConfigRead &read);
    void onMessage(const PeerMessage &message);
    void onJoin(const Join &join);
    void onUpdates(const std::vector<Member> &updates);
    void onDigest(const Sender &peer, std::uint64_t digest);
    void onPush(const FactPush &push);

    std::vector<Fact> learn(const std::vector<Fact> &facts);
    bool learnOne(const Fact &fact);
    bool refuteIfSelf(const Member &member);
    void refute(std::uint32_t epoch);
    void onStored(const Fact &fact);
    void onStoredMember(const Member &member);
    void onStoredVmLeaving(const VmLeaving &mark);
    void onStoredFrontier(const ConfigFrontier &frontier);
    void flushOriginated();
    void expireFacts();

    bool isOwnZone(const Sender &sender) const;
    void compareAbroad();
    void updateConfigReading();
    void markStale(Staleness staleness);
    void rebuildView();

    Context context_;
    FactStore store_;
    Members members_;
    Prober prober_;
    Spreader spreader_;
    Endpoints endpoints_;
    Quarantine quarantine_;
    Joiner joiner_;

    WallTime wallBase_; ///< civil time at timeBase_
    Time timeBase_;
    WallTime listedAsOf_;
    Time nextCompareAbroad_;
    Time nextExpiry_;
    Time heardFrontierAt_;
    Time nextFrontier_;
    Duration silence_; ///< without a frontier of another VM for so long, this one reads for itself
    std::map<AvailabilityZoneId, ZoneView> zones_;
    bool readsConfig_ = false;
    bool chosenReader_ = false;
    bool leaveRequested_ = false;
    bool superseded_ = false;
    bool membersChanged_ = false;
    Staleness staleness_ = Staleness::Urgent;
    Time viewBuiltAt_;
    std::shared_ptr<const View> view_;
};

} // namespace lacewing::fleet
