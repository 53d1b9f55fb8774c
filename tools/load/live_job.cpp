#include "live_job.h"

#include <answers.h>

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace lacewing::load
{

using Json = nlohmann::json;

namespace
{

constexpr std::size_t bytesPerToken = 4;

/** Text of a length that depends on the seed alone. */
std::string fillText(std::uint64_t seed, std::size_t bytes)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz     ";
    Random random(seed);
    std::string text(bytes, ' ');
    for (char &letter : text) {
        letter = letters[random.below(letters.size())];
    }
    return text;
}

/** Input text: jobs with the same prefix start alike, and no two jobs are the same. */
std::string makeInput(const replay::TraceRecord &record, std::size_t index)
{
    const std::size_t bytes = record.input.value() * bytesPerToken;
    const std::size_t shared = std::min<std::size_t>(bytes, record.prefixTokens.value() * bytesPerToken);
    std::string text = fillText(record.prefix.value(), shared);
    text += "#" + std::to_string(index) + " ";
    if (text.size() < bytes) {
        text += fillText(index, bytes - text.size());
    }
    return text;
}

Result<std::vector<JobStage>> stagesOf(const ClassId &id, const config::FleetConfig &configuration)
{
    const auto spec = configuration.classes.find(id);
    if (spec == configuration.classes.end()) {
        return failure(ErrorKind::NotFound, "class " + id.text() + " is not in the configuration");
    }
    const auto pipeline = configuration.pipelines.find(spec->second.pipeline);
    if (pipeline == configuration.pipelines.end()) {
        return failure(ErrorKind::NotFound, "class " + id.text() + " has no pipeline");
    }
    std::vector<JobStage> stages;
    for (const auto &stage : pipeline->second.stages) {
        stages.push_back({ stage.kind, stage.pool, stage.model, stage.repeatable });
    }
    return stages;
}

std::string targetOf(config::StageKind kind)
{
    return kind == config::StageKind::Service ? "/v1/call" : "/v1/" + std::string(config::toText(kind));
}

std::string textOr(const Json &json, const char *key, const std::string &otherwise)
{
    const auto found = json.is_object() ? json.find(key) : json.end();
    return json.is_object() && found != json.end() && found->is_string() ? found->get<std::string>() : otherwise;
}

/** The last part of a problem's type. */
std::string shortType(const std::string &type)
{
    return type.substr(type.rfind(':') + 1);
}

void readStages(const Json &json, LiveResult &result)
{
    constexpr double microsecondsPerMillisecond = 1'000;
    const auto stages = json.find("stages");
    if (stages == json.end() || !stages->is_array()) {
        return;
    }
    for (const auto &stage : *stages) {
        const auto cost = stage.value("cost_micros", std::int64_t(0));
        const auto time = stage.value("ms", 0.0) * microsecondsPerMillisecond;
        result.stages.push_back({ textOr(stage, "name", "?"), Cost(cost), Duration(std::int64_t(time)) });
    }
}

void setProblem(const Json &json, LiveResult &result)
{
    result.ran = textOr(json, "ran", "unknown");
    result.problem = shortType(textOr(json, "type", textOr(json, "reason", "unexplained")));
    result.outcome = result.ran == "no" ? LiveOutcome::Refused : LiveOutcome::Failed;
}

void setAnswer(const LiveJob &job, const Json &json, std::string_view output, LiveResult &result)
{
    result.ran = textOr(json, "ran", "unknown");
    readStages(json, result);
    if (!isRightAnswer(job, output)) {
        result.outcome = LiveOutcome::Wrong;
        result.problem = "wrong-answer";
    } else {
        result.outcome = result.latency <= job.deadline ? LiveOutcome::Met : LiveOutcome::Late;
    }
}

} // namespace

