#include "fleet.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lacewing::review2
{
namespace
{

constexpr int callersPort = 8625;
constexpr int readyPort = 8621;
constexpr int controlPort = 8628;
constexpr int firstInternalPort = 7740;
constexpr int runnerPort = 8080;
constexpr int maxDescriptors = 1024;

std::string headerOf(const net::HttpRequest &request, std::string_view name)
{
    return std::string(request.header(name).value_or(""));
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Settings as the platform's pages show them. */
std::string settingsText(
    const std::string &name, const std::string &zone, const std::string &ip, const std::string &store, int memoryMb)
{
    std::ostringstream text;
    text << "node-name = \"" << name << "\"\nrole = \"gateway\"\nmachine-class = \"front\"\nserves = [\"front\"]\n"
         << "ip = \"" << ip << "\"\nzone = \"" << zone << "\"\nregion = \"r\"\ninternal-ports = [" << firstInternalPort
         << ", " << firstInternalPort + 15 << "]\nseeds = []\nbootstrap = true\nin-loss-budget = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\n"
         << "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n"
         << "[listen]\nfront = \"" << ip << ":" << callersPort << "\"\nready = \"" << ip << ":" << readyPort
         << "\"\ncontrol = \"" << ip << ":" << controlPort << "\"\n"
         << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = " << memoryMb
         << "\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
         << "[fault-tolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
         << "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n"
         << "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n"
         << "max-stretch-ms = 5000\nrevoke-strict = false\nrevoke-ms = 5000\nbudget-ratio = 0.2\n"
         << "budget-window-s = 10\nbudget-slack = 54\nrecover-s = 12\npass-ms = 120\nagain-s = 7.6\n"
         << "[platform]\naddress = \"" << store << "\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\n"
         << "parts = 24\nrecord-bytes = 262144\ncall-bytes = 2097152\nkeep_s = 300\n";
    return text.str();
}

/** One stream that a runner writes. */
struct RunningStream {
    net::ResponseWriter writer;
    int next = 1;
};

/** Makes every piece of a call at once. */
void answerPieces(const net::HttpRequest &call, const std::string &address, net::ResponseWriter &writer)
{
    static int results = 0;
    constexpr std::string_view mark = "\"id\":";
    const std::string body = call.body.text();
    std::string items;
    for (auto at = body.find(mark); at != std::string::npos; at = body.find(mark, at + 1)) {
        items += std::string(items.empty() ? "" : ",") + "{\"handle\":\"" + address + "/" + std::to_string(++results)
            + "\"}";
    }
    writer.respond(200, { { "Runner-Load", "0,0,1" } }, "{\"items\":[" + items + "]}");
}

} // namespace

int runRunner(const RunnerSpec &spec, const std::string &address, const std::string &logPath)
{
    net::EventLoop loop;
    std::ofstream log(logPath, std::ios::app);
    int runs = 0;
    std::function<void(const std::shared_ptr<RunningStream> &)> step = [&](const auto &stream) {
        if (!stream->writer.isOpen()) {
            return;
        }
        const std::string number = std::to_string(stream->next);
        stream->writer.write("id: " + number + "\ndata: " + spec.version + " " + spec.id + "\n\n");
        if (++stream->next > spec.events) {
            stream->writer.end();
            return;
        }
        loop.timers().once(loop.clock().now() + std::chrono::milliseconds(spec.gapMs),
                           [&step, stream](Time) { step(stream); });
    };
    net::HttpServer server(
        loop,
        net::HttpServerOptions().maxHeaderBytes(std::size_t(128) << 10U),
        [&](const net::HttpRequest &request, net::ResponseWriter writer) {
            if (headerOf(request, "Expect-Runner") != spec.id) {
                writer.respond(421, { { "Runner-Id", spec.id } }, {});
                return;
            }
            if (request.target == "/v1/stage-run") {
                answerPieces(request, address, writer);
                return;
            }
            if (request.target == "/v1/stage-free") {
                writer.respond(200, {}, {});
                return;
            }
            const std::string attempt = headerOf(request, "Attempt-Id");
            const std::string after = headerOf(request, "Last-Event-Id");
            log << unixMs() << " run " << attempt << " " << spec.id << " after=" << after << std::endl;
            const net::Headers headers { { "Attempt-Id", attempt },
                                         { "Runner-Seal", spec.id + "." + std::to_string(++runs) },
                                         { "Runner-Load", "1,0,128" } };
            const Time due = loop.clock().now() + std::chrono::milliseconds(spec.firstMs);
            if (!request.target.starts_with("/chat/")) {
                loop.timers().once(loop.clock().now() + std::chrono::milliseconds(20),
                                   [headers, writer](Time) mutable { writer.respond(200, headers, "done"); });
                return;
            }
            auto stream = std::make_shared<RunningStream>();
            stream->writer = writer;
            stream->next = after.empty() ? 1 : std::stoi(after) + 1;
            loop.timers().once(due, [&step, headers, stream](Time) {
                auto all = headers;
                all.push_back({ "Content-Type", "text/event-stream" });
                stream->writer.begin(200, all);
                step(stream);
            });
        });
    const auto parsed = net::parseAddress(address);
    if (!parsed || !server.listen(parsed.value())) {
        return 2;
    }
    loop.run();
    return 0;
}

Fleet::Fleet(std::string self, std::string gateway, std::string recordPath)
    : self_(std::move(self))
    , gateway_(std::move(gateway))
    , record_(recordPath)
    , network_("127." + std::to_string(1 + getpid() / 250 % 250) + "." + std::to_string(1 + getpid() % 250) + ".")
    , startedAt_(loop_.clock().now())
    , store_(loop_, network_ + "1")
    , prober_(loop_, {})
{
    char path[] = "/tmp/lacewing-review-2-XXXXXX";
    directory_ = mkdtemp(path);
    if (!store_.start()) {
        record("the store's stand-in can't listen");
        std::exit(2);
    }
    storeAddress_ = store_.address();
    constexpr Duration heartbeat = std::chrono::milliseconds(1200);
    loop_.timers().every(startedAt_ + heartbeat, heartbeat, [this](Time) {
        // Spread over the interval, as the heartbeats of runners are.
        int index = 0;
        for (const auto &[id, runner] : runners_) {
            loop_.timers().once(loop_.clock().now() + std::chrono::milliseconds(300 * (index++ % 4)),
                                [this, id = id](Time) {
                                    Runner &alive = runners_[id];
                                    if (alive.process > 0) {
                                        registerRunner(alive);
                                    }
                                });
        }
    });
}

Fleet::~Fleet()
{
    for (const auto &[vm, process] : vms_) {
        if (process.id > 0) {
            kill(process.id, SIGKILL);
            waitpid(process.id, nullptr, 0);
        }
    }
    for (const auto &[id, runner] : runners_) {
        if (runner.process > 0) {
            kill(runner.process, SIGKILL);
            waitpid(runner.process, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") != nullptr) {
        record("logs in " + directory_);
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string Fleet::ip(int host) const
{
    return network_ + std::to_string(host);
}

std::string Fleet::callers(int vm) const
{
    return ip(10 + vm) + ":" + std::to_string(callersPort);
}

pid_t Fleet::spawn(const std::vector<std::string> &arguments,
                   const std::vector<std::string> &environment,
                   const std::string &logPath) const
{
    const pid_t process = fork();
    if (process != 0) {
        return process;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int descriptor = STDERR_FILENO + 1; descriptor < maxDescriptors; ++descriptor) {
        close(descriptor);
    }
    for (const auto &variable : environment) {
        putenv(strdup(variable.c_str()));
    }
    std::vector<char *> texts;
    for (const auto &argument : arguments) {
        texts.push_back(strdup(argument.c_str()));
    }
    texts.push_back(nullptr);
    execv(texts[0], texts.data());
    _exit(127);
}

void Fleet::publishState(const std::string &text)
{
    store_.publishRawDesiredState(text);
}

void Fleet::startRunner(const RunnerSpec &spec)
{
    Runner &runner = runners_[spec.id];
    runner.spec = spec;
    if (runner.address.empty()) {
        runner.address = ip(50 + int(runners_.size())) + ":" + std::to_string(runnerPort);
        runner.log = directory_ + "/" + spec.id + ".runs";
    }
    runner.process = spawn({ self_,
                             "runner",
                             spec.id,
                             spec.zone,
                             spec.version,
                             std::to_string(spec.firstMs),
                             std::to_string(spec.gapMs),
                             std::to_string(spec.events),
                             runner.address,
                             runner.log },
                           {},
                           directory_ + "/" + spec.id + ".log");
    runner.born = unixMs();
    runner.sequence = 0;
    registerRunner(runner);
    record("runner " + spec.id + " of software version " + spec.version + " starts in zone " + spec.zone);
}

/** Writes a runner's entry, as it does at its start and every heartbeat. */
void Fleet::registerRunner(Runner &runner)
{
    if (isStoreDown_) {
        return;
    }
    store_.registerRawEndpoint(runner.spec.id,
                               "{\"service\":\"" + runner.spec.service + "\",\"address\":\"" + runner.address
                                   + "\",\"zone\":\"" + runner.spec.zone + "\",\"version\":\"" + runner.spec.version
                                   + "\",\"slots\":128,\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":"
                                   + std::to_string(++runner.sequence) + ",\"born\":" + std::to_string(runner.born)
                                   + "}");
}

void Fleet::killRunner(const std::string &id)
{
    Runner &runner = runners_[id];
    kill(runner.process, SIGKILL);
    waitpid(runner.process, nullptr, 0);
    runner.process = 0;
    record("runner " + id + " crashes (SIGKILL)");
    constexpr Duration registryTime = std::chrono::milliseconds(3600); // three heartbeats of silence
    loop_.timers().once(loop_.clock().now() + registryTime, [this, id, born = runner.born](Time) {
        const Runner &ended = runners_[id];
        if (ended.process == 0 && ended.born == born) {
            store_.removeEndpoint(id);
        }
    });
}

void Fleet::setStoreDown(bool isDown)
{
    isStoreDown_ = isDown;
    store_.setFault(isDown ? platform_standin::Store::Fault::Unavailable : platform_standin::Store::Fault::None);
    record(isDown ? "the store answers 503" : "the store is back");
    for (auto &[id, runner] : runners_) {
        if (!isDown && runner.process > 0) {
            registerRunner(runner);
        }
    }
}

void Fleet::startVm(int vm, const std::string &zone, int memoryMb)
{
    const std::string name = "vm-" + std::to_string(vm);
    const std::string settings = directory_ + "/" + name + ".toml";
    std::ofstream(settings) << settingsText(name, zone, ip(10 + vm), storeAddress_, memoryMb);
    vms_[vm] = { spawn({ gateway_ }, { "LACEWINGFALL_NODE_FILE=" + settings }, directory_ + "/" + name + ".log"), {} };
    record(name + " starts in zone " + zone);
}

void Fleet::signalVm(int vm, int number)
{
    record("vm-" + std::to_string(vm) + " gets " + strsignal(number));
    kill(vms_[vm].id, number);
}

std::optional<std::string> Fleet::ending(int vm)
{
    Process &process = vms_[vm];
    int state = 0;
    if (process.id > 0 && waitpid(process.id, &state, WNOHANG) == process.id) {
        process.id = 0;
        process.ending = WIFSIGNALED(state) ? std::string("signal ") + strsignal(WTERMSIG(state))
                                            : "exit code " + std::to_string(WEXITSTATUS(state));
        record("vm-" + std::to_string(vm) + " has ended: " + process.ending);
    }
    return process.id == 0 ? std::optional(process.ending) : std::nullopt;
}

std::size_t Fleet::memoryFigure(int vm, const std::string &name) const
{
    std::ifstream status("/proc/" + std::to_string(vms_.at(vm).id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) * 1024;
        }
    }
    return 0;
}

std::size_t Fleet::residentBytes(int vm) const
{
    return memoryFigure(vm, "VmRSS:");
}

std::size_t Fleet::peakBytes(int vm) const
{
    return memoryFigure(vm, "VmHWM:");
}

bool Fleet::isReady(int vm, Duration limit)
{
    net::HttpCall call;
    call.address = ip(10 + vm) + ":" + std::to_string(readyPort);
    call.target = platform_standin::readinessPath;
    const auto status = std::make_shared<std::optional<int>>();
    net::fetch(prober_, std::move(call), {}, [status](const net::HttpEnd &, const net::HttpResponse &response) {
        *status = response.head.status;
    });
    waitFor([&] { return status->has_value(); }, limit);
    return *status == net::status::ok;
}

bool Fleet::waitReady(int vm)
{
    const Time limit = loop_.clock().now() + std::chrono::seconds(10);
    while (!isReady(vm)) {
        if (loop_.clock().now() > limit) {
            return false;
        }
        runFor(std::chrono::milliseconds(50));
    }
    return true;
}

Fleet::Requester Fleet::newRequester()
{
    const auto options = net::HttpClientOptions()
                             .keepIdle(std::chrono::seconds(12))
                             .trustIdle(std::chrono::seconds(12))
                             .maxHeaderBytes(std::size_t(64) << 10U);
    requesters_.push_back(std::make_shared<net::HttpClient>(loop_, options));
    return requesters_.back();
}

void Fleet::closeRequesters()
{
    requesters_.clear();
    record("all channels of requesters are closed by them");
}

std::shared_ptr<Outcome> Fleet::send(const Requester &requester,
                                     int vm,
                                     const std::string &target,
                                     const std::string &attempt,
                                     net::Headers headers,
                                     int deadlineMs)
{
    auto outcome = std::make_shared<Outcome>();
    outcome->attempt = attempt;
    outcome->vm = vm;
    net::HttpCall call;
    call.address = callers(vm);
    call.method = "POST";
    call.target = target;
    call.headers = { { "Host", "h.example" },
                     { "Attempt-Id", attempt },
                     { "Authorization", "Bearer key-of-t" },
                     { "Deadline-Ms", std::to_string(deadlineMs) } };
    call.headers.insert(call.headers.end(), headers.begin(), headers.end());
    call.body = "question of " + attempt;
    const Duration limit = std::chrono::milliseconds(deadlineMs);
    net::HttpHandlers handlers;
    handlers.onHead = [outcome](const net::HttpHead &head) {
        outcome->status = head.status;
        outcome->receipt = head.header("Runner-Seal").value_or("");
    };
    auto parser = std::make_shared<net::SseParser>();
    handlers.onBody = [outcome, parser](std::string_view bytes) {
        const auto events = parser->feed(bytes);
        if (events && !events.value().empty()) {
            outcome->lastEventId = events.value().back().id;
            for (const auto &event : events.value()) {
                const auto version = event.data.substr(0, event.data.find(' '));
                if (outcome->versions.empty() || outcome->versions.back() != version) {
                    outcome->versions.push_back(version);
                }
            }
        }
    };
    handlers.onDone = [this, outcome](const net::HttpEnd &end) {
        outcome->isDone = true;
        outcome->isComplete = !end.error;
        outcome->onKeptChannel = end.earlierCalls > 0;
        record("request " + outcome->attempt + " at vm-" + std::to_string(outcome->vm) + ": status "
               + std::to_string(outcome->status) + (outcome->isComplete ? ", complete" : ", channel closed early")
               + (outcome->onKeptChannel ? ", kept channel" : ", new channel")
               + (outcome->lastEventId.empty() ? "" : ", last event " + outcome->lastEventId)
               + (outcome->receipt.empty() ? "" : ", receipt " + outcome->receipt));
    };
    requester->start(std::move(call), { std::chrono::seconds(1), limit, limit, limit }, std::move(handlers));
    return outcome;
}

/** A channel to a gateway whose bytes no HTTP library writes. */
struct Fleet::RawChannel : std::enable_shared_from_this<Fleet::RawChannel> {
    RawChannel(Fleet &owner, std::string bytes)
        : fleet(owner)
        , request(std::move(bytes))
        , socket(owner.loop_.ioContext())
    {
    }

    void start(const std::string &address, int port)
    {
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address),
                                                      static_cast<unsigned short>(port));
        socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->write();
            }
        });
    }

    void write()
    {
        boost::asio::async_write(socket,
                                 boost::asio::buffer(request),
                                 [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                     if (!error) {
                                         self->read();
                                     }
                                 });
    }

    void read()
    {
        socket.async_read_some(boost::asio::buffer(input),
                               [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                   if (error) {
                                       return;
                                   }
                                   self->answer.append(self->input.data(), size);
                                   // The stand-in's answers have a short body with a length, or none.
                                   const auto end = self->answer.find("\r\n\r\n");
                                   const bool hasBody = self->answer.find("\ndone") != std::string::npos
                                       || self->answer.find("Content-Length: 0") != std::string::npos;
                                   if (end == std::string::npos || !hasBody) {
                                       self->read();
                                       return;
                                   }
                                   if (++self->fleet.rawAnswers_ <= 3) {
                                       self->fleet.record("answer on a raw channel: "
                                                          + self->answer.substr(0, self->answer.find('\r')));
                                   }
                                   self->answer.clear();
                                   self->write();
                               });
    }

    Fleet &fleet;
    std::string request;
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> input {};
    std::string answer;
};

