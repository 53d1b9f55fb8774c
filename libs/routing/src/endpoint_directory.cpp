#include <routing/routing.h>

#include <algorithm>

namespace lacewing::routing
{
namespace
{

/** A copy of the registry is some seconds old, and an endpoint that is draining ends within minutes. */
constexpr Duration endedLifetimeRetention = std::chrono::minutes(10);
/** The registry removes an endpoint that is silent for three heartbeats, of up to 2 s each; and a margin. */
constexpr Duration rollbackHoldTime = std::chrono::seconds(10);
/** Time after which the registry tells of a lifetime that has ended: the endpoint is missing after three heartbeats of
 * up to 2 s, or registered with its next incarnation. */
constexpr Duration maxDoubtTime = std::chrono::seconds(7);
/** Time for which an older lifetime has to report, while the newer one does not, until it is believed: the registry may
 * execute a report some seconds late, and a lifetime reports every 2 s at least. */
constexpr Duration olderLifetimeTime = std::chrono::seconds(6);

} // namespace

std::string toText(const std::optional<SoftwareVersion> &version)
{
    return version ? version->text() : "unknown";
}

EndpointDirectory::EndpointDirectory(Duration gracePeriod)
    : gracePeriod_(gracePeriod)
{
}

DirectoryChange EndpointDirectory::update(const EndpointEntry &entry, Time now)
{
    const auto found = records_.find(entry.id);
    if (found == records_.end()) {
        return add(entry, now);
    }
    Record &record = found->second;
    if (record.entry.incarnation != entry.incarnation) {
        const bool isOlderCopy = registryRolledBackAt_ && now < *registryRolledBackAt_ + rollbackHoldTime
            && entry.incarnation < record.entry.incarnation;
        if (isOlderCopy || isLateReport(record, entry, now)) {
            return DirectoryChange::None;
        }
        recordEnd(record.entry, now);
        records_.erase(found);
        return add(entry, now);
    }
    record.olderLifetime.reset();
    record.removalDueAt.reset();
    const bool wasLeaving = record.entry.readiness == Readiness::Draining;
    EndpointEntry merged = entry;
    if (wasLeaving) {
        merged.readiness = Readiness::Draining;
    }
    setColdTime(merged, record.entry, now);
    if (merged == record.entry) {
        return DirectoryChange::None;
    }
    if (merged.softwareVersion != record.entry.softwareVersion || merged.service != record.entry.service) {
        recordEndedVersion(record.entry, now);
    }
    record.entry = merged;
    ++revision_;
    return !wasLeaving && merged.readiness == Readiness::Draining ? DirectoryChange::Draining
                                                                  : DirectoryChange::Updated;
}

/** Sets when an entry's cold time was told, so that a time that stays the same is no change unless it counts down. */
void EndpointDirectory::setColdTime(EndpointEntry &entry, const EndpointEntry &known, Time now) const
{
    const auto left = [](const EndpointEntry &told) { return told.coldTimeLeft.value_or(Duration::zero()); };
    const bool isRolledBack = registryRolledBackAt_ && now < *registryRolledBackAt_ + rollbackHoldTime;
    const bool isSame = entry.coldTimeLeft == known.coldTimeLeft && left(entry) == Duration::zero();
    const bool isOlder = isRolledBack && now + left(entry) < known.coldTimeToldAt + left(known);
    entry.coldTimeToldAt = isSame || isOlder ? known.coldTimeToldAt : now;
    entry.coldTimeLeft = isOlder ? known.coldTimeLeft : entry.coldTimeLeft;
}

/**
 * Returns whether an entry is a report of a former lifetime that the registry has executed late. Incarnations are times
 * of clocks that may be set back, so an older lifetime that keeps reporting is a new one.
 */
bool EndpointDirectory::isLateReport(Record &record, const EndpointEntry &entry, Time now)
{
    if (entry.incarnation >= record.entry.incarnation) {
        return false;
    }
    if (!record.olderLifetime || record.olderLifetime->first != entry.incarnation) {
        record.olderLifetime.emplace(entry.incarnation, now);
    }
    return now - record.olderLifetime->second < olderLifetimeTime;
}

DirectoryChange EndpointDirectory::remove(const EndpointId &id, Time now)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.removalDueAt) {
        return DirectoryChange::None;
    }
    if (found->second.isUsable() && isAffectedByOutage(now)) {
        found->second.removalDueAt = isRegistryLost_ ? Time::max() : *registryRestoredAt_ + gracePeriod_;
        return DirectoryChange::Updated;
    }
    recordEnd(found->second.entry, now);
    records_.erase(found);
    ++revision_;
    return DirectoryChange::Removed;
}

