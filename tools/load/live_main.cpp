#include "live_main.h"

#include "live_driver.h"
#include "report.h"

#include <boost/outcome/try.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>

DEFINE_string(live, "", "Public addresses of daemons, separated by commas; used in turn");
DEFINE_string(trace, "", "File of JSON lines to replay; see --write_trace");
DEFINE_string(live_scenario, "", "Replay this scenario's generated trace instead of a file; see --list");
DEFINE_string(configuration, "", "The fleet's configuration in TOML; tells the stages of each class");
DEFINE_string(token, "", "Callers' bearer token");
DEFINE_bool(stream, false, "Ask for streamed answers");
DEFINE_double(speed, 1, "Divides the trace's times");
DEFINE_uint64(max_jobs, 10'000, "Send at most this many jobs");
DEFINE_uint64(max_seconds, 300, "Give up after this many seconds");
DEFINE_string(direct, "", "Also run each job directly on endpoints: pool=ip:port, separated by commas");
DEFINE_string(csv, "", "Write one line for each job to this file");
DEFINE_string(svg, "", "Write a plot of the times to this file");

namespace lacewing::load
{

namespace
{

constexpr std::uint64_t traceSeed = 1;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorKind::Io, "can't read " + path);
    }
    return std::string { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

Result<void> writeFile(const std::string &path, const std::string &text)
{
    if (path.empty()) {
        return success();
    }
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        return failure(ErrorKind::Io, "can't write " + path);
    }
    return success();
}

Result<std::vector<replay::TraceRecord>> readTrace()
{
    if (!FLAGS_live_scenario.empty()) {
        BOOST_OUTCOME_TRY(scenario, replay::makeScenario(FLAGS_live_scenario));
        return replay::generateTrace(scenario, traceSeed);
    }
    BOOST_OUTCOME_TRY(text, readFile(FLAGS_trace));
    return replay::parseJsonLines(text);
}

Result<config::FleetConfig> readConfiguration()
{
    BOOST_OUTCOME_TRY(text, readFile(FLAGS_configuration));
    BOOST_OUTCOME_TRY(items, config::parseItems(text));
    config::FleetConfig configuration;
    for (const auto &item : items) {
        config::overlay(configuration, { config::keyOf(item), ConfigVersion(1), item });
    }
    return configuration;
}

Result<LiveSettings> readSettings()
{
    LiveSettings settings;
    settings.daemons = split(FLAGS_live);
    settings.token = FLAGS_token;
    settings.stream = FLAGS_stream;
    settings.speed = FLAGS_speed;
    settings.limit = std::chrono::seconds(FLAGS_max_seconds);
    if (settings.daemons.empty() || settings.speed <= 0) {
        return failure(ErrorKind::InvalidArgument, "--live needs addresses and --speed a number over 0");
    }
    for (const auto &part : split(FLAGS_direct)) {
        const auto equals = part.find('=');
        if (equals == std::string::npos) {
            return failure(ErrorKind::InvalidArgument, "--direct: " + part + " is not pool=ip:port");
        }
        settings.direct[PoolId(part.substr(0, equals))].push_back(part.substr(equals + 1));
    }
    return settings;
}

/** Prints and writes what came out. @return the exit status */
Result<int> report(const LiveReport &live)
{
    const auto summaries = summarize(live.results);
    std::fputs(toTable(summaries).c_str(), stdout);
    if (!live.direct.empty()) {
        std::fputs(compareWithDirect(live.results, live.direct).c_str(), stdout);
    }
    BOOST_OUTCOME_TRYV(writeFile(FLAGS_csv, toCsv(live.results)));
    BOOST_OUTCOME_TRYV(writeFile(FLAGS_svg, toSvg(summaries)));
    const bool anyWrong = std::any_of(live.results.begin(), live.results.end(), [](const LiveResult &result) {
        return result.outcome == LiveOutcome::Wrong;
    });
    return anyWrong ? 1 : 0;
}

Result<int> run()
{
    BOOST_OUTCOME_TRY(settings, readSettings());
    BOOST_OUTCOME_TRY(trace, readTrace());
    BOOST_OUTCOME_TRY(configuration, readConfiguration());
    if (trace.size() > FLAGS_max_jobs) {
        trace.resize(FLAGS_max_jobs);
    }
    BOOST_OUTCOME_TRY(jobs, makeJobs(trace, configuration));
    net::EventLoop loop;
    return report(runJobs(loop, jobs, settings));
}

} // namespace

int runLive(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto status = run();
    if (!status) {
        std::fprintf(stderr, "%s\n", status.error().detail.c_str());
        return 2;
    }
    return status.value();
}

} // namespace lacewing::load
