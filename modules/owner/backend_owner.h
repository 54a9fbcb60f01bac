#ifndef MODULES_OWNER_BACKEND_OWNER_H
#define MODULES_OWNER_BACKEND_OWNER_H

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/admission/poison_registry.h"
#include "modules/fleet/call_server.h"
#include "modules/owner/admission_queue.h"
#include "modules/owner/backend_probe.h"
#include "modules/owner/backend_registration.h"
#include "modules/owner/failure_rate.h"
#include "modules/owner/recent_starts.h"
#include "modules/owner/request_rate_limit.h"
#include "modules/owner/run_costs.h"
#include "modules/traffic/traffic_config.h"
#include "servers/header_names.h"
#include "servers/http_client.h"

namespace jacinthshift {

struct BackendOwnerOptions
{
    std::string node;
    std::string service; ///< The only service whose backend server may register here.
    HeaderNames headers;
    AdmissionQueueOptions admission;
    RequestRateLimitOptions rateLimit;
    /**
     * Requests that may run at once until the first answer since this process started. The backend
     * server may have asked an earlier process for a low rate, and says so again in that answer.
     */
    std::uint32_t maxRunningBeforeAnswer = 2;
    std::chrono::milliseconds connectTimeout{400};
    /** Longest idle time after which a connection is reused for a non-idempotent request. */
    std::chrono::milliseconds maxIdleNonIdempotent{1'000};
    /** Longest idle time after which a connection is reused for an idempotent request. */
    std::chrono::milliseconds maxIdle{8'000};
    /** Number of consecutive failed connections after which the backend server is unreachable. */
    std::uint32_t connectFailureThreshold = 2;
    /** Connections lost within this time count as one crash. */
    std::chrono::milliseconds crashWindow{150};
    /**
     * Number of lost connections within crashWindow that indicates a crash. Fewer do if they were
     * the connections of all running requests.
     */
    std::uint32_t connectionLossThreshold = 2;
    /**
     * Most requests that are reported as possible causes of a crash that only the next lifetime of
     * the backend server has shown. Among more, most are not the cause, and have succeeded
     * elsewhere in the meantime.
     */
    std::size_t maxLateSuspects = 2;
    /** Most requests that are reported for one crash: those whose connections were lost first. */
    std::size_t maxSuspects = 64;
    /**
     * Upper bound of the load on a cold backend server, as a multiple of the policy's
     * coldRequestsPerSecond. Set by the operator.
     */
    double coldFactor = 1.0;
    /**
     * Fraction of that bound that is used, since requests arrive unevenly and clocks disagree about
     * where a second begins.
     */
    double coldMargin = 0.85;
    /** Starts per second on a cold backend server if the policy sets no coldRequestsPerSecond. */
    double defaultColdRate = 10.0;
    /**
     * A backend server that may become cold at any moment is asked again after this fraction of
     * what it could bear in a second while it is cold, so that it is found cold before it has had
     * more.
     */
    double coldProbeFraction = 0.6;
    std::chrono::milliseconds minColdProbeInterval{50};
    std::chrono::milliseconds queueCheckInterval{20}; ///< How often the queue is processed.
    /** Bytes of the bodies of all queued and running requests; more are refused. */
    std::size_t maxHeldBodyBytes = 12 * 1024 * 1024;
};

/** Receives events of the owner for the rest of the node. */
class OwnerObserver
{
public:
    virtual ~OwnerObserver() = default;

    /** The backend server's status changed; the other nodes should be notified at once. */
    virtual void ownerStatusChanged() = 0;
    /** A request was running when the backend server crashed. */
    virtual void requestSuspected(std::uint64_t fingerprint, const std::string &backend) = 0;
    /** A suspected request succeeded. */
    virtual void requestCleared(std::uint64_t fingerprint) = 0;
    /** A request was handed to the backend server. */
    virtual void runStarted(const std::string & /*workspace*/, SteadyTime /*at*/) {}
    /** The backend server has certainly not run a request that it was handed. */
    virtual void runRejected(const std::string & /*workspace*/, SteadyTime /*startedAt*/) {}
};

/**
 * Owner of this VM's backend server: all nodes send their requests for it through this class.
 *
 * Decisions about slots, queueing, cold starts, draining and versions are therefore made in one
 * place, which also knows whether a request may have run.
 */
class BackendOwner final : public WorkHandler
{
    struct Work
    {
        WorkRequest request;
        Callback callback;
        std::uint64_t fingerprint = 0;
        SteadyTime arrivedAt;
        SteadyTime startedAt; ///< Zero while the request is queued.
        SteadyTime deadline;
        HttpCallId call = HttpCallId::None;
        std::string backend;        ///< Id of the backend server it was sent to.
        std::uint64_t lifetime = 0; ///< Number of that backend server's lifetime, see m_lifetime.
    };

    /** A request whose connection was closed before the answer. */
    struct LostRequest
    {
        std::uint64_t fingerprint = 0;
        SteadyTime at;
    };

    BackendOwnerOptions m_options;
    HttpClient &m_client;
    TimerService &m_timers;
    PoisonRegistry &m_poison;
    OwnerObserver &m_observer;
    BackendRegistration m_registration;
    AdmissionQueue m_admission;
    RequestRateLimit m_rateLimit;
    RunCosts m_costs; ///< Of the current backend server.
    ServicePolicy m_policy;
    std::unordered_map<std::uint64_t, Work> m_work;
    std::uint64_t m_lastWorkId = 0;
    std::size_t m_heldBodyBytes = 0; ///< Of the requests in m_work.
    std::uint64_t m_lifetime = 0;    ///< Counts the lifetimes of backend servers seen here.
    std::map<std::string, ArmEvidence> m_evidence; ///< By route, of the current backend server.
    SteadyTime m_coldUntil;
    SteadyTime m_knownWarmAt;     ///< When it was last asked and was not cold.
    SteadyTime m_lastColdProbeAt; ///< When it was last asked whether it is cold.
    bool m_assumeCold = false;    ///< It may be cold although no heartbeat has reported that yet.
    bool m_unreachable = false;   ///< Replaced or not reachable since the last heartbeat.
    bool m_hasAnswer = false;     ///< A backend server has answered this process.
    bool m_takenOut = false;
    bool m_braked = false;
    bool m_leaving = false;
    std::string m_rolloutTarget; ///< Version being rolled out; empty if there is none.
    std::uint32_t m_connectFailures = 0;
    /** Requests whose connections were lost within crashWindow, oldest first. */
    std::vector<LostRequest> m_lostRequests;
    BackendProbe m_probe;
    FailureRate m_recentFailures{FailureRateOptions{}};
    RecentStarts m_recentStarts; ///< On the current backend server.
    Timer m_queueTimer;

    WorkRefusal refusalFor(const WorkRequest &workRequest) const;
    BackendAvailability availability() const;
    void finish(std::uint64_t id, const WorkResult &result);
    /** Removes a request that is queued or runs. */
    Work take(std::unordered_map<std::uint64_t, Work>::iterator work);
    void refuseNow(const Callback &callback, const WorkRequest &workRequest, WorkRefusal reason,
                   std::chrono::milliseconds retryAfter);
    void start(std::uint64_t id);
    HttpRequest buildBackendRequest(const Work &work, std::chrono::milliseconds timeLeft) const;
    void answered(std::uint64_t id, HttpResult result);
    WorkResult classify(const Work &work, HttpResult result);
    void recordEvidence(const Work &work, const WorkResult &result,
                        std::chrono::microseconds serviceTime);
    void recordConnectFailure();
    void recordConnectionLoss(std::uint64_t fingerprint);
    /** Asks a backend server that has lost its connections whether it still runs. */
    void probeForCrash();
    /** Reports the lost requests as possible causes, and refuses requests until a heartbeat. */
    void recordCrash(std::string_view reason);
    void reportSuspects(const BackendHeartbeat &crashed);
    void processQueue();
    void refuseWaiting(WorkRefusal reason);
    void updateStartRate();
    /** Limits how many requests may run at once to the slots of the current backend server. */
    void updateConcurrencyLimit();
    /** Records what the backend server says of itself in the headers of an answer. */
    void recordAnswerHeaders(const Work &work, const std::vector<HttpHeader> &headers);
    void recordRateLimit(std::string_view header);
    void recordLeaving();
    void removeBackend(const std::string &id, std::optional<std::uint64_t> startedAt,
                       std::string_view reason);
    bool isCold() const;
    /** Returns the load that a cold backend server may get; zero if the policy sets none. */
    double coldBound() const { return m_policy.coldRequestsPerSecond * m_options.coldFactor; }
    /** Asks a backend server whether it is cold, if a cold one could not bear its load. */
    void probeForCold();
    void coldProbed(const ProbeResult &result);
    /** Returns how many requests per second a cold backend server is given; 0 if it is not cold. */
    double coldRate() const;

public:
    BackendOwner(const BackendOwnerOptions &options, HttpClient &client, TimerService &timers,
                 PoisonRegistry &poison, OwnerObserver &observer);

    /** Processes a heartbeat. Fails with InvalidArgument if it is for another service. */
    absl::Status heartbeat(const BackendHeartbeat &heartbeat);
    /** Processes the deregistration of a backend server that shuts down. Returns its lifetime. */
    BackendLifetime deregister(const std::string &id, std::optional<std::uint64_t> startedAt);
    /** Sets whether backendLeft() has been called for all that earlier processes were told. */
    void setHistoryKnown(bool known);
    /** Records that a backend server has told an earlier process of this node that it shuts down.
     */
    void backendLeft(const BackendLifetime &backend);

    void setPolicy(const ServicePolicy &policy);
    /** Sets whether the operator has taken this failure domain out. */
    void setDomainTakenOut(bool takenOut);
    /** Refuses all further work because this node's process is shutting down. */
    void setLeaving();
    /** Sets the version that is being rolled out; empty if there is none. */
    void setRolloutTarget(const std::string &version) { m_rolloutTarget = version; }
    /** Sets whether new work for the backend server's version is refused. */
    void setBraked(bool braked);

    std::uint64_t run(const WorkRequest &workRequest, Callback callback) override;
    bool cancel(std::uint64_t id) override;
    BackendStatus status() const override;

    /** Returns the counts of the current backend server's requests by route. */
    std::vector<VersionEvidence> evidence() const;
    const std::optional<BackendHeartbeat> &backend() const { return m_registration.current(); }
    /** Returns the number of queued and running requests. */
    std::size_t openRequests() const { return m_work.size(); }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_OWNER_H
