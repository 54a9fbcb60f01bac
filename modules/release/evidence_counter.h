#ifndef MODULES_RELEASE_EVIDENCE_COUNTER_H
#define MODULES_RELEASE_EVIDENCE_COUNTER_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "modules/mesh/messages.h"

namespace jacinthshift {

/** One of the two versions that serve requests during a release. */
enum class ReleaseArm { Stable, Candidate };

/** The result of a request as seen by the node that sent it. */
enum class RequestResult {
    Succeeded,
    Failed,
    Refused, ///< The arm did not accept it; it is not counted in ArmEvidence::requests.
};

/** Identifies one route of one service within a release. */
struct RouteKey
{
    std::string service;
    std::string route;

    auto operator<=>(const RouteKey &) const = default;
};

/** The result of one request to either arm of a release. */
struct RequestSample
{
    std::string release;
    RouteKey route;
    ReleaseArm arm = ReleaseArm::Stable;
    RequestResult result = RequestResult::Succeeded;
    std::chrono::microseconds latency{0}; ///< Counted for successful requests only.
};

/** Counts this node's requests to services in a release, per release, route and arm. */
class EvidenceCounter
{
public:
    using Routes = std::map<RouteKey, RouteEvidence>;

private:
    std::map<std::string, Routes> m_releases; ///< By release id.

public:
    void add(const RequestSample &sample);
    /** Returns the cumulative counts of each route of a release. */
    std::vector<RouteEvidence> evidenceByRoute(const std::string &release) const;
    /** Drops the counts of releases that are not in the list. */
    void keepOnly(const std::vector<std::string> &releases);
};

/** Returns the histogram bucket of a latency; see ArmEvidence::latency. */
std::size_t latencyBucket(std::chrono::microseconds latency);

/** Returns the shortest latency that a bucket, less than LatencyBucketCount, counts. */
std::chrono::microseconds lowerBoundOfBucket(std::size_t bucket);

/** Adds the counts in `part` to `total`. */
void addEvidence(ArmEvidence &total, const ArmEvidence &part);

/** Returns later - earlier, count by count. */
ArmEvidence evidenceSince(const ArmEvidence &later, const ArmEvidence &earlier);

} // namespace jacinthshift

#endif // MODULES_RELEASE_EVIDENCE_COUNTER_H
