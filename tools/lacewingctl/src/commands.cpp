#include "commands.h"

#include <cstdio>

namespace lacewing::ctl
{

const std::vector<Command> &commands()
{
    static const std::vector<Command> all {
        { "check", "FILE", "checks a settings or configuration file offline", 1, 1, runCheck },
        { "diff", "FILE", "shows what apply would change", 1, 1, runDiff },
        { "apply", "FILE", "makes the fleet's configuration equal to a file's items", 1, 1, runApply },
        { "history", "", "lists the changes of the configuration", 0, 0, runHistory },
        { "status", "", "shows the VMs, versions in force and leases", 0, 0, runStatus },
        { "endpoints", "", "lists the endpoints and their load", 0, 0, runEndpoints },
        { "drain", "VM", "stops a VM gracefully", 1, 1, runDrain },
        { "leave", "ENDPOINT", "takes an endpoint out of service for good", 1, 1, runLeave },
        { "quarantine", "list | lift FINGERPRINT", "shows or lifts quarantined requests", 1, 2, runQuarantine },
        { "explain", "JOB", "tells each decision about a job and its reason", 1, 1, runExplain },
        { "audit", "", "lists who changed what", 0, 0, runAudit },
        { "report", "[CSV_FILE]", "shows charges by workspace, class and stage", 0, 1, runReport },
    };
    return all;
}

ExitCode reportFailure(const Error &error)
{
    std::fprintf(stderr, "lacewingctl: %s: %s\n", std::string(toText(error.kind)).c_str(), error.detail.c_str());
    switch (error.kind) {
    case ErrorKind::Unreachable:
        std::fputs("Nothing was done. Check --address, or name another VM.\n", stderr);
        return ExitCode::Unreachable;
    case ErrorKind::InvalidArgument:
        std::fputs("Give --address as ip:port.\n", stderr);
        return ExitCode::Usage;
    default:
        std::fputs("The answer was lost, so it may have been done. Look with status or history.\n", stderr);
        return ExitCode::Unknown;
    }
}

ExitCode reportRefusal(const OperatorAnswer &answer)
{
    const Json &body = answer.body;
    const std::string type = body.value("title", body.value("reason", std::string("refused")));
    const std::string detail = body.value("detail", std::string());
    std::fprintf(stderr, "lacewingctl: %s %s\n", type.c_str(), detail.c_str());
    constexpr int unauthorized = 401;
    if (answer.status == unauthorized) {
        std::fputs("Give the operators' token with --token, --token_file or LACEWING_TOKEN.\n", stderr);
    }
    return ExitCode::Refused;
}

} // namespace lacewing::ctl
