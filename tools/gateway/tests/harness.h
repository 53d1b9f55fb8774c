#pragma once

#include <net/net.h>
#include <platform_standin/platform_standin.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Runs gateway processes against a stand-in for the platform. */
namespace lacewing::gateway_test
{

/** One gateway process. */
struct Vm {
    std::string name;
    std::string ip;
    int process = 0;
    std::string storeAddress; ///< address of the store used by this VM only
    std::string settingsPath;
    std::string logPath;
};

/** How a VM loses its path to endpoints. */
enum class PathCut : std::uint8_t {
    None,
    Refuse, ///< open connections are reset, new ones refused
    Hang, ///< open connections fall silent, new ones are not answered
    RefuseNew, ///< open connections live on, new ones are refused
    HangNew, ///< open connections live on, new ones are not answered
};

/** A response as seen by the caller. */
struct Response {
    bool isComplete = false;
    int status = 0; ///< 0 if there was no response
    net::Headers headers;
    std::string body;
    net::BodyFraming framing = net::BodyFraming::Length;
};

class Harness
{
public:
    explicit Harness(std::size_t vms);
    ~Harness();
    Harness(const Harness &) = delete;
    Harness &operator=(const Harness &) = delete;

    /** Spreads the VMs that are started from now on over zones; they are in one zone otherwise. */
    void setZones(std::size_t count)
    {
        zoneCount_ = count;
    }
    /** Sets the program of VMs that are started from now on. @param path of another version of the gateway */
    void setProgram(const std::string &path)
    {
        program_ = path;
    }
    /** Sets the time from a stop signal until the platform kills VMs that are started from now on. */
    void setStopGrace(int seconds)
    {
        stopGraceSeconds_ = seconds;
    }
    /** Sets the memory and the descriptors that VMs which are started from now on may have. */
    void setLimits(int memoryMb, int maxDescriptors)
    {
        memoryMb_ = memoryMb;
        maxDescriptors_ = maxDescriptors;
    }
    platform_standin::Endpoint &addEndpoint(const std::string &id,
                                            const std::string &service,
                                            platform_standin::Endpoint::Behaviour behaviour,
                                            const std::string &softwareVersion = "v1",
                                            const std::string &zone = "a");
    platform_standin::RawEndpoint &addRawEndpoint(const std::string &id,
                                                  const std::string &service,
                                                  platform_standin::RawEndpoint::Script script);
    platform_standin::RawEndpoint &addRawEndpoint(const std::string &id,
                                                  const std::string &service,
                                                  platform_standin::RawEndpoint::RequestScript script,
                                                  const std::string &softwareVersion = "v1");
    /** Lets cutOff() work for the VMs that are started from now on. */
    void enableCuts();
    /** Cuts a VM off from some endpoints, or ends that. @param endpoints their ids; empty: all */
    void cutOff(std::size_t vm, PathCut cut, const std::vector<std::string> &endpoints = {});
    /** Cuts a VM off from all endpoints, and waits until it has others send the requests for some targets. */
    void cutOffAndWait(std::size_t vm, const std::vector<std::string> &targets);
    /** Returns the VM that has sent a request to an endpoint; only for VMs for which cutOff() works. */
    std::size_t sender(const platform_standin::ReceivedRequest &request) const;
    /** Starts all gateways and waits until they are ready. */
    void start();
    /** Starts the gateways of some VMs and waits until they are ready. */
    void start(std::size_t first, std::size_t count);

    /** Sends a request and waits for the response. */
    Response sendAndWait(std::size_t vm,
                         const std::string &method,
                         const std::string &target,
                         net::Headers headers,
                         std::string body = {});
    /** Sends a request; the response is set when it arrives. */
    std::shared_ptr<std::optional<Response>> sendAsync(std::size_t vm,
                                                       const std::string &method,
                                                       const std::string &target,
                                                       net::Headers headers,
                                                       std::string body = {});
    /** Returns the number of body bytes that callers have received. */
    std::size_t receivedBytes() const noexcept
    {
        return receivedBytes_;
    }
    /** Returns the address of the store used by one VM only. */
    const std::string &storeAddress(std::size_t vm) const
    {
        return vms_[vm].storeAddress;
    }
    /** Returns the address where a VM listens for callers. */
    std::string callersAddress(std::size_t vm) const;
    /** Returns the address where a VM listens for links from other VMs. */
    std::string linkAddress(std::size_t vm) const;
    /** Returns a loopback address of this test without a port. @param host 100 to 250 are free */
    std::string networkAddress(std::size_t host) const
    {
        return ipOf(host);
    }
    int readiness(std::size_t vm);
    void signal(std::size_t vm, int number);
    /** Returns the largest amount of memory that the process of a VM has used so far, in bytes. */
    std::size_t peakMemory(std::size_t vm) const;
    /** Returns the number of descriptors that the process of a VM has open. */
    std::size_t openDescriptors(std::size_t vm) const;
    /** Returns the processor time that the process of a VM has used so far. */
    double processorSeconds(std::size_t vm) const;
    /** Returns the value of a metric without labels of a VM. */
    double metric(std::size_t vm, const std::string &name);
    /** Returns whether the process of a VM has ended. */
    bool hasEnded(std::size_t vm);

    /** Runs the event loop until the condition holds; fails the test after 30 s. */
    void waitFor(const std::function<bool()> &condition, const char *what);
    /** Runs the event loop for some time. */
    void runFor(Duration time);
    /** Runs the event loop until each running VM has received heartbeats from all others. */
    void waitForLinks();
    /** Runs the event loop until the VMs together have logged a text at least so many times. */
    void waitForLogLines(const std::vector<std::size_t> &vms, const std::string &text, std::size_t count);
    /** Returns the latest line of a VM's log that has a text; empty if there is none. */
    std::string lastLogLine(std::size_t vm, const std::string &text) const;

    net::EventLoop &loop() noexcept
    {
        return loop_;
    }
    platform_standin::Store &store() noexcept
    {
        return *store_;
    }
    std::vector<std::unique_ptr<platform_standin::Endpoint>> &endpoints() noexcept
    {
        return endpoints_;
    }

private:
    std::string ipOf(std::size_t host) const;
    std::string cutFile(const Vm &vm) const;
    std::size_t countLogLines(const Vm &vm, const std::string &text) const;

    net::EventLoop loop_;
    std::size_t zoneCount_ = 1;
    int stopGraceSeconds_ = platform_standin::VmSpec().stopGraceSeconds;
    int memoryMb_ = platform_standin::VmSpec().memoryMb;
    int maxDescriptors_ = platform_standin::VmSpec().maxDescriptors;
    std::string program_;
    std::string network_; ///< first three octets of the loopback addresses of this test
    std::unique_ptr<platform_standin::Store> store_;
    std::vector<std::unique_ptr<platform_standin::Endpoint>> endpoints_;
    std::vector<std::unique_ptr<platform_standin::RawEndpoint>> rawEndpoints_;
    net::HttpClient client_;
    bool areCutsEnabled_ = false;
    std::vector<int> blackHole_; ///< a listener whose queue is full, and the connections that fill it
    std::uint16_t blackHolePort_ = 0;
    std::vector<Vm> vms_;
    std::size_t receivedBytes_ = 0;
};

} // namespace lacewing::gateway_test
