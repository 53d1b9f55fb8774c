#include <stages/stages.h>

#include <algorithm>
#include <queue>

namespace lacewing::stages
{
namespace
{

/** Share of an endpoint's result memory that may be used; the rest is a reserve for results of uneven size. */
constexpr double usableMemoryShare = 0.9;
/** Weight of the latest call in the moving average of the slowdown. */
constexpr double slowdownGain = 0.4;
/** An endpoint that takes more than this many times as long as the fastest one counts as slow. */
constexpr double slowdownThreshold = 2.0;
/** Interval between small probe calls to a slow endpoint, which detect its recovery. */
constexpr Duration slowProbeInterval = 1500ms;
/** Maximum number of pieces in a probe call. */
constexpr std::size_t slowProbePieces = 1;
/** A call without an answer counts as lost after this many times its expected duration, plus a margin. */
constexpr double callTimeoutFactor = 4.0;
constexpr Duration callTimeoutMargin = 400ms;
/** Backoff after the first rejected call; doubles with each further one. Calls are rejected because other callers use
 * the endpoint too. */
constexpr Duration initialRejectionBackoff = 40ms;
constexpr Duration maxRejectionBackoff = 320ms;
/** Limits the shift by which the backoff is doubled. */
constexpr int maxCountedRejections = 8;
/** Backoff after a lost call. */
constexpr Duration lostCallBackoff = 400ms;
/** Pieces are given up once no endpoint has been reached for so long. A restart of all endpoints takes longer. */
constexpr Duration maxUnreachableTime = 1s;
/** A piece waits for an endpoint in its preferred zone if at least this many bytes would cross zones elsewhere. */
constexpr std::uint64_t minCrossZoneBytesToWait = 100'000;
/** Time that must remain until the due time when a piece waits for its preferred zone. */
constexpr Duration zoneWaitMargin = 30ms;
/** For how long missing memory counts as used: a part of the time after which endpoints drop results themselves. */
constexpr Duration memoryShortageDuration = 500ms;
/** Interval at which a free endpoint is checked again for pieces that waited for another zone or for memory. */
constexpr Duration recheckInterval = 40ms;
/** Interval at which queued pieces are checked for missed deadlines. */
constexpr Duration expiryCheckInterval = 100ms;

} // namespace

BatchScheduler::BatchScheduler(routing::BatchConfig traits)
    : traits_(traits)
{
}

void BatchScheduler::setTraits(const routing::BatchConfig &traits)
{
    traits_ = traits;
}

void BatchScheduler::setEndpoints(const std::vector<BatchEndpoint> &endpoints)
{
    for (auto &[id, state] : endpointStates_) {
        state.isListed = false;
    }
    for (const auto &endpoint : endpoints) {
        EndpointState &state = endpointStates_[endpoint.id];
        state.endpoint = endpoint;
        state.isListed = true;
        state.removedAt.reset();
        state.isDrainTimeoutReported = false;
    }
    std::erase_if(endpointStates_,
                  [](const auto &item) { return !item.second.isListed && item.second.callsInFlight == 0; });
}

std::vector<EndpointId> BatchScheduler::takeDrainTimedOutEndpoints(Time now)
{
    std::vector<EndpointId> timedOut;
    for (auto &[id, state] : endpointStates_) {
        if (state.isListed || state.callsInFlight == 0) {
            continue;
        }
        state.removedAt = state.removedAt.value_or(now);
        if (!state.isDrainTimeoutReported && now >= *state.removedAt + drainTimeout_) {
            state.isDrainTimeoutReported = true;
            timedOut.push_back(id);
        }
    }
    return timedOut;
}

void BatchScheduler::backOff(const EndpointId &endpoint, Time until)
{
    const auto found = endpointStates_.find(endpoint);
    if (found != endpointStates_.end()) {
        found->second.backoffUntil = std::max(found->second.backoffUntil, until);
    }
}

void BatchScheduler::recordUnreachable(const EndpointId &endpoint, Time until, Time now)
{
    unreachableSince_ = unreachableSince_.value_or(now);
    backOff(endpoint, until);
}

/** Returns whether no endpoint takes calls, and none has been reached for long. */
bool BatchScheduler::isUnreachable(Time now) const noexcept
{
    const bool isCalling = std::any_of(
        endpointStates_.begin(), endpointStates_.end(), [](const auto &item) { return item.second.callsInFlight > 0; });
    return !isCalling && unreachableSince_ && now - *unreachableSince_ >= maxUnreachableTime
        && timeUntilUsable(now) > Duration::zero();
}

Duration BatchScheduler::timeUntilUsable(Time now) const
{
    Duration shortest = Duration::max();
    for (const auto &[id, state] : endpointStates_) {
        if (state.isListed) {
            shortest = std::min(shortest, std::max(state.backoffUntil - now, Duration::zero()));
        }
    }
    return shortest;
}

void BatchScheduler::add(PieceTask task)
{
    waitingTasks_.push_back(std::move(task));
}

bool BatchScheduler::cancel(PieceTicket ticket)
{
    return std::erase_if(waitingTasks_, [&](const PieceTask &task) { return task.ticket == ticket; }) > 0;
}

std::vector<PieceTask> BatchScheduler::takeExpired(Time now)
{
    std::vector<PieceTask> expired;
    if (isUnreachable(now)) {
        unreachableSince_.reset(); // later pieces are tried again
        expired.swap(waitingTasks_);
        return expired;
    }
    // Without any endpoint, one may still join in time.
    const Duration wait = timeUntilUsable(now);
    const Time earliestStart = wait == Duration::max() ? now : now + wait;
    const auto first = std::stable_partition(waitingTasks_.begin(), waitingTasks_.end(), [&](const PieceTask &task) {
        return earliestStart + nominalTime(1) <= task.deadline;
    });
    std::move(first, waitingTasks_.end(), std::back_inserter(expired));
    waitingTasks_.erase(first, waitingTasks_.end());
    return expired;
}

std::vector<BatchCall> BatchScheduler::takeCalls(Time now)
{
    std::vector<BatchCall> calls;
    removeExpiredResults(now);
    if (waitingTasks_.empty()) {
        return calls;
    }
    sortWaitingTasks(now);
    countWaitingByZone();
    std::vector<EndpointId> excluded; // endpoints to which no queued piece can be sent now
    while (!waitingTasks_.empty()) {
        EndpointState *state = selectEndpoint(now, waitingTasks_.front().preferredZone, excluded);
        if (state == nullptr) {
            break;
        }
        const bool isProbe = isSlow(*state, lowestSlowdown(now));
        BatchCall call = fillCall(*state, now, isProbe ? slowProbePieces : traits_.maxPiecesPerCall);
        if (call.pieces.empty()) {
            // No memory for any result, or all pieces wait for another zone.
            excluded.push_back(state->endpoint.id);
            continue;
        }
        calls.push_back(std::move(call));
    }
    return calls;
}

void BatchScheduler::recordCallEnd(const EndpointId &endpoint,
                                   CallOutcome outcome,
                                   std::size_t completedPieces,
                                   Time now)
{
    const auto found = endpointStates_.find(endpoint);
    if (found == endpointStates_.end()) {
        return;
    }
    EndpointState &state = found->second;
    state.callsInFlight = state.callsInFlight > 0 ? state.callsInFlight - 1 : 0;
    state.memoryUsedBytes -= std::min(state.memoryUsedBytes, state.memoryReservedBytes);
    state.memoryReservedBytes = 0;
    state.piecesInFlight = 0;
    if (outcome != CallOutcome::Lost) {
        unreachableSince_.reset();
    }
    switch (outcome) {
    case CallOutcome::Answered:
        state.consecutiveRejections = 0;
        if (completedPieces > 0 && state.nominalCallTime > Duration::zero()) {
            const double ratio = toSeconds(now - state.callStartedAt) / toSeconds(state.nominalCallTime);
            state.slowdown += slowdownGain * (ratio - state.slowdown);
        }
        break;
    case CallOutcome::Rejected:
        state.backoffUntil = now
            + std::min(initialRejectionBackoff * (std::int64_t(1) << state.consecutiveRejections), maxRejectionBackoff);
        state.consecutiveRejections = std::min(state.consecutiveRejections + 1, maxCountedRejections);
        break;
    case CallOutcome::Lost:
        state.backoffUntil = now + lostCallBackoff;
        break;
    }
    if (!state.isListed && state.callsInFlight == 0) {
        endpointStates_.erase(found);
    }
}

void BatchScheduler::recordResult(const EndpointId &endpoint, const ResultHandle &handle, Bytes size, Time now)
{
    const auto found = endpointStates_.find(endpoint);
    if (found != endpointStates_.end()) {
        found->second.memoryUsedBytes += size.value();
    }
    storedResults_[handle] = { endpoint, size.value(), now + traits_.resultTtl };
}

void BatchScheduler::recordOutOfMemory(const EndpointId &endpoint, Bytes size, Time now)
{
    const auto found = endpointStates_.find(endpoint);
    if (found == endpointStates_.end()) {
        return;
    }
    found->second.memoryUsedBytes += size.value();
    const ResultHandle placeholder("missing-" + std::to_string(++lastPlaceholder_));
    storedResults_[placeholder] = { endpoint, size.value(), now + memoryShortageDuration };
}

EndpointId BatchScheduler::releaseResult(const ResultHandle &handle)
{
    const auto found = storedResults_.find(handle);
    if (found == storedResults_.end()) {
        return {};
    }
    const StoredResult result = found->second;
    storedResults_.erase(found);
    const auto state = endpointStates_.find(result.endpoint);
    if (state != endpointStates_.end()) {
        state->second.memoryUsedBytes -= std::min(state->second.memoryUsedBytes, result.bytes);
    }
    return result.endpoint;
}

std::vector<Time> BatchScheduler::estimateStartTimes(std::span<const std::size_t> counts, Time now) const
{
    // Each endpoint starts a full call as soon as it is free.
    using NextCall = std::pair<Time, Duration>; // start time, duration of a full call
    std::priority_queue<NextCall, std::vector<NextCall>, std::greater<>> nextCalls;
    const double lowest = lowestSlowdown(now);
    for (const auto &[id, state] : endpointStates_) {
        if (!state.isListed || isSlow(state, lowest)) {
            continue;
        }
        const auto withSlowdown = [slowdown = state.slowdown](Duration nominal) {
            return Duration(std::int64_t(double(nominal.count()) * slowdown));
        };
        const bool isFree = state.callsInFlight < traits_.maxConcurrentCalls;
        const Time free = isFree ? now : std::max(now, state.callStartedAt + withSlowdown(state.nominalCallTime));
        nextCalls.emplace(std::max(free, state.backoffUntil), withSlowdown(nominalTime(traits_.maxPiecesPerCall)));
    }
    std::vector<Time> times(counts.size(), Time::max());
    if (nextCalls.empty()) {
        return times;
    }
    const std::size_t perCall = std::max<std::size_t>(traits_.maxPiecesPerCall, 1);
    std::size_t started = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        while (started + perCall < counts[index]) {
            const auto [free, call] = nextCalls.top();
            nextCalls.pop();
            nextCalls.emplace(free + call, call);
            started += perCall;
        }
        times[index] = nextCalls.top().first;
    }
    return times;
}

