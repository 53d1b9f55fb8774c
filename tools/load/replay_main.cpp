#include "replay_main.h"

#include <replay/replay.h>

#include <boost/outcome/try.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>

DEFINE_bool(replay, false, "Replay against the decision core instead of a live fleet");
DEFINE_string(scenario, "all", "Scenarios to replay, separated by commas, or all; see --list");
DEFINE_string(strategy, "predictive", "Strategies to replay, separated by commas, or all");
DEFINE_uint64(replay_seed, 1, "Seed of the trace and of all decisions");
DEFINE_string(replay_trace, "", "Replay this file of JSON lines instead of the scenario's own trace");
DEFINE_string(write_trace, "", "Write the scenario's trace to this file and stop");
DEFINE_string(outcomes, "", "File of stated outcomes to check the predictive strategy against");
DEFINE_bool(list, false, "List the scenarios and stop");
DEFINE_bool(report_json, false, "Print each report as JSON");

namespace lacewing::load
{

namespace
{

using replay::Report;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

void printHeader()
{
    std::printf("%-22s %-14s %8s %8s %8s %8s %8s %8s %8s %7s %6s\n",
                "scenario",
                "strategy",
                "attain",
                "worst",
                "goodput",
                "cost/met",
                "refused",
                "wasted",
                "fairness",
                "others",
                "cached");
}

void printReport(const Report &report)
{
    const double worst = replay::measureOf(report, "attainment.worst-class").value();
    std::printf("%-22s %-14s %8.4f %8.4f %8.4f %8.0f %8.4f %8.4f %8.4f %7.4f %6.3f\n",
                report.scenario.c_str(),
                report.strategy.c_str(),
                report.total.attainment(),
                worst,
                report.goodput,
                report.costPerMet,
                report.refusedEarly,
                report.wasted,
                report.fairness,
                report.othersAttainment,
                report.cachedShare);
    std::fflush(stdout);
}

/** @return how many outcomes don't hold */
int checkOutcomes(const Report &report, const std::vector<replay::StatedOutcome> &outcomes)
{
    int failed = 0;
    for (const auto &outcome : outcomes) {
        if (outcome.scenario != report.scenario) {
            continue;
        }
        const auto value = replay::measureOf(report, outcome.measure);
        const bool holds = value && (!outcome.atLeast || value.value() >= *outcome.atLeast)
            && (!outcome.atMost || value.value() <= *outcome.atMost);
        const double bound = outcome.atLeast ? *outcome.atLeast : *outcome.atMost;
        std::printf("  %s %s: %s is %.4f, stated %s %.4f\n",
                    holds ? "pass" : "FAIL",
                    report.scenario.c_str(),
                    outcome.measure.c_str(),
                    value ? value.value() : 0,
                    outcome.atLeast ? "at least" : "at most",
                    bound);
        failed += holds ? 0 : 1;
    }
    return failed;
}

/**
 * Checks that the first report isn't under the best of the others, and costs no more than the cheapest that meets its
 * target.
 *
 * @return how many comparisons fail
 */
int compareWithBaselines(const std::vector<Report> &reports)
{
    constexpr double target = 0.95;
    const auto &own = reports.front();
    double best = 0;
    double cheapest = 0;
    for (auto report = reports.begin() + 1; report != reports.end(); ++report) {
        best = std::max(best, report->total.attainment());
        const bool isCheaper = cheapest == 0 || report->costPerMet < cheapest;
        if (report->total.attainment() >= target && isCheaper) {
            cheapest = report->costPerMet;
        }
    }
    const bool isBest = own.total.attainment() >= best;
    std::printf("  %s %s: attainment is %.4f, best baseline %.4f\n",
                isBest ? "pass" : "FAIL",
                own.scenario.c_str(),
                own.total.attainment(),
                best);
    const bool isCheapest = cheapest == 0 || own.costPerMet <= cheapest;
    std::printf("  %s %s: cost per met job is %.0f, cheapest baseline that meets the target %.0f\n",
                isCheapest ? "pass" : "FAIL",
                own.scenario.c_str(),
                own.costPerMet,
                cheapest);
    return (isBest ? 0 : 1) + (isCheapest ? 0 : 1);
}

Result<std::vector<replay::TraceRecord>> traceOf(const replay::Scenario &scenario)
{
    if (FLAGS_replay_trace.empty()) {
        return replay::generateTrace(scenario, FLAGS_replay_seed);
    }
    return replay::parseJsonLines(readFile(FLAGS_replay_trace));
}

Result<int> replayAll(const std::vector<replay::StatedOutcome> &outcomes)
{
    const auto scenarios = FLAGS_scenario == "all" ? replay::scenarioNames() : split(FLAGS_scenario);
    const auto strategies = FLAGS_strategy == "all"
        ? std::vector<std::string> { "predictive", "random", "round-robin", "least-reported" }
        : split(FLAGS_strategy);
    int failed = 0;
    printHeader();
    for (const auto &name : scenarios) {
        BOOST_OUTCOME_TRY(scenario, replay::makeScenario(name));
        BOOST_OUTCOME_TRY(trace, traceOf(scenario));
        if (!FLAGS_write_trace.empty()) {
            std::ofstream(FLAGS_write_trace) << replay::toJsonLines(trace);
            return 0;
        }
        std::vector<Report> reports;
        for (const auto &strategyName : strategies) {
            BOOST_OUTCOME_TRY(strategy, replay::strategyFromText(strategyName));
            const auto report = replay::replay(scenario, trace, { strategy, FLAGS_replay_seed });
            reports.push_back(report);
            printReport(report);
            if (FLAGS_report_json) {
                std::printf("%s\n", replay::toJson(report).c_str());
            }
            if (strategyName == "predictive") {
                failed += checkOutcomes(report, outcomes);
            }
        }
        if (!outcomes.empty() && reports.size() > 1) {
            failed += compareWithBaselines(reports);
        }
    }
    return failed;
}

} // namespace

int runReplay(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_list) {
        for (const auto &name : replay::scenarioNames()) {
            std::printf("%s\n", name.c_str());
        }
        return 0;
    }
    std::vector<replay::StatedOutcome> outcomes;
    if (!FLAGS_outcomes.empty()) {
        const auto parsed = replay::parseOutcomes(readFile(FLAGS_outcomes));
        if (!parsed) {
            std::fprintf(stderr, "%s: %s\n", FLAGS_outcomes.c_str(), parsed.error().detail.c_str());
            return 2;
        }
        outcomes = parsed.value();
    }
    const auto failed = replayAll(outcomes);
    if (!failed) {
        std::fprintf(stderr, "%s\n", failed.error().detail.c_str());
        return 2;
    }
    if (!outcomes.empty()) {
        std::printf("%d stated outcomes don't hold\n", failed.value());
    }
    return failed.value() == 0 ? 0 : 1;
}

} // namespace lacewing::load
