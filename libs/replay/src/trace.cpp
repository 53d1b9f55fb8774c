#include <replay/replay.h>

#include <nlohmann/json.hpp>

#include <sstream>

namespace lacewing::replay
{

using nlohmann::json;

std::string toJsonLines(const std::vector<TraceRecord> &trace)
{
    std::string text;
    for (const auto &record : trace) {
        json line;
        line["time_us"] = record.at.count();
        line["workspace"] = record.workspace.text();
        line["class"] = record.classId.text();
        line["input"] = record.input.value();
        line["max_output"] = record.maxOutput.value();
        line["output"] = record.output.value();
        line["prefix"] = record.prefix.value();
        line["prefix_tokens"] = record.prefixTokens.value();
        line["repeatable"] = record.repeatable;
        line["poison"] = record.poison;
        line["deadline_us"] = record.deadline.count();
        text += line.dump();
        text += '\n';
    }
    return text;
}

Result<std::vector<TraceRecord>> parseJsonLines(std::string_view text)
{
    std::vector<TraceRecord> trace;
    std::istringstream stream { std::string(text) };
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); ++number) {
        if (line.empty()) {
            continue;
        }
        try {
            const auto object = json::parse(line);
            TraceRecord record;
            record.at = Duration(object.at("time_us").get<std::int64_t>());
            record.workspace = WorkspaceId(object.at("workspace").get<std::string>());
            record.classId = ClassId(object.at("class").get<std::string>());
            record.input = Tokens(object.at("input").get<std::uint64_t>());
            record.maxOutput = Tokens(object.at("max_output").get<std::uint64_t>());
            record.output = Tokens(object.at("output").get<std::uint64_t>());
            record.prefix = policy::PrefixHash(object.value("prefix", std::uint64_t(0)));
            record.prefixTokens = Tokens(object.value("prefix_tokens", std::uint64_t(0)));
            record.repeatable = object.value("repeatable", true);
            record.poison = object.value("poison", false);
            record.deadline = Duration(object.at("deadline_us").get<std::int64_t>());
            trace.push_back(std::move(record));
        } catch (const json::exception &error) {
            return failure(ErrorKind::Malformed, "line " + std::to_string(number) + ": " + error.what());
        }
    }
    return trace;
}

} // namespace lacewing::replay
