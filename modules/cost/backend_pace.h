#ifndef MODULES_COST_BACKEND_PACE_H
#define MODULES_COST_BACKEND_PACE_H

#include <chrono>
#include <cstdint>

#include "servers/timer_service.h"

namespace jacinthshift {

struct BackendPaceOptions
{
    /** Weight of the newest figure. The pace changes many times a second, so a few count. */
    double newestWeight = 0.3;
    double meanWeight = 0.02; ///< Weight of the newest figure in the long-term mean.
    /** Half-life of the difference from the long-term mean without a new figure. */
    std::chrono::milliseconds halfLife{250};
};

/** How long work takes on a backend server at the moment, as a multiple of normal. */
class BackendPace
{
    BackendPaceOptions m_options;
    double m_recent = 1.0;
    double m_mean = 1.0;
    SteadyTime m_recordedAt;
    bool m_isKnown = false;

public:
    explicit BackendPace(const BackendPaceOptions &options) : m_options(options) {}

    void record(std::uint32_t percent, SteadyTime now);
    bool isKnown() const { return m_isKnown; }
    /** Returns the pace as a multiple of normal; 1 if none was reported. */
    double factor(SteadyTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_COST_BACKEND_PACE_H
