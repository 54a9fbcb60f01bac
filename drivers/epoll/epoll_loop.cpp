#include "drivers/epoll/epoll_loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

namespace jacinthshift {

namespace {

constexpr int MaxEventsPerPoll = 128;
constexpr std::chrono::milliseconds MaxPollTimeout{60'000};
/** Handling events makes timers, deferred callbacks and other sources late by little more. */
constexpr std::chrono::milliseconds MaxEventTime{30};
/** After a shorter wait the events were ready before it. */
constexpr std::chrono::milliseconds MinWait{1};

/** Raises the longest time to the time since the start, and returns the current time. */
SteadyTime recordLongest(std::chrono::microseconds &longest, SteadyTime start)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    longest = std::max(longest, std::chrono::duration_cast<std::chrono::microseconds>(now - start));
    return now;
}

} // namespace

/** The GSource, extended by a pointer to the loop. */
struct EpollLoop::LoopSource
{
    GSource base;
    EpollLoop *loop;
    GPollFD descriptor;
};

EpollLoop &EpollLoop::instance()
{
    static EpollLoop loopInstance;
    return loopInstance;
}

EpollLoop::EpollLoop()
    : m_epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_now(m_startedAt)
    , m_collectedAt(m_startedAt)
{
    static GSourceFuncs functions = {prepare, check, dispatch, nullptr, nullptr, nullptr};
    GSource *source = g_source_new(&functions, sizeof(LoopSource));
    m_source = reinterpret_cast<LoopSource *>(source);
    m_source->loop = this;
    m_source->descriptor = GPollFD{m_epollDescriptor, G_IO_IN, 0};
    g_source_add_poll(source, &m_source->descriptor);
    // GLib blocks a non-recursive source during its dispatch, which wakes the loop again.
    g_source_set_can_recurse(source, TRUE);
    g_source_attach(source, nullptr);
    g_main_context_set_poll_func(nullptr, poll);
}

EpollLoop::~EpollLoop()
{
    g_main_context_set_poll_func(nullptr, nullptr);
    GSource *source = &m_source->base;
    g_source_destroy(source);
    g_source_unref(source);
    close(m_epollDescriptor);
}

gint EpollLoop::poll(GPollFD *descriptors, guint count, gint timeout)
{
    EpollLoop &loop = instance();
    GPollFD *epollEntry = nullptr;
    GPollFD *otherEntry = nullptr;
    for (guint i = 0; i < count; ++i) {
        if (descriptors[i].fd == loop.m_epollDescriptor)
            epollEntry = &descriptors[i];
        else
            otherEntry = &descriptors[i];
        descriptors[i].revents = 0;
    }
    // GLib passes its wake-up descriptor and the epoll descriptor. Other descriptors come from
    // sources of other libraries, which need g_poll(); a mesh node has none.
    if (epollEntry == nullptr || count != 2 || (otherEntry->events & ~G_IO_IN) != 0) {
        const gint ready = g_poll(descriptors, count, timeout);
        if (ready > 0 && epollEntry != nullptr && epollEntry->revents != 0
            && !loop.hasPendingEvents())
            loop.collectEvents(0);
        return ready;
    }
    loop.watchWakeUp(otherEntry->fd);
    // The kernel would report the descriptors of these events again.
    if (loop.hasPendingEvents()) {
        epollEntry->revents = G_IO_IN;
        return 1;
    }
    const int collected = loop.collectEvents(timeout);
    if (collected < 0)
        return collected;
    gint ready = 0;
    for (PendingEvent &event : loop.m_pendingEvents) {
        // The entry of the wake-up descriptor has no handler.
        if (event.handler != nullptr)
            continue;
        otherEntry->revents = G_IO_IN;
        ready = 1;
    }
    if (!loop.m_pendingEvents.empty()) {
        epollEntry->revents = G_IO_IN;
        ++ready;
    }
    return ready;
}

void EpollLoop::watchWakeUp(int descriptor)
{
    if (m_wakeUpDescriptor == descriptor)
        return;
    epoll_event event{};
    event.events = EPOLLIN;
    if (epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, descriptor, &event) == 0 || errno == EEXIST)
        m_wakeUpDescriptor = descriptor;
}

