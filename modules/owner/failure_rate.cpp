#include "modules/owner/failure_rate.h"

#include <cmath>

namespace jacinthshift {

double FailureRate::rateAt(SteadyTime now) const
{
    const std::chrono::duration<double> idle = now - m_newestAt;
    const std::chrono::duration<double> halfLife = m_options.halfLife;
    return m_rate * std::pow(0.5, idle / halfLife);
}

void FailureRate::add(bool failed, SteadyTime now)
{
    m_rate = rateAt(now);
    m_rate += m_options.newestWeight * ((failed ? 1.0 : 0.0) - m_rate);
    m_newestAt = now;
}

std::uint32_t FailureRate::perThousand(SteadyTime now) const
{
    return static_cast<std::uint32_t>(std::lround(rateAt(now) * 1'000.0));
}

} // namespace jacinthshift
