#include <stages/stages.h>

#include <algorithm>
#include <queue>

namespace lacewing::stages
{
namespace
{

/** Share of an endpoint's room for results that may be taken; the rest covers results of uneven size. */
constexpr double roomShare = 0.9;
/** Weight of the newest call in the learned time of an endpoint. */
constexpr double slownessGain = 0.4;
/** An endpoint that takes this many times longer than its fastest peer counts as slow. */
constexpr double slowRatio = 2.0;
/** Time between small calls to a slow endpoint, to see whether it has recovered. */
constexpr Duration slowTrialPeriod = 1500ms;
/** Pieces of such a call. */
constexpr std::size_t slowTrialPieces = 1;
/** A call without an answer counts as lost after this many times its expected time, and a bit. */
constexpr double lostRatio = 4.0;
constexpr Duration lostMargin = 400ms;
/** An endpoint that declined a call, because other callers use it too, is asked again after this time, which doubles
 * with each further one. */
constexpr Duration declinedPause = 40ms;
constexpr Duration longestDeclinedPause = 320ms;
constexpr int mostDeclines = 8;
/** An endpoint that lost a call is asked again after this time. */
constexpr Duration lostPause = 400ms;
/** From this many bytes on that would cross zones, a piece waits for an endpoint of its own zone. */
constexpr std::uint64_t zoneBytesToWait = 100'000;
/** Time that must be left over when a piece waits for its own zone. */
constexpr Duration zoneWaitMargin = 30ms;
/** For which memory that was missing counts as taken: part of the time after which results end by themselves. */
constexpr Duration roomMissingTime = 500ms;
/** A free endpoint is offered again what waited for another zone or for room after this time. */
constexpr Duration recheckPeriod = 40ms;
/** Waiting pieces are looked at this often for those that can't be made in time. */
constexpr Duration expiryPeriod = 100ms;

} // namespace

BatchScheduler::BatchScheduler(routing::BatchTraits traits)
    : traits_(traits)
{
}

void BatchScheduler::setTraits(const routing::BatchTraits &traits)
{
    traits_ = traits;
}

void BatchScheduler::setEndpoints(const std::vector<BatchEndpoint> &endpoints)
{
    for (auto &[id, line] : lines_) {
        line.isListed = false;
    }
    for (const auto &endpoint : endpoints) {
        Line &line = lines_[endpoint.id];
        line.endpoint = endpoint;
        line.isListed = true;
        line.leftAt.reset();
        line.isClosing = false;
    }
    std::erase_if(lines_, [](const auto &item) { return !item.second.isListed && item.second.callsOpen == 0; });
}

std::vector<EndpointId> BatchScheduler::takeDrainTimedOutEndpoints(Time now)
{
    std::vector<EndpointId> overstayed;
    for (auto &[id, line] : lines_) {
        if (line.isListed || line.callsOpen == 0) {
            continue;
        }
        line.leftAt = line.leftAt.value_or(now);
        if (!line.isClosing && now >= *line.leftAt + leaveLimit_) {
            line.isClosing = true;
            overstayed.push_back(id);
        }
    }
    return overstayed;
}

void BatchScheduler::backOff(const EndpointId &endpoint, Time until)
{
    const auto found = lines_.find(endpoint);
    if (found != lines_.end()) {
        found->second.avoidUntil = std::max(found->second.avoidUntil, until);
    }
}

void BatchScheduler::add(PieceTask order)
{
    orders_.push_back(std::move(order));
}

bool BatchScheduler::cancel(PieceTicket ticket)
{
    return std::erase_if(orders_, [&](const PieceTask &order) { return order.ticket == ticket; }) > 0;
}

std::vector<PieceTask> BatchScheduler::takeExpired(Time now)
{
    std::vector<PieceTask> expired;
    const auto first = std::stable_partition(
        orders_.begin(), orders_.end(), [&](const PieceTask &order) { return now + nominalTime(1) <= order.deadline; });
    std::move(first, orders_.end(), std::back_inserter(expired));
    orders_.erase(first, orders_.end());
    return expired;
}

std::vector<BatchCall> BatchScheduler::takeCalls(Time now)
{
    std::vector<BatchCall> calls;
    dropOldResults(now);
    if (orders_.empty()) {
        return calls;
    }
    sortOrders(now);
    countHomeless();
    std::vector<EndpointId> passed; // endpoints for which no piece is at hand
    while (!orders_.empty()) {
        Line *line = chooseLine(now, orders_.front().preferredZone, passed);
        if (line == nullptr) {
            break;
        }
        const bool trial = isSlow(*line, fastest());
        BatchCall call = fill(*line, now, trial ? slowTrialPieces : traits_.piecesPerCall);
        if (call.pieces.empty()) {
            // No room for any result, or all pieces wait for another zone.
            passed.push_back(line->endpoint.id);
            continue;
        }
        calls.push_back(std::move(call));
    }
    return calls;
}

void BatchScheduler::recordCallEnd(const EndpointId &endpoint, CallOutcome outcome, std::size_t made, Time now)
{
    const auto found = lines_.find(endpoint);
    if (found == lines_.end()) {
        return;
    }
    Line &line = found->second;
    line.callsOpen = line.callsOpen > 0 ? line.callsOpen - 1 : 0;
    line.roomUsed -= std::min(line.roomUsed, line.roomOpen);
    line.roomOpen = 0;
    line.piecesOpen = 0;
    switch (outcome) {
    case CallOutcome::Answered:
        line.declines = 0;
        if (made > 0 && line.nominal > Duration::zero()) {
            const double ratio = toSeconds(now - line.startedAt) / toSeconds(line.nominal);
            line.slowness += slownessGain * (ratio - line.slowness);
        }
        break;
    case CallOutcome::Rejected:
        line.avoidUntil = now + std::min(declinedPause * (std::int64_t(1) << line.declines), longestDeclinedPause);
        line.declines = std::min(line.declines + 1, mostDeclines);
        break;
    case CallOutcome::Lost:
        line.avoidUntil = now + lostPause;
        break;
    }
    if (!line.isListed && line.callsOpen == 0) {
        lines_.erase(found);
    }
}

void BatchScheduler::recordResult(const EndpointId &endpoint, const ResultHandle &handle, Bytes size, Time now)
{
    const auto found = lines_.find(endpoint);
    if (found != lines_.end()) {
        found->second.roomUsed += size.value();
    }
    held_[handle] = { endpoint, size.value(), now + traits_.resultLife };
}

void BatchScheduler::recordOutOfMemory(const EndpointId &endpoint, Bytes size, Time now)
{
    const auto found = lines_.find(endpoint);
    if (found == lines_.end()) {
        return;
    }
    found->second.roomUsed += size.value();
    const ResultHandle unknown("missing-" + std::to_string(++lastMissing_));
    held_[unknown] = { endpoint, size.value(), now + roomMissingTime };
}

EndpointId BatchScheduler::releaseResult(const ResultHandle &handle)
{
    const auto found = held_.find(handle);
    if (found == held_.end()) {
        return {};
    }
    const Held held = found->second;
    held_.erase(found);
    const auto line = lines_.find(held.endpoint);
    if (line != lines_.end()) {
        line->second.roomUsed -= std::min(line->second.roomUsed, held.bytes);
    }
    return held.endpoint;
}

std::vector<Time> BatchScheduler::estimateStartTimes(std::span<const std::size_t> counts, Time now) const
{
    // Endpoints take full calls in turns, each as soon as it is free.
    using Turn = std::pair<Time, Duration>; // free at, time of a full call
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    const double best = fastest();
    for (const auto &[id, line] : lines_) {
        if (!line.isListed || isSlow(line, best)) {
            continue;
        }
        const auto learned = [slowness = line.slowness](Duration nominal) {
            return Duration(std::int64_t(double(nominal.count()) * slowness));
        };
        const bool isFree = line.callsOpen < traits_.callsInWork;
        const Time free = isFree ? now : std::max(now, line.startedAt + learned(line.nominal));
        turns.emplace(std::max(free, line.avoidUntil), learned(nominalTime(traits_.piecesPerCall)));
    }
    std::vector<Time> times(counts.size(), Time::max());
    if (turns.empty()) {
        return times;
    }
    const std::size_t perCall = std::max<std::size_t>(traits_.piecesPerCall, 1);
    std::size_t started = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        while (started + perCall < counts[index]) {
            const auto [free, call] = turns.top();
            turns.pop();
            turns.emplace(free + call, call);
            started += perCall;
        }
        times[index] = turns.top().first;
    }
    return times;
}

