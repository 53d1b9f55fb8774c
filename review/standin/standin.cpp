#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

constexpr std::uint16_t callersPort = 8625;
constexpr std::uint16_t readinessPort = 8621;
constexpr int firstInternalPort = 7740;
constexpr int maxDescriptors = 1024;

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = inet_addr(ip.c_str());
    return address;
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string() : std::string(text.substr(first, last - first + 1));
}

Headers parseHeaders(std::string_view lines)
{
    Headers headers;
    while (!lines.empty()) {
        const auto end = std::min(lines.find("\r\n"), lines.size());
        const auto line = lines.substr(0, end);
        lines.remove_prefix(std::min(end + 2, lines.size()));
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            headers.emplace_back(std::string(line.substr(0, colon)), trim(line.substr(colon + 1)));
        }
    }
    return headers;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text(std::size_t(bytes), '\0');
    for (int at = bytes - 1; at >= 0; --at) {
        text[std::size_t(at)] = char(value & 0xffU);
        value >>= 8U;
    }
    return text;
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isPadding = at + index > bytes.size();
            text += isPadding ? '=' : digits[group >> (18U - 6U * unsigned(index)) & 63U];
        }
    }
    return text;
}

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(std::size_t(sent));
    }
    return true;
}

int connectTo(const std::string &address)
{
    const auto colon = address.rfind(':');
    const auto target = addressOf(address.substr(0, colon), std::uint16_t(std::stoi(address.substr(colon + 1))));
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close(descriptor);
        return -1;
    }
    const int yes = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return descriptor;
}

/** Decodes what there is of a chunked body. @return whether its end has come */
bool decodeChunks(std::string_view bytes, std::string &body)
{
    for (;;) {
        const auto line = bytes.find("\r\n");
        if (line == std::string_view::npos) {
            return false;
        }
        const auto size = std::stoul(std::string(bytes.substr(0, line)), nullptr, 16);
        bytes.remove_prefix(line + 2);
        if (size == 0) {
            return bytes.size() >= 2;
        }
        body += bytes.substr(0, size);
        if (bytes.size() < size + 2) {
            return false;
        }
        bytes.remove_prefix(size + 2);
    }
}

} // namespace

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::string ipOf(int host)
{
    constexpr int range = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process / range % range) + "." + std::to_string(1 + process % range) + "."
        + std::to_string(host);
}

std::uint64_t unixMilliseconds()
{
    return std::uint64_t(
        std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

// ---------------------------------------------------------------------------------------------------------------------

Record::Record(const std::string &path)
    : file_(path)
{
}

double Record::milliseconds() const
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt_).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.1f ", milliseconds());
    file_ << time << text << std::endl;
}

// ---------------------------------------------------------------------------------------------------------------------

std::string headerOf(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [&](const auto &header) { return lowerCase(header.first) == lowerCase(name); });
    return found == headers.end() ? std::string() : found->second;
}

std::string Request::query(std::string_view name) const
{
    const auto mark = target.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            std::string value;
            const auto text = pair.substr(std::min(equals + 1, pair.size()));
            for (std::size_t at = 0; at < text.size(); ++at) {
                if (text[at] == '%' && at + 2 < text.size()) {
                    value += char(std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16));
                    at += 2;
                } else {
                    value += text[at];
                }
            }
            return value;
        }
    }
    return {};
}

// ---------------------------------------------------------------------------------------------------------------------

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
    const int yes = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

Connection::~Connection()
{
    close(descriptor_);
}

bool Connection::fill()
{
    char buffer[16384];
    const auto size = recv(descriptor_, buffer, sizeof buffer, 0);
    if (size <= 0) {
        return false;
    }
    input_.append(buffer, std::size_t(size));
    return true;
}

std::optional<Request> Connection::read()
{
    auto head = input_.find("\r\n\r\n");
    while (head == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        head = input_.find("\r\n\r\n");
    }
    Request request;
    const std::string text = input_.substr(0, head + 2);
    input_.erase(0, head + 4);
    const auto line = text.find("\r\n");
    const auto first = text.find(' ');
    const auto second = text.find(' ', first + 1);
    request.method = text.substr(0, first);
    request.target = text.substr(first + 1, second - first - 1);
    request.headers = parseHeaders(std::string_view(text).substr(line + 2));
    const auto length = request.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (input_.size() < size) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    request.body = input_.substr(0, size);
    input_.erase(0, size);
    return request;
}

bool Connection::write(std::string_view bytes)
{
    const std::lock_guard lock(mutex_);
    return !isEnded_ && sendAll(descriptor_, bytes);
}

