#include "zone_evacuations.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace lacewing::gateway
{

using userplatform::StoreRecord;

namespace
{

/** Selects the evacuations of an update. The topic also has desired states, which are large and not copied. */
struct EvacuationsOf {
    TopicUpdate operator()(const TopicChanges &changes) const
    {
        return TopicChanges { changes.start, changes.end, select(changes.records) };
    }
    TopicUpdate operator()(const TopicSnapshot &snapshot) const
    {
        return TopicSnapshot { snapshot.removalsStart, snapshot.end, select(snapshot.records) };
    }
    TopicUpdate operator()(const TopicExcerpt &excerpt) const
    {
        return TopicExcerpt { select(excerpt.records) };
    }

private:
    static std::vector<StoreRecord> select(const std::vector<StoreRecord> &records)
    {
        std::vector<StoreRecord> selected;
        std::copy_if(records.begin(), records.end(), std::back_inserter(selected), [](const StoreRecord &record) {
            return userplatform::evacuatedZone(record.key).has_value();
        });
        return selected;
    }
};

} // namespace

std::vector<ZoneEvacuation> ZoneEvacuations::apply(const TopicUpdate &update)
{
    std::set<std::string> evacuatedBefore;
    for (const auto &[key, record] : replica_.records()) {
        if (record.value) {
            evacuatedBefore.insert(key);
        }
    }
    std::set<std::string> changedKeys;
    for (const auto &record : replica_.apply(std::visit(EvacuationsOf(), update))) {
        changedKeys.insert(record.key);
    }
    std::vector<ZoneEvacuation> changes;
    for (const auto &key : changedKeys) {
        const StoreRecord &latest = replica_.records().at(key);
        if (latest.value.has_value() != evacuatedBefore.contains(key)) {
            changes.push_back({ *userplatform::evacuatedZone(key), latest.position, latest.value.has_value() });
        }
    }
    updateDigest();
    return changes;
}

bool ZoneEvacuations::isEvacuated(const AvailabilityZoneId &zone) const
{
    const auto found = replica_.records().find(userplatform::evacuationKey(zone));
    return found != replica_.records().end() && found->second.value;
}

std::size_t ZoneEvacuations::count() const
{
    return static_cast<std::size_t>(std::count_if(replica_.records().begin(),
                                                  replica_.records().end(),
                                                  [](const auto &item) { return item.second.value.has_value(); }));
}

void ZoneEvacuations::updateDigest()
{
    digest_ = 0;
    for (const auto &[key, record] : replica_.records()) {
        if (record.value) {
            const auto zone = userplatform::evacuatedZone(key);
            digest_ = hashBytes(zone->text(), digest_ ^ record.position.packed()) * 2 + 1;
        }
    }
}

} // namespace lacewing::gateway
