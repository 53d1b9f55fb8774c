#pragma once

#include <base/base.h>
#include <net/net.h>

#include <fstream>
#include <map>
#include <string>

/** Stand-ins of review 3: the platform's store and runners, and callers. Each command is a process of its own. */
namespace lacewing::review
{

/** Options of a command, given as name=value. */
class Options
{
public:
    Options(int count, char **values);

    std::string text(const std::string &name, const std::string &fallback = {}) const;
    double number(const std::string &name, double fallback) const;

private:
    std::map<std::string, std::string> values_;
};

/** Appends lines to the record of a case. */
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

private:
    std::ofstream file_;
};

/** Serves the store and the runners until the process is ended. */
int runPlatform(const Options &options);
/** Sends requests at a steady rate for some time. */
int runCallers(const Options &options);
/** Prints the first of some consecutive free ports of an address. */
int findPorts(const Options &options);

} // namespace lacewing::review
