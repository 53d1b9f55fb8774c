#pragma once

#include <dispatch/dispatch.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

/** Crashes and answers with prompt parts in flight, for the tests of PromptPartTracker. */
namespace lacewing::dispatch
{

inline constexpr Time start { 100s };
inline constexpr PromptPartId firstPart(1);
inline constexpr PromptPartId soundPart(2);
inline constexpr PromptPartId poisonPart(3);
inline constexpr PromptPartId otherPoisonPart(4);
inline constexpr PromptPartId otherFirstPart(5);

inline routing::EndpointLifetime lifetime(std::uint64_t number)
{
    return { EndpointId("e" + std::to_string(number)), Incarnation(1) };
}

inline LostRequest lostRequest(std::vector<PromptPartId> parts, Time lostAt, std::optional<Duration> answerTime)
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
inline void recordCrashes(PromptPartTracker &tracker,
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
inline PromptPartTracker::Changes recordSuccess(PromptPartTracker &tracker,
                                                std::vector<PromptPartId> parts,
                                                Time beganAt)
{
    tracker.recordAnswer(lifetime(99), std::move(parts), beganAt, beganAt + 100ms);
    return tracker.update(beganAt + 1s);
}

inline bool isQuarantined(const PromptPartTracker &tracker, PromptPartId part)
{
    return tracker.findQuarantined(std::vector { part }).has_value();
}

} // namespace lacewing::dispatch