DirectoryChange EndpointDirectory::add(const EndpointEntry &entry, Time now)
{
    const auto heldUntil = holdTime(entry, now);
    Record &record = records_.emplace(entry.id, Record { entry, std::nullopt, false, heldUntil }).first->second;
    record.entry.coldTimeToldAt = now;
    const auto ended = endedLifetimes_.find(entry.id);
    if (ended != endedLifetimes_.end() && ended->second.incarnation == entry.incarnation && ended->second.wasDraining) {
        record.entry.readiness = Readiness::Draining;
    }
    ++revision_;
    if (heldUntil) {
        return DirectoryChange::Held;
    }
    return record.entry.readiness == Readiness::Ready ? DirectoryChange::Joined : DirectoryChange::Draining;
}

void EndpointDirectory::recordEnd(const EndpointEntry &entry, Time now)
{
    recordEnd(entry.lifetime(), entry.readiness == Readiness::Draining, now);
    recordEndedVersion(entry, now);
}

void EndpointDirectory::recordEndedVersion(const EndpointEntry &entry, Time now)
{
    addEndedVersion(entry.service, entry.softwareVersion, now);
}

void EndpointDirectory::addEndedVersion(const ServiceId &service,
                                        const std::optional<SoftwareVersion> &version,
                                        Time now)
{
    endedVersions_[{ service, version }] = now;
    ++revision_;
}

/** @return whether a version no longer counts */
bool EndpointDirectory::expireVersions(Time now)
{
    return std::erase_if(endedVersions_, [&](const auto &item) { return now - item.second >= versionRetention; }) > 0;
}

const std::set<std::optional<SoftwareVersion>> &EndpointDirectory::versions(const ServiceId &service) const
{
    static const std::set<std::optional<SoftwareVersion>> none;
    if (indexedRevision_ != revision_) {
        rebuildIndex();
    }
    const auto found = versionsByService_.find(service);
    return found != versionsByService_.end() ? found->second : none;
}

std::optional<SoftwareVersion> EndpointDirectory::soleVersion(const ServiceId &service) const
{
    if (indexedRevision_ != revision_) {
        rebuildIndex();
    }
    const auto found = versionsByService_.find(service);
    return found != versionsByService_.end() && found->second.size() == 1 ? *found->second.begin() : std::nullopt;
}

void EndpointDirectory::markDoubtful(const EndpointLifetime &lifetime, Time now)
{
    const auto [found, isNew] = doubts_.try_emplace(lifetime.endpoint);
    Doubt &doubt = found->second;
    if (lifetime.incarnation >= doubt.incarnation) {
        const bool isLasting = !isNew && lifetime.incarnation == doubt.incarnation && now - doubt.since < maxDoubtTime;
        doubt = { lifetime.incarnation, now, isLasting ? doubt.firstAt : now };
    }
}

void EndpointDirectory::clearDoubt(const EndpointLifetime &lifetime)
{
    const auto found = doubts_.find(lifetime.endpoint);
    if (found != doubts_.end() && found->second.incarnation == lifetime.incarnation) {
        doubts_.erase(found);
    }
}

bool EndpointDirectory::isCertain(const EndpointEntry &entry, Time now) const
{
    const auto found = doubts_.find(entry.id);
    if (found == doubts_.end() || found->second.incarnation != entry.incarnation) {
        return true;
    }
    // The registry can tell nothing while it does not respond.
    const Time since = std::max(found->second.since, registryRestoredAt_.value_or(found->second.since));
    return !isRegistryLost_ && now - since >= maxDoubtTime;
}

