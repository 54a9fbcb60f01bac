#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <vector>

#include "core/text.h"
#include "modules/rollout/tests/rollout_exposure_model.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RollbackTime{5'000};

constexpr std::array<VersionFault, 4> Faults = {VersionFault::Failures, VersionFault::Slow,
                                                VersionFault::UnderLoad, VersionFault::OneRoute};

/** Versions that turn faulty at any time, without other trouble. */
std::vector<RolloutExposureOptions> lateFaults()
{
    std::vector<RolloutExposureOptions> runs;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const VersionFault fault : {VersionFault::Failures, VersionFault::Slow})
            runs.push_back({.seed = seed,
                            .fault = fault,
                            .faultBegin = static_cast<double>(seed - 1) / 10.0});
    }
    return runs;
}

/** Versions that are faulty under load or on one route only. */
std::vector<RolloutExposureOptions> hiddenFaults()
{
    std::vector<RolloutExposureOptions> runs;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const VersionFault fault : {VersionFault::UnderLoad, VersionFault::OneRoute})
            runs.push_back({.seed = seed, .fault = fault});
    }
    return runs;
}

/** Faulty versions beside restarts, cuts, bursts and an unavailable register. */
std::vector<RolloutExposureOptions> troubledMeshes()
{
    std::vector<RolloutExposureOptions> runs;
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
        runs.push_back({.seed = seed,
                        .fault = Faults.at(seed % Faults.size()),
                        .faultBegin = static_cast<double>(seed % 7) / 7.0,
                        .trouble = true,
                        .requestsPerSecond = seed % 3 == 0 ? 60.0 : 250.0});
    return runs;
}

std::string describe(const RolloutExposureOptions &options, const RolloutExposure &exposure)
{
    return joinText("seed ", options.seed, ", fault ", static_cast<int>(options.fault), " from ",
                    static_cast<int>(100 * options.faultBegin), "% on, ", exposure.targetRequests,
                    " of ", exposure.requests, " requests, last one ",
                    exposure.lastTargetRequest.count(), " ms after the 50th faulty answer");
}

void checkShare(const std::vector<RolloutExposureOptions> &runs)
{
    for (const RolloutExposureOptions &options : runs) {
        const RolloutExposure exposure = RolloutExposureModel(options).run();
        INFO(describe(options, exposure));
        CHECK(static_cast<double>(exposure.targetRequests) <= exposure.allowedRequests());
    }
}

void checkRollback(const std::vector<RolloutExposureOptions> &runs)
{
    for (const RolloutExposureOptions &options : runs) {
        const RolloutExposure exposure = RolloutExposureModel(options).run();
        INFO(describe(options, exposure));
        CHECK(exposure.lastTargetRequest <= RollbackTime);
    }
}

} // namespace

// Guards against a rollout that relies on the judge: a fault may begin after the judge has found
// the new version sound.
TEST_CASE("rollout exposure: a version that turns faulty at any time stays within its share",
          "[rollout_exposure]")
{
    checkShare(lateFaults());
}

// Guards against faults that do not show while a version gets few requests.
TEST_CASE("rollout exposure: a version that is faulty under load or on one route stays within it",
          "[rollout_exposure]")
{
    checkShare(hiddenFaults());
}

// Guards against a share that grows with restarts, cuts, bursts or an unavailable register.
TEST_CASE("rollout exposure: a faulty version stays within its share in troubled meshes",
          "[rollout_exposure]")
{
    checkShare(troubledMeshes());
}

// Guards against a faulty version that is not found, or whose rollback does not reach all nodes.
TEST_CASE("rollout rollback: a version that turns faulty at any time gets no requests after 5 s",
          "[rollout_rollback]")
{
    checkRollback(lateFaults());
}

TEST_CASE("rollout rollback: nor does one that is faulty under load or on one route",
          "[rollout_rollback]")
{
    checkRollback(hiddenFaults());
}

TEST_CASE("rollout rollback: nor does a faulty version in troubled meshes", "[rollout_rollback]")
{
    checkRollback(troubledMeshes());
}

// Guards against a limit that keeps sound versions from completing.
TEST_CASE("rollout exposure: sound versions complete in time, and later after trouble",
          "[rollout_exposure]")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        const RolloutExposure exposure = RolloutExposureModel({.seed = seed}).run();
        INFO(joinText("seed ", seed, ", after ", exposure.outcomeAfter.count(), " ms"));
        CHECK(exposure.outcome == RolloutOutcome::Completed);
        CHECK(exposure.outcomeAfter < milliseconds(15'000));
    }
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const RolloutExposure exposure =
                RolloutExposureModel({.seed = seed, .trouble = true, .runFraction = 2.6}).run();
        INFO(joinText("troubled mesh, seed ", seed));
        CHECK(exposure.outcome == RolloutOutcome::Completed);
    }
}

} // namespace jacinthshift
