#include <reachability/reachability.h>

#include <algorithm>

namespace lacewing::reachability
{
namespace
{

/** Requests at a time that a VM sends for others, for each CPU core. A VM of an eighth of a core takes 40. */
constexpr double requestsPerCore = 320;
/** The same for each Mbit/s of its link. The smallest VMs have 10 Mbit/s. */
constexpr double requestsPerMbps = 4;
constexpr double minRequests = 8;
constexpr double maxRequests = 512;

double loadOf(const RelayCandidate &candidate)
{
    return double(candidate.inFlight + 1) / std::max(candidate.cpuShare, 0.01);
}

} // namespace

const RelayCandidate *selectRelay(const std::vector<RelayCandidate> &candidates, Random &random)
{
    std::vector<const RelayCandidate *> eligible;
    for (const bool isOwnZone : { true, false }) {
        for (const auto &candidate : candidates) {
            if (candidate.isOwnZone == isOwnZone) {
                eligible.push_back(&candidate);
            }
        }
        if (!eligible.empty()) {
            break;
        }
    }
    if (eligible.empty()) {
        return nullptr;
    }
    const auto *first = eligible[random.below(eligible.size())];
    const auto *second = eligible[random.below(eligible.size())];
    return loadOf(*second) < loadOf(*first) ? second : first;
}

RelayLimit::RelayLimit(double cpuShare, double linkMbps) noexcept
    : limit_(static_cast<std::size_t>(std::clamp(
        linkMbps > 0 ? std::min(cpuShare * requestsPerCore, linkMbps * requestsPerMbps) : cpuShare * requestsPerCore,
        minRequests,
        maxRequests)))
{
}

bool RelayLimit::tryAcquire() noexcept
{
    if (inFlight_ >= limit_) {
        return false;
    }
    ++inFlight_;
    return true;
}

void RelayLimit::release() noexcept
{
    inFlight_ -= inFlight_ > 0 ? 1 : 0;
}

} // namespace lacewing::reachability
