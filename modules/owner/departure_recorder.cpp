#include "modules/owner/departure_recorder.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"

namespace jacinthshift {

namespace {

/** Late heartbeats are of the last few lifetimes. */
constexpr std::size_t MaxRecordedDepartures = 16;

} // namespace

DepartureRecorder::DepartureRecorder(const DepartureRecorderOptions &options,
                                     DepartureRegister &departures, TimerService &timers)
    : m_options(options), m_register(departures), m_timers(timers), m_random(options.randomSeed)
{
}

bool DepartureRecorder::isRecorded(const BackendLifetime &backend) const
{
    return std::find(m_recorded.begin(), m_recorded.end(), backend) != m_recorded.end();
}

bool DepartureRecorder::takeFromLimit()
{
    const SteadyTime now = m_timers.now();
    while (!m_begunAt.empty() && now - m_begunAt.front() >= std::chrono::minutes(1))
        m_begunAt.pop_front();
    if (m_begunAt.size() >= m_options.maxPerMinute)
        return false;
    m_begunAt.push_back(now);
    return true;
}

DepartureRecorder::Pending &DepartureRecorder::addPending(const BackendLifetime &backend)
{
    const auto [entry, isNew] = m_pending.try_emplace(backend);
    if (isNew) {
        entry->second.since = m_timers.now();
        entry->second.retryDelay = m_options.minRetryDelay;
    }
    return entry->second;
}

void DepartureRecorder::record(const BackendLifetime &backend, Callback callback)
{
    if (isRecorded(backend)) {
        callback(true);
        return;
    }
    if (!m_pending.contains(backend) && !takeFromLimit()) {
        callback(false);
        return;
    }
    Pending &pending = addPending(backend);
    const std::uint64_t waiter = ++m_lastWaiter;
    pending.waiters[waiter] = {
            .callback = std::move(callback),
            .timeout = Timer(m_timers,
                             m_timers.startOnce(m_options.answerTimeout, [this, backend, waiter] {
                                 giveUpWaiting(backend, waiter);
                             }))};
    if (!pending.writing && !pending.retryTimer.isActive())
        write(backend);
}

void DepartureRecorder::giveUpWaiting(const BackendLifetime &backend, std::uint64_t waiter)
{
    const auto pending = m_pending.find(backend);
    if (pending == m_pending.end())
        return;
    const auto found = pending->second.waiters.find(waiter);
    if (found == pending->second.waiters.end())
        return;
    const Callback callback = std::move(found->second.callback);
    pending->second.waiters.erase(found);
    callback(false);
}

void DepartureRecorder::write(const BackendLifetime &backend)
{
    Pending &pending = addPending(backend);
    pending.writing = true;
    m_register.write(backend,
                     [this, backend](const absl::Status &status) { written(backend, status); });
}

void DepartureRecorder::written(const BackendLifetime &backend, const absl::Status &status)
{
    const auto found = m_pending.find(backend);
    if (found == m_pending.end())
        return;
    Pending &pending = found->second;
    pending.writing = false;
    if (status.ok()) {
        departureRead(backend);
        return;
    }
    logEvent(Event::DepartureNotRecorded, {{"backend", backend.id},
                                           {"started_at", backend.startedAt},
                                           {"reason", std::string(status.message())}});
    if (m_timers.now() - pending.since >= m_options.giveUpTime) {
        m_pending.erase(found);
        return;
    }
    const std::chrono::milliseconds delay =
            pending.retryDelay / 2 + m_random.jitter(pending.retryDelay);
    pending.retryDelay = std::min(pending.retryDelay * 2, m_options.maxRetryDelay);
    pending.retryTimer =
            Timer(m_timers, m_timers.startOnce(delay, [this, backend] { retry(backend); }));
}

void DepartureRecorder::retry(BackendLifetime backend)
{
    m_pending[backend].retryTimer.stop();
    write(backend);
}

bool DepartureRecorder::departureRead(const BackendLifetime &backend)
{
    const bool isNew = !isRecorded(backend);
    if (isNew) {
        m_recorded.push_back(backend);
        if (m_recorded.size() > MaxRecordedDepartures)
            m_recorded.pop_front();
    }
    auto pending = m_pending.extract(backend);
    if (pending.empty())
        return isNew;
    logEvent(Event::DepartureRecorded,
             {{"backend", backend.id}, {"started_at", backend.startedAt}});
    for (auto &[number, waiter] : pending.mapped().waiters)
        waiter.callback(true);
    return isNew;
}

void DepartureRecorder::registerRestored()
{
    for (const BackendLifetime &backend : std::exchange(m_recorded, {})) {
        if (!addPending(backend).writing)
            write(backend);
    }
}

} // namespace jacinthshift
