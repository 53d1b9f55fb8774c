#include "prompt_part_crashes.h"

#include <map>

using namespace lacewing;
using namespace lacewing::dispatch;

/** Replay of a fleet. */
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
