#include "modules/release/release_judge.h"

#include "core/text.h"

namespace jacinthshift {

void ReleaseJudge::addReport(const EvidenceMessage &report)
{
    Reporter &reporter = m_reporters[report.node];
    if (report.incarnation < reporter.incarnation)
        return;
    if (report.incarnation > reporter.incarnation) {
        // The process has restarted, so its counts start from zero.
        reporter.routes.clear();
        reporter.incarnation = report.incarnation;
    }
    for (const RouteEvidence &route : report.routes) {
        const RouteKey key{.service = route.service, .route = route.route};
        RouteEvidence &previous = reporter.routes[key];
        const bool outdated = route.candidate.requests < previous.candidate.requests
                              || route.stable.requests < previous.stable.requests;
        if (outdated)
            continue;
        const ArmEvidence stable = evidenceSince(route.stable, previous.stable);
        const ArmEvidence candidate = evidenceSince(route.candidate, previous.candidate);
        previous = route;
        m_candidateRequests += candidate.requests;
        m_candidateRefused += candidate.refused;
        const auto detector = m_detectors.try_emplace(key, m_options).first;
        detector->second.add(stable, candidate);
    }
}

std::string ReleaseJudge::fault() const
{
    for (const auto &[key, detector] : m_detectors) {
        if (detector.isFaulty())
            return joinText("route ", key.route, " of ", key.service, ": ", detector.fault());
    }
    return {};
}

} // namespace jacinthshift