Duration BatchScheduler::estimateCallTime(std::size_t waiting, Time now) const
{
    double slowdown = 0;
    std::size_t usable = 0;
    const double lowest = lowestSlowdown(now);
    for (const auto &[id, state] : endpointStates_) {
        if (state.isListed && !isSlow(state, lowest)) {
            slowdown += state.slowdown;
            ++usable;
        }
    }
    const double mean = usable > 0 ? slowdown / double(usable) : 1;
    const std::size_t pieces = std::min(std::max<std::size_t>(waiting, 1), traits_.maxPiecesPerCall);
    return Duration(std::int64_t(double(nominalTime(pieces).count()) * mean));
}

Duration BatchScheduler::estimateMeanWait(Time now) const
{
    std::size_t usable = 0;
    std::size_t busy = 0;
    const double lowest = lowestSlowdown(now);
    for (const auto &[id, state] : endpointStates_) {
        if (state.isListed && !isSlow(state, lowest)) {
            ++usable;
            busy += state.callsInFlight >= traits_.maxConcurrentCalls || now < state.backoffUntil ? 1 : 0;
        }
    }
    // Assumes that calls end at independent, uniformly distributed times.
    const double busyShare = usable > 0 ? double(busy) / double(usable) : 0;
    return Duration(
        std::int64_t(busyShare * double(estimateCallTime(traits_.maxPiecesPerCall, now).count()) / double(usable + 1)));
}

