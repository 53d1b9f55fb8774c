#include <reachability/reachability.h>

#include <algorithm>
#include <cmath>
#include <string>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::reachability;

namespace
{

constexpr Time start { 100s };
constexpr Duration step = 10ms;
constexpr Duration connectTimeout = 400ms;
const routing::ServiceId service("s");

/** What happens to connections of a VM. */
enum class Connections : std::uint8_t {
    Work,
    NewRefused, ///< open ones live on
    AllRefused, ///< open ones are reset
    AllHang, ///< open ones fall silent
    Silent, ///< open ones fall silent, new ones work
};

/** A VM that sends requests to endpoints of one service, over a simulated network. */
class Replay
{
public:
    Replay(std::size_t endpoints, double requestsPerSecond)
        : count_(endpoints)
        , interval_(fromSeconds(1 / requestsPerSecond))
    {
        for (std::size_t index = 0; index < endpoints; ++index) {
            routing::EndpointEntry entry;
            entry.id = EndpointId("e" + std::to_string(index));
            entry.incarnation = Incarnation(1);
            entry.service = service;
            entry.zone = AvailabilityZoneId("z");
            directory_.update(entry, start);
        }
    }

    /** @param downShare share of the endpoints that is down, besides what happens to the connections */
    void run(Duration time, Connections connections, double downShare = 0)
    {
        const Time end = now_ + time;
        const auto downCount = static_cast<std::size_t>(std::lround(downShare * double(count_)));
        for (; now_ < end; now_ += step) {
            advance(connections, downCount);
        }
    }

    bool isUnreachable() const
    {
        return monitor_.isUnreachable(service);
    }
    /** Returns the time from `since` until the verdict was last reached or lifted. */
    Duration changedAfter(Time since) const
    {
        return changedAt_ - since;
    }
    Time now() const noexcept
    {
        return now_;
    }
    std::size_t probeCount() const noexcept
    {
        return probes_;
    }
    std::size_t verdictCount() const noexcept
    {
        return verdicts_;
    }

private:
    struct Attempt {
        Target target;
        Time endsAt;
        bool succeeds;
    };

    void connect(const Target &target, Connections connections, std::size_t downCount)
    {
        const auto index = static_cast<std::size_t>(std::stoul(target.endpoint.text().substr(1)));
        const bool isUp = index >= downCount;
        const bool works = connections == Connections::Work || connections == Connections::Silent;
        const Duration wait = connections == Connections::AllHang ? connectTimeout : step;
        attempts_.push_back({ target, now_ + wait, isUp && works });
    }

    void advance(Connections connections, std::size_t downCount)
    {
        const bool isSilent = connections == Connections::AllHang || connections == Connections::Silent;
        if (now_ >= nextRequestAt_) {
            nextRequestAt_ += interval_;
            const Target target { service, EndpointId("e" + std::to_string(random_.below(count_))) };
            monitor_.onSent(target, now_);
            if (isSilent) {
                ++silentRequests_;
            } else {
                monitor_.onEnded();
            }
            // One request in four needs a new connection; all do when open ones are reset.
            if (connections == Connections::AllRefused || downCount > 0 || random_.below(4) == 0) {
                connect(target, connections, downCount);
            }
        }
        const bool isAnswered = connections == Connections::Work || connections == Connections::NewRefused;
        if (isAnswered) {
            for (; silentRequests_ > 0; --silentRequests_) {
                monitor_.onEnded();
            }
            monitor_.onReceived(now_);
        }
        auto ended = std::stable_partition(
            attempts_.begin(), attempts_.end(), [&](const Attempt &attempt) { return attempt.endsAt > now_; });
        for (auto attempt = ended; attempt != attempts_.end(); ++attempt) {
            if (attempt->succeeds) {
                monitor_.onConnected(attempt->target);
            } else {
                monitor_.onConnectFailed(attempt->target, now_);
            }
        }
        attempts_.erase(ended, attempts_.end());
        if (monitor_.update(directory_, now_)) {
            changedAt_ = now_;
            verdicts_ += isUnreachable() ? 1 : 0;
        }
        for (const auto &target : monitor_.takeDueProbes(
                 directory_, { service }, [](const auto &) { return true; }, now_)) {
            ++probes_;
            connect(target, connections, downCount);
        }
    }

