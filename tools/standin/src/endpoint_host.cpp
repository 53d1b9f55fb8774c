#include "endpoint_host.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace lacewing::standin
{
namespace
{

using Json = nlohmann::json;

constexpr Duration samplePeriod = std::chrono::milliseconds(50);
constexpr Duration maxReportAge = std::chrono::seconds(30);
constexpr std::size_t maxConnections = 4096;

std::string toHex(std::uint64_t value)
{
    char text[17] = {};
    std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(value));
    return text;
}

std::int64_t toMs(WallTime time)
{
    return toMilliseconds(time.time_since_epoch());
}

config::StageKind kindOf(std::string_view path)
{
    const auto kind = config::stageKindFromText(path.substr(std::min<std::size_t>(path.size(), 4)));
    if (path == "/v1/completions") {
        return config::StageKind::Generate;
    }
    return kind.value_or(config::StageKind::Service);
}

bool isCall(std::string_view path)
{
    return path == "/v1/completions" || path == "/v1/encode" || path == "/v1/retrieve" || path == "/v1/rerank"
        || path == "/v1/call";
}

std::string modelIn(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool named = json.is_object() && json.contains("model") && json["model"].is_string();
    return named ? json["model"].get<std::string>() : std::string();
}

} // namespace

EndpointHost::Run::Run(EndpointHost &host, Incarnation incarnation)
    : process { host.context_.loop,   host.settings_, host.gate_, host.context_.executions,
                host.context_.random, incarnation,    {} }
    , engine(std::make_shared<Engine>(process))
    , service(std::make_shared<Service>(process))
{
    process.crash = [&host, incarnation] {
        // Not from within the process's own code, but before any of its calls can finish.
        host.context_.loop.timers().once(host.context_.loop.clock().now(), [&host, incarnation](Time) {
            if (host.run_ && host.incarnation().value() == incarnation.value()) {
                host.crash(host.settings_.restartTime);
            }
        });
    };
}

EndpointHost::EndpointHost(
    HostContext context, const PoolSettings &settings, std::string id, std::string zone, const std::string &address)
    : context_(context)
    , settings_(settings)
    , id_(std::move(id))
    , zone_(std::move(zone))
    , address_(net::parseAddress(address).value())
    , gate_(context.loop, context.faults, { id_, settings.id.text(), zone_ })
    , loaded_(settings.models.begin(), settings.models.end())
    , role_(settings.kind)
{
    const Time first = context_.loop.clock().now() + samplePeriod;
    sampleTimer_ = context_.loop.timers().every(first, samplePeriod, [this](Time now) { sampleLoad(now); });
}

EndpointHost::~EndpointHost()
{
    context_.loop.timers().cancel(sampleTimer_);
}

Result<void> EndpointHost::start()
{
    auto run = std::make_unique<Run>(*this, Incarnation(context_.random.next() | 1U));
    run->server = std::make_unique<net::HttpServer>(
        context_.loop,
        net::HttpServerOptions().maxConnections(maxConnections),
        [this](const net::HttpRequest &request, net::ResponseWriter writer) { serve(request, std::move(writer)); });
    auto listening = run->server->listen(address_);
    if (!listening) {
        return listening;
    }
    address_ = run->server->address();
    run_ = std::move(run);
    samples_.clear();
    sampleLoad(context_.loop.clock().now());
    return success();
}

void EndpointHost::crash(Duration restartAfter)
{
    if (!run_) {
        return;
    }
    ++crashes_;
    run_->server->closeAll();
    run_.reset();
    loaded_ = std::set<std::string>(settings_.models.begin(), settings_.models.end());
    role_ = settings_.kind;
    changingRole_ = false;
    restart(restartAfter);
}

/** Starts a new process after a time; tries again when the address is taken for now. */
void EndpointHost::restart(Duration after)
{
    context_.loop.timers().once(context_.loop.clock().now() + after, [this](Time) {
        if (!run_ && !start()) {
            restart(settings_.restartTime);
        }
    });
}

void EndpointHost::leave()
{
    if (!leaving_) {
        leaving_ = true;
        leftAt_ = context_.loop.clock().now();
    }
}

std::string EndpointHost::address() const
{
    return net::toText(address_);
}

Incarnation EndpointHost::incarnation() const noexcept
{
    return run_ ? run_->process.incarnation : Incarnation();
}

void EndpointHost::serve(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (!run_ || gate_.takesRequest(request, writer)) {
        return;
    }
    if (isCall(request.path())) {
        serveCall(request, std::move(writer));
    } else {
        serveControl(request, std::move(writer));
    }
}

bool EndpointHost::accepts(std::string_view path, std::string_view model) const
{
    const bool rightModel = model.empty() || loaded_.empty() || loaded_.count(std::string(model)) > 0;
    return kindOf(path) == role_ && rightModel && !changingRole_;
}

void EndpointHost::serveCall(const net::HttpRequest &request, net::ResponseWriter writer)
{
    ++calls_;
    if (leaving_) {
        ++callsAfterLeave_;
        lastCallAfterLeave_ = context_.loop.clock().now() - leftAt_;
    }
    if (!accepts(request.path(), modelIn(request.body.text()))) {
        declineCall(run_->process, request, std::move(writer), "another role, or the model isn't loaded");
    } else if (request.path() == "/v1/completions") {
        run_->engine->serve(request, std::move(writer));
    } else {
        run_->service->serve(request, std::move(writer));
    }
}

