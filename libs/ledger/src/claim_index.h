#pragma once

#include <ledger/ledger.h>

#include <deque>
#include <unordered_map>

template <>
struct std::hash<lacewing::ledger::KeyDigest> {
    std::size_t operator()(const lacewing::ledger::KeyDigest &digest) const noexcept
    {
        return digest.low;
    }
};

namespace lacewing::ledger
{

/**
 * The first valid record of each key of one partition, from records taken in the order of the log.
 *
 * A record is valid if its key's time is within the window before the platform's time of the append. A key is forgotten
 * once no later record of it can be valid, by the platform's time too, so that no clock of this VM takes part.
 */
class ClaimIndex
{
public:
    ClaimIndex(Duration window, Duration skew)
        : window_(window)
        , skew_(skew)
    {
    }

    /** Takes the next record. @return true when it is the first valid one of its key */
    bool add(const ClaimRequest &record, WallTime appendedAt);
    /** The first record of a key, if remembered. */
    std::optional<ClaimRequest> find(const KeyDigest &key) const;

    std::size_t size() const noexcept
    {
        return winners_.size();
    }

private:
    /** A ClaimRequest without its key, and with a number for the VM's name. */
    struct Winner {
        WallTime keyTime;
        Fingerprint fingerprint;
        JobId job;
        std::uint32_t vm = 0;
        ClaimKind kind = ClaimKind::Run;
    };
    struct Arrival {
        KeyDigest key;
        WallTime appendedAt;
    };

    std::uint32_t numberOf(const VmId &vm);
    void forgetBefore(WallTime logTime);

    Duration window_;
    Duration skew_;
    WallTime logTime_ {}; ///< latest time of an append read
    std::unordered_map<KeyDigest, Winner> winners_;
    std::deque<Arrival> arrivals_; ///< of winners_, in the order of the log
    std::vector<VmId> vms_;
    std::unordered_map<VmId, std::uint32_t> vmNumbers_;
};

} // namespace lacewing::ledger
