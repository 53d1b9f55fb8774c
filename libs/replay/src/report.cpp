#include "engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace lacewing::replay
{

using nlohmann::json;

namespace
{

/** Workspaces with fewer jobs say too little about fairness. */
constexpr std::uint64_t fairnessJobs = 50;

json toObject(const Counts &counts)
{
    return { { "offered", counts.offered },        { "met", counts.met },         { "late", counts.late },
             { "refused", counts.refused },        { "dropped", counts.dropped }, { "failed", counts.failed },
             { "attainment", counts.attainment() } };
}

double worstClass(const Report &report)
{
    double worst = 1;
    for (const auto &[id, counts] : report.classes) {
        worst = std::min(worst, counts.attainment());
    }
    return worst;
}

} // namespace

void Engine::summariseWorkspaces(Report &report) const
{
    std::set<WorkspaceId> surging;
    for (const auto &surge : scenario_.surges) {
        if (surge.workspace) {
            surging.insert(WorkspaceId("w" + std::to_string(*surge.workspace)));
        }
    }
    Counts others;
    double worst = 1;
    for (const auto &[id, counts] : report.workspaces) {
        if (surging.contains(id)) {
            continue;
        }
        others.offered += counts.offered;
        others.met += counts.met;
        if (counts.offered >= fairnessJobs) {
            worst = std::min(worst, counts.attainment());
        }
    }
    report.othersAttainment = others.attainment();
    report.fairness = others.met == 0 ? 0 : worst / others.attainment();
}

void Engine::summarise(Report &report) const
{
    report.scenario = scenario_.name;
    report.strategy = std::string(toText(options_.strategy));
    report.seed = options_.seed;
    summariseWorkspaces(report);
    const double met = double(std::max<std::uint64_t>(report.total.met, 1));
    for (const auto &[kind, cost] : stageCost_) {
        report.costByStage[kind] = cost / met;
        report.costPerMet += cost / met;
    }
    const double offered = double(std::max<std::uint64_t>(report.total.offered, 1));
    report.refusedEarly = double(report.total.refused) / offered;
    report.wasted = usedSeconds_ > 0 ? wastedSeconds_ / usedSeconds_ : 0;
    const auto model = std::find_if(scenario_.workload.pools.begin(),
                                    scenario_.workload.pools.end(),
                                    [&](const PoolModel &one) { return one.spec.id == bottleneck_; });
    const double seconds = toSeconds(scenario_.duration - scenario_.warmUp);
    const double capacity = double(model->endpoints) * model->slots * seconds - capacityLost_;
    const bool isOverloaded = offeredBottleneck_ > capacity;
    report.goodput = isOverloaded ? doneBottleneck_ / capacity : metBottleneck_ / std::max(offeredBottleneck_, 1e-9);
    report.endpointsLostPerPoison = suspects_.mostCrashes();
    report.falselyQuarantined = suspects_.falselyQuarantined();
    report.avoidedShare = avoidedSamples_ > 0 ? avoided_ / avoidedSamples_ : 0;
    report.cachedShare = generating_ > 0 ? double(cached_) / double(generating_) : 0;
}

Report replay(const Scenario &scenario, const std::vector<TraceRecord> &trace, const ReplayOptions &options)
{
    return Engine(scenario, trace, options).run();
}

std::string_view toText(const policy::Strategy &strategy) noexcept
{
    return std::visit(Overloaded {
                          [](const policy::Predictive &) { return std::string_view("predictive"); },
                          [](const policy::RandomChoice &) { return std::string_view("random"); },
                          [](const policy::RoundRobin &) { return std::string_view("round-robin"); },
                          [](const policy::LeastReportedLoad &) { return std::string_view("least-reported"); },
                      },
                      strategy);
}

Result<policy::Strategy> strategyFromText(std::string_view text)
{
    for (const auto &strategy : { policy::Strategy(policy::Predictive {}),
                                  policy::Strategy(policy::RandomChoice {}),
                                  policy::Strategy(policy::RoundRobin {}),
                                  policy::Strategy(policy::LeastReportedLoad {}) }) {
        if (toText(strategy) == text) {
            return strategy;
        }
    }
    return failure(ErrorKind::NotFound, "no strategy " + std::string(text));
}

Result<std::vector<StatedOutcome>> parseOutcomes(std::string_view text)
{
    std::vector<StatedOutcome> outcomes;
    try {
        for (const auto &item : json::parse(text)) {
            StatedOutcome outcome;
            outcome.scenario = item.at("scenario").get<std::string>();
            outcome.measure = item.at("measure").get<std::string>();
            if (item.contains("at_least")) {
                outcome.atLeast = item.at("at_least").get<double>();
            }
            if (item.contains("at_most")) {
                outcome.atMost = item.at("at_most").get<double>();
            }
            if (!outcome.atLeast && !outcome.atMost) {
                return failure(ErrorKind::Missing, outcome.scenario + ": an outcome needs at_least or at_most");
            }
            outcomes.push_back(std::move(outcome));
        }
    } catch (const json::exception &error) {
        return failure(ErrorKind::Malformed, error.what());
    }
    return outcomes;
}

Result<double> measureOf(const Report &report, std::string_view measure)
{
    const std::map<std::string_view, double> values {
        { "attainment", report.total.attainment() },
        { "attainment.worst-class", worstClass(report) },
        { "attainment.others", report.othersAttainment },
        { "goodput", report.goodput },
        { "wasted", report.wasted },
        { "fairness", report.fairness },
        { "refused-early", report.refusedEarly },
        { "cost-per-met", report.costPerMet },
        { "endpoints-lost-per-poison", double(report.endpointsLostPerPoison) },
        { "falsely-quarantined", double(report.falselyQuarantined) },
    };
    const auto found = values.find(measure);
    if (found == values.end()) {
        return failure(ErrorKind::NotFound, "no measure " + std::string(measure));
    }
    return found->second;
}

std::string toJson(const Report &report)
{
    json object;
    object["scenario"] = report.scenario;
    object["strategy"] = report.strategy;
    object["seed"] = report.seed;
    object["total"] = toObject(report.total);
    for (const auto &[id, counts] : report.classes) {
        object["classes"][id.text()] = toObject(counts);
    }
    for (const auto &[reason, count] : report.refusals) {
        object["refusals"][reason] = count;
    }
    for (const auto &[kind, cost] : report.costByStage) {
        object["cost_by_stage"][kind] = cost;
    }
    object["cost_per_met"] = report.costPerMet;
    object["refused_early"] = report.refusedEarly;
    object["wasted"] = report.wasted;
    object["fairness"] = report.fairness;
    object["goodput"] = report.goodput;
    object["others_attainment"] = report.othersAttainment;
    object["endpoints_lost_per_poison"] = report.endpointsLostPerPoison;
    object["falsely_quarantined"] = report.falselyQuarantined;
    object["hedges"] = report.hedges;
    object["retries"] = report.retries;
    object["avoided_share"] = report.avoidedShare;
    object["cached_share"] = report.cachedShare;
    return object.dump(2);
}

} // namespace lacewing::replay
