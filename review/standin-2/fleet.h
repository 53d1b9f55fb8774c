#pragma once

#include <net/net.h>
#include <platform_standin/platform_standin.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/** Small stand-ins for the cases of this review: runners and requesters, and gateways as processes. */
namespace lacewing::review2
{

/** How a runner works. */
struct RunnerSpec {
    std::string id;
    std::string zone;
    std::string version = "v1"; ///< of its software
    int firstMs = 100; ///< until the first event or the answer
    int gapMs = 250; ///< between two events
    int events = 20; ///< of a whole stream
    std::string service = "pool";
};

/** Runs a runner in this process until it is killed. */
int runRunner(const RunnerSpec &spec, const std::string &address, const std::string &logPath);

/** What became of one request. */
struct Outcome {
    std::string attempt;
    bool isDone = false;
    bool isComplete = false; ///< a whole answer
    int status = 0; ///< 0 if there was none
    std::string lastEventId;
    std::vector<std::string> versions; ///< of the runners that wrote the events, in order, without repeats
    std::string receipt;
    bool onKeptChannel = false;
    int vm = -1;
};

/** Gateways, runners, the platform's store and requesters of one case. */
class Fleet
{
public:
    Fleet(std::string self, std::string gateway, std::string recordPath);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void publishState(const std::string &text);
    /** Starts a runner, at the address that it had if it has run before; it registers if the store is up. */
    void startRunner(const RunnerSpec &spec);
    void killRunner(const std::string &id);
    /** The store answers 503 to everybody, or ends that. */
    void setStoreDown(bool isDown);
    void startVm(int vm, const std::string &zone, int memoryMb = 260);
    void signalVm(int vm, int number);
    /** @return how the process ended; empty while it runs */
    std::optional<std::string> ending(int vm);
    std::size_t residentBytes(int vm) const;
    /** @return the most that a process has had resident since its start */
    std::size_t peakBytes(int vm) const;
    bool waitReady(int vm);
    bool isReady(int vm, Duration limit = std::chrono::seconds(3));

    /** A requester, whose channel to a gateway is kept between its requests. */
    using Requester = std::shared_ptr<net::HttpClient>;
    Requester newRequester();
    /** Closes the channels of all requesters. */
    void closeRequesters();
    std::shared_ptr<Outcome> send(const Requester &requester,
                                  int vm,
                                  const std::string &target,
                                  const std::string &attempt,
                                  net::Headers headers,
                                  int deadlineMs);

    /** Sends the same bytes to a gateway again and again, each time after the answer, until closed. */
    struct RawChannel;
    std::shared_ptr<RawChannel> repeat(int vm, std::string request);
    /** @return the answers that have arrived on all such channels */
    int rawAnswers() const noexcept
    {
        return rawAnswers_;
    }

    bool waitFor(const std::function<bool()> &condition, Duration limit);
    void runFor(Duration time);
    void record(const std::string &line);
    /** Returns the runner of each request that has run, by attempt. */
    std::map<std::string, std::string> runs() const;
    std::string ip(int host) const;
    net::EventLoop &loop()
    {
        return loop_;
    }

private:
    std::size_t memoryFigure(int vm, const std::string &name) const;
    struct Process {
        pid_t id = 0;
        std::string ending;
    };
    std::string callers(int vm) const;
    pid_t spawn(const std::vector<std::string> &arguments,
                const std::vector<std::string> &environment,
                const std::string &logPath) const;

    std::string self_;
    std::string gateway_;
    std::ofstream record_;
    std::string directory_;
    std::string network_;
    net::EventLoop loop_;
    Time startedAt_;
    platform_standin::Store store_;
    std::string storeAddress_;
    std::map<int, Process> vms_;
    /** A runner, and its entry in the store. */
    struct Runner {
        RunnerSpec spec;
        std::string address;
        std::string log;
        pid_t process = 0; ///< 0 while it is down
        std::int64_t born = 0;
        int sequence = 0;
    };
    void registerRunner(Runner &runner);

    std::map<std::string, Runner> runners_;
    bool isStoreDown_ = false;
    std::vector<Requester> requesters_;
    int rawAnswers_ = 0;
    net::HttpClient prober_;
};

} // namespace lacewing::review2
