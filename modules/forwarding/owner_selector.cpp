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

double OwnerSelector::cost(const OwnerCandidate &candidate, double fallbackServiceTime,
                           std::chrono::milliseconds targetLeft)
{
    const BackendStatus &backend = candidate.backend;
    const double service = backend.serviceTime.count() > 0
                                   ? static_cast<double>(backend.serviceTime.count())
                                   : fallbackServiceTime;
    const double limit = std::max(1.0, static_cast<double>(backend.limit));
    const double load = std::max(backend.running + backend.queued, candidate.outstanding);
    double total = service;
    const double fill = load / limit;
    if (fill > m_options.comfortableLoad) {
        total += service * m_options.crowdedPenalty
                 * std::min(1.0,
                            (fill - m_options.comfortableLoad) / (1.0 - m_options.comfortableLoad));
    }
    if (load >= limit)
        total += (load - limit + 1.0) * service / limit;
    total += service * m_options.failurePenalty * backend.failuresPerThousand / PerThousand;
    if (!candidate.sameDomain)
        total += m_options.otherDomainPart * static_cast<double>(targetLeft.count());
    return total * (1.0 + m_options.noise * m_random.unit());
}

std::optional<std::size_t> OwnerSelector::choose(const std::vector<OwnerCandidate> &candidates,
                                                 std::chrono::milliseconds targetLeft)
{
    const double fallback = meanServiceTime(candidates);
    std::optional<std::size_t> best;
    std::optional<std::size_t> bestCold;
    double lowest = 0.0;
    double lowestCold = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const OwnerCandidate &candidate = candidates[i];
        const double price = cost(candidate, fallback, targetLeft);
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
