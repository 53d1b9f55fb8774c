#include "requests.h"

#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using net::BodyFraming;
using Answer = RawEndpoint::Answer;
using Ending = RawEndpoint::Ending;

namespace
{

const std::string poisonPart = "dead";
const std::string poisonIdPrefix = "poison";
/** Time within which all VMs know of the fifth crash. */
constexpr Duration verdictTime = 3s;
/** Crashes after which it has to be known which part is the cause. */
constexpr std::size_t maxCrashes = 5;
/** Requests with the part that may reach endpoints later than that. */
constexpr std::size_t maxLateRequests = 3;

struct PoisonPromptCase {
    char name[48];
    BodyFraming framing; ///< of all answers
    bool isFirstPart; ///< whether the part that crashes endpoints is the first one; else the one before the last
};

PoisonPromptCase poisonPromptCases[] = {
    { "part before the last, chunks", BodyFraming::Chunked, false },
    { "part before the last, until close", BodyFraming::UntilClose, false },
    { "first part, chunks", BodyFraming::Chunked, true },
    { "first part, until close", BodyFraming::UntilClose, true },
};

std::string chunk(const std::string &text)
{
    constexpr std::size_t digits = 8;
    char size[digits];
    std::snprintf(size, digits, "%zx", text.size());
    return size + ("\r\n" + text) + "\r\n";
}

/** Returns an answer of one event; that to a poison request ends between events, when its endpoint crashes. */
Answer answerTo(const std::string &endpoint, const std::string &request, BodyFraming framing)
{
    const bool isPoison = request.starts_with(poisonIdPrefix);
    const bool isChunked = framing == BodyFraming::Chunked;
    const std::string event = net::sseEvent("1", "one");
    const std::string head = "HTTP/1.1 200 OK\r\n" + receiptHeaders(endpoint, request)
        + "Content-Type: text/event-stream\r\n"
        + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
    const std::string body = isChunked ? chunk(event) + (isPoison ? "" : "0\r\n\r\n") : event;
    return { { head + body }, isPoison ? Ending::Crash : (isChunked ? Ending::KeepOpen : Ending::Close) };
}

net::Headers promptHeaders(const std::string &id, std::vector<std::string> parts)
{
    return requestHeaders({ .id = id, .apiKey = key, .promptParts = std::move(parts) });
}

} // namespace

ParameterizedTestParameters(gateway, promptPartThatCrashedFiveEndpointsReachesFewMore)
{
    return cr_make_param_array(PoisonPromptCase, poisonPromptCases, std::size(poisonPromptCases));
}

/** Requests with one prompt part crash each endpoint; no two are alike, and they come at any VM beside sound ones. */
ParameterizedTest(PoisonPromptCase *test, gateway, promptPartThatCrashedFiveEndpointsReachesFewMore)
{
    constexpr std::size_t vms = 4;
    constexpr std::size_t engines = 16;
    constexpr std::size_t requestsAfterVerdict = 12;
    constexpr Duration requestInterval = 100ms;
    Harness harness(vms);
    std::size_t poisonArrivals = 0;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        const std::string id = "g" + std::to_string(engine);
        harness.addRawEndpoint(id, "engine", [&poisonArrivals, test, id](const std::string &request) {
            poisonArrivals += request.starts_with(poisonIdPrefix) ? 1 : 0;
            return answerTo(id, request, test->framing);
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLinks();

    std::size_t number = 0;
    const auto send = [&](bool isPoison) {
        const std::string own = std::to_string(++number);
        std::vector<std::string> parts { "aaaa", isPoison ? poisonPart : "bbbb", own };
        if (test->isFirstPart) {
            parts = { isPoison ? poisonPart : "bbbb", own };
        }
        const auto id = (isPoison ? poisonIdPrefix : "sound") + own;
        return harness.sendAsync(number / 2 % vms, "POST", "/stream/x", promptHeaders(id, parts), own);
    };
    const auto pause = [&](Duration time) {
        const Time end = harness.loop().clock().now() + time;
        harness.waitFor([&] { return harness.loop().clock().now() >= end; }, "the next request");
    };
    // A part that is refused sooner than after the fifth crash ends this too.
    for (std::size_t round = 0; round < engines && poisonArrivals < maxCrashes; ++round) {
        send(true);
        send(false);
        pause(requestInterval);
    }
    for (Duration waited {}; waited < verdictTime; waited += requestInterval) {
        send(false);
        pause(requestInterval);
    }
    const std::size_t earlyArrivals = poisonArrivals;
    std::size_t failedSound = 0;
    for (std::size_t round = 0; round < requestsAfterVerdict; ++round) {
        const auto poison = send(true);
        const auto sound = send(false);
        harness.waitFor([&] { return poison->has_value() && sound->has_value(); }, "responses");
        failedSound += (*sound)->status != net::status::ok || !(*sound)->isComplete ? 1 : 0;
    }
    cr_assert_geq(earlyArrivals, 1U, "%s: no endpoint has crashed", test->name);
    cr_assert_leq(poisonArrivals - earlyArrivals,
                  maxLateRequests,
                  "%s: %zu after %zu crashes",
                  test->name,
                  poisonArrivals - earlyArrivals,
                  earlyArrivals);
    cr_assert_eq(failedSound, 0U, "%s: %zu sound requests", test->name, failedSound);
}

Test(gateway, quarantinedPromptPartIsKnownToLateVmsAndOutlivesTheRestartOfAll)
{
    constexpr std::size_t engines = 8;
    constexpr std::size_t lateVm = 2;
    Harness harness(3);
    std::size_t poisonArrivals = 0;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        const std::string id = "g" + std::to_string(engine);
        harness.addRawEndpoint(id, "engine", [&poisonArrivals, id](const std::string &request) {
            poisonArrivals += request.starts_with(poisonIdPrefix) ? 1 : 0;
            return answerTo(id, request, BodyFraming::Chunked);
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start(0, lateVm);
    harness.waitForLinks();
    std::size_t number = 0;
    const auto sendPoison = [&](std::size_t vm) {
        const auto own = std::to_string(++number);
        return harness.sendAndWait(
            vm, "POST", "/stream/x", promptHeaders(poisonIdPrefix + own, { "aaaa", poisonPart, own }), own);
    };
    for (std::size_t crash = 1; crash <= 3; ++crash) {
        sendPoison(crash % lateVm);
        harness.waitForLogLines({ 0, 1 }, "\"suspect prompt part\"", 2 * crash);
    }
    harness.waitForLogLines({ 0, 1 }, "\"prompt part quarantined\"", 2);
    harness.start(lateVm, 1);
    harness.waitForLogLines({ lateVm }, "\"prompt part quarantined\"", 1);
    cr_assert_eq(sendPoison(lateVm).status, net::status::unavailable);
    for (const std::size_t vm : { 0, 1, 2 }) {
        harness.signal(vm, SIGKILL);
        harness.waitFor([&] { return harness.hasEnded(vm); }, "the end of a vm");
    }
    harness.start();
    for (const std::size_t vm : { 0, 1, 2 }) {
        harness.waitForLogLines({ vm }, "\"prompt part quarantined\"", 1);
        const auto response = sendPoison(vm);
        cr_assert_eq(response.status, net::status::unavailable, "vm %zu: %d", vm, response.status);
        cr_assert(findRetryAfter(response.headers).has_value());
    }
    cr_assert_eq(poisonArrivals, 3U, "%zu", poisonArrivals);
}
