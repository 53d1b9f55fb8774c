#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lacewing::load
{

namespace
{

constexpr double width = 800;
constexpr double height = 420;
constexpr double margin = 50;
constexpr int steps = 100; ///< points of each line
constexpr std::array<const char *, 8> colours { "#1b6ca8", "#c0392b", "#27864a", "#8e44ad",
                                                "#d68910", "#16a085", "#7f6000", "#555555" };

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '<') {
            result += "&lt;";
        } else if (c == '&') {
            result += "&amp;";
        } else {
            result += c;
        }
    }
    return result;
}

std::string label(double x, double y, const std::string &text, const char *colour)
{
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" font-size=\"12\" fill=\"" + colour
        + "\">" + escaped(text) + "</text>\n";
}

/** The times of one class by share of jobs, as a line. */
std::string line(const ClassSummary &summary, Duration longest, const char *colour)
{
    std::string points;
    for (int step = 1; step <= steps; ++step) {
        const double share = double(step) / steps;
        const double time = toSeconds(percentile(summary.latencies, share)) / toSeconds(longest);
        const double x = margin + share * (width - 2 * margin);
        const double y = height - margin - time * (height - 2 * margin);
        points += std::to_string(x) + "," + std::to_string(y) + " ";
    }
    return "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"" + points + "\"/>\n";
}

} // namespace

std::string toSvg(const std::map<std::string, ClassSummary> &summaries)
{
    Duration longest(1);
    for (const auto &[name, summary] : summaries) {
        longest = std::max(longest, percentile(summary.latencies, 1));
    }
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" height=\"420\">\n";
    svg += "<rect width=\"800\" height=\"420\" fill=\"white\"/>\n";
    svg += "<path d=\"M50 50 V370 H750\" fill=\"none\" stroke=\"black\"/>\n";
    svg += label(margin, margin - 15, std::to_string(toMilliseconds(longest)) + " ms", "black");
    svg += label(width - margin - 110, height - margin + 20, "share of answers", "black");
    std::size_t index = 0;
    for (const auto &[name, summary] : summaries) {
        const char *colour = colours[index % colours.size()];
        svg += summary.latencies.empty() ? "" : line(summary, longest, colour);
        svg += label(margin + 15, margin + 15 * double(index + 1), name, colour);
        ++index;
    }
    return svg + "</svg>\n";
}

} // namespace lacewing::load
