#include "traffic_thread.h"

#include "control_thread.h"
#include "http_sinks.h"
#include "public_api.h"
#include "sink_adapters.h"

#include <type_traits>

namespace lacewing::daemon
{
namespace
{

constexpr Duration hintInterval = 1s;

core::JobCoreSettings coreSettings(const DaemonContext &context, std::uint32_t index, std::uint32_t count)
{
    core::JobCoreSettings settings;
    settings.vm = context.settings.vm.name;
    settings.zone = context.settings.vm.zone;
    settings.incarnation = context.incarnation;
    settings.index = index;
    settings.count = count;
    settings.seed = hashBytes("traffic-" + std::to_string(index), context.seed);
    settings.maxJobs = context.settings.bounds.jobs / count + 1;
    const SystemClock clock;
    settings.commonTimeOffset = clock.wallNow().time_since_epoch() - clock.now().time_since_epoch();
    return settings;
}

endpoint::HttpEndpointSettings endpointSettings(const DaemonContext &context)
{
    endpoint::HttpEndpointSettings settings;
    settings.zone = context.settings.vm.zone;
    return settings;
}

net::HttpServerOptions serverOptions(const settings::BoundSettings &bounds, std::uint32_t count)
{
    net::HttpServerOptions options;
    options.maxHeaderBytes(bounds.header.value())
        .maxBodyBytes(bounds.body.value())
        .maxConnections(bounds.connections / count + 1)
        .sharedAddress(true);
    return options;
}

} // namespace

TrafficThread::TrafficThread(const DaemonContext &context, std::uint32_t index, std::uint32_t count)
    : context_(context)
    , index_(index)
    , count_(count)
    , core_(coreSettings(context, index, count))
    , endpoints_(endpoint::makeHttpEndpointClient(loop_, endpointSettings(context)))
    , api_(std::make_unique<PublicApi>(*this, context))
    , events_(loop_, [this](const core::JobEvent &event) { handle(event); })
    , requests_(loop_, [this](const SinkRequest &request) { submit(request); })
    , configuration_(std::make_shared<const config::FleetConfig>())
    , view_(std::make_shared<const fleet::View>())
{
    server_ = std::make_unique<net::HttpServer>(loop_,
                                                serverOptions(context.settings.bounds, count),
                                                [this](const net::HttpRequest &request, net::ResponseWriter writer) {
                                                    api_->handle(request, std::move(writer));
                                                });
}

TrafficThread::~TrafficThread() = default;

Result<void> TrafficThread::listen(const net::SocketAddress &address)
{
    return server_->listen(address);
}

net::SocketAddress TrafficThread::address() const
{
    return server_->address();
}

void TrafficThread::start(ControlThread &control, const std::vector<std::unique_ptr<TrafficThread>> &all)
{
    control_ = &control;
    all_ = &all;
    thread_ = std::thread([this] { run(); });
}

void TrafficThread::run()
{
    const Time now = loop_.clock().now();
    loop_.timers().every(now + hintInterval, hintInterval, [this](Time) { everySecond(); });
    loop_.run();
}

void TrafficThread::stop()
{
    loop_.stop();
}

void TrafficThread::join()
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

void TrafficThread::put(core::JobEvent event)
{
    events_.put(std::move(event));
}

void TrafficThread::putRequest(SinkRequest request)
{
    openRequests_.fetch_add(1);
    requests_.put(std::move(request));
}

void TrafficThread::beginStop()
{
    loop_.post([this] {
        stopping_ = true;
        handle(core::StopAdmitting {});
        server_->stopAccepting();
        server_->closeBetweenRequests([] {});
    });
}

core::JobCounters TrafficThread::counters() const
{
    const std::lock_guard lock(countersMutex_);
    return counters_;
}

core::RequestId TrafficThread::submit(const SinkRequest &request)
{
    const core::RequestId id(++lastRequest_);
    sinks_[id] = request.sink;
    countRequests();
    handle(request.makeEvent(id));
    return id;
}

void TrafficThread::callerGone(core::RequestId request)
{
    const bool lagged = lagging_.erase(request) > 0;
    if (takeSink(request) || lagged) {
        handle(core::CallerGone { request });
    }
}

std::shared_ptr<AnswerSink> TrafficThread::takeSink(core::RequestId request)
{
    auto node = sinks_.extract(request);
    jobsOfRequests_.erase(request);
    countRequests();
    return node.empty() ? nullptr : node.mapped();
}

void TrafficThread::route(const JobId &job, const PeerCall &call, SinkRequest local)
{
    if (job.owner != context_.incarnation) {
        forward(job.owner, call, local.sink);
        return;
    }
    const std::uint32_t thread = core::threadOf(job, count_);
    if (thread == index_) {
        submit(local);
        return;
    }
    // The answers come back to this thread, where the caller's connection lives.
    local.sink = makeThreadHop(loop_, std::move(local.sink));
    (*all_)[thread]->putRequest(std::move(local));
}

void TrafficThread::forward(Incarnation owner, const PeerCall &call, std::shared_ptr<AnswerSink> sink)
{
    const fleet::MemberView *member = view_->memberByIncarnation(owner);
    if (member == nullptr) {
        sink->refused({ pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero() });
        return;
    }
    const std::shared_ptr<AnswerSink> hop = makeThreadHop(loop_, std::move(sink));
    ForwardHandlers handlers;
    handlers.onPiece = [hop](const PeerPiece &piece) { giveToSink(piece, *hop); };
    handlers.onFailed = [hop](const Error & /*error*/, bool /*sent*/) {
        hop->refused({ pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero() });
    };
    control_->forward(member->member.address, call, std::move(handlers));
}

void TrafficThread::mintTicket(const WorkspaceId &workspace, net::ResponseWriter writer)
{
    const core::RequestId id(++lastRequest_);
    ticketRequests_[id] = std::move(writer);
    control_->put(core::MintTicket { id, index_, workspace });
}

void TrafficThread::ticketMinted(core::RequestId request, Result<ledger::Ticket> ticket)
{
    loop_.post([this, request, ticket = std::move(ticket)] {
        auto node = ticketRequests_.extract(request);
        if (node.empty()) {
            return;
        }
        if (ticket) {
            respondJson(node.mapped(), net::status::ok, ticketJson(ledger::toText(ticket.value())));
        } else {
            respondProblem(node.mapped(), problemOf({ pipeline::FailureReason::Overloaded, Ran::No, 1s }));
        }
    });
}

void TrafficThread::handle(const core::JobEvent &event)
{
    if (const auto *published = std::get_if<core::Published>(&event)) {
        configuration_ = published->configuration ? published->configuration : configuration_;
        view_ = published->view ? published->view : view_;
    }
    const Clock &clock = loop_.clock();
    for (core::JobEffect &effect : core_.handle(event, clock.now(), clock.wallNow())) {
        carryOut(effect);
    }
    running_.store(core_.counters().running);
    timer_.arm(core_.nextWake());
}

void TrafficThread::everySecond()
{
    const Time now = loop_.clock().now();
    control_->put(core::HintMeasured { index_, core_.ownHint(now) });
    const std::lock_guard lock(countersMutex_);
    counters_ = core_.counters();
}

void TrafficThread::carryOut(core::JobEffect &effect)
{
    std::visit([this](auto &each) { on(each); }, effect);
}

template <typename ForControl>
void TrafficThread::on(ForControl &effect)
{
    if constexpr (std::is_same_v<ForControl, core::JobEnded>) {
        count(effect);
    }
    control_->put(core::FromJobs { std::move(effect) });
}

void TrafficThread::count(const core::JobEnded &ended)
{
    static constexpr std::string_view ends[] = { "met", "late", "refused", "failed" };
    const telemetry::Labels labels {
        { "workspace", ended.workspace.text() },
        { "class", ended.jobClass.text() },
        { "end", std::string(ends[static_cast<std::size_t>(ended.end)]) },
    };
    context_.metrics->counter({ "jobs", "Jobs that ended, by how." }, labels).add();
    const telemetry::Labels classLabel { { "class", ended.jobClass.text() } };
    context_.metrics
        ->histogram({ "job", "Time from arrival to the end of a job.", telemetry::Unit::Seconds },
                    classLabel,
                    telemetry::latencyBuckets())
        .observe(ended.elapsed);
    constexpr double microsPerUnit = 1e6;
    context_.metrics->counter({ "job_cost", "Cost of all calls of ended jobs.", telemetry::Unit::Currency }, classLabel)
        .add(static_cast<double>(ended.cost.value()) / microsPerUnit);
}

void TrafficThread::on(core::StartCall &effect)
{
    endpoint::StageCall call;
    call.call = effect.call;
    call.endpoint = effect.endpoint;
    call.address = std::move(effect.address);
    call.incarnation = effect.incarnation;
    call.kind = effect.kind;
    call.model = effect.model;
    call.workspace = effect.workspace;
    call.input = std::move(effect.input);
    call.maxTokens = effect.maxTokens;
    call.resumeAt = effect.resumeAt;
    call.forcedPrefix = std::move(effect.forcedPrefix);
    call.priority = effect.priority;
    call.timeout = effect.timeout;
    call.repeatable = effect.repeatable;
    call.fingerprint = effect.fingerprint;
    endpoints_->call(std::move(call), [this](endpoint::StageEvent event) { onStageEvent(std::move(event)); });
}

void TrafficThread::onStageEvent(endpoint::StageEvent event)
{
    std::visit(Overloaded {
                   [this](endpoint::StageChunk &chunk) {
                       handle(core::StageChunk { chunk.call, chunk.offset, std::move(chunk.text) });
                   },
                   [this](endpoint::StageEnded &ended) {
                       handle(core::StageEnded { ended.call,
                                                 ended.length,
                                                 std::move(ended.result),
                                                 ended.busy,
                                                 ended.generatedTokens,
                                                 ended.cachedTokens });
                   },
                   [this](endpoint::StageFailed &failed) {
                       handle(core::StageFailed { failed.call, failed.error.kind, failed.ran, failed.crashed });
                   },
               },
               event);
}

void TrafficThread::on(core::CancelCall &effect)
{
    endpoints_->cancel(effect.call);
}

void TrafficThread::on(core::Accepted &effect)
{
    jobsOfRequests_[effect.request] = effect.job;
    if (const auto sink = sinks_.find(effect.request); sink != sinks_.end()) {
        sink->second->accepted(effect.job);
    }
}

void TrafficThread::on(core::Piece &effect)
{
    const auto found = sinks_.find(effect.request);
    if (found == sinks_.end() || found->second->piece(effect.offset, effect.text)) {
        return;
    }
    // The reader is behind: nothing more goes to it until it has caught up, or its answer would have a hole.
    const core::RequestId request = effect.request;
    lagging_[request] = { std::move(found->second), jobsOfRequests_[request] };
    sinks_.erase(found);
    lagging_[request].sink->onReady([this, request] { reattach(request); });
    loop_.post([this, request] { handle(core::CallerGone { request }); });
}

void TrafficThread::reattach(core::RequestId request)
{
    auto node = lagging_.extract(request);
    if (node.empty()) {
        return;
    }
    const JobId job = node.mapped().job;
    const ByteOffset from = node.mapped().sink->position();
    sinks_[request] = std::move(node.mapped().sink);
    countRequests();
    handle(core::Attach { request, job, from });
}

void TrafficThread::countRequests()
{
    openRequests_.store(sinks_.size() + lagging_.size());
}

void TrafficThread::on(core::Finished &effect)
{
    if (const auto sink = takeSink(effect.request)) {
        sink->finished(effect.status);
    }
}

void TrafficThread::on(core::Refuse &effect)
{
    if (const auto sink = takeSink(effect.request)) {
        sink->refused({ effect.reason, effect.ran, effect.retryAfter });
    }
}

void TrafficThread::on(core::Forward &effect)
{
    if (auto sink = takeSink(effect.request)) {
        const JobId job = effect.job;
        const ByteOffset from = effect.from;
        route(job,
              AttachCall { job, from },
              { [job, from](core::RequestId id) {
                   return core::Attach { id, job, from };
               },
                std::move(sink) });
    }
}

void TrafficThread::on(core::QueryAnswer &effect)
{
    if (const auto sink = takeSink(effect.request)) {
        sink->status(effect.status);
    }
}

} // namespace lacewing::daemon
