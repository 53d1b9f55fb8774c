#pragma once

#include "exit_codes.h"
#include "operator_client.h"

#include <string>
#include <vector>

namespace lacewing::ctl
{

/** What the command line says besides the command itself. */
struct CommandOptions {
    std::string address; ///< ip:port of a VM's operators' interface
    std::string token;
    std::string by; ///< name of the operator
    bool json = false; ///< print JSON for programs
    bool wait = false; ///< apply: wait until every VM has the change in force
    bool prune = false; ///< apply, diff: also remove items that the file doesn't have
};

/** One command of the tool. */
struct Command {
    const char *name;
    const char *arguments; ///< for the help text
    const char *summary; ///< one line
    std::size_t minArguments;
    std::size_t maxArguments;
    ExitCode (*run)(const CommandOptions &options, const std::vector<std::string> &arguments);
};

/** All commands, in the order of the help text. */
const std::vector<Command> &commands();

// Configuration, in configuration_commands.cpp
ExitCode runCheck(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runDiff(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runApply(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runHistory(const CommandOptions &options, const std::vector<std::string> &arguments);

// Fleet, in fleet_commands.cpp
ExitCode runStatus(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runEndpoints(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runDrain(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runLeave(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runQuarantine(const CommandOptions &options, const std::vector<std::string> &arguments);

// Explanations, in report_commands.cpp
ExitCode runExplain(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runAudit(const CommandOptions &options, const std::vector<std::string> &arguments);
ExitCode runReport(const CommandOptions &options, const std::vector<std::string> &arguments);

// Shared by the commands, in commands.cpp

/** Prints why a call failed, and what to do. @return its exit code */
ExitCode reportFailure(const Error &error);
/** Prints what the system declined. */
ExitCode reportRefusal(const OperatorAnswer &answer);
/** Gets a target and hands a good answer to `show`, or prints it as JSON when asked. */
template <typename Show>
ExitCode getAndShow(const CommandOptions &options, const std::string &target, Show show)
{
    const auto answer = OperatorClient(options.address, options.token).get(target);
    if (!answer) {
        return reportFailure(answer.error());
    }
    constexpr int ok = 200;
    if (answer.value().status != ok) {
        return reportRefusal(answer.value());
    }
    if (options.json) {
        std::puts(answer.value().body.dump(2).c_str());
    } else {
        show(answer.value().body);
    }
    return ExitCode::Done;
}
} // namespace lacewing::ctl
