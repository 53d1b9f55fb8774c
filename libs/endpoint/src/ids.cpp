#include <endpoint/endpoint.h>

#include <algorithm>
#include <charconv>

namespace lacewing::endpoint
{
namespace
{

std::optional<std::uint32_t> parseNumber(std::string_view text)
{
    std::uint32_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string toText(const CallId &call)
{
    return toText(call.job) + "/" + std::to_string(call.stage.value()) + "/" + std::to_string(call.attempt.value());
}

std::optional<CallId> callIdFromText(std::string_view text)
{
    const auto first = text.find('/');
    const auto second = text.rfind('/');
    if (first == std::string_view::npos || first == second) {
        return std::nullopt;
    }
    const auto job = jobIdFromText(text.substr(0, first));
    const auto stage = parseNumber(text.substr(first + 1, second - first - 1));
    const auto attempt = parseNumber(text.substr(second + 1));
    if (!job || !stage || !attempt) {
        return std::nullopt;
    }
    return CallId { *job, StageIndex(*stage), Attempt(*attempt) };
}

std::vector<std::uint64_t> prefixBlocks(const ModelId &model, std::string_view input, std::size_t maxBlocks)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = hashBytes(model.text());
    const std::size_t count = std::min(input.size() / prefixBlockBytes, maxBlocks);
    for (std::size_t i = 0; i < count; ++i) {
        hash = hashBytes(input.substr(i * prefixBlockBytes, prefixBlockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

} // namespace lacewing::endpoint
