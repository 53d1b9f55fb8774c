#include "engine.h"

#include "answers.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace lacewing::standin
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxPrefixBlocks = 4096;
constexpr std::size_t tokensPerBlock = endpoint::prefixBlockBytes / 4;
constexpr Duration keepAliveTime = std::chrono::milliseconds(500);
constexpr unsigned samplings = 256;
constexpr std::size_t maxAnswerTokens = 65'536;

/** The part of a call id that stays the same over attempts. */
std::string streamKey(const std::string &callId)
{
    return callId.substr(0, callId.rfind('/'));
}

std::optional<std::size_t> parseSize(std::string_view text)
{
    std::size_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

net::Headers notStarted(net::Headers headers)
{
    headers.push_back({ "X-Not-Started", "true" });
    return headers;
}

} // namespace

Engine::Engine(Process &process)
    : process_(process)
    , cache_(process.settings.cacheBlocks)
{
}

Engine::~Engine()
{
    process_.loop.timers().cancel(stepTimer_);
}

void Engine::serve(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (const auto from = request.header("Last-Event-ID")) {
        resumeStream(request, std::move(writer), *from);
    } else {
        startStream(request, std::move(writer));
    }
    scheduleStep();
}

void Engine::startStream(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const std::string callId = callIdOf(request);
    const auto known = streams_.find(streamKey(callId));
    if (known != streams_.end() && known->second.callId == callId) {
        attach(known->second, request, std::move(writer), known->second.startOffset); // the same call, sent again
        return;
    }
    if (waiting() >= process_.settings.maxWaiting) {
        declineCall(process_, request, std::move(writer), "queue is full");
        return;
    }
    Stream stream;
    std::string forcedPrefix;
    std::size_t maxTokens = 0;
    try {
        const Json json = Json::parse(request.body);
        stream.input = json.at("prompt").get<std::string>();
        stream.model = json.value("model", std::string());
        stream.priority = json.value("priority", 0);
        maxTokens = json.at("max_tokens").get<std::size_t>();
        forcedPrefix = json.value("forced_prefix", std::string());
    } catch (const Json::exception &) {
        writer.respond(net::status::badRequest, notStarted(answerHeaders(process_, callId)), "not a completion");
        return;
    }
    stream.callId = callId;
    stream.order = ++arrivals_;
    if (!prepare(stream, forcedPrefix, maxTokens)) {
        writer.respond(net::status::unprocessable, notStarted(answerHeaders(process_, callId)), "not a prefix");
        return;
    }
    Stream &kept = streams_[streamKey(callId)];
    kept.writer.abort();
    kept = std::move(stream);
    attach(kept, request, std::move(writer), kept.startOffset);
    admit();
}

/** Decides on the text that the stream will produce. @return false when the forced prefix isn't the start of one */
bool Engine::prepare(Stream &stream, const std::string &forcedPrefix, std::size_t maxTokens)
{
    const auto sampling = samplingOf(forcedPrefix);
    const auto chosen = sampling ? *sampling : static_cast<std::uint8_t>(process_.random.below(samplings));
    stream.text = generatedText(stream.input, chosen, std::min(maxTokens, maxAnswerTokens));
    stream.startOffset = stream.produced = stream.sent = forcedPrefix.size();
    stream.promptTokens = promptTokens(stream.input) + promptTokens(forcedPrefix);
    return stream.text.starts_with(forcedPrefix);
}

void Engine::resumeStream(const net::HttpRequest &request, net::ResponseWriter writer, std::string_view from)
{
    const std::string callId = callIdOf(request);
    const auto found = streams_.find(streamKey(callId));
    const auto offset = parseSize(from);
    if (found == streams_.end() || !offset || *offset > found->second.produced || *offset < found->second.startOffset) {
        writer.respond(net::status::notFound, notStarted(answerHeaders(process_, callId)), "no such stream");
        return;
    }
    found->second.callId = callId;
    attach(found->second, request, std::move(writer), *offset);
    admit();
}

