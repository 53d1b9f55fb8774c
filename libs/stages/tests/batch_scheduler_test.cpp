#include <stages/stages.h>

#include <set>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

constexpr Time start { 100s };

routing::BatchConfig traits()
{
    routing::BatchConfig result;
    result.maxPiecesPerCall = 4;
    result.callOverhead = 200ms;
    result.timePerPiece = 10ms;
    result.resultCapacity = Bytes(1000);
    result.resultTtl = 4s;
    return result;
}

struct Fixture {
    Fixture(std::size_t endpoints, routing::BatchConfig batch = traits())
        : scheduler(batch)
    {
        std::vector<BatchEndpoint> list;
        for (std::size_t index = 0; index < endpoints; ++index) {
            list.push_back({ EndpointId("e" + std::to_string(index)), AvailabilityZoneId(index % 2 == 0 ? "a" : "b") });
        }
        scheduler.setEndpoints(list);
    }

    PieceTicket add(
        Duration due = 1s, Duration limit = 5s, double value = 1, std::uint64_t bytes = 1, const char *zone = "")
    {
        PieceTask task;
        task.ticket = PieceTicket(++lastTicket);
        task.dueTime = now + due;
        task.deadline = now + limit;
        task.valuePerPiece = value;
        task.resultBytes = Bytes(bytes);
        task.preferredZone = AvailabilityZoneId(zone);
        scheduler.add(task);
        return task.ticket;
    }

    BatchScheduler scheduler;
    Time now = start;
    std::uint64_t lastTicket = 0;
};

} // namespace

Test(batchScheduler, idleEndpointStartsAtOnceAndLaterPiecesAreBatched)
{
    Fixture f(1);
    f.add();
    auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].pieces.size(), 1U);
    f.add();
    f.add();
    f.add();
    cr_assert(f.scheduler.takeCalls(f.now).empty(), "a second call to a busy endpoint");
    f.scheduler.recordCallEnd(calls[0].endpoint, CallOutcome::Answered, 1, f.now + 210ms);
    calls = f.scheduler.takeCalls(f.now + 210ms);
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].pieces.size(), 3U);
}

Test(batchScheduler, callsDontExceedMaxPieces)
{
    Fixture f(2);
    for (int piece = 0; piece < 10; ++piece) {
        f.add();
    }
    const auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.size(), 2U);
    cr_assert_eq(calls[0].pieces.size(), 4U);
    cr_assert_eq(calls[1].pieces.size(), 4U);
    cr_assert_eq(f.scheduler.waitingCount(), 2U);
}

Test(batchScheduler, suspectPiecesOfDifferentRequestsAreNotInOneCall)
{
    Fixture f(3);
    const auto add = [&](const char *request, bool isSuspect) {
        PieceTask task;
        task.ticket = PieceTicket(++f.lastTicket);
        task.request = RequestId(request);
        task.dueTime = f.now + 1s;
        task.deadline = f.now + 5s;
        task.isSuspect = isSuspect;
        f.scheduler.add(task);
    };
    for (const auto *request : { "a", "b", "c", "d" }) {
        add(request, true);
        add(request, true);
        add("other", false);
    }
    const auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.size(), 3U);
    std::size_t pieces = 0;
    for (const auto &call : calls) {
        std::set<std::string> suspects;
        for (const auto &piece : call.pieces) {
            if (piece.isSuspect) {
                suspects.insert(piece.request.text());
            }
        }
        cr_assert_eq(suspects.size(), 1U, "%zu", suspects.size());
        pieces += call.pieces.size();
    }
    cr_assert_eq(pieces, 10U, "pieces that are not suspect share the calls");
    cr_assert_eq(f.scheduler.waitingCount(), 2U, "the fourth suspect waits for the next free endpoint");
}

Test(batchScheduler, sortsByDueTimeAndLatePiecesByValue)
{
    Fixture f(1);
    const auto late = f.add(100ms, 5s, 1);
    const auto lateValuable = f.add(100ms, 5s, 9);
    const auto relaxed = f.add(3s);
    const auto urgent = f.add(1s);
    const auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.size(), 1U);
    const auto &pieces = calls[0].pieces;
    cr_assert_eq(pieces.size(), 4U);
    cr_assert_eq(pieces[0].ticket, urgent);
    cr_assert_eq(pieces[1].ticket, relaxed);
    cr_assert_eq(pieces[2].ticket, lateValuable);
    cr_assert_eq(pieces[3].ticket, late);
}

