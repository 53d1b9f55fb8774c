#pragma once

namespace lacewing::load
{

/**
 * Replays traces against the decision core with a virtual clock and checks the stated outcomes.
 *
 * @return exit status: 0 all outcomes hold, 1 some don't, 2 wrong usage
 */
int runReplay(int argc, char **argv);

} // namespace lacewing::load
