#ifndef TESTS_SOAK_SLOW_CALLER_H
#define TESTS_SOAK_SLOW_CALLER_H

#include <memory>

#include "tests/soak/observation_log.h"
#include "tests/support/slow_reader.h"

namespace jacinthshift {

/** A caller of the soak that reads long responses slowly, one after the other. */
class SlowCaller
{
    TimerService &m_timers;
    ObservationLog &m_observations;
    std::unique_ptr<SlowReader> m_reader;
    std::size_t m_request = 0; ///< Its index in the observation log.
    Timer m_timeout;
    Timer m_endTimer; ///< Active when the exchange has ended, until the connection is closed.

    void received();
    void end(const HttpResult &result);

public:
    SlowCaller(TimerService &timers, ObservationLog &observations)
        : m_timers(timers), m_observations(observations)
    {
    }

    bool isIdle() const { return m_reader == nullptr; }
    /** Sends a request over a new connection and records what comes of it. */
    void send(const Endpoint &server, const CallerRequest &request, const HttpRequest &message);
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SLOW_CALLER_H
