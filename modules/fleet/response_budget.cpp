#include "modules/fleet/response_budget.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

double ResponseBudget::transmissionMs(double bytes) const
{
    return m_options.bytesPerSecond > 0.0 ? bytes * 1'000.0 / m_options.bytesPerSecond : 0.0;
}

std::chrono::milliseconds ResponseBudget::backlog(std::size_t queuedBytes) const
{
    return std::chrono::milliseconds(
            std::llround(transmissionMs(static_cast<double>(queuedBytes + m_reservedBytes))));
}

ResponseBudget::Decision ResponseBudget::offer(const ResponseOffer &offer, std::size_t queuedBytes)
{
    const auto known = m_routes.find(offer.route);
    if (m_options.bytesPerSecond <= 0.0 || known == m_routes.end()
        || known->second.bytes < static_cast<double>(m_options.largeResponseBytes))
        return Decision();
    const RouteMeans &means = known->second;
    const double earlier = transmissionMs(static_cast<double>(queuedBytes + m_reservedBytes));
    const double own = transmissionMs(means.bytes);
    // The link sends earlier responses while the backend server works on this request.
    const double expected = std::max(means.serviceMs, earlier) + own;
    const double targetLeft = static_cast<double>(offer.targetTimeLeft.count());
    const double allowed =
            offer.isCallerRetry ? targetLeft : targetLeft * m_options.firstAttemptShare;
    // A response that is late in any case must not delay those that can be in time.
    const bool lateAnyway = means.serviceMs + own > allowed;
    const double excess = lateAnyway ? earlier - means.serviceMs : expected - allowed;
    if (excess > 0.0) {
        const std::chrono::milliseconds untilRoom(std::llround(excess));
        return Decision{.admitted = false,
                        .retryAfter = std::clamp(untilRoom, m_options.minRetryAfter,
                                                 m_options.maxRetryAfter)};
    }
    const std::size_t reserved = static_cast<std::size_t>(means.bytes);
    m_reservedBytes += reserved;
    return Decision{.reservedBytes = reserved};
}

void ResponseBudget::recordResponse(const std::string &route, std::size_t bytes,
                                    std::chrono::milliseconds serviceTime)
{
    const double size = static_cast<double>(bytes);
    const double service = static_cast<double>(serviceTime.count());
    const auto [known, isNew] =
            m_routes.try_emplace(route, RouteMeans{.bytes = size, .serviceMs = service});
    if (isNew)
        return;
    known->second.bytes += m_options.sampleWeight * (size - known->second.bytes);
    known->second.serviceMs += m_options.sampleWeight * (service - known->second.serviceMs);
}

} // namespace jacinthshift
