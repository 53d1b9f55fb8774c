#include "stage_stream.h"

#include <nlohmann/json.hpp>

namespace lacewing::endpoint
{
namespace
{

using Json = nlohmann::json;

constexpr std::string_view endEvent = "end";
constexpr std::string_view doneData = "[DONE]"; // as OpenAI's streams end

} // namespace

StageStream::StageStream(CallId call, ByteOffset from)
    : call_(call)
    , next_(from.value())
{
}

StageStream::Outcome StageStream::feed(std::string_view bytes)
{
    Outcome outcome;
    const auto events = parser_.feed(bytes);
    if (!events) {
        outcome.error = events.error();
        return outcome;
    }
    for (const auto &event : events.value()) {
        if (outcome.ended || outcome.error) {
            break;
        }
        try {
            take(event, outcome);
        } catch (const Json::exception &error) {
            outcome.error = Error { ErrorKind::Malformed, error.what() };
        }
    }
    return outcome;
}

void StageStream::take(const net::SseEvent &event, Outcome &outcome)
{
    if (event.event == endEvent) {
        takeEnd(event, outcome);
    } else if (event.event.empty() && event.data != doneData) {
        takeChunk(event, outcome);
    }
}

void StageStream::takeChunk(const net::SseEvent &event, Outcome &outcome)
{
    const Json json = Json::parse(event.data);
    const auto offset = json.at("offset").get<std::uint64_t>();
    auto text = json.at("choices").at(0).at("text").get<std::string>();
    const std::uint64_t end = offset + text.size();
    if (event.id != std::to_string(end)) {
        outcome.error = Error { ErrorKind::Malformed, "chunk whose id isn't its end" };
        return;
    }
    if (offset > next_) {
        outcome.error = Error { ErrorKind::Missing, "gap before offset " + std::to_string(offset) };
        return;
    }
    if (offset < next_) {
        ++outcome.trimmed;
        text.erase(0, next_ - offset);
    }
    if (!text.empty()) {
        outcome.chunks.push_back({ call_, ByteOffset(next_), std::move(text) });
        next_ = end;
    }
}

void StageStream::takeEnd(const net::SseEvent &event, Outcome &outcome)
{
    const Json json = Json::parse(event.data);
    const auto length = json.at("length").get<std::uint64_t>();
    if (length != next_) {
        const ErrorKind kind = length > next_ ? ErrorKind::Missing : ErrorKind::Malformed;
        outcome.error = Error { kind, "end at " + std::to_string(length) + ", but read to " + std::to_string(next_) };
        return;
    }
    const Json usage = json.value("usage", Json::object());
    const Json details = usage.value("prompt_tokens_details", Json::object());
    StageEnded ended;
    ended.call = call_;
    ended.length = ByteOffset(length);
    ended.busy = Duration(json.value("busy_us", std::int64_t(0)));
    ended.promptTokens = Tokens(usage.value("prompt_tokens", std::uint64_t(0)));
    ended.cachedTokens = Tokens(details.value("cached_tokens", std::uint64_t(0)));
    ended.generatedTokens = Tokens(usage.value("completion_tokens", std::uint64_t(0)));
    outcome.ended = std::move(ended);
}

} // namespace lacewing::endpoint
