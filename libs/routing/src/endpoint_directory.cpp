#include <routing/routing.h>

#include <algorithm>

namespace lacewing::routing
{

EndpointDirectory::EndpointDirectory(Duration gracePeriod)
    : gracePeriod_(gracePeriod)
{
}

DirectoryChange EndpointDirectory::update(const EndpointEntry &entry, Time)
{
    const auto found = records_.find(entry.id);
    if (found == records_.end()) {
        records_.emplace(entry.id, Record { entry, std::nullopt, false });
        ++revision_;
        return entry.readiness == Readiness::Ready ? DirectoryChange::Joined : DirectoryChange::Draining;
    }
    Record &record = found->second;
    record.removalDueAt.reset();
    if (record.entry.incarnation != entry.incarnation) {
        record = Record { entry, std::nullopt, false };
        ++revision_;
        return entry.readiness == Readiness::Ready ? DirectoryChange::Joined : DirectoryChange::Draining;
    }
    const bool wasLeaving = record.entry.readiness == Readiness::Draining;
    EndpointEntry merged = entry;
    if (wasLeaving) {
        merged.readiness = Readiness::Draining;
    }
    if (merged == record.entry) {
        return DirectoryChange::None;
    }
    record.entry = merged;
    ++revision_;
    return !wasLeaving && merged.readiness == Readiness::Draining ? DirectoryChange::Draining
                                                                  : DirectoryChange::Updated;
}

DirectoryChange EndpointDirectory::remove(const EndpointId &id, Time now)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.removalDueAt) {
        return DirectoryChange::None;
    }
    if (found->second.isAvailable() && isAffectedByOutage(now)) {
        found->second.removalDueAt = isRegistryLost_ ? Time::max() : *registryRestoredAt_ + gracePeriod_;
        return DirectoryChange::Updated;
    }
    records_.erase(found);
    ++revision_;
    return DirectoryChange::Removed;
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

std::size_t EndpointDirectory::expire(Time now)
{
    const auto removed = std::erase_if(
        records_, [&](const auto &item) { return item.second.removalDueAt <= now && item.second.removalDueAt; });
    if (removed > 0) {
        ++revision_;
    }
    return removed;
}

std::optional<Time> EndpointDirectory::nextExpiry() const noexcept
{
    std::optional<Time> next;
    for (const auto &[id, record] : records_) {
        if (record.removalDueAt && (!next || *record.removalDueAt < *next)) {
            next = record.removalDueAt;
        }
    }
    return next == Time::max() ? std::nullopt : next;
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
    for (const auto &[id, record] : records_) {
        if (record.isAvailable()) {
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
    return found == records_.end() || !found->second.isAvailable() ? nullptr : &found->second.entry;
}

std::size_t EndpointDirectory::size() const noexcept
{
    return records_.size();
}

bool EndpointDirectory::isAffectedByOutage(Time now) const noexcept
{
    return isRegistryLost_ || (registryRestoredAt_ && now < *registryRestoredAt_ + gracePeriod_);
}

} // namespace lacewing::routing
