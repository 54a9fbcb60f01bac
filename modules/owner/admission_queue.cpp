#include "modules/owner/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jacinthshift {

namespace {

// Half-life of a service time estimate without new answers. The estimate decays so that a slow
// period does not keep requests away for good.
constexpr double EstimateHalfLifeMilliseconds = 3'000.0;
// Mean service time that is assumed before the first answer.
constexpr double DefaultServiceTimeMs = 100.0;
// Time constant of the exponential decay of the demand of each priority.
constexpr double DemandTimeConstantMilliseconds = 1'000.0;
// Lower bound of the fraction of the slots that more urgent requests are assumed to leave free.
constexpr double MinFreeSlotFraction = 0.1;

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

double AdmissionQueue::meanServiceTimeOrDefault() const
{
    if (m_meanRunTime > 0.0)
        return m_meanRunTime;
    return m_meanServiceTime > 0.0 ? m_meanServiceTime : DefaultServiceTimeMs;
}

std::chrono::milliseconds AdmissionQueue::meanServiceTime() const
{
    return std::chrono::milliseconds(std::llround(m_meanServiceTime));
}

double AdmissionQueue::serviceTime(const AdmissionTicket &ticket, SteadyTime now) const
{
    if (ticket.expectedTime.count() > 0)
        return static_cast<double>(ticket.expectedTime.count());
    const auto known = m_serviceTimes.find(ticket.route);
    if (known == m_serviceTimes.end()) {
        return std::max(1.0, millisecondsBetween(now, ticket.targetAt))
               * m_options.assumedTargetFraction;
    }
    const double idle = std::max(0.0, millisecondsBetween(m_lastSampleAt, now));
    return known->second.milliseconds * std::pow(0.5, idle / EstimateHalfLifeMilliseconds);
}

bool AdmissionQueue::isLate(const AdmissionTicket &ticket, SteadyTime now) const
{
    return millisecondsBetween(now, ticket.targetAt) < serviceTime(ticket, now);
}

bool AdmissionQueue::willMissDeadline(const AdmissionTicket &ticket, SteadyTime now) const
{
    const double fraction = ticket.expectedTime.count() > 0 ? m_options.minExpectedTimeFraction
                                                            : m_options.minServiceTimeFraction;
    return millisecondsBetween(now, ticket.deadline) < serviceTime(ticket, now) * fraction;
}

bool AdmissionQueue::precedes(const AdmissionTicket &a, const AdmissionTicket &b,
                              SteadyTime now) const
{
    const bool aUnderserved = m_shares.isUnderserved(a.workspace, now);
    const bool bUnderserved = m_shares.isUnderserved(b.workspace, now);
    if (aUnderserved != bUnderserved)
        return aUnderserved;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    const bool aLate = isLate(a, now);
    const bool bLate = isLate(b, now);
    if (aLate != bLate)
        return bLate;
    const double aService = m_shares.recentService(a.workspace);
    const double bService = m_shares.recentService(b.workspace);
    if (aService != bService)
        return aService < bService;
    if (a.isCallerRetry != b.isCallerRetry)
        return a.isCallerRetry;
    return a.targetAt < b.targetAt;
}

std::uint32_t AdmissionQueue::countAhead(const AdmissionTicket &ticket, SteadyTime now) const
{
    return static_cast<std::uint32_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const AdmissionTicket &other) {
                return !precedes(ticket, other, now);
            }));
}

double AdmissionQueue::expectedWait(std::uint32_t ahead, double service) const
{
    double wait = 0.0;
    if (m_limit < m_slots && m_running >= m_limit) {
        // The first answer makes all slots available; until then, those ahead do not block them.
        const std::uint32_t rounds = 1 + ahead / m_slots;
        wait = service * rounds;
    } else if (m_running >= m_limit) {
        wait = (ahead + 1) * meanServiceTimeOrDefault() / std::max(1U, m_limit);
    }
    if (m_startsPerSecond > 0.0) {
        const double charged = std::max(0.0, -m_startTokens);
        wait = std::max(wait, (ahead + 1 + charged) * 1'000.0 / m_startsPerSecond);
    }
    return wait;
}

std::uint32_t AdmissionQueue::countSharedAhead(const AdmissionTicket &ticket, SteadyTime now) const
{
    const auto mostUrgent =
            std::min_element(m_waiting.begin(), m_waiting.end(),
                             [](const AdmissionTicket &a, const AdmissionTicket &b) {
                                 return a.priority < b.priority;
                             });
    return static_cast<std::uint32_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const AdmissionTicket &other) {
                return !precedes(ticket, other, now)
                       && (other.priority > mostUrgent->priority
                           || ticket.priority <= mostUrgent->priority);
            }));
}

