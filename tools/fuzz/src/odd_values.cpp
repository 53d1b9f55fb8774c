#include "odd_values.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace lacewing::fuzz
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t byteValues = 256;
/** Over the bounds of all heads. */
constexpr std::size_t hugeText = 100'000;
/** More than the stack of a recursive function would bear. */
constexpr std::size_t deepNesting = 100'000;
/** Stands for a nested value until the JSON is text. */
constexpr std::string_view nestedMark = "\"@nested@\"";

void collect(Json &value, std::size_t depth, std::size_t minDepth, std::vector<Json *> &found)
{
    if (depth >= minDepth) {
        found.push_back(&value);
    }
    if (value.is_structured()) {
        for (auto &item : value) {
            collect(item, depth + 1, minDepth, found);
        }
    }
}

} // namespace

OddValues::OddValues(std::uint64_t seed, std::vector<std::string> names)
    : random_(seed)
    , names_(std::move(names))
{
}

std::string OddValues::text()
{
    constexpr double hugeShare = 0.005;
    constexpr std::uint64_t longestText = 40;
    constexpr std::uint64_t kinds = 6;
    constexpr std::string_view separators = ",:; \t="; // no dots: the system must not read an address here
    if (random_.chance(hugeShare)) {
        return std::string(hugeText, static_cast<char>(random_.below(byteValues)));
    }
    std::string text;
    switch (random_.below(kinds)) {
    case 0:
        return {};
    case 1:
        return numberText();
    case 2:
        for (std::size_t code = 0; code < byteValues; ++code) {
            text += static_cast<char>(code);
        }
        return text;
    case 3:
        for (auto length = random_.below(longestText); length > 0; --length) {
            text += static_cast<char>(random_.below(byteValues));
        }
        return text;
    case 4:
        for (auto length = random_.below(longestText); length > 0; --length) {
            text += numberText() + std::string(1, separators[random_.below(separators.size())]);
        }
        return text;
    default:
        return names_.empty() ? std::string() : names_[random_.below(names_.size())];
    }
}

std::string OddValues::numberText()
{
    static const std::vector<std::string> texts {
        "0",
        "1",
        "-1",
        "2",
        "1000",
        "2147483648",
        "4294967295",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551615",
        "18446744073709551616",
        "-9223372036854775808",
        "0.0000001",
        "1e308",
        "1e999",
        "-0",
        "nan",
        "inf",
        "0x10",
        "1 2",
        "+1",
        "00000000000000000001",
        " 1 ",
        "1.",
        ".",
        "--1",
    };
    return texts[random_.below(texts.size())];
}

std::uint64_t OddValues::integer()
{
    constexpr std::uint64_t small = 5;
    constexpr std::uint64_t medium = 100'000;
    static const std::vector<std::uint64_t> values {
        std::numeric_limits<std::uint64_t>::max(),
        std::numeric_limits<std::int64_t>::max(),
        std::uint64_t(std::numeric_limits<std::int64_t>::min()),
        std::numeric_limits<std::uint32_t>::max(),
        std::numeric_limits<std::int32_t>::max(),
        std::uint64_t(1) << 53U,
    };
    switch (random_.below(3)) {
    case 0:
        return random_.below(small);
    case 1:
        return random_.below(medium);
    default:
        return values[random_.below(values.size())];
    }
}

double OddValues::real()
{
    using Limits = std::numeric_limits<double>;
    static const std::vector<double> values { 0,
                                              -1,
                                              0.5,
                                              Limits::max(),
                                              Limits::lowest(),
                                              Limits::min(),
                                              1e18,
                                              Limits::infinity(),
                                              -Limits::infinity(),
                                              Limits::quiet_NaN() };
    return values[random_.below(values.size())];
}

std::string OddValues::damaged(std::string text)
{
    constexpr std::uint64_t mostChanges = 4;
    constexpr std::uint64_t kinds = 5;
    constexpr std::uint64_t longestPart = 30;
    for (auto changes = 1 + random_.below(mostChanges); changes > 0 && !text.empty(); --changes) {
        const auto at = random_.below(text.size());
        const auto length = 1 + random_.below(longestPart);
        switch (random_.below(kinds)) {
        case 0:
            text[at] = static_cast<char>(random_.below(byteValues));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(random_.below(text.size()), length));
            break;
        case 3:
            text.insert(at, this->text());
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

std::string OddValues::damagedJson(const std::string &text, std::size_t minDepth)
{
    constexpr std::uint64_t mostChanges = 3;
    constexpr std::uint64_t kinds = 9;
    constexpr double nestedShare = 0.01;
    Json json = Json::parse(text);
    for (auto changes = 1 + random_.below(mostChanges); changes > 0; --changes) {
        std::vector<Json *> values;
        collect(json, 0, minDepth, values);
        if (values.empty()) {
            break;
        }
        Json &value = *values[random_.below(values.size())];
        if (random_.chance(nestedShare)) {
            value = "@nested@";
            continue;
        }
        switch (random_.below(kinds)) {
        case 0:
            value = nullptr;
            break;
        case 1:
            value = random_.chance(0.5);
            break;
        case 2:
            value = integer();
            break;
        case 3:
            value = static_cast<std::int64_t>(integer());
            break;
        case 4:
            value = real();
            break;
        case 5:
            value = Json::array();
            break;
        case 6:
            value = Json::object();
            break;
        case 7:
            value = this->text();
            break;
        default:
            value = Json::array({ value, value });
            break;
        }
    }
    std::string result = json.dump(-1, ' ', false, Json::error_handler_t::ignore);
    if (const auto at = result.find(nestedMark); at != std::string::npos) {
        const auto end = random_.chance(0.5) ? deepNesting : 0; // an end that is missing breaks the JSON
        result.replace(at, nestedMark.size(), std::string(deepNesting, '[') + std::string(end, ']'));
    }
    return result;
}

} // namespace lacewing::fuzz
