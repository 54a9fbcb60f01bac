#ifndef MODULES_FORWARDING_FORWARDER_H
#define MODULES_FORWARDING_FORWARDER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_call_client.h"
#include "modules/forwarding/owner_directory.h"
#include "modules/forwarding/owner_selector.h"
#include "modules/forwarding/service_retry_budgets.h"
#include "modules/forwarding/traffic_metrics.h"
#include "modules/forwarding/version_policy.h"
#include "modules/traffic/route_table.h"
#include "modules/workspace/key_check.h"
#include "servers/header_names.h"
#include "servers/http_server.h"

namespace jacinthshift {

struct ForwarderOptions
{
    std::string node;          ///< Id of this node.
    std::string callerService; ///< Service on this VM, to which the callers on it belong.
    HeaderNames headers;
    OwnerSelectorOptions selector;
    RetryLimits retries; ///< Limits for all nodes together.
    std::uint64_t randomSeed = 0;
    /** Mean size from which the responses of a route wait for others on the owner's link. */
    std::size_t largeResponseBytes = 8 * 1024;
    /** Maximum number of owners asked per request. Refusals put no load on a backend server. */
    std::uint32_t maxOwnerAttempts = 4;
    /**
     * Owners in other failure domains that are asked in addition to ones in the own domain.
     * When the owners in the own domain are overloaded, the others mostly are as well, and each
     * attempt sends the whole request between failure domains.
     */
    std::uint32_t otherDomainAttemptsAfterOwn = 1;
    /**
     * No retry is made with less time than this left. It is a fraction of the usual service time,
     * so the answer would come too late.
     */
    std::chrono::milliseconds minTimeForRetry{60};
    std::chrono::milliseconds defaultTimeout{10'000}; ///< For routes without a timeout.
    /** Retry-After of a node that has no configuration yet. */
    std::chrono::milliseconds retryAfterWithoutConfig{300};
    /** Retry-After of a node that does not know whether a key is still valid. */
    std::chrono::milliseconds retryAfterWithoutVerification{500};
    /** Retry-After if no owner suggested one. */
    std::chrono::milliseconds retryAfterWithoutOwner{250};
    /** Retry-After of a node that is stopping; another node may serve the request. */
    std::chrono::milliseconds retryAfterWhileStopping{50};
    std::chrono::milliseconds maxRetryAfter{1'000}; ///< Upper limit of all Retry-After values.
    /**
     * A request whose deadline is shorter by more than this than the longest one seen on its route
     * counts as a caller's retry.
     */
    std::chrono::milliseconds callerRetryMargin{60};
};

/**
 * Forwards the requests of callers on this VM: finds the route and an owner for each, and answers.
 *
 * A request that certainly has not run is sent to further owners. A request that may have run is
 * sent again only if it is idempotent. Retries after an attempt that reached a backend server stay
 * within the retry budget and the route's maximum number of attempts.
 */
class Forwarder
{
    struct Request
    {
        std::uint64_t id = 0;
        HttpRequest request;
        std::shared_ptr<HttpResponder> responder;
        std::string requestId;
        std::string route;
        std::string service;
        std::string workspace; ///< Name of the caller's workspace; empty if there is none.
        VersionChoice version;
        std::uint32_t priority = 0;
        std::uint32_t maxAttempts = 1;
        bool idempotent = false;
        bool isCallerRetry = false; ///< Inferred from its deadline; see callerRetryMargin.
        SteadyTime arrivedAt;
        SteadyTime deadline;
        SteadyTime callerDeadline; ///< How long the caller waits, whatever its route allows.
        SteadyTime targetAt;       ///< End of the target latency since the caller's first attempt.
        std::string attemptOutcomes; ///< Outcome of each attempt, for the log line of a failure.
        std::string excludedOwners;  ///< Why other owners could not be asked.
        std::vector<std::string> triedNodes;
        std::uint32_t ownerAttempts = 0;
        std::uint32_t otherDomainAttempts = 0; ///< Attempts in other failure domains.
        std::uint32_t backendsReached = 0;     ///< Backend servers that received any bytes of it.
        bool mayHaveRun = false;
        SteadyTime attemptStartedAt;
        std::string owner;             ///< Owner of the current attempt; empty if there is none.
        std::string ownerVersion;      ///< Version of its backend server.
        std::uint64_t callId = 0;      ///< Id of the current attempt at the local or remote owner.
        std::uint32_t lateAttempt = 0; ///< Number of the attempt whose owner is late; 0 if none.
        std::uint64_t lateCallId = 0;  ///< Its id at the remote owner.
        std::chrono::milliseconds retryHint{0}; ///< Shortest Retry-After of the owners asked.
        WorkRefusal lastRefusal = WorkRefusal::None;
        std::unique_ptr<HttpResponse> errorResponse; ///< A backend server's last error response.
        Timer timeout;
    };
    using RequestPointer = std::shared_ptr<Request>;

    ForwarderOptions m_options;
    TimerService &m_timers;
    RemoteCallClient &m_remote;
    WorkHandler &m_local;
    VersionPolicy &m_versions;
    TrafficMetrics &m_metrics;
    OwnerDirectory m_owners;
    OwnerSelector m_selector;
    ServiceRetryBudgets m_budgets;
    RouteTable *m_routes = nullptr;
    KeyCheck *m_keyCheck = nullptr;
    /** Longest deadline that callers have sent, by route. */
    std::unordered_map<std::string, std::chrono::milliseconds> m_longestDeadline;
    /** Mean response times in milliseconds. */
    std::unordered_map<std::string, double> m_routeMeanTimes;
    std::unordered_map<std::string, double> m_serviceMeanTimes;
    std::unordered_map<std::string, double> m_routeMeanBytes; ///< Mean sizes of response bodies.
    std::unordered_map<std::uint64_t, RequestPointer> m_requests;
    std::uint64_t m_lastId = 0;
    std::optional<SteadyTime> m_stopsAt;        ///< See stopAcceptingAt().
    std::optional<SteadyTime> m_latestDeadline; ///< Of all requests; see setLatestDeadline().

    /**
     * Finds the route of a request and applies its settings. A request that cannot be forwarded is
     * refused, and false is returned.
     */
    bool admit(const RequestPointer &request);
    /**
     * Checks the workspace key of a request, removes it and applies the workspace's settings. A
     * request that may not run is refused, and false is returned.
     */
    bool admitKey(Request &request, const TrafficRoute &route);
    void setDeadlines(Request &request, const TrafficRoute &route);
    OwnerQuery ownerQuery(const Request &request, const VersionChoice &version) const;
    std::optional<OwnerCandidate> chooseOwner(Request &request);
    void tryNextOwner(const RequestPointer &request);
    /** Adds the outcome of the current attempt to Request::attemptOutcomes. */
    void recordAttempt(Request &request, const WorkResult &result) const;
    /** Updates the weighted means of the route's and the service's response times and sizes. */
    void recordResponse(const Request &request, std::chrono::microseconds time, std::size_t bytes);
    /** Returns the route's mean response time as a multiple of its service's. */
    double routeFactor(const Request &request) const;
    bool hasLargeResponse(const Request &request) const;
    WorkRequest makeWorkRequest(const Request &request) const;
    void attemptEnded(const RequestPointer &request, const WorkResult &result);
    /** Tells the version policy whether the current attempt has reached a backend server. */
    void reportReach(const Request &request, const WorkResult &result);
    /**
     * Makes another attempt for a request whose owner is late or lost, if that is allowed. The late
     * attempt goes on, as its response is better than none if the other attempt fails.
     */
    void ownerSuspected(const RequestPointer &request);
    void lateAttemptEnded(const RequestPointer &request, const WorkResult &result);
    /** Answers a request after its last attempt, unless the response of a late owner may come. */
    void attemptsUsedUp(const RequestPointer &request);
    /**
     * Returns whether a request may be sent again after an attempt with this result, apart from the
     * retry budget. The number of backend servers reached includes that attempt.
     */
    bool isRetryable(const Request &request, const WorkResult &result,
                     std::uint32_t backendsReached) const;
    /** Returns the same within the retry budget, from which it takes the retry. */
    bool mayRetry(const Request &request, const WorkResult &result);
    /** Returns the versions for a request whose attempt has ended with this result. */
    static VersionChoice versionForRetry(const Request &request, const WorkResult &result);
    void callerGone(const RequestPointer &request);
    /** Cancels the current attempt and records whether it may have run. */
    void cancelCall(Request &request);
    void cancelLateAttempt(Request &request);
    /** Cancels the current attempt of a request that has no time left, and answers it. */
    void endForLackOfTime(const RequestPointer &request);
    /** Answers a request for which no further attempt is made. */
    void answerFailure(const RequestPointer &request);
    void logFailure(const Request &request, int status, std::string_view reason,
                    std::chrono::microseconds latency) const;
    void answer(const RequestPointer &request, HttpResponse response, std::string_view reason);
    void refuse(const std::shared_ptr<HttpResponder> &responder, const std::string &requestId,
                int status, std::chrono::milliseconds retryAfter, std::string_view reason);
    /** Returns a response that gives the reason for a refusal. */
    HttpResponse refusal(int status, const std::string &requestId,
                         std::chrono::milliseconds retryAfter, std::string_view reason) const;

public:
    Forwarder(const ForwarderOptions &options, TimerService &timers, FleetNetwork &network,
              RemoteCallClient &remote, WorkHandler &local, VersionPolicy &versions,
              TrafficMetrics &metrics);

    /** Sets the route table, which is not owned. Without one, every request is refused. */
    void setRoutes(RouteTable *routes) { m_routes = routes; }
    /** Sets the check of workspace keys, which is not owned; it applies while it is enabled. */
    void setKeyCheck(KeyCheck *keyCheck) { m_keyCheck = keyCheck; }
    /** Sets the number of nodes that share the operator's retry limits. */
    void setNodeCount(std::size_t nodeCount) { m_budgets.setNodeCount(nodeCount); }
    /** Returns whether a request may be repeated, according to its route. */
    bool isIdempotent(const HttpRequest &request) const;
    /** Forwards one request and answers it through the responder. */
    void forward(HttpRequest request, std::shared_ptr<HttpResponder> responder);
    /** Refuses all requests from this time on; those in flight are still answered. */
    void stopAcceptingAt(SteadyTime time) { m_stopsAt = time; }
    /**
     * Sets the time by which requests that arrive from now on must end, whatever time their callers
     * and routes allow. Backend servers are given no more time either.
     */
    void setLatestDeadline(SteadyTime latest) { m_latestDeadline = latest; }
    /** Cancels all requests in flight and tells their callers what is known about each. */
    void endOpenRequests();
    std::size_t openRequests() const { return m_requests.size(); }
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_FORWARDER_H
