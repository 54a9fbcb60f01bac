#include "modules/forwarding/owner_selector.h"

#include <algorithm>
#include <array>
#include <limits>
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

OwnerSelector::PricedGroup OwnerSelector::priceGroup(const std::vector<OwnerCandidate> &candidates,
                                                     const std::vector<std::size_t> &sampled,
                                                     bool sameDomain,
                                                     const SelectionContext &context) const
{
    PricedGroup group;
    double waits = 0.0;
    for (const std::size_t i : sampled) {
        const OwnerCandidate &candidate = candidates[i];
        if (candidate.sameDomain != sameDomain)
            continue;
        const OwnerEstimate estimate =
                estimateOwner(OwnerFigures{.backend = candidate.backend,
                                           .age = candidate.statusAge,
                                           .outstanding = candidate.outstanding,
                                           .routeFactor = context.routeFactor});
        waits += estimate.wait;
        group.utilisation += estimate.utilisation;
        group.owners.push_back(Priced{.index = i, .estimate = estimate});
    }
    if (group.owners.empty())
        return group;
    const auto count = static_cast<double>(group.owners.size());
    group.utilisation /= count;
    const double targetTimeLeft = static_cast<double>(context.targetTimeLeft.count());
    for (Priced &owner : group.owners) {
        const OwnerEstimate &estimate = owner.estimate;
        const BackendStatus &backend = candidates[owner.index].backend;
        // While a figure ages, the owner becomes like the others: its requests end, and those of
        // all senders take their place.
        const double meanWait = waits / count;
        double time = meanWait + (estimate.wait - meanWait) * estimate.freshness + estimate.run;
        if (estimate.utilisation > m_options.slowdownUtilisation) {
            time += estimate.run * m_options.fullLoadPenalty
                    * std::min(1.0, (estimate.utilisation - m_options.slowdownUtilisation)
                                            / (1.0 - m_options.slowdownUtilisation));
        }
        if (context.largeResponse)
            time = std::max(time, static_cast<double>(backend.responseBacklog.count()));
        owner.expected = time
                         + m_options.failureCost * targetTimeLeft * backend.failuresPerThousand
                                   / PerThousand;
        owner.expected = std::max(1.0, owner.expected);
        if (owner.expected > m_options.fastEnoughFraction * targetTimeLeft)
            continue;
        // The slots that it has free, divided twice by the time: the rate at which it can take
        // requests, and a preference for owners that leave a long run more of its deadline.
        owner.weight = (estimate.freeSlots + 1.0) / (owner.expected * owner.expected);
        group.inTimeWeight += owner.weight;
    }
    return group;
}

std::size_t OwnerSelector::drawByWeight(const PricedGroup &group)
{
    double rest = m_random.uniform() * group.inTimeWeight;
    std::size_t chosen = group.owners.front().index;
    for (const Priced &owner : group.owners) {
        if (owner.weight <= 0.0)
            continue;
        chosen = owner.index;
        rest -= owner.weight;
        if (rest < 0.0)
            break;
    }
    return chosen;
}

std::size_t OwnerSelector::chooseByCosts(const std::vector<OwnerCandidate> &candidates,
                                         const std::vector<std::size_t> &sampled,
                                         const SelectionContext &context)
{
    const PricedGroup own = priceGroup(candidates, sampled, true, context);
    const PricedGroup others = priceGroup(candidates, sampled, false, context);
    if (own.inTimeWeight > 0.0) {
        // Requests move before queues form, the more the larger the difference is.
        const double aboveSlowdown = own.utilisation - m_options.slowdownUtilisation;
        const double difference = own.utilisation - others.utilisation;
        const double lent = std::min({m_options.maxLentFraction, aboveSlowdown, difference / 2.0});
        const bool lend = others.inTimeWeight > 0.0 && lent > 0.0 && m_random.uniform() < lent;
        return drawByWeight(lend ? others : own);
    }
    if (others.inTimeWeight > 0.0)
        return drawByWeight(others);
    const double penalty =
            m_options.otherDomainPenalty * static_cast<double>(context.targetTimeLeft.count());
    std::size_t best = 0;
    double lowest = std::numeric_limits<double>::max();
    for (const PricedGroup *group : {&own, &others}) {
        for (const Priced &owner : group->owners) {
            const double total = owner.expected * (1.0 + m_options.noise * m_random.uniform())
                                 + (group == &others ? penalty : 0.0);
            if (total >= lowest)
                continue;
            best = owner.index;
            lowest = total;
        }
    }
    return best;
}

std::optional<std::size_t> OwnerSelector::choose(const std::vector<OwnerCandidate> &candidates,
                                                 const SelectionContext &context)
{
    const double fallbackServiceTime = meanServiceTime(candidates);
    std::optional<std::size_t> best;
    std::optional<std::size_t> bestCold;
    double lowestCost = 0.0;
    double lowestColdCost = 0.0;
    const std::vector<std::size_t> sampled = sample(candidates);
    std::vector<std::size_t> priced;
    std::size_t warmCount = 0;
    for (const std::size_t i : sampled) {
        const BackendStatus &backend = candidates[i].backend;
        if (backend.startsPerSecond > 0)
            continue;
        ++warmCount;
        if (hasCosts(backend))
            priced.push_back(i);
    }
    for (const std::size_t i : sampled) {
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
    if (!priced.empty() && priced.size() == warmCount)
        best = chooseByCosts(candidates, priced, context);
    // A cold backend server receives a few requests to warm up; most go to the others, if any.
    if (best && bestCold
        && m_random.uniform() < m_options.coldChoiceWeight / static_cast<double>(candidates.size()))
        return bestCold;
    return best ? best : bestCold;
}

} // namespace jacinthshift
