#include "harness.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lacewing::gateway_test
{
namespace
{

constexpr std::uint16_t callersPort = 8625;
constexpr std::uint16_t readinessPort = 8621;
constexpr std::uint16_t firstInternalPort = 7740;
constexpr std::uint16_t metricsPort = firstInternalPort + 1;
/** Ends a test that hangs; no check depends on its length. */
constexpr Duration waitTimeout = 30s;
constexpr Duration pollInterval = 5ms;
/** More than a test has open. */
constexpr int maxTestDescriptors = 1024;

} // namespace

Harness::Harness(std::size_t vms)
    : client_(loop_, {})
{
    constexpr int octetRange = 250;
    const int process = getpid();
    network_ = "127." + std::to_string(1 + process / octetRange % octetRange) + "."
        + std::to_string(1 + process % octetRange) + ".";
    store_ = std::make_unique<platform_standin::Store>(loop_, ipOf(1));
    cr_assert(store_->start().has_value());
    for (std::size_t vm = 0; vm < vms; ++vm) {
        vms_.push_back({ "vm-" + std::to_string(vm), ipOf(10 + vm), 0, store_->addListenAddress().value(), {}, {} });
    }
}

Harness::~Harness()
{
    for (const auto &vm : vms_) {
        if (vm.process > 0) {
            kill(vm.process, SIGKILL);
            waitpid(vm.process, nullptr, 0);
        }
        unlink(vm.settingsPath.c_str());
        unlink(cutFile(vm).c_str());
        if (std::getenv("LACEWING_KEEP_LOGS") == nullptr) {
            unlink(vm.logPath.c_str());
        }
    }
    for (const int descriptor : blackHole_) {
        close(descriptor);
    }
}

std::string Harness::ipOf(std::size_t host) const
{
    return network_ + std::to_string(host);
}

platform_standin::Endpoint &Harness::addEndpoint(const std::string &id,
                                                 const std::string &service,
                                                 platform_standin::Endpoint::Behaviour behaviour,
                                                 const std::string &softwareVersion,
                                                 const std::string &zone)
{
    const platform_standin::Endpoint::Identity identity { id, service, zone, softwareVersion };
    endpoints_.push_back(std::make_unique<platform_standin::Endpoint>(loop_, ipOf(2), identity));
    auto &endpoint = *endpoints_.back();
    cr_assert(endpoint.start().has_value());
    endpoint.setBehaviour(behaviour);
    store_->registerEndpoint(endpoint);
    return endpoint;
}

platform_standin::RawEndpoint &Harness::addRawEndpoint(const std::string &id,
                                                       const std::string &service,
                                                       platform_standin::RawEndpoint::Script script)
{
    return addRawEndpoint(id, service, [script = std::move(script)](const net::HttpRequest &request) {
        return script(platform_standin::ReceivedRequest { request }.requestId());
    });
}

platform_standin::RawEndpoint &Harness::addRawEndpoint(const std::string &id,
                                                       const std::string &service,
                                                       platform_standin::RawEndpoint::RequestScript script,
                                                       const std::string &softwareVersion)
{
    const platform_standin::Endpoint::Identity identity { id, service, "a", softwareVersion };
    rawEndpoints_.push_back(
        std::make_unique<platform_standin::RawEndpoint>(loop_, ipOf(2), identity, std::move(script)));
    auto &endpoint = *rawEndpoints_.back();
    cr_assert(endpoint.start().has_value());
    store_->registerEndpoint(endpoint);
    return endpoint;
}

std::string Harness::cutFile(const Vm &vm) const
{
    return "/tmp/lacewing-gateway-test-" + std::to_string(getpid()) + "-" + vm.name + ".cut";
}

void Harness::enableCuts()
{
    areCutsEnabled_ = true;
    constexpr int connections = 3; // the kernel takes a few more than the length of the queue
    sockaddr_in address {};
    socklen_t length = sizeof address;
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = inet_addr(ipOf(2).c_str());
    blackHole_.push_back(socket(AF_INET, SOCK_STREAM, 0));
    cr_assert_eq(bind(blackHole_[0], reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    cr_assert_eq(listen(blackHole_[0], 0), 0);
    cr_assert_eq(getsockname(blackHole_[0], reinterpret_cast<sockaddr *>(&address), &length), 0);
    blackHolePort_ = ntohs(address.sin_port);
    for (int index = 0; index < connections; ++index) {
        blackHole_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        static_cast<void>(
            connect(blackHole_.back(), reinterpret_cast<const sockaddr *>(&address), sizeof address)); // in progress
    }
}

void Harness::cutOff(std::size_t vm, PathCut cut, const std::vector<std::string> &endpoints)
{
    constexpr const char *words[] = { "none", "refuse", "hang", "refuse-new", "hang-new" };
    const std::string path = cutFile(vms_[vm]);
    {
        std::ofstream file(path + ".new");
        file << words[std::size_t(cut)] << ' ' << blackHolePort_;
        const auto writePorts = [&](const auto &candidates) {
            for (const auto &endpoint : candidates) {
                if (std::find(endpoints.begin(), endpoints.end(), endpoint->identity().id) != endpoints.end()) {
                    file << ' ' << net::parseAddress(endpoint->address()).value().port;
                }
            }
        };
        writePorts(endpoints_);
        writePorts(rawEndpoints_);
    }
    rename((path + ".new").c_str(), path.c_str());
}

void Harness::cutOffAndWait(std::size_t vm, const std::vector<std::string> &targets)
{
    cutOff(vm, PathCut::Refuse);
    int requests = 0;
    waitFor(
        [&] {
            for (const auto &target : targets) {
                const auto id = "cut-off-" + std::to_string(vm) + "-" + std::to_string(++requests);
                sendAndWait(vm, "POST", target, platform_standin::requestHeaders({ .id = id, .apiKey = "k" }), "b");
            }
            return metric(vm, "lacewing_unreachable_services") >= double(targets.size());
        },
        "a VM that knows that it is cut off");
}

std::size_t Harness::sender(const platform_standin::ReceivedRequest &request) const
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (request.request.remoteAddress.starts_with(vms_[vm].ip + ":")) {
            return vm;
        }
    }
    cr_assert_fail("request of no VM: %s", request.request.remoteAddress.c_str());
    return 0;
}

void Harness::start()
{
    start(0, vms_.size());
}

void Harness::start(std::size_t first, std::size_t count)
{
    for (std::size_t index = first; index < first + count; ++index) {
        Vm &vm = vms_[index];
        const std::string base = "/tmp/lacewing-gateway-test-" + std::to_string(getpid()) + "-" + vm.name;
        vm.settingsPath = base + ".toml";
        vm.logPath = base + ".log";
        std::ofstream(vm.settingsPath) << platform_standin::settingsText(
            { vm.name,
              std::string(1, char('a' + index % zoneCount_)),
              vm.ip,
              callersPort,
              readinessPort,
              firstInternalPort,
              vm.storeAddress,
              stopGraceSeconds_,
              memoryMb_,
              maxDescriptors_ });
        std::string program = program_.empty() ? LACEWING_GATEWAY_PROGRAM : program_;
        std::string flag = "--settings=" + vm.settingsPath;
        char *const arguments[] = { program.data(), flag.data(), nullptr };
        const std::string cutPath = cutFile(vm);
        vm.process = fork();
        cr_assert_geq(vm.process, 0);
        if (vm.process == 0) {
            // A failed check ends the test without running destructors, so the gateway must end with its parent.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(vm.logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            // The gateway must not inherit the listeners, or an endpoint that crashes would still accept connections.
            for (int descriptor = STDERR_FILENO + 1; descriptor < maxTestDescriptors; ++descriptor) {
                close(descriptor);
            }
            if (areCutsEnabled_) {
                setenv("LACEWING_TEST_CUT_FILE", cutPath.c_str(), 1);
                setenv("LACEWING_TEST_CUT_IP", ipOf(2).c_str(), 1);
                setenv("LACEWING_TEST_CUT_SOURCE", vm.ip.c_str(), 1);
                setenv("LD_PRELOAD", LACEWING_TEST_CUT_LIBRARY, 1);
            }
            execv(program.c_str(), arguments);
            _exit(127);
        }
    }
    for (std::size_t vm = first; vm < first + count; ++vm) {
        waitFor([&] { return readiness(vm) == net::status::ok; }, "ready");
    }
}

std::shared_ptr<std::optional<Response>> Harness::sendAsync(
    std::size_t vm, const std::string &method, const std::string &target, net::Headers headers, std::string body)
{
    auto result = std::make_shared<std::optional<Response>>();
    net::HttpCall call;
    call.address = callersAddress(vm);
    call.method = method;
    call.target = target;
    call.headers = std::move(headers);
    call.body = std::move(body);
    const net::HttpLimits limits { waitTimeout, waitTimeout, waitTimeout, waitTimeout };
    auto response = std::make_shared<Response>();
    net::HttpHandlers handlers;
    handlers.onHead = [response](const net::HttpHead &head) {
        response->status = head.status;
        response->headers = head.headers;
        response->framing = head.framing;
    };
    handlers.onBody = [this, response](std::string_view bytes) {
        response->body += bytes;
        receivedBytes_ += bytes.size();
    };
    handlers.onDone = [result, response](const net::HttpEnd &end) {
        response->isComplete = !end.error;
        *result = std::move(*response);
    };
    client_.start(std::move(call), limits, std::move(handlers));
    return result;
}

Response Harness::sendAndWait(
    std::size_t vm, const std::string &method, const std::string &target, net::Headers headers, std::string body)
{
    const auto response = sendAsync(vm, method, target, std::move(headers), std::move(body));
    waitFor([&] { return response->has_value(); }, "a response");
    return **response;
}

std::string Harness::callersAddress(std::size_t vm) const
{
    return vms_[vm].ip + ":" + std::to_string(callersPort);
}

std::string Harness::linkAddress(std::size_t vm) const
{
    return vms_[vm].ip + ":" + std::to_string(firstInternalPort);
}

int Harness::readiness(std::size_t vm)
{
    net::HttpCall call;
    call.address = vms_[vm].ip + ":" + std::to_string(readinessPort);
    call.target = platform_standin::readinessPath;
    std::optional<int> status;
    net::fetch(client_, std::move(call), {}, [&](const net::HttpEnd &, const net::HttpResponse &response) {
        status = response.head.status;
    });
    waitFor([&] { return status.has_value(); }, "a readiness check");
    return *status;
}

void Harness::runFor(Duration time)
{
    const Time end = loop_.clock().now() + time;
    waitFor([&] { return loop_.clock().now() >= end; }, "time");
}

void Harness::waitForLinks()
{
    const auto runningVms =
        static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](const Vm &vm) { return vm.process > 0; }));
    for (const auto &vm : vms_) {
        if (vm.process > 0) {
            waitFor([&] { return countLogLines(vm, "\"vm live\"") + 1 >= runningVms; }, "heartbeats between all VMs");
        }
    }
}

