#include "modules/routing/balancer.h"

#include <algorithm>

namespace jacinthshift {

namespace {

// Concurrency limit assumed for an owner that has not reported one yet.
constexpr double AssumedLimit = 1.0;
constexpr double FullLoad = 1.0;
// Reported load of other nodes' requests that is older than this counts as zero.
constexpr std::chrono::milliseconds ReportedLoadMaxAge{1'000};

} // namespace

Balancer::Balancer(const BalancerOptions &options, TimerService &timers)
    : m_options(options), m_timers(timers), m_random(options.randomSeed)
{
}

double Balancer::relativeLoad(const MemberRecord &instance) const
{
    const auto found = m_loads.find(instance.node);
    if (found == m_loads.end())
        return 0.0;
    const OwnerLoad &load = found->second;
    const double limit = load.limit == 0 ? AssumedLimit : static_cast<double>(load.limit);
    const bool isCurrent = m_timers.now() - load.reportedAt < ReportedLoadMaxAge;
    const double otherInFlight = isCurrent ? static_cast<double>(load.otherInFlight) : 0.0;
    return (static_cast<double>(load.ownInFlight) + otherInFlight) / limit;
}

const MemberRecord *
Balancer::pickLessLoadedOfTwo(const std::vector<const MemberRecord *> &candidates)
{
    const MemberRecord *first = candidates[m_random.below(candidates.size())];
    const MemberRecord *second = candidates[m_random.below(candidates.size())];
    return relativeLoad(*second) < relativeLoad(*first) ? second : first;
}

OwnerChoice Balancer::choose(const OwnerChoiceRequest &request)
{
    const SteadyTime now = m_timers.now();
    std::vector<const MemberRecord *> ownDomain;
    std::vector<const MemberRecord *> otherDomains;
    std::vector<const MemberRecord *> avoided;
    for (const MemberRecord &instance : request.instances) {
        const bool eligible = instance.acceptsRequests() && instance.version == request.version
                              && !request.triedNodes.contains(instance.node)
                              && !request.excludedDomains.contains(instance.domain);
        if (!eligible)
            continue;
        const auto load = m_loads.find(instance.node);
        const bool isAvoided = instance.status == MemberStatus::Suspect
                               || (load != m_loads.end() && load->second.avoidUntil > now);
        if (isAvoided)
            avoided.push_back(&instance);
        else
            (instance.domain == m_options.domain ? ownDomain : otherDomains).push_back(&instance);
    }
    if (!ownDomain.empty()) {
        const MemberRecord *chosen = pickLessLoadedOfTwo(ownDomain);
        if (relativeLoad(*chosen) < FullLoad)
            return OwnerChoice{.node = chosen->node, .reason = "own-domain"};
        const auto leastLoaded =
                std::min_element(ownDomain.begin(), ownDomain.end(),
                                 [this](const MemberRecord *a, const MemberRecord *b) {
                                     return relativeLoad(*a) < relativeLoad(*b);
                                 });
        if (relativeLoad(**leastLoaded) < FullLoad || otherDomains.empty())
            return OwnerChoice{.node = (*leastLoaded)->node, .reason = "own-domain-least"};
    }
    if (!otherDomains.empty())
        return OwnerChoice{.node = pickLessLoadedOfTwo(otherDomains)->node,
                           .reason = ownDomain.empty() ? "other-domain" : "spill-over"};
    if (!avoided.empty())
        return OwnerChoice{.node = pickLessLoadedOfTwo(avoided)->node, .reason = "avoided-only"};
    return {};
}

void Balancer::requestEnded(const std::string &node, std::uint32_t limit, std::uint32_t inFlight)
{
    OwnerLoad &load = m_loads[node];
    if (load.ownInFlight > 0)
        --load.ownInFlight;
    if (limit == 0)
        return;
    load.limit = limit;
    load.otherInFlight = inFlight > load.ownInFlight ? inFlight - load.ownInFlight : 0;
    load.reportedAt = m_timers.now();
}

void Balancer::avoid(const std::string &node)
{
    m_loads[node].avoidUntil = m_timers.now() + m_options.avoidDuration;
}

std::uint32_t Balancer::inFlightTo(const std::string &node) const
{
    const auto found = m_loads.find(node);
    return found == m_loads.end() ? 0 : found->second.ownInFlight;
}

void Balancer::removeNode(const std::string &node)
{
    const auto found = m_loads.find(node);
    if (found != m_loads.end() && found->second.ownInFlight == 0)
        m_loads.erase(found);
}

} // namespace jacinthshift
