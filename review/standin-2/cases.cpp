#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace lacewing::review2
{
namespace
{

using namespace std::chrono_literals;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int unusable = 2;

/** A desired state of a service of engines, and of one that makes pieces for a route with a stage. */
std::string stateText(bool isResumable, bool hasStages = false)
{
    const std::string common = ",\"host\":\"h.example\",\"target-latency-ms\":1700,\"timeout-ms\":20000,\"priority\":0,"
                               "\"service\":\"pool\",\"attempts\":2,\"public\":false,\"sticky\":true";
    const std::string stagedRoute = hasStages
        ? "},{\"name\":\"bid\",\"path-prefix\":\"/bid/\",\"kind\":\"streaming\",\"gap-aim-ms\":250,"
          "\"resumable\":false,\"stages\":[{\"service\":\"intake\",\"after\":[],\"bytes\":1500000}]"
            + common
        : std::string();
    const std::string stageService = hasStages
        ? ",{\"name\":\"intake\",\"health-path\":\"/health\",\"max-conns\":620,\"protocol\":\"h1\",\"tls\":false,"
          "\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":14,\"call-ms\":200.0,\"item-ms\":12.0,"
          "\"headroom-mb\":32.0,\"handle-s\":4.0,\"link-mbps\":10000}}"
        : std::string();
    return "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"path-prefix\":\"/chat/\",\"kind\":\"streaming\","
           "\"gap-aim-ms\":250,\"resumable\":"
        + std::string(isResumable ? "true" : "false") + ",\"stages\":[]" + common + stagedRoute
        + "},{\"name\":\"read\",\"path-prefix\":\"/read/\",\"kind\":\"safe\",\"resumable\":false,\"stages\":[]" + common
        + "}],\"services\":[{\"name\":\"pool\",\"health-path\":\"/health\",\"max-conns\":620,\"protocol\":\"h1\","
          "\"tls\":false,\"engine\":{\"slots\":128,\"kv-tokens\":645952}}"
        + stageService
        + "],\"limits\":{\"max-header-bytes\":16384,"
          "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
          "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"key-of-t\"]}]}";
}

/** A prompt of many parts, of which only the last is the request's own. @return the header's value and its tokens */
std::pair<std::string, int> promptOf(std::uint32_t first, int parts, int digits = 8)
{
    std::string text;
    for (int part = 0; part < parts; ++part) {
        char entry[24];
        std::snprintf(entry, sizeof entry, "%s%0*x:8", part == 0 ? "" : ",", digits, first + std::uint32_t(part));
        text += entry;
    }
    return { text, parts * 8 };
}

/** A runner crashes while requests run whose prompts have many parts. */
int crashWithLongPrompts(Fleet &fleet, bool hasTrouble)
{
    constexpr int vms = 3;
    constexpr int requestsPerVm = 60;
    constexpr int parts = 400; // heads of 5 kB, of 16,384 B that they may have
    fleet.publishState(stateText(false));
    for (int index = 0; index < 4; ++index) { // one of four is within the share of runners that may crash
        fleet.startRunner(
            { "r-" + std::to_string(index), std::string(1, char('a' + index % 3)), "v1", 1'500, 100, 20 });
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
    std::vector<Fleet::Requester> requesters;
    std::vector<std::shared_ptr<Outcome>> first;
    for (int index = 0; index < vms * requestsPerVm; ++index) {
        requesters.push_back(fleet.newRequester());
        first.push_back(
            fleet.send(requesters.back(), index % vms, "/read/x", "first-" + std::to_string(index), {}, 3'000));
    }
    fleet.waitFor([&] { return std::all_of(first.begin(), first.end(), [](const auto &o) { return o->isDone; }); }, 4s);
    for (const auto &outcome : first) {
        if (outcome->status != 200) {
            return unusable;
        }
    }
    std::vector<std::shared_ptr<Outcome>> outcomes;
    for (int index = 0; index < vms * requestsPerVm; ++index) {
        const auto [prompt, tokens] = promptOf(0x10000000U + std::uint32_t(index) * 0x10000U, parts);
        outcomes.push_back(fleet.send(
            requesters[std::size_t(index)],
            index % vms,
            "/chat/x",
            "long-" + std::to_string(index),
            { { "Model", "m" }, { "Token-Counts", std::to_string(tokens) + ",80" }, { "Prompt-Prefix", prompt } },
            15'000));
    }
    fleet.runFor(500ms);
    if (hasTrouble) {
        fleet.killRunner("r-0");
    }
    fleet.waitFor(
        [&] { return std::all_of(outcomes.begin(), outcomes.end(), [](const auto &o) { return o->isDone; }); }, 16s);
    const auto runs = fleet.runs();
    int lost = 0;
    int served = 0;
    for (const auto &outcome : outcomes) {
        const auto run = runs.find(outcome->attempt);
        const bool atSoundRunner = run != runs.end() && run->second != "r-0";
        lost += atSoundRunner && outcome->onKeptChannel && outcome->status == 0 ? 1 : 0;
        served += outcome->isComplete && outcome->status == 200 ? 1 : 0;
    }
    int ended = 0;
    for (int vm = 0; vm < vms; ++vm) {
        ended += fleet.ending(vm) ? 1 : 0;
    }
    fleet.record("requests " + std::to_string(outcomes.size()) + ", served " + std::to_string(served));
    fleet.record("passed on from kept channels to sound runners, channel closed without an answer: "
                 + std::to_string(lost) + " (LOST allows 3)");
    fleet.record("gateways that ended by themselves: " + std::to_string(ended) + " of " + std::to_string(vms));
    return lost > 3 ? broken : held;
}

/** The machines are restarted one after the other while streams run and runners are of two software versions. */
int takenUpAfterRoll(Fleet &fleet, bool hasTrouble)
{
    constexpr int streams = 16;
    fleet.publishState(stateText(true));
    for (int index = 0; index < 4; ++index) {
        fleet.startRunner({ "r-" + std::to_string(index),
                            std::string(1, char('a' + index % 3)),
                            index < 2 ? "v1" : "v2",
                            100,
                            250,
                            70 });
    }
    for (int vm = 0; vm < 3; ++vm) {
        fleet.startVm(vm, std::string(1, char('a' + vm)));
    }
    for (int vm = 0; vm < 3; ++vm) {
        if (!fleet.waitReady(vm)) {
            return unusable;
        }
    }
    fleet.runFor(4s);
    const Time begun = fleet.loop().clock().now();
    std::vector<std::shared_ptr<Outcome>> firsts;
    std::vector<Fleet::Requester> requesters;
    for (int index = 0; index < streams; ++index) {
        requesters.push_back(fleet.newRequester());
        firsts.push_back(fleet.send(
            requesters.back(), 0, "/chat/x", "stream-" + std::to_string(index), { { "Model", "m" } }, 20'000));
    }
    fleet.runFor(1s);
    const auto restart = [&](int vm) {
        fleet.signalVm(vm, SIGTERM);
        if (!fleet.waitFor([&] { return fleet.ending(vm).has_value(); }, 9s)) {
            return false;
        }
        fleet.runFor(300ms);
        fleet.startVm(vm, std::string(1, char('a' + vm)));
        return fleet.waitReady(vm);
    };
    if (hasTrouble) {
        if (!restart(1) || !restart(2)) {
            return unusable;
        }
        fleet.signalVm(0, SIGTERM);
    } else {
        fleet.runFor(14s);
        requesters.clear();
        fleet.closeRequesters(); // so that the same streams are taken up again
    }
    fleet.waitFor([&] { return std::all_of(firsts.begin(), firsts.end(), [](const auto &o) { return o->isDone; }); },
                  hasTrouble ? 12s : 1ms);
    int takenUp = 0;
    int goOn = 0;
    std::vector<std::shared_ptr<Outcome>> resumed;
    std::vector<std::shared_ptr<Outcome>> fresh;
    for (const auto &first : firsts) {
        if (first->lastEventId.empty() || first->lastEventId == "70") {
            continue;
        }
        ++takenUp;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(begun + std::chrono::seconds(20)
                                                                                - fleet.loop().clock().now())
                              .count();
        const int vm = 1 + takenUp % 2;
        resumed.push_back(
            fleet.send(fleet.newRequester(),
                       vm,
                       "/chat/x",
                       first->attempt + "-again",
                       { { "Model", "m" }, { "Last-Event-Id", first->lastEventId }, { "Resumes", first->attempt } },
                       int(left)));
        fresh.push_back(
            fleet.send(fleet.newRequester(), vm, "/chat/x", first->attempt + "-new", { { "Model", "m" } }, 20'000));
    }
    fleet.waitFor([&] { return std::all_of(resumed.begin(), resumed.end(), [](const auto &o) { return o->isDone; }); },
                  6s);
    int begin = 0;
    for (const auto &outcome : resumed) {
        goOn += outcome->status == 200 ? 1 : 0;
    }
    for (const auto &outcome : fresh) {
        begin += outcome->status == 200 && !outcome->lastEventId.empty() ? 1 : 0;
    }
    fleet.record("streams taken up again: " + std::to_string(takenUp) + ", of which go on: " + std::to_string(goOn)
                 + "; new streams sent at the same time: " + std::to_string(fresh.size())
                 + ", of which begin: " + std::to_string(begin));
    if (takenUp < 12) {
        return unusable;
    }
    return goOn * 2 < begin ? broken : held;
}

/** A client outside the limits sends heads with very many prompt parts. */
int memoryOfPromptParts(Fleet &fleet, bool hasTrouble)
{
    constexpr int memoryMb = 260;
    constexpr std::size_t bytesPerMb = 1'000'000;
    fleet.publishState(stateText(false));
    fleet.startRunner({ "r-0", "a", "v1", 20, 20, 1 });
    fleet.startRunner({ "r-1", "b", "v1", 20, 20, 1 });
    fleet.startVm(0, "a", memoryMb);
    if (!fleet.waitReady(0)) {
        return unusable;
    }
    fleet.runFor(4s);
    constexpr int strangers = 20;
    std::vector<Fleet::Requester> channels;
    std::vector<std::shared_ptr<Outcome>> pending(strangers);
    for (int index = 0; index < strangers; ++index) {
        channels.push_back(fleet.newRequester());
    }
    const auto ordinary = fleet.newRequester();
    std::shared_ptr<Outcome> ordinaryOutcome;
    std::size_t largest = 0;
    int sent = 0;
    int ordinarySent = 0;
    int ordinaryServed = 0;
    const Time end = fleet.loop().clock().now() + 20s;
    while (fleet.loop().clock().now() < end && !fleet.ending(0)) {
        for (int index = 0; hasTrouble && index < strangers / 10; ++index) {
            const auto at = std::size_t(sent % strangers);
            if (pending[at] && !pending[at]->isDone) {
                continue;
            }
            const auto [prompt, tokens] = promptOf(std::uint32_t(++sent) * 0x1a00U, 6'600, 6);
            pending[at] = fleet.send(
                channels[at],
                0,
                "/chat/x",
                "stranger-" + std::to_string(sent),
                { { "Model", "m" }, { "Token-Counts", std::to_string(tokens) + ",8" }, { "Prompt-Prefix", prompt } },
                5'000);
        }
        if (!ordinaryOutcome || ordinaryOutcome->isDone) {
            ordinaryServed += ordinaryOutcome && ordinaryOutcome->status == 200 ? 1 : 0;
            ordinaryOutcome =
                fleet.send(ordinary, 0, "/read/x", "ordinary-" + std::to_string(++ordinarySent), {}, 3'000);
        }
        fleet.runFor(20ms);
        const auto resident = fleet.residentBytes(0);
        if (resident / (10 * bytesPerMb) > largest / (10 * bytesPerMb)) {
            fleet.record("vm-0 has " + std::to_string(resident / bytesPerMb) + " MB resident");
        }
        largest = std::max(largest, resident);
        if (largest > memoryMb * bytesPerMb * 105 / 100) {
            fleet.record("vm-0 exceeds memory-mb; the platform kills it");
            fleet.signalVm(0, SIGKILL);
            fleet.runFor(200ms);
            break;
        }
    }
    fleet.record("requests with long heads: " + std::to_string(sent) + "; ordinary requests: "
                 + std::to_string(ordinarySent) + ", served: " + std::to_string(ordinaryServed));
    fleet.record("largest resident memory: " + std::to_string(largest / bytesPerMb) + " MB of "
                 + std::to_string(memoryMb) + " MB");
    return largest > memoryMb * bytesPerMb * 105 / 100 ? broken : held;
}

/** Counts the streams with events of two software versions, once all have ended. */
int countMixed(Fleet &fleet, const std::vector<std::shared_ptr<Outcome>> &outcomes)
{
    fleet.waitFor(
        [&] { return std::all_of(outcomes.begin(), outcomes.end(), [](const auto &o) { return o->isDone; }); }, 15s);
    int mixed = 0;
    int complete = 0;
    for (const auto &outcome : outcomes) {
        mixed += outcome->versions.size() > 1 ? 1 : 0;
        complete += outcome->isComplete && outcome->lastEventId == "20" ? 1 : 0;
        if (outcome->versions.size() > 1) {
            fleet.record("events of two software versions: " + outcome->attempt + ", " + outcome->versions[0] + " then "
                         + outcome->versions[1]);
        }
    }
    fleet.record("streams " + std::to_string(outcomes.size()) + ", complete: " + std::to_string(complete)
                 + ", with events of two software versions: " + std::to_string(mixed) + " (ORDER allows 2)");
    return mixed > 2 ? broken : held;
}

/** A runner goes down and up by turns, and is of another software version when it comes back under its id. */
int flapWithNewVersion(Fleet &fleet, bool hasTrouble)
{
    constexpr int vms = 2;
    constexpr int rounds = 3;
    constexpr int streamsPerRound = 36;
    fleet.publishState(stateText(true));
    const auto spec = [](int index, const std::string &version) {
        return RunnerSpec {
            "r-" + std::to_string(index), std::string(1, char('a' + index % 3)), version, 100, 250, 20
        };
    };
    for (int index = 0; index < 6; ++index) {
        fleet.startRunner(spec(index, index < 4 ? "v1" : "v2"));
    }
    for (int vm = 0; vm < vms; ++vm) {
        fleet.startVm(vm, std::string(1, char('a' + vm)));
    }
    for (int vm = 0; vm < vms; ++vm) {
        if (!fleet.waitReady(vm)) {
            return unusable;
        }
    }
    fleet.runFor(4s);
    std::vector<std::shared_ptr<Outcome>> outcomes;
    for (int round = 0; round < rounds; ++round) {
        const std::string id = "r-" + std::to_string(round);
        if (hasTrouble) {
            fleet.killRunner(id);
        }
        fleet.runFor(2s);
        if (hasTrouble) {
            fleet.startRunner(spec(round, "v2"));
        }
        fleet.runFor(30ms);
        for (int index = 0; index < streamsPerRound; ++index) {
            outcomes.push_back(fleet.send(fleet.newRequester(),
                                          index % vms,
                                          "/chat/x",
                                          "stream-" + std::to_string(round) + "-" + std::to_string(index),
                                          { { "Model", "m" } },
                                          15'000));
        }
        fleet.runFor(1500ms);
        if (hasTrouble) {
            fleet.killRunner(id);
        }
        fleet.runFor(5s);
    }
    return countMixed(fleet, outcomes);
}

/**
 * A runner starts again under its id, as another software version, while the store is down, and streams are taken there
 * that began at its former version. Not a case of its own; an open point of an incident report.
 */
int restartHiddenByOutage(Fleet &fleet, bool hasTrouble)
{
    constexpr int vms = 2;
    constexpr int streams = 60;
    fleet.publishState(stateText(true));
    const auto spec = [](int index, const std::string &version) {
        return RunnerSpec {
            "r-" + std::to_string(index), std::string(1, char('a' + index % 3)), version, 100, 250, 20
        };
    };
    for (int index = 0; index < 6; ++index) {
        fleet.startRunner(spec(index, index < 4 ? "v1" : "v2"));
    }
    for (int vm = 0; vm < vms; ++vm) {
        fleet.startVm(vm, std::string(1, char('a' + vm)));
    }
    for (int vm = 0; vm < vms; ++vm) {
        if (!fleet.waitReady(vm)) {
            return unusable;
        }
    }
    fleet.runFor(4s);
    if (hasTrouble) {
        fleet.setStoreDown(true);
        fleet.killRunner("r-0");
    }
    fleet.runFor(2s);
    if (hasTrouble) {
        fleet.startRunner(spec(0, "v2"));
    }
    fleet.runFor(500ms);
    std::vector<std::shared_ptr<Outcome>> outcomes;
    for (int index = 0; index < streams; ++index) {
        outcomes.push_back(fleet.send(fleet.newRequester(),
                                      index % vms,
                                      "/chat/x",
                                      "stream-" + std::to_string(index),
                                      { { "Model", "m" } },
                                      15'000));
    }
    fleet.runFor(1500ms);
    if (hasTrouble) {
        fleet.killRunner("r-1");
        fleet.killRunner("r-2");
    }
    fleet.runFor(2500ms);
    if (hasTrouble) {
        fleet.setStoreDown(false);
    }
    return countMixed(fleet, outcomes);
}

/** Clients send requests with many pieces and a long Piece-Key. */
int memoryOfPieceKeys(Fleet &fleet, bool hasTrouble)
{
    constexpr int vms = 3;
    constexpr int memoryMb = 260;
    constexpr std::size_t bytesPerMb = 1'000'000;
    constexpr std::size_t limit = memoryMb * bytesPerMb * 105 / 100; // so that 260 MiB pass
    constexpr int strangers = 24;
    fleet.publishState(stateText(false, true));
    for (int index = 0; index < 3; ++index) {
        const std::string zone(1, char('a' + index));
        fleet.startRunner({ "r-" + std::to_string(index), zone, "v1", 20, 20, 1 });
        fleet.startRunner({ "s-" + std::to_string(index), zone, "v1", 20, 20, 1, "intake" });
    }
    for (int vm = 0; vm < vms; ++vm) {
        fleet.startVm(vm, std::string(1, char('a' + vm)), memoryMb);
    }
    for (int vm = 0; vm < vms; ++vm) {
        if (!fleet.waitReady(vm)) {
            return unusable;
        }
    }
    fleet.runFor(4s);
    const std::string key(15'000, 'c');
    std::vector<Fleet::Requester> channels;
    std::vector<std::shared_ptr<Outcome>> pending(strangers);
    for (int index = 0; index < strangers; ++index) {
        channels.push_back(fleet.newRequester());
    }
    const auto ordinary = fleet.newRequester();
    std::shared_ptr<Outcome> ordinaryOutcome;
    int sent = 0;
    int ordinarySent = 0;
    int ordinaryServed = 0;
    std::size_t largest = 0;
    bool isOver = false;
    const Time end = fleet.loop().clock().now() + 10s;
    while (fleet.loop().clock().now() < end && !isOver) {
        for (std::size_t index = 0; hasTrouble && index < strangers; ++index) {
            if (!pending[index] || pending[index]->isDone) {
                pending[index] = fleet.send(channels[index],
                                            int(index) % vms,
                                            "/bid/x",
                                            "stranger-" + std::to_string(++sent),
                                            { { "Model", "m" }, { "Pieces", "1000" }, { "Piece-Key", key } },
                                            5'000);
            }
        }
        if (!ordinaryOutcome || ordinaryOutcome->isDone) {
            ordinaryServed += ordinaryOutcome && ordinaryOutcome->status == 200 ? 1 : 0;
            ordinaryOutcome = fleet.send(ordinary,
                                         ++ordinarySent % vms,
                                         "/bid/x",
                                         "ordinary-" + std::to_string(ordinarySent),
                                         { { "Model", "m" }, { "Pieces", "3" }, { "Piece-Key", "cafe" } },
                                         3'000);
        }
        fleet.runFor(20ms);
        for (int vm = 0; vm < vms; ++vm) {
            const auto peak = fleet.peakBytes(vm);
            if (peak / (20 * bytesPerMb) > largest / (20 * bytesPerMb)) {
                fleet.record("vm-" + std::to_string(vm) + " has had " + std::to_string(peak / bytesPerMb)
                             + " MB resident");
            }
            largest = std::max(largest, peak);
            if (peak > limit) {
                fleet.record("vm-" + std::to_string(vm) + " exceeds memory-mb; the platform kills it");
                fleet.signalVm(vm, SIGKILL);
                isOver = true;
            }
        }
    }
    fleet.runFor(200ms);
    fleet.record("requests with many pieces: " + std::to_string(sent) + "; ordinary requests: "
                 + std::to_string(ordinarySent) + ", served: " + std::to_string(ordinaryServed));
    fleet.record("largest resident memory: " + std::to_string(largest / bytesPerMb) + " MB of "
                 + std::to_string(memoryMb) + " MB");
    return isOver ? broken : held;
}

/** Clients outside the limits send heads that name many headers of one channel. */
int hangOnConnectionHeader(Fleet &fleet, bool hasTrouble)
{
    constexpr int strangers = 20;
    constexpr int ordinaryLimitMs = 1'500;
    fleet.publishState(stateText(false));
    fleet.startRunner({ "r-0", "a", "v1", 20, 20, 1 });
    fleet.startRunner({ "r-1", "b", "v1", 20, 20, 1 });
    fleet.startVm(0, "a");
    if (!fleet.waitReady(0)) {
        return unusable;
    }
    fleet.runFor(4s);
    std::string request = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: stranger\r\n"
                          "Authorization: Bearer key-of-t\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\nConnection: ";
    for (int name = 0; name < 15'500; ++name) {
        request += name == 0 ? "b" : ",b";
    }
    for (int line = 0; line < 8'000; ++line) {
        request += "\r\na:";
    }
    request += "\r\n\r\n";
    if (hasTrouble) {
        fleet.record(std::to_string(strangers) + " clients repeat a request with a head of "
                     + std::to_string(request.size()) + " bytes, one at a time each");
        for (int index = 0; index < strangers; ++index) {
            fleet.repeat(0, request);
        }
    }
    fleet.runFor(1s);
    std::vector<std::shared_ptr<Outcome>> outcomes;
    int checks = 0;
    int checksMissed = 0;
    for (int index = 0; index < 60; ++index) {
        outcomes.push_back(
            fleet.send(fleet.newRequester(), 0, "/read/x", "ordinary-" + std::to_string(index), {}, ordinaryLimitMs));
        if (index % 5 == 0) {
            ++checks;
            checksMissed += fleet.isReady(0, 900ms) ? 0 : 1;
        }
        fleet.runFor(200ms);
    }
    fleet.runFor(2s);
    int answered = 0;
    for (const auto &outcome : outcomes) {
        answered += outcome->status != 0 ? 1 : 0;
    }
    fleet.record("ordinary requests " + std::to_string(outcomes.size()) + ", answered within their limit of "
                 + std::to_string(ordinaryLimitMs) + " ms: " + std::to_string(answered));
    fleet.record("readiness checks " + std::to_string(checks)
                 + ", without a 200 in 0.9 s: " + std::to_string(checksMissed));
    fleet.record("answers that the strangers got: " + std::to_string(fleet.rawAnswers()));
    return answered * 2 < int(outcomes.size()) ? broken : held;
}

int run(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "runner" && argc == 10) {
        return runRunner({ argv[2], argv[3], argv[4], std::atoi(argv[5]), std::atoi(argv[6]), std::atoi(argv[7]) },
                         argv[8],
                         argv[9]);
    }
    if (argc != 4) {
        std::cerr << "usage: cases NAME GATEWAY RECORD\n";
        return unusable;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Fleet fleet("/proc/self/exe", argv[2], argv[3]);
    fleet.record("case " + name + (hasTrouble ? "" : ", without the disruption"));
    const int result = name == "crash-with-long-prompts" ? crashWithLongPrompts(fleet, hasTrouble)
        : name == "taken-up-after-roll"                  ? takenUpAfterRoll(fleet, hasTrouble)
        : name == "memory-of-prompt-parts"               ? memoryOfPromptParts(fleet, hasTrouble)
        : name == "flap-with-new-version"                ? flapWithNewVersion(fleet, hasTrouble)
        : name == "restart-hidden-by-outage"             ? restartHiddenByOutage(fleet, hasTrouble)
        : name == "memory-of-piece-keys"                 ? memoryOfPieceKeys(fleet, hasTrouble)
        : name == "hang-on-connection-header"            ? hangOnConnectionHeader(fleet, hasTrouble)
                                                         : unusable;
    fleet.record(result == broken ? "the rule is broken" : result == held ? "the rule held" : "the case could not run");
    return result;
}

} // namespace
} // namespace lacewing::review2

int main(int argc, char **argv)
{
    return lacewing::review2::run(argc, argv);
}
