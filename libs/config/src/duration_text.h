#pragma once

#include <base/base.h>

namespace lacewing::config
{

/** Reads "800ms", "9s", "10min" or "250us": a whole number over 0 and its unit. */
std::optional<Duration> durationFromText(std::string_view text);
/** Writes a duration in the largest unit that holds it as a whole number. */
std::string toText(Duration duration);

} // namespace lacewing::config
