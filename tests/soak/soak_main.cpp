// A randomized soak: real nodes as processes, faults from outside, promises checked on what callers
// and backend servers saw. Exit status 1 means that a promise was broken.
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <iostream>

#include <gflags/gflags.h>

#include "tests/soak/soak.h"

DEFINE_uint64(seed, 1, "the seed of the faults");
DEFINE_uint32(seconds, 25, "how long faults come");
DEFINE_uint32(domains, 3, "failure domains");
DEFINE_uint32(nodes, 3, "nodes in each failure domain");
DEFINE_double(rate, 250.0, "requests per second of all callers together");
DEFINE_bool(keep, false, "keep logs and records also if all promises held");

int main(int argc, char **argv)
{
    using namespace jacinthshift;
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Soak soak(SoakOptions{.seed = FLAGS_seed,
                          .length = std::chrono::seconds(FLAGS_seconds),
                          .domains = FLAGS_domains,
                          .nodesPerDomain = FLAGS_nodes,
                          .requestsPerSecond = FLAGS_rate,
                          .binaries = JACINTHSHIFT_BINARIES});
    const absl::Status status = soak.run();
    if (!status.ok()) {
        std::cout << "seed " << FLAGS_seed << ": not run: " << status.message() << "\n";
        return 2;
    }
    const std::vector<std::string> broken = soak.broken();
    std::cout << soak.summary() << ", " << broken.size() << " broken\n";
    for (const std::string &line : broken)
        std::cout << "  " << line << "\n";
    if (broken.empty() && !FLAGS_keep) {
        std::filesystem::remove_all(soak.directory());
        return 0;
    }
    soak.writeRecords();
    std::cout << "  logs and records in " << soak.directory() << "\n";
    return broken.empty() ? 0 : 1;
}