void BatchScheduler::forEachWaiting(const std::function<void(const PieceTask &)> &visit) const
{
    for (const auto &task : waitingTasks_) {
        visit(task);
    }
}

std::optional<Time> BatchScheduler::nextWakeupTime(Time now) const
{
    std::optional<Time> next;
    const auto consider = [&](Time time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[id, state] : endpointStates_) {
        if (state.removedAt && !state.isDrainTimeoutReported) {
            consider(*state.removedAt + drainTimeout_);
        }
    }
    if (waitingTasks_.empty()) {
        return next;
    }
    for (const auto &task : waitingTasks_) {
        consider(std::max(task.deadline - nominalTime(1), task.deadline - expiryCheckInterval));
    }
    for (const auto &[id, state] : endpointStates_) {
        if (state.isListed && state.callsInFlight < traits_.maxConcurrentCalls) {
            consider(std::max(state.backoffUntil, state.lastCallAt + recheckInterval));
            if (isSlow(state, lowestSlowdown(now))) {
                consider(state.lastCallAt + slowProbeInterval);
            }
        }
    }
    return next;
}

Duration BatchScheduler::callTimeout(const BatchCall &call) const
{
    return Duration(std::int64_t(double(call.expectedDuration.count()) * callTimeoutFactor)) + callTimeoutMargin;
}

