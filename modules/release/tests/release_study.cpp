// Simulates releases over many seeds and prints the outcomes for the product's policy and two
// baselines.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "modules/release/tests/release_model.h"

using namespace jacinthshift;

namespace {

constexpr std::uint64_t SeedCount = 200;

void printOutcomes(SimulatedPolicy policy, const char *policyName, VersionFault fault,
                   double requestsPerSecond)
{
    std::uint64_t finished = 0;
    std::uint64_t withdrawn = 0;
    std::vector<double> badRequests;
    std::vector<double> secondsToStop;
    double meanBadShare = 0.0;
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        const ModelResult result = runReleaseModel({.fault = fault,
                                                    .policy = policy,
                                                    .requestsPerSecond = requestsPerSecond,
                                                    .seed = seed});
        finished += result.finishedOnTime && !result.withdrawn ? 1 : 0;
        withdrawn += result.withdrawn ? 1 : 0;
        badRequests.push_back(static_cast<double>(result.badRequests));
        secondsToStop.push_back(result.secondsToStop);
        meanBadShare += result.badShare / SeedCount;
    }
    std::sort(badRequests.begin(), badRequests.end());
    std::sort(secondsToStop.begin(), secondsToStop.end());
    std::printf("| %s | %s | %.0f | %.1f | %.1f | %.0f | %.0f | %.1f | %.1f | %.1f |\n", policyName,
                faultName(fault).c_str(), requestsPerSecond,
                100.0 * static_cast<double>(finished) / SeedCount,
                100.0 * static_cast<double>(withdrawn) / SeedCount, badRequests[SeedCount / 2],
                badRequests[SeedCount - 1], 100.0 * meanBadShare, secondsToStop[SeedCount / 2],
                secondsToStop[SeedCount * 99 / 100]);
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
            printOutcomes(SimulatedPolicy::Judged, "judged", fault, requestsPerSecond);
            printOutcomes(SimulatedPolicy::FixedTime, "fixed time", fault, requestsPerSecond);
            printOutcomes(SimulatedPolicy::AllAtOnce, "all at once", fault, requestsPerSecond);
        }
    }
    return 0;
}
