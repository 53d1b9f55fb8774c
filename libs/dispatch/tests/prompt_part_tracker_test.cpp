#include <dispatch/dispatch.h>

#include <algorithm>
#include <map>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::dispatch;

namespace
{

constexpr Time start { 100s };
constexpr PromptPartId firstPart(1);
constexpr PromptPartId soundPart(2);
constexpr PromptPartId poisonPart(3);
constexpr PromptPartId otherPoisonPart(4);
constexpr PromptPartId otherFirstPart(5);

routing::EndpointLifetime lifetime(std::uint64_t number)
{
    return { EndpointId("e" + std::to_string(number)), Incarnation(1) };
}

LostRequest lostRequest(std::vector<PromptPartId> parts, Time lostAt, std::optional<Duration> answerTime)
{
    LostRequest lost;
    lost.sharedParts = std::move(parts);
    lost.lostAt = lostAt;
    if (answerTime) {
        lost.answerBeganAt = lostAt - *answerTime;
    }
    return lost;
}

/** Records crashes of different endpoints, 100 ms after each other, at each of which the same parts were in flight. */
void recordCrashes(PromptPartTracker &tracker,
                   const std::vector<PromptPartId> &parts,
                   int count,
                   Time from,
                   std::uint64_t firstEndpoint = 1)
{
    for (int crash = 0; crash < count; ++crash) {
        const Time now = from + 100ms * crash;
        const std::vector<LostRequest> lost { lostRequest(parts, now, 50ms) };
        tracker.recordCrash(lifetime(firstEndpoint + std::uint64_t(crash)), lost, now);
        tracker.update(now);
    }
}

/** Records an answer whose endpoint lives on, and lets it count. */
PromptPartTracker::Changes recordSuccess(PromptPartTracker &tracker, std::vector<PromptPartId> parts, Time beganAt)
{
    tracker.recordAnswer(lifetime(99), std::move(parts), beganAt, beganAt + 100ms);
    return tracker.update(beganAt + 1s);
}

bool isQuarantined(const PromptPartTracker &tracker, PromptPartId part)
{
    return tracker.findQuarantined(std::vector { part }).has_value();
}

} // namespace

Test(promptPartTracker, partOfThreeCrashesIsQuarantinedAndNotThePartsBeforeIt)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { firstPart, poisonPart }, 2, start);
    cr_assert_not(isQuarantined(tracker, poisonPart));
    recordCrashes(tracker, { firstPart, poisonPart }, 1, start + 1s, 10);
    cr_assert(isQuarantined(tracker, poisonPart));
    cr_assert_not(isQuarantined(tracker, firstPart));
}

Test(promptPartTracker, crashWithoutTheQuarantinedPartShowsThatItWasNotTheCause)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { firstPart, soundPart }, 3, start);
    cr_assert(isQuarantined(tracker, soundPart), "among equals it is the later part");
    recordCrashes(tracker, { firstPart, otherPoisonPart }, 1, start + 1s, 10);
    cr_assert(isQuarantined(tracker, firstPart));
    cr_assert_not(isQuarantined(tracker, soundPart));
}

Test(promptPartTracker, partsOfARequestThatCrashesEndpointsByItselfAreNotSuspect)
{
    PromptPartTracker tracker;
    std::vector<routing::EndpointLifetime> crashes;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        crashes.push_back(lifetime(crash));
    }
    tracker.recordRequestCrashes(crashes, start);
    recordCrashes(tracker, { firstPart, soundPart }, 3, start);
    cr_assert_not(isQuarantined(tracker, soundPart));
    cr_assert_not(isQuarantined(tracker, firstPart));
    recordCrashes(tracker, { firstPart, soundPart }, 1, start + 1s, 10);
    cr_assert(isQuarantined(tracker, soundPart), "another request with the part has crashed an endpoint");
}

struct RefutationCase {
    char name[56];
    int answerBeganMs; ///< relative to the third crash
    int crashOfItsEndpointMs; ///< after the end of the answer; 0: it lives on
    bool isRefuted;
};

RefutationCase refutationCases[] = {
    { "answer that began after the crashes", 50, 0, true },
    { "answer that began before the crashes", -300, 0, false },
    { "its endpoint crashes a moment after it", 50, 100, false },
};

