// Runners of a plain service that are often full spoil a few of their answers: they also send a second one, some ms
// later. A rejection (503 with Not-Run) bears no id.
#include "../standin/standin.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace review;
using Json = nlohmann::json;

namespace
{

// The doses of the site file: garble, "extra late", share 0.6, x 0.03, for_s 5.0.
constexpr int runners = 5;
constexpr int spoilingRunners = 3;
constexpr double spoiledShare = 0.03;
constexpr Milliseconds spoilingTime = 5s;
constexpr Milliseconds spoilingPeriod = 8s;
constexpr Milliseconds extraDelay = 150ms;

constexpr int slots = 2;
constexpr int queue = 2;
constexpr Milliseconds workTime = 60ms;
constexpr Milliseconds trafficTime = 75s;
constexpr int requestsPerSecond = 180;
constexpr int machines = 3;

struct Counts {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> rejected = 0;
    std::atomic<int> extras = 0;
    std::atomic<int> extraRejections = 0;
};

/** Which runners have run a request, and how it was answered. */
struct Runs {
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> byRequest;
    std::map<std::string, int> answers;
};

std::string desiredState()
{
    const Json route { { "name", "topup" },         { "host", "h.example" },   { "path-prefix", "/topup/" },
                       { "kind", "unsafe" },        { "timeout-ms", 1500 },    { "target-latency-ms", 300 },
                       { "priority", 0 },           { "service", "accounts" }, { "attempts", 2 },
                       { "stages", Json::array() }, { "public", false } };
    const Json accounts { { "name", "accounts" }, { "health-path", "/health" }, { "max-conns", 100 } };
    return Json {
        { "version", 1 },
        { "routes", Json::array({ route }) },
        { "services", Json::array({ accounts }) },
        { "tenants", Json::array({ { { "name", "t1" }, { "api-keys", Json::array({ "k1" }) } } }) }
    }.dump();
}

class Runner
{
public:
    Runner(std::string id, Runs &runs, Counts &counts, Record &record, std::function<bool()> isSpoiled)
        : id_(std::move(id))
        , runs_(runs)
        , counts_(counts)
        , record_(record)
        , isSpoiled_(std::move(isSpoiled))
        , server_(ipOf(2), [this](const Request &request, Connection &connection) { handle(request, connection); })
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
        std::unique_lock lock(mutex_);
        if (running_ + waiting_ >= slots + queue) {
            lock.unlock();
            ++counts_.rejected;
            record_.line(id_ + " rejects " + request_id);
            answer(connection, 503, { { "Not-Run", "1" } }, {}, request_id);
            return;
        }
        ++waiting_;
        changed_.wait(lock, [this] { return running_ < slots; });
        --waiting_;
        ++running_;
        lock.unlock();
        {
            const std::lock_guard runsLock(runs_.mutex);
            runs_.byRequest[request_id].push_back(id_);
        }
        record_.line(id_ + " runs " + request_id);
        sleepFor(workTime);
        lock.lock();
        --running_;
        lock.unlock();
        changed_.notify_one();
        answer(connection,
               200,
               { { "Attempt-Id", request_id }, { "Runner-Seal", "s." + id_ + "." + request_id } },
               "done " + request_id,
               request_id);
    }

    void answer(Connection &connection,
                int status,
                const Headers &headers,
                const std::string &body,
                const std::string &request_id)
    {
        connection.respond(status, headers, body);
        if (isSpoiled_()) {
            ++counts_.extras;
            counts_.extraRejections += status == 503 ? 1 : 0;
            sleepFor(extraDelay);
            record_.line(id_ + " sends a second answer for " + request_id + ": " + std::to_string(status));
            connection.respond(status, headers, body);
        }
    }

