#include "facts.h"

namespace lacewing::fleet
{
namespace
{

/** Hashes fields one after the other. */
class Hasher
{
public:
    Hasher &add(std::string_view text) noexcept
    {
        hash_ = hashBytes(text, hash_ + text.size());
        return *this;
    }
    Hasher &add(std::uint64_t value) noexcept
    {
        return add(std::string_view(reinterpret_cast<const char *>(&value), sizeof value));
    }
    Hasher &add(WallTime time) noexcept
    {
        return add(static_cast<std::uint64_t>(time.time_since_epoch().count()));
    }
    std::uint64_t value() const noexcept
    {
        return hash_;
    }

private:
    std::uint64_t hash_ = 0;
};

std::uint64_t keyHash(const Member &fact)
{
    return Hasher().add("member").add(fact.vm.text()).value();
}
std::uint64_t keyHash(const EndpointLeaving &fact)
{
    return Hasher().add("endpoint-leaving").add(fact.endpoint.text()).add(fact.incarnation.value()).value();
}
std::uint64_t keyHash(const EndpointStarted &fact)
{
    return Hasher().add("endpoint-started").add(fact.endpoint.text()).value();
}
std::uint64_t keyHash(const VmLeaving &fact)
{
    return vmLeavingKey(fact.vm, fact.incarnation).value();
}
std::uint64_t keyHash(const CrashMark &fact)
{
    Hasher hasher;
    hasher.add("crash").add(fact.fingerprint.value()).add(fact.endpoint.text()).add(fact.incarnation.value());
    // Crashes of an endpoint that tells no incarnation are told apart by their time.
    if (fact.incarnation == Incarnation()) {
        hasher.add(fact.at);
    }
    return hasher.value();
}
std::uint64_t keyHash(const ConfigFact &fact)
{
    return configKey(fact.item.key).value();
}
std::uint64_t keyHash(const ConfigRejection &fact)
{
    return rejectionKey(fact.change).value();
}
std::uint64_t keyHash(const ConfigFrontier &fact)
{
    return Hasher().add("frontier").add(fact.reader.text()).value();
}
std::uint64_t keyHash(const ZoneLoad &fact)
{
    return Hasher().add("load").add(fact.zone.text()).value();
}

/** A suspicion isn't compared between VMs: it ends by itself, as alive or as dead. */
MemberState comparedState(MemberState state)
{
    return state == MemberState::Suspect ? MemberState::Alive : state;
}

std::uint64_t stampHash(const Member &fact)
{
    return Hasher()
        .add(fact.startedAt)
        .add(fact.incarnation.value())
        .add(fact.epoch)
        .add(static_cast<std::uint64_t>(comparedState(fact.state)))
        .value();
}
std::uint64_t stampHash(const EndpointLeaving &)
{
    return 1;
}
std::uint64_t stampHash(const VmLeaving &)
{
    return 1;
}
std::uint64_t stampHash(const CrashMark &fact)
{
    return fact.cleared ? 2 : 1;
}
std::uint64_t stampHash(const ConfigFact &fact)
{
    return fact.item.version.value();
}
std::uint64_t stampHash(const ConfigRejection &)
{
    return 1;
}
std::uint64_t stampHash(const EndpointStarted &fact)
{
    return Hasher().add(fact.at).add(fact.incarnation.value()).value();
}
std::uint64_t stampHash(const ConfigFrontier &fact)
{
    return Hasher().add(fact.readAt).value();
}
std::uint64_t stampHash(const ZoneLoad &fact)
{
    return Hasher().add(fact.at).value();
}

bool replaces(const Member &candidate, const Member &held)
{
    if (candidate.incarnation != held.incarnation) {
        return std::tie(candidate.startedAt, candidate.incarnation) > std::tie(held.startedAt, held.incarnation);
    }
    const bool candidateLeft = candidate.state == MemberState::Left;
    if (candidateLeft != (held.state == MemberState::Left)) {
        return candidateLeft;
    }
    return std::tie(candidate.epoch, candidate.state) > std::tie(held.epoch, held.state);
}
bool replaces(const CrashMark &candidate, const CrashMark &held)
{
    return candidate.cleared && !held.cleared;
}
bool replaces(const ConfigFact &candidate, const ConfigFact &held)
{
    return candidate.item.version > held.item.version;
}
bool replaces(const EndpointStarted &candidate, const EndpointStarted &held)
{
    return std::tie(candidate.at, candidate.incarnation) > std::tie(held.at, held.incarnation);
}
bool replaces(const ConfigFrontier &candidate, const ConfigFrontier &held)
{
    return std::tie(candidate.readAt, candidate.next) > std::tie(held.readAt, held.next);
}
bool replaces(const ZoneLoad &candidate, const ZoneLoad &held)
{
    return candidate.at > held.at;
}
/** Marks are set once. */
template <typename Mark>
bool replaces(const Mark &, const Mark &)
{
    return false;
}

} // namespace

FactKey vmLeavingKey(const VmId &vm, Incarnation incarnation)
{
    return FactKey(Hasher().add("vm-leaving").add(vm.text()).add(incarnation.value()).value());
}

FactKey configKey(const config::ItemKey &item)
{
    return FactKey(Hasher().add("config").add(item.text()).value());
}

FactKey rejectionKey(const config::ChangeId &change)
{
    return FactKey(Hasher().add("rejection").add(change.text()).value());
}

FactKey keyOf(const Fact &fact)
{
    return std::visit([](const auto &kind) { return FactKey(keyHash(kind)); }, fact);
}

FactStamp stampOf(const Fact &fact)
{
    return std::visit([](const auto &kind) { return FactStamp(stampHash(kind)); }, fact);
}

bool supersedes(const Fact &candidate, const Fact &held)
{
    return std::visit(
        [&](const auto &kind) {
            const auto *other = std::get_if<std::decay_t<decltype(kind)>>(&held);
            return other != nullptr && replaces(kind, *other);
        },
        candidate);
}

bool isLasting(const Fact &fact)
{
    return !std::holds_alternative<ConfigFrontier>(fact) && !std::holds_alternative<ZoneLoad>(fact);
}

bool crossesZones(const Fact &fact)
{
    if (const auto *member = std::get_if<Member>(&fact)) {
        return member->state != MemberState::Suspect;
    }
    return !std::holds_alternative<ConfigFrontier>(fact);
}

std::optional<WallTime> expiryOf(const Fact &fact, const Timing &timing)
{
    using Expiry = std::optional<WallTime>;
    return std::visit(Overloaded {
                          [&](const Member &member) -> Expiry {
                              const bool gone = member.state >= MemberState::Dead;
                              return gone ? Expiry(member.changedAt + timing.deadLifetime) : Expiry();
                          },
                          [&](const EndpointLeaving &mark) -> Expiry { return mark.at + timing.leavingLifetime; },
                          [&](const EndpointStarted &fact) -> Expiry { return fact.at + timing.leavingLifetime; },
                          [&](const VmLeaving &mark) -> Expiry { return mark.at + timing.leavingLifetime; },
                          [&](const CrashMark &mark) -> Expiry { return mark.at + timing.crashMarkLifetime; },
                          [&](const ConfigFact &fact) -> Expiry {
                              return fact.item.item ? Expiry() : Expiry(fact.at + timing.tombstoneLifetime);
                          },
                          [&](const ConfigRejection &fact) -> Expiry { return fact.at + timing.rejectionLifetime; },
                          [&](const ConfigFrontier &fact) -> Expiry { return fact.readAt + timing.rejectionLifetime; },
                          [&](const ZoneLoad &load) -> Expiry { return load.at + timing.rejectionLifetime; },
                      },
                      fact);
}

} // namespace lacewing::fleet
