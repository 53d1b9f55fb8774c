#pragma once

#include "answer_sink.h"

#include <core/core.h>

#include <string>
#include <string_view>

namespace lacewing::daemon
{

/** Version-stable JSON of a job's state; with its decisions when asked. */
std::string jobStatusJson(const core::JobStatus &status, bool withDecisions);
/** JSON of a whole answer that isn't streamed. */
std::string answerJson(const core::JobStatus &status, const std::string &output);
/** JSON of the event that ends a stream. */
std::string streamEndJson(const core::JobStatus &status);
/** JSON of one piece of a stream. @param text valid UTF-8 */
std::string pieceJson(std::string_view text);

/** JSON of a new ticket. */
std::string ticketJson(const std::string &ticket);

/** Number of bytes of `text` that don't end within a UTF-8 sequence. */
std::size_t completeUtf8(std::string_view text) noexcept;

/** A problem document (RFC 9457) with the fields "ran" and "retry_after_ms". */
struct Problem {
    int status = 500;
    std::string type; ///< last part of the type's address, such as "cannot-finish-in-time"
    std::string title;
    std::string detail;
    Ran ran = Ran::Unknown;
    Duration retryAfter {};
};
std::string problemJson(const Problem &problem);
/** The problem that tells a caller of a refusal. */
Problem problemOf(const Refusal &refusal);

} // namespace lacewing::daemon
