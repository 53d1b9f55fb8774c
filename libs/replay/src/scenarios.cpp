#include <replay/replay.h>

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cmath>

namespace lacewing::replay
{

namespace
{

/** Load of the bursty trace between its bursts, so that its mean load is 0.8. */
constexpr double betweenBursts = 0.72;
constexpr double burstFactor = 3;
constexpr Duration burstPeriod = 18s;
constexpr Duration burstLength = 1s;
constexpr Duration faultFrom = 25s;
constexpr Duration faultTo = 45s;
/** The workspace that floods, and how much more it asks for: the third of its workload. */
constexpr std::uint32_t floodingWorkspace = 2;
constexpr double floodWork = 0.8; ///< added work, as a share of the capacity

constexpr std::string_view workloadNames[] = { "tana", "magnolia", "zone" };
constexpr std::string_view caseNames[] = { "steady",   "overload", "burst", "slow-stage", "zone-lost",
                                           "zone-cut", "stale",    "flood", "poison",     "mass-restart" };

void addBursts(Scenario &scenario)
{
    scenario.load = betweenBursts;
    for (Duration from = 20s; from < scenario.duration; from += burstPeriod) {
        scenario.surges.push_back({ from, from + burstLength, burstFactor, std::nullopt });
    }
}

void addFlood(Scenario &scenario)
{
    const auto &workspaces = scenario.workload.workspaces;
    double total = 0;
    for (const double traffic : workspaces) {
        total += traffic;
    }
    const double share = workspaces[floodingWorkspace] / total;
    const double factor = 1 + floodWork / (scenario.load * share);
    scenario.surges.push_back({ faultFrom, faultTo, factor, floodingWorkspace });
}

/** Loses a zone; the zone workload, which is one zone, takes over its part of a lost neighbour's traffic. */
void loseZone(Scenario &scenario)
{
    if (scenario.workload.zones.size() > 1) {
        scenario.faults.emplace_back(LoseZone { scenario.workload.zones.back(), faultFrom });
        return;
    }
    constexpr double takenOver = 7.0 / 6.0;
    scenario.surges.push_back({ faultFrom, scenario.duration, takenOver, std::nullopt });
}

Result<void> addCase(Scenario &scenario, std::string_view name)
{
    if (name == "steady") {
    } else if (name == "overload") {
        scenario.load = 2;
    } else if (name == "burst") {
        addBursts(scenario);
    } else if (name == "slow-stage") {
        scenario.faults.emplace_back(SlowPool { PoolId("rerankers"), 4, faultFrom, faultTo });
    } else if (name == "zone-lost") {
        loseZone(scenario);
    } else if (name == "zone-cut" && scenario.workload.zones.size() > 1) {
        scenario.faults.emplace_back(CutZone { scenario.workload.zones.back(), faultFrom, faultTo });
    } else if (name == "stale") {
        scenario.reportDelay = 5s;
    } else if (name == "flood") {
        addFlood(scenario);
    } else if (name == "poison") {
        scenario.poisonJobs = 2;
    } else if (name == "mass-restart") {
        scenario.faults.emplace_back(RestartVms { faultFrom, faultFrom + 10s });
    } else {
        return failure(ErrorKind::NotFound, "no scenario " + scenario.name);
    }
    return success();
}

/** Jobs a second at a time, as a factor on the scenario's load, for one workspace. */
double surgeAt(const Scenario &scenario, Duration at, std::uint32_t workspace)
{
    double factor = 1;
    for (const auto &surge : scenario.surges) {
        const bool isMeant = !surge.workspace || *surge.workspace == workspace;
        if (isMeant && at >= surge.from && at < surge.to) {
            factor *= surge.factor;
        }
    }
    return factor;
}

std::size_t pick(Random &random, const std::vector<double> &cumulated)
{
    const double point = random.unit() * cumulated.back();
    const auto found = std::upper_bound(cumulated.begin(), cumulated.end(), point);
    return std::min(std::size_t(found - cumulated.begin()), cumulated.size() - 1);
}

TraceRecord makeRecord(const Scenario &scenario, const JobMix &mix, std::size_t workspace, Random &random)
{
    TraceRecord record;
    record.workspace = WorkspaceId("w" + std::to_string(workspace));
    record.classId = mix.classId;
    record.input = Tokens(std::max<std::uint64_t>(1, std::uint64_t(random.logNormal(mix.inputMedian, mix.inputSigma))));
    record.maxOutput = Tokens(std::uint64_t(mix.outputLimit));
    if (mix.outputMedian > 0) {
        const double output = random.logNormal(mix.outputMedian, mix.outputSigma);
        record.output = Tokens(std::uint64_t(std::min(output, mix.outputLimit)));
    }
    if (mix.prefixesPerWorkspace > 0) {
        const auto number = random.below(mix.prefixesPerWorkspace);
        const auto name = record.workspace.text() + "/" + mix.classId.text() + "/" + std::to_string(number);
        record.prefix = policy::PrefixHash(hashBytes(name));
        record.prefixTokens = Tokens(std::uint64_t(double(record.input.value()) * mix.prefixShare));
    }
    record.repeatable = mix.repeatable;
    record.deadline = scenario.workload.configuration->classes.at(mix.classId).completion;
    return record;
}

void addPoison(const Scenario &scenario, std::vector<TraceRecord> &trace, Random &random)
{
    for (std::uint32_t index = 0; index < scenario.poisonJobs; ++index) {
        const auto earliest = faultFrom + index * 5s;
        const auto found = std::find_if(trace.begin(), trace.end(), [&](const TraceRecord &record) {
            return record.at >= earliest && record.maxOutput.value() > 0 && !record.poison && random.chance(0.5);
        });
        if (found != trace.end()) {
            found->poison = true;
        }
    }
}

} // namespace

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    for (const auto workload : workloadNames) {
        for (const auto name : caseNames) {
            if (workload != "zone" || name != "zone-cut") {
                names.push_back(std::string(workload) + "-" + std::string(name));
            }
        }
    }
    return names;
}

