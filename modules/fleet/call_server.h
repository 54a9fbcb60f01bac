#ifndef MODULES_FLEET_CALL_SERVER_H
#define MODULES_FLEET_CALL_SERVER_H

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "modules/fleet/call_key.h"
#include "modules/fleet/fleet_network.h"
#include "modules/fleet/part_sender.h"
#include "modules/fleet/response_budget.h"

namespace jacinthshift {

/** Runs requests on this VM's backend server. */
class WorkHandler
{
public:
    using Callback = std::function<void(const WorkResult &)>;

    virtual ~WorkHandler() = default;

    /**
     * Starts a request and returns its id for cancel(). The callback runs exactly once, possibly
     * before this function returns, unless the request is cancelled.
     */
    virtual std::uint64_t run(const WorkRequest &work, Callback callback) = 0;
    /**
     * Cancels a request; its callback will not run. Returns whether the request certainly has not
     * run and will not.
     */
    virtual bool cancel(std::uint64_t id) = 0;
    /** Returns the status that is reported to other nodes. */
    virtual BackendStatus status() const = 0;
};

struct CallServerOptions
{
    /** How long results are stored for nodes that lost their link. */
    std::chrono::milliseconds resultRetention{3'000};
    std::size_t maxStoredResults = 4'096;
    /**
     * How long the ids of ended calls, and of calls that were reported as not run, are stored to
     * reject late duplicates. It must exceed the time that a frame can wait unread in a connection
     * of a process that is starved of CPU time.
     */
    std::chrono::milliseconds endedCallRetention{120'000};
    std::size_t maxEndedCalls = 100'000;
    /** Bytes of the bodies of all stored results; the oldest results are dropped beyond it. */
    std::size_t maxStoredBytes = 8 * 1024 * 1024;
    /** Counts calls from their arrival; one without room is refused. Null for none. */
    std::shared_ptr<ByteAccount> account;
    std::chrono::milliseconds retryAfterWithoutRoom{100};
    PartSenderOptions parts;      ///< How large response bodies are sent.
    ResponseBudgetOptions budget; ///< Which of them the link can send in time.
};

/**
 * Runs the calls of other nodes on the local WorkHandler and sends back their results, over a new
 * link if the calling node has reconnected. A call that arrives twice runs only once, as long as
 * its id is stored (see endedCallRetention).
 */
class CallServer final : public FleetObserver
{
    /** Why a call must not start any more. */
    enum class CallEnd {
        Finished, ///< It has run, was refused, or was cancelled while it ran.
        Fenced,   ///< Its result was requested, or it was cancelled, before it arrived.
    };
    struct RunningCall
    {
        std::uint64_t id = 0; ///< Its id in the handler.
        std::string route;
        SteadyTime startedAt;
        SteadyTime deadline;           ///< Until when its caller waits.
        std::size_t reservedBytes = 0; ///< Of the response budget.
    };
    /** A call that starts once all input that has arrived with it was read. */
    struct ArrivedCall
    {
        CallKey key;
        WorkRequest work;
    };
    /** A call whose request body is arriving in parts. */
    struct IncomingCall final : ByteHolder
    {
        CallServer *server = nullptr;
        CallKey key;
        WorkRequest work;
        std::string body; ///< The parts received so far.
        std::uint64_t bodyBytes = 0;
        SteadyTime arrivedAt;

        void updateAccount();
        void evict() override;
        ~IncomingCall() override;
    };
    struct ExpiryEntry
    {
        CallKey key;
        SteadyTime expiresAt;
    };

    CallServerOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    WorkHandler &m_handler;
    PartSender m_parts;
    ResponseBudget m_budget;
    std::map<CallKey, IncomingCall> m_incoming;
    std::vector<ArrivedCall> m_arrived;
    Timer m_startTimer; ///< Active while calls are about to start.
    std::map<CallKey, RunningCall> m_running;
    /** By node, the last call that its newest process had made when it requested results. */
    std::map<std::string, CallKey> m_lastResumed;
    std::map<CallKey, WorkResult> m_results;
    std::deque<ExpiryEntry> m_resultExpiry;
    std::size_t m_storedBytes = 0; ///< Of the bodies in m_results.
    /** By node, until when it waits for the results that were sent to it. */
    std::map<std::string, SteadyTime> m_resultsAwaited;
    std::map<CallKey, CallEnd> m_ended;
    std::deque<ExpiryEntry> m_endedExpiry;
    std::uint64_t m_orphanedCalls = 0; ///< Calls that ended after their caller's process.

    void callReceived(const CallKey &key, const WorkCallMessage &message);
    void partReceived(const CallKey &key, const RequestPartMessage &part);
    void callArrived(const CallKey &key, WorkRequest work);
    /** Takes room for a call with a body of this size. Refuses the call if there is none. */
    bool makeRoom(const CallKey &key, WorkRequest &work, std::size_t bodyBytes);
    void refuseForRoom(const CallKey &key);
    /** Drops the calls of a process whose bodies have not arrived. */
    void dropIncomingCalls(const std::string &node, std::uint64_t process, std::uint64_t lastCall);
    void storeResult(const CallKey &key, const WorkResult &result);
    void dropStoredResult(const CallKey &key);
    void startArrivedCalls();
    void startCall(const CallKey &key, const WorkRequest &work);
    /** Returns whether the link has room for the call's response; refuses the call otherwise. */
    bool reserveResponse(const CallKey &key, const WorkRequest &work);
    void callFinished(const CallKey &key, const WorkResult &result);
    /** Returns whether the process that made a call has been replaced by another one. */
    bool isOrphaned(const CallKey &key) const;
    void resume(const std::string &node, const WorkResumeMessage &message);
    void cancel(const CallKey &key);
    /** Cancels the calls of a process that its message does not request any more. */
    void endGivenUpCalls(const std::string &node, const WorkResumeMessage &message);
    bool isGivenUp(const CallKey &key) const;
    void recordEndedCall(const CallKey &key, CallEnd end);
    /**
     * Returns the stored result of a call that is not running, or MayHaveRun if it has ended and
     * its result was removed. A call that has not arrived is reported as NotRun and fenced off: it
     * will be ignored if it arrives later.
     */
    WorkResult resultOrFence(const CallKey &key);
    void removeExpired();
    void sendResult(const CallKey &key, const WorkResult &result);

public:
    CallServer(const CallServerOptions &options, FleetNetwork &network, TimerService &timers,
               WorkHandler &handler);

    /** Returns the number of running calls. */
    std::size_t running() const { return m_running.size(); }
    /**
     * Returns the number of calls that have arrived in part or wait to start, and of results that
     * have not reached the nodes that still wait for them.
     */
    std::size_t unfinishedCalls();
    /** Returns the number of calls that ended after their caller's process was replaced. */
    std::uint64_t orphanedCalls() const { return m_orphanedCalls; }
    /** Returns how long the VM's link needs for the large responses that it is committed to. */
    std::chrono::milliseconds responseBacklog() const
    {
        return m_budget.backlog(m_parts.queuedBytes());
    }

    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_CALL_SERVER_H