std::shared_ptr<Fleet::RawChannel> Fleet::repeat(int vm, std::string request)
{
    auto channel = std::make_shared<RawChannel>(*this, std::move(request));
    channel->start(ip(10 + vm), callersPort);
    return channel;
}

bool Fleet::waitFor(const std::function<bool()> &condition, Duration limit)
{
    const Time end = loop_.clock().now() + limit;
    while (!condition()) {
        if (loop_.clock().now() >= end) {
            return false;
        }
        const auto timer =
            loop_.timers().once(loop_.clock().now() + std::chrono::milliseconds(5), [this](Time) { loop_.stop(); });
        loop_.run();
        loop_.timers().cancel(timer);
    }
    return true;
}

void Fleet::runFor(Duration time)
{
    waitFor([] { return false; }, time);
}

void Fleet::record(const std::string &line)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.clock().now() - startedAt_).count();
    record_ << ms << " ms: " << line << std::endl;
}

std::map<std::string, std::string> Fleet::runs() const
{
    std::map<std::string, std::string> result;
    for (const auto &[id, known] : runners_) {
        std::ifstream log(known.log);
        std::string at;
        std::string word;
        std::string attempt;
        std::string runner;
        std::string after;
        while (log >> at >> word >> attempt >> runner >> after) {
            result[attempt] = runner;
        }
    }
    return result;
}

} // namespace lacewing::review2
