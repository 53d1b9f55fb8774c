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

/** Where the endpoint's answer stops. */
enum class Cut : std::uint8_t {
    None,
    BetweenEvents,
    InsideEvent,
    LastEventUnfinished, ///< as far as the framing says, the answer is whole
    OnlyThirdEvent, ///< the rest of a resumed stream, whole
};

/** What the bytes of an answer say about the answer's end. */
enum class Claim : std::uint8_t {
    BrokenOff,
    EndUnknown, ///< the connection was closed in order, and nothing else marks the end
    Whole,
};

const std::string firstEvents = net::sseEvent("1", "one") + net::sseEvent("2", "two");
const std::string thirdEvent = net::sseEvent("3", "three");

std::string cutBody(Cut cut)
{
    constexpr std::size_t partOfEvent = 9;
    switch (cut) {
    case Cut::None:
        return firstEvents + thirdEvent;
    case Cut::BetweenEvents:
        return firstEvents;
    case Cut::OnlyThirdEvent:
        return thirdEvent;
    case Cut::InsideEvent:
    case Cut::LastEventUnfinished:
        break;
    }
    return firstEvents + thirdEvent.substr(0, partOfEvent);
}

/** Writes an answer of an endpoint. A body that is cut lacks its last chunk, or bytes of its length. */
std::string answerText(const std::string &receipt, BodyFraming framing, Cut cut)
{
    const std::string body = cutBody(cut);
    std::string text = "HTTP/1.1 200 OK\r\n" + receipt + "Content-Type: text/event-stream\r\n";
    const bool isFramedWhole = cut != Cut::BetweenEvents && cut != Cut::InsideEvent;
    if (framing == BodyFraming::Length) {
        const std::size_t length = isFramedWhole ? body.size() : cutBody(Cut::None).size();
        return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + body;
    }
    if (framing == BodyFraming::UntilClose) {
        return text + "Connection: close\r\n\r\n" + body;
    }
    constexpr std::size_t digits = 8;
    char size[digits];
    std::snprintf(size, digits, "%zx", body.size());
    return text + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body + "\r\n"
        + (isFramedWhole ? "0\r\n\r\n" : "");
}

Claim claimOf(const Response &response)
{
    if (!response.isComplete || response.status != net::status::ok) {
        return Claim::BrokenOff;
    }
    return response.framing == BodyFraming::UntilClose ? Claim::EndUnknown : Claim::Whole;
}

struct FramingCase {
    char target[16];
    BodyFraming framing;
    Cut cut;
    Ending ending;
    Claim claim; ///< of the endpoint's bytes
};

