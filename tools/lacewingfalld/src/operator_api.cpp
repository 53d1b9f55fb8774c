#include "operator_api.h"

#include "control_thread.h"
#include "http_sinks.h"
#include "operator_json.h"
#include "request_json.h"
#include "sink_adapters.h"
#include "traffic_thread.h"

#include <charconv>

namespace lacewing::daemon
{
namespace
{

constexpr std::string_view bearer = "Bearer ";

void respondError(net::ResponseWriter &writer, int status, const Error &error)
{
    Problem problem;
    problem.status = status;
    problem.type = std::string(toText(error.kind));
    problem.title = problem.type;
    problem.detail = error.detail;
    problem.ran = Ran::No;
    respondProblem(writer, problem);
}

/** Gathers the answers of all VMs, and responds when the last one came. */
struct FleetGathering {
    net::ResponseWriter writer;
    std::vector<std::pair<fleet::MemberView, std::string>> members;
    std::size_t missing = 0;

    void answer(std::size_t index, std::string json)
    {
        members[index].second = std::move(json);
        if (--missing == 0) {
            respondJson(writer, net::status::ok, fleetJson(members));
        }
    }
};

std::string lastPart(std::string_view path)
{
    return std::string(path.substr(path.rfind('/') + 1));
}

} // namespace

OperatorApi::OperatorApi(ControlThread &control, const DaemonContext &context)
    : control_(control)
    , context_(context)
{
}

bool OperatorApi::isAuthorized(const net::HttpRequest &request) const
{
    const auto header = request.header("Authorization");
    return header && header->starts_with(bearer)
        && equalsInConstantTime(header->substr(bearer.size()), context_.operatorToken);
}

void OperatorApi::handle(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (!isAuthorized(request)) {
        respondError(writer, net::status::unauthorized, { ErrorKind::Unauthorized, "An operator's token is needed." });
    } else if (request.method == "GET") {
        get(request, std::move(writer));
    } else if (request.method == "POST") {
        post(request, std::move(writer));
    } else {
        respondError(writer, net::status::methodNotAllowed, { ErrorKind::InvalidArgument, "GET or POST" });
    }
}

void OperatorApi::get(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const std::string path(request.path());
    if (path == "/metrics") {
        refreshMetrics();
        writer.respond(
            net::status::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, context_.metrics->exposition());
    } else if (path == "/v1/status") {
        respondJson(writer, net::status::ok, vmJson());
    } else if (path == "/v1/fleet") {
        showFleet(std::move(writer));
    } else if (path == "/v1/endpoints") {
        respondJson(writer, net::status::ok, endpointsJson());
    } else if (path == "/v1/configuration") {
        respondJson(writer, net::status::ok, configurationJson());
    } else if (path == "/v1/quarantine") {
        respondJson(writer, net::status::ok, quarantineJson());
    } else if (path == "/v1/history") {
        readStream(request, std::string(config::streamName), std::move(writer));
    } else if (path == "/v1/audit") {
        readStream(request, std::string(ledger::auditStreamName), std::move(writer));
    } else if (path == "/v1/charges") {
        readStream(request, std::string(ledger::chargeStreamName), std::move(writer));
    } else if (path.starts_with("/v1/changes/")) {
        showChange(lastPart(path), std::move(writer));
    } else if (path.starts_with("/v1/jobs/")) {
        explainJob(lastPart(path), std::move(writer));
    } else {
        respondError(writer, net::status::notFound, { ErrorKind::NotFound, path });
    }
}

void OperatorApi::post(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const std::string path(request.path());
    if (path == "/v1/changes") {
        applyChange(request, std::move(writer));
        return;
    }
    const bool vm = path == "/v1/drain";
    const bool endpoint = path == "/v1/endpoints/leave";
    const bool quarantine = path == "/v1/quarantine/lift";
    if (!vm && !endpoint && !quarantine) {
        respondError(writer, net::status::notFound, { ErrorKind::NotFound, path });
        return;
    }
    const auto action = parseAction(request.body, vm ? "vm" : endpoint ? "endpoint" : "fingerprint");
    if (!action) {
        respondError(writer, net::status::badRequest, action.error());
        return;
    }
    const OperatorAction &wanted = action.value();
    const fleet::View &view = *control_.core().view();
    if (vm) {
        const auto named = [&](const fleet::MemberView &each) { return each.member.vm.text() == wanted.subject; };
        if (std::none_of(view.members.begin(), view.members.end(), named)) {
            respondError(writer, net::status::notFound, { ErrorKind::NotFound, "no such VM: " + wanted.subject });
            return;
        }
        control_.handle(core::LeaveVm { VmId(wanted.subject), wanted.by });
    } else if (endpoint) {
        if (view.endpoint(EndpointId(wanted.subject)) == nullptr) {
            respondError(writer, net::status::notFound, { ErrorKind::NotFound, "no such endpoint: " + wanted.subject });
            return;
        }
        control_.handle(core::LeaveEndpoint { EndpointId(wanted.subject), wanted.by });
    } else {
        liftQuarantine(wanted.subject, wanted.by, std::move(writer));
        return;
    }
    respondJson(writer, net::status::accepted, R"({"state":"accepted"})");
}

void OperatorApi::liftQuarantine(const std::string &fingerprint, const OperatorId &by, net::ResponseWriter writer)
{
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const auto *end = fingerprint.data() + fingerprint.size();
    const auto parsed = std::from_chars(fingerprint.data(), end, value, hexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        respondError(writer, net::status::badRequest, { ErrorKind::WrongType, "fingerprint" });
        return;
    }
    if (control_.core().view()->state(Fingerprint(value)) == fleet::SuspicionState::Clear) {
        respondError(writer, net::status::notFound, { ErrorKind::NotFound, "not quarantined: " + fingerprint });
        return;
    }
    control_.handle(core::LiftQuarantine { Fingerprint(value), by });
    respondJson(writer, net::status::accepted, R"({"state":"accepted"})");
}

void OperatorApi::applyChange(const net::HttpRequest &request, net::ResponseWriter writer)
{
    auto change = parseChange(request.body);
    if (!change) {
        respondError(writer, net::status::badRequest, change.error());
        return;
    }
    if (change.value().item) {
        if (const auto valid = config::validate(*change.value().item); !valid) {
            respondError(writer, net::status::unprocessable, valid.error());
            return;
        }
    }
    const core::OperatorRequestId id(++lastRequest_);
    waiting_[id] = std::move(writer);
    control_.handle(core::ApplyChange { id, std::move(change.value()) });
}

void OperatorApi::changeSettled(const core::ChangeSettled &settled)
{
    auto node = waiting_.extract(settled.request);
    if (node.empty()) {
        return;
    }
    net::ResponseWriter &writer = node.mapped();
    if (!settled.result) {
        const bool unknown = settled.result.error().kind == ErrorKind::Timeout;
        respondError(writer, unknown ? net::status::gatewayTimeout : net::status::unavailable, settled.result.error());
        return;
    }
    const config::ChangeResult &result = settled.result.value();
    respondJson(writer, result.rejected ? net::status::conflict : net::status::ok, changeJson(result));
}

void OperatorApi::showChange(const std::string &id, net::ResponseWriter writer) const
{
    if (const auto result = control_.core().resultOf(config::ChangeId(id))) {
        respondJson(writer, net::status::ok, changeJson(*result));
    } else {
        respondError(writer, net::status::notFound, { ErrorKind::NotFound, "no such change here: " + id });
    }
}

void OperatorApi::explainJob(const std::string &id, net::ResponseWriter writer)
{
    const auto job = jobIdFromText(id);
    if (!job) {
        respondError(writer, net::status::badRequest, { ErrorKind::Malformed, "not a job id: " + id });
        return;
    }
    const JobId wanted = *job;
    const auto query = [wanted](core::RequestId request) { return core::Query { request, wanted }; };
    auto sink = makeThreadHop(control_.loop(), std::make_shared<StatusSink>(std::move(writer), true));
    const auto &thread = control_.traffic().front();
    thread->loop().post([&thread, wanted, query, sink = std::move(sink)] {
        thread->route(wanted, StatusCall { wanted }, { query, sink });
    });
}

void OperatorApi::showFleet(net::ResponseWriter writer)
{
    auto gathering = std::make_shared<FleetGathering>();
    gathering->writer = std::move(writer);
    for (const fleet::MemberView &member : control_.core().view()->members) {
        gathering->members.emplace_back(member, std::string());
    }
    gathering->missing = gathering->members.size();
    if (gathering->missing == 0) {
        respondJson(gathering->writer, net::status::ok, fleetJson({}));
    }
    for (std::size_t index = 0; index < gathering->members.size(); ++index) {
        const fleet::Member member = gathering->members[index].first.member;
        if (member.incarnation == context_.incarnation) {
            gathering->answer(index, vmJson());
            continue;
        }
        if (member.state == fleet::MemberState::Dead || member.state == fleet::MemberState::Left) {
            gathering->answer(index, std::string());
            continue;
        }
        ForwardHandlers handlers;
        handlers.onPiece = [gathering, index](const PeerPiece &piece) {
            const auto *json = std::get_if<JsonPiece>(&piece);
            gathering->answer(index, json == nullptr ? std::string() : json->json);
        };
        handlers.onFailed = [gathering, index](const Error &, bool) { gathering->answer(index, std::string()); };
        control_.forward(member.address, VmStatusCall {}, std::move(handlers));
    }
}

void OperatorApi::readStream(const net::HttpRequest &request, const std::string &stream, net::ResponseWriter writer)
{
    const std::string from = request.query("from").value_or("0");
    std::uint64_t offset = 0;
    std::from_chars(from.data(), from.data() + from.size(), offset);
    const log::Read read {
        log::RequestTag(++lastRequest_), log::StreamId(stream), LogOffset(offset), Duration::zero()
    };
    control_.platform().submit(read, [stream, writer](const log::Answer &answer) mutable {
        const auto &records = std::get<log::ReadAnswer>(answer);
        if (!records.ok) {
            respondError(writer, net::status::unavailable, { ErrorKind::Unavailable, "The log can't be read." });
        } else if (stream == config::streamName) {
            respondJson(writer, net::status::ok, historyJson(records));
        } else if (stream == ledger::auditStreamName) {
            ledger::AuditReader reader;
            const auto entries = reader.read(records);
            respondJson(writer, net::status::ok, auditJson(entries, log::nextOffset(records), reader.dropped()));
        } else {
            ledger::ChargeTotals totals;
            totals.read(records);
            respondJson(writer, net::status::ok, chargesJson(totals, log::nextOffset(records)));
        }
    });
}

std::string OperatorApi::vmJson() const
{
    VmSummary summary;
    summary.vm = context_.settings.vm.name;
    summary.zone = context_.settings.vm.zone;
    summary.region = context_.settings.vm.region;
    summary.incarnation = context_.incarnation;
    summary.leaving = control_.isLeaving();
    summary.control = control_.core().status(control_.loop().clock().now());
    for (const auto &thread : control_.traffic()) {
        summary.jobs += thread->counters();
    }
    return vmSummaryJson(summary);
}

std::string OperatorApi::endpointsJson() const
{
    return daemon::endpointsJson(*control_.core().view(), control_.loop().clock().now());
}

std::string OperatorApi::configurationJson() const
{
    return daemon::configurationJson(control_.core().items());
}

std::string OperatorApi::quarantineJson() const
{
    return daemon::quarantineJson(*control_.core().view());
}

void OperatorApi::refreshMetrics() const
{
    telemetry::Metrics &metrics = *context_.metrics;
    const core::ControlStatus status = control_.core().status(control_.loop().clock().now());
    core::JobCounters jobs;
    for (const auto &thread : control_.traffic()) {
        jobs += thread->counters();
    }
    const auto set = [&](const telemetry::MetricSpec &spec, double value) { metrics.gauge(spec).set(value); };
    set({ "config_version", "Highest configuration version in force." }, double(status.configVersion.value()));
    set({ "log_silence", "Time since the last good answer of the log.", telemetry::Unit::Seconds },
        toSeconds(status.sinceLogAnswer));
    set({ "charges_pending", "Charges not known to be in the log." }, double(status.charges.pending));
    set({ "charges_dropped", "Charges dropped for lack of room." }, double(status.charges.dropped));
    set({ "audit_dropped", "Audit entries dropped for lack of room." }, double(status.audit.dropped));
    set({ "claims_waiting", "Keyed requests whose claim isn't settled." }, double(status.claims.waiting));
    set({ "jobs_running", "Jobs that run." }, double(jobs.running));
    set({ "stage_retries", "Stage calls made again since the start." }, double(jobs.retries));
    set({ "stage_hedges", "Second calls made for late ones since the start." }, double(jobs.hedges));
    set({ "endpoint_crashes", "Calls that saw their endpoint crash since the start." }, double(jobs.crashes));
    set({ "stale_results", "Results dropped because their attempt wasn't current, since the start." },
        double(jobs.staleResults));
    const peer::PeerCounters peers = control_.peerCounters();
    set({ "peer_sent", "Bytes sent to other VMs since the start.", telemetry::Unit::Bytes }, double(peers.bytesSent));
    set({ "peer_silent_links", "Links to other VMs closed for silence since the start." }, double(peers.silentLinks));
}

} // namespace lacewing::daemon
