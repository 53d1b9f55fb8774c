#include "duration_text.h"

#include <array>
#include <charconv>

namespace lacewing::config
{
namespace
{

struct Unit {
    std::string_view suffix;
    Duration length;
};

constexpr std::array<Unit, 4> units { { { "min", 1min }, { "ms", 1ms }, { "us", 1us }, { "s", 1s } } };
constexpr std::array<Unit, 4> unitsBySize { { { "min", 1min }, { "s", 1s }, { "ms", 1ms }, { "us", 1us } } };
constexpr std::int64_t maxCount = 1'000'000'000;

} // namespace

std::optional<Duration> durationFromText(std::string_view text)
{
    for (const Unit &unit : units) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const std::string_view digits = text.substr(0, text.size() - unit.suffix.size());
        std::int64_t count = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
        const bool isWhole = error == std::errc() && end == digits.data() + digits.size() && !digits.empty();
        return isWhole && count > 0 && count <= maxCount ? std::optional(unit.length * count) : std::nullopt;
    }
    return std::nullopt;
}

std::string toText(Duration duration)
{
    for (const Unit &unit : unitsBySize) {
        if (duration % unit.length == Duration::zero()) {
            return std::to_string(duration / unit.length) + std::string(unit.suffix);
        }
    }
    return {};
}

} // namespace lacewing::config
