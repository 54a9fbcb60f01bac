#ifndef SERVERS_TIMER_SERVICE_H
#define SERVERS_TIMER_SERVICE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>

namespace jacinthshift {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

enum class TimerId : std::uint64_t { None = 0 };

/** Provides clocks and timers. All callbacks run on the event loop's thread. */
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /** Returns the monotonic time, which never goes back; used to measure intervals. */
    virtual SteadyTime now() const = 0;
    /** Returns the time of the wall clock, which may jump and may differ between VMs. */
    virtual WallTime wallNow() const = 0;

    /** Starts a timer that fires once, after the delay. */
    virtual TimerId startOnce(std::chrono::milliseconds delay, Callback callback) = 0;
    /** Starts a timer that fires after each period until it is stopped. */
    virtual TimerId startPeriodic(std::chrono::milliseconds period, Callback callback) = 0;
    /** Stops a timer. Unknown and expired ids are ignored. */
    virtual void stop(TimerId id) = 0;
};

/** Owns a timer of a timer service and stops it on destruction. */
class Timer
{
    TimerService *m_service = nullptr;
    TimerId m_id = TimerId::None;

public:
    Timer() = default;
    Timer(TimerService &service, TimerId id) : m_service(&service), m_id(id) {}
    Timer(Timer &&other) noexcept
        : m_service(other.m_service), m_id(std::exchange(other.m_id, TimerId::None))
    {
    }
    Timer &operator=(Timer &&other) noexcept
    {
        if (this != &other) {
            stop();
            m_service = other.m_service;
            m_id = std::exchange(other.m_id, TimerId::None);
        }
        return *this;
    }
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    ~Timer() { stop(); }

    /** Returns whether a timer is owned. One that has fired is still owned until stop(). */
    bool isActive() const { return m_id != TimerId::None; }

    /** Stops the timer, if any. */
    void stop()
    {
        if (m_id != TimerId::None)
            m_service->stop(std::exchange(m_id, TimerId::None));
    }
};

} // namespace jacinthshift

#endif // SERVERS_TIMER_SERVICE_H
