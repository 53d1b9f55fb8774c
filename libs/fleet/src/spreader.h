#pragma once

#include "fact_store.h"
#include "members.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lacewing::fleet
{

/** Where a batch of facts came from, which decides to whom it is passed on. */
struct Origin {
    VmId from; ///< empty: made here
    std::uint32_t hop = 0; ///< transmissions within the zone so far
    bool abroad = false; ///< has crossed zones already
};

/**
 * Passes new facts on: to random VMs of the own zone at once, and to other zones through the few VMs on which that
 * duty falls. What is missed is found by comparing hashes with the VM that is being probed, and fetched.
 */
class Spreader
{
public:
    Spreader(Context &context, const Members &members, FactStore &store);

    /** Passes on facts that were new here. */
    void spread(const std::vector<Fact> &facts, const Origin &origin);
    /** Starts a comparison when a peer's digest differs from the own. */
    void onDigest(const VmId &peer, std::uint64_t digest);

    void onBucketDigest(const BucketDigest &message);
    void onFactNames(const FactNames &message);
    void onFactRequest(const FactRequest &message);
    void onStateRequest(const StateRequest &message, bool complete);

    /** Whether this VM passes facts to another zone. */
    bool isBridge(const AvailabilityZoneId &zone) const;

private:
    Fanout fanout(std::uint32_t hop) const;
    void spreadInZone(const std::vector<Fact> &facts, const Origin &origin, const Fanout &fanout);
    void spreadAbroad(const std::vector<Fact> &facts);
    void sendFacts(const Member &to, const std::vector<Fact> &facts, std::uint32_t hop, bool abroad);
    bool isAbroad(const Member &member) const;

    Context &context_;
    const Members &members_;
    FactStore &store_;
    Time nextRepair_;
};

} // namespace lacewing::fleet
