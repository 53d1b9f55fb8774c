#include "http_endpoint.h"

#include "protocol.h"

#include <algorithm>

namespace lacewing::endpoint
{
namespace
{

/** Unused connections to endpoints aren't trusted for long: one that went silent costs a call its time. */
constexpr Duration keepIdle = std::chrono::seconds(2);
/** Addresses whose incarnation is remembered. */
constexpr std::size_t maxAddresses = 10'000;

net::HttpClientOptions clientOptions(const HttpEndpointSettings &settings)
{
    net::HttpClientOptions options;
    options.maxPerAddress(settings.maxPerAddress)
        .keepIdle(keepIdle)
        .defaultHeaders({ { "X-Zone", settings.zone.text() } });
    return options;
}

bool streams(const StageCall &call) noexcept
{
    return call.kind == config::StageKind::Generate;
}

} // namespace

HttpEndpointClient::HttpEndpointClient(net::EventLoop &loop, HttpEndpointSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , client_(loop, clientOptions(settings_))
{
}

void HttpEndpointClient::call(StageCall call, StageCallback callback)
{
    ++counters_.calls;
    const CallId id = call.call;
    auto body = stageBody(call);
    const bool offsetsAgree = call.forcedPrefix.empty() || call.forcedPrefix.size() == call.resumeAt.value();
    if (!body || !offsetsAgree || calls_.count(id) > 0) {
        ++counters_.failed;
        loop_.post([id, callback = std::move(callback)] {
            callback(StageFailed { id, { ErrorKind::InvalidArgument, "the call can't be sent" }, Ran::No, false });
        });
        return;
    }
    Running &running = calls_[id];
    running.call = std::move(call);
    running.callback = std::move(callback);
    if (streams(running.call)) {
        running.stream.emplace(id, running.call.resumeAt);
    }
    const auto known = incarnations_.find(running.call.address);
    if (running.call.incarnation != Incarnation()) {
        running.incarnation = running.call.incarnation;
    } else if (known != incarnations_.end()) {
        running.incarnation = known->second;
    }
    sendCall(running, std::move(body).value());
}

void HttpEndpointClient::sendCall(Running &running, std::string body)
{
    const StageCall &call = running.call;
    const CallId id = call.call;
    net::HttpCall request;
    request.address = call.address;
    request.method = "POST";
    request.target = stageTarget(call.kind);
    request.headers = { { "Content-Type", "application/json" }, { std::string(header::callId), toText(id) } };
    if (call.resumeAt.value() > 0 && call.forcedPrefix.empty()) {
        request.headers.push_back({ std::string(header::lastEventId), std::to_string(call.resumeAt.value()) });
    }
    request.body = std::move(body);
    request.repeatable = call.repeatable;
    request.resendWhenLost = false; // a call that crashed its endpoint is not sent to it again
    net::HttpHandlers handlers;
    handlers.onHead = [this, id](const net::HttpHead &head) { headCame(id, head); };
    handlers.onBody = [this, id](std::string_view bytes) { bodyCame(id, bytes); };
    handlers.onDone = [this, id](const net::HttpEnd &end) { callDone(id, end); };
    running.http = client_.start(std::move(request), limitsOf(call), std::move(handlers));
}

net::HttpLimits HttpEndpointClient::limitsOf(const StageCall &call) const
{
    net::HttpLimits limits;
    limits.connect = std::min(settings_.connect, call.timeout);
    // Engines send their head at once and comments while a call waits; other endpoints are silent until they answer.
    limits.firstByte = streams(call) ? settings_.nextByte : call.timeout;
    limits.nextByte = settings_.nextByte;
    limits.total = call.timeout;
    return limits;
}

void HttpEndpointClient::headCame(const CallId &id, const net::HttpHead &head)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    Running &running = found->second;
    running.head = head;
    running.ours = head.header(header::callId) == toText(id);
    if (!running.ours && head.status == net::status::ok) {
        ++counters_.crossed;
        abandon(id, { ErrorKind::Malformed, "answer to another call" });
        return;
    }
    const auto text = head.header(header::incarnation);
    const auto incarnation = text ? incarnationFrom(*text) : failure(ErrorKind::Missing);
    if (running.ours && incarnation) {
        running.incarnation = incarnation.value();
    }
}

void HttpEndpointClient::bodyCame(const CallId &id, std::string_view bytes)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    Running &running = found->second;
    if (!running.stream || running.head.status != net::status::ok) {
        running.body += bytes;
        return;
    }
    auto outcome = running.stream->feed(bytes);
    counters_.trimmed += outcome.trimmed;
    const StageCallback callback = running.callback;
    for (auto &chunk : outcome.chunks) {
        callback(std::move(chunk));
        if (calls_.count(id) == 0) {
            return; // cancelled by its callback
        }
    }
    if (outcome.error) {
        counters_.gaps += outcome.error->kind == ErrorKind::Missing ? 1 : 0;
        fail(id, *outcome.error, Ran::Unknown);
    } else if (outcome.ended) {
        // The HTTP response ends by itself, so that its connection can be reused.
        ++counters_.ended;
        finish(id, std::move(*outcome.ended));
    }
}

