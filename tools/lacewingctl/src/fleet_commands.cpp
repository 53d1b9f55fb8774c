#include "commands.h"
#include "table.h"

#include <cstdio>

namespace lacewing::ctl
{
namespace
{

constexpr int statusAccepted = 202;

ExitCode act(const CommandOptions &options, const std::string &target, const char *field, const std::string &subject)
{
    if (options.by.empty()) {
        std::fputs("lacewingctl: name yourself with --by or LACEWING_OPERATOR\n", stderr);
        return ExitCode::Usage;
    }
    const Json body { { "by", options.by }, { field, subject } };
    const auto answer = OperatorClient(options.address, options.token).post(target, body);
    if (!answer) {
        return reportFailure(answer.error());
    }
    if (answer.value().status != statusAccepted) {
        return reportRefusal(answer.value());
    }
    std::printf("accepted: %s\n", subject.c_str());
    return ExitCode::Done;
}

std::string leasesOf(const Json &status)
{
    std::string text;
    for (const Json &lease : status["leases"]) {
        if (lease["vm"] == status["vm"]) {
            text += (text.empty() ? "" : " ") + lease["lease"].get<std::string>();
        }
    }
    return text;
}

} // namespace

ExitCode runStatus(const CommandOptions &options, const std::vector<std::string> & /*arguments*/)
{
    return getAndShow(options, "/v1/fleet", [](const Json &body) {
        std::vector<std::vector<std::string>> rows {
            { "ZONE", "VM", "MEMBER", "STATE", "CONFIG", "LOG", "JOBS", "MET", "REFUSED", "LEASES" }
        };
        for (const Json &vm : body["vms"]) {
            std::vector<std::string> row { vm["zone"], vm["vm"], vm["member_state"] };
            if (vm["answered"].get<bool>()) {
                const Json &status = vm["status"];
                row.insert(row.end(),
                           { status["state"],
                             status["config_version"].dump(),
                             status["log_reachable"].get<bool>() ? "ok" : "lost",
                             status["jobs"]["running"].dump(),
                             status["jobs"]["met"].dump(),
                             status["jobs"]["refused"].dump(),
                             leasesOf(status) });
            } else {
                row.insert(row.end(), { "no answer", "", "", "", "", "", "" });
            }
            rows.push_back(std::move(row));
        }
        std::fputs(formatTable(rows).c_str(), stdout);
    });
}

ExitCode runEndpoints(const CommandOptions &options, const std::vector<std::string> & /*arguments*/)
{
    return getAndShow(options, "/v1/endpoints", [](const Json &body) {
        std::vector<std::vector<std::string>> rows {
            { "POOL", "ENDPOINT", "ZONE", "STATE", "RUNNING", "QUEUED", "SLOTS" }
        };
        for (const Json &each : body["endpoints"]) {
            rows.push_back({ each["pool"],
                             each["endpoint"],
                             each["zone"],
                             each["state"],
                             each.contains("running") ? each["running"].dump() : "",
                             each.contains("queued") ? each["queued"].dump() : "",
                             each.contains("slots") ? each["slots"].dump() : "" });
        }
        std::fputs(formatTable(rows).c_str(), stdout);
    });
}

ExitCode runDrain(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    return act(options, "/v1/drain", "vm", arguments[0]);
}

ExitCode runLeave(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    return act(options, "/v1/endpoints/leave", "endpoint", arguments[0]);
}

ExitCode runQuarantine(const CommandOptions &options, const std::vector<std::string> &arguments)
{
    if (arguments[0] == "lift" && arguments.size() == 2) {
        return act(options, "/v1/quarantine/lift", "fingerprint", arguments[1]);
    }
    if (arguments[0] != "list" || arguments.size() != 1) {
        std::fputs("usage: lacewingctl quarantine list | lift FINGERPRINT\n", stderr);
        return ExitCode::Usage;
    }
    return getAndShow(options, "/v1/quarantine", [](const Json &body) {
        std::vector<std::vector<std::string>> rows { { "FINGERPRINT", "STATE" } };
        for (const Json &each : body["requests"]) {
            rows.push_back({ each["fingerprint"], each["state"] });
        }
        std::fputs(formatTable(rows).c_str(), stdout);
    });
}

} // namespace lacewing::ctl
