#include "odd_values.h"
#include "odd_vm.h"
#include "raw_callers.h"

#include <harness.h>
#include <requests.h>

#include <userplatform/userplatform.h>

#include <cstdlib>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

/**
 * Odd bytes from each side of real gateway processes, from seeds: no process may end, let an exception out of a
 * callback or take more memory than its machine has, and ordinary requests are still answered.
 *
 * LACEWING_FUZZ_SEEDS=FIRST-LAST sets the seeds, LACEWING_FUZZ_INPUTS the number of inputs for each.
 */
namespace lacewing::fuzz
{
namespace
{

using namespace gateway_test;
using namespace platform_standin;

enum class Source : std::uint8_t { Callers, Endpoints, Vms, Frames, StoreRecords, StoreAnswers };

struct FuzzCase {
    char name[30];
    Source source;
};

FuzzCase fuzzCases[] = {
    { "requests", Source::Callers },           { "answers of endpoints", Source::Endpoints },
    { "messages of VMs", Source::Vms },        { "frames between VMs", Source::Frames },
    { "store records", Source::StoreRecords }, { "answers of the store", Source::StoreAnswers },
};

constexpr std::size_t vmCount = 2;
/** Memory of a machine. */
constexpr std::size_t maxMemory = 260'000'000;
constexpr const char *soundTarget = "/sound/x";

std::vector<std::uint64_t> chooseSeeds()
{
    const char *text = std::getenv("LACEWING_FUZZ_SEEDS");
    const std::string range = text != nullptr ? text : "1";
    const auto dash = range.find('-');
    const std::uint64_t first = std::stoull(range);
    const std::uint64_t last = dash == std::string::npos ? first : std::stoull(range.substr(dash + 1));
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

std::size_t chooseInputs()
{
    constexpr std::size_t shortRun = 2'000;
    const char *text = std::getenv("LACEWING_FUZZ_INPUTS");
    return text != nullptr ? std::stoull(text) : shortRun;
}

DesiredStateSpec makeFuzzState(int version)
{
    auto routes = allRoutes();
    routes.push_back({ .name = "sound", .service = "other" });
    return makeState(version, routes);
}

class Run
{
public:
    Run(Source source, std::uint64_t seed, std::size_t inputs)
        : source_(source)
        , inputs_(inputs)
        , values_(seed,
                  { "plain",
                    "other",
                    "engine",
                    "first",
                    "second",
                    "a",
                    "vm-0",
                    "odd",
                    "plain-1",
                    "engine-1",
                    "first-1",
                    "second-1",
                    "safe",
                    "w",
                    "k",
                    "close",
                    "chunked",
                    "100-continue",
                    "gzip, chunked" })
        , harness_(vmCount)
    {
        for (const char *service : { "plain", "engine", "first", "second" }) {
            for (const char *number : { "-1", "-2" }) {
                const std::string id = std::string(service) + number;
                endpoints_.push_back(&harness_.addRawEndpoint(
                    id, service, [this, id](const net::HttpRequest &request) { return answer(id, request); }));
            }
        }
        harness_.addEndpoint("sound-1", "other", Endpoint::Behaviour::Respond);
        harness_.store().publishDesiredState(makeFuzzState(version_));
        harness_.start();
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            harness_.waitForLogLines({ vm }, "\"endpoint joined\"", endpoints_.size() + 1);
        }
        harness_.waitForLinks();
    }

    void play()
    {
        switch (source_) {
        case Source::Callers:
            playCallers([this] { return oddRequest(); }, [this] { return callers_->sentCount(); });
            break;
        case Source::Endpoints:
            playCallers([this] { return soundRequest(); }, [this] { return answers_; });
            break;
        case Source::Frames:
            playCallers([this] { return oddFrames(); }, [this] { return callers_->sentCount(); });
            break;
        case Source::Vms:
            playVm();
            break;
        case Source::StoreRecords:
            playRecords();
            break;
        case Source::StoreAnswers:
            playStoreAnswers();
            break;
        }
    }

    /** Checks what holds whatever has been sent. */
    void check(const char *name)
    {
        // What another VM or the store says of routes and endpoints is in force, so any whole answer will do then.
        const bool isViewSound =
            source_ != Source::Vms && source_ != Source::StoreRecords && source_ != Source::StoreAnswers;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            cr_assert_not(harness_.hasEnded(vm), "%s: vm %zu has ended after %zu inputs", name, vm, count_);
            const auto id = "sound-" + std::to_string(vm);
            const auto response = harness_.sendAndWait(vm, "POST", soundTarget, headers(id), "b");
            cr_expect(response.isComplete, "%s: vm %zu gives no whole answer", name, vm);
            cr_expect(!isViewSound || response.status == net::status::ok, "%s: status %d", name, response.status);
            const auto exceptions = harness_.metric(vm, "lacewing_unhandled_exceptions_total");
            cr_expect_eq(exceptions, 0, "%s: vm %zu had %g unhandled exceptions", name, vm, exceptions);
            const auto memory = harness_.peakMemory(vm);
            cr_expect_lt(memory, maxMemory, "%s: vm %zu took %zu bytes", name, vm, memory);
            cr_log_warn("%s: %zu inputs, vm %zu took %zu MB", name, count_, vm, memory / 1'000'000);
        }
    }

private:
    void checkAlive()
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            cr_assert_not(harness_.hasEnded(vm), "vm %zu has ended after %zu inputs", vm, count_);
        }
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Requests

