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
    if (isNew)
        entry->second.since = m_timers.now();
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
    if (pending.attempts == 0)
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

std::chrono::milliseconds DepartureRecorder::backOff(std::chrono::milliseconds first,
                                                     const Pending &pending) const
{
    constexpr std::uint32_t MaxDoublings = 10;
    const std::uint32_t doublings = std::min(pending.attempts - 1, MaxDoublings);
    return std::min(first * (1U << doublings), m_options.maxRetryDelay);
}

void DepartureRecorder::write(const BackendLifetime &backend)
{
    Pending &pending = addPending(backend);
    const std::uint32_t attempt = ++pending.attempts;
    // A response that was lost is not known to be until much later.
    pending.retryTimer =
            Timer(m_timers, m_timers.startOnce(backOff(m_options.attemptTimeout, pending),
                                               [this, backend] { write(backend); }));
    m_register.write(backend, [this, backend, attempt](const absl::Status &status) {
        written(backend, attempt, status);
    });
}

void DepartureRecorder::written(const BackendLifetime &backend, std::uint32_t attempt,
                                const absl::Status &status)
{
    const auto found = m_pending.find(backend);
    if (found == m_pending.end())
        return;
    if (status.ok()) {
        departureRead(backend);
        return;
    }
    Pending &pending = found->second;
    logEvent(Event::DepartureNotRecorded, {{"backend", backend.id},
                                           {"started_at", backend.startedAt},
                                           {"attempt", attempt},
                                           {"reason", std::string(status.message())}});
    if (attempt != pending.attempts)
        return;
    if (m_timers.now() - pending.since >= m_options.giveUpTime) {
        m_pending.erase(found);
        return;
    }
    const std::chrono::milliseconds delay = backOff(m_options.minRetryDelay, pending);
    pending.retryTimer = Timer(m_timers, m_timers.startOnce(delay / 2 + m_random.jitter(delay),
                                                            [this, backend] { write(backend); }));
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
        if (addPending(backend).attempts == 0)
            write(backend);
    }
}

} // namespace jacinthshift