Test(batchScheduler, piecesThatCannotMeetTheirDeadlineExpire)
{
    Fixture f(0);
    const auto ticket = f.add(100ms, 500ms);
    f.add(100ms, 5s);
    cr_assert(f.scheduler.takeExpired(f.now + 200ms).empty());
    const auto expired = f.scheduler.takeExpired(f.now + 300ms);
    cr_assert_eq(expired.size(), 1U);
    cr_assert_eq(expired[0].ticket, ticket);
    cr_assert_eq(f.scheduler.waitingCount(), 1U);
}

Test(batchScheduler, cancelledPieceIsNotSent)
{
    Fixture f(1);
    const auto ticket = f.add();
    cr_assert(f.scheduler.cancel(ticket));
    cr_assert_not(f.scheduler.cancel(ticket));
    cr_assert(f.scheduler.takeCalls(f.now).empty());
}

Test(batchScheduler, resultsFitIntoEndpointMemory)
{
    Fixture f(1);
    for (int piece = 0; piece < 4; ++piece) {
        f.add(1s, 5s, 1, 400);
    }
    auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].pieces.size(), 2U, "a third result would not fit");
    f.scheduler.recordCallEnd(calls[0].endpoint, CallOutcome::Answered, 2, f.now);
    f.scheduler.recordResult(calls[0].endpoint, ResultHandle("r0"), Bytes(400), f.now);
    f.scheduler.recordResult(calls[0].endpoint, ResultHandle("r1"), Bytes(400), f.now);
    cr_assert(f.scheduler.takeCalls(f.now + 50ms).empty());
    cr_assert_eq(f.scheduler.releaseResult(ResultHandle("r0")), EndpointId("e0"));
    calls = f.scheduler.takeCalls(f.now + 100ms);
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].pieces.size(), 1U);
    f.scheduler.recordCallEnd(calls[0].endpoint, CallOutcome::Answered, 0, f.now + 300ms);
    cr_assert_eq(f.scheduler.takeCalls(f.now + 4s).size(), 1U, "stored results expire");
}

/** Results of a failed VM use memory that this scheduler does not know about. */
Test(batchScheduler, missingMemoryCountsAsUsedTemporarily)
{
    Fixture f(1);
    for (int piece = 0; piece < 4; ++piece) {
        f.add(1s, 5s, 1, 300);
    }
    auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.at(0).pieces.size(), 3U);
    f.scheduler.recordCallEnd(EndpointId("e0"), CallOutcome::Answered, 0, f.now);
    for (int piece = 0; piece < 2; ++piece) {
        f.scheduler.recordOutOfMemory(EndpointId("e0"), Bytes(300), f.now);
    }
    for (int piece = 0; piece < 3; ++piece) {
        f.add(1s, 5s, 1, 300);
    }
    calls = f.scheduler.takeCalls(f.now + 10ms);
    cr_assert_eq(calls.at(0).pieces.size(), 1U);
    f.scheduler.recordCallEnd(EndpointId("e0"), CallOutcome::Answered, 0, f.now + 600ms);
    cr_assert_eq(f.scheduler.takeCalls(f.now + 600ms).at(0).pieces.size(), 3U);
}

Test(batchScheduler, prefersEndpointsInThePreferredZone)
{
    Fixture f(4);
    f.add(1s, 5s, 1, 1, "b");
    const auto calls = f.scheduler.takeCalls(f.now);
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].endpoint, EndpointId("e1"));
}

