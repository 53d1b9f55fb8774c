#include "suspects.h"

#include <algorithm>

namespace lacewing::replay
{

namespace
{

constexpr std::uint32_t crashesToQuarantine = 2;

} // namespace

void Suspects::onCrash(std::uint64_t fingerprint, bool isCause)
{
    if (++crashes_[fingerprint] >= crashesToQuarantine) {
        quarantined_.insert(fingerprint);
    }
    if (isCause) {
        ++caused_[fingerprint];
    }
}

void Suspects::onSuccess(std::uint64_t fingerprint)
{
    crashes_.erase(fingerprint);
}

bool Suspects::isSuspect(std::uint64_t fingerprint) const
{
    return crashes_.contains(fingerprint);
}

bool Suspects::isQuarantined(std::uint64_t fingerprint) const
{
    return quarantined_.contains(fingerprint);
}

std::uint32_t Suspects::mostCrashes() const
{
    std::uint32_t most = 0;
    for (const auto &[fingerprint, crashes] : caused_) {
        most = std::max(most, crashes);
    }
    return most;
}

std::uint32_t Suspects::falselyQuarantined() const
{
    const auto innocent = [this](std::uint64_t fingerprint) { return !caused_.contains(fingerprint); };
    return std::uint32_t(std::count_if(quarantined_.begin(), quarantined_.end(), innocent));
}

} // namespace lacewing::replay
