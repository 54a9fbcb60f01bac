#ifndef MODULES_ADMISSION_CONCURRENCY_LIMIT_H
#define MODULES_ADMISSION_CONCURRENCY_LIMIT_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

/** Options of a ConcurrencyLimit. Factors without another base are multiples of the baseline. */
struct ConcurrencyLimitOptions
{
    std::uint32_t initialLimit = 1;          ///< The limit of a cold backend server.
    std::uint32_t minSamplesAfterChange = 3; ///< Answers averaged after a change of the limit.
    std::uint32_t minSamplesWhenSteady = 30; ///< Answers averaged while the limit is steady.
    double outlierFactor = 2.0;   ///< Latencies above this multiple are clamped while steady.
    double overloadFactor = 1.25; ///< A mean latency above this multiple lowers the limit.
    double growthFactor = 1.15;   ///< The limit is raised only up to this multiple.
    /** Added to the bounds of outliers, overload and growth. */
    std::chrono::milliseconds tolerance{1};
    /**
     * A running request is stalled if it is older than the baseline by (this factor - 1) times the
     * baseline, by stallDeviations mean deviations, and by minStallExcess.
     */
    double stallFactor = 1.3;
    double stallDeviations = 4.0;
    std::chrono::milliseconds minStallExcess{5}; ///< Smaller differences are jitter.
    double decreaseFactor = 0.6; ///< Multiplies the limit after a refusal or a failure.
    /** How long the limit stays below a value that was too high. */
    std::chrono::milliseconds ceilingDuration{2'000};
};

/** How one request to a backend server ended. */
enum class WorkOutcome {
    Success,
    Shed,   ///< The backend server refused it because of overload.
    Failed, ///< It failed or its answer was incomplete.
};

/**
 * Adaptive limit of the requests in flight at one backend server.
 *
 * The limit starts low, since a new backend server is cold. After each window of answers the mean
 * latency is compared with the baseline, the lowest mean latency so far: close to the baseline the
 * limit is raised by one, clearly above it is lowered in proportion. Requests that started with the
 * limit used up are averaged separately as well, since only they show the effect of the limit.
 * Refusals and failures lower the limit at once. The number of slots that the backend server
 * announces is only an upper bound.
 */
class ConcurrencyLimit
{
    /** The last change of the limit. A steady limit is evaluated over longer windows. */
    enum class Phase { Raised, Lowered, Steady };

    struct Mean
    {
        double sum = 0.0;
        std::uint32_t count = 0;

        void add(double value)
        {
            sum += value;
            ++count;
        }
        double value() const { return count == 0 ? 0.0 : sum / count; }
    };

    ConcurrencyLimitOptions m_options;
    std::uint32_t m_slots = 1;
    std::uint32_t m_limit = 1;
    std::uint32_t m_ceiling = 1; ///< The limit is not raised above it until m_ceilingUntil.
    double m_deviation = 0.0; ///< Mean distance of the latency from the baseline, in milliseconds.
    double m_baseline = 0.0;  ///< In milliseconds; 0 until the first window has ended.
    Mean m_window;            ///< Latencies of all answers since the last evaluation.
    Mean m_saturatedWindow;   ///< Only of requests that started with the limit used up.
    Phase m_phase = Phase::Steady;
    SteadyTime m_changedAt;
    SteadyTime m_ceilingUntil;
    std::uint32_t m_temporaryLimit = 0; ///< Limit in force after a late answer; 0 if there is none.
    /**
     * Below this value every timely answer raises m_temporaryLimit by one; from it on, every
     * m_temporaryLimit timely answers do.
     */
    std::uint32_t m_fastRecoveryLimit = 0;
    std::uint32_t m_timelyAnswers = 0; ///< Timely answers since the last raise.
    SteadyTime m_temporaryLimitSince;

    void restrictAfterLateAnswer(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning);
    void relaxTemporaryLimit();

    void applyLimit(SteadyTime now, std::uint32_t limit);
    void lowerLimit(SteadyTime now, std::uint32_t limit);
    std::uint32_t windowSize() const;
    void evaluateWindow(SteadyTime now);
    double tolerance() const { return static_cast<double>(m_options.tolerance.count()); }

public:
    ConcurrencyLimit(const ConcurrencyLimitOptions &options, std::uint32_t slots);

    std::uint32_t limit() const { return m_limit; }
    /** Returns how many requests may run now: the limit, or fewer after a late answer. */
    std::uint32_t effectiveLimit() const;
    std::uint32_t slots() const { return m_slots; }
    /** Returns the latency without load; zero while it is unknown. */
    std::chrono::milliseconds baselineLatency() const
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(m_baseline));
    }
    /** Returns the age above which a running request counts as stalled; zero while unknown. */
    std::chrono::milliseconds stallThreshold() const;

    /**
     * Records an answer to a request and how many others still run.
     *
     * A request that took longer than stallThreshold() is not replaced by another, since it is the
     * first sign of a backend server that has turned cold. Timely answers to later requests raise
     * the effective limit again: by one per answer up to half of the requests that ran, then by one
     * per round of answers.
     */
    void answered(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning);
    /** Records the outcome of a request; inFlight is the number at its start, itself included. */
    void finished(SteadyTime now, SteadyTime startedAt, WorkOutcome outcome,
                  std::uint32_t inFlight);
    /** Lowers the limit because running requests are stalled; the oldest began at oldestStart. */
    void stalled(SteadyTime now, SteadyTime oldestStart, std::uint32_t inFlight);
    /** Returns to the state for a cold backend server with this many slots. */
    void reset(std::uint32_t slots);
};

} // namespace jacinthshift

#endif // MODULES_ADMISSION_CONCURRENCY_LIMIT_H