Result<Scenario> makeScenario(std::string_view name)
{
    const auto dash = name.find('-');
    if (dash == std::string_view::npos) {
        return failure(ErrorKind::NotFound, "no scenario " + std::string(name));
    }
    Scenario scenario;
    scenario.name = std::string(name);
    BOOST_OUTCOME_TRY(workload, makeWorkload(name.substr(0, dash)));
    scenario.workload = std::move(workload);
    BOOST_OUTCOME_TRY(addCase(scenario, name.substr(dash + 1)));
    return scenario;
}

std::vector<TraceRecord> generateTrace(const Scenario &scenario, std::uint64_t seed)
{
    const auto &workload = scenario.workload;
    Random random(seed);
    std::vector<double> workspaces;
    std::vector<double> mixes;
    for (const double traffic : workload.workspaces) {
        workspaces.push_back((workspaces.empty() ? 0 : workspaces.back()) + traffic);
    }
    for (const auto &mix : workload.mix) {
        mixes.push_back((mixes.empty() ? 0 : mixes.back()) + mix.weight);
    }
    // Thinning: candidates come at the highest rate, and each is kept with the probability of its time and workspace.
    double highest = 1;
    for (const auto &surge : scenario.surges) {
        highest = std::max(highest, surge.factor);
    }
    const double rate = jobsPerSecond(workload) * scenario.load * highest;
    std::vector<TraceRecord> trace;
    for (Duration at = fromSeconds(random.exponential(1 / rate)); at < scenario.duration;
         at += fromSeconds(random.exponential(1 / rate))) {
        const auto workspace = pick(random, workspaces);
        if (!random.chance(surgeAt(scenario, at, std::uint32_t(workspace)) / highest)) {
            continue;
        }
        trace.push_back(makeRecord(scenario, workload.mix[pick(random, mixes)], workspace, random));
        trace.back().at = at;
    }
    addPoison(scenario, trace, random);
    return trace;
}

} // namespace lacewing::replay
