#include "requests.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

/** Time after which the users' rule holds (stable-window-ms). */
constexpr Duration settlingTime = 3s;

struct BrittleCase {
    char name[50];
    std::size_t vms;
    std::size_t endpoints;
    std::size_t slots;
    std::size_t maxRejections;
    int atOnce; ///< requests that each VM gets at a time
};

BrittleCase brittleCases[] = {
    { "more than there is room for", 3, 2, 4, 3, 6 },
    { "no request may be turned away", 3, 2, 4, 0, 6 },
    { "more vms than slots", 6, 2, 4, 3, 4 },
    { "one endpoint", 4, 1, 4, 2, 4 },
};

} // namespace

/** Endpoints that can't bear to turn requests away fell over, as each VM sent what it had (issue 34, LIMIT). */
ParameterizedTestParameters(brittleEndpoint, overloadTurnsFewRequestsAwayThere)
{
    return cr_make_param_array(BrittleCase, brittleCases, std::size(brittleCases));
}

ParameterizedTest(BrittleCase *test, brittleEndpoint, overloadTurnsFewRequestsAwayThere)
{
    constexpr Duration interval = 100ms;
    Harness harness(test->vms);
    std::vector<Endpoint *> endpoints;
    for (std::size_t index = 0; index < test->endpoints; ++index) {
        endpoints.push_back(&harness.addEndpoint("p" + std::to_string(index), "plain", Behaviour::Respond));
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    for (std::size_t vm = 0; vm < test->vms; ++vm) {
        harness.waitForLogLines({ vm }, "\"endpoint joined\"", test->endpoints);
    }
    harness.waitForLinks();
    int requests = 0;
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    const auto send = [&](Duration time, int atOnce) {
        const Time end = harness.loop().clock().now() + time;
        while (harness.loop().clock().now() < end) {
            const Time next = harness.loop().clock().now() + interval;
            for (std::size_t vm = 0; vm < test->vms; ++vm) {
                for (int count = 0; count < atOnce; ++count) {
                    const auto id = std::to_string(++requests);
                    responses.push_back(harness.sendAsync(vm, "POST", "/unsafe/x", headers(id), id));
                }
            }
            harness.waitFor([&] { return harness.loop().clock().now() >= next; }, "time");
        }
    };
    for (auto *endpoint : endpoints) {
        endpoint->makeBrittle(test->slots, 1'000'000);
    }
    send(settlingTime, 1); // they say that they are brittle, and still let many wait
    for (auto *endpoint : endpoints) {
        endpoint->makeBrittle(test->slots, test->maxRejections);
    }
    send(1s, 1);
    responses.clear();
    send(4s, test->atOnce);
    std::size_t falls = 0;
    std::size_t most = 0;
    for (const auto *endpoint : endpoints) {
        falls += endpoint->fallCount();
        most = std::max(most, endpoint->mostRejections());
    }
    cr_log_info("%s: %zu falls, %zu turned away in a second at most", test->name, falls, most);
    cr_assert_leq(falls, 2 + test->endpoints / 10, "%s: %zu falls", test->name, falls);
    harness.waitFor(
        [&] {
            return std::all_of(responses.begin(), responses.end(), [](const auto &item) { return item->has_value(); });
        },
        "all responses");
    const auto served = std::count_if(
        responses.begin(), responses.end(), [](const auto &item) { return (*item)->status == net::status::ok; });
    // Refusing everything is no remedy. The requests of each interval fit into the slots at once, or fill them.
    const double perInterval = double(test->vms) * test->atOnce;
    const double intervals = double(responses.size()) / perInterval;
    const double fitting = std::min(double(test->endpoints * test->slots), perInterval);
    cr_assert_geq(double(served),
                  0.25 * intervals * fitting,
                  "%s: %zu served of %zu",
                  test->name,
                  std::size_t(served),
                  responses.size());
}
