#pragma once

namespace lacewing::ctl
{

/** Exit codes of lacewingctl; docs/OPERATIONS.md lists them. */
enum class ExitCode : int {
    Done = 0,
    Refused = 1, ///< the system declined, for example because an item has changed since
    Usage = 2, ///< the command line is wrong
    InvalidFile = 3, ///< a settings or configuration file is not valid
    Unreachable = 4, ///< the VM could not be reached; nothing was done
    Unknown = 5, ///< the answer was lost: what was asked for may have been done
};

} // namespace lacewing::ctl