Result<std::vector<LiveJob>> makeJobs(const std::vector<replay::TraceRecord> &trace,
                                      const config::FleetConfig &configuration)
{
    std::vector<LiveJob> jobs;
    for (const auto &record : trace) {
        BOOST_OUTCOME_TRY(stages, stagesOf(record.classId, configuration));
        LiveJob job;
        job.index = jobs.size();
        job.at = record.at;
        job.workspace = record.workspace;
        job.classId = record.classId;
        job.input = makeInput(record, job.index);
        job.tokens = record.output.value();
        job.repeatable = record.repeatable;
        job.deadline = record.deadline;
        job.stages = std::move(stages);
        jobs.push_back(std::move(job));
    }
    return jobs;
}

std::string requestBody(const LiveJob &job, bool stream)
{
    const Json json { { "workspace", job.workspace.text() },
                      { "class", job.classId.text() },
                      { "input", job.input },
                      { "max_tokens", job.tokens },
                      { "deadline_ms", std::max<std::int64_t>(toMilliseconds(job.deadline), 1) },
                      { "repeatable", job.repeatable },
                      { "stream", stream } };
    return json.dump();
}

net::Headers requestHeaders(const LiveJob &job, const std::string &token, const std::string &run, WallTime now)
{
    net::Headers headers { { "Content-Type", "application/json" } };
    if (!token.empty()) {
        headers.push_back({ "Authorization", "Bearer " + token });
    }
    if (!job.repeatable) {
        headers.push_back({ "Idempotency-Key", run + "-" + std::to_string(job.index) });
        headers.push_back({ "Idempotency-Time", std::to_string(toMilliseconds(now.time_since_epoch())) });
    }
    return headers;
}

bool isRightAnswer(const LiveJob &job, std::string_view output)
{
    std::string text = job.input;
    for (std::size_t i = 0; i < job.stages.size(); ++i) {
        if (job.stages[i].kind != config::StageKind::Generate) {
            text = standin::plainOutput(targetOf(job.stages[i].kind), text);
            continue;
        }
        if (i + 1 == job.stages.size()) {
            return standin::isGeneratedText(text, output, job.tokens);
        }
        // The sampling of a text that isn't shown is not known; what follows from it can't be checked.
        return !output.empty();
    }
    return job.stages.empty() || text == output;
}

std::string_view toText(LiveOutcome outcome) noexcept
{
    switch (outcome) {
    case LiveOutcome::Met:
        return "met";
    case LiveOutcome::Late:
        return "late";
    case LiveOutcome::Refused:
        return "refused";
    case LiveOutcome::Failed:
        return "failed";
    case LiveOutcome::Wrong:
        break;
    }
    return "wrong";
}

void judgeResponse(const LiveJob &job, int status, std::string_view body, LiveResult &result)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        result.outcome = LiveOutcome::Failed;
        result.problem = "no-json";
    } else if (status == net::status::ok) {
        setAnswer(job, json, textOr(json, "output", ""), result);
    } else {
        setProblem(json, result);
    }
}

void StreamedAnswer::feed(std::string_view bytes)
{
    const auto events = parser_.feed(bytes);
    if (!events) {
        fault_ = "stream-malformed";
        return;
    }
    for (const auto &event : events.value()) {
        take(event);
    }
}

void StreamedAnswer::take(const net::SseEvent &event)
{
    if (last_) {
        fault_ = "event-after-end";
        return;
    }
    if (event.event == "end" || event.event == "failed") {
        last_ = event;
        return;
    }
    output_ += textOr(Json::parse(event.data, nullptr, false), "text", "");
    if (event.id != std::to_string(output_.size())) {
        fault_ = "gap-in-stream";
    }
}

void StreamedAnswer::judge(LiveResult &result) const
{
    const Json json = last_ ? Json::parse(last_->data, nullptr, false) : Json();
    if (!fault_.empty() || !json.is_object()) {
        result.outcome = LiveOutcome::Failed;
        result.problem = fault_.empty() ? "stream-cut" : fault_;
    } else if (last_->event == "failed") {
        setProblem(json, result);
    } else if (json.value("length", std::uint64_t(0)) != output_.size()) {
        result.outcome = LiveOutcome::Wrong;
        result.problem = "length-differs";
    } else {
        setAnswer(job_, json, output_, result);
    }
}

} // namespace lacewing::load
