#pragma once

#include "topic_replica.h"

#include <cstdint>
#include <vector>

namespace lacewing::gateway
{

/** What a record of the store says of an availability zone: that it is evacuated, or that it is returned. */
struct ZoneEvacuation {
    AvailabilityZoneId zone;
    userplatform::LogPosition position; ///< of the record
    bool isEvacuated = false;
};

/**
 * The operator's evacuations of availability zones, from updates of the operator's topic.
 *
 * A store that comes back from an older copy may lack an evacuation: that stays in force until the store says something
 * of the zone again. If the copy still has an evacuation that had ended, the zone is evacuated again, as nothing tells
 * that record from one that the operator has just written.
 */
class ZoneEvacuations
{
public:
    /** Applies an update; records of other keys are ignored. @return the zones that are evacuated or returned by it */
    std::vector<ZoneEvacuation> apply(const TopicUpdate &update);
    /** Moves the end of the replica to that of another VM with the same digest. */
    void advance(userplatform::LogPosition end)
    {
        replica_.advance(end);
    }

    const TopicReplica &replica() const noexcept
    {
        return replica_;
    }
    bool isEvacuated(const AvailabilityZoneId &zone) const;
    /** Returns the number of evacuated zones. */
    std::size_t count() const;
    /** Returns a hash of the evacuated zones, whose ends VMs know to different extents; 0 if there are none. */
    std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    void updateDigest();

    TopicReplica replica_ { RollbackPolicy::Keep }; ///< of the evacuations
    std::uint64_t digest_ = 0;
};

} // namespace lacewing::gateway
