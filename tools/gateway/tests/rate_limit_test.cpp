#include "fixture.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

/** Time from the first answer that names a limit until it has to be kept. */
constexpr Duration noticeTime = 3s;
/** Time for which arrivals are counted after that. */
constexpr Duration countTime = 4s;
constexpr Duration requestInterval = 25ms;
constexpr std::size_t vms = 4;

/** Returns the number of requests that an endpoint may get from all VMs together. */
double allowedArrivals(double perSecond, Duration time)
{
    constexpr double tolerance = 1.5;
    constexpr double burst = 5;
    return tolerance * perSecond * toSeconds(time) + burst;
}

/** Sends requests to all VMs in turn for a time. */
std::vector<std::shared_ptr<std::optional<Response>>> sendFor(Fixture &fixture, Duration time, const char *target)
{
    auto &loop = fixture.harness.loop();
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    const bool isStaged = std::string_view(target) == "/staged/x";
    const Time end = loop.clock().now() + time;
    while (loop.clock().now() < end) {
        const auto id = "id-" + std::to_string(++fixture.requests);
        const auto vm = std::size_t(fixture.requests) % fixture.vmCount;
        responses.push_back(fixture.harness.sendAsync(
            vm, "POST", target, isStaged ? stagedHeaders(id, { 1, 1 }) : headers(id), "body " + id));
        const Time next = loop.clock().now() + requestInterval;
        fixture.harness.waitFor([&] { return loop.clock().now() >= next; }, "the next request");
    }
    return responses;
}

void waitForAll(Fixture &fixture, const std::vector<std::shared_ptr<std::optional<Response>>> &responses)
{
    for (const auto &response : responses) {
        fixture.harness.waitFor([&] { return response->has_value(); }, "a response");
    }
}

struct LimitCase {
    char endpoint[16];
    char target[16];
    Behaviour behaviour; ///< of the endpoints of its service
    char limit[8];
    double perSecond;
};

LimitCase limitCases[] = {
    { "plain1", "/safe/x", Behaviour::Respond, "1", 1 },   { "plain1", "/unsafe/x", Behaviour::Respond, "0.2", 0.2 },
    { "plain1", "/safe/x", Behaviour::Respond, "0", 0 },   { "plain1", "/safe/x", Behaviour::Fail, "1", 1 },
    { "engine1", "/stream/x", Behaviour::Stream, "1", 1 }, { "engine1", "/staged/x", Behaviour::Stream, "1.3", 1.3 },
    { "first1", "/staged/x", Behaviour::Respond, "1", 1 },
};

} // namespace

ParameterizedTestParameters(rateLimit, limitOfAnEndpointHoldsForAllVmsTogether)
{
    return cr_make_param_array(LimitCase, limitCases, std::size(limitCases));
}

ParameterizedTest(LimitCase *test, rateLimit, limitOfAnEndpointHoldsForAllVmsTogether)
{
    Fixture f(vms);
    const std::string id = test->endpoint;
    const std::string other = id.substr(0, id.size() - 1) + "2";
    f.endpoint(id).setBehaviour(test->behaviour);
    f.endpoint(other).setBehaviour(test->behaviour);
    f.endpoint(id).nameRateLimit(test->limit);
    f.sendUntilReached(id, test->target);
    waitForAll(f, sendFor(f, noticeTime, test->target));
    const std::size_t before = f.endpoint(id).arrivalCount();
    const Time start = f.harness.loop().clock().now();
    const auto responses = sendFor(f, countTime, test->target);
    waitForAll(f, responses);
    const Duration time = f.harness.loop().clock().now() - start;
    const std::size_t arrivals = f.endpoint(id).arrivalCount() - before;
    cr_assert_leq(double(arrivals),
                  allowedArrivals(test->perSecond, time),
                  "%s %s: %zu in %.1f s, limit %s",
                  test->endpoint,
                  test->target,
                  arrivals,
                  toSeconds(time),
                  test->limit);
    for (const auto &response : responses) {
        if (test->behaviour != Behaviour::Fail) {
            cr_assert_eq((*response)->status, net::status::ok, "%s: %d", test->endpoint, (*response)->status);
        }
    }
}

namespace
{

struct AllLimitedCase {
    char service[16];
    char target[16];
};

AllLimitedCase allLimitedCases[] = { { "plain", "/safe/x" }, { "engine", "/stream/x" }, { "engine", "/staged/x" } };

} // namespace

ParameterizedTestParameters(rateLimit, whatDoesNotFitIsRefusedAtOnce)
{
    return cr_make_param_array(AllLimitedCase, allLimitedCases, std::size(allLimitedCases));
}

ParameterizedTest(AllLimitedCase *test, rateLimit, whatDoesNotFitIsRefusedAtOnce)
{
    constexpr double perSecond = 4; // of both endpoints
    constexpr double minUse = 0.25;
    Fixture f(vms);
    const std::string service = test->service;
    for (const char *number : { "1", "2" }) {
        f.endpoint(service + number).nameRateLimit("2");
        f.sendUntilReached(service + number, test->target);
    }
    waitForAll(f, sendFor(f, noticeTime, test->target));
    const auto arrivals = [&] {
        return f.endpoint(service + "1").arrivalCount() + f.endpoint(service + "2").arrivalCount();
    };
    const auto pieces = [&] { return f.arrivals("first1") + f.arrivals("first2"); };
    const std::size_t arrivalsBefore = arrivals();
    const std::size_t piecesBefore = pieces();
    const Time start = f.harness.loop().clock().now();
    const auto responses = sendFor(f, countTime, test->target);
    waitForAll(f, responses);
    const double seconds = toSeconds(f.harness.loop().clock().now() - start);
    std::size_t served = 0;
    for (const auto &response : responses) {
        const int status = (*response)->status;
        cr_assert(status == net::status::ok || status == net::status::unavailable, "%s: %d", test->target, status);
        cr_assert(status == net::status::ok || findRetryAfter((*response)->headers), "%s", test->target);
        served += status == net::status::ok ? 1 : 0;
    }
    const auto sent = double(arrivals() - arrivalsBefore);
    cr_assert_leq(sent, 2 * allowedArrivals(perSecond / 2, fromSeconds(seconds)), "%s: %g", test->target, sent);
    cr_assert_geq(sent, minUse * perSecond * seconds, "%s: %g", test->target, sent);
    cr_assert_leq(pieces() - piecesBefore, served, "%s: stages of refused requests have run", test->target);
}

Test(rateLimit, limitEndsWhenAnAnswerNoLongerNamesIt)
{
    Fixture f(2);
    // The balancer may prefer the other endpoint for as long as its one measured latency is lower.
    f.harness.store().removeEndpoint("plain2");
    f.harness.waitForLogLines({ 0 }, "\"endpoint removed\"", 1);
    f.endpoint("plain1").nameRateLimit("5");
    f.sendUntilReached("plain1", "/safe/x");
    f.harness.waitForLogLines({ 0, 1 }, "\"rate limit changed\"", 2);
    f.endpoint("plain1").nameRateLimit("");
    f.sendUntilReached("plain1", "/safe/x");
    f.harness.waitForLogLines({ 0, 1 }, "\"rate limit changed\"", 4);
}
