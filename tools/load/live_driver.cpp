#include "live_driver.h"

#include <random>

namespace lacewing::load
{

namespace
{

/** A caller waits this much beyond the deadline, so that late answers are seen as such. */
constexpr Duration grace = std::chrono::seconds(5);

LiveResult emptyResult(const LiveJob &job)
{
    LiveResult result;
    result.index = job.index;
    result.classId = job.classId;
    result.at = job.at;
    result.problem = "not-done";
    return result;
}

/** Runs jobs against the endpoints themselves, stage by stage. */
class DirectCaller
{
public:
    DirectCaller(net::EventLoop &loop, const LiveSettings &settings, Incarnation incarnation)
        : loop_(loop)
        , settings_(settings)
        , incarnation_(incarnation)
        , client_(endpoint::makeHttpEndpointClient(loop, {}))
    {
    }

    void start(const LiveJob &job, LiveResult &result, std::function<void()> done)
    {
        auto run = std::make_shared<Run>(Run { job, result, std::move(done), loop_.clock().now(), 0, job.input, {} });
        startStage(run);
    }

private:
    struct Run {
        const LiveJob &job;
        LiveResult &result;
        std::function<void()> done;
        Time startedAt;
        std::size_t stage = 0;
        std::string input; ///< of the present stage
        std::string output; ///< of the present stage so far
    };

    void startStage(const std::shared_ptr<Run> &run)
    {
        const auto &stage = run->job.stages[run->stage];
        const auto addresses = settings_.direct.find(stage.pool);
        if (addresses == settings_.direct.end() || addresses->second.empty()) {
            finish(*run, "no-endpoint-for-" + stage.pool.text());
            return;
        }
        endpoint::StageCall call;
        call.call = { JobId { incarnation_, run->job.index + 1 }, StageIndex(std::uint32_t(run->stage)), Attempt(1) };
        call.address = addresses->second[next_++ % addresses->second.size()];
        call.endpoint = EndpointId(call.address);
        call.kind = stage.kind;
        call.model = stage.model;
        call.workspace = run->job.workspace;
        call.input = run->input;
        call.maxTokens = Tokens(run->job.tokens);
        call.timeout = run->job.deadline + grace;
        run->output.clear();
        client_->call(std::move(call), [this, run](endpoint::StageEvent event) {
            std::visit([&](auto &held) { take(run, held); }, event);
        });
    }

    void take(const std::shared_ptr<Run> &run, endpoint::StageChunk &chunk)
    {
        run->output += chunk.text;
    }
    void take(const std::shared_ptr<Run> &run, endpoint::StageEnded &ended)
    {
        if (!ended.result.empty()) {
            run->output = std::move(ended.result);
        }
        if (++run->stage < run->job.stages.size()) {
            run->input = std::move(run->output);
            startStage(run);
            return;
        }
        finish(*run, "");
    }
    void take(const std::shared_ptr<Run> &run, endpoint::StageFailed &failed)
    {
        finish(*run, std::string(lacewing::toText(failed.error.kind)));
    }

    void finish(Run &run, std::string problem)
    {
        run.result.latency = loop_.clock().now() - run.startedAt;
        run.result.problem = std::move(problem);
        if (!run.result.problem.empty()) {
            run.result.outcome = LiveOutcome::Failed;
        } else if (!isRightAnswer(run.job, run.output)) {
            run.result.outcome = LiveOutcome::Wrong;
        } else {
            run.result.outcome = run.result.latency <= run.job.deadline ? LiveOutcome::Met : LiveOutcome::Late;
        }
        run.done();
    }

    net::EventLoop &loop_;
    const LiveSettings &settings_;
    Incarnation incarnation_;
    std::unique_ptr<endpoint::EndpointClient> client_;
    std::size_t next_ = 0;
};

/** One run of all jobs. */
class LiveDriver
{
public:
    LiveDriver(net::EventLoop &loop, const std::vector<LiveJob> &jobs, const LiveSettings &settings)
        : loop_(loop)
        , jobs_(jobs)
        , settings_(settings)
        , run_(newRun())
        , client_(loop, net::HttpClientOptions {})
        , direct_(loop, settings, Incarnation(run_))
    {
    }

