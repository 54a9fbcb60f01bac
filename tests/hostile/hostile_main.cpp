// Plays one crowd of hostile clients, sends one large request alone, or stops a node while a caller
// reads slowly, and checks that the nodes stay within the limits of a small VM and finish
// responses. Exit status: 0 if all checks held, 1 if one failed, 2 if it could not run.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <sys/resource.h>

#include "modules/traffic/traffic_config.h"
#include "tests/hostile/hostile_bench.h"

namespace {

/** Lets the largest crowds open their connections. */
void raiseDescriptorLimit()
{
    rlimit limit = {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace jacinthshift;
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    const std::vector<HostileCase> crowds = hostileCases();
    const std::vector<LoneRequestCase> requests = loneRequestCases();
    const std::string name = argc > 1 ? argv[1] : "";
    const std::vector<StopCase> stops = stopCases();
    const auto hasName = [&name](const auto &entry) {
        return entry.name == name;
    };
    const auto crowd = std::find_if(crowds.begin(), crowds.end(), hasName);
    const auto request = std::find_if(requests.begin(), requests.end(), hasName);
    const auto stop = std::find_if(stops.begin(), stops.end(), hasName);
    if (crowd == crowds.end() && request == requests.end() && stop == stops.end()) {
        std::cout << "usage: hostile_tests CASE [FOLDER_OF_BINARIES]; CASE is one of:\n";
        for (const HostileCase &entry : crowds)
            std::cout << "  " << entry.name << "\n";
        for (const LoneRequestCase &entry : requests)
            std::cout << "  " << entry.name << "\n";
        for (const StopCase &entry : stops)
            std::cout << "  " << entry.name << "\n";
        return 2;
    }
    HostileSetup setup;
    if (crowd != crowds.end())
        setup = crowd->setup;
    else if (stop != stops.end())
        setup = {.backendNode = stop->backendNode, .linkMegabits = stop->linkMegabits};
    else
        setup = {.maxBodyBytes = CallerLimits().maxBodyBytes, .backendNode = request->backendNode};
    HostileBench bench(argc > 2 ? argv[2] : JACINTHSHIFT_BINARIES, setup);
    if (!bench.start()) {
        std::cout << "ordinary requests are not served; logs in " << bench.directory() << "\n";
        return 2;
    }
    const std::vector<std::string> failures = crowd != crowds.end() ? bench.play(*crowd)
                                              : stop != stops.end()
                                                      ? bench.stopDuringResponse(*stop)
                                                      : bench.sendAlone(*request);
    std::cout << name << ": " << bench.summary() << "\n";
    for (const std::string &line : failures)
        std::cout << "  FAILED: " << line << "\n";
    if (failures.empty()) {
        std::filesystem::remove_all(bench.directory());
        return 0;
    }
    std::cout << "  logs in " << bench.directory() << "\n";
    return 1;
}
