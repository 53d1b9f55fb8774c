#pragma once

#include "endpoint_host.h"
#include "platform_host.h"

namespace lacewing::standin
{

/** Plays the platform and every endpoint of its settings on one event loop. */
class Standin
{
public:
    Standin(net::EventLoop &loop, Settings settings);
    ~Standin();
    Standin(const Standin &) = delete;
    Standin &operator=(const Standin &) = delete;

    /** Listens on all addresses. Fails as net::HttpServer::listen() does. */
    Result<void> start();
    /** Address of the platform and of the control interface. */
    std::string address() const;
    const std::vector<std::unique_ptr<EndpointHost>> &endpoints() const noexcept
    {
        return endpoints_;
    }
    Faults &faults() noexcept
    {
        return faults_;
    }
    const Executions &executions() const noexcept
    {
        return executions_;
    }

private:
    void serve(net::HttpRequest request, net::ResponseWriter writer);
    void serveControl(const net::HttpRequest &request, net::ResponseWriter writer);
    void addFault(const net::HttpRequest &request, net::ResponseWriter writer);
    void leave(const net::HttpRequest &request, net::ResponseWriter writer);
    std::string faultsJson();
    std::string executionsJson() const;
    std::string endpointsJson() const;
    std::string platformJson() const;
    void crash(const Fault &fault);
    void listEndpoints();

    net::EventLoop &loop_;
    Settings settings_;
    Random random_;
    Faults faults_;
    Executions executions_;
    WeightStore weights_;
    PlatformHost platform_;
    std::vector<std::unique_ptr<EndpointHost>> endpoints_;
    net::HttpServer server_;
    TimerHandle listTimer_;
};

} // namespace lacewing::standin
