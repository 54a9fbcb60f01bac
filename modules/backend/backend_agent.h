#ifndef MODULES_BACKEND_BACKEND_AGENT_H
#define MODULES_BACKEND_BACKEND_AGENT_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "modules/admission/concurrency_limit.h"
#include "modules/admission/idempotency_store.h"
#include "modules/admission/poison_registry.h"
#include "modules/mesh/messages.h"
#include "servers/http_client.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** Registration that a backend server repeats periodically at the node on its VM. */
struct BackendAnnouncement
{
    std::string service;
    std::string version;
    std::string instance; ///< Id that changes with each restart of the backend server.
    Endpoint endpoint;
    std::uint32_t slots = 1; ///< Requests that it can run at once, 1 to 100000.
    BackendState state = BackendState::Ready;
};

struct BackendAgentOptions
{
    std::string node;
    /** Time without an announcement after which the backend server counts as lost. */
    std::chrono::milliseconds announcementTimeout{6'000};
    std::chrono::milliseconds healthCheckTimeout{500};
    std::chrono::milliseconds maxQueueTime{50}; ///< Longest wait of a call in the queue.
    ConcurrencyLimitOptions limit;
    IdempotencyStoreOptions idempotency;
};

/** Receives events of the backend server for the rest of the node. */
class BackendObserver
{
public:
    virtual ~BackendObserver() = default;

    /** The announcement or the state has changed. */
    virtual void backendChanged() = 0;
    /** A request was running when the backend server crashed. */
    virtual void requestSuspected(std::uint64_t fingerprint) = 0;
    /** A suspected request ran without a crash or a server error. */
    virtual void requestCleared(std::uint64_t fingerprint) = 0;
};

/**
 * Admission control for the backend server on this VM.
 *
 * All requests to the backend server pass through this class, so that admission is decided in one
 * place. Only this class may return NotRun for a call to its backend server.
 */
class BackendAgent
{
public:
    using AnswerCallback = std::function<void(AnswerMessage)>;

private:
    struct Work
    {
        std::uint64_t id = 0;
        CallMessage call;
        AnswerCallback callback;
        std::uint64_t fingerprint = 0;
        SteadyTime deadline;
        SteadyTime startedAt;
        std::uint32_t inFlightAtStart = 0;
        HttpCallId httpCall = HttpCallId::None;
        bool keyReserved = false; ///< Its idempotency key is stored as running.
        bool lost = false;        ///< Its connection broke; a health check will find the cause.
        Timer queueTimer;
    };
    using WorkPointer = std::shared_ptr<Work>;

    BackendAgentOptions m_options;
    HttpClient &m_http;
    TimerService &m_timers;
    BackendObserver &m_observer;
    PoisonRegistry &m_poison;
    BackendAnnouncement m_announcement;
    BackendState m_state = BackendState::None;
    std::uint64_t m_backendSince = 0;
    ConcurrencyLimit m_limit;
    IdempotencyStore m_idempotency;
    std::map<std::uint64_t, WorkPointer> m_running;
    std::deque<WorkPointer> m_queue;
    std::uint64_t m_lastId = 0;
    bool m_domainTakenOut = false;
    bool m_stopping = false;
    bool m_healthCheckPending = false;
    Timer m_announcementTimer;
    Timer m_healthCheckTimer;

    CallProblem refusalReason(const CallMessage &call, std::uint64_t fingerprint) const;
    AnswerMessage answerForKey(KeyState state, const std::string &key) const;
    /**
     * Reserves the call's idempotency key if it is new, otherwise replies. Returns whether it
     * replied. Does nothing without a key.
     */
    bool answerFromStoredKey(const WorkPointer &work);
    AnswerMessage handKeyOver(const CallMessage &call);
    void releaseKey(const WorkPointer &work);
    /** Returns whether a call may start now. Lowers the limit if many running calls are stalled. */
    bool mayStart();
    std::size_t queueCapacity() const;
    void enqueue(const WorkPointer &work);
    void start(const WorkPointer &work);
    void startQueued();
    void finished(const WorkPointer &work, HttpResult result);
    void answerDone(const WorkPointer &work, HttpResponse response);
    void answerShed(const WorkPointer &work);
    void answerFailed(const WorkPointer &work, Verdict verdict, CallProblem problem);
    void refuse(const WorkPointer &work, CallProblem problem);
    void startHealthCheck();
    void healthCheckFinished(const HttpResult &result);
    void backendCrashed();
    void answerLostRequests(CallProblem problem);
    void reply(const WorkPointer &work, AnswerMessage answer);
    void setState(BackendState state);

public:
    BackendAgent(const BackendAgentOptions &options, HttpClient &http, TimerService &timers,
                 BackendObserver &observer, PoisonRegistry &poison);
    ~BackendAgent();

    // For the backend server.
    /** Registers or renews the backend server. Fails with InvalidArgument on malformed fields. */
    absl::Status announce(const BackendAnnouncement &announcement);
    const BackendAnnouncement &announcement() const { return m_announcement; }
    BackendState state() const { return m_state; }
    /**
     * Returns when the first backend server of the current service was announced, in Unix
     * milliseconds; 0 if none has been announced.
     */
    std::uint64_t backendSince() const { return m_backendSince; }

    // For callers.
    /**
     * Runs, queues or refuses a call and returns its id for cancel(). The callback runs once; it
     * may run before this returns.
     */
    std::uint64_t submit(CallMessage call, AnswerCallback callback);
    /** Cancels a call; its callback will not run. */
    void cancel(std::uint64_t id);

    // For the node.
    /**
     * Refuses new calls while the failure domain is taken out. The limit starts from cold when the
     * domain is brought back.
     */
    void setDomainTakenOut(bool takenOut);
    /** Refuses all new calls from now on. */
    void stopAccepting() { m_stopping = true; }
    std::uint32_t limit() const { return m_limit.limit(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_running.size()); }
    bool isIdle() const { return m_running.empty() && m_queue.empty(); }
};

} // namespace jacinthshift

#endif // MODULES_BACKEND_BACKEND_AGENT_H