Duration BatchScheduler::nominalTime(std::size_t pieces) const noexcept
{
    return traits_.callOverhead + traits_.timePerPiece * std::int64_t(pieces);
}

/** Returns the slowdown of the fastest endpoint, out of those that take calls if there are any. */
double BatchScheduler::lowestSlowdown(Time now) const noexcept
{
    double lowest = 0;
    double lowestOfAll = 0;
    for (const auto &[id, state] : endpointStates_) {
        if (!state.isListed) {
            continue;
        }
        if (lowestOfAll == 0 || state.slowdown < lowestOfAll) {
            lowestOfAll = state.slowdown;
        }
        if (state.backoffUntil <= now && (lowest == 0 || state.slowdown < lowest)) {
            lowest = state.slowdown;
        }
    }
    return lowest > 0 ? lowest : lowestOfAll;
}

bool BatchScheduler::isSlow(const EndpointState &state, double lowestSlowdown) const noexcept
{
    return state.slowdown > slowdownThreshold * lowestSlowdown;
}

bool BatchScheduler::canStartCall(const EndpointState &state, Time now) const noexcept
{
    return state.isListed && state.callsInFlight < traits_.maxConcurrentCalls && now >= state.backoffUntil;
}

void BatchScheduler::removeExpiredResults(Time now)
{
    std::vector<ResultHandle> expired;
    for (const auto &[handle, result] : storedResults_) {
        if (result.expiresAt <= now) {
            expired.push_back(handle);
        }
    }
    for (const auto &handle : expired) {
        releaseResult(handle);
    }
}

/** Selects the free endpoint for the next call: fast before slow, then in the zone, then with the least memory used. */
BatchScheduler::EndpointState *BatchScheduler::selectEndpoint(Time now,
                                                              const AvailabilityZoneId &zone,
                                                              const std::vector<EndpointId> &excluded)
{
    const std::size_t waiting = waitingTasks_.size();
    const double lowest = lowestSlowdown(now);
    std::size_t fastEndpoints = 0;
    for (const auto &[id, state] : endpointStates_) {
        fastEndpoints += state.isListed && !isSlow(state, lowest) ? 1 : 0;
    }
    EndpointState *chosen = nullptr;
    const auto isBetter = [&](const EndpointState &state, const EndpointState &other) {
        if (isSlow(state, lowest) != isSlow(other, lowest)) {
            return !isSlow(state, lowest);
        }
        if ((state.endpoint.zone == zone) != (other.endpoint.zone == zone)) {
            return state.endpoint.zone == zone;
        }
        if (state.memoryUsedBytes != other.memoryUsedBytes) {
            return state.memoryUsedBytes < other.memoryUsedBytes;
        }
        return state.endpoint.id < other.endpoint.id;
    };
    for (auto &[id, state] : endpointStates_) {
        if (!canStartCall(state, now) || std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
            continue;
        }
        const bool isProbeDue = now - state.lastCallAt >= slowProbeInterval;
        const bool othersHaveCapacity = waiting <= fastEndpoints * traits_.maxPiecesPerCall;
        if (isSlow(state, lowest) && (!isProbeDue || (othersHaveCapacity && waiting < 2))) {
            continue;
        }
        if (chosen == nullptr || isBetter(state, *chosen)) {
            chosen = &state;
        }
    }
    return chosen;
}

