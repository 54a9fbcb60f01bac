#include "modules/owner/request_rate_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace jacinthshift {

std::optional<double> parseRequestRate(std::string_view text)
{
    double rate = 0.0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result =
            std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool valid = result.ec == std::errc() && result.ptr == end && std::isfinite(rate);
    return valid && rate >= 0.0 ? std::optional(rate) : std::nullopt;
}

bool RequestRateLimit::recordAnswer(std::optional<double> named, SteadyTime now)
{
    const double old = m_perSecond;
    if (named) {
        m_perSecond = std::max(*named, m_options.minRate);
        m_namedAt = now;
    } else if (now - m_namedAt >= m_options.retention) {
        m_perSecond = 0.0;
    }
    return m_perSecond != old;
}

} // namespace jacinthshift
