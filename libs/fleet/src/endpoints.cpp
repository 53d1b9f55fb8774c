#include "endpoints.h"

#include <algorithm>

namespace lacewing::fleet
{
namespace
{

/** After so many intervals without a report of the first watcher, the next one tells the zone. */
constexpr int silentShares = 2;
/** A watcher's word on whether an endpoint can be reached counts for so many intervals. */
constexpr int verdictShares = 4;

/** Heavy workspaces, which change slowly, are told with one of so many shares. */
constexpr int usageShares = 3;

/** Sorts by weight and cuts what is over the bound. */
void keepHeaviest(std::vector<WorkspaceUsage> &usage)
{
    std::stable_sort(usage.begin(), usage.end(), [](const WorkspaceUsage &left, const WorkspaceUsage &right) {
        return left.slotMilliseconds > right.slotMilliseconds;
    });
    usage.resize(std::min(usage.size(), maxHeavyWorkspaces));
}

} // namespace

Endpoints::Endpoints(Context &context, const Members &members, Time now)
    : context_(context)
    , members_(members)

    , nextShare_(now + context.random.jitter(context.timing().shareInterval, 0.5))
    , nextSummary_(now + context.random.jitter(context.timing().summaryInterval, 0.5))
{
}

Time Endpoints::nextWake() const
{
    return std::min(nextShare_, nextSummary_);
}

void Endpoints::tick()
{
    if (context_.now >= nextShare_) {
        nextShare_ = context_.now + context_.random.jitter(context_.timing().shareInterval, 0.1);
        share(true);
    } else if (urgent_) {
        share(false);
    }
    if (context_.now >= nextSummary_) {
        nextSummary_ = context_.now + context_.timing().summaryInterval;
        forgetOld();
        summarize();
    }
}

bool Endpoints::hasMark(const EndpointId &endpoint, Incarnation incarnation) const
{
    const auto found = marks_.find(endpoint);
    return found != marks_.end() && found->second.contains(incarnation);
}

bool Endpoints::isMarked(const Entry &entry) const
{
    // Without a known incarnation any mark counts: better no work than work for an endpoint that leaves.
    const bool unknown = entry.incarnation == Incarnation();
    return unknown ? marks_.contains(entry.listed.endpoint) : hasMark(entry.listed.endpoint, entry.incarnation);
}

void Endpoints::markLeaving(const EndpointId &endpoint, Incarnation incarnation)
{
    if (!hasMark(endpoint, incarnation)) {
        context_.originate(EndpointLeaving { endpoint, incarnation, context_.wall });
    }
}

void Endpoints::setIncarnation(Entry &entry, Incarnation incarnation)
{
    if (incarnation == Incarnation() || incarnation == entry.incarnation) {
        return;
    }
    const EndpointId &endpoint = entry.listed.endpoint;
    const bool wasUnknown = entry.incarnation == Incarnation();
    entry.incarnation = incarnation;
    entry.incarnationSince = context_.wall;
    entry.leaving = isMarked(entry);
    if (wasUnknown && hasMark(endpoint, Incarnation())) {
        markLeaving(endpoint, incarnation);
    }
    if (entry.watchRank != 0 && !entry.leaving && marks_.contains(endpoint)) {
        context_.originate(EndpointStarted { endpoint, incarnation, context_.wall });
    }
}

void Endpoints::onList(const PlatformList &list)
{
    std::set<EndpointId> present;
    for (const ListedEndpoint &listed : list.endpoints) {
        present.insert(listed.endpoint);
        Entry &entry = entries_[listed.endpoint];
        const bool moved = entry.listed.address != listed.address;
        const bool known = entry.incarnation != Incarnation();
        entry.listed = listed;
        if (!entry.load || !isFresh(entry.measuredAt)) {
            setIncarnation(entry, listed.incarnation);
        }
        if (const auto start = starts_.find(listed.endpoint); start != starts_.end() && !known) {
            setIncarnation(entry, start->second);
        }
        entry.leaving = isMarked(entry);
        if (moved && entry.watchRank != 0) {
            updateWatch(entry, 0);
        }
        // A list that is older than the incarnation speaks of an earlier one.
        const bool speaksOfThis =
            listed.incarnation == Incarnation() ? !known || list.asOf > entry.incarnationSince : true;
        if (listed.leaving && speaksOfThis) {
            markLeaving(listed.endpoint, listed.incarnation == Incarnation() ? entry.incarnation : listed.incarnation);
        }
    }
    std::erase_if(entries_, [&](const auto &item) {
        const Entry &entry = item.second;
        const bool reports = entry.load && isFresh(entry.measuredAt);
        if (present.contains(item.first) || (reports && isReachable(entry))) {
            return false;
        }
        if (entry.watchRank != 0) {
            context_.effects.emplace_back(UnwatchEndpoint { item.first });
        }
        return true;
    });
    onMembersChanged();
}

bool Endpoints::isFresh(Time at) const
{
    return context_.now - at <= verdictShares * context_.timing().shareInterval;
}

bool Endpoints::isUsageFresh(Time at) const
{
    return context_.now - at <= (2 * usageShares + 1) * context_.timing().shareInterval;
}

void Endpoints::forgetOld()
{
    std::erase_if(usage_, [&](const auto &item) { return !isUsageFresh(item.second.first); });
    for (auto &item : entries_) {
        std::erase_if(item.second.verdicts, [&](const auto &verdict) { return !isFresh(verdict.second.at); });
    }
}

void Endpoints::onMembersChanged()
{
    for (auto &[id, entry] : entries_) {
        if (entry.listed.zone != context_.settings.zone) {
            continue;
        }
        const auto chosen = members_.choose(id.text(), context_.settings.watchers);
        const auto self = std::find(chosen.begin(), chosen.end(), context_.settings.vm);
        updateWatch(entry, self == chosen.end() ? 0 : static_cast<std::size_t>(self - chosen.begin()) + 1);
    }
}

void Endpoints::updateWatch(Entry &entry, std::size_t rank)
{
    if (entry.watchRank == 0 && rank != 0) {
        context_.effects.emplace_back(WatchEndpoint { entry.listed.endpoint, entry.listed.address });
    }
    if (entry.watchRank != 0 && rank == 0) {
        context_.effects.emplace_back(UnwatchEndpoint { entry.listed.endpoint });
        entry.own.reset();
        entry.urgent = false;
    }
    entry.watchRank = rank;
}

void Endpoints::take(Entry &entry, const EndpointLoad &load, const VmId &from)
{
    const Time measuredAt = context_.now - load.age;
    entry.verdicts[from] = { load.reachable, context_.now };
    if (!load.reachable) {
        return;
    }
    if (entry.load && measuredAt < entry.measuredAt) {
        return;
    }
    setIncarnation(entry, load.incarnation);
    entry.load = load;
    entry.load->age = Duration();
    entry.measuredAt = measuredAt;
}

void Endpoints::onReport(const EndpointReport &report)
{
    const auto found = entries_.find(report.load.endpoint);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    const bool changed = !entry.own || entry.own->reachable != report.load.reachable
        || entry.own->incarnation != report.load.incarnation || entry.own->leaving != report.load.leaving;
    entry.own = report.load;
    entry.ownAt = context_.now;
    entry.urgent = entry.urgent || changed;
    urgent_ = urgent_ || entry.urgent;
    take(entry, report.load, context_.settings.vm);
    if (report.load.reachable && report.load.leaving) {
        markLeaving(report.load.endpoint, entry.incarnation);
    }
}

void Endpoints::onLoadShare(const LoadShare &share)
{
    for (const EndpointLoad &load : share.endpoints) {
        const auto found = entries_.find(load.endpoint);
        if (found != entries_.end()) {
            found->second.heardAt = context_.now;
            take(found->second, load, share.from.vm);
        }
    }
    if (!share.heavy.empty()) {
        auto &usage = usage_[share.from.vm];
        usage = { context_.now, share.heavy };
        usage.second.resize(std::min(share.heavy.size(), maxHeavyWorkspaces));
    }
}

void Endpoints::onUsage(const UsageMeasured &usage)
{
    ownUsage_ = usage.heaviest;
    keepHeaviest(ownUsage_);
}

void Endpoints::onMark(const MarkEndpointLeaving &mark)
{
    const Incarnation known = incarnation(mark.endpoint);
    markLeaving(mark.endpoint, mark.incarnation == Incarnation() ? known : mark.incarnation);
}

void Endpoints::onLeavingRemoved(const EndpointLeaving &mark)
{
    const auto found = marks_.find(mark.endpoint);
    if (found == marks_.end()) {
        return;
    }
    found->second.erase(mark.incarnation);
    if (found->second.empty()) {
        marks_.erase(found);
        starts_.erase(mark.endpoint);
    }
    if (const auto entry = entries_.find(mark.endpoint); entry != entries_.end()) {
        entry->second.leaving = isMarked(entry->second);
    }
}

void Endpoints::onStartStored(const EndpointStarted &start)
{
    starts_[start.endpoint] = start.incarnation;
    const auto found = entries_.find(start.endpoint);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    const bool reports = entry.load && isFresh(entry.measuredAt);
    if (!reports) {
        setIncarnation(entry, start.incarnation);
    }
}

void Endpoints::onLeavingStored(const EndpointLeaving &mark)
{
    marks_[mark.endpoint].insert(mark.incarnation);
    const auto found = entries_.find(mark.endpoint);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    entry.leaving = isMarked(entry);
    if (!entry.leaving && mark.incarnation == Incarnation() && mark.at > entry.incarnationSince) {
        markLeaving(mark.endpoint, entry.incarnation);
    }
}

Incarnation Endpoints::incarnation(const EndpointId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found != entries_.end() ? found->second.incarnation : Incarnation();
}

bool Endpoints::mustTell(const Entry &entry, bool regular) const
{
    if (entry.watchRank == 0 || !entry.own) {
        return false;
    }
    if (entry.watchRank == 1) {
        return regular || entry.urgent;
    }
    const Duration silence = context_.now - entry.heardAt;
    if (regular && silence > silentShares * context_.timing().shareInterval) {
        return true;
    }
    const bool disagrees = std::any_of(entry.verdicts.begin(), entry.verdicts.end(), [&](const auto &verdict) {
        return verdict.first != context_.settings.vm && verdict.second.reachable != entry.own->reachable;
    });
    return disagrees && (regular || entry.urgent);
}

void Endpoints::share(bool regular)
{
    const bool withUsage = regular && shares_++ % usageShares == 0;
    LoadShare message { context_.sender(), {}, withUsage ? ownUsage_ : std::vector<WorkspaceUsage>() };
    for (auto &entry : entries_) {
        if (mustTell(entry.second, regular)) {
            message.endpoints.push_back(*entry.second.own);
            message.endpoints.back().age += context_.now - entry.second.ownAt;
        }
        entry.second.urgent = false;
    }
    urgent_ = false;
    if (message.endpoints.empty() && message.heavy.empty()) {
        return;
    }

    for (const Member *peer : members_.zonePeers()) {
        context_.send(*peer, message);
    }
}

void Endpoints::summarize()
{
    if (!members_.isChosen("summary", 1)) {
        return;
    }
    ZoneLoad summary { context_.settings.zone, context_.wall, {}, heaviest() };
    std::map<PoolId, PoolLoad> pools;
    for (const auto &item : entries_) {
        const Entry &entry = item.second;
        if (entry.listed.zone != context_.settings.zone || !entry.load || state(entry) != EndpointState::Live) {
            continue;
        }
        PoolLoad &pool = pools[entry.listed.pool];
        pool.pool = entry.listed.pool;
        ++pool.endpoints;
        pool.slots += entry.load->slots;
        pool.running += entry.load->running;
        pool.queued += entry.load->queued;
    }
    for (auto &pool : pools) {
        summary.pools.push_back(std::move(pool.second));
    }
    context_.originate(std::move(summary));
}

bool Endpoints::isReachable(const Entry &entry) const
{
    bool anyFresh = false;
    for (const auto &item : entry.verdicts) {
        if (!isFresh(item.second.at)) {
            continue;
        }
        if (item.second.reachable) {
            return true;
        }
        anyFresh = true;
    }
    return !anyFresh;
}

EndpointState Endpoints::state(const Entry &entry) const
{
    if (!isReachable(entry)) {
        return EndpointState::Dead;
    }
    return entry.leaving ? EndpointState::Leaving : EndpointState::Live;
}

std::vector<EndpointView> Endpoints::views() const
{
    std::vector<EndpointView> views;
    views.reserve(entries_.size());
    for (const auto &[id, entry] : entries_) {
        views.push_back({ id,
                          entry.listed.pool,
                          entry.listed.zone,
                          entry.listed.address,
                          entry.incarnation,
                          state(entry),
                          entry.load,
                          entry.measuredAt });
    }
    return views;
}

std::vector<WorkspaceUsage> Endpoints::heaviest() const
{
    std::map<WorkspaceId, std::uint32_t> sums;
    for (const WorkspaceUsage &usage : ownUsage_) {
        sums[usage.workspace] += usage.slotMilliseconds;
    }
    for (const auto &item : usage_) {
        if (!isUsageFresh(item.second.first)) {
            continue;
        }
        for (const WorkspaceUsage &usage : item.second.second) {
            sums[usage.workspace] += usage.slotMilliseconds;
        }
    }
    std::vector<WorkspaceUsage> heavy;
    for (const auto &[workspace, sum] : sums) {
        heavy.push_back({ workspace, sum });
    }
    keepHeaviest(heavy);
    return heavy;
}

} // namespace lacewing::fleet
