#include <routing/routing.h>

#include <algorithm>

namespace lacewing::routing
{

EndpointDirectory::EndpointDirectory(Duration settleTime)
    : settleTime_(settleTime)
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
    record.missingUntil.reset();
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
    if (found == records_.end() || found->second.missingUntil) {
        return DirectoryChange::None;
    }
    if (found->second.isServing() && lapsedByOutage(now)) {
        found->second.missingUntil = lost_ ? Time::max() : *backAt_ + settleTime_;
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
    if (found != records_.end() && !found->second.rejected) {
        found->second.rejected = true;
        ++revision_;
    }
}

void EndpointDirectory::onRegistryLost(Time)
{
    lost_ = true;
}

void EndpointDirectory::onRegistryRestored(Time now)
{
    if (!lost_) {
        return;
    }
    lost_ = false;
    backAt_ = now;
    for (auto &[id, record] : records_) {
        if (record.missingUntil) {
            record.missingUntil = now + settleTime_;
        }
    }
}

std::size_t EndpointDirectory::expire(Time now)
{
    const auto dropped = std::erase_if(
        records_, [&](const auto &item) { return item.second.missingUntil <= now && item.second.missingUntil; });
    if (dropped > 0) {
        ++revision_;
    }
    return dropped;
}

std::optional<Time> EndpointDirectory::nextExpiry() const noexcept
{
    std::optional<Time> next;
    for (const auto &[id, record] : records_) {
        if (record.missingUntil && (!next || *record.missingUntil < *next)) {
            next = record.missingUntil;
        }
    }
    return next == Time::max() ? std::nullopt : next;
}

const std::vector<const EndpointEntry *> &EndpointDirectory::availableEndpoints(const ServiceId &service) const
{
    static const std::vector<const EndpointEntry *> none;
    if (indexedRevision_ != revision_) {
        index();
    }
    const auto found = servingByService_.find(service);
    return found == servingByService_.end() ? none : found->second;
}

void EndpointDirectory::index() const
{
    servingByService_.clear();
    for (const auto &[id, record] : records_) {
        if (record.isServing()) {
            servingByService_[record.entry.service].push_back(&record.entry);
        }
    }
    for (auto &[service, entries] : servingByService_) {
        std::sort(entries.begin(), entries.end(), [](const auto *a, const auto *b) { return a->id < b->id; });
    }
    indexedRevision_ = revision_;
}

const EndpointEntry *EndpointDirectory::find(const EndpointId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() || !found->second.isServing() ? nullptr : &found->second.entry;
}

std::size_t EndpointDirectory::size() const noexcept
{
    return records_.size();
}

bool EndpointDirectory::lapsedByOutage(Time now) const noexcept
{
    return lost_ || (backAt_ && now < *backAt_ + settleTime_);
}

} // namespace lacewing::routing