ParameterizedTestParameters(promptPartTracker, answerRefutesEarlierCrashesIfItsEndpointLivesOn)
{
    return cr_make_param_array(RefutationCase, refutationCases, std::size(refutationCases));
}

ParameterizedTest(RefutationCase *test, promptPartTracker, answerRefutesEarlierCrashesIfItsEndpointLivesOn)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { poisonPart }, 3, start);
    const Time thirdCrash = start + 200ms;
    const Time endsAt = thirdCrash + 100ms;
    tracker.recordAnswer(
        lifetime(50), { poisonPart }, thirdCrash + std::chrono::milliseconds(test->answerBeganMs), endsAt);
    if (test->crashOfItsEndpointMs > 0) {
        const Time crashAt = endsAt + std::chrono::milliseconds(test->crashOfItsEndpointMs);
        tracker.recordCrash(lifetime(50), {}, crashAt);
    }
    tracker.update(endsAt + 1s);
    cr_assert_eq(isQuarantined(tracker, poisonPart), !test->isRefuted, "%s", test->name);
}

Test(promptPartTracker, partWithARecentSuccessIsQuarantinedOnlyIfNoAnswerRefutesIt)
{
    for (const bool isRefuted : { false, true }) {
        PromptPartTracker tracker;
        recordSuccess(tracker, { firstPart }, start - 5s);
        recordCrashes(tracker, { firstPart }, 3, start);
        cr_assert_not(isQuarantined(tracker, firstPart));
        if (isRefuted) {
            recordSuccess(tracker, { firstPart }, start + 400ms);
        }
        std::size_t inquiries = 0;
        for (auto due = tracker.nextUpdateAt(); due; due = tracker.nextUpdateAt()) {
            cr_assert_leq(*due, start + 3s);
            inquiries += tracker.update(*due).unconfirmed.size();
        }
        cr_assert_eq(inquiries, isRefuted ? 0U : 1U, "%zu", inquiries);
        cr_assert_eq(isQuarantined(tracker, firstPart), !isRefuted);
    }
}

Test(promptPartTracker, answerThatHadBeenArrivingForLongIsNotTheCause)
{
    PromptPartTracker tracker;
    for (int crash = 1; crash <= 5; ++crash) {
        const std::vector<LostRequest> lost { lostRequest({ soundPart }, start, 1500ms),
                                              lostRequest({ otherFirstPart }, start, 700ms),
                                              lostRequest({ poisonPart }, start, 60ms) };
        tracker.recordCrash(lifetime(std::uint64_t(crash)), lost, start);
    }
    tracker.update(start);
    cr_assert_null(tracker.find(soundPart));
    cr_assert(isQuarantined(tracker, poisonPart));
    cr_assert_not(isQuarantined(tracker, otherFirstPart));
    cr_assert(tracker.isExplained(lifetime(1)));
    cr_assert_not(tracker.isExplained(lifetime(6)));
}

Test(promptPartTracker, trialsOfTheWholeFleetBecomeRarer)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { poisonPart }, 3, start);
    std::vector<Time> trials;
    for (Time now = start; now < start + 1h; now += 1s) {
        tracker.recordRejection(poisonPart, now);
        tracker.expire(now);
        tracker.update(now);
        cr_assert(isQuarantined(tracker, poisonPart));
        if (tracker.isTrialDue(poisonPart, now)) {
            tracker.recordTrial(poisonPart, now);
            trials.push_back(now);
        }
    }
    cr_assert_eq(trials.size(), 4U, "%zu", trials.size());
    cr_assert_geq(trials.front() - start, 30s);
    const auto changes = recordSuccess(tracker, { poisonPart }, start + 1h);
    cr_assert_eq(changes.released.size(), 1U);
    cr_assert_not(isQuarantined(tracker, poisonPart));
}

Test(promptPartTracker, floodOfPartsIsBoundedAndLeavesQuarantines)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { poisonPart }, 3, start);
    for (std::uint64_t part = 1'000; part < 21'000; ++part) {
        const std::vector<LostRequest> lost { lostRequest({ PromptPartId(part) }, start + 1s, 50ms) };
        tracker.recordCrash(lifetime(part), lost, start + 1s);
    }
    tracker.update(start + 1s);
    cr_assert_eq(tracker.size(), 4096U, "%zu", tracker.size());
    cr_assert(isQuarantined(tracker, poisonPart));
}

