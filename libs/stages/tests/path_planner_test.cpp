#include <stages/stages.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

using routing::ServiceId;

constexpr Time start { 100s };
constexpr Duration target = 1000ms;
constexpr Duration afterStages = 200ms;
const ServiceId first("x");
const ServiceId second("y");

/** Calls of 10 pieces take 200 ms. */
routing::BatchTraits traits()
{
    routing::BatchTraits result;
    result.piecesPerCall = 10;
    result.callTime = 100ms;
    result.pieceTime = 10ms;
    return result;
}

/** Two services of one cell, whose endpoints can be made to work. */
struct Cell {
    explicit Cell(std::size_t endpoints = 2)
    {
        for (const auto &service : { first, second }) {
            std::vector<BatchEndpoint> list;
            for (std::size_t index = 0; index < endpoints; ++index) {
                list.push_back({ EndpointId(service.text() + std::to_string(index)), AvailabilityZoneId("a") });
            }
            scheduler(service).setEndpoints(list);
            planner.setScheduler(service, &scheduler(service));
        }
    }

    BatchScheduler &scheduler(const ServiceId &service)
    {
        return schedulers.try_emplace(service, traits()).first->second;
    }

    void addPieces(const ServiceId &service, const std::string &request, std::uint32_t count, Time due)
    {
        for (std::uint32_t piece = 0; piece < count; ++piece) {
            PieceTask order;
            order.ticket = PieceTicket(++lastTicket);
            order.request = RequestId(request);
            order.service = service;
            order.index = { service == first ? 0U : 1U, piece };
            order.dueTime = due;
            order.deadline = due + 5s;
            scheduler(service).add(order);
        }
    }

    AdmissionController planner;
    std::map<ServiceId, BatchScheduler> schedulers;
    std::uint64_t lastTicket = 0;
};

/** A chain of two stages. */
AdmissionRequest chain(const std::string &id, Time now = start, std::uint32_t pieces = 1)
{
    AdmissionRequest request;
    request.id = RequestId(id);
    request.receivedAt = now;
    request.targetLatency = target;
    request.timeAfterStages = afterStages;
    request.urgencyRank = 1;
    request.demands = { { first, pieces, now + 500ms, {} }, { second, pieces, now + 800ms, { 0 } } };
    return request;
}

AdmissionRequest single(const ServiceId &service, const std::string &id, Time due, std::uint32_t pieces)
{
    AdmissionRequest request = chain(id);
    request.demands = { { service, pieces, due, {} } };
    return request;
}

struct DecideCase {
    std::uint32_t waiting; ///< at each stage, all due before
    int elapsedMs;
    int rank;
    double worth;
    bool returning;
    bool admitted;
};

// 2 endpoints start 20 pieces every 200 ms; both stages wait together, then two calls follow: 400, 600 and 800 ms with
// up to 19, 39 and 59 pieces before. 80 ms are kept for errors and 200 ms for what follows, of the target of 1000 ms.
DecideCase decideCases[] = {
    { 0, 0, 9, 0.05, false, true },    { 0, 900, 9, 0.05, false, true },  { 19, 0, 2, 1.0, false, true },
    { 39, 60, 0, 1.0, false, true },   { 39, 60, 1, 1.0, false, true },   { 39, 60, 2, 1.0, false, false },
    { 39, 60, 9, 1.0, false, false },  { 39, 60, 2, 1.0, true, true },    { 39, 60, 2, 4.0, false, true },
    { 39, 85, 0, 1.0, false, true },   { 39, 85, 1, 1.0, false, false },  { 39, 85, 1, 1.0, true, true },
    { 39, 85, 0, 0.25, false, false }, { 39, 110, 0, 1.0, false, false }, { 39, 110, 0, 1.0, true, true },
    { 39, 110, 2, 4.0, false, true },  { 39, 130, 0, 4.0, true, false },  { 59, 0, 0, 4.0, true, false },
};

} // namespace

ParameterizedTestParameters(pathPlanner, refusesTheLeastUrgentAndWorthyFirst)
{
    return cr_make_param_array(DecideCase, decideCases, std::size(decideCases));
}

ParameterizedTest(DecideCase *test, pathPlanner, refusesTheLeastUrgentAndWorthyFirst)
{
    Cell cell;
    for (const auto &service : { first, second }) {
        cell.addPieces(service, "others", test->waiting, start);
    }
    AdmissionRequest request = chain("r");
    request.receivedAt -= std::chrono::milliseconds(test->elapsedMs);
    request.urgencyRank = test->rank;
    request.relativeValue = test->worth;
    request.isRetry = test->returning;
    const auto decision = cell.planner.decide(request, start);
    cr_assert_eq(decision.admitted,
                 test->admitted,
                 "%u waiting, rank %d, worth %f, predicted %d ms",
                 test->waiting,
                 test->rank,
                 test->worth,
                 int(toMilliseconds(decision.predictedTime)));
    cr_assert_eq(decision.admitted, decision.retryAfter == Duration::zero());
    cr_assert_eq(decision.piecesAhead, test->waiting);
}