    void playCallers(std::function<Input()> next, const std::function<std::size_t()> &count)
    {
        constexpr std::size_t connections = 32;
        constexpr Duration renewalPeriod = 100ms;
        callers_ = std::make_unique<RawCallers>(harness_.loop(), connections, std::move(next));
        while (count_ < inputs_) {
            harness_.runFor(renewalPeriod);
            count_ = count();
            checkAlive();
            if (source_ == Source::Endpoints) {
                renewEndpoints();
            }
        }
        callers_.reset();
    }

    std::string requestId()
    {
        return "id-" + std::to_string(++lastRequest_);
    }

    static std::string requestText(const std::string &target,
                                   const net::Headers &headers,
                                   const std::string &framing,
                                   const std::string &body)
    {
        std::string text = "POST " + target + " HTTP/1.1\r\n";
        for (const auto &header : headers) {
            text += header.name + ": " + header.value + "\r\n";
        }
        return text + framing + "\r\n" + body;
    }

    std::string target()
    {
        static const std::vector<std::string> names {
            "safe", "unsafe", "stream", "resumable", "staged", "again", "open"
        };
        return "/" + names[values_.random().below(names.size())] + "/x";
    }

    Input soundRequest()
    {
        constexpr Duration patience = 2s;
        const auto target = this->target();
        const bool isStaged = target.starts_with("/staged") || target.starts_with("/again");
        const auto id = requestId();
        const std::string body = "body";
        return { harness_.callersAddress(values_.random().below(vmCount)),
                 requestText(target,
                             isStaged ? stagedHeaders(id, { 1, 2 }) : headers(id),
                             "Content-Length: " + std::to_string(body.size()) + "\r\n",
                             body),
                 patience };
    }

