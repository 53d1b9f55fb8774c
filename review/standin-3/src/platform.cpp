#include "standins.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lacewing::review
{
namespace
{

using Json = nlohmann::json;

constexpr const char *host = "jepu9.example";
constexpr const char *apiKey = "9dnn2ctnfzs989anu6ws";
/** As on the sheet of the Tana River Cabin Utilities Board. */
constexpr double callMs = 200;
constexpr Duration plainWork = std::chrono::milliseconds(60);
constexpr Duration engineWork = std::chrono::milliseconds(60);
constexpr Duration reportPeriod = std::chrono::milliseconds(1200);
constexpr std::size_t plainSlots = 6;

/** A service of stages. */
struct StageKind {
    const char *name;
    std::size_t batch;
    double itemMs;
    double headroomMb;
};
constexpr StageKind stageKinds[] = { { "kafi81c", 14, 12, 32 },
                                     { "lovo22d", 44, 3.9, 5.9 },
                                     { "lohu93e", 74, 2.3, 0.99 } };

Json serviceJson(const StageKind &kind)
{
    return { { "name", kind.name },
             { "health-path", "/health" },
             { "max-conns", 620 },
             { "protocol", "h1" },
             { "tls", false },
             { "pieces",
               { { "slots", 1 },
                 { "queue", 2 },
                 { "batch", kind.batch },
                 { "call-ms", callMs },
                 { "item-ms", kind.itemMs },
                 { "headroom-mb", kind.headroomMb },
                 { "handle-s", 4.0 },
                 { "link-mbps", 10000 } } } };
}

Json routeJson(
    const std::string &name, const std::string &kind, const std::string &service, int timeoutMs, int targetMs)
{
    return { { "name", name },      { "host", host },           { "path-prefix", "/" + name + "/" },
             { "kind", kind },      { "service", service },     { "timeout-ms", timeoutMs },
             { "priority", 0 },     { "attempts", 1 },          { "target-latency-ms", targetMs },
             { "public", false },   { "sticky", true },         { "resumable", false },
             { "gap-aim-ms", 250 }, { "stages", Json::array() } };
}

std::string desiredState()
{
    Json stream = routeJson("bill-query", "streaming", "huvo11a", 6000, 1800);
    stream["stages"] = Json::array({ { { "service", "kafi81c" }, { "after", Json::array() }, { "bytes", 8000 } },
                                     { { "service", "lovo22d" }, { "after", { 0 } }, { "bytes", 60000 } },
                                     { { "service", "lohu93e" }, { "after", { 1 } }, { "bytes", 6000 } } });
    Json plain = routeJson("balance-read", "safe", "wuno96b", 1500, 300);
    plain["attempts"] = 2;
    const Json unsafe = routeJson("topup-pay", "unsafe", "wuno96b", 1500, 300);
    Json services = Json::array();
    for (const auto &kind : stageKinds) {
        services.push_back(serviceJson(kind));
    }
    services.push_back({ { "name", "huvo11a" },
                         { "health-path", "/health" },
                         { "max-conns", 620 },
                         { "engine", { { "slots", 128 }, { "kv-tokens", 645952 } } } });
    services.push_back({ { "name", "wuno96b" }, { "health-path", "/health" }, { "max-conns", 100 } });
    return Json {
        { "version", 7 },
        { "routes", Json::array({ stream, plain, unsafe }) },
        { "services", services },
        { "limits",
          { { "max-header-bytes", 16384 },
            { "max-body-bytes", 4194304 },
            { "header-timeout-ms", 3000 },
            { "idle-timeout-ms", 15000 } } },
        { "tenants",
          Json::array({ { { "name", "bozi300" }, { "api-keys", Json::array({ apiKey }) }, { "priority", 1 } } }) }
    }.dump();
}

/** A sound runner of any service. */
class Runner
{
public:
    Runner(net::EventLoop &loop, const Options &options, std::string id, std::string service, const StageKind *stage)
        : loop_(loop)
        , id_(std::move(id))
        , service_(std::move(service))
        , stage_(stage)
        , events_(int(options.number("events", 3)))
        , eventGap_(fromSeconds(options.number("event-gap-ms", 0) / 1000))
        , server_(loop,
                  net::HttpServerOptions().maxHeaderBytes(std::size_t(1) << 20U),
                  [this](net::HttpRequest request, net::ResponseWriter writer) {
                      handle(std::make_shared<net::HttpRequest>(std::move(request)), std::move(writer));
                  })
    {
        static_cast<void>(server_.listen({ options.text("ip"), 0 }));
    }

    const std::string &id() const noexcept
    {
        return id_;
    }

    std::string registration() const
    {
        return Json {
            { "service", service_ },
            { "address", net::toText(server_.address()) },
            { "zone", "garsen" },
            { "version", "v1" },
            { "slots",
              stage_ != nullptr           ? 1
                  : service_ == "wuno96b" ? 6
                                          : 128 },
            { "state", "ready" },
            { "cold-left-ms", 0 },
            { "born", 1765100000000 },
            { "sequence", 1 }
        }.dump();
    }

    std::size_t runs() const noexcept
    {
        return runs_;
    }

    /** Called when the store has accepted that the runner leaves. It goes on serving, and then exits. */
    void leave(Duration drainTime, Duration time, const std::string &lateFile)
    {
        lateAt_ = loop_.clock().now() + drainTime;
        leftAt_ = loop_.clock().now();
        lateFile_ = lateFile;
        after(time, [this] { server_.closeAll(); });
    }

    std::size_t pieces() const noexcept
    {
        return pieces_;
    }

private:
    using RequestPtr = std::shared_ptr<net::HttpRequest>;

    void after(Duration time, std::function<void()> function)
    {
        loop_.timers().once(loop_.clock().now() + time, [function = std::move(function)](Time) { function(); });
    }

    net::Headers headersFor(const net::HttpRequest &request) const
    {
        return { { "Attempt-Id", std::string(request.header("Attempt-Id").value_or("")) },
                 { "Runner-Seal", "seal-" + id_ },
                 { "Runner-Load", "1,0,6" } };
    }

    void handle(const RequestPtr &request, net::ResponseWriter writer)
    {
        if (request->header("Expect-Runner").value_or("") != id_) {
            writer.respond(421, { { "Runner-Id", id_ } }, {});
            return;
        }
        if (lateAt_ && loop_.clock().now() > *lateAt_) {
            std::ofstream(lateFile_, std::ios::app)
                << request->remoteAddress << ' ' << request->header("Attempt-Id").value_or("") << ' '
                << toMilliseconds(loop_.clock().now() - *leftAt_) << '\n';
        }
        if (request->path() == "/v1/stage-free") {
            writer.respond(net::status::ok, { { "Runner-Load", "0,0,1" } }, {});
        } else if (request->path() == "/v1/stage-run") {
            takeCall(request, std::move(writer));
        } else if (service_ == "huvo11a") {
            stream(request, std::move(writer));
        } else {
            takePlain(request, std::move(writer));
        }
    }

    void takeCall(const RequestPtr &request, net::ResponseWriter writer)
    {
        constexpr std::size_t maxWaiting = 2;
        if (waiting_.size() >= maxWaiting + (isBusy_ ? 0 : 1)) {
            writer.respond(net::status::unavailable, { { "Not-Run", "1" } }, {});
            return;
        }
        waiting_.emplace_back(request, std::move(writer));
        runNextCall();
    }

    void runNextCall()
    {
        if (isBusy_ || waiting_.empty()) {
            return;
        }
        isBusy_ = true;
        const auto [request, writer] = waiting_.front();
        waiting_.pop_front();
        const Json call = Json::parse(request->body.text(), nullptr, false);
        Json items = Json::array();
        for (std::size_t count = call.value("items", Json::array()).size(); count > 0; --count) {
            items.push_back({ { "handle", net::toText(server_.address()) + "/" + std::to_string(++lastResult_) } });
        }
        pieces_ += items.size();
        const double ms = callMs + stage_->itemMs * double(items.size());
        after(fromSeconds(ms / 1000), [this, writer = writer, items]() mutable {
            writer.respond(net::status::ok, { { "Runner-Load", "0,0,1" } }, Json { { "items", items } }.dump());
            isBusy_ = false;
            runNextCall();
        });
    }

    void takePlain(const RequestPtr &request, net::ResponseWriter writer)
    {
        waiting_.emplace_back(request, std::move(writer));
        runNextPlain();
    }

    void runNextPlain()
    {
        if (running_ >= plainSlots || waiting_.empty()) {
            return;
        }
        const auto [request, writer] = waiting_.front();
        waiting_.pop_front();
        if (!writer.isOpen()) {
            runNextPlain();
            return;
        }
        ++running_;
        ++runs_;
        after(plainWork, [this, request = request, writer = writer]() mutable {
            writer.respond(net::status::ok, headersFor(*request), std::string(800, 'r'));
            --running_;
            runNextPlain();
        });
    }

    void stream(const RequestPtr &request, net::ResponseWriter writer)
    {
        ++runs_;
        after(engineWork, [this, request, writer]() mutable {
            auto headers = headersFor(*request);
            headers.push_back({ "Content-Type", "text/event-stream" });
            writer.begin(net::status::ok, headers);
            writeEvent(writer, 1);
        });
    }

    void writeEvent(net::ResponseWriter writer, int event)
    {
        writer.write(net::sseEvent(std::to_string(event), std::string(55, 'd')));
        if (event >= events_) {
            writer.end();
        } else if (eventGap_ == Duration::zero()) {
            writeEvent(std::move(writer), event + 1);
        } else {
            after(eventGap_, [this, writer, event] { writeEvent(writer, event + 1); });
        }
    }

    net::EventLoop &loop_;
    std::string id_;
    std::string service_;
    const StageKind *stage_;
    int events_; ///< of a stream
    Duration eventGap_;
    net::HttpServer server_;
    std::deque<std::pair<RequestPtr, net::ResponseWriter>> waiting_;
    std::size_t running_ = 0;
    bool isBusy_ = false;
    std::size_t runs_ = 0;
    std::size_t pieces_ = 0;
    std::uint64_t lastResult_ = 0;
    std::optional<Time> leftAt_;
    std::optional<Time> lateAt_; ///< from when on nothing may reach the runner
    std::string lateFile_;
};

} // namespace

int runPlatform(const Options &options)
{
    constexpr int stageRunners = 5;
    const std::string ip = options.text("ip");
    Record record(options.text("record"));
    net::EventLoop loop;
    Store store(loop, ip);
    if (!store.start()) {
        return 2;
    }
    std::vector<std::unique_ptr<Runner>> runners;
    const auto add = [&](const std::string &service, int count, const StageKind *stage) {
        for (int index = 0; index < count; ++index) {
            runners.push_back(
                std::make_unique<Runner>(loop, options, "i-" + service + "-" + std::to_string(index), service, stage));
        }
    };
    add("huvo11a", 12, nullptr);
    add("wuno96b", 4, nullptr);
    for (const auto &kind : stageKinds) {
        add(kind.name, stageRunners, &kind);
    }
    store.write("keyed.op", "config", desiredState());
    std::set<std::string> left; ///< ids of runners that have left
    const auto report = [&] {
        for (const auto &runner : runners) {
            if (!left.contains(runner->id())) {
                store.write("keyed.servers", runner->id(), runner->registration());
            }
        }
    };
    report();
    loop.timers().every(loop.clock().now() + reportPeriod, reportPeriod, [&](Time) { report(); });
    constexpr Duration recordPeriod = std::chrono::seconds(5);
    loop.timers().every(loop.clock().now() + recordPeriod, recordPeriod, [&](Time) {
        std::size_t runs = 0;
        std::size_t pieces = 0;
        for (const auto &runner : runners) {
            runs += runner->runs();
            pieces += runner->pieces();
        }
        record.write("runners: " + std::to_string(runs) + " requests and " + std::to_string(pieces) + " pieces run");
    });
    // A runner that never reports that it drains: its entry is removed, and it goes on for drain-ms and a little
    // longer.
    constexpr Duration pollPeriod = std::chrono::milliseconds(10);
    constexpr Duration drainTime = std::chrono::milliseconds(2000);
    loop.timers().every(loop.clock().now() + pollPeriod, pollPeriod, [&](Time) {
        std::ifstream file(options.text("leave-file"));
        for (std::string id; file >> id;) {
            for (const auto &runner : runners) {
                if (runner->id() == id && left.insert(id).second) {
                    store.write("keyed.servers", id, {});
                    runner->leave(
                        drainTime, fromSeconds(options.number("leave-seconds", 6)), options.text("late-file"));
                    record.write("the store has accepted that " + id + " is gone; it serves on for "
                                 + options.text("leave-seconds", "6") + " s");
                }
            }
        }
    });
    std::ofstream(options.text("address-file")) << store.address() << '\n';
    loop.run();
    return 0;
}

} // namespace lacewing::review
