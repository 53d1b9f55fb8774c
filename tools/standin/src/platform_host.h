#pragma once

#include "gate.h"
#include "log_store.h"
#include "settings.h"
#include "vm_list.h"
#include "weight_store.h"

#include <memory>

namespace lacewing::standin
{

/** The platform's HTTP interface: log, list of VMs and weight store. */
class PlatformHost
{
public:
    PlatformHost(net::EventLoop &loop, Faults &faults, const Settings &settings, WeightStore &weights);
    ~PlatformHost();
    PlatformHost(const PlatformHost &) = delete;
    PlatformHost &operator=(const PlatformHost &) = delete;

    /** Serves a request to /log, /vms or /weights. */
    void serve(net::HttpRequest request, net::ResponseWriter writer);

    VmList &vms() noexcept
    {
        return vms_;
    }
    const LogStore &log() const noexcept
    {
        return log_;
    }

private:
    /** A read that waits for records. */
    struct Waiting {
        net::HttpRequest request;
        net::ResponseWriter writer;
        std::string stream;
        Time until;
    };

    void serveLog(net::HttpRequest request, net::ResponseWriter writer);
    void append(const net::HttpRequest &request, net::ResponseWriter writer, const std::string &stream);
    void read(net::HttpRequest request, net::ResponseWriter writer, const std::string &stream);
    bool answerRead(const net::HttpRequest &request, net::ResponseWriter writer, const std::string &stream, bool now);
    void wake(const std::string &stream);
    void serveVms(const net::HttpRequest &request, net::ResponseWriter writer);
    void registerVm(const net::HttpRequest &request, net::ResponseWriter writer);
    void listVms(const net::HttpRequest &request, net::ResponseWriter writer);
    void serveWeights(const net::HttpRequest &request, net::ResponseWriter writer);
    void expire(Time now);
    /** Runs a function after the delay that a fault puts on a part, or at once. */
    void delayed(Gate &gate, std::function<void()> function);

    net::EventLoop &loop_;
    const Settings &settings_;
    WeightStore &weights_;
    LogStore log_;
    VmList vms_;
    Gate logGate_;
    Gate vmsGate_;
    Gate weightsGate_;
    std::vector<Waiting> waiting_;
    TimerHandle expiryTimer_;
};

} // namespace lacewing::standin
