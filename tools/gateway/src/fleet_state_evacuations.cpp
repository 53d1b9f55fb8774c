#include "fleet_state.h"

#include <algorithm>

/** The part of FleetState that keeps the operator's evacuations of availability zones. */
namespace lacewing::gateway
{
namespace
{

using userplatform::LogPosition;
using userplatform::Topic;

/** Time for which heartbeats arrive that were sent before their VMs heard of a change. */
constexpr Duration settlingTime = 1s;
/** Evacuations count as overdue this long before the operator expects them in force: the store has confirmed them some
 * time before this VM heard of them. */
constexpr Duration overdueMargin = 1s;

} // namespace

/** Any value of a record evacuates its zone, as nothing else can be meant. */
void FleetState::applyEvacuations(const TopicUpdate &update, std::string_view source)
{
    const std::uint64_t previousDigest = evacuations_.digest();
    for (const auto &change : evacuations_.apply(update)) {
        putEvacuationInForce(change, source);
    }
    if (evacuations_.digest() != previousDigest) {
        evacuationsChangedAt_ = context_.now();
    }
}

void FleetState::putEvacuationInForce(const ZoneEvacuation &record, std::string_view source)
{
    if (record.isEvacuated) {
        endpoints_.evacuateZone(record.zone);
    } else {
        endpoints_.returnZone(record.zone, context_.now());
    }
    const std::size_t endpoints = endpoints_.endpointsIn(record.zone);
    context_.logger.state(
        record.isEvacuated ? "zone evacuated" : "zone returned",
        { { "zone", record.zone },
          { "source", source },
          { "era", record.position.era() },
          { "offset", record.position.offset() },
          { "behind_ms", evacuationsDifferSince_ ? toMilliseconds(context_.now() - *evacuationsDifferSince_) : 0 },
          { "endpoints", endpoints } });
    if (record.isEvacuated && endpointRecords_.isLoaded() && endpoints == 0) {
        context_.logger.warn("evacuated zone has no endpoints", { { "zone", record.zone } });
    }
}

/** Requests another VM's evacuations if they differ from those known here. */
void FleetState::compareEvacuations(const VmId &vm, const Heartbeat &heartbeat)
{
    if (heartbeat.evacuationsEndOffset == 0) {
        return;
    }
    const Time now = context_.now();
    const bool isLoaded = evacuations_.replica().isLoaded();
    if (isLoaded && heartbeat.evacuationsDigest == evacuations_.digest()) {
        if (vm == evacuationsSource_) {
            evacuationsDifferSince_.reset();
        }
        // The other VM has read on to there and found no other evacuations. The store is read from there on if this VM
        // becomes a reader.
        if (!readsStore_) {
            evacuations_.advance(LogPosition::fromPacked(heartbeat.evacuationsEndOffset));
        }
        return;
    }
    if (isLoaded && now - evacuationsChangedAt_ < settlingTime) {
        return;
    }
    evacuationsDifferSince_ = evacuationsDifferSince_.value_or(now);
    evacuationsSource_ = vm;
    requestRecords(Topic::Operator, vm, {}); // what a copy of the store has lost is in snapshots only
}

/** Returns whether the evacuations have been read, or no live VM knows any: all may be of an earlier version. */
bool FleetState::areEvacuationsKnown() const
{
    if (evacuations_.replica().isLoaded()) {
        return true;
    }
    const auto members = links_.members(std::nullopt);
    return std::none_of(members.begin(), members.end(), [&](const VmId &id) {
        const auto *vm = links_.find(id);
        return vm != nullptr && vm->heartbeat.evacuationsEndOffset != 0;
    });
}

/** Returns whether a live VM reports that it reads the evacuations too; VMs of an earlier version do not. */
bool FleetState::hasEvacuationReader() const
{
    const auto members = links_.members(std::nullopt);
    return std::any_of(members.begin(), members.end(), [&](const VmId &id) {
        const auto *vm = links_.find(id);
        return vm != nullptr && vm->heartbeat.isReadingStore && vm->heartbeat.evacuationsEndOffset != 0;
    });
}

/** Returns whether a live VM has told of other evacuations, and could not send them for as long as they may take. */
bool FleetState::areEvacuationsOverdue() const
{
    return evacuationsDifferSince_ && links_.isLive(evacuationsSource_)
        && context_.now() - *evacuationsDifferSince_ >= context_.settings.evacuationTimeout - overdueMargin;
}

} // namespace lacewing::gateway
