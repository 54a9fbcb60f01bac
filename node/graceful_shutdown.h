#ifndef NODE_GRACEFUL_SHUTDOWN_H
#define NODE_GRACEFUL_SHUTDOWN_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "servers/timer_service.h"

namespace jacinthshift {

/** What a part of the process has not finished yet. */
struct UnfinishedWork
{
    std::size_t items = 0; ///< Requests, responses or connections.
    std::size_t bytes = 0; ///< Held for them; zero if not known.
};

/** Something that a process finishes before it ends. */
struct ShutdownTask
{
    std::string name; ///< In the log and the metrics.
    /** The process ends without it when the shutdown has taken this long. */
    std::chrono::milliseconds limit{0};
    std::function<UnfinishedWork()> unfinished;
};

/** Something that is done once, when the shutdown has taken a certain time. */
struct ShutdownStep
{
    std::chrono::milliseconds after{0};
    std::function<void()> action;
};

struct GracefulShutdownOptions
{
    std::chrono::milliseconds checkPeriod{50};
};

/**
 * Decides when a process that was asked to stop may end: when all of its tasks are finished or have
 * reached their limits.
 */
class GracefulShutdown
{
    GracefulShutdownOptions m_options;
    TimerService &m_timers;
    std::vector<ShutdownTask> m_tasks;
    std::vector<ShutdownStep> m_steps;
    std::chrono::milliseconds m_minDuration{0};
    std::function<void()> m_finished;
    SteadyTime m_startedAt;
    Timer m_checkTimer;
    std::string m_waitsFor; ///< Names of the unfinished tasks at the last check.

    void check();
    /** Returns what each task has not finished. */
    std::vector<UnfinishedWork> unfinishedWork() const;
    /** Returns the unfinished tasks as "NAME ITEMS (BYTES bytes), ...". */
    std::string describe(const std::vector<UnfinishedWork> &unfinished) const;
    /** Logs for which tasks the process waits, if these have changed. */
    void logWaiting(const std::vector<UnfinishedWork> &unfinished);
    void takeDueSteps();

public:
    GracefulShutdown(const GracefulShutdownOptions &options, TimerService &timers)
        : m_options(options), m_timers(timers)
    {
    }

    void addTask(ShutdownTask task) { m_tasks.push_back(std::move(task)); }
    /** Adds a task of which only the number of items is known. */
    void addTask(std::string name, std::chrono::milliseconds limit,
                 std::function<std::size_t()> count);
    void addStep(ShutdownStep step) { m_steps.push_back(std::move(step)); }

    /**
     * Starts the shutdown and takes the steps that are due. All its times count from when the
     * process was asked to stop. The callback runs when the process may end, which is not before
     * the given duration.
     */
    void begin(SteadyTime askedAt, std::chrono::milliseconds minDuration,
               std::function<void()> finished);
    bool isActive() const { return m_startedAt != SteadyTime(); }
    /** Returns the time since the process was asked to stop, or zero. */
    std::chrono::milliseconds elapsed() const;
    const std::vector<ShutdownTask> &tasks() const { return m_tasks; }
};

} // namespace jacinthshift

#endif // NODE_GRACEFUL_SHUTDOWN_H
