#include <base/base.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace lacewing
{
namespace
{

constexpr std::size_t maxJobIdLength = 2 + 16 + 1 + 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, hexadecimal);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string toText(const JobId &job)
{
    std::array<char, maxJobIdLength + 1> text {};
    const int length = std::snprintf(text.data(),
                                     text.size(),
                                     "j-%llx-%llx",
                                     static_cast<unsigned long long>(job.owner.value()),
                                     static_cast<unsigned long long>(job.sequence));
    return std::string(text.data(), static_cast<std::size_t>(length));
}

std::optional<JobId> jobIdFromText(std::string_view text)
{
    if (text.size() > maxJobIdLength || !text.starts_with("j-")) {
        return std::nullopt;
    }
    text.remove_prefix(2);
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto owner = parseHex(text.substr(0, dash));
    const auto sequence = parseHex(text.substr(dash + 1));
    if (!owner || !sequence) {
        return std::nullopt;
    }
    return JobId { Incarnation(*owner), *sequence };
}

} // namespace lacewing
