#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H

#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace jacinthshift {

/** One subcommand of the program. */
struct Command
{
    std::string name;
    std::string summary;
    std::string usage;
    ExitCode (*run)(const std::vector<std::string> &arguments);
};

/** Returns all subcommands. */
const std::vector<Command> &commands();

/** Prints the help of one subcommand, or of the program when the name is empty. */
void printHelp(const std::string &name);

} // namespace jacinthshift

#endif // CLI_COMMANDS_H
