#include <membership/membership.h>

#include <algorithm>
#include <tuple>

namespace lacewing::membership
{
namespace
{

/** Time without a rise of its beat after which a view says nothing any more: a view passes three VMs on its way, each
 * of which may hold it for a round. */
constexpr Duration viewTimeout = std::chrono::milliseconds(1500);
/** Time after which a view says nothing any more of the root itself. That the root is live depends on the other root of
 * its zone then. */
constexpr Duration rootTimeout = std::chrono::milliseconds(740);
/** A digest may differ while a change is on its way. */
constexpr Duration differenceTolerance = std::chrono::milliseconds(500);

} // namespace

bool ZoneDirectory::update(MemberRecord record, const VmId &source)
{
    Record &known = records_[record.vm];
    const bool isNewer = known.change == 0
        || std::tie(record.epoch, record.revision) > std::tie(known.record.epoch, known.record.revision);
    if (isNewer) {
        recordsByChange_.erase(known.change);
        known = { std::move(record), ++lastChange_, source };
        recordsByChange_[known.change] = known.record.vm;
    }
    return isNewer;
}

ZoneDirectory::View &ZoneDirectory::viewOf(const AvailabilityZoneId &zone, const VmId &root)
{
    View &view = views_[{ zone, root }];
    view.view.zone = zone;
    view.view.root = root;
    view.list.zone = zone;
    view.list.root = root;
    return view;
}

bool ZoneDirectory::update(const ZoneView &view, const VmId &source, Time now)
{
    View &known = viewOf(view.zone, view.root);
    const bool isNewer =
        known.viewChange == 0 || std::tie(view.epoch, view.beat) > std::tie(known.view.epoch, known.view.beat);
    if (isNewer) {
        known.view = view;
        known.advancedAt = now;
        known.viewChange = ++lastChange_;
        known.viewSource = source;
    }
    return isNewer;
}

bool ZoneDirectory::update(ZoneList list, const VmId &source, Time now)
{
    View &known = viewOf(list.zone, list.root);
    const bool isNewer =
        known.listChange == 0 || std::tie(list.epoch, list.revision) > std::tie(known.list.epoch, known.list.revision);
    if (isNewer) {
        known.list = std::move(list);
        known.listChange = ++lastChange_;
        known.listSource = source;
        if (known.viewChange == 0) {
            known.advancedAt = now; // its view follows
        }
    }
    return isNewer;
}

void ZoneDirectory::remove(const VmId &vm)
{
    if (const auto found = records_.find(vm); found != records_.end()) {
        recordsByChange_.erase(found->second.change);
        records_.erase(found);
    }
}

void ZoneDirectory::removeView(const AvailabilityZoneId &zone, const VmId &root)
{
    views_.erase({ zone, root });
}

void ZoneDirectory::shift(Duration pause)
{
    for (auto &[key, view] : views_) {
        view.advancedAt += pause;
    }
}

bool ZoneDirectory::isFresh(const View &view, Time now) const noexcept
{
    return view.listChange != 0 && now - view.advancedAt < viewTimeout;
}

bool ZoneDirectory::hasFreshView(const AvailabilityZoneId &zone, Time now) const
{
    return std::any_of(views_.begin(), views_.end(), [&](const auto &item) {
        return item.first.first == zone && isFresh(item.second, now);
    });
}

std::set<VmId> ZoneDirectory::live(Time now) const
{
    std::set<VmId> live;
    for (const auto &[key, view] : views_) {
        if (!isFresh(view, now)) {
            continue;
        }
        const bool isRootHeard = now - view.advancedAt < rootTimeout;
        for (const auto &vm : view.list.live) {
            if (isRootHeard || vm != key.second) {
                live.insert(vm);
            }
        }
    }
    return live;
}

std::uint64_t ZoneDirectory::liveSignature(Time now) const
{
    std::uint64_t signature = 1;
    for (const auto &[key, view] : views_) {
        const bool isRootHeard = now - view.advancedAt < rootTimeout;
        const std::uint64_t state = isFresh(view, now) ? view.listChange * 2 + (isRootHeard ? 1 : 0) : 0;
        signature = signature * 1'000'003 + state;
    }
    return signature != 0 ? signature : 1;
}

std::uint64_t ZoneDirectory::digestOf(const ZoneList &list) const
{
    std::uint64_t digest = list.revision;
    for (const auto &vm : list.live) {
        const auto found = records_.find(vm);
        const auto &record = found != records_.end() ? found->second.record : MemberRecord();
        // Independent of the order of the VMs.
        digest ^= hashBytes(vm.text(), record.epoch * 31 + record.revision);
    }
    return digest;
}

std::map<VmId, std::vector<AvailabilityZoneId>> ZoneDirectory::findLacking(Time now)
{
    std::map<VmId, std::vector<AvailabilityZoneId>> lacking;
    for (auto &[key, view] : views_) {
        if (!isFresh(view, now) && now - view.advancedAt >= viewTimeout) {
            view.differsSince.reset();
            continue;
        }
        const bool differs = view.view.epoch != view.list.epoch || view.view.listRevision != view.list.revision
            || view.view.digest != digestOf(view.list);
        if (!differs) {
            view.differsSince.reset();
        } else if (!view.differsSince) {
            view.differsSince = now;
        } else if (now - *view.differsSince >= differenceTolerance) {
            lacking[view.viewSource].push_back(key.first);
            view.differsSince = now;
        }
    }
    return lacking;
}

} // namespace lacewing::membership