void EndpointHost::serveControl(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const auto path = request.path();
    if (path == "/v1/load") {
        serveLoad(request, std::move(writer));
    } else if (path == "/v1/cache-events") {
        serveCacheEvents(request, std::move(writer));
    } else if (path == "/v1/order") {
        serveOrder(request, std::move(writer));
    } else if (path == "/v1/kv") {
        serveKv(request, std::move(writer));
    } else if (path == "/v1/cancel") {
        const bool found = run_->engine->cancel(callIdOf(request));
        writer.respond(found ? net::status::ok : net::status::notFound, {}, "");
    } else {
        writer.respond(net::status::notFound, {}, "");
    }
}

Duration EndpointHost::lag(Duration usual)
{
    const auto fault = context_.faults.find(FaultKind::Lag, gate_.target());
    return fault ? std::max(usual, fromSeconds(fault->number(0) / 1000)) : usual;
}

std::string EndpointHost::loadBody() const
{
    const bool engine = role_ == config::StageKind::Generate;
    const Json json = {
        { "endpoint", id_ },
        { "incarnation", toHex(incarnation().value()) },
        { "as_of_ms", toMs(context_.loop.clock().wallNow()) },
        { "running", engine ? run_->engine->running() : run_->service->running() },
        { "waiting", engine ? run_->engine->waiting() : run_->service->waiting() },
        { "slots", settings_.slots },
        { "kv_used_share", run_->engine->cache().usedShare() },
        { "models", loaded_ },
        { "role", config::toText(role_) },
        { "leaving", leaving_ },
    };
    return json.dump();
}

void EndpointHost::sampleLoad(Time now)
{
    if (!run_) {
        return;
    }
    samples_.push_back({ now, context_.loop.clock().wallNow(), loadBody() });
    const Duration keep = std::min(lag(settings_.loadLag), maxReportAge);
    while (samples_.size() > 1 && now - samples_[1].at >= keep) {
        samples_.pop_front();
    }
}

void EndpointHost::serveLoad(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const Time due = context_.loop.clock().now() - lag(settings_.loadLag);
    const LoadSample *sample = &samples_.front();
    for (const auto &candidate : samples_) {
        if (candidate.at <= due) {
            sample = &candidate;
        }
    }
    gate_.respond(request.remoteAddress, std::move(writer), net::status::ok, {}, sample->body);
}

void EndpointHost::serveCacheEvents(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const PrefixCache &cache = run_->engine->cache();
    std::uint64_t from = 0;
    const std::string text = request.query("from").value_or("0");
    std::from_chars(text.data(), text.data() + text.size(), from);
    const WallTime before = context_.loop.clock().wallNow() - lag(settings_.cacheEventLag);
    const auto gap = context_.faults.find(FaultKind::Gap, gate_.target());
    Json events = Json::array();
    std::uint64_t next = std::max(from, cache.firstEvent());
    for (const auto &event : cache.events(from, before)) {
        next = event.sequence + 1;
        if (gap && context_.random.chance(gap->number(1))) {
            continue;
        }
        events.push_back({
            { "seq", event.sequence },
            { "change", event.change == endpoint::CacheChange::Stored ? "stored" : "evicted" },
            { "prefix", toHex(event.prefix) },
            { "at_ms", toMs(event.at) },
        });
    }
    const Json json = {
        { "incarnation", toHex(incarnation().value()) },
        { "first", cache.firstEvent() },
        { "next", next },
        { "events", std::move(events) },
    };
    gate_.respond(request.remoteAddress, std::move(writer), net::status::ok, {}, json.dump());
}

void EndpointHost::serveOrder(const net::HttpRequest &request, net::ResponseWriter writer)
{
    int status = net::status::ok;
    try {
        const Json json = Json::parse(request.body);
        const auto fencing = json.at("fencing").get<std::uint64_t>();
        const auto role = config::stageKindFromText(json.at("role").get<std::string>());
        const auto models = json.at("models").get<std::vector<std::string>>();
        if (settings_.honoursFencing && fencing < highestFencing_) {
            status = net::status::conflict;
        } else if (!role || !applyOrder(models, *role)) {
            status = net::status::unprocessable;
        } else {
            highestFencing_ = std::max(highestFencing_, fencing);
        }
    } catch (const Json::exception &) {
        status = net::status::badRequest;
    }
    gate_.respond(request.remoteAddress, std::move(writer), status, {}, "");
}

/** Starts to load the models and to change the role. @return false for an unknown model */
bool EndpointHost::applyOrder(const std::vector<std::string> &models, config::StageKind role)
{
    const Time now = context_.loop.clock().now();
    const std::set<std::string> wanted(models.begin(), models.end());
    const std::uint64_t order = ++orders_;
    const auto isCurrent = [this, order, run = incarnation()] {
        return run_ && incarnation().value() == run.value() && order == orders_;
    };
    for (const auto &model : wanted) {
        if (loaded_.count(model) > 0) {
            continue;
        }
        const auto ready = context_.weights.fetch(model, now);
        if (!ready) {
            return false;
        }
        context_.loop.timers().once(*ready, [this, isCurrent, model](Time) {
            if (isCurrent()) {
                loaded_.insert(model);
            }
        });
    }
    std::erase_if(loaded_, [&](const std::string &model) { return wanted.count(model) == 0; });
    changingRole_ = role != role_;
    if (changingRole_) {
        context_.loop.timers().once(now + settings_.roleTime, [this, isCurrent, role](Time) {
            if (isCurrent()) {
                role_ = role;
                changingRole_ = false;
            }
        });
    }
    return true;
}

void EndpointHost::serveKv(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const std::string callId = request.query("call").value_or("");
    if (request.method == "POST") {
        const bool taken = run_->engine->importKv(callId, request.body.text());
        writer.respond(taken ? net::status::ok : net::status::unprocessable, {}, "");
        return;
    }
    const auto bytes = run_->engine->exportKv(callId);
    writer.respond(bytes ? net::status::ok : net::status::notFound, {}, bytes.value_or(""));
}

} // namespace lacewing::standin
