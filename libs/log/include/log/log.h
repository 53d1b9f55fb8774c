#pragma once

#include <base/base.h>

#include <string>
#include <variant>
#include <vector>

/**
 * The platform's append-only log as the core sees it: requests that a core emits and answers that a driver feeds back.
 * No input or output happens here.
 */
namespace lacewing::log
{

/** Name of one stream of the log. */
using StreamId = Name<struct StreamTag>;
/** Matches an answer to the request of the same core; unique within one incarnation. */
using RequestTag = Number<struct RequestTagTag>;

/** One record as read from the log. */
struct Record {
    LogOffset offset; ///< position in the stream; grows, may have gaps after retention
    std::string data; ///< bytes as appended
    WallTime appendedAt; ///< platform's time of the append

    bool operator==(const Record &) const = default;
};

/** Asks for records to be appended to one stream, all together and in order. */
struct Append {
    RequestTag tag;
    StreamId stream;
    std::vector<std::string> records; ///< at most maxRecordsPerAppend
};

/** Asks for the records of a stream from an offset on. */
struct Read {
    RequestTag tag;
    StreamId stream;
    LogOffset from; ///< first offset wanted
    Duration wait {}; ///< how long to hold the answer when there is nothing yet; 0 to answer at once
};

/** What became of an append. */
enum class AppendOutcome : std::uint8_t {
    Done, ///< appended; offsets are known
    NotDone, ///< proved not appended: the connection could not be made, or the platform declined
    Unknown, ///< sent, but the answer was lost; settle it by reading the stream
};

/** Answers an Append. */
struct AppendAnswer {
    RequestTag tag;
    StreamId stream;
    AppendOutcome outcome = AppendOutcome::Unknown;
    std::vector<LogOffset> offsets; ///< one per record when Done
};

/** Answers a Read. */
struct ReadAnswer {
    RequestTag tag;
    StreamId stream;
    bool ok = false; ///< false: the log could not be read; all else is empty then
    LogOffset firstRetained; ///< oldest offset the log still keeps
    LogOffset next; ///< offset after the last record there is; equal to the log's end
    std::vector<Record> records; ///< in order; may stop before `next` when there are many
};

/** Largest number of records in one Append. */
constexpr std::size_t maxRecordsPerAppend = 512;

using Request = std::variant<Append, Read>;
using Answer = std::variant<AppendAnswer, ReadAnswer>;

/** Offset from which to read on after an answer. */
LogOffset nextOffset(const ReadAnswer &answer) noexcept;

} // namespace lacewing::log
