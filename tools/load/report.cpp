#include "report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace lacewing::load
{

namespace
{

constexpr double half = 0.5;
constexpr double ninetyFive = 0.95;
constexpr double ninetyNine = 0.99;
constexpr const char *allClasses = "all";

/** Formats like printf. */
template <typename... Values>
std::string format(const char *pattern, Values... values)
{
    std::array<char, 256> buffer {};
    const int size = std::snprintf(buffer.data(), buffer.size(), pattern, values...);
    return { buffer.data(), std::min<std::size_t>(std::size_t(size), buffer.size() - 1) };
}

double toMs(Duration duration)
{
    return toSeconds(duration) * 1'000;
}

void add(ClassSummary &summary, const LiveResult &result)
{
    ++summary.offered;
    ++summary.outcomes[result.outcome];
    if (!result.problem.empty()) {
        ++summary.problems[result.problem];
    }
    if (result.outcome == LiveOutcome::Met || result.outcome == LiveOutcome::Late) {
        summary.latencies.push_back(result.latency);
    }
    for (const auto &stage : result.stages) {
        summary.costByStage[stage.name] += stage.cost.value();
        summary.cost += stage.cost.value();
    }
}

std::string countsLine(const std::string &name, const ClassSummary &summary)
{
    return format("%-20s %7zu %8.4f %7zu %7zu %7zu %7zu %9.1f %9.1f %9.1f\n",
                  name.c_str(),
                  summary.offered,
                  summary.attainment(),
                  summary.count(LiveOutcome::Late),
                  summary.count(LiveOutcome::Refused),
                  summary.count(LiveOutcome::Failed),
                  summary.count(LiveOutcome::Wrong),
                  toMs(percentile(summary.latencies, half)),
                  toMs(percentile(summary.latencies, ninetyFive)),
                  toMs(percentile(summary.latencies, ninetyNine)));
}

std::string detailLines(const std::string &name, const ClassSummary &summary)
{
    std::string text;
    for (const auto &[stage, cost] : summary.costByStage) {
        const double perMet = double(cost) / double(std::max<std::size_t>(summary.count(LiveOutcome::Met), 1));
        text += format("%-20s stage %-20s cost %12lld micros, %10.1f for each met job\n",
                       name.c_str(),
                       stage.c_str(),
                       static_cast<long long>(cost),
                       perMet);
    }
    for (const auto &[problem, count] : summary.problems) {
        text += format("%-20s problem %-24s %7zu\n", name.c_str(), problem.c_str(), count);
    }
    return text;
}

bool isAnswered(const LiveResult &result)
{
    return result.outcome == LiveOutcome::Met || result.outcome == LiveOutcome::Late;
}

} // namespace

double ClassSummary::attainment() const
{
    return offered == 0 ? 1 : double(count(LiveOutcome::Met)) / double(offered);
}

std::size_t ClassSummary::count(LiveOutcome outcome) const
{
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
}

Duration percentile(const std::vector<Duration> &ascending, double share)
{
    if (ascending.empty()) {
        return {};
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * double(ascending.size())));
    return ascending[std::clamp<std::size_t>(rank, 1, ascending.size()) - 1];
}

std::map<std::string, ClassSummary> summarize(const std::vector<LiveResult> &results)
{
    std::map<std::string, ClassSummary> summaries;
    for (const auto &result : results) {
        add(summaries[result.classId.text()], result);
        add(summaries[allClasses], result);
    }
    for (auto &[name, summary] : summaries) {
        std::ranges::sort(summary.latencies);
    }
    return summaries;
}

std::string toTable(const std::map<std::string, ClassSummary> &summaries)
{
    std::string text = format("%-20s %7s %8s %7s %7s %7s %7s %9s %9s %9s\n",
                              "class",
                              "jobs",
                              "attain",
                              "late",
                              "refused",
                              "failed",
                              "wrong",
                              "p50 ms",
                              "p95 ms",
                              "p99 ms");
    for (const auto &[name, summary] : summaries) {
        text += countsLine(name, summary);
    }
    for (const auto &[name, summary] : summaries) {
        text += detailLines(name, summary);
    }
    return text;
}

std::string compareWithDirect(const std::vector<LiveResult> &results, const std::vector<LiveResult> &direct)
{
    std::vector<Duration> through;
    std::vector<Duration> straight;
    for (std::size_t i = 0; i < direct.size(); ++i) {
        if (isAnswered(results[i]) && isAnswered(direct[i])) {
            through.push_back(results[i].latency);
            straight.push_back(direct[i].latency);
        }
    }
    std::ranges::sort(through);
    std::ranges::sort(straight);
    std::string text = format("%zu of %zu jobs answered both ways\n", through.size(), direct.size());
    for (const double share : { half, ninetyFive, ninetyNine }) {
        const double daemon = toMs(percentile(through, share));
        const double endpoint = toMs(percentile(straight, share));
        text += format("p%-3.0f through the daemon %9.2f ms, direct %9.2f ms, ratio %6.3f\n",
                       share * 100,
                       daemon,
                       endpoint,
                       endpoint > 0 ? daemon / endpoint : 0.0);
    }
    return text;
}

std::string toCsv(const std::vector<LiveResult> &results)
{
    std::string text = "index,class,at_ms,latency_ms,first_byte_ms,outcome,problem,ran,cost_micros\n";
    for (const auto &result : results) {
        std::int64_t cost = 0;
        for (const auto &stage : result.stages) {
            cost += stage.cost.value();
        }
        text += std::to_string(result.index) + ',' + result.classId.text();
        text += format(",%.3f,%.3f,", toMs(result.at), toMs(result.latency));
        text += result.firstByte ? format("%.3f", toMs(*result.firstByte)) : "";
        text += ',' + std::string(toText(result.outcome)) + ',' + result.problem + ',' + result.ran + ',';
        text += std::to_string(cost) + '\n';
    }
    return text;
}

} // namespace lacewing::load
