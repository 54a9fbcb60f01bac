#include "node/loop_monitor.h"

#include <algorithm>

#include "core/logger.h"

namespace jacinthshift {

LoopMonitor::LoopMonitor(const LoopMonitorOptions &options, TimerService &timers)
    : m_options(options), m_timers(timers), m_lastMeasured(timers.now())
{
    m_timer = Timer(timers, timers.startPeriodic(options.period, [this] { measure(); }));
}

void LoopMonitor::measure()
{
    const SteadyTime now = m_timers.now();
    const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastMeasured);
    m_lastMeasured = now;
    m_delay = std::max(elapsed - m_options.period, std::chrono::milliseconds(0));
    m_maxDelay = std::max(m_maxDelay, m_delay);
    if (m_delay <= m_options.reportedDelay)
        return;
    ++m_reportedDelays;
    logEvent(Event::LoopDelayed, {{"ms", m_delay.count()}});
}

} // namespace jacinthshift