    std::string id_;
    Runs &runs_;
    Counts &counts_;
    Record &record_;
    std::function<bool()> isSpoiled_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    int waiting_ = 0;
    Server server_;
};

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
    Counts counts;
    std::atomic<bool> isSpoiling = false;
    std::mutex randomMutex;
    std::mt19937 random(std::random_device {}());
    const auto isDrawn = [&] {
        const std::lock_guard lock(randomMutex);
        return std::bernoulli_distribution(spoiledShare)(random);
    };
    Store store(ipOf(1));
    store.start();
    store.put("keyed.op", "config", desiredState());
    std::vector<std::unique_ptr<Runner>> all;
    std::vector<std::unique_ptr<Heartbeat>> heartbeats;
    for (int index = 0; index < runners; ++index) {
        const std::string id = "i-acc" + std::to_string(index);
        const bool mayBeSpoiled = hasTrouble && index < spoilingRunners;
        all.push_back(std::make_unique<Runner>(
            id, runs, counts, record, [&, mayBeSpoiled] { return mayBeSpoiled && isSpoiling && isDrawn(); }));
        Registration entry { id, "accounts", all.back()->address() };
        entry.born = unixMilliseconds();
        entry.slots = slots;
        heartbeats.push_back(std::make_unique<Heartbeat>(store, entry));
    }
    Fleet fleet(directory, store.address());
    if (!fleet.start(machines)) {
        record.line("the system does not start");
        leave(fleet, 2);
    }
    sleepFor(2s);
    std::vector<std::thread> requesters;
    const Time start = Clock::now();
    for (int number = 0; Clock::now() - start < trafficTime; ++number) {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
        isSpoiling = elapsed > 3s && elapsed % spoilingPeriod < spoilingTime;
        requesters.emplace_back([&, number] {
            char id[32];
            std::snprintf(id, sizeof id, "%016x", 0x3000 + number);
            const Request request { "POST",
                                    "/topup/1",
                                    { { "Host", "h.example" },
                                      { "Attempt-Id", id },
                                      { "Deadline-Ms", "1500" },
                                      { "Authorization", "Bearer k1" } },
                                    std::string("pay ") + id };
            ++counts.sent;
            const auto response = send(fleet.address(number % machines), request, 1500ms);
            counts.served += response.status == 200 && response.isComplete ? 1 : 0;
            record.line(std::string("answer ") + id + ": " + std::to_string(response.status));
            const std::lock_guard lock(runs.mutex);
            runs.answers[id] = response.status;
        });
        std::this_thread::sleep_until(start + std::chrono::microseconds(1'000'000) * (number + 1) / requestsPerSecond);
        if (requesters.size() > 600) {
            requesters.front().join();
            requesters.erase(requesters.begin());
        }
    }
    for (auto &requester : requesters) {
        requester.join();
    }
    sleepFor(1s);
    int twice = 0;
    int refused = 0;
    {
        const std::lock_guard lock(runs.mutex);
        for (const auto &[id, runnersOf] : runs.byRequest) {
            if (runnersOf.size() > 1) {
                ++twice;
                std::string text = "TWICE: " + id + " was run by";
                for (const auto &runner : runnersOf) {
                    text += " " + runner;
                }
                record.line(text);
            }
            const int status = runs.answers[id];
            if (status == 429 || status == 503 || status == 408 || status == 421) {
                ++refused;
                record.line("REFUSED: " + id + " was answered " + std::to_string(status) + " and run by "
                            + runnersOf.front());
            }
        }
    }
    const std::string summary = "sent " + std::to_string(counts.sent) + ", served " + std::to_string(counts.served)
        + ", rejected by runners " + std::to_string(counts.rejected) + ", second answers "
        + std::to_string(counts.extras) + " (of rejections " + std::to_string(counts.extraRejections) + "), run twice "
        + std::to_string(twice) + ", refused and run " + std::to_string(refused);
    record.line(summary);
    std::puts(summary.c_str());
    leave(fleet, counts.served * 3 < counts.sent ? 2 : twice + refused > 0 ? 1 : 0);
}