void Engine::attach(Stream &stream, const net::HttpRequest &request, net::ResponseWriter writer, std::size_t from)
{
    stream.writer.abort();
    stream.writer = std::move(writer);
    stream.remoteAddress = request.remoteAddress;
    stream.sent = from;
    stream.ended = false;
    stream.lastSent = process_.loop.clock().now();
    const bool cross = process_.gate.faults().has(FaultKind::Cross, process_.gate.target());
    auto headers = answerHeaders(process_, cross && !lastCallId_.empty() ? lastCallId_ : stream.callId);
    lastCallId_ = stream.callId;
    headers.push_back({ "Content-Type", "text/event-stream" });
    stream.writer.begin(net::status::ok, headers);
}

/** Gives free slots to waiting streams, highest priority first, then longest waiting. */
void Engine::admit()
{
    while (running() < process_.settings.slots) {
        Stream *best = nullptr;
        for (auto &[key, stream] : streams_) {
            const bool waits =
                !stream.running && !stream.ended && stream.writer.isOpen() && stream.produced < stream.text.size();
            const bool better = best == nullptr || stream.priority > best->priority
                || (stream.priority == best->priority && stream.order < best->order);
            if (waits && better) {
                best = &stream;
            }
        }
        if (best == nullptr) {
            return;
        }
        begin(*best);
    }
}

void Engine::begin(Stream &stream)
{
    stream.running = true;
    if (stream.produced == stream.startOffset) {
        const auto blocks = endpoint::prefixBlocks(ModelId(stream.model), stream.input, maxPrefixBlocks);
        const std::size_t hits = cache_.use(blocks, process_.loop.clock().wallNow());
        stream.cachedTokens = std::min(hits * tokensPerBlock, stream.promptTokens);
        stream.prefillLeft = static_cast<double>(stream.promptTokens - stream.cachedTokens);
    }
    crashIfMarked(process_, stream.input);
}

Duration Engine::stepTime()
{
    return fromSeconds(slowFactor(process_) / process_.settings.tokensPerSecond);
}

void Engine::scheduleStep()
{
    if (stepTimer_ != TimerHandle() || streams_.empty()) {
        return;
    }
    lastStep_ = process_.loop.clock().now();
    stepTimer_ = process_.loop.timers().once(lastStep_ + stepTime(), [this](Time now) {
        stepTimer_ = TimerHandle();
        step(now);
        scheduleStep();
    });
}

void Engine::step(Time now)
{
    const Duration elapsed = now - lastStep_;
    for (auto &[key, stream] : streams_) {
        if (stream.running) {
            advance(stream, elapsed);
        }
        if (!process_.gate.isSilent(stream.remoteAddress)) {
            sendText(stream);
            sendEnd(stream);
            keepAlive(stream, now);
        }
    }
    dropEnded(now);
    admit();
}

void Engine::advance(Stream &stream, Duration elapsed)
{
    stream.busy += elapsed;
    if (stream.prefillLeft > 0) {
        stream.prefillLeft -= toSeconds(elapsed) * process_.settings.prefillTokensPerSecond / slowFactor(process_);
        return;
    }
    stream.produced = std::min((stream.produced / tokenBytes + 1) * tokenBytes, stream.text.size());
    if (stream.produced == stream.text.size()) {
        stream.running = false;
    }
}

void Engine::sendText(Stream &stream)
{
    if (stream.sent >= stream.produced || !stream.writer.isOpen()) {
        return;
    }
    const auto gap = process_.gate.faults().find(FaultKind::StreamGap, process_.gate.target());
    if (gap && process_.random.chance(gap->number(1))) {
        stream.sent = stream.produced;
        return;
    }
    const std::string text = stream.text.substr(stream.sent, stream.produced - stream.sent);
    const Json json = { { "choices", { { { "text", text } } } }, { "offset", stream.sent } };
    if (stream.writer.write(net::sseEvent(std::to_string(stream.produced), json.dump()))
        == net::WriteOutcome::Accepted) {
        stream.sent = stream.produced;
        stream.lastSent = process_.loop.clock().now();
    }
}

