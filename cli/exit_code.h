#ifndef CLI_EXIT_CODE_H
#define CLI_EXIT_CODE_H

namespace jacinthshift {

/** The exit status of a command. The numbers are stable; scripts may rely on them. */
enum class ExitCode {
    Ok = 0,
    Internal = 1,    ///< An unexpected error.
    Usage = 2,       ///< The command line is wrong.
    BadInput = 3,    ///< The settings or answers are wrong, or what an argument names is not found.
    Unreachable = 4, ///< The node or the log does not answer, or a node cannot open its listeners.
    Rejected = 5, ///< Another operator's change came first, or it conflicts with what is in force.
    UnknownOutcome = 6, ///< The record may or may not have been appended.
    TimedOut = 7,       ///< Accepted, but not in force everywhere within the time given.
    Withdrawn = 8,      ///< The release was withdrawn.
};

} // namespace jacinthshift

#endif // CLI_EXIT_CODE_H
