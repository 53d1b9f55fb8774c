#include "requests.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

namespace
{

/** Copies of a state that one VM may send for one change, however many VMs there are. */
constexpr double maxCopiesSent = 10;
/** Copies of a state that one VM may receive, with the heartbeats and retries of the time that the change takes. */
constexpr double maxCopiesReceived = 2;

std::vector<RouteSpec> manyRoutes(std::size_t count)
{
    std::vector<RouteSpec> routes;
    for (std::size_t route = 0; route < count; ++route) {
        routes.push_back({ .name = "route-" + std::to_string(route), .service = "plain" });
    }
    return routes;
}

struct Traffic {
    double sent = 0;
    double received = 0;
};

/** VMs that share a large desired state. */
struct Fleet {
    Fleet(std::size_t vms, std::vector<RouteSpec> initialRoutes)
        : harness(vms)
        , vmCount(vms)
        , routes(std::move(initialRoutes))
    {
        harness.addEndpoint("p1", "plain", Endpoint::Behaviour::Respond);
        publish();
        harness.start();
        harness.waitForLinks();
        harness.waitFor([&] { return harness.store().hasCaughtUpReaders(); }, "reads that wait");
    }

    void publish()
    {
        auto state = makeState(++version, routes);
        state.apiKey = apiKey;
        harness.store().publishDesiredState(state);
    }

    /** Returns the size of the state in force, in bytes, as the operator writes it. */
    double stateBytes() const
    {
        auto state = makeState(version, routes);
        state.apiKey = apiKey;
        return double(desiredStateText(state).size());
    }

    int statusOf(std::size_t vm, const std::string &route)
    {
        const auto id = "id-" + std::to_string(++requests);
        return harness.sendAndWait(vm, "GET", "/" + route + "/x", requestHeaders({ .id = id, .apiKey = apiKey }))
            .status;
    }

    void waitForRoute(const std::string &route)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            harness.waitFor([&] { return statusOf(vm, route) == net::status::ok; }, "a route in force on all VMs");
        }
    }

    std::vector<Traffic> traffic()
    {
        std::vector<Traffic> result;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            result.push_back(
                { harness.metric(vm, "lacewing_peer_sent_bytes"), harness.metric(vm, "lacewing_peer_received_bytes") });
        }
        return result;
    }

    Harness harness;
    std::size_t vmCount;
    std::vector<RouteSpec> routes;
    std::string apiKey = key;
    int version = 0;
    int requests = 0;
};

enum class Change : std::uint8_t { RouteAdded, RouteMoved, RouteRemoved, KeyReplaced };

struct ChangeCase {
    char name[32];
    Change change;
    std::size_t routes;
};

ChangeCase changeCases[] = {
    { "a route added", Change::RouteAdded, 1'400 },         { "a route moved", Change::RouteMoved, 1'400 },
    { "a route removed", Change::RouteRemoved, 1'400 },     { "a key replaced", Change::KeyReplaced, 1'400 },
    { "a route added to many", Change::RouteAdded, 5'000 },
};

} // namespace

ParameterizedTestParameters(largeState, changeCostsInProportionToWhatHasChanged)
{
    return cr_make_param_array(ChangeCase, changeCases, std::size(changeCases));
}

/** All VMs together send less for a small change than one copy of the whole state. */
ParameterizedTest(ChangeCase *test, largeState, changeCostsInProportionToWhatHasChanged)
{
    constexpr std::size_t vms = 8;
    Fleet f(vms, manyRoutes(test->routes));
    f.harness.addEndpoint("o1", "other", Endpoint::Behaviour::Respond);
    const std::string last = f.routes.back().name;
    f.waitForRoute(last);
    const auto before = f.traffic();
    switch (test->change) {
    case Change::RouteAdded:
        break;
    case Change::RouteMoved:
        f.routes[f.routes.size() / 2].service = "other";
        break;
    case Change::RouteRemoved:
        f.routes.erase(f.routes.begin());
        break;
    case Change::KeyReplaced:
        f.apiKey = "another";
        break;
    }
    f.routes.push_back({ .name = "added", .service = "plain" });
    f.publish();
    f.waitForRoute("added");
    const auto after = f.traffic();
    double sent = 0;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        sent += after[vm].sent - before[vm].sent;
    }
    cr_assert_lt(sent, f.stateBytes(), "%s: %.0f bytes sent for a state of %.0f", test->name, sent, f.stateBytes());
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cr_assert_eq(f.statusOf(vm, last), net::status::ok, "%s: a route is gone on vm %zu", test->name, vm);
        if (test->change == Change::RouteRemoved) {
            cr_assert_eq(f.statusOf(vm, "route-0"), net::status::notFound, "the route is still there");
        }
    }
}

/** A reader must not send the state to each other VM, nor each VM receive it from each reader. */
Test(largeState, eachVmSendsAndReceivesFewCopies)
{
    constexpr std::size_t vms = 24;
    constexpr std::size_t routes = 1'400;
    Fleet f(vms, manyRoutes(1));
    const auto before = f.traffic();
    f.routes = manyRoutes(routes);
    f.publish();
    f.waitForRoute(f.routes.back().name);
    const auto after = f.traffic();
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const double sent = (after[vm].sent - before[vm].sent) / f.stateBytes();
        const double received = (after[vm].received - before[vm].received) / f.stateBytes();
        cr_expect_lt(sent, maxCopiesSent, "vm %zu sent %.1f copies", vm, sent);
        cr_expect_lt(received, maxCopiesReceived, "vm %zu received %.1f copies", vm, received);
    }
}

/** Versions that are overtaken while they are on their way stop costing bytes. */
Test(largeState, versionsInSeriesCostLittleMoreThanTheLast)
{
    constexpr std::size_t vms = 8;
    constexpr std::size_t versions = 6;
    constexpr std::size_t routesPerVersion = 400;
    Fleet f(vms, manyRoutes(1));
    const auto before = f.traffic();
    for (std::size_t version = 1; version <= versions; ++version) {
        f.routes = manyRoutes(version * routesPerVersion);
        f.publish();
    }
    f.waitForRoute(f.routes.back().name);
    const auto after = f.traffic();
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const double received = (after[vm].received - before[vm].received) / f.stateBytes();
        cr_expect_lt(received, maxCopiesReceived, "vm %zu received %.1f copies", vm, received);
    }
}

/** A record that is cut off in the middle of a large state is not taken, and the next one is. */
Test(largeState, recordThatIsCutOffDoesNotHoldUpTheNext)
{
    constexpr std::size_t vms = 5;
    Fleet f(vms, manyRoutes(200));
    auto state = makeState(f.version + 1, manyRoutes(400));
    const std::string text = desiredStateText(state);
    f.harness.store().publishRawDesiredState(text.substr(0, text.size() / 2));
    f.routes = manyRoutes(300);
    f.version += 1;
    f.publish();
    f.waitForRoute(f.routes.back().name);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cr_assert_eq(f.statusOf(vm, "route-399"), net::status::notFound, "vm %zu took a part of a state", vm);
    }
}
