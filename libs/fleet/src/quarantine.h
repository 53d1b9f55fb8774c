#pragma once

#include "members.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lacewing::fleet
{

/**
 * Finds the request that crashes endpoints, and spares those that only ran beside it.
 *
 * Every request that was running on a crashed endpoint gets a mark for that crash. One mark makes it a suspect: it
 * runs only under a permit, one copy at a time in the fleet and never on one endpoint with another suspect, so that
 * a second crash names the culprit. Two marks are a quarantine. A suspect that finishes loses its marks. Marks are
 * never removed by merging, so neither a late mark nor an early clearing can undo the other.
 *
 * One VM of the fleet, the arbiter, decides on the permits of a pool.
 */
class Quarantine
{
public:
    Quarantine(Context &context, const Members &members, Time now);

    void tick();
    std::optional<Time> nextWake() const;

    void onCrash(const EndpointCrashed &crash, Incarnation known);
    void onLift(const LiftQuarantine &lift);
    void onWanted(const PermitWanted &wanted);
    void onEnded(const PermitEnded &ended);
    void onRequest(const PermitRequest &request);
    void onAnswer(const PermitAnswer &answer);
    void onRelease(const PermitRelease &release);

    /** A mark was stored. */
    void onMarkStored(const CrashMark &mark);
    /** A mark has expired. */
    void onMarkRemoved(const CrashMark &mark);
    /** This VM was believed dead: others may have decided in its place. */
    void onRefuted();

    SuspicionState state(Fingerprint fingerprint) const;
    std::unordered_map<Fingerprint, SuspicionState> states() const;
    VmId arbiter(const PoolId &pool) const;

private:
    struct Grant {
        Fingerprint fingerprint;
        EndpointId endpoint;
        VmId holder;
        Incarnation incarnation; ///< of the holder
        Time until;
    };
    struct Wish {
        PermitWanted wanted;
        Time sentAt;
        Time firstSentAt;
        std::uint32_t tries = 0;
    };

    void notify(Fingerprint fingerprint, SuspicionState before);
    void ask(Wish &wish);
    void answer(const PermitWanted &wanted, PermitRefusal refusal, Time until);
    PermitRefusal decide(const PermitRequest &request);
    void clear(Fingerprint fingerprint, const PoolId *pool);
    void takeAnswer(const PermitAnswer &message);
    Duration grace() const;

    Context &context_;
    const Members &members_;
    std::unordered_map<Fingerprint, std::vector<CrashMark>> marks_; ///< in order of endpoint and time
    std::vector<Grant> grants_; ///< decided here
    std::map<Fingerprint, Wish> wishes_; ///< asked for here, not answered yet
    std::map<Fingerprint, Time> held_; ///< granted to this VM, until when
    Time arbiterFrom_; ///< before it, permits given by another arbiter may still be out
};

} // namespace lacewing::fleet
