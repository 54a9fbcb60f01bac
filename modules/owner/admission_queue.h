#ifndef MODULES_OWNER_ADMISSION_QUEUE_H
#define MODULES_OWNER_ADMISSION_QUEUE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/fleet/messages.h"
#include "modules/owner/workspace_shares.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct AdmissionQueueOptions
{
    /** Weight of the newest request in the moving mean of the service time. */
    double serviceTimeWeight = 0.1;
    /**
     * Service time assumed before the first answer on a route, as a fraction of the time to the
     * target.
     */
    double assumedTargetFraction = 0.35;
    /**
     * Longest wait of a request that will miss its target, as a fraction of its time to the
     * deadline minus its service time.
     */
    double maxLateWaitFraction = 0.25;
    /**
     * A request is expected to miss its deadline if less than this fraction of its service time is
     * left.
     */
    double minServiceTimeFraction = 0.6;
    /**
     * The same for tickets with a known expectedTime. That is the time of usual runs, so with much
     * less left, the run would be aborted at its deadline.
     */
    double minExpectedTimeFraction = 0.9;
    /**
     * A request that is expected to miss its deadline is admitted only while fewer requests than
     * this are running. If none were admitted, an estimate of the service time that is too high
     * would never be corrected.
     */
    std::uint32_t maxProbes = 2;
    std::uint32_t queuePerSlot = 4; ///< Queue capacity, as a multiple of the limit.
    /**
     * After this many starts of more urgent tickets, one that is less urgent starts, so that no
     * class starves.
     */
    std::uint32_t startsBeforeLessUrgent = 10;
    /** Capacity of the token bucket that limits the starts per second. */
    double startBurst = 1.5;
    /** Bounds of the expected wait that is returned with a refusal. */
    std::chrono::milliseconds minRetryAfter{40};
    std::chrono::milliseconds maxRetryAfter{1'000};
    WorkspaceSharesOptions shares;
};

/** A request that asks for admission. */
struct AdmissionTicket
{
    std::uint64_t id = 0;
    std::string route;
    std::string workspace;      ///< Empty if the request has none.
    std::uint32_t priority = 0; ///< Lower values are more urgent.
    bool isCallerRetry = false; ///< A retry after an earlier refusal.
    SteadyTime targetAt;        ///< An answer after this time is of little use to the caller.
    SteadyTime deadline;
    std::chrono::milliseconds expectedTime{0}; ///< Of its run; zero if not known.
};

/** The decision on an offered ticket. */
struct AdmissionDecision
{
    enum class Kind { Start, Wait, Refuse };

    Kind kind = Kind::Refuse;
    WorkRefusal reason = WorkRefusal::None;
    std::chrono::milliseconds expectedWait{0}; ///< Until it starts or, if refused, until a retry.
    std::uint64_t displaced = 0; ///< Less urgent ticket removed from the full queue; 0 if none.
};

/** Tickets that leave the queue: those to start, and those that cannot be answered in time. */
struct DequeuedTickets
{
    std::vector<std::uint64_t> start;
    std::vector<std::uint64_t> dropped;
};

/**
 * Admission queue of one backend server: decides which requests run, wait or are refused.
 *
 * Requests start while slots are free. Others wait in order of urgency if they are expected to be
 * answered in time. Among requests of equal urgency, those of the workspace that received the least
 * service come first; a workspace that is served much less than all others precedes more urgent
 * ones. A request that is not expected to be answered in time is refused at once, so that its
 * caller can try another backend server. A token bucket limits the starts per second on a backend
 * server that is cold or has asked for a lower rate.
 */
class AdmissionQueue
{
    /** Recent demand of the requests of one priority. */
    struct Demand
    {
        double work = 0.0; ///< Sum of service times in milliseconds, decays exponentially.
        SteadyTime updatedAt;
    };
    struct ServiceTime
    {
        double milliseconds = 0.0;
    };

    AdmissionQueueOptions m_options;
    std::uint32_t m_limit = 0;
    std::uint32_t m_slots = 0; ///< The limit from the first answer on.
    std::uint32_t m_running = 0;
    std::vector<AdmissionTicket> m_waiting;
    std::unordered_map<std::string, ServiceTime> m_serviceTimes;
    std::map<std::uint32_t, Demand> m_demand;
    double m_meanServiceTime = 0.0; ///< Milliseconds, over all routes; 0 before the first answer.
    double m_startsPerSecond = 0.0; ///< Rate of the token bucket; 0 for no limit.
    double m_startTokens = 0.0;
    SteadyTime m_tokensUpdatedAt;
    /** Why requests are refused while the start rate is limited. */
    WorkRefusal m_startRateReason = WorkRefusal::Cold;
    SteadyTime m_lastSampleAt;
    WorkspaceShares m_shares;
    double m_meanRunTime = 0.0; ///< Set by setMeanRunTime(); 0 if not known.
    /** Starts of tickets while less urgent ones waited, since the last start of one of those. */
    std::uint32_t m_startsOverLessUrgent = 0;

    // Times of type double are in milliseconds.
    double serviceTime(const AdmissionTicket &ticket, SteadyTime now) const;
    double meanServiceTimeOrDefault() const;
    bool precedes(const AdmissionTicket &a, const AdmissionTicket &b, SteadyTime now) const;
    /** Returns whether a ticket is expected to be answered after its target. */
    bool isLate(const AdmissionTicket &ticket, SteadyTime now) const;
    bool willMissDeadline(const AdmissionTicket &ticket, SteadyTime now) const;
    std::uint32_t countAhead(const AdmissionTicket &ticket, SteadyTime now) const;
    /** Returns the expected wait of a ticket with a service time behind others. */
    double expectedWait(std::uint32_t ahead, double service) const;
    /**
     * Returns how many waiting tickets are served before one by the share of less urgent classes;
     * for one of the most urgent class, all those ahead.
     */
    std::uint32_t countSharedAhead(const AdmissionTicket &ticket, SteadyTime now) const;
    /** Returns the longest wait of a ticket that is served by the share of less urgent classes. */
    double shareWait(std::uint32_t sharedAhead) const;
    /** Returns the waiting ticket that starts next; there must be one. */
    std::vector<AdmissionTicket>::iterator nextToStart(SteadyTime now);
    void recordDemand(std::uint32_t priority, double service, SteadyTime now);
    double decayedWork(const Demand &demand, SteadyTime now) const;
    /** Returns the recent demand of more urgent requests, as a fraction of all slots. */
    double moreUrgentUtilisation(std::uint32_t priority, SteadyTime now) const;
    bool mayStart(SteadyTime now);
    void recordStart(const AdmissionTicket &ticket, SteadyTime now);
    AdmissionDecision refuse(WorkRefusal reason, double wait) const;

public:
    explicit AdmissionQueue(const AdmissionQueueOptions &options)
        : m_options(options), m_shares(options.shares)
    {
    }

    /**
     * Sets how many requests may run at once. Before the first answer, that are fewer than the
     * backend server has slots.
     */
    void setLimit(std::uint32_t limit, std::uint32_t slots)
    {
        m_limit = limit;
        m_slots = slots;
    }
    void setLimit(std::uint32_t limit) { setLimit(limit, limit); }
    /** Sets the mean time of runs of all routes; zero to use the mean of the recorded ones. */
    void setMeanRunTime(std::chrono::milliseconds time)
    {
        m_meanRunTime = static_cast<double>(time.count());
    }
    /** Limits how many requests may start per second, for a reason; 0 for no limit. */
    void setStartRate(double perSecond, WorkRefusal reason, SteadyTime now);

    /** Counts starts before the rate was limited as if they had been made under the limit. */
    void chargeStarts(double starts) { m_startTokens -= starts; }

    /** Decides on a ticket and stores it in the queue if it has to wait. */
    AdmissionDecision offer(const AdmissionTicket &ticket, SteadyTime now);
    /** Records the end of a running request. A service time of zero is not a sample. */
    void finished(const std::string &route, std::chrono::microseconds serviceTime, SteadyTime now);
    /** Removes a ticket from the queue. Returns false if it is not in there. */
    bool withdraw(std::uint64_t id);
    /** Removes and returns the tickets that can start now or have to be dropped. */
    DequeuedTickets dequeue(SteadyTime now);
    /** Empties the queue and returns the ids of its tickets. */
    std::vector<std::uint64_t> clear();

    std::uint32_t limit() const { return m_limit; }
    std::uint32_t running() const { return m_running; }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    double startsPerSecond() const { return m_startsPerSecond; }
    /** Returns the mean service time over all routes; zero before the first answer. */
    std::chrono::milliseconds meanServiceTime() const;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_ADMISSION_QUEUE_H
