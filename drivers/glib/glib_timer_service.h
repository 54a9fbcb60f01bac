#ifndef DRIVERS_GLIB_GLIB_TIMER_SERVICE_H
#define DRIVERS_GLIB_GLIB_TIMER_SERVICE_H

#include <memory>
#include <unordered_map>

#include "servers/timer_service.h"

namespace jacinthshift {

/** A timer service with one GLib source per timer, on the default main context. */
class GlibTimerService final : public TimerService
{
    struct TimerEntry;
    std::unordered_map<std::uint64_t, std::unique_ptr<TimerEntry>> m_timerEntries;
    std::uint64_t m_lastId = 0;

    TimerId start(std::chrono::milliseconds delay, bool periodic, Callback callback);
    void fire(std::uint64_t id);

public:
    GlibTimerService();
    ~GlibTimerService() override;

    SteadyTime now() const override;
    WallTime wallNow() const override;
    TimerId startOnce(std::chrono::milliseconds delay, Callback callback) override;
    TimerId startPeriodic(std::chrono::milliseconds period, Callback callback) override;
    void stop(TimerId id) override;
};

} // namespace jacinthshift

#endif // DRIVERS_GLIB_GLIB_TIMER_SERVICE_H