std::optional<Time> EndpointDirectory::doubtfulSince(const EndpointEntry &entry, Time now) const
{
    return isCertain(entry, now) ? std::nullopt : std::optional(doubts_.at(entry.id).firstAt);
}

void EndpointDirectory::recordEnd(const EndpointLifetime &lifetime, bool wasDraining, Time now)
{
    std::erase_if(endedLifetimes_,
                  [&](const auto &item) { return now - item.second.endedAt > endedLifetimeRetention; });
    EndedLifetime &ended = endedLifetimes_[lifetime.endpoint];
    if (lifetime.incarnation < ended.incarnation) {
        return;
    }
    const bool isSame = lifetime.incarnation == ended.incarnation;
    ended = { lifetime.incarnation, now, wasDraining || (isSame && ended.wasDraining) };
}

bool EndpointDirectory::markDraining(const EndpointLifetime &lifetime, Time now)
{
    const auto found = records_.find(lifetime.endpoint);
    if (found == records_.end()) {
        const auto ended = endedLifetimes_.find(lifetime.endpoint);
        const bool isKnown = ended != endedLifetimes_.end() && ended->second.incarnation >= lifetime.incarnation
            && ended->second.wasDraining;
        recordEnd(lifetime, true, now);
        return !isKnown;
    }
    EndpointEntry &entry = found->second.entry;
    if (entry.incarnation != lifetime.incarnation || entry.readiness == Readiness::Draining) {
        return false;
    }
    entry.readiness = Readiness::Draining;
    ++revision_;
    return true;
}

/** Returns until when an entry has to be held back; empty if it is believed. */
std::optional<Time> EndpointDirectory::holdTime(const EndpointEntry &entry, Time now) const
{
    const auto ended = endedLifetimes_.find(entry.id);
    const bool isHeld = registryRolledBackAt_ && now < *registryRolledBackAt_ + rollbackHoldTime
        && ended != endedLifetimes_.end() && entry.incarnation <= ended->second.incarnation;
    return isHeld ? std::optional(*registryRolledBackAt_ + rollbackHoldTime) : std::nullopt;
}

std::size_t EndpointDirectory::retain(const std::vector<EndpointId> &present, Time now)
{
    std::vector<EndpointId> absent;
    for (const auto &[id, record] : records_) {
        if (std::find(present.begin(), present.end(), id) == present.end()) {
            absent.push_back(id);
        }
    }
    for (const auto &id : absent) {
        remove(id, now);
    }
    return absent.size();
}

void EndpointDirectory::exclude(const EndpointId &id)
{
    const auto found = records_.find(id);
    if (found != records_.end() && !found->second.isExcluded) {
        found->second.isExcluded = true;
        ++revision_;
    }
}

void EndpointDirectory::onRegistryLost(Time)
{
    isRegistryLost_ = true;
}

void EndpointDirectory::onRegistryRestored(Time now)
{
    if (!isRegistryLost_) {
        return;
    }
    isRegistryLost_ = false;
    registryRestoredAt_ = now;
    for (auto &[id, record] : records_) {
        if (record.removalDueAt) {
            record.removalDueAt = now + gracePeriod_;
        }
    }
}

void EndpointDirectory::onRegistryRolledBack(Time now)
{
    registryRolledBackAt_ = now;
    if (!isRegistryLost_) {
        // Live endpoints that the copy does not list yet register again, as after an outage.
        registryRestoredAt_ = now;
    }
}

bool EndpointDirectory::evacuateZone(const AvailabilityZoneId &zone)
{
    const bool isNew = evacuatedZones_.insert(zone).second;
    zoneReturns_.erase(zone);
    revision_ += isNew ? 1 : 0;
    return isNew;
}

bool EndpointDirectory::returnZone(const AvailabilityZoneId &zone, Time now)
{
    if (evacuatedZones_.erase(zone) == 0) {
        return false;
    }
    zoneReturns_[zone] = now;
    ++revision_;
    return true;
}

