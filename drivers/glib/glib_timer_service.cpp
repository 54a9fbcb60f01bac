#include "drivers/glib/glib_timer_service.h"

#include <algorithm>

#include "drivers/glib/glib_source.h"

namespace jacinthshift {

struct GlibTimerService::TimerEntry
{
    GlibTimerService *service;
    std::uint64_t id;
    bool periodic;
    Callback callback;
    GlibSource source;
};

GlibTimerService::GlibTimerService() = default;
GlibTimerService::~GlibTimerService() = default;

SteadyTime GlibTimerService::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime GlibTimerService::wallNow() const
{
    return std::chrono::system_clock::now();
}

TimerId GlibTimerService::startOnce(std::chrono::milliseconds delay, Callback callback)
{
    return start(delay, false, std::move(callback));
}

TimerId GlibTimerService::startPeriodic(std::chrono::milliseconds period, Callback callback)
{
    return start(period, true, std::move(callback));
}

TimerId GlibTimerService::start(std::chrono::milliseconds delay, bool periodic, Callback callback)
{
    const std::uint64_t id = ++m_lastId;
    std::unique_ptr<TimerEntry> entry = std::make_unique<TimerEntry>();
    entry->service = this;
    entry->id = id;
    entry->periodic = periodic;
    entry->callback = std::move(callback);
    const std::int64_t wait = std::max<std::int64_t>(0, delay.count());
    GSource *source = g_timeout_source_new(static_cast<guint>(wait));
    const GSourceFunc dispatch = [](gpointer data) -> gboolean {
        TimerEntry *fired = static_cast<TimerEntry *>(data);
        fired->service->fire(fired->id);
        // The source of a timer that has ended is already destroyed.
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, dispatch, entry.get(), nullptr);
    entry->source = GlibSource(source);
    m_timerEntries.emplace(id, std::move(entry));
    return static_cast<TimerId>(id);
}

void GlibTimerService::fire(std::uint64_t id)
{
    const auto found = m_timerEntries.find(id);
    if (found == m_timerEntries.end())
        return;
    if (found->second->periodic) {
        // The callback may stop its own timer, so a copy is called.
        const Callback callback = found->second->callback;
        callback();
        return;
    }
    const std::unique_ptr<TimerEntry> expired = std::move(found->second);
    m_timerEntries.erase(found);
    expired->source.reset();
    expired->callback();
}

void GlibTimerService::stop(TimerId id)
{
    m_timerEntries.erase(static_cast<std::uint64_t>(id));
}

} // namespace jacinthshift