    Input oddRequest()
    {
        constexpr Duration patience = 500ms;
        constexpr Duration shortPatience = 30ms;
        constexpr double damagedShare = 0.15;
        constexpr double chunkedShare = 0.2;
        constexpr std::uint64_t mostOddHeaders = 4;
        auto &random = values_.random();
        RequestSpec spec { .id = random.chance(0.3) ? values_.text() : requestId(), .apiKey = key };
        if (random.chance(0.5)) {
            spec.pieceCounts = { 1, 2 };
            spec.pieceKey = random.chance(0.5) ? values_.text() : "cafe";
        }
        if (random.chance(0.3)) {
            spec.promptParts = { values_.text(), "5c1e", values_.text() };
        }
        if (random.chance(0.1)) {
            spec.resumedRequest = values_.text();
            spec.lastEventId = values_.numberText();
        }
        auto headers = requestHeaders(spec);
        for (auto count = random.below(mostOddHeaders); count > 0; --count) {
            const auto &names = headerNames();
            const auto &name = names[random.below(names.size())];
            const auto value = random.chance(0.5) ? values_.numberText() : values_.text();
            if (random.chance(0.5)) {
                std::erase_if(headers, [&](const net::Header &header) { return header.name == name; });
            }
            headers.push_back({ name, value });
        }
        const bool isChunked = random.chance(chunkedShare);
        const std::string body = random.chance(0.3) ? values_.text() : "body";
        std::string framing = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        std::string framedBody = body;
        if (isChunked) {
            framing = "Transfer-Encoding: chunked\r\n";
            framedBody = "4\r\nbody\r\n" + (random.chance(0.2) ? values_.numberText() : "0") + "\r\n\r\n";
        }
        auto text = requestText(random.chance(0.05) ? "/" + values_.text() : target(), headers, framing, framedBody);
        const bool isDamaged = random.chance(damagedShare);
        return { harness_.callersAddress(random.below(vmCount)),
                 isDamaged ? values_.damaged(std::move(text)) : text,
                 isDamaged ? shortPatience : patience };
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Answers

    /** Registers the endpoints as new ones, as what they have answered may keep requests from them. */
    void renewEndpoints()
    {
        ++renewals_;
        for (const auto *endpoint : endpoints_) {
            auto identity = endpoint->identity();
            harness_.store().removeEndpoint(renewedId(identity.id, renewals_ - 1));
            identity.id = renewedId(identity.id, renewals_);
            harness_.store().registerRawEndpoint(identity.id, registrationText(identity, endpoint->address(), false));
        }
    }

    static std::string renewedId(const std::string &id, int renewal)
    {
        return renewal == 0 ? id : id + "-" + std::to_string(renewal);
    }

    RawEndpoint::Answer answer(const std::string &id, const net::HttpRequest &request)
    {
        const auto requestId = ReceivedRequest { request }.requestId();
        RawEndpoint::Answer answer;
        answer.partDelay = Duration::zero();
        std::string text;
        if (isPiecesCall(request)) {
            text = piecesAnswerText(request, [&](const std::string &) { return "h/" + std::to_string(++lastHandle_); });
        } else if (isReleaseCall(request)) {
            text = answerText({}, {});
        } else if (id.starts_with("engine")) {
            text = streamHeadText(id, requestId) + "15\r\nid: 1\ndata: event 1\n\n\r\n0\r\n\r\n";
        } else {
            text = answerText(receiptHeaders(id, requestId), "result");
        }
        if (source_ == Source::Endpoints) {
            spoil(text, answer);
        }
        answer.parts = { std::move(text) };
        return answer;
    }

    void spoil(std::string &text, RawEndpoint::Answer &answer)
    {
        constexpr double damagedShare = 0.3;
        constexpr double jsonShare = 0.5;
        constexpr double statusShare = 0.2;
        constexpr std::uint64_t mostOddHeaders = 4;
        constexpr std::string_view headEnd = "\r\n\r\n";
        ++answers_;
        auto &random = values_.random();
        auto end = text.find(headEnd);
        if (const auto body = text.substr(end + headEnd.size()); body.starts_with('{') && random.chance(jsonShare)) {
            text = answerText({}, values_.damagedJson(body, 0));
            end = text.find(headEnd);
        }
        std::string extra;
        for (auto count = random.below(mostOddHeaders); count > 0; --count) {
            const auto &names = headerNames();
            extra += "\r\n" + names[random.below(names.size())] + ": ";
            extra += random.chance(0.5) ? values_.numberText() : values_.text();
        }
        text.insert(end, extra);
        if (random.chance(statusShare)) {
            static const std::vector<std::string> statuses { "100", "101", "204", "304", "400", "409", "421",
                                                             "429", "500", "503", "599", "000", "999" };
            constexpr std::size_t statusAt = 9;
            text.replace(statusAt, 3, statuses[random.below(statuses.size())]);
        }
        if (random.chance(damagedShare)) {
            text = values_.damaged(std::move(text));
        }
        constexpr RawEndpoint::Ending endings[] = { RawEndpoint::Ending::KeepOpen,
                                                    RawEndpoint::Ending::Close,
                                                    RawEndpoint::Ending::Reset };
        answer.ending = endings[random.below(std::size(endings))];
        if (random.chance(0.1)) {
            answer.extra = values_.damaged(text);
        }
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Messages

    Input oddFrames()
    {
        constexpr Duration patience = 20ms;
        constexpr std::uint64_t mostFrames = 6;
        constexpr std::uint64_t mostTypes = 12;
        constexpr std::uint64_t mostBytes = 60;
        constexpr std::uint64_t byteValues = 256;
        constexpr double damagedShare = 0.3;
        auto &random = values_.random();
        std::string text = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        text += std::string("\0\0\0\4\0\0\0\0\0", 9); // empty settings
        for (auto count = random.below(mostFrames); count > 0; --count) {
            std::string content;
            for (auto size = random.below(mostBytes); size > 0; --size) {
                content += static_cast<char>(random.below(byteValues));
            }
            const std::size_t length = random.chance(0.1) ? values_.integer() : content.size();
            for (const int shift : { 16, 8, 0 }) {
                text += static_cast<char>(length >> unsigned(shift));
            }
            text += static_cast<char>(random.below(mostTypes));
            text += static_cast<char>(random.below(byteValues));
            text += std::string(3, '\0');
            text += static_cast<char>(random.below(4));
            text += content;
        }
        return { harness_.linkAddress(random.below(vmCount)),
                 random.chance(damagedShare) ? values_.damaged(std::move(text)) : text,
                 patience };
    }

    void playVm()
    {
        constexpr std::size_t burst = 40; // below the bound on messages that wait at a VM
        constexpr Duration pause = 5ms;
        constexpr int pausesBetweenHeartbeats = 20;
        OddVm vm(harness_.loop(),
                 values_,
                 harness_.networkAddress(200),
                 harness_.linkAddress(0),
                 userplatform::parseDesiredState(desiredStateText(makeFuzzState(version_))).value());
        RawCallers sound(harness_.loop(), 2, [this] { return soundRequest(); });
        for (int round = 0; count_ < inputs_; ++round) {
            if (round % pausesBetweenHeartbeats == 0) {
                vm.sendHeartbeat();
            }
            for (std::size_t index = 0; index < burst; ++index) {
                vm.sendOdd();
            }
            harness_.runFor(pause);
            count_ = vm.inputCount();
            checkAlive();
        }
        constexpr Duration lastMessages = 1s;
        harness_.runFor(lastMessages);
    }

    // -----------------------------------------------------------------------------------------------------------------
    // Store

    std::string oddKey()
    {
        return values_.random().chance(0.1) ? values_.text().substr(0, 200)
                                            : "odd-" + std::to_string(values_.random().below(20));
    }

    void writeRecord()
    {
        constexpr std::size_t partDepth = 2; // the version stays as it is
        auto &store = harness_.store();
        auto &random = values_.random();
        switch (random.below(10)) {
        case 0: {
            const auto text = desiredStateText(makeFuzzState(++version_));
            store.publishRawDesiredState(random.chance(0.9) ? values_.damagedJson(text, partDepth)
                                                            : values_.damaged(text));
            break;
        }
        case 1: {
            const auto value = random.chance(0.5) ? "a " + endpoints_[0]->address() : values_.text();
            static const std::vector<std::string> starts { "quarantine/", "software-versions/", "", "odd-" };
            store.writeVmRecord((starts[random.below(starts.size())] + oddKey()).substr(0, 250), value);
            break;
        }
        default: {
            const Endpoint::Identity identity { "odd", "plain", "a" };
            const auto key = oddKey();
            if (random.chance(0.1)) {
                store.removeEndpoint(key);
            } else if (random.chance(0.3)) {
                store.registerRawEndpoint(key, values_.damaged(registrationText(identity, "here", false)));
            } else {
                store.registerRawEndpoint(
                    key, values_.damagedJson(registrationText(identity, endpoints_[0]->address(), false), 0));
            }
            break;
        }
        }
        ++count_;
    }

    void playRecords()
    {
        constexpr std::size_t recordsInARound = 300;
        constexpr std::size_t roundsToCompact = 20;
        RawCallers sound(harness_.loop(), 2, [this] { return soundRequest(); });
        for (std::size_t round = 1; count_ < inputs_; ++round) {
            for (std::size_t index = 0; index < recordsInARound; ++index) {
                writeRecord();
            }
            harness_.waitFor([this] { return harness_.store().hasCaughtUpReaders(); }, "the records to be read");
            checkAlive();
            if (round % roundsToCompact == 0) {
                harness_.store().compactHistory();
            }
        }
        harness_.store().publishDesiredState(makeFuzzState(++version_));
        harness_.runFor(1s);
    }

    void playStoreAnswers()
    {
        constexpr Duration changePeriod = 5ms;
        RawCallers sound(harness_.loop(), 2, [this] { return soundRequest(); });
        harness_.store().setAnswerFilter([this](std::string body) { return spoilStoreAnswer(std::move(body)); });
        while (count_ < inputs_) {
            harness_.store().publishDesiredState(makeFuzzState(++version_));
            renewEndpoints();
            harness_.runFor(changePeriod);
            checkAlive();
            if (renewals_ % 100 == 0) {
                harness_.store().compactHistory();
            }
        }
        harness_.store().setAnswerFilter({});
        harness_.runFor(2s);
    }

    /** Damages what frames the records, but no record, whose address must not become that of another machine. */
    std::string spoilStoreAnswer(std::string body)
    {
        constexpr std::size_t frameBytes = 20; // two offsets and the length of the first record
        ++count_;
        auto &random = values_.random();
        if (body.starts_with('{')) {
            return values_.damagedJson(body, 0);
        }
        switch (random.below(4)) {
        case 0:
            return body.substr(0, random.below(body.size() + 1));
        case 1:
            body.insert(random.below(std::min(frameBytes, body.size())), std::string(1 + random.below(8), '\xff'));
            return body;
        case 2:
            for (std::size_t at = 0; at < std::min(frameBytes, body.size()); ++at) {
                body[at] = static_cast<char>(random.chance(0.2) ? random.below(256) : body[at]);
            }
            return body;
        default:
            return body;
        }
    }

    Source source_;
    std::size_t inputs_;
    OddValues values_;
    Harness harness_;
    std::vector<RawEndpoint *> endpoints_;
    std::unique_ptr<RawCallers> callers_;
    std::size_t count_ = 0;
    std::size_t answers_ = 0;
    int renewals_ = 0;
    int version_ = 1;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastHandle_ = 0;
};

} // namespace
} // namespace lacewing::fuzz

ParameterizedTestParameters(fuzz, endsNoProcess)
{
    using namespace lacewing::fuzz;
    return cr_make_param_array(FuzzCase, fuzzCases, std::size(fuzzCases));
}

ParameterizedTest(lacewing::fuzz::FuzzCase *test, fuzz, endsNoProcess)
{
    using namespace lacewing::fuzz;
    for (const auto seed : chooseSeeds()) {
        Run run(test->source, seed, chooseInputs());
        run.play();
        run.check(test->name);
    }
}
