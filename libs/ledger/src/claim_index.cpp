#include "claim_index.h"

namespace lacewing::ledger
{

bool ClaimIndex::add(const ClaimRequest &record, WallTime appendedAt)
{
    logTime_ = std::max(logTime_, appendedAt);
    forgetBefore(logTime_);
    const bool isInWindow = record.keyTime >= appendedAt - window_ && record.keyTime <= appendedAt + skew_;
    const bool isInOrder =
        appendedAt + skew_ >= logTime_; // else the platform's clock went back after keys were forgotten
    if (!isInWindow || !isInOrder) {
        return false;
    }
    const Winner winner { record.keyTime, record.fingerprint, record.job, numberOf(record.vm), record.kind };
    if (!winners_.try_emplace(record.key, winner).second) {
        return false;
    }
    arrivals_.push_back({ record.key, appendedAt });
    return true;
}

std::optional<ClaimRequest> ClaimIndex::find(const KeyDigest &key) const
{
    const auto found = winners_.find(key);
    if (found == winners_.end()) {
        return std::nullopt;
    }
    const Winner &winner = found->second;
    return ClaimRequest { winner.kind, key, winner.keyTime, winner.fingerprint, vms_[winner.vm], winner.job };
}

std::uint32_t ClaimIndex::numberOf(const VmId &vm)
{
    const auto [place, isNew] = vmNumbers_.try_emplace(vm, std::uint32_t(vms_.size()));
    if (isNew) {
        vms_.push_back(vm);
    }
    return place->second;
}

void ClaimIndex::forgetBefore(WallTime logTime)
{
    // A later valid record is appended after logTime - skew_, so that its key's time is after logTime - skew_ -
    // window_; the first record of that key was appended at most skew_ before that.
    const Duration memory = window_ + 2 * skew_;
    while (!arrivals_.empty() && arrivals_.front().appendedAt + memory < logTime) {
        winners_.erase(arrivals_.front().key);
        arrivals_.pop_front();
    }
}

} // namespace lacewing::ledger
