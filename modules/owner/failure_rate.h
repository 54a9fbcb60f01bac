#ifndef MODULES_OWNER_FAILURE_RATE_H
#define MODULES_OWNER_FAILURE_RATE_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

struct FailureRateOptions
{
    double newestWeight = 0.08; ///< Weight of the newest request in the moving mean.
    /**
     * Half-life of the rate while there are no requests. It decays so that a backend server that
     * was avoided is tried again.
     */
    std::chrono::milliseconds halfLife{3'000};
};

/** Moving mean of the fraction of a backend server's requests that failed or were rejected. */
class FailureRate
{
    FailureRateOptions m_options;
    double m_rate = 0.0; ///< At the time of the newest request, 0 to 1.
    SteadyTime m_newestAt;

    double rateAt(SteadyTime now) const;

public:
    explicit FailureRate(const FailureRateOptions &options) : m_options(options) {}

    void add(bool failed, SteadyTime now);
    void reset() { m_rate = 0.0; }
    /** Returns the rate in thousandths. */
    std::uint32_t perThousand(SteadyTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_FAILURE_RATE_H
