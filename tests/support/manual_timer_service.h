#ifndef TESTS_SUPPORT_MANUAL_TIMER_SERVICE_H
#define TESTS_SUPPORT_MANUAL_TIMER_SERVICE_H

#include <map>
#include <set>
#include <utility>

#include "servers/timer_service.h"

namespace jacinthshift {

/** A timer service whose clock advances only when the test calls advance(). */
class ManualTimerService final : public TimerService
{
    struct TimerEntry
    {
        SteadyTime due;
        std::chrono::milliseconds period{0}; ///< 0 for a timer that fires once.
        Callback callback;
    };

    SteadyTime m_now{std::chrono::hours(1)};
    std::map<std::uint64_t, TimerEntry> m_timerEntries;
    std::set<std::pair<SteadyTime, std::uint64_t>> m_order; ///< Due times and ids of all timers.
    std::uint64_t m_lastId = 0;

    TimerId add(std::chrono::milliseconds delay, std::chrono::milliseconds period,
                Callback callback)
    {
        m_timerEntries[++m_lastId] = {m_now + delay, period, std::move(callback)};
        m_order.emplace(m_now + delay, m_lastId);
        return static_cast<TimerId>(m_lastId);
    }

public:
    SteadyTime now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
    }
    TimerId startOnce(std::chrono::milliseconds delay, Callback callback) override
    {
        return add(delay, std::chrono::milliseconds(0), std::move(callback));
    }
    TimerId startPeriodic(std::chrono::milliseconds period, Callback callback) override
    {
        return add(period, period, std::move(callback));
    }
    void stop(TimerId id) override
    {
        const auto found = m_timerEntries.find(static_cast<std::uint64_t>(id));
        if (found == m_timerEntries.end())
            return;
        m_order.erase({found->second.due, found->first});
        m_timerEntries.erase(found);
    }

    /** Advances the clock and runs the timers that become due, in order. */
    void advance(std::chrono::milliseconds time)
    {
        const SteadyTime end = m_now + time;
        while (!m_order.empty() && m_order.begin()->first <= end) {
            const auto [due, id] = *m_order.begin();
            m_order.erase(m_order.begin());
            m_now = std::max(m_now, due);
            const auto next = m_timerEntries.find(id);
            const Callback callback = next->second.callback;
            if (next->second.period.count() > 0) {
                next->second.due += next->second.period;
                m_order.emplace(next->second.due, id);
            } else {
                m_timerEntries.erase(next);
            }
            callback();
        }
        m_now = end;
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_MANUAL_TIMER_SERVICE_H
