#include <dispatch/dispatch.h>

#include <algorithm>
#include <cmath>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::dispatch;

namespace
{

constexpr Time start { 100s };
const routing::EndpointLifetime endpoint { EndpointId("e"), Incarnation(1) };

/** Sends requests whenever the limit allows one. @return their number */
std::size_t sendAll(SharedRateLimits &limits, Time from, Duration time)
{
    std::size_t sent = 0;
    for (Time now = from; now < from + time; now += 10ms) {
        if (!limits.blockedUntil(endpoint, now)) {
            limits.recordSend(endpoint, now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

struct RateCase {
    double perSecond;
    std::size_t minSent; ///< in 20 s
    std::size_t maxSent;
};

RateCase rateCases[] = {
    { 1, 19, 22 },   { 1.3, 24, 28 }, { 0.2, 3, 6 },
    { 7, 135, 146 }, { 0, 1, 3 }, // a request now and then shows whether the limit has ended
};

ParameterizedTestParameters(sharedRateLimits, oneVmUsesTheLimit)
{
    return cr_make_param_array(RateCase, rateCases, std::size(rateCases));
}

ParameterizedTest(RateCase *test, sharedRateLimits, oneVmUsesTheLimit)
{
    SharedRateLimits limits;
    cr_assert_not(limits.blockedUntil(endpoint, start).has_value());
    cr_assert(limits.recordAnswer(endpoint, test->perSecond, start - 50ms, start));
    cr_assert(limits.blockedUntil(endpoint, start).has_value());
    const std::size_t sent = sendAll(limits, start, 20s);
    cr_assert(sent >= test->minSent && sent <= test->maxSent, "%g a second: %zu", test->perSecond, sent);
}

struct EndCase {
    char name[64];
    int sentMs; ///< when the request was sent whose answer names no limit, relative to the last that named one
    bool hasEnded;
};

EndCase endCases[] = {
    { "answer to a request sent after the limit was named", 10, true },
    { "answer that was overtaken by one that named the limit", -10, false },
};

ParameterizedTestParameters(sharedRateLimits, onlyALaterRequestShowsThatALimitHasEnded)
{
    return cr_make_param_array(EndCase, endCases, std::size(endCases));
}

ParameterizedTest(EndCase *test, sharedRateLimits, onlyALaterRequestShowsThatALimitHasEnded)
{
    SharedRateLimits limits;
    SharedRateLimits other;
    limits.recordAnswer(endpoint, 1, start - 50ms, start);
    other.merge(VmId("a"), Incarnation(1), limits.uses().front(), start + 5ms);
    cr_assert_eq(other.limit(endpoint).value_or(0), 1);
    const auto stale = limits.uses().front();
    const Time sentAt = start + std::chrono::milliseconds(test->sentMs);
    cr_assert_eq(limits.recordAnswer(endpoint, std::nullopt, sentAt, start + 60ms), test->hasEnded, "%s", test->name);
    cr_assert_eq(limits.blockedUntil(endpoint, start + 60ms).has_value(), !test->hasEnded, "%s", test->name);
    if (test->hasEnded) {
        cr_assert(other.merge(VmId("a"), Incarnation(1), limits.uses().front(), start + 65ms));
        cr_assert_not(other.merge(VmId("b"), Incarnation(1), stale, start + 70ms), "an older report brought it back");
        cr_assert_not(other.limit(endpoint).has_value());
    }
}

Test(sharedRateLimits, aChangedLimitHoldsFromThenOn)
{
    SharedRateLimits limits;
    limits.recordAnswer(endpoint, 10, start, start);
    sendAll(limits, start, 5s);
    cr_assert(limits.recordAnswer(endpoint, 1, start + 4s, start + 5s));
    cr_assert_not(limits.recordAnswer(endpoint, 1, start + 5s, start + 6s), "nothing has changed");
    cr_assert_leq(sendAll(limits, start + 5s, 10s), 12U);
}

Test(sharedRateLimits, lifetimeThatEndsTakesItsLimitWithIt)
{
    SharedRateLimits limits;
    limits.recordAnswer(endpoint, 1, start, start);
    routing::EndpointDirectory directory(2s);
    routing::EndpointEntry entry;
    entry.id = endpoint.endpoint;
    entry.incarnation = Incarnation(2);
    directory.update(entry, start);
    cr_assert_not(limits.limit(entry.lifetime()).has_value());
    limits.expire(directory, start + 1s);
    cr_assert(limits.uses().empty());
}

Test(sharedRateLimits, manyLimitsAreDividedAmongTheVms)
{
    constexpr std::size_t vms = 10;
    constexpr std::uint64_t endpoints = 40;
    SharedRateLimits limits;
    limits.setVmCounts(vms, vms, start);
    for (std::uint64_t number = 0; number < endpoints; ++number) {
        limits.recordAnswer({ EndpointId(std::to_string(number)), Incarnation(1) }, 2, start, start);
    }
    std::size_t sent = 0;
    for (Time now = start; now < start + 21s; now += 10ms) { // a token every 5 s
        for (std::uint64_t number = 0; number < endpoints; ++number) {
            const routing::EndpointLifetime each { EndpointId(std::to_string(number)), Incarnation(1) };
            if (!limits.blockedUntil(each, now)) {
                cr_assert_not(limits.recordSend(each, now), "reported to all VMs");
                ++sent;
            }
        }
    }
    const double expected = 2.0 / vms * endpoints * 20;
    cr_assert_float_eq(double(sent), expected, expected * 0.1, "%zu", sent);
}

// ---------------------------------------------------------------------------------------------------------------------
// Replay of a fleet

namespace
{

struct FleetCase {
    char name[56];
    std::size_t vms;
    double perSecond;
    double demand; ///< requests a second of all callers for which this endpoint is the best choice
    bool isSkewed; ///< nine in ten come at one VM
    double lossRate; ///< of messages
    int cutMs; ///< from when on the VMs are in two halves that don't hear each other; 0: never
    double minUse; ///< share of the limit that has to be used
};

FleetCase fleetCases[] = {
    { "8 vms", 8, 1, 30, false, 0, 0, 0.8 },
    { "8 vms, fraction", 8, 1.3, 30, false, 0, 0, 0.8 },
    { "8 vms, a tenth of the messages lost", 8, 1, 30, false, 0.1, 0, 0.8 },
    { "8 vms, demand at one", 8, 2, 30, true, 0.1, 0, 0.8 },
    { "8 vms, little demand", 8, 5, 3, false, 0, 0, 0 },
    { "8 vms, cut in halves", 8, 2, 30, false, 0, 8'000, 0 },
    { "73 vms, a tenth lost", 73, 4, 100, false, 0.1, 0, 0.8 },
    { "370 vms, far below one for each", 370, 0.2, 50, false, 0.1, 0, 0.8 },
    { "370 vms, a tenth lost", 370, 5, 200, false, 0.1, 0, 0.8 },
    { "8 vms, limit above what is reported", 8, 400, 2'000, false, 0, 0, 0.8 },
};

/** The sends of a fleet to one endpoint, and the reports between its VMs. */
class FleetReplay
{
public:
    FleetReplay(const FleetCase &test, std::uint64_t seed)
        : test_(test)
        , random_(seed)
        , limits_(test.vms)
        , reportedAt_(test.vms)
        , isReportDue_(test.vms)
    {
        for (auto &limits : limits_) {
            limits.setVmCounts(test.vms, test.vms, start);
        }
    }

    void run(Duration length)
    {
        limits_.front().recordAnswer(endpoint, test_.perSecond, start, start);
        isReportDue_.front() = true;
        double due = 0;
        for (Time now = start; now < start + length; now += step) {
            deliver(now);
            for (due += test_.demand * toSeconds(step); due >= 1; due -= 1) {
                send(now);
            }
            const bool isHeartbeat = (now - start) % 1s == Duration::zero();
            for (std::size_t vm = 0; vm < test_.vms; ++vm) {
                if (isHeartbeat || (isReportDue_[vm] && now - reportedAt_[vm] >= minReportInterval)) {
                    report(vm, now);
                }
                if (isHeartbeat && isCut(now)) {
                    limits_[vm].setVmCounts(test_.vms / 2, test_.vms, now);
                }
            }
        }
    }

    /** Returns the largest number of arrivals in some 4 s, from 3 s after the limit was first named. */
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
            if (*first >= start + 3s) {
                const auto last = std::lower_bound(first, arrivals_.end(), *first + 4s);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }
    std::size_t arrivalCount() const
    {
        return arrivals_.size();
    }

    std::size_t messages = 0;

private:
    static constexpr Duration step = 5ms;
    static constexpr Duration minReportInterval = 20ms;

    struct Message {
        Time at;
        std::size_t from;
        std::size_t to;
        RateLimitUse use;
    };

    bool isCut(Time now) const
    {
        return test_.cutMs > 0 && now >= start + std::chrono::milliseconds(test_.cutMs);
    }

    void send(Time now)
    {
        const bool isAtFirst = test_.isSkewed && random_.below(10) > 0;
        const std::size_t vm = isAtFirst ? 0 : random_.below(test_.vms);
        if (limits_[vm].blockedUntil(endpoint, now)) {
            return;
        }
        arrivals_.push_back(now);
        isReportDue_[vm] = limits_[vm].recordSend(endpoint, now) || isReportDue_[vm];
    }

    void report(std::size_t from, Time now)
    {
        isReportDue_[from] = false;
        reportedAt_[from] = now;
        for (const auto &use : limits_[from].uses()) {
            for (std::size_t to = 0; to < test_.vms; ++to) {
                const bool isBlocked = isCut(now) && from % 2 != to % 2;
                if (to != from && !isBlocked && random_.unit() >= test_.lossRate) {
                    messages_.push_back({ now + step, from, to, use });
                    ++messages;
                }
            }
        }
    }

    void deliver(Time now)
    {
        for (const auto &message : std::exchange(messages_, {})) {
            if (message.at > now) {
                messages_.push_back(message);
                continue;
            }
            limits_[message.to].merge(VmId(std::to_string(message.from)), Incarnation(1), message.use, now);
        }
    }

    const FleetCase &test_;
    Random random_;
    std::vector<SharedRateLimits> limits_;
    std::vector<Time> reportedAt_;
    std::vector<bool> isReportDue_;
    std::vector<Message> messages_;
    std::vector<Time> arrivals_;
};

} // namespace

ParameterizedTestParameters(sharedRateLimits, fleetKeepsAndUsesTheLimit)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

ParameterizedTest(FleetCase *test, sharedRateLimits, fleetKeepsAndUsesTheLimit)
{
    constexpr Duration length = 30s;
    constexpr double tolerance = 1.5;
    constexpr double burst = 5;
    const std::uint64_t seeds = test->vms > 8 ? 3 : 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetReplay replay(*test, seed);
        replay.run(length);
        const auto shown = static_cast<unsigned long long>(seed);
        cr_assert_leq(double(replay.mostInWindow()),
                      tolerance * 4 * test->perSecond + burst,
                      "%s, seed %llu: %zu in 4 s",
                      test->name,
                      shown,
                      replay.mostInWindow());
        cr_assert_geq(double(replay.arrivalCount()),
                      test->minUse * test->perSecond * toSeconds(length) - 1,
                      "%s, seed %llu: %zu sent",
                      test->name,
                      shown,
                      replay.arrivalCount());
        if (seed == 1) {
            cr_log_info("%s: %zu sent, at most %zu in 4 s, %zu messages",
                        test->name,
                        replay.arrivalCount(),
                        replay.mostInWindow(),
                        replay.messages);
        }
    }
}