/** A piece with large inputs waits for its preferred zone if its due time allows, and otherwise uses another zone. */
Test(batchScheduler, piecesWithLargeInputsWaitForTheirZone)
{
    for (const bool isUrgent : { false, true }) {
        Fixture f(2);
        PieceTask first;
        first.ticket = PieceTicket(1);
        first.dueTime = first.deadline = f.now + 5s;
        first.preferredZone = AvailabilityZoneId("a");
        f.scheduler.add(first);
        const auto firstCalls = f.scheduler.takeCalls(f.now);
        cr_assert_eq(firstCalls.at(0).endpoint, EndpointId("e0"));
        PieceTask large;
        large.ticket = PieceTicket(2);
        large.dueTime = f.now + (isUrgent ? 300ms : 900ms);
        large.deadline = f.now + 5s;
        large.preferredZone = AvailabilityZoneId("a");
        large.crossZoneBytes = Bytes(2'000'000);
        f.scheduler.add(large);
        const auto calls = f.scheduler.takeCalls(f.now);
        cr_assert_eq(calls.size(), isUrgent ? 1U : 0U);
        if (isUrgent) {
            cr_assert_eq(calls[0].endpoint, EndpointId("e1"));
            continue;
        }
        f.scheduler.recordCallEnd(EndpointId("e0"), CallOutcome::Answered, 1, f.now + 210ms);
        const auto localCalls = f.scheduler.takeCalls(f.now + 210ms);
        cr_assert_eq(localCalls.size(), 1U);
        cr_assert_eq(localCalls[0].endpoint, EndpointId("e0"));
    }
}

Test(batchScheduler, rejectedCallBacksOffTheEndpoint)
{
    Fixture f(1);
    f.add();
    const auto calls = f.scheduler.takeCalls(f.now);
    f.scheduler.recordCallEnd(calls[0].endpoint, CallOutcome::Rejected, 0, f.now);
    f.add();
    cr_assert(f.scheduler.takeCalls(f.now).empty());
    cr_assert_eq(f.scheduler.takeCalls(f.now + 100ms).size(), 1U);
}

/** Backing off leaves capacity to another VM that uses the same endpoint, for example across a network partition. */
Test(batchScheduler, repeatedRejectionsIncreaseTheBackoff)
{
    Fixture f(1);
    int attempts = 0;
    for (; f.now < start + 3s; f.now += 20ms) {
        f.add();
        for (const auto &call : f.scheduler.takeCalls(f.now)) {
            ++attempts;
            f.scheduler.recordCallEnd(call.endpoint, CallOutcome::Rejected, 0, f.now);
        }
    }
    cr_assert_leq(attempts, 13); // after 40, 80 and 160 ms, then every 320 ms
    const auto accepted = f.scheduler.takeCalls(f.now + 400ms);
    cr_assert_eq(accepted.size(), 1U);
    f.scheduler.recordCallEnd(accepted[0].endpoint, CallOutcome::Answered, 4, f.now + 600ms);
    f.scheduler.recordCallEnd(
        f.scheduler.takeCalls(f.now + 600ms).at(0).endpoint, CallOutcome::Rejected, 0, f.now + 600ms);
    cr_assert_eq(f.scheduler.takeCalls(f.now + 640ms).size(), 1U, "an answered call resets the backoff");
}

struct RemovalCase {
    bool isRemoved;
    int elapsedMs; ///< since the removal was noticed
    bool timesOut;
};

RemovalCase removalCases[] = { { true, 1100, false }, { true, 1200, true }, { false, 5000, false } };

ParameterizedTestParameters(batchScheduler, callsAtRemovedEndpointsTimeOut)
{
    return cr_make_param_array(RemovalCase, removalCases, std::size(removalCases));
}

ParameterizedTest(RemovalCase *test, batchScheduler, callsAtRemovedEndpointsTimeOut)
{
    Fixture f(1);
    f.scheduler.setDrainTimeout(1200ms);
    f.add();
    cr_assert_eq(f.scheduler.takeCalls(f.now).size(), 1U);
    if (test->isRemoved) {
        f.scheduler.setEndpoints({});
    }
    cr_assert(f.scheduler.takeDrainTimedOutEndpoints(f.now).empty());
    cr_assert_eq(f.scheduler.nextWakeupTime(f.now).has_value(), test->isRemoved);
    f.now += std::chrono::milliseconds(test->elapsedMs);
    const auto timedOut = f.scheduler.takeDrainTimedOutEndpoints(f.now);
    cr_assert_eq(timedOut.size(), test->timesOut ? 1U : 0U);
    cr_assert(f.scheduler.takeDrainTimedOutEndpoints(f.now).empty(), "reported once");
    if (test->timesOut) {
        cr_assert_eq(timedOut[0], EndpointId("e0"));
        f.scheduler.recordCallEnd(timedOut[0], CallOutcome::Lost, 0, f.now);
        cr_assert_eq(f.scheduler.endpointCount(), 0U);
        cr_assert_not(f.scheduler.nextWakeupTime(f.now).has_value());
    }
}