void Harness::waitForLogLines(const std::vector<std::size_t> &vms, const std::string &text, std::size_t count)
{
    const auto isLogged = [&] {
        std::size_t lines = 0;
        for (const auto vm : vms) {
            lines += countLogLines(vms_[vm], text);
        }
        return lines >= count;
    };
    waitFor(isLogged, text.c_str());
}

std::size_t Harness::countLogLines(const Vm &vm, const std::string &text) const
{
    std::ifstream log(vm.logPath);
    std::size_t lines = 0;
    for (std::string line; std::getline(log, line);) {
        lines += line.find(text) != std::string::npos ? 1 : 0;
    }
    return lines;
}

std::string Harness::lastLogLine(std::size_t vm, const std::string &text) const
{
    std::ifstream log(vms_[vm].logPath);
    std::string last;
    for (std::string line; std::getline(log, line);) {
        if (line.find(text) != std::string::npos) {
            last = line;
        }
    }
    return last;
}

void Harness::signal(std::size_t vm, int number)
{
    kill(vms_[vm].process, number);
}

double Harness::processorSeconds(std::size_t vm) const
{
    std::ifstream file("/proc/" + std::to_string(vms_[vm].process) + "/stat");
    std::string text;
    std::getline(file, text);
    // The name of the program, in brackets, may contain spaces; user and system time are the 12th and 13th field after
    // it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    double ticks = 0;
    for (int index = 1; fields >> field && index <= 13; ++index) {
        ticks += index >= 12 ? std::stod(field) : 0;
    }
    return ticks / double(sysconf(_SC_CLK_TCK));
}

