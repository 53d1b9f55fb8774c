#include "protocol.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace lacewing::endpoint
{
namespace
{

using Json = nlohmann::json;

constexpr int hexadecimal = 16;
constexpr int statusClass = 100;
constexpr int successClass = 2;

WallTime wallTimeFromMs(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

/** Decodes a JSON body; a wrong shape is Malformed. */
template <typename T, typename Decode>
Result<T> decodeBody(const std::string &body, Decode decode)
{
    try {
        return decode(Json::parse(body));
    } catch (const Json::exception &error) {
        return failure(ErrorKind::Malformed, error.what());
    }
}

Result<std::uint64_t> numberFromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, hexadecimal);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return failure(ErrorKind::Malformed, "not a hexadecimal number");
    }
    return value;
}

Result<EndpointLoad> decodeLoad(const Json &json)
{
    const auto incarnation = incarnationFrom(json.at("incarnation").get<std::string>());
    const auto role = config::stageKindFromText(json.at("role").get<std::string>());
    if (!incarnation || !role) {
        return failure(ErrorKind::Malformed, "load without an incarnation, or of an unknown role");
    }
    EndpointLoad load;
    load.endpoint = EndpointId(json.at("endpoint").get<std::string>());
    load.incarnation = incarnation.value();
    load.asOf = wallTimeFromMs(json.at("as_of_ms").get<std::int64_t>());
    load.running = json.at("running").get<std::uint32_t>();
    load.waiting = json.at("waiting").get<std::uint32_t>();
    load.slots = json.at("slots").get<std::uint32_t>();
    load.kvUsedShare = json.value("kv_used_share", 0.0);
    for (const auto &model : json.value("models", Json::array())) {
        load.models.emplace_back(model.get<std::string>());
    }
    load.role = *role;
    load.leaving = json.value("leaving", false);
    return load;
}

Result<CacheEvents> decodeCacheEvents(const Json &json)
{
    const auto incarnation = incarnationFrom(json.at("incarnation").get<std::string>());
    if (!incarnation) {
        return boost::outcome_v2::failure(incarnation.error());
    }
    CacheEvents events;
    events.incarnation = incarnation.value();
    events.first = json.at("first").get<std::uint64_t>();
    events.next = json.at("next").get<std::uint64_t>();
    for (const auto &item : json.at("events")) {
        const auto prefix = numberFromHex(item.at("prefix").get<std::string>());
        const auto change = item.at("change").get<std::string>();
        if (!prefix || (change != "stored" && change != "evicted")) {
            return failure(ErrorKind::Malformed, "cache event of an unknown form");
        }
        events.events.push_back({ item.at("seq").get<std::uint64_t>(),
                                  change == "stored" ? CacheChange::Stored : CacheChange::Evicted,
                                  prefix.value(),
                                  wallTimeFromMs(item.at("at_ms").get<std::int64_t>()) });
    }
    return events;
}

} // namespace

std::string_view stageTarget(config::StageKind kind) noexcept
{
    switch (kind) {
    case config::StageKind::Encode:
        return "/v1/encode";
    case config::StageKind::Retrieve:
        return "/v1/retrieve";
    case config::StageKind::Rerank:
        return "/v1/rerank";
    case config::StageKind::Generate:
        return "/v1/completions";
    case config::StageKind::Service:
        break;
    }
    return "/v1/call";
}

Result<std::string> stageBody(const StageCall &call)
{
    Json json = { { "model", call.model.text() }, { "user", call.workspace.text() }, { "priority", call.priority } };
    if (call.kind == config::StageKind::Generate) {
        json["prompt"] = call.input;
        json["max_tokens"] = call.maxTokens.value();
        json["stream"] = true;
        if (!call.forcedPrefix.empty()) {
            json["forced_prefix"] = call.forcedPrefix;
        }
    } else {
        json["input"] = call.input;
    }
    try {
        return json.dump();
    } catch (const Json::exception &error) {
        return failure(ErrorKind::InvalidArgument, error.what());
    }
}

Result<PlainAnswer> plainAnswerFrom(const std::string &body)
{
    return decodeBody<PlainAnswer>(body, [](const Json &json) {
        PlainAnswer answer;
        answer.output = json.at("output").get<std::string>();
        answer.busy = Duration(json.value("busy_us", std::int64_t(0)));
        answer.promptTokens = Tokens(json.value("prompt_tokens", std::uint64_t(0)));
        return Result<PlainAnswer>(std::move(answer));
    });
}

Result<Incarnation> incarnationFrom(std::string_view text)
{
    const auto number = numberFromHex(text);
    if (!number || number.value() == 0) {
        return failure(ErrorKind::Malformed, "not an incarnation");
    }
    return Incarnation(number.value());
}

std::string toHex(std::uint64_t value)
{
    constexpr std::size_t maxDigits = 16;
    std::string text(maxDigits, '\0');
    const auto written = std::to_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    text.resize(static_cast<std::size_t>(written.ptr - text.data()));
    return text;
}

Result<EndpointLoad> loadFrom(const std::string &body)
{
    return decodeBody<EndpointLoad>(body, decodeLoad);
}

Result<CacheEvents> cacheEventsFrom(const std::string &body)
{
    return decodeBody<CacheEvents>(body, decodeCacheEvents);
}

std::string orderBody(const Order &order)
{
    Json models = Json::array();
    for (const auto &model : order.models) {
        models.push_back(model.text());
    }
    const Json json = { { "fencing", order.fencing.value() },
                        { "models", std::move(models) },
                        { "role", toText(order.role) } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<void> checkOk(const net::HttpEnd &end, const net::HttpHead &head)
{
    if (end.error) {
        return boost::outcome_v2::failure(*end.error);
    }
    if (head.status / statusClass == successClass) {
        return success();
    }
    ErrorKind kind = ErrorKind::Refused;
    if (head.status == net::status::conflict) {
        kind = ErrorKind::Fenced;
    } else if (head.status == net::status::notFound || head.status == net::status::gone) {
        kind = ErrorKind::NotFound;
    } else if (head.status == net::status::unavailable) {
        kind = ErrorKind::Unavailable;
    }
    return failure(kind, "status " + std::to_string(head.status));
}

} // namespace lacewing::endpoint
