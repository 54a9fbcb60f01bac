#include <catch2/catch.hpp>

#include <cmath>

#include "core/random.h"
#include "modules/release/evidence_counter.h"
#include "modules/rollout/rollout_controller.h"

namespace jacinthshift {

namespace {

const FaultDetectorOptions detectorOptions = RolloutControllerOptions{}.detector;

/** Simulates requests to owners of two versions until the judge finds a fault in the new one. */
class SimulatedRollout
{
    Random m_random;
    double m_serviceTimeMilliseconds;
    RolloutJudge m_judge{"v2", detectorOptions};
    std::map<std::string, VersionEvidenceMessage> m_reports;

    void simulateRequest(const std::string &node, const std::string &version, double failureRate,
                         double serviceTimeMilliseconds)
    {
        VersionEvidenceMessage &report = m_reports[node];
        report.node = node;
        report.version = version;
        report.backend = node;
        if (report.routes.empty())
            report.routes.push_back({.route = "r"});
        ArmEvidence &counts = report.routes[0].counts;
        ++counts.requests;
        // Service times vary by a factor of about two in both directions.
        const double spread = std::exp((m_random.uniform() + m_random.uniform() - 1.0) * 0.8);
        if (m_random.uniform() < failureRate)
            ++counts.failures;
        else
            ++counts.latency[latencyBucket(std::chrono::microseconds(
                    static_cast<std::int64_t>(serviceTimeMilliseconds * spread * 1'000.0)))];
    }

public:
    explicit SimulatedRollout(std::uint64_t seed, double serviceTimeMilliseconds = 120.0)
        : m_random(seed), m_serviceTimeMilliseconds(serviceTimeMilliseconds)
    {
    }

    /**
     * Returns the number of the new version's requests when a fault is found, or -1 if none is.
     * `slowShare` of the new version's requests are slower by the factor `slowdown`.
     */
    int run(int requests, double share, double failureRate, double slowdown,
            double oldFailureRate = 0.002, double slowShare = 1.0)
    {
        int candidateRequests = 0;
        for (int i = 0; i < requests; ++i) {
            if (m_random.uniform() < share) {
                ++candidateRequests;
                const bool slow = slowShare >= 1.0 || m_random.uniform() < slowShare;
                simulateRequest("new", "v2", failureRate,
                                m_serviceTimeMilliseconds * (slow ? slowdown : 1.0));
            } else {
                // Of the two owners of the old version only one has failures.
                simulateRequest(i % 2 == 0 ? "old1" : "old2", "v1",
                                i % 2 == 0 ? oldFailureRate * 2 : 0.0, m_serviceTimeMilliseconds);
            }
            // The owners report after every 40 requests.
            if (i % 40 != 39)
                continue;
            for (auto &[node, report] : m_reports) {
                ++report.sequence;
                m_judge.addReport(report);
            }
            if (!m_judge.fault().empty())
                return candidateRequests;
        }
        return -1;
    }
};

} // namespace

TEST_CASE("a good version is not declared faulty during a rollout")
{
    int falseAlarms = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        falseAlarms += SimulatedRollout(seed).run(6'000, 0.5, 0.002, 1.0) >= 0 ? 1 : 0;
    CHECK(falseAlarms <= 1);
}

TEST_CASE("a version that fails half of its requests is detected within 50 requests")
{
    // The bound limits how many failed answers a faulty version may cause.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const int requests = SimulatedRollout(seed).run(6'000, 0.06, 0.5, 1.0);
        REQUIRE(requests >= 0);
        REQUIRE(requests <= 50);
    }
}

TEST_CASE("a version that is eight times slower is detected within 100 requests")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const int requests = SimulatedRollout(seed).run(6'000, 0.06, 0.002, 8.0);
        REQUIRE(requests >= 0);
        REQUIRE(requests <= 100);
    }
}

// Guards against a slowness threshold that depends on where in a latency bucket the work time lies.
TEST_CASE("a version that is four times slower on 40% of its requests is detected within 125")
{
    for (const double serviceTime : {64.0, 76.0, 90.0, 100.0, 108.0, 120.0, 127.0}) {
        int missed = 0;
        int falseAlarms = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const int requests =
                    SimulatedRollout(seed, serviceTime).run(6'000, 0.06, 0.002, 4.0, 0.002, 0.4);
            missed += requests < 0 || requests > 125 ? 1 : 0;
        }
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
            falseAlarms += SimulatedRollout(seed, serviceTime).run(6'000, 0.5, 0.002, 1.0) >= 0;
        CAPTURE(serviceTime);
        CHECK(missed <= 2);
        CHECK(falseAlarms <= 1);
    }
}

TEST_CASE(
        "failing minority: failures of one old owner neither hide a fault nor cause a false alarm")
{
    int missed = 0;
    int falseAlarms = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const int requests = SimulatedRollout(seed).run(6'000, 0.06, 0.39, 1.0, 0.05);
        missed += requests < 0 || requests > 60 ? 1 : 0;
        falseAlarms += SimulatedRollout(seed).run(6'000, 0.06, 0.05, 1.0, 0.05) >= 0 ? 1 : 0;
    }
    CHECK(missed <= 2);
    CHECK(falseAlarms <= 1);
}

TEST_CASE("a route that fails every request with both versions does not make the new one faulty")
{
    RolloutJudge judge("v2", detectorOptions);
    VersionEvidenceMessage stable{
            .node = "b1", .version = "v1", .backend = "b1", .routes = {{.route = "r"}}};
    VersionEvidenceMessage candidate{
            .node = "b2", .version = "v2", .backend = "b2", .routes = {{.route = "r"}}};
    for (int round = 0; round < 200; ++round) {
        for (VersionEvidenceMessage *owner : {&stable, &candidate}) {
            owner->routes[0].counts.requests += 2;
            owner->routes[0].counts.failures += 2;
            ++owner->sequence;
            judge.addReport(*owner);
        }
        CAPTURE(round);
        REQUIRE(judge.fault().empty());
    }
}

TEST_CASE("counts that start from zero with a new backend server are added to the earlier ones")
{
    RolloutJudge judge("v2", detectorOptions);
    VersionEvidenceMessage report{.node = "n",
                                  .sequence = 1,
                                  .version = "v2",
                                  .backend = "b1",
                                  .routes = {{.route = "r"}}};
    report.routes[0].counts.requests = 10;
    judge.addReport(report);
    ++report.sequence;
    judge.addReport(report);
    CHECK(judge.candidateRequests() == 10);
    report.backend = "b2";
    report.routes[0].counts.requests = 4;
    ++report.sequence;
    judge.addReport(report);
    CHECK(judge.candidateRequests() == 14);
}

// Guards against counts of a new owner process that are taken for a continuation of the old ones.
TEST_CASE("an owner that restarts with more requests and fewer failures is not declared faulty")
{
    RolloutJudge judge("v2", detectorOptions);
    VersionEvidenceMessage report{
            .node = "n",
            .incarnation = 7,
            .sequence = 9,
            .version = "v2",
            .backend = "b",
            .routes = {{.route = "r", .counts = {.requests = 20, .failures = 1}}}};
    judge.addReport(report);
    report.incarnation = 8;
    report.sequence = 1;
    report.routes[0].counts = {.requests = 25, .failures = 0};
    judge.addReport(report);
    CHECK(judge.fault().empty());
    CHECK(judge.candidateRequests() == 45);
}

TEST_CASE("a report that arrives on several ways, in any order, counts once")
{
    RolloutJudge judge("v2", detectorOptions);
    VersionEvidenceMessage older{.node = "n",
                                 .incarnation = 7,
                                 .sequence = 1,
                                 .version = "v2",
                                 .backend = "b1",
                                 .routes = {{.route = "r", .counts = {.requests = 4}}}};
    VersionEvidenceMessage newer = older;
    newer.sequence = 2;
    newer.routes[0].counts.requests = 10;
    CHECK(judge.addReport(newer));
    CHECK_FALSE(judge.addReport(older));
    CHECK_FALSE(judge.addReport(newer));
    CHECK(judge.candidateRequests() == 10);
    VersionEvidenceMessage restarted = older;
    restarted.incarnation = 8;
    CHECK(judge.addReport(restarted));
    CHECK(judge.candidateRequests() == 14);
}

} // namespace jacinthshift