std::size_t Harness::peakMemory(std::size_t vm) const
{
    constexpr std::string_view field = "VmHWM:";
    constexpr std::size_t bytesPerKib = 1024;
    std::ifstream status("/proc/" + std::to_string(vms_[vm].process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size())) * bytesPerKib;
        }
    }
    cr_assert_fail("no memory figure for vm %zu", vm);
    return 0;
}

std::size_t Harness::openDescriptors(std::size_t vm) const
{
    std::error_code error; // the process may have ended
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(vms_[vm].process) + "/fd", error);
    return std::size_t(std::distance(entries, std::filesystem::directory_iterator()));
}

double Harness::metric(std::size_t vm, const std::string &name)
{
    net::HttpCall call;
    call.address = vms_[vm].ip + ":" + std::to_string(metricsPort);
    call.target = "/metrics";
    std::optional<std::string> text;
    net::fetch(client_, std::move(call), {}, [&](const net::HttpEnd &, const net::HttpResponse &response) {
        text = response.body;
    });
    waitFor([&] { return text.has_value(); }, "metrics");
    const auto line = text->find("\n" + name + " ");
    cr_assert_neq(line, std::string::npos, "no metric %s", name.c_str());
    return std::stod(text->substr(line + name.size() + 2));
}

bool Harness::hasEnded(std::size_t vm)
{
    if (vms_[vm].process > 0 && waitpid(vms_[vm].process, nullptr, WNOHANG) == vms_[vm].process) {
        vms_[vm].process = 0;
    }
    return vms_[vm].process == 0;
}

void Harness::waitFor(const std::function<bool()> &condition, const char *what)
{
    const Time limit = loop_.clock().now() + waitTimeout;
    while (!condition()) {
        cr_assert(loop_.clock().now() < limit, "timed out waiting for %s", what);
        const auto timer = loop_.timers().once(loop_.clock().now() + pollInterval, [this](Time) { loop_.stop(); });
        loop_.run();
        loop_.timers().cancel(timer);
    }
}

} // namespace lacewing::gateway_test
