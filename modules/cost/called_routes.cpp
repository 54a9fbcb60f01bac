#include "modules/cost/called_routes.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

bool CalledRoutes::isActive(const Activity &activity, SteadyTime now) const
{
    return activity.running > 0
           || (activity.endedAt != SteadyTime() && now - activity.endedAt < m_options.runTail);
}

double CalledRoutes::activeFraction(const Activity &activity, SteadyTime now) const
{
    std::chrono::duration<double> active = activity.activeTime;
    if (isActive(activity, now))
        active += now - activity.activeSince;
    const std::chrono::duration<double> observed = now - m_observesFrom;
    return observed.count() <= 0.0 ? 1.0 : std::min(1.0, active / observed);
}

void CalledRoutes::runStarted(const std::string &route, SteadyTime now)
{
    Activity &activity = m_runs[route];
    if (!isActive(activity, now)) {
        if (activity.endedAt != SteadyTime())
            activity.activeTime += activity.endedAt + m_options.runTail - activity.activeSince;
        activity.activeSince = std::max(now, m_observesFrom);
        activity.endedAt = SteadyTime();
    }
    ++activity.running;
}

void CalledRoutes::runEnded(const std::string &route, SteadyTime now)
{
    Activity &activity = m_runs[route];
    if (activity.running > 0)
        --activity.running;
    // An activity before the start of the observation has no part in it.
    activity.endedAt = std::max(now, m_observesFrom - m_options.runTail);
}

void CalledRoutes::requestArrived(const std::string &route, SteadyTime now)
{
    if (now < m_observesFrom)
        return;
    Arrivals &arrivals = m_arrivals[route];
    ++arrivals.count;
    for (const auto &[run, activity] : m_runs) {
        if (run == route || !isActive(activity, now))
            continue;
        Coincidence &coincidence = arrivals.byRun[run];
        ++coincidence.arrivals;
        coincidence.logChance += std::log(std::max(activeFraction(activity, now), 1e-3));
    }
}

double CalledRoutes::outcomeDecay(const Arrivals &arrivals, SteadyTime now) const
{
    const std::chrono::duration<double> age = now - arrivals.outcomesAt;
    return std::pow(0.5, age / std::chrono::duration<double>(m_options.outcomeHalfLife));
}

void CalledRoutes::requestEnded(const std::string &route, bool refused,
                                std::chrono::milliseconds retryAfter, SteadyTime now)
{
    const auto found = m_arrivals.find(route);
    if (found == m_arrivals.end())
        return;
    Arrivals &arrivals = found->second;
    const double decay = outcomeDecay(arrivals, now);
    arrivals.ended = arrivals.ended * decay + 1.0;
    arrivals.refused = arrivals.refused * decay + (refused ? 1.0 : 0.0);
    arrivals.outcomesAt = now;
    if (refused)
        arrivals.retryAfter = retryAfter;
}

bool CalledRoutes::isCalledBy(const Arrivals &arrivals, const std::string &run) const
{
    const auto found = arrivals.byRun.find(run);
    return found != arrivals.byRun.end() && found->second.arrivals == arrivals.count
           && arrivals.count >= m_options.minArrivals
           && found->second.logChance <= std::log(m_options.maxChance);
}

bool CalledRoutes::isCalled(const std::string &route) const
{
    const auto found = m_arrivals.find(route);
    if (found == m_arrivals.end())
        return false;
    return std::any_of(
            found->second.byRun.begin(), found->second.byRun.end(),
            [&](const auto &coincidence) { return isCalledBy(found->second, coincidence.first); });
}

std::optional<std::chrono::milliseconds> CalledRoutes::refusal(const std::string &run,
                                                               SteadyTime now)
{
    for (const auto &[route, arrivals] : m_arrivals) {
        if (!isCalledBy(arrivals, run))
            continue;
        const double decay = outcomeDecay(arrivals, now);
        if (arrivals.ended * decay < m_options.minOutcomes
            || arrivals.refused < arrivals.ended * m_options.maxRefusedShare)
            continue;
        if (++m_refusedRuns % m_options.probeInterval == 0)
            return std::nullopt;
        return std::max(arrivals.retryAfter, m_options.minRetryAfter);
    }
    return std::nullopt;
}

} // namespace jacinthshift
