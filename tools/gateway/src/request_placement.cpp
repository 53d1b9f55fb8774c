#include "request_placement.h"

#include <algorithm>
#include <cmath>

namespace lacewing::gateway
{
namespace
{

/** Penalty for results that are held in another zone, in ms per MB; stands for the cost of cross-zone traffic. */
constexpr double crossZoneMsPerMegabyte = 40;
/** Least penalty for engines other than the session's, in ms per shared token; else it is the time to read the token.
 * Affinity leaves the other engines free for other prompts. */
constexpr double minSessionAffinityMsPerToken = 0.03;
/** Expected time of a plain request without a prompt while nothing is learned. */
constexpr double unknownPlainMs = 110;
/** Weights of engines for sessions are rounded to powers of this, as all VMs have to rank engines in the same order. */
constexpr double weightStep = 1.4;
/** Interval between log lines about placements. */
constexpr Duration placementLogInterval = 200ms;
/** Penalty for cold endpoints, which are slow; they still relieve warm ones that have more to do. */
constexpr double coldPenaltyMs = 300;
/** A session with fewer shared tokens does not determine the zone where the stages of a request run. */
constexpr std::uint32_t minSessionTokens = 1'000;
/** Connections to an endpoint that each VM may use regardless of how many VMs share the limit. */
constexpr std::size_t minConnectionsPerVm = 2;

double rendezvousWeight(double pace)
{
    return pace == 1 ? 1 : std::pow(weightStep, -std::round(std::log(pace) / std::log(weightStep)));
}

} // namespace

RequestPlacement::RequestPlacement(RequestContext &shared,
                                   const userplatform::RequestMetadata &facts,
                                   routing::ServiceId service,
                                   const cost::RequestClass &requestClass,
                                   dispatch::Repetition repetition)
    : shared_(shared)
    , facts_(facts)
    , service_(std::move(service))
    , requestClass_(requestClass)
    , repetition_(repetition)
{
    if (facts_.promptTokens > 0) {
        promptCost_ = shared_.costs.promptCost(service_);
    } else if (const auto estimate = shared_.costs.estimate(requestClass_, unknownPlainMs); estimate.samples > 0) {
        plainWorkMs_ = estimate.meanMs;
    }
    if (facts_.promptParts.size() < 2) {
        return;
    }
    const std::uint64_t session = facts_.promptParts[facts_.promptParts.size() - 2].id;
    double best = 0;
    for (const auto *entry : shared_.state.endpoints().availableEndpoints(service_)) {
        // Weighted rendezvous hashing: an engine gets a share of the sessions that is proportional to its weight.
        const double draw = (double(hashBytes(entry->id.text(), session)) + 1) / 0x1p64;
        const double rank = -rendezvousWeight(shared_.loadBalancer.lastingPace(entry->id)) / std::log(draw);
        if (rank >= best && !shared_.loadBalancer.isEjected(entry->id, shared_.context.now())
            && !shared_.notices.isCold(*entry) && !shared_.notices.blockedUntil(entry->lifetime())) {
            best = rank;
            sessionEngine_ = entry->id;
        }
    }
}

AvailabilityZoneId RequestPlacement::sessionZone() const
{
    const auto *engine =
        sharedPromptTokens() >= minSessionTokens ? shared_.state.endpoints().find(sessionEngine_) : nullptr;
    return engine != nullptr && shared_.links.isZoneReachable(engine->zone) ? engine->zone
                                                                            : shared_.context.settings.zone;
}

Duration RequestPlacement::estimatedEngineTime() const
{
    double ms = plainWorkMs_ > 0 ? plainWorkMs_ : unknownPlainMs;
    if (const auto *engine = shared_.state.endpoints().find(sessionEngine_)) {
        ms = shared_.loadBalancer.expectedMs(*engine, costAt(*engine).work, shared_.context.now());
    } else if (facts_.promptTokens > 0) {
        ms = promptCost_.estimate(facts_.promptTokens, 0).meanMs;
    }
    return fromSeconds(ms / 1000);
}

const routing::EndpointEntry *RequestPlacement::choose(const std::vector<EndpointId> &triedEndpoints,
                                                       std::size_t maxConnections,
                                                       const std::optional<routing::EndpointLifetime> &reserved,
                                                       const std::optional<routing::StreamOrigin> &origin,
                                                       const ResultBytes &results) const
{
    const std::size_t connectionsPerVm = std::max(maxConnections / shared_.vmCount(), minConnectionsPerVm);
    std::unordered_map<AvailabilityZoneId, bool> reachableZones;
    std::vector<dispatch::Candidate> candidates;
    std::vector<dispatch::Candidate> reachable;
    for (const auto *entry : shared_.state.endpoints().availableEndpoints(service_)) {
        const bool wasTried =
            std::find(triedEndpoints.begin(), triedEndpoints.end(), entry->id) != triedEndpoints.end();
        const std::size_t inFlight = shared_.loadBalancer.inFlight(entry->id);
        const auto maxInFlight = shared_.notices.maxInFlight(*entry);
        const bool isFull =
            (maxConnections > 0 && inFlight >= connectionsPerVm) || (maxInFlight && inFlight >= *maxInFlight);
        const bool isReserved = entry->lifetime() == reserved;
        const bool isBlocked = isReserved ? shared_.notices.reservedBlockedUntil(*reserved).has_value()
                                          : shared_.notices.blockedUntil(entry->lifetime()).has_value();
        const bool isOtherVersion = origin && !canResumeAt(*origin, *entry);
        if (wasTried || isFull || isBlocked || isOtherVersion) {
            continue;
        }
        const auto [zone, isFirstLookup] = reachableZones.try_emplace(entry->zone);
        if (isFirstLookup) {
            zone->second = shared_.links.isZoneReachable(entry->zone);
        }
        if (isReserved && zone->second) {
            return entry;
        }
        candidates.push_back({ entry, extraLatencyMs(*entry, results), costAt(*entry).work });
        if (zone->second) {
            reachable.push_back(candidates.back());
        }
    }
    const auto *selected = shared_.loadBalancer.select(
        reachable.empty() ? candidates : reachable, shared_.context.settings.zone, shared_.context.now(), repetition_);
    if (selected != nullptr) {
        logChoice();
    }
    return selected;
}

/** Logs some of the choices: the endpoint chosen, and the best of those rated before it. */
void RequestPlacement::logChoice() const
{
    const Time now = shared_.context.now();
    if (now < shared_.nextPlacementLogAt) {
        return;
    }
    shared_.nextPlacementLogAt = now + placementLogInterval;
    const auto choice = shared_.loadBalancer.latestChoice();
    std::string others;
    for (std::size_t index = 1; index < choice.size(); ++index) {
        others += (others.empty() ? "" : ",") + choice[index].entry->id.text() + ":"
            + std::to_string(std::lround(choice[index].expectedMs));
    }
    const auto &chosen = choice.front();
    shared_.decisionLog.write("placement",
                              { { "request", facts_.id },
                                { "service", service_ },
                                { "endpoint", chosen.entry->id },
                                { "expected_ms", chosen.expectedMs },
                                { "pace", chosen.pace },
                                { "in_flight", chosen.inFlight },
                                { "report_age_ms", chosen.reportAgeMs },
                                { "others", others },
                                { "session_engine", sessionEngine_ },
                                { "may_repeat", repetition_ == dispatch::Repetition::Allowed } },
                              now);
}

bool RequestPlacement::canResumeAt(const routing::StreamOrigin &origin, const routing::EndpointEntry &entry) const
{
    return origin.matches(entry) && shared_.state.endpoints().isCertain(entry, shared_.context.now());
}

bool RequestPlacement::canResume(const routing::StreamOrigin &origin) const
{
    const auto &available = shared_.state.endpoints().availableEndpoints(service_);
    return std::any_of(
        available.begin(), available.end(), [&](const auto *entry) { return canResumeAt(origin, *entry); });
}

std::vector<routing::EndpointLifetime> RequestPlacement::doubtfulEndpoints(const routing::StreamOrigin &origin,
                                                                           std::span<const EndpointId> tried) const
{
    std::vector<routing::EndpointLifetime> result;
    for (const auto *entry : shared_.state.endpoints().availableEndpoints(service_)) {
        const bool wasTried = std::find(tried.begin(), tried.end(), entry->id) != tried.end();
        if (!wasTried && origin.matches(*entry) && !canResumeAt(origin, *entry)) {
            result.push_back(entry->lifetime());
        }
    }
    return result;
}

RequestCost RequestPlacement::costAt(const routing::EndpointEntry &entry) const
{
    RequestCost cost;
    cost.requestClass = requestClass_;
    if (facts_.promptTokens == 0) {
        cost.work.timeMs = plainWorkMs_;
        return cost;
    }
    const auto cachedTokens = shared_.prefixCache.cachedTokens(entry.id, facts_.promptParts, shared_.context.now());
    cost.isGeneration = true;
    cost.unreadTokens = double(facts_.promptTokens - std::min(cachedTokens, facts_.promptTokens));
    if (entry.id == sessionEngine_) {
        // Other VMs send the session's requests there too.
        const double ownTokens = std::min(double(facts_.promptParts.back().tokens), cost.unreadTokens);
        cost.sharedTokens = cost.unreadTokens - ownTokens;
        cost.unreadTokens = ownTokens;
    }
    cost.work.timeMs = promptCost_.estimate(cost.unreadTokens, cost.sharedTokens).meanMs;
    cost.work.readingMs = promptCost_.readingMs(cost.unreadTokens, cost.sharedTokens);
    return cost;
}

/** Returns the price of an endpoint that neither its load nor its pace changes, in ms. */
double RequestPlacement::extraLatencyMs(const routing::EndpointEntry &entry, const ResultBytes &results) const
{
    constexpr double bytesInMegabyte = 1e6;
    double ms = double(results.bytesOutside(entry.zone)) / bytesInMegabyte * crossZoneMsPerMegabyte;
    ms += shared_.notices.isCold(entry) ? coldPenaltyMs : 0;
    if (facts_.promptTokens > 0 && entry.id != sessionEngine_) {
        ms += std::max(minSessionAffinityMsPerToken, promptCost_.msPerToken) * double(sharedPromptTokens());
    }
    return ms;
}

/** Returns the tokens of the prompt part that the requests of a session share; the last part is specific to the
 * request. */
std::uint32_t RequestPlacement::sharedPromptTokens() const
{
    return facts_.promptParts.size() > 1 ? facts_.promptParts[facts_.promptParts.size() - 2].tokens : 0;
}

} // namespace lacewing::gateway
