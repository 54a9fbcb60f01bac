#ifndef MODULES_ADMISSION_CONCURRENCY_LIMIT_H
#define MODULES_ADMISSION_CONCURRENCY_LIMIT_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

struct ConcurrencyLimitOptions
{
    std::uint32_t initial = 1;
    std::uint32_t shortRound = 3; ///< Answers averaged at least after a change of the limit.
    std::uint32_t longRound = 30; ///< Answers averaged at least while the limit stands.
    double outlier = 2.0;   ///< While the limit stands, latencies count up to this multiple only.
    double overload = 1.25; ///< A mean latency above this multiple of the floor is too much.
    double comfort = 1.15;  ///< The limit grows only below this multiple.
    std::chrono::milliseconds noise{1}; ///< Added to both bounds.
    double stallFactor = 1.3;           ///< Running requests older than this multiple are stalled,
    double stallDeviations = 4.0;       ///< and older than the floor by so many deviations.
    std::chrono::milliseconds stallLeast{5}; ///< and by at least this; less is jitter.
    double decrease = 0.6;                   ///< The factor after a refusal or a failure.
    std::chrono::milliseconds ceilingHold{
            2'000}; ///< How long a limit that was too high is shunned.
};

/** How one request to a backend server ended. */
enum class WorkOutcome {
    Success,
    Shed,   ///< The backend server refused it for load.
    Failed, ///< It failed or gave no whole answer.
};

/**
 * Decides how many requests a backend server may run at once.
 *
 * It starts low, since a new backend server is cold. After each round of answers the mean latency
 * is compared with the lowest one known, the floor: near the floor the limit grows by one, clearly
 * above it falls in proportion. Answers that started at the limit are averaged by themselves as
 * well, since only they show what the limit does. It falls at once on refusals and failures. What
 * the backend server says of itself is only an upper bound.
 */
class ConcurrencyLimit
{
    /** What the limit did last; a limit that stands is judged by longer rounds. */
    enum class Phase { Raised, Lowered, Standing };

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
    std::uint32_t m_ceiling = 1;
    double m_deviation = 0.0; ///< The usual distance of an answer from the floor, in milliseconds.
    double m_floor = 0.0;     ///< In milliseconds; 0 until the first round has ended.
    Mean m_round;             ///< All answers since the last decision.
    Mean m_fullRound;         ///< Those that started when the limit was used up.
    Phase m_phase = Phase::Standing;
    SteadyTime m_changedAt;
    SteadyTime m_ceilingUntil;
    std::uint32_t m_held = 0;   ///< How many may run after a late answer; 0 without one.
    std::uint32_t m_reopen = 0; ///< Up to here it grows with each answer, then with each round.
    std::uint32_t m_heldRound = 0;
    SteadyTime m_heldSince;

    void hold(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning);
    void loosen();

    void change(SteadyTime now, std::uint32_t limit);
    void lower(SteadyTime now, std::uint32_t limit);
    std::uint32_t roundSize() const;
    void endRound(SteadyTime now);
    double noise() const { return static_cast<double>(m_options.noise.count()); }

public:
    ConcurrencyLimit(const ConcurrencyLimitOptions &options, std::uint32_t slots);

    std::uint32_t limit() const { return m_limit; }
    /** Returns how many may run now: the limit, or fewer after a late answer. */
    std::uint32_t allowed() const;
    std::uint32_t slots() const { return m_slots; }
    /** Returns the latency without load; zero until it is known. */
    std::chrono::milliseconds floorLatency() const
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(m_floor));
    }
    /** Returns the age from which a running request counts as stalled; zero if unknown. */
    std::chrono::milliseconds stallAge() const;

    /**
     * Notes an answer to a request and how many others still run. One that came as late as a
     * stalled request is not replaced by another: it is the first sign of a backend server that has
     * turned cold. Answers in time to later requests open the limit again, first one for one up to
     * half of what ran, then round by round.
     */
    void answered(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning);
    /** Takes the outcome of a request that started when inFlight requests ran, itself included. */
    void finished(SteadyTime now, SteadyTime startedAt, WorkOutcome outcome,
                  std::uint32_t inFlight);
    /** Notes that running requests are overdue, the oldest of which started at that time. */
    void stalled(SteadyTime now, SteadyTime oldestStart, std::uint32_t inFlight);
    /** Starts again from cold. */
    void restart(std::uint32_t slots);
};

} // namespace jacinthshift

#endif // MODULES_ADMISSION_CONCURRENCY_LIMIT_H
