#ifndef MODULES_OWNER_DEPARTURE_RECORDER_H
#define MODULES_OWNER_DEPARTURE_RECORDER_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "core/random.h"
#include "modules/owner/departure_register.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct DepartureRecorderOptions
{
    /** A backend server waits a second for the acknowledgement of its departure. */
    std::chrono::milliseconds answerTimeout{800};
    /** An attempt without an answer for this long is followed by another one; doubled for each. */
    std::chrono::milliseconds attemptTimeout{400};
    /** Pauses after attempts that have failed, doubled for each. */
    std::chrono::milliseconds minRetryDelay{200};
    std::chrono::milliseconds maxRetryDelay{3'200};
    /** After it the backend server has ended, and no heartbeat of it is on its way any more. */
    std::chrono::milliseconds giveUpTime{60'000};
    /** More are not recorded: a VM has one backend server, which does not restart so often. */
    std::size_t maxPerMinute = 30;
    std::uint64_t randomSeed = 0; ///< Seeds the jitter of the pauses.
};

/**
 * Records departures of this node's backend servers in the register before they are acknowledged: a
 * later process of this node may get a late heartbeat, and no process may be left that remembers.
 */
class DepartureRecorder
{
public:
    /** Receives whether the departure is recorded. */
    using Callback = std::function<void(bool recorded)>;

private:
    struct Waiter
    {
        Callback callback;
        Timer timeout;
    };
    /** A departure that is not recorded yet. */
    struct Pending
    {
        SteadyTime since;
        std::uint32_t attempts = 0;
        Timer retryTimer; ///< Of the last attempt or the pause after it.
        std::map<std::uint64_t, Waiter> waiters;
    };

    DepartureRecorderOptions m_options;
    DepartureRegister &m_register;
    TimerService &m_timers;
    Random m_random;
    std::map<BackendLifetime, Pending> m_pending;
    std::deque<BackendLifetime> m_recorded; ///< The newest last.
    std::deque<SteadyTime> m_begunAt;       ///< When departures of the last minute came.
    std::uint64_t m_lastWaiter = 0;

    /** Returns whether a further departure is within the limit, and counts it. */
    bool takeFromLimit();
    bool isRecorded(const BackendLifetime &backend) const;
    Pending &addPending(const BackendLifetime &backend);
    /** Returns a time doubled for each attempt but the first, up to the longest delay. */
    std::chrono::milliseconds backOff(std::chrono::milliseconds first,
                                      const Pending &pending) const;
    void write(const BackendLifetime &backend);
    void written(const BackendLifetime &backend, std::uint32_t attempt, const absl::Status &status);
    void giveUpWaiting(const BackendLifetime &backend, std::uint64_t waiter);

public:
    DepartureRecorder(const DepartureRecorderOptions &options, DepartureRegister &departures,
                      TimerService &timers);

    /**
     * Records a departure. The callback runs once: when it is recorded, or with false when the
     * backend server does not wait any more. It is tried further in that case.
     */
    void record(const BackendLifetime &backend, Callback callback);
    /** Notes that the register has a departure. Returns whether that was not known. */
    bool departureRead(const BackendLifetime &backend);
    /** Writes the departures again, as the register was restored from a copy that may lack them. */
    void registerRestored();
    /** Returns the number of departures that are not recorded yet. */
    std::size_t pending() const { return m_pending.size(); }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_DEPARTURE_RECORDER_H
