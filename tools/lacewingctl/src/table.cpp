#include "table.h"

#include <algorithm>

namespace lacewing::ctl
{

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool last = column + 1 == row.size();
            text += row[column];
            text += last ? std::string() : std::string(widths[column] - row[column].size() + 2, ' ');
        }
        text += '\n';
    }
    return text;
}

} // namespace lacewing::ctl
