#include "modules/forwarding/owner_estimate.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

namespace {

// The pace changes many times a second; an older figure says little about this moment.
constexpr double PaceHalfLifeMs = 250.0;
// The load of an owner is replaced within about the time of its runs, but not sooner than this.
constexpr double MinLoadHalfLifeMs = 250.0;
constexpr double PerCent = 100.0;
constexpr double MillisecondsPerSecond = 1'000.0;

double decay(double ageMs, double halfLifeMs)
{
    return std::pow(0.5, ageMs / halfLifeMs);
}

} // namespace

OwnerEstimate estimateOwner(const OwnerFigures &figures)
{
    const BackendStatus &backend = figures.backend;
    const auto age = static_cast<double>(std::max<std::int64_t>(0, figures.age.count()));
    const auto normalRun = static_cast<double>(backend.normalRunTime.count());
    double pace = 1.0;
    if (backend.pacePercent > 0)
        pace += (backend.pacePercent / PerCent - 1.0) * decay(age, PaceHalfLifeMs);
    const double limit = std::max(1.0, static_cast<double>(backend.concurrencyLimit));
    const auto reported = static_cast<double>(backend.running + backend.queued);
    const double load = std::max(reported, static_cast<double>(figures.outstanding));
    const double remaining = static_cast<double>(backend.remainingWork.count())
                             + (load - reported) * normalRun * pace;
    OwnerEstimate estimate{.run = normalRun * pace * figures.routeFactor,
                           .freeSlots = std::max(0.0, limit - load),
                           .utilisation = load / limit,
                           .freshness = decay(age, std::max(MinLoadHalfLifeMs, normalRun))};
    // Of the open requests, so many have to end before a slot is free for one more.
    if (load >= limit)
        estimate.wait = (load - limit + 1.0) * (remaining / load) / limit;
    // The other senders use the rate limit as well, so it is taken to be used up at the moment.
    if (backend.requestRateLimit > 0.0)
        estimate.wait += (backend.queued + 1.0) * MillisecondsPerSecond / backend.requestRateLimit;
    return estimate;
}

} // namespace jacinthshift