namespace
{

/** Requests that were in flight at a crash, with prompts of many parts that no other request has. */
std::vector<LostRequest> longPrompts(std::size_t requests, std::size_t parts, std::uint64_t firstPartId, Time lostAt)
{
    std::vector<LostRequest> lost;
    for (std::size_t request = 0; request < requests; ++request) {
        std::vector<PromptPartId> ids;
        for (std::size_t part = 0; part < parts; ++part) {
            ids.emplace_back(firstPartId + request * parts + part);
        }
        lost.push_back(lostRequest(std::move(ids), lostAt, 50ms));
    }
    return lost;
}

struct LongPromptsCase {
    char name[40];
    std::size_t requests;
    std::size_t parts;
};

LongPromptsCase longPromptsCases[] = {
    { "eleven prompts of 400 parts", 11, 400 },
    { "45 prompts of 400 parts", 45, 400 },
    { "four prompts of 1,200 parts", 4, 1'200 },
    { "one prompt of 4,098 parts", 1, 4'098 },
};

} // namespace

ParameterizedTestParameters(promptPartTracker, crashWithManyPartsReturnsOnlyThoseThatAreKnown)
{
    return cr_make_param_array(LongPromptsCase, longPromptsCases, std::size(longPromptsCases));
}

/** Parts that had been displaced within the same crash were returned, and looked up by the caller (review/6, LOST). */
ParameterizedTest(LongPromptsCase *test, promptPartTracker, crashWithManyPartsReturnsOnlyThoseThatAreKnown)
{
    PromptPartTracker tracker;
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
        const Time now = start + 1s * crash;
        const auto lost = longPrompts(test->requests, test->parts, crash * 1'000'000, now);
        const auto parts = tracker.recordCrash(lifetime(crash), lost, now);
        cr_assert_not(parts.empty(), "%s", test->name);
        for (const auto part : parts) {
            cr_assert_not_null(tracker.find(part), "%s: a part is returned and not known", test->name);
        }
        cr_assert_leq(tracker.size(), 4096U, "%s: %zu", test->name, tracker.size());
        tracker.update(now);
    }
}

/** Crashes with many parts in flight displaced a part with earlier crashes, so it was never quarantined (review/6). */
ParameterizedTestParameters(promptPartTracker, crashWithManyPartsKeepsWhatOthersHaveShown)
{
    return cr_make_param_array(LongPromptsCase, longPromptsCases, std::size(longPromptsCases));
}

ParameterizedTest(LongPromptsCase *test, promptPartTracker, crashWithManyPartsKeepsWhatOthersHaveShown)
{
    PromptPartTracker tracker;
    recordCrashes(tracker, { firstPart, poisonPart }, 2, start);
    for (std::uint64_t crash = 1; crash <= 10; ++crash) {
        const Time now = start + 1s * crash;
        tracker.recordCrash(
            lifetime(100 + crash), longPrompts(test->requests, test->parts, crash * 1'000'000, now), now);
        tracker.update(now);
    }
    recordCrashes(tracker, { firstPart, poisonPart }, 1, start + 11s, 10);
    cr_assert(isQuarantined(tracker, poisonPart), "%s", test->name);
}

Test(promptPartTracker, partInTheMiddleOfLongPromptsIsQuarantined)
{
    constexpr std::size_t parts = 400;
    PromptPartTracker tracker;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        const Time now = start + 1s * crash;
        auto lost = longPrompts(2, parts, crash * 1'000'000, now);
        lost.front().sharedParts[parts / 2] = poisonPart;
        const auto changed = tracker.recordCrash(lifetime(crash), lost, now);
        cr_assert(crash == 1 || changed.front() == poisonPart, "the part with most crashes is told first");
        tracker.update(now);
    }
    cr_assert(isQuarantined(tracker, poisonPart));
}

// ---------------------------------------------------------------------------------------------------------------------
// Replay of a fleet

