#ifndef MODULES_RELEASE_TESTS_RELEASE_MODEL_H
#define MODULES_RELEASE_TESTS_RELEASE_MODEL_H

#include <chrono>
#include <cstdint>
#include <string>

namespace jacinthshift {

/** The fault that is simulated in the candidate. */
enum class VersionFault {
    None,
    MeshWide,  ///< The candidate is good, but both versions fail for a while.
    AtOnce,    ///< Half of its requests fail from the start.
    Late,      ///< Half fail from some time in the release on.
    UnderLoad, ///< Half fail once it has a quarter of the traffic.
    OneRoute,  ///< Half of the requests on one of three routes fail.
    Slow,      ///< Requests take three times as long.
    AfterEnd,  ///< Half fail some time after the release has finished.
};

/** The policy that decides the steps of the simulated release. */
enum class SimulatedPolicy {
    Judged,    ///< The policy of the product, ReleasePolicy.
    FixedTime, ///< The same stages, by time alone.
    AllAtOnce, ///< A single stage with all traffic.
};

struct ModelOptions
{
    VersionFault fault = VersionFault::None;
    SimulatedPolicy policy = SimulatedPolicy::Judged;
    double requestsPerSecond = 100.0; ///< To both versions together.
    std::chrono::milliseconds finishWithin{std::chrono::minutes(20)};
    std::uint64_t seed = 1;
};

struct ModelResult
{
    bool finishedOnTime = false;
    bool withdrawn = false;
    std::uint64_t requests = 0;
    std::uint64_t badRequests = 0; ///< To a faulty candidate while its fault was active.
    double badShare = 0.0;         ///< Bad requests as a share of all since the first bad one.
    double secondsToStop = 0.0;    ///< From the first to the last bad request.
};

/** Simulates one release with generated traffic, in steps of half a second. */
ModelResult runReleaseModel(const ModelOptions &options);

std::string faultName(VersionFault fault);

} // namespace jacinthshift

#endif // MODULES_RELEASE_TESTS_RELEASE_MODEL_H