void HttpEndpointClient::callDone(const CallId &id, const net::HttpEnd &end)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const Running &running = found->second;
    if (end.headReceived && running.head.status != net::status::ok) {
        statusDone(id);
    } else if (end.error) {
        connectionFailed(id, end);
    } else if (running.stream) {
        fail(id, { ErrorKind::ConnectionLost, "stream without its end" }, Ran::Unknown);
    } else {
        plainDone(id);
    }
}

void HttpEndpointClient::plainDone(const CallId &id)
{
    auto answer = plainAnswerFrom(calls_.at(id).body);
    if (!answer) {
        fail(id, answer.error(), Ran::Unknown);
        return;
    }
    StageEnded ended;
    ended.call = id;
    ended.length = ByteOffset(answer.value().output.size());
    ended.result = std::move(answer.value().output);
    ended.busy = answer.value().busy;
    ended.promptTokens = answer.value().promptTokens;
    ++counters_.ended;
    finish(id, std::move(ended));
}

/** The endpoint answered with a status that isn't 200. */
void HttpEndpointClient::statusDone(const CallId &id)
{
    const Running &running = calls_.at(id);
    const auto error = checkOk({}, running.head).error();
    const bool notStarted = running.ours && running.head.header(header::notStarted) == "true";
    const ErrorKind kind = error.kind == ErrorKind::Fenced ? ErrorKind::Refused : error.kind;
    fail(id, { kind, error.detail }, notStarted ? Ran::No : Ran::Unknown);
}

void HttpEndpointClient::connectionFailed(const CallId &id, const net::HttpEnd &end)
{
    const Ran ran = end.requestWritten ? Ran::Unknown : Ran::No;
    const bool lost = end.error->kind == ErrorKind::ConnectionLost || end.error->kind == ErrorKind::Unreachable;
    if (lost && end.requestWritten) {
        probeAfterLoss(id, *end.error, ran);
        return;
    }
    if (end.error->kind == ErrorKind::Timeout && end.requestWritten) {
        sendCancel(calls_.at(id).call);
    }
    fail(id, *end.error, ran);
}

void HttpEndpointClient::probeAfterLoss(const CallId &id, const Error &error, Ran ran)
{
    const std::string address = calls_.at(id).call.address;
    auto &waiting = probes_[address];
    waiting.push_back({ id, error, ran });
    if (waiting.size() == 1) {
        readLoad(address, [this, address](const Result<EndpointLoad> &load) { probeDone(address, load); });
    }
}

void HttpEndpointClient::probeDone(const std::string &address, const Result<EndpointLoad> &load)
{
    const auto suspects = std::move(probes_.extract(address).mapped());
    for (const auto &suspect : suspects) {
        const auto found = calls_.find(suspect.call);
        if (found == calls_.end()) {
            continue;
        }
        // Without a known incarnation the process may have been replaced: the call counts as a suspect.
        const auto &before = found->second.incarnation;
        const bool replaced = load && (!before || load.value().incarnation.value() != before->value());
        const bool gone = !load && load.error().kind == ErrorKind::Unreachable;
        counters_.crashes += replaced || gone ? 1 : 0;
        fail(suspect.call, suspect.error, suspect.ran, replaced || gone);
    }
}

void HttpEndpointClient::finish(const CallId &id, StageEvent event)
{
    const auto node = calls_.extract(id);
    node.mapped().callback(std::move(event));
}

