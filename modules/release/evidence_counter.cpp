#include "modules/release/evidence_counter.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

namespace {

using BucketBounds = std::array<std::chrono::microseconds, LatencyBucketCount - 1>;

/** Returns the upper bounds of all buckets but the last one. */
BucketBounds calculateBucketBounds()
{
    BucketBounds bounds;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        const double octaves = static_cast<double>(i) / LatencyBucketsPerOctave;
        bounds[i] = std::chrono::microseconds(std::llround(std::exp2(octaves) * 1'000.0));
    }
    return bounds;
}

const BucketBounds &bucketBounds()
{
    static const BucketBounds bounds = calculateBucketBounds();
    return bounds;
}

} // namespace

std::size_t latencyBucket(std::chrono::microseconds latency)
{
    const BucketBounds &bounds = bucketBounds();
    return static_cast<std::size_t>(std::upper_bound(bounds.begin(), bounds.end(), latency)
                                    - bounds.begin());
}

std::chrono::microseconds lowerBoundOfBucket(std::size_t bucket)
{
    return bucket == 0 ? std::chrono::microseconds(0) : bucketBounds()[bucket - 1];
}

void addEvidence(ArmEvidence &total, const ArmEvidence &part)
{
    total.requests += part.requests;
    total.failures += part.failures;
    total.refused += part.refused;
    for (std::size_t i = 0; i < LatencyBucketCount; ++i)
        total.latency[i] += part.latency[i];
}

ArmEvidence evidenceSince(const ArmEvidence &later, const ArmEvidence &earlier)
{
    ArmEvidence delta;
    delta.requests = later.requests - earlier.requests;
    delta.failures = later.failures - earlier.failures;
    delta.refused = later.refused - earlier.refused;
    for (std::size_t i = 0; i < LatencyBucketCount; ++i)
        delta.latency[i] = later.latency[i] - earlier.latency[i];
    return delta;
}

void EvidenceCounter::add(const RequestSample &sample)
{
    RouteEvidence &route = m_releases[sample.release][sample.route];
    route.service = sample.route.service;
    route.route = sample.route.route;
    ArmEvidence &arm = sample.arm == ReleaseArm::Stable ? route.stable : route.candidate;
    if (sample.result == RequestResult::Refused) {
        ++arm.refused;
        return;
    }
    ++arm.requests;
    if (sample.result == RequestResult::Failed)
        ++arm.failures;
    else
        ++arm.latency[latencyBucket(sample.latency)];
}

std::vector<RouteEvidence> EvidenceCounter::evidenceByRoute(const std::string &release) const
{
    std::vector<RouteEvidence> routes;
    const auto found = m_releases.find(release);
    if (found == m_releases.end())
        return routes;
    for (const auto &[key, evidence] : found->second)
        routes.push_back(evidence);
    return routes;
}

void EvidenceCounter::keepOnly(const std::vector<std::string> &releases)
{
    std::erase_if(m_releases, [&releases](const auto &pair) {
        return std::find(releases.begin(), releases.end(), pair.first) == releases.end();
    });
}

} // namespace jacinthshift
