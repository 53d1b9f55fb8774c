#include "faults.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace lacewing::standin
{
namespace
{

struct KindName {
    FaultKind kind;
    std::string_view name;
};

constexpr std::array kindNames {
    KindName { FaultKind::Slow, "slow" },
    KindName { FaultKind::CrashOnMarker, "crash_on_marker" },
    KindName { FaultKind::Crash, "crash" },
    KindName { FaultKind::LoseAnswer, "lose_answer" },
    KindName { FaultKind::Silent, "silent" },
    KindName { FaultKind::Lag, "lag" },
    KindName { FaultKind::Gap, "gap" },
    KindName { FaultKind::StreamGap, "stream_gap" },
    KindName { FaultKind::Partition, "partition" },
    KindName { FaultKind::Outage, "outage" },
    KindName { FaultKind::Cross, "cross" },
    KindName { FaultKind::Late, "late" },
};

constexpr std::string_view zonePrefix = "zone:";
constexpr std::string_view everything = "*";

bool matches(const Fault &fault, const FaultTarget &target)
{
    return fault.target == everything || fault.target == target.id
        || (!target.pool.empty() && fault.target == target.pool)
        || (fault.target.starts_with(zonePrefix) && fault.target.substr(zonePrefix.size()) == target.zone);
}

} // namespace

std::optional<FaultKind> faultKindFromText(std::string_view text)
{
    const auto *found =
        std::find_if(kindNames.begin(), kindNames.end(), [&](const KindName &entry) { return entry.name == text; });
    return found == kindNames.end() ? std::nullopt : std::optional(found->kind);
}

std::string_view toText(FaultKind kind)
{
    const auto *found =
        std::find_if(kindNames.begin(), kindNames.end(), [&](const KindName &entry) { return entry.kind == kind; });
    return found->name;
}

double Fault::number(double otherwise) const
{
    char *end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    return end == value.c_str() ? otherwise : number;
}

Faults::Faults(const Clock &clock)
    : clock_(clock)
{
}

void Faults::add(Fault fault)
{
    faults_.push_back(std::move(fault));
}

void Faults::remove(std::string_view target)
{
    std::erase_if(faults_, [&](const Fault &fault) { return target.empty() || fault.target == target; });
}

const std::vector<Fault> &Faults::all()
{
    dropEnded();
    return faults_;
}

void Faults::dropEnded()
{
    const Time now = clock_.now();
    std::erase_if(faults_, [&](const Fault &fault) { return fault.until && *fault.until <= now; });
}

std::optional<Fault> Faults::find(FaultKind kind, const FaultTarget &target)
{
    dropEnded();
    const auto found = std::find_if(faults_.rbegin(), faults_.rend(), [&](const Fault &fault) {
        return fault.kind == kind && matches(fault, target);
    });
    return found == faults_.rend() ? std::nullopt : std::optional(*found);
}

bool Faults::has(FaultKind kind, const FaultTarget &target)
{
    return find(kind, target).has_value();
}

std::optional<Fault> Faults::partition(std::string_view fromZone, const FaultTarget &target)
{
    dropEnded();
    if (fromZone.empty() || fromZone == target.zone) {
        return std::nullopt;
    }
    const auto separates = [&](const Fault &fault, std::string_view one, std::string_view other) {
        return fault.target.substr(std::min(zonePrefix.size(), fault.target.size())) == one
            && (fault.value == everything || fault.value.empty() || fault.value == other);
    };
    const auto found = std::find_if(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return fault.kind == FaultKind::Partition && fault.target.starts_with(zonePrefix)
            && (separates(fault, fromZone, target.zone) || separates(fault, target.zone, fromZone));
    });
    return found == faults_.end() ? std::nullopt : std::optional(*found);
}

} // namespace lacewing::standin
