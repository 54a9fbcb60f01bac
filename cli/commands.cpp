#include "cli/commands.h"

#include <iostream>

#include "cli/explain.h"
#include "cli/local_commands.h"
#include "cli/mesh_commands.h"

namespace jacinthshift {

const std::vector<Command> &commands()
{
    static const std::vector<Command> all = {
            {"node", "run the node process on a backend server's VM",
             "node --settings=FILE [--check-only]", runNode},
            {"mesh-node", "run the node process on a VM of the users' platform",
             "mesh-node --settings=FILE [--check-only]", runMeshNode},
            {"questionnaire", "print an empty questionnaire", "questionnaire > answers.yaml",
             runQuestionnaire},
            {"check", "check answers or settings", "check --answers=FILE | --settings=FILE",
             runCheck},
            {"generate", "show the configuration that answers produce",
             "generate --answers=FILE [--output=json]", runGenerate},
            {"publish", "publish answers and wait until they are in force",
             "publish --answers=FILE --node=IP:PORT --log=IP:PORT [--within=7s] [--wait=8h] "
             "[--remove=SERVICE,...]",
             runPublish},
            {"status", "show the version in force and the nodes that lag behind",
             "status --node=IP:PORT", runStatus},
            {"release", "list, show, wait for or withdraw releases",
             "release list | show ID | wait ID --wait=8h | withdraw ID --log=IP:PORT  "
             "--node=IP:PORT",
             runRelease},
            {"domain", "take a failure domain out of service or bring it back",
             "domain take-out DOMAIN | bring-back DOMAIN  --node=IP:PORT --log=IP:PORT", runDomain},
            {"explain", "show the log lines of several nodes about a request",
             "explain REQUEST_ID LOG_FILE...", runExplain},
            {"report", "show how the releases of a time window ended",
             "report --node=IP:PORT [--window=24h]", runReport},
    };
    return all;
}

void printHelp(const std::string &name)
{
    for (const Command &command : commands()) {
        if (command.name == name) {
            std::cout << command.summary << "\n  jacinthshift " << command.usage
                      << "\nAll flags: jacinthshift --helpfull\n";
            return;
        }
    }
    std::cout << "jacinthshift distributes configuration in a service mesh\n\n";
    for (const Command &command : commands())
        std::cout << "  " << command.name << std::string(16 - command.name.size(), ' ')
                  << command.summary << "\n";
    std::cout << "\nHelp on a command: jacinthshift COMMAND --help\n"
              << "Exit status: 0 done, 1 internal, 2 usage, 3 bad input, 4 unreachable, "
                 "5 rejected, 6 unknown outcome, 7 timed out, 8 release withdrawn\n";
}

} // namespace jacinthshift
