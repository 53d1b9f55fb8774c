#include <memory/memory.h>

#include <algorithm>

namespace lacewing::memory
{
namespace
{

constexpr double othersShare = 0.5;
constexpr std::size_t maxAnswerBytes = std::size_t(8) << 20U;
/** An answer may take this part of the memory for others, so that one caller can't take it all. */
constexpr std::size_t answerDivisor = 4;

/** Descriptors that the platform keeps for files, and the most that it keeps of few. */
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t fileDivisor = 4;
/** Of 40 sockets, so many are for callers and endpoints. */
constexpr std::size_t socketParts = 40;
constexpr std::size_t callerParts = 21;
constexpr std::size_t endpointParts = 16;

/** Memory of a header field besides its text: in the parser, in the request and in the call to an endpoint. */
constexpr std::size_t fieldBytes = 192;

/** Time without progress after which a connection may be closed. */
constexpr Duration unfinishedQuiet = std::chrono::seconds(2);
constexpr Duration idleQuiet = std::chrono::seconds(5);
constexpr Duration unreadQuiet = std::chrono::seconds(5);

/** Returns the time without progress after which a connection may be closed; empty: never. */
std::optional<Duration> quietTime(Activity activity) noexcept
{
    switch (activity) {
    case Activity::ReadingRequest:
        return unfinishedQuiet;
    case Activity::Idle:
        return idleQuiet;
    case Activity::Running:
        return std::nullopt;
    case Activity::SendingAnswer:
        return unreadQuiet;
    }
    return std::nullopt;
}

} // namespace

MemoryShares shareMemory(std::size_t bytes) noexcept
{
    const auto forOthers = static_cast<std::size_t>(othersShare * double(bytes));
    return { forOthers, std::min(maxAnswerBytes, forOthers / answerDivisor) };
}

DescriptorShares shareDescriptors(std::size_t count) noexcept
{
    const std::size_t sockets = count - std::min(fileDescriptors, count / fileDivisor);
    return { sockets * callerParts / socketParts, sockets * endpointParts / socketParts };
}

std::size_t headMemory(std::size_t bytes, std::size_t lines) noexcept
{
    return bytes + lines * fieldBytes;
}

std::vector<std::size_t> selectReclaimed(std::span<const Connection> connections,
                                         Shortage shortage,
                                         std::size_t wanted,
                                         Time now)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto &connection = connections[index];
        const auto quiet = quietTime(connection.activity);
        const bool frees = shortage == Shortage::Descriptors || connection.bytes > 0;
        if (quiet && frees && now - connection.lastProgress >= *quiet) {
            candidates.push_back(index);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](std::size_t first, std::size_t second) {
        const auto &one = connections[first];
        const auto &other = connections[second];
        return one.activity != other.activity ? one.activity < other.activity : one.lastProgress < other.lastProgress;
    });
    std::size_t count = 0;
    for (std::size_t gained = 0; count < candidates.size() && gained < wanted; ++count) {
        gained += shortage == Shortage::Memory ? connections[candidates[count]].bytes : 1;
    }
    candidates.resize(count);
    return candidates;
}

} // namespace lacewing::memory
