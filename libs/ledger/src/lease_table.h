#pragma once

#include "tags.h"

namespace lacewing::ledger
{

/** What a lease record asks for. */
enum class LeaseAction : std::uint8_t { Take, Renew, Release };

/** A record of the lease stream. */
struct LeaseRecord {
    LeaseAction action = LeaseAction::Take;
    LeaseName name;
    VmId vm;
    Incarnation incarnation;
    std::uint64_t number = 0; ///< of the record within its writer
    LogOffset previous; ///< the last accepted record of the lease, as its writer had read; 0: none
    FencingNumber fencing; ///< of the lease that is renewed or released

    LACEWING_MEMBERS(action, name, vm, incarnation, number, previous, fencing)
};

/** Decides which lease records are accepted, by the order of the log alone. */
class LeaseTable
{
public:
    /** The last accepted record of a lease. */
    struct Entry {
        LogOffset offset;
        WallTime appendedAt;
        LeaseHolder holder;
        bool isReleased = false;
    };

    explicit LeaseTable(Duration forgetAfter)
        : forgetAfter_(forgetAfter)
    {
    }

    /** Takes the next record. @return whether it is accepted */
    bool add(const LeaseRecord &record, LogOffset offset, WallTime appendedAt)
    {
        const auto found = entries_.find(record.name);
        if (offset == LogOffset(0) || (found != entries_.end() && !follows(record, found->second, appendedAt))) {
            return false;
        }
        const bool isTake = record.action == LeaseAction::Take;
        const FencingNumber fencing = isTake ? FencingNumber(offset.value()) : record.fencing;
        entries_[record.name] = Entry {
            offset, appendedAt, { record.vm, record.incarnation, fencing }, record.action == LeaseAction::Release
        };
        return true;
    }

    const Entry *find(const LeaseName &name) const
    {
        const auto found = entries_.find(name);
        return found == entries_.end() ? nullptr : &found->second;
    }

private:
    bool follows(const LeaseRecord &record, const Entry &last, WallTime appendedAt) const
    {
        if (record.previous == last.offset) {
            return true;
        }
        return appendedAt - last.appendedAt > forgetAfter_;
    }

    Duration forgetAfter_;
    std::map<LeaseName, Entry> entries_;
};

} // namespace lacewing::ledger
