#include "daemon.h"

#include <boost/outcome/try.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of this VM's settings in TOML");
DEFINE_bool(check, false, "check the settings and end");

namespace lacewing::daemon
{
namespace
{

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitListen = 4;

std::string trimmed(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' ')) {
        text.pop_back();
    }
    return text;
}

Result<DaemonContext> readContext(const std::string &path)
{
    BOOST_OUTCOME_TRY(text, settings::readFile(path));
    DaemonContext context;
    BOOST_OUTCOME_TRY(parsed, settings::parse(text, path));
    context.settings = std::move(parsed);
    context.operatorToken = context.settings.operators.token;
    if (context.operatorToken.empty()) {
        BOOST_OUTCOME_TRY(token, settings::readFile(context.settings.operators.tokenFile));
        context.operatorToken = trimmed(token);
    }
    context.seed = context.settings.seed.value_or(settings::randomSeed());
    const std::uint64_t incarnation =
        context.settings.seed ? hashBytes("incarnation", context.seed) : settings::randomSeed();
    context.incarnation = Incarnation(incarnation == 0 ? 1 : incarnation);
    return context;
}

int fail(int code, const Error &error)
{
    std::cerr << "lacewingfalld: " << toText(error.kind) << ": " << error.detail << '\n';
    return code;
}

int runDaemon()
{
    if (FLAGS_settings.empty()) {
        return fail(exitUsage, { ErrorKind::Missing, "--settings=FILE is needed" });
    }
    auto context = readContext(FLAGS_settings);
    if (!context) {
        return fail(exitSettings, context.error());
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return 0;
    }
    auto logger = telemetry::Logger::open(context.value().settings.log);
    if (!logger) {
        return fail(exitSettings, logger.error());
    }
    telemetry::Metrics metrics;
    context.value().logger = logger.value().get();
    context.value().metrics = &metrics;
    Daemon daemon(context.value());
    if (const auto listening = daemon.listen(); !listening) {
        return fail(exitListen, listening.error());
    }
    return daemon.run();
}

} // namespace
} // namespace lacewing::daemon

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs one VM of lacewingfall: lacewingfalld --settings=FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return lacewing::daemon::runDaemon();
}
