#pragma once

#include <wire/wire.h>

#include <cstdlib>

/** Types that use every codec, and the property that both the fuzzer and the corpus replay check. */
namespace lacewing::wire::sample
{

enum class Colour : std::uint8_t { Red, Green, Blue };

struct Inner {
    std::string text;
    std::int32_t number = -7;

    bool operator==(const Inner &) const = default;
    LACEWING_MEMBERS(text, number)
};

/** An older version of Inner. */
struct OldInner {
    std::string text;

    bool operator==(const OldInner &) const = default;
    LACEWING_MEMBERS(text)
};

using Choice = std::variant<std::monostate, Inner, std::vector<std::uint16_t>>;

struct Everything {
    bool flag = false;
    std::uint8_t small = 0;
    std::int64_t large = 0;
    double real = 0;
    Colour colour = Colour::Red;
    std::string bytes;
    VmId vm;
    Cost cost;
    Duration duration {};
    Time time {};
    WallTime wallTime {};
    CallId call;
    std::optional<Inner> inner;
    std::pair<std::string, Tokens> pair;
    std::vector<Choice> choices;
    std::map<VmId, std::vector<Inner>> map;
    std::array<std::uint32_t, 3> array {};

    bool operator==(const Everything &) const = default;
    LACEWING_MEMBERS(flag,
                     small,
                     large,
                     real,
                     colour,
                     bytes,
                     vm,
                     cost,
                     duration,
                     time,
                     wallTime,
                     call,
                     inner,
                     pair,
                     choices,
                     map,
                     array)
};

/** Aborts unless input that decodes is written and read back to the same bytes. @return whether it decoded */
template <typename T>
bool checkRoundTrip(std::string_view input)
{
    const auto value = decode<T>(input);
    if (!value) {
        return false;
    }
    const auto bytes = encode(value.value());
    const auto again = decode<T>(bytes);
    if (!again || encode(again.value()) != bytes) {
        std::abort();
    }
    return true;
}

/** Runs checkRoundTrip() for all types of this file. @return how many of them decoded */
inline int checkInput(std::string_view input)
{
    return int(checkRoundTrip<Everything>(input)) + int(checkRoundTrip<Inner>(input))
        + int(checkRoundTrip<OldInner>(input)) + int(checkRoundTrip<Choice>(input))
        + int(checkRoundTrip<std::map<std::string, std::int8_t>>(input));
}

} // namespace lacewing::wire::sample
