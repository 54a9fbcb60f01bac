#ifndef MODULES_RELEASE_FAULT_DETECTOR_H
#define MODULES_RELEASE_FAULT_DETECTOR_H

#include <array>
#include <cstdint>
#include <string>

#include "modules/mesh/messages.h"

namespace jacinthshift {

struct FaultDetectorOptions
{
    /**
     * The CUSUM value above which a fault is declared. With threshold h, false alarms occur on
     * average at most once in exp(h) requests (Lorden 1971).
     */
    double threshold = 18.4;
    double failureMargin = 0.01; ///< Failure rate allowed above the stable arm's baseline.
    /** Lower bound of the failure baseline until there are minBaselineSamples stable requests. */
    double assumedFailureRate = 0.2;
    double longTermWindow = 2'000.0; ///< Window of the long-term baseline, in stable requests.
    /**
     * Defines the window of the recent baseline: as many stable requests as arrive during this many
     * candidate requests, within the two bounds below. A candidate with few requests allows a long
     * window; one with as many requests as the stable arm needs a short window, so that the
     * baseline follows changes at once.
     */
    double recentWindowCandidateRequests = 10.0;
    double minRecentWindow = 20.0;    ///< Lower bound of the recent window, in stable requests.
    double maxRecentWindow = 400.0;   ///< Upper bound of the recent window, in stable requests.
    double minBaselineSamples = 20.0; ///< Stable requests needed before the baseline is used.
};

/**
 * Sequential test of one route of a candidate for failures and slowness.
 *
 * It runs CUSUMs of the log likelihood ratio against several failure rates. The baseline is the
 * worse of the stable arm's long-term rate and its recent rate, so a fault of the whole mesh is not
 * attributed to the candidate. A CUSUM never falls below zero, so earlier good requests do not
 * offset later failures: a fault that begins late is detected as fast as one that is present from
 * the start.
 */
class FaultDetector
{
public:
    static constexpr std::size_t AlternativeCount = 4;
    static constexpr std::size_t SlownessTestCount = 2;

private:
    /** Counts of the stable arm, scaled down so that they never exceed a window of requests. */
    struct Baseline
    {
        double requests = 0.0;
        double failures = 0.0;
        std::array<double, LatencyBucketCount> latency{};

        void add(const ArmEvidence &delta, double window);
        double successes() const;
        /** Returns the number of successful requests in this latency bucket and higher ones. */
        double successesFrom(std::size_t bucket) const;
    };
    /** One CUSUM for each alternative rate; see AlternativeFractions. */
    struct Cusum
    {
        std::array<double, AlternativeCount> sums{};

        void add(double bad, double good, double baseline);
        double highest() const;
    };

    /** Defines from which latency on a request counts as slow. */
    struct SlownessTest
    {
        /** That many buckets above the one that holds the 75th percentile of the stable arm. */
        std::size_t bucketOffset = 0;
        double margin = 0.0; ///< Rate of slow requests allowed above the stable arm's baseline.
    };
    static const std::array<SlownessTest, SlownessTestCount> slownessTests;

    FaultDetectorOptions m_options;
    ArmEvidence m_candidate;
    Baseline m_longTermBaseline;
    Baseline m_recentBaseline;
    double m_recentStableRequests = 0.0; ///< Decayed number of recent requests to the stable arm.
    double m_recentCandidateRequests = 0.0; ///< The same for the candidate.
    Cusum m_failureCusum;
    std::array<Cusum, SlownessTestCount> m_slownessCusums;
    std::string m_fault;

    void addCandidate(const ArmEvidence &delta);
    double recentWindow() const;
    double failureBaseline() const;
    /** Returns the first latency bucket of slow requests. */
    std::size_t slowBucket(const SlownessTest &test) const;
    double slownessBaseline(const SlownessTest &test, std::size_t firstSlowBucket) const;
    void addSlowness(const ArmEvidence &delta);

public:
    explicit FaultDetector(const FaultDetectorOptions &options) : m_options(options) {}

    /** Adds the counts of both arms since the last call. */
    void add(const ArmEvidence &stable, const ArmEvidence &candidate);
    /** Returns whether a fault has been declared; it stays declared. */
    bool isFaulty() const { return !m_fault.empty(); }
    /** Returns a description of the fault, or an empty text. */
    const std::string &fault() const { return m_fault; }
    /** Returns the cumulative counts of the candidate. */
    const ArmEvidence &candidate() const { return m_candidate; }
};

} // namespace jacinthshift

#endif // MODULES_RELEASE_FAULT_DETECTOR_H
