#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/**
 * The text that the stand-in's stages answer, so that a test can tell whether an answer belongs to its request.
 *
 * A generated token is nine bytes: six hexadecimal digits of the hash of the input and the token's index, two of the
 * sampling, and a space. All tokens of one answer carry the same sampling.
 */
namespace lacewing::standin
{

constexpr std::size_t tokenBytes = 9;

/** The whole answer to an input. */
std::string generatedText(std::string_view input, std::uint8_t sampling, std::size_t tokens);
/** The sampling that a text of at least eight bytes was made with; empty when it is too short or no such text. */
std::optional<std::uint8_t> samplingOf(std::string_view text);
/** True when a text is the whole answer to an input, with any one sampling. */
bool isGeneratedText(std::string_view input, std::string_view text, std::size_t tokens);

/** The answer of a stage that doesn't generate. @param stage its target, such as "/v1/call" */
std::string plainOutput(std::string_view stage, std::string_view input);

/** Rough number of tokens in a prompt. */
std::size_t promptTokens(std::string_view prompt);

} // namespace lacewing::standin
