#pragma once

#include "tags.h"

namespace lacewing::ledger
{

/** Times of a StreamReader. */
struct ReadTimes {
    Duration wait; ///< how long the platform may hold a read
    Duration timeout; ///< beyond `wait`, after which a read counts as lost
    Duration retryDelay; ///< pause after a failed read
};

/**
 * Follows one stream of the log with one read at a time. Answers to reads that were given up are ignored.
 */
class StreamReader
{
public:
    StreamReader(log::StreamId stream, ReadTimes times)
        : stream_(std::move(stream))
        , times_(times)
    {
    }

    /** The next read, when none is under way and it is time for one. */
    std::optional<log::Request> poll(TagSource &tags, Time now);
    /** Whether an answer belongs to the read under way; ends it. Reading goes on at once, or later after a failure. */
    bool accept(const log::ReadAnswer &answer, Time now);
    /** Gives up a read that was not answered in time. @return true when it did */
    bool expire(Time now);
    /** Doesn't read again before `time`. */
    void pauseUntil(Time time) noexcept
    {
        notBefore_ = latest(notBefore_, time);
    }
    /** Reads again at once. */
    void resume(Time now) noexcept
    {
        notBefore_ = std::min(notBefore_, now);
    }
    /** When poll() or expire() next has something to do. */
    Time nextWake() const noexcept
    {
        return inFlight_ ? inFlight_->expiry : notBefore_;
    }
    /** Offset after the last record read. */
    LogOffset position() const noexcept
    {
        return position_;
    }
    /** True when the last answer reached the end of the stream, and no read failed since. */
    bool isAtEnd() const noexcept
    {
        return isAtEnd_;
    }
    /** When the last read that was answered had been sent. */
    Time lastReadSent() const noexcept
    {
        return lastReadSent_;
    }

private:
    struct InFlight {
        log::RequestTag tag;
        Time sent;
        Time expiry;
    };

    void fail(Time now);

    log::StreamId stream_;
    ReadTimes times_;
    LogOffset position_;
    Time notBefore_ {};
    Time lastReadSent_ {};
    bool isAtEnd_ = false;
    std::optional<InFlight> inFlight_;
};

} // namespace lacewing::ledger