Test(batchScheduler, removedEndpointGetsNoCall)
{
    Fixture f(2);
    f.add();
    const auto calls = f.scheduler.takeCalls(f.now);
    f.scheduler.setEndpoints({ { EndpointId("e1"), AvailabilityZoneId("b") } });
    f.scheduler.recordCallEnd(calls[0].endpoint, CallOutcome::Answered, 1, f.now + 200ms);
    f.add();
    const auto next = f.scheduler.takeCalls(f.now + 200ms);
    cr_assert_eq(next.size(), 1U);
    cr_assert_eq(next[0].endpoint, EndpointId("e1"));
}

/**
 * Many small requests with a large fixed cost per call. Pieces arrive at 1.5 times the capacity of calls with one
 * piece, and at 60% of the capacity of full calls.
 */
Test(batchScheduler, batchesGrowUnderLoad)
{
    routing::BatchConfig batch = traits();
    batch.maxPiecesPerCall = 14;
    batch.timePerPiece = 12ms;
    batch.resultCapacity = Bytes(0);
    Fixture f(5, batch);
    Random random(3);
    std::map<EndpointId, std::pair<Time, BatchCall>> running;
    std::size_t completed = 0;
    std::size_t late = 0;
    std::size_t calls = 0;
    Time nextArrival = start;
    const Time end = start + 20s;
    while (f.now < end) {
        while (nextArrival <= f.now) {
            f.add(700ms, 3s);
            nextArrival += fromSeconds(random.exponential(1.0 / 114));
        }
        std::erase_if(running, [&](auto &item) {
            if (item.second.first > f.now) {
                return false;
            }
            completed += item.second.second.pieces.size();
            for (const auto &piece : item.second.second.pieces) {
                late += piece.dueTime < f.now ? 1 : 0;
            }
            f.scheduler.recordCallEnd(item.first, CallOutcome::Answered, item.second.second.pieces.size(), f.now);
            return true;
        });
        f.scheduler.takeExpired(f.now);
        for (auto &call : f.scheduler.takeCalls(f.now)) {
            ++calls;
            const EndpointId endpoint = call.endpoint;
            running[endpoint] = { f.now + call.expectedDuration, std::move(call) };
        }
        f.now += 1ms;
    }
    cr_assert_gt(completed, 2150U, "completed %zu", completed);
    cr_assert_lt(double(late) / double(completed), 0.01, "late %zu of %zu", late, completed);
    cr_assert_gt(double(completed) / double(calls), 4.0, "%zu pieces in %zu calls", completed, calls);
}

/** One endpoint takes five times as long. The others take over its load until probe calls detect its recovery. */
Test(batchScheduler, slowEndpointGetsFewPiecesUntilItRecovers)
{
    Fixture f(3);
    Random random(5);
    std::map<EndpointId, std::pair<Time, std::size_t>> running;
    std::map<EndpointId, std::size_t> slowPhase;
    std::map<EndpointId, std::size_t> lastPhase;
    Time nextArrival = start;
    while (f.now < start + 30s) {
        const bool isSlow = f.now < start + 15s;
        while (nextArrival <= f.now) {
            f.add(700ms, 3s);
            nextArrival += fromSeconds(random.exponential(1.0 / 18));
        }
        std::erase_if(running, [&](auto &item) {
            if (item.second.first > f.now) {
                return false;
            }
            f.scheduler.recordCallEnd(item.first, CallOutcome::Answered, item.second.second, f.now);
            return true;
        });
        f.scheduler.takeExpired(f.now);
        for (auto &call : f.scheduler.takeCalls(f.now)) {
            const Duration nominal = 200ms + 10ms * std::int64_t(call.pieces.size());
            const bool isSlowEndpoint = isSlow && call.endpoint == EndpointId("e0");
            running[call.endpoint] = { f.now + (isSlowEndpoint ? nominal * 5 : nominal), call.pieces.size() };
            if (f.now > start + 5s && isSlow) {
                slowPhase[call.endpoint] += call.pieces.size();
            } else if (f.now > start + 22s) {
                lastPhase[call.endpoint] += call.pieces.size();
            }
        }
        f.now += 1ms;
    }
    cr_assert_lt(slowPhase[EndpointId("e0")] * 5, slowPhase[EndpointId("e1")]);
    cr_assert_gt(lastPhase[EndpointId("e0")] * 3, lastPhase[EndpointId("e1")]);
}

