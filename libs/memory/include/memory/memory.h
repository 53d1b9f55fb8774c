#pragma once

#include <base/base.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/**
 * Decides how a VM's memory and descriptors are shared among all that it holds for others, and what is taken back.
 *
 * The load that it answers: callers that don't finish their requests or don't read their answers, many at a time.
 *
 * This library performs no I/O; the current time is passed in by the caller.
 */
namespace lacewing::memory
{

/** Parts of a VM's memory, in bytes. */
struct MemoryShares {
    std::size_t forOthers = 0; ///< for heads, bodies, answers and buffers together; the rest is the process's own
    std::size_t largestAnswer = 0; ///< that is held for one request
};
/** @param bytes that the process may take */
MemoryShares shareMemory(std::size_t bytes) noexcept;

/** Parts of a VM's descriptors; the rest is for files, links between VMs and the store. */
struct DescriptorShares {
    std::size_t callers = 0; ///< connections
    std::size_t endpoints = 0; ///< connections
};
/** @param count of descriptors that the process may have */
DescriptorShares shareDescriptors(std::size_t count) noexcept;

/** Returns the memory that the head of a request takes while it is read and until the request ends. */
std::size_t headMemory(std::size_t bytes, std::size_t lines) noexcept;

/** Memory kept for the answer to each request that is handed on, so that no answer is lost for want of room. */
constexpr std::size_t answerReserve = std::size_t(32) << 10U;

/** What a connection does for its caller. */
enum class Activity : std::uint8_t {
    ReadingRequest, ///< has received part of a request
    Idle, ///< between requests
    Running, ///< has handed its request on
    SendingAnswer, ///< has bytes of an answer that the caller hasn't read
};

/** A connection as a candidate to be closed. */
struct Connection {
    Activity activity = Activity::Idle;
    Time lastProgress; ///< when its caller last sent or read a fair number of bytes
    std::size_t bytes = 0; ///< held for it
};

/** What is short. */
enum class Shortage : std::uint8_t { Memory, Descriptors };

/**
 * Selects connections to close, so that others are served: unfinished requests first, then idle connections, and
 * answers that nobody reads last. Connections with recent progress and running requests are spared.
 *
 * @param wanted bytes, or connections
 * @return indices into `connections` in the order in which they are closed; their sum may be less than wanted
 */
std::vector<std::size_t> selectReclaimed(std::span<const Connection> connections,
                                         Shortage shortage,
                                         std::size_t wanted,
                                         Time now);

} // namespace lacewing::memory
