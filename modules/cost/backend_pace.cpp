#include "modules/cost/backend_pace.h"

#include <cmath>

namespace jacinthshift {

double BackendPace::factor(SteadyTime now) const
{
    if (!m_isKnown)
        return 1.0;
    const std::chrono::duration<double> age = now - m_recordedAt;
    const std::chrono::duration<double> halfLife = m_options.halfLife;
    return m_mean + (m_recent - m_mean) * std::pow(0.5, age / halfLife);
}

void BackendPace::record(std::uint32_t percent, SteadyTime now)
{
    constexpr double PerCent = 100.0;
    const double reported = percent / PerCent;
    if (!m_isKnown) {
        m_recent = reported;
        m_mean = reported;
    } else {
        const double current = factor(now);
        m_recent = current + m_options.newestWeight * (reported - current);
        m_mean += m_options.meanWeight * (reported - m_mean);
    }
    m_recordedAt = now;
    m_isKnown = true;
}

} // namespace jacinthshift
