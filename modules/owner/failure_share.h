#ifndef MODULES_OWNER_FAILURE_SHARE_H
#define MODULES_OWNER_FAILURE_SHARE_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

struct FailureShareOptions
{
    double newestWeight = 0.08; ///< Of the newest request in the moving mean.
    /** Without requests half is forgotten in this time, so a server that was avoided is tried
     * again.
     */
    std::chrono::milliseconds halfLife{3'000};
};

/** The share of a backend server's recent requests that failed or were rejected. */
class FailureShare
{
    FailureShareOptions m_options;
    double m_share = 0.0; ///< At the time of the newest request, 0 to 1.
    SteadyTime m_newestAt;

    double shareAt(SteadyTime now) const;

public:
    explicit FailureShare(const FailureShareOptions &options) : m_options(options) {}

    void add(bool failed, SteadyTime now);
    void reset() { m_share = 0.0; }
    std::uint32_t perThousand(SteadyTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_FAILURE_SHARE_H