    std::size_t count_;
    Duration interval_;
    routing::EndpointDirectory directory_ { 2s };
    ReachabilityMonitor monitor_ { 7 };
    Random random_ { 11 };
    Time now_ = start;
    Time nextRequestAt_ = start;
    Time changedAt_ = start;
    std::vector<Attempt> attempts_;
    std::size_t silentRequests_ = 0;
    std::size_t probes_ = 0;
    std::size_t verdicts_ = 0;
};

struct CutCase {
    char name[40];
    Connections connections;
    std::size_t endpoints;
    double requestsPerSecond;
};

CutCase cutCases[] = {
    { "refused", Connections::AllRefused, 9, 10 },
    { "refused, many endpoints", Connections::AllRefused, 600, 10 },
    { "refused, one endpoint", Connections::AllRefused, 1, 10 },
    { "refused, two endpoints", Connections::AllRefused, 2, 10 },
    { "refused, few requests", Connections::AllRefused, 9, 2 },
    { "new ones refused", Connections::NewRefused, 9, 20 },
    { "hang", Connections::AllHang, 9, 10 },
    { "hang, many endpoints", Connections::AllHang, 600, 10 },
    { "hang, one endpoint", Connections::AllHang, 1, 10 },
    { "hang, few requests", Connections::AllHang, 9, 2 },
};

} // namespace

/** The users' bound for serving callers again is 3 s after the cut. */
ParameterizedTestParameters(reachabilityMonitor, cutIsNoticedAndSoIsItsEnd)
{
    return cr_make_param_array(CutCase, cutCases, std::size(cutCases));
}

ParameterizedTest(CutCase *test, reachabilityMonitor, cutIsNoticedAndSoIsItsEnd)
{
    Replay replay(test->endpoints, test->requestsPerSecond);
    replay.run(5s, Connections::Work);
    cr_assert_not(replay.isUnreachable(), "%s", test->name);
    const Time cutAt = replay.now();
    replay.run(10s, test->connections);
    cr_assert(replay.isUnreachable(), "%s", test->name);
    cr_assert_eq(replay.verdictCount(), 1U, "%s: %zu verdicts", test->name, replay.verdictCount());
    cr_assert_leq(toMilliseconds(replay.changedAfter(cutAt)), 3'000, "%s", test->name);
    const std::size_t probes = replay.probeCount();
    cr_assert_leq(probes, 120U, "%s: %zu probes in 10 s", test->name, probes);
    const Time healedAt = replay.now();
    replay.run(3s, Connections::Work);
    cr_assert_not(replay.isUnreachable(), "%s", test->name);
    cr_assert_leq(toMilliseconds(replay.changedAfter(healedAt)), 1'000, "%s", test->name);
}

namespace
{

struct CalmCase {
    char name[40];
    Connections connections;
    Duration time;
    double downShare;
};

CalmCase calmCases[] = {
    { "nothing happens", Connections::Work, 60s, 0 },
    { "a second of silence", Connections::Silent, 1s, 0 },
    { "silence for a minute", Connections::Silent, 60s, 0 },
    { "one endpoint in nine crashes", Connections::Work, 10s, 0.11 },
    { "a third of the endpoints crashes", Connections::Work, 10s, 0.34 },
    { "all but three are out of reach", Connections::Work, 10s, 0.67 },
};

} // namespace

/** Endpoints that crash or fall silent are no reason to call a service unreachable. */
ParameterizedTestParameters(reachabilityMonitor, troubleOfEndpointsIsNoCut)
{
    return cr_make_param_array(CalmCase, calmCases, std::size(calmCases));
}

ParameterizedTest(CalmCase *test, reachabilityMonitor, troubleOfEndpointsIsNoCut)
{
    Replay replay(9, 20);
    replay.run(2s, Connections::Work);
    replay.run(test->time, test->connections, test->downShare);
    cr_assert_eq(replay.verdictCount(), 0U, "%s", test->name);
    if (test->downShare == 0) {
        cr_assert_leq(double(replay.probeCount()), toSeconds(test->time) + 1, "%s", test->name);
    }
}

/** All endpoints of a service are down: it is unreachable from every VM, until one of several is back. */
Test(reachabilityMonitor, serviceWhoseEndpointsAreDownIsUnreachable)
{
    Replay replay(9, 20);
    replay.run(2s, Connections::Work);
    replay.run(3s, Connections::Work, 1);
    cr_assert(replay.isUnreachable());
    replay.run(2s, Connections::Work, 0.34);
    cr_assert_not(replay.isUnreachable());
}
