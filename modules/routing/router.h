#ifndef MODULES_ROUTING_ROUTER_H
#define MODULES_ROUTING_ROUTER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "modules/admission/poison_registry.h"
#include "modules/config/config_state.h"
#include "modules/release/evidence_counter.h"
#include "modules/routing/balancer.h"
#include "modules/routing/call_metrics.h"
#include "modules/routing/instance_directory.h"
#include "modules/routing/owner_client.h"
#include "modules/routing/retry_budget.h"
#include "servers/timer_service.h"

namespace jacinthshift {

class ConfigStore;
class ReleaseController;

struct RouterOptions
{
    std::string node;
    std::string domain;
    std::uint64_t randomSeed = 0;
    std::uint32_t maxAttempts = 4;  ///< Calls to owners per request.
    std::uint32_t maxDepth = 32;    ///< Routers that a request may pass; stops routing loops.
    RetryBudgetOptions retryBudget; ///< For retries of requests that may have run.
    RetryBudgetOptions refusalBudget{
            .tokensPerRequest = 1.0,
            .maxTokens = 100.0,
            .initialTokens = 100.0}; ///< For retries of requests that an owner refused.
};

enum class RoutedRequestId : std::uint64_t { None = 0 };

/**
 * Routes callers' requests: chooses a version and an owner for each, retries where that is safe,
 * and answers with the backend server's complete response or with a verdict.
 */
class Router
{
public:
    using Callback = std::function<void(HttpResponse)>;

private:
    struct RoutedRequest;
    using RoutedRequestPointer = std::shared_ptr<RoutedRequest>;

    RouterOptions m_options;
    const ConfigStore &m_store;
    InstanceDirectory &m_directory;
    Balancer &m_balancer;
    OwnerClient &m_ownerClient;
    ReleaseController &m_releases;
    PoisonRegistry &m_poison;
    TimerService &m_timers;
    std::map<std::string, RetryBudget> m_retryBudgets;
    std::map<std::string, RetryBudget> m_refusalBudgets;
    std::map<std::uint64_t, RoutedRequestPointer> m_requests;
    CallMetrics m_metrics;
    std::set<std::string> m_excludedDomains;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_incarnation; ///< Start time in Unix ms; keeps trace ids unique over restarts.
    bool m_stopping = false;

    /** Chooses version and route. If it refuses the request, answers it and returns false. */
    bool prepare(const RoutedRequestPointer &routed);
    /** Chooses the candidate for its share of the requests, by a hash of the trace id. */
    void chooseArm(const RoutedRequestPointer &routed, const ServiceEntry &entry);
    /** Returns the chosen node, or an empty string, and sets the reason for the log. */
    std::string chooseOwner(const RoutedRequestPointer &routed, std::string &reason);
    /** Finds the home of the idempotency key and asks its former homes about the key. */
    void resolveKeyHome(const RoutedRequestPointer &routed);
    void queryFormerHomes(const RoutedRequestPointer &routed);
    void tryNextOwner(const RoutedRequestPointer &routed);
    /** Records that the candidate has no further owner and switches to the stable version. */
    void fallBackToStable(const RoutedRequestPointer &routed);
    void attemptEnded(const RoutedRequestPointer &routed, const std::string &owner,
                      const AnswerMessage &answer);
    /** Reports the outcome of an attempt to the release controller, if the version caused it. */
    void recordEvidence(const RoutedRequestPointer &routed, const AnswerMessage &answer);
    bool mayRetry(const RoutedRequestPointer &routed, const AnswerMessage &answer);
    void finish(const RoutedRequestPointer &routed, const AnswerMessage &answer);
    void refuse(const RoutedRequestPointer &routed, int status, const std::string &reason);
    RetryBudget &budget(std::map<std::string, RetryBudget> &budgets, const std::string &service,
                        const RetryBudgetOptions &options);

public:
    Router(const RouterOptions &options, const ConfigStore &store, InstanceDirectory &directory,
           Balancer &balancer, OwnerClient &ownerClient, ReleaseController &releases,
           PoisonRegistry &poison, TimerService &timers);
    ~Router();

    /** Routes a request whose target is /SERVICE/PATH. The callback runs once, unless cancelled. */
    RoutedRequestId route(HttpRequest request, Callback callback);
    /** Cancels a request whose caller is gone; its callback does not run. */
    void cancel(RoutedRequestId id);

    /** Applies the failure domains that are out of service in a new configuration. */
    void configurationChanged(const ConfigState &state);
    /** Refuses all further requests; those in flight are still answered. */
    void stopAccepting() { m_stopping = true; }
    const CallMetrics &metrics() const { return m_metrics; }
    /** Returns the number of in-flight requests. */
    std::size_t openRequests() const { return m_requests.size(); }
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_ROUTER_H
