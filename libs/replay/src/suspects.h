#pragma once

#include <base/base.h>

#include <map>
#include <set>

namespace lacewing::replay
{

/**
 * Requests that were running when an endpoint crashed, by fingerprint, for the whole replayed fleet.
 *
 * A suspect runs alone; a second crash puts it in quarantine.
 */
class Suspects
{
public:
    /** Notes a request that ran when its endpoint crashed. */
    void onCrash(std::uint64_t fingerprint, bool isCause);
    /** The request ran to its end. */
    void onSuccess(std::uint64_t fingerprint);
    bool isSuspect(std::uint64_t fingerprint) const;
    bool isQuarantined(std::uint64_t fingerprint) const;
    /** Most crashes that one request caused. */
    std::uint32_t mostCrashes() const;
    /** Requests in quarantine that caused no crash. */
    std::uint32_t falselyQuarantined() const;

private:
    std::map<std::uint64_t, std::uint32_t> crashes_; ///< while it ran
    std::map<std::uint64_t, std::uint32_t> caused_;
    std::set<std::uint64_t> quarantined_;
};

} // namespace lacewing::replay