int EpollLoop::collectEvents(int timeout)
{
    std::array<epoll_event, MaxEventsPerPoll> events;
    const SteadyTime waitStart = std::chrono::steady_clock::now();
    const int count = epoll_wait(m_epollDescriptor, events.data(), MaxEventsPerPoll, timeout);
    if (count < 0)
        return count;
    updateInputDelay(waitStart);
    m_hasMoreEvents = count == MaxEventsPerPoll;
    m_pendingEvents.clear();
    m_nextEvent = 0;
    for (int i = 0; i < count; ++i) {
        m_pendingEvents.push_back(PendingEvent{static_cast<DescriptorHandler *>(events[i].data.ptr),
                                               events[i].events});
    }
    return count;
}

void EpollLoop::updateInputDelay(SteadyTime waitStart)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const SteadyTime::duration busy = waitStart - std::exchange(m_collectedAt, now);
    const bool hasWaited = now - waitStart >= MinWait;
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
            hasWaited ? SteadyTime::duration(0) : busy);
    m_inputDelay = m_hasMoreEvents ? m_inputDelay + delay : delay;
}

std::chrono::milliseconds EpollLoop::inputDelay() const
{
    if (!m_dispatching)
        return m_inputDelay;
    return m_inputDelay
           + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_collectedAt);
}

int EpollLoop::pollTimeoutMilliseconds()
{
    if (!m_deferredCallbacks.empty() || hasPendingEvents())
        return 0;
    if (m_timerQueue.empty())
        return -1;
    const SteadyTime now = std::chrono::steady_clock::now();
    const SteadyTime due = m_timerQueue.begin()->first.first;
    if (due <= now)
        return 0;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - now);
    return static_cast<int>(std::min(wait, MaxPollTimeout).count());
}

gboolean EpollLoop::prepare(GSource *source, gint *timeout)
{
    EpollLoop *loop = reinterpret_cast<LoopSource *>(source)->loop;
    *timeout = loop->pollTimeoutMilliseconds();
    return *timeout == 0 || loop->hasPendingEvents();
}

gboolean EpollLoop::check(GSource *source)
{
    EpollLoop *loop = reinterpret_cast<LoopSource *>(source)->loop;
    return loop->hasPendingEvents() || loop->pollTimeoutMilliseconds() == 0;
}

gboolean EpollLoop::dispatch(GSource *source, GSourceFunc, gpointer)
{
    EpollLoop *loop = reinterpret_cast<LoopSource *>(source)->loop;
    const SteadyTime start = std::chrono::steady_clock::now();
    loop->m_now = start;
    loop->m_dispatching = true;
    LongestIterationParts &longest = loop->m_longestParts;
    loop->notifyObservers();
    loop->runEvents();
    const SteadyTime eventsEnd = recordLongest(longest.events, start);
    SteadyTime timersEnd = eventsEnd;
    if (loop->runTimers(eventsEnd))
        timersEnd = recordLongest(longest.timers, eventsEnd);
    if (loop->runDeferred())
        recordLongest(longest.deferred, timersEnd);
    loop->m_dispatching = false;
    return G_SOURCE_CONTINUE;
}

void EpollLoop::notifyObservers()
{
    // An observer may remove itself.
    for (std::size_t i = m_observers.size(); i > 0; --i) {
        if (i <= m_observers.size())
            m_observers[i - 1]->iterationBegins();
    }
}

void EpollLoop::runEvents()
{
    const SteadyTime end = m_now + MaxEventTime;
    // A handler may call unwatch() for another one, which clears pending entries.
    while (hasPendingEvents()) {
        const PendingEvent event = m_pendingEvents[m_nextEvent++];
        if (event.handler == nullptr)
            continue;
        event.handler->descriptorReady(event.events);
        m_now = std::chrono::steady_clock::now();
        if (m_now >= end)
            return;
    }
}

