#include "requests.h"

#include <algorithm>
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

/** The unit of suspicion is the smallest that explains the crashes: a request that comes again, or a part of prompts.
 */
Test(gateway, poisonRequestDoesNotQuarantineThePartsThatItShares)
{
    constexpr std::size_t engines = 8;
    Harness harness(2);
    for (std::size_t engine = 0; engine < engines; ++engine) {
        const std::string id = "g" + std::to_string(engine);
        harness.addRawEndpoint(
            id, "engine", [id](const std::string &request) { return answerTo(id, request, BodyFraming::Chunked); });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLinks();
    for (std::size_t crash = 1; crash <= 3; ++crash) {
        const auto id = poisonIdPrefix + std::to_string(crash);
        harness.sendAndWait(crash % 2, "POST", "/stream/x", promptHeaders(id, { "aaaa", "bbbb", "c1" }), "poison");
        harness.waitForLogLines({ 0, 1 }, "\"suspect request\"", crash);
    }
    harness.waitForLogLines({ 0, 1 }, "\"quarantine received\"", 1);
    for (const std::size_t vm : { 0, 1 }) {
        const auto own = std::to_string(vm);
        const auto again = harness.sendAndWait(
            vm, "POST", "/stream/x", promptHeaders(poisonIdPrefix + own, { "aaaa", "bbbb", "c1" }), "poison");
        cr_assert_eq(again.status, net::status::unavailable, "%d", again.status);
        const auto sound = harness.sendAndWait(
            vm, "POST", "/stream/x", promptHeaders("sound" + own, { "aaaa", "bbbb", "c2" + own }), own);
        cr_assert_eq(sound.status, net::status::ok, "%d", sound.status);
    }
}

Test(gateway, soundRequestInFlightAtTheCrashesOfAPromptPartIsServedAgain)
{
    constexpr std::size_t engines = 6;
    constexpr std::size_t crashes = 4; // at three, the sound request explains them as well as the part does
    Harness harness(1);
    std::vector<Endpoint *> all;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        all.push_back(&harness.addEndpoint("g" + std::to_string(engine), "engine", Endpoint::Behaviour::Hold));
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    const auto requestsAtEngines = [&] {
        std::size_t count = 0;
        for (const auto *endpoint : all) {
            count += endpoint->receivedRequests().size();
        }
        return count;
    };
    const auto isIdle = [](const Endpoint *endpoint) { return endpoint->receivedRequests().empty(); };
    // Copies of a sound request wait at every engine, so it is in flight at each crash.
    for (std::size_t sent = 1; std::any_of(all.begin(), all.end(), isIdle); ++sent) {
        const auto id = "waiting" + std::to_string(sent);
        harness.sendAsync(0, "POST", "/stream/x", promptHeaders(id, { "aaaa", "bbbb", "own" }), "sound");
        harness.waitFor([&] { return requestsAtEngines() >= sent; }, "the arrival of a request");
    }
    for (auto *endpoint : all) {
        endpoint->setBehaviour(Endpoint::Behaviour::CrashInStream);
    }
    for (std::size_t crash = 1; crash <= crashes; ++crash) {
        const auto own = std::to_string(crash);
        harness.sendAndWait(
            0, "POST", "/stream/x", promptHeaders(poisonIdPrefix + own, { "aaaa", poisonPart, own }), own);
        harness.waitForLogLines({ 0 }, "\"suspect prompt part\"", 3 * crash);
    }
    for (auto *endpoint : all) {
        endpoint->setBehaviour(Endpoint::Behaviour::Stream);
    }
    const auto response =
        harness.sendAndWait(0, "POST", "/stream/x", promptHeaders("again", { "aaaa", "bbbb", "own" }), "sound");
    cr_assert_eq(response.status, net::status::ok, "%d", response.status);
}

namespace
{

struct LongPromptsCase {
    char name[32];
    std::size_t requests;
    std::size_t parts;
};

LongPromptsCase longPromptsCases[] = {
    { "twelve of 400 parts", 12, 400 },
    { "sixty of 400 parts", 60, 400 },
    { "four of 1,200 parts", 4, 1'200 },
};

/** Returns parts that no other request has. */
std::vector<std::string> ownParts(std::size_t request, std::size_t count)
{
    constexpr std::size_t firstId = 0x100000;
    constexpr std::size_t digits = 17;
    std::vector<std::string> parts;
    for (std::size_t part = 0; part < count; ++part) {
        char id[digits];
        std::snprintf(id, digits, "%zx", firstId + request * count + part);
        parts.emplace_back(id);
    }
    return parts;
}

} // namespace

ParameterizedTestParameters(gateway, crashWithLongPromptsInFlightEndsNoVm)
{
    return cr_make_param_array(LongPromptsCase, longPromptsCases, std::size(longPromptsCases));
}

/** An endpoint's crash with over 4,096 prompt parts in flight ended the process of the VM (review/6, LOST). */
ParameterizedTest(LongPromptsCase *test, gateway, crashWithLongPromptsInFlightEndsNoVm)
{
    Harness harness(1);
    auto &engine = harness.addEndpoint("g0", "engine", Endpoint::Behaviour::Hold);
    harness.addEndpoint("p0", "plain", Endpoint::Behaviour::Respond);
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 2);
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    for (std::size_t request = 0; request < test->requests; ++request) {
        const auto id = "long" + std::to_string(request);
        responses.push_back(
            harness.sendAsync(0, "POST", "/stream/x", promptHeaders(id, ownParts(request, test->parts)), id));
    }
    harness.waitFor([&] { return engine.receivedRequests().size() == test->requests; }, "the requests");
    engine.crash();
    harness.waitFor(
        [&] {
            return harness.hasEnded(0)
                || std::all_of(responses.begin(), responses.end(), [](const auto &r) { return r->has_value(); });
        },
        "responses");
    cr_assert_not(harness.hasEnded(0), "%s", test->name);
    harness.waitForLogLines({ 0 }, "\"suspect prompt part\"", 1);
    const auto sound = harness.sendAndWait(0, "POST", "/safe/x", headers("sound"), "body");
    cr_assert_eq(sound.status, net::status::ok, "%s: %d", test->name, sound.status);
}

/** VMs told each other of 64 parts of a crash only, so a part of longer prompts crashed endpoint after endpoint. */
Test(gateway, partOfLongPromptsThatCrashedAnEndpointOfEachVmIsQuarantined)
{
    constexpr std::size_t vms = 3;
    constexpr std::size_t parts = 300;
    Harness harness(vms);
    std::size_t poisonArrivals = 0;
    for (std::size_t engine = 0; engine < 2 * vms; ++engine) {
        const std::string id = "g" + std::to_string(engine);
        harness.addRawEndpoint(id, "engine", [&poisonArrivals, id](const std::string &request) {
            poisonArrivals += request.starts_with(poisonIdPrefix) ? 1 : 0;
            return answerTo(id, request, BodyFraming::Chunked);
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLinks();
    const auto sendPoison = [&](std::size_t vm, std::size_t number) {
        auto prompt = ownParts(number, parts);
        prompt[parts / 2] = "ffffff" + poisonPart; // the highest id of all
        const auto id = poisonIdPrefix + std::to_string(number);
        return harness.sendAndWait(vm, "POST", "/stream/x", promptHeaders(id, prompt), id);
    };
    for (std::size_t vm = 0; vm < vms; ++vm) {
        sendPoison(vm, vm);
        harness.waitForLogLines({ vm }, "\"suspect prompt part\"", 1);
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
        harness.waitForLogLines({ vm }, "\"prompt part quarantined\"", 1);
        cr_assert_eq(sendPoison(vm, vms + vm).status, net::status::unavailable);
    }
    cr_assert_eq(poisonArrivals, vms, "%zu", poisonArrivals);
}
