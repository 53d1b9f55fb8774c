#include "request_json.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <charconv>

namespace lacewing::daemon
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxKeyBytes = 200;
constexpr std::int64_t maxTokensAllowed = 1'000'000;
constexpr std::int64_t maxDeadlineMs = 600'000;

Result<std::string> readText(const Json &json, const char *field)
{
    const auto found = json.find(field);
    if (found == json.end()) {
        return failure(ErrorKind::Missing, field);
    }
    if (!found->is_string()) {
        return failure(ErrorKind::WrongType, field);
    }
    return found->get<std::string>();
}

Result<std::optional<std::int64_t>> readInteger(const Json &json,
                                                const char *field,
                                                std::int64_t least,
                                                std::int64_t most)
{
    const auto found = json.find(field);
    if (found == json.end()) {
        return std::optional<std::int64_t>();
    }
    if (!found->is_number_integer()) {
        return failure(ErrorKind::WrongType, field);
    }
    const auto value = found->get<std::int64_t>();
    if (value < least || value > most) {
        return failure(ErrorKind::OutOfRange, field);
    }
    return std::optional<std::int64_t>(value);
}

Result<bool> readBool(const Json &json, const char *field, bool otherwise)
{
    const auto found = json.find(field);
    if (found == json.end()) {
        return otherwise;
    }
    if (!found->is_boolean()) {
        return failure(ErrorKind::WrongType, field);
    }
    return found->get<bool>();
}

Result<Json> parseObject(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return failure(ErrorKind::Malformed, "the body is not a JSON object");
    }
    return json;
}

Result<void> rejectUnknownFields(const Json &json)
{
    constexpr std::array<std::string_view, 7> known { "workspace", "class",       "input",     "max_tokens",
                                                      "stream",    "deadline_ms", "repeatable" };
    for (const auto &[name, value] : json.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return failure(ErrorKind::UnknownKey, name);
        }
    }
    return success();
}

Result<void> readHeaders(const net::HttpRequest &request, core::CallerRequest &job)
{
    if (const auto key = request.header("Idempotency-Key")) {
        if (key->empty() || key->size() > maxKeyBytes) {
            return failure(ErrorKind::OutOfRange, "Idempotency-Key");
        }
        job.key = IdempotencyKey(std::string(*key));
    }
    if (const auto time = request.header("Idempotency-Time")) {
        std::int64_t milliseconds = 0;
        const auto parsed = std::from_chars(time->data(), time->data() + time->size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != time->data() + time->size() || milliseconds <= 0) {
            return failure(ErrorKind::WrongType, "Idempotency-Time");
        }
        job.keyTime = WallTime(std::chrono::milliseconds(milliseconds));
    }
    if (!job.key.isEmpty() && !job.keyTime) {
        return failure(ErrorKind::Missing, "Idempotency-Time");
    }
    if (const auto ticket = request.header("X-Ticket")) {
        job.ticket = std::string(*ticket);
    }
    return success();
}

} // namespace

Result<ParsedJob> parseJob(const net::HttpRequest &request)
{
    BOOST_OUTCOME_TRY(json, parseObject(request.body));
    BOOST_OUTCOME_TRYV(rejectUnknownFields(json));
    ParsedJob parsed;
    BOOST_OUTCOME_TRY(workspace, readText(json, "workspace"));
    BOOST_OUTCOME_TRY(jobClass, readText(json, "class"));
    BOOST_OUTCOME_TRY(input, readText(json, "input"));
    BOOST_OUTCOME_TRY(maxTokens, readInteger(json, "max_tokens", 0, maxTokensAllowed));
    BOOST_OUTCOME_TRY(deadline, readInteger(json, "deadline_ms", 1, maxDeadlineMs));
    BOOST_OUTCOME_TRY(repeatable, readBool(json, "repeatable", true));
    BOOST_OUTCOME_TRY(stream, readBool(json, "stream", false));
    constexpr std::int64_t defaultMaxTokens = 256;
    parsed.job.workspace = WorkspaceId(std::move(workspace));
    parsed.job.jobClass = ClassId(std::move(jobClass));
    parsed.job.input = std::move(input);
    parsed.job.maxTokens = Tokens(static_cast<std::uint64_t>(maxTokens.value_or(defaultMaxTokens)));
    if (deadline) {
        parsed.job.timeout = std::chrono::milliseconds(*deadline);
    }
    parsed.job.repeatable = repeatable;
    const auto accept = request.header("Accept");
    parsed.stream = stream || (accept && accept->find("text/event-stream") != std::string_view::npos);
    BOOST_OUTCOME_TRYV(readHeaders(request, parsed.job));
    return parsed;
}

Result<WorkspaceId> parseWorkspace(std::string_view body)
{
    BOOST_OUTCOME_TRY(json, parseObject(body));
    BOOST_OUTCOME_TRY(workspace, readText(json, "workspace"));
    return WorkspaceId(std::move(workspace));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned int nibble = 4;
    constexpr unsigned char low = 0x0F;
    std::string hex;
    for (unsigned int index = 0; index < length; ++index) {
        hex += digits[digest[index] >> nibble];
        hex += digits[digest[index] & low];
    }
    return hex;
}

bool equalsInConstantTime(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace lacewing::daemon