FramingCase framingCases[] = {
    { "/stream/x", BodyFraming::Length, Cut::None, Ending::KeepOpen, Claim::Whole },
    { "/stream/x", BodyFraming::Length, Cut::BetweenEvents, Ending::Close, Claim::BrokenOff },
    { "/stream/x", BodyFraming::Length, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/stream/x", BodyFraming::Chunked, Cut::None, Ending::KeepOpen, Claim::Whole },
    { "/stream/x", BodyFraming::Chunked, Cut::BetweenEvents, Ending::Close, Claim::BrokenOff },
    { "/stream/x", BodyFraming::Chunked, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/stream/x", BodyFraming::Length, Cut::LastEventUnfinished, Ending::KeepOpen, Claim::BrokenOff },
    { "/stream/x", BodyFraming::Chunked, Cut::LastEventUnfinished, Ending::KeepOpen, Claim::BrokenOff },
    { "/stream/x", BodyFraming::UntilClose, Cut::None, Ending::Close, Claim::EndUnknown },
    { "/stream/x", BodyFraming::UntilClose, Cut::None, Ending::Reset, Claim::BrokenOff },
    { "/stream/x", BodyFraming::UntilClose, Cut::BetweenEvents, Ending::Close, Claim::EndUnknown },
    { "/stream/x", BodyFraming::UntilClose, Cut::BetweenEvents, Ending::Reset, Claim::BrokenOff },
    { "/stream/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/stream/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Reset, Claim::BrokenOff },
    { "/resumable/x", BodyFraming::Chunked, Cut::None, Ending::KeepOpen, Claim::Whole },
    { "/resumable/x", BodyFraming::Chunked, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/resumable/x", BodyFraming::Chunked, Cut::LastEventUnfinished, Ending::KeepOpen, Claim::BrokenOff },
    { "/resumable/x", BodyFraming::UntilClose, Cut::None, Ending::Close, Claim::EndUnknown },
    { "/resumable/x", BodyFraming::UntilClose, Cut::BetweenEvents, Ending::Close, Claim::EndUnknown },
    { "/resumable/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/resumable/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Reset, Claim::BrokenOff },
    { "/safe/x", BodyFraming::Length, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/safe/x", BodyFraming::Chunked, Cut::InsideEvent, Ending::Close, Claim::BrokenOff },
    { "/safe/x", BodyFraming::UntilClose, Cut::None, Ending::Close, Claim::EndUnknown },
    { "/safe/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Close, Claim::EndUnknown },
    { "/safe/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Reset, Claim::BrokenOff },
    { "/unsafe/x", BodyFraming::Length, Cut::None, Ending::KeepOpen, Claim::Whole },
    { "/unsafe/x", BodyFraming::UntilClose, Cut::None, Ending::Close, Claim::EndUnknown },
    { "/unsafe/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Close, Claim::EndUnknown },
    { "/unsafe/x", BodyFraming::UntilClose, Cut::InsideEvent, Ending::Reset, Claim::BrokenOff },
};

struct ResumeCase {
    BodyFraming first; ///< of the answer that is broken off inside its third event
    BodyFraming second; ///< of the answer with the rest
    Claim claim; ///< that the caller may get
};

ResumeCase resumeCases[] = {
    { BodyFraming::Chunked, BodyFraming::Chunked, Claim::Whole },
    { BodyFraming::UntilClose, BodyFraming::UntilClose, Claim::EndUnknown },
    { BodyFraming::UntilClose, BodyFraming::Chunked, Claim::EndUnknown },
    { BodyFraming::Chunked, BodyFraming::UntilClose, Claim::BrokenOff },
};

/** One endpoint of each service, which sends the same answer to each request. */
struct Fixture {
    /** @param isCutOff whether the first VM reaches no endpoint, and a second one sends its requests */
    explicit Fixture(const std::function<std::vector<std::string>(const std::string &receipt)> &answer,
                     Ending ending,
                     bool isCutOff = false)
        : harness(isCutOff ? 2 : 1)
    {
        if (isCutOff) {
            harness.enableCuts();
        }
        for (const char *service : { "plain", "engine" }) {
            const std::string id = std::string(service) + "-1";
            harness.addRawEndpoint(id, service, [answer, ending, id](const std::string &request) {
                return Answer { answer(receiptHeaders(id, request)), ending };
            });
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        if (isCutOff) {
            harness.waitForLinks();
            harness.cutOffAndWait(0, { "/safe/x", "/stream/x" });
        }
    }

    Harness harness;
};

void checkClaim(const FramingCase &test, bool isCutOff)
{
    Fixture f(
        [&](const std::string &receipt) -> std::vector<std::string> {
            return { answerText(receipt, test.framing, test.cut) };
        },
        test.ending,
        isCutOff);
    const auto response = f.harness.sendAndWait(0, "POST", test.target, headers("id-1"), "body");
    const auto name = std::string(test.target) + " " + std::string(toText(test.framing)) + " cut "
        + std::to_string(int(test.cut)) + " ending " + std::to_string(int(test.ending));
    cr_assert_eq(int(claimOf(response)), int(test.claim), "%s: %d", name.c_str(), int(claimOf(response)));
    if (test.claim != Claim::BrokenOff) {
        cr_assert(response.body == cutBody(test.cut), "%s: %s", name.c_str(), response.body.c_str());
    }
}

} // namespace

ParameterizedTestParameters(answerFraming, claimsNoMoreThanTheEndpoint)
{
    return cr_make_param_array(FramingCase, framingCases, std::size(framingCases));
}

ParameterizedTest(FramingCase *test, answerFraming, claimsNoMoreThanTheEndpoint)
{
    checkClaim(*test, false);
}

/** The same by way of another VM, as the caller's VM reaches no endpoint. */
ParameterizedTestParameters(answerFraming, claimsNoMoreThanTheEndpointByAnotherVm)
{
    return cr_make_param_array(FramingCase, framingCases, std::size(framingCases));
}

ParameterizedTest(FramingCase *test, answerFraming, claimsNoMoreThanTheEndpointByAnotherVm)
{
    checkClaim(*test, true);
}

ParameterizedTestParameters(answerFraming, resumedStreamClaimsNoMoreThanItsLastEndpoint)
{
    return cr_make_param_array(ResumeCase, resumeCases, std::size(resumeCases));
}

ParameterizedTest(ResumeCase *test, answerFraming, resumedStreamClaimsNoMoreThanItsLastEndpoint)
{
    Harness harness(1);
    int answers = 0;
    for (const char *id : { "g1", "g2" }) {
        harness.addRawEndpoint(id, "engine", [&, id](const std::string &request) -> Answer {
            const bool isFirst = ++answers == 1;
            const auto framing = isFirst ? test->first : test->second;
            const auto receipt = receiptHeaders(id, request);
            if (isFirst) {
                return { { answerText(receipt, framing, Cut::InsideEvent) }, Ending::Close };
            }
            const auto ending = framing == BodyFraming::UntilClose ? Ending::Close : Ending::KeepOpen;
            return { { answerText(receipt, framing, Cut::OnlyThirdEvent) }, ending };
        });
    }
    harness.store().publishDesiredState(makeState(1, allRoutes()));
    harness.start();
    harness.waitForLogLines({ 0 }, "\"endpoint joined\"", 2);
    const auto response = harness.sendAndWait(0, "POST", "/resumable/x", headers("id-1"), "body");
    const auto name = std::string(toText(test->first)) + ", " + std::string(toText(test->second));
    cr_assert_eq(answers, 2, "%s", name.c_str());
    cr_assert_eq(int(claimOf(response)), int(test->claim), "%s: %d", name.c_str(), int(claimOf(response)));
    if (test->claim != Claim::BrokenOff) {
        cr_assert(response.body == cutBody(Cut::None), "%s: %s", name.c_str(), response.body.c_str());
    }
}

Test(answerFraming, streamWithoutFramingIsResetWhenItsVmIsKilled)
{
    Fixture f(
        [](const std::string &receipt) -> std::vector<std::string> {
            return { answerText(receipt, BodyFraming::UntilClose, Cut::BetweenEvents) };
        },
        Ending::KeepOpen);
    const auto response = f.harness.sendAsync(0, "POST", "/stream/x", headers("id-1"), "body");
    f.harness.waitFor([&] { return f.harness.receivedBytes() >= firstEvents.size(); }, "the first events");
    f.harness.signal(0, SIGKILL);
    f.harness.waitFor([&] { return response->has_value(); }, "a response");
    cr_assert(claimOf(**response) == Claim::BrokenOff);
}

Test(answerFraming, endpointsRejectionWithoutNotRunIsNoPromiseToTheCaller)
{
    for (const int status : { 408, 421, 429, 503 }) {
        Fixture f(
            [status](const std::string &receipt) -> std::vector<std::string> {
                return { "HTTP/1.1 " + std::to_string(status) + " X\r\n" + receipt + "Content-Length: 0\r\n\r\n" };
            },
            Ending::KeepOpen);
        for (const char *target : { "/unsafe/x", "/stream/x" }) {
            const auto response = f.harness.sendAndWait(0, "POST", target, headers("id-1"), "body");
            const bool isNotRun = status == 421; // says itself that the request is at the wrong endpoint
            const int expected = isNotRun ? net::status::unavailable : net::status::badGateway;
            cr_assert_eq(response.status, expected, "%d %s: %d", status, target, response.status);
        }
    }
}
