#ifndef CLI_MESH_COMMANDS_H
#define CLI_MESH_COMMANDS_H

#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace jacinthshift {

// Commands that show or change what is in force in a running mesh.
ExitCode runPublish(const std::vector<std::string> &arguments);
ExitCode runStatus(const std::vector<std::string> &arguments);
ExitCode runRelease(const std::vector<std::string> &arguments);
ExitCode runDomain(const std::vector<std::string> &arguments);
ExitCode runReport(const std::vector<std::string> &arguments);

} // namespace jacinthshift

#endif // CLI_MESH_COMMANDS_H