Test(batchScheduler, slowEndpointTakesCallsWhileTheFastOneIsBackedOff)
{
    Fixture f(2);
    for (int call = 0; call < 20; ++call) {
        f.scheduler.backOff(EndpointId("e1"), f.now + 10s);
        f.add();
        const auto calls = f.scheduler.takeCalls(f.now);
        cr_assert_eq(calls.size(), 1U, "call %d", call);
        cr_assert_eq(calls[0].endpoint, EndpointId("e0"));
        f.now += 2s; // ten times what a call takes
        f.scheduler.recordCallEnd(calls[0].endpoint, CallOutcome::Answered, 1, f.now);
        const std::size_t counts[] = { 1 };
        cr_assert(f.scheduler.estimateStartTimes(counts, f.now).front() == f.now, "call %d", call);
    }
}

Test(batchScheduler, piecesThatNoEndpointTakesInTimeExpireAtOnce)
{
    Fixture f(2);
    f.add(1s, 5s);
    f.scheduler.backOff(EndpointId("e0"), f.now + 60s);
    f.scheduler.backOff(EndpointId("e1"), f.now + 4s);
    cr_assert(f.scheduler.timeUntilUsable(f.now) == 4s);
    cr_assert(f.scheduler.takeExpired(f.now).empty());
    f.scheduler.backOff(EndpointId("e1"), f.now + 60s);
    cr_assert_eq(f.scheduler.takeExpired(f.now).size(), 1U);
    f.scheduler.setEndpoints({});
    cr_assert(f.scheduler.timeUntilUsable(f.now) == Duration::max());
}

namespace
{

struct UnreachableCase {
    char name[32];
    bool isOneReached; ///< else all endpoints refuse connections
    bool isGivenUp; ///< within the time limit of this test
};

UnreachableCase unreachableCases[] = { { "all refuse connections", false, true }, { "one takes calls", true, false } };

} // namespace

ParameterizedTestParameters(batchScheduler, piecesAreGivenUpWhenNoEndpointIsReached)
{
    return cr_make_param_array(UnreachableCase, unreachableCases, std::size(unreachableCases));
}

ParameterizedTest(UnreachableCase *test, batchScheduler, piecesAreGivenUpWhenNoEndpointIsReached)
{
    constexpr Duration backoff = 700ms;
    Fixture f(2);
    f.add(1s, 15s);
    std::size_t expired = 0;
    for (const Time end = f.now + 2s; f.now < end; f.now += 5ms) {
        expired += f.scheduler.takeExpired(f.now).size();
        for (auto &call : f.scheduler.takeCalls(f.now)) {
            if (test->isOneReached && call.endpoint == EndpointId("e1")) {
                f.scheduler.recordCallEnd(call.endpoint, CallOutcome::Rejected, 0, f.now);
            } else {
                f.scheduler.recordCallEnd(call.endpoint, CallOutcome::Lost, 0, f.now);
                f.scheduler.recordUnreachable(call.endpoint, f.now + backoff, f.now);
            }
            for (auto &piece : call.pieces) {
                f.scheduler.add(std::move(piece));
            }
        }
    }
    cr_assert_eq(expired, test->isGivenUp ? 1U : 0U, "%s: %zu", test->name, expired);
}
