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
#include "modules/owner/backend_registration.h"
#include "modules/owner/failure_share.h"
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
    std::chrono::milliseconds connectTimeout{400};
    /** A connection that was idle for longer does not carry what must not run twice. */
    std::chrono::milliseconds maxIdleNonIdempotent{1'000};
    std::chrono::milliseconds maxIdle{8'000};
    /** Connections that fail one after the other until the backend server counts as gone. */
    std::uint32_t failuresToAbsent = 2;
    /** Connections lost within this time belong to one crash. */
    std::chrono::milliseconds crashWindow{150};
    std::uint32_t lostToSuspectCrash = 2;
    /** What a cold backend server is given at most, as a multiple of what it bears; the operator's.
     */
    double coldFactor = 1.0;
    /** The part of that which is used: requests arrive unevenly, and clocks of seconds differ. */
    double coldMargin = 0.85;
    /** Starts a second for a cold backend server of which the operator says nothing. */
    double unknownColdRate = 10.0;
    std::chrono::milliseconds turnPeriod{20}; ///< How often waiting requests are looked at.
};

/** Learns what the owner finds out. */
class OwnerObserver
{
public:
    virtual ~OwnerObserver() = default;

    /** The backend server's availability changed; other nodes should hear of it at once. */
    virtual void ownerChanged() = 0;
    /** A request was running when the backend server crashed. */
    virtual void requestSuspected(std::uint64_t fingerprint, const std::string &backend) = 0;
    /** A suspected request ran well. */
    virtual void requestCleared(std::uint64_t fingerprint) = 0;
};

/**
 * The only way to this VM's backend server: all nodes hand their requests to its owner.
 *
 * So one place decides about slots, queue, cold starts, draining and versions, and knows whether a
 * request may have run.
 */
class BackendOwner final : public WorkHandler
{
    struct Work
    {
        WorkRequest request;
        Callback callback;
        std::uint64_t fingerprint = 0;
        SteadyTime arrivedAt;
        SteadyTime startedAt; ///< Zero while it waits.
        SteadyTime deadline;
        HttpCallId call = HttpCallId::None;
        std::string backend;
    };

    BackendOwnerOptions m_options;
    HttpClient &m_client;
    TimerService &m_timers;
    PoisonRegistry &m_poison;
    OwnerObserver &m_observer;
    BackendRegistration m_registration;
    AdmissionQueue m_admission;
    ServicePolicy m_policy;
    std::unordered_map<std::uint64_t, Work> m_work;
    std::uint64_t m_lastWork = 0;
    std::map<std::string, ArmEvidence> m_evidence;
    SteadyTime m_coldUntil;
    bool m_cautious = false; ///< Until the next heartbeat it may be cold without a word.
    bool m_absent = false;   ///< It could not be reached since the last heartbeat.
    bool m_takenOut = false;
    bool m_braked = false;
    bool m_leaving = false;
    std::string m_rolloutTarget; ///< While a rollout is under way, else empty.
    std::uint32_t m_connectFailures = 0;
    std::vector<SteadyTime> m_lostAt;
    std::vector<std::uint64_t> m_lostFingerprints;
    FailureShare m_recentFailures{FailureShareOptions{}};
    Timer m_turns;

    WorkRefusal refusalFor(const WorkRequest &work) const;
    BackendAvailability availability() const;
    void finish(std::uint64_t id, const WorkResult &result);
    void refuseNow(const Callback &callback, const WorkRequest &work, WorkRefusal reason,
                   std::chrono::milliseconds retryAfter);
    void start(std::uint64_t id);
    HttpRequest outgoing(const Work &work, std::chrono::milliseconds timeLeft) const;
    void answered(std::uint64_t id, HttpResult result);
    WorkResult classify(const Work &work, HttpResult result);
    void noteEvidence(const Work &work, const WorkResult &result,
                      std::chrono::microseconds serviceTime);
    void noteConnectFailure();
    void noteLost(std::uint64_t fingerprint);
    void declareCrash();
    void runTurns();
    void refuseWaiting(WorkRefusal reason);
    void updateStartRate();
    bool isCold() const;

public:
    BackendOwner(const BackendOwnerOptions &options, HttpClient &client, TimerService &timers,
                 PoisonRegistry &poison, OwnerObserver &observer);

    /** Takes a heartbeat of the backend server. Fails when it belongs elsewhere. */
    absl::Status heartbeat(const BackendHeartbeat &heartbeat);
    void goodbye(const std::string &id, std::optional<std::uint64_t> startedAt);

    void setPolicy(const ServicePolicy &policy);
    /** Says whether the operator took this failure domain out. */
    void setTakenOut(bool takenOut);
    /** Says that this node's process is leaving; it takes no more work. */
    void setLeaving();
    /** Says which version the service is being moved to; empty if to none. */
    void setRolloutTarget(const std::string &version) { m_rolloutTarget = version; }
    /** Says that the backend server's version takes no new work. */
    void setBraked(bool braked);

    std::uint64_t run(const WorkRequest &work, Callback callback) override;
    void cancel(std::uint64_t id) override;
    BackendStatus status() const override;

    /** Returns what was counted of the present backend server's requests, by route. */
    std::vector<VersionEvidence> evidence() const;
    const std::optional<BackendHeartbeat> &backend() const { return m_registration.current(); }
    std::size_t openWork() const { return m_work.size(); }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_OWNER_H
