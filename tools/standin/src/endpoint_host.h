#pragma once

#include "engine.h"
#include "service.h"
#include "weight_store.h"

#include <deque>
#include <set>

namespace lacewing::standin
{

/** What all endpoints share. */
struct HostContext {
    net::EventLoop &loop;
    Faults &faults;
    Executions &executions;
    WeightStore &weights;
    Random &random;
};

/** One endpoint: its address, its process with engine and service, and what it reports. */
class EndpointHost
{
public:
    EndpointHost(HostContext context,
                 const PoolSettings &settings,
                 std::string id,
                 std::string zone,
                 const std::string &address);
    ~EndpointHost();
    EndpointHost(const EndpointHost &) = delete;
    EndpointHost &operator=(const EndpointHost &) = delete;

    /** Listens. Fails as net::HttpServer::listen() does. */
    Result<void> start();
    /** Ends the process at once: every connection is cut. A new one starts after a time. */
    void crash(Duration restartAfter);
    /** Announces that the endpoint will stop; it goes on with its work. */
    void leave();

    const std::string &id() const noexcept
    {
        return id_;
    }
    const PoolSettings &settings() const noexcept
    {
        return settings_;
    }
    const std::string &zone() const noexcept
    {
        return zone_;
    }
    std::string address() const;
    Incarnation incarnation() const noexcept;
    bool isLeaving() const noexcept
    {
        return leaving_;
    }
    std::uint64_t crashes() const noexcept
    {
        return crashes_;
    }
    std::uint64_t calls() const noexcept
    {
        return calls_;
    }
    /** Calls that came after leave(), and how long after it the last one did. */
    std::uint64_t callsAfterLeave() const noexcept
    {
        return callsAfterLeave_;
    }
    Duration lastCallAfterLeave() const noexcept
    {
        return lastCallAfterLeave_;
    }

private:
    /** One run of the process. */
    struct Run {
        Run(EndpointHost &host, Incarnation incarnation);

        Process process;
        std::shared_ptr<Engine> engine;
        std::shared_ptr<Service> service;
        std::unique_ptr<net::HttpServer> server;
    };
    struct LoadSample {
        Time at;
        WallTime wallAt;
        std::string body;
    };

    void restart(Duration after);
    void serve(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveCall(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveControl(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveLoad(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveCacheEvents(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveOrder(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveKv(const net::HttpRequest &request, net::ResponseWriter writer);
    bool applyOrder(const std::vector<std::string> &models, config::StageKind role);
    bool accepts(std::string_view path, std::string_view model) const;
    std::string loadBody() const;
    void sampleLoad(Time now);
    Duration lag(Duration usual);

    HostContext context_;
    const PoolSettings &settings_;
    std::string id_;
    std::string zone_;
    net::SocketAddress address_;
    Gate gate_;
    std::unique_ptr<Run> run_; ///< null while crashed
    TimerHandle sampleTimer_;
    std::deque<LoadSample> samples_;
    std::set<std::string> loaded_;
    config::StageKind role_;
    std::uint64_t highestFencing_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t crashes_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t callsAfterLeave_ = 0;
    Duration lastCallAfterLeave_ {};
    Time leftAt_;
    bool leaving_ = false;
    bool changingRole_ = false;
};

} // namespace lacewing::standin
