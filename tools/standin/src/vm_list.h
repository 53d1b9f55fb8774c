#pragma once

#include <base/base.h>

#include <deque>
#include <map>
#include <string>

namespace lacewing::standin
{

/** One VM of the list, as in the JSON of GET /vms. */
struct Vm {
    std::string id;
    std::string kind; ///< "entry" or "endpoint"
    std::string pool;
    std::string zone;
    std::string region;
    std::string address;
    std::string incarnation; ///< hexadecimal
    std::string state; ///< "live" or "leaving"

    bool operator==(const Vm &) const = default;
};

/** The list of VMs: the truth, and what readers see of it some time later. */
class VmList
{
public:
    /** Puts a VM on the list or changes it there. */
    void put(const Vm &vm, Time now);
    /** Keeps an entry VM on the list. */
    void renew(const std::string &id, Time now);
    /** Takes entry VMs off that weren't renewed since. */
    void expire(Time renewedBefore, Time now);
    /** The list as it was at a time; times of successive calls don't go back. */
    const std::map<std::string, Vm> &asOf(Time time);

private:
    struct Change {
        Time at;
        std::string id;
        std::optional<Vm> vm; ///< empty: removed
    };

    std::map<std::string, Vm> current_;
    std::map<std::string, Time> renewedAt_; ///< of entry VMs
    std::deque<Change> changes_; ///< not yet seen by readers
    std::map<std::string, Vm> visible_;
};

} // namespace lacewing::standin
