#ifndef MODULES_ADMISSION_CONCURRENCY_LIMIT_H
#define MODULES_ADMISSION_CONCURRENCY_LIMIT_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

/** Options of a ConcurrencyLimit. Factors are multiples of the baseline unless stated otherwise. */
struct ConcurrencyLimitOptions
{
    std::uint32_t initialLimit = 1;          ///< The limit of a cold backend server.
    std::uint32_t minSamplesAfterChange = 3; ///< Minimum answers per window after a change.
    std::uint32_t minSamplesWhenSteady = 30; ///< Minimum answers per window while steady.
    double outlierFactor = 2.0;   ///< Latencies are clamped to this multiple while steady.
    double overloadFactor = 1.25; ///< A mean latency above this multiple lowers the limit.
    double growthFactor = 1.15;   ///< The limit is not raised above this multiple.
    /** Added to the bounds of outliers, overload and growth. */
    std::chrono::milliseconds tolerance{1};
    /**
     * A running request is stalled if its age exceeds the baseline by more than each of these:
     * (stallFactor - 1) times the baseline, stallDeviations times the mean deviation, and
     * minStallExcess.
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
 * latency is compared with the baseline, which is the lowest mean latency so far. If the mean is
 * close to the baseline, the limit is raised by one; if it is clearly higher, the limit is lowered
 * in proportion. Requests that started while the limit was used up are also averaged separately,
 * since only they show the effect of the limit. Refusals and failures lower the limit at once. The
 * number of slots that the backend server announces is only an upper bound.
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
     * Below this value each timely answer raises m_temporaryLimit by one; at or above it, each
     * raise takes m_temporaryLimit timely answers.
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
    /** Returns the tolerance in milliseconds. */
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
     * Adjusts effectiveLimit() after an answer; stillRunning is the number of other requests in
     * flight. finished() has to be called as well.
     *
     * A request that took longer than stallThreshold() is not replaced by another, since it is the
     * first sign of a backend server that has turned cold. Timely answers to requests that started
     * after the late answer raise the effective limit again: by one per answer up to half of the
     * requests that ran, then by one per round of answers.
     */
    void answered(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning);
    /**
     * Adjusts limit() to the outcome of a request; inFlight is the number of requests in flight at
     * its start, itself included. Ignores requests that started before the last change of the
     * limit.
     */
    void finished(SteadyTime now, SteadyTime startedAt, WorkOutcome outcome,
                  std::uint32_t inFlight);
    /**
     * Lowers the limit to half of the requests in flight because some are stalled. Does nothing if
     * the oldest of them, started at oldestStart, is older than the last change of the limit.
     */
    void stalled(SteadyTime now, SteadyTime oldestStart, std::uint32_t inFlight);
    /** Returns to the state for a cold backend server with this many slots. */
    void reset(std::uint32_t slots);
};

} // namespace jacinthshift

#endif // MODULES_ADMISSION_CONCURRENCY_LIMIT_H
