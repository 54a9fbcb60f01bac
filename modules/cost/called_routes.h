#ifndef MODULES_COST_CALLED_ROUTES_H
#define MODULES_COST_CALLED_ROUTES_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "servers/timer_service.h"

namespace jacinthshift {

struct CalledRoutesOptions
{
    /**
     * Nothing is observed for this time: the backend server may still run requests that an earlier
     * process of this node sent. Longer than the longest deadline of callers.
     */
    std::chrono::milliseconds startupTime{10'000};
    /** After its end here, a cancelled run may go on for this time and make calls. */
    std::chrono::milliseconds runTail{300};
    std::uint32_t minArrivals = 100; ///< Observations before a route may count as called.
    /** Highest probability of the observations if the route's requests had nothing to do with runs.
     */
    double maxChance = 1e-9;
    /** Half-life of the counts of refused calls. */
    std::chrono::milliseconds outcomeHalfLife{1'000};
    double minOutcomes = 3.0; ///< Recent calls without which the refused share is not known.
    /** Refused share of its calls from which a run would most likely fail. */
    double maxRefusedShare = 0.5;
    /** One of so many runs is started nevertheless, to notice that its calls succeed again. */
    std::uint32_t probeInterval = 8;
    std::chrono::milliseconds minRetryAfter{100};
};

/**
 * Learns by observation which routes this VM's backend server calls while it runs requests, and
 * whether those calls are refused at present.
 *
 * A route counts as called by another only if all its requests arrived while that one ran, and if
 * that can hardly be chance. In doubt, its requests are those of callers.
 */
class CalledRoutes
{
    /** When requests of a route ran on the backend server. */
    struct Activity
    {
        std::uint32_t running = 0;
        SteadyTime activeSince;                      ///< Start of the current or latest activity.
        SteadyTime endedAt;                          ///< End of the latest run.
        std::chrono::duration<double> activeTime{0}; ///< Of ended activities, with their tails.
    };
    /** What was observed of a route's requests while another route ran. */
    struct Coincidence
    {
        std::uint64_t arrivals = 0;
        double logChance = 0.0; ///< Logarithm of the probability that all coincide by chance.
    };
    struct Arrivals
    {
        std::uint64_t count = 0;
        std::map<std::string, Coincidence> byRun;
        double ended = 0.0;   ///< Recent ends, decayed.
        double refused = 0.0; ///< Those of them that were refused.
        SteadyTime outcomesAt;
        std::chrono::milliseconds retryAfter{0}; ///< Of the latest refused one.
    };

    CalledRoutesOptions m_options;
    SteadyTime m_observesFrom;
    std::map<std::string, Activity> m_runs;
    std::map<std::string, Arrivals> m_arrivals;
    std::uint32_t m_refusedRuns = 0;

    bool isActive(const Activity &activity, SteadyTime now) const;
    /** Returns the fraction of the observed time in which a route ran. */
    double activeFraction(const Activity &activity, SteadyTime now) const;
    bool isCalledBy(const Arrivals &arrivals, const std::string &run) const;
    double outcomeDecay(const Arrivals &arrivals, SteadyTime now) const;

public:
    CalledRoutes(const CalledRoutesOptions &options, SteadyTime startedAt)
        : m_options(options), m_observesFrom(startedAt + options.startupTime)
    {
    }

    /** Records that a request of a route starts or ends on this VM's backend server. */
    void runStarted(const std::string &route, SteadyTime now);
    void runEnded(const std::string &route, SteadyTime now);
    /** Records a request that arrived at this node from its VM or from a caller. */
    void requestArrived(const std::string &route, SteadyTime now);
    /** Records the end of such a request. */
    void requestEnded(const std::string &route, bool refused, std::chrono::milliseconds retryAfter,
                      SteadyTime now);

    /** Returns whether the requests of a route are calls of this VM's backend server. */
    bool isCalled(const std::string &route) const;
    /**
     * Returns after which time to try again if a run would most likely fail as its calls are
     * refused, otherwise nothing. Some runs are let through as probes.
     */
    std::optional<std::chrono::milliseconds> refusal(const std::string &run, SteadyTime now);
    std::uint32_t refusedRuns() const { return m_refusedRuns; }
};

} // namespace jacinthshift

#endif // MODULES_COST_CALLED_ROUTES_H
