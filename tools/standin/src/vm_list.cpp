#include "vm_list.h"

#include <vector>

namespace lacewing::standin
{

void VmList::put(const Vm &vm, Time now)
{
    const auto found = current_.find(vm.id);
    if (found != current_.end() && found->second == vm) {
        return;
    }
    current_[vm.id] = vm;
    changes_.push_back({ now, vm.id, vm });
}

void VmList::renew(const std::string &id, Time now)
{
    renewedAt_[id] = now;
}

void VmList::expire(Time renewedBefore, Time now)
{
    std::vector<std::string> expired;
    for (const auto &[id, renewedAt] : renewedAt_) {
        if (renewedAt < renewedBefore) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        renewedAt_.erase(id);
        current_.erase(id);
        changes_.push_back({ now, id, std::nullopt });
    }
}

const std::map<std::string, Vm> &VmList::asOf(Time time)
{
    while (!changes_.empty() && changes_.front().at <= time) {
        const Change &change = changes_.front();
        if (change.vm) {
            visible_[change.id] = *change.vm;
        } else {
            visible_.erase(change.id);
        }
        changes_.pop_front();
    }
    return visible_;
}

} // namespace lacewing::standin
