#pragma once

#include <string>
#include <vector>

namespace lacewing::ctl
{

/** Lines up rows of text in columns; the first row is the heading. */
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace lacewing::ctl