bool Connection::respond(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Connection::waitOpen(Milliseconds time)
{
    const Time until = Clock::now() + time;
    for (;;) {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd poll { descriptor_, POLLRDHUP, 0 };
        if (::poll(&poll, 1, int(std::max<std::int64_t>(left, 0))) > 0) {
            return false;
        }
        if (left <= 0) {
            return true;
        }
    }
}

void Connection::end(bool isReset)
{
    const std::lock_guard lock(mutex_);
    if (isEnded_) {
        return;
    }
    isEnded_ = true;
    if (isReset) {
        const linger now { 1, 0 };
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    shutdown(descriptor_, SHUT_RDWR);
}

// ---------------------------------------------------------------------------------------------------------------------

Server::Server(std::string ip, Handler handler)
    : ip_(std::move(ip))
    , shared_(std::make_shared<Shared>())
{
    shared_->handler = std::move(handler);
}

Server::~Server()
{
    stop(false);
}

void Server::start()
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto address = addressOf(ip_, port_);
    if (bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listener_, 1024) != 0) {
        std::perror("a stand-in can't listen");
        std::_Exit(2);
    }
    socklen_t length = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
    port_ = ntohs(address.sin_port);
    shared_->isRunning = true;
    acceptor_ = std::thread([shared = shared_, listener = listener_] {
        for (;;) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const auto connection = std::make_shared<Connection>(descriptor);
            {
                const std::lock_guard lock(shared->mutex);
                std::erase_if(shared->connections, [](const auto &weak) { return weak.expired(); });
                shared->connections.push_back(connection);
            }
            std::thread([shared, connection] {
                while (shared->isRunning) {
                    const auto request = connection->read();
                    if (!request) {
                        return;
                    }
                    shared->handler(*request, *connection);
                }
            }).detach();
        }
    });
}

void Server::stop(bool isReset)
{
    if (!shared_->isRunning) {
        return;
    }
    shared_->isRunning = false;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    const std::lock_guard lock(shared_->mutex);
    for (const auto &weak : shared_->connections) {
        if (const auto connection = weak.lock()) {
            connection->end(isReset);
        }
    }
    shared_->connections.clear();
}

std::string Server::address() const
{
    return ip_ + ":" + std::to_string(port_);
}

// ---------------------------------------------------------------------------------------------------------------------

Store::Store(const std::string &ip)
    : server_(ip, [this](const Request &request, Connection &connection) { handle(request, connection); })
{
}

void Store::start()
{
    server_.start();
}

std::string Store::address() const
{
    return server_.address();
}

void Store::setAnswerTime(Milliseconds time)
{
    answerMs_ = time.count();
}

std::uint64_t Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    Topic &held = topics_[topic];
    const std::uint64_t offset = held.records.size();
    held.records.push_back({ key, value });
    if (value.empty()) {
        held.newest.erase(key);
    } else {
        held.newest[key] = { offset, value };
    }
    changed_.notify_all();
    return offset;
}

void Store::handle(const Request &request, Connection &connection)
{
    if (request.path() == "/v1/log-append") {
        append(request, connection);
    } else if (request.path() == "/v1/log-read") {
        read(request, connection);
    } else if (request.path() == "/v1/log-newest") {
        readNewest(request, connection);
    } else {
        connection.respond(404, { { "Store-Era", "1" } }, {});
    }
}

void Store::append(const Request &request, Connection &connection)
{
    sleepFor(Milliseconds(answerMs_));
    const auto topic = request.query("topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
        connection.respond(403, { { "Store-Era", "1" } }, {});
        return;
    }
    std::string_view body = request.body;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    while (body.size() > 4) {
        std::size_t length = 0;
        for (std::size_t at = 0; at < 4; ++at) {
            length = length << 8U | static_cast<unsigned char>(body[at]);
        }
        const auto content = body.substr(4, length);
        const std::size_t keyLength = static_cast<unsigned char>(content.front());
        end = put(topic, std::string(content.substr(1, keyLength)), std::string(content.substr(1 + keyLength))) + 1;
        first = first == 0 ? end - 1 : first;
        body.remove_prefix(std::min(4 + length, body.size()));
    }
    connection.respond(200,
                       { { "Store-Era", "1" }, { "Content-Type", "application/json" } },
                       "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(end) + "}");
}

