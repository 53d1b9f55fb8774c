#include "request_placement.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

/** Prompt tokens that an engine reads in a ms; typical of the engines in use. */
constexpr double promptTokensPerMs = 90;
/** Time to the first token beside the prompt's, at engines that are busy but not full. */
constexpr Duration engineBaseTime = 110ms;
/** A result that another zone holds makes a send there longer by this, in ms for each MB: it stands for the cost of
 * bytes between zones. */
constexpr double otherZoneMsPerMegabyte = 40;
/** Preference for the engine to which all VMs send a session, in ms for each of its tokens: above the time to read
 * them, as engines are then free for other prompts. */
constexpr double sessionMsPerToken = 0.03;
/** A session with fewer tokens doesn't decide where the request's results are made. */
constexpr std::uint32_t leastSessionTokens = 1'000;
/** Connections to an endpoint that each VM may use, however many VMs share its bound. */
constexpr std::size_t leastConnections = 2;

} // namespace

RequestPlacement::RequestPlacement(RunShared &shared,
                                   const userplatform::RequestMetadata &facts,
                                   routing::ServiceId service)
    : shared_(shared)
    , facts_(facts)
    , service_(std::move(service))
{
    if (facts_.promptParts.size() < 2) {
        return;
    }
    const std::uint64_t session = facts_.promptParts[facts_.promptParts.size() - 2].id;
    std::uint64_t best = 0;
    for (const auto *entry : shared_.state.endpoints().availableEndpoints(service_)) {
        const std::uint64_t rank = hashBytes(entry->id.text(), session);
        if (rank >= best && !shared_.chooser.isEjected(entry->id, shared_.context.now())) {
            best = rank;
            sessionEngine_ = entry->id;
        }
    }
}

AvailabilityZoneId RequestPlacement::sessionZone() const
{
    const auto *engine =
        sessionTokens() >= leastSessionTokens ? shared_.state.endpoints().find(sessionEngine_) : nullptr;
    return engine != nullptr && shared_.links.isZoneHeard(engine->zone) ? engine->zone : shared_.context.settings.zone;
}

Duration RequestPlacement::engineTime() const
{
    return engineBaseTime + fromSeconds(double(facts_.promptTokens) / promptTokensPerMs / 1000.0);
}

const routing::EndpointEntry *RequestPlacement::choose(const std::vector<EndpointId> &tried,
                                                       std::size_t maxConnections,
                                                       const ResultBytes &results) const
{
    const std::size_t ownConnections = std::max(maxConnections / shared_.links.liveCount(), leastConnections);
    std::unordered_map<AvailabilityZoneId, bool> heardZones;
    std::vector<dispatch::Candidate> all;
    std::vector<dispatch::Candidate> heard;
    for (const auto *entry : shared_.state.endpoints().availableEndpoints(service_)) {
        const bool wasTried = std::find(tried.begin(), tried.end(), entry->id) != tried.end();
        const bool isFull = maxConnections > 0 && shared_.chooser.inFlight(entry->id) >= ownConnections;
        if (wasTried || isFull) {
            continue;
        }
        const auto [zone, isNew] = heardZones.try_emplace(entry->zone);
        if (isNew) {
            zone->second = shared_.links.isZoneHeard(entry->zone);
        }
        all.push_back({ entry, workMs(*entry, results) });
        if (zone->second) {
            heard.push_back(all.back());
        }
    }
    return shared_.chooser.select(heard.empty() ? all : heard, shared_.context.settings.zone, shared_.context.now());
}

double RequestPlacement::workMs(const routing::EndpointEntry &entry, const ResultBytes &results) const
{
    constexpr double bytesInMegabyte = 1e6;
    double ms = double(results.outside(entry.zone)) / bytesInMegabyte * otherZoneMsPerMegabyte;
    if (facts_.promptTokens > 0) {
        const auto kept = shared_.prefixes.cachedTokens(entry.id, facts_.promptParts, shared_.context.now());
        ms += double(facts_.promptTokens - std::min(kept, facts_.promptTokens)) / promptTokensPerMs;
        if (entry.id != sessionEngine_) {
            ms += sessionMsPerToken * double(sessionTokens());
        }
    }
    return ms;
}

/** Tokens of the part of the prompt that the requests of a session share; the last part is the request's own. */
std::uint32_t RequestPlacement::sessionTokens() const
{
    return facts_.promptParts.size() > 1 ? facts_.promptParts[facts_.promptParts.size() - 2].tokens : 0;
}

} // namespace lacewing::gateway
