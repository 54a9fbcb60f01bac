#include "modules/owner/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

namespace {

// Without answers an estimate loses half of its excess in this time, so a slow spell is forgotten.
constexpr double EstimateHalfLifeMilliseconds = 3'000.0;
constexpr double DefaultServiceMilliseconds = 100.0;
// Over how long the demand of each priority is averaged.
constexpr double DemandMemoryMilliseconds = 1'000.0;
// The least part of the slots that is assumed to be left by more urgent requests.
constexpr double SmallestFreePart = 0.1;

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

double AdmissionQueue::meanServiceTime() const
{
    return m_meanServiceTime > 0.0 ? m_meanServiceTime : DefaultServiceMilliseconds;
}

std::chrono::milliseconds AdmissionQueue::typicalServiceTime() const
{
    return std::chrono::milliseconds(std::llround(m_meanServiceTime));
}

double AdmissionQueue::serviceTime(const AdmissionTicket &ticket, SteadyTime now) const
{
    const auto known = m_serviceTimes.find(ticket.route);
    if (known == m_serviceTimes.end()) {
        return std::max(1.0, millisecondsBetween(now, ticket.targetAt))
               * m_options.assumedPartOfTarget;
    }
    const double idle = std::max(0.0, millisecondsBetween(m_lastFinish, now));
    return known->second.milliseconds * std::pow(0.5, idle / EstimateHalfLifeMilliseconds);
}

bool AdmissionQueue::isLate(const AdmissionTicket &ticket, SteadyTime now) const
{
    return millisecondsBetween(now, ticket.targetAt) < serviceTime(ticket, now);
}

bool AdmissionQueue::isHopeless(const AdmissionTicket &ticket, SteadyTime now) const
{
    return millisecondsBetween(now, ticket.deadline)
           < serviceTime(ticket, now) * m_options.leastPartOfService;
}

bool AdmissionQueue::goesBefore(const AdmissionTicket &a, const AdmissionTicket &b,
                                SteadyTime now) const
{
    const bool aLate = isLate(a, now);
    const bool bLate = isLate(b, now);
    if (aLate != bLate)
        return bLate;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    if (a.returning != b.returning)
        return a.returning;
    return a.targetAt < b.targetAt;
}

std::uint32_t AdmissionQueue::aheadOf(const AdmissionTicket &ticket, SteadyTime now) const
{
    return static_cast<std::uint32_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const AdmissionTicket &other) {
                return !goesBefore(ticket, other, now);
            }));
}