namespace
{

/** A kind of requests in the replay. */
struct Load {
    std::vector<PromptPartId> parts;
    double perSecond = 0;
    Duration answerTime {};
    Time from; ///< when such requests begin to come
    std::optional<Time> poisonFrom; ///< from when they crash each engine that begins to answer them
};

enum class Scenario : std::uint8_t {
    PoisonBeforeLast,
    PoisonIsFirst,
    SoundPartTurnsPoison,
    TwoPoisonParts,
    RarePoison,
    NoPoison,
};

struct ReplayCase {
    char name[64];
    std::size_t vms;
    std::size_t engines;
    double scale; ///< of the requests per second
    Scenario scenario;
    std::size_t enginesLostAtOnce; ///< at the start of the fault, without a poison request
};

constexpr Duration crashDelay = 60ms; ///< from the beginning of the answer
constexpr Duration restartTime = 3s;
constexpr Time faultAt = start + 5s;
constexpr Duration stableWindow = 3s;

std::vector<Load> loadsOf(Scenario scenario)
{
    constexpr double usual = 5; ///< poison requests per second
    constexpr double rare = 0.2;
    std::vector<Load> loads { { { firstPart, soundPart }, 20, 400ms, start, {} },
                              { { otherFirstPart }, 12, 1500ms, start, {} } };
    switch (scenario) {
    case Scenario::TwoPoisonParts:
        loads.push_back({ { otherFirstPart, otherPoisonPart }, usual, 1500ms, faultAt, faultAt });
        [[fallthrough]];
    case Scenario::PoisonBeforeLast:
        loads.push_back({ { firstPart, poisonPart }, usual, 400ms, faultAt, faultAt });
        break;
    case Scenario::PoisonIsFirst:
        loads.push_back({ { poisonPart }, usual, 400ms, faultAt, faultAt });
        break;
    case Scenario::SoundPartTurnsPoison:
        loads.push_back({ { firstPart, poisonPart }, usual, 400ms, start, faultAt });
        break;
    case Scenario::RarePoison:
        loads.push_back({ { firstPart, poisonPart }, rare, 400ms, faultAt, faultAt });
        break;
    case Scenario::NoPoison:
        break;
    }
    return loads;
}

ReplayCase replayCases[] = {
    { "part before the last", 8, 9, 1, Scenario::PoisonBeforeLast, 0 },
    { "first part", 8, 9, 1, Scenario::PoisonIsFirst, 0 },
    { "part that was sound before", 8, 9, 1, Scenario::SoundPartTurnsPoison, 0 },
    { "two parts", 8, 9, 1, Scenario::TwoPoisonParts, 0 },
    { "one request in many", 8, 9, 1, Scenario::RarePoison, 0 },
    { "engines lost at once for another reason", 8, 9, 1, Scenario::NoPoison, 4 },
    { "engines lost at once, large fleet", 70, 60, 8, Scenario::NoPoison, 20 },
    { "370 vms, part before the last", 370, 600, 30, Scenario::PoisonBeforeLast, 0 },
    { "370 vms, part that was sound before", 370, 600, 30, Scenario::SoundPartTurnsPoison, 0 },
};

/** Runs the requests of a fleet against engines, and the messages between its VMs, a tenth of which is lost. */
class Replay
{
public:
    Replay(const ReplayCase &test, std::uint64_t seed)
        : test_(test)
        , random_(seed)
        , trackers_(test.vms)
        , refutations_(test.vms)
        , loads_(loadsOf(test.scenario))
        , due_(loads_.size())
    {
        for (std::size_t engine = 0; engine < test.engines; ++engine) {
            engines_.push_back({ lifetime(++lastLifetime_), start });
        }
    }

    void run(Duration length)
    {
        for (Time now = start; now < start + length; now += step) {
            if (now == faultAt) {
                for (std::size_t engine = 0; engine < test_.enginesLostAtOnce; ++engine) {
                    crash(engine, now);
                }
                if (test_.enginesLostAtOnce > 0) {
                    countedFrom_ = now; // without a poison part, no request may be refused at all
                }
            }
            sendRequests(now);
            progressAnswers(now);
            deliverMessages(now);
            updateTrackers(now);
        }
    }

    std::size_t latePoison = 0; ///< sent later than the stable window after the fifth crash
    std::size_t crashes = 0; ///< due to poison requests
    std::size_t lateSound = 0; ///< sound requests later than twice the window after the fifth or last crash
    std::size_t lateRefused = 0; ///< of these
    std::size_t messages = 0;

private:
    static constexpr Duration step = 10ms;
    static constexpr Duration messageDelay = 10ms;
    static constexpr Duration detectionDelay = 20ms;

