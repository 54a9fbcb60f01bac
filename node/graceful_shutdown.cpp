#include "node/graceful_shutdown.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

void GracefulShutdown::begin(std::chrono::milliseconds minDuration, std::function<void()> finished)
{
    m_minDuration = minDuration;
    m_finished = std::move(finished);
    m_startedAt = m_timers.now();
    m_checkTimer =
            Timer(m_timers, m_timers.startPeriodic(m_options.checkPeriod, [this] { check(); }));
}

std::chrono::milliseconds GracefulShutdown::elapsed() const
{
    if (!isActive())
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_startedAt);
}

void GracefulShutdown::takeDueSteps()
{
    const std::chrono::milliseconds now = elapsed();
    for (ShutdownStep &step : m_steps) {
        if (step.action != nullptr && step.after <= now)
            std::exchange(step.action, nullptr)();
    }
}

void GracefulShutdown::check()
{
    takeDueSteps();
    const std::chrono::milliseconds now = elapsed();
    if (now < m_minDuration)
        return;
    const bool waits = std::any_of(m_tasks.begin(), m_tasks.end(), [now](const auto &task) {
        return now < task.limit && task.unfinished().items > 0;
    });
    if (waits) {
        logWaiting();
        return;
    }
    m_checkTimer.stop();
    UnfinishedWork cutOff;
    for (const ShutdownTask &task : m_tasks) {
        const UnfinishedWork work = task.unfinished();
        cutOff.items += work.items;
        cutOff.bytes += work.bytes;
    }
    logEvent(Event::NodeStopped, {{"cut_off", cutOff.items},
                                  {"cut_off_bytes", cutOff.bytes},
                                  {"unfinished", describeUnfinished()},
                                  {"ms", now.count()}});
    m_finished();
}

std::string GracefulShutdown::describeUnfinished() const
{
    std::string text;
    for (const ShutdownTask &task : m_tasks) {
        const UnfinishedWork work = task.unfinished();
        if (work.items > 0)
            text += joinText(text.empty() ? "" : ", ", task.name, " ", work.items, " (", work.bytes,
                             " bytes)");
    }
    return text;
}

void GracefulShutdown::logWaiting()
{
    std::string names;
    for (const ShutdownTask &task : m_tasks) {
        if (task.unfinished().items > 0)
            names += task.name + " ";
    }
    if (std::exchange(m_waitsFor, names) == names)
        return;
    logEvent(Event::ShutdownWaiting,
             {{"unfinished", describeUnfinished()}, {"ms", elapsed().count()}});
}

} // namespace jacinthshift
