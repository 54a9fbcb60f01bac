#ifndef NODE_LOOP_MONITOR_H
#define NODE_LOOP_MONITOR_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

struct LoopMonitorOptions
{
    std::chrono::milliseconds period{100};        ///< How often the lateness is measured.
    std::chrono::milliseconds reportedDelay{300}; ///< A greater lateness is logged and counted.
};

/**
 * Measures how late the event loop calls back. A late loop delays all answers, cancellations and
 * timeouts of the node.
 */
class LoopMonitor
{
    LoopMonitorOptions m_options;
    TimerService &m_timers;
    SteadyTime m_lastMeasured;
    std::chrono::milliseconds m_delay{0};
    std::chrono::milliseconds m_maxDelay{0};
    std::uint64_t m_reportedDelays = 0;
    Timer m_timer;

    void measure();

public:
    LoopMonitor(const LoopMonitorOptions &options, TimerService &timers);

    /** Returns the lateness at the last measurement. */
    std::chrono::milliseconds delay() const { return m_delay; }
    /** Returns the greatest lateness since the process started. */
    std::chrono::milliseconds maxDelay() const { return m_maxDelay; }
    /** Returns how many measurements have exceeded reportedDelay. */
    std::uint64_t reportedDelays() const { return m_reportedDelays; }
};

} // namespace jacinthshift

#endif // NODE_LOOP_MONITOR_H
