#include "standin.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "JSON file that describes the platform and the endpoints (see docs/PLATFORM.md)");
DEFINE_string(address, "", "ip:port of the platform and the control interface; overrides the file's");

namespace
{

constexpr int usageError = 2;

int fail(const lacewing::Error &error)
{
    std::cerr << "lacewing-standin: " << lacewing::toText(error.kind) << ": " << error.detail << '\n';
    return usageError;
}

} // namespace

/** Plays the platform and the endpoints until SIGTERM or SIGINT; prints the platform's address once it listens. */
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("plays the platform and endpoints for lacewingfall: lacewing-standin --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    std::ifstream file(FLAGS_settings);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return fail({ lacewing::ErrorKind::Io, "can't read " + FLAGS_settings });
    }
    auto settings = lacewing::standin::settingsFromJson(text.str());
    if (!settings) {
        return fail(settings.error());
    }
    if (!FLAGS_address.empty()) {
        settings.value().address = FLAGS_address;
    }

    lacewing::net::EventLoop loop;
    lacewing::standin::Standin standin(loop, std::move(settings).value());
    const auto started = standin.start();
    if (!started) {
        return fail(started.error());
    }
    boost::asio::signal_set signals(loop.ioContext(), SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { loop.stop(); });
    std::cout << standin.address() << std::endl;
    loop.run();
    return 0;
}
