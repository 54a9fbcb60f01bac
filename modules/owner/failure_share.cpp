#include "modules/owner/failure_share.h"

#include <cmath>

namespace jacinthshift {

double FailureShare::shareAt(SteadyTime now) const
{
    const std::chrono::duration<double> idle = now - m_newestAt;
    const std::chrono::duration<double> halfLife = m_options.halfLife;
    return m_share * std::pow(0.5, idle / halfLife);
}

void FailureShare::add(bool failed, SteadyTime now)
{
    m_share = shareAt(now);
    m_share += m_options.newestWeight * ((failed ? 1.0 : 0.0) - m_share);
    m_newestAt = now;
}

std::uint32_t FailureShare::perThousand(SteadyTime now) const
{
    return static_cast<std::uint32_t>(std::lround(shareAt(now) * 1'000.0));
}

} // namespace jacinthshift
