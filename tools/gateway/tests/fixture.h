#pragma once

#include "requests.h"

#include <criterion/criterion.h>

#include <string>

namespace lacewing::gateway_test
{

/** Two VMs of one zone, with two endpoints of each service. */
struct Fixture {
    explicit Fixture(std::size_t vms = 2)
        : harness(vms)
        , vmCount(vms)
    {
        for (const char *service : { "plain", "engine", "first", "second" }) {
            for (const char *number : { "1", "2" }) {
                harness.addEndpoint(std::string(service) + number,
                                    service,
                                    std::string_view(service) == "engine"
                                        ? platform_standin::Endpoint::Behaviour::Stream
                                        : platform_standin::Endpoint::Behaviour::Respond);
            }
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", harness.endpoints().size());
        }
        harness.waitForLinks();
    }

    platform_standin::Endpoint &endpoint(const std::string &id)
    {
        for (const auto &item : harness.endpoints()) {
            if (item->identity().id == id) {
                return *item;
            }
        }
        cr_assert_fail("no endpoint %s", id.c_str());
        return *harness.endpoints().front();
    }

    Response send(std::size_t vm, const char *target)
    {
        const std::string id = "id-" + std::to_string(++requests);
        const bool isStaged = std::string_view(target) == "/staged/x";
        return harness.sendAndWait(vm, "POST", target, isStaged ? stagedHeaders(id, { 1, 1 }) : headers(id), "body");
    }

    /** Sends requests until an endpoint has got one. */
    void sendUntilReached(const std::string &id, const char *target)
    {
        const std::size_t before = arrivals(id);
        harness.waitFor(
            [&] {
                send(0, target);
                return arrivals(id) > before;
            },
            "a request at an endpoint");
    }

    std::size_t arrivals(const std::string &id)
    {
        return endpoint(id).receivedRequests().size() + endpoint(id).pieceCalls().size();
    }

    Harness harness;
    std::size_t vmCount;
    int requests = 0;
};

} // namespace lacewing::gateway_test
