#include "standins.h"

#include <iostream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewing::review
{

Options::Options(int count, char **values)
{
    for (int index = 0; index < count; ++index) {
        const std::string item = values[index];
        const auto equals = item.find('=');
        values_[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
    }
}

std::string Options::text(const std::string &name, const std::string &fallback) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? fallback : found->second;
}

double Options::number(const std::string &name, double fallback) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? fallback : std::stod(found->second);
}

Record::Record(const std::string &path)
    : file_(path, std::ios::app)
{
}

void Record::write(const std::string &line)
{
    file_ << line << std::endl; // at once, as the process may be ended at any time
}

int findPorts(const Options &options)
{
    const std::string ip = options.text("ip");
    const int count = int(options.number("count", 20));
    const auto isFree = [&](int port) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(std::uint16_t(port));
        address.sin_addr.s_addr = inet_addr(ip.c_str());
        const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(descriptor);
        return isBound;
    };
    for (int first = 7740; first < 30000; first += count) {
        bool areFree = true;
        for (int port = first; port < first + count; ++port) {
            areFree = areFree && isFree(port);
        }
        if (areFree) {
            std::cout << first << '\n';
            return 0;
        }
    }
    return 2;
}

} // namespace lacewing::review

int main(int argc, char **argv)
{
    using namespace lacewing::review;
    const std::string command = argc > 1 ? argv[1] : "";
    const Options options(std::max(argc - 2, 0), argv + 2);
    if (command == "platform") {
        return runPlatform(options);
    }
    if (command == "callers") {
        return runCallers(options);
    }
    if (command == "ports") {
        return findPorts(options);
    }
    std::cerr << "usage: standins-3 platform|callers|ports NAME=VALUE...\n";
    return 2;
}