void Store::read(const Request &request, Connection &connection)
{
    const auto from = std::stoull(request.query("from"));
    const auto waitText = request.query("wait-ms");
    const Milliseconds wait(waitText.empty() ? 0 : std::stol(waitText));
    std::string body;
    {
        std::unique_lock lock(mutex_);
        Topic &topic = topics_[request.query("topic")];
        if (from > topic.records.size()) {
            lock.unlock();
            sleepFor(Milliseconds(answerMs_));
            connection.respond(410, { { "Store-Era", "1" } }, "{\"first\":0}");
            return;
        }
        changed_.wait_for(lock, wait, [&] { return from < topic.records.size(); });
        body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
        for (std::size_t at = from; at < topic.records.size(); ++at) {
            const auto &record = topic.records[at];
            body += bigEndian(1 + record.key.size() + record.value.size(), 4);
            body += char(record.key.size());
            body += record.key + record.value;
        }
    }
    sleepFor(Milliseconds(answerMs_));
    connection.respond(200, { { "Store-Era", "1" } }, body);
}

void Store::readNewest(const Request &request, Connection &connection)
{
    constexpr std::size_t pageItems = 500;
    std::string items;
    bool isTruncated = false;
    std::size_t end = 0;
    {
        const std::lock_guard lock(mutex_);
        const Topic &topic = topics_[request.query("topic")];
        const auto after = request.query("after");
        std::size_t count = 0;
        for (auto at = topic.newest.upper_bound(after); at != topic.newest.end(); ++at) {
            if (++count > pageItems) {
                isTruncated = true;
                break;
            }
            items += items.empty() ? "" : ",";
            items += "{\"key\":\"" + at->first + "\",\"value\":\"" + base64(at->second.second)
                + "\",\"offset\":" + std::to_string(at->second.first) + "}";
        }
        end = topic.records.size();
    }
    sleepFor(Milliseconds(answerMs_));
    connection.respond(200,
                       { { "Store-Era", "1" }, { "Content-Type", "application/json" } },
                       "{\"items\":[" + items + "],\"truncated\":" + (isTruncated ? "true" : "false")
                           + ",\"end\":" + std::to_string(end) + "}");
}

// ---------------------------------------------------------------------------------------------------------------------

std::string Registration::text(int sequence) const
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\""
        + version + "\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + (isDraining ? "draining" : "ready")
        + "\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
        + "\"sequence\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
}

Heartbeat::Heartbeat(Store &store, Registration registration)
    : store_(store)
    , registration_(std::move(registration))
    , thread_([this] { run(); })
{
}

Heartbeat::~Heartbeat()
{
    stop();
}

void Heartbeat::update(const std::function<void(Registration &)> &change)
{
    const std::lock_guard lock(mutex_);
    change(registration_);
    store_.put("keyed.servers", registration_.id, registration_.text(++sequence_));
}

void Heartbeat::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopped_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

std::string Heartbeat::nextText()
{
    const std::lock_guard lock(mutex_);
    return registration_.text(++sequence_);
}

void Heartbeat::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopped_) {
        store_.put("keyed.servers", registration_.id, registration_.text(++sequence_));
        changed_.wait_for(lock, 1200ms, [this] { return isStopped_; });
    }
}

// ---------------------------------------------------------------------------------------------------------------------

Fleet::Fleet(std::string directory, std::string storeAddress)
    : directory_(std::move(directory))
    , storeAddress_(std::move(storeAddress))
{
}

Fleet::~Fleet()
{
    stop();
}

