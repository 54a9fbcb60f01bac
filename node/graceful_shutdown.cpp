#include "node/graceful_shutdown.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

void GracefulShutdown::addTask(std::string name, std::chrono::milliseconds limit,
                               std::function<std::size_t()> count)
{
    addTask({.name = std::move(name), .limit = limit, .unfinished = [count = std::move(count)] {
                 return UnfinishedWork{.items = count()};
             }});
}

void GracefulShutdown::begin(SteadyTime askedAt, std::chrono::milliseconds minDuration,
                             std::function<void()> finished)
{
    m_minDuration = minDuration;
    m_finished = std::move(finished);
    m_startedAt = askedAt;
    std::stable_sort(m_steps.begin(), m_steps.end(),
                     [](const auto &a, const auto &b) { return a.after < b.after; });
    m_checkTimer =
            Timer(m_timers, m_timers.startPeriodic(m_options.checkPeriod, [this] { check(); }));
    takeDueSteps();
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
    const std::vector<UnfinishedWork> unfinished = unfinishedWork();
    UnfinishedWork cutOff;
    bool waits = false;
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        waits = waits || (now < m_tasks[i].limit && unfinished[i].items > 0);
        cutOff.items += unfinished[i].items;
        cutOff.bytes += unfinished[i].bytes;
    }
    if (waits) {
        logWaiting(unfinished);
        return;
    }
    m_checkTimer.stop();
    logEvent(Event::NodeStopped, {{"cut_off", cutOff.items},
                                  {"cut_off_bytes", cutOff.bytes},
                                  {"unfinished", describe(unfinished)},
                                  {"ms", now.count()}});
    m_finished();
}

std::vector<UnfinishedWork> GracefulShutdown::unfinishedWork() const
{
    std::vector<UnfinishedWork> unfinished;
    for (const ShutdownTask &task : m_tasks)
        unfinished.push_back(task.unfinished());
    return unfinished;
}

std::string GracefulShutdown::describe(const std::vector<UnfinishedWork> &unfinished) const
{
    std::string text;
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        const UnfinishedWork &work = unfinished[i];
        if (work.items > 0)
            text += joinText(text.empty() ? "" : ", ", m_tasks[i].name, " ", work.items, " (",
                             work.bytes, " bytes)");
    }
    return text;
}

void GracefulShutdown::logWaiting(const std::vector<UnfinishedWork> &unfinished)
{
    std::string names;
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        if (unfinished[i].items > 0)
            names += m_tasks[i].name + " ";
    }
    if (std::exchange(m_waitsFor, names) == names)
        return;
    logEvent(Event::ShutdownWaiting,
             {{"unfinished", describe(unfinished)}, {"ms", elapsed().count()}});
}

} // namespace jacinthshift
