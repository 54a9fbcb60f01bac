#ifndef MODULES_ROLLOUT_ROLLOUT_JUDGE_H
#define MODULES_ROLLOUT_ROLLOUT_JUDGE_H

#include <map>
#include <string>

#include "modules/fleet/messages.h"
#include "modules/release/fault_detector.h"

namespace jacinthshift {

/** Sums up what owners have counted of a service's versions and looks for faults, route by route.
 */
class RolloutJudge
{
    struct Reporter
    {
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

    /** Takes a node's counts since its process began; they replace its earlier ones. */
    void addReport(const std::string &node, const VersionEvidenceMessage &report);

    /** Returns the fault that was found in words, or an empty text. */
    std::string fault() const;
    std::uint64_t candidateRequests() const { return m_candidateRequests; }
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_ROLLOUT_JUDGE_H
