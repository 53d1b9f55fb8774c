#pragma once

#include "settings.h"

#include <log/log.h>

#include <deque>
#include <functional>
#include <map>

namespace lacewing::standin
{

/** The platform's log: streams of records with offsets from 1, kept for a limited number and time. */
class LogStore
{
public:
    explicit LogStore(LogSettings settings);

    /** Appends records. @return their offsets; empty when over the limit on appends a second */
    std::optional<std::vector<std::uint64_t>> append(const std::string &stream,
                                                     std::vector<std::string> records,
                                                     Time now,
                                                     WallTime wallNow);

    /** What a read finds. */
    struct Page {
        std::uint64_t first = 1; ///< oldest offset kept
        std::uint64_t next = 1; ///< offset after the newest
        std::vector<log::Record> records;
    };
    Page read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, WallTime wallNow);

    std::uint64_t appends() const noexcept
    {
        return appends_;
    }
    std::uint64_t refusedAppends() const noexcept
    {
        return refusedAppends_;
    }

private:
    struct Stream {
        std::uint64_t next = 1;
        std::deque<log::Record> records;
    };

    void dropOld(Stream &stream, WallTime wallNow) const;
    bool takeAllowance(Time now);

    LogSettings settings_;
    std::map<std::string, Stream> streams_;
    double allowance_;
    Time allowanceAt_ {};
    std::uint64_t appends_ = 0;
    std::uint64_t refusedAppends_ = 0;
};

} // namespace lacewing::standin
