#pragma once

#include <boost/outcome/result.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

/**
 * Vocabulary shared by every library: identifiers, units, typed errors, clocks, the timer service, seeded random
 * numbers and hashing. Nothing here does input or output.
 */
namespace lacewing
{

// ---------------------------------------------------------------------------------------------------------------------
// Identifiers

/**
 * A textual identifier that can't be mixed up with one of another kind.
 *
 * @tparam Tag distinguishes the kinds; it needs no definition.
 */
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : value_(std::move(value))
    {
    }

    /** The identifier's text. */
    const std::string &text() const noexcept
    {
        return value_;
    }
    bool isEmpty() const noexcept
    {
        return value_.empty();
    }

    auto operator<=>(const Name &) const = default;

private:
    std::string value_;
};

/** A number that can't be mixed up with one of another kind. */
template <typename Tag, typename Rep = std::uint64_t>
class Number
{
public:
    using Representation = Rep;

    constexpr Number() = default;
    constexpr explicit Number(Rep value) noexcept
        : value_(value)
    {
    }

    constexpr Rep value() const noexcept
    {
        return value_;
    }
    constexpr Number next() const noexcept
    {
        return Number(value_ + 1);
    }

    constexpr auto operator<=>(const Number &) const = default;

private:
    Rep value_ = 0;
};

using RegionId = Name<struct RegionTag>;
using AvailabilityZoneId = Name<struct AvailabilityZoneTag>;
using VmId = Name<struct VmTag>;
using EndpointId = Name<struct EndpointTag>;
/** A group of interchangeable endpoints, for example all runners of one region. */
using PoolId = Name<struct PoolTag>;
using WorkspaceId = Name<struct WorkspaceTag>;
/** A class of work with its own targets. */
using ClassId = Name<struct ClassTag>;
using PipelineId = Name<struct PipelineTag>;
using ModelId = Name<struct ModelTag>;
/** A key chosen by the caller that makes repeated copies of one request recognisable. */
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
using OperatorId = Name<struct OperatorTag>;

/** One run of a process on a VM or endpoint; random and new at each start, never 0. */
using Incarnation = Number<struct IncarnationTag>;
/** Position of a record in one stream of the platform's log. */
using LogOffset = Number<struct LogOffsetTag>;
/** Number of a configuration version: the log offset of the change. */
using ConfigVersion = Number<struct ConfigVersionTag>;
/** Number that grows with each holder of a lease: the log offset of the lease record. */
using FencingNumber = Number<struct FencingTag>;
/** Position of a stage within its pipeline, from 0. */
using StageIndex = Number<struct StageIndexTag, std::uint32_t>;
/** Number of a try at one stage of a job, from 1 and never reused within the job. */
using Attempt = Number<struct AttemptTag, std::uint32_t>;
/** Hash that identifies the workspace and content of a request. */
using Fingerprint = Number<struct FingerprintTag>;
/** Position of a byte within a job's answer. */
using ByteOffset = Number<struct ByteOffsetTag>;

/** Identifies a job in the whole fleet, over restarts: the owner's incarnation and a count within it. */
struct JobId {
    Incarnation owner; ///< incarnation of the VM that runs the job
    std::uint64_t sequence = 0; ///< count within the owner, from 1

    auto operator<=>(const JobId &) const = default;
};

/** Writes a job id as "j-<owner in hexadecimal>-<sequence in hexadecimal>". */
std::string toText(const JobId &job);
/** Reads what toText() wrote; empty when the text is not a job id. */
std::optional<JobId> jobIdFromText(std::string_view text);

/** Identifies one call of a stage: a result belongs to exactly one of these. */
struct CallId {
    JobId job;
    StageIndex stage;
    Attempt attempt;

    auto operator<=>(const CallId &) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// Units

/** A span of time, in microseconds. */
using Duration = std::chrono::microseconds;

/** Time that never goes back and has no fixed start; for deadlines and timers within one process. */
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};
using Time = MonotonicClock::time_point;

/** Civil time since 1970 in UTC; for what is compared between machines. May jump. */
struct WallClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock>;
    static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

using namespace std::chrono_literals;

/** A span of time as a number of seconds. */
constexpr double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}
/** The span of time nearest to a number of seconds. */
constexpr Duration fromSeconds(double seconds) noexcept
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
/** A span of time in whole milliseconds, rounded down. */
constexpr std::int64_t toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** An amount of money, in millionths of the currency unit. */
using Cost = Number<struct CostTag, std::int64_t>;
/** A number of model tokens. */
using Tokens = Number<struct TokensTag, std::uint64_t>;
/** A number of bytes. */
using Bytes = Number<struct BytesTag, std::uint64_t>;

