#ifndef MODULES_OWNER_ADMISSION_QUEUE_H
#define MODULES_OWNER_ADMISSION_QUEUE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/fleet/messages.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct AdmissionQueueOptions
{
    /** Weight of the newest request in the mean service time. */
    double serviceTimeWeight = 0.1;
    /** The service time assumed before the first answer, as a part of the target latency. */
    double assumedPartOfTarget = 0.35;
    /** The part of the time between service time and deadline that a late request may wait. */
    double latePatience = 0.25;
    /** A request is given up when less than this part of its service time is left. */
    double leastPartOfService = 0.6;
    /** So many requests run even if they seem hopeless; without them the estimate never mends. */
    std::uint32_t probes = 2;
    std::uint32_t queuePerSlot = 4; ///< The longest queue, as a multiple of the limit.
    double coldBurst = 1.5;         ///< Starts that a cold backend server may get at once.
    std::chrono::milliseconds shortestRetry{40};
    std::chrono::milliseconds longestRetry{1'000};
};

/** A request that wants to run. */
struct AdmissionTicket
{
    std::uint64_t id = 0;
    std::string route;
    std::uint32_t priority = 0;
    bool returning = false; ///< The caller was refused before.
    SteadyTime targetAt;    ///< Later answers are of little use.
    SteadyTime deadline;
};

/** What became of an offered ticket. */
struct AdmissionDecision
{
    enum class Kind { Start, Wait, Refuse };

    Kind kind = Kind::Refuse;
    WorkRefusal reason = WorkRefusal::None;
    std::chrono::milliseconds expectedWait{0}; ///< Until it would start, or until there is room.
    std::uint64_t displaced = 0; ///< A less urgent ticket that lost its place; 0 if none.
};

/** Tickets whose turn has come, and those that can no longer be served. */
struct AdmissionTurns
{
    std::vector<std::uint64_t> start;
    std::vector<std::uint64_t> giveUp;
};

/**
 * Decides what runs on one backend server, what waits and what is refused.
 *
 * Requests run while there are slots. Others wait, the most urgent first, as long as they are
 * expected to be answered in time; what cannot be is refused at once, so its caller can go
 * elsewhere. A cold backend server gets no more starts a second than it bears.
 */
class AdmissionQueue
{
    /** Service time that requests of one priority have asked for of late. */
    struct Demand
    {
        double work = 0.0; ///< Milliseconds, decaying.
        SteadyTime at;
    };
    struct ServiceTime
    {
        double milliseconds = 0.0;
    };

    AdmissionQueueOptions m_options;
    std::uint32_t m_limit = 0;
    std::uint32_t m_running = 0;
    std::vector<AdmissionTicket> m_waiting;
    std::unordered_map<std::string, ServiceTime> m_serviceTimes;
    std::map<std::uint32_t, Demand> m_demand;
    double m_meanServiceTime = 0.0; ///< Milliseconds, over all routes.
    double m_startsPerSecond = 0.0; ///< Zero unless cold.
    double m_startCredit = 0.0;
    SteadyTime m_creditAt;
    SteadyTime m_lastFinish;

    double serviceTime(const AdmissionTicket &ticket, SteadyTime now) const;
    double meanServiceTime() const;
    bool goesBefore(const AdmissionTicket &a, const AdmissionTicket &b, SteadyTime now) const;
    bool isLate(const AdmissionTicket &ticket, SteadyTime now) const;
    bool isHopeless(const AdmissionTicket &ticket, SteadyTime now) const;
    std::uint32_t aheadOf(const AdmissionTicket &ticket, SteadyTime now) const;
    double expectedWait(std::uint32_t ahead) const;
    void noteDemand(std::uint32_t priority, double service, SteadyTime now);
    double decayed(const Demand &demand, SteadyTime now) const;
    double demandBefore(std::uint32_t priority, SteadyTime now) const;
    bool mayStart(SteadyTime now);
    void noteStart();
    AdmissionDecision refuse(WorkRefusal reason, double wait) const;

public:
    explicit AdmissionQueue(const AdmissionQueueOptions &options) : m_options(options) {}

    /** Sets how many requests may run at once. */
    void setLimit(std::uint32_t limit) { m_limit = limit; }
    /** Sets how many requests a second may start; zero means any number. */
    void setStartRate(double perSecond, SteadyTime now);

    AdmissionDecision offer(const AdmissionTicket &ticket, SteadyTime now);
    /** Notes the end of a running request; a service time of zero tells nothing. */
    void finished(const std::string &route, std::chrono::microseconds serviceTime, SteadyTime now);
    /** Takes a waiting ticket back. Returns false if it does not wait. */
    bool withdraw(std::uint64_t id);
    AdmissionTurns turns(SteadyTime now);
    /** Empties the queue and returns its tickets. */
    std::vector<std::uint64_t> clear();

    std::uint32_t limit() const { return m_limit; }
    std::uint32_t running() const { return m_running; }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    double startsPerSecond() const { return m_startsPerSecond; }
    std::chrono::milliseconds typicalServiceTime() const;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_ADMISSION_QUEUE_H
