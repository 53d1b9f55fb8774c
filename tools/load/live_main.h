#pragma once

namespace lacewing::load
{

/**
 * Replays a trace against live daemons over real sockets and checks each answer against its request.
 *
 * @return exit status: 0 no wrong answer, 1 some answer was not its request's, 2 wrong usage
 */
int runLive(int argc, char **argv);

} // namespace lacewing::load