// ---------------------------------------------------------------------------------------------------------------------
// Errors

/** What went wrong. Programs decide by this; the detail of an Error is for people only. */
enum class ErrorKind : std::uint8_t {
    InvalidArgument, ///< a value breaks its documented range or form
    UnknownKey, ///< a settings or configuration key that doesn't exist
    WrongType, ///< a value of another type than documented
    OutOfRange, ///< a number outside its documented range
    Missing, ///< a required value isn't there
    Conflict, ///< the item changed since the version that the change names
    NotFound, ///< the thing named doesn't exist here
    Malformed, ///< bytes that can't be decoded
    TooLarge, ///< over a bound on size
    TooMany, ///< over a bound on number
    AddressInUse, ///< a listening address is taken
    Unreachable, ///< no connection could be made
    ConnectionLost, ///< a connection broke while in use
    Silent, ///< a connection or peer stayed silent beyond its limit
    Timeout, ///< not done in time
    Cancelled, ///< given up by its caller
    Refused, ///< the other side declined
    Unauthorized, ///< missing or wrong credentials
    Expired, ///< older than the window in which it can be judged
    Fenced, ///< an order carried an old fencing number
    Unavailable, ///< can't be done at present; may be tried later
    Io, ///< the operating system reported a failure
};

/** Short fixed text of a kind, such as "out-of-range"; used in logs, metrics and JSON. */
std::string_view toText(ErrorKind kind) noexcept;

/** A failure: its type, and an explanation for people. */
struct Error {
    ErrorKind kind = ErrorKind::InvalidArgument;
    std::string detail; ///< for people; never parsed

    bool operator==(const Error &) const = default;
};

/** A value or an Error. */
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/** Success without a value. */
inline auto success() noexcept
{
    return boost::outcome_v2::success();
}

/** Makes a failed Result. */
inline auto failure(ErrorKind kind, std::string detail = {})
{
    return boost::outcome_v2::failure(Error { kind, std::move(detail) });
}

/** Whether a request was carried out, as told to its caller. Covers every copy of the request. */
enum class Ran : std::uint8_t {
    No, ///< proved: no copy ran or will run
    Unknown, ///< may have run
    Yes, ///< ran
};

/** "no", "unknown" or "yes". */
std::string_view toText(Ran ran) noexcept;

// ---------------------------------------------------------------------------------------------------------------------
// Clocks and timers

/** Source of time. The core takes time as an argument; only drivers read a clock. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Time now() const noexcept = 0;
    virtual WallTime wallNow() const noexcept = 0;
};

/** The machine's own clocks. */
class SystemClock final : public Clock
{
public:
    Time now() const noexcept override;
    WallTime wallNow() const noexcept override;
};

/** A clock that only moves when told to, for tests and replay. */
class ManualClock final : public Clock
{
public:
    Time now() const noexcept override
    {
        return now_;
    }
    WallTime wallNow() const noexcept override
    {
        return wallNow_;
    }
    /** Moves both clocks forward. @param by 0 or more */
    void advance(Duration by) noexcept
    {
        now_ += by;
        wallNow_ += by;
    }

private:
    Time now_ {};
    WallTime wallNow_ { std::chrono::hours(24 * 365 * 50) };
};

/** Names one subscription at a TimerService; 0 is none. */
using TimerHandle = Number<struct TimerTag>;

/**
 * Calls subscribers back when their time has come.
 *
 * Holds no clock: a driver calls advance() with the time, and sleeps until nextDue(). Subscriptions due at the same
 * time are called in the order in which they were made. A callback may subscribe and cancel. Not thread-safe.
 */
class TimerService
{
public:
    using Callback = std::function<void(Time now)>;

    TimerService();
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /** Calls back once, at the first advance() that reaches `due`. */
    TimerHandle once(Time due, Callback callback);
    /** Calls back at `first` and then every `period`; missed periods are skipped. @param period over 0 */
    TimerHandle every(Time first, Duration period, Callback callback);
    /** Ends a subscription; no effect when it already ended. */
    void cancel(TimerHandle handle) noexcept;

    /** When advance() next has something to call; empty when nothing is subscribed. */
    std::optional<Time> nextDue() const noexcept;
    /** Calls all subscribers due at or before `now`. @return how many were called */
    std::size_t advance(Time now);

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Random numbers and hashing

/** Seeded random numbers; the same seed gives the same numbers on every platform. Not thread-safe. */
class Random
{
public:
    explicit Random(std::uint64_t seed) noexcept;