Duration BatchScheduler::estimateCallTime(std::size_t waiting) const
{
    double slowness = 0;
    std::size_t usable = 0;
    const double best = fastest();
    for (const auto &[id, line] : lines_) {
        if (line.isListed && !isSlow(line, best)) {
            slowness += line.slowness;
            ++usable;
        }
    }
    const double mean = usable > 0 ? slowness / double(usable) : 1;
    const std::size_t pieces = std::min(std::max<std::size_t>(waiting, 1), traits_.piecesPerCall);
    return Duration(std::int64_t(double(nominalTime(pieces).count()) * mean));
}

Duration BatchScheduler::estimateMeanWait(Time now) const
{
    std::size_t usable = 0;
    std::size_t busy = 0;
    const double best = fastest();
    for (const auto &[id, line] : lines_) {
        if (line.isListed && !isSlow(line, best)) {
            ++usable;
            busy += line.callsOpen >= traits_.callsInWork || now < line.avoidUntil ? 1 : 0;
        }
    }
    // Calls end at independent moments.
    const double busyShare = usable > 0 ? double(busy) / double(usable) : 0;
    return Duration(
        std::int64_t(busyShare * double(estimateCallTime(traits_.piecesPerCall).count()) / double(usable + 1)));
}

void BatchScheduler::forEachWaiting(const std::function<void(const PieceTask &)> &visit) const
{
    for (const auto &order : orders_) {
        visit(order);
    }
}

