/**
 * Loaded into a gateway process by tests, to cut only this VM off from the endpoints: on loopback addresses, endpoints
 * can't tell which VM a connection comes from.
 *
 * Connections to the address in LACEWING_TEST_CUT_IP are affected as the first word of the file LACEWING_TEST_CUT_FILE
 * says; further words are ports, to affect these only. They are made from the address in LACEWING_TEST_CUT_SOURCE, so
 * that endpoints see which VM sends. The file is read again every few ms.
 */
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fstream>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto reloadInterval = std::chrono::milliseconds(5);
/** Port at which nothing listens. */
constexpr std::uint16_t closedPort = 1;

struct Connection {
    std::uint16_t port = 0;
    std::chrono::milliseconds userTimeout { 0 }; ///< TCP_USER_TIMEOUT; 0: none
    Clock::time_point unacknowledgedSince; ///< when the first bytes were written that the cut swallowed
    bool isStuck = false; ///< bytes were lost in either direction
    bool isBroken = false; ///< reset, or given up by the kernel
};

struct State {
    std::string mode; ///< "", "refuse", "hang", "refuse-new" or "hang-new"
    std::set<std::uint16_t> ports; ///< empty: all
    std::uint16_t blackHolePort = 0; ///< of a listener whose queue is full
    Clock::time_point loadedAt;
    std::map<int, Connection> connections; ///< to endpoints, by descriptor
};

State &state()
{
    static State instance;
    return instance;
}

template <typename Function>
Function next(const char *name)
{
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

const char *variable(const char *name)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : "";
}

bool isAffected(const Connection &connection)
{
    return state().ports.empty() || state().ports.contains(connection.port);
}

bool isHanging(const Connection &connection)
{
    return state().mode == "hang" && isAffected(connection);
}

/** Wakes the process up, which then gets an error for the connection. */
void breakConnection(int descriptor, Connection &connection)
{
    connection.isBroken = true;
    shutdown(descriptor, SHUT_RDWR);
}

/** Reads the file again, and ends connections as a reset, a time limit or lost bytes would. */
void update()
{
    const auto now = Clock::now();
    if (now - state().loadedAt < reloadInterval) {
        return;
    }
    state().loadedAt = now;
    std::ifstream file(variable("LACEWING_TEST_CUT_FILE"));
    std::string mode;
    file >> mode >> state().blackHolePort;
    state().ports.clear();
    for (std::uint16_t port = 0; file >> port;) {
        state().ports.insert(port);
    }
    state().mode = mode;
    for (auto &[descriptor, connection] : state().connections) {
        const bool isReset = mode == "refuse" && isAffected(connection);
        const bool isTimedOut = connection.isStuck && connection.userTimeout.count() > 0
            && connection.unacknowledgedSince != Clock::time_point()
            && now - connection.unacknowledgedSince > connection.userTimeout;
        if (isReset || isTimedOut || (connection.isStuck && !isHanging(connection))) {
            breakConnection(descriptor, connection);
        }
    }
}

Connection *find(int descriptor)
{
    update();
    const auto found = state().connections.find(descriptor);
    return found == state().connections.end() ? nullptr : &found->second;
}

/** Returns whether bytes written to a connection get lost. */
bool swallows(int descriptor)
{
    Connection *connection = find(descriptor);
    if (connection == nullptr || !isHanging(*connection)) {
        return false;
    }
    connection->isStuck = true;
    if (connection->unacknowledgedSince == Clock::time_point()) {
        connection->unacknowledgedSince = Clock::now();
    }
    return true;
}

/** Returns whether nothing can be read from a connection, and sets errno then. */
bool withholds(int descriptor)
{
    Connection *connection = find(descriptor);
    if (connection != nullptr && connection->isBroken) {
        errno = ECONNRESET;
        return true;
    }
    if (connection == nullptr || !isHanging(*connection)) {
        return false;
    }
    connection->isStuck = true;
    errno = EAGAIN;
    return true;
}

} // namespace

extern "C" {

int connect(int descriptor, const sockaddr *address, socklen_t length)
{
    static const auto original = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
    sockaddr_in target {};
    if (address->sa_family != AF_INET || length < sizeof target) {
        return original(descriptor, address, length);
    }
    std::memcpy(&target, address, sizeof target);
    if (target.sin_addr.s_addr != inet_addr(variable("LACEWING_TEST_CUT_IP"))) {
        return original(descriptor, address, length);
    }
    update();
    Connection connection;
    connection.port = ntohs(target.sin_port);
    if (isAffected(connection)) {
        if (state().mode.starts_with("refuse")) {
            target.sin_port = htons(closedPort);
        } else if (state().mode.starts_with("hang")) {
            target.sin_port = htons(state().blackHolePort);
        }
    }
    state().connections[descriptor] = connection;
    sockaddr_in source {};
    source.sin_family = AF_INET;
    source.sin_addr.s_addr = inet_addr(variable("LACEWING_TEST_CUT_SOURCE"));
    static_cast<void>(bind(descriptor, reinterpret_cast<const sockaddr *>(&source), sizeof source));
    return original(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target);
}

int close(int descriptor)
{
    static const auto original = next<int (*)(int)>("close");
    state().connections.erase(descriptor);
    return original(descriptor);
}

int setsockopt(int descriptor, int level, int option, const void *value, socklen_t length)
{
    static const auto original = next<int (*)(int, int, int, const void *, socklen_t)>("setsockopt");
    const auto found = state().connections.find(descriptor);
    if (found != state().connections.end() && level == IPPROTO_TCP && option == TCP_USER_TIMEOUT) {
        found->second.userTimeout = std::chrono::milliseconds(*static_cast<const int *>(value));
    }
    return original(descriptor, level, option, value, length);
}

ssize_t sendmsg(int descriptor, const msghdr *message, int flags)
{
    static const auto original = next<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    if (!swallows(descriptor)) {
        return original(descriptor, message, flags);
    }
    ssize_t size = 0;
    for (std::size_t index = 0; index < message->msg_iovlen; ++index) {
        size += static_cast<ssize_t>(message->msg_iov[index].iov_len);
    }
    return size;
}

ssize_t send(int descriptor, const void *bytes, size_t size, int flags)
{
    static const auto original = next<ssize_t (*)(int, const void *, size_t, int)>("send");
    return swallows(descriptor) ? static_cast<ssize_t>(size) : original(descriptor, bytes, size, flags);
}

ssize_t recvmsg(int descriptor, msghdr *message, int flags)
{
    static const auto original = next<ssize_t (*)(int, msghdr *, int)>("recvmsg");
    return withholds(descriptor) ? -1 : original(descriptor, message, flags);
}

ssize_t recv(int descriptor, void *bytes, size_t size, int flags)
{
    static const auto original = next<ssize_t (*)(int, void *, size_t, int)>("recv");
    return withholds(descriptor) ? -1 : original(descriptor, bytes, size, flags);
}

int epoll_wait(int descriptor, epoll_event *events, int count, int timeout)
{
    static const auto original = next<int (*)(int, epoll_event *, int, int)>("epoll_wait");
    update();
    const int reloadMs = static_cast<int>(reloadInterval.count());
    return original(descriptor, events, count, timeout < 0 || timeout > reloadMs ? reloadMs : timeout);
}
}
