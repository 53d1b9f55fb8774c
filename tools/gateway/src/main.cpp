#include "gateway.h"

#include <boost/outcome/try.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

DEFINE_string(settings, "", "path of this VM's settings; by default the platform's variable names it");
DEFINE_bool(check, false, "check the settings and end");

namespace lacewing::gateway
{
namespace
{

/** Size from which an allocation has pages of its own. */
constexpr int ownPagesBytes = 256 * 1024;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitListen = 4;

int fail(int code, const Error &error)
{
    std::cerr << "lacewing-gateway: " << toText(error.kind) << ": " << error.detail << '\n';
    return code;
}

Result<userplatform::VmSettings> readSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(text, settings::readFile(path));
    return userplatform::parseSettings(text, path);
}

int runGateway()
{
    const char *variable = std::getenv(userplatform::settingsFileVariable);
    const std::string path = !FLAGS_settings.empty() ? FLAGS_settings : variable != nullptr ? variable : "";
    if (path.empty()) {
        return fail(exitUsage,
                    { ErrorKind::Missing,
                      std::string("--settings=FILE or ") + userplatform::settingsFileVariable + " is needed" });
    }
    const auto settings = readSettings(path);
    if (!settings) {
        return fail(exitSettings, settings.error());
    }
    if (FLAGS_check) {
        std::cout << path << ": valid\n";
        return 0;
    }
    // Line buffering, so that log lines are not lost when the process is killed.
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    settings::LogSettings logSettings;
    logSettings.file = settings::standardOutput;
    const auto logger = telemetry::Logger::open(logSettings);
    if (!logger) {
        return fail(exitSettings, logger.error());
    }
    telemetry::Metrics metrics;
    net::EventLoop loop;
    const std::uint64_t seed = settings::randomSeed();
    Context context { loop, settings.value(), *logger.value(), metrics, Incarnation(seed | 1U) };
    Gateway gateway(context, seed);
    if (const auto listening = gateway.listen(); !listening) {
        return fail(exitListen, listening.error());
    }
    context.logger.state("started",
                         { { "vm", settings.value().vm },
                           { "zone", settings.value().zone },
                           { "callers", net::toText(settings.value().callerAddress) },
                           { "store", settings.value().storeAddress } });
    return gateway.run();
}

} // namespace
} // namespace lacewing::gateway

int main(int argc, char **argv)
{
    // Bodies of requests then have pages of their own, which go back to the system when they are freed. Without a fixed
    // threshold the first of them that is freed raises it, and later ones leave gaps in the heap.
    mallopt(M_MMAP_THRESHOLD, lacewing::gateway::ownPagesBytes);
    gflags::SetUsageMessage("serves callers on one VM of the users' platform: lacewing-gateway [--settings=FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return lacewing::gateway::runGateway();
}