void Engine::sendEnd(Stream &stream)
{
    if (stream.ended || stream.sent < stream.text.size() || !stream.writer.isOpen()) {
        return;
    }
    stream.ended = true;
    if (process_.gate.faults().has(FaultKind::LoseAnswer, process_.gate.target())) {
        stream.writer.abort();
        return;
    }
    const Json json = {
        { "length", stream.text.size() },
        { "busy_us", stream.busy.count() },
        { "usage",
          { { "prompt_tokens", stream.promptTokens },
            { "completion_tokens", (stream.text.size() - stream.startOffset) / tokenBytes },
            { "prompt_tokens_details", { { "cached_tokens", stream.cachedTokens } } } } },
    };
    stream.writer.write(net::sseEvent(std::to_string(stream.text.size()), json.dump(), "end"));
    stream.writer.write(net::sseEvent({}, "[DONE]"));
    stream.writer.end();
}

void Engine::keepAlive(Stream &stream, Time now)
{
    if (!stream.ended && now - stream.lastSent >= keepAliveTime) {
        stream.writer.write(": waiting\n\n");
        stream.lastSent = now;
    }
}

/** Forgets streams whose connection is gone for longer than they may be resumed. */
void Engine::dropEnded(Time now)
{
    const Duration keep = process_.settings.resumable ? process_.settings.resumeTime : Duration::zero();
    for (auto stream = streams_.begin(); stream != streams_.end();) {
        auto &state = stream->second;
        if (state.writer.isOpen()) {
            state.detachedAt = Time();
        } else if (state.detachedAt == Time()) {
            state.detachedAt = now;
        }
        const bool drop = state.detachedAt != Time() && now - state.detachedAt >= keep;
        stream = drop ? streams_.erase(stream) : std::next(stream);
    }
}

bool Engine::cancel(const std::string &callId)
{
    const auto found = streams_.find(streamKey(callId));
    if (found == streams_.end() || found->second.callId != callId) {
        return false;
    }
    found->second.writer.abort();
    streams_.erase(found);
    admit();
    return true;
}

std::optional<std::string> Engine::exportKv(const std::string &callId) const
{
    const auto found = streams_.find(streamKey(callId));
    if (found == streams_.end()) {
        return std::nullopt;
    }
    const Stream &stream = found->second;
    const Json json = {
        { "input", stream.input },       { "model", stream.model },       { "text", stream.text },
        { "produced", stream.produced }, { "start", stream.startOffset }, { "prompt_tokens", stream.promptTokens },
        { "priority", stream.priority },
    };
    return json.dump();
}

bool Engine::importKv(const std::string &callId, const std::string &bytes)
{
    Stream stream;
    try {
        const Json json = Json::parse(bytes);
        stream.input = json.at("input").get<std::string>();
        stream.model = json.at("model").get<std::string>();
        stream.text = json.at("text").get<std::string>();
        stream.produced = json.at("produced").get<std::size_t>();
        stream.startOffset = json.at("start").get<std::size_t>();
        stream.promptTokens = json.at("prompt_tokens").get<std::size_t>();
        stream.priority = json.at("priority").get<int>();
    } catch (const Json::exception &) {
        return false;
    }
    if (stream.produced > stream.text.size() || stream.startOffset > stream.produced) {
        return false;
    }
    stream.callId = callId;
    stream.order = ++arrivals_;
    stream.sent = stream.produced;
    streams_[streamKey(callId)] = std::move(stream);
    scheduleStep();
    return true;
}

std::size_t Engine::running() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(streams_.begin(), streams_.end(), [](const auto &entry) { return entry.second.running; }));
}

std::size_t Engine::waiting() const noexcept
{
    return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(), [](const auto &entry) {
        return !entry.second.running && entry.second.produced < entry.second.text.size()
            && entry.second.writer.isOpen();
    }));
}

} // namespace lacewing::standin
