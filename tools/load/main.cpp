#include "live_main.h"
#include "replay_main.h"

#include <cstdio>
#include <string_view>

/** Dispatches between the drivers of a trace. */
int main(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        const std::string_view argument(argv[index]);
        if (argument == "--replay" || argument == "--list") {
            return lacewing::load::runReplay(argc, argv);
        }
        if (argument.starts_with("--live=") || argument == "--live") {
            return lacewing::load::runLive(argc, argv);
        }
    }
    std::fputs("usage: lacewing-load --replay [--scenario=NAME,...|all] [--strategy=NAME,...|all] [--replay_seed=N]\n"
               "       lacewing-load --live=IP:PORT,... --trace=FILE --configuration=FILE [--stream] [--speed=X]\n"
               "                     [--max_jobs=N] [--max_seconds=N] [--token=TOKEN] [--csv=FILE] [--svg=FILE]\n"
               "                     [--direct=POOL=IP:PORT,...]\n"
               "--help lists all flags.\n",
               stderr);
    return 2;
}