std::optional<Time> BatchScheduler::nextWakeupTime() const
{
    std::optional<Time> next;
    const auto consider = [&](Time time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[id, line] : lines_) {
        if (line.leftAt && !line.isClosing) {
            consider(*line.leftAt + leaveLimit_);
        }
    }
    if (orders_.empty()) {
        return next;
    }
    for (const auto &order : orders_) {
        consider(std::max(order.deadline - nominalTime(1), order.deadline - expiryPeriod));
    }
    for (const auto &[id, line] : lines_) {
        if (line.isListed && line.callsOpen < traits_.callsInWork) {
            consider(std::max(line.avoidUntil, line.triedAt + recheckPeriod));
            if (isSlow(line, fastest())) {
                consider(line.triedAt + slowTrialPeriod);
            }
        }
    }
    return next;
}

Duration BatchScheduler::callTimeout(const BatchCall &call) const
{
    return Duration(std::int64_t(double(call.expectedDuration.count()) * lostRatio)) + lostMargin;
}

Duration BatchScheduler::nominalTime(std::size_t pieces) const noexcept
{
    return traits_.callTime + traits_.pieceTime * std::int64_t(pieces);
}

double BatchScheduler::fastest() const noexcept
{
    double best = 0;
    for (const auto &[id, line] : lines_) {
        if (line.isListed && (best == 0 || line.slowness < best)) {
            best = line.slowness;
        }
    }
    return best;
}

bool BatchScheduler::isSlow(const Line &line, double fastest) const noexcept
{
    return line.slowness > slowRatio * fastest;
}

bool BatchScheduler::mayCall(const Line &line, Time now) const noexcept
{
    return line.isListed && line.callsOpen < traits_.callsInWork && now >= line.avoidUntil;
}

void BatchScheduler::dropOldResults(Time now)
{
    std::vector<ResultHandle> old;
    for (const auto &[handle, held] : held_) {
        if (held.until <= now) {
            old.push_back(handle);
        }
    }
    for (const auto &handle : old) {
        releaseResult(handle);
    }
}

/** The free endpoint for the next call: fast before slow, in the wanted zone before others, then the emptiest. */
BatchScheduler::Line *BatchScheduler::chooseLine(Time now,
                                                 const AvailabilityZoneId &zone,
                                                 const std::vector<EndpointId> &passed)
{
    const std::size_t waiting = orders_.size();
    const double best = fastest();
    std::size_t fastLines = 0;
    for (const auto &[id, line] : lines_) {
        fastLines += line.isListed && !isSlow(line, best) ? 1 : 0;
    }
    Line *chosen = nullptr;
    const auto isBetter = [&](const Line &line, const Line &than) {
        if (isSlow(line, best) != isSlow(than, best)) {
            return !isSlow(line, best);
        }
        if ((line.endpoint.zone == zone) != (than.endpoint.zone == zone)) {
            return line.endpoint.zone == zone;
        }
        if (line.roomUsed != than.roomUsed) {
            return line.roomUsed < than.roomUsed;
        }
        return line.endpoint.id < than.endpoint.id;
    };
    for (auto &[id, line] : lines_) {
        if (!mayCall(line, now) || std::find(passed.begin(), passed.end(), id) != passed.end()) {
            continue;
        }
        const bool isTrialDue = now - line.triedAt >= slowTrialPeriod;
        const bool othersHaveRoom = waiting <= fastLines * traits_.piecesPerCall;
        if (isSlow(line, best) && (!isTrialDue || (othersHaveRoom && waiting < 2))) {
            continue;
        }
        if (chosen == nullptr || isBetter(line, *chosen)) {
            chosen = &line;
        }
    }
    return chosen;
}