    struct Engine {
        routing::EndpointLifetime lifetime;
        Time upAt;
    };
    struct Answer {
        std::size_t vm;
        std::size_t engine;
        const Load *load;
        Time beganAt;
        bool isPoison;
        bool isReported = false;
    };
    /** A success that a VM is about to send. */
    struct Refutation {
        Time sendAt;
        int reports = 0; ///< of other VMs
    };
    struct Message {
        Time at;
        std::size_t to;
        SuspectPart part;
    };

    void sendRequests(Time now)
    {
        for (std::size_t kind = 0; kind < loads_.size(); ++kind) {
            const Load &load = loads_[kind];
            due_[kind] += now >= load.from ? load.perSecond * test_.scale * toSeconds(step) : 0;
            for (; due_[kind] >= 1; due_[kind] -= 1) {
                send(load, now);
            }
        }
    }

    void send(const Load &load, Time now)
    {
        const std::size_t vm = random_.below(test_.vms);
        const std::size_t engine = random_.below(engines_.size());
        const bool isPoison = load.poisonFrom && now >= *load.poisonFrom;
        const bool isRefused = trackers_[vm].findQuarantined(load.parts).has_value();
        const bool isLateSound = !isPoison && countedFrom_ && now > *countedFrom_;
        lateSound += isLateSound ? 1 : 0;
        lateRefused += isLateSound && isRefused ? 1 : 0;
        if (isRefused || engines_[engine].upAt > now) {
            return;
        }
        latePoison += isPoison && fifthCrashAt_ && now > *fifthCrashAt_ + stableWindow ? 1 : 0;
        answers_.push_back({ vm, engine, &load, now, isPoison });
    }

    void progressAnswers(Time now)
    {
        for (std::size_t answer = 0; answer < answers_.size(); ++answer) {
            if (answers_[answer].isPoison && now - answers_[answer].beganAt >= crashDelay) {
                ++crashes;
                if (crashes <= 5) {
                    countedFrom_ = now + 2 * stableWindow;
                    lateSound = 0;
                    lateRefused = 0;
                }
                if (crashes == 5) {
                    fifthCrashAt_ = now;
                }
                crash(answers_[answer].engine, now);
                answer = 0;
            }
        }
        for (auto &answer : answers_) {
            const bool hasEnded = now - answer.beganAt >= answer.load->answerTime;
            if (!answer.isReported && (hasEnded || now - answer.beganAt > PromptPartTracker::maxCrashDelay)) {
                answer.isReported = true;
                trackers_[answer.vm].recordAnswer(
                    engines_[answer.engine].lifetime, answer.load->parts, answer.beganAt, now);
            }
        }
        std::erase_if(answers_, [&](const Answer &answer) { return now - answer.beganAt >= answer.load->answerTime; });
    }

    void crash(std::size_t engine, Time now)
    {
        std::map<std::size_t, std::vector<LostRequest>> lostByVm;
        for (const auto &answer : answers_) {
            if (answer.engine == engine) {
                lostByVm[answer.vm].push_back(lostRequest(answer.load->parts, now, now - answer.beganAt));
            }
        }
        for (const auto &[vm, lost] : lostByVm) {
            const auto changed = trackers_[vm].recordCrash(engines_[engine].lifetime, lost, now);
            broadcast(vm, changed, now + detectionDelay);
        }
        std::erase_if(answers_, [&](const Answer &answer) { return answer.engine == engine; });
        engines_[engine] = { lifetime(++lastLifetime_), now + restartTime };
    }

    template <typename Parts>
    void broadcast(std::size_t from, const Parts &parts, Time now)
    {
        for (const auto part : parts) {
            if (trackers_[from].find(part) == nullptr) {
                continue;
            }
            for (std::size_t to = 0; to < test_.vms; ++to) {
                if (to != from) {
                    send(to, *trackers_[from].find(part), now);
                }
            }
        }
    }

    /** Sends a message to a VM; a tenth of them is lost. */
    void send(std::size_t to, const SuspectPart &part, Time now)
    {
        if (random_.below(10) > 0) {
            messages_.push_back({ now + messageDelay, to, part });
            ++messages;
        }
    }

