#pragma once

#include <base/base.h>
#include <config/config.h>
#include <net/net.h>
#include <replay/replay.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** One traced job as a request to a live fleet, and the check of its answer. */
namespace lacewing::load
{

/** A stage that a job runs through. */
struct JobStage {
    config::StageKind kind = config::StageKind::Service;
    PoolId pool;
    ModelId model;
    bool repeatable = true;
};

/** A job ready to be sent. */
struct LiveJob {
    std::size_t index = 0; ///< within the trace
    Duration at {}; ///< after the start of the run
    WorkspaceId workspace;
    ClassId classId;
    std::string input;
    std::uint64_t tokens = 0; ///< answer tokens asked for
    bool repeatable = true;
    Duration deadline {}; ///< after sending
    std::vector<JobStage> stages; ///< empty when the class is unknown here; its answers aren't checked then
};

/** Makes the jobs of a trace; the input text depends on the record alone. Fails when a class has no pipeline. */
Result<std::vector<LiveJob>> makeJobs(const std::vector<replay::TraceRecord> &trace,
                                      const config::FleetConfig &configuration);

/** Body of POST /v1/jobs. */
std::string requestBody(const LiveJob &job, bool stream);
/** Headers of POST /v1/jobs. @param run tells this run's idempotency keys from those of others */
net::Headers requestHeaders(const LiveJob &job, const std::string &token, const std::string &run, WallTime now);

/** Whether an answer is what the stand-ins' stages make of the job's input. */
bool isRightAnswer(const LiveJob &job, std::string_view output);

/** What a job's stage cost and took. */
struct StageCost {
    std::string name;
    Cost cost;
    Duration time {};
};

/** How a job ended. */
enum class LiveOutcome : std::uint8_t {
    Met, ///< whole and right answer within the deadline
    Late, ///< whole and right answer after it
    Refused, ///< a problem that says that the job did not run
    Failed, ///< any other problem, or no whole answer
    Wrong, ///< an answer that is not this job's
};
/** "met", "late", "refused", "failed" or "wrong". */
std::string_view toText(LiveOutcome outcome) noexcept;

/** Result of one job. */
struct LiveResult {
    std::size_t index = 0;
    ClassId classId;
    Duration at {};
    Duration latency {};
    std::optional<Duration> firstByte; ///< of the answer's body
    LiveOutcome outcome = LiveOutcome::Failed;
    std::string problem; ///< type of the problem or of the transport's error; empty for met and late
    std::string ran; ///< "no", "unknown" or "yes" as told by the daemon
    std::vector<StageCost> stages;
};

/** Judges a whole JSON answer or a problem. */
void judgeResponse(const LiveJob &job, int status, std::string_view body, LiveResult &result);

/** Puts a streamed answer together and judges it. */
class StreamedAnswer
{
public:
    explicit StreamedAnswer(const LiveJob &job)
        : job_(job)
    {
    }

    /** Takes bytes of the stream. */
    void feed(std::string_view bytes);
    /** Judges what has come; a stream without its end is a failure. */
    void judge(LiveResult &result) const;

private:
    void take(const net::SseEvent &event);

    const LiveJob &job_;
    net::SseParser parser_;
    std::string output_;
    std::optional<net::SseEvent> last_; ///< event "end" or "failed"
    std::string fault_; ///< why the stream is no right answer; empty: none seen
};

} // namespace lacewing::load