double AdmissionQueue::expectedWait(std::uint32_t ahead) const
{
    double wait = 0.0;
    if (m_running >= m_limit)
        wait = (ahead + 1) * meanServiceTime() / std::max(1U, m_limit);
    if (m_startsPerSecond > 0.0)
        wait = std::max(wait, (ahead + 1) * 1'000.0 / m_startsPerSecond);
    return wait;
}

void AdmissionQueue::setStartRate(double perSecond, SteadyTime now)
{
    if (perSecond > 0.0 && m_startsPerSecond <= 0.0) {
        m_startCredit = 1.0;
        m_creditAt = now;
    }
    m_startsPerSecond = perSecond;
}

void AdmissionQueue::noteDemand(std::uint32_t priority, double service, SteadyTime now)
{
    Demand &demand = m_demand[priority];
    demand.work = decayed(demand, now) + service;
    demand.at = now;
}

double AdmissionQueue::decayed(const Demand &demand, SteadyTime now) const
{
    return demand.work * std::exp(-millisecondsBetween(demand.at, now) / DemandMemoryMilliseconds);
}

double AdmissionQueue::demandBefore(std::uint32_t priority, SteadyTime now) const
{
    double work = 0.0;
    for (const auto &[other, demand] : m_demand) {
        if (other < priority)
            work += decayed(demand, now);
    }
    return work / (DemandMemoryMilliseconds * std::max(1U, m_limit));
}

bool AdmissionQueue::mayStart(SteadyTime now)
{
    if (m_running >= m_limit)
        return false;
    if (m_startsPerSecond <= 0.0)
        return true;
    m_startCredit = std::min(
            m_options.coldBurst,
            m_startCredit + m_startsPerSecond * millisecondsBetween(m_creditAt, now) / 1'000.0);
    m_creditAt = now;
    return m_startCredit >= 1.0;
}

void AdmissionQueue::noteStart()
{
    ++m_running;
    if (m_startsPerSecond > 0.0)
        m_startCredit -= 1.0;
}

AdmissionDecision AdmissionQueue::refuse(WorkRefusal reason, double wait) const
{
    const std::chrono::milliseconds until(std::llround(wait));
    return AdmissionDecision{
            .kind = AdmissionDecision::Kind::Refuse,
            .reason = reason,
            .expectedWait = std::clamp(until, m_options.shortestRetry, m_options.longestRetry)};
}

AdmissionDecision AdmissionQueue::offer(const AdmissionTicket &ticket, SteadyTime now)
{
    const WorkRefusal noRoom = m_startsPerSecond > 0.0 ? WorkRefusal::Cold : WorkRefusal::Full;
    const double service = serviceTime(ticket, now);
    if (isHopeless(ticket, now) && m_running >= std::min(m_options.probes, m_limit))
        return refuse(noRoom, service);
    noteDemand(ticket.priority, service, now);
    const std::uint32_t ahead = aheadOf(ticket, now);
    if (ahead == 0 && mayStart(now)) {
        noteStart();
        return AdmissionDecision{.kind = AdmissionDecision::Kind::Start};
    }
    // Those more urgent that are still to come will overtake it.
    const double wait = expectedWait(ahead)
                        / std::max(SmallestFreePart, 1.0 - demandBefore(ticket.priority, now));
    const double untilTarget = millisecondsBetween(now, ticket.targetAt) - service;
    const double untilDeadline = millisecondsBetween(now, ticket.deadline) - service;
    // What turns late in the queue is overtaken by all that still can be in time, so it is not let
    // in.
    const double patience =
            untilTarget > 0.0 ? untilTarget : untilDeadline * m_options.latePatience;
    if (wait > patience)
        return refuse(noRoom, wait);
    AdmissionDecision decision{.kind = AdmissionDecision::Kind::Wait,
                               .expectedWait = std::chrono::milliseconds(std::llround(wait))};
    if (m_waiting.size() >= std::size_t(m_limit) * m_options.queuePerSlot) {
        const auto last = std::max_element(m_waiting.begin(), m_waiting.end(),
                                           [&](const AdmissionTicket &a, const AdmissionTicket &b) {
                                               return goesBefore(a, b, now);
                                           });
        if (last == m_waiting.end() || !goesBefore(ticket, *last, now))
            return refuse(noRoom, wait);
        decision.displaced = last->id;
        m_waiting.erase(last);
    }
    m_waiting.push_back(ticket);
    return decision;
}

void AdmissionQueue::finished(const std::string &route, std::chrono::microseconds serviceTime,
                              SteadyTime now)
{
    if (m_running > 0)
        --m_running;
    if (serviceTime.count() <= 0)
        return;
    const double sample = static_cast<double>(serviceTime.count()) / 1'000.0;
    const double weight = m_options.serviceTimeWeight;
    const auto [known, isNew] = m_serviceTimes.try_emplace(route, ServiceTime{sample});
    if (!isNew)
        known->second.milliseconds += weight * (sample - known->second.milliseconds);
    m_meanServiceTime = m_meanServiceTime <= 0.0
                                ? sample
                                : m_meanServiceTime + weight * (sample - m_meanServiceTime);
    m_lastFinish = now;
}

bool AdmissionQueue::withdraw(std::uint64_t id)
{
    return std::erase_if(m_waiting, [id](const AdmissionTicket &ticket) { return ticket.id == id; })
           > 0;
}

AdmissionTurns AdmissionQueue::turns(SteadyTime now)
{
    AdmissionTurns due;
    // What has turned late is overtaken by all that are not, so it is told at once and may go
    // elsewhere.
    const bool othersInTime =
            std::any_of(m_waiting.begin(), m_waiting.end(),
                        [&](const AdmissionTicket &ticket) { return !isLate(ticket, now); });
    std::erase_if(m_waiting, [&](const AdmissionTicket &ticket) {
        const bool overtaken = othersInTime && isLate(ticket, now);
        const bool given = overtaken || isHopeless(ticket, now);
        if (given)
            due.giveUp.push_back(ticket.id);
        return given;
    });
    while (!m_waiting.empty() && mayStart(now)) {
        const auto first =
                std::min_element(m_waiting.begin(), m_waiting.end(),
                                 [&](const AdmissionTicket &a, const AdmissionTicket &b) {
                                     return goesBefore(a, b, now);
                                 });
        due.start.push_back(first->id);
        m_waiting.erase(first);
        noteStart();
    }
    return due;
}

std::vector<std::uint64_t> AdmissionQueue::clear()
{
    std::vector<std::uint64_t> ids;
    for (const AdmissionTicket &ticket : m_waiting)
        ids.push_back(ticket.id);
    m_waiting.clear();
    return ids;
}

} // namespace jacinthshift
