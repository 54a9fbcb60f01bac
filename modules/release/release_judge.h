#ifndef MODULES_RELEASE_RELEASE_JUDGE_H
#define MODULES_RELEASE_RELEASE_JUDGE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "modules/release/evidence_counter.h"
#include "modules/release/fault_detector.h"

namespace jacinthshift {

/**
 * Aggregates the request counts that nodes report for one release and runs a fault detector per
 * route.
 *
 * Reports hold cumulative counts, so a lost or repeated report does not distort the result.
 */
class ReleaseJudge
{
    using ReportedRoutes = std::map<RouteKey, RouteEvidence>;
    /** The last counts that a node reported. */
    struct Reporter
    {
        std::uint64_t incarnation = 0;
        ReportedRoutes routes;
    };

    FaultDetectorOptions m_options;
    std::map<std::string, Reporter> m_reporters;
    std::map<RouteKey, FaultDetector> m_detectors;
    std::uint64_t m_candidateRequests = 0;
    std::uint64_t m_candidateRefused = 0;

public:
    explicit ReleaseJudge(const FaultDetectorOptions &options) : m_options(options) {}

    /**
     * Adds a node's counts since its last report. Ignores reports of an older incarnation and
     * routes whose counts are lower than those of an earlier report.
     */
    void addReport(const EvidenceMessage &report);

    /** Returns a description of the fault found, or an empty text. */
    std::string fault() const;
    /** Returns the number of requests to the candidate in all reports. */
    std::uint64_t candidateRequests() const { return m_candidateRequests; }
    /** Returns the number of requests in all reports that the candidate refused. */
    std::uint64_t candidateRefused() const { return m_candidateRefused; }
};

} // namespace jacinthshift

#endif // MODULES_RELEASE_RELEASE_JUDGE_H
