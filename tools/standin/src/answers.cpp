#include "answers.h"

#include <base/base.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace lacewing::standin
{
namespace
{

constexpr std::size_t samplingPosition = 6;
constexpr std::size_t samplingDigits = 2;
constexpr int hexadecimal = 16;
constexpr unsigned hashMask = 0xffffff;
constexpr std::size_t bytesPerPromptToken = 4;

} // namespace

std::string generatedText(std::string_view input, std::uint8_t sampling, std::size_t tokens)
{
    std::string text;
    text.reserve(tokens * tokenBytes);
    const std::uint64_t inputHash = hashBytes(input);
    for (std::size_t i = 0; i < tokens; ++i) {
        const std::uint64_t parts[] = { inputHash, i };
        const std::string_view bytes(reinterpret_cast<const char *>(parts), sizeof parts);
        std::array<char, tokenBytes + 1> token {};
        std::snprintf(token.data(),
                      token.size(),
                      "%06x%02x ",
                      static_cast<unsigned>(hashBytes(bytes) & hashMask),
                      static_cast<unsigned>(sampling));
        text.append(token.data(), tokenBytes);
    }
    return text;
}

std::optional<std::uint8_t> samplingOf(std::string_view text)
{
    if (text.size() < samplingPosition + samplingDigits) {
        return std::nullopt;
    }
    std::uint8_t sampling = 0;
    const auto *begin = text.data() + samplingPosition;
    const auto parsed = std::from_chars(begin, begin + samplingDigits, sampling, hexadecimal);
    if (parsed.ptr != begin + samplingDigits) {
        return std::nullopt;
    }
    return sampling;
}

bool isGeneratedText(std::string_view input, std::string_view text, std::size_t tokens)
{
    const auto sampling = samplingOf(text);
    return tokens == 0 ? text.empty() : sampling && text == generatedText(input, *sampling, tokens);
}

std::string plainOutput(std::string_view stage, std::string_view input)
{
    constexpr std::size_t maxDigits = 17;
    std::array<char, maxDigits> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(hashBytes(input)));
    return std::string(stage) + ":" + digits.data();
}

std::size_t promptTokens(std::string_view prompt)
{
    return (prompt.size() + bytesPerPromptToken - 1) / bytesPerPromptToken;
}

} // namespace lacewing::standin
