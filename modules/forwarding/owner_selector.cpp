#include "modules/forwarding/owner_selector.h"

#include <algorithm>

namespace jacinthshift {

namespace {

// Assumed mean service time if no owner has reported one.
constexpr double DefaultServiceMilliseconds = 100.0;
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
    return known == 0 ? DefaultServiceMilliseconds : sum / known;
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
    const double utilisation = load / limit;
    if (utilisation > m_options.slowdownUtilisation) {
        total += service * routeFactor * m_options.fullLoadPenalty
                 * std::min(1.0, (utilisation - m_options.slowdownUtilisation)
                                         / (1.0 - m_options.slowdownUtilisation));
    }
    if (load >= limit)
        total += (load - limit + 1.0) * service / limit;
    return total;
}

double OwnerSelector::cost(const OwnerCandidate &candidate, double fallbackServiceTime,
                           const SelectionContext &context)
{
    const double target = static_cast<double>(context.targetTimeLeft.count());
    const double expected = expectedTime(candidate, fallbackServiceTime, context.routeFactor);
    const double noisy = expected * (1.0 + m_options.noise * m_random.uniform());
    const double failures =
            m_options.failureCost * target * candidate.backend.failuresPerThousand / PerThousand;
    if (!candidate.sameDomain)
        return noisy + failures + m_options.otherDomainPenalty * target;
    // An owner in the own failure domain that is fast enough costs less than one in another domain,
    // unless its requests fail.
    const bool fastEnough = expected <= m_options.fastEnoughFraction * target;
    return (fastEnough ? noisy * m_options.otherDomainPenalty : noisy) + failures;
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
        const double candidateCost = cost(candidate, fallback, context);
        const bool cold = candidate.backend.startsPerSecond > 0;
        std::optional<std::size_t> &bestIndex = cold ? bestCold : best;
        double &bestCost = cold ? lowestCold : lowest;
        if (bestIndex && candidateCost >= bestCost)
            continue;
        bestIndex = i;
        bestCost = candidateCost;
    }
    // A cold backend server receives a few requests to warm up; most go to the others, if any.
    if (best && bestCold
        && m_random.uniform() < m_options.coldChoiceWeight / static_cast<double>(candidates.size()))
        return bestCold;
    return best ? best : bestCold;
}

} // namespace jacinthshift
