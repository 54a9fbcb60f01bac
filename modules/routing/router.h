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
#include "modules/release/evidence_ledger.h"
#include "modules/routing/balancer.h"
#include "modules/routing/call_metrics.h"
#include "modules/routing/instance_directory.h"
#include "modules/routing/owner_caller.h"
#include "modules/routing/retry_budget.h"
#include "servers/timer_service.h"

namespace jacinthshift {

class ConfigStore;
class ReleaseController;

struct RouterOptions
{
    std::string node;
    std::string domain;
    std::uint64_t seed = 0;
    std::uint32_t maxAttempts = 4;
    std::uint32_t maxDepth = 32;
    RetryBudgetOptions retryBudget; ///< For requests that may have run.
    RetryBudgetOptions refusalBudget{
            .share = 1.0, .reserve = 100.0, .initial = 100.0}; ///< For refused ones.
};

enum class RoutedRequestId : std::uint64_t { None = 0 };

/**
 * Takes callers' requests, chooses version and owner for each, retries where that is safe, and
 * answers with the whole answer or a verdict.
 */
class Router
{
public:
    using Callback = std::function<void(HttpResponse)>;

private:
    struct Routed;
    using RoutedPointer = std::shared_ptr<Routed>;

    RouterOptions m_options;
    const ConfigStore &m_store;
    InstanceDirectory &m_directory;
    Balancer &m_balancer;
    OwnerCaller &m_caller;
    ReleaseController &m_releases;
    PoisonRegistry &m_poison;
    TimerService &m_timers;
    std::map<std::string, RetryBudget> m_retryBudgets;
    std::map<std::string, RetryBudget> m_refusalBudgets;
    std::map<std::uint64_t, RoutedPointer> m_requests;
    CallMetrics m_metrics;
    std::set<std::string> m_domainsOut;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_incarnation;
    bool m_stopping = false;

    bool prepare(const RoutedPointer &routed);
    void chooseArm(const RoutedPointer &routed, const ServiceEntry &entry);
    std::string chooseOwner(const RoutedPointer &routed, std::string &reason);
    void findHome(const RoutedPointer &routed);
    void askFormerHomes(const RoutedPointer &routed);
    void attempt(const RoutedPointer &routed);
    void fallBackToStable(const RoutedPointer &routed);
    void answered(const RoutedPointer &routed, const std::string &owner,
                  const AnswerMessage &answer);
    void recordEvidence(const RoutedPointer &routed, const AnswerMessage &answer);
    bool mayRetry(const RoutedPointer &routed, const AnswerMessage &answer);
    void finish(const RoutedPointer &routed, const AnswerMessage &answer);
    void refuse(const RoutedPointer &routed, int status, const std::string &why);
    RetryBudget &budget(std::map<std::string, RetryBudget> &budgets, const std::string &service,
                        const RetryBudgetOptions &options);

public:
    Router(const RouterOptions &options, const ConfigStore &store, InstanceDirectory &directory,
           Balancer &balancer, OwnerCaller &caller, ReleaseController &releases,
           PoisonRegistry &poison, TimerService &timers);
    ~Router();

    /** Routes one request whose target is /SERVICE/PATH. The callback runs once. */
    RoutedRequestId route(HttpRequest request, Callback callback);
    /** Gives a request up because its caller is gone. */
    void cancel(RoutedRequestId id);

    void configurationChanged(const ConfigState &state);
    void stopTaking() { m_stopping = true; }
    const CallMetrics &metrics() const { return m_metrics; }
    std::size_t underWay() const { return m_requests.size(); }
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_ROUTER_H