bool EndpointDirectory::isEvacuated(const AvailabilityZoneId &zone) const
{
    return evacuatedZones_.contains(zone);
}

bool EndpointDirectory::isEvacuated(const ServiceId &service) const
{
    return !evacuatedZones_.empty() && availableEndpoints(service).empty()
        && std::any_of(records_.begin(), records_.end(), [&](const auto &item) {
               return item.second.entry.service == service && item.second.isUsable();
           });
}

std::optional<Time> EndpointDirectory::returnedAt(const AvailabilityZoneId &zone) const
{
    const auto found = zoneReturns_.find(zone);
    return found == zoneReturns_.end() ? std::nullopt : std::optional(found->second);
}

std::size_t EndpointDirectory::endpointsIn(const AvailabilityZoneId &zone) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [&](const auto &item) { return item.second.entry.zone == zone; }));
}

EndpointDirectory::Expiry EndpointDirectory::expire(Time now)
{
    std::erase_if(zoneReturns_, [&](const auto &item) { return now - item.second >= returnRetention; });
    Expiry expiry;
    for (auto it = records_.begin(); it != records_.end();) {
        Record &record = it->second;
        if (record.heldUntil && *record.heldUntil <= now) {
            record.heldUntil.reset();
            expiry.released += record.isUsable() ? 1 : 0;
        }
        if (record.removalDueAt && *record.removalDueAt <= now) {
            recordEnd(record.entry, now);
            it = records_.erase(it);
            ++expiry.removed;
        } else {
            ++it;
        }
    }
    std::erase_if(doubts_, [&](const auto &item) {
        return !isRegistryLost_ && now - item.second.since >= maxDoubtTime + endedLifetimeRetention;
    });
    if (expireVersions(now) || expiry.removed + expiry.released > 0) {
        ++revision_;
    }
    return expiry;
}

std::optional<Time> EndpointDirectory::nextExpiry() const noexcept
{
    Time next = Time::max();
    for (const auto &[id, record] : records_) {
        next = std::min({ next, record.removalDueAt.value_or(Time::max()), record.heldUntil.value_or(Time::max()) });
    }
    return next == Time::max() ? std::nullopt : std::optional(next);
}

const std::vector<const EndpointEntry *> &EndpointDirectory::availableEndpoints(const ServiceId &service) const
{
    static const std::vector<const EndpointEntry *> noEndpoints;
    if (indexedRevision_ != revision_) {
        rebuildIndex();
    }
    const auto found = availableByService_.find(service);
    return found == availableByService_.end() ? noEndpoints : found->second;
}

void EndpointDirectory::rebuildIndex() const
{
    availableByService_.clear();
    versionsByService_.clear();
    for (const auto &[key, endedAt] : endedVersions_) {
        versionsByService_[key.first].insert(key.second);
    }
    for (const auto &[id, record] : records_) {
        versionsByService_[record.entry.service].insert(record.entry.softwareVersion);
        if (isAvailable(record)) {
            availableByService_[record.entry.service].push_back(&record.entry);
        }
    }
    for (auto &[service, entries] : availableByService_) {
        std::sort(entries.begin(), entries.end(), [](const auto *a, const auto *b) { return a->id < b->id; });
    }
    indexedRevision_ = revision_;
}

bool EndpointDirectory::hasEnded(const EndpointLifetime &lifetime) const
{
    const auto found = records_.find(lifetime.endpoint);
    return found == records_.end() || found->second.entry.incarnation != lifetime.incarnation;
}

const EndpointEntry *EndpointDirectory::find(const EndpointId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() || !isAvailable(found->second) ? nullptr : &found->second.entry;
}

std::size_t EndpointDirectory::size() const noexcept
{
    return records_.size();
}

bool EndpointDirectory::isAvailable(const Record &record) const
{
    return record.isUsable() && !evacuatedZones_.contains(record.entry.zone);
}

bool EndpointDirectory::isAffectedByOutage(Time now) const noexcept
{
    return isRegistryLost_ || (registryRestoredAt_ && now < *registryRestoredAt_ + gracePeriod_);
}

} // namespace lacewing::routing
