#include <catch2/catch.hpp>

#include <cmath>

#include "core/random.h"
#include "modules/release/evidence_ledger.h"
#include "modules/rollout/rollout_controller.h"

namespace jacinthshift {

namespace {

const FaultDetectorOptions detectorOptions = RolloutControllerOptions{}.detector;

/** Plays requests of two versions to owners and tells how many the new one got until its fault. */
class SimulatedRollout
{
    Random m_random;
    RolloutJudge m_judge{"v2", detectorOptions};
    std::map<std::string, VersionEvidenceMessage> m_owners;

    void request(const std::string &node, const std::string &version, double failures,
                 double serviceTime)
    {
        VersionEvidenceMessage &owner = m_owners[node];
        owner.version = version;
        owner.backend = node;
        if (owner.routes.empty())
            owner.routes.push_back({.route = "r"});
        ArmEvidence &counts = owner.routes[0].counts;
        ++counts.requests;
        // Service times spread over a factor of about two to both sides.
        const double spread = std::exp((m_random.unit() + m_random.unit() - 1.0) * 0.8);
        if (m_random.unit() < failures)
            ++counts.failures;
        else
            ++counts.latency[latencyBucket(std::chrono::microseconds(
                    static_cast<std::int64_t>(serviceTime * spread * 1'000.0)))];
    }

public:
    explicit SimulatedRollout(std::uint64_t seed) : m_random(seed) {}

    /** Returns the number of the new version's requests before its fault, or -1 without one. */
    int play(int requests, double share, double failures, double slowness,
             double oldFailures = 0.002)
    {
        int candidate = 0;
        for (int i = 0; i < requests; ++i) {
            if (m_random.unit() < share) {
                ++candidate;
                request("new", "v2", failures, 120.0 * slowness);
            } else {
                // One of the old version's owners is in trouble, the other one is not.
                request(i % 2 == 0 ? "old1" : "old2", "v1", i % 2 == 0 ? oldFailures * 2 : 0.0,
                        120.0);
            }
            if (i % 40 != 39)
                continue;
            for (const auto &[node, report] : m_owners)
                m_judge.addReport(node, report);
            if (!m_judge.fault().empty())
                return candidate;
        }
        return -1;
    }
};

} // namespace

TEST_CASE("a good version is not found faulty in the requests of a rollout")
{
    int falseAlarms = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        falseAlarms += SimulatedRollout(seed).play(6'000, 0.5, 0.002, 1.0) >= 0 ? 1 : 0;
    CHECK(falseAlarms <= 1);
}

TEST_CASE("a version of which half of the requests fail is found within the allowed bad answers")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const int requests = SimulatedRollout(seed).play(6'000, 0.06, 0.5, 1.0);
        REQUIRE(requests >= 0);
        REQUIRE(requests <= 50);
    }
}

TEST_CASE("a version that is several times slower is found")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const int requests = SimulatedRollout(seed).play(6'000, 0.06, 0.002, 8.0);
        REQUIRE(requests >= 0);
        REQUIRE(requests <= 100);
    }
}

TEST_CASE("failing minority: trouble at one old owner hides no fault and makes none")
{
    int missed = 0;
    int falseAlarms = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const int requests = SimulatedRollout(seed).play(6'000, 0.06, 0.39, 1.0, 0.05);
        missed += requests < 0 || requests > 60 ? 1 : 0;
        falseAlarms += SimulatedRollout(seed).play(6'000, 0.06, 0.05, 1.0, 0.05) >= 0 ? 1 : 0;
    }
    CHECK(missed <= 2);
    CHECK(falseAlarms <= 1);
}

TEST_CASE("a route on which all requests fail with both versions is not blamed on the new one")
{
    RolloutJudge judge("v2", detectorOptions);
    VersionEvidenceMessage stable{.version = "v1", .backend = "b1", .routes = {{.route = "r"}}};
    VersionEvidenceMessage candidate{.version = "v2", .backend = "b2", .routes = {{.route = "r"}}};
    for (int round = 0; round < 200; ++round) {
        for (VersionEvidenceMessage *owner : {&stable, &candidate}) {
            owner->routes[0].counts.requests += 2;
            owner->routes[0].counts.failures += 2;
            judge.addReport(owner->backend, *owner);
        }
        CAPTURE(round);
        REQUIRE(judge.fault().empty());
    }
}

TEST_CASE("an owner that starts again counts from zero and its old counts stay")
{
    RolloutJudge judge("v2", detectorOptions);
    VersionEvidenceMessage report{.version = "v2", .backend = "b1", .routes = {{.route = "r"}}};
    report.routes[0].counts.requests = 10;
    judge.addReport("n", report);
    judge.addReport("n", report);
    CHECK(judge.candidateRequests() == 10);
    report.backend = "b2";
    report.routes[0].counts.requests = 4;
    judge.addReport("n", report);
    CHECK(judge.candidateRequests() == 14);
}

} // namespace jacinthshift
