#include "http_sinks.h"

namespace lacewing::daemon
{
namespace
{

constexpr std::string_view jsonType = "application/json";
constexpr std::string_view problemType = "application/problem+json";
constexpr std::string_view streamType = "text/event-stream";

Refusal refusalOf(const pipeline::Failed &failed)
{
    return { failed.reason, failed.ran, failed.retryAfter };
}

/** Whole seconds for Retry-After, rounded up. */
std::string retryAfterSeconds(Duration duration)
{
    constexpr auto second = std::chrono::microseconds(std::chrono::seconds(1));
    return std::to_string((duration + second - Duration(1)) / second);
}

} // namespace

void respondJson(net::ResponseWriter &writer, int status, const std::string &body)
{
    writer.respond(status, { { "Content-Type", std::string(jsonType) } }, body);
}

void respondProblem(net::ResponseWriter &writer, const Problem &problem)
{
    net::Headers headers { { "Content-Type", std::string(problemType) },
                           { "X-Ran", std::string(toText(problem.ran)) } };
    if (problem.retryAfter > Duration::zero()) {
        headers.push_back({ "Retry-After", retryAfterSeconds(problem.retryAfter) });
    }
    writer.respond(problem.status, headers, problemJson(problem));
}

void WholeAnswerSink::accepted(const JobId & /*job*/)
{
}

bool WholeAnswerSink::piece(ByteOffset offset, const std::string &text)
{
    output_ += text;
    next_ = ByteOffset(offset.value() + text.size());
    return true;
}

void WholeAnswerSink::finished(const core::JobStatus &status)
{
    if (const auto *failed = std::get_if<pipeline::Failed>(&*status.outcome)) {
        refused(refusalOf(*failed));
        return;
    }
    respondJson(writer_, net::status::ok, answerJson(status, output_));
}

void WholeAnswerSink::refused(const Refusal &refusal)
{
    respondProblem(writer_, problemOf(refusal));
}

void WholeAnswerSink::onReady(std::function<void()> /*callback*/)
{
}

void StreamSink::accepted(const JobId &job)
{
    if (begun_) {
        return;
    }
    begun_ = true;
    writer_.begin(
        net::status::ok,
        { { "Content-Type", std::string(streamType) }, { "Cache-Control", "no-store" }, { "X-Job", toText(job) } });
}

bool StreamSink::piece(ByteOffset offset, const std::string &text)
{
    if (offset == next_) {
        partial_.clear(); // comes again, because the piece was not taken
    }
    const std::string joined = partial_ + text;
    const std::size_t complete = completeUtf8(joined);
    const std::uint64_t end = offset.value() - partial_.size() + complete;
    if (complete > 0) {
        const std::string event = net::sseEvent(std::to_string(end), pieceJson(joined.substr(0, complete)));
        if (writer_.write(event) == net::WriteOutcome::Full) {
            return false;
        }
    }
    next_ = ByteOffset(end);
    partial_ = joined.substr(complete);
    return true;
}

void StreamSink::finished(const core::JobStatus &status)
{
    const bool completed = std::holds_alternative<pipeline::Completed>(*status.outcome);
    if (!begun_) {
        refused(refusalOf(std::get<pipeline::Failed>(*status.outcome)));
        return;
    }
    const std::string id = std::to_string(status.answered.value());
    writer_.write(net::sseEvent(id, streamEndJson(status), completed ? "end" : "failed"));
    writer_.end();
}

void StreamSink::refused(const Refusal &refusal)
{
    const Problem problem = problemOf(refusal);
    if (!begun_) {
        respondProblem(writer_, problem);
        return;
    }
    writer_.write(net::sseEvent("", problemJson(problem), "failed"));
    writer_.end();
}

void StreamSink::onReady(std::function<void()> callback)
{
    writer_.onDrained(std::move(callback));
}

void StatusSink::finished(const core::JobStatus &status)
{
    respondJson(writer_, net::status::ok, jobStatusJson(status, withDecisions_));
}

void StatusSink::refused(const Refusal &refusal)
{
    respondProblem(writer_, problemOf(refusal));
}

void StatusSink::statusJson(const std::string &json)
{
    respondJson(writer_, net::status::ok, json);
}

void StatusSink::status(const std::optional<core::JobStatus> &status)
{
    if (status) {
        finished(*status);
    } else {
        refused({ pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero() });
    }
}

} // namespace lacewing::daemon