BatchCall BatchScheduler::fill(Line &line, Time now, std::size_t most)
{
    const auto room = static_cast<std::uint64_t>(double(traits_.resultRoom.value()) * roomShare);
    BatchCall call;
    call.endpoint = line.endpoint.id;
    std::vector<PieceTask> rest;
    std::uint64_t opened = 0;
    for (auto &order : orders_) {
        const std::uint64_t bytes = order.resultBytes.value();
        const bool fits = traits_.resultRoom.value() == 0 || line.roomUsed + opened + bytes <= room;
        if (call.pieces.size() < most && fits && !waitsForZone(order, line, now)) {
            opened += bytes;
            call.pieces.push_back(std::move(order));
        } else {
            rest.push_back(std::move(order));
        }
    }
    orders_ = std::move(rest);
    if (call.pieces.empty()) {
        return call;
    }
    line.roomUsed += opened;
    line.roomOpen += opened;
    line.nominal = nominalTime(call.pieces.size());
    call.expectedDuration = Duration(std::int64_t(double(line.nominal.count()) * std::max(line.slowness, 1.0)));
    line.startedAt = line.triedAt = now;
    line.piecesOpen = call.pieces.size();
    ++line.callsOpen;
    return call;
}

Duration BatchScheduler::lengthOf(const Line &line) const noexcept
{
    return Duration(std::int64_t(double(line.nominal.count()) * std::max(line.slowness, 1.0)));
}

void BatchScheduler::countHomeless()
{
    waitingByZone_.clear();
    for (const auto &order : orders_) {
        if (order.crossZoneBytes.value() >= zoneBytesToWait) {
            ++waitingByZone_[order.preferredZone];
        }
    }
}

/** True when an endpoint of the piece's own zone will be free early enough, and the line is in another zone. */
bool BatchScheduler::waitsForZone(const PieceTask &order, const Line &line, Time now) const
{
    if (order.crossZoneBytes.value() < zoneBytesToWait || line.endpoint.zone == order.preferredZone) {
        return false;
    }
    std::size_t homes = 0;
    Time soonest = Time::max();
    for (const auto &[id, home] : lines_) {
        if (home.endpoint.zone != order.preferredZone || !home.isListed || isSlow(home, fastest())) {
            continue;
        }
        ++homes;
        const Time free = home.callsOpen < traits_.callsInWork ? now : home.startedAt + lengthOf(home);
        soonest = std::min(soonest, std::max({ free, now, home.avoidUntil }));
    }
    const auto found = waitingByZone_.find(order.preferredZone);
    const std::size_t waiting = found == waitingByZone_.end() ? 0 : found->second;
    if (homes == 0 || waiting > homes * traits_.piecesPerCall) {
        return false;
    }
    const Duration call = nominalTime(std::min(waiting, traits_.piecesPerCall));
    return soonest + call + zoneWaitMargin <= order.dueTime;
}

/** By when they are due; those that would be late come last, the most worthy of them first. */
void BatchScheduler::sortOrders(Time now)
{
    const Time soonest = now + nominalTime(std::min(orders_.size(), traits_.piecesPerCall));
    std::stable_sort(orders_.begin(), orders_.end(), [&](const PieceTask &a, const PieceTask &b) {
        const bool lateA = a.dueTime < soonest;
        const bool lateB = b.dueTime < soonest;
        if (lateA != lateB) {
            return lateB;
        }
        return lateA ? a.valuePerPiece > b.valuePerPiece : a.dueTime < b.dueTime;
    });
}

} // namespace lacewing::stages