Test(pathPlanner, countsWhatIsStillToComeFromEarlierStages)
{
    Cell cell;
    for (int index = 0; index < 6; ++index) {
        // Admitted, and their first stage is made: nothing waits at either.
        const std::string id = "early" + std::to_string(index);
        cell.planner.admit(single(second, id, start + 700ms, 10), start);
    }
    cr_assert_eq(cell.scheduler(second).waitingCount(), 0U);
    const auto decision = cell.planner.decide(chain("r"), start);
    cr_assert_not(decision.admitted);
    cr_assert_eq(decision.piecesAhead, 60U);
}

Test(pathPlanner, chainsTakeTheirSumAndParallelStagesTheLongest)
{
    Cell cell;
    AdmissionRequest request = chain("r", start, 10);
    cr_assert_eq(cell.planner.decide(request, start).predictedTime, Duration(400ms));
    request.demands[1].dependencies.clear();
    cr_assert_eq(cell.planner.decide(request, start).predictedTime, Duration(200ms));
    request.demands[1].pieceCount = 0;
    cr_assert_eq(cell.planner.decide(request, start).predictedTime, Duration(200ms));
}

Test(pathPlanner, urgentRequestsDontMakeOthersLate)
{
    Cell cell(1);
    // 400 ms of work that is due in 420 ms: there is no room for a piece before it.
    cell.addPieces(first, "others", 20, start + 420ms);
    const auto decision = cell.planner.decide(single(first, "urgent", start + 300ms, 5), start);
    cr_assert_not(decision.admitted);
    cr_assert_not(decision.keepsCommitments);
    cr_assert_geq(decision.timeLimit, decision.predictedTime);
    cr_assert(cell.planner.decide(single(first, "later", start + 700ms, 5), start).admitted);
}

Test(pathPlanner, whoIsLateAnywayKeepsNobodyOut)
{
    Cell cell(1);
    cell.addPieces(first, "late", 40, start + 300ms);
    cr_assert(cell.planner.decide(single(first, "urgent", start + 250ms, 5), start).admitted);
}

enum class EndKind { None, Ended, Ready, Expired };

struct EndCase {
    EndKind how;
    bool roomAgain;
};

EndCase endCases[] = {
    { EndKind::None, false }, { EndKind::Ended, true }, { EndKind::Ready, true }, { EndKind::Expired, true }
};

ParameterizedTestParameters(pathPlanner, requestsThatEndLeaveTheirRoomToOthers)
{
    return cr_make_param_array(EndCase, endCases, std::size(endCases));
}

ParameterizedTest(EndCase *test, pathPlanner, requestsThatEndLeaveTheirRoomToOthers)
{
    Cell cell;
    Time now = start;
    cell.planner.admit(single(second, "big", start + 700ms, 60), start);
    switch (test->how) {
    case EndKind::None:
        break;
    case EndKind::Ended:
        cell.planner.removeCommitment(RequestId("big"));
        break;
    case EndKind::Ready:
        cell.planner.markStageQueued(RequestId("big"), 0);
        break;
    case EndKind::Expired:
        now += 1100ms;
        cell.planner.removeExpired(now);
        break;
    }
    cr_assert_eq(cell.planner.decide(chain("r", now), now).admitted, test->roomAgain);
}

Test(pathPlanner, learnsFromPredictionsThatWereTooShort)
{
    Cell cell;
    const Duration before = cell.planner.decide(chain("r"), start).predictedTime;
    for (int index = 0; index < 200; ++index) {
        const AdmissionRequest request = chain("r" + std::to_string(index), start, 1);
        cell.planner.admit(request, start);
        cell.planner.markStageQueued(request.id, 0);
        cell.planner.markStageQueued(request.id, 1);
        cell.planner.recordCompletion(request.id, start + before + 200ms);
    }
    const Duration after = cell.planner.decide(chain("r"), start).predictedTime;
    cr_assert_gt(after, before + 150ms);
    cr_assert_lt(after, before + 250ms);
    cr_assert_eq(cell.planner.commitmentCount(), 0U);
}

Test(pathPlanner, longerQueuesMeanALaterReturn)
{
    Cell cell;
    cell.addPieces(first, "others", 80, start);
    const auto near = cell.planner.decide(chain("r"), start);
    cell.addPieces(first, "others", 200, start);
    const auto far = cell.planner.decide(chain("r"), start);
    cr_assert_not(near.admitted);
    cr_assert_lt(near.retryAfter, far.retryAfter);
    cr_assert_geq(near.retryAfter, Duration(250ms));
}

