#include <stages/stages.h>

#include <algorithm>
#include <cmath>

namespace lacewing::stages
{
namespace
{

/** A report counts for this time: some beacons of the VM that told it. */
constexpr Duration reportLife = 1200ms;
/** Predicted share of the target from which requests of a rank are refused; later ranks are refused like the last. */
constexpr double refusedFrom[] = { 0.92, 0.85, 0.76 };
/** By how much a request's worth moves that share, for each doubling of its worth. */
constexpr double shareForDoubledWorth = 0.08;
constexpr double mostShareForWorth = 0.16;
/** By how much that share is higher for a request that was refused before: enough to go before new ones once the queues
 * have settled at the share, too little to make the others late. */
constexpr double shareForReturning = 0.03;
/** Least time after which a refused caller may come back. */
constexpr Duration leastComeBack = 250ms;

} // namespace

void PathAdmission::reported(const routing::ServiceId &service, Duration expected, Time now)
{
    reports_[service] = { expected, now };
}

std::optional<Duration> PathAdmission::expected(const routing::ServiceId &service, Time now) const
{
    const auto found = reports_.find(service);
    if (found == reports_.end() || now - found->second.at > reportLife) {
        return std::nullopt;
    }
    return found->second.expected;
}

PathDecision PathAdmission::decide(const StagePlan &plan, const PathRequest &request, Time now) const
{
    std::vector<Duration> doneAt(plan.stages().size());
    Duration predicted {};
    Duration reportAge {};
    for (std::uint32_t stage = 0; stage < plan.stages().size(); ++stage) {
        const auto &spec = plan.stages()[stage];
        for (const auto before : spec.after) {
            doneAt[stage] = std::max(doneAt[stage], doneAt[before]);
        }
        if (plan.pieceCount(stage) > 0) {
            const auto time = expected(spec.service, now);
            doneAt[stage] += time.value_or(Duration::zero());
            reportAge = time ? std::max(reportAge, now - reports_.at(spec.service).at) : reportAge;
        }
        predicted = std::max(predicted, doneAt[stage]);
    }
    const auto rank = std::min<std::size_t>(std::size_t(std::max(request.rank, 0)), std::size(refusedFrom) - 1);
    const double doublings = std::log2(std::max(request.relativeWorth, 1e-3));
    const double moved = std::clamp(doublings * shareForDoubledWorth, -mostShareForWorth, mostShareForWorth);
    const double limit =
        toSeconds(request.target) * (refusedFrom[rank] + moved + (request.isReturning ? shareForReturning : 0));
    const Duration total = request.elapsed + predicted + request.afterStages;
    PathDecision decision { toSeconds(total) <= limit, predicted, reportAge, {} };
    if (!decision.admitted) {
        decision.comeBackAfter = std::max(leastComeBack, total - fromSeconds(limit));
    }
    return decision;
}

} // namespace lacewing::stages
