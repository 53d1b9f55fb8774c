#include "fake_vm.h"
#include "requests.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Answer = FakeVm::Answer;

namespace
{

constexpr std::size_t routeCount = 1'400;
constexpr int oldVersion = 1;
constexpr int newVersion = 2;

/** Routes of a version; `moved` belongs to another service and `removed` is gone in the new one. */
DesiredStateSpec stateOf(int version)
{
    const bool isNew = version == newVersion;
    std::vector<RouteSpec> routes;
    for (std::size_t route = 0; route < routeCount; ++route) {
        routes.push_back({ .name = "route-" + std::to_string(route), .service = "plain" });
    }
    if (isNew) {
        routes.push_back({ .name = "added", .service = "plain" });
    }
    auto state = makeState(version, routes);
    state.apiKey = isNew ? "new-key" : key;
    return state;
}

/** A gateway that reads the old version from the store, and another VM that has a newer one. */
struct Fixture {
    Fixture()
        : harness(1)
        , fake((addServices(), harness.loop()), harness.networkAddress(200), harness.linkAddress(0))
    {
        fake.setState(stateOf(oldVersion));
        harness.start();
        harness.waitForLogLines({ 0 }, "\"vm live\"", 1);
    }

    void addServices()
    {
        harness.addEndpoint("p1", "plain", Endpoint::Behaviour::Respond);
        harness.store().publishDesiredState(stateOf(oldVersion));
    }

    int statusOf(const std::string &route, const std::string &apiKey)
    {
        const auto id = "id-" + std::to_string(++requests);
        return harness.sendAndWait(0, "GET", "/" + route + "/x", requestHeaders({ .id = id, .apiKey = apiKey })).status;
    }

    Harness harness;
    FakeVm fake;
    int requests = 0;
};

struct SourceCase {
    char name[32];
    Answer first;
    Answer second;
    std::size_t expectedRequests; ///< at most, until the state is in force
    bool isLogged; ///< whether the first answer is logged as a failure
};

SourceCase sourceCases[] = {
    { "at once", Answer::Complete, Answer::Complete, 1, false },
    { "slower than any time limit", Answer::Slow, Answer::Slow, 1, false },
    { "silent midway, then complete", Answer::SilentMidway, Answer::Complete, 2, true },
    { "corrupt, then complete", Answer::Corrupt, Answer::Complete, 2, true },
    { "wrong digest, then complete", Answer::OtherThanNamed, Answer::Complete, 2, true },
    { "other base, then complete", Answer::OtherBase, Answer::Complete, 2, false },
    { "refused, then complete", Answer::Refuse, Answer::Complete, 2, true },
};

} // namespace

ParameterizedTestParameters(stateExchange, stateIsTakenHoweverItsSourceAnswers)
{
    return cr_make_param_array(SourceCase, sourceCases, std::size(sourceCases));
}

/** A transfer that had to end within a second began again for ever on a small link. */
ParameterizedTest(SourceCase *test, stateExchange, stateIsTakenHoweverItsSourceAnswers)
{
    Fixture f;
    f.fake.setAnswers({ test->first, test->second });
    f.fake.setState(stateOf(newVersion));
    f.harness.waitFor([&] { return f.statusOf("added", "new-key") == net::status::ok; }, "the new state");
    cr_assert_leq(f.fake.requestCount(), test->expectedRequests, "%s: %zu requests", test->name, f.fake.requestCount());
    if (test->isLogged) {
        f.harness.waitForLogLines({ 0 }, "\"desired state not received\"", 1);
    }
}

/** A transfer may fail after the state has come from the store. */
Test(stateExchange, transferThatFailsWhenNothingIsLackingIsHarmless)
{
    Fixture f;
    f.fake.setAnswers({ Answer::SilentMidway });
    f.fake.setState(stateOf(newVersion));
    f.harness.waitFor([&] { return f.fake.requestCount() > 0; }, "a request for the state");
    auto state = stateOf(newVersion);
    state.version = newVersion + 1;
    f.harness.store().publishDesiredState(state);
    f.harness.waitFor([&] { return f.statusOf("added", "new-key") == net::status::ok; }, "the state from the store");
    f.harness.waitForLogLines({ 0 }, "\"desired state not received\"", 1);
    cr_assert_eq(f.statusOf("added", "new-key"), net::status::ok, "the gateway has ended");
    cr_assert_not(f.harness.hasEnded(0));
}