double AdmissionQueue::shareWait(std::uint32_t sharedAhead) const
{
    const double startsNeeded = (sharedAhead + 1.0) * (m_options.startsBeforeLessUrgent + 1.0);
    return startsNeeded * meanServiceTimeOrDefault() / std::max(1U, m_limit);
}

void AdmissionQueue::setStartRate(double perSecond, WorkRefusal reason, SteadyTime now)
{
    if (perSecond > 0.0 && m_startsPerSecond <= 0.0) {
        m_startTokens = 1.0;
        m_tokensUpdatedAt = now;
    }
    m_startsPerSecond = perSecond;
    m_startRateReason = reason;
}

void AdmissionQueue::recordDemand(std::uint32_t priority, double service, SteadyTime now)
{
    Demand &demand = m_demand[priority];
    demand.work = decayedWork(demand, now) + service;
    demand.updatedAt = now;
}

double AdmissionQueue::decayedWork(const Demand &demand, SteadyTime now) const
{
    return demand.work
           * std::exp(-millisecondsBetween(demand.updatedAt, now) / DemandTimeConstantMilliseconds);
}

double AdmissionQueue::moreUrgentUtilisation(std::uint32_t priority, SteadyTime now) const
{
    double work = 0.0;
    for (const auto &[other, demand] : m_demand) {
        if (other < priority)
            work += decayedWork(demand, now);
    }
    return work / (DemandTimeConstantMilliseconds * std::max(1U, m_limit));
}