    /** Any 64-bit value. */
    std::uint64_t next() noexcept;
    /** Uniform in [0, bound). @param bound over 0 */
    std::uint64_t below(std::uint64_t bound);
    /** Uniform in [0, 1). */
    double unit();
    /** True with the given probability. @param probability in [0, 1] */
    bool chance(double probability);
    /** Exponentially distributed with the given mean. @param mean over 0 */
    double exponential(double mean);
    /** Log-normally distributed. @param median over 0 @param sigma of the logarithm, 0 or more */
    double logNormal(double median, double sigma);
    /** A uniform value in [-share, +share] of `base`, added to it. @param share in [0, 1] */
    Duration jitter(Duration base, double share);

private:
    std::mt19937_64 engine_;
};

/** 64-bit hash (xxHash XXH3) of bytes, equal on all VMs. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/**
 * Picks the `count` best of `candidates` for a key by highest random weight (rendezvous hashing; Thaler and
 * Ravishankar, 1998). Every VM with the same candidates picks the same ones; losing a candidate moves only its keys.
 *
 * @return indices into `candidates`, best first; fewer than `count` when there are fewer candidates
 */
std::vector<std::size_t> rendezvous(std::string_view key, std::span<const std::string> candidates, std::size_t count);

// ---------------------------------------------------------------------------------------------------------------------
// Memory

/**
 * Bounds the memory that buffers of several owners take together. A part of it is kept for small buffers, so that large
 * ones don't keep out those that cost little.
 */
class MemoryBudget
{
public:
    /** Largest buffer that may take from the part kept for small ones. */
    static constexpr std::size_t smallBytes = std::size_t(64) << 10U;

    explicit MemoryBudget(std::size_t limit) noexcept;

    /** Lets a buffer grow. @return false if too few bytes are left; none are taken then */
    bool tryGrow(std::size_t from, std::size_t to) noexcept;
    void release(std::size_t bytes) noexcept;

    std::size_t used() const noexcept
    {
        return used_;
    }
    /** Largest buffer that fits if nothing else is held. */
    std::size_t largestBuffer() const noexcept
    {
        return largeLimit_;
    }

private:
    std::size_t limit_;
    std::size_t largeLimit_; ///< for buffers that aren't small
    std::size_t used_ = 0;
};

/** Memory that one buffer has taken out of a budget; given back by the destructor. */
class MemoryReservation
{
public:
    /** Takes nothing, and lets the buffer grow without bound. */
    MemoryReservation() = default;
    explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget) noexcept;
    ~MemoryReservation();
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;

    /** Makes sure that so many bytes are taken. @return false if too few are left; what was taken stays taken */
    bool tryGrowTo(std::size_t bytes) noexcept;
    /** Gives all bytes back. */
    void release() noexcept;

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// Helpers

/** Gives a struct members() that tie the named fields in this order, for the codec of wire. */
#define LACEWING_MEMBERS(...) \
    auto members() noexcept \
    { \
        return std::tie(__VA_ARGS__); \
    } \
    auto members() const noexcept \
    { \
        return std::tie(__VA_ARGS__); \
    }

/** Joins the parts of a variant's visitor. */
template <typename... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

/**
 * Runs one asynchronous check for many requests.
 *
 * A request is answered by a check that starts after it was made: the outcome of one that is already running may be
 * older than the request. At most one check runs at a time.
 */
class CoalescedCheck
{
public:
    using Outcome = std::function<void(bool passed)>;

    /** @param check starts a check; calls the function that it gets once, at any time */
    explicit CoalescedCheck(std::function<void(Outcome)> check);

    void request(Outcome onDone);

private:
    void start();
    void finish(bool passed);

    std::function<void(Outcome)> check_;
    std::vector<Outcome> running_; ///< answered by the check in progress
    std::vector<Outcome> waiting_; ///< answered by the next one
    bool isRunning_ = false;
};

} // namespace lacewing

template <typename Tag>
struct std::hash<lacewing::Name<Tag>> {
    std::size_t operator()(const lacewing::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};
template <typename Tag, typename Rep>
struct std::hash<lacewing::Number<Tag, Rep>> {
    std::size_t operator()(const lacewing::Number<Tag, Rep> &number) const noexcept
    {
        return std::hash<Rep>()(number.value());
    }
};
template <>
struct std::hash<lacewing::JobId> {
    std::size_t operator()(const lacewing::JobId &job) const noexcept
    {
        return std::hash<std::uint64_t>()(job.owner.value() ^ (job.sequence * 0x9e3779b97f4a7c15ULL));
    }
};
template <>
struct std::hash<lacewing::CallId> {
    std::size_t operator()(const lacewing::CallId &call) const noexcept
    {
        const auto mixed = (std::uint64_t(call.stage.value()) << 32U) | call.attempt.value();
        return std::hash<lacewing::JobId>()(call.job) ^ std::hash<std::uint64_t>()(mixed * 0xff51afd7ed558ccdULL);
    }
};
