#ifndef DRIVERS_EPOLL_EPOLL_LOOP_H
#define DRIVERS_EPOLL_EPOLL_LOOP_H

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <glib.h>

#include "drivers/glib/glib_source.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** Receives readiness events of a file descriptor. */
class DescriptorHandler
{
public:
    virtual ~DescriptorHandler() = default;

    /** Called with the epoll event bits. */
    virtual void descriptorReady(std::uint32_t events) = 0;
};

/** Is called at the beginning of each iteration of the loop, before any event. */
class IterationObserver
{
public:
    virtual ~IterationObserver() = default;

    virtual void iterationBegins() = 0;
};

/** The longest time that each part of an iteration has taken since the process started. */
struct LongestIterationParts
{
    std::chrono::microseconds events{0};   ///< Input, output that had to wait, and signals.
    std::chrono::microseconds timers{0};   ///< All timers that were due at once.
    std::chrono::microseconds deferred{0}; ///< Among them the output to links.
};

/**
 * A single GLib source that watches all sockets through epoll and stores all timers in one ordered
 * map.
 *
 * GLib writes to its wake-up descriptor whenever a source is attached, removed or re-armed while
 * the loop runs. With a single source neither connections nor timers modify the main context, so a
 * request on an open connection costs only its own reads and writes.
 *
 * An iteration handles events for a bounded time, then due timers, then deferred callbacks. The
 * next one goes on with the events that are left before it collects new ones, so each ready
 * descriptor has its turn before any comes again.
 */
class EpollLoop final : public TimerService
{
    struct PendingEvent
    {
        DescriptorHandler *handler = nullptr;
        std::uint32_t events = 0;
    };
    struct TimerEntry
    {
        SteadyTime due;
        std::chrono::milliseconds period{0}; ///< Zero for a timer that fires once.
        Callback callback;
    };
    struct LoopSource;

    int m_epollDescriptor = -1;
    int m_wakeUpDescriptor = -1; ///< The wake-up descriptor of the main context.
    LoopSource *m_source = nullptr;
    std::vector<PendingEvent> m_pendingEvents;
    std::size_t m_nextEvent = 0; ///< Index of the first pending event that is not handled yet.
    /** Timer ids, ordered by due time and id. */
    std::map<std::pair<SteadyTime, std::uint64_t>, std::uint64_t> m_timerQueue;
    std::unordered_map<std::uint64_t, TimerEntry> m_timerEntries;
    std::vector<IterationObserver *> m_observers;
    std::vector<Callback> m_deferredCallbacks;
    std::vector<Callback> m_spareCallbacks; ///< Empty; keeps its memory for the next iteration.
    std::uint64_t m_lastTimerId = 0;
    SteadyTime m_startedAt; ///< Periodic timers fire at multiples of their periods after it.
    SteadyTime m_now;
    SteadyTime m_collectedAt; ///< When the last events were collected.
    std::chrono::milliseconds m_inputDelay{0};
    LongestIterationParts m_longestParts;
    bool m_hasMoreEvents = false; ///< More descriptors may have been ready than were collected.
    bool m_dispatching = false;

    EpollLoop();

    /** The poll function of the main context. The timeout is in milliseconds; -1 means none. */
    static gint poll(GPollFD *descriptors, guint count, gint timeout);
    static gboolean prepare(GSource *source, gint *timeout);
    static gboolean check(GSource *source);
    static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data);

    void watchWakeUp(int descriptor);
    /**
     * Waits for events and adds them to the pending ones. Returns their number, or -1 on failure.
     * The timeout is in milliseconds; -1 means none.
     */
    int collectEvents(int timeout);
    /** Computes m_inputDelay from when the loop began to wait for the events just collected. */
    void updateInputDelay(SteadyTime waitStart);
    bool hasPendingEvents() const { return m_nextEvent < m_pendingEvents.size(); }
    /** Returns the time to the next timer, 0 if callbacks are due now, or -1 without timers. */
    int pollTimeoutMilliseconds();
    TimerId start(SteadyTime due, std::chrono::milliseconds period, Callback callback);
    /**
     * Returns the first multiple of the period that is at least half a period away. Timers of the
     * same period, and of multiples of it, thus share their wake-ups.
     */
    SteadyTime nextPeriodicDue(std::chrono::milliseconds period) const;
    /** Removes the first entry of the timer queue, which has this id, and calls its callback. */
    void fire(std::uint64_t id);
    /** Fires the timers that are due now. Returns whether there were any. */
    bool runTimers(SteadyTime now);
    void notifyObservers();
    /** Handles pending events until none is left or their time in an iteration is used up. */
    void runEvents();
    /** Returns whether there were any deferred callbacks. */
    bool runDeferred();

public:
    EpollLoop(const EpollLoop &) = delete;
    EpollLoop &operator=(const EpollLoop &) = delete;
    ~EpollLoop() override;

    /** Returns the loop of the default main context. */
    static EpollLoop &instance();

    /** Starts to watch a descriptor for epoll event bits. */
    void watch(int descriptor, std::uint32_t events, DescriptorHandler &handler);
    /** Changes the event bits of a watched descriptor. */
    void changeWatch(int descriptor, std::uint32_t events, DescriptorHandler &handler);
    /** Stops watching a descriptor and drops pending events of its handler. */
    void unwatch(int descriptor, DescriptorHandler &handler);

    /** Adds an observer, which is not owned. */
    void addObserver(IterationObserver &observer) { m_observers.push_back(&observer); }
    void removeObserver(IterationObserver &observer) { std::erase(m_observers, &observer); }

    /** Calls back at the end of the current loop iteration, or of the next if none is running. */
    void defer(Callback callback);

    /** Returns the cached time of the current loop iteration; outside of one, the clock's time. */
    SteadyTime now() const override
    {
        return m_dispatching ? m_now : std::chrono::steady_clock::now();
    }
    /**
     * Returns how long the input that is handled now may have waited for the loop; zero if the loop
     * was waiting for it.
     */
    std::chrono::milliseconds inputDelay() const;
    const LongestIterationParts &longestParts() const { return m_longestParts; }
    WallTime wallNow() const override;
    TimerId startOnce(std::chrono::milliseconds delay, Callback callback) override;
    /** The first call is made after half a period at the earliest; see nextPeriodicDue(). */
    TimerId startPeriodic(std::chrono::milliseconds period, Callback callback) override;
    void stop(TimerId id) override;
};

} // namespace jacinthshift

#endif // DRIVERS_EPOLL_EPOLL_LOOP_H
