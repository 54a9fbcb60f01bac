#include "modules/forwarding/owner_selector.h"

#include <algorithm>

namespace jacinthshift {

namespace {

constexpr double UnknownServiceMilliseconds = 100.0;
constexpr double PerThousand = 1'000.0;

double meanServiceTime(const std::vector<OwnerCandidate> &candidates)
{
    double sum = 0.0;
    int known = 0;
    for (const OwnerCandidate &candidate : candidates) {
        if (candidate.backend.serviceTime.count() == 0)
            continue;
        sum += static_cast<double>(candidate.backend.serviceTime.count());
        ++known;
    }
    return known == 0 ? UnknownServiceMilliseconds : sum / known;
}

} // namespace

double OwnerSelector::expectedTime(const OwnerCandidate &candidate, double fallbackServiceTime,
                                   double routeFactor) const
{
    const BackendStatus &backend = candidate.backend;
    const double service = backend.serviceTime.count() > 0
                                   ? static_cast<double>(backend.serviceTime.count())
                                   : fallbackServiceTime;
    const double limit = std::max(1.0, static_cast<double>(backend.limit));
    const double load = std::max(backend.running + backend.queued, candidate.outstanding);
    double total = service * routeFactor;
    const double fill = load / limit;
    if (fill > m_options.comfortableLoad) {
        total += service * routeFactor * m_options.crowdedPenalty
                 * std::min(1.0,
                            (fill - m_options.comfortableLoad) / (1.0 - m_options.comfortableLoad));
    }
    if (load >= limit)
        total += (load - limit + 1.0) * service / limit;
    return total;
}

double OwnerSelector::cost(const OwnerCandidate &candidate, double fallbackServiceTime,
                           const SelectionContext &context)
{
    const double target = static_cast<double>(context.targetLeft.count());
    const double expected = expectedTime(candidate, fallbackServiceTime, context.routeFactor);
    const double noisy = expected * (1.0 + m_options.noise * m_random.unit());
    const double failures =
            m_options.failureCost * target * candidate.backend.failuresPerThousand / PerThousand;
    if (!candidate.sameDomain)
        return noisy + failures + m_options.otherDomainPart * target;
    // Near owners that are fast enough are left for failures only.
    const bool fastEnough = expected <= m_options.nearPart * target;
    return (fastEnough ? noisy * m_options.otherDomainPart : noisy) + failures;
}

std::optional<std::size_t> OwnerSelector::choose(const std::vector<OwnerCandidate> &candidates,
                                                 const SelectionContext &context)
{
    const double fallback = meanServiceTime(candidates);
    std::optional<std::size_t> best;
    std::optional<std::size_t> bestCold;
    double lowest = 0.0;
    double lowestCold = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const OwnerCandidate &candidate = candidates[i];
        const double price = cost(candidate, fallback, context);
        const bool cold = candidate.backend.startsPerSecond > 0;
        std::optional<std::size_t> &winner = cold ? bestCold : best;
        double &winning = cold ? lowestCold : lowest;
        if (winner && price >= winning)
            continue;
        winner = i;
        winning = price;
    }
    // A cold backend server warms up with a few requests; most go to the others while there are
    // any.
    if (best && bestCold
        && m_random.unit() < m_options.coldPreference / static_cast<double>(candidates.size()))
        return bestCold;
    return best ? best : bestCold;
}

} // namespace jacinthshift
