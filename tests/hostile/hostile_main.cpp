// Plays one crowd of hostile clients against real nodes and checks that these stay within the
// limits of a small VM. Exit status: 0 if all checks held, 1 if one failed, 2 if it could not run.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "tests/hostile/hostile_bench.h"

int main(int argc, char **argv)
{
    using namespace jacinthshift;
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<HostileCase> cases = hostileCases();
    const std::string name = argc > 1 ? argv[1] : "";
    const auto found = std::find_if(cases.begin(), cases.end(),
                                    [&name](const auto &entry) { return entry.name == name; });
    if (found == cases.end()) {
        std::cout << "usage: hostile_tests CASE, which is one of:\n";
        for (const HostileCase &entry : cases)
            std::cout << "  " << entry.name << "\n";
        return 2;
    }
    HostileBench bench(JACINTHSHIFT_BINARIES);
    if (!bench.start()) {
        std::cout << "ordinary requests are not served; logs in " << bench.directory() << "\n";
        return 2;
    }
    const std::vector<std::string> failures = bench.play(*found);
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
