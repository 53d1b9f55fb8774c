#include "commands.h"

#include <settings/settings.h>

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

DEFINE_string(address, "127.0.0.1:8081", "ip:port of a VM's operators' interface");
DEFINE_string(token, "", "operators' token; default: the variable LACEWING_TOKEN");
DEFINE_string(token_file, "", "file that holds the operators' token");
DEFINE_string(by, "", "your name, for the audit trail; default: the variable LACEWING_OPERATOR");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_bool(wait, false, "apply: wait until every VM has the change in force");
DEFINE_bool(prune, false, "apply, diff: also remove items that the file doesn't have");

namespace lacewing::ctl
{
namespace
{

std::string orVariable(const std::string &flag, const char *variable)
{
    const char *value = std::getenv(variable);
    return flag.empty() && value != nullptr ? value : flag;
}

void printUsage(std::FILE *out)
{
    std::fputs("usage: lacewingctl [FLAGS] COMMAND [ARGUMENTS]\n\n", out);
    for (const Command &command : commands()) {
        std::fprintf(out, "  %-11s %-24s %s\n", command.name, command.arguments, command.summary);
    }
    std::fputs("\nflags: --address=IP:PORT --token=T | --token_file=F --by=NAME --json --wait --prune\n"
               "exit codes: 0 done, 1 refused, 2 usage, 3 invalid file, 4 unreachable, 5 outcome unknown\n",
               out);
}

Result<CommandOptions> readOptions()
{
    CommandOptions options;
    options.address = FLAGS_address;
    options.token = orVariable(FLAGS_token, "LACEWING_TOKEN");
    options.by = orVariable(FLAGS_by, "LACEWING_OPERATOR");
    options.json = FLAGS_json;
    options.wait = FLAGS_wait;
    options.prune = FLAGS_prune;
    if (!FLAGS_token_file.empty()) {
        auto token = settings::readFile(FLAGS_token_file);
        if (!token) {
            return boost::outcome_v2::failure(token.error());
        }
        options.token = token.value().substr(0, token.value().find_first_of("\r\n"));
    }
    return options;
}

ExitCode runCommand(const std::vector<std::string> &words)
{
    if (words.empty() || words[0] == "help") {
        printUsage(words.empty() ? stderr : stdout);
        return words.empty() ? ExitCode::Usage : ExitCode::Done;
    }
    const auto options = readOptions();
    if (!options) {
        return reportFailure(options.error());
    }
    for (const Command &command : commands()) {
        if (words[0] != command.name) {
            continue;
        }
        const std::vector<std::string> arguments(words.begin() + 1, words.end());
        if (arguments.size() < command.minArguments || arguments.size() > command.maxArguments) {
            std::fprintf(stderr, "usage: lacewingctl %s %s\n", command.name, command.arguments);
            return ExitCode::Usage;
        }
        return command.run(options.value(), arguments);
    }
    std::fprintf(stderr, "lacewingctl: no command %s; see lacewingctl help\n", words[0].c_str());
    return ExitCode::Usage;
}

} // namespace
} // namespace lacewing::ctl

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("operates lacewingfall; see lacewingctl help");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(lacewing::ctl::runCommand(std::vector<std::string>(argv + 1, argv + argc)));
}
