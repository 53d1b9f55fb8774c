#include <dispatch/dispatch.h>

#include <algorithm>
#include <tuple>

namespace lacewing::dispatch
{
namespace
{

using routing::EndpointLifetime;

/** Number of crashes from which a part is quarantined: an unrelated part may be in flight at two of them. */
constexpr std::size_t quarantineThreshold = 3;
/** Number of crashes from which VMs tell each other of successes. */
constexpr std::size_t repeatThreshold = 2;
/** Time for which an endpoint has to live on after an answer; longer than it takes to notice a crash. */
constexpr Duration confirmationTime = 500ms;
/** Time after the decisive crash in which answers that began later can refute it. An answer counts after
 * PromptPartTracker::maxCrashDelay and the confirmation at the latest. */
constexpr Duration refutationTime = 2500ms;
/** Time before the quarantine of such a part at which other VMs are asked for later successes. */
constexpr Duration inquiryTime = 500ms;
/** Time for which a success makes a part unlikely to crash endpoints. */
constexpr Duration successRetention = 30s;
/** Differences of answer times below this are coincidence. */
constexpr Duration answerTimeResolution = 250ms;
/** Time from the last crash to the first trial; each further trial takes longer by the factor. */
constexpr Duration firstTrialDelay = 30s;
constexpr int trialDelayFactor = 4;
constexpr Duration maxTrialDelay = std::chrono::hours(1);
/** Time after its last update for which a part is kept; parts may be in use rarely. */
constexpr Duration suspectTtl = std::chrono::minutes(10);
/** Bounds on memory: shared parts in flight at the crash of a large part of the fleet, and parts in use. */
constexpr std::size_t maxSuspects = 4096;
/** Parts without a crash so far that one crash adds, so that it doesn't displace what other crashes have shown. */
constexpr std::size_t maxNewPartsPerCrash = 1024;
constexpr std::size_t maxCrashesPerPart = 16;
constexpr std::size_t maxSuccesses = 4096;

bool isRepeated(const SuspectPart &part) noexcept
{
    return part.crashes.size() >= repeatThreshold;
}

bool hasRecentSuccess(const SuspectPart &part, Time crashAt) noexcept
{
    return part.lastSuccessAt && *part.lastSuccessAt > crashAt - successRetention;
}

Duration trialDelay(std::uint32_t trialCount) noexcept
{
    Duration delay = firstTrialDelay;
    for (std::uint32_t trial = 0; trial < trialCount && delay < maxTrialDelay; ++trial) {
        delay *= trialDelayFactor;
    }
    return std::min(delay, maxTrialDelay);
}

/** A part with enough crashes to be quarantined, unless another part caused them. */
struct PossibleCause {
    const SuspectPart *part = nullptr;
    Time decisiveAt; ///< time of the crash with which there were enough
};

/** Returns the number of crashes at which an answer with the part had begun. */
std::int64_t countAnswers(const SuspectPart &part)
{
    return std::count_if(
        part.crashes.begin(), part.crashes.end(), [](const PartCrash &crash) { return crash.hadAnswer; });
}

/** Orders possible causes by how likely they are the cause of their crashes, the likeliest first. */
bool isLikelierCause(const PossibleCause &a, const PossibleCause &b)
{
    const auto key = [](const PossibleCause &cause) {
        const SuspectPart &part = *cause.part;
        return std::tuple(hasRecentSuccess(part, cause.decisiveAt),
                          part.longestAnswer / answerTimeResolution,
                          -static_cast<std::int64_t>(part.crashes.size()),
                          -std::int64_t(part.position),
                          -countAnswers(part),
                          part.part);
    };
    return key(a) < key(b);
}

/** Returns the time of the crash with which a part had enough crashes; empty if it has not. */
std::optional<Time> decisiveTime(const SuspectPart &part)
{
    if (part.crashes.size() < quarantineThreshold) {
        return std::nullopt;
    }
    std::vector<Time> times;
    for (const auto &crash : part.crashes) {
        times.push_back(crash.at);
    }
    const auto decisive = times.begin() + (quarantineThreshold - 1);
    std::nth_element(times.begin(), decisive, times.end());
    return *decisive;
}

} // namespace

std::vector<PromptPartId> PromptPartTracker::recordCrash(const EndpointLifetime &endpoint,
                                                         std::span<const LostRequest> requests,
                                                         Time now)
{
    std::erase_if(pendingAnswers_, [&](const PendingAnswer &answer) { return answer.endpoint == endpoint; });
    const auto answerTime = [](const LostRequest &request) -> Duration {
        return request.answerBeganAt ? request.lostAt - *request.answerBeganAt : Duration::zero();
    };
    std::vector<const LostRequest *> candidates;
    for (const auto &request : requests) {
        if (answerTime(request) <= maxCrashDelay) {
            candidates.push_back(&request);
        }
    }
    const auto newParts = selectNewParts(candidates);
    std::set<PromptPartId> changed;
    const auto record = [&](const auto &isMeant) {
        for (const auto *request : candidates) {
            for (std::uint32_t position = 0; position < request->sharedParts.size(); ++position) {
                if (!isMeant(request->sharedParts[position])) {
                    continue;
                }
                SuspectPart &part = findOrAdd(request->sharedParts[position]);
                part.position = std::max(part.position, position);
                part.longestAnswer = std::max(part.longestAnswer, answerTime(*request));
                if (addCrash(part,
                             { endpoint,
                               request->answerBeganAt.value_or(request->lostAt),
                               request->answerBeganAt.has_value() })) {
                    part.updatedAt = now;
                    changed.insert(part.part);
                }
            }
        }
    };
    // Those with earlier crashes first: the new ones must not displace them.
    record([&](PromptPartId part) { return parts_.contains(part); });
    makeRoom(newParts.size());
    record([&](PromptPartId part) { return newParts.contains(part); });
    std::erase_if(changed, [this](PromptPartId part) { return !parts_.contains(part); });
    hasChanged_ = hasChanged_ || !changed.empty();
    std::vector<PromptPartId> result(changed.begin(), changed.end());
    std::stable_sort(result.begin(), result.end(), [this](PromptPartId a, PromptPartId b) {
        return parts_.at(a).crashes.size() > parts_.at(b).crashes.size();
    });
    return result;
}

/**
 * Returns the parts in flight at a crash that become suspect. If there are too many, they are the last ones of each
 * prompt: those before them are shared more widely, so they are in use elsewhere too.
 */
std::unordered_set<PromptPartId> PromptPartTracker::selectNewParts(std::span<const LostRequest *const> requests) const
{
    std::size_t longest = 0;
    for (const auto *request : requests) {
        longest = std::max(longest, request->sharedParts.size());
    }
    std::unordered_set<PromptPartId> selected;
    for (std::size_t depth = 1; depth <= longest; ++depth) {
        for (const auto *request : requests) {
            const auto &parts = request->sharedParts;
            if (depth > parts.size() || parts_.contains(parts[parts.size() - depth])) {
                continue;
            }
            if (selected.size() >= maxNewPartsPerCrash) {
                return selected;
            }
            selected.insert(parts[parts.size() - depth]);
        }
    }
    return selected;
}

void PromptPartTracker::recordRequestCrashes(std::span<const EndpointLifetime> endpoints, Time now)
{
    for (const auto &endpoint : endpoints) {
        requestCrashes_[endpoint] = now;
    }
    hasChanged_ = true;
}

void PromptPartTracker::recordAnswer(const EndpointLifetime &endpoint,
                                     std::vector<PromptPartId> parts,
                                     Time beganAt,
                                     Time now)
{
    if (!parts.empty()) {
        pendingAnswers_.push_back({ endpoint, std::move(parts), beganAt, now + confirmationTime });
    }
}

void PromptPartTracker::recordRejection(PromptPartId part, Time now)
{
    if (const auto found = parts_.find(part); found != parts_.end()) {
        found->second.updatedAt = now;
    }
}

bool PromptPartTracker::merge(const SuspectPart &part, Time now)
{
    if (now - part.updatedAt >= suspectTtl) {
        return false;
    }
    SuspectPart &own = findOrAdd(part.part);
    const bool isRefuted = isRepeated(part) && own.lastSuccessAt
        && std::any_of(part.crashes.begin(), part.crashes.end(), [&](const PartCrash &crash) {
                               return crash.at < *own.lastSuccessAt;
                           });
    own.position = std::max(own.position, part.position);
    own.longestAnswer = std::max(own.longestAnswer, part.longestAnswer);
    own.updatedAt = std::max(own.updatedAt, part.updatedAt);
    if (part.trialCount > own.trialCount) {
        own.trialCount = part.trialCount;
        own.lastTrialAt = part.lastTrialAt;
    }
    if (part.lastSuccessAt) {
        applySuccess(own, *part.lastSuccessAt);
    }
    for (const auto &crash : part.crashes) {
        addCrash(own, crash);
    }
    hasChanged_ = true;
    return isRefuted;
}

PromptPartTracker::Changes PromptPartTracker::update(Time now)
{
    Changes changes;
    while (!pendingAnswers_.empty() && pendingAnswers_.front().countsAt <= now) {
        for (const auto part : pendingAnswers_.front().parts) {
            recordSuccess(part, pendingAnswers_.front().beganAt, changes);
        }
        pendingAnswers_.pop_front();
    }
    if (hasChanged_ || (nextDecisionAt_ && *nextDecisionAt_ <= now)) {
        auto quarantined = decide(now, changes.unconfirmed);
        std::set_difference(quarantined.begin(),
                            quarantined.end(),
                            quarantined_.begin(),
                            quarantined_.end(),
                            std::back_inserter(changes.quarantined));
        std::set_difference(quarantined_.begin(),
                            quarantined_.end(),
                            quarantined.begin(),
                            quarantined.end(),
                            std::back_inserter(changes.released));
        quarantined_ = std::move(quarantined);
        digest_ = 0;
        for (const auto part : quarantined_) {
            digest_ ^= hashBytes("quarantined part", part.value());
        }
        hasChanged_ = false;
    }
    return changes;
}

std::optional<Time> PromptPartTracker::nextUpdateAt() const noexcept
{
    auto next = nextDecisionAt_;
    if (!pendingAnswers_.empty() && !parts_.empty()) { // without suspects, they may count later
        next = std::min(next.value_or(Time::max()), pendingAnswers_.front().countsAt);
    }
    return next;
}

/** Returns the parts to quarantine, and sets when a part that may be refuted until then has to be decided about. */
std::set<PromptPartId> PromptPartTracker::decide(Time now, std::vector<PromptPartId> &unconfirmed)
{
    std::vector<PossibleCause> causes;
    for (const auto &[id, part] : parts_) {
        if (const auto decisiveAt = decisiveTime(part)) {
            causes.push_back({ &part, *decisiveAt });
        }
    }
    std::sort(causes.begin(), causes.end(), isLikelierCause);
    std::set<PromptPartId> quarantined;
    std::set<EndpointLifetime> crashesWithCause;
    for (const auto &[endpoint, recordedAt] : requestCrashes_) {
        crashesWithCause.insert(endpoint);
    }
    explainedCrashes_.clear();
    nextDecisionAt_.reset();
    for (const auto &[part, decisiveAt] : causes) {
        Time firstUnexplained = Time::max();
        for (const auto &crash : part->crashes) {
            if (!crashesWithCause.contains(crash.endpoint)) {
                firstUnexplained = std::min(firstUnexplained, crash.at);
            }
        }
        if (firstUnexplained == Time::max()) {
            continue;
        }
        const Time lastNeededAt = std::max(decisiveAt, firstUnexplained);
        const Time dueAt = hasRecentSuccess(*part, decisiveAt) ? lastNeededAt + refutationTime : lastNeededAt;
        const bool isDue = dueAt <= now;
        if (isDue) {
            quarantined.insert(part->part);
        } else {
            const Time inquireAt = dueAt - inquiryTime;
            nextDecisionAt_ = std::min(nextDecisionAt_.value_or(Time::max()), inquireAt > now ? inquireAt : dueAt);
            if (inquireAt <= now && std::exchange(inquiries_[part->part], dueAt) != dueAt) {
                unconfirmed.push_back(part->part);
            }
        }
        for (const auto &crash : part->crashes) {
            crashesWithCause.insert(crash.endpoint);
            if (isDue) {
                explainedCrashes_.insert(crash.endpoint);
            }
        }
    }
    return quarantined;
}

std::optional<PromptPartId> PromptPartTracker::findQuarantined(std::span<const PromptPartId> parts) const
{
    const auto found =
        std::find_if(parts.begin(), parts.end(), [&](PromptPartId part) { return quarantined_.contains(part); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

bool PromptPartTracker::isExplained(const EndpointLifetime &endpoint) const
{
    return explainedCrashes_.contains(endpoint);
}

bool PromptPartTracker::isTrialDue(PromptPartId part, Time now) const
{
    const auto *suspect = find(part);
    if (suspect == nullptr || !quarantined_.contains(part)) {
        return false;
    }
    Time last = suspect->lastTrialAt.value_or(Time());
    for (const auto &crash : suspect->crashes) {
        last = std::max(last, crash.at);
    }
    return now - last >= trialDelay(suspect->trialCount);
}

std::uint32_t PromptPartTracker::recordTrial(PromptPartId part, Time now)
{
    SuspectPart &suspect = findOrAdd(part);
    ++suspect.trialCount;
    suspect.lastTrialAt = now;
    suspect.updatedAt = now;
    return suspect.trialCount;
}

const SuspectPart *PromptPartTracker::find(PromptPartId part) const
{
    const auto found = parts_.find(part);
    return found == parts_.end() ? nullptr : &found->second;
}

std::vector<SuspectPart> PromptPartTracker::quarantinedParts() const
{
    std::vector<SuspectPart> result;
    for (const auto part : quarantined_) {
        if (const auto *suspect = find(part)) {
            result.push_back(*suspect);
        }
    }
    return result;
}

void PromptPartTracker::expire(Time now)
{
    const auto erased = std::erase_if(parts_, [&](const auto &item) {
        const auto &part = item.second;
        return now - part.updatedAt >= (part.crashes.empty() ? successRetention : suspectTtl);
    });
    hasChanged_ = hasChanged_ || erased > 0;
    std::erase_if(requestCrashes_, [&](const auto &item) { return now - item.second >= suspectTtl; });
    std::erase_if(inquiries_, [&](const auto &item) { return item.second <= now; });
    if (now - successesRotatedAt_ >= successRetention) {
        olderSuccesses_ = std::exchange(recentSuccesses_, {});
        successesRotatedAt_ = now;
    }
}

/** Returns the entry of a part, with room for a new one. */
SuspectPart &PromptPartTracker::findOrAdd(PromptPartId part)
{
    const auto found = parts_.find(part);
    if (found != parts_.end()) {
        return found->second;
    }
    makeRoom(1);
    SuspectPart &suspect = parts_[part];
    suspect.part = part;
    suspect.lastSuccessAt = knownSuccess(part);
    return suspect;
}

/** Removes the parts with the fewest crashes, the least recently updated first, but none that is quarantined. */
void PromptPartTracker::makeRoom(std::size_t count)
{
    if (parts_.size() + count <= maxSuspects) {
        return;
    }
    std::vector<const SuspectPart *> removable;
    for (const auto &[id, part] : parts_) {
        if (!quarantined_.contains(id)) {
            removable.push_back(&part);
        }
    }
    const std::size_t removed = std::min(parts_.size() + count - maxSuspects, removable.size());
    const auto end = removable.begin() + static_cast<std::ptrdiff_t>(removed);
    if (end != removable.end()) {
        std::nth_element(removable.begin(), end, removable.end(), [](const SuspectPart *a, const SuspectPart *b) {
            return std::tuple(a->crashes.size(), a->updatedAt, a->part)
                < std::tuple(b->crashes.size(), b->updatedAt, b->part);
        });
    }
    std::for_each(removable.begin(), end, [this](const SuspectPart *part) { parts_.erase(PromptPartId(part->part)); });
}

/**
 * Adds a crash unless a success has refuted it, or enough are known: if later ones replaced earlier ones, a part that
 * crashes many endpoints a second would never have been suspect for long enough.
 *
 * @return false if it adds nothing
 */
bool PromptPartTracker::addCrash(SuspectPart &part, const PartCrash &crash)
{
    if (part.lastSuccessAt && crash.at < *part.lastSuccessAt) {
        return false;
    }
    auto &crashes = part.crashes;
    const auto place = std::lower_bound(
        crashes.begin(), crashes.end(), crash, [](const auto &a, const auto &b) { return a.endpoint < b.endpoint; });
    if (place != crashes.end() && place->endpoint == crash.endpoint) {
        place->at = std::max(place->at, crash.at);
        place->hadAnswer = place->hadAnswer || crash.hadAnswer;
        return false;
    }
    if (crashes.size() >= maxCrashesPerPart) {
        return false;
    }
    crashes.insert(place, crash);
    return true;
}

/** Removes the crashes that a success refutes. @return whether there were any */
bool PromptPartTracker::applySuccess(SuspectPart &part, Time beganAt)
{
    part.lastSuccessAt = std::max(part.lastSuccessAt.value_or(beganAt), beganAt);
    const bool isRefuted =
        std::erase_if(part.crashes, [&](const PartCrash &crash) { return crash.at < *part.lastSuccessAt; }) > 0;
    if (part.crashes.empty()) {
        part.longestAnswer = {};
        part.trialCount = 0;
    }
    return isRefuted;
}

void PromptPartTracker::recordSuccess(PromptPartId part, Time beganAt, Changes &changes)
{
    if (recentSuccesses_.size() >= maxSuccesses) {
        olderSuccesses_ = std::exchange(recentSuccesses_, {});
    }
    Time &known = recentSuccesses_[part];
    known = std::max(known, beganAt);
    const auto found = parts_.find(part);
    if (found == parts_.end()) {
        return;
    }
    const bool wasRepeated = isRepeated(found->second);
    if (applySuccess(found->second, beganAt)) {
        hasChanged_ = true;
        if (wasRepeated) {
            changes.refuted.push_back(part);
        }
    }
}

/** Returns when the latest successful answer with a part began, as far as this VM has seen it. */
std::optional<Time> PromptPartTracker::knownSuccess(PromptPartId part) const
{
    for (const auto *successes : { &recentSuccesses_, &olderSuccesses_ }) {
        if (const auto found = successes->find(part); found != successes->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace lacewing::dispatch
