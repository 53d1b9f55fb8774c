#include "fact_store.h"

namespace lacewing::fleet
{
namespace
{

/** Largest number of facts of each kind, in the order of Fact. */
constexpr std::array<std::size_t, std::variant_size_v<Fact>> maxFacts {
    4'096, // Member
    16'384, // EndpointLeaving
    16'384, // VmLeaving
    16'384, // CrashMark
    config::maxItems + 4'096, // ConfigFact, with tombstones
    4'096, // ConfigRejection
    4'096, // ConfigFrontier
    64, // ZoneLoad
    16'384, // EndpointStarted
};

/** Bits of a key that choose its group: the highest, so that a group's keys are adjacent. */
constexpr unsigned bucketShift = 57;
static_assert(digestBuckets == std::size_t(1) << (64U - bucketShift));

std::uint64_t mix(FactKey key, FactStamp stamp)
{
    const std::array<std::uint64_t, 2> fields { key.value(), stamp.value() };
    return hashBytes({ reinterpret_cast<const char *>(fields.data()), sizeof fields });
}

} // namespace

FactStore::FactStore(const Timing &timing)
    : timing_(timing)
{
}

std::size_t FactStore::bucketOf(FactKey key) noexcept
{
    return key.value() >> bucketShift;
}

bool FactStore::hasRoom(const Fact &fact) const
{
    return counts_[fact.index()] < maxFacts[fact.index()];
}

void FactStore::toggle(FactKey key, const Fact &fact)
{
    buckets_[bucketOf(key)] ^= mix(key, stampOf(fact));
}

Added FactStore::add(const Fact &fact, WallTime wall)
{
    const auto expiry = expiryOf(fact, timing_);
    if (expiry && *expiry <= wall) {
        return Added::Refused;
    }
    const FactKey key = keyOf(fact);
    const bool lasting = isLasting(fact);
    auto &facts = lasting ? lasting_ : passing_;
    const auto found = facts.find(key);
    if (found == facts.end()) {
        if (!hasRoom(fact)) {
            return Added::Refused;
        }
        facts.emplace(key, fact);
        ++counts_[fact.index()];
    } else {
        if (!supersedes(fact, found->second)) {
            return Added::Known;
        }
        if (lasting) {
            toggle(key, found->second);
        }
        found->second = fact;
    }
    if (lasting) {
        toggle(key, fact);
    }
    return Added::New;
}

const Fact *FactStore::find(FactKey key) const
{
    if (const auto found = lasting_.find(key); found != lasting_.end()) {
        return &found->second;
    }
    const auto found = passing_.find(key);
    return found != passing_.end() ? &found->second : nullptr;
}

std::vector<Fact> FactStore::expire(WallTime wall)
{
    std::vector<Fact> removed;
    for (auto *facts : { &lasting_, &passing_ }) {
        for (auto entry = facts->begin(); entry != facts->end();) {
            const auto expiry = expiryOf(entry->second, timing_);
            if (!expiry || *expiry > wall) {
                ++entry;
                continue;
            }
            if (facts == &lasting_) {
                toggle(entry->first, entry->second);
            }
            --counts_[entry->second.index()];
            removed.push_back(std::move(entry->second));
            entry = facts->erase(entry);
        }
    }
    return removed;
}

std::uint64_t FactStore::digest() const
{
    return hashBytes({ reinterpret_cast<const char *>(buckets_.data()), sizeof buckets_ });
}

std::vector<FactName> FactStore::namesIn(std::size_t bucket) const
{
    std::vector<FactName> names;
    const FactKey first(static_cast<std::uint64_t>(bucket) << bucketShift);
    for (auto entry = lasting_.lower_bound(first); entry != lasting_.end() && bucketOf(entry->first) == bucket;
         ++entry) {
        names.push_back({ entry->first, stampOf(entry->second) });
    }
    return names;
}

std::vector<Fact> FactStore::after(FactKey after, std::size_t count) const
{
    std::vector<Fact> facts;
    for (auto entry = lasting_.upper_bound(after); entry != lasting_.end() && facts.size() < count; ++entry) {
        facts.push_back(entry->second);
    }
    return facts;
}

bool FactStore::hasAfter(FactKey key) const
{
    return lasting_.upper_bound(key) != lasting_.end();
}

std::vector<ConfigFact> FactStore::configFacts() const
{
    std::vector<ConfigFact> facts;
    for (const auto &entry : lasting_) {
        if (const auto *fact = std::get_if<ConfigFact>(&entry.second)) {
            facts.push_back(*fact);
        }
    }
    return facts;
}

} // namespace lacewing::fleet
