// A machine is stopped as planned (SIGTERM) while requesters chat over kept channels: when a stream ends, the requester
// sends its next message at once.
#include "../standin/standin.h"

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

using namespace review;
using Json = nlohmann::json;

namespace
{

constexpr int machines = 3;
constexpr int requesters = 10;
/** A stream lasts about 5 s. */
constexpr int eventCount = 50;
constexpr Milliseconds eventGap = 100ms;
/** "grace-s" of the settings. */
constexpr Milliseconds graceTime = 8s;
/** A request that was sent later than this after the SIGTERM isn't excused if its runner is still at work at the end.
 */
constexpr Milliseconds excusedTime = 3s;

std::string desiredState()
{
    const Json route { { "name", "chat" },          { "host", "h.example" }, { "path-prefix", "/chat/" },
                       { "kind", "streaming" },     { "timeout-ms", 20000 }, { "target-latency-ms", 1700 },
                       { "priority", 0 },           { "service", "pool" },   { "attempts", 2 },
                       { "stages", Json::array() }, { "public", false },     { "sticky", true },
                       { "resumable", true },       { "gap-aim-ms", 250 } };
    const Json pool { { "name", "pool" },
                      { "health-path", "/health" },
                      { "max-conns", 620 },
                      { "engine", { { "slots", 128 }, { "kv-tokens", 645952 } } } };
    return Json {
        { "version", 1 },
        { "routes", Json::array({ route }) },
        { "services", Json::array({ pool }) },
        { "tenants", Json::array({ { { "name", "t1" }, { "api-keys", Json::array({ "k1" }) } } }) }
    }.dump();
}

/** Which requests runners have begun to work on. */
struct Runs {
    std::mutex mutex;
    std::map<std::string, std::string> byRequest;
};

/** A model runner that streams numbered events. */
class Engine
{
public:
    Engine(std::string id, Runs &runs, Record &record)
        : id_(std::move(id))
        , runs_(runs)
        , record_(record)
        , server_(ipOf(3), [this](const Request &request, Connection &connection) { handle(request, connection); })
    {
        server_.start();
    }

    std::string address() const
    {
        return server_.address();
    }

private:
    void handle(const Request &request, Connection &connection)
    {
        const auto request_id = request.header("Attempt-Id");
        if (request.header("Expect-Runner") != id_) {
            connection.respond(421, { { "Runner-Id", id_ } }, {});
            return;
        }
        {
            const std::lock_guard lock(runs_.mutex);
            runs_.byRequest[request_id] = id_;
        }
        record_.line(id_ + " runs " + request_id);
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id + "\r\nRunner-Seal: s." + id_
                         + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= eventCount; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!connection.write(size + text + "\r\n") || !connection.waitOpen(eventGap)) {
                return;
            }
        }
        connection.write("0\r\n\r\n");
    }

    std::string id_;
    Runs &runs_;
    Record &record_;
    Server server_;
};

Registration registrationOf(const std::string &id, const Engine &engine)
{
    Registration entry { id, "pool", engine.address() };
    entry.born = unixMilliseconds();
    entry.slots = 128;
    return entry;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string directory = argv[1];
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    Runs runs;
    Store store(ipOf(1));
    store.start();
    store.put("keyed.op", "config", desiredState());
    Engine one("i-one", runs, record);
    Engine two("i-two", runs, record);
    Heartbeat oneBeat(store, registrationOf("i-one", one));
    Heartbeat twoBeat(store, registrationOf("i-two", two));
    Fleet fleet(directory, store.address());
    if (!fleet.start(machines)) {
        record.line("the system does not start");
        leave(fleet, 2);
    }
    sleepFor(3s);

    std::atomic<bool> isEnding = false;
    std::atomic<bool> isStopped = false; // the SIGTERM has been sent
    std::atomic<double> stoppedAt = 0;
    std::atomic<int> served = 0;
    std::atomic<int> excused = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < requesters; ++number) {
        threads.emplace_back([&, number] {
            sleepFor(number * 500ms);
            Channel channel(fleet.address(0));
            for (int count = 0; !isEnding; ++count) {
                char id[32];
                std::snprintf(id, sizeof id, "%08x%08x", 0x7000 + number, count);
                const Request request { "POST",
                                        "/chat/1",
                                        { { "Host", "h.example" },
                                          { "Attempt-Id", id },
                                          { "Model", "m" },
                                          { "Token-Counts", "543,200" },
                                          { "Prompt-Prefix", "5c1e07a2:103," + std::string(id) + ":440" },
                                          { "Deadline-Ms", "20000" },
                                          { "Authorization", "Bearer k1" } },
                                        "{}" };
                if (isStopped && !channel.isKept()) {
                    return; // the platform hands new channels to other machines
                }
                const double sentAt = record.milliseconds();
                record.line(std::string("message ") + id + (channel.isKept() ? " on a kept channel" : ""));
                const auto response = channel.exchange(request, 20s);
                const double endedAt = record.milliseconds();
                record.line(std::string("answer ") + id + ": " + std::to_string(response.status)
                            + (response.isComplete ? "" : " incomplete"));
                if (response.isComplete) {
                    served += response.status == 200 ? 1 : 0;
                    continue;
                }
                const std::lock_guard lock(runs.mutex);
                const bool isPlannedWork = isStopped && endedAt - stoppedAt <= double((graceTime + 1000ms).count());
                if (!runs.byRequest.contains(id) || !isPlannedWork) {
                    continue;
                }
                if (sentAt - stoppedAt <= double(excusedTime.count())) {
                    ++excused;
                    continue;
                }
                ++lost;
                record.line(std::string("LOST: ") + id + " was sent " + std::to_string(int(sentAt - stoppedAt))
                            + " ms after the SIGTERM, passed on to " + runs.byRequest[id] + ", and cut "
                            + std::to_string(int(endedAt - stoppedAt)) + " ms after the SIGTERM");
            }
        });
    }
    sleepFor(12s);
    if (hasTrouble) {
        record.line("machine 0 gets SIGTERM");
        stoppedAt = record.milliseconds();
        isStopped = true;
        kill(fleet.process(0), SIGTERM);
    }
    const Time killAt = Clock::now() + graceTime;
    while (Clock::now() < killAt && !fleet.hasEnded(0)) {
        sleepFor(20ms);
    }
    record.line(fleet.hasEnded(0) ? "the process of machine 0 has ended" : "machine 0 runs");
    isEnding = true;
    for (auto &thread : threads) {
        thread.join();
    }
    const std::string summary = "streams served " + std::to_string(served) + ", cut but excused "
        + std::to_string(excused) + ", lost " + std::to_string(lost);
    record.line(summary);
    std::puts(summary.c_str());
    leave(fleet, served == 0 ? 2 : lost > 0 ? 1 : 0);
}
