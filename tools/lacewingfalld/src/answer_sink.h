#pragma once

#include <core/core.h>

#include <functional>
#include <memory>
#include <string>

namespace lacewing::daemon
{

/** Why a request is refused, as told to its caller. */
struct Refusal {
    pipeline::FailureReason reason = pipeline::FailureReason::StageFailed;
    Ran ran = Ran::Unknown;
    Duration retryAfter {}; ///< 0: asking again won't help
};

/**
 * Takes the answers to one request, whoever asked: a caller over HTTP or another VM over a peer link.
 *
 * Used on the traffic thread that has the request. The last call is finished(), refused() or status().
 */
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /** The request runs as, or follows, this job. May come again when the sink was attached again. */
    virtual void accepted(const JobId &job) = 0;
    /** The next bytes of the answer. @return false when not taken because the reader is behind; see onReady() */
    virtual bool piece(ByteOffset offset, const std::string &text) = 0;
    /** Offset after the last byte taken; where to go on once the reader has caught up. */
    virtual ByteOffset position() const = 0;
    virtual void finished(const core::JobStatus &status) = 0;
    virtual void refused(const Refusal &refusal) = 0;
    /** Answers a query; empty when the job isn't known. */
    virtual void status(const std::optional<core::JobStatus> &status) = 0;
    /** Answers a query with JSON that another VM wrote. */
    virtual void statusJson(const std::string &json) = 0;
    /** Called back once the reader has caught up after piece() returned false. */
    virtual void onReady(std::function<void()> callback) = 0;
};

} // namespace lacewing::daemon
