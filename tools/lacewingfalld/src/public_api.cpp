#include "public_api.h"

#include "control_thread.h"
#include "http_sinks.h"
#include "request_json.h"
#include "sink_adapters.h"
#include "traffic_thread.h"

#include <ledger/ledger.h>

#include <charconv>

namespace lacewing::daemon
{
namespace
{

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view ticketsPath = "/v1/tickets";
constexpr std::size_t maxPrefixBlocks = 64;

Problem simpleProblem(int status, std::string type, std::string detail, Ran ran)
{
    Problem problem;
    problem.status = status;
    problem.title = type;
    problem.type = std::move(type);
    problem.detail = std::move(detail);
    problem.ran = ran;
    return problem;
}

Problem badRequest(const Error &error)
{
    return simpleProblem(net::status::badRequest, std::string(toText(error.kind)), error.detail, Ran::No);
}

std::shared_ptr<AnswerSink> makeSink(const net::ResponseWriter &writer, bool stream)
{
    if (stream) {
        return std::make_shared<StreamSink>(writer);
    }
    return std::make_shared<WholeAnswerSink>(writer);
}

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

PublicApi::PublicApi(TrafficThread &thread, const DaemonContext &context)
    : thread_(thread)
    , context_(context)
{
}

void PublicApi::handle(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const std::string path(request.path());
    const bool isPost = request.method == "POST";
    if (path == jobsPath && isPost) {
        submit(request, std::move(writer));
    } else if (path.starts_with("/v1/jobs/")) {
        handleJob(request, std::move(writer));
    } else if (path == ticketsPath && isPost) {
        mintTicket(request, std::move(writer));
    } else if (path == "/healthz") {
        respondJson(writer, net::status::ok, R"({"state":"alive"})");
    } else if (path == "/readyz") {
        const bool ready = thread_.control().isReady() && !thread_.control().isLeaving();
        respondJson(writer,
                    ready ? net::status::ok : net::status::unavailable,
                    ready ? R"({"state":"ready"})" : R"({"state":"not-ready"})");
    } else {
        respondProblem(writer, simpleProblem(net::status::notFound, "not-found", "No such resource.", Ran::No));
    }
}

bool PublicApi::isAuthorized(const WorkspaceId &workspace, const net::HttpRequest &request) const
{
    const auto &workspaces = thread_.configuration()->workspaces;
    const auto found = workspaces.find(workspace);
    if (found == workspaces.end()) {
        return false;
    }
    if (found->second.callerTokenHash.empty()) {
        return true;
    }
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.header("Authorization");
    if (!header || !header->starts_with(scheme)) {
        return false;
    }
    return equalsInConstantTime(sha256Hex(header->substr(scheme.size())), found->second.callerTokenHash);
}

void PublicApi::submit(const net::HttpRequest &request, net::ResponseWriter writer)
{
    auto parsed = parseJob(request);
    if (!parsed) {
        respondProblem(writer, badRequest(parsed.error()));
        return;
    }
    core::CallerRequest &job = parsed.value().job;
    const bool keyed = !job.key.isEmpty() || !job.ticket.empty();
    if (!isAuthorized(job.workspace, request)) {
        // A VM with other configuration may have taken a copy of a keyed request.
        const Ran ran = keyed ? Ran::Unknown : Ran::No;
        respondProblem(writer,
                       simpleProblem(net::status::unauthorized, "unauthorized", "Unknown workspace or token.", ran));
        return;
    }
    job.prefixes = prefixesOf(job);
    if (job.ticket.empty()) {
        submitLocal(std::move(job), parsed.value().stream, writer);
    } else {
        submitTicketed(std::move(job), parsed.value().stream, std::move(writer));
    }
}

void PublicApi::submitLocal(core::CallerRequest job, bool stream, const net::ResponseWriter &writer)
{
    const auto makeEvent = [&](core::RequestId id) { return core::Submit { id, std::move(job) }; };
    net::ResponseWriter watched = writer;
    const core::RequestId id = thread_.submit({ makeEvent, makeSink(writer, stream) });
    watched.onClosed([this, id] { thread_.callerGone(id); });
}

void PublicApi::submitTicketed(core::CallerRequest job, bool stream, net::ResponseWriter writer)
{
    const auto ticket = ledger::ticketFromText(job.ticket);
    if (!ticket) {
        respondProblem(writer, simpleProblem(net::status::badRequest, "malformed", "X-Ticket", Ran::No));
        return;
    }
    job.repeatable = false;
    const TicketCall call { ticket->incarnation, job.workspace, job.jobClass, job.input,
                            job.maxTokens,       job.timeout,   job.ticket };
    const JobId home { ticket->incarnation, hashBytes(job.ticket) };
    const auto makeEvent = [job = std::move(job)](core::RequestId id) { return core::Submit { id, job }; };
    thread_.route(home, call, { makeEvent, makeSink(writer, stream) });
}

std::vector<std::uint64_t> PublicApi::prefixesOf(const core::CallerRequest &job) const
{
    const config::FleetConfig &configuration = *thread_.configuration();
    const auto spec = configuration.classes.find(job.jobClass);
    if (spec == configuration.classes.end()) {
        return {};
    }
    const auto pipeline = configuration.pipelines.find(spec->second.pipeline);
    if (pipeline == configuration.pipelines.end() || pipeline->second.stages.empty()) {
        return {};
    }
    const config::StageSpec &first = pipeline->second.stages.front();
    if (first.kind != config::StageKind::Generate) {
        return {};
    }
    return endpoint::prefixBlocks(first.model, job.input, maxPrefixBlocks);
}

void PublicApi::handleJob(const net::HttpRequest &request, net::ResponseWriter writer)
{
    std::string_view rest = request.path();
    rest.remove_prefix(jobsPath.size() + 1);
    const std::size_t slash = rest.find('/');
    const auto job = jobIdFromText(rest.substr(0, slash));
    const std::string_view what = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    if (!job) {
        respondProblem(writer, simpleProblem(net::status::badRequest, "malformed", "Not a job id.", Ran::Unknown));
        return;
    }
    const JobId id = *job;
    if (what == "stream" && request.method == "GET") {
        const auto last = request.header("Last-Event-ID");
        const auto from = last ? toNumber(*last) : std::optional<std::uint64_t>(0);
        attach(id, ByteOffset(from.value_or(0)), true, writer);
    } else if (what == "result" && request.method == "GET") {
        attach(id, ByteOffset(), false, writer);
    } else if (what.empty() && request.method == "GET") {
        const auto query = [id](core::RequestId each) { return core::Query { each, id }; };
        thread_.route(id, StatusCall { id }, { query, std::make_shared<StatusSink>(writer, false) });
    } else if (what.empty() && request.method == "DELETE") {
        const auto cancel = [id](core::RequestId each) { return core::CancelJob { each, id }; };
        thread_.route(id, CancelJobCall { id }, { cancel, std::make_shared<StatusSink>(writer, false) });
    } else {
        respondProblem(writer, simpleProblem(net::status::notFound, "not-found", "No such resource.", Ran::Unknown));
    }
}

void PublicApi::attach(const JobId &job, ByteOffset from, bool stream, const net::ResponseWriter &writer)
{
    const auto makeEvent = [job, from](core::RequestId id) { return core::Attach { id, job, from }; };
    thread_.route(job, AttachCall { job, from }, { makeEvent, makeSink(writer, stream) });
}

void PublicApi::mintTicket(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const auto workspace = parseWorkspace(request.body);
    if (!workspace) {
        respondProblem(writer, badRequest(workspace.error()));
        return;
    }
    if (!isAuthorized(workspace.value(), request)) {
        respondProblem(
            writer, simpleProblem(net::status::unauthorized, "unauthorized", "Unknown workspace or token.", Ran::No));
        return;
    }
    thread_.mintTicket(workspace.value(), std::move(writer));
}

} // namespace lacewing::daemon
