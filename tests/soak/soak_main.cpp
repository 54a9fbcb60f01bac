// A randomized fault-injection soak: runs real nodes as processes and checks the invariants on what
// callers and backend servers observed. Exit status: 0 if all held, 1 if an invariant was violated,
// 2 if the soak could not run.
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <iostream>

#include <gflags/gflags.h>

#include "tests/soak/soak.h"

DEFINE_uint64(seed, 1, "seed of the fault plan");
DEFINE_uint32(seconds, 25, "duration of fault injection in seconds");
DEFINE_uint32(domains, 3, "number of failure domains");
DEFINE_uint32(nodes, 3, "number of nodes in each failure domain");
DEFINE_double(rate, 250.0, "requests per second of all callers together");
DEFINE_bool(planned, false, "inject planned operations alone");
DEFINE_bool(stops_under_load, false, "inject stops of nodes that callers keep busy, alone");
DEFINE_uint64(slow_callers, 6, "callers that read long responses slowly");
DEFINE_string(binaries, JACINTHSHIFT_BINARIES, "folder of the program and its stand-ins");
DEFINE_bool(keep, false, "keep logs and records even if all invariants held");

int main(int argc, char **argv)
{
    using namespace jacinthshift;
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Soak soak(SoakOptions{.seed = FLAGS_seed,
                          .injectionDuration = std::chrono::seconds(FLAGS_seconds),
                          .domainCount = FLAGS_domains,
                          .nodesPerDomain = FLAGS_nodes,
                          .requestsPerSecond = FLAGS_rate,
                          .plannedOnly = FLAGS_planned,
                          .stopsUnderLoad = FLAGS_stops_under_load,
                          .slowCallers = FLAGS_slow_callers,
                          .binaryDirectory = FLAGS_binaries});
    const absl::Status status = soak.run();
    if (!status.ok()) {
        std::cout << "seed " << FLAGS_seed << ": not run: " << status.message() << "\n";
        return 2;
    }
    const std::vector<std::string> violations = soak.violations();
    std::cout << soak.summary() << ", " << violations.size() << " violations\n";
    for (const std::string &line : violations)
        std::cout << "  " << line << "\n";
    if (violations.empty() && !FLAGS_keep) {
        std::filesystem::remove_all(soak.directory());
        return 0;
    }
    soak.writeRecords();
    std::cout << "  logs and records in " << soak.directory() << "\n";
    return violations.empty() ? 0 : 1;
}
