#pragma once

#include "members.h"

#include <map>
#include <vector>

namespace lacewing::fleet
{

/**
 * Finds out which VMs of the own zone live, by probing one after the other in random order: directly, then through
 * others, then by suspicion, which the suspect can refute (SWIM; Das, Gupta and Motivala, 2002). Changes of
 * membership travel on the probes and their answers.
 */
class Prober
{
public:
    Prober(Context &context, const Members &members, Time now);

    /** Does what is due. */
    void tick(std::uint64_t digest);
    Time nextWake() const;

    /** Answers a probe. */
    void onProbe(const Probe &probe, std::uint64_t digest);
    /** Probes a VM for another one. */
    void onProbeRequest(const ProbeRequest &request, std::uint64_t digest);
    /** Ends a probe that was answered, or passes the answer on. */
    void onProbeAck(const ProbeAck &ack);
    /** Takes any message as a sign of life of its sender; tells a sender that is thought suspect or dead. */
    void onSignOfLife(const Sender &sender);

    /** Probes a VM of another zone, to compare facts; no suspicion follows. */
    void probeAbroad(const Member &member, std::uint64_t digest);
    /** Notes that a member changed, so that the change travels on probes and a suspicion is timed. */
    void onMemberChanged(const Member &member);

private:
    struct Pending {
        VmId target;
        Time sentAt;
        bool indirect = false; ///< others were asked
        bool judged = true; ///< no answer leads to a suspicion
    };
    struct Relay {
        VmId requester;
        std::uint64_t sequence = 0;
        Time sentAt;
    };

    void forgiveOwnPause();
    void startProbe(std::uint64_t digest);
    void checkPending();
    void checkSuspicions();
    void suspect(const VmId &vm);
    void askOthers(std::uint64_t sequence, const VmId &target);
    void sendProbe(const Member &member, std::uint64_t sequence, std::uint64_t digest);
    std::vector<Member> takeUpdates(const VmId &to);
    std::uint32_t transmissions() const;

    Context &context_;
    const Members &members_;
    Time nextProbe_;
    Time lastTick_;
    std::uint64_t sequence_ = 0;
    std::vector<VmId> order_; ///< VMs still to be probed in this round
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::uint64_t, Relay> relays_;
    std::map<VmId, Time> suspicionEnds_;
    std::map<VmId, std::uint32_t> updates_; ///< transmissions left of each recent change
};

} // namespace lacewing::fleet
