#include <iostream>

#include "cli/commands.h"
#include "cli/flags.h"

namespace {

bool isHelpFlag(const std::string &argument)
{
    return argument == "--help" || argument == "-h";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    for (int i = 1; i < argc; ++i) {
        if (isHelpFlag(argv[i])) {
            jacinthshift::printHelp(isHelpFlag(name) ? "" : name);
            return 0;
        }
    }
    gflags::SetVersionString(JACINTHSHIFT_VERSION);
    gflags::SetUsageMessage("jacinthshift COMMAND [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        std::cerr << "--output must be text or json\n";
        return static_cast<int>(jacinthshift::ExitCode::Usage);
    }
    const std::vector<std::string> arguments(argv + (argc > 1 ? 2 : 1), argv + argc);
    for (const jacinthshift::Command &command : jacinthshift::commands()) {
        if (argc > 1 && command.name == argv[1])
            return static_cast<int>(command.run(arguments));
    }
    jacinthshift::printHelp("");
    return static_cast<int>(jacinthshift::ExitCode::Usage);
}
