#include "modules/release/fault_detector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

#include "core/text.h"
#include "modules/release/evidence_counter.h"

namespace jacinthshift {

namespace {

constexpr double MinBaseline = 0.005;
// If the stable arm fails at this rate, failures are no evidence against the candidate.
constexpr double MaxRate = 0.95;
constexpr double MaxBaseline = MaxRate;
constexpr double UpperBoundDeviations = 2.0; // Standard deviations; see upperRate().
// Factor by which the recent request counts of both arms decay at each report.
constexpr double RequestCountDecay = 0.9;
// The alternative rates of the CUSUMs: the baseline plus these fractions of its distance to 1.
constexpr std::array<double, FaultDetector::AlternativeCount> AlternativeFractions = {0.05, 0.2,
                                                                                      0.5, 0.9};
// Part of the stable arm's requests that take longer than the percentile that slowness refers to.
constexpr double SlowTailFraction = 0.25;

/** Returns an upper confidence bound of the rate bad / total. */
double upperRate(double bad, double total)
{
    return (bad + UpperBoundDeviations * std::sqrt(bad + 1.0)) / std::max(total, 1.0);
}

} // namespace

const std::array<FaultDetector::SlownessTest, FaultDetector::SlownessTestCount>
        FaultDetector::slownessTests = {{
                {.bucketOffset = LatencyBucketsPerOctave, .margin = 0.07},
                {.bucketOffset = LatencyBucketsPerOctave * 3 / 2, .margin = 0.03},
        }};

void FaultDetector::Cusum::add(double bad, double good, double baseline)
{
    for (std::size_t i = 0; i < AlternativeCount; ++i) {
        const double rate =
                std::min(baseline + AlternativeFractions[i] * (1.0 - baseline), MaxRate);
        const double step =
                bad * std::log(rate / baseline) + good * std::log((1.0 - rate) / (1.0 - baseline));
        sums[i] = std::max(0.0, sums[i] + step);
    }
}

double FaultDetector::Cusum::highest() const
{
    return *std::max_element(sums.begin(), sums.end());
}

void FaultDetector::Baseline::add(const ArmEvidence &delta, double window)
{
    requests += static_cast<double>(delta.requests);
    failures += static_cast<double>(delta.failures);
    for (std::size_t i = 0; i < LatencyBucketCount; ++i)
        latency[i] += static_cast<double>(delta.latency[i]);
    if (requests <= window)
        return;
    const double scale = window / requests;
    requests *= scale;
    failures *= scale;
    for (double &count : latency)
        count *= scale;
}

double FaultDetector::Baseline::successes() const
{
    return successesFrom(0);
}

double FaultDetector::Baseline::successesFrom(std::size_t bucket) const
{
    return std::accumulate(latency.begin() + static_cast<std::ptrdiff_t>(bucket), latency.end(),
                           0.0);
}

void FaultDetector::add(const ArmEvidence &stable, const ArmEvidence &candidate)
{
    m_longTermBaseline.add(stable, m_options.longTermWindow);
    m_recentStableRequests =
            m_recentStableRequests * RequestCountDecay + static_cast<double>(stable.requests);
    m_recentCandidateRequests =
            m_recentCandidateRequests * RequestCountDecay + static_cast<double>(candidate.requests);
    m_recentBaseline.add(stable, recentWindow());
    addCandidate(candidate);
}

double FaultDetector::recentWindow() const
{
    const double stablePerCandidate =
            m_recentStableRequests / std::max(m_recentCandidateRequests, 1.0);
    return std::clamp(stablePerCandidate * m_options.recentWindowCandidateRequests,
                      m_options.minRecentWindow, m_options.maxRecentWindow);
}

double FaultDetector::failureBaseline() const
{
    if (m_longTermBaseline.requests < m_options.minBaselineSamples) {
        const double observedRate =
                m_longTermBaseline.failures / (m_longTermBaseline.requests + 1.0);
        return std::clamp(observedRate, m_options.assumedFailureRate, MaxBaseline);
    }
    const double rate =
            std::max(upperRate(m_longTermBaseline.failures, m_longTermBaseline.requests),
                     upperRate(m_recentBaseline.failures, m_recentBaseline.requests));
    return std::clamp(rate + m_options.failureMargin, MinBaseline, MaxBaseline);
}

std::size_t FaultDetector::slowBucket(const SlownessTest &test) const
{
    const double total = m_longTermBaseline.successes();
    std::size_t bucket = 0;
    while (bucket + 1 < LatencyBucketCount
           && m_longTermBaseline.successesFrom(bucket + 1) > total * SlowTailFraction)
        ++bucket;
    return std::min(bucket + 1 + test.bucketOffset, LatencyBucketCount - 1);
}

double FaultDetector::slownessBaseline(const SlownessTest &test, std::size_t firstSlowBucket) const
{
    const double rate = std::max(upperRate(m_longTermBaseline.successesFrom(firstSlowBucket),
                                           m_longTermBaseline.successes()),
                                 upperRate(m_recentBaseline.successesFrom(firstSlowBucket),
                                           m_recentBaseline.successes()));
    return std::clamp(rate + test.margin, MinBaseline, MaxBaseline);
}

void FaultDetector::addSlowness(const ArmEvidence &delta)
{
    for (std::size_t i = 0; i < SlownessTestCount; ++i) {
        const std::size_t firstSlowBucket = slowBucket(slownessTests[i]);
        double slowCount = 0.0;
        double fastCount = 0.0;
        for (std::size_t bucket = 0; bucket < LatencyBucketCount; ++bucket)
            (bucket >= firstSlowBucket ? slowCount : fastCount) +=
                    static_cast<double>(delta.latency[bucket]);
        m_slownessCusums[i].add(slowCount, fastCount,
                                slownessBaseline(slownessTests[i], firstSlowBucket));
        if (m_slownessCusums[i].highest() <= m_options.threshold + std::log(SlownessTestCount))
            continue;
        const auto bound = std::chrono::duration_cast<std::chrono::milliseconds>(
                lowerBoundOfBucket(firstSlowBucket));
        m_fault = joinText(
                "the candidate is slow: too many of its requests took ", bound.count(),
                " ms or longer, against a 75th percentile of the stable version of ", "at most ",
                std::chrono::duration_cast<std::chrono::milliseconds>(
                        lowerBoundOfBucket(firstSlowBucket - slownessTests[i].bucketOffset))
                        .count(),
                " ms");
        return;
    }
}

void FaultDetector::addCandidate(const ArmEvidence &delta)
{
    m_candidate.requests += delta.requests;
    m_candidate.failures += delta.failures;
    m_candidate.refused += delta.refused;
    if (isFaulty() || delta.requests == 0)
        return;
    const double failures = static_cast<double>(delta.failures);
    const double successes = static_cast<double>(delta.requests - delta.failures);
    m_failureCusum.add(failures, successes, failureBaseline());
    if (m_failureCusum.highest() > m_options.threshold) {
        m_fault = joinText(m_candidate.failures, " of ", m_candidate.requests,
                           " requests to the candidate failed, against ",
                           static_cast<std::int64_t>(m_longTermBaseline.failures), " of the last ",
                           static_cast<std::int64_t>(m_longTermBaseline.requests),
                           " to the stable version");
        return;
    }
    if (m_longTermBaseline.requests < m_options.minBaselineSamples)
        return;
    addSlowness(delta);
}

} // namespace jacinthshift
