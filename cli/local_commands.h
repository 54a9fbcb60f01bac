#ifndef CLI_LOCAL_COMMANDS_H
#define CLI_LOCAL_COMMANDS_H

#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace jacinthshift {

// Commands that do not need a running mesh.
ExitCode runNode(const std::vector<std::string> &arguments);
ExitCode runMeshNode(const std::vector<std::string> &arguments);
ExitCode runQuestionnaire(const std::vector<std::string> &arguments);
ExitCode runCheck(const std::vector<std::string> &arguments);
ExitCode runGenerate(const std::vector<std::string> &arguments);

} // namespace jacinthshift

#endif // CLI_LOCAL_COMMANDS_H