/** What the new version may answer differently is refused, and the rest is served. */
Test(stateExchange, overdueStateAnswersOnlyWhatHasNotChanged)
{
    Fixture f;
    auto old = stateOf(oldVersion);
    old.routes.front().host = "other.example";
    // The gateway's own state has the same routes, so that the impact is relative to it.
    f.harness.store().publishDesiredState([&] {
        auto state = old;
        state.version = oldVersion + 1;
        return state;
    }());
    f.harness.waitForLogLines({ 0 }, "\"desired state in force\"", 2);
    auto base = old;
    base.version = oldVersion + 1;
    auto next = base;
    next.version = oldVersion + 2;
    next.routes.front().service = "other";
    f.fake.setAnswers({ Answer::Refuse });
    f.fake.setState(next);
    f.fake.announce(routing::computeImpact(FakeVm::parse(base), FakeVm::parse(next)));
    cr_assert_eq(f.harness.readiness(0), net::status::ok, "not ready before the state is overdue");
    f.harness.waitFor([&] { return f.harness.readiness(0) == net::status::unavailable; }, "the state to be overdue");
    const auto send = [&](const char *host, const std::string &target, const std::string &apiKey) {
        auto sent = requestHeaders({ .id = "id-" + std::to_string(++f.requests), .apiKey = apiKey });
        for (auto &header : sent) {
            header.value = header.name == "Host" ? host : header.value;
        }
        return f.harness.sendAndWait(0, "GET", target, sent);
    };
    cr_assert_eq(send(routeHost, "/route-7/x", key).status, net::status::ok, "a host without changes");
    const auto refused = send("other.example", "/route-0/x", key);
    cr_assert_eq(refused.status, net::status::unavailable, "a host with changes");
    cr_assert(findRetryAfter(refused.headers).has_value());
    cr_assert_eq(send(routeHost, "/unknown/x", key).status, net::status::unavailable, "a route that may be new");
    cr_assert_eq(send(routeHost, "/route-7/x", "unknown").status, net::status::unavailable, "a key that may be new");
    f.fake.setAnswers({ Answer::Complete });
    f.harness.waitFor([&] { return f.harness.readiness(0) == net::status::ok; }, "the new state");
    cr_assert_eq(send(routeHost, "/unknown/x", key).status, net::status::notFound);
}

/** Without news of what has changed, a revoked key would be served. */
Test(stateExchange, overdueStateOfUnknownImpactAnswersNothing)
{
    Fixture f;
    f.fake.setAnswers({ Answer::Refuse });
    f.fake.setState(stateOf(newVersion));
    f.harness.waitFor([&] { return f.harness.readiness(0) == net::status::unavailable; }, "the state to be overdue");
    cr_assert_eq(f.statusOf("route-7", key), net::status::unavailable);
    f.fake.setAnswers({ Answer::Complete });
    f.harness.waitFor([&] { return f.statusOf("route-7", "new-key") == net::status::ok; }, "the new state");
    cr_assert_eq(f.statusOf("route-7", key), net::status::unauthorized);
}

/** A zone that is cut off after it has heard of a version goes on serving by its own. */
Test(stateExchange, vmThatIsCutOffFromANewerStateServesByItsOwn)
{
    Fixture f;
    f.fake.setAnswers({ Answer::Refuse });
    f.fake.setState(stateOf(newVersion));
    f.harness.waitFor([&] { return f.harness.readiness(0) == net::status::unavailable; }, "the state to be overdue");
    f.fake.stopHeartbeats();
    f.harness.waitFor([&] { return f.harness.readiness(0) == net::status::ok; }, "the other vm to be cut off");
    cr_assert_eq(f.statusOf("route-7", key), net::status::ok);
}
