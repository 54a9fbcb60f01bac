// Simulates releases over many seeds and prints the outcomes for the product's policy and two
// baselines.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "modules/release/tests/release_model.h"

using namespace jacinthshift;

namespace {

constexpr std::uint64_t Seeds = 200;

void printOutcomes(RolloutPolicy policy, const char *name, VersionFault fault,
                   double requestsPerSecond)
{
    std::uint64_t finished = 0;
    std::uint64_t withdrawn = 0;
    std::vector<double> bad;
    std::vector<double> stop;
    double share = 0.0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const ModelResult result = runReleaseModel({.fault = fault,
                                                    .policy = policy,
                                                    .requestsPerSecond = requestsPerSecond,
                                                    .seed = seed});
        finished += result.finishedOnTime && !result.withdrawn ? 1 : 0;
        withdrawn += result.withdrawn ? 1 : 0;
        bad.push_back(static_cast<double>(result.badRequests));
        stop.push_back(result.secondsToStop);
        share += result.badShare / Seeds;
    }
    std::sort(bad.begin(), bad.end());
    std::sort(stop.begin(), stop.end());
    std::printf("| %s | %s | %.0f | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f | %.1f |\n", name,
                faultName(fault).c_str(), requestsPerSecond,
                100.0 * static_cast<double>(finished) / Seeds,
                100.0 * static_cast<double>(withdrawn) / Seeds, bad[Seeds / 2], bad[Seeds - 1],
                100.0 * share, stop[Seeds / 2], stop[Seeds * 99 / 100]);
}

} // namespace

int main()
{
    std::printf(
            "| policy | version | req/s | finished %% | withdrawn %% | faulty requests p50 | max |"
            " share of traffic %% | s to last p50 | p99 "
            "|\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const double requestsPerSecond : {100.0, 2.0}) {
        for (const VersionFault fault :
             {VersionFault::None, VersionFault::MeshWide, VersionFault::AtOnce, VersionFault::Late,
              VersionFault::UnderLoad, VersionFault::OneRoute, VersionFault::Slow,
              VersionFault::AfterEnd}) {
            printOutcomes(RolloutPolicy::Judged, "judged", fault, requestsPerSecond);
            printOutcomes(RolloutPolicy::FixedTime, "fixed time", fault, requestsPerSecond);
            printOutcomes(RolloutPolicy::AllAtOnce, "all at once", fault, requestsPerSecond);
        }
    }
    return 0;
}