void HttpEndpointClient::fail(const CallId &id, Error error, Ran ran, bool crashed)
{
    ++counters_.failed;
    client_.cancel(calls_.at(id).http);
    finish(id, StageFailed { id, std::move(error), ran, crashed });
}

void HttpEndpointClient::abandon(const CallId &id, Error error)
{
    sendCancel(calls_.at(id).call);
    fail(id, std::move(error), Ran::Unknown);
}

void HttpEndpointClient::cancel(const CallId &call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    ++counters_.cancelled;
    client_.cancel(found->second.http);
    sendCancel(found->second.call);
    calls_.erase(found);
}

void HttpEndpointClient::sendCancel(const StageCall &call)
{
    auto request = controlCall(call.address, "POST", "/v1/cancel");
    request.headers.push_back({ std::string(header::callId), toText(call.call) });
    client_.start(std::move(request), controlLimits(), {});
}

void HttpEndpointClient::readLoad(const std::string &address, std::function<void(Result<EndpointLoad>)> callback)
{
    net::fetch(
        client_,
        controlCall(address, "GET", "/v1/load"),
        controlLimits(),
        [this, address, callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
            const auto checked = checkOk(end, response.head);
            if (!checked) {
                callback(boost::outcome_v2::failure(checked.error()));
                return;
            }
            auto load = loadFrom(response.body);
            if (load && (incarnations_.size() < maxAddresses || incarnations_.count(address) > 0)) {
                incarnations_[address] = load.value().incarnation;
            }
            callback(std::move(load));
        });
}

void HttpEndpointClient::readCacheEvents(const std::string &address,
                                         std::uint64_t from,
                                         std::function<void(Result<CacheEvents>)> callback)
{
    net::fetch(client_,
               controlCall(address, "GET", "/v1/cache-events?from=" + std::to_string(from)),
               controlLimits(),
               [callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
                   const auto checked = checkOk(end, response.head);
                   callback(checked ? cacheEventsFrom(response.body) : boost::outcome_v2::failure(checked.error()));
               });
}

void HttpEndpointClient::order(const std::string &address,
                               const Order &order,
                               std::function<void(Result<void>)> callback)
{
    auto request = controlCall(address, "POST", "/v1/order");
    request.body = orderBody(order);
    net::fetch(client_,
               std::move(request),
               controlLimits(),
               [callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
                   callback(checkOk(end, response.head));
               });
}

void HttpEndpointClient::exportKv(const std::string &address,
                                  const CallId &call,
                                  std::function<void(Result<std::string>)> callback)
{
    net::fetch(client_,
               controlCall(address, "GET", "/v1/kv?call=" + net::percentEncode(toText(call))),
               controlLimits(),
               [callback = std::move(callback)](const net::HttpEnd &end, net::HttpResponse response) {
                   const auto checked = checkOk(end, response.head);
                   if (!checked) {
                       callback(boost::outcome_v2::failure(checked.error()));
                       return;
                   }
                   callback(std::move(response.body));
               });
}

void HttpEndpointClient::importKv(const std::string &address,
                                  const CallId &call,
                                  std::string bytes,
                                  std::function<void(Result<void>)> callback)
{
    auto request = controlCall(address, "POST", "/v1/kv?call=" + net::percentEncode(toText(call)));
    request.body = std::move(bytes);
    net::fetch(client_,
               std::move(request),
               controlLimits(),
               [callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
                   callback(checkOk(end, response.head));
               });
}

net::HttpCall HttpEndpointClient::controlCall(const std::string &address, std::string method, std::string target) const
{
    net::HttpCall call;
    call.address = address;
    call.method = std::move(method);
    call.target = std::move(target);
    call.repeatable = true;
    return call;
}

net::HttpLimits HttpEndpointClient::controlLimits() const
{
    net::HttpLimits limits;
    limits.connect = settings_.connect;
    limits.firstByte = settings_.control;
    limits.nextByte = settings_.control;
    limits.total = settings_.connect + 2 * settings_.control;
    return limits;
}

std::unique_ptr<EndpointClient> makeHttpEndpointClient(net::EventLoop &loop, HttpEndpointSettings settings)
{
    return std::make_unique<HttpEndpointClient>(loop, std::move(settings));
}

} // namespace lacewing::endpoint
