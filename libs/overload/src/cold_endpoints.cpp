#include <overload/overload.h>

#include <algorithm>
#include <cmath>

namespace lacewing::overload
{
namespace
{

/** Time after a request in which its slot stays in use: a second, and a margin for the time until it is written. */
constexpr Duration slotTime = std::chrono::milliseconds(1100);
/** Share of the bound that is given out as slots. The rest is for VMs that know of different VMs. */
constexpr double slotShare = 0.75;
/** Endpoints and VMs may differ in when a cold time ends. */
constexpr Duration coldMargin = std::chrono::milliseconds(250);
/** Time within which an endpoint that has crashed does not accept connections again. */
constexpr Duration minRestartTime = std::chrono::milliseconds(500);
/** Time after which it is found out again whether an endpoint counts as cold that may not be cold. */
constexpr Duration recheckTime = std::chrono::seconds(1);
/** By how much update() may be late before this process counts as having stood still. */
constexpr Duration updateTolerance = std::chrono::milliseconds(300);

} // namespace

SlotOwners::SlotOwners(VmId self)
    : self_(std::move(self))
{
}

void SlotOwners::update(std::span<const VmId> vms, Time now)
{
    if (!settledAt_) {
        settledAt_ = now + settlingTime;
    }
    for (const auto &vm : vms) {
        const auto [member, isNew] = members_.try_emplace(vm, Member { hashBytes(vm.text()), now });
        member->second.lastKnownAt = now;
        revision_ += isNew ? 1 : 0;
    }
    const auto isGone = [&](const auto &item) { return now - item.second.lastKnownAt > goneVmRetention; };
    revision_ += std::erase_if(members_, isGone);
}

const SlotOwners::Division &SlotOwners::division(const EndpointId &endpoint, std::size_t slots) const
{
    Division &division = divisions_[endpoint];
    if (division.revision == revision_ && division.slots == slots) {
        return division;
    }
    // By the id and not the lifetime, as VMs learn at different times of the next lifetime.
    const std::uint64_t endpointHash = hashBytes(endpoint.text());
    division = { revision_, slots, 0, {} };
    for (std::size_t slot = 0; slot < slots; ++slot) {
        const VmId *owner = nullptr;
        std::uint64_t highest = 0;
        for (const auto &[vm, member] : members_) {
            const std::string_view bytes(reinterpret_cast<const char *>(&member.hash), sizeof(member.hash));
            const std::uint64_t weight = hashBytes(bytes, endpointHash + slot);
            if (owner == nullptr || weight > highest) {
                owner = &vm;
                highest = weight;
            }
        }
        if (owner != nullptr) {
            division.ownCount += *owner == self_ ? 1 : 0;
            division.owners.insert(*owner);
        }
    }
    return division;
}

std::size_t SlotOwners::ownCount(const EndpointId &endpoint, std::size_t slots) const
{
    return division(endpoint, slots).ownCount;
}

const std::set<VmId> &SlotOwners::owners(const EndpointId &endpoint, std::size_t slots) const
{
    return division(endpoint, slots).owners;
}

void SlotOwners::expire(const routing::EndpointDirectory &directory)
{
    std::erase_if(divisions_, [&](const auto &item) { return directory.find(item.first) == nullptr; });
}

std::string_view toText(ColdReason reason) noexcept
{
    switch (reason) {
    case ColdReason::Registered:
        return "registration";
    case ColdReason::Told:
        return "answer";
    case ColdReason::Unknown:
        return "new, without a cold time";
    case ColdReason::Doubtful:
        return "connection lost";
    case ColdReason::ZoneReturned:
        return "zone returned";
    case ColdReason::ViewOutdated:
        return "view outdated";
    }
    return "unknown";
}

ColdEndpoints::ColdEndpoints(VmId self, const ColdAllowance &allowance)
    : allowance_(allowance)
    , owners_(std::move(self))
{
}

void ColdEndpoints::update(std::span<const VmId> vms, Time now)
{
    if (isPaused(now)) {
        // What this process had not written yet when it stood still leaves now.
        for (auto &[endpoint, sentAt] : sentAt_) {
            for (auto &sent : sentAt) {
                sent = sent + slotTime > *updatedAt_ ? now : sent;
            }
        }
    }
    updatedAt_ = now;
    if (!vms.empty()) {
        owners_.update(vms, now);
    }
}

/** Returns whether this process stood still since the last update. */
bool ColdEndpoints::isPaused(Time now) const noexcept
{
    return updatedAt_ && now - *updatedAt_ > updateInterval + updateTolerance;
}

void ColdEndpoints::recordAnswer(const routing::EndpointLifetime &endpoint, Duration timeLeft, Time now)
{
    if (timeLeft > Duration::zero()) {
        Time &until = toldUntil_[endpoint];
        until = std::max(until, now + timeLeft + coldMargin);
    }
}

void ColdEndpoints::recordSend(const EndpointId &endpoint, const routing::ColdStart &start, Time now)
{
    auto &sentAt = sentAt_[endpoint];
    sentAt.push_back(now);
    while (sentAt.size() > std::max<std::size_t>(slotCount(start), 1)) {
        sentAt.pop_front();
    }
}

std::optional<ColdPeriod> ColdEndpoints::findPeriod(const routing::EndpointEntry &endpoint,
                                                    const routing::ColdStart &start,
                                                    std::optional<Time> doubtfulSince,
                                                    std::optional<Time> zoneReturnedAt,
                                                    bool isViewCurrent,
                                                    Time now) const
{
    if (doubtfulSince && now - *doubtfulSince >= minRestartTime) {
        return ColdPeriod { now + recheckTime, ColdReason::Doubtful };
    }
    if (!isViewCurrent) {
        return ColdPeriod { now + recheckTime, ColdReason::ViewOutdated };
    }
    std::optional<ColdPeriod> period;
    if (const auto told = toldUntil_.find(endpoint.lifetime()); told != toldUntil_.end()) {
        period = { told->second, ColdReason::Told };
    }
    const Duration left = endpoint.coldTimeLeft.value_or(start.time);
    const Time until = endpoint.coldTimeToldAt + left + coldMargin;
    if (left > Duration::zero() && (!period || until > period->until)) {
        period = { until, endpoint.coldTimeLeft ? ColdReason::Registered : ColdReason::Unknown };
    }
    // Endpoints may have become cold while their zone was evacuated; a registration from before does not say so.
    if (zoneReturnedAt && endpoint.coldTimeToldAt < *zoneReturnedAt) {
        const Time warmAt = *zoneReturnedAt + start.time + coldMargin;
        if (!period || warmAt > period->until) {
            period = { warmAt, ColdReason::ZoneReturned };
        }
    }
    return period && period->until > now ? period : std::nullopt;
}

std::optional<Time> ColdEndpoints::blockedUntil(const EndpointId &endpoint,
                                                const routing::ColdStart &start,
                                                const ColdPeriod &period,
                                                Time now) const
{
    const auto settledAt = owners_.settledAt();
    if (!settledAt) {
        return period.until;
    }
    if (now < *settledAt) {
        return std::min(period.until, *settledAt);
    }
    if (isPaused(now)) {
        return std::min(period.until, now + slotTime);
    }
    const std::size_t own = owners_.ownCount(endpoint, slotCount(start));
    if (own == 0) {
        return period.until;
    }
    const auto found = sentAt_.find(endpoint);
    if (found == sentAt_.end() || found->second.size() < own) {
        return std::nullopt;
    }
    const Time freeAt = found->second[found->second.size() - own] + slotTime;
    return freeAt > now ? std::optional(std::min(period.until, freeAt)) : std::nullopt;
}

std::size_t ColdEndpoints::slotCount(const routing::ColdStart &start) const noexcept
{
    constexpr double maxSlots = 1'000;
    const double bound = start.requestsPerSecond * allowance_.factor + allowance_.requests;
    if (!(bound >= 1)) {
        return 0;
    }
    return static_cast<std::size_t>(std::clamp(std::floor(bound * slotShare), 1.0, maxSlots));
}

void ColdEndpoints::expire(const routing::EndpointDirectory &directory)
{
    owners_.expire(directory);
    std::erase_if(sentAt_, [&](const auto &item) {
        const bool isPast = updatedAt_ && item.second.back() + slotTime < *updatedAt_;
        return isPast && directory.find(item.first) == nullptr;
    });
    std::erase_if(toldUntil_, [&](const auto &item) { return directory.hasEnded(item.first); });
}

} // namespace lacewing::overload
