#include "modules/rollout/rollout_judge.h"

#include "core/text.h"
#include "modules/release/evidence_counter.h"

namespace jacinthshift {

bool RolloutJudge::addReport(const VersionEvidenceMessage &report)
{
    const auto [entry, isNew] = m_reporters.try_emplace(report.node);
    Reporter &reporter = entry->second;
    const std::pair position(report.incarnation, report.sequence);
    if (!isNew && position <= reporter.position)
        return false;
    const bool isNewProcess = reporter.position.first != report.incarnation;
    reporter.position = position;
    if (isNewProcess || reporter.backend != report.backend) {
        reporter.backend = report.backend;
        reporter.routes.clear();
    }
    const bool candidate = report.version == m_targetVersion;
    for (const VersionEvidence &evidence : report.routes) {
        ArmEvidence &previous = reporter.routes[evidence.route];
        // The counts of a restarted owner start from zero.
        if (evidence.counts.requests < previous.requests)
            previous = ArmEvidence();
        const ArmEvidence delta = evidenceSince(evidence.counts, previous);
        previous = evidence.counts;
        if (delta.requests == 0)
            continue;
        FaultDetector &detector = m_detectors.try_emplace(evidence.route, m_options).first->second;
        if (candidate) {
            m_candidateRequests += delta.requests;
            detector.add(ArmEvidence(), delta);
        } else {
            detector.add(delta, ArmEvidence());
        }
    }
    return true;
}

std::string RolloutJudge::fault() const
{
    for (const auto &[route, detector] : m_detectors) {
        if (detector.isFaulty())
            return joinText("route ", route, ": ", detector.fault());
    }
    return {};
}

} // namespace jacinthshift