    LiveReport run()
    {
        if (jobs_.empty()) {
            return {};
        }
        prepare();
        const Time start = loop_.clock().now();
        for (const auto &job : jobs_) {
            const auto due = start + fromSeconds(toSeconds(job.at) / settings_.speed);
            loop_.timers().once(due, [this, &job](Time) { startJob(job); });
        }
        const auto watchdog = loop_.timers().once(start + settings_.limit, [this](Time) { loop_.stop(); });
        loop_.run();
        loop_.timers().cancel(watchdog);
        return std::move(report_);
    }

private:
    static std::uint64_t newRun()
    {
        std::random_device device;
        const auto high = std::uint64_t(device());
        return (high << 32U | device()) | 1U;
    }

    void prepare()
    {
        for (const auto &job : jobs_) {
            report_.results.push_back(emptyResult(job));
            if (!settings_.direct.empty()) {
                report_.direct.push_back(emptyResult(job));
            }
        }
        open_ = report_.results.size() + report_.direct.size();
    }

    void startJob(const LiveJob &job)
    {
        if (!settings_.direct.empty()) {
            direct_.start(job, report_.direct[job.index], [this] { oneDone(); });
        }
        net::HttpCall call;
        call.address = settings_.daemons[job.index % settings_.daemons.size()];
        call.method = "POST";
        call.target = "/v1/jobs";
        call.headers = requestHeaders(job, settings_.token, std::to_string(run_), loop_.clock().wallNow());
        call.body = requestBody(job, settings_.stream);
        net::HttpLimits limits;
        limits.firstByte = limits.nextByte = limits.total = job.deadline + grace;
        startCall(job, std::move(call), limits);
    }

    /** The answer of one job as it comes in. */
    struct Answer {
        explicit Answer(const LiveJob &job)
            : stream(job)
        {
        }
        int status = 0;
        std::string body; ///< unless streamed
        StreamedAnswer stream;
        bool isStream = false;
    };

    void startCall(const LiveJob &job, net::HttpCall call, net::HttpLimits limits)
    {
        const auto answer = std::make_shared<Answer>(job);
        const Time startedAt = loop_.clock().now();
        auto &result = report_.results[job.index];
        net::HttpHandlers handlers;
        handlers.onHead = [answer](const net::HttpHead &head) {
            answer->status = head.status;
            answer->isStream = head.header("Content-Type").value_or("").starts_with("text/event-stream");
        };
        handlers.onBody = [this, answer, startedAt, &result](std::string_view bytes) {
            if (!result.firstByte) {
                result.firstByte = loop_.clock().now() - startedAt;
            }
            if (answer->isStream) {
                answer->stream.feed(bytes);
            } else {
                answer->body += bytes;
            }
        };
        handlers.onDone = [this, answer, startedAt, &job, &result](const net::HttpEnd &end) {
            result.latency = loop_.clock().now() - startedAt;
            result.problem.clear();
            judge(job, *answer, end, result);
            oneDone();
        };
        client_.start(std::move(call), limits, std::move(handlers));
    }

    static void judge(const LiveJob &job, const Answer &answer, const net::HttpEnd &end, LiveResult &result)
    {
        if (end.error) {
            result.outcome = LiveOutcome::Failed;
            result.problem = lacewing::toText(end.error->kind);
        } else if (answer.isStream) {
            answer.stream.judge(result);
        } else {
            judgeResponse(job, answer.status, answer.body, result);
        }
    }

    void oneDone()
    {
        if (--open_ == 0) {
            loop_.stop();
        }
    }

    net::EventLoop &loop_;
    const std::vector<LiveJob> &jobs_;
    const LiveSettings &settings_;
    std::uint64_t run_;
    net::HttpClient client_;
    DirectCaller direct_;
    LiveReport report_;
    std::size_t open_ = 0;
};

} // namespace

LiveReport runJobs(net::EventLoop &loop, const std::vector<LiveJob> &jobs, const LiveSettings &settings)
{
    return LiveDriver(loop, jobs, settings).run();
}

} // namespace lacewing::load
