#include <catch2/catch.hpp>

#include "modules/release/fault_detector.h"

namespace jacinthshift {

namespace {

ArmEvidence evidenceOf(std::uint64_t requests, std::uint64_t failures)
{
    ArmEvidence evidence{.requests = requests, .failures = failures};
    evidence.latency[4] = requests - failures;
    return evidence;
}

} // namespace

TEST_CASE("thin traffic: a candidate with 1 in 100 requests is declared faulty after five failures")
{
    FaultDetector detector(FaultDetectorOptions{});
    for (int i = 0; i < 10; ++i)
        detector.add(evidenceOf(100, 0), evidenceOf(1, 0));
    for (int failures = 1; failures <= 5; ++failures)
        detector.add(evidenceOf(100, 0), evidenceOf(1, 1));
    CHECK(detector.isFaulty());
}

TEST_CASE("simultaneous failures of both versions are not attributed to the candidate")
{
    for (const std::uint64_t stablePerCandidate : {1U, 3U, 20U, 100U}) {
        INFO(stablePerCandidate << " stable requests for each one of the candidate");
        FaultDetector detector(FaultDetectorOptions{});
        for (int i = 0; i < 300; ++i)
            detector.add(evidenceOf(stablePerCandidate, 0), evidenceOf(1, 0));
        for (int i = 0; i < 300; ++i)
            detector.add(evidenceOf(stablePerCandidate, stablePerCandidate), evidenceOf(1, 1));
        CHECK_FALSE(detector.isFaulty());
    }
}

} // namespace jacinthshift
