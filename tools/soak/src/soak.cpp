#include "callers.h"
#include "endpoints.h"
#include "stream_callers.h"

#include <requests.h>

#include <array>

#include <csignal>
#include <cstdlib>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

/**
 * Randomized runs of real gateway processes with faults, from seeds.
 *
 * LACEWING_SOAK_SEEDS=FIRST-LAST sets the seeds, LACEWING_SOAK_SECONDS the time for each.
 */
namespace lacewing::soak
{
namespace
{

constexpr std::size_t vmCount = 3;
/** What happens to VMs, one at a time. */
enum class VmFault : std::uint8_t {
    None,
    Pause,
    Kill,
    PlannedStop,
    CutOff, ///< from all endpoints, so that other VMs send its requests
    Any, ///< of those above but CutOff
    KillTwo, ///< at the same moment
    StopOrKill, ///< either
};

struct SoakCase {
    char name[30];
    EndpointFaults endpointFaults;
    VmFault vmFault;
    int longestStreamMs;
    ReturnHabits returnHabits = {};
    EndpointSize plainSize = {};
    bool hasTwoVersions = false; ///< streams are taken up again where they may go on
};

constexpr EndpointFaults noFaults {};
constexpr EndpointFaults repeatedAnswers { .repeated = 0.2, .rejected = 0.1 };
constexpr EndpointFaults brokenConnections { .rejected = 0.05, .reset = 0.05, .truncated = 0.05, .closed = 0.05 };
constexpr EndpointFaults allFaults { 0.05, 0.05, 0.02, 0.02, 0.02 };
constexpr EndpointFaults copiedRejections { .rejected = 0.3, .identified = 0.9, .varied = 0.2, .copied = 0.5 };
constexpr EndpointFaults unidentifiedRejections { .rejected = 0.3, .varied = 0.2, .copied = 0.5 };
constexpr EndpointFaults copiedAndBroken { 0.05, 0.2, 0.02, 0.02, 0.02, 0.9, 0.2, 0.5 };
constexpr ReturnHabits returnSoon { .share = 0.8, .longestPause = 10ms, .most = 5, .elsewhereShare = 0.2 };
constexpr ReturnHabits returnLater { .share = 0.8, .longestPause = 400ms, .elsewhereShare = 0.2 };
/** Small enough to turn requests away for want of room. */
constexpr EndpointSize smallPlain { .places = 2, .longestWork = 80ms };

SoakCase soakCases[] = {
    { "no faults", noFaults, VmFault::None, 300 },
    { "repeated answers", repeatedAnswers, VmFault::None, 300 },
    { "broken connections", brokenConnections, VmFault::None, 300 },
    { "paused vms", noFaults, VmFault::Pause, 300 },
    { "killed vms", noFaults, VmFault::Kill, 300 },
    { "planned stops", noFaults, VmFault::PlannedStop, 300 },
    { "planned stops, long streams", noFaults, VmFault::PlannedStop, 4'000 },
    { "everything", allFaults, VmFault::Any, 300 },
    { "copied rejections, new ids", copiedRejections, VmFault::None, 300, {}, smallPlain },
    { "rejections without ids", unidentifiedRejections, VmFault::None, 300, returnSoon, smallPlain },
    { "cut off vms", noFaults, VmFault::CutOff, 300 },
};

/** Copies of rejections that bear the id of a request that has come back. */
SoakCase repeatedRejectionCases[] = {
    { "soon", copiedRejections, VmFault::None, 300, returnSoon, smallPlain },
    { "later", copiedRejections, VmFault::None, 300, returnLater, smallPlain },
    { "cut off vms", copiedRejections, VmFault::CutOff, 300, returnSoon, smallPlain },
    { "everything", copiedAndBroken, VmFault::Any, 300, returnSoon, smallPlain },
};

/** Streams that outlast a round of restarts of the VMs that know where they began. */
SoakCase brokenOffStreamCases[] = {
    { "planned stops", noFaults, VmFault::PlannedStop, 18'000, {}, {}, true },
    { "killed vms", noFaults, VmFault::Kill, 18'000, {}, {}, true },
    { "two vms killed at once", noFaults, VmFault::KillTwo, 18'000, {}, {}, true },
    { "stops and kills", noFaults, VmFault::StopOrKill, 18'000, {}, {}, true },
};

/** Seeds for which a promise was broken once. */
constexpr std::uint64_t keptSeeds[] = { 1 };

std::vector<std::uint64_t> chooseSeeds()
{
    const char *text = std::getenv("LACEWING_SOAK_SEEDS");
    std::vector<std::uint64_t> seeds;
    if (text == nullptr) {
        seeds.assign(std::begin(keptSeeds), std::end(keptSeeds));
        return seeds;
    }
    const std::string range = text;
    const auto dash = range.find('-');
    const std::uint64_t first = std::stoull(range);
    const std::uint64_t last = dash == std::string::npos ? first : std::stoull(range.substr(dash + 1));
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

Duration chooseDuration(Duration shortRun)
{
    const char *text = std::getenv("LACEWING_SOAK_SECONDS");
    return text != nullptr ? fromSeconds(std::stod(text)) : shortRun;
}

/** One run: VMs, endpoints, callers and faults. */
class Run
{
public:
    Run(const SoakCase &test, std::uint64_t seed)
        : test_(test)
        , random_(seed)
        , harness_(vmCount)
        , endpoints_(harness_,
                     promises_,
                     random_.next(),
                     std::chrono::milliseconds(test.longestStreamMs),
                     test.plainSize,
                     test.hasTwoVersions)
        , callers_(harness_, promises_, vmCount, random_.next(), test.returnHabits)
        , streamCallers_(harness_, vmCount, random_.next(), [this](std::size_t vm) { return disturbedAt_[vm]; })
    {
        if (test.vmFault == VmFault::CutOff) {
            harness_.enableCuts();
        }
        harness_.setStopGrace(test.hasTwoVersions ? shortStopGraceSeconds : stopGraceSeconds);
        auto routes = gateway_test::allRoutes();
        routes.push_back({ .name = "drawn",
                           .kind = platform_standin::RouteKind::Stream,
                           .service = "engine",
                           .stages = { { "first", {} } } });
        harness_.store().publishDesiredState(gateway_test::makeState(1, routes));
        harness_.start();
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            harness_.waitForLogLines({ vm }, "\"endpoint joined\"", endpointCount);
        }
        harness_.waitForLinks();
    }

    void play(Duration time)
    {
        const Time end = now() + time;
        if (test_.hasTwoVersions) {
            harness_.runFor(settleTime);
            streamCallers_.start();
        } else {
            callers_.start();
        }
        endpoints_.setFaults(test_.endpointFaults);
        while (now() < end) {
            harness_.runFor(between(200ms, 800ms));
            if (test_.hasTwoVersions) {
                disturbInTurn();
            } else {
                disturb(random_.below(vmCount), test_.vmFault);
            }
        }
        endpoints_.setFaults({});
        callers_.stop();
        streamCallers_.stop();
        harness_.waitFor([&] { return callers_.pending() + streamCallers_.pending() == 0; }, "the last answers");
        harness_.runFor(lateRunTime);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            if (harness_.hasEnded(vm)) {
                promises_.onProcessEnded(vm);
            }
        }
    }

    const Promises &promises() const noexcept
    {
        return promises_;
    }
    const Endpoints &endpoints() const noexcept
    {
        return endpoints_;
    }
    const StreamCallers &streamCallers() const noexcept
    {
        return streamCallers_;
    }

private:
    static constexpr std::size_t endpointCount = 11;
    /** Longer than the time within which a cut request may be excused, or nothing could be lost. */
    static constexpr int stopGraceSeconds = 5;
    /** Short enough for stops of all VMs in turn while one stream lasts. */
    static constexpr int shortStopGraceSeconds = 3;
    /** Time in which a request that was rejected might still run. */
    static constexpr Duration lateRunTime = 500ms;
    static constexpr Duration settleTime = StreamCallers::settleTime;

    Time now()
    {
        return harness_.loop().clock().now();
    }

    Duration between(Duration least, Duration most)
    {
        return least + Duration(std::int64_t(random_.below(std::uint64_t((most - least).count()))));
    }

    /** Disturbs two VMs, and the third one once they are in touch again: its streams are taken up there. */
    void disturbInTurn()
    {
        const std::size_t first = random_.below(vmCount);
        const bool isKillOfTwo = test_.vmFault == VmFault::KillTwo;
        disturb(first, test_.vmFault);
        if (!isKillOfTwo) {
            disturb((first + 1) % vmCount, test_.vmFault);
        }
        harness_.runFor(settleTime + between(100ms, 500ms));
        disturb((first + 2) % vmCount, isKillOfTwo ? VmFault::Kill : test_.vmFault);
        harness_.runFor(between(200ms, settleTime));
    }

    void disturb(std::size_t vm, VmFault fault)
    {
        if (harness_.hasEnded(vm)) {
            promises_.onProcessEnded(vm);
            harness_.start(vm, 1);
        }
        if (fault == VmFault::Any) {
            constexpr VmFault faults[] = { VmFault::None, VmFault::Pause, VmFault::Kill, VmFault::PlannedStop };
            fault = faults[random_.below(std::size(faults))];
        } else if (fault == VmFault::StopOrKill) {
            fault = random_.chance(0.5) ? VmFault::PlannedStop : VmFault::Kill;
        }
        disturbedAt_[vm] = now();
        switch (fault) {
        case VmFault::None:
        case VmFault::Any:
        case VmFault::StopOrKill:
            break;
        case VmFault::KillTwo: {
            const std::size_t other = (vm + 1) % vmCount;
            disturbedAt_[other] = now();
            harness_.signal(vm, SIGKILL);
            harness_.signal(other, SIGKILL);
            restart(vm);
            restart(other);
            disturbedAt_[other] = now();
            break;
        }
        case VmFault::CutOff:
            harness_.cutOff(vm, chooseCut());
            harness_.runFor(between(500ms, 3s));
            harness_.cutOff(vm, gateway_test::PathCut::None);
            break;
        case VmFault::Pause:
            harness_.signal(vm, SIGSTOP);
            harness_.runFor(between(100ms, 3s));
            harness_.signal(vm, SIGCONT);
            break;
        case VmFault::Kill:
            harness_.signal(vm, SIGKILL);
            restart(vm);
            break;
        case VmFault::PlannedStop:
            if (test_.vmFault == VmFault::PlannedStop) {
                promises_.onPlannedStop(vm, now(), std::chrono::seconds(stopGraceSeconds));
            }
            harness_.signal(vm, SIGTERM);
            restart(vm);
            break;
        }
        disturbedAt_[vm] = now();
    }

    gateway_test::PathCut chooseCut()
    {
        using gateway_test::PathCut;
        constexpr PathCut cuts[] = { PathCut::Refuse, PathCut::Hang, PathCut::RefuseNew, PathCut::HangNew };
        return cuts[random_.below(std::size(cuts))];
    }

    void restart(std::size_t vm)
    {
        harness_.waitFor([&] { return harness_.hasEnded(vm); }, "the process to end");
        harness_.start(vm, 1);
    }

    const SoakCase &test_;
    Random random_;
    gateway_test::Harness harness_;
    Promises promises_;
    Endpoints endpoints_;
    Callers callers_;
    std::array<Time, vmCount> disturbedAt_ {}; ///< or started
    StreamCallers streamCallers_;
};

/** Plays each seed, and checks what holds for streams that break off and are taken up again. */
void playStreams(const SoakCase &test)
{
    constexpr std::size_t least = 12; // that the rule counts
    constexpr Duration shortRun = 24s;
    for (const auto seed : chooseSeeds()) {
        Run run(test, seed);
        run.play(chooseDuration(shortRun));
        const auto &streams = run.streamCallers();
        std::string broken;
        for (const auto &line : streams.broken()) {
            broken += "\n  " + line;
        }
        cr_log_warn("%s, seed %llu: %zu of %zu streams began, %zu of %zu taken up went on, %zu promises broken",
                    test.name,
                    static_cast<unsigned long long>(seed),
                    streams.begun().succeeded,
                    streams.begun().sent,
                    streams.takenUp().succeeded,
                    streams.takenUp().sent,
                    streams.broken().size());
        cr_expect(broken.empty(), "%s, seed %llu:%s", test.name, static_cast<unsigned long long>(seed), broken.c_str());
        cr_expect(streams.takenUp().sent < least || streams.takenUp().share() >= streams.begun().share() / 2,
                  "%s, seed %llu: %zu of %zu streams went on",
                  test.name,
                  static_cast<unsigned long long>(seed),
                  streams.takenUp().succeeded,
                  streams.takenUp().sent);
    }
}

void playAndCheck(const SoakCase &test)
{
    constexpr Duration shortRun = 8s;
    for (const auto seed : chooseSeeds()) {
        Run run(test, seed);
        run.play(chooseDuration(shortRun));
        const auto &promises = run.promises();
        const auto lines = promises.broken();
        std::string broken;
        for (const auto &line : lines) {
            broken += "\n  " + line;
        }
        cr_log_warn("%s, seed %llu: %zu requests, %zu served, %zu sent again, %zu rejections copied, %zu requests came "
                    "back to a connection, %zu promises broken",
                    test.name,
                    static_cast<unsigned long long>(seed),
                    promises.endedCount(),
                    promises.servedCount(),
                    promises.sentAgainCount(),
                    run.endpoints().copiedCount(),
                    run.endpoints().returnedCount(),
                    lines.size());
        cr_expect(broken.empty(), "%s, seed %llu:%s", test.name, static_cast<unsigned long long>(seed), broken.c_str());
        cr_expect_gt(promises.servedCount(), promises.endedCount() / 2, "%s", test.name);
    }
}

} // namespace
} // namespace lacewing::soak

ParameterizedTestParameters(soak, promisesHold)
{
    using namespace lacewing::soak;
    return cr_make_param_array(SoakCase, soakCases, std::size(soakCases));
}

ParameterizedTest(lacewing::soak::SoakCase *test, soak, promisesHold)
{
    lacewing::soak::playAndCheck(*test);
}

/** A copy of a rejection was taken for the answer to the same request, which then ran twice (issue 48). */
ParameterizedTestParameters(soak, repeatedRejectionsAnswerNoOtherSend)
{
    using namespace lacewing::soak;
    return cr_make_param_array(SoakCase, repeatedRejectionCases, std::size(repeatedRejectionCases));
}

ParameterizedTest(lacewing::soak::SoakCase *test, soak, repeatedRejectionsAnswerNoOtherSend)
{
    lacewing::soak::playAndCheck(*test);
}

/** After restarts, no VM knew where a stream had begun, and its caller was refused (review/8, LOST). */
ParameterizedTestParameters(soak, brokenOffStreamsGoOn)
{
    using namespace lacewing::soak;
    return cr_make_param_array(SoakCase, brokenOffStreamCases, std::size(brokenOffStreamCases));
}

ParameterizedTest(lacewing::soak::SoakCase *test, soak, brokenOffStreamsGoOn)
{
    lacewing::soak::playStreams(*test);
}