BatchCall BatchScheduler::fillCall(EndpointState &state, Time now, std::size_t maxPieces)
{
    const auto usableBytes = static_cast<std::uint64_t>(double(traits_.resultCapacity.value()) * usableMemoryShare);
    BatchCall call;
    call.endpoint = state.endpoint.id;
    std::vector<PieceTask> remaining;
    std::uint64_t reservedBytes = 0;
    std::optional<RequestId> suspect; ///< request of the suspect pieces in the call
    for (auto &task : waitingTasks_) {
        const std::uint64_t bytes = task.resultBytes.value();
        const bool fits =
            traits_.resultCapacity.value() == 0 || state.memoryUsedBytes + reservedBytes + bytes <= usableBytes;
        const bool isApart = !task.isSuspect || !suspect || *suspect == task.request;
        if (call.pieces.size() < maxPieces && fits && isApart && !shouldWaitForZone(task, state, now)) {
            if (task.isSuspect) {
                suspect = task.request;
            }
            reservedBytes += bytes;
            call.pieces.push_back(std::move(task));
        } else {
            remaining.push_back(std::move(task));
        }
    }
    waitingTasks_ = std::move(remaining);
    if (call.pieces.empty()) {
        return call;
    }
    state.memoryUsedBytes += reservedBytes;
    state.memoryReservedBytes += reservedBytes;
    state.nominalCallTime = nominalTime(call.pieces.size());
    call.expectedDuration =
        Duration(std::int64_t(double(state.nominalCallTime.count()) * std::max(state.slowdown, 1.0)));
    state.callStartedAt = state.lastCallAt = now;
    state.piecesInFlight = call.pieces.size();
    ++state.callsInFlight;
    return call;
}

Duration BatchScheduler::expectedCallTime(const EndpointState &state) const noexcept
{
    return Duration(std::int64_t(double(state.nominalCallTime.count()) * std::max(state.slowdown, 1.0)));
}

void BatchScheduler::countWaitingByZone()
{
    waitingByZone_.clear();
    for (const auto &task : waitingTasks_) {
        if (task.crossZoneBytes.value() >= minCrossZoneBytesToWait) {
            ++waitingByZone_[task.preferredZone];
        }
    }
}

/** Whether the endpoint is in another zone than preferred, and one in the preferred zone will be free early enough. */
bool BatchScheduler::shouldWaitForZone(const PieceTask &task, const EndpointState &state, Time now) const
{
    if (task.crossZoneBytes.value() < minCrossZoneBytesToWait || state.endpoint.zone == task.preferredZone) {
        return false;
    }
    std::size_t localEndpoints = 0;
    Time earliest = Time::max();
    for (const auto &[id, local] : endpointStates_) {
        if (local.endpoint.zone != task.preferredZone || !local.isListed || isSlow(local, lowestSlowdown(now))) {
            continue;
        }
        ++localEndpoints;
        const Time free =
            local.callsInFlight < traits_.maxConcurrentCalls ? now : local.callStartedAt + expectedCallTime(local);
        earliest = std::min(earliest, std::max({ free, now, local.backoffUntil }));
    }
    const auto found = waitingByZone_.find(task.preferredZone);
    const std::size_t waiting = found == waitingByZone_.end() ? 0 : found->second;
    if (localEndpoints == 0 || waiting > localEndpoints * traits_.maxPiecesPerCall) {
        return false;
    }
    const Duration call = nominalTime(std::min(waiting, traits_.maxPiecesPerCall));
    return earliest + call + zoneWaitMargin <= task.dueTime;
}

/** Sorts by due time. Pieces that would miss theirs come last, in descending order of value. */
void BatchScheduler::sortWaitingTasks(Time now)
{
    const Time earliest = now + nominalTime(std::min(waitingTasks_.size(), traits_.maxPiecesPerCall));
    std::stable_sort(waitingTasks_.begin(), waitingTasks_.end(), [&](const PieceTask &a, const PieceTask &b) {
        const bool isLateA = a.dueTime < earliest;
        const bool isLateB = b.dueTime < earliest;
        if (isLateA != isLateB) {
            return isLateB;
        }
        return isLateA ? a.valuePerPiece > b.valuePerPiece : a.dueTime < b.dueTime;
    });
}

} // namespace lacewing::stages
