#pragma once

#include <net/net.h>
#include <platform_standin/platform_standin.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Real gateways as processes of their own, before a stand-in for the platform. */
namespace lacewing::gateway_test
{

/** One gateway process. */
struct Vm {
    std::string name;
    std::string ip;
    int process = 0;
    std::string store; ///< address of the store that it alone uses
    std::string settingsPath;
    std::string logPath;
};

/** An answer as a caller sees it. */
struct Answer {
    bool whole = false;
    int status = 0; ///< 0: none
    net::Headers headers;
    std::string body;
};

class Harness
{
public:
    explicit Harness(std::size_t vms);
    ~Harness();
    Harness(const Harness &) = delete;
    Harness &operator=(const Harness &) = delete;

    platform_standin::Endpoint &addEndpoint(const std::string &id,
                                            const std::string &service,
                                            platform_standin::Endpoint::Behaviour behaviour);
    /** Starts the gateways and waits until all are ready. */
    void start();

    /** Sends a request and waits for the answer. */
    Answer ask(std::size_t vm,
               const std::string &method,
               const std::string &target,
               net::Headers headers,
               std::string body = {});
    /** Sends a request; the answer comes later. */
    std::shared_ptr<std::optional<Answer>> begin(std::size_t vm,
                                                 const std::string &method,
                                                 const std::string &target,
                                                 net::Headers headers,
                                                 std::string body = {});
    /** Address of the store that a VM alone uses. */
    const std::string &storeOf(std::size_t vm) const
    {
        return vms_[vm].store;
    }
    /** Where a VM listens for callers. */
    std::string callersAddress(std::size_t vm) const;
    int readiness(std::size_t vm);
    void signal(std::size_t vm, int number);
    /** True once the process has ended. */
    bool hasEnded(std::size_t vm);

    /** Runs the loop until the condition holds. Fails the test after a long time without. */
    void waitFor(const std::function<bool()> &condition, const char *what);
    /** Runs the loop until each VM has heard all others. */
    void waitForLinks();

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

    net::EventLoop loop_;
    std::string network_; ///< first three numbers of this test's own loopback addresses
    std::unique_ptr<platform_standin::Store> store_;
    std::vector<std::unique_ptr<platform_standin::Endpoint>> endpoints_;
    net::HttpClient client_;
    std::vector<Vm> vms_;
};

} // namespace lacewing::gateway_test
