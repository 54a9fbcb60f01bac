#ifndef MODULES_ROLLOUT_ROLLOUT_JUDGE_H
#define MODULES_ROLLOUT_ROLLOUT_JUDGE_H

#include <map>
#include <string>
#include <utility>

#include "modules/fleet/messages.h"
#include "modules/release/fault_detector.h"

namespace jacinthshift {

/**
 * Aggregates the request counts that owners report for a service's versions and runs a fault
 * detector per route.
 */
class RolloutJudge
{
    /** The last report of an owner. */
    struct Reporter
    {
        std::pair<std::uint64_t, std::uint64_t> position; ///< Incarnation and sequence.
        std::string backend;
        std::map<std::string, ArmEvidence> routes;
    };

    std::string m_targetVersion;
    FaultDetectorOptions m_options;
    std::map<std::string, Reporter> m_reporters;
    std::map<std::string, FaultDetector> m_detectors;
    std::uint64_t m_candidateRequests = 0;

public:
    RolloutJudge(std::string targetVersion, const FaultDetectorOptions &options)
        : m_targetVersion(std::move(targetVersion)), m_options(options)
    {
    }

    /**
     * Adds the requests counted since the owner's last report. Reports hold cumulative counts,
     * which start from zero for a new backend server and a restarted owner. Returns false for a
     * report that is not newer than the last one: reports can arrive on several ways.
     */
    bool addReport(const VersionEvidenceMessage &report);

    /** Returns a description of the fault found, or an empty text. */
    std::string fault() const;
    /** Returns the number of requests to the new version in all reports. */
    std::uint64_t candidateRequests() const { return m_candidateRequests; }
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_ROLLOUT_JUDGE_H