void Fleet::stop()
{
    for (const int process : std::exchange(processes_, {})) {
        if (process > 0) {
            kill(process, SIGCONT);
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
}

bool Fleet::start(int machines)
{
    for (int machine = 0; machine < machines; ++machine) {
        const std::string ip = ipOf(10 + machine);
        const std::string base = directory_ + "/machine-" + std::to_string(machine);
        std::ofstream(base + ".toml")
            << "node-name = \"front-a-" << machine << "\"\nrole = \"gateway\"\nmachine-class = \"front\"\n"
            << "serves = [\"front\"]\nip = \"" << ip << "\"\nzone = \"a\"\nregion = \"r\"\ninternal-ports = ["
            << firstInternalPort << "," << firstInternalPort + 15 << "]\nbootstrap = true\nin-loss-budget = false\n"
            << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\n"
            << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
            << "\"tenants\",\"platform\",\"stages\"]\n[zones]\na = \"r\"\n[listen]\nfront = \"" << ip << ":"
            << callersPort << "\"\nready = \"" << ip << ":" << readinessPort
            << "\"\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\n"
            << "disk-mb = 0\n[fault-tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseed-lag-s = 3\n"
            << "reuse-after-s = 2\nstable-window-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\n"
            << "grace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n"
            << "max-stretch-ms = 5000\nrevoke-strict = false\nrevoke-ms = 5000\nbudget-ratio = 0.2\n"
            << "budget-window-s = 10\nbudget-slack = 54\nrecover-s = 12\npass-ms = 120\nagain-s = 7.6\n"
            << "[platform]\naddress = \"" << storeAddress_
            << "\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\nparts = 24\nappend-ms = 1.0\n"
            << "part-mb-per-s = 20.0\nread-mb-per-s = 80.0\nrecord-bytes = 262144\ncall-bytes = 2097152\n"
            << "keep_s = 300\npart-mb = 200\nttl-min-ms = 1000\n";
        processes_.push_back(spawn(machine));
    }
    const Time until = Clock::now() + 15s;
    for (int machine = 0; machine < machines; ++machine) {
        const std::string ready = ipOf(10 + machine) + ":" + std::to_string(readinessPort);
        while (review::send(ready, { "GET", "/v1/ready", { { "Host", "ready" } }, {} }, 500ms).status != 200) {
            if (Clock::now() > until || hasEnded(machine)) {
                return false;
            }
            sleepFor(50ms);
        }
    }
    return true;
}

int Fleet::spawn(int machine) const
{
    const std::string base = directory_ + "/machine-" + std::to_string(machine);
    const int process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        for (int descriptor = STDERR_FILENO + 1; descriptor < maxDescriptors; ++descriptor) {
            close(descriptor);
        }
        setenv("LACEWINGFALL_NODE_FILE", (base + ".toml").c_str(), 1);
        execl("target/tools/gateway/lacewing-gateway", "lacewing-gateway", nullptr);
        std::_Exit(127);
    }
    return process;
}

void Fleet::restart(int machine)
{
    processes_[std::size_t(machine)] = spawn(machine);
}

std::string Fleet::address(int machine) const
{
    return ipOf(10 + machine) + ":" + std::to_string(callersPort);
}

int Fleet::process(int machine) const
{
    return processes_[std::size_t(machine)];
}

bool Fleet::hasEnded(int machine)
{
    int &process = processes_[std::size_t(machine)];
    if (process > 0 && waitpid(process, nullptr, WNOHANG) == process) {
        process = 0;
    }
    return process == 0;
}

// ---------------------------------------------------------------------------------------------------------------------

void leave(Fleet &fleet, int result)
{
    fleet.stop();
    std::fflush(nullptr);
    std::_Exit(result);
}

// ---------------------------------------------------------------------------------------------------------------------

Channel::Channel(std::string address)
    : address_(std::move(address))
{
}

Channel::~Channel()
{
    close();
}

void Channel::close()
{
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

Response Channel::exchange(const Request &request, Milliseconds time)
{
    Response response;
    if (descriptor_ < 0) {
        descriptor_ = connectTo(address_);
    }
    if (descriptor_ < 0) {
        return response;
    }
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    sendAll(descriptor_, text + "\r\n" + request.body);
    const Time until = Clock::now() + time;
    std::string input;
    bool hasEnded = false;
    while (!response.isComplete && !hasEnded) {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd poll { descriptor_, POLLIN, 0 };
        if (left <= 0 || ::poll(&poll, 1, int(left)) == 0) {
            break;
        }
        char buffer[16384];
        const auto size = recv(descriptor_, buffer, sizeof buffer, 0);
        hasEnded = size <= 0;
        if (size > 0) {
            input.append(buffer, std::size_t(size));
        }
        const auto head = input.find("\r\n\r\n");
        if (head == std::string::npos) {
            continue;
        }
        const auto line = input.find("\r\n");
        response.status = std::stoi(input.substr(9, 3));
        response.headers = parseHeaders(std::string_view(input).substr(line + 2, head - line));
        const auto rest = std::string_view(input).substr(head + 4);
        const auto length = headerOf(response.headers, "Content-Length");
        response.body.clear();
        if (headerOf(response.headers, "Transfer-Encoding") == "chunked") {
            response.isComplete = decodeChunks(rest, response.body);
        } else if (!length.empty()) {
            response.body = rest;
            response.isComplete = rest.size() >= std::stoul(length);
        } else {
            response.body = rest;
            response.isComplete = hasEnded && size == 0;
        }
    }
    if (!response.isComplete || hasEnded || headerOf(response.headers, "Connection") == "close") {
        close();
    }
    return response;
}

Response send(const std::string &address, const Request &request, Milliseconds time)
{
    return Channel(address).exchange(request, time);
}

} // namespace review
