#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/**
 * Small stand-ins of the users' platform for the review: the store, runners and requesters, on loopback addresses.
 *
 * Each connection has a thread of its own, so that a case can say in plain order what a runner does.
 */
namespace review
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using namespace std::chrono_literals;

void sleepFor(Milliseconds time);
/** Returns a loopback address of this process; hosts are 1 to 250. */
std::string ipOf(int host);

/** The record of a run: what was sent, answered and run, with the time since the start in ms. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    double milliseconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    Time startedAt_ = Clock::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string headerOf(const Headers &headers, std::string_view name);

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        return headerOf(headers, name);
    }
    std::string query(std::string_view name) const;
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
};

/** A connection that a stand-in has accepted. */
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Waits for a request. @return empty if the other side has closed the connection */
    std::optional<Request> read();
    /** @return false if the connection has ended */
    bool write(std::string_view bytes);
    bool respond(int status, const Headers &headers, const std::string &body);
    /** Waits. @return false as soon as the other side has closed the connection */
    bool waitOpen(Milliseconds time);
    void end(bool isReset);

private:
    bool fill();

    int descriptor_;
    std::string input_;
    std::mutex mutex_;
    bool isEnded_ = false;
};

/** Accepts connections and calls a handler for each request. */
class Server
{
public:
    using Handler = std::function<void(const Request &request, Connection &connection)>;

    Server(std::string ip, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Listens, at the same port as before if there was one. */
    void start();
    /** Ends the listener and all connections. */
    void stop(bool isReset);
    std::string address() const;

private:
    struct Shared {
        Handler handler;
        std::mutex mutex;
        std::vector<std::weak_ptr<Connection>> connections;
        std::atomic<bool> isRunning = false;
    };

    std::string ip_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::shared_ptr<Shared> shared_;
    std::thread acceptor_;
};

/** The platform's store: keyed topics of one partition. */
class Store
{
public:
    explicit Store(const std::string &ip);
    void start();
    std::string address() const;
    /** Writes a record; an empty value removes the key. @return its offset */
    std::uint64_t put(const std::string &topic, const std::string &key, const std::string &value);
    /** Sets how long an answer takes. */
    void setAnswerTime(Milliseconds time);

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Entry> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    void handle(const Request &request, Connection &connection);
    void append(const Request &request, Connection &connection);
    void read(const Request &request, Connection &connection);
    void readNewest(const Request &request, Connection &connection);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    std::atomic<std::int64_t> answerMs_ = 4;
    Server server_;
};

/** What a runner writes into the store. */
struct Registration {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "a";
    std::string version = "v1";
    std::uint64_t born = 0;
    int slots = 8;
    bool isDraining = false;

    std::string text(int sequence) const;
};

/** Writes a runner's registration about every 1.2 s, until it is told to stop. */
class Heartbeat
{
public:
    Heartbeat(Store &store, Registration registration);
    ~Heartbeat();
    /** Changes what is written and writes it at once. */
    void update(const std::function<void(Registration &)> &change);
    void stop();
    /** Returns what the next status report of this lifetime would hold. */
    std::string nextText();

private:
    void run();

    Store &store_;
    std::mutex mutex_;
    std::condition_variable changed_;
    Registration registration_;
    int sequence_ = 0;
    bool isStopped_ = false;
    std::thread thread_;
};

/** The processes of the system. */
class Fleet
{
public:
    Fleet(std::string directory, std::string storeAddress);
    ~Fleet();
    /** Starts a process for each machine and waits until all say that they are ready. @return false if they don't */
    bool start(int machines);
    /** Ends all processes. */
    void stop();
    std::string address(int machine) const;
    int process(int machine) const;
    /** Returns whether a process has ended by itself. */
    bool hasEnded(int machine);
    /** Starts a process again that has ended, as the platform does. */
    void restart(int machine);

private:
    int spawn(int machine) const;

    std::string directory_;
    std::string storeAddress_;
    std::vector<int> processes_;
};

struct Response {
    int status = 0; ///< 0 if there was none
    Headers headers;
    std::string body;
    bool isComplete = false;
};

/** A requester's channel to the system, which it may keep for several requests. */
class Channel
{
public:
    explicit Channel(std::string address);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /** Sends a request and waits for its answer. Connects if the channel isn't open. */
    Response exchange(const Request &request, Milliseconds time);
    /** Returns whether the next request uses a channel that has brought an answer before. */
    bool isKept() const noexcept
    {
        return descriptor_ >= 0;
    }
    void close();

private:
    std::string address_;
    int descriptor_ = -1;
};

/** Sends a request on a new channel and waits for its answer. */
Response send(const std::string &address, const Request &request, Milliseconds time);

/** Ends the program with all threads of the stand-ins, which may still use what it holds. */
[[noreturn]] void leave(Fleet &fleet, int result);

/** Returns the number of milliseconds since 1970. */
std::uint64_t unixMilliseconds();

} // namespace review