Test(pathPlanner, withoutEndpointsNothingIsAdmitted)
{
    Cell cell(0);
    const auto decision = cell.planner.decide(chain("r"), start);
    cr_assert_not(decision.admitted);
    cr_assert_gt(decision.retryAfter, Duration::zero());
    cr_assert(cell.planner.serviceLoads(start).empty());
}

// ---------------------------------------------------------------------------------------------------------------------
// A burst, replayed

namespace
{

/** Callers that send chains to a cell, whose endpoints make what its schedulers give them. */
class Replay
{
public:
    explicit Replay(std::uint64_t seed)
        : random_(seed)
    {
    }

    /** @param perSecond requests of 4 pieces at each stage; 4 endpoints a stage carry 50 */
    void run(double perSecond, Duration time)
    {
        Time nextArrival = now_;
        const Time end = now_ + time;
        while (now_ < end || (perSecond == 0 && !calls_.empty())) {
            while (perSecond > 0 && nextArrival <= now_) {
                arrive();
                nextArrival += fromSeconds(random_.exponential(1 / perSecond));
            }
            finishCalls();
            for (const auto &service : { first, second }) {
                for (auto &call : cell_.scheduler(service).takeCalls(now_)) {
                    calls_.push_back({ service, now_ + call.expectedDuration, std::move(call) });
                }
            }
            now_ += 2ms;
        }
    }

    int asked = 0;
    int admitted = 0;
    int inTime = 0;

private:
    struct Running {
        ServiceId service;
        Time until;
        BatchCall call;
    };

    void arrive()
    {
        ++asked;
        const AdmissionRequest request = chain("r" + std::to_string(asked), now_, 4);
        if (!cell_.planner.tryAdmit(request, now_).admitted) {
            return;
        }
        ++admitted;
        receivedAt_[request.id] = now_;
        submit(request.id, 0);
    }

    void submit(const RequestId &request, std::uint32_t stage)
    {
        cell_.planner.markStageQueued(request, stage);
        left_[request] = 4;
        const Time received = receivedAt_[request];
        cell_.addPieces(stage == 0 ? first : second, request.text(), 4, received + (stage == 0 ? 500ms : 800ms));
    }

    void finishCalls()
    {
        for (auto &running : std::exchange(calls_, {})) {
            if (running.until > now_) {
                calls_.push_back(std::move(running));
                continue;
            }
            const auto &pieces = running.call.pieces;
            cell_.scheduler(running.service)
                .recordCallEnd(running.call.endpoint, CallOutcome::Answered, pieces.size(), now_);
            for (const auto &piece : pieces) {
                if (--left_[piece.request] == 0) {
                    stageDone(piece.request, piece.index.stage);
                }
            }
        }
    }

    void stageDone(const RequestId &request, std::uint32_t stage)
    {
        if (stage == 0) {
            submit(request, 1);
            return;
        }
        cell_.planner.recordCompletion(request, now_);
        inTime += now_ + afterStages <= receivedAt_[request] + target ? 1 : 0;
    }

    Random random_;
    Cell cell_ { 4 };
    Time now_ = start;
    std::vector<Running> calls_;
    std::map<RequestId, Time> receivedAt_;
    std::map<RequestId, int> left_;
};

struct LoadCase {
    double perSecond;
    int ms;
    double leastAdmitted; ///< share of those that asked
    double leastInTime; ///< share of those that were admitted
};

// Bursts of 2 and 3 times the capacity, short and long: what can be carried is carried, nearly all of it in time.
LoadCase loadCases[] = { { 20, 6000, 1.0, 1.0 },   { 40, 6000, 0.9, 0.95 }, { 100, 6000, 0.40, 0.9 },
                         { 150, 6000, 0.27, 0.9 }, { 150, 800, 0.27, 0.9 }, { 300, 500, 0.13, 0.9 } };

} // namespace

ParameterizedTestParameters(pathPlanner, burstsLeaveTheAdmittedInTime)
{
    return cr_make_param_array(LoadCase, loadCases, std::size(loadCases));
}

ParameterizedTest(LoadCase *test, pathPlanner, burstsLeaveTheAdmittedInTime)
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        Replay replay(seed);
        replay.run(10, 1s);
        replay.run(test->perSecond, std::chrono::milliseconds(test->ms));
        replay.run(0, 1s);
        cr_assert_geq(double(replay.admitted),
                      test->leastAdmitted * double(replay.asked),
                      "seed %d: %d of %d admitted",
                      int(seed),
                      replay.admitted,
                      replay.asked);
        cr_assert_geq(double(replay.inTime),
                      test->leastInTime * double(replay.admitted),
                      "seed %d: %d of %d in time",
                      int(seed),
                      replay.inTime,
                      replay.admitted);
    }
}
