#include "modules/release/tests/release_model.h"

#include <random>

#include "modules/config/answers.h"
#include "modules/release/release_judge.h"
#include "modules/release/release_policy.h"

namespace jacinthshift {

namespace {

constexpr std::int64_t StepMilliseconds = 500;
constexpr int RouteCount = 3;
constexpr double NormalFailureRate = 0.002;
constexpr double FaultyFailureRate = 0.5;
constexpr double MeshWideFailureRate = 0.3;
// The candidate's share of the traffic, in thousandths, from which VersionFault::UnderLoad occurs.
constexpr std::uint32_t LoadFaultShare = 250;

struct RequestModel
{
    double failureRate = NormalFailureRate;
    double latencyFactor = 1.0;
};

class Model
{
    ModelOptions m_options;
    std::mt19937_64 m_random;
    Release m_release;
    ReleaseJudge m_judge{FaultDetectorOptions{}};
    EvidenceCounter m_evidence;
    ModelResult m_result;
    std::int64_t m_now = 0;
    std::uint64_t m_requestsBeforeStage = 0;
    std::int64_t m_firstBadRequestAt = -1;
    std::int64_t m_lastBadRequestAt = -1;
    std::int64_t m_finishedAt = -1;
    std::uint64_t m_requestsSinceFirstBad = 0;

    bool isFaulty(int route) const
    {
        const std::int64_t total = m_options.finishWithin.count();
        switch (m_options.fault) {
        case VersionFault::None:
        case VersionFault::MeshWide:
            return false;
        case VersionFault::AtOnce:
        case VersionFault::Slow:
            return true;
        case VersionFault::Late:
            return m_now > total * 3 / 10;
        case VersionFault::UnderLoad:
            return m_release.share() >= LoadFaultShare;
        case VersionFault::OneRoute:
            return route == 0;
        case VersionFault::AfterEnd:
            return m_finishedAt >= 0 && m_now > m_finishedAt + 20'000;
        }
        return false;
    }

    bool isMeshWideFaultActive() const
    {
        const std::int64_t total = m_options.finishWithin.count();
        return m_options.fault == VersionFault::MeshWide && m_now > total / 5 && m_now < total / 4;
    }

    void send(int route, ReleaseArm arm)
    {
        const bool faulty = arm == ReleaseArm::Candidate && isFaulty(route);
        RequestModel request;
        if (faulty && m_options.fault == VersionFault::Slow)
            request.latencyFactor = 3.0;
        else if (faulty)
            request.failureRate = FaultyFailureRate;
        if (isMeshWideFaultActive())
            request.failureRate = MeshWideFailureRate;
        const bool failed =
                std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < request.failureRate;
        const double milliseconds =
                std::lognormal_distribution<double>(2.5, 0.4)(m_random) * request.latencyFactor;
        m_evidence.add(
                RequestSample{.release = m_release.id,
                              .route = {.service = "s", .route = std::to_string(route)},
                              .arm = arm,
                              .result = failed ? RequestResult::Failed : RequestResult::Succeeded,
                              .latency = std::chrono::microseconds(
                                      static_cast<std::int64_t>(milliseconds * 1000.0))});
        ++m_result.requests;
        m_requestsSinceFirstBad += m_firstBadRequestAt >= 0 ? 1 : 0;
        if (!faulty)
            return;
        if (m_firstBadRequestAt < 0)
            m_firstBadRequestAt = m_now;
        m_lastBadRequestAt = m_now;
        ++m_result.badRequests;
    }

    void sendRequests()
    {
        const double mean = m_options.requestsPerSecond * StepMilliseconds / 1000.0;
        const int count = std::poisson_distribution<int>(mean)(m_random);
        for (int i = 0; i < count; ++i) {
            const bool candidate = m_random() % FullShare < m_release.share();
            send(static_cast<int>(m_random() % RouteCount),
                 candidate ? ReleaseArm::Candidate : ReleaseArm::Stable);
        }
    }

    void evaluateRelease()
    {
        m_judge.addReport(EvidenceMessage{.node = "n",
                                          .release = m_release.id,
                                          .routes = m_evidence.evidenceByRoute(m_release.id)});
        StageEvidence evidence;
        // The baselines advance regardless of faults and of the number of requests.
        const bool judged = m_options.policy == SimulatedPolicy::Judged;
        if (judged)
            evidence.fault = m_judge.fault();
        evidence.samples = judged ? m_judge.candidateRequests() - m_requestsBeforeStage : 1'000'000;
        const ReleaseDecision decision = ReleasePolicy::decide(m_release, evidence, m_now);
        switch (decision.action) {
        case ReleaseAction::Wait:
            break;
        case ReleaseAction::Advance:
            ++m_release.stage;
            m_release.stageStartedAt = m_now;
            m_requestsBeforeStage = m_judge.candidateRequests();
            break;
        case ReleaseAction::Finish:
            m_release.status = ReleaseStatus::Finished;
            m_release.endedAt = m_now;
            m_finishedAt = m_now;
            m_result.finishedOnTime = m_now <= m_options.finishWithin.count();
            break;
        case ReleaseAction::Close:
            m_release.status = ReleaseStatus::Closed;
            break;
        case ReleaseAction::Withdraw:
            m_release.status = ReleaseStatus::Withdrawn;
            m_result.withdrawn = true;
            break;
        }
    }

public:
    explicit Model(const ModelOptions &options) : m_options(options), m_random(options.seed)
    {
        m_release.id = "r";
        m_release.plan =
                planForCare(CareLevel::Careful, options.finishWithin, ThinEvidence::Finish);
        if (options.policy == SimulatedPolicy::AllAtOnce)
            m_release.plan.stages = {
                    {.share = FullShare, .bakeTime = std::chrono::milliseconds(StepMilliseconds)}};
    }

    ModelResult run()
    {
        const std::int64_t end =
                m_options.finishWithin.count() + m_release.plan.watchPeriod.count();
        while (m_now < end && !m_result.withdrawn && m_release.status != ReleaseStatus::Closed) {
            m_now += StepMilliseconds;
            sendRequests();
            evaluateRelease();
        }
        m_result.secondsToStop =
                static_cast<double>(m_lastBadRequestAt - m_firstBadRequestAt) / 1000.0;
        if (m_requestsSinceFirstBad > 0)
            m_result.badShare = static_cast<double>(m_result.badRequests)
                                / static_cast<double>(m_requestsSinceFirstBad);
        return m_result;
    }
};

} // namespace

ModelResult runReleaseModel(const ModelOptions &options)
{
    return Model(options).run();
}

std::string faultName(VersionFault fault)
{
    switch (fault) {
    case VersionFault::None:
        return "good";
    case VersionFault::MeshWide:
        return "good, mesh-wide fault";
    case VersionFault::AtOnce:
        return "fails at once";
    case VersionFault::Late:
        return "fails later";
    case VersionFault::UnderLoad:
        return "fails under load";
    case VersionFault::OneRoute:
        return "fails on one route";
    case VersionFault::Slow:
        return "slow";
    case VersionFault::AfterEnd:
        return "fails after the end";
    }
    return "";
}

} // namespace jacinthshift
