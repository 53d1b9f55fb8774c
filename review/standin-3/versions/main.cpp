#include "../../standin-2/fleet.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

/** Streams of two software versions, on the stand-ins of the second review. */
namespace lacewing::review3
{
namespace
{

using namespace std::chrono_literals;
using review2::Fleet;
using review2::Outcome;
using review2::RunnerSpec;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int unusable = 2;
constexpr int events = 20;

std::string desiredState()
{
    return R"({"version":1,"routes":[{"name":"chat","path-prefix":"/chat/","kind":"streaming","gap-aim-ms":250,
"resumable":true,"stages":[],"host":"h.example","target-latency-ms":1700,"timeout-ms":20000,"priority":0,
"service":"pool","attempts":2,"public":false,"sticky":true}],
"services":[{"name":"pool","health-path":"/health","max-conns":620,"protocol":"h1","tls":false,
"engine":{"slots":128,"kv-tokens":645952}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t","api-keys":["key-of-t"]}]})";
}

/**
 * The store is down for 4.4 s. A runner crashes while nothing is asked of it, and is back under its id as another
 * version; two others crash while streams run there that began at its former version.
 */
int restartInOutage(Fleet &fleet, bool hasTrouble)
{
    constexpr int vms = 2;
    constexpr int runners = 7;
    constexpr int ofFirstVersion = 5;
    constexpr int streams = 200; // in a second, 2.5 times the streams of the sheet
    fleet.publishState(desiredState());
    const auto spec = [](int index, const std::string &version) {
        return RunnerSpec {
            "r-" + std::to_string(index), std::string(1, char('a' + index % 3)), version, 100, 250, events
        };
    };
    for (int index = 0; index < runners; ++index) {
        fleet.startRunner(spec(index, index < ofFirstVersion ? "v1" : "v2"));
    }
    for (int vm = 0; vm < vms; ++vm) {
        fleet.startVm(vm, std::string(1, char('a' + vm)));
    }
    for (int vm = 0; vm < vms; ++vm) {
        if (!fleet.waitReady(vm)) {
            return unusable;
        }
    }
    fleet.runFor(4s); // all VMs are in touch
    if (hasTrouble) {
        fleet.setStoreDown(true);
        fleet.killRunner("r-0");
    }
    fleet.runFor(2s);
    if (hasTrouble) {
        fleet.startRunner(spec(0, "v2"));
    }
    fleet.runFor(200ms);
    std::vector<std::shared_ptr<Outcome>> outcomes;
    for (int index = 0; index < streams; ++index) {
        outcomes.push_back(fleet.send(fleet.newRequester(),
                                      index % vms,
                                      "/chat/x",
                                      "stream-" + std::to_string(index),
                                      { { "Model", "m" } },
                                      15'000));
        fleet.runFor(5ms);
    }
    fleet.runFor(500ms);
    if (hasTrouble) {
        fleet.killRunner("r-1");
        fleet.killRunner("r-2");
    }
    fleet.runFor(700ms);
    if (hasTrouble) {
        fleet.setStoreDown(false);
    }
    fleet.waitFor(
        [&] { return std::all_of(outcomes.begin(), outcomes.end(), [](const auto &o) { return o->isDone; }); }, 15s);
    int mixed = 0;
    int complete = 0;
    for (const auto &outcome : outcomes) {
        complete += outcome->isComplete && outcome->lastEventId == std::to_string(events) ? 1 : 0;
        if (outcome->versions.size() > 1) {
            ++mixed;
            fleet.record("events of two software versions: " + outcome->attempt + ", " + outcome->versions[0] + " then "
                         + outcome->versions[1]);
        }
    }
    fleet.record("streams " + std::to_string(outcomes.size()) + ", complete: " + std::to_string(complete)
                 + ", with events of two software versions: " + std::to_string(mixed) + " (ORDER allows 2)");
    return mixed > 2 ? broken : held;
}

int run(int argc, char **argv)
{
    if (argc == 10 && std::string(argv[1]) == "runner") {
        return review2::runRunner(
            { argv[2], argv[3], argv[4], std::atoi(argv[5]), std::atoi(argv[6]), std::atoi(argv[7]) },
            argv[8],
            argv[9]);
    }
    if (argc != 3) {
        std::cerr << "usage: versions-3 GATEWAY RECORD\n";
        return unusable;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Fleet fleet("/proc/self/exe", argv[1], argv[2]);
    const int result = restartInOutage(fleet, hasTrouble);
    fleet.record(result == broken ? "broken" : result == held ? "held" : "the case could not run");
    return result;
}

} // namespace
} // namespace lacewing::review3

int main(int argc, char **argv)
{
    return lacewing::review3::run(argc, argv);
}