bool EpollLoop::runDeferred()
{
    if (m_deferredCallbacks.empty())
        return false;
    // What a deferred callback defers runs in the next iteration.
    std::vector<Callback> callbacks =
            std::exchange(m_deferredCallbacks, std::move(m_spareCallbacks));
    for (const Callback &callback : callbacks)
        callback();
    callbacks.clear();
    m_spareCallbacks = std::move(callbacks);
    return true;
}

void EpollLoop::defer(Callback callback)
{
    m_deferredCallbacks.push_back(std::move(callback));
}

bool EpollLoop::runTimers(SteadyTime now)
{
    m_now = now;
    // Timers that are started meanwhile wait for the next iteration.
    const std::pair<SteadyTime, std::uint64_t> last(now, m_lastTimerId);
    bool hasFired = false;
    while (!m_timerQueue.empty() && m_timerQueue.begin()->first <= last) {
        fire(m_timerQueue.begin()->second);
        hasFired = true;
    }
    return hasFired;
}

void EpollLoop::fire(std::uint64_t id)
{
    m_timerQueue.erase(m_timerQueue.begin());
    const auto found = m_timerEntries.find(id);
    if (found->second.period.count() == 0) {
        const Callback callback = std::move(found->second.callback);
        m_timerEntries.erase(found);
        callback();
        return;
    }
    found->second.due = nextPeriodicDue(found->second.period);
    m_timerQueue.emplace(std::pair(found->second.due, id), id);
    // The callback may stop its own timer, so a copy is called.
    const Callback callback = found->second.callback;
    callback();
}

void EpollLoop::watch(int descriptor, std::uint32_t events, DescriptorHandler &handler)
{
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, descriptor, &event);
}

void EpollLoop::changeWatch(int descriptor, std::uint32_t events, DescriptorHandler &handler)
{
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    epoll_ctl(m_epollDescriptor, EPOLL_CTL_MOD, descriptor, &event);
}

void EpollLoop::unwatch(int descriptor, DescriptorHandler &handler)
{
    epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, descriptor, nullptr);
    for (PendingEvent &event : m_pendingEvents) {
        if (event.handler == &handler)
            event = PendingEvent{};
    }
}

WallTime EpollLoop::wallNow() const
{
    return std::chrono::system_clock::now();
}

TimerId EpollLoop::startOnce(std::chrono::milliseconds delay, Callback callback)
{
    return start(now() + std::max(delay, std::chrono::milliseconds(0)),
                 std::chrono::milliseconds(0), std::move(callback));
}

TimerId EpollLoop::startPeriodic(std::chrono::milliseconds period, Callback callback)
{
    const std::chrono::milliseconds positive = std::max(period, std::chrono::milliseconds(1));
    return start(nextPeriodicDue(positive), positive, std::move(callback));
}

SteadyTime EpollLoop::nextPeriodicDue(std::chrono::milliseconds period) const
{
    const SteadyTime::duration length = period;
    const SteadyTime::duration earliest = now() + length / 2 - m_startedAt;
    return m_startedAt + (earliest + length - SteadyTime::duration(1)) / length * length;
}

TimerId EpollLoop::start(SteadyTime due, std::chrono::milliseconds period, Callback callback)
{
    const std::uint64_t id = ++m_lastTimerId;
    m_timerEntries.emplace(id, TimerEntry{due, period, std::move(callback)});
    m_timerQueue.emplace(std::pair(due, id), id);
    return static_cast<TimerId>(id);
}

void EpollLoop::stop(TimerId id)
{
    const auto found = m_timerEntries.find(static_cast<std::uint64_t>(id));
    if (found == m_timerEntries.end())
        return;
    m_timerQueue.erase(std::pair(found->second.due, found->first));
    m_timerEntries.erase(found);
}

} // namespace jacinthshift