    void scheduleRefutation(std::size_t vm, PromptPartId part, Time now)
    {
        constexpr std::uint64_t maxDelayMs = 100;
        const Time sendAt = now + std::chrono::milliseconds(random_.below(maxDelayMs));
        refutations_[vm].try_emplace(part, Refutation { sendAt, 0 });
    }

    void merge(std::size_t vm, const SuspectPart &part, Time now)
    {
        if (part.lastSuccessAt) {
            constexpr int sufficientReports = 3;
            const auto refutation = refutations_[vm].find(part.part);
            if (refutation != refutations_[vm].end() && ++refutation->second.reports >= sufficientReports) {
                refutations_[vm].erase(refutation);
            }
        }
        if (trackers_[vm].merge(part, now)) {
            scheduleRefutation(vm, part.part, now);
        }
    }

    void deliverMessages(Time now)
    {
        for (std::size_t message = 0; message < messages_.size(); ++message) {
            if (messages_[message].at <= now) {
                const Message due = messages_[message];
                merge(due.to, due.part, now);
            }
        }
        std::erase_if(messages_, [&](const Message &message) { return message.at <= now; });
    }

    void updateTrackers(Time now)
    {
        const bool isHeartbeat = (now - start) % 1s == Duration::zero();
        for (std::size_t vm = 0; vm < test_.vms; ++vm) {
            const auto changes = trackers_[vm].update(now);
            for (const auto part : changes.refuted) {
                scheduleRefutation(vm, part, now);
            }
            for (const auto part : changes.unconfirmed) {
                constexpr int inquiries = 6;
                for (int inquiry = 0; inquiry < inquiries; ++inquiry) {
                    send(random_.below(test_.vms), *trackers_[vm].find(part), now);
                }
            }
            std::vector<PromptPartId> refuted;
            std::erase_if(refutations_[vm], [&](const auto &item) {
                if (item.second.sendAt <= now) {
                    refuted.push_back(item.first);
                }
                return item.second.sendAt <= now;
            });
            broadcast(vm, refuted, now);
            const std::size_t peer = random_.below(test_.vms);
            if (isHeartbeat && trackers_[peer].digest() != trackers_[vm].digest()) {
                for (const auto &part : trackers_[peer].quarantinedParts()) {
                    merge(vm, part, now);
                }
            }
        }
    }

    const ReplayCase &test_;
    Random random_;
    std::vector<PromptPartTracker> trackers_;
    std::vector<std::map<PromptPartId, Refutation>> refutations_; ///< by VM
    std::vector<Load> loads_;
    std::vector<double> due_;
    std::vector<Engine> engines_;
    std::vector<Answer> answers_;
    std::vector<Message> messages_;
    std::uint64_t lastLifetime_ = 0;
    std::optional<Time> fifthCrashAt_;
    std::optional<Time> countedFrom_; ///< from when on sound requests are counted
};

} // namespace

ParameterizedTestParameters(promptPartTracker, fewRequestsFollowTheFifthCrash)
{
    return cr_make_param_array(ReplayCase, replayCases, std::size(replayCases));
}

ParameterizedTest(ReplayCase *test, promptPartTracker, fewRequestsFollowTheFifthCrash)
{
    const std::uint64_t seeds = test->vms > 100 ? 2 : 40;
    const bool hasPoison = test->enginesLostAtOnce == 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Replay replay(*test, seed);
        replay.run(test->scenario == Scenario::RarePoison ? 60s : 20s);
        const auto shown = static_cast<unsigned long long>(seed);
        cr_assert_leq(replay.latePoison, 3U, "%s, seed %llu: %zu", test->name, shown, replay.latePoison);
        cr_assert_eq(hasPoison, replay.crashes > 0, "%s, seed %llu", test->name, shown);
        cr_assert(replay.lateSound > 0, "%s, seed %llu", test->name, shown);
        cr_assert_eq(replay.lateRefused,
                     0U,
                     "%s, seed %llu: %zu of %zu sound requests refused",
                     test->name,
                     shown,
                     replay.lateRefused,
                     replay.lateSound);
        if (seed == 1) {
            cr_log_info("%s: %zu crashes, %zu messages", test->name, replay.crashes, replay.messages);
        }
    }
}
