#include "modules/forwarding/owner_selector.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jacinthshift {

namespace {

// Assumed mean service time if no owner has reported one.
constexpr double DefaultServiceTimeMs = 100.0;
constexpr double PerThousand = 1'000.0;
constexpr double MillisecondsPerSecond = 1'000.0;

/** Returns the mean of the reported service times in milliseconds. */
double meanServiceTime(const std::vector<OwnerCandidate> &candidates)
{
    double sum = 0.0;
    int reportedCount = 0;
    for (const OwnerCandidate &candidate : candidates) {
        if (candidate.backend.serviceTime.count() == 0)
            continue;
        sum += static_cast<double>(candidate.backend.serviceTime.count());
        ++reportedCount;
    }
    return reportedCount == 0 ? DefaultServiceTimeMs : sum / reportedCount;
}

} // namespace

double OwnerSelector::expectedTime(const OwnerCandidate &candidate, double fallbackServiceTime,
                                   const SelectionContext &context) const
{
    const BackendStatus &backend = candidate.backend;
    const double serviceTimeMs = backend.serviceTime.count() > 0
                                         ? static_cast<double>(backend.serviceTime.count())
                                         : fallbackServiceTime;
    const double limit = std::max(1.0, static_cast<double>(backend.concurrencyLimit));
    const double load = std::max(backend.running + backend.queued, candidate.outstanding);
    double total = serviceTimeMs * context.routeFactor;
    const double utilisation = load / limit;
    if (utilisation > m_options.slowdownUtilisation) {
        total += serviceTimeMs * context.routeFactor * m_options.fullLoadPenalty
                 * std::min(1.0, (utilisation - m_options.slowdownUtilisation)
                                         / (1.0 - m_options.slowdownUtilisation));
    }
    // The other senders use the rate limit as well, so it is taken to be used up at the moment.
    if (backend.requestRateLimit > 0.0)
        total += (backend.queued + 1.0) * MillisecondsPerSecond / backend.requestRateLimit;
    if (load >= limit)
        total += (load - limit + 1.0) * serviceTimeMs / limit;
    // The link sends earlier responses while the backend server works on the request.
    if (context.largeResponse)
        total = std::max(total, static_cast<double>(backend.responseBacklog.count()));
    return total;
}

double OwnerSelector::cost(const OwnerCandidate &candidate, double fallbackServiceTime,
                           const SelectionContext &context)
{
    const double targetTimeLeft = static_cast<double>(context.targetTimeLeft.count());
    const double expected = expectedTime(candidate, fallbackServiceTime, context);
    const double randomizedTime = expected * (1.0 + m_options.noise * m_random.uniform());
    const double failurePenalty = m_options.failureCost * targetTimeLeft
                                  * candidate.backend.failuresPerThousand / PerThousand;
    if (!candidate.sameDomain)
        return randomizedTime + failurePenalty + m_options.otherDomainPenalty * targetTimeLeft;
    // An owner in the own failure domain that is fast enough costs less than one in another domain,
    // unless its requests fail.
    const bool fastEnough = expected <= m_options.fastEnoughFraction * targetTimeLeft;
    return (fastEnough ? randomizedTime * m_options.otherDomainPenalty : randomizedTime)
           + failurePenalty;
}

std::vector<std::size_t> OwnerSelector::sample(const std::vector<OwnerCandidate> &candidates)
{
    std::array<std::vector<std::size_t>, 2> warmByDomain; // Of the own domain, and of the others.
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].backend.startsPerSecond > 0)
            chosen.push_back(i);
        else
            warmByDomain.at(candidates[i].sameDomain ? 0 : 1).push_back(i);
    }
    for (std::vector<std::size_t> &warm : warmByDomain) {
        const std::size_t count = std::min(warm.size(), m_options.sampleSize);
        for (std::size_t i = 0; i < count; ++i) {
            std::swap(warm[i], warm[i + m_random.below(warm.size() - i)]);
            chosen.push_back(warm[i]);
        }
    }
    return chosen;
}

std::optional<std::size_t> OwnerSelector::choose(const std::vector<OwnerCandidate> &candidates,
                                                 const SelectionContext &context)
{
    const double fallbackServiceTime = meanServiceTime(candidates);
    std::optional<std::size_t> best;
    std::optional<std::size_t> bestCold;
    double lowestCost = 0.0;
    double lowestColdCost = 0.0;
    for (const std::size_t i : sample(candidates)) {
        const OwnerCandidate &candidate = candidates[i];
        const double candidateCost = cost(candidate, fallbackServiceTime, context);
        const bool cold = candidate.backend.startsPerSecond > 0;
        std::optional<std::size_t> &bestIndex = cold ? bestCold : best;
        double &bestCost = cold ? lowestColdCost : lowestCost;
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