bool AdmissionQueue::mayStart(SteadyTime now)
{
    if (m_running >= m_limit)
        return false;
    if (m_startsPerSecond <= 0.0)
        return true;
    m_startTokens = std::min(
            m_options.startBurst,
            m_startTokens
                    + m_startsPerSecond * millisecondsBetween(m_tokensUpdatedAt, now) / 1'000.0);
    m_tokensUpdatedAt = now;
    return m_startTokens >= 1.0;
}

void AdmissionQueue::recordStart(const AdmissionTicket &ticket, SteadyTime now)
{
    ++m_running;
    if (!ticket.workspace.empty())
        m_shares.started(ticket.workspace, serviceTime(ticket, now), now);
    if (m_startsPerSecond > 0.0)
        m_startTokens -= 1.0;
}

AdmissionDecision AdmissionQueue::refuse(WorkRefusal reason, double wait) const
{
    const std::chrono::milliseconds retryAfter(std::llround(wait));
    return AdmissionDecision{.kind = AdmissionDecision::Kind::Refuse,
                             .reason = reason,
                             .expectedWait = std::clamp(retryAfter, m_options.minRetryAfter,
                                                        m_options.maxRetryAfter)};
}

AdmissionDecision AdmissionQueue::offer(const AdmissionTicket &ticket, SteadyTime now)
{
    const WorkRefusal refusalReason =
            m_startsPerSecond > 0.0 ? m_startRateReason : WorkRefusal::Overloaded;
    const double service = serviceTime(ticket, now);
    m_shares.offered(ticket.workspace, now);
    if (willMissDeadline(ticket, now) && m_running >= std::min(m_options.maxProbes, m_limit))
        return refuse(refusalReason, ticket.expectedTime.count() > 0
                                             ? expectedWait(countAhead(ticket, now), service)
                                             : service);
    recordDemand(ticket.priority, service, now);
    const std::uint32_t ahead = countAhead(ticket, now);
    if (ahead == 0 && mayStart(now)) {
        recordStart(ticket, now);
        return AdmissionDecision{.kind = AdmissionDecision::Kind::Start};
    }
    // More urgent requests that arrive while it waits will overtake it.
    const double overtaking = m_shares.isUnderserved(ticket.workspace, now)
                                      ? 0.0
                                      : moreUrgentUtilisation(ticket.priority, now);
    double wait = expectedWait(ahead, service) / std::max(MinFreeSlotFraction, 1.0 - overtaking);
    const std::uint32_t sharedAhead = countSharedAhead(ticket, now);
    const bool hasShare = sharedAhead < ahead && m_startsPerSecond <= 0.0;
    if (hasShare)
        wait = std::min(wait, shareWait(sharedAhead));
    const double untilTarget = millisecondsBetween(now, ticket.targetAt) - service;
    const double untilDeadline = millisecondsBetween(now, ticket.deadline) - service;
    // A request that becomes late while it waits is overtaken by all that can still be answered in
    // time, so it is not admitted to the queue.
    const double maxWait =
            untilTarget > 0.0 ? untilTarget : untilDeadline * m_options.maxLateWaitFraction;
    if (wait > maxWait)
        return refuse(refusalReason, wait);
    AdmissionDecision decision{.kind = AdmissionDecision::Kind::Wait,
                               .expectedWait = std::chrono::milliseconds(std::llround(wait))};
    // A class that waits for its small share needs places in the queue, for about as many slots.
    const std::size_t capacity = std::size_t(std::max(m_limit, m_slots)) * m_options.queuePerSlot;
    const bool usesShare = hasShare && sharedAhead <= m_limit / m_options.startsBeforeLessUrgent;
    if (m_waiting.size() >= capacity && !usesShare) {
        const auto last = std::max_element(m_waiting.begin(), m_waiting.end(),
                                           [&](const AdmissionTicket &a, const AdmissionTicket &b) {
                                               return precedes(a, b, now);
                                           });
        if (last == m_waiting.end() || !precedes(ticket, *last, now))
            return refuse(refusalReason, wait);
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
    m_lastSampleAt = now;
}

bool AdmissionQueue::withdraw(std::uint64_t id)
{
    return std::erase_if(m_waiting, [id](const AdmissionTicket &ticket) { return ticket.id == id; })
           > 0;
}

std::vector<AdmissionTicket>::iterator AdmissionQueue::nextToStart(SteadyTime now)
{
    const auto before = [&](const AdmissionTicket &a, const AdmissionTicket &b) {
        return precedes(a, b, now);
    };
    const auto first = std::min_element(m_waiting.begin(), m_waiting.end(), before);
    auto lessUrgent = m_waiting.end();
    for (auto ticket = m_waiting.begin(); ticket != m_waiting.end(); ++ticket) {
        if (ticket->priority > first->priority
            && (lessUrgent == m_waiting.end() || precedes(*ticket, *lessUrgent, now)))
            lessUrgent = ticket;
    }
    if (lessUrgent == m_waiting.end())
        return first;
    if (++m_startsOverLessUrgent <= m_options.startsBeforeLessUrgent)
        return first;
    m_startsOverLessUrgent = 0;
    return lessUrgent;
}

DequeuedTickets AdmissionQueue::dequeue(SteadyTime now)
{
    DequeuedTickets due;
    // A request that has become late is overtaken by those that are not, unless they are less
    // urgent. It is dropped at once, so that its caller can try another backend server.
    std::uint32_t mostUrgentInTime = std::numeric_limits<std::uint32_t>::max();
    for (const AdmissionTicket &ticket : m_waiting) {
        if (ticket.priority < mostUrgentInTime && !isLate(ticket, now))
            mostUrgentInTime = ticket.priority;
    }
    std::erase_if(m_waiting, [&](const AdmissionTicket &ticket) {
        const bool overtaken = mostUrgentInTime <= ticket.priority && isLate(ticket, now);
        const bool drop = overtaken || willMissDeadline(ticket, now);
        if (drop)
            due.dropped.push_back(ticket.id);
        return drop;
    });
    while (!m_waiting.empty() && mayStart(now)) {
        const auto first = nextToStart(now);
        due.start.push_back(first->id);
        recordStart(*first, now);
        m_waiting.erase(first);
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
