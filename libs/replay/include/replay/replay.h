#pragma once

#include <base/base.h>
#include <config/config.h>
#include <policy/policy.h>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/**
 * Replays a trace of jobs through several Policy objects against fake endpoints, with a virtual clock.
 *
 * The same trace, seed and strategy give the same report. It models no network beyond fixed delays: it exists to
 * measure decisions, not transport.
 */
namespace lacewing::replay
{

/** One job of a trace. */
struct TraceRecord {
    Duration at {}; ///< arrival after the start of the trace
    WorkspaceId workspace;
    ClassId classId;
    Tokens input;
    Tokens maxOutput;
    Tokens output; ///< tokens that the answer will have; known to the engine only
    policy::PrefixHash prefix; ///< 0: none
    Tokens prefixTokens; ///< leading part of the input that the prefix covers
    bool repeatable = true;
    bool poison = false; ///< crashes each model engine that runs it
    Duration deadline {}; ///< after the arrival

    bool operator==(const TraceRecord &) const = default;
};

/** Writes a trace as JSON lines. */
std::string toJsonLines(const std::vector<TraceRecord> &trace);
/** Reads JSON lines. Errors name the line. */
Result<std::vector<TraceRecord>> parseJsonLines(std::string_view text);

/** Endpoints of one pool, all alike. */
struct PoolModel {
    config::PoolSpec spec;
    std::uint32_t endpoints = 1; ///< spread over the zones in turn
    std::uint32_t slots = 1; ///< of each endpoint
    double baseSeconds = 0; ///< of each call
    double secondsPerInput = 0; ///< for each input token that isn't cached
    double secondsPerOutput = 0; ///< for each output token
    double sigma = 0; ///< spread of the logarithm of a call's time
    std::uint32_t cachedPrefixes = 0; ///< prefixes that fit an endpoint's cache
};

/** A kind of job and how often it comes. */
struct JobMix {
    ClassId classId;
    double weight = 1; ///< relative frequency, over 0
    double inputMedian = 1;
    double inputSigma = 0;
    double outputMedian = 0;
    double outputSigma = 0;
    double outputLimit = 0; ///< most output tokens
    std::uint32_t prefixesPerWorkspace = 0; ///< different prompt prefixes in use
    double prefixShare = 0; ///< part of the input that the prefix covers
    bool repeatable = true;
};

/** A fleet with its work at 100% load. */
struct Workload {
    std::string name;
    std::vector<AvailabilityZoneId> zones;
    std::uint32_t vms = 1; ///< spread over the zones in turn
    Duration zoneDelay {}; ///< one way between zones
    std::vector<PoolModel> pools;
    std::vector<JobMix> mix;
    std::vector<double> workspaces; ///< relative traffic of each workspace
    std::shared_ptr<const config::FleetConfig> configuration;
};

/** The workloads by name: "tana", "magnolia" or "zone". */
Result<Workload> makeWorkload(std::string_view name);
/** Jobs a second that the slowest pool of a workload can finish without cached prefixes. */
double jobsPerSecond(const Workload &workload);

/** All calls that start on a pool within the time take `factor` times as long. */
struct SlowPool {
    PoolId pool;
    double factor = 1;
    Duration from {};
    Duration to {};
};
/** All VMs and endpoints of a zone are gone from then on. */
struct LoseZone {
    AvailabilityZoneId zone;
    Duration from {};
};
/** Nothing passes between a zone and the others. */
struct CutZone {
    AvailabilityZoneId zone;
    Duration from {};
    Duration to {};
};
/** Every VM is replaced, one after the other; the new ones know nothing. */
struct RestartVms {
    Duration from {};
    Duration to {};
};
using Fault = std::variant<SlowPool, LoseZone, CutZone, RestartVms>;

/** A part of the trace in which jobs come more often. */
struct Surge {
    Duration from {};
    Duration to {};
    double factor = 1;
    std::optional<std::uint32_t> workspace; ///< index; empty: all of them
};

/** A trace to generate and the faults to replay with it. */
struct Scenario {
    std::string name; ///< "<workload>-<case>"
    Workload workload;
    double load = 0.8; ///< share of jobsPerSecond() that is offered
    Duration duration = 60s;
    Duration warmUp = 10s; ///< jobs that arrive earlier aren't counted
    Duration reportDelay = 300ms; ///< age of load reports on arrival
    std::vector<Surge> surges;
    std::vector<Fault> faults;
    std::uint32_t poisonJobs = 0;
};

/** Names of all scenarios. */
std::vector<std::string> scenarioNames();
/** A scenario by name. */
Result<Scenario> makeScenario(std::string_view name);
/** The trace of a scenario; the same for the same seed. */
std::vector<TraceRecord> generateTrace(const Scenario &scenario, std::uint64_t seed);

/** Counts of one class or workspace. */
struct Counts {
    std::uint64_t offered = 0;
    std::uint64_t met = 0;
    std::uint64_t late = 0; ///< not finished at the deadline
    std::uint64_t refused = 0; ///< at admission
    std::uint64_t dropped = 0; ///< given up between stages
    std::uint64_t failed = 0;

    /** Met part of the offered jobs; 1 when there were none. */
    double attainment() const noexcept
    {
        return offered == 0 ? 1 : double(met) / double(offered);
    }
};

/** What a replay measured, for jobs that arrived after the warm-up. */
struct Report {
    std::string scenario;
    std::string strategy;
    std::uint64_t seed = 0;
    Counts total;
    std::map<ClassId, Counts> classes;
    std::map<WorkspaceId, Counts> workspaces;
    std::map<std::string, std::uint64_t> refusals; ///< refused and dropped jobs, by reason
    std::map<std::string, double> costByStage; ///< per met job, by kind of stage, in millionths
    double costPerMet = 0; ///< all cost divided by the met jobs, in millionths
    double refusedEarly = 0; ///< part of the offered jobs refused at admission
    double wasted = 0; ///< part of the slot time spent on jobs that weren't met
    double fairness = 1; ///< worst attainment of a workspace with enough jobs, divided by the mean
    double goodput =
        0; ///< slot time on the slowest pool of jobs met between warm-up and end, as a part of what it allows
    double othersAttainment = 1; ///< attainment of the workspaces that don't surge
    std::uint32_t endpointsLostPerPoison = 0; ///< most endpoints that one poison request crashed
    std::uint32_t falselyQuarantined = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    double avoidedShare = 0; ///< mean part of the endpoints that a policy avoided
    double cachedShare = 0; ///< part of generating calls that found their prefix
};

/** How to replay. */
struct ReplayOptions {
    policy::Strategy strategy;
    std::uint64_t seed = 1;
};

/** Name of a strategy: "predictive", "random", "round-robin" or "least-reported". */
std::string_view toText(const policy::Strategy &strategy) noexcept;
Result<policy::Strategy> strategyFromText(std::string_view text);

/** Replays a trace. */
Report replay(const Scenario &scenario, const std::vector<TraceRecord> &trace, const ReplayOptions &options);

/** A stated outcome: a bound on one measure of the report of one scenario. */
struct StatedOutcome {
    std::string scenario;
    std::string measure; ///< a name that measureOf() knows
    std::optional<double> atLeast;
    std::optional<double> atMost;
};

/** Reads stated outcomes from JSON: a list of {scenario, measure, at_least or at_most}. */
Result<std::vector<StatedOutcome>> parseOutcomes(std::string_view json);
/** One measure of a report by its name, such as "attainment", "attainment.worst-class" or "wasted". */
Result<double> measureOf(const Report &report, std::string_view measure);
/** A report as one JSON object. */
std::string toJson(const Report &report);

} // namespace lacewing::replay
