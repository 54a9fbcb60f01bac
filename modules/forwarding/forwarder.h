#ifndef MODULES_FORWARDING_FORWARDER_H
#define MODULES_FORWARDING_FORWARDER_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_caller.h"
#include "modules/forwarding/owner_directory.h"
#include "modules/forwarding/owner_selector.h"
#include "modules/forwarding/service_retry_budgets.h"
#include "modules/forwarding/traffic_metrics.h"
#include "modules/forwarding/version_policy.h"
#include "modules/traffic/route_table.h"
#include "servers/header_names.h"
#include "servers/http_server.h"

namespace jacinthshift {

struct ForwarderOptions
{
    std::string node;
    std::string callerService; ///< The service on this VM; callers here count as its.
    HeaderNames headers;
    OwnerSelectorOptions selector;
    RetryLimits retries; ///< Of all nodes together.
    std::uint64_t seed = 0;
    /** Owners that are asked at most; refusals of owners cost no backend server anything. */
    std::uint32_t maxHandOvers = 4;
    /**
     * Owners of other failure domains that are asked beside near ones. When the near ones are full
     * the far ones mostly are, and each costs the whole request in bytes between domains.
     */
    std::uint32_t farHandOversAfterNear = 1;
    /** An answer that would come with less than this part of the usual service time is not tried.
     */
    std::chrono::milliseconds leastTimeForRetry{60};
    std::chrono::milliseconds defaultTimeout{10'000};
    std::chrono::milliseconds retryWithoutConfig{300};
    std::chrono::milliseconds retryWithoutOwner{250};
    std::chrono::milliseconds retryAtOtherNode{50}; ///< For callers of a node that is stopping.
    std::chrono::milliseconds longestRetryAfter{1'000};
    /** A deadline shorter by this than the longest seen on the route belongs to a caller's retry.
     */
    std::chrono::milliseconds returningMargin{60};
};

/**
 * Takes callers' requests on this VM, finds the route and an owner for each, and answers.
 *
 * A request goes to a further owner while it has certainly not run; one that may have run only if
 * it is idempotent, within the retry budget and the route's number of attempts.
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
        VersionChoice version;
        std::uint32_t priority = 0;
        std::uint32_t maxAttempts = 1;
        bool idempotent = false;
        bool returning = false;
        SteadyTime arrivedAt;
        SteadyTime deadline;
        SteadyTime targetAt;
        std::string trail;   ///< What became of each try, for the log line of a failure.
        std::string leftOut; ///< Why no further owner could be asked.
        std::vector<std::string> tried;
        std::uint32_t handOvers = 0;
        std::uint32_t farHandOvers = 0; ///< Those to other failure domains.
        std::uint32_t reached = 0;      ///< Backend servers that bytes of it were sent to.
        bool mayHaveRun = false;
        SteadyTime handedOverAt;
        std::string owner; ///< Where it is now; empty between two tries.
        std::uint64_t call = 0;
        std::chrono::milliseconds retryHint{0};
        WorkRefusal lastRefusal = WorkRefusal::None;
        std::unique_ptr<HttpResponse> failedAnswer; ///< A backend server's error, kept for the end.
        Timer timeout;
    };
    using RequestPointer = std::shared_ptr<Request>;

    ForwarderOptions m_options;
    TimerService &m_timers;
    RemoteCaller &m_remote;
    WorkHandler &m_local;
    VersionPolicy &m_versions;
    TrafficMetrics &m_metrics;
    OwnerDirectory m_owners;
    OwnerSelector m_selector;
    ServiceRetryBudgets m_budgets;
    RouteTable *m_routes = nullptr;
    std::unordered_map<std::string, std::chrono::milliseconds> m_longestDeadline;
    std::unordered_map<std::string, double> m_routeTimes;   ///< Mean milliseconds, by route.
    std::unordered_map<std::string, double> m_serviceTimes; ///< The same by service.
    std::unordered_map<std::uint64_t, RequestPointer> m_requests;
    std::uint64_t m_lastId = 0;
    bool m_closed = false;

    bool admit(const RequestPointer &request);
    void setTimes(Request &request, const TrafficRoute &route);
    OwnerQuery ownerQuery(const Request &request) const;
    std::optional<OwnerCandidate> chooseOwner(Request &request);
    void tryNext(const RequestPointer &request);
    void noteTry(Request &request, const WorkResult &result) const;
    void noteTime(const Request &request, std::chrono::microseconds time);
    double routeFactor(const Request &request) const;
    WorkRequest workFor(const Request &request) const;
    void handled(const RequestPointer &request, const WorkResult &result);
    bool mayRetry(Request &request, const WorkResult &result);
    void timedOut(const RequestPointer &request);
    void callerGone(const RequestPointer &request);
    void stopCall(Request &request);
    void giveUp(const RequestPointer &request);
    void logFailure(const Request &request, int status, std::string_view reason,
                    std::chrono::microseconds latency) const;
    void answer(const RequestPointer &request, HttpResponse response, std::string_view reason);
    void refuse(const std::shared_ptr<HttpResponder> &responder, const std::string &requestId,
                int status, std::chrono::milliseconds retryAfter, std::string_view reason);
    HttpResponse refusal(int status, const std::string &requestId,
                         std::chrono::milliseconds retryAfter, std::string_view reason) const;

public:
    Forwarder(const ForwarderOptions &options, TimerService &timers, FleetNetwork &network,
              RemoteCaller &remote, WorkHandler &local, VersionPolicy &versions,
              TrafficMetrics &metrics);

    /** Puts a route table in force; without one every request is refused. */
    void setRoutes(RouteTable *routes) { m_routes = routes; }
    /** Says how many nodes share the operator's limits of retries. */
    void setNodeCount(std::size_t nodes) { m_budgets.setNodeCount(nodes); }
    /** Takes one request and answers it through the responder. */
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);
    /** Refuses all further requests; those under way are still answered. */
    void close() { m_closed = true; }
    bool isClosed() const { return m_closed; }
    std::size_t openRequests() const { return m_requests.size(); }
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_FORWARDER_H
