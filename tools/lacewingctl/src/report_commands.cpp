#include "commands.h"
#include "table.h"

#include <cstdio>
#include <fstream>

namespace lacewing::ctl
{
namespace
{

std::string numberText(const Json &json, const char *field)
{
    if (!json.contains(field)) {
        return {};
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", json[field].get<double>());
    return text;
}

std::vector<std::string> decisionRow(const Json &decision)
{
    return { numberText(decision, "at_ms"),
             decision["what"],
             decision.contains("stage") ? decision["stage"].dump() : "",
             decision.contains("attempt") ? decision["attempt"].dump() : "",
             decision.value("endpoint", ""),
             numberText(decision, "predicted_ms"),
             numberText(decision, "took_ms"),
             decision.value("reason", "") };
}

void showExplanation(const Json &body)
{
    std::printf("job %s of %s, class %s: %s\n",
                body["job"].get<std::string>().c_str(),
                body["workspace"].get<std::string>().c_str(),
                body["class"].get<std::string>().c_str(),
                body["state"].get<std::string>().c_str());
    std::printf("took %s ms; the target is %s ms\n\n",
                numberText(body, "elapsed_ms").c_str(),
                numberText(body, "target_ms").c_str());
    std::vector<std::vector<std::string>> rows {
        { "AT_MS", "WHAT", "STAGE", "TRY", "ENDPOINT", "PREDICTED_MS", "TOOK_MS", "REASON" }
    };
    for (const Json &decision : body["decisions"]) {
        rows.push_back(decisionRow(decision));
        for (const Json &each : decision.value("considered", Json::array())) {
            rows.push_back({ "",
                             "  considered",
                             "",
                             "",
                             each["endpoint"],
                             numberText(each, "wait_ms") + "+" + numberText(each, "service_ms"),
                             "",
                             std::string(each["same_zone"].get<bool>() ? "same-zone" : "other-zone")
                                 + (each["prefix_cached"].get<bool>() ? " prefix-cached" : "") });
        }
    }
    std::fputs(formatTable(rows).c_str(), stdout);
}

void writeCsv(const std::string &path, const Json &body)
{
    std::ofstream file(path);
    file << "workspace,class,stages,cost_micros\n";
    for (const Json &row : body["by_class"]) {
        file << row["workspace"].get<std::string>() << ',' << row["class"].get<std::string>() << ',' << row["stages"]
             << ',' << row["cost_micros"] << '\n';
    }
}

} // namespace

ExitCode runExplain(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    return getAndShow(options, "/v1/jobs/" + arguments[0], showExplanation);
}

ExitCode runAudit(const CommandOptions &options, const std::vector<std::string> & /*arguments*/)
{
    return getAndShow(options, "/v1/audit", [](const Json &body) {
        std::vector<std::vector<std::string>> rows { { "AT_MS", "WHO", "WHAT", "SUBJECT", "VERSION", "SEEN_BY" } };
        for (const Json &entry : body["entries"]) {
            rows.push_back({ entry["at_ms"].dump(),
                             entry["who"],
                             entry["what"],
                             entry["subject"],
                             entry["to"].dump(),
                             entry["vm"] });
        }
        std::fputs(formatTable(rows).c_str(), stdout);
    });
}

ExitCode runReport(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    return getAndShow(options, "/v1/charges", [&](const Json &body) {
        std::vector<std::vector<std::string>> rows { { "WORKSPACE", "CLASS", "STAGES", "COST_MICROS" } };
        for (const Json &row : body["by_class"]) {
            rows.push_back({ row["workspace"], row["class"], row["stages"].dump(), row["cost_micros"].dump() });
        }
        rows.push_back({ "", "", "", "" });
        rows.push_back({ "STAGE", "", "STAGES", "COST_MICROS" });
        for (const Json &row : body["by_stage"]) {
            rows.push_back({ row["stage"].dump(), "", row["stages"].dump(), row["cost_micros"].dump() });
        }
        std::fputs(formatTable(rows).c_str(), stdout);
        if (!arguments.empty()) {
            writeCsv(arguments[0], body);
        }
    });
}

} // namespace lacewing::ctl
