#include <catch2/catch.hpp>

#include "modules/release/release_judge.h"
#include "modules/release/tests/release_model.h"

namespace jacinthshift {

namespace {

constexpr std::uint64_t SeedCount = 20;

std::uint64_t countWithdrawn(VersionFault fault, double requestsPerSecond)
{
    std::uint64_t withdrawn = 0;
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed)
        withdrawn += runReleaseModel(
                             {.fault = fault, .requestsPerSecond = requestsPerSecond, .seed = seed})
                                     .withdrawn
                             ? 1
                             : 0;
    return withdrawn;
}

} // namespace

TEST_CASE("good versions finish on time with many, few or no requests, also with a mesh-wide fault")
{
    for (const double requestsPerSecond : {50.0, 2.0, 0.0}) {
        for (const VersionFault fault : {VersionFault::None, VersionFault::MeshWide}) {
            for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
                INFO(faultName(fault) << " at " << requestsPerSecond << "/s, seed " << seed);
                const ModelResult result = runReleaseModel(
                        {.fault = fault, .requestsPerSecond = requestsPerSecond, .seed = seed});
                CHECK(result.finishedOnTime);
                CHECK_FALSE(result.withdrawn);
            }
        }
    }
}

TEST_CASE("versions with any kind of fault are withdrawn")
{
    for (const VersionFault fault :
         {VersionFault::AtOnce, VersionFault::Late, VersionFault::UnderLoad, VersionFault::OneRoute,
          VersionFault::Slow, VersionFault::AfterEnd}) {
        INFO(faultName(fault));
        CHECK(countWithdrawn(fault, 50.0) == SeedCount);
    }
}

TEST_CASE("a version that fails at once gets at most 5 percent of the traffic")
{
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed)
        CHECK(runReleaseModel(
                      {.fault = VersionFault::AtOnce, .requestsPerSecond = 50.0, .seed = seed})
                      .badShare
              <= 0.05);
}

TEST_CASE("repeated and reordered reports and reports of a restarted node are counted once")
{
    ReleaseJudge judge({});
    EvidenceMessage report{.node = "a", .incarnation = 1, .release = "r"};
    report.routes = {RouteEvidence{.service = "s", .route = "/"}};
    report.routes[0].candidate.requests = 10;
    judge.addReport(report);
    judge.addReport(report);
    EvidenceMessage older = report;
    older.routes[0].candidate.requests = 4;
    judge.addReport(older);
    CHECK(judge.candidateRequests() == 10);
    older.incarnation = 2;
    judge.addReport(older);
    CHECK(judge.candidateRequests() == 14);
    judge.addReport(report);
    CHECK(judge.candidateRequests() == 14);
}

} // namespace jacinthshift
